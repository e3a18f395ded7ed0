"""Connect a sidecar's core to gRPC, its endpoint and the clock."""

from __future__ import annotations

import asyncio
import itertools
import time

import grpc

from persimmonroute import background
from persimmonroute import blackboard
from persimmonroute import clock
from persimmonroute import draining
from persimmonroute.events import Event
from persimmonroute.generated import exchange_pb2 as pb
from persimmonroute.generated import exchange_pb2_grpc
from persimmonroute import logs
from persimmonroute import outbox
from persimmonroute.sidecar import messages
from persimmonroute import tls
from persimmonroute import wakeup

log = logs.EventLog(__name__)

BUSY_REPORT_INTERVAL_S = 0.25
IDLE_REPORT_INTERVAL_S = 1.0
PROBE_INTERVAL_S = 0.5
DRAIN_POLL_S = 0.05
# Part of the grace period reserved for shutdown after the last response.
SHUTDOWN_RESERVE_S = 0.7
# Time for entries to receive the ends of the last responses.
FLUSH_S = BUSY_REPORT_INTERVAL_S
# Time to close the links, and the part of it that a stop always has.
CLOSE_S = 1.0
MIN_CLOSE_S = 0.1


class SidecarShell(exchange_pb2_grpc.ExchangeServicer):
    """Run a sidecar's core in an asyncio process."""

    def __init__(self, core, settings, make_endpoint_client):
        self._core = core
        self._settings = settings
        self._tls = tls.find_tls_settings(settings)
        self._endpoint = make_endpoint_client(self.handle)
        self._outboxes: dict[str, outbox.FrameOutbox] = {}
        self._link_numbers = itertools.count(1)
        self._tasks: set[asyncio.Task] = set()
        self._wakeup = wakeup.WakeupTimer(self._on_wakeup)
        self._effect_handlers = {
            messages.SendFrame: self._send_frame,
            messages.StartCall: self._start_call,
            messages.ResumeCall: self._resume_call,
            messages.CancelCall: self._cancel_call,
            messages.ReportLoad: self._report_load,
            blackboard.LogEvent: self._log_event,
        }

    def handle(self, event):
        """Pass an event to the core and execute the resulting effects."""
        for effect in self._core.handle(event, time.monotonic()):
            self._effect_handlers[type(effect)](effect)
        self._wakeup.schedule(self._core.next_timer_at)

    async def run(self, stop):
        """Serve until stop is set, then drain running attempts."""
        server = grpc.aio.server(options=outbox.MESSAGE_OPTIONS)
        exchange_pb2_grpc.add_ExchangeServicer_to_server(self, server)
        self._listen(server)
        streams = await self._endpoint.list_streams()
        self.handle(messages.StreamsListed(streams))
        await server.start()
        log.emit(Event.PROCESS_STARTED, address=self._settings.address)
        self._spawn(background.run_forever(self._probe))
        await stop.wait()
        drain = await self._drain()
        for box in self._outboxes.values():
            box.close()
        await server.stop(max(_bound(CLOSE_S, drain.ends_at), MIN_CLOSE_S))
        self._wakeup.cancel()
        for task in list(self._tasks):
            task.cancel()
        log.emit(Event.PROCESS_STOPPED)

    async def Connect(self, request_iterator, context):
        """Exchange envelopes with one entry until either side closes."""
        if self._tls and not tls.is_entry_of(self._tls, context):
            log.emit(Event.PEER_REFUSED, peer=context.peer())
            await context.abort(
                grpc.StatusCode.PERMISSION_DENIED,
                'only entries of this deployment may connect',
            )
        sender = dict(context.invocation_metadata()).get('entry', 'entry')
        link = f'{sender}#{next(self._link_numbers)}'
        box = outbox.FrameOutbox()
        self._outboxes[link] = box
        self.handle(messages.LinkOpened(link))
        reader = asyncio.create_task(
            self._read_envelopes(link, request_iterator, box)
        )
        try:
            yield self._envelope([])
            while not box.closed:
                frames = await box.take(self._report_interval())
                yield self._envelope(frames)
        finally:
            reader.cancel()
            del self._outboxes[link]
            self.handle(messages.LinkClosed(link))

    def _listen(self, server):
        address = self._settings.address
        if self._tls is None:
            server.add_insecure_port(address)
            return
        server.add_secure_port(address, tls.server_credentials(self._tls))

    async def _read_envelopes(self, link, request_iterator, box):
        try:
            async for envelope in request_iterator:
                self.handle(messages.EnvelopeArrived(link, envelope))
        finally:
            box.close()

    async def _drain(self):
        """Let attempts end, and end what is left; return the Drain."""
        log.emit(Event.PROCESS_STOPPING)
        grace_s = self._settings.stop_grace_s - SHUTDOWN_RESERVE_S
        drain = draining.begin(clock.now_s(), 0.0, 0.0, grace_s)
        with draining.guard('refuse what waits'):
            self.handle(messages.StopRequested())
        while (left_s := drain.answers_until - clock.now_s()) > 0:
            if self._core.is_drained(time.monotonic()):
                break
            await asyncio.sleep(min(left_s, DRAIN_POLL_S))
        with draining.guard('end attempts'):
            self.handle(messages.StopExpired())
        await asyncio.sleep(_bound(FLUSH_S, drain.ends_at - MIN_CLOSE_S))
        return drain

    def _on_wakeup(self):
        self.handle(messages.TimePassed())

    async def _probe(self):
        while True:
            up = await self._endpoint.probe()
            self.handle(messages.EndpointProbed(up))
            await asyncio.sleep(PROBE_INTERVAL_S)

    def _report_interval(self):
        return (
            IDLE_REPORT_INTERVAL_S
            if self._core.idle
            else BUSY_REPORT_INTERVAL_S
        )

    def _envelope(self, frames):
        board = self._core.board
        return pb.Envelope(
            sender=board.name,
            incarnation=board.incarnation,
            revision=board.revision,
            load=self._core.load(time.monotonic()),
            frames=frames,
        )

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _send_frame(self, effect):
        box = self._outboxes.get(effect.link)
        if box is not None:
            box.put(effect.frame)

    def _start_call(self, effect):
        self._spawn(self._endpoint.run(effect.attempt_id, effect.offer))

    def _resume_call(self, effect):
        self._spawn(self._endpoint.resume(effect.attempt_id, effect.offset))

    def _cancel_call(self, effect):
        self._spawn(self._endpoint.cancel(effect.attempt_id))

    def _report_load(self, effect):
        for box in self._outboxes.values():
            box.wake()

    def _log_event(self, effect):
        log.emit(effect.event, **effect.fields)


def _bound(seconds, ends_at):
    """Return a time in seconds, or what is left of it until ends_at."""
    return max(min(seconds, ends_at - clock.now_s()), 0.0)

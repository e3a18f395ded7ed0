"""Connect the core of an entry to HTTP, gRPC, platform and clock."""

from __future__ import annotations

import asyncio
import contextlib
import time

from returns import result

from persimmonroute import background
from persimmonroute import blackboard
from persimmonroute.config import declarations
from persimmonroute import configuration_store
from persimmonroute.entry import links
from persimmonroute.entry import messages
from persimmonroute.entry import metrics
from persimmonroute.events import Event
from persimmonroute import exceptions
from persimmonroute import logs
from persimmonroute import wakeup

log = logs.EventLog(__name__)

LIST_INTERVAL_S = 2.0
CONFIGURATION_INTERVAL_S = 2.0


class EntryShell:
    """Run the core of an entry on an asyncio event loop."""

    def __init__(self, core, platform, grouper, tls_settings=None):
        self._core = core
        self._metrics = metrics.EntryMetrics(core.board.caller_account)
        self._work_classes: dict[str, declarations.WorkClass] = {}
        self._platform = platform
        self._grouper = grouper
        self._tls = tls_settings
        self._links: dict[str, links.SidecarLink] = {}
        self._responses: dict[str, asyncio.Queue] = {}
        self._tasks: set[asyncio.Task] = set()
        self._platform_up = True
        self._configuration_wakeup = asyncio.Event()
        self._wakeup = wakeup.WakeupTimer(self._on_wakeup)
        self._effect_handlers = {
            messages.SendFrame: self._send_frame,
            messages.OpenLink: self._open_link,
            messages.CloseLink: self._close_link,
            messages.ResponseData: self._response_data,
            messages.ResponseEnded: self._response_ended,
            messages.Transact: self._transact,
            blackboard.LogEvent: self._log_event,
        }

    @property
    def core(self):
        """Return the core of the entry."""
        return self._core

    @property
    def metrics(self):
        """Return the metrics of the entry."""
        return self._metrics

    def handle(self, event):
        """Pass an event to the core and execute the resulting effects."""
        for effect in self._core.handle(event, time.monotonic()):
            self._effect_handlers[type(effect)](effect)
        self._wakeup.schedule(self._core.next_timer_at)

    def submit(self, call, queue):
        """Submit a call; its response effects are put into the queue."""
        work_class = self._core.validate_call(call)
        self._responses[call.request_id] = queue
        self._work_classes[call.request_id] = work_class
        self._metrics.on_arrived(call, time.monotonic())
        self.handle(messages.CallArrived(call))

    def disconnect(self, request_id):
        """Report that the caller of a request disconnected."""
        if self._responses.pop(request_id, None) is not None:
            self.handle(messages.CallerDisconnected(request_id))

    def start(self):
        """Start polling the instance list and the configuration."""
        self._spawn(background.run_forever(self._poll_instances))
        self._spawn(background.run_forever(self._poll_configuration))

    async def close(self):
        """Stop polling and close all connections."""
        self._wakeup.cancel()
        for task in list(self._tasks):
            task.cancel()
        for link in self._links.values():
            link.close()
        await self._platform.close()

    def _on_wakeup(self):
        self.handle(messages.TimePassed())

    async def _poll_instances(self):
        while True:
            try:
                listed = await self._platform.list_instances()
                self.handle(messages.InstancesListed(_endpoints(listed)))
            except exceptions.PlatformUnavailableError as error:
                log.emit(Event.LIST_UNAVAILABLE, problem=error.problem)
            await asyncio.sleep(LIST_INTERVAL_S)

    async def _poll_configuration(self):
        revisions = configuration_store.ConfigurationStore(self._platform)
        while True:
            head = await revisions.read_head()
            available = isinstance(head, result.Success)
            self._record_platform_state(available)
            if available and head.unwrap() > self._core.board.revision:
                await self._read_revision(revisions)
            self._configuration_wakeup.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self._configuration_wakeup.wait(), CONFIGURATION_INTERVAL_S
                )

    def receive_revision(self, number, data):
        """Adopt a pushed revision, and poll the configuration now.

        Without signature checks a push is only a hint to poll.
        """
        if self._core.verifies_signatures and number > 0:
            self.handle(messages.ConfigurationReceived(number, data))
        self._configuration_wakeup.set()

    async def _read_revision(self, revisions):
        current = await revisions.read_current()
        if isinstance(current, result.Success):
            revision = current.unwrap()
            received = messages.ConfigurationReceived(
                revision.number, revision.to_bytes()
            )
            self.handle(received)

    def _record_platform_state(self, up):
        if up != self._platform_up:
            self._platform_up = up
            event = (
                Event.PLATFORM_AVAILABLE if up else Event.PLATFORM_UNAVAILABLE
            )
            log.emit(event)

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _send_frame(self, effect):
        link = self._links.get(effect.sidecar)
        if link is not None:
            link.send(effect.frame)

    def _open_link(self, effect):
        self._close_link(effect)
        self._links[effect.sidecar] = links.SidecarLink(
            self._core.board,
            effect.sidecar,
            effect.address,
            self.handle,
            self._tls,
        )

    def _close_link(self, effect):
        link = self._links.pop(effect.sidecar, None)
        if link is not None:
            link.close()

    def _response_data(self, effect):
        self._metrics.on_data(effect.request_id, time.monotonic())
        queue = self._responses.get(effect.request_id)
        if queue is not None:
            queue.put_nowait(effect)

    def _response_ended(self, effect):
        work_class = self._work_classes.pop(effect.request_id, None)
        self._metrics.on_ended(effect, work_class, time.monotonic())
        queue = self._responses.pop(effect.request_id, None)
        if queue is not None:
            queue.put_nowait(effect)

    def _transact(self, effect):
        self._spawn(self._write(effect))

    async def _write(self, effect):
        reply = await self._grouper.write(effect.writes[0])
        self.handle(messages.StoreReplied(effect.token, reply))

    def _log_event(self, effect):
        log.emit(effect.event, **effect.fields)


def _endpoints(listed):
    return tuple(
        messages.Instance(
            name=item['name'],
            service=item['service'],
            region=item['region'],
            failure_domain=item['failure_domain'],
            sidecar=item['sidecar'],
            leaving=item['state'] == 'leaving',
        )
        for item in listed
        if item['kind'] == 'endpoint'
    )

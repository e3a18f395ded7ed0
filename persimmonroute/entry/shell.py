"""Connect an entry's core to HTTP, gRPC, the platform and the clock."""

from __future__ import annotations

import asyncio
import time

from persimmonroute import alarms
from persimmonroute.entry import links
from persimmonroute.entry import messages
from persimmonroute.events import Event
from persimmonroute import exceptions
from persimmonroute import logs
from persimmonroute.store import StoreStatus

log = logs.EventLog(__name__)

LIST_PERIOD_S = 1.0
CONFIGURATION_PERIOD_S = 2.0
CONFIGURATION_TABLE = 'configuration'
CONFIGURATION_KEY = 'current'


class EntryShell:
    """Run an entry's core inside an asyncio process."""

    def __init__(self, core, platform, grouper):
        self._core = core
        self._platform = platform
        self._grouper = grouper
        self._links: dict[str, links.SidecarLink] = {}
        self._answers: dict[str, asyncio.Queue] = {}
        self._tasks: set[asyncio.Task] = set()
        self._platform_up = True
        self._alarm = alarms.Alarm(self._ring)
        self._effect_handlers = {
            messages.SendFrame: self._send_frame,
            messages.OpenLink: self._open_link,
            messages.CloseLink: self._close_link,
            messages.AnswerData: self._put_answer,
            messages.AnswerEnded: self._put_answer,
            messages.Transact: self._transact,
            messages.LogEvent: self._log_event,
        }

    @property
    def core(self):
        """Return the core of the entry."""
        return self._core

    @property
    def in_progress(self):
        """Return the number of requests in progress."""
        return len(self._core.board.calls)

    def handle(self, event):
        """Bring an event to the core and carry out its effects."""
        for effect in self._core.handle(event, time.monotonic()):
            self._effect_handlers[type(effect)](effect)
        self._alarm.arm(self._core.next_timer_at)

    def submit(self, call):
        """Return the queue of answers to a call."""
        queue = asyncio.Queue()
        self._answers[call.request_id] = queue
        try:
            self.handle(messages.CallArrived(call))
        except exceptions.BadRequestError:
            del self._answers[call.request_id]
            raise
        return queue

    def abandon(self, request_id):
        """Report that a caller has gone."""
        if self._answers.pop(request_id, None) is not None:
            self.handle(messages.CallerGone(request_id))

    def start(self):
        """Start the periodic work."""
        self._spawn(self._follow_instances())
        self._spawn(self._follow_configuration())

    async def close(self):
        """End the periodic work and all connections."""
        self._alarm.cancel()
        for task in list(self._tasks):
            task.cancel()
        for link in self._links.values():
            link.close()
        await self._platform.close()

    def _ring(self):
        self.handle(messages.TimePassed())

    async def _follow_instances(self):
        while True:
            try:
                listed = await self._platform.list_instances()
                self._note_platform(True)
                self.handle(messages.InstancesListed(_endpoints(listed)))
            except exceptions.PlatformUnavailableError as error:
                self._note_platform(False, problem=error.problem)
            await asyncio.sleep(LIST_PERIOD_S)

    async def _follow_configuration(self):
        while True:
            reply = await self._platform.read(
                CONFIGURATION_TABLE, CONFIGURATION_KEY
            )
            if reply.status is StoreStatus.FOUND and reply.rows:
                value = reply.rows[0].value
                document = value['document'].encode()
                heard = messages.ConfigurationHeard(
                    value['revision'], document
                )
                self.handle(heard)
            await asyncio.sleep(CONFIGURATION_PERIOD_S)

    def _note_platform(self, up, **fields):
        if up != self._platform_up:
            self._platform_up = up
            event = (
                Event.PLATFORM_AVAILABLE if up else Event.PLATFORM_UNAVAILABLE
            )
            log.emit(event, **fields)

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
            self._core.board, effect.sidecar, effect.address, self.handle
        )

    def _close_link(self, effect):
        link = self._links.pop(effect.sidecar, None)
        if link is not None:
            link.close()

    def _put_answer(self, effect):
        queue = self._answers.get(effect.request_id)
        if queue is None:
            return
        queue.put_nowait(effect)
        if isinstance(effect, messages.AnswerEnded):
            del self._answers[effect.request_id]

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

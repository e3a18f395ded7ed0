"""Simulate the processes that run entry and sidecar cores."""

from __future__ import annotations

import itertools
import typing

from persimmonroute import blackboard
from persimmonroute import composition
from persimmonroute.entry import messages as entry_messages
from persimmonroute.generated import exchange_pb2 as pb
from persimmonroute.sidecar import messages as sidecar_messages

BUSY_REPORT_INTERVAL_S = 0.25
IDLE_REPORT_INTERVAL_S = 1.0
PROBE_INTERVAL_S = 0.5


class ProcessNode:
    """Feed events to a core and execute its effects."""

    def __init__(self, simulation, name):
        self.simulation = simulation
        self.name = name
        self.core = None
        self.alive = False
        self.frozen = False
        self._backlog = []
        self._timer_at = None
        self._frames: dict[str, list] = {}
        self.log = []

    def handle(self, event):
        """Handle an event, or queue it while the process is frozen."""
        if not self.alive:
            return
        if self.frozen:
            self._backlog.append(event)
            return
        for effect in self.core.handle(event, self.simulation.now):
            self.execute(effect)
        self._arm_timer()

    def freeze(self):
        """Suspend the process without ending it."""
        self.frozen = True

    def unfreeze(self):
        """Resume a frozen process and handle its queued events."""
        self.frozen = False
        backlog, self._backlog = self._backlog, []
        for event in backlog:
            self.handle(event)

    def execute(self, effect):
        """Execute one effect of the core."""
        raise NotImplementedError

    def timer_event(self):
        """Return the event that notifies the core of a due timer."""
        raise NotImplementedError

    def send_frames(self, target, frames):
        """Send frames in one envelope."""
        raise NotImplementedError

    def queue_frame(self, target, frame):
        """Queue a frame to be sent with others of the same instant."""
        if target not in self._frames:
            self._frames[target] = []
            self.simulation.schedule(0.0, self._flush, self.core, target)
        self._frames[target].append(frame)

    def _flush(self, core, target):
        if core is self.core:
            frames = self._frames.pop(target, [])
            if self.alive:
                self.send_frames(target, frames)

    def _arm_timer(self):
        next_at = self.core.next_timer_at
        if next_at is None:
            return
        if self._timer_at is None or next_at < self._timer_at:
            self._timer_at = next_at
            delay = max(next_at - self.simulation.now, 0.0)
            self.simulation.schedule(delay, self._fire_timer, self.core)

    def _fire_timer(self, core):
        if core is self.core:
            self._timer_at = None
            self.handle(self.timer_event())


class EntryNode(ProcessNode):
    """Simulate an entry process."""

    def __init__(self, simulation, name, locality):
        super().__init__(simulation, name)
        self.locality = locality
        # Overrides the default routing policy; takes the board.
        self.make_routing: typing.Callable | None = None
        # Sidecars that the entry is connected to or connects to.
        self.linked_sidecars: set[str] = set()
        self._handlers = {
            entry_messages.SendFrame: self._send_frame,
            entry_messages.OpenLink: self._open_link,
            entry_messages.CloseLink: self._close_link,
            entry_messages.ResponseData: self._response_data,
            entry_messages.ResponseEnded: self._response_ended,
            entry_messages.Transact: self._transact,
            blackboard.LogEvent: self._log_event,
        }

    def start(self):
        """Start a new incarnation."""
        self.core = composition.build_entry_core(
            self.name,
            self.locality.region,
            self.locality.failure_domain,
            self.make_routing,
        )
        self.alive, self.frozen = True, False
        self._timer_at, self._backlog, self._frames = None, [], {}
        self.linked_sidecars.clear()
        self.list_instances()
        self.handle(self.simulation.configuration)

    def kill(self):
        """Kill the process without a graceful stop."""
        self.alive = False
        self.simulation.drop_links(self.name)
        self.simulation.disconnect_callers(self.name)

    def list_instances(self):
        """Update the core with the platform's list of instances."""
        listed = entry_messages.InstancesListed(self.simulation.instances())
        self.handle(listed)

    def execute(self, effect):
        """Execute one effect of the core."""
        self._handlers[type(effect)](effect)

    def timer_event(self):
        """Return the event that notifies the core of a due timer."""
        return entry_messages.TimePassed()

    def _send_frame(self, effect):
        self.queue_frame(effect.sidecar, effect.frame)

    def send_frames(self, target, frames):
        """Send frames to a sidecar in one envelope."""
        envelope = pb.Envelope(
            sender=self.name,
            revision=self.core.board.revision,
            frames=frames,
        )
        self.simulation.send_to_sidecar(self.name, target, envelope)

    def _open_link(self, effect):
        self.linked_sidecars.add(effect.sidecar)
        self.simulation.connect(self.name, effect.sidecar)

    def _close_link(self, effect):
        self.linked_sidecars.discard(effect.sidecar)
        self.simulation.close_link(self.name, effect.sidecar)

    def _response_data(self, effect):
        self.simulation.response_data(effect)

    def _response_ended(self, effect):
        self.simulation.response_ended(effect)

    def _transact(self, effect):
        core = self.core

        def reply(response):
            if core is self.core:
                self.handle(
                    entry_messages.StoreReplied(effect.token, response)
                )

        self.simulation.store.transact(effect.writes, reply)

    def _log_event(self, effect):
        self.log.append((self.simulation.now, effect))


class SidecarNode(ProcessNode):
    """Simulate a sidecar process and its endpoint."""

    def __init__(self, simulation, instance, endpoint, build_core):
        super().__init__(simulation, instance.name)
        self.instance = instance
        self.endpoint = endpoint
        self._build_core = build_core
        self._incarnations = itertools.count(1)
        self._handlers = {
            sidecar_messages.SendFrame: self._send_frame,
            sidecar_messages.StartCall: self._start_call,
            sidecar_messages.ResumeCall: self._resume_call,
            sidecar_messages.CancelCall: self._cancel_call,
            sidecar_messages.ReportLoad: self._report_load,
            blackboard.LogEvent: self._log_event,
        }

    def start(self):
        """Start a new incarnation."""
        incarnation = f'{self.name}-{next(self._incarnations)}'
        self.core = self._build_core(self.instance, incarnation)
        self.alive, self.frozen = True, False
        self._timer_at, self._backlog, self._frames = None, [], {}
        self.endpoint.listener = self.handle
        streams = self.endpoint.list_streams()
        self.handle(sidecar_messages.StreamsListed(streams))
        core = self.core
        self.simulation.schedule(BUSY_REPORT_INTERVAL_S, self._report, core)
        self.simulation.schedule(PROBE_INTERVAL_S, self._probe, core)

    def kill(self):
        """Kill the process without a graceful stop."""
        self.alive = False
        self.endpoint.disconnect()
        self.simulation.drop_links(self.name)

    def envelope(self, frames=()):
        """Return an envelope with the current load."""
        board = self.core.board
        return pb.Envelope(
            sender=self.name,
            incarnation=board.incarnation,
            revision=board.revision,
            load=self.core.load(self.simulation.now),
            frames=frames,
        )

    def execute(self, effect):
        """Execute one effect of the core."""
        self._handlers[type(effect)](effect)

    def timer_event(self):
        """Return the event that notifies the core of a due timer."""
        return sidecar_messages.TimePassed()

    def _report(self, core):
        if core is not self.core or not self.alive:
            return
        if not self.frozen:
            self._report_load(None)
        interval = (
            IDLE_REPORT_INTERVAL_S if core.idle else BUSY_REPORT_INTERVAL_S
        )
        self.simulation.schedule(interval, self._report, core)

    def _report_load(self, effect):
        for link in sorted(self.core.board.links):
            self.simulation.send_to_entry(link, self.envelope())

    def _probe(self, core):
        if core is not self.core or not self.alive:
            return
        # A silent endpoint answers health checks later.
        if not self.endpoint.silent:
            self.handle(sidecar_messages.EndpointProbed(self.endpoint.alive))
        self.simulation.schedule(PROBE_INTERVAL_S, self._probe, core)

    def _send_frame(self, effect):
        self.queue_frame(effect.link, effect.frame)

    def send_frames(self, target, frames):
        """Send frames over a link in one envelope."""
        self.simulation.send_to_entry(target, self.envelope(frames))

    def _start_call(self, effect):
        self.endpoint.start(effect.attempt_id, effect.offer)

    def _resume_call(self, effect):
        self.endpoint.resume(effect.attempt_id, effect.offset)

    def _cancel_call(self, effect):
        self.endpoint.cancel(effect.attempt_id)

    def _log_event(self, effect):
        self.log.append((self.simulation.now, effect))

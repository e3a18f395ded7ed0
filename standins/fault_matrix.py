"""Inject each fault at each step of a request and check the promises.

The number before a problem is that of the broken promise.
"""

from __future__ import annotations

import json
import random
import typing

import transitions

from persimmonroute.entry import messages as entry_messages
from persimmonroute.sidecar import messages as sidecar_messages
from standins import endpoint_nodes
from standins import faults
from standins import simulation as simulations
from standins import small_simulation

TRIAL_LIMIT_S = 90.0
QUIET_PERIOD_S = 12.0
MAX_SENDS = 6
RESEND_S = 0.5
LEAVING_LIMIT_S = 3.0
KINDS = ('order', 'draft')
SEEDS = (0, 1, 2)


class Step(typing.NamedTuple):
    """Describe a step of a request and how it is detected."""

    name: str
    # Kind of frame whose arrival marks the step.
    frame: str = ''
    order_only: bool = False


STEPS = (
    Step('accepted by the entry'),
    Step('offered', 'offer'),
    Step('queued', 'accepted'),
    Step('claimed', order_only=True),
    Step('ready', 'ready'),
    Step('started', 'grant'),
    Step('first token out', 'chunk'),
    Step('midway in the stream', 'chunk'),
    Step('answered', 'finished'),
    Step('outcome recorded', order_only=True),
    Step('drained'),
)


class CellResult(typing.NamedTuple):
    """Record the result of one cell of the matrix."""

    step: str
    fault: str
    kind: str
    seed: int
    reached: bool
    outcomes: tuple[str, ...]
    problems: tuple[str, ...]


class Trial:
    """Run one request in a simulation with injected faults."""

    def __init__(self, step, injected, kind, seed):
        self.step = step
        self.faults = injected
        self.kind = kind
        self.random = random.Random(seed)
        self.seed = seed
        self.simulation = small_simulation.build_simulation(
            endpoints=3, entries=3
        )
        self.simulation.on_arrival = self._on_arrival
        self.simulation.on_store = self._on_store
        self.entry = 'entry-1'
        self.sidecar = None
        self.reached = False
        self.sends = []
        self.problems = []
        self.leave_times = {}
        self.next_revision = 2
        self._revisions = {}
        self._background = []

    def run(self):
        """Run the trial and return its CellResult."""
        try:
            self._simulate()
        except transitions.MachineError as error:
            self.problems.append(f'machine: {error}')
        self._check()
        return CellResult(
            self.step.name,
            ' + '.join(fault.name for fault in self.faults),
            self.kind,
            self.seed,
            self.reached,
            tuple(view.outcome for view in self.sends),
            tuple(self.problems),
        )

    def _simulate(self):
        self._send(self.entry)
        self._send_background()
        self.simulation.run_while(lambda: not self._settled(), TRIAL_LIMIT_S)
        self.simulation.run_until(self.simulation.now + QUIET_PERIOD_S)
        # A fault may have resent the request during the quiet period.
        self.simulation.run_while(lambda: not self._settled(), TRIAL_LIMIT_S)

    def resend(self, entry):
        """Resend the request through another entry."""
        self._send(entry)

    def other_entry(self):
        """Return a live entry other than the first, if there is one."""
        for name, node in sorted(self.simulation.entries.items()):
            if name != self.entry and node.alive:
                return name
        return self.entry

    def add_revision(self, number):
        """Deliver a configuration revision to one entry."""
        document = json.dumps(small_simulation.DECLARATIONS).encode()
        received = entry_messages.ConfigurationReceived(number, document)
        self.simulation.entries[self.other_entry()].handle(received)

    def _send(self, entry):
        number = len(self.sends)
        send = f'probe-{number}'
        if self.kind == 'order':
            call = small_simulation.order(send, key='probe')
        else:
            call = small_simulation.draft(send)
        view = self.simulation.submit(call, entry)
        self.sends.append(view)
        self._watch(view)

    def _send_background(self):
        for number in range(4):
            call = small_simulation.draft(f'other-{number}', tokens=40)
            entry = f'entry-{2 + number % 2}'
            self._background.append(self.simulation.submit(call, entry))

    def _watch(self, view):
        if view.ended_at is None:
            self.simulation.schedule(RESEND_S, self._watch, view)
            return
        if view.outcome == 'completed' or len(self.sends) >= MAX_SENDS:
            return
        if view.outcome == 'unknown' or view is not self.sends[-1]:
            return
        wait = RESEND_S
        if view.ended is not None and view.ended.retry_after_s:
            wait = view.ended.retry_after_s
        self.simulation.schedule(wait, self._resend_if_last, view)

    def _resend_if_last(self, view):
        if view is self.sends[-1]:
            self._send(self.other_entry())

    def _settled(self):
        views = self.sends + self._background
        if any(view.ended_at is None for view in views):
            return False
        last = self.sends[-1]
        done = last.outcome in faults.COMPLETED_OR_UNKNOWN
        return done or len(self.sends) >= MAX_SENDS

    def _on_arrival(self, node, event):
        self._record_revision(node)
        if isinstance(event, entry_messages.CallArrived):
            if self.step.name == 'accepted by the entry':
                self._reach_if_probe(event.call.request_id)
            return
        envelope = getattr(event, 'envelope', None)
        for frame in envelope.frames if envelope else ():
            if not frame.request_id.startswith('probe-0'):
                continue
            is_sidecar = isinstance(event, sidecar_messages.EnvelopeArrived)
            self.sidecar = node.name if is_sidecar else event.sidecar
            if self._is_step(frame):
                self._reach()

    def _is_step(self, frame):
        kind = frame.WhichOneof('body')
        if self.step.name == 'drained':
            return self._drain_when_started(kind)
        if kind != self.step.frame:
            return False
        if self.step.name == 'midway in the stream':
            return frame.chunk.offset > 0
        return True

    def _drain_when_started(self, kind):
        if kind != 'grant' or self.reached:
            return False
        node = self.simulation.sidecars[self.sidecar]
        self.simulation.schedule(0.001, faults.stop_sidecar, self, node.name)
        self.simulation.schedule(0.002, self._reach)
        return False

    def _on_store(self, writes):
        for write in writes:
            state = write.value.get('state')
            if not write.key.endswith('/probe'):
                continue
            claimed = self.step.name == 'claimed' and state == 'claimed'
            recorded = (
                self.step.name == 'outcome recorded' and state == 'finished'
            )
            if claimed or recorded:
                self._reach()

    def _reach_if_probe(self, request_id):
        if request_id.startswith('probe-0'):
            self._reach()

    def _reach(self):
        if self.reached:
            return
        self.reached = True
        if self.sidecar is None:
            service = (
                small_simulation.PLAIN
                if self.kind == 'order'
                else small_simulation.MODEL
            )
            self.sidecar = f'{service}-1'
        for fault in self.faults:
            self._inject(fault)

    def _inject(self, fault):
        # Seed 0 injects before the message is handled, seed 1 right after
        # it, other seeds up to 30 ms later.
        if self.seed == 0:
            fault.inject(self)
            return
        delay = 0.0 if self.seed == 1 else self.random.uniform(0, 0.03)
        self.simulation.schedule(delay, fault.inject, self)

    def _record_revision(self, node):
        revision = node.core.board.revision
        key = (node.name, id(node.core))
        if revision < self._revisions.get(key, 0):
            self.problems.append(
                f'8: {node.name} went back to revision {revision}'
            )
        self._revisions[key] = revision

    def _check(self):
        self._check_runs()
        for view in self.sends + self._background:
            self._check_view(view)
        self._check_last()
        self._check_leaving()
        self._check_revisions()

    def _check_runs(self):
        runs = simulations.runs_by_attempt(self.simulation)
        by_send = {}
        for attempt, count in runs.items():
            send = attempt.rsplit('.', 1)[0]
            by_send[send] = by_send.get(send, 0) + count
        for send, count in by_send.items():
            if count > 1:
                self.problems.append(f'1: {send} was dispatched {count} times')
        self._runs_by_send = by_send
        if self.kind == 'order':
            count = sum(
                node.runs_by_body[b'probe']
                for node in self.simulation.endpoints.values()
            )
            if count > 1:
                self.problems.append(f'5: the order ran {count} times')

    def _check_view(self, view):
        send = view.call.request_id
        expected = endpoint_nodes.expected_response(view.call)
        data = bytes(view.data)
        if view.outcome == 'completed' and data != expected:
            self.problems.append(f'3: {send} completed with {data[:40]!r}')
        if not expected.startswith(data):
            self.problems.append(
                f"3: {send} received another request's response"
            )
        if view.outcome == 'not-run' and self._runs_by_send.get(send):
            self.problems.append(f'4: {send} ended not-run but ran')
        if view.ended_at is None:
            self.problems.append(f'lost: {send} has no final response')

    def _check_last(self):
        allowed = frozenset.intersection(*(f.allowed for f in self.faults))
        widest = frozenset.union(*(f.allowed for f in self.faults))
        allowed = widest if len(self.faults) > 1 else allowed
        last = self.sends[-1].outcome
        if self.reached and last not in allowed:
            sends = [view.outcome for view in self.sends]
            self.problems.append(f'lost: the last send ended {sends}')

    def _check_leaving(self):
        for name, leave_at in self.leave_times.items():
            node = self.simulation.sidecars[name]
            for at, effect in node.log:
                started = effect.event.name == 'REQUEST_STARTED'
                if started and at > leave_at + LEAVING_LIMIT_S:
                    self.problems.append(
                        f'6: {name} started work after leaving, at {at}'
                    )

    def _check_revisions(self):
        nodes = (
            *self.simulation.entries.values(),
            *self.simulation.sidecars.values(),
        )
        alive = [n for n in nodes if n.alive and not n.frozen]
        revisions = {n.core.board.revision for n in alive}
        if len(revisions) > 1:
            self.problems.append(f'8: revisions differ: {revisions}')


def run_cell(step, injected, kind, seed):
    """Run one cell of the matrix and return its CellResult."""
    return Trial(step, injected, kind, seed).run()


def applies(step, kind):
    """Return whether a step exists for a kind of request."""
    return kind == 'order' or not step.order_only

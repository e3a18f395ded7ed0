"""Define the policies that the benchmark compares."""

from __future__ import annotations

import typing

from persimmonroute.entry import routing
from persimmonroute.sidecar import admission
from persimmonroute.sidecar import board as boards
from persimmonroute.sidecar import core as cores
from persimmonroute.sidecar import limits
from persimmonroute.sidecar import waiting

UNLIMITED = 1_000_000


class UnlimitedStart(limits.PlainLimit):
    """Start every request at once, as an engine without a sidecar does."""

    def __init__(self):
        super().__init__()
        self.max_running = UNLIMITED


class LeastOwn(routing.RoutingPolicy):
    """Choose the sidecar with the fewest requests of this entry."""

    def __init__(self, board):
        self._board = board

    def choose(self, record, candidates, locality):
        """Return the candidate with the fewest requests of this entry."""
        request_counts = dict.fromkeys(
            (v.instance.name for v in candidates), 0
        )
        for call in self._board.calls.values():
            if call.sidecar in request_counts:
                request_counts[call.sidecar] += 1
        predictions = tuple(
            routing.Prediction(name, float(count), 0.0, 0.0)
            for name, count in request_counts.items()
        )
        chosen = min(predictions, key=lambda p: p.wait_s, default=None)
        return routing.Decision(chosen, predictions)


class Policy(typing.NamedTuple):
    """Define how entries route and whether sidecars skip admission."""

    name: str
    make_routing: typing.Callable
    baseline: bool


POLICIES = {
    policy.name: policy
    for policy in (
        Policy('targets', lambda board: routing.PredictedFirstToken(), False),
        Policy('round-robin', lambda board: routing.RoundRobin(), True),
        Policy(
            'least-reported', lambda board: routing.LeastReportedLoad(), True
        ),
        Policy('least-own', LeastOwn, True),
    )
}


def build_sidecar_core(policy, kind, instance, incarnation):
    """Build the core of a sidecar for a policy."""
    board = boards.SidecarBoard(instance.name, incarnation, instance.service)
    if policy.baseline:
        board.queue = waiting.WaitingQueue(waiting.ArrivalOrder())
        return cores.SidecarCore(
            board, UnlimitedStart(), admission.AcceptAll()
        )
    limit = {'model': limits.ModelLimit, 'plain': limits.PlainLimit}[kind]()
    admission_policy = admission.TieredAdmission(board, limit)
    return cores.SidecarCore(board, limit, admission_policy)

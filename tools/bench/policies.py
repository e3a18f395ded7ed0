"""Name the policies that the bench compares."""

from __future__ import annotations

import typing

from persimmonroute.entry import routing
from persimmonroute.sidecar import admission
from persimmonroute.sidecar import board as boards
from persimmonroute.sidecar import core as cores
from persimmonroute.sidecar import limits
from persimmonroute.sidecar import waiting

OPEN_LIMIT = 1_000_000


class OpenLimit(limits.PlainLimit):
    """Let every request start at once, as engines do by themselves."""

    def __init__(self):
        super().__init__()
        self.max_running = OPEN_LIMIT


class LeastOwn(routing.RoutingPolicy):
    """Take the sidecar with the fewest own requests; a baseline."""

    def __init__(self, board):
        self._board = board

    def choose(self, record, candidates, locality):
        """Return the candidate with the fewest own requests."""
        own = dict.fromkeys((v.instance.name for v in candidates), 0)
        for other in self._board.calls.values():
            if other.sidecar in own:
                own[other.sidecar] += 1
        predictions = tuple(
            routing.Prediction(name, float(count), 0.0, 0.0)
            for name, count in own.items()
        )
        chosen = min(predictions, key=lambda p: p.wait_s, default=None)
        return routing.Decision(chosen, predictions)


class Policy(typing.NamedTuple):
    """Name how entries route and how sidecars queue."""

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
    """Return a sidecar's core for a policy."""
    board = boards.SidecarBoard(instance.name, incarnation, instance.service)
    if policy.baseline:
        board.queue = waiting.WaitingQueue(waiting.ArrivalOrder())
        return cores.SidecarCore(board, OpenLimit(), admission.AcceptAll())
    limit = {'model': limits.ModelLimit, 'plain': limits.PlainLimit}[kind]()
    judge = admission.TieredAdmission(board, limit)
    return cores.SidecarCore(board, limit, judge)

"""Check that a simulation sheds lower tiers first."""

from __future__ import annotations

import typing

from persimmonroute.entry import endings

QUEUE_EXIT_EVENTS = (
    'REQUEST_STARTED',
    'REQUEST_EVICTED',
    'OFFER_REFUSED',
    'OFFER_DROPPED',
)
# Longest delay between regions plus the batching of notices.
MAX_NOTICE_DELAY_S = 0.06


def count_violations(simulation):
    """Count sheds while a lower tier of the service stayed queued.

    Other nodes learn of a shed from a message, so a request that leaves
    its queue before that message can arrive does not count.
    """
    waits = _find_waits(simulation)
    return sum(
        any(
            wait.service == shed.service
            and wait.tier > shed.tier
            and wait.queued_at < shed.at < wait.left_at - MAX_NOTICE_DELAY_S
            for wait in waits
        )
        for shed in _find_sheds(simulation)
    )


class _Wait(typing.NamedTuple):
    service: str
    tier: int
    queued_at: float
    left_at: float


class _Shed(typing.NamedTuple):
    service: str
    tier: int
    at: float


def _find_waits(simulation):
    waits = []
    for node in simulation.sidecars.values():
        queued = {}
        for at, effect in node.log:
            attempt, name = effect.fields.get('attempt'), effect.event.name
            if name == 'OFFER_QUEUED':
                queued[attempt] = (effect.fields['tier'], at)
            elif name in QUEUE_EXIT_EVENTS and attempt in queued:
                tier, queued_at = queued.pop(attempt)
                waits.append(_Wait(node.instance.service, tier, queued_at, at))
    return waits


def _find_sheds(simulation):
    return [
        _Shed(effect.fields['service'], effect.fields['tier'], at)
        for node in simulation.entries.values()
        for at, effect in node.log
        if effect.event.name == 'REQUEST_SHED'
        and effect.fields['problem'] == endings.NO_ENDPOINT
    ]

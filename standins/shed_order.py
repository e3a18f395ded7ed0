"""Check the order in which a simulation shed its requests."""

from __future__ import annotations

import typing

from persimmonroute.entry import endings

ENDS_OF_WAITING = (
    'REQUEST_STARTED',
    'REQUEST_EVICTED',
    'OFFER_REFUSED',
    'OFFER_DROPPED',
)
# Longest way of a notice between regions, and its batching.
NOTICE_S = 0.06


def count_violations(simulation):
    """Count sheds while a lower tier of the service went on waiting.

    A shed is known elsewhere after a message, so what is evicted within
    that time does not count.
    """
    waits = _find_waits(simulation)
    return sum(
        any(
            wait.service == shed.service
            and wait.tier > shed.tier
            and wait.begin < shed.at < wait.end - NOTICE_S
            for wait in waits
        )
        for shed in _find_sheds(simulation)
    )


class _Wait(typing.NamedTuple):
    service: str
    tier: int
    begin: float
    end: float


class _Shed(typing.NamedTuple):
    service: str
    tier: int
    at: float


def _find_waits(simulation):
    waits = []
    for node in simulation.sidecars.values():
        begun = {}
        for at, effect in node.log:
            attempt, name = effect.fields.get('attempt'), effect.event.name
            if name == 'OFFER_QUEUED':
                begun[attempt] = (effect.fields['tier'], at)
            elif name in ENDS_OF_WAITING and attempt in begun:
                tier, begin = begun.pop(attempt)
                waits.append(_Wait(node.instance.service, tier, begin, at))
    return waits


def _find_sheds(simulation):
    return [
        _Shed(effect.fields['service'], effect.fields['tier'], at)
        for node in simulation.entries.values()
        for at, effect in node.log
        if effect.event.name == 'REQUEST_SHED'
        and effect.fields['problem'] == endings.NO_ENDPOINT
    ]

"""Describe the scenarios of the bench."""

from __future__ import annotations

import typing


class Action(typing.NamedTuple):
    """Do something to the world at a time in seconds."""

    at_s: float
    name: str
    target: str = ''
    value: float = 0.0


class Scenario(typing.NamedTuple):
    """Describe load and faults; load is a share of the capacity."""

    name: str
    load: float
    seconds: float = 30.0
    actions: tuple[Action, ...] = ()
    # A second load of one tier, from a time on for some seconds.
    burst_tier: int = 0
    burst_load: float = 0.0
    burst_at_s: float = 10.0
    burst_s: float = 5.0
    # How often a refused caller sends again, keeping to Retry-After or not.
    resends: int = 0
    patient: bool = True
    # Distinct shared prefixes for each workspace, and their tokens.
    prefixes: int = 1
    prefix_tokens: int = 512
    crashing: int = 0


SLOW_AT_S = 10.0
SCENARIOS = (
    Scenario('steady', 0.7),
    Scenario('overload', 1.5, seconds=60.0),
    Scenario('overload-3', 3.0, seconds=60.0),
    Scenario(
        'slowed',
        0.6,
        seconds=40.0,
        actions=(Action(SLOW_AT_S, 'slow', 'model-0', 3.0),),
    ),
    Scenario('burst', 0.6, burst_tier=4, burst_load=2.0),
    Scenario('dies', 0.6, actions=(Action(10.0, 'kill', 'model-0'),)),
    Scenario('leaves', 0.6, actions=(Action(10.0, 'leave', 'model-0'),)),
    Scenario('entry-dies', 0.6, actions=(Action(10.0, 'kill-entry'),)),
    Scenario(
        'regions-cut',
        0.5,
        seconds=60.0,
        actions=(Action(10.0, 'cut'), Action(40.0, 'heal')),
    ),
    Scenario('store-down', 0.6, actions=(Action(0.0, 'store-down'),)),
    Scenario('repeats', 1.5, resends=5, patient=False),
    Scenario('repeats-patient', 1.5, resends=5),
    Scenario('prefixes', 0.6, seconds=60.0, prefixes=48, prefix_tokens=3072),
    Scenario('crashing', 0.5, crashing=2),
)

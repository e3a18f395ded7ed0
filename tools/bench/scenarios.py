"""Define the scenarios of the benchmark."""

from __future__ import annotations

import typing


class Action(typing.NamedTuple):
    """Inject or clear a fault in the simulation at a time in seconds."""

    at_s: float
    name: str
    target: str = ''
    value: float = 0.0


class Scenario(typing.NamedTuple):
    """Describe the load, as a share of the capacity, and the faults."""

    name: str
    load: float
    seconds: float = 30.0
    actions: tuple[Action, ...] = ()
    # Additional load of one tier during a part of the scenario.
    burst_tier: int = 0
    burst_load: float = 0.0
    burst_at_s: float = 10.0
    burst_s: float = 5.0
    # Retry limit of a refused request; whether retries obey Retry-After.
    max_retries: int = 0
    honors_retry_after: bool = True
    # Number of shared prefixes per workspace, and their length in tokens.
    prefixes: int = 1
    prefix_tokens: int = 512
    # Number of requests that crash the endpoint.
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
    Scenario('repeats', 1.5, max_retries=5, honors_retry_after=False),
    Scenario('repeats-patient', 1.5, max_retries=5),
    Scenario('prefixes', 0.6, seconds=60.0, prefixes=48, prefix_tokens=3072),
    Scenario('crashing', 0.5, crashing=2),
)

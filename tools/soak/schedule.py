"""Draw series of faults from a seed."""

from __future__ import annotations

import typing

# Seconds of warming up, of faults that begin, and of calm after the last.
WARM_UP_S = 1.5
FAULTS_S = 8.0
CALM_S = 6.0


class Fault(typing.NamedTuple):
    """Describe one fault; times in seconds from the first request."""

    at: float
    kind: str
    # Number of the gateway or endpoint that it befalls.
    target: int
    for_s: float
    # Share of requests or seconds of delay, by kind.
    strength: float


class Kind(typing.NamedTuple):
    """Say how a kind of fault is drawn."""

    name: str
    longest_s: float
    most: float


KINDS = (
    Kind('pause', 3.0, 0),
    Kind('kill', 0.5, 0),
    Kind('stop', 0.3, 0),
    Kind('reload', 0.1, 0),
    Kind('store_down', 3.5, 0),
    Kind('store_slow', 1.5, 0),
    Kind('store_lose', 1.5, 0),
    Kind('store_late', 1.0, 0),
    Kind('store_forget', 0.1, 0),
    Kind('store_link_delay', 2.0, 0.3),
    Kind('store_link_cut_up', 4.0, 0),
    Kind('store_link_cut_down', 4.0, 0),
    Kind('store_link_silent', 4.0, 0),
    Kind('store_link_reset', 0.1, 0),
    Kind('caller_link_delay', 1.0, 0.2),
    Kind('caller_link_reset', 0.1, 0),
    Kind('endpoint_link_delay', 1.0, 0.2),
    Kind('endpoint_link_cut_up', 1.5, 0),
    Kind('endpoint_link_cut_down', 1.5, 0),
    Kind('endpoint_link_silent', 1.5, 0),
    Kind('endpoint_link_reset', 0.1, 0),
    Kind('endpoint_crash', 1.0, 0),
    Kind('endpoint_leave', 3.5, 0),
    Kind('endpoint_fail', 2.0, 0.5),
    Kind('endpoint_reset', 2.0, 0.4),
    Kind('endpoint_truncate', 2.0, 0.4),
    Kind('endpoint_break_stream', 2.0, 0.4),
    Kind('endpoint_full', 1.0, 0.6),
    Kind('endpoint_hang', 2.0, 0.2),
    Kind('version', 0.1, 0),
    Kind('revoke', 0.1, 0),
)
NAMES = {kind.name: kind for kind in KINDS}


def draw_faults(rng, gateways, endpoints):
    """Return a series of faults of a few kinds, in order of time.

    Some series are dense and overlap, some leave time between faults, so
    that promises with a bound in time can be checked as well.
    """
    kinds = rng.sample(KINDS, rng.randint(2, 6))
    # Operators change something in every play.
    kinds += [NAMES['version'], NAMES['revoke']]
    faults = []
    for _ in range(rng.randint(3, 14)):
        kind = rng.choice(kinds)
        number = rng.randrange(
            endpoints if kind.name.startswith('endpoint') else gateways
        )
        faults.append(
            Fault(
                at=round(WARM_UP_S + rng.uniform(0, FAULTS_S), 3),
                kind=kind.name,
                target=number,
                for_s=round(kind.longest_s * rng.uniform(0.3, 1.0), 3),
                strength=round(kind.most * rng.uniform(0.3, 1.0), 3),
            )
        )
    return sorted(faults)

"""Generate a random fault schedule from a seed."""

from __future__ import annotations

import random
import typing

# Faults start within FAULT_WINDOW_S after the warm-up; a run goes on without
# faults for FAULT_FREE_S after the last one has ended.
WARM_UP_S = 1.5
FAULT_WINDOW_S = 8.0
FAULT_FREE_S = 6.0


class Fault(typing.NamedTuple):
    """Describe one fault; times in seconds from the first request."""

    at: float
    kind: str
    # Index of the affected gateway or endpoint.
    target: int
    duration_s: float
    # Share of requests, or delay in seconds, depending on the kind.
    strength: float


class Rollout(typing.NamedTuple):
    """Describe an order to change the version of the endpoints."""

    at: float
    duration_s: float
    # How the new version is bad; both are usual for a good one.
    failures: float
    slower: float
    # Part of the time from which on it is bad.
    begins: float

    @property
    def bad(self):
        """Return whether the new version is bad."""
        return self.failures > 0.0 or self.slower > 1.0


class Kind(typing.NamedTuple):
    """Define the limits within which a kind of fault is generated."""

    name: str
    max_duration_s: float
    max_strength: float


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
# Groups that are drawn apart from the others and from each other, so that the
# seeds of before keep their faults.
LATER_GROUPS = (
    (
        Kind('store_restore', 2.5, 0),
        Kind('endpoint_closed', 2.0, 0),
    ),
    (
        Kind('endpoint_unframed_stream', 2.5, 0.6),
        Kind('endpoint_partial_stream', 2.5, 0.6),
        Kind('endpoint_empty_stream', 2.5, 0.6),
        Kind('endpoint_unframed_whole_stream', 2.5, 0.9),
    ),
    (
        Kind('endpoint_limit', 7.0, 0),
        Kind('endpoint_limit_all', 7.0, 0),
    ),
    (Kind('endpoint_break_all', 6.0, 0.7),),
    # The strength is the pause between two changes, in seconds.
    (Kind('storm', 6.0, 0.4),),
)
# Stops beside other signals, drawn last of all. The strength is the time from
# the stop to the next signal, in seconds.
SIGNAL_KINDS = (
    Kind('stop_again', 0.3, 3.0),
    Kind('stop_beside_reload', 0.3, 3.0),
)
# Answers that no endpoint vouches for, drawn after all others.
UNSIGNED_KINDS = (
    Kind('endpoint_unsigned', 2.5, 0.5),
    Kind('endpoint_nameless', 2.5, 0.5),
)
# Signals to several gateways, drawn after these: kills at the same moment, or
# stops, kills and reloads in turn. The strength is the time between two of
# them, in seconds; stops overlap if it is short.
SERIES_KINDS = (
    Kind('kill_two', 0.5, 0),
    Kind('signal_series', 0.5, 3.0),
)
# A store that turns away all gateways but one, and one gateway that has the
# callers of many, drawn after all others. In both the configuration changes;
# the strength is the pause between two changes, in seconds.
CHANGE_KINDS = (
    Kind('turned_away', 6.0, 1.5),
    Kind('crowd', 5.0, 1.5),
)
STOP_KINDS = ('stop', *(kind.name for kind in SIGNAL_KINDS))
# What a series consists of, and the gateways that it meets at most.
SERIES_PARTS = ('stop', 'stop', 'stop_again', 'stop_beside_reload', 'kill')
MAX_SERIES = 8
# Silences of one endpoint, of all but one and of all, drawn as a series.
SILENT_KINDS = (
    'endpoint_silent',
    'endpoint_silent_some',
    'endpoint_silent_all',
)
SILENCE_S = (0.5, 2.2)
SILENCES = (2, 8)
SILENT_SHARE = 0.6
# First group whose draws do not depend on the groups before it.
SALTED_GROUP = 2
# Share of the schedules that contain one kind of a group.
LATER_SHARE = 0.5
# Share of the seeds that play an order to change the version, when it is
# given and its time, in seconds; a part of its versions is bad.
ROLLOUT_SHARE = 0.25
ROLLOUT_AT_S = (0.5, 3.0)
ROLLOUT_DURATION_S = (10.0, 14.0)
BAD_SHARE = 0.5
# Failures, slowness and begin of versions.
GOOD_VERSION = (0.0, 1.0, 0.0)
BAD_VERSIONS = (
    (0.6, 1.0, 0.0),
    (0.0, 6.0, 0.0),
    (1.0, 1.0, 0.6),
)
KINDS_BY_NAME = {kind.name: kind for kind in KINDS}


def draw_faults(rng, gateways, endpoints):
    """Return a random schedule of a few kinds of faults, sorted by time.

    Some schedules are dense and their faults overlap; others leave gaps, so
    that promises with a time bound can be checked as well.
    """
    kinds = rng.sample(KINDS, rng.randint(2, 6))
    # Operator changes are possible in every schedule.
    kinds += [KINDS_BY_NAME['version'], KINDS_BY_NAME['revoke']]
    faults = []
    for _ in range(rng.randint(3, 14)):
        faults.append(_draw_fault(rng, rng.choice(kinds), gateways, endpoints))
    for number, group in enumerate(LATER_GROUPS):
        # The first two groups depend on one another: without one of them the
        # next draw is the same.
        salt = '' if number < SALTED_GROUP else str(number)
        later = random.Random(repr(faults) + salt)
        if later.random() < LATER_SHARE:
            kind = later.choice(group)
            faults.append(_draw_fault(later, kind, gateways, endpoints))
    later = random.Random(repr(faults) + 'silences')
    if later.random() < SILENT_SHARE:
        faults += _draw_silences(later, endpoints)
    later = random.Random(repr(faults) + 'signals')
    if later.random() < LATER_SHARE:
        kind = later.choice(SIGNAL_KINDS)
        faults.append(_draw_fault(later, kind, gateways, endpoints))
    later = random.Random(repr(faults) + 'unsigned')
    if later.random() < LATER_SHARE:
        kind = later.choice(UNSIGNED_KINDS)
        faults.append(_draw_fault(later, kind, gateways, endpoints))
    later = random.Random(repr(faults) + 'series')
    if later.random() < LATER_SHARE:
        faults += draw_series(later, gateways, endpoints)
    later = random.Random(repr(faults) + 'changes')
    if later.random() < LATER_SHARE:
        kind = later.choice(CHANGE_KINDS)
        faults.append(_draw_fault(later, kind, gateways, endpoints))
    return sorted(faults)


def draw_series(rng, gateways, endpoints):
    """Return faults of several gateways, at once or in turn."""
    first = _draw_fault(rng, rng.choice(SERIES_KINDS), gateways, endpoints)
    order = rng.sample(range(gateways), min(gateways, MAX_SERIES))
    if first.kind == 'kill_two':
        return [first._replace(kind='kill', target=n) for n in order[:2]]
    return [
        first._replace(
            at=round(first.at + number * first.strength, 3),
            kind=rng.choice(SERIES_PARTS),
            target=target,
        )
        for number, target in enumerate(order)
    ]


def draw_rollout(seed):
    """Return the Rollout of a seed, or None.

    It is drawn apart from the faults, so that seeds keep theirs.
    """
    rng = random.Random(f'rollout {seed}')
    if rng.random() >= ROLLOUT_SHARE:
        return None
    at = round(rng.uniform(*ROLLOUT_AT_S), 3)
    duration_s = round(rng.uniform(*ROLLOUT_DURATION_S), 3)
    bad = rng.random() < BAD_SHARE
    version = rng.choice(BAD_VERSIONS) if bad else GOOD_VERSION
    return Rollout(at, duration_s, *version)


def _draw_silences(rng, endpoints):
    """Return a series of silences, some of which overlap."""
    kinds = rng.choices(SILENT_KINDS, k=rng.randint(*SILENCES))
    return [
        Fault(
            at=round(WARM_UP_S + rng.uniform(0, FAULT_WINDOW_S), 3),
            kind=kind,
            target=rng.randrange(endpoints),
            duration_s=round(rng.uniform(*SILENCE_S), 3),
            strength=0.0,
        )
        for kind in kinds
    ]


def _draw_fault(rng, kind, gateways, endpoints):
    index = rng.randrange(
        endpoints if kind.name.startswith('endpoint') else gateways
    )
    return Fault(
        at=round(WARM_UP_S + rng.uniform(0, FAULT_WINDOW_S), 3),
        kind=kind.name,
        target=index,
        duration_s=round(kind.max_duration_s * rng.uniform(0.3, 1.0), 3),
        strength=round(kind.max_strength * rng.uniform(0.3, 1.0), 3),
    )

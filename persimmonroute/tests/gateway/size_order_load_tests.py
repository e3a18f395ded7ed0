"""Play overload by responses of very different lengths, without a network.

Callers state an estimate of the length. Each load is played with and without
the order by expected slot time.
"""

from __future__ import annotations

import typing
import unittest

from persimmonroute.gateway.endpoint_capacity import Use
from standins import shared_machines as machines

GATEWAYS = 4
ENDPOINTS = 14
PLAY_S = 12.0
# Time in which sizes are learned.
LEARNING_S = 3.0
SEEDS = (1, 2, 3)
# Nearly independent slots, as of engines that batch.
GROWTH = 0.05
LOAD_SHARE = 1.2
CALM_LOAD_SHARE = 0.7
# The longest tenth is served at least this often compared with all.
LEAST_SHARE = 0.5
NOISE = 0.02


class Result(typing.NamedTuple):
    """Store what callers got, as shares of their requests."""

    served: float
    on_time: float
    longest_served: float
    top_served: float


def _share(outcomes, statuses):
    served = sum(outcome.status in statuses for outcome in outcomes)
    return served / max(len(outcomes), 1)


def _play(load_share, uses, seed):
    simulation = machines.HintedOutputSimulation(
        GATEWAYS, ENDPOINTS, load_share, seed=seed, growth=GROWTH, uses=uses
    )
    since = simulation.now + LEARNING_S
    simulation.play(PLAY_S)
    outcomes = [o for o in simulation.outcomes if o.arrived_at >= since]
    longest = [o for o in simulation.find_longest() if o.arrived_at >= since]
    served = ('on time', 'late')
    return Result(
        _share(outcomes, served),
        _share(outcomes, ('on time',)),
        _share(longest, served),
        _share([o for o in outcomes if o.load.tier == 0], served),
    )


def _play_all(load_share, uses):
    results = [_play(load_share, frozenset(uses), seed) for seed in SEEDS]
    means = (sum(v) / len(v) for v in zip(*results, strict=True))
    return Result(*means)


class SizeOrderLoadTests(unittest.TestCase):
    """Compare what callers get with and without the order by size."""

    @classmethod
    def setUpClass(cls):
        """Play the overload both ways, once for all tests."""
        cls.before = _play_all(LOAD_SHARE, [Use.PLACEMENT])
        cls.after = _play_all(LOAD_SHARE, [Use.PLACEMENT, Use.ORDER])

    def test_more_callers_are_served(self):
        """Guards against long responses that displace many short ones."""
        self.assertGreater(self.after.served, self.before.served)
        self.assertGreater(self.after.on_time, self.before.on_time)

    def test_longest_tenth_is_not_starved(self):
        """Guards against long responses that are always refused."""
        self.assertGreaterEqual(
            self.after.longest_served, LEAST_SHARE * self.after.served
        )

    def test_highest_tier_does_not_pay(self):
        """Guards against an order across tiers."""
        self.assertGreaterEqual(
            self.after.top_served, self.before.top_served - NOISE
        )

    def test_calm_is_as_before(self):
        """Guards against an order where nobody has to wait."""
        before = _play_all(CALM_LOAD_SHARE, [Use.PLACEMENT])
        after = _play_all(CALM_LOAD_SHARE, [Use.PLACEMENT, Use.ORDER])
        self.assertGreaterEqual(after.on_time, before.on_time - NOISE)
        self.assertGreaterEqual(after.longest_served, 1.0 - NOISE)

"""Play a workspace that sends six times its usual load beside fifteen."""

from __future__ import annotations

import unittest

from persimmonroute.tests.gateway import returning_callers_load_tests as bursts
from standins import returning_callers

HEAVY = 'desk-0'
HEAVY_FACTOR = 6.0
# Of the 21 parts that 16 workspaces send then, 5 are too many.
FACTOR = 1.3
DURATION_S = 8.0
SEEDS = (1, 2, 3)


def _play(seed, named, factor=FACTOR, heavy=HEAVY_FACTOR):
    simulation = returning_callers.ReturningSimulation(
        bursts.GATEWAYS,
        bursts.ENGINES,
        bursts.build_loads(),
        [
            returning_callers.Phase(0.0, bursts.USUAL),
            returning_callers.Phase(bursts.BURST_BEGIN_S, factor),
        ],
        returning_callers.Behaviour(
            bursts.HASTY_SHARE, heavy_factor=heavy, named=named
        ),
        seed=seed,
    )
    simulation.play(DURATION_S, bursts.DRAIN_S)
    return simulation.results


class HeavyWorkspaceTests(unittest.TestCase):
    """Compare the host that knows workspaces with one that does not."""

    @classmethod
    def setUpClass(cls):
        """Play the load with and without the hashes of workspaces."""
        cls.results = {
            named: [r for seed in SEEDS for r in _play(seed, named)]
            for named in (False, True)
        }

    def _worth(self, named, tier, heavy, late_worth):
        return bursts.find_worth(
            [
                r
                for r in self.results[named]
                if r.tier == tier and (r.workspace == HEAVY) is heavy
            ],
            late_worth,
        )

    def test_others_get_no_less(self):
        """Guards against a workspace that takes what the others need."""
        for tier in (0, 1, 2):
            for late_worth in bursts.LATE_WORTHS:
                with self.subTest(tier=tier, late_worth=late_worth):
                    self.assertGreaterEqual(
                        self._worth(True, tier, False, late_worth),
                        self._worth(False, tier, False, late_worth)
                        - bursts.NOISE,
                    )

    def test_others_are_better_off_than_the_heavy_one(self):
        """Guards against a burst of one workspace that all pay for.

        Tier 0 is not contended, and what is left for the lowest is late.
        """
        for late_worth in bursts.LATE_WORTHS:
            before = self._worth(False, 1, False, late_worth)
            after = self._worth(True, 1, False, late_worth)
            heavy = self._worth(True, 1, True, late_worth)
            self.assertGreater(after, before)
            self.assertGreater(after, heavy)

    def test_heavy_one_still_gets_its_part(self):
        """Guards against a workspace that is shut out.

        Its sixteenth of the load would be served, which is a sixth of what it
        sends.
        """
        for tier in (0, 1, 2):
            heavy = [
                r
                for r in self.results[True]
                if r.tier == tier and r.workspace == HEAVY
            ]
            served = sum(r.status in ('on time', 'late') for r in heavy)
            self.assertGreaterEqual(served / len(heavy), 1 / HEAVY_FACTOR)

    def test_sum_of_responses_is_no_less(self):
        """Guards against slots that idle for the sake of shares."""
        for late_worth in bursts.LATE_WORTHS:
            self.assertGreaterEqual(
                bursts.find_worth(self.results[True], late_worth),
                bursts.find_worth(self.results[False], late_worth)
                - bursts.NOISE,
            )


class EqualWorkspacesTests(unittest.TestCase):
    """Play equal workspaces, none of which sends too much."""

    def test_shares_cost_nothing(self):
        """Guards against requests that wait although nobody sends much."""
        results = {
            named: [
                r
                for s in SEEDS
                for r in _play(s, named, factor=1.6, heavy=1.0)
            ]
            for named in (False, True)
        }
        for late_worth in bursts.LATE_WORTHS:
            self.assertGreaterEqual(
                bursts.find_worth(results[True], late_worth),
                bursts.find_worth(results[False], late_worth) - bursts.NOISE,
            )

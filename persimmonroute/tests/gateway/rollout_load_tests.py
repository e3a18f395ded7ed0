"""Play rollouts of good and bad versions over many random seeds."""

from __future__ import annotations

import unittest

from persimmonroute.gateway.rollout_control import Phase
from standins.rollout_play import BOUNDS
from standins.rollout_play import Disturbance
from standins.rollout_play import Fault
from standins.rollout_play import RolloutPlay

SEEDS = 40


def _play(per_s, duration_s, fault=None, disturbance=None, seeds=SEEDS):
    return [
        RolloutPlay(seed, per_s, duration_s, fault, disturbance).run()
        for seed in range(seeds)
    ]


class GoodVersionTests(unittest.TestCase):
    """Play versions that are as good as those before."""

    def _check(self, per_s, duration_s, disturbance=None, most_false=0):
        results = _play(per_s, duration_s, None, disturbance)
        rolled_back = [r for r in results if r.phase is not Phase.COMPLETED]
        self.assertLessEqual(len(rolled_back), most_false, rolled_back)
        for result in results:
            if result.phase is Phase.COMPLETED:
                self.assertLess(result.ended_s, duration_s, result)

    def test_good_version_completes_in_time(self):
        """Guards against a good version that is rolled back or late."""
        self._check(200.0, 12.0, most_false=1)

    def test_good_version_with_few_requests(self):
        """Guards against a rollout that waits for evidence in vain."""
        for per_s in (0.0, 0.5, 5.0):
            with self.subTest(per_s=per_s):
                self._check(per_s, 12.0, most_false=1)

    def test_good_version_beside_a_disturbance(self):
        """Guards against blaming a version for what hits all of them."""
        for disturbance in (
            Disturbance(2.0, 5.0, failures=0.5),
            Disturbance(6.0, 9.0, slower=4.0, burst=2.0),
            Disturbance(4.0, 5.0, burst=4.0, slower=3.0),
        ):
            with self.subTest(disturbance=disturbance):
                self._check(200.0, 12.0, disturbance, most_false=2)


class BadVersionTests(unittest.TestCase):
    """Play versions that must not stay."""

    def _check(self, fault, per_s=200.0, duration_s=12.0, most_missed=0):
        results = _play(per_s, duration_s, fault)
        missed = [r for r in results if r.phase is not Phase.ROLLED_BACK]
        self.assertLessEqual(len(missed), most_missed, missed)
        for result in results:
            if result.phase is Phase.ROLLED_BACK:
                most = (
                    BOUNDS.exposure_share * result.requests
                    + BOUNDS.exposure_slack
                )
                self.assertLessEqual(result.exposed, most, result)

    def test_bad_at_once(self):
        """Guards against a bad version that completes."""
        for fault in (
            Fault(failures=0.3),
            Fault(failures=1.0),
            Fault(slower=4.0),
        ):
            with self.subTest(fault=fault):
                self._check(fault)

    def test_bad_on_one_route(self):
        """Guards against a fault that sound routes hide."""
        self._check(Fault(failures=0.6, route='order'))
        self._check(Fault(slower=5.0, route='brief'))

    def test_bad_later(self):
        """Guards against a decision that is made too early."""
        for begins in (0.3, 0.6):
            with self.subTest(begins=begins):
                self._check(Fault(failures=0.5, begins=begins))

    def test_bad_under_load(self):
        """Guards against a version that fails only with all requests."""
        self._check(Fault(failures=0.5, load=8.0), most_missed=1)

    def test_bad_with_few_requests(self):
        """Guards against completing what a few requests show as bad."""
        self._check(Fault(failures=0.9), per_s=15.0, most_missed=1)

"""Test the quotas of workspaces and the budget of repeats."""

from __future__ import annotations

import random
import unittest

from persimmonroute.gateway import model
from persimmonroute.gateway import peers
from persimmonroute.gateway import quotas
from persimmonroute.gateway import retry_budget
from standins import gateway_fixtures as fixtures

QUOTA = model.Quota(per_s=100.0, burst=200.0, plain_units=50.0)
WORKSPACE = fixtures.workspace(quota=QUOTA)
# As on the platform, the slack is about thirty requests.
TOLERANCE = quotas.Tolerance(window_s=8.0, overrun=0.1, slack=3300.0)


class QuotaTests(unittest.TestCase):
    """Bring requests of one workspace to one or more gateways."""

    def _keeper(self, tolerance=TOLERANCE):
        keeper = quotas.QuotaLimiter(tolerance)
        keeper.apply((WORKSPACE,), 0.0)
        return keeper

    def test_unit_of_requests_without_tokens(self):
        """A request that states no tokens counts as the plain units."""
        plain = fixtures.request(states_tokens=False)
        keeper = self._keeper()
        self.assertEqual(keeper.units(WORKSPACE, plain), 50.0)
        self.assertEqual(keeper.units(WORKSPACE, fixtures.request()), 100.0)

    def test_told_when_the_quota_allows(self):
        """What does not fit is told how long to wait, truly."""
        keeper = self._keeper(quotas.Tolerance())
        request = fixtures.request()
        now, wait = 0.0, 0.0
        while not wait:
            wait = keeper.take(WORKSPACE, request, now)
        self.assertEqual(keeper.take(WORKSPACE, request, now + wait), 0.0)

    def test_use_of_a_new_peer_counts_whole(self):
        """A peer that shows up late has just started."""
        keeper = self._keeper()
        keeper.apply((WORKSPACE,), 100.0)
        keeper.take(WORKSPACE, fixtures.request(), 100.0)
        level = keeper.report_left()['desk']
        keeper.apply_peer_usage('peer', {'desk': 60.0}, 100.0)
        self.assertEqual(keeper.report_left()['desk'], level - 60.0)

    def test_use_of_peers_counts(self):
        """What a peer reports is deducted, but not its past."""
        keeper = self._keeper()
        level = keeper.report_left()['desk']
        keeper.apply_peer_usage('peer', {'desk': 1000.0}, 0.0)
        self.assertEqual(keeper.report_left()['desk'], level)
        keeper.apply_peer_usage('peer', {'desk': 1040.0}, 0.0)
        self.assertEqual(keeper.report_left()['desk'], level - 40.0)

    def test_unheard_peers_leave_only_a_share(self):
        """Gateways that do not hear each other stay within the quota."""
        keepers = [self._keeper() for _ in range(3)]
        for keeper in keepers:
            keeper.set_peers({'a': None, 'b': None}, 1 / 3)
        self._assert_within_bound(keepers, reports=False, seed=1)

    def test_all_gateways_stay_within_the_bound(self):
        """Random loads never exceed the quota and what is tolerated."""
        for seed in range(10):
            with self.subTest(seed=seed):
                keepers = [self._keeper() for _ in range(4)]
                self._assert_within_bound(keepers, reports=True, seed=seed)

    def test_cut_that_nobody_noticed_yet(self):
        """Gateways stay within the bound from the moment of a cut."""
        for seed in range(10):
            with self.subTest(seed=seed):
                keepers = [self._keeper() for _ in range(4)]
                self._assert_within_bound(
                    keepers, reports=True, seed=seed, cut_at=10.0
                )

    def test_cut_with_full_buckets(self):
        """A full bucket at a cut keeps both sides within the bound."""
        for seed in range(10):
            with self.subTest(seed=seed):
                self._play_cut_when_idle(random.Random(seed))

    def _play_cut_when_idle(self, rng):
        keepers = [self._keeper() for _ in range(4)]
        others = {keeper: set(keepers) - {keeper} for keeper in keepers}
        for keeper in keepers:
            heard = {id(k): 100.0 for k in others[keeper]}
            keeper.set_peers(heard, 1.0)
        # From second 100 the first one is cut off; all notice it later.
        parts = {k: set(keepers[1:]) - {k} for k in keepers[1:]}
        parts[keepers[0]] = set()
        taken, now = [], 100.0
        noticed_at = 100.0 + peers.UNRESPONSIVE_AFTER_S
        while now < 120.0:
            now += rng.expovariate(40)
            keeper = rng.choice(keepers)
            request = fixtures.request(prompt_tokens=rng.randrange(20, 200))
            if keeper.take(WORKSPACE, request, now) == 0.0:
                taken.append((now, keeper.units(WORKSPACE, request)))
            for other in parts[keeper]:
                other.apply_peer_usage(id(keeper), keeper.report_used(), now)
            for other in keepers:
                heard = {
                    id(k): now if k in parts[other] else 100.0
                    for k in others[other]
                }
                share = (
                    (len(parts[other]) + 1) / 4 if now > noticed_at else 1.0
                )
                other.set_peers(heard, share)
        self._check_window(taken)

    def _assert_within_bound(self, keepers, reports, seed, cut_at=1e9):
        rng = random.Random(seed)
        taken, now = [], 0.0
        heard = {keeper: {} for keeper in keepers}
        while now < 40.0:
            now += rng.expovariate(40)
            keeper = rng.choice(keepers)
            reports = reports and now < cut_at
            request = fixtures.request(prompt_tokens=rng.randrange(20, 200))
            if keeper.take(WORKSPACE, request, now) == 0.0:
                taken.append((now, keeper.units(WORKSPACE, request)))
            if reports and rng.random() < 0.5:
                for other in keepers:
                    if other is not keeper:
                        used = keeper.report_used()
                        other.apply_peer_usage(id(keeper), used, now)
                        heard[other][id(keeper)] = now
            if reports or now >= cut_at:
                rest = [k for k in keepers if k is not keeper]
                times = {id(k): heard[keeper].get(id(k)) for k in rest}
                # Nobody has noticed the cut: all still count as heard.
                keeper.set_peers(times, 1.0)
        self._check_window(taken)

    def _check_window(self, taken):
        allowed = (QUOTA.per_s * 8 + QUOTA.burst) * 1.1 + TOLERANCE.slack
        for start, _ in taken:
            used = sum(u for at, u in taken if start <= at < start + 8.0)
            self.assertLessEqual(used, allowed)

    def test_lower_quota_binds_at_once(self):
        """A quota that is lowered leaves no more than its own burst."""
        keeper = self._keeper(quotas.Tolerance())
        lower = fixtures.workspace(quota=model.Quota(10.0, 20.0, 1.0))
        keeper.apply((lower,), 1.0)
        self.assertLessEqual(keeper.report_left()['desk'], 20.0)

    def test_units_of_what_never_ran_come_back(self):
        """A request that was given up before it was sent costs nothing."""
        keeper = self._keeper()
        before = keeper.report_left()['desk']
        request = fixtures.request()
        keeper.take(WORKSPACE, request, 0.0)
        keeper.refund(WORKSPACE, request)
        self.assertEqual(keeper.report_left()['desk'], before)


class RetryBudgetTests(unittest.TestCase):
    """Count repeats against first sends."""

    def test_gateways_together_stay_within_the_budget(self):
        """The shares of all gateways sum to less than is allowed."""
        budgets = [retry_budget.RetryBudget(0.2, 52, 10.0) for _ in range(5)]
        allowed = 0
        for budget in budgets:
            budget.set_gateways(5)
            for _ in range(20):
                budget.record_request('s', 0.0)
            allowed += sum(budget.take('s', 1.0) for _ in range(100))
        self.assertGreater(allowed, 0)
        self.assertLessEqual(allowed, 0.2 * 100 + 52)

    def test_window_slides(self):
        """What was repeated long ago no longer counts."""
        budget = retry_budget.RetryBudget(0.0, 10, 10.0)
        while budget.take('s', 0.0):
            pass
        self.assertFalse(budget.take('s', 9.0))
        self.assertTrue(budget.take('s', 10.5))

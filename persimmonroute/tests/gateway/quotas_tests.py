"""Test workspace quotas and the retry budget."""

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
    """Send requests of one workspace to one or more gateways."""

    def _limiter(self, tolerance=TOLERANCE):
        limiter = quotas.QuotaLimiter(tolerance)
        limiter.apply((WORKSPACE,), 0.0)
        return limiter

    def test_units_of_requests_without_tokens(self):
        """A request without token counts is charged the plain units."""
        plain = fixtures.request(states_tokens=False)
        limiter = self._limiter()
        self.assertEqual(limiter.units(WORKSPACE, plain), 50.0)
        self.assertEqual(limiter.units(WORKSPACE, fixtures.request()), 100.0)

    def test_returned_wait_suffices(self):
        """A rejected request fits after the returned wait."""
        limiter = self._limiter(quotas.Tolerance())
        request = fixtures.request()
        now, wait = 0.0, 0.0
        while not wait:
            wait = limiter.take(WORKSPACE, request, now)
        self.assertEqual(limiter.take(WORKSPACE, request, now + wait), 0.0)

    def test_first_report_of_a_new_peer_counts_in_full(self):
        """A peer that appears later has just started, so all usage is new."""
        limiter = self._limiter()
        limiter.apply((WORKSPACE,), 100.0)
        limiter.take(WORKSPACE, fixtures.request(), 100.0)
        level = limiter.report_remaining()['desk']
        limiter.apply_peer_usage('peer', {'desk': 60.0}, 100.0)
        self.assertEqual(limiter.report_remaining()['desk'], level - 60.0)

    def test_first_report_of_an_old_peer_refuses_nobody_for_long(self):
        """Guards against deducting what a peer used in hours past."""
        limiter = self._limiter()
        limiter.apply((WORKSPACE,), 100.0)
        request = fixtures.request()
        limiter.take(WORKSPACE, request, 100.0)
        limiter.apply_peer_usage('peer', {'desk': 1e6}, 100.0)
        wait = limiter.take(WORKSPACE, request, 100.0)
        self.assertGreater(wait, 0.0)
        # A bucket is full again after this time at the latest.
        capacity = quotas.Bucket(QUOTA, TOLERANCE, 0.0).capacity
        self.assertLessEqual(wait, 2 * capacity / QUOTA.per_s)

    def test_usage_of_peers_is_deducted(self):
        """Usage since a peer's first report is deducted."""
        limiter = self._limiter()
        level = limiter.report_remaining()['desk']
        limiter.apply_peer_usage('peer', {'desk': 1000.0}, 0.0)
        self.assertEqual(limiter.report_remaining()['desk'], level)
        limiter.apply_peer_usage('peer', {'desk': 1040.0}, 0.0)
        self.assertEqual(limiter.report_remaining()['desk'], level - 40.0)

    def test_unresponsive_peers_leave_only_a_share(self):
        """Gateways without each other's reports stay within the quota."""
        limiters = [self._limiter() for _ in range(3)]
        for limiter in limiters:
            limiter.set_peers({'a': None, 'b': None}, 1 / 3)
        self._assert_within_bound(limiters, reports=False, seed=1)

    def test_all_gateways_stay_within_the_bound(self):
        """Random loads never exceed the quota and its tolerance."""
        for seed in range(10):
            with self.subTest(seed=seed):
                limiters = [self._limiter() for _ in range(4)]
                self._assert_within_bound(limiters, reports=True, seed=seed)

    def test_undetected_partition(self):
        """Gateways stay within the bound from the start of a partition."""
        for seed in range(10):
            with self.subTest(seed=seed):
                limiters = [self._limiter() for _ in range(4)]
                self._assert_within_bound(
                    limiters, reports=True, seed=seed, partition_at=10.0
                )

    def test_partition_with_full_buckets(self):
        """Full buckets at a partition keep both sides within the bound."""
        for seed in range(10):
            with self.subTest(seed=seed):
                self._run_partition_when_idle(random.Random(seed))

    def _run_partition_when_idle(self, rng):
        limiters = [self._limiter() for _ in range(4)]
        others = {limiter: set(limiters) - {limiter} for limiter in limiters}
        for limiter in limiters:
            last_report_at = {id(peer): 100.0 for peer in others[limiter]}
            limiter.set_peers(last_report_at, 1.0)
        # The first gateway is partitioned at 100 s; all detect it later.
        connected = {peer: set(limiters[1:]) - {peer} for peer in limiters[1:]}
        connected[limiters[0]] = set()
        taken, now = [], 100.0
        intervals = peers.UNRESPONSIVE_AFTER_INTERVALS
        detected_at = 100.0 + intervals * peers.DEFAULT_REPORT_INTERVAL_S
        while now < 120.0:
            now += rng.expovariate(40)
            limiter = rng.choice(limiters)
            request = fixtures.request(prompt_tokens=rng.randrange(20, 200))
            if limiter.take(WORKSPACE, request, now) == 0.0:
                taken.append((now, limiter.units(WORKSPACE, request)))
            for other in connected[limiter]:
                other.apply_peer_usage(id(limiter), limiter.report_used(), now)
            for other in limiters:
                last_report_at = {
                    id(peer): now if peer in connected[other] else 100.0
                    for peer in others[other]
                }
                share = (
                    (len(connected[other]) + 1) / 4
                    if now > detected_at
                    else 1.0
                )
                other.set_peers(last_report_at, share)
        self._check_window(taken)

    def _assert_within_bound(self, limiters, reports, seed, partition_at=1e9):
        rng = random.Random(seed)
        taken, now = [], 0.0
        last_report_at = {limiter: {} for limiter in limiters}
        while now < 40.0:
            now += rng.expovariate(40)
            limiter = rng.choice(limiters)
            reports = reports and now < partition_at
            request = fixtures.request(prompt_tokens=rng.randrange(20, 200))
            if limiter.take(WORKSPACE, request, now) == 0.0:
                taken.append((now, limiter.units(WORKSPACE, request)))
            if reports and rng.random() < 0.5:
                for other in limiters:
                    if other is not limiter:
                        used = limiter.report_used()
                        other.apply_peer_usage(id(limiter), used, now)
                        last_report_at[other][id(limiter)] = now
            if reports or now >= partition_at:
                rest = [peer for peer in limiters if peer is not limiter]
                times = {
                    id(peer): last_report_at[limiter].get(id(peer))
                    for peer in rest
                }
                # No gateway has detected the partition: all still count as
                # reporting.
                limiter.set_peers(times, 1.0)
        self._check_window(taken)

    def _check_window(self, taken):
        allowed = (QUOTA.per_s * 8 + QUOTA.burst) * 1.1 + TOLERANCE.slack
        for start, _ in taken:
            used = sum(u for at, u in taken if start <= at < start + 8.0)
            self.assertLessEqual(used, allowed)

    def test_returning_peer_credits_no_refill_twice(self):
        """Guards against a full bucket after each restart of a peer."""
        limiter = self._limiter()
        limiter.set_peers({'peer': 0.0}, 1.0)
        request = fixtures.request()
        taken, now = 0, 0.0
        while now < 60.0:
            now += 0.05
            if now < 20.0 or now > 40.0:
                limiter.set_peers({'peer': now}, 1.0)
            else:
                limiter.set_peers({}, 1.0)
            taken += limiter.take(WORKSPACE, request, now) == 0.0
        full = limiter._buckets[WORKSPACE.name].capacity
        allowed = quotas.INITIAL_FILL_SHARE * full + QUOTA.per_s * now
        self.assertLessEqual(taken * 100, allowed)

    def test_workspace_that_returns_is_credited_nothing(self):
        """Guards against peers that credit usage as if it shrank."""
        limiter, peer = self._limiter(), self._limiter()
        for each in (limiter, peer):
            each.apply((WORKSPACE,), 100.0)
        request = fixtures.request()
        while limiter.take(WORKSPACE, request, 100.0) == 0.0:
            peer.apply_peer_usage('own', limiter.report_used(), 100.0)
        level = peer.report_remaining()['desk']
        own_level = limiter.report_remaining()['desk']
        limiter.apply((), 100.1)
        peer.apply_peer_usage('own', limiter.report_used(), 100.1)
        limiter.apply((WORKSPACE,), 100.1)
        self.assertLess(limiter.report_remaining()['desk'], own_level + 20.0)
        wait = limiter.take(WORKSPACE, request, 100.1)
        limiter.take(WORKSPACE, request, 100.1 + wait)
        used = limiter.report_used()
        peer.apply_peer_usage('own', used, 100.1 + wait)
        self.assertLess(peer.report_remaining()['desk'], level + 100 * wait)

    def test_lower_quota_binds_at_once(self):
        """A lowered quota leaves at most its own burst."""
        limiter = self._limiter(quotas.Tolerance())
        lower = fixtures.workspace(quota=model.Quota(10.0, 20.0, 1.0))
        limiter.apply((lower,), 1.0)
        self.assertLessEqual(limiter.report_remaining()['desk'], 20.0)

    def test_refund_of_a_request_that_never_ran(self):
        """A request that was cancelled before its send costs nothing."""
        limiter = self._limiter()
        before = limiter.report_remaining()['desk']
        request = fixtures.request()
        limiter.take(WORKSPACE, request, 0.0)
        limiter.refund(WORKSPACE, request)
        self.assertEqual(limiter.report_remaining()['desk'], before)


class RetryBudgetTests(unittest.TestCase):
    """Count retries against requests."""

    def test_gateways_together_stay_within_the_budget(self):
        """The retries of all gateways stay within the total budget."""
        budgets = [retry_budget.RetryBudget(0.2, 52, 10.0) for _ in range(5)]
        allowed = 0
        for budget in budgets:
            budget.set_gateways(5)
            for _ in range(20):
                budget.record_request('s', 0.0)
            allowed += sum(budget.take('s', 1.0) for _ in range(100))
        self.assertGreater(allowed, 0)
        self.assertLessEqual(allowed, 0.2 * 100 + 52)

    def test_requests_of_a_service_without_retries_are_forgotten(self):
        """Guards against times that pile up for as long as a process runs."""
        budget = retry_budget.RetryBudget(0.2, 10, 10.0)
        for number in range(50_000):
            budget.record_request('llm', number * 0.01)
        self.assertLessEqual(len(budget._requests['llm']), 1001)

    def test_window_slides(self):
        """Retries before the window no longer count."""
        budget = retry_budget.RetryBudget(0.0, 10, 10.0)
        while budget.take('s', 0.0):
            pass
        self.assertFalse(budget.take('s', 9.0))
        self.assertTrue(budget.take('s', 10.5))

"""Test whose requests wait for those of other workspaces."""

from __future__ import annotations

import unittest

from persimmonroute.gateway import admission_host
from persimmonroute.gateway import admission_messages as messages
from persimmonroute.gateway import endpoint_capacity
from persimmonroute.gateway import endpoint_limits
from persimmonroute.gateway import groups
from persimmonroute.gateway.model import Ending
from persimmonroute.gateway import placement
from persimmonroute.gateway import workspace_shares
from standins import gateway_fixtures as fixtures

STEP_S = 0.1
LIGHT = tuple(range(2, 17))
HEAVY = 1
TIER = 1


def _run(demands, capacity, duration_s=10.0):
    """Grant by excess, then by arrival; return the WorkspaceShares and use.

    demands are in slots by workspace. What is not granted at once is lost.
    """
    shares = workspace_shares.WorkspaceShares()
    used = dict.fromkeys(demands, 0.0)
    now = 0.0
    while now < duration_s:
        queue = []
        for workspace, slots in demands.items():
            shares.record_demand(TIER, workspace, slots * STEP_S, now)
            for number in range(round(slots)):
                ahead_s = number * STEP_S
                excess = shares.find_excess(TIER, workspace, ahead_s, now)
                # Requests of a step arrive evenly over it.
                queue.append((excess, number / slots, workspace))
        for _, _, workspace in sorted(queue)[: round(capacity)]:
            shares.record_use(TIER, workspace, STEP_S, now)
            used[workspace] += STEP_S
        now += STEP_S
    return shares, {w: s / duration_s for w, s in used.items()}


class FairPartTests(unittest.TestCase):
    """Let workspaces compete for the slots of a tier."""

    def test_light_workspaces_get_what_they_want(self):
        """Guards against one workspace that takes the others' capacity."""
        demands = dict.fromkeys(LIGHT, 1.0) | {HEAVY: 6.0}
        _, used = _run(demands, capacity=18.0)
        for workspace in LIGHT:
            self.assertGreaterEqual(used[workspace], 0.95)

    def test_unused_capacity_goes_to_the_heavy_one(self):
        """Guards against slots that idle beside requests."""
        demands = dict.fromkeys(LIGHT, 1.0) | {HEAVY: 6.0}
        _, used = _run(demands, capacity=30.0)
        self.assertAlmostEqual(used[HEAVY], 6.0, delta=0.1)

    def test_without_contention_nobody_waits(self):
        """Guards against an order that differs from that of arrival."""
        demands = dict.fromkeys(LIGHT, 1.0) | {HEAVY: 6.0}
        shares, _ = _run(demands, capacity=30.0)
        for workspace in demands:
            self.assertEqual(
                shares.find_excess(TIER, workspace, 100.0, 10.0), 0.0
            )

    def test_equal_workspaces_are_not_in_excess(self):
        """Guards against callers that wait though nobody sends much."""
        shares = workspace_shares.WorkspaceShares()
        now = 0.0
        while now < 10.0:
            for workspace in LIGHT:
                shares.record_demand(TIER, workspace, 2 * STEP_S, now)
                shares.record_use(TIER, workspace, STEP_S, now)
            now += STEP_S
        for workspace in LIGHT:
            self.assertEqual(
                shares.find_excess(TIER, workspace, 0.0, now), 0.0
            )

    def test_two_heavy_ones_share_what_is_left(self):
        """Guards against a heavy workspace that starves another one."""
        demands = {HEAVY: 20.0, 2: 40.0, 3: 1.0}
        _, used = _run(demands, capacity=11.0)
        self.assertGreaterEqual(used[3], 0.9)
        self.assertGreaterEqual(used[HEAVY], 3.0)
        self.assertGreaterEqual(used[2], 3.0)

    def test_queue_counts_as_use(self):
        """Guards against a batch of one workspace in a single dispatch."""
        demands = dict.fromkeys(LIGHT, 1.0) | {HEAVY: 6.0}
        shares, _ = _run(demands, capacity=16.0)
        light = LIGHT[0]
        self.assertEqual(shares.find_excess(TIER, light, 0.0, 10.0), 0.0)
        self.assertGreater(shares.find_excess(TIER, light, 50.0, 10.0), 0.0)

    def test_burst_is_forgotten(self):
        """Guards against a workspace that waits for what is long over."""
        shares, _ = _run({HEAVY: 6.0, 2: 1.0}, capacity=2.0)
        self.assertGreater(shares.find_excess(TIER, HEAVY, 5.0, 10.0), 0.0)
        self.assertEqual(shares.find_excess(TIER, HEAVY, 0.0, 40.0), 0.0)
        self.assertEqual(shares.report(60.0), [])

    def test_workspaces_are_bounded(self):
        """Guards against memory that grows with the workspaces."""
        shares = workspace_shares.WorkspaceShares()
        for workspace in range(1, workspace_shares.MAX_WORKSPACES + 100):
            shares.record_demand(TIER, workspace, 1.0, 0.0)
        self.assertLessEqual(
            len(shares.report(0.0)), workspace_shares.MAX_WORKSPACES
        )

    def test_report_tells_demand_use_and_fair_part(self):
        """Guards against figures of another unit than slots."""
        shares, used = _run({HEAVY: 6.0, 2: 1.0}, capacity=2.0)
        by_workspace = {r.workspace: r for r in shares.report(10.0)}
        self.assertAlmostEqual(by_workspace[2].demanded, 1.0, delta=0.1)
        self.assertAlmostEqual(by_workspace[HEAVY].demanded, 6.0, delta=0.5)
        self.assertLess(by_workspace[HEAVY].used, 2.0)
        self.assertLess(by_workspace[HEAVY].fair, 2.0)


class HostedOrderTests(unittest.TestCase):
    """Queue requests of two workspaces at a host."""

    def setUp(self):
        """Host a group whose workspace HEAVY got more than its part."""
        self.group = admission_host.HostedGroup(
            groups.Group(fixtures.SERVICE, 'riga'),
            placement.Placement(fixtures.LOCALITY),
            endpoint_limits.EndpointLimits(),
            endpoint_capacity.EndpointCapacities(),
            0.0,
        )
        self.group.update_runners([fixtures.runner('r1')], (), 0.0)
        self._numbers = iter(range(1, 1000))
        for _ in range(2):
            self._submit(0, 0)
        shares = self.group.order.shares
        for tier in (0, 1):
            shares.record_demand(tier, HEAVY, 20.0, 0.0)
            shares.record_use(tier, HEAVY, 5.0, 0.0)
            shares.record_demand(tier, 2, 3.0, 0.0)

    def _submit(self, tier, workspace, now=0.0):
        number = next(self._numbers)
        offer = messages.Offer(
            number,
            fixtures.SERVICE,
            'riga',
            'draft',
            tier,
            0.5,
            0.5,
            4.0,
            0.0,
            (),
            (),
            False,
            caller=number if workspace else 0,
            workspace=workspace,
        )
        self.group.offer('gateway-1', 'riga-a', offer, now)
        return number

    def _grant_all(self, count, now=0.0):
        granted = []
        for _ in range(count):
            self.group.take_replies()
            done = next(h for h in self.group.requests.values() if h.runner)
            end = messages.OfferEnd(done.offer.offer_id, Ending.ABANDONED)
            self.group.end(done.gateway, end, now)
            granted += [r.offer_id for _, r in self.group.take_replies()]
        return granted

    def test_excess_waits_for_the_others(self):
        """Guards against the order of arrival under contention."""
        heavy = [self._submit(1, HEAVY) for _ in range(3)]
        light = [self._submit(1, 2) for _ in range(2)]
        self.assertEqual(self._grant_all(5), light + heavy)

    def test_higher_tier_goes_first_in_excess_as_well(self):
        """Guards against a tier that is passed for the sake of shares."""
        light = self._submit(1, 2)
        heavy = self._submit(0, HEAVY)
        self.assertEqual(self._grant_all(2), [heavy, light])

    def test_lost_host_begins_without_shares(self):
        """Guards against a new host that refuses what it knows nothing of."""
        self.group.order.shares = workspace_shares.WorkspaceShares()
        heavy = self._submit(1, HEAVY)
        light = self._submit(1, 2)
        self.assertEqual(self._grant_all(2), [heavy, light])

    def test_requests_without_a_workspace_keep_their_order(self):
        """Guards against a change for services that report no cost."""
        first = self._submit(1, 0)
        second = self._submit(1, 2)
        self.assertEqual(self._grant_all(2), [first, second])

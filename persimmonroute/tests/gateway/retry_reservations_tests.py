"""Test which capacity is reserved for refused callers, and who uses it."""

from __future__ import annotations

import unittest

from persimmonroute.gateway import admission_host
from persimmonroute.gateway import admission_messages as messages
from persimmonroute.gateway import endpoint_capacity
from persimmonroute.gateway import endpoint_limits
from persimmonroute.gateway import groups
from persimmonroute.gateway.model import Ending
from persimmonroute.gateway import placement
from persimmonroute.gateway import retry_reservations
from standins import gateway_fixtures as fixtures

OBJECTIVE_S = 0.5
DEADLINE_S = 12.0
WORK_S = 0.4
SLOTS = 10.0
CALLER = 77
REGION = 'riga'


def _offer(number, caller=0, tier=1, **changes):
    offer = messages.Offer(
        number,
        fixtures.SERVICE,
        REGION,
        'draft',
        tier,
        OBJECTIVE_S,
        OBJECTIVE_S,
        DEADLINE_S,
        0.0,
        (),
        (),
        False,
        caller=caller,
    )
    return offer._replace(**changes)


def _request(number=1, now=0.0, **changes):
    return admission_host.HostedRequest(
        'gateway-1', 'riga-a', _offer(number, **changes), now
    )


def _room(needed=5.0, work_s=WORK_S, on_time_s=0.0, late_s=0.0):
    return retry_reservations.Room(SLOTS, needed, on_time_s, late_s, work_s)


class ReservedCapacityTests(unittest.TestCase):
    """Refuse callers and look at the times that they are told."""

    def setUp(self):
        """Create the reservations of one group."""
        self.reservations = retry_reservations.RetryReservations()

    def _refuse(self, caller, room, now=0.0, request=None, tier=1):
        return self.reservations.refuse(
            caller,
            request or _request(caller, now, tier=tier),
            1.0,
            lambda: room,
            now,
        )

    def test_no_more_is_reserved_than_can_be_served(self):
        """Guards against callers that are all given the same time."""
        room = _room(needed=5.0)
        waits = [self._refuse(n, room) for n in range(1, 200)]
        self.assertEqual(waits, sorted(waits))
        latest_s = DEADLINE_S / 3
        for end_s in (1.0, 2.0, latest_s):
            reserved = [w for w in waits if w <= end_s]
            work_s = WORK_S * len(reserved)
            self.assertLessEqual(work_s, (SLOTS - 5.0) * end_s)
        self.assertGreater(self.reservations.counts.made, 20)

    def test_time_beyond_a_third_is_not_reserved(self):
        """Guards against a reservation that its caller comes before."""
        wait_s = self._refuse(1, _room(late_s=100.0))
        self.assertGreater(wait_s, DEADLINE_S / 3)
        self.assertEqual(self.reservations.counts.made, 0)
        self.assertEqual(self.reservations.reserved_s, 0.0)

    def test_queued_work_is_served_first(self):
        """Guards against a time at which the queue is still there."""
        wait_s = self._refuse(1, _room(needed=0.0, on_time_s=10.0))
        self.assertGreaterEqual(wait_s, 10.0 / SLOTS)

    def test_size_counts(self):
        """Guards against long requests that are counted like short ones."""
        self._refuse(1, _room(work_s=10 * WORK_S))
        self.assertAlmostEqual(self.reservations.reserved_s, 10 * WORK_S)
        after_long_s = self._refuse(2, _room())
        self.setUp()
        self._refuse(1, _room())
        self.assertLess(self._refuse(2, _room()), after_long_s)

    def test_new_requests_that_need_all_slots_keep_them(self):
        """Guards against late responses in place of responses on time.

        A late one is worth a third at most, so what is reserved while new
        requests need everything may cost them a twentieth of the slots.
        """
        room = _room(needed=2 * SLOTS)
        waits = [self._refuse(n, room) for n in range(1, 200)]
        reserved_s = self.reservations.reserved_s
        self.assertLessEqual(reserved_s, 0.05 * SLOTS * DEADLINE_S / 3)
        # Those without a reservation are told that it takes long.
        self.assertGreater(waits[-1], DEADLINE_S / 3)

    def test_lower_tier_does_not_delay_a_higher(self):
        """Guards against a higher tier that waits for a lower one."""
        for number in range(1, 20):
            self._refuse(number, _room(), tier=2)
        first_s = self._refuse(100, _room(), tier=0)
        self.setUp()
        self.assertEqual(first_s, self._refuse(100, _room(), tier=0))

    def test_unused_reservation_expires_and_frees_its_capacity(self):
        """Guards against capacity kept for callers that went away."""
        first_s = self._refuse(1, _room())
        later = first_s + retry_reservations.RETURN_TOLERANCE_S + 0.01
        self.reservations.expire(later)
        self.assertEqual(self.reservations.reserved_s, 0.0)
        self.assertEqual(self.reservations.counts.expired, 1)
        self.assertAlmostEqual(self._refuse(2, _room(), later), first_s)

    def test_flood_of_one_caller_reserves_once(self):
        """Guards against callers that gain by sending often."""
        first_s = self._refuse(CALLER, _room())
        for _ in range(100):
            self.assertEqual(self._refuse(CALLER, _room()), first_s)
        self.assertEqual(self.reservations.counts.made, 1)
        self.assertAlmostEqual(self.reservations.reserved_s, WORK_S)

    def test_refusal_without_endpoints_reserves_nothing(self):
        """Guards against a time at which nothing can be served."""
        request = _request(1)
        wait_s = self.reservations.refuse(1, request, None, self.fail, 0.0)
        self.assertIsNone(wait_s)
        self.assertEqual(self.reservations.counts.made, 0)

    def test_memory_is_bounded(self):
        """Guards against a flood of callers that fills the memory."""
        for number in range(1, retry_reservations.MAX_CALLERS + 500):
            self._refuse(number, _room())
        self.assertLessEqual(
            len(self.reservations._callers), retry_reservations.MAX_CALLERS
        )
        self.reservations.expire(3 * DEADLINE_S)
        self.assertEqual(len(self.reservations._callers), 0)
        self.assertAlmostEqual(self.reservations.reserved_s, 0.0)


class ReturnTests(unittest.TestCase):
    """Return to a host whose only endpoint is busy."""

    def setUp(self):
        """Host a group with one slot and one place to wait at it."""
        self._numbers = iter(range(1, 1000))
        self.group = self._host()
        for _ in range(2):
            self.group.offer('gateway-1', 'riga-a', self._next(tier=0), 0.0)
        self.busy = list(self.group.requests.values())
        self.assertTrue(all(hosted.runner for hosted in self.busy))

    def _host(self):
        group = admission_host.HostedGroup(
            groups.Group(fixtures.SERVICE, REGION),
            placement.Placement(fixtures.LOCALITY),
            endpoint_limits.EndpointLimits(),
            endpoint_capacity.EndpointCapacities(),
            0.0,
        )
        group.update_runners([fixtures.runner('r1')], (), 0.0)
        return group

    def _next(self, **changes):
        return _offer(next(self._numbers), **changes)

    def _reserve(self, group, wait_s=1.0):
        """Refuse a caller at time 0, with a reservation."""
        refused = _request(999, caller=CALLER)
        free = SLOTS * retry_reservations.RESERVED_SHARE
        told_s = group.order.reservations.refuse(
            CALLER, refused, 1.0, lambda: _room(0.0, free * wait_s), 0.0
        )
        self.assertAlmostEqual(told_s, wait_s)

    def _return(self, now, group=None, **changes):
        changes.setdefault('remaining_s', DEADLINE_S - now)
        offer = self._next(caller=CALLER, **changes)
        (group or self.group).offer('gateway-2', 'riga-b', offer, now)
        return offer.offer_id

    def _submit(self, now, gateway='gateway-1', **changes):
        offer = self._next(**changes)
        self.group.offer(gateway, 'riga-a', offer, now)
        return offer.offer_id

    def _free_slot(self, now):
        """End a request; return the id of the offer that is granted next."""
        self.group.take_replies()
        done = next(h for h in self.group.requests.values() if h.runner)
        end = messages.OfferEnd(done.offer.offer_id, Ending.ABANDONED)
        self.group.end(done.gateway, end, now)
        return [
            reply.offer_id
            for _, reply in self.group.take_replies()
            if isinstance(reply, messages.Grant)
        ]

    def test_returned_caller_goes_before_new_requests_of_its_tier(self):
        """Guards against a reservation that new requests use."""
        self._reserve(self.group)
        self._submit(0.9, caller=5)
        returned = self._return(1.0)
        self.assertEqual(self._free_slot(1.0), [returned])
        counts = self.group.order.reservations.counts
        self.assertEqual((counts.made, counts.kept), (1, 1))
        self.assertEqual(self.group.order.reservations.reserved_s, 0.0)

    def test_higher_tier_goes_before_a_reservation(self):
        """Guards against a tier that a lower one passes."""
        self._reserve(self.group)
        self._return(1.0)
        higher = self._submit(1.0, tier=0, caller=5)
        self.assertEqual(self._free_slot(1.0), [higher])

    def test_early_return_gains_nothing_and_keeps_its_time(self):
        """Guards against callers that gain by ignoring Retry-After."""
        self._reserve(self.group)
        early = self._return(0.2)
        other = self._submit(0.3, caller=5)
        self.assertEqual(self._free_slot(0.4), [other])
        later = self._submit(0.9, caller=6)
        self.assertEqual(self._free_slot(1.0), [early])
        self.assertEqual(self._free_slot(1.0), [later])

    def test_early_return_that_ends_keeps_its_time(self):
        """Guards against a caller that loses its time as it disconnects."""
        self._reserve(self.group)
        early = self._return(0.2)
        self.group.end(
            'gateway-2', messages.OfferEnd(early, Ending.ABANDONED), 0.3
        )
        other = self._submit(0.9, caller=5)
        returned = self._return(1.0)
        self.assertEqual(self._free_slot(1.0), [returned])
        self.assertEqual(self._free_slot(1.0), [other])

    def test_copy_beside_the_first_gains_nothing(self):
        """Guards against two requests in one reservation."""
        self._reserve(self.group)
        first = self._return(1.0)
        copy = self._return(1.0)
        other = self._submit(1.0, caller=5)
        self.assertEqual(self._free_slot(1.0), [first])
        self.assertEqual(self._free_slot(1.0), [other])
        self.assertEqual(self._free_slot(1.0), [copy])
        self.assertEqual(self.group.order.reservations.counts.made, 1)

    def test_caller_that_returns_too_late_has_no_reservation(self):
        """Guards against capacity that is reserved for ever."""
        self._reserve(self.group)
        now = 1.0 + retry_reservations.RETURN_TOLERANCE_S + 0.1
        self.group.order.expire(now)
        returned = self._return(now)
        other = self._submit(now, caller=5)
        self.assertEqual(self._free_slot(now), [other])
        self.assertEqual(self._free_slot(now), [returned])
        self.assertEqual(self.group.order.reservations.counts.expired, 1)

    def test_return_to_another_host_is_ordered_by_its_age(self):
        """Guards against a late caller before those that can be on time.

        The host that refused it is lost, or is that of another region.
        """
        self._reserve(self._host())
        returned = self._return(1.0, age_s=1.0)
        other = self._submit(1.0, caller=5)
        self.assertEqual(self._free_slot(1.0), [other])
        self.assertEqual(self._free_slot(1.0), [returned])

    def test_long_time_of_one_caller_makes_no_other_late(self):
        """Guards against a client that makes a whole route look aged.

        Its gateway then states an age for all requests of the route.
        """
        for _ in range(40):
            offer = self._next(caller=8, age_s=30.0, due_s=OBJECTIVE_S)
            self.group.offer('gateway-3', 'riga-a', offer, 0.5)
        before = self.group.scheduler.queue_length(fixtures.SERVICE)
        self.assertGreater(before, 0)
        offer = self._next(caller=9, age_s=30.0, due_s=OBJECTIVE_S)
        self.group.offer('gateway-3', 'riga-a', offer, 0.5)
        hosted = self.group.requests['gateway-3', offer.offer_id]
        self.assertFalse(hosted.returning)
        self.assertEqual(hosted.due_at, 0.5 + OBJECTIVE_S)

    def test_return_without_a_known_age_is_a_new_request(self):
        """Guards against a caller that is worse off than a new one."""
        returned = self._return(1.0, age_s=0.0)
        other = self._submit(1.1, caller=5)
        self.assertEqual(self._free_slot(1.2), [returned])
        self.assertEqual(self._free_slot(1.2), [other])

    def test_suspended_gateway_returns_the_grant_of_a_reservation(self):
        """Guards against slot time that stays reserved or in use."""
        self._reserve(self.group)
        returned = self._return(1.0)
        self.assertEqual(self._free_slot(1.0), [returned])
        other = self._submit(1.0, caller=5)
        # The gateway stood still, and the grant has expired.
        self.group.end(
            'gateway-2',
            messages.OfferEnd(returned, Ending.ABANDONED, runner_id='r1'),
            2.0,
        )
        granted = [r.offer_id for _, r in self.group.take_replies()]
        self.assertEqual(granted, [other])
        self.assertEqual(self.group.order.reservations.reserved_s, 0.0)

    def test_silent_gateway_of_a_returned_caller_frees_its_capacity(self):
        """Guards against a reservation held by a request that is gone."""
        self._reserve(self.group)
        self._return(1.0)
        for now in (1.5, 1.1 + admission_host.OFFER_TIMEOUT_S):
            leases = [
                messages.Lease(hosted.offer.offer_id, 'r1')
                for hosted in self.busy
            ]
            self.group.apply_leases('gateway-1', leases, now)
            self.group.expire(now)
        self.assertEqual(len(self.group.requests), len(self.busy))
        self.group.expire(now + admission_host.TICK_S)
        self.assertEqual(self.group.order.reservations.reserved_s, 0.0)
        self.assertEqual(self.group.order.reservations.counts.expired, 1)

    def test_offers_without_callers_are_ordered_as_before(self):
        """Guards against a change for services that report no cost."""
        older = self._submit(1.0, age_s=0.4, due_s=0.5)
        newer = self._submit(0.9)
        self.assertEqual(self._free_slot(1.0), [older])
        self.assertEqual(self._free_slot(1.0), [newer])
        self.assertEqual(len(self.group.order.reservations._callers), 0)


class RefusalMessageTests(unittest.TestCase):
    """Read the refusals that a host sends."""

    def test_refusal_carries_the_reserved_time(self):
        """Guards against a Retry-After that differs from the reservation."""
        group = admission_host.HostedGroup(
            groups.Group(fixtures.SERVICE, REGION),
            placement.Placement(fixtures.LOCALITY),
            endpoint_limits.EndpointLimits(),
            endpoint_capacity.EndpointCapacities(),
            0.0,
        )
        group.update_runners([fixtures.runner('r1', slots=4)], (), 0.0)
        for number in range(40):
            group.offer(
                'gateway-1', 'riga-a', _offer(number, caller=number + 1), 0.0
            )
        # Arrivals need few slots by now, and the queue is still long.
        now = 3.2
        group.scheduler.dispatch_all_ready(now)
        replies = [r for _, r in group.take_replies()]
        refusals = [r for r in replies if isinstance(r, messages.Refusal)]
        self.assertTrue(refusals)
        for refusal in refusals:
            caller = refusal.offer_id + 1
            at = group.order.reservations.find_told_at(caller)
            self.assertAlmostEqual(refusal.wait_s, at - now)
            self.assertLessEqual(refusal.wait_s, (DEADLINE_S - now) / 3)

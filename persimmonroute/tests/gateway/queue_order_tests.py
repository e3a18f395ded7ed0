"""Test the order of queued requests of one rank."""

from __future__ import annotations

import unittest

from persimmonroute.gateway.endpoint_capacity import EndpointCapacities
from persimmonroute.gateway.endpoint_capacity import Use
from persimmonroute.gateway import messages
from persimmonroute.gateway import model
from persimmonroute.gateway import queue_order
from persimmonroute.gateway import work_model
from standins import gateway_fixtures as fixtures

LONG_S = 2.0
SHORT_S = 0.1


def _pending(slot_s, sequence=1, now=0.0):
    pending = messages.PendingRequest(
        fixtures.request(), fixtures.route(), fixtures.SERVICE, None, now
    )
    pending.sequence = sequence
    pending.expected = work_model.Times(0.05, slot_s)
    return pending


class SizeOrderTests(unittest.TestCase):
    """Place requests whose slot times are expected."""

    def setUp(self):
        """Order by size."""
        self.capacities = EndpointCapacities()
        record = fixtures.runner('r1')
        load = model.RunnerLoad(1, 0, 1, 100)
        self.capacities.record_load(record, load, 0.0)
        self.order = queue_order.QueueOrder(self.capacities.find_delay_s)

    def _place(self, *arguments, **options):
        return self.order.find_place(_pending(*arguments, **options), 0.0)

    def test_short_request_goes_before_a_long_one_of_before(self):
        """Guards against a long response that displaces short ones."""
        long = self._place(LONG_S, now=0.0)
        self.assertLess(self._place(SHORT_S, now=1.0), long)

    def test_long_request_does_not_wait_for_ever(self):
        """Guards against short requests that always go first."""
        long = self._place(LONG_S, now=0.0)
        self.assertGreater(self._place(SHORT_S, now=10.0), long)

    def test_half_of_the_requests_are_placed_by_arrival(self):
        """Guards against sizes that are refused throughout an overload."""
        places = [self._place(LONG_S, number) for number in range(100)]
        by_arrival = [place for place in places if place.value == 0.0]
        self.assertEqual(len(by_arrival), len(places) // 2)

    def test_order_by_size_is_switched_off(self):
        """Guards against an effect that no setting asks for."""
        self.capacities.uses = frozenset({Use.PLACEMENT})
        self.assertEqual(self._place(LONG_S).value, 0.0)

    def test_stream_that_goes_on_is_first(self):
        """Guards against a begun stream that waits because of its length."""
        begun = _pending(LONG_S)
        begun.version = 'v1'
        place = self.order.find_place(begun, 0.0)
        self.assertLess(place, self._place(SHORT_S))

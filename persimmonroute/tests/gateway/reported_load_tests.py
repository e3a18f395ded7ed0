"""Test what endpoints report of their load, and who asks for them."""

from __future__ import annotations

import unittest

from persimmonroute.gateway import caller_identity
from persimmonroute.gateway import model
from persimmonroute.gateway import runners
from persimmonroute.platform import runner_client
from standins import gateway_fixtures as fixtures


class LoadHeaderTests(unittest.TestCase):
    """Read the load that endpoints report."""

    def test_three_and_four_figures(self):
        """Guards against a figure too many that hides the others."""
        for value, load in (
            (b'3,0,8', model.RunnerLoad(3, 0, 8)),
            (b'3,0,8,250', model.RunnerLoad(3, 0, 8, 250)),
            (b' 3, 0, 8, 100 ', model.RunnerLoad(3, 0, 8, 100)),
        ):
            with self.subTest(value=value):
                self.assertEqual(runner_client._read_load(value), load)

    def test_unreadable_figures(self):
        """Guards against figures that are no counts."""
        for value in (
            None,
            b'',
            b'3,0',
            b'3,0,8,1,1',
            b'-1,0,8',
            b'3,0,x,100',
            b'3,0,8,1e9',
            b'9' * 5000 + b',0,8',
        ):
            with self.subTest(value=value and value[:10]):
                self.assertIsNone(runner_client._read_load(value))

    def test_cost_is_known_by_service(self):
        """Only services that report the cost of work are told apart."""
        registry = runners.RunnerRegistry()
        registry.apply([fixtures.runner('r1')], (), False, 0.0)
        view = registry.find('r1')
        registry.record_load(view, model.RunnerLoad(1, 0, 8), 1.0)
        self.assertFalse(registry.reports_cost(fixtures.SERVICE))
        registry.record_load(view, model.RunnerLoad(1, 0, 8, 100), 2.0)
        registry.record_load(view, None, 3.0)
        self.assertTrue(registry.reports_cost(fixtures.SERVICE))
        self.assertEqual(view.load_reported_at, 2.0)


class CallerTests(unittest.TestCase):
    """Recognize a caller that comes back."""

    def test_retry_has_the_hash_of_its_caller(self):
        """A new attempt of the same request is the same caller."""
        desk = fixtures.workspace()
        first = fixtures.request(attempt='a')
        hashed = caller_identity.hash_caller(first, desk)
        again = first._replace(attempt='b', remaining_s=1.0)
        self.assertEqual(caller_identity.hash_caller(again, desk), hashed)
        other = fixtures.workspace('other')
        for request, workspace in (
            (first._replace(body=b'other'), desk),
            (first._replace(target='/other'), desk),
            (first, other),
            (first, None),
        ):
            self.assertNotEqual(
                caller_identity.hash_caller(request, workspace), hashed
            )

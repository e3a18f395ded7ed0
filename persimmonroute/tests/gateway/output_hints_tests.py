"""Test the correction of the callers' estimates of the output."""

from __future__ import annotations

import random
import unittest

from persimmonroute.gateway import output_hints
from standins import gateway_fixtures as fixtures

ROUTE = 'draft'
LIMIT = 2000
TOKENS_PER_EVENT = 6
# Deviation of the logarithm of honest estimates.
ERROR = 0.5
FALSE_FACTOR = 10


class OutputHintsTests(unittest.TestCase):
    """Let an honest workspace and one that states too little send."""

    def setUp(self):
        """Start without observations."""
        self.hints = output_hints.OutputHints()
        self.random = random.Random(3)

    def _send(self, workspace, count, factor=1.0):
        for _ in range(count):
            events = max(round(self.random.lognormvariate(2.5, 1.0)), 1)
            stated = events * TOKENS_PER_EVENT * factor
            stated *= self.random.lognormvariate(0.0, ERROR)
            self.hints.record(workspace, ROUTE, self._request(stated), events)

    def _request(self, stated, limit=LIMIT):
        return fixtures.request(
            ROUTE, output_tokens=limit, output_hint=max(round(stated), 1)
        )

    def _expect(self, workspace, stated, limit=LIMIT):
        return self.hints.expect(
            workspace, ROUTE, self._request(stated, limit)
        )

    def test_estimate_that_is_right_at_the_median_holds(self):
        """Guards against a correction where nothing is wrong."""
        self._send('honest', 400)
        self.assertAlmostEqual(self._expect('honest', 100), 100, delta=20)

    def test_workspace_that_states_too_little_is_corrected(self):
        """Guards against callers that go first by a false estimate."""
        for _ in range(100):
            self._send('honest', 3)
            self._send('false', 1, 1 / FALSE_FACTOR)
        self.assertGreater(self._expect('false', 10), 50)
        self.assertAlmostEqual(self._expect('honest', 100), 100, delta=40)

    def test_expected_output_is_within_the_limit(self):
        """Guards against more tokens than the caller allows."""
        self._send('honest', 100)
        self._send('false', 100, 1 / FALSE_FACTOR)
        self.assertEqual(self._expect('false', 30, limit=40), 40)
        self.assertEqual(self._expect('unknown', 50, limit=40), 40)

    def test_request_without_estimate_has_its_limit(self):
        """Guards against an unknown size that counts as none."""
        request = fixtures.request(ROUTE, output_tokens=LIMIT)
        self.assertEqual(self.hints.expect('w', ROUTE, request), LIMIT)

    def test_memory_is_bounded(self):
        """Guards against a table that grows with invented workspaces."""
        for number in range(output_hints.MAX_WORKSPACES + 10):
            self.hints.record(f'w{number}', ROUTE, self._request(10), 2)
        kept = self.hints.workspace_count
        self.assertEqual(kept, output_hints.MAX_WORKSPACES)

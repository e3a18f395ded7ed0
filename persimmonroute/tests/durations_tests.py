"""Test estimates of how long requests take."""

from __future__ import annotations

import math
import unittest

from persimmonroute import durations

KIND = 'draft'


class DurationsTests(unittest.TestCase):
    """Record requests and ask how long others take."""

    def setUp(self):
        """Start without any knowledge."""
        self.durations = durations.Durations()

    def _record(self, count, tokens=0, first_byte_s=0.0, took_s=1.0):
        for _ in range(count):
            self.durations.record(KIND, tokens, first_byte_s, took_s)

    def test_few_requests_tell_nothing(self):
        """A kind is unknown until enough of its requests have ended."""
        self._record(durations.MIN_REQUESTS - 1)
        self.assertEqual(self.durations.estimate_s(KIND, 0), math.inf)
        self._record(1)
        self.assertAlmostEqual(self.durations.estimate_s(KIND, 0), 1.0)
        self.assertEqual(self.durations.estimate_s('other', 0), math.inf)

    def test_longest_recent_request_counts(self):
        """A rare long request is remembered, but not for ever."""
        self._record(1, took_s=5.0)
        self._record(durations.WINDOW_REQUESTS)
        self.assertAlmostEqual(self.durations.estimate_s(KIND, 0), 5.0)
        self._record(2 * durations.WINDOW_REQUESTS)
        self.assertAlmostEqual(self.durations.estimate_s(KIND, 0), 1.0)

    def test_stream_takes_as_long_as_its_tokens(self):
        """Longer streams than any before are expected to take longer."""
        self._record(20, tokens=100, first_byte_s=0.2, took_s=1.2)
        short_s = self.durations.estimate_s(KIND, 10)
        long_s = self.durations.estimate_s(KIND, 1000)
        self.assertLess(short_s, 0.6)
        self.assertGreater(long_s, 7.0)
        self.assertAlmostEqual(self.durations.estimate_s(KIND, 100), 1.2)

    def test_short_stream_tells_little_of_a_long_one(self):
        """One delayed event of a short stream multiplies no long one."""
        self._record(20, tokens=300, first_byte_s=0.1, took_s=2.1)
        self._record(1, tokens=2, first_byte_s=0.1, took_s=0.2)
        self.assertAlmostEqual(self.durations.estimate_s(KIND, 300), 2.1)

    def test_kinds_are_bounded(self):
        """Requests of ever new kinds need no more memory."""
        for number in range(2 * durations.MAX_KINDS):
            for _ in range(durations.MIN_REQUESTS):
                self.durations.record(str(number), 0, 0.0, 1.0)
        last = 2 * durations.MAX_KINDS
        known = [
            number
            for number in range(last)
            if self.durations.is_known(str(number))
        ]
        self.assertEqual(known, list(range(durations.MAX_KINDS, last)))

    def test_kind_in_use_outlives_others(self):
        """Guards against kinds that stay unknown after many changes."""
        for number in range(2 * durations.MAX_KINDS):
            self._record(1)
            self.durations.record(str(number), 0, 0.0, 1.0)
        self._record(durations.MIN_REQUESTS)
        self.assertTrue(self.durations.is_known(KIND))

"""Test which requests a stopping process accepts."""

from __future__ import annotations

import unittest

from persimmonroute import draining


class DrainTests(unittest.TestCase):
    """Ask a drain that began at 100 s about requests."""

    def test_all_is_taken_until_the_removal(self):
        """Callers that cannot know of the stop are not refused."""
        drain = draining.begin(100.0, 2.6, 1.4, 7.3)
        self.assertTrue(drain.accepts(1000.0, 102.5))

    def test_only_what_ends_in_time_is_taken_later(self):
        """A request may last until the end less the time of its answer."""
        drain = draining.begin(100.0, 2.6, 1.4, 7.3)
        self.assertTrue(drain.accepts(106.9, 102.6))
        self.assertFalse(drain.accepts(107.1, 102.6))

    def test_short_grace_period_leaves_time_to_drain(self):
        """Requests get some time even if the grace period has none left."""
        drain = draining.begin(100.0, 2.6, 1.4, 0.3)
        self.assertEqual(drain.ends_at, 104.0)

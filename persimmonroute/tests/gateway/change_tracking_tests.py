"""Test how a gateway notices that it missed a change of a table."""

from __future__ import annotations

import unittest

from persimmonroute.gateway import change_tracking

PATIENCE_S = 0.9


class ChangeTrackerTests(unittest.TestCase):
    """Tell a tracker what was read here and by peers."""

    def setUp(self):
        """Read the table up to version 10 of era 1."""
        self.tracker = change_tracking.ChangeTracker()
        self.tracker.record_read(1, 10, 8)

    def _is_overdue(self, now):
        return self.tracker.is_overdue(PATIENCE_S, now)

    def test_nothing_is_missing(self):
        """Changes that were read here are not asked for."""
        self.tracker.record_peer(1, 10, 0.0)
        self.assertFalse(self._is_overdue(60.0))
        self.assertEqual(self.tracker.newest_change(1), 8)

    def test_missing_change_is_due_once(self):
        """The store is asked once for each report of a peer."""
        self.tracker.record_peer(1, 12, 0.0)
        self.assertFalse(self._is_overdue(0.8))
        self.assertTrue(self._is_overdue(1.0))
        self.assertFalse(self._is_overdue(60.0))
        self.tracker.record_peer(1, 12, 60.0)
        self.assertTrue(self._is_overdue(61.0))

    def test_change_that_arrives_in_time_is_not_asked_for(self):
        """Gateways read a change at unlike times."""
        self.tracker.record_peer(1, 12, 0.0)
        self.tracker.record_read(1, 12, 12)
        self.assertFalse(self._is_overdue(60.0))

    def test_later_changes_defer_nothing(self):
        """Peers report one change after the other during a release."""
        for step in range(10):
            self.tracker.record_peer(1, 12 + step, 0.1 * step)
        self.assertTrue(self._is_overdue(0.95))

    def test_eras_are_not_compared(self):
        """A restored store gives out its versions again."""
        self.tracker.record_peer(2, 12, 0.0)
        self.assertFalse(self._is_overdue(60.0))
        self.assertEqual(self.tracker.newest_change(2), 0)
        self.tracker.record_peer(1, 12, 0.0)
        self.tracker.record_read(2, 5, 4)
        self.assertFalse(self._is_overdue(60.0))

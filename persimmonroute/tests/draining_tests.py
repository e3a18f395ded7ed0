"""Test what a stopping process still passes on."""

from __future__ import annotations

import asyncio
import math
import unittest

from persimmonroute import draining


class DrainTests(unittest.TestCase):
    """Ask a drain that began at 100 s about requests."""

    def setUp(self):
        """Begin a stop with a grace period of 7.3 s."""
        self.drain = draining.begin(100.0, 2.6, 0.4, 7.3)

    def _may_send(self, deadline_at, expected_s, now):
        return now <= self.drain.find_latest_send(deadline_at, expected_s)

    def test_request_of_unknown_length_ends_by_its_deadline(self):
        """Its deadline, less the time of its answer, is within the stop."""
        for now in (100.0, 102.5, 104.0):
            self.assertTrue(self._may_send(106.9, math.inf, now))
            self.assertFalse(self._may_send(107.1, math.inf, now))

    def test_request_of_known_length_is_sent_if_it_ends_in_time(self):
        """A later deadline does not count against it."""
        self.assertTrue(self._may_send(1000.0, 2.0, 104.9))
        self.assertFalse(self._may_send(1000.0, 2.0, 105.1))
        self.assertFalse(self._may_send(1000.0, 8.0, 100.0))

    def test_stop_never_outlasts_its_grace_period(self):
        """A process that is killed at its end cuts off what is open."""
        for grace_s in (0.0, 0.3, 2.3, 7.3):
            drain = draining.begin(100.0, 2.6, 0.4, grace_s)
            self.assertEqual(drain.ends_at, 100.0 + grace_s)
            self.assertGreaterEqual(drain.closes_at, 100.0)
            self.assertLessEqual(
                drain.closes_at, max(drain.ends_at - 0.4, 100.0)
            )


class OpenRequestsTests(unittest.IsolatedAsyncioTestCase):
    """End what is open at the end of a stop."""

    async def test_only_what_is_open_is_ended(self):
        """Requests that have ended are let alone."""
        requests = draining.OpenRequests()
        async with asyncio.timeout(None) as limit:
            with requests.hold(limit):
                await asyncio.sleep(0)
        requests.end_unanswered()
        requests.end_all()
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(None) as limit:
                with requests.hold(limit):
                    requests.end_all()
                    await asyncio.sleep(1.0)

    async def test_begun_responses_go_on_for_longer(self):
        """A stream may still end while others get their last answer."""
        requests = draining.OpenRequests()
        async with asyncio.timeout(None) as limit:
            with requests.hold(limit, lambda: True):
                requests.end_unanswered()
                await asyncio.sleep(0.05)
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(None) as limit:
                with requests.hold(limit):
                    requests.end_unanswered()
                    await asyncio.sleep(1.0)

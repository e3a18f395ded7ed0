"""Test what a stopping process still passes on."""

from __future__ import annotations

import asyncio
import math
import unittest
from unittest import mock

from persimmonroute import clock
from persimmonroute import draining


class DrainTests(unittest.TestCase):
    """Ask a drain that began at 100 s about requests."""

    def setUp(self):
        """Begin a stop with a grace period of 7.3 s."""
        self.drain = draining.begin(100.0, 2.6, 0.4, 7.3)

    def _may_send(self, deadline_at, expected_s, now):
        return self.drain.may_send(now, deadline_at, expected_s)

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

    def test_arrival_before_the_close_counts_as_a_send(self):
        """Guards against refusals of what would end in time."""
        self.assertTrue(self.drain.may_accept(102.5, math.inf, 4.0))
        self.assertFalse(self.drain.may_accept(102.5, math.inf, 4.6))

    def test_arrival_after_the_close_counts_only_if_it_is_certain(self):
        """Guards against requests that outlast their estimate and the stop."""
        self.assertFalse(self.drain.may_accept(102.6, math.inf, 1.0))
        self.assertTrue(self.drain.may_accept(102.6, 106.9, 9.0))
        self.assertTrue(self.drain.may_accept(102.6, math.inf, 9.0, 4.0))
        self.assertFalse(self.drain.may_accept(102.6, math.inf, 1.0, 4.5))

    def test_stream_that_outlasts_the_stop_is_handed_over_near_its_end(self):
        """Guards against streams that are cut between two events.

        What ends within the stop, or at its deadline, is left alone.
        """
        for at, deadline_at, expected_at, due in (
            (106.7, math.inf, math.inf, False),
            (106.9, math.inf, math.inf, True),
            (106.9, 120.0, 107.4, True),
            (106.9, 120.0, 107.2, False),
            (106.9, 107.2, math.inf, False),
        ):
            with self.subTest(at=at, deadline=deadline_at, end=expected_at):
                self.assertEqual(
                    self.drain.is_handover_due(at, deadline_at, expected_at),
                    due,
                )

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


class EndOpenTests(unittest.IsolatedAsyncioTestCase):
    """End what is open at the end of a stop, beside stand-stills."""

    async def asyncSetUp(self):
        """Begin a stop of 0.6 s, whose last answers are due at 0.3 s."""
        self.loop = asyncio.get_running_loop()
        self.began_at = self.loop.time()
        # Time for which the clock went on while nothing ran.
        self.stood_still_s = 0.0
        # Steps with the times at which they were called.
        self.steps = []
        self.drain = draining.begin(0.0, 0.0, 0.0, 0.6)
        patched = mock.patch.object(clock, 'now_s', self._read_clock)
        patched.start()
        self.addCleanup(patched.stop)

    def _read_clock(self):
        return self.loop.time() - self.began_at + self.stood_still_s

    def _stand_still(self, seconds):
        self.stood_still_s = seconds

    def _record(self, step):
        self.steps.append((step, self._read_clock()))

    async def _end_open(self):
        await draining.end_open(
            self.drain,
            lambda: self._record('end'),
            lambda: self._record('cancel'),
        )
        (end, ended_at), (cancel, cancelled_at) = self.steps
        self.assertEqual((end, cancel), ('end', 'cancel'))
        self.assertGreaterEqual(cancelled_at, ended_at + draining.WRITE_S)
        self.assertGreaterEqual(cancelled_at, self.drain.ends_at)
        return ended_at

    async def test_requests_end_at_the_last_answer(self):
        """They are answered before what is left is cancelled."""
        ended_at = await self._end_open()
        self.assertGreaterEqual(ended_at, self.drain.answers_until)

    async def test_requests_end_after_what_arrived_is_read(self):
        """Guards against an end as a process wakes up."""
        for stood_still_s in (0.35, 3.0):
            with self.subTest(stood_still_s=stood_still_s):
                await self.asyncSetUp()
                self.loop.call_later(0.05, self._stand_still, stood_still_s)
                ended_at = await self._end_open()
                self.assertGreaterEqual(
                    ended_at, 0.05 + stood_still_s + draining.READ_S
                )

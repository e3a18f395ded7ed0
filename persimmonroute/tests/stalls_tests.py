"""Test what counts as a stall of the event loop."""

from __future__ import annotations

import time
import unittest

from standins import stalls

PAUSE_S = 0.3


class StallMeterTests(unittest.IsolatedAsyncioTestCase):
    """Keep the event loop from its work."""

    async def test_time_without_processor_is_a_stall(self):
        """A sleep of the process is like a suspension."""
        async with stalls.measure() as meter:
            before_s = await meter.read_s()
            time.sleep(PAUSE_S)
            stood_s = await meter.read_s() - before_s
        self.assertGreater(stood_s, 0.9 * PAUSE_S)

    async def test_own_work_is_no_stall(self):
        """Guards against a product that is slow and excused for it."""
        async with stalls.measure() as meter:
            before_s = await meter.read_s()
            began_at, used_s = time.monotonic(), time.process_time()
            while time.process_time() - used_s < PAUSE_S:
                pass
            waited_s = time.monotonic() - began_at - PAUSE_S
            stood_s = await meter.read_s() - before_s
        self.assertLess(stood_s, waited_s + 0.1)

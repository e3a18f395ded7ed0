"""Measure how long the event loop stands still because of other processes."""

from __future__ import annotations

import asyncio
import contextlib
import time

STEP_S = 0.005
# Shorter delays are those of the loop's own work.
MIN_STALL_S = 0.02


class StallMeter:
    """Sum up the time in which this process was not run."""

    def __init__(self):
        self._total_s = 0.0

    async def read_s(self):
        """Return the sum, including a stall that has just ended."""
        await asyncio.sleep(2 * STEP_S)
        return self._total_s

    async def watch(self):
        """Measure until cancelled.

        Processor time that this process uses is no stall, however long the
        loop is kept from other work.
        """
        while True:
            began_at, used_s = time.monotonic(), time.process_time()
            await asyncio.sleep(STEP_S)
            late_s = time.monotonic() - began_at - STEP_S
            late_s -= time.process_time() - used_s
            if late_s >= MIN_STALL_S:
                self._total_s += late_s


@contextlib.asynccontextmanager
async def measure():
    """Provide a StallMeter that watches the running loop."""
    meter = StallMeter()
    watching = asyncio.create_task(meter.watch())
    try:
        yield meter
    finally:
        watching.cancel()

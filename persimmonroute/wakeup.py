"""Wake a process when its core's next timer falls due."""

from __future__ import annotations

import asyncio
import time

# Longest time between two calls, so that periodic work is done.
MAX_SLEEP_S = 1.0
# Timers that fall due this close together are served together.
RESOLUTION_S = 0.005


class WakeupTimer:
    """Call a function at the earliest wanted time."""

    def __init__(self, function):
        self._function = function
        self._handle = None
        self._at = None

    def schedule(self, at):
        """Make sure of a call at a monotonic time in seconds, or soon."""
        latest = time.monotonic() + MAX_SLEEP_S
        at = latest if at is None else min(at, latest)
        if self._at is not None and self._at <= at:
            return
        self.cancel()
        self._at = at
        delay = max(at - time.monotonic(), 0.0) + RESOLUTION_S
        loop = asyncio.get_running_loop()
        self._handle = loop.call_later(delay, self._fire)

    def cancel(self):
        """Drop the wanted call."""
        if self._handle is not None:
            self._handle.cancel()
        self._handle = None
        self._at = None

    def _fire(self):
        self._handle = None
        self._at = None
        self._function()

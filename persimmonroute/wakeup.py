"""Schedule the wake-up for a core's next timer."""

from __future__ import annotations

import asyncio
import time

# Maximum time between two calls, so that periodic work runs even if no
# timer is due.
MAX_DELAY_S = 1.0
# Timers due within this time of each other share one wake-up.
COALESCING_S = 0.005


class WakeupTimer:
    """Call a function at the earliest scheduled time."""

    def __init__(self, function):
        self._function = function
        self._handle = None
        self._due_at = None

    def schedule(self, due_at):
        """Schedule a call at a monotonic time in seconds.

        An earlier scheduled call is kept. The call comes within MAX_DELAY_S,
        also if due_at is later or None.
        """
        latest = time.monotonic() + MAX_DELAY_S
        due_at = latest if due_at is None else min(due_at, latest)
        if self._due_at is not None and self._due_at <= due_at:
            return
        self.cancel()
        self._due_at = due_at
        delay = max(due_at - time.monotonic(), 0.0) + COALESCING_S
        loop = asyncio.get_running_loop()
        self._handle = loop.call_later(delay, self._fire)

    def cancel(self):
        """Cancel the scheduled call."""
        if self._handle is not None:
            self._handle.cancel()
        self._handle = None
        self._due_at = None

    def _fire(self):
        self._handle = None
        self._due_at = None
        self._function()

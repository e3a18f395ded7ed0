"""Provide the clock that measures the age of received data."""

from __future__ import annotations

import time


def now_s():
    """Return seconds of a monotonic clock that includes system suspend."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)

"""Tell the time by which beliefs age."""

from __future__ import annotations

import time


def now_s():
    """Return seconds of a steady clock that also counts suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)

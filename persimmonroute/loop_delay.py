"""Measure how late the event loop runs what is due."""

from __future__ import annotations

import math
import time

from persimmonroute.events import Event
from persimmonroute import logs

log = logs.EventLog(__name__)

# Delays from which a loop counts as late, and the shortest time between two
# events about it.
LATE_S = 0.25
LOG_INTERVAL_S = 1.0


class LoopDelay:
    """Record how late periodic steps run, and log when they are late."""

    def __init__(self):
        self.latest_s = 0.0
        # Since the start of the process.
        self.longest_s = 0.0
        self._unlogged_s = 0.0
        self._logged_at = -math.inf
        self._logged_cpu_s = time.process_time()

    def record(self, delay_s, now):
        """Record the delay of one step; log it if it is late."""
        self.latest_s = max(delay_s, 0.0)
        self.longest_s = max(self.longest_s, self.latest_s)
        self._unlogged_s = max(self._unlogged_s, self.latest_s)
        if now - self._logged_at < LOG_INTERVAL_S:
            return
        cpu_s = time.process_time()
        used_s = cpu_s - self._logged_cpu_s
        if self._unlogged_s >= LATE_S:
            log.emit(
                Event.EVENT_LOOP_LATE,
                delay_s=round(self._unlogged_s, 3),
                cpu_share=round(used_s / (now - self._logged_at), 3),
            )
        self._unlogged_s = 0.0
        self._logged_at, self._logged_cpu_s = now, cpu_s

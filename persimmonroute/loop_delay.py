"""Measure how late the event loop runs what is due."""

from __future__ import annotations

import math
import time
import typing

from persimmonroute.events import Event
from persimmonroute import logs

log = logs.EventLog(__name__)

# Delays from which a loop counts as late, and the shortest time between two
# events about it.
LATE_S = 0.25
LOG_INTERVAL_S = 1.0


class Load(typing.NamedTuple):
    """Describe the lateness of a loop and the processor time it takes."""

    # Longest delay since the last log, in seconds.
    longest_s: float
    # Share of one core that the process used meanwhile.
    cpu_share: float


class LoopDelay:
    """Record how late periodic steps run, and log when they are late."""

    def __init__(self, read_cpu_s=time.process_time):
        self._read_cpu_s = read_cpu_s
        self.latest_s = 0.0
        # Since the start of the process.
        self.longest_s = 0.0
        self._unlogged_s = 0.0
        self._logged_at = -math.inf
        self._logged_cpu_s = read_cpu_s()

    def record(self, delay_s, now):
        """Record the delay of one step; log it if it is late."""
        self.latest_s = max(delay_s, 0.0)
        self.longest_s = max(self.longest_s, self.latest_s)
        self._unlogged_s = max(self._unlogged_s, self.latest_s)
        if now - self._logged_at < LOG_INTERVAL_S:
            return
        load = self._take_load(now)
        if load.longest_s >= LATE_S:
            log.emit(
                Event.EVENT_LOOP_LATE,
                delay_s=round(load.longest_s, 3),
                cpu_share=round(load.cpu_share, 3),
            )

    def _take_load(self, now):
        cpu_s = self._read_cpu_s()
        used_s = cpu_s - self._logged_cpu_s
        load = Load(self._unlogged_s, used_s / (now - self._logged_at))
        self._unlogged_s = 0.0
        self._logged_at, self._logged_cpu_s = now, cpu_s
        return load

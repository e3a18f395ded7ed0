"""Keep deadlines for controllers that own no clock."""

from __future__ import annotations

import heapq
import itertools
import typing


class Timer(typing.NamedTuple):
    """Name what falls due, and for which request."""

    kind: str
    subject: str


class TimerQueue:
    """Order timers by the time at which they fall due."""

    def __init__(self):
        self._heap = []
        self._sequence = itertools.count()

    @property
    def next_at(self):
        """Return the time of the earliest timer in seconds, or None."""
        return self._heap[0][0] if self._heap else None

    def schedule(self, at, kind, subject=''):
        """Add a timer that falls due at a time in seconds."""
        entry = (at, next(self._sequence), Timer(kind, subject))
        heapq.heappush(self._heap, entry)

    def pop_due(self, now):
        """Remove and return the timers that have fallen due."""
        due = []
        while self._heap and self._heap[0][0] <= now:
            due.append(heapq.heappop(self._heap)[2])
        return due

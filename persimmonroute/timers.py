"""Queue timers for controllers, which have no clock of their own."""

from __future__ import annotations

import heapq
import itertools
import typing


class Timer(typing.NamedTuple):
    """Identify the kind of a timer and the request it is for."""

    kind: str
    subject: str


class TimerQueue:
    """Order timers by due time."""

    def __init__(self):
        self._heap = []
        self._sequence = itertools.count()

    @property
    def next_at(self):
        """Return the due time of the earliest timer in seconds, or None."""
        return self._heap[0][0] if self._heap else None

    def schedule(self, at, kind, subject=''):
        """Add a timer that is due at a time in seconds."""
        entry = (at, next(self._sequence), Timer(kind, subject))
        heapq.heappush(self._heap, entry)

    def pop_due(self, now):
        """Remove and return all timers that are due."""
        due = []
        while self._heap and self._heap[0][0] <= now:
            due.append(heapq.heappop(self._heap)[2])
        return due

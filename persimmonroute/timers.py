"""Queue timers for controllers, which have no clock of their own."""

from __future__ import annotations

import heapq
import itertools
import math
import typing

from persimmonroute import timeouts


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
        self._push(at, Timer(kind, subject), None)

    def schedule_limit(
        self, at, seconds, kind, subject='', latest_at=math.inf
    ):
        """Add a timer that ends what was given some seconds up to a time.

        After a stand-still of the process it leaves time for the events that
        have arrived meanwhile, as timeouts.Limit does.
        """
        limit = timeouts.Limit(at, seconds, latest_at)
        self._push(limit.next_at, Timer(kind, subject), limit)

    def pop_due(self, now):
        """Remove and return all timers that are due."""
        due = []
        while self._heap and self._heap[0][0] <= now:
            _, _, timer, limit = heapq.heappop(self._heap)
            if limit is None or limit.has_passed(now):
                due.append(timer)
            else:
                self._push(limit.next_at, timer, limit)
        return due

    def _push(self, at, timer, limit):
        entry = (at, next(self._sequence), timer, limit)
        heapq.heappush(self._heap, entry)

"""Order the requests that wait for their endpoint."""

from __future__ import annotations

import abc

import sortedcontainers


class QueueOrder(abc.ABC):
    """Decide in which order waiting requests start."""

    @abc.abstractmethod
    def key(self, attempt):
        """Return the sort key of an item; the least starts first."""


class TierThenDeadline(QueueOrder):
    """Start higher tiers first and earlier deadlines within a tier."""

    def key(self, attempt):
        """Return tier, deadline and order of arrival."""
        return (attempt.tier, attempt.deadline, attempt.sequence)


class ArrivalOrder(QueueOrder):
    """Start in order of arrival; a baseline."""

    def key(self, attempt):
        """Return the order of arrival."""
        return (attempt.sequence,)


class WaitingQueue:
    """Hold the requests that may start, in their order."""

    def __init__(self, order=None):
        self._order = order or TierThenDeadline()
        self._attempts = sortedcontainers.SortedKeyList(key=self._order.key)

    def __len__(self):
        return len(self._attempts)

    def __iter__(self):
        return iter(self._attempts)

    def add(self, attempt):
        """Let an item wait."""
        self._attempts.add(attempt)

    def discard(self, attempt):
        """Remove an item if it waits."""
        self._attempts.discard(attempt)

    def ahead_of(self, attempt):
        """Return the waiting items that start before an item."""
        return self._attempts[
            : self._attempts.bisect_key_left(self._order.key(attempt))
        ]

    def lower_than(self, tier):
        """Return the waiting items of tiers below one."""
        return [attempt for attempt in self._attempts if attempt.tier > tier]

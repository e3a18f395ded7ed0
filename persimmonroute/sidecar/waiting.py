"""Order the attempts queued for an endpoint."""

from __future__ import annotations

import abc

import sortedcontainers


class QueueOrder(abc.ABC):
    """Define the order in which queued attempts start."""

    @abc.abstractmethod
    def key(self, attempt):
        """Return the sort key of an attempt; the smallest starts first."""


class TierThenDeadline(QueueOrder):
    """Start higher tiers first, by earliest deadline within a tier."""

    def key(self, attempt):
        """Return the tier, deadline and arrival sequence."""
        return (attempt.tier, attempt.deadline, attempt.sequence)


class ArrivalOrder(QueueOrder):
    """Start in order of arrival, as a baseline order."""

    def key(self, attempt):
        """Return the arrival sequence."""
        return (attempt.sequence,)


class WaitingQueue:
    """Store the attempts that may start, sorted by a QueueOrder."""

    def __init__(self, order=None):
        self._order = order or TierThenDeadline()
        self._attempts = sortedcontainers.SortedKeyList(key=self._order.key)

    def __len__(self):
        return len(self._attempts)

    def __iter__(self):
        return iter(self._attempts)

    def add(self, attempt):
        """Add an attempt."""
        self._attempts.add(attempt)

    def discard(self, attempt):
        """Remove an attempt if it is queued."""
        self._attempts.discard(attempt)

    def ahead_of(self, attempt):
        """Return the queued attempts that start before an attempt."""
        return self._attempts[
            : self._attempts.bisect_key_left(self._order.key(attempt))
        ]

    def below_tier(self, tier):
        """Return the queued attempts of lower tiers than the given one."""
        return [attempt for attempt in self._attempts if attempt.tier > tier]

"""Order the requests that wait for their endpoint."""

from __future__ import annotations

import abc

import sortedcontainers


class QueueOrder(abc.ABC):
    """Decide in which order waiting requests start."""

    @abc.abstractmethod
    def key(self, item):
        """Return the sort key of an item; the least starts first."""


class TierThenDeadline(QueueOrder):
    """Start higher tiers first and earlier deadlines within a tier."""

    def key(self, item):
        """Return tier, deadline and order of arrival."""
        return (item.tier, item.deadline, item.sequence)


class ArrivalOrder(QueueOrder):
    """Start in order of arrival; a baseline."""

    def key(self, item):
        """Return the order of arrival."""
        return (item.sequence,)


class WaitingLine:
    """Hold the requests that may start, in their order."""

    def __init__(self, order=None):
        self._order = order or TierThenDeadline()
        self._items = sortedcontainers.SortedKeyList(key=self._order.key)

    def __len__(self):
        return len(self._items)

    def __iter__(self):
        return iter(self._items)

    def add(self, item):
        """Let an item wait."""
        self._items.add(item)

    def discard(self, item):
        """Remove an item if it waits."""
        self._items.discard(item)

    def ahead_of(self, item):
        """Return the waiting items that start before an item."""
        return self._items[
            : self._items.bisect_key_left(self._order.key(item))
        ]

    def lower_than(self, tier):
        """Return the waiting items of tiers below one."""
        return [item for item in self._items if item.tier > tier]

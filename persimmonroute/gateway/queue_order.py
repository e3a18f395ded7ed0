"""Define how a scheduler orders queued requests by their callers."""

from __future__ import annotations

import enum
import typing

# Added to the tier of requests that can no longer be on time.
LATE_RANK_PENALTY = 0.5
# Each of so many requests is placed by its arrival alone, so that the largest
# ones are served at least half as often as the others under any overload.
BY_ARRIVAL_INTERVAL = 2


class PlaceClass(enum.IntEnum):
    """Order requests of one rank, before their values are compared."""

    # A stream that goes on.
    BEGUN = 0
    RESERVED = 1
    USUAL = 2
    # Beyond the fair part of its workspace.
    EXCESS = 3
    # Back before the time that its caller was told.
    EARLY = 4
    COPY = 5


class Place(typing.NamedTuple):
    """Order the requests of one rank."""

    place_class: PlaceClass
    value: float


class QueueOrder:
    """Order queued requests of one rank by their first arrival and size.

    find_delay_s returns by how many seconds later a request is placed because
    of its size. Subclasses may move requests within their tier and answer
    refused callers.
    """

    def __init__(self, find_delay_s=lambda pending: 0.0):
        self._find_delay_s = find_delay_s

    def is_arrival(self, pending, now):
        """Return whether to count a request in the forecast of arrivals."""
        return True

    def record_queued(self, pending, work_s, now):
        """Record that a request is queued; work_s is its slot time."""

    def begin_ranking(self, queue, find_work_s, now):
        """Prepare to place the requests of a queue.

        find_work_s returns the slot time of a request in seconds.
        """

    def find_rank(self, pending, rank, now):
        """Return the rank of a request, within its tier."""
        return rank

    def find_place(self, pending, now):
        """Return the Place of a request among those of its rank."""
        if pending.version is not None:
            return Place(PlaceClass.BEGUN, 0.0)
        placed_at = pending.first_arrived_at
        if pending.sequence % BY_ARRIVAL_INTERVAL:
            placed_at += self._find_delay_s(pending)
        return Place(PlaceClass.USUAL, placed_at)

    def may_shed(self, pending, wait_s, now):
        """Return whether a request may be shed because of its wait."""
        return True

    def refuse(self, pending, wait_s, find_room, now):
        """Record that a request is shed; return the wait that it is told.

        wait_s is the expected one, None without a usable endpoint. find_room
        returns the retry_reservations.Room of the tier.
        """
        return wait_s

    def record_granted(self, pending, work_s, now):
        """Record that a queued request is granted an endpoint."""

    def record_withdrawn(self, pending):
        """Record that a queued request is removed before a decision."""

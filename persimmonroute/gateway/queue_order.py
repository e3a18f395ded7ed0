"""Define how a scheduler orders queued requests by their callers."""

from __future__ import annotations

import math

# Added to the tier of requests that can no longer be on time.
LATE_RANK_PENALTY = 0.5


class QueueOrder:
    """Order queued requests of one rank by their first arrival.

    Subclasses may move requests within their tier and answer refused callers.
    """

    def is_arrival(self, pending, now):
        """Return whether to count a request in the forecast of arrivals."""
        return True

    def find_rank(self, pending, rank, now):
        """Return the rank of a request, within its tier."""
        return rank

    def find_place(self, pending, now):
        """Return the place of a request among those of its rank."""
        begun = pending.version is not None
        return -math.inf if begun else pending.first_arrived_at

    def may_shed(self, pending, wait_s, now):
        """Return whether a request may be shed because of its wait."""
        return True

    def refuse(self, pending, wait_s, find_room, now):
        """Record that a request is shed; return the wait that it is told.

        wait_s is the expected one, None without a usable endpoint. find_room
        returns the retry_reservations.Room of the tier.
        """
        return wait_s

    def record_granted(self, pending, now):
        """Record that a queued request is granted an endpoint."""

    def record_withdrawn(self, pending):
        """Record that a queued request is removed before a decision."""

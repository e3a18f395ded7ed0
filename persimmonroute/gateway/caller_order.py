"""Order the requests at the host of a group by their callers."""

from __future__ import annotations

import collections

from persimmonroute.gateway import queue_order
from persimmonroute.gateway.queue_order import Place
from persimmonroute.gateway.queue_order import PlaceClass
from persimmonroute.gateway import retry_reservations
from persimmonroute.gateway.retry_reservations import Standing
from persimmonroute.gateway import return_ages
from persimmonroute.gateway import workspace_shares

# A request whose first attempt is not older by this than itself is new.
MIN_AGE_S = 0.03
# A caller that returned is refused again after this share of the time that it
# had left. Until then only an expected wait beyond its deadline counts: most
# callers return once, and bursts often end before the forecast expects it.
MAX_RETURN_WAIT_SHARE = 0.25


class CallerOrder(queue_order.QueueOrder):
    """Serve returning callers at the times that refusals named.

    Within a tier, requests beyond the fair part of their workspace wait for
    the others. Only hosted requests whose offer names the caller are
    concerned; all others are ordered by their first arrival.
    """

    def __init__(self, find_delay_s=lambda pending: 0.0):
        super().__init__(find_delay_s)
        self.reservations = retry_reservations.RetryReservations()
        self._ages = return_ages.ReturnAges()
        self.shares = workspace_shares.WorkspaceShares()
        # By how much queued requests exceed the fair part, without zeros.
        self._excess = {}

    def admit(self, hosted, now):
        """Recognize the caller of a request before it is queued."""
        caller = hosted.offer.caller
        if not caller:
            return
        first_at = self.reservations.find_first_arrival(caller, now)
        hosted.returning = first_at is not None
        if first_at is None:
            # It may have been refused by another host or by a former one.
            first_at = hosted.first_arrived_at
            age_s = hosted.due_at - hosted.route.objective_s - first_at
            hosted.returning = self._ages.judge(
                hosted.gateway, hosted.route.name, age_s >= MIN_AGE_S
            )
        if hosted.returning:
            # Callers judge a response by the time since their first attempt.
            hosted.first_arrived_at = first_at
            hosted.due_at = min(
                hosted.due_at, first_at + hosted.route.objective_s
            )
            self.reservations.arrive(caller, hosted, now)

    def has_reservation(self, offer, now):
        """Return whether the caller of an offer has a reservation here."""
        if not offer.caller:
            return False
        return self.reservations.has_reservation(offer.caller, now)

    def expire(self, now):
        """Release what was reserved for callers that did not return."""
        self.reservations.expire(now)

    def is_arrival(self, pending, now):
        """Return whether a request is new.

        Counted as arrivals, callers that return would make the forecast
        refuse more requests, which return in turn.
        """
        return not pending.returning

    def record_queued(self, pending, work_s, now):
        """Record what the workspace of a request asks for."""
        if pending.offer.workspace:
            self.shares.record_demand(
                pending.tier, pending.offer.workspace, work_s, now
            )

    def begin_ranking(self, queue, find_work_s, now):
        """Find the requests beyond the fair part of their workspace."""
        self._excess.clear()
        ahead_s = collections.Counter()
        for pending in queue:
            workspace = pending.offer.workspace
            if not workspace:
                continue
            key = (pending.tier, workspace)
            excess = self.shares.find_excess(*key, ahead_s[key], now)
            ahead_s[key] += find_work_s(pending)
            if excess:
                self._excess[pending] = excess

    def find_rank(self, pending, rank, now):
        """Return the rank of a request, within its tier."""
        standing = self._find_standing(pending, now)
        if standing is Standing.RESERVED:
            return pending.tier
        if standing in (Standing.EARLY, Standing.COPY):
            return pending.tier + queue_order.LATE_RANK_PENALTY
        return rank

    def find_place(self, pending, now):
        """Return the place of a request among those of its rank."""
        standing = self._find_standing(pending, now)
        if pending.version is not None:
            return super().find_place(pending, now)
        if standing is Standing.RESERVED:
            return Place(PlaceClass.RESERVED, self._find_told_at(pending))
        if standing is Standing.EARLY:
            return Place(PlaceClass.EARLY, self._find_told_at(pending))
        if standing is Standing.COPY:
            return Place(PlaceClass.COPY, pending.queued_at)
        excess = self._excess.get(pending)
        if excess is not None:
            return Place(PlaceClass.EXCESS, excess)
        return super().find_place(pending, now)

    def may_shed(self, pending, wait_s, now):
        """Return whether a request may be shed because of its wait.

        One that came before the time that it was told waits for it, however
        many are before it now: refused again, it would only return sooner.
        """
        if not pending.returning:
            return True
        standing = self._find_standing(pending, now)
        if standing is Standing.COPY:
            return True
        if standing is Standing.EARLY:
            return False
        left_s = pending.deadline_at - now
        waited_s = now - pending.queued_at
        return wait_s > left_s or waited_s > MAX_RETURN_WAIT_SHARE * (
            left_s + waited_s
        )

    def refuse(self, pending, wait_s, find_room, now):
        """Record a refusal; return after how many seconds to return."""
        caller = pending.offer.caller
        if not caller:
            return wait_s
        return self.reservations.refuse(
            caller,
            pending,
            wait_s,
            find_room,
            now,
            may_reserve=pending not in self._excess,
        )

    def record_granted(self, pending, work_s, now):
        """Record that a queued request is granted an endpoint."""
        if pending.offer.workspace:
            self.shares.record_use(
                pending.tier, pending.offer.workspace, work_s, now
            )
        if pending.returning:
            self.reservations.serve(pending.offer.caller, pending)

    def record_withdrawn(self, pending):
        """Record that a queued request is removed before a decision."""
        if pending.returning:
            self.reservations.withdraw(pending.offer.caller, pending)

    def _find_standing(self, pending, now):
        if not pending.returning:
            return Standing.NEW
        return self.reservations.find_standing(
            pending.offer.caller, pending, now
        )

    def _find_told_at(self, pending):
        return self.reservations.find_told_at(pending.offer.caller)

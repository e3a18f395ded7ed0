"""Decide how many slots of the endpoints a scheduler may use."""

from __future__ import annotations

import abc
import math

from persimmonroute.gateway import endpoint_capacity
from persimmonroute.gateway import endpoint_limits

# Slots of an endpoint if neither its registration nor its service sets them.
DEFAULT_SLOTS = 4
# Service time assumed for a route without measurements.
DEFAULT_SERVICE_TIME_S = 0.2
# Requests queued at each endpoint, so that a released slot does not idle while
# the next grant is on its way. The endpoint runs them in order of arrival,
# whatever their tiers, so there are no more than that takes.
MIN_QUEUED = 1
MAX_QUEUED = 2


class SlotPolicy(abc.ABC):
    """Find the slots that a scheduler may use."""

    def __init__(self, runner_registry):
        self._runner_registry = runner_registry
        self._pacer = endpoint_limits.Pacer(
            runner_registry.limits, self._find_limit_share
        )
        self._slots = {}
        self._wakeup_at = math.inf

    @abc.abstractmethod
    def limit_of(self, view):
        """Return how many requests may be in flight at an endpoint."""

    def _limit_well(self, view, limit, now):
        """Return a limit, or less if the endpoint is sent fewer at once."""
        if not self._uses(view, endpoint_capacity.Use.LIMIT):
            return limit
        plan = view.estimate.plan(self.slots_of(view), limit, now)
        return limit if plan is None else plan.limit

    @abc.abstractmethod
    def find_free(self, service, rank, tier, now):
        """Return the number of usable slots by endpoint, without zeros.

        rank and tier are those of the best queued request.
        """

    @abc.abstractmethod
    def _find_limit_share(self):
        """Return the part of an endpoint's limit that may be used here."""

    def has_free(self, service, now):
        """Return whether the highest tier may use any slot."""
        return bool(self.find_free(service, 0, 0, now))

    def record_sent(self, view, now):
        """Count a request that is sent to an endpoint."""
        self._pacer.take(view.record, now)

    def set_services(self, services):
        """Apply the slots per endpoint that the configuration sets."""
        self._slots = {s.name: s.slots for s in services}

    def slots_of(self, view):
        """Return the number of requests that an endpoint runs concurrently."""
        slots = view.record.slots or self._slots.get(view.record.service)
        return slots or DEFAULT_SLOTS

    def capacity_of(self, view, now):
        """Return how many slots of an endpoint can be kept busy.

        Where endpoints report what work costs, it is the work of
        mean_work_s() that the endpoint does in a second.
        """
        slots = self.slots_of(view)
        service = view.record.service
        if self._uses(view, endpoint_capacity.Use.WAIT):
            plan = view.estimate.plan(slots, None, now)
            slots = slots if plan is None else plan.rate
        rate = self._pacer.find_rate(view.record)
        if rate == endpoint_limits.UNLIMITED:
            return slots
        return min(slots, rate * self.mean_work_s(service))

    def total_slots(self, service, now):
        """Return the slots of a service that can be kept busy."""
        return sum(
            self.capacity_of(view, now) for view in self.usable(service, now)
        )

    def usable(self, service, now):
        """Return the usable endpoints of a service."""
        return [
            view
            for view in self._runner_registry.of_service(service)
            if view.usable(now)
        ]

    def mean_service_time_s(self, service):
        """Return the mean time that requests occupy an endpoint."""
        return self._runner_registry.service_time_by_service_s.get(
            service, DEFAULT_SERVICE_TIME_S
        )

    def mean_work_s(self, service):
        """Return the mean work of a request, in the units of capacity_of()."""
        seconds = self._runner_registry.capacities.mean_work_s(service)
        return (
            self.mean_service_time_s(service) if seconds is None else seconds
        )

    def bound_work_s(self, service, work_s):
        """Return the work of a request that counts for its own wait.

        Where it depends on the size, it is no more than the mean, so that a
        request is not shed because of its size alone.
        """
        mean_s = self._runner_registry.capacities.mean_work_s(service)
        return work_s if mean_s is None else min(work_s, mean_s)

    def _uses(self, view, use):
        uses = self._runner_registry.capacities.uses
        return use in uses and view.estimate is not None

    def take_wakeup_at(self):
        """Return and clear when more slots may be used; or infinity."""
        at, self._wakeup_at = self._wakeup_at, math.inf
        return at

    def _apply_pace(self, view, free, now):
        """Return how many of the free slots an endpoint's limit allows."""
        available = self._pacer.count_available(view.record, now)
        if not available:
            self._schedule_wakeup(self._pacer.next_at(view.record, now))
        return min(free, available)

    def _schedule_wakeup(self, at):
        self._wakeup_at = min(self._wakeup_at, at)


class OwnedSlots(SlotPolicy):
    """Use all slots of endpoints that no other scheduler uses.

    turnaround_s is the time from the end of a request until the next one
    reaches its endpoint. Endpoints get as many more requests as would
    otherwise leave their slots idle for that time: with long requests a
    released slot is rare, and a queued request would wait long for it.
    """

    def __init__(self, runner_registry, turnaround_s):
        super().__init__(runner_registry)
        self._turnaround_s = turnaround_s

    def limit_of(self, view):
        """Return the slots and the requests queued at the endpoint."""
        return self._add_queued(
            self.slots_of(view), self._queued_share(view.record.service)
        )

    def find_free(self, service, rank, tier, now):
        """Return the free slots of all usable endpoints."""
        free = {}
        share = self._queued_share(service)
        for view in self.usable(service, now):
            count = self._count_free(view, share, now)
            if count:
                free[view] = count
        return free

    def has_free(self, service, now):
        """Return whether any usable endpoint has a free slot."""
        share = self._queued_share(service)
        return any(
            self._count_free(view, share, now)
            for view in self.usable(service, now)
        )

    def _find_limit_share(self):
        return self._runner_registry.limits.reporting_share

    def _count_free(self, view, share, now):
        limit = self._add_queued(self.slots_of(view), share)
        limit = self._limit_well(view, limit, now)
        if view.load >= limit:
            return 0
        return self._apply_pace(view, limit - view.load, now)

    def _queued_share(self, service):
        return min(self._turnaround_s / self.mean_service_time_s(service), 1.0)

    def _add_queued(self, slots, share):
        queued = min(max(round(slots * share), MIN_QUEUED), MAX_QUEUED)
        return slots + queued

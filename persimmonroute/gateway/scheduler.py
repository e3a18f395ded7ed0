"""Schedule queued requests on endpoints and shed load."""

from __future__ import annotations

import itertools
import math
import typing

from persimmonroute import blackboard
from persimmonroute.gateway import endpoint_memory
from persimmonroute.gateway import forecast
from persimmonroute.gateway import messages
from persimmonroute.gateway import model
from persimmonroute.gateway import passing as _passing
from persimmonroute.gateway import peers
from persimmonroute.gateway import queue_order
from persimmonroute.gateway import retry_reservations
from persimmonroute.gateway import rollout_exposure
from persimmonroute.gateway import slots as _slots

# Time to the first byte assumed for a route without measurements.
DEFAULT_FIRST_BYTE_S = 0.1
# Safety factor on the expected time to the first byte when checking whether
# a request can still be on time.
FIRST_BYTE_MARGIN = 1.3
# Subtracted from the rank of the late requests that a request passes.
PASSING_RANK_LEAD = 0.25
# A request is shed if its expected wait exceeds this share of the time for
# which its caller still waits.
MAX_WAIT_SHARE = 0.5
# Callers are assumed to wait for this many latency objectives, even if their
# deadline is later.
CALLER_WAIT_OBJECTIVES = 8.0
# Upper bound of Retry-After as a share of the caller's remaining time.
MAX_RETRY_AFTER_SHARE = 1 / 3
MIN_RETRY_AFTER_S = 0.05
OVERLOADED = 'overloaded'
NO_ENDPOINT = 'no usable endpoint'
# Each queued request adds this to the interval between looks for requests to
# shed.
SHED_INTERVAL_PER_REQUEST_S = 0.0005
# Queue that is looked through at each change.
SHORT_QUEUE = 16
# Share of its latency objective that a request waits for any endpoint. If
# there are endpoints, but none that it may use, it waits for the objective.
NO_ENDPOINT_SHARE = 0.5
# Expected wait reported while no endpoint is usable.
NO_ENDPOINT_WAIT_S = 60.0


class Ranked(typing.NamedTuple):
    """Order a queued request; passes tells whether it passes late ones."""

    rank: float
    place: queue_order.Place
    sequence: int
    pending: messages.PendingRequest
    passes: bool = False


class Verdict(typing.NamedTuple):
    """Tell whether to reject a queued request; reason is None if not."""

    pending: messages.PendingRequest
    wait_s: float | None
    reason: str | None
    # Queued work that goes before it, in seconds of service time: requests
    # that can be on time, and others.
    on_time_s: float
    late_s: float


class Scheduler(blackboard.Blackboard):
    """Queue requests and grant them endpoints by tier and arrival.

    passing_share is the share of the slots that lower tiers may use ahead of
    late requests of higher ones. order is the queue_order.QueueOrder within
    a tier.
    """

    def __init__(
        self,
        runner_registry,
        placement,
        peer_registry,
        slot_policy,
        passing_share=0.0,
        order=None,
    ):
        super().__init__()
        self._runner_registry = runner_registry
        self._placement = placement
        self._peers = peer_registry
        self._slot_policy = slot_policy
        self._memory = endpoint_memory.EndpointMemory()
        self._order = order or queue_order.QueueOrder(
            runner_registry.capacities.find_delay_s
        )
        self._queues = {}
        self._forecast = forecast.ArrivalForecast()
        self._passing = _passing.PassingAllowance(passing_share)
        self._sequence = itertools.count()
        self._shed_at = {}
        # Tells which versions of a service may be used.
        self.version_policy = rollout_exposure.AllVersions()

    @property
    def placement(self):
        """Return the endpoint placement policy."""
        return self._placement

    def set_services(self, services):
        """Apply the slots and the memory that the configuration states."""
        self._slot_policy.set_services(services)
        self._memory.set_services(services)

    def take_wakeup_at(self):
        """Return and clear the next wakeup time; infinity for none."""
        return self._slot_policy.take_wakeup_at()

    def limit_of(self, view):
        """Return how many requests may be in flight at an endpoint."""
        return self._slot_policy.limit_of(view)

    def record_foreign(self, view, now):
        """Count a request that was sent without a grant of this scheduler."""
        self._slot_policy.record_sent(view, now)

    def queue_length(self, service):
        """Return the number of requests queued for a service."""
        return len(self._queues.get(service, ()))

    def queued_requests(self, service):
        """Return the requests queued for a service."""
        return list(self._queues.get(service, ()))

    def mean_interval_s(self, service, now):
        """Return the mean time between completions in all slots."""
        total = self._slot_policy.total_slots(service, now)
        mean_s = self._slot_policy.mean_work_s(service)
        return mean_s / total if total else mean_s

    def expected_waits(self, service, now):
        """Return the expected wait in seconds by tier.

        A tier that is not listed waits as long as the next higher one that
        is; without any there is no wait.
        """
        total = self._slot_policy.total_slots(service, now)
        if not total:
            return {0: NO_ENDPOINT_WAIT_S}
        queue = self._queue(service)
        if not queue and self._slot_policy.has_free(service, now):
            return {}
        queued_s = self._slot_policy.mean_work_s(service)
        waits = {0: queued_s / total}
        for pending in sorted(queue, key=lambda p: p.tier):
            queued_s += self._service_time_s(pending)
            waits[pending.tier] = queued_s / total
        return waits

    def queued_work(self, now):
        """Return the queued work by service and rank."""
        work_by_rank = {}
        for service, queue in self._queues.items():
            for pending in queue:
                key = (service, self.rank(pending, now))
                before = work_by_rank.get(key, peers.WaitingWork(0, 0.0))
                work_by_rank[key] = peers.WaitingWork(
                    before.requests + 1,
                    before.seconds + self._service_time_s(pending),
                )
        return work_by_rank

    def rank(self, pending, now):
        """Return the tier, plus a penalty if a request cannot be on time.

        Within a tier, requests that can still be on time go first: serving
        the oldest first would make all of them late under overload. A late
        request still goes before all lower tiers. A stream that has begun
        goes before new work of its tier: few endpoints can go on with it.
        """
        if pending.version is not None:
            return pending.tier
        first_byte_s = self._runner_registry.expect_first_byte_s(pending)
        if first_byte_s is None:
            first_byte_s = DEFAULT_FIRST_BYTE_S
        late = now + FIRST_BYTE_MARGIN * first_byte_s > pending.due_at
        rank = pending.tier + (queue_order.LATE_RANK_PENALTY if late else 0.0)
        return self._order.find_rank(pending, rank, now)

    def submit(self, pending, now):
        """Queue a request, then grant or shed what is possible."""
        pending.sequence = next(self._sequence)
        pending.queued_at = now
        self._queue(pending.service)[pending] = None
        work_s = self._service_time_s(pending)
        self._order.record_queued(pending, work_s, now)
        if self._order.is_arrival(pending, now):
            # Assumes that every gateway receives about the same load.
            work = work_s * self._peers.gateway_count(now)
            self._forecast.record(pending.service, pending.tier, work, now)
        self.dispatch_ready(pending.service, now)

    def withdraw(self, pending):
        """Remove a request from its queue."""
        self._queue(pending.service).pop(pending, None)
        self._order.record_withdrawn(pending)

    def release(self, pending, ending, now):
        """Record the end of an attempt and free its slot."""
        view = pending.runner
        pending.runner = None
        if view is None:
            return
        if view.load >= self.limit_of(view):
            view.last_full_at = now
        self._runner_registry.record_end(pending, view, ending, now)
        if ending is model.Ending.ANSWERED:
            self._runner_registry.record_capacity(pending, view, now)
        view.last_released_at = now
        self.dispatch_ready(pending.service, now)

    def dispatch_ready(self, service, now):
        """Grant queued requests while slots are free, then shed load."""
        queue = self._queue(service)
        if not queue:
            return
        ranked = None
        if self._slot_policy.has_free(service, now):
            ranked = self._rank_queue(service, now)
            kept = []
            for _, group in itertools.groupby(
                ranked, key=lambda entry: int(entry.rank)
            ):
                if not self._grant_tier(service, list(group), kept, now):
                    break
        if self._must_shed(service, now):
            ranked = ranked or self._rank_queue(service, now)
            self._shed(service, ranked, now)

    def find_free(self, pending, now):
        """Return the endpoints that a request could be granted now."""
        free = self._slot_policy.find_free(
            pending.service, self.rank(pending, now), pending.tier, now
        )
        allowed = list(self._list_allowed(pending, free, now))
        return self._memory.select(pending, allowed)

    def _list_allowed(self, pending, views, now):
        """Return the views that a request may be sent to by its version.

        Grants, shedding and previews all ask here, so that a preview names no
        endpoint that a grant would not use.
        """
        allowed = self.version_policy.filter(pending, views, now)
        if not pending.excluded and pending.version is None:
            return allowed
        return [view for view in allowed if messages.accepts(pending, view)]

    def _rank_queue(self, service, now):
        queue = self._queue(service)
        self._order.begin_ranking(queue, self._service_time_s, now)
        ranked = sorted(
            Ranked(
                self.rank(p, now),
                self._order.find_place(p, now),
                p.sequence,
                p,
            )
            for p in queue
        )
        late_rank = next((r.rank for r in ranked if _is_late(r)), math.inf)
        if late_rank >= ranked[-1].pending.tier:
            return ranked
        return self._let_pass(service, ranked, late_rank, now)

    def _let_pass(self, service, ranked, late_rank, now):
        """Move requests of lower tiers before the late ones of higher."""
        slots = self._slot_policy.total_slots(service, now)
        if not slots or self._may_shed_late(service, ranked, slots, now):
            return ranked
        left_s = self._passing.available_s(service, slots, now)
        moved = []
        for entry in ranked:
            may_pass = entry.rank > late_rank and not _is_late(entry)
            if may_pass and left_s > 0:
                left_s -= self._service_time_s(entry.pending)
                entry = entry._replace(
                    rank=late_rank - PASSING_RANK_LEAD, passes=True
                )
            moved.append(entry)
        return sorted(moved)

    def _may_shed_late(self, service, ranked, slots, now):
        """Return whether a late request may have to be shed soon."""
        work_s = 0.0
        for entry in ranked:
            work_s += self._service_time_s(entry.pending)
            if not _is_late(entry):
                continue
            wait_s = self._expect_wait_s(service, entry, work_s, slots, now)
            caller_wait_s = _find_caller_wait_s(entry.pending, now)
            if wait_s > _passing.MAX_WAIT_SHARE * caller_wait_s:
                return True
        return False

    def _must_shed(self, service, now):
        """Return whether to look for requests to shed.

        A look costs time in proportion to the queue, so there are few while
        it is long; dispatch_all_ready is called again soon.
        """
        length = len(self._queue(service))
        if length <= SHORT_QUEUE:
            return True
        interval_s = SHED_INTERVAL_PER_REQUEST_S * length
        if now - self._shed_at.get(service, -math.inf) < interval_s:
            return False
        self._shed_at[service] = now
        return True

    def dispatch_all_ready(self, now):
        """Grant and shed the queued requests of every service."""
        for service in list(self._queues):
            self.dispatch_ready(service, now)

    def _grant_tier(self, service, ranked, kept, now):
        """Grant requests of one tier; return whether slots are left.

        kept lists the endpoint that is kept for a request which is too large
        for the memory that is left, so that no smaller one takes it.
        """
        queue = self._queue(service)
        first = ranked[0]
        free = self._slot_policy.find_free(
            service, first.rank, first.pending.tier, now
        )
        for view in kept:
            free.pop(view, None)
        for entry in ranked:
            if not free:
                return False
            pending = entry.pending
            accepted = self._list_allowed(pending, free, now)
            views = self._memory.select(pending, accepted)
            if accepted and not views and not kept:
                kept.append(endpoint_memory.find_emptiest(accepted))
                del free[kept[0]]
            view = self._placement.choose(pending, views, self.limit_of, now)
            if view is None:
                continue
            del queue[pending]
            if entry.passes:
                self._passing.take(service, self._service_time_s(pending))
            self._grant(pending, view, now)
            free[view] -= 1
            if not free[view]:
                del free[view]
        return bool(free)

    def _grant(self, pending, view, now):
        pending.runner = view
        pending.sent_at = now
        self.version_policy.record_grant(pending, view, now)
        self._order.record_granted(pending, self._service_time_s(pending), now)
        view.record_sent(pending, now)
        self._slot_policy.record_sent(view, now)
        self.put(messages.Granted(pending, view))

    def _shed(self, service, ranked, now):
        """Reject requests that cannot be served in time.

        Lower tiers only get the capacity that higher tiers leave, so once
        a tier is shed for overload, all lower tiers are shed as well.
        """
        queue = self._queue(service)
        waiting = [entry for entry in ranked if entry.pending in queue]
        decisions = self._find_rejections(service, waiting, now)
        shed_tier = min(
            (d.pending.tier for d in decisions if d.reason == OVERLOADED),
            default=math.inf,
        )
        for verdict in decisions:
            pending, reason = verdict.pending, verdict.reason
            if pending.tier > shed_tier:
                reason = reason or OVERLOADED
            if reason is not None:
                del queue[pending]
                wait_s = self._order.refuse(
                    pending,
                    verdict.wait_s,
                    lambda: self._find_room(service, verdict, now),
                    now,
                )
                rejection = build_rejection(pending, wait_s, reason, now)
                self.put(messages.Rejected(pending, rejection, wait_s))

    def _find_room(self, service, verdict, now):
        """Return the capacity for the tier of a request that is shed."""
        return retry_reservations.Room(
            self._slot_policy.total_slots(service, now),
            self._forecast.used_slots(service, verdict.pending.tier, now),
            verdict.on_time_s,
            verdict.late_s,
            self._service_time_s(verdict.pending),
        )

    def _find_rejections(self, service, ranked, now):
        """Return the Verdict of each request."""
        views = self._slot_policy.usable(service, now)
        main = self.version_policy.list_main(service, views, now)
        slots = self._count_slots(main or views, now)
        queued_s = late_s = 0.0
        decisions = []
        for entry in ranked:
            pending = entry.pending
            service_time_s = self._service_time_s(pending)
            wait_s = None
            accepted = self._list_allowed(pending, views, now)
            if accepted:
                # What is ahead may use all slots, a begun stream only those
                # of its version.
                own_slots = slots
                if pending.version is not None:
                    own_slots = self._count_slots(accepted, now)
                own_s = self._slot_policy.bound_work_s(service, service_time_s)
                work_s = queued_s + own_s * slots / own_slots
                wait_s = self._expect_wait_s(
                    service, entry, work_s, slots, now
                )
            limit_s = pending.route.objective_s
            if not views:
                limit_s *= NO_ENDPOINT_SHARE
            reason = self._find_rejection_reason(pending, wait_s, limit_s, now)
            if reason == OVERLOADED and not self._order.may_shed(
                pending, wait_s, now
            ):
                reason = None
            decisions.append(
                Verdict(pending, wait_s, reason, queued_s - late_s, late_s)
            )
            if reason is None:
                queued_s += service_time_s
                late_s += service_time_s if _is_late(entry) else 0.0
        return decisions

    def _count_slots(self, views, now):
        return sum(self._slot_policy.capacity_of(view, now) for view in views)

    def _expect_wait_s(self, service, entry, work_s, slots, now):
        """Return the wait after which work in the queue has been served."""
        if entry.passes:
            return work_s / slots
        work_s += self._peers.work_ahead(service, entry.rank, now)
        share = self._forecast.free_share(service, entry.rank, slots, now)
        return work_s / (slots * share)

    def _find_rejection_reason(self, pending, wait_s, limit_s, now):
        """Return why to reject a request; limit_s is for no endpoint."""
        if pending.deadline_at <= now:
            return model.TIMEOUT_WHILE_QUEUED.reason
        if wait_s is None:
            if now - pending.queued_at > limit_s:
                return NO_ENDPOINT
            return None
        if wait_s > MAX_WAIT_SHARE * _find_caller_wait_s(pending, now):
            return OVERLOADED
        return None

    def _service_time_s(self, pending):
        seconds = self._runner_registry.expect_service_time_s(pending)
        return _slots.DEFAULT_SERVICE_TIME_S if seconds is None else seconds

    def _queue(self, service):
        return self._queues.setdefault(service, {})


def _find_caller_wait_s(pending, now):
    """Return for how many seconds the caller is expected to wait."""
    wait_s = CALLER_WAIT_OBJECTIVES * pending.route.objective_s
    # A caller that was refused before and came back waits anew.
    gone_at = pending.queued_at + wait_s
    return max(min(gone_at, pending.deadline_at) - now, 0.0)


def _is_late(entry):
    """Return whether a queued request can no longer be on time."""
    return entry.rank != entry.pending.tier and not entry.passes


def build_rejection(pending, wait_s, reason, now):
    """Build the rejection of a request that has not run."""
    remaining_s = max(pending.deadline_at - now, 0.0)
    retry_after_s = max(wait_s or 0.0, MIN_RETRY_AFTER_S)
    waited_s = now - pending.queued_at
    detail = f'waited {waited_s:.3f} s with {remaining_s:.3f} s left'
    if wait_s is not None:
        detail += f', {wait_s:.3f} s more expected'
    return model.Rejection(
        503,
        reason,
        min(retry_after_s, remaining_s * MAX_RETRY_AFTER_SHARE),
        detail,
    )

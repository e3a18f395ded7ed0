"""Decide which request goes to an endpoint next, and which none can take."""

from __future__ import annotations

import itertools
import math

from persimmonroute import blackboard
from persimmonroute.gateway import forecast
from persimmonroute.gateway.locality import Distance
from persimmonroute.gateway import messages
from persimmonroute.gateway import model
from persimmonroute.gateway.model import Ending
from persimmonroute.gateway import peers

# Slots of an endpoint whose entry and service name none.
DEFAULT_SLOTS = 4
# Requests that wait at an endpoint itself, so that a slot that comes free
# is not idle until its gateway has heard of it.
ENDPOINT_QUEUE_LIMIT = 1
# Hold of a kind of request that has not been seen yet.
DEFAULT_HOLD_S = 0.2
# Time to the first byte of a kind that has not been seen yet.
DEFAULT_FIRST_BYTE_S = 0.1
# Expected times to the first byte are multiplied by this before a
# request counts as one that can still be on time.
FIRST_BYTE_MARGIN = 1.3
# Reports of work reach peers within this many intervals. So long a turn
# lasts, and so long room is left to the gateways nearer to an endpoint.
TURN_INTERVALS = 1.5
# Room is left to higher tiers at peers for so many of their intervals: a
# report of the room, one of its use, and one that may be lost.
HOLD_BACK_INTERVALS = 3
# Room idles no longer than this for peers that do not take it, whatever
# their number. A part of the shortest objective, some 0.3 s.
LONGEST_HOLD_BACK_S = 0.15
# Added to the tier of requests that can no longer be on time.
LATE_RANK = 0.5
# Share of a request's remaining time that it may be predicted to wait.
PATIENCE_SHARE = 0.5
# Clients come back within this share of the time they have left.
RETURN_SHARE = 1 / 3
LEAST_RETRY_AFTER_S = 0.05
OVERLOADED = 'overloaded'


class Scheduler(blackboard.Blackboard):
    """Hold waiting requests and grant them endpoints by tier and time."""

    def __init__(self, name, registry, placement, peer_registry):
        super().__init__()
        self._name = name
        self._registry = registry
        self._placement = placement
        self._peers = peer_registry
        self._lines = {}
        self._forecast = forecast.ArrivalForecast()
        self._sequence = itertools.count()
        self._slots = {}
        self._wakeup_at = math.inf

    @property
    def registry(self):
        """Return the endpoints that are known."""
        return self._registry

    @property
    def placement(self):
        """Return the policy that chooses among endpoints."""
        return self._placement

    def set_services(self, services):
        """Take over the slots that the configuration names."""
        self._slots = {s.name: s.slots for s in services}

    def take_wakeup_at(self):
        """Return and clear the next wake-up time; infinity if none."""
        at, self._wakeup_at = self._wakeup_at, math.inf
        return at

    def slots_of(self, view):
        """Return the requests that an endpoint runs at once."""
        slots = view.record.slots or self._slots.get(view.record.service)
        return slots or DEFAULT_SLOTS

    def limit_of(self, view):
        """Return the requests that may be in progress at an endpoint."""
        return self.slots_of(view) + ENDPOINT_QUEUE_LIMIT

    def queue_length(self, service):
        """Return the number of requests that wait for a service."""
        return len(self._lines.get(service, ()))

    def queued_requests(self, service):
        """Return the requests that wait for a service."""
        return list(self._lines.get(service, ()))

    def queued_work(self, now):
        """Return the work that waits by service and rank."""
        found = {}
        for service, line in self._lines.items():
            for pending in line:
                key = (service, self.rank(pending, now))
                before = found.get(key, peers.WaitingWork(0, 0.0))
                found[key] = peers.WaitingWork(
                    before.requests + 1, before.seconds + self._hold_s(pending)
                )
        return found

    def rank(self, pending, now):
        """Return the tier, lowered when a request cannot be on time.

        Within a tier, requests that can still be on time go first:
        serving the oldest first would make all late in an overload. A
        request that is late stays ahead of all lower tiers.
        """
        first = self._registry.first_byte_s.get(
            pending.route.name, DEFAULT_FIRST_BYTE_S
        )
        late = now + FIRST_BYTE_MARGIN * first > pending.due_at
        return pending.tier + (LATE_RANK if late else 0.0)

    def submit(self, pending, now):
        """Let a request wait for an endpoint, or reject it."""
        pending.sequence = next(self._sequence)
        pending.queued_at = now
        self._line(pending.service)[pending] = None
        # Peers see about as many arrivals as this gateway does.
        work = self._hold_s(pending) * self._peers.gateway_count(now)
        self._forecast.record(pending.service, pending.tier, work, now)
        self.dispatch_ready(pending.service, now)

    def withdraw(self, pending):
        """Take a request out of the line."""
        self._line(pending.service).pop(pending, None)

    def release(self, pending, ending, now):
        """Note that an attempt at an endpoint has ended."""
        view = pending.runner
        pending.runner = None
        if view is None:
            return
        if view.load >= self.limit_of(view):
            view.last_full_at = now
        view.in_flight.pop(pending.attempt, None)
        view.record_ending(ending, now)
        view.last_released_at = now
        if ending is Ending.ANSWERED:
            self._learn(pending, view, now)
        self.dispatch_ready(pending.service, now)

    def dispatch_ready(self, service, now):
        """Grant what there is room for and reject what cannot be served."""
        line = self._line(service)
        if not line:
            return
        ranked = sorted(
            (self.rank(t, now), t.first_arrived_at, t.sequence, t)
            for t in line
        )
        for _, group in itertools.groupby(ranked, key=lambda r: int(r[0])):
            if not self._grant_tier(service, list(group), now):
                break
        self._shed(service, ranked, now)

    def dispatch_all_ready(self, now):
        """Grant and reject for every service."""
        for service in list(self._lines):
            self.dispatch_ready(service, now)

    def _grant_tier(self, service, ranked, now):
        """Grant requests of one tier; tell whether room was left."""
        line = self._line(service)
        rank, _, _, first = ranked[0]
        free = self._find_allowances(service, rank, first.tier, now)
        for _, _, _, pending in ranked:
            if not free:
                return False
            views = [view for view in free if view.id not in pending.excluded]
            view = self._placement.choose(pending, views, self.limit_of, now)
            if view is None:
                continue
            del line[pending]
            self._grant(pending, view, now)
            free[view] -= 1
            if not free[view]:
                del free[view]
        return bool(free)

    def _learn(self, pending, view, now):
        kind = pending.route.name
        hold = now - pending.sent_at
        self._registry.record_service_time(kind, pending.service, hold)
        view.record_slowness(
            hold / max(self._registry.service_time_s[kind], 1e-3)
        )
        first = pending.first_byte_at or now
        # A stream that went on here has its first byte from elsewhere.
        if first >= pending.sent_at:
            self._registry.record_first_byte(kind, first - pending.sent_at)

    def _grant(self, pending, view, now):
        pending.runner = view
        pending.sent_at = now
        view.in_flight[pending.attempt] = pending
        view.last_sent_at = now
        view.record_prompt(pending.request.prompt, now)
        self.put(messages.Granted(pending, view))

    def _shed(self, service, ranked, now):
        """Reject what cannot be served, and then all lower tiers.

        A lower tier only gets what a higher one leaves, so it has no
        hope either once a higher one is given up for overload.
        """
        line = self._line(service)
        if not line:
            return
        slots = self._total_slots(service, now)
        ahead = 0.0
        shed_tier = math.inf
        for rank, _, _, pending in ranked:
            if pending not in line:
                continue
            hold = self._hold_s(pending)
            peer = self._peers.work_ahead(service, rank, now)
            wait = None
            if slots:
                share = self._forecast.free_share(
                    service, pending.tier, slots, now
                )
                wait = (ahead + peer + hold) / (slots * share)
            reason = self._find_reason(pending, wait, now)
            if pending.tier > shed_tier:
                reason = reason or OVERLOADED
            if reason is None:
                ahead += hold
                continue
            if reason == OVERLOADED:
                shed_tier = min(shed_tier, pending.tier)
            del line[pending]
            rejection = reject(pending, wait, reason, now)
            self.put(messages.Rejected(pending, rejection))

    def _find_reason(self, pending, wait, now):
        left = pending.deadline_at - now
        if left <= 0:
            return 'timeout while queued'
        if wait is None:
            if now - pending.queued_at > self._no_runner_patience_s(pending):
                return 'no usable endpoint'
            return None
        if wait > PATIENCE_SHARE * left:
            return OVERLOADED
        return None

    def _no_runner_patience_s(self, pending):
        return pending.route.objective_s / 2

    def _find_allowances(self, service, rank, tier, now):
        """Return how many requests of a tier each endpoint may get now."""
        usable = [
            view
            for view in self._registry.of_service(service)
            if view.usable(now)
        ]
        hold_s = self._hold_back_s(service, usable, tier, now)
        allowed = {}
        for view in usable:
            allowance = self._allowance(view, service, rank, now)
            if not allowance:
                continue
            free_at = max(view.last_full_at, view.last_sent_at) + hold_s
            if hold_s and now < free_at:
                self._schedule_wakeup(free_at)
                continue
            allowed[view] = allowance
        return allowed

    def _hold_back_s(self, service, views, tier, now):
        """Return how long room is left to peers with higher tiers.

        It is zero when there is room for all that they have waiting.
        Room that is still free after that time is of no use to them.
        """
        above, interval_s = self._peers.higher_tier_demand(service, tier, now)
        if not above:
            return 0.0
        room = sum(max(self.limit_of(v) - v.load, 0) for v in views)
        if room > above:
            return 0.0
        return min(HOLD_BACK_INTERVALS * interval_s, LONGEST_HOLD_BACK_S)

    def _allowance(self, view, service, rank, now):
        """Return the part of an endpoint's room that is this gateway's.

        Several gateways see the same room. They share it, or take turns
        in the order of what they have waiting, and each turn lasts until
        all have heard of the one before.
        """
        room = self.limit_of(view) - view.load
        if room <= 0:
            view.last_full_at = now
            return 0
        distance = self._placement.distance(view)
        room -= self._unseen_sends(view, service, distance)
        if room <= 0:
            return 0
        contenders = self._peers.contenders(service, view.record, now)
        if not contenders:
            return room
        turn_s = TURN_INTERVALS * self._peers.report_interval_s(distance)
        own = peers.Contender(
            rank,
            view.last_released_at <= view.last_sent_at,
            distance,
            peers.compute_tie_breaker(view.id, self._name),
        )
        waited = now - view.last_full_at
        turn = sum(contender < own for contender in contenders) // room
        if own.freed_elsewhere:
            # What was sent since is not known to the contenders yet.
            waited = min(waited, now - view.last_sent_at - turn_s)
        if waited < turn * turn_s:
            self._schedule_wakeup(now - waited + turn * turn_s)
            return 0
        return max(room // (len(contenders) + 1), 1)

    def _unseen_sends(self, view, service, distance):
        """Return the requests that nearer gateways may have sent unseen.

        Whoever is far hears late of what an endpoint takes, and would send
        more than there is room for. A full endpoint takes as many as it
        completes, and less by as much as it is not full.
        """
        if distance is Distance.OWN_DOMAIN or not view.load:
            return 0
        if not self._peers.has_nearer_peer(view.record, distance):
            return 0
        slots = self.slots_of(view)
        hold_s = self._registry.service_time_by_service_s.get(
            service, DEFAULT_HOLD_S
        )
        taken = self._peers.report_interval_s(distance) * slots / hold_s
        return int(min(taken, slots) * view.load / self.limit_of(view))

    def _schedule_wakeup(self, at):
        self._wakeup_at = min(self._wakeup_at, at)

    def _total_slots(self, service, now):
        return sum(
            self.slots_of(view)
            for view in self._registry.of_service(service)
            if view.usable(now)
        )

    def _hold_s(self, pending):
        return self._registry.service_time_s.get(
            pending.route.name, DEFAULT_HOLD_S
        )

    def _line(self, service):
        return self._lines.setdefault(service, {})


def reject(pending, wait_s, reason, now):
    """Return the rejection of a request that has not run."""
    left = max(pending.deadline_at - now, 0.0)
    wait = max(wait_s or 0.0, LEAST_RETRY_AFTER_S)
    waited = now - pending.queued_at
    detail = f'waited {waited:.3f} s with {left:.3f} s left'
    if wait_s is not None:
        detail += f', {wait_s:.3f} s more expected'
    return model.Rejection(503, reason, min(wait, left * RETURN_SHARE), detail)

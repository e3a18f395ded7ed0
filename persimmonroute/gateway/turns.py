"""Share the slots of endpoints among gateways without a host."""

from __future__ import annotations

from persimmonroute.gateway.locality import Distance
from persimmonroute.gateway import peers
from persimmonroute.gateway import slots

# Requests queued at the endpoint itself, so that a released slot does not
# idle until the gateway is notified.
ENDPOINT_QUEUE_LIMIT = 1
# Length of a turn in report intervals, so that reports reach all peers within
# a turn. Gateways nearer to an endpoint take earlier turns.
TURN_INTERVALS = 1.5
# Report intervals for which free slots are reserved for higher tiers at
# peers: one report of the free slots, one of their use, and one that may be
# lost.
RESERVATION_INTERVALS = 3
# Upper bound of a reservation regardless of the number of peers, since they
# may not use it. Well below the shortest latency objective, which is about
# 0.3 s.
MAX_RESERVATION_S = 0.15


class SharedSlots(slots.SlotPolicy):
    """Divide slots with the peers that report requests for them."""

    def __init__(self, name, runner_registry, placement, peer_registry):
        super().__init__(runner_registry)
        self._name = name
        self._placement = placement
        self._peers = peer_registry

    def limit_of(self, view):
        """Return how many requests may be in flight at an endpoint."""
        return self.slots_of(view) + ENDPOINT_QUEUE_LIMIT

    def find_free(self, service, rank, tier, now):
        """Return how many requests of a tier each endpoint may get now."""
        usable = self.usable(service, now)
        reservation_s = self._reservation_s(service, usable, tier, now)
        allowed = {}
        for view in usable:
            allowance = self._allowance(view, service, rank, now)
            allowance = allowance and self._apply_pace(view, allowance, now)
            if not allowance:
                continue
            free_at = max(view.last_full_at, view.last_sent_at) + reservation_s
            if reservation_s and now < free_at:
                self._schedule_wakeup(free_at)
                continue
            allowed[view] = allowance
        return allowed

    def _find_limit_share(self):
        return 1 / self._runner_registry.limits.gateways

    def _reservation_s(self, service, views, tier, now):
        """Return how long free slots are reserved for peers' higher tiers.

        It is zero if there are more free slots than requests queued there.
        Peers have no use for slots that are still free after that time.
        """
        demand, interval_s = self._peers.higher_tier_demand(service, tier, now)
        if not demand:
            return 0.0
        free_slots = sum(max(self.limit_of(v) - v.load, 0) for v in views)
        if free_slots > demand:
            return 0.0
        return min(RESERVATION_INTERVALS * interval_s, MAX_RESERVATION_S)

    def _allowance(self, view, service, rank, now):
        """Return how many free slots of an endpoint this gateway may use.

        Several gateways see the same free slots. They divide them, or take
        turns in the order of their Contender keys; a turn lasts until all
        gateways have received the reports of the previous one.
        """
        limit = self._limit_well(view, self.limit_of(view), now)
        free_slots = limit - view.load
        if free_slots <= 0:
            view.last_full_at = now
            return 0
        distance = self._placement.distance(view)
        free_slots -= self._unreported_sends(view, service, distance)
        if free_slots <= 0:
            return 0
        contenders = self._peers.contenders(service, view.record, now)
        if not contenders:
            return free_slots
        turn_s = TURN_INTERVALS * self._peers.report_interval_s(distance)
        own = peers.Contender(
            rank,
            view.last_released_at <= view.last_sent_at,
            distance,
            peers.compute_tie_breaker(view.id, self._name),
        )
        waited_s = now - view.last_full_at
        turn = sum(contender < own for contender in contenders) // free_slots
        if own.freed_elsewhere:
            # The contenders have no report yet of this gateway's last send.
            waited_s = min(waited_s, now - view.last_sent_at - turn_s)
        if waited_s < turn * turn_s:
            self._schedule_wakeup(now - waited_s + turn * turn_s)
            return 0
        return max(free_slots // (len(contenders) + 1), 1)

    def _unreported_sends(self, view, service, distance):
        """Estimate the sends of nearer gateways that no report shows yet.

        Reports reach a distant gateway late, so without this estimate it
        would send more requests than the endpoint has free slots. A full
        endpoint accepts as many requests as it completes; the estimate is
        proportional to its load.
        """
        if distance is Distance.OWN_DOMAIN or not view.load:
            return 0
        if not self._peers.has_nearer_peer(view.record, distance):
            return 0
        slots = self.slots_of(view)
        service_time_s = self.mean_service_time_s(service)
        sends = (
            self._peers.report_interval_s(distance) * slots / service_time_s
        )
        return int(min(sends, slots) * view.load / self.limit_of(view))

"""Choose the endpoint for a request."""

from __future__ import annotations

import xxhash

from persimmonroute.gateway.locality import Distance

# Costs are in milliseconds of expected delay.

# Cost of a full endpoint compared with an idle one.
FULL_LOAD_COST_MS = 60.0
# Cost of an endpoint of mean speed, for any kind of request; multiplied by
# the slowness of the endpoint.
MEAN_SPEED_COST_MS = 60.0
# Delay that a failed attempt causes for the caller.
FAILURE_COST_MS = 600.0
# Weight of the time for which a request occupies an endpoint, relative to the
# time to its first byte. Others wait for what it occupies.
SLOT_TIME_SHARE = 0.2
# Prompt tokens that an engine prefills per millisecond.
PREFILL_TOKENS_PER_MS = 90.0
# Network round trip, and the cost of traffic between regions.
DISTANCE_COST_MS = {
    Distance.OWN_DOMAIN: 0.0,
    Distance.OWN_REGION: 2.0,
    Distance.OTHER_REGION: 40.0,
}
# Share of the prefill time of a prompt's shared parts that the endpoint
# selected by rendezvous hashing is credited with, so that all gateways send
# the same prompt to the same endpoint. The last part is not shared.
PREFERRED_CACHE_SHARE = 0.9


class Placement:
    """Choose endpoints by load, prompt reuse, distance and failures."""

    def __init__(self, locality):
        self._locality = locality

    def distance(self, view):
        """Return the Distance to an endpoint."""
        return self._locality.distance(view.record.failure_domain)

    def choose(self, pending, views, limit_of, now):
        """Return the view with the lowest cost, or None if there is none."""
        preferred = self._find_preferred(pending.request.prompt, views)
        return min(
            views,
            key=lambda view: self._cost_ms(
                pending, view, preferred, limit_of, now
            ),
            default=None,
        )

    def find_costs(self, pending, views, limit_of, now):
        """Return the cost in milliseconds of each view, by endpoint."""
        preferred = self._find_preferred(pending.request.prompt, views)
        return {
            view.id: self._cost_ms(pending, view, preferred, limit_of, now)
            for view in views
        }

    def _cost_ms(self, pending, view, preferred, limit_of, now):
        times = view.expect(pending, now)
        if times is not None:
            return self._time_cost_ms(pending, view, preferred, times, now)
        cost = FULL_LOAD_COST_MS * view.load / max(limit_of(view), 1)
        cost += MEAN_SPEED_COST_MS * view.slowness
        cost += FAILURE_COST_MS * view.failure_share
        cost += DISTANCE_COST_MS[self._distance_from(pending, view)]
        prompt = pending.request.prompt
        if prompt:
            tokens = sum(part.tokens for part in prompt)
            cached = view.cached_tokens(prompt, now)
            if view is preferred:
                shared = tokens - prompt[-1].tokens
                cached = max(cached, PREFERRED_CACHE_SHARE * shared)
            cost += (tokens - cached) / PREFILL_TOKENS_PER_MS
        return cost

    def _time_cost_ms(self, pending, view, preferred, times, now):
        """Return the cost of an endpoint whose times can be expected."""
        cost = 1000 * (times.first_byte_s + SLOT_TIME_SHARE * times.slot_s)
        cost += FAILURE_COST_MS * view.failure_share
        cost += DISTANCE_COST_MS[self._distance_from(pending, view)]
        prompt = pending.request.prompt
        if view is preferred:
            tokens = sum(part.tokens for part in prompt[:-1])
            missing = PREFERRED_CACHE_SHARE * tokens
            missing -= view.cached_tokens(prompt, now)
            if missing > 0:
                cost -= 1000 * view.expect_prefill_s(pending, missing)
        return cost

    def _distance_from(self, pending, view):
        if pending.origin is None:
            return self.distance(view)
        return self._locality.distance_between(
            pending.origin, view.record.failure_domain
        )

    def _find_preferred(self, prompt, views):
        if len(prompt) < 2:
            return None
        part = prompt[-2].id
        nearby = [
            view
            for view in views
            if self.distance(view) is not Distance.OTHER_REGION
        ]
        return max(
            nearby or views,
            key=lambda view: _rendezvous_weight(part, view.id),
            default=None,
        )


def _rendezvous_weight(part, runner_id):
    return xxhash.xxh3_64_intdigest(f'{part}|{runner_id}'.encode())

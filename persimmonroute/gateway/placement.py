"""Choose the endpoint that a request is sent to."""

from __future__ import annotations

import xxhash

from persimmonroute.gateway.locality import Distance

# Milliseconds of delay that a full endpoint adds over an empty one.
LOAD_MS = 60.0
# Milliseconds of delay at an endpoint of mean speed that hold for a
# request of any kind.
SLOWNESS_MS = 60.0
# A failed attempt costs its caller about this long.
FAILURE_MS = 600.0
# Prompt tokens that an engine reads in a millisecond, until learned.
PREFILL_TOKENS_PER_MS = 90.0
# Both ways over the links, and the price by volume between regions.
DISTANCE_MS = {
    Distance.OWN_DOMAIN: 0.0,
    Distance.OWN_REGION: 2.0,
    Distance.OTHER_REGION: 40.0,
}
# Share of the reading time of a prompt's shared parts that is granted to
# the endpoint which hashing names, so that all gateways send one prompt
# to one endpoint. The last part belongs to the request alone.
HOME_SHARE = 0.9


class Placement:
    """Weigh load, reuse of prompts, distance and failures."""

    def __init__(self, locality):
        self._locality = locality

    def distance(self, view):
        """Return the Distance of an endpoint."""
        return self._locality.distance(view.record.failure_domain)

    def choose(self, pending, views, limit_of, now):
        """Return the view with the least cost, or None."""
        home = self._find_home(pending.request.prompt, views)
        return min(
            views,
            key=lambda view: self._cost_ms(pending, view, home, limit_of, now),
            default=None,
        )

    def _cost_ms(self, pending, view, home, limit_of, now):
        cost = LOAD_MS * view.load / max(limit_of(view), 1)
        cost += SLOWNESS_MS * view.slowness
        cost += FAILURE_MS * view.failure_share
        cost += DISTANCE_MS[self.distance(view)]
        prompt = pending.request.prompt
        if prompt:
            tokens = sum(part.tokens for part in prompt)
            cached = view.cached_tokens(prompt, now)
            if view is home:
                shared = tokens - prompt[-1].tokens
                cached = max(cached, HOME_SHARE * shared)
            cost += (tokens - cached) / PREFILL_TOKENS_PER_MS
        return cost

    def _find_home(self, prompt, views):
        if len(prompt) < 2:
            return None
        part = prompt[-2].id
        near = [
            view
            for view in views
            if self.distance(view) is not Distance.OTHER_REGION
        ]
        return max(
            near or views,
            key=lambda view: _weight(part, view.id),
            default=None,
        )


def _weight(part, runner_id):
    return xxhash.xxh3_64_intdigest(f'{part}|{runner_id}'.encode())

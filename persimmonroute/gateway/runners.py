"""Track load, failures and cached prompts of each endpoint."""

from __future__ import annotations

import collections
import math

from persimmonroute.gateway.model import Ending

# Backoff after a failure to reach an endpoint; doubles up to the maximum.
FIRST_SUSPENSION_S = 0.25
MAX_SUSPENSION_S = 2.0
# Pause after an endpoint refused a request because it was full.
FULL_SUSPENSION_S = 0.05
# Pause after another endpoint responded at an endpoint's address; the stale
# registration is removed from the store after three heartbeats.
MISDIRECTED_SUSPENSION_S = 5.0
# Weight of the newest attempt in the moving average of failures.
FAILURE_SMOOTHING = 0.15
SERVICE_TIME_SMOOTHING = 0.1
# Shorter service times cannot be distinguished from network delay.
MIN_SERVICE_TIME_S = 0.001
SLOWNESS_SMOOTHING = 0.05
# Limits how far one attempt's time ratio can move the slowness estimate.
MAX_SLOWNESS_RATIO = 4.0
# Consecutive broken connections after which an endpoint is suspended.
MAX_CONSECUTIVE_BREAKS = 2
# Registrations removed while the store recovers stay in use this long; the
# platform states that live endpoints register again within two seconds.
LAPSE_S = 2.2
# How long a prompt part is assumed to stay in an endpoint's cache.
PROMPT_CACHE_LIFE_S = 30.0
MAX_PROMPT_PARTS = 4000


class RunnerView:
    """Track the state of one incarnation of an endpoint."""

    def __init__(self, record, now):
        self.record = record
        self.in_flight = {}
        # In-flight requests of each peer gateway, by peer name.
        self.peer_in_flight = {}
        self.failure_share = 0.0
        self.consecutive_breaks = 0
        self.suspension_s = 0.0
        self.suspended_until = 0.0
        self.lapsed_at = None
        self.last_released_at = -math.inf
        # When the endpoint last had no free slot, or was first seen.
        self.last_full_at = now
        # When this gateway was last granted a slot there.
        self.last_sent_at = -math.inf
        # Moving average of service time here relative to the route's mean.
        self.slowness = 1.0
        self._prompt_parts = collections.OrderedDict()

    @property
    def id(self):
        """Return the id of the endpoint."""
        return self.record.id

    @property
    def load(self):
        """Return the number of in-flight requests of all gateways."""
        return len(self.in_flight) + sum(self.peer_in_flight.values())

    def usable(self, now):
        """Return whether new requests may be sent to the endpoint."""
        if self.record.leaving or now < self.suspended_until:
            return False
        if self.lapsed_at is not None and now > self.lapsed_at + LAPSE_S:
            return False
        # After a failure a single request probes the endpoint first.
        return not (self.suspension_s and self.in_flight)

    def suspend(self, now):
        """Suspend the endpoint with exponential backoff."""
        longer = max(self.suspension_s * 2, FIRST_SUSPENSION_S)
        self.suspension_s = min(longer, MAX_SUSPENSION_S)
        self.suspended_until = now + self.suspension_s

    def record_ending(self, ending, now):
        """Update the failure statistics after an attempt."""
        if ending is Ending.ABANDONED:
            return
        if ending is Ending.MISDIRECTED:
            # Another endpoint uses the address now.
            self.suspended_until = now + MISDIRECTED_SUSPENSION_S
            return
        if ending is Ending.REFUSED:
            self.suspended_until = max(
                self.suspended_until, now + FULL_SUSPENSION_S
            )
            return
        failed = ending is not Ending.ANSWERED
        self.failure_share += FAILURE_SMOOTHING * (
            float(failed) - self.failure_share
        )
        if not failed:
            self.consecutive_breaks = 0
            self.suspension_s = 0.0
            return
        if ending is Ending.UNREACHABLE or ending is Ending.SILENT:
            self.suspend(now)
        elif ending is Ending.BROKEN:
            self.consecutive_breaks += 1
            if self.consecutive_breaks >= MAX_CONSECUTIVE_BREAKS:
                self.suspend(now)

    def record_slowness(self, ratio):
        """Update the slowness; ratio is an attempt's time over the mean."""
        ratio = min(max(ratio, 1 / MAX_SLOWNESS_RATIO), MAX_SLOWNESS_RATIO)
        self.slowness += SLOWNESS_SMOOTHING * (ratio - self.slowness)

    def record_prompt(self, prompt, now):
        """Record the prompt parts that the endpoint now caches."""
        for part in prompt:
            self._prompt_parts[part.id] = now
            self._prompt_parts.move_to_end(part.id)
        while len(self._prompt_parts) > MAX_PROMPT_PARTS:
            self._prompt_parts.popitem(last=False)

    def cached_tokens(self, prompt, now):
        """Return how many leading prompt tokens the endpoint caches."""
        tokens = 0
        for part in prompt:
            seen_at = self._prompt_parts.get(part.id)
            if seen_at is None or now - seen_at > PROMPT_CACHE_LIFE_S:
                break
            tokens += part.tokens
        return tokens


class RunnerRegistry:
    """Keep the endpoints of all services and their mean service times."""

    def __init__(self):
        self._views = {}
        self._services = {}
        # Mean times by route, in seconds: how long a request occupies an
        # endpoint, and how long until the first byte of its response.
        self.service_time_s = {}
        self.first_byte_s = {}
        # Mean time by service that a request occupies an endpoint.
        self.service_time_by_service_s = {}

    def __iter__(self):
        return iter(self._views.values())

    def find(self, runner_id):
        """Return the view of an endpoint, or None."""
        return self._views.get(runner_id)

    def of_service(self, service):
        """Return the views of a service's endpoints."""
        return self._services.get(service, ())

    def apply(self, records, removed, recovering, now):
        """Apply changed records and removed ids; return the removed views.

        While the store recovers from an outage, a removed registration may
        only have lapsed, so its endpoint stays in use for LAPSE_S.
        """
        removed_views = []
        for record in records:
            view = self._views.get(record.id)
            if (
                view is not None
                and view.record.started_at_ms == record.started_at_ms
            ):
                view.record = record
                view.lapsed_at = None
            else:
                if view is not None:
                    removed_views.append(view)
                self._views[record.id] = RunnerView(record, now)
        for runner_id in removed:
            view = self._views.get(runner_id)
            if view is None:
                continue
            if recovering:
                if view.lapsed_at is None:
                    view.lapsed_at = now
            else:
                removed_views.append(self._views.pop(runner_id))
        self._index_services()
        return removed_views

    def drop_lapsed(self, now):
        """Remove and return endpoints that did not register again in time."""
        removed_views = [
            view
            for view in self._views.values()
            if view.lapsed_at is not None and now > view.lapsed_at + LAPSE_S
        ]
        for view in removed_views:
            del self._views[view.id]
        if removed_views:
            self._index_services()
        return removed_views

    def record_service_time(self, route, service, seconds):
        """Update the mean time that requests of a route occupy an endpoint."""
        _smooth(self.service_time_s, route, seconds)
        _smooth(
            self.service_time_by_service_s,
            service,
            max(seconds, MIN_SERVICE_TIME_S),
        )

    def record_first_byte(self, route, seconds):
        """Update the mean time to the first byte for requests of a route."""
        _smooth(self.first_byte_s, route, seconds)

    def _index_services(self):
        self._services = {}
        for view in self._views.values():
            self._services.setdefault(view.record.service, []).append(view)


def _smooth(means, key, sample):
    before = means.get(key, sample)
    means[key] = before + SERVICE_TIME_SMOOTHING * (sample - before)

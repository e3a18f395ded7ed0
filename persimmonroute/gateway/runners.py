"""Track load, failures and cached prompts of each endpoint."""

from __future__ import annotations

import collections
import math

from persimmonroute.gateway import endpoint_capacity
from persimmonroute.gateway import endpoint_limits
from persimmonroute.gateway import endpoint_memory
from persimmonroute.gateway.model import Ending
from persimmonroute.gateway import work_model

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
# Incarnations remembered as leaving or removed, so that an older copy of the
# store cannot bring them back.
MAX_FORMER_INCARNATIONS = 4096
# A store restored from an older copy lists endpoints that had been removed.
# Their registrations are ignored this long; by then the store has dropped
# those that missed three heartbeats of 1.2 s.
RESTORED_HOLD_S = 5.0
# How long other gateways are told that an endpoint is leaving. The store
# lists it as leaving by then.
LEAVING_REPORT_S = 10.0


# Versions of a service of which it is remembered when they were first seen.
MAX_SEEN_VERSIONS = 256
# Versions of endpoints that are gone are remembered this long.
VERSION_HISTORY_S = 60.0


# Of endpoints outside a registry.
NO_CAPACITIES = endpoint_capacity.EndpointCapacities()


class RunnerView:
    """Track the state of one incarnation of an endpoint."""

    def __init__(self, record, now, capacities=None):
        self.record = record
        self._capacities = capacities or NO_CAPACITIES
        self._estimate = None
        self.in_flight = {}
        # In-flight requests of each peer gateway, by peer name.
        self.peer_in_flight = {}
        self.failure_share = 0.0
        self.consecutive_breaks = 0
        self.suspension_s = 0.0
        self.suspended_until = 0.0
        self.lapsed_at = None
        # The endpoint said in a response that it is leaving.
        self.announced_leaving = False
        # The endpoint asked this gateway to send nothing before this time.
        self.closed_until = -math.inf
        # After such a pause one request is sent alone before any others.
        self._probe_needed = False
        self._probe = None
        # When the endpoint last responded to any request.
        self.last_heard_at = -math.inf
        self.last_released_at = -math.inf
        # When the endpoint last had no free slot, or was first seen.
        self.last_full_at = now
        # When this gateway was last granted a slot there.
        self.last_sent_at = -math.inf
        # Moving average of service time here relative to the route's mean.
        self.slowness = 1.0
        # Newest RunnerLoad that a gateway heard, and when.
        self.reported_load = None
        self.load_reported_at = -math.inf
        self._prompt_parts = collections.OrderedDict()
        # Time integral of the load, and until when it was added up.
        self.load_s = 0.0
        self._load_added_at = now

    @property
    def id(self):
        """Return the id of the endpoint."""
        return self.record.id

    @property
    def estimate(self):
        """Return the EndpointEstimate, or None for a service without cost."""
        if self._estimate is None and self._capacities.active:
            self._estimate = self._capacities.find(self.record)
        return self._estimate

    @property
    def load(self):
        """Return the number of in-flight requests of all gateways."""
        own = len(self.in_flight)
        if not self.peer_in_flight:
            return own
        return own + sum(self.peer_in_flight.values())

    @property
    def held_tokens(self):
        """Return the most tokens that the in-flight requests may hold.

        Requests that were granted elsewhere are of unknown size.
        """
        return sum(
            endpoint_memory.count_tokens(pending.request)
            for pending in self.in_flight.values()
            if pending is not None
        )

    @property
    def leaving(self):
        """Return whether the endpoint is leaving."""
        return self.record.leaving or self.announced_leaving

    @property
    def paused_until(self):
        """Return when a pause after a failure or a refusal ends."""
        return max(self.suspended_until, self.closed_until)

    def usable(self, now):
        """Return whether new requests may be sent to the endpoint."""
        # Properties would double the time of this check, the most frequent.
        if self.announced_leaving or self.record.leaving:
            return False
        if now < self.suspended_until or now < self.closed_until:
            return False
        if self._probe is not None and self._probe in self.in_flight:
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

    def close_until(self, at):
        """Send nothing before a time, as the endpoint asked."""
        self.closed_until = max(self.closed_until, at)
        self._probe_needed = True
        self._probe = None

    def record_sent(self, pending, now):
        """Record that a request is sent to the endpoint."""
        self.add_load(now)
        self.in_flight[pending.attempt] = pending
        self.last_sent_at = now
        if self._probe_needed:
            self._probe = pending.attempt
        pending.sent_work = self._find_work(pending, now)
        self.record_prompt(pending.request.prompt, now)

    def expect(self, pending, now):
        """Return the Times of a request sent here now, or None."""
        if self.estimate is None:
            return None
        if endpoint_capacity.Use.PLACEMENT not in self._capacities.uses:
            return None
        return self._capacities.expect_here(pending, self, now)

    def expect_prefill_s(self, pending, tokens):
        """Return the time for reading prompt tokens at the usual speed."""
        return self._capacities.prefill_s(pending, tokens)

    def _find_work(self, pending, now):
        """Return the SentWork of a request that was added to the load."""
        if self.estimate is None:
            return None
        cached = self.cached_tokens(pending.request.prompt, now)
        return endpoint_capacity.SentWork(
            endpoint_capacity.size_of(pending, cached),
            self.load,
            self.load_s,
            self.estimate.cost(now),
        )

    def add_load(self, now):
        """Add up the load until now, before it changes."""
        if now > self._load_added_at:
            self.load_s += self.load * (now - self._load_added_at)
            self._load_added_at = now

    def record_response(self, now):
        """Record that the endpoint began to respond to a request."""
        self.last_heard_at = now
        if now >= self.closed_until:
            self._probe_needed = False
            self._probe = None

    def record_ending(self, ending, now, sent_at=math.inf):
        """Update the failure statistics after an attempt.

        An endpoint that is silent to one attempt but has responded to others
        since that attempt was sent is slow, and not suspended.
        """
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
            self.last_heard_at = now
            return
        if ending is Ending.UNREACHABLE:
            self.suspend(now)
        elif ending is Ending.SILENT:
            if self.last_heard_at <= sent_at:
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

    def __init__(self, limits=None, capacities=None):
        # What the endpoints say of the requests that they take.
        self.limits = limits or endpoint_limits.EndpointLimits()
        # How fast the endpoints are that report what work costs.
        self.capacities = capacities or endpoint_capacity.EndpointCapacities()
        self._views = {}
        self._services = {}
        # Increases with every change of the registrations.
        self.generation = 0
        # When the endpoints were first listed, or the store was restored.
        self._listed_at = math.inf
        # When each version of a service was last seen with an endpoint that
        # is gone.
        self._former_versions = {}
        # When each version of a service was first seen, by service; -infinity
        # for those that the service began with.
        self._first_seen = {}
        # When a version was last seen for the first time.
        self.newest_version_at = -math.inf
        # Services whose earlier versions the store has told.
        self._stored_services = frozenset()
        # Incarnations that said they are leaving, and when.
        self._leaving = collections.OrderedDict()
        # Incarnations whose registration was removed.
        self._removed = collections.OrderedDict()
        # Registrations that a restored store listed again after their
        # removal, with the time at which they are accepted.
        self._held = {}
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
        self._listed_at = min(self._listed_at, now)
        self._record_versions(records, now)
        for record in records:
            self._held.pop(record.id, None)
            replaced = self._apply_record(record, now)
            if replaced is not None:
                removed_views.append(replaced)
        for runner_id in removed:
            self._held.pop(runner_id, None)
            view = self._views.get(runner_id)
            if view is None:
                continue
            if recovering:
                if view.lapsed_at is None:
                    view.lapsed_at = now
            else:
                removed_views.append(self._views.pop(runner_id))
                self._record_former(view.record, now)
                _remember(self._removed, view.record, now)
        self._index_services()
        return removed_views

    def apply_restored(self, records, now):
        """Apply all rows of a store that was restored from an older copy.

        Endpoints that the copy does not list may have registered since, so
        they only lapse. Incarnations that were removed or replaced since are
        held back until they register again or RESTORED_HOLD_S has passed.
        """
        self._held.clear()
        # The copy does not tell what came and went since.
        self._listed_at = now
        self._stored_services = frozenset()
        current = []
        for record in records:
            view = self._views.get(record.id)
            replaced = (
                view is not None
                and record.started_at_ms < view.record.started_at_ms
            )
            if replaced or record.incarnation in self._removed:
                self._held[record.id] = (record, now + RESTORED_HOLD_S)
            else:
                current.append(record)
        listed = {record.id for record in current}
        missing = [r for r in self._views if r not in listed]
        held = dict(self._held)
        removed_views = self.apply(current, missing, True, now)
        self._held = held
        return removed_views

    def record_leaving(self, runner_id, started_at_ms, now):
        """Record that an incarnation is leaving; return whether it is news."""
        view = self._views.get(runner_id)
        if view is not None and view.record.started_at_ms == started_at_ms:
            view.announced_leaving = True
            self.generation += 1
        incarnation = (runner_id, started_at_ms)
        if incarnation in self._leaving:
            return False
        self._leaving[incarnation] = now
        while len(self._leaving) > MAX_FORMER_INCARNATIONS:
            self._leaving.popitem(last=False)
        return True

    def report_leaving(self, now):
        """Return the incarnations that recently said they are leaving."""
        return [
            incarnation
            for incarnation, at in self._leaving.items()
            if now - at < LEAVING_REPORT_S
        ]

    def drop_lapsed(self, now):
        """Remove and return endpoints that did not register again in time."""
        removed_views = [
            view
            for view in self._views.values()
            if view.lapsed_at is not None and now > view.lapsed_at + LAPSE_S
        ]
        for view in removed_views:
            del self._views[view.id]
            self._record_former(view.record, now)
            _remember(self._removed, view.record, now)
        if removed_views:
            self._index_services()
        return removed_views + self._accept_held(now)

    def _accept_held(self, now):
        """Accept the restored registrations that were held long enough.

        The store still lists them; return the views that they replace.
        """
        accepted = [record for record, at in self._held.values() if now >= at]
        return self.apply(accepted, (), False, now) if accepted else []

    def _apply_record(self, record, now):
        """Store a registration; return the view that it replaces, if any."""
        view = self._views.get(record.id)
        if (
            view is not None
            and view.record.started_at_ms == record.started_at_ms
        ):
            if record.version != view.record.version:
                self._record_former(view.record, now)
            if record.leaving:
                _remember(self._leaving, record, -math.inf)
            # A leaving incarnation never becomes ready again.
            view.announced_leaving |= view.record.leaving
            view.record = record
            view.lapsed_at = None
            return None
        if view is not None:
            self._record_former(view.record, now)
        added = RunnerView(record, now, self.capacities)
        self._views[record.id] = added
        added.announced_leaving = record.incarnation in self._leaving
        if record.leaving:
            _remember(self._leaving, record, -math.inf)
        self._removed.pop(record.incarnation, None)
        return view

    def _record_versions(self, records, now):
        """Record which versions of known services are new."""
        known = set(self._first_seen)
        for record in records:
            versions = self._first_seen.setdefault(record.service, {})
            if record.version in versions:
                continue
            new = record.service in known
            versions[record.version] = now if new else -math.inf
            if new:
                self.newest_version_at = now
            if len(versions) > MAX_SEEN_VERSIONS:
                del versions[next(iter(versions))]

    def first_seen_at(self, record):
        """Return when the version of an endpoint was first seen.

        It is -infinity for versions that the service began with.
        """
        versions = self._first_seen.get(record.service, {})
        return versions.get(record.version, -math.inf)

    def find_versions(self, service, now):
        """Return the versions of a service seen lately.

        The second value tells whether no version can be missing.
        """
        versions = {v for s, v in self.list_versions(now) if s == service}
        complete = now - self._listed_at >= VERSION_HISTORY_S
        return versions, complete or service in self._stored_services

    def list_versions(self, now):
        """Return the services and versions seen lately."""
        return self.list_current_versions() | {
            key
            for key, at in self._former_versions.items()
            if now - at <= VERSION_HISTORY_S
        }

    def list_current_versions(self):
        """Return the services and versions of the known endpoints."""
        return {(v.record.service, v.record.version) for v in self}

    def apply_stored_versions(self, stored, rewritten, now):
        """Apply the services and versions that gateways saw before.

        Another gateway has seen those of the rewritten rows of late.
        """
        for key in stored:
            self._former_versions.setdefault(key, now)
        for key in rewritten:
            self._former_versions[key] = now
        self._stored_services = {service for service, _ in stored}

    def _record_former(self, record, now):
        self._former_versions[(record.service, record.version)] = now
        if len(self._former_versions) > MAX_FORMER_INCARNATIONS:
            del self._former_versions[next(iter(self._former_versions))]

    def record_load(self, view, load, at):
        """Record what an endpoint reported of its load at a time, if it did.

        What was reported before the newest known figures changes nothing.
        """
        if load is None or at < view.load_reported_at:
            return
        view.reported_load = load
        view.load_reported_at = at
        self.capacities.record_load(view.record, load, at)

    def reports_cost(self, service):
        """Return whether endpoints of a service report what work costs.

        Their machines are shared with others, so what they take changes fast.
        """
        return self.capacities.reports_cost(service)

    def record_end(self, pending, view, ending, now):
        """Free the slot of an attempt and record how it ended."""
        view.add_load(now)
        view.in_flight.pop(pending.attempt, None)
        view.record_ending(ending, now, pending.sent_at)
        if ending is Ending.ANSWERED:
            self._record_timing(pending, view, now)

    def record_capacity(self, pending, view, now, load_known=True):
        """Learn from an answered attempt how fast its endpoint is.

        load_known tells whether the requests of all gateways are counted.
        """
        first_byte_s = find_first_byte_s(pending, now)
        if first_byte_s is None or view.estimate is None:
            return
        observed = work_model.Times(first_byte_s, now - pending.sent_at)
        self.capacities.record(pending, view, observed, load_known, now)

    def expect_first_byte_s(self, pending):
        """Return the expected time to the first byte, or None if unknown.

        Where endpoints report what work costs, it is that of the request's
        own size, else the mean of its route.
        """
        seconds = self.capacities.expect_first_byte_s(pending)
        if seconds is None:
            seconds = self.first_byte_s.get(pending.route.name)
        return seconds

    def expect_service_time_s(self, pending):
        """Return how long a request occupies an endpoint, or None.

        Where endpoints report what work costs, it is the time at an endpoint
        of usual speed that does nothing else.
        """
        seconds = self.capacities.expect_work_s(pending)
        if seconds is None:
            seconds = self.service_time_s.get(pending.route.name)
        return seconds

    def _record_timing(self, pending, view, now):
        route = pending.route.name
        service_time_s = now - pending.sent_at
        self.record_service_time(route, pending.service, service_time_s)
        view.record_slowness(
            service_time_s / max(self.service_time_s[route], 1e-3)
        )
        first_byte_s = find_first_byte_s(pending, now)
        if first_byte_s is not None:
            self.record_first_byte(route, first_byte_s)

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
        self.generation += 1
        self._services = {}
        for view in self._views.values():
            self._services.setdefault(view.record.service, []).append(view)


def find_first_byte_s(pending, now):
    """Return the time to the first byte of an answered attempt.

    None if it came from another endpoint, before the stream was resumed.
    """
    first_byte_at = pending.first_byte_at or now
    if first_byte_at < pending.sent_at:
        return None
    return first_byte_at - pending.sent_at


def _remember(incarnations, record, now):
    incarnations[record.incarnation] = now
    while len(incarnations) > MAX_FORMER_INCARNATIONS:
        incarnations.popitem(last=False)


def _smooth(means, key, sample):
    before = means.get(key, sample)
    means[key] = before + SERVICE_TIME_SMOOTHING * (sample - before)

"""Keep what the gateway knows of each endpoint."""

from __future__ import annotations

import collections
import math

from persimmonroute.gateway.model import Ending

# Wait after a failure to reach an endpoint; doubles up to the longest.
FIRST_SUSPENSION_S = 0.25
LONGEST_SUSPENSION_S = 2.0
# An endpoint that said it was full gets no work for this long.
FULL_PAUSE_S = 0.05
# An endpoint whose address another one has is left alone until its entry
# in the store is gone, which takes three heartbeats.
MISDIRECTED_PAUSE_S = 5.0
# Weight of the newest attempt in the share of failures.
FAILURE_SMOOTHING = 0.15
HOLD_SMOOTHING = 0.1
# Shorter holds are not told apart from the delay of the links.
LEAST_HOLD_S = 0.001
SLOWNESS_SMOOTHING = 0.05
# One attempt changes the learned slowness by this ratio at most.
SLOWNESS_CAP = 4.0
# Broken attempts in a row after which an endpoint is left alone.
BROKEN_LIMIT = 2
# Entries that are gone while the store recovers are kept this long; the
# platform says that live endpoints are back within two seconds.
LAPSE_S = 2.2
# Time that a prompt part is taken to stay in an endpoint's memory.
PREFIX_LIFE_S = 30.0
PREFIX_LIMIT = 4000


class RunnerView:
    """Hold what is known of one incarnation of an endpoint."""

    def __init__(self, record, now):
        self.record = record
        self.in_flight = {}
        # Requests in progress there through each peer.
        self.peer_in_flight = {}
        self.failure_share = 0.0
        self.broken_in_row = 0
        self.suspension_s = 0.0
        self.suspended_until = 0.0
        self.lapsed_at = None
        self.last_released_at = -math.inf
        # When the endpoint was last seen without room, or first seen.
        self.last_full_at = now
        # When this gateway last sent a request there.
        self.last_sent_at = -math.inf
        # Time that attempts take here, against the mean of their kind.
        self.slowness = 1.0
        self._prompt_parts = collections.OrderedDict()

    @property
    def id(self):
        """Return the id of the endpoint."""
        return self.record.id

    @property
    def load(self):
        """Return the requests in progress, through all gateways."""
        return len(self.in_flight) + sum(self.peer_in_flight.values())

    def usable(self, now):
        """Tell whether new work may go there."""
        if self.record.leaving or now < self.suspended_until:
            return False
        if self.lapsed_at is not None and now > self.lapsed_at + LAPSE_S:
            return False
        # After a failure one request tries the endpoint first.
        return not (self.suspension_s and self.in_flight)

    def suspend(self, now):
        """Leave the endpoint alone for a growing while."""
        longer = max(self.suspension_s * 2, FIRST_SUSPENSION_S)
        self.suspension_s = min(longer, LONGEST_SUSPENSION_S)
        self.suspended_until = now + self.suspension_s

    def record_ending(self, ending, now):
        """Learn from how an attempt ended."""
        if ending is Ending.ABANDONED:
            return
        if ending is Ending.MISDIRECTED:
            # Another endpoint has the address now.
            self.suspended_until = now + MISDIRECTED_PAUSE_S
            return
        if ending is Ending.REFUSED:
            self.suspended_until = max(
                self.suspended_until, now + FULL_PAUSE_S
            )
            return
        failed = ending is not Ending.ANSWERED
        self.failure_share += FAILURE_SMOOTHING * (
            float(failed) - self.failure_share
        )
        if not failed:
            self.broken_in_row = 0
            self.suspension_s = 0.0
            return
        if ending is Ending.UNREACHABLE or ending is Ending.SILENT:
            self.suspend(now)
        elif ending is Ending.BROKEN:
            self.broken_in_row += 1
            if self.broken_in_row >= BROKEN_LIMIT:
                self.suspend(now)

    def record_slowness(self, ratio):
        """Learn from the time of an attempt against its kind's mean."""
        ratio = min(max(ratio, 1 / SLOWNESS_CAP), SLOWNESS_CAP)
        self.slowness += SLOWNESS_SMOOTHING * (ratio - self.slowness)

    def record_prompt(self, prompt, now):
        """Remember the prompt parts that the endpoint now holds."""
        for part in prompt:
            self._prompt_parts[part.id] = now
            self._prompt_parts.move_to_end(part.id)
        while len(self._prompt_parts) > PREFIX_LIMIT:
            self._prompt_parts.popitem(last=False)

    def cached_tokens(self, prompt, now):
        """Return the leading prompt tokens that the endpoint holds."""
        tokens = 0
        for part in prompt:
            seen_at = self._prompt_parts.get(part.id)
            if seen_at is None or now - seen_at > PREFIX_LIFE_S:
                break
            tokens += part.tokens
        return tokens


class RunnerRegistry:
    """Hold the endpoints of all services."""

    def __init__(self):
        self._views = {}
        self._services = {}
        # Seconds that requests of a kind occupy an endpoint, and until
        # their answers begin.
        self.service_time_s = {}
        self.first_byte_s = {}
        # Seconds that requests of any kind occupy a service's endpoints.
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
        """Take over changed records and the ids of removed ones.

        While the store recovers from an outage a removed entry may only
        have lapsed, so its endpoint stays in use for a short while.
        Returns the views that are gone.
        """
        gone = []
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
                    gone.append(view)
                self._views[record.id] = RunnerView(record, now)
        for runner_id in removed:
            view = self._views.get(runner_id)
            if view is None:
                continue
            if recovering:
                if view.lapsed_at is None:
                    view.lapsed_at = now
            else:
                gone.append(self._views.pop(runner_id))
        self._index()
        return gone

    def drop_lapsed(self, now):
        """Remove and return endpoints whose entries did not come back."""
        gone = [
            view
            for view in self._views.values()
            if view.lapsed_at is not None and now > view.lapsed_at + LAPSE_S
        ]
        for view in gone:
            del self._views[view.id]
        if gone:
            self._index()
        return gone

    def record_service_time(self, kind, service, seconds):
        """Learn how long requests of a kind occupy an endpoint."""
        _smooth(self.service_time_s, kind, seconds)
        _smooth(
            self.service_time_by_service_s, service, max(seconds, LEAST_HOLD_S)
        )

    def record_first_byte(self, key, seconds):
        """Learn how long requests of a kind wait for their answer."""
        _smooth(self.first_byte_s, key, seconds)

    def _index(self):
        self._services = {}
        for view in self._views.values():
            self._services.setdefault(view.record.service, []).append(view)


def _smooth(known, key, sample):
    before = known.get(key, sample)
    known[key] = before + HOLD_SMOOTHING * (sample - before)

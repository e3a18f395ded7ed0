"""Define the scheduler's effects and the requests that it queues."""

from __future__ import annotations

import copy
import functools
import typing

from persimmonroute.gateway import caller_identity
from persimmonroute.gateway import model


class Granted(typing.NamedTuple):
    """Grant an endpoint to a request, which is then sent at once."""

    pending: PendingRequest
    runner: object


class Rejected(typing.NamedTuple):
    """Reject a queued request."""

    pending: PendingRequest
    rejection: model.Rejection
    # Expected wait in seconds; None without a usable endpoint.
    wait_s: float | None = None


class PendingRequest:
    """Track a request from admission to its final response.

    Times are in seconds of the monotonic clock.
    """

    def __init__(self, request, route, service, workspace, now, age_s=0.0):
        self.request = request
        self.route = route
        self.service = service
        self.workspace = workspace
        self.tier = _combine_tiers(workspace, route)
        self.arrived_at = now
        remaining_s = route.timeout_s
        if request.remaining_s is not None:
            remaining_s = min(remaining_s, request.remaining_s)
        self.deadline_at = now + remaining_s
        # The response meets its latency objective if it starts by then.
        self.due_at = now + route.objective_s
        # Arrival of the caller's first attempt; retries after a rejection
        # are served before new requests of the same rank.
        self.first_arrived_at = now - age_s
        # Only the host of a group knows the callers that it refused; to its
        # scheduler, a request that is previewed is new.
        self.returning = False
        self.sequence = 0
        # Failure domain from which distances to endpoints are measured; None
        # for that of this gateway.
        self.origin = None
        # Identifies the offer to the host of a group; None if the request
        # was granted an endpoint without a host.
        self.offer_id = None
        # Gateway that granted the endpoint; None if this one did.
        self.host = None
        # Ids of endpoints that are not tried again.
        self.excluded = set()
        # Id of the endpoint that may still respond to the request; another one
        # is looked for. None if there is no such endpoint.
        self.current_id = None
        # Software version that began the stream, and that alone may go on
        # with it; None for a request that has no event yet.
        self.version = None
        # Attempts at endpoints that count toward the route's max_attempts.
        self.sends = 0
        # When the current retry was counted in the budget; None for none.
        self.retried_at = None
        self.queued_at = now
        self.runner = None
        self.sent_at = None
        self.first_byte_at = None
        # What the endpoint reported of its load with the response.
        self.reported_load = None
        # Expected tokens of the response; 0 if nothing is known.
        self.expected_output = request.expected_output
        # Times at an endpoint of usual speed with nothing else to do, and
        # what was known when it was sent; None if that is not known.
        self.expected = None
        self.sent_work = None
        # For how long events of the stream have been relayed.
        self.relayed_s = 0.0

    @property
    def attempt(self):
        """Return the id of the caller's request."""
        return self.request.attempt

    @property
    def first_attempt(self):
        """Return the attempt that brought the first event of the stream.

        None if the caller takes a stream up and does not name it.
        """
        if self.request.last_event_id is None:
            return self.attempt
        return self.request.resumes

    @property
    def kind(self):
        """Return what the requests have in common that take similar times."""
        return self.route.name, self.service

    @functools.cached_property
    def caller_hash(self):
        """Return what the retries of the caller have in common."""
        return caller_identity.hash_caller(self.request, self.workspace)

    def build_successor(self):
        """Return a copy that can be granted another endpoint meanwhile."""
        successor = copy.copy(self)
        successor.current_id = self.runner.id
        successor.excluded = self.excluded | {successor.current_id}
        successor.runner = successor.host = successor.offer_id = None
        successor.sent_at = successor.reported_load = None
        return successor

    def readmit(self, runner_ids):
        """Try endpoints again, but not the one that may still respond."""
        self.excluded.difference_update(runner_ids)
        if self.current_id is not None:
            self.excluded.add(self.current_id)


def accepts(pending, view):
    """Return whether a request may be sent to an endpoint."""
    if view.id in pending.excluded:
        return False
    return pending.version is None or pending.version == view.record.version


def _combine_tiers(workspace, route):
    """Return a tier ordered by the workspace's tier, then the route's."""
    route_tier = min(route.tier, model.LOWEST_TIER)
    if workspace is None or workspace.tier is None:
        return route_tier
    return workspace.tier * (model.LOWEST_TIER + 1) + route_tier

"""Define the effects that the gateway's scheduler asks for."""

from __future__ import annotations

import typing

from persimmonroute.gateway import model


class Granted(typing.NamedTuple):
    """Send a request to an endpoint now."""

    pending: PendingRequest
    runner: object


class Rejected(typing.NamedTuple):
    """Give a request that waits its final answer."""

    pending: PendingRequest
    rejection: model.Rejection


class PendingRequest:
    """Hold a request on its way through the scheduler.

    Times are in seconds of the steady clock.
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
        # Time by which the answer has to begin to be on time.
        self.due_at = now + route.objective_s
        # When the caller first asked; who comes back after a refusal goes
        # before newcomers of the same rank.
        self.first_arrived_at = now - age_s
        self.sequence = 0
        # Endpoints that this request does not go to again.
        self.excluded = set()
        self.sends = 0
        self.queued_at = now
        self.runner = None
        self.sent_at = None
        self.first_byte_at = None

    @property
    def attempt(self):
        """Return the id of the caller's attempt."""
        return self.request.attempt


def _combine_tiers(workspace, route):
    """Return one tier; that of the workspace goes before the route's."""
    within = min(route.tier, model.LOWEST_TIER)
    if workspace is None or workspace.tier is None:
        return within
    return workspace.tier * (model.LOWEST_TIER + 1) + within

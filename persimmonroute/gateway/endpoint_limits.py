"""Track how many requests a second endpoints say that they take."""

from __future__ import annotations

import collections
import math
import typing

# Rate of an endpoint that names no limit.
UNLIMITED = math.inf
# Endpoints whose limits are remembered.
MAX_ENDPOINTS = 4096


class LimitChange(typing.NamedTuple):
    """Report that an endpoint named another limit, or none any more."""

    runner_id: str
    per_s: float


class NamedLimit(typing.NamedTuple):
    """Store what one incarnation of an endpoint named last.

    The limit is in requests per second of all gateways together.
    """

    per_s: float
    # When a response last named it, or was the first without it.
    named_at: float


class EndpointLimits:
    """Keep the limits that endpoints name, by incarnation."""

    def __init__(self):
        self._limits = collections.OrderedDict()
        # Called with each LimitChange.
        self.on_change = lambda change: None

    def record(self, runner, per_s, sent_at, now):
        """Record what a response to a request sent at a time names.

        A response without a limit lifts it only if its request was sent
        after the limit was last named: responses may overtake one another.
        """
        named = self._limits.get(runner.incarnation)
        if per_s == UNLIMITED:
            if named is None or named.per_s == UNLIMITED:
                return
            if sent_at <= named.named_at:
                return
        self._store(runner.incarnation, NamedLimit(per_s, now))

    def find_rate(self, runner):
        """Return the requests per second that an endpoint takes."""
        named = self._limits.get(runner.incarnation)
        return UNLIMITED if named is None else named.per_s

    def _store(self, incarnation, limit):
        former = self._limits.get(incarnation)
        self._limits[incarnation] = limit
        while len(self._limits) > MAX_ENDPOINTS:
            self._limits.popitem(last=False)
        if former is None or former.per_s != limit.per_s:
            self.on_change(LimitChange(incarnation[0], limit.per_s))

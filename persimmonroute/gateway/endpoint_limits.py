"""Keep to the requests a second that endpoints say they take.

A limit binds all gateways together. The host of a group paces the grants for
its endpoints, so that the whole limit is in one hand however many gateways
there are. What each side of a partition may send adds up to the limit: a host
paces at the share of the gateways that respond to it, and a gateway without a
host at its own equal share.
"""

from __future__ import annotations

import collections
import math
import typing

from persimmonroute import pacing

UNLIMITED = pacing.UNLIMITED
# Endpoints whose limits are remembered.
MAX_ENDPOINTS = 4096
# Endpoints whose limits one message tells, so that it fits a datagram. Those
# named last go first.
MAX_REPORTED = 64
# How long other gateways are told that an endpoint lifted its limit.
LIFTED_REPORT_S = 10.0


class LimitChange(typing.NamedTuple):
    """Report that an endpoint named another limit, or none any more."""

    runner_id: str
    per_s: float
    # True if the endpoint told this gateway, and not another one.
    heard_here: bool


class LimitReport(typing.NamedTuple):
    """Tell another gateway what an endpoint named.

    The limit is in requests per second, and infinity if it was lifted.
    """

    runner_id: str
    started_at_ms: int
    per_s: float
    age_s: float


class NamedLimit(typing.NamedTuple):
    """Store what one incarnation of an endpoint named last.

    The limit is in requests per second of all gateways together.
    """

    per_s: float
    # When a response last named it, or was the first without it.
    named_at: float
    heard_here: bool


NO_LIMIT = NamedLimit(UNLIMITED, -math.inf, False)


class EndpointLimits:
    """Keep the limits that endpoints name, by incarnation."""

    def __init__(self):
        self._limits = collections.OrderedDict()
        # Gateways that share a limit, and the share of them that responds.
        self.gateways = 1
        self.reporting_share = 1.0
        # Called with each LimitChange.
        self.on_change = lambda change: None

    def record(self, runner, per_s, sent_at, now):
        """Record what a response to a request sent at a time names."""
        named = self._limits.get(runner.incarnation, NO_LIMIT)
        if pacing.is_news(named.per_s, named.named_at, per_s, sent_at):
            self._store(runner.incarnation, NamedLimit(per_s, now, True))

    def learn(self, reports, now):
        """Apply what other gateways heard, unless newer is known."""
        for report in reports:
            incarnation = report.runner_id, report.started_at_ms
            named_at = now - report.age_s
            known = self._limits.get(incarnation)
            if known is None and report.per_s == UNLIMITED:
                continue
            if known is None or known.named_at < named_at:
                limit = NamedLimit(report.per_s, named_at, False)
                self._store(incarnation, limit)

    def report(self, now):
        """Return a LimitReport of each endpoint that told this gateway."""
        heard = {
            incarnation: limit
            for incarnation, limit in self._limits.items()
            if limit.heard_here
        }
        return _build_reports(heard, now)

    @property
    def known(self):
        """Return whether any endpoint has named a limit."""
        return bool(self._limits)

    def report_of(self, runners, now):
        """Return a LimitReport of each endpoint whose limit is known."""
        known = {
            runner.incarnation: self._limits[runner.incarnation]
            for runner in runners
            if runner.incarnation in self._limits
        }
        return tuple(_build_reports(known, now))

    def find_rate(self, runner):
        """Return the requests per second that an endpoint takes."""
        if not self._limits:
            return UNLIMITED
        named = self._limits.get(runner.incarnation)
        return UNLIMITED if named is None else named.per_s

    def _store(self, incarnation, limit):
        former = self._limits.get(incarnation)
        self._limits[incarnation] = limit
        while len(self._limits) > MAX_ENDPOINTS:
            self._limits.popitem(last=False)
        if former is None or former.per_s != limit.per_s:
            self.on_change(
                LimitChange(incarnation[0], limit.per_s, limit.heard_here)
            )


class Pacer:
    """Pace the requests to endpoints that name a limit.

    find_share returns the part of the limits that may be used here.
    """

    def __init__(self, limits, find_share):
        self._limits = limits
        self._find_share = find_share
        self._paces = {}

    def find_rate(self, runner):
        """Return the requests per second that may be sent from here."""
        rate = self._limits.find_rate(runner)
        if rate == UNLIMITED:
            return rate
        return max(rate, pacing.MIN_PER_S) * self._find_share()

    def count_available(self, runner, now):
        """Return how many requests may be sent now; infinity for no limit."""
        pace = self._find_pace(runner, now)
        return math.inf if pace is None else pace.count_available(now)

    def next_at(self, runner, now):
        """Return when the next request may be sent."""
        pace = self._find_pace(runner, now)
        return now if pace is None else pace.next_at(now)

    def take(self, runner, now):
        """Count a request that is sent."""
        pace = self._find_pace(runner, now)
        if pace is not None:
            pace.take(now)

    def _find_pace(self, runner, now):
        rate = self.find_rate(runner)
        if rate == UNLIMITED:
            if self._paces:
                self._paces.pop(runner.incarnation, None)
            return None
        pace = self._paces.get(runner.incarnation)
        if pace is None:
            pace = self._paces[runner.incarnation] = pacing.Pace(rate, now)
            while len(self._paces) > MAX_ENDPOINTS:
                del self._paces[next(iter(self._paces))]
        pace.set_rate(rate, now)
        return pace


def _build_reports(limits, now):
    current = [
        LimitReport(*incarnation, limit.per_s, now - limit.named_at)
        for incarnation, limit in limits.items()
        if limit.per_s < UNLIMITED or now - limit.named_at < LIFTED_REPORT_S
    ]
    if len(current) > MAX_REPORTED:
        current.sort(key=lambda report: report.age_s)
    return current[:MAX_REPORTED]

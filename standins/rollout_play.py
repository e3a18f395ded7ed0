"""Play rollouts of good and bad versions with hosts and a controller."""

from __future__ import annotations

import math
import random
import typing

from persimmonroute.gateway import rollout_control
from persimmonroute.gateway.rollout_control import Phase
from persimmonroute.gateway import rollout_evidence
from persimmonroute.gateway import rollout_exposure
from persimmonroute.gateway import runners
from standins import gateway_fixtures as fixtures

BOUNDS = rollout_control.Bounds(0.1, 50.0, 5.0)
STEP_S = 0.1
# Evidence and plans are exchanged this often.
EXCHANGE_STEPS = 2
ROUTES = {'digest': 0.5, 'brief': 0.3, 'order': 0.2}
ROUTE_TIME_S = {'digest': 0.4, 'brief': 0.2, 'order': 0.09}
LOG_DEVIATION = 0.8
# Requests of the operators' services fail by themselves at times.
USUAL_FAILURES = {'digest': 0.01, 'brief': 0.01, 'order': 0.14}
HOSTS = 2
ENDPOINTS = 10
# Answers of a bad version after which operators expect a rollback.
BAD_ANSWERS = 50


class Fault(typing.NamedTuple):
    """Describe how a version is bad."""

    failures: float = 0.0
    slower: float = 1.0
    # Part of the order's time from which it is bad.
    begins: float = 0.0
    route: str | None = None
    # Requests a second at one endpoint from which it is bad.
    load: float = 0.0


class Disturbance(typing.NamedTuple):
    """Describe what hits all versions for a time."""

    begin_s: float
    end_s: float
    failures: float = 0.0
    slower: float = 1.0
    burst: float = 1.0


class Result(typing.NamedTuple):
    """Store how a rollout ended."""

    phase: Phase
    requests: int
    exposed: int
    bad: int
    # Bad answers, and seconds, until the rollback.
    ended_s: float
    reason: str


class RolloutPlay:
    """Play one rollout with hosts that follow one controller."""

    def __init__(self, seed, per_s, duration_s, fault=None, disturbance=None):
        self._rng = random.Random(seed)
        self._per_s = per_s
        self._duration_s = duration_s
        self._fault = fault
        self._disturbance = disturbance
        self._order = rollout_control.Order('llm', 'v2', duration_s, 7)
        self._control = rollout_control.RolloutControl(
            self._order, BOUNDS, 0.0
        )
        self._limits = [rollout_exposure.ExposureLimit() for _ in range(HOSTS)]
        self._views = [self._build_views(host) for host in range(HOSTS)]
        self._evidence = rollout_evidence.VersionEvidence()
        self._requests = self._exposed = self._bad = 0
        # Ends of the old requests in flight.
        self._old_ends = []
        self._sent = {}

    def run(self):
        """Return the Result."""
        now, step, plan = 0.0, 0, None
        while now < self._duration_s + 1.0:
            if step % EXCHANGE_STEPS == 0:
                plan = self._exchange(now)
                if plan.phase.final:
                    break
            for host in range(HOSTS):
                self._play_step(host, now)
            now += STEP_S
            step += 1
        return Result(
            plan.phase,
            self._requests,
            self._exposed,
            self._bad,
            now,
            plan.reason,
        )

    def _build_views(self, host):
        views = []
        for version in ('v1', 'v2'):
            for number in range(ENDPOINTS // HOSTS):
                record = fixtures.runner(f'{version}-{host}-{number}')
                views.append(
                    runners.RunnerView(record._replace(version=version), 0.0)
                )
        return views

    def _exchange(self, now):
        self._old_ends = [at for at in self._old_ends if at > now]
        plan = self._control.advance(
            rollout_control.Situation(
                now,
                self._evidence.judge('v2', now),
                self._requests,
                self._exposed,
                ENDPOINTS,
                ENDPOINTS,
                len(self._old_ends),
                True,
            )
        )
        self._control.record_phase(plan.phase, now)
        for limit in self._limits:
            limit.apply(plan, now)
        return plan

    def _play_step(self, host, now):
        rate = self._per_s / HOSTS * STEP_S
        if self._is_disturbed(now):
            rate *= self._disturbance.burst
        for _ in range(self._draw_count(rate)):
            route = self._rng.choices(
                list(ROUTES), weights=list(ROUTES.values())
            )[0]
            self._send(host, route, now)

    def _draw_count(self, mean):
        count, product = 0, self._rng.random()
        while product > math.exp(-mean):
            count += 1
            product *= self._rng.random()
        return count

    def _send(self, host, route, now):
        limit = self._limits[host]
        views = limit.filter(self._views[host], None, now)
        view = min(views, key=lambda v: self._sent.get(v.id, 0.0))
        version = view.record.version
        limit.record_grant(version)
        # Placement spreads by load; an old count is worth less.
        self._sent[view.id] = now + self._rng.random()
        self._requests += 1
        time_s = ROUTE_TIME_S[route] * self._rng.lognormvariate(
            0.0, LOG_DEVIATION
        )
        failures = USUAL_FAILURES[route]
        if self._is_disturbed(now):
            time_s *= self._disturbance.slower
            failures += self._disturbance.failures
        if version == 'v2':
            self._exposed += 1
            if self._is_bad(route, now):
                time_s *= self._fault.slower
                failures += self._fault.failures
        failed = self._rng.random() < failures
        if version == 'v1':
            self._old_ends.append(now + time_s)
        if version == 'v2' and self._fault and self._is_bad(route, now):
            self._bad += failed or self._fault.slower > 1.0
        self._evidence.record(version, route, failed, time_s, now + time_s)

    def _is_disturbed(self, now):
        played = self._disturbance
        return played is not None and played.begin_s <= now < played.end_s

    def _is_bad(self, route, now):
        fault = self._fault
        if fault is None or now < fault.begins * self._duration_s:
            return False
        if fault.route not in (None, route):
            return False
        if not fault.load:
            return True
        plan = self._limits[0].plan
        used = (plan.endpoints * HOSTS) or ENDPOINTS
        return plan.share * self._per_s / used >= fault.load

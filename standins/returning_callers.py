"""Simulate callers that return after refusals, without a network.

It plays bursts over the capacity on the admission of many gateways.
"""

from __future__ import annotations

import collections
import random
import typing

from persimmonroute.gateway import messages
from persimmonroute.gateway import model
from standins import admission_simulation as simulations
from standins import gateway_fixtures as fixtures

WORKSPACES = 16
# Share of the remaining time for which a caller waits at most.
MAX_RETRY_SHARE = 1 / 3
# Pause of a caller that ignores Retry-After, and how often it returns.
HASTY_PAUSE_S = 0.02
HASTY_RETURNS = 4
# Smaller differences of the remaining time are not seen as an age.
MIN_AGE_S = 0.03


class Phase(typing.NamedTuple):
    """Set how many times its usual rate each load has, from a time on."""

    begin_s: float
    factor: float


class CallerResult(typing.NamedTuple):
    """Store what one caller got in all of its attempts.

    status is on time or late, counted from the first attempt, refused or
    lost.
    """

    route: str
    tier: int
    workspace: str
    status: str
    refusals: int
    arrived_at: float
    ended_at: float
    hasty: bool
    # Length of the longest time in which the caller had an open request.
    waited_s: float


class Behaviour(typing.NamedTuple):
    """Describe the callers of a play."""

    # Share of callers that return at once and often.
    hasty_share: float = 0.0
    # How many times its usual load the first workspace sends.
    heavy_factor: float = 1.0
    # Whether endpoints report the cost of work, so that offers name callers.
    named: bool = True
    # Whether callers return to a gateway of the same region.
    regional: bool = False


class ReturningSimulation(simulations.AdmissionSimulation):
    """Play callers that return once, or at once and often."""

    def __init__(self, gateways, engines, loads, phases, behaviour, **options):
        super().__init__(gateways, engines, loads, **options)
        self.results = []
        self.behaviour = behaviour
        self._phases = phases
        self._begin = self.now
        # All plays of a seed have the same callers, whatever is decided.
        self._arrivals = random.Random(options.get('seed', 1))
        self._workspaces = [
            fixtures.workspace(f'desk-{number}')
            for number in range(WORKSPACES)
        ]
        if behaviour.named:
            self._report_costs()

    def ratio(self, results=None):
        """Return the refusals for each caller that ended refused."""
        chosen = self.results if results is None else results
        ended = sum(r.status == 'refused' for r in chosen)
        return sum(r.refusals for r in chosen) / max(ended, 1)

    def refused_again(self, results=None):
        """Return the refusals for each caller that was ever refused."""
        chosen = self.results if results is None else results
        ever = sum(r.refusals > 0 for r in chosen)
        return sum(r.refusals for r in chosen) / max(ever, 1)

    def shares_of(self, **fields):
        """Return the share of each status among the results with fields."""
        chosen = [
            r
            for r in self.results
            if all(getattr(r, name) == value for name, value in fields.items())
        ]
        counts = collections.Counter(r.status for r in chosen)
        return {s: n / len(chosen) for s, n in counts.items()}

    def receive_again(self, caller):
        """Send another attempt of a caller to any gateway."""
        alive = [g for g in self.gateways.values() if g.alive]
        if self.behaviour.regional and caller.region is not None:
            alive = [g for g in alive if _region_of(g) == caller.region]
        gateway = self.random.choice(alive)
        caller.region = _region_of(gateway)
        caller.attempt(gateway)

    def _report_costs(self):
        for gateway in self.gateways.values():
            for view in gateway.runner_registry:
                load = model.RunnerLoad(0, 0, view.record.slots, 100)
                gateway.runner_registry.record_load(view, load, self.now)

    def _factor(self):
        elapsed_s = self.now - self._begin
        return [p.factor for p in self._phases if p.begin_s <= elapsed_s][-1]

    def _schedule_arrival(self, load, end):
        most = max(p.factor for p in self._phases)
        heavy = self.behaviour.heavy_factor
        rate = load.per_s * most * (WORKSPACES - 1 + heavy) / WORKSPACES
        delay_s = self._arrivals.expovariate(rate)
        if self.now + delay_s < end:
            self.after(delay_s, self._arrive, load, end)

    def _arrive(self, load, end):
        self._schedule_arrival(load, end)
        most = max(p.factor for p in self._phases)
        if self._arrivals.random() > self._factor() / most:
            return
        weights = [self.behaviour.heavy_factor] + [1.0] * (WORKSPACES - 1)
        [workspace] = self._arrivals.choices(self._workspaces, weights)
        self.receive_again(
            Caller(
                self,
                load,
                workspace,
                self._arrivals.random() < self.behaviour.hasty_share,
                round(self._vary(load.prompt_tokens)),
                round(self._vary(load.output_tokens)),
            )
        )

    def _vary(self, mean):
        return max(self._arrivals.lognormvariate(0.0, 0.8) * mean * 0.73, 1.0)

    def route_of(self, load):
        """Return the route of a load."""
        return self._routes[load.route]


def _region_of(gateway):
    return simulations.REGIONS[gateway.failure_domain]


class Caller:
    """Follow one caller over its attempts."""

    def __init__(
        self,
        simulation,
        load,
        workspace,
        hasty,
        prompt_tokens,
        output_tokens,
    ):
        self.load = load
        self.arrived_at = simulation.now
        self.refusals = 0
        # Region of the last gateway.
        self.region = None
        self._simulation = simulation
        self._workspace = workspace
        self._hasty = hasty
        self._prompt_tokens = prompt_tokens
        self._output_tokens = output_tokens
        self._body = b'%d' % id(self) + b'-%r' % simulation.now
        self._waited_s = 0.0

    def attempt(self, gateway):
        """Send a request through a gateway."""
        now = self._simulation.now
        age_s = now - self.arrived_at
        request = fixtures.request(
            self.load.route,
            body=self._body,
            remaining_s=self.load.deadline_s - age_s,
            prompt_tokens=self._prompt_tokens,
            output_tokens=self._output_tokens,
        )
        pending = messages.PendingRequest(
            request,
            self._simulation.route_of(self.load),
            fixtures.SERVICE,
            self._workspace,
            now,
            age_s if age_s > MIN_AGE_S else 0.0,
        )
        call = CallerCall(self._simulation, gateway, pending, self)
        gateway.submit(pending, call.decide)

    def end(self, status, pending, first_at, retry_after_s):
        """Return after a refusal, or record the result."""
        now = self._simulation.now
        self._waited_s = max(self._waited_s, now - pending.arrived_at)
        if status == 'refused':
            self.refusals += 1
            pause_s = self._find_pause_s(retry_after_s, now)
            if pause_s is not None:
                self._simulation.after(
                    pause_s, self._simulation.receive_again, self
                )
                return
        if status == 'served':
            late = first_at > self.arrived_at + self.load.objective_s
            status = 'late' if late else 'on time'
        self._simulation.results.append(
            CallerResult(
                self.load.route,
                self.load.tier,
                self._workspace.name,
                status,
                self.refusals,
                self.arrived_at,
                now,
                self._hasty,
                self._waited_s,
            )
        )

    def _find_pause_s(self, retry_after_s, now):
        """Return how long to wait before a return; None for no return."""
        left_s = self.arrived_at + self.load.deadline_s - now
        returns = HASTY_RETURNS if self._hasty else 1
        if self.refusals > returns or left_s <= HASTY_PAUSE_S:
            return None
        if self._hasty:
            return HASTY_PAUSE_S
        return min(retry_after_s, left_s * MAX_RETRY_SHARE)


class CallerCall(simulations.Call):
    """Follow one attempt of a caller."""

    def __init__(self, simulation, gateway, pending, caller):
        super().__init__(simulation, gateway, pending, caller.load)
        self._caller = caller

    def _end(self, status, retry_after_s=None):
        if status in ('late', 'on time'):
            status = 'served'
        self._caller.end(status, self.pending, self._first_at, retry_after_s)

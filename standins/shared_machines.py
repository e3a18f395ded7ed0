"""Simulate endpoints that differ in speed and share their machines.

The requests at an endpoint share its speed; some endpoints slow down for a
moment, and tell so with the cost of work.
"""

from __future__ import annotations

import math
import typing

from persimmonroute.gateway import model
from standins import admission_simulation as simulations
from standins import gateway_fixtures as fixtures

SLOTS = 5
# Speeds relative to the mean; their mean is one.
SPEEDS = (0.6, 0.7, 0.8, 0.9, 1.0, 1.3, 1.7)
# Prompt tokens that an engine of usual speed reads in a second, and the work
# for one output token.
PREFILL_TOKENS_PER_S = 50_000.0
OUTPUT_TOKEN_S = 0.001
SLOW_FACTOR = 2.5
SLOW_S = 0.6
SLOW_SHARE = 0.15
# Reported costs are inaccurate by up to this share.
REPORT_ERROR = 0.1
PROMPT_TOKENS = 2950
PROMPT_SPREAD = 1.15
OUTPUT_SPREAD = 0.5
OUTPUT_TOKENS = 40
# Of responses whose lengths callers estimate: deviations of the logarithms of
# the length and of the estimate's error, and the most that callers allow.
HINTED_SPREAD = 1.4
HINT_ERROR = 0.5
MOST_OUTPUT_TOKENS = 3000
OBJECTIVE_S = 0.5
DEADLINE_S = 4.0
# Shares of the tiers 0, 1 and 2 among the requests.
TIER_SHARES = (0.3, 0.4, 0.3)


class Shares(typing.NamedTuple):
    """Store what callers got, as shares of their requests."""

    on_time: float
    late: float
    refused: float
    lost: float


class SharingEngine(simulations.Engine):
    """Run requests that share the speed of a machine."""

    def __init__(self, simulation, record, speed, reports_cost, growth):
        super().__init__(simulation, record, speed)
        self.reports_cost = reports_cost
        # How much each other request adds to the time of one; with 1 they
        # share a fixed speed.
        self.growth = growth
        # Overrides the reported cost, if set.
        self.false_cost_percent = None
        self.slow = False
        # Remaining seconds of work until the first byte and until the end,
        # by call.
        self._left = {}
        self._advanced_at = simulation.now
        # Increases with each change of the running requests or the speed.
        self._change = 0

    def start_ready(self):
        """Start queued calls while slots are free."""
        self._advance()
        while self.waiting and len(self._left) < self.record.slots:
            call = self.waiting.popleft()
            request = call.pending.request
            first_s = request.prompt_tokens / PREFILL_TOKENS_PER_S
            self._left[call] = (
                first_s,
                first_s
                + self._simulation.find_output(request) * OUTPUT_TOKEN_S,
            )
        self._schedule()

    def set_slow(self, slow):
        """Begin or end a slowdown of the machine."""
        self._advance()
        self.slow = slow
        self._schedule()

    def alternate(self):
        """Slow down for a moment, again and again."""
        pause_s = SLOW_S * (1 / SLOW_SHARE - 1)
        delay_s = self._simulation.random.expovariate(1 / pause_s)
        self._simulation.after(delay_s, self._slow_down)

    def _slow_down(self):
        self.set_slow(True)
        self._simulation.after(SLOW_S, self.set_slow, False)
        self._simulation.after(SLOW_S, self.alternate)

    def report_load(self):
        """Return the load with the present cost of work, if reported."""
        load = model.RunnerLoad(
            len(self._left), len(self.waiting), self.record.slots
        )
        if not self.reports_cost:
            return load
        error = self._simulation.random.uniform(-REPORT_ERROR, REPORT_ERROR)
        factor = SLOW_FACTOR if self.slow else 1.0
        percent = self.false_cost_percent or round(100 * factor * (1 + error))
        return load._replace(cost_percent=percent)

    def _rate(self):
        speed = self.speed / (SLOW_FACTOR if self.slow else 1.0)
        others = max(len(self._left) - 1, 0)
        return speed / (1 + self.growth * others)

    def _advance(self):
        now = self._simulation.now
        passed_s = now - self._advanced_at
        self._advanced_at = now
        if not self._left or self.crashed:
            return
        self.busy_s += passed_s
        done_s = passed_s * self._rate()
        for call, (first_s, end_s) in list(self._left.items()):
            left = (first_s - done_s, end_s - done_s)
            self._left[call] = left
            if first_s > 0 and left[0] <= 1e-9:
                self._left[call] = (0.0, left[1])
                call.on_first(self.record.version)
            if left[1] <= 1e-9:
                del self._left[call]
                self._underway.discard(call)
                self._simulation.after(0.0, call.on_end)

    def _schedule(self):
        self._change += 1
        if not self._left:
            return
        least_s = min(
            first_s if first_s > 0 else end_s
            for first_s, end_s in self._left.values()
        )
        self._simulation.after(
            max(least_s, 0.0) / self._rate() + 1e-9, self._pass, self._change
        )

    def _pass(self, change):
        if change == self._change and not self.crashed:
            self.start_ready()


class SharedMachineSimulation(simulations.AdmissionSimulation):
    """Play requests of very different sizes on shared machines."""

    output_tokens = OUTPUT_TOKENS

    def __init__(
        self, gateways, endpoints, load_share, reports_cost, seed=1, growth=1.0
    ):
        self._reports_cost = reports_cost
        self._growth = growth
        super().__init__(
            gateways,
            endpoints,
            _list_loads(endpoints, load_share, growth, self.output_tokens),
            seed=seed,
            slots=SLOTS,
        )

    def _add_engines(self, count, slots):
        for number in range(count):
            record = fixtures.runner(
                f'r{number}',
                slots=slots,
                failure_domain=simulations.DOMAINS[
                    number % len(simulations.DOMAINS)
                ],
            )
            engine = SharingEngine(
                self,
                record,
                SPEEDS[number % len(SPEEDS)],
                self._reports_cost,
                self._growth,
            )
            engine.alternate()
            self.engines[record.id] = engine
        records = [engine.record for engine in self.engines.values()]
        for gateway in self.gateways.values():
            gateway.runner_registry.apply(records, (), False, self.now)

    def find_output(self, request):
        """Return the output tokens that an endpoint writes."""
        return request.output_tokens

    def _vary(self, mean):
        return max(mean * self._spread(PROMPT_SPREAD), 1.0)

    def _vary_output(self, mean):
        return max(mean * self._spread(OUTPUT_SPREAD), 1.0)

    def _spread(self, deviation):
        """Return a log-normal factor with a mean of one."""
        return self.random.lognormvariate(-(deviation**2) / 2, deviation)

    def find_shares(self, since=0.0, tier=None, least_tokens=0):
        """Return the Shares of the requests that arrived since a time."""
        statuses = [
            outcome.status
            for outcome in self.outcomes
            if outcome.arrived_at >= since
            and tier in (None, outcome.load.tier)
            and outcome.prompt_tokens >= least_tokens
        ]
        return Shares(
            *(
                statuses.count(status) / max(len(statuses), 1)
                for status in ('on time', 'late', 'refused', 'lost')
            )
        )

    def find_large(self):
        """Return the prompt tokens of the smallest of the largest tenth."""
        sizes = sorted(outcome.prompt_tokens for outcome in self.outcomes)
        return sizes[math.ceil(len(sizes) * 0.9)]


class HintedOutputSimulation(SharedMachineSimulation):
    """Play responses of very different lengths, which callers estimate."""

    output_tokens = 300

    def __init__(self, *arguments, uses, **options):
        # Output tokens by attempt.
        self._outputs = {}
        super().__init__(*arguments, reports_cost=True, **options)
        for gateway in self.gateways.values():
            gateway.runner_registry.capacities.uses = uses

    def find_output(self, request):
        """Return the output tokens that an endpoint writes."""
        return self._outputs[request.attempt]

    def _build_request(self, load):
        output = max(load.output_tokens * self._spread(HINTED_SPREAD), 1.0)
        hint = output * self.random.lognormvariate(0.0, HINT_ERROR)
        request = fixtures.request(
            load.route,
            remaining_s=load.deadline_s,
            prompt_tokens=round(self._vary(load.prompt_tokens)),
            output_tokens=MOST_OUTPUT_TOKENS,
            output_hint=max(round(hint), 1),
        )
        self._outputs[request.attempt] = output
        return request

    def find_longest(self):
        """Return the outcomes of the tenth with the longest responses."""
        ranked = sorted(
            self.outcomes, key=lambda outcome: self._outputs[outcome.attempt]
        )
        return ranked[math.ceil(len(ranked) * 0.9) :]


def _list_loads(endpoints, load_share, growth, output_tokens):
    work_s = PROMPT_TOKENS / PREFILL_TOKENS_PER_S
    work_s += output_tokens * OUTPUT_TOKEN_S
    usable = 1 - SLOW_SHARE + SLOW_SHARE / SLOW_FACTOR
    running = SLOTS / (1 + growth * (SLOTS - 1))
    per_s = load_share * endpoints * usable * running / work_s
    return [
        simulations.Load(
            f'route-{tier}',
            tier,
            share * per_s,
            PROMPT_TOKENS,
            output_tokens,
            OBJECTIVE_S,
            DEADLINE_S,
        )
        for tier, share in enumerate(TIER_SHARES)
    ]

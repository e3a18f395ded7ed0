"""Run a scenario under a policy in the simulation and measure it."""

from __future__ import annotations

import collections
import json
import statistics
import typing

from persimmonroute.config import declarations
from persimmonroute.entry import board as entry_boards
from persimmonroute.entry import messages
from standins import endpoint_nodes
from standins import engine_model
from standins import shed_order
from standins import simulation as simulations
from tools.bench import bound
from tools.bench import policies
from tools.bench import traffic
from tools import deployment as deployments

SETTLE_S = 40.0
DEFAULT_RETRY_DELAY_S = 0.2
STEP_TIME_PER_REQUEST_S = 0.0005
CACHE_BLOCKS = 2000


class Result(typing.NamedTuple):
    """Record the measurements of one run."""

    scenario: str
    policy: str
    seed: int
    # Goodput by tier, and of all model requests together.
    goodput: dict[int, float]
    overall: float
    bound: float
    wasted: float
    order_violations: int
    unfairness: float
    bytes_between_regions: int
    recovery_s: float
    answers_per_second: list[float]


class BenchSimulation:
    """Simulate a deployment and run a scenario in it."""

    def __init__(self, deployment, scenario, policy, seed):
        self._scenario = scenario
        self._policy = policy
        self._seed = seed
        folder = deployments.ROOT / 'deploy' / deployment
        document = (folder / 'declarations.json').read_bytes()
        self._declared = declarations.parse_declarations(document)
        self._inventory = json.loads((folder / 'inventory.json').read_text())
        standins = json.loads((folder / 'standins.json').read_text())
        self._speeds = {
            item['instance']: _parse_speed(item['arguments'])
            for item in standins['endpoints']
            if item['program'].endswith('engine')
        }
        configuration = messages.ConfigurationReceived(1, document)
        self.simulation = simulations.Simulation(configuration)
        self._build()
        self._views = {}
        self._send_count = 0

    def run(self):
        """Run the scenario and return its Result."""
        simulation = self.simulation
        simulation.start()
        started_at = simulation.now
        source = traffic.Traffic(self._declared, self._scenario, self._seed)
        speeds = list(self._speeds.values())
        capacity = bound.capacity_rate(source, speeds)
        arrivals = source.draw(capacity)
        self._mark_poison(arrivals)
        for at, call in arrivals:
            simulation.schedule(at, self._send, call, 0)
        for action in self._scenario.actions:
            simulation.schedule(action.at_s, self._apply_action, action)
        simulation.run_until(started_at + self._scenario.seconds + SETTLE_S)
        return self._measure(started_at, arrivals, speeds)

    def _build(self):
        for item in self._inventory['instances']:
            locality = entry_boards.Locality(
                item['region'], item['failure_domain']
            )
            if item['kind'] == 'entry':
                self.simulation.add_entry(item['name'], locality)
                continue
            instance = messages.Instance(
                item['name'],
                item['service'],
                *locality,
                item['name'],
                False,
            )
            speed = self._speeds.get(item['name'])
            endpoint = (
                endpoint_nodes.ModelNode(self.simulation, speed)
                if speed
                else endpoint_nodes.PlainNode(self.simulation)
            )
            self.simulation.add_sidecar(instance, endpoint, self._build_core)
        for node in self.simulation.entries.values():
            node.make_routing = self._policy.make_routing

    def _build_core(self, instance, incarnation):
        kind = self._declared.services[instance.service]
        return policies.build_sidecar_core(
            self._policy, kind, instance, incarnation
        )

    def _mark_poison(self, arrivals):
        poison = frozenset(
            call.body
            for _, call in arrivals
            if call.body.startswith(b'poison')
        )
        for node in self.simulation.endpoints.values():
            node.poison = poison

    def _send(self, call, retries):
        entries = [n for n, e in self.simulation.entries.items() if e.alive]
        self._send_count += 1
        entry = entries[self._send_count % len(entries)]
        attempt_call = call._replace(request_id=f'{call.request_id}/{retries}')
        view = self.simulation.submit(attempt_call, entry)
        self._views.setdefault(call.request_id, []).append(view)
        if self._scenario.max_retries:
            self._retry_if_refused(call, retries, view)

    def _retry_if_refused(self, call, retries, view):
        if view.ended_at is None:
            self.simulation.schedule(
                0.05, self._retry_if_refused, call, retries, view
            )
            return
        refused = view.outcome == 'not-run'
        if not refused or retries >= self._scenario.max_retries:
            return
        delay_s = DEFAULT_RETRY_DELAY_S
        if self._scenario.honors_retry_after:
            delay_s = view.ended.retry_after_s or DEFAULT_RETRY_DELAY_S
        self.simulation.schedule(delay_s, self._send, call, retries + 1)

    def _apply_action(self, action):
        simulation = self.simulation
        models = sorted(self._speeds)
        if action.name == 'slow':
            simulation.endpoints[models[0]].slow_down(action.value)
        elif action.name == 'kill':
            simulation.endpoints[models[0]].crash()
        elif action.name == 'leave':
            simulation.leaving.add(models[0])
            for node in simulation.entries.values():
                simulation.schedule(2.0, node.list_instances)
        elif action.name == 'kill-entry':
            simulation.entries['entry-1'].kill()
        elif action.name == 'store-down':
            simulation.store.fault = 'down'
        elif action.name == 'heal':
            simulation.heal()
        elif action.name == 'cut':
            self._cut_regions()

    def _cut_regions(self):
        for entry in self.simulation.entries.values():
            for sidecar in self.simulation.sidecars.values():
                if entry.locality.region != sidecar.instance.region:
                    self.simulation.partition(entry.name, sidecar.name)

    def _measure(self, started_at, arrivals, speeds):
        good_by_tier = collections.defaultdict(list)
        by_workspace = collections.defaultdict(list)
        good_models, timeline = [], collections.defaultdict(list)
        for at, call in arrivals:
            views = self._views[call.request_id]
            work_class = self._declared.classes[call.class_name]
            good = any(is_good(view, work_class) for view in views)
            good_by_tier[work_class.tier].append(good)
            key = (work_class.name, call.workspace)
            by_workspace[key].append(good)
            if call.output_tokens:
                good_models.append(good)
                timeline[int(at)].append(good)
        nodes = [
            node
            for node in self.simulation.endpoints.values()
            if isinstance(node, endpoint_nodes.ModelNode)
        ]
        prefilled = sum(node.prefilled_tokens for node in nodes) or 1
        wasted = sum(
            node.repeated_tokens + node.model.wasted_tokens for node in nodes
        )
        shares = [
            statistics.mean(timeline[second]) if timeline[second] else 1.0
            for second in range(int(self._scenario.seconds))
        ]
        return Result(
            self._scenario.name,
            self._policy.name,
            self._seed,
            {
                tier: statistics.mean(good)
                for tier, good in sorted(good_by_tier.items())
            },
            statistics.mean(good_models),
            bound.goodput_bound(
                [call for _, call in arrivals if call.output_tokens],
                self._declared.classes,
                speeds,
                self._scenario,
            ),
            wasted / prefilled,
            shed_order.count_violations(self.simulation),
            _unfairness(by_workspace),
            self.simulation.bytes_between_regions,
            _recovery_s(self._scenario, shares),
            shares,
        )


def is_good(view, work_class):
    """Return whether a request was completed within its target."""
    if view.outcome != 'completed':
        return False
    target = work_class.target
    if target.answer_s is not None:
        return view.ended_at - view.sent_at <= target.answer_s
    steps = max(view.call.output_tokens - 1, 1)
    gap = (view.ended_at - view.first_at) / steps
    first_in_time = view.first_at - view.sent_at <= target.first_token_s
    return first_in_time and gap <= target.token_gap_s


def _unfairness(by_workspace):
    shares = collections.defaultdict(list)
    for (name, _), good in by_workspace.items():
        shares[name].append(statistics.mean(good))
    return max(max(values) - min(values) for values in shares.values())


def _recovery_s(scenario, shares):
    """Return the seconds from the first fault until goodput has recovered.

    Goodput has recovered once it stays at 95% of its mean before the fault.
    """
    if not scenario.actions:
        return 0.0
    at = int(scenario.actions[0].at_s)
    before = statistics.mean(shares[2:at]) if at > 3 else 1.0
    bad = [s for s in range(at, len(shares)) if shares[s] < 0.95 * before]
    return float(max(bad) + 1 - at) if bad else 0.0


def _parse_speed(arguments):
    options = dict(zip(arguments[::2], arguments[1::2]))
    return engine_model.EngineSpeed(
        float(options['--prefill']),
        float(options['--step']),
        STEP_TIME_PER_REQUEST_S,
        CACHE_BLOCKS,
    )

"""Turn planned requests into calls of the bench."""

from __future__ import annotations

from persimmonroute.entry import intake
from persimmonroute.entry import messages
from standins import engine_model
from tools import workload

PLAIN_SHARE = 0.15
BLOCK = engine_model.BLOCK_TOKENS
# Hashes of prefixes and prompts must not meet.
PREFIX_BASE = 10**15
SPAN = 100_000


class Traffic:
    """Draw the calls of a scenario from one seed."""

    def __init__(self, declared, scenario, seed):
        self._scenario = scenario
        self._workspaces = sorted(declared.workspaces)
        self._planner = workload.WorkloadPlanner(
            declared, seed, scenario.prefixes, PLAIN_SHARE
        )

    def draw(self, capacity_rate):
        """Return (time in seconds, call) pairs for a capacity in 1/s."""
        scenario, planner = self._scenario, self._planner
        planned = planner.plan_poisson(
            0.0, scenario.seconds, capacity_rate * scenario.load
        )
        if scenario.burst_tier:
            planned += planner.plan_poisson(
                scenario.burst_at_s,
                scenario.burst_s,
                capacity_rate * scenario.burst_load,
                scenario.burst_tier,
            )
        arrivals = [(p.at_s, self._build(p.plan)) for p in planned]
        for number in range(scenario.crashing):
            body = f'poison-{number}'.encode()
            call = self.draw_model()._replace(body=body)
            arrivals.append((2.0 + 3.0 * number, call))
        return sorted(arrivals)

    def draw_model(self):
        """Return one completion."""
        return self._build(self._planner.draw_model())

    def _build(self, plan):
        blocks = () if plan.plain else self._hash_blocks(plan)
        shared = len(blocks) - plan.prompt_tokens // BLOCK
        body = plan.name.encode()
        return messages.Call(
            request_id=plan.name,
            workspace=plan.workspace,
            class_name=plan.work_class.name,
            key=plan.name,
            method='POST',
            path='/',
            body=body,
            stream=True,
            prompt_tokens=plan.prompt_tokens + shared * BLOCK,
            output_tokens=plan.output_tokens,
            prefix_blocks=blocks,
            fingerprint=intake.fingerprint('POST', '/', body),
        )

    def _hash_blocks(self, plan):
        which = self._workspaces.index(plan.workspace) * SPAN + plan.prefix
        base = PREFIX_BASE + which * SPAN
        shared = self._scenario.prefix_tokens // BLOCK
        own = plan.number * SPAN
        return (
            *range(base, base + shared),
            *range(own, own + plan.prompt_tokens // BLOCK),
        )

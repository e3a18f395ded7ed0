"""Build the calls of a scenario from planned requests."""

from __future__ import annotations

from persimmonroute.entry import intake
from persimmonroute.entry import messages
from standins import engine_model
from tools import workload

PLAIN_SHARE = 0.15
BLOCK_TOKENS = engine_model.BLOCK_TOKENS
# Keeps the block hashes of shared prefixes and of prompts distinct.
PREFIX_HASH_BASE = 10**15
HASH_RANGE = 100_000


class Traffic:
    """Draw the random calls of a scenario from one seed."""

    def __init__(self, declared, scenario, seed):
        self._scenario = scenario
        self._workspaces = sorted(declared.workspaces)
        self._planner = workload.WorkloadPlanner(
            declared, seed, scenario.prefixes, PLAIN_SHARE
        )

    def draw(self, capacity_rate):
        """Return sorted (arrival in s, call) pairs for a capacity in 1/s."""
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
        """Return one random completion."""
        return self._build(self._planner.draw_model())

    def _build(self, plan):
        blocks = () if plan.plain else self._hash_blocks(plan)
        shared = len(blocks) - plan.prompt_tokens // BLOCK_TOKENS
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
            prompt_tokens=plan.prompt_tokens + shared * BLOCK_TOKENS,
            output_tokens=plan.output_tokens,
            prefix_blocks=blocks,
            fingerprint=intake.fingerprint('POST', '/', body),
        )

    def _hash_blocks(self, plan):
        prefix_index = (
            self._workspaces.index(plan.workspace) * HASH_RANGE + plan.prefix
        )
        base = PREFIX_HASH_BASE + prefix_index * HASH_RANGE
        shared = self._scenario.prefix_tokens // BLOCK_TOKENS
        prompt_base = plan.number * HASH_RANGE
        return (
            *range(base, base + shared),
            *range(
                prompt_base, prompt_base + plan.prompt_tokens // BLOCK_TOKENS
            ),
        )

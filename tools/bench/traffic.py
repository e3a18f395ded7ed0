"""Draw the requests of a scenario."""

from __future__ import annotations

import random
import typing

from persimmonroute.entry import intake
from persimmonroute.entry import messages
from standins import engine_model
from tools import workload

PLAIN_SHARE = 0.15
BLOCK = engine_model.BLOCK_TOKENS


class Arrival(typing.NamedTuple):
    """Pair a request with its time in seconds and its entry."""

    at_s: float
    call: messages.Call


class Traffic:
    """Draw calls of all classes from one seed."""

    def __init__(self, declared, scenario, seed):
        self._declared = declared
        self._scenario = scenario
        self._random = random.Random(seed)
        self._workspaces = sorted(declared.workspaces)
        self._numbers = 0
        classes = sorted(declared.classes.values())
        self._models = [c for c in classes if self._is_model(c)]
        self._plains = [c for c in classes if not self._is_model(c)]

    def draw(self, capacity_rate):
        """Return the arrivals of the scenario for a capacity in 1/s."""
        scenario = self._scenario
        arrivals = self._poisson(
            0.0, scenario.seconds, capacity_rate * scenario.load
        )
        if scenario.burst_tier:
            arrivals += self._poisson(
                scenario.burst_at_s,
                scenario.burst_s,
                capacity_rate * scenario.burst_load,
                scenario.burst_tier,
            )
        for number in range(scenario.crashing):
            at = self._random.uniform(2.0, scenario.seconds / 2)
            call = self.draw_model(self._models[0])
            body = f'poison-{number}'.encode()
            arrivals.append(Arrival(at, call._replace(body=body)))
        return sorted(arrivals)

    def draw_model(self, work_class=None, tier=None):
        """Return a model call of a class, or of a weighted random one."""
        chance = self._random
        weights = [
            workload.LENGTHS_BY_TIER[c.tier].weight for c in self._models
        ]
        if tier is not None:
            work_class = next(c for c in self._models if c.tier == tier)
        work_class = work_class or chance.choices(self._models, weights)[0]
        lengths = workload.LENGTHS_BY_TIER[work_class.tier]
        own = chance.randint(lengths.prompt_low, lengths.prompt_high)
        output = chance.randint(lengths.output_low, lengths.output_high)
        workspace = chance.choice(self._workspaces)
        blocks = self._prefix(workspace) if own > lengths.prompt_low else ()
        number = self._next_number()
        blocks += tuple(
            number * 100_000 + index for index in range(own // BLOCK)
        )
        return self._call(
            work_class,
            workspace,
            number,
            prompt_tokens=own + (len(blocks) - own // BLOCK) * BLOCK,
            output_tokens=output,
            prefix_blocks=blocks,
        )

    def _draw(self, tier):
        if tier is None and self._random.random() < PLAIN_SHARE:
            work_class = self._random.choice(self._plains)
            workspace = self._random.choice(self._workspaces)
            return self._call(work_class, workspace, self._next_number())
        return self.draw_model(tier=tier)

    def _poisson(self, begin, seconds, rate, tier=None):
        arrivals = []
        at = begin + self._random.expovariate(rate)
        while at < begin + seconds:
            arrivals.append(Arrival(at, self._draw(tier)))
            at += self._random.expovariate(rate)
        return arrivals

    def _prefix(self, workspace):
        index = self._workspaces.index(workspace)
        which = self._random.randrange(self._scenario.prefixes)
        base = 10**15 + (index * 1000 + which) * 10_000
        count = self._scenario.prefix_tokens // BLOCK
        return tuple(base + number for number in range(count))

    def _call(
        self,
        work_class,
        workspace,
        number,
        prompt_tokens=0,
        output_tokens=0,
        prefix_blocks=(),
    ):
        name = f'{work_class.name}-{number}'
        body = name.encode()
        return messages.Call(
            request_id=name,
            workspace=workspace,
            class_name=work_class.name,
            key=name,
            method='POST',
            path='/',
            body=body,
            stream=True,
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            prefix_blocks=prefix_blocks,
            fingerprint=intake.fingerprint('POST', '/', body),
        )

    def _next_number(self):
        self._numbers += 1
        return self._numbers

    def _is_model(self, work_class):
        return self._declared.services[work_class.service] == 'model'

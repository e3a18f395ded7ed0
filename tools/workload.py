"""Plan a mixed workload from the declared classes."""

from __future__ import annotations

import random
import typing

from persimmonroute.config import declarations

PLAIN_SHARE = 0.25


class LengthRange(typing.NamedTuple):
    """Bound the lengths of a tier's requests, in tokens.

    The weight is the relative frequency of the tier.
    """

    prompt_low: int
    prompt_high: int
    output_low: int
    output_high: int
    weight: int


LENGTHS_BY_TIER = {
    1: LengthRange(80, 400, 20, 40, 4),
    2: LengthRange(200, 1000, 30, 60, 3),
    3: LengthRange(500, 2000, 40, 80, 2),
    4: LengthRange(4000, 8000, 60, 120, 1),
}


class RequestPlan(typing.NamedTuple):
    """Describe one request, independent of how it is sent."""

    number: int
    work_class: declarations.WorkClass
    plain: bool
    workspace: str
    # Index of the workspace's shared prefix that begins the prompt.
    prefix: int
    # Tokens of the prompt after the shared prefix.
    prompt_tokens: int
    output_tokens: int

    @property
    def name(self):
        """Return a name that is unique in the workload."""
        return f'{self.work_class.name}-{self.number}'


class PlannedArrival(typing.NamedTuple):
    """Pair a request with its arrival time in seconds."""

    at_s: float
    plan: RequestPlan


class WorkloadPlanner:
    """Draw random requests of all classes from one seed."""

    def __init__(self, declared, seed, prefixes=1, plain_share=PLAIN_SHARE):
        self._random = random.Random(seed)
        self._prefixes = prefixes
        self._plain_share = plain_share
        self._workspaces = sorted(declared.workspaces)
        self._number = 0
        classes = sorted(declared.classes.values())
        kinds = declared.services
        self._model_classes = [
            c for c in classes if kinds[c.service] == 'model'
        ]
        self._plain_classes = [
            c for c in classes if kinds[c.service] == 'plain'
        ]

    def plan_uniform(self, count, seconds):
        """Return arrivals at uniformly distributed times, sorted."""
        times = sorted(self._random.uniform(0, seconds) for _ in range(count))
        return [PlannedArrival(at, self.draw()) for at in times]

    def plan_poisson(self, start_s, seconds, rate, tier=None):
        """Return Poisson arrivals at a rate in 1/s, of one tier if given."""
        arrivals = []
        at = start_s + self._random.expovariate(rate)
        while at < start_s + seconds:
            plan = self.draw() if tier is None else self.draw_model(tier)
            arrivals.append(PlannedArrival(at, plan))
            at += self._random.expovariate(rate)
        return arrivals

    def draw(self):
        """Return a random request of any class."""
        if self._random.random() >= self._plain_share:
            return self.draw_model()
        work_class = self._random.choice(self._plain_classes)
        return self._build(work_class, True, 0, 0)

    def draw_model(self, tier=None):
        """Return a random completion, of one tier if given."""
        classes = [c for c in self._model_classes if tier in (None, c.tier)]
        weights = [LENGTHS_BY_TIER[c.tier].weight for c in classes]
        work_class = self._random.choices(classes, weights)[0]
        lengths = LENGTHS_BY_TIER[work_class.tier]
        return self._build(
            work_class,
            False,
            self._random.randint(lengths.prompt_low, lengths.prompt_high),
            self._random.randint(lengths.output_low, lengths.output_high),
        )

    def _build(self, work_class, plain, prompt_tokens, output_tokens):
        self._number += 1
        return RequestPlan(
            self._number,
            work_class,
            plain,
            self._random.choice(self._workspaces),
            self._random.randrange(self._prefixes),
            prompt_tokens,
            output_tokens,
        )

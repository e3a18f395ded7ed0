"""Plan a mixed workload from the declared classes."""

from __future__ import annotations

import json
import random
import typing

from standins import callers

SHARED_PREFIX_TOKENS = 512
CHARACTERS_PER_TOKEN = 4
STREAMED_SHARE = 0.7


class LengthRange(typing.NamedTuple):
    """Bound the lengths of a tier's requests, in tokens."""

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


class PlannedArrival(typing.NamedTuple):
    """Pair a request with its time of arrival in seconds."""

    at_s: float
    call: callers.PlannedCall


class WorkloadPlanner:
    """Draw requests of all classes from one seed."""

    def __init__(self, declared, seed):
        self._declared = declared
        self._random = random.Random(seed)
        self._workspaces = sorted(declared.workspaces)
        self._prefixes = {
            workspace: self._text(SHARED_PREFIX_TOKENS)
            for workspace in self._workspaces
        }
        self._classes = sorted(declared.classes.values())
        self._weights = [LENGTHS_BY_TIER[c.tier].weight for c in self._classes]

    def plan(self, count, seconds):
        """Return requests that arrive at random over some seconds."""
        times = sorted(self._random.uniform(0, seconds) for _ in range(count))
        return [
            PlannedArrival(at, self._draw(index))
            for index, at in enumerate(times)
        ]

    def _draw(self, index):
        work_class = self._random.choices(self._classes, self._weights)[0]
        workspace = self._random.choice(self._workspaces)
        token = self._random.getrandbits(32)
        request_id = f'{work_class.name}-{index}-{token:08x}'
        if self._declared.services[work_class.service] == 'plain':
            return self._draw_plain(work_class, workspace, request_id)
        return self._draw_completion(work_class, workspace, request_id)

    def _draw_plain(self, work_class, workspace, request_id):
        body = {'id': request_id, 'quantity': self._random.randint(1, 99)}
        return callers.PlannedCall(
            request_id,
            workspace,
            work_class.name,
            work_class.service,
            True,
            'POST',
            f'/{work_class.name}s',
            json.dumps(body).encode(),
            False,
            '',
            0,
        )

    def _draw_completion(self, work_class, workspace, request_id):
        lengths = LENGTHS_BY_TIER[work_class.tier]
        size = self._random.randint(lengths.prompt_low, lengths.prompt_high)
        prompt = f'{request_id} {self._text(size)}'
        if size > SHARED_PREFIX_TOKENS:
            prompt = self._prefixes[workspace] + prompt
        output = self._random.randint(lengths.output_low, lengths.output_high)
        stream = self._random.random() < STREAMED_SHARE
        body = {
            'model': work_class.service,
            'prompt': prompt,
            'max_tokens': output,
            'stream': stream,
            'user': request_id,
        }
        return callers.PlannedCall(
            request_id,
            workspace,
            work_class.name,
            work_class.service,
            False,
            'POST',
            '/v1/completions',
            json.dumps(body).encode(),
            stream,
            prompt,
            output,
        )

    def _text(self, tokens):
        letters = 'abcdefghijklmnopqrstuvwxyz     '
        size = tokens * CHARACTERS_PER_TOKEN
        return ''.join(self._random.choices(letters, k=size))

"""Build the HTTP requests of a planned workload."""

from __future__ import annotations

import json
import random

from standins import callers

SHARED_PREFIX_TOKENS = 512
CHARACTERS_PER_TOKEN = 4
STREAMED_SHARE = 0.7
PROMPT_ALPHABET = 'abcdefghijklmnopqrstuvwxyz     '


class HttpWorkload:
    """Build HTTP requests with random prompts from one seed."""

    def __init__(self, seed):
        self._random = random.Random(seed)
        self._prefixes: dict[tuple[str, int], str] = {}

    def build(self, plan):
        """Return the PlannedCall of a RequestPlan."""
        suffix = self._random.getrandbits(32)
        request_id = f'{plan.name}-{suffix:08x}'
        if plan.plain:
            body = {'id': request_id, 'quantity': plan.number}
            path = f'/{plan.work_class.name}s'
            return self._build_call(plan, request_id, path, body)
        return self._build_completion(plan, request_id)

    def _build_completion(self, plan, request_id):
        prompt = (
            self._shared_prefix(plan)
            + f'{request_id} '
            + self._generate_text(plan.prompt_tokens)
        )
        body = {
            'model': plan.work_class.service,
            'prompt': prompt,
            'max_tokens': plan.output_tokens,
            'stream': self._random.random() < STREAMED_SHARE,
            'user': request_id,
        }
        return self._build_call(plan, request_id, '/v1/completions', body)

    def _shared_prefix(self, plan):
        key = (plan.workspace, plan.prefix)
        if key not in self._prefixes:
            self._prefixes[key] = self._generate_text(SHARED_PREFIX_TOKENS)
        return self._prefixes[key]

    def _build_call(self, plan, request_id, path, body):
        return callers.PlannedCall(
            request_id,
            plan.workspace,
            plan.work_class.name,
            plan.work_class.service,
            plan.plain,
            'POST',
            path,
            json.dumps(body).encode(),
            body.get('stream', False),
            body.get('prompt', ''),
            plan.output_tokens,
        )

    def _generate_text(self, tokens):
        size = tokens * CHARACTERS_PER_TOKEN
        return ''.join(self._random.choices(PROMPT_ALPHABET, k=size))

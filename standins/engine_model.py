"""Simulate a batching engine without I/O or a clock."""

from __future__ import annotations

import collections
import typing

import xxhash

BLOCK_TOKENS = 64
PREFILL_CHUNK_TOKENS = 512


class EngineSpeed(typing.NamedTuple):
    """Describe the speed and prefix cache size of an engine."""

    prefill_tokens_per_s: float
    # A step takes step_base_s plus step_request_s per decoding request.
    step_base_s: float
    step_request_s: float
    cache_blocks: int


class Token(typing.NamedTuple):
    """Represent one generated token; index counts from 0."""

    request_id: str
    index: int
    last: bool


class _Sequence:
    def __init__(self, request_id, blocks, prompt_tokens, output_tokens):
        self.request_id = request_id
        self.blocks = blocks
        self.prompt_tokens = prompt_tokens
        self.remaining_prefill = prompt_tokens
        self.cached_tokens = 0
        self.output_tokens = output_tokens
        self.generated = 0


class EngineModel:
    """Simulate continuous batching step by step.

    All requests are admitted; prefill runs first-in, first-out in chunks
    that share the steps with decoding.
    """

    def __init__(self, speed):
        self.speed = speed
        self.slowdown = 1.0
        self._prefilling: collections.deque[_Sequence] = collections.deque()
        self._decoding: dict[str, _Sequence] = {}
        self._cache = collections.OrderedDict()
        self.prefilled_tokens = 0
        self.wasted_tokens = 0

    @property
    def in_progress(self):
        """Return the number of requests in progress."""
        return len(self._prefilling) + len(self._decoding)

    def submit(self, request_id, blocks, prompt_tokens, output_tokens):
        """Admit a request and return the number of cached prompt tokens."""
        sequence = _Sequence(request_id, blocks, prompt_tokens, output_tokens)
        sequence.cached_tokens = self._find_cached(blocks)
        sequence.remaining_prefill = max(
            prompt_tokens - sequence.cached_tokens, 1
        )
        self._prefilling.append(sequence)
        return sequence.cached_tokens

    def cancel(self, request_id):
        """Drop a request in progress."""
        sequence = self._decoding.pop(request_id, None)
        if sequence is None:
            for queued in list(self._prefilling):
                if queued.request_id == request_id:
                    self._prefilling.remove(queued)
                    sequence = queued
        if sequence is not None:
            done = sequence.prompt_tokens - sequence.cached_tokens
            self.wasted_tokens += max(done - sequence.remaining_prefill, 0)

    def step(self):
        """Run one step; return its duration in seconds and its tokens."""
        tokens = [self._decode(s) for s in list(self._decoding.values())]
        seconds = self.speed.step_base_s
        seconds += self.speed.step_request_s * len(tokens)
        budget = PREFILL_CHUNK_TOKENS
        while self._prefilling and budget > 0:
            sequence = self._prefilling[0]
            done = min(sequence.remaining_prefill, budget)
            sequence.remaining_prefill -= done
            budget -= done
            self.prefilled_tokens += done
            seconds += done / self.speed.prefill_tokens_per_s
            if sequence.remaining_prefill == 0:
                self._prefilling.popleft()
                self._add_to_cache(sequence.blocks)
                self._decoding[sequence.request_id] = sequence
                tokens.append(self._decode(sequence))
        return seconds * self.slowdown, tokens

    def _decode(self, sequence):
        index = sequence.generated
        sequence.generated += 1
        last = sequence.generated >= sequence.output_tokens
        if last:
            self._decoding.pop(sequence.request_id, None)
        return Token(sequence.request_id, index, last)

    def count_cached(self, blocks):
        """Return the number of leading blocks in the prefix cache."""
        for count, block in enumerate(blocks):
            if block not in self._cache:
                return count
        return len(blocks)

    def _find_cached(self, blocks):
        count = self.count_cached(blocks)
        for block in blocks[:count]:
            self._cache.move_to_end(block)
        return count * BLOCK_TOKENS

    def _add_to_cache(self, blocks):
        for block in blocks:
            self._cache[block] = None
            self._cache.move_to_end(block)
        while len(self._cache) > self.speed.cache_blocks:
            self._cache.popitem(last=False)


def response_words(prompt, count):
    """Return the words expected as the response to a prompt."""
    digest = xxhash.xxh3_64_hexdigest(prompt.encode())[:8]
    return [f'{digest}-{index} ' for index in range(count)]

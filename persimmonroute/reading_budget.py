"""Bound the time and memory that responses of other processes may take.

A faulty endpoint may write without end, or in pieces of a byte each, to many
requests at once. Time is shared by all connections of a process: parsing that
takes long goes on only while the rest of the process gets its share. Memory is
that of responses that are kept before any of them is relayed. Made for some
hundred such responses at once in the memory of a small instance.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import time

from persimmonroute import clock

MEGABYTE = 1_000_000
# Share of the processor for parsing that takes long, and what may be used of
# it at once.
LONG_PARSING_SHARE = 0.4
BURST_S = 0.02
# Parsing that takes no longer at a time is not counted.
TURN_S = 0.001
# Share of the memory beside the process's own for responses that are kept.
RESPONSE_SHARE = 0.2
# Small pieces are joined to parts of this size.
PART_BYTES = 16_384
# Each response may keep so much, whatever the others do.
LEAST_BYTES = 16_384
# Memory for responses where the settings state none.
DEFAULT_RESPONSE_BYTES = 64 * MEGABYTE
MIN_RESPONSE_BYTES = 4 * MEGABYTE


class TimeBudget:
    """Share the time of a process between long parsing and all else."""

    def __init__(self):
        self._used_s = 0.0
        self._at = -math.inf

    def take(self, seconds, now):
        """Count used time; return for how long to wait before using more."""
        elapsed_s = max(now - self._at, 0.0)
        left_s = max(self._used_s - LONG_PARSING_SHARE * elapsed_s, 0.0)
        self._used_s, self._at = left_s + seconds, now
        return max(self._used_s - BURST_S, 0.0) / LONG_PARSING_SHARE


class Turn:
    """Measure how long a connection has used the processor."""

    def __init__(self, budget):
        self._budget = budget
        self._used_s = 0.0

    @property
    def over(self):
        """Return whether others have to get their turn."""
        return self._used_s >= TURN_S

    @contextlib.contextmanager
    def measure(self):
        """Measure the body, which must not wait."""
        began_at = time.perf_counter()
        try:
            yield
        finally:
            self._used_s += time.perf_counter() - began_at

    def begin(self):
        """Begin a new turn, as others had theirs."""
        self._used_s = 0.0

    async def give_way(self):
        """Let others go on, for as long as the budget asks."""
        wait_s = self._budget.take(self._used_s, clock.now_s())
        self.begin()
        await asyncio.sleep(wait_s)


class KeptBytes:
    """Count what one response keeps."""

    def __init__(self, memory):
        self._memory = memory
        self._size = 0

    @property
    def size(self):
        """Return how much is kept."""
        return self._size

    @property
    def allowed(self):
        """Return whether the response may keep so much."""
        return self._size <= LEAST_BYTES or not self._memory.exceeded

    def set(self, size):
        """Set the size of what is kept."""
        self._memory.used += size - self._size
        self._size = size


class KeptBody(KeptBytes):
    """Keep the begin of a body, in parts that the allocator can reuse."""

    def __init__(self, memory):
        super().__init__(memory)
        self._parts = []

    def add(self, data):
        """Keep some data."""
        parts = self._parts
        if parts and len(parts[-1]) + len(data) <= PART_BYTES:
            parts[-1] += data
        else:
            parts.append(bytearray(data))
        self.set(self._size + len(data))

    def take(self):
        """Return the parts, which are not kept any more."""
        parts, self._parts = self._parts, []
        self.set(0)
        return [bytes(part) for part in parts]


class ResponseMemory:
    """Bound what all responses of a process keep together."""

    def __init__(self, limit_bytes=DEFAULT_RESPONSE_BYTES):
        self.limit_bytes = limit_bytes
        self.used = 0

    @property
    def exceeded(self):
        """Return whether no response may keep more than the least."""
        return self.used > self.limit_bytes

    @contextlib.contextmanager
    def hold(self, kind=KeptBytes):
        """Yield KeptBytes, or others of a kind, that end with the body."""
        kept = kind(self)
        try:
            yield kept
        finally:
            kept.set(0)


def derive_response_bytes(memory_mb, own_memory_mb):
    """Return how much responses may keep in an instance.

    memory_mb is None if the settings do not state it.
    """
    if memory_mb is None:
        return DEFAULT_RESPONSE_BYTES
    spare = max(memory_mb - own_memory_mb, 0) * MEGABYTE
    return max(RESPONSE_SHARE * spare, MIN_RESPONSE_BYTES)


# Of all connections of the process.
PROCESS_TIME = TimeBudget()

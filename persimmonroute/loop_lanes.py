"""Run what keeps a process in touch before the work of its callers.

An event loop runs its callbacks in order of arrival. With more callers than a
process can serve, a change of the configuration, a report, a health check or a
stop waits behind all of them at each of its steps.
"""

from __future__ import annotations

import asyncio
import collections
import contextvars
import enum


class Lane(enum.Enum):
    """Name what a callback is for."""

    CONTROL = 'control'
    CALLERS = 'callers'


# What a task or callback inherits from whoever started it.
lane = contextvars.ContextVar('lane', default=Lane.CONTROL)
# Callbacks of callers between two looks at sockets and timers.
CALLERS_PER_STEP = 16
# Callbacks of the control lane after which one of callers runs in any case.
CONTROL_IN_A_ROW = 32


def build_context(chosen):
    """Return a copy of the present context with a lane."""
    context = contextvars.copy_context()
    context.run(lane.set, chosen)
    return context


async def run_in(chosen, coroutine):
    """Return the result of a coroutine that runs in a lane."""
    loop = asyncio.get_running_loop()
    context = build_context(chosen)
    return await loop.create_task(coroutine, context=context)


class ReadyQueue:
    """Order the callbacks that are ready, as the deque of a loop."""

    def __init__(self):
        self._control = collections.deque()
        self._callers = collections.deque()
        self._control_in_a_row = 0
        self._queued_ids = set()

    def __len__(self):
        """Return how many callbacks run before the next look at sockets."""
        callers = min(len(self._callers), CALLERS_PER_STEP)
        return len(self._control) + callers

    def __contains__(self, handle):
        """Return whether a callback waits to run."""
        return id(handle) in self._queued_ids

    @property
    def waiting_callers(self):
        """Return the number of callbacks in the callers' lane."""
        return len(self._callers)

    def append(self, handle):
        """Add a callback at the end of its lane."""
        self._queued_ids.add(id(handle))
        if handle._context.get(lane) is Lane.CALLERS:
            self._callers.append(handle)
        else:
            self._control.append(handle)

    def popleft(self):
        """Remove and return the next callback."""
        handle = self._take_next()
        self._queued_ids.discard(id(handle))
        return handle

    def clear(self):
        """Remove all callbacks."""
        self._control.clear()
        self._callers.clear()
        self._queued_ids.clear()

    def _take_next(self):
        is_turn_of_callers = self._control_in_a_row >= CONTROL_IN_A_ROW
        if self._control and not (is_turn_of_callers and self._callers):
            self._control_in_a_row += 1
            return self._control.popleft()
        self._control_in_a_row = 0
        return self._callers.popleft()


class LaneLoop(asyncio.SelectorEventLoop):
    """Run the callbacks of the control lane first."""

    def __init__(self, selector=None):
        super().__init__(selector)
        # BaseEventLoop offers no way to order its callbacks but this queue.
        self._ready = ReadyQueue()

    def _add_callback(self, handle):
        # A socket stays ready, and is reported again, until its callback ran.
        if handle not in self._ready:
            super()._add_callback(handle)

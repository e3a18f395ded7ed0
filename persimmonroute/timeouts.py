"""Time out awaited work, but not because this process stood still."""

from __future__ import annotations

import asyncio
import contextlib

# A timer that fires later than this was held up with the whole process.
MAX_TIMER_DELAY_S = 0.05
# Time to process what arrived while the process stood still.
CATCH_UP_S = 0.2


@contextlib.asynccontextmanager
async def timeout(seconds, find_extension_s=lambda: 0.0):
    """Raise TimeoutError if the body takes longer; None for no limit.

    At the limit find_extension_s is called once, and returns by how many
    seconds the limit is extended.

    After a suspension all timers are due at once, before the data that has
    arrived meanwhile is read. The process therefore runs for the last
    CATCH_UP_S of a limit, also if it stood still before. It gets them once,
    as a process that is always slow has to keep its limits.
    """
    async with asyncio.timeout(None) as scope:
        if seconds is None:
            yield scope
            return
        loop = asyncio.get_running_loop()
        last_s = min(seconds, CATCH_UP_S)
        due_at = loop.time() + seconds
        caught_up = False

        def is_late(at):
            return loop.time() - at > MAX_TIMER_DELAY_S

        def end_body():
            scope.reschedule(loop.time())

        def on_nearly_due():
            nonlocal timer, due_at, caught_up
            caught_up = is_late(due_at - last_s)
            due_at = max(due_at, loop.time() + last_s)
            timer = loop.call_at(due_at, on_due)

        def on_due():
            nonlocal timer
            extension_s = find_extension_s()
            if is_late(due_at) and not caught_up:
                extension_s = max(extension_s, CATCH_UP_S)
            if extension_s > 0:
                timer = loop.call_later(extension_s, end_body)
            else:
                end_body()

        timer = loop.call_at(due_at - last_s, on_nearly_due)
        try:
            yield scope
        finally:
            timer.cancel()

"""Time out awaited work, but not because this process stood still."""

from __future__ import annotations

import asyncio
import contextlib
import math

# A timer that fires later than this was held up with the whole process.
MAX_TIMER_DELAY_S = 0.05
# Time to process what arrived while the process stood still.
CATCH_UP_S = 0.2
# Time between two stand-stills that are made up for, so that limits hold in a
# process that is always slow.
CATCH_UP_PAUSE_S = 1.0


class Limit:
    """Count the seconds of a time limit, without a stand-still at its end.

    After a suspension all timers are due at once, before the data that has
    arrived meanwhile is read. The process therefore runs for the last
    CATCH_UP_S of a limit, also if it stood still before. It gets them once,
    as a process that is always slow has to keep its limits. A limit never
    passes later than latest_at.
    """

    def __init__(self, due_at, seconds, latest_at=math.inf):
        self._due_at = due_at
        self._latest_at = latest_at
        self._last_s = min(max(seconds, 0.0), CATCH_UP_S)
        self._nearly_due = False
        self._caught_up = False

    @property
    def next_at(self):
        """Return when has_passed has to be called, in seconds."""
        if self._nearly_due:
            return self._due_at
        return self._due_at - self._last_s

    def has_passed(self, now):
        """Return whether the limit has passed; if not, next_at is new."""
        if now < self.next_at:
            return False
        late = now - self.next_at > MAX_TIMER_DELAY_S
        if not self._nearly_due:
            self._nearly_due = True
            self._caught_up = late
            self._postpone_to(max(self._due_at, now + self._last_s))
        elif late and not self._caught_up:
            self._caught_up = True
            self._postpone_to(now + CATCH_UP_S)
        return now >= self._due_at

    def _postpone_to(self, due_at):
        self._due_at = min(due_at, self._latest_at)


class CatchUp:
    """Tell a periodic task to end nothing until what has arrived is read."""

    def __init__(self, interval_s):
        self._max_gap_s = 2 * interval_s + MAX_TIMER_DELAY_S
        self._ran_at = math.inf
        self._until = -math.inf

    def is_active(self, now):
        """Return whether the process stood still just before.

        It has to be called each time the task runs.
        """
        stood_still = now - self._ran_at > self._max_gap_s
        self._ran_at = now
        if stood_still and now > self._until + CATCH_UP_PAUSE_S:
            self._until = now + CATCH_UP_S
        return now < self._until


def end(scope):
    """Time out the body of timeout() or asyncio.timeout() now."""
    if not scope.expired():
        scope.reschedule(asyncio.get_running_loop().time())


@contextlib.asynccontextmanager
async def timeout(seconds, find_extension_s=lambda: 0.0):
    """Raise TimeoutError if the body takes longer; None for no limit.

    The seconds count as in a Limit. At the end of it find_extension_s is
    called once, and returns by how many seconds the limit is extended.
    """
    async with asyncio.timeout(None) as scope:
        if seconds is None:
            yield scope
            return
        loop = asyncio.get_running_loop()
        limit = Limit(loop.time() + seconds, seconds)

        def end_body():
            end(scope)

        def on_due():
            nonlocal timer
            # Timers may fire early by the resolution of the clock.
            if not limit.has_passed(max(loop.time(), limit.next_at)):
                timer = loop.call_at(limit.next_at, on_due)
                return
            extension_s = find_extension_s()
            if extension_s > 0:
                timer = loop.call_later(extension_s, end_body)
            else:
                end_body()

        timer = loop.call_at(limit.next_at, on_due)
        try:
            yield scope
        finally:
            timer.cancel()

"""Decide what a process that stops still passes on."""

from __future__ import annotations

import asyncio
import contextlib
import math
import typing

from persimmonroute import clock
from persimmonroute.events import Event
from persimmonroute import logs
from persimmonroute import timeouts

log = logs.EventLog(__name__)

# Time to write the answer to a request that ends at its deadline.
ANSWER_MARGIN_S = 0.3
# Time before the end of a stop in which streams that outlast it are broken
# off, each after an event. Callers come back before the process does.
HANDOVER_S = 0.5
# Time to close the connections of responses that are broken off.
CLOSE_MARGIN_S = 0.05
# Interval at which a stop looks whether its end has come.
END_CHECK_S = 0.1
# Time to read what arrived while the process stood still, if a stop has no
# other left, and time to write the last answers.
READ_S = 0.05
WRITE_S = 0.1
# A longer one between two looks is a stand-still.
MAX_GAP_S = END_CHECK_S + timeouts.MAX_TIMER_DELAY_S


class Drain(typing.NamedTuple):
    """Describe a graceful stop, in seconds of the process's clock."""

    # The load balancer has removed the process by then, and it begins to
    # close its connections.
    closes_at: float
    # No connection is open any more.
    ends_at: float

    @property
    def answers_until(self):
        """Return when requests without a response are told that it ends."""
        return self.ends_at - ANSWER_MARGIN_S

    def is_handover_due(self, now, deadline_at, expected_end_at):
        """Return whether a stream is broken off, to go on elsewhere.

        expected_end_at is infinity if it is not known.
        """
        if now < self.ends_at - HANDOVER_S:
            return False
        return min(deadline_at, expected_end_at) > self.ends_at

    def find_latest_send(self, deadline_at, expected_s):
        """Return until when a request may be passed on, at first or again.

        It is passed on only if it ends within the stop: at its deadline, or
        after the time that it is expected to take. Infinity for unknown.
        """
        if deadline_at <= self.answers_until:
            return deadline_at
        return self.answers_until - expected_s

    def may_send(self, now, deadline_at, expected_s):
        """Return whether a request that is passed on now ends in time."""
        return now <= self.find_latest_send(deadline_at, expected_s)

    def may_accept(self, now, deadline_at, expected_s, certain_s=math.inf):
        """Return whether to accept a request that arrives now.

        Once connections are closed, callers find other processes at once.
        Then a request is accepted only if it ends in time by its deadline or
        after certain_s, which no request like it exceeds.
        """
        if now >= self.closes_at:
            expected_s = certain_s
        return self.may_send(now, deadline_at, expected_s)


def begin(now, removal_s, close_s, grace_s):
    """Return the Drain of a process that is asked to stop.

    It never outlasts the grace period. The load balancer needs removal_s, and
    connections that were just accepted may take close_s to deliver a request.
    """
    ends_at = now + max(grace_s, 0.0)
    closes_at = min(now + removal_s, ends_at - close_s)
    return Drain(max(closes_at, now), ends_at)


class OpenRequests:
    """End the requests that are still open at the end of a stop."""

    def __init__(self):
        # Time limits of the requests, with what tells whether the response of
        # each has begun.
        self._limits = {}
        self._ended = False

    @property
    def ended(self):
        """Return whether the end of the stop has come."""
        return self._ended

    @contextlib.contextmanager
    def hold(self, limit, has_begun=lambda: False):
        """Let the end of a stop time out the body, whose limit is given."""
        self._limits[limit] = has_begun
        if self._ended:
            timeouts.end(limit)
        try:
            yield
        finally:
            del self._limits[limit]

    def end_unanswered(self):
        """Time out the requests whose response has not begun."""
        self._ended = True
        for limit, has_begun in self._limits.items():
            if not has_begun():
                timeouts.end(limit)

    def end_all(self):
        """Time out all requests that are open."""
        self._ended = True
        for limit in self._limits:
            timeouts.end(limit)


async def end_open(drain, end, cancel, break_off=lambda: None):
    """End what is open at the end of a stop, in three steps.

    end() is called when requests get their last answer, break_off() when
    responses that have begun end, and cancel() for what is still left. After a
    stand-still timers are due before the answers that have arrived meanwhile
    are read.
    """
    end_at, ran_at = drain.answers_until, clock.now_s()
    while True:
        now = clock.now_s()
        if now - ran_at > MAX_GAP_S and ran_at < drain.ends_at:
            latest_at = max(drain.ends_at, now + READ_S)
            end_at = max(end_at, min(now + timeouts.CATCH_UP_S, latest_at))
        if now >= end_at:
            break
        ran_at = now
        # The event loop's clock stands still in a suspended machine.
        await asyncio.sleep(min(end_at - now, END_CHECK_S))
    with guard('end requests'):
        end()
    left_s = max(drain.ends_at - clock.now_s(), WRITE_S)
    await asyncio.sleep(left_s - CLOSE_MARGIN_S)
    with guard('end responses'):
        break_off()
    await asyncio.sleep(CLOSE_MARGIN_S)
    cancel()


@contextlib.contextmanager
def guard(step):
    """Log an error in a step of a stop, which goes on without it."""
    try:
        yield
    except Exception as error:
        log.emit(Event.GATEWAY_FAULT, step=step, problem=repr(error))

"""Decide what a process that stops still accepts."""

from __future__ import annotations

import contextlib
import typing

from persimmonroute.events import Event
from persimmonroute import logs

log = logs.EventLog(__name__)

# Time to write the answer to a request that ends at its deadline.
ANSWER_MARGIN_S = 0.3


class Drain(typing.NamedTuple):
    """Describe a graceful stop, in seconds of the process's clock."""

    # The load balancer has removed the process by then. Later requests come
    # on connections that callers keep open.
    removed_at: float
    # Requests that are still open are cancelled then.
    ends_at: float

    def accepts(self, deadline_at, now):
        """Return whether to take a request that may last until a deadline.

        Callers cannot know of the stop before the removal. After it, a
        request is refused if its answer could be cut off at the end.
        """
        if now < self.removed_at:
            return True
        return deadline_at + ANSWER_MARGIN_S <= self.ends_at


def begin(now, removal_s, drain_s, grace_s):
    """Return the Drain of a process that is asked to stop.

    After the removal open requests get drain_s at least, and as long as the
    grace period lasts.
    """
    removed_at = now + removal_s
    return Drain(removed_at, max(now + grace_s, removed_at + drain_s))


@contextlib.contextmanager
def guard(step):
    """Log an error in a step of a stop, which goes on without it."""
    try:
        yield
    except Exception as error:
        log.emit(Event.GATEWAY_FAULT, step=step, problem=repr(error))

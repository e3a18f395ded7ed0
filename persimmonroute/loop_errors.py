"""Log the errors of an event loop without blocking it."""

from __future__ import annotations

import errno

from persimmonroute import clock
from persimmonroute.events import Event
from persimmonroute import logs

log = logs.EventLog(__name__)

# Errors of a process or an instance that has no descriptors or memory left.
EXHAUSTION_ERRORS = (
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
)
# The same error is logged this often at most: it may come with each
# connection of a backlog.
LOG_INTERVAL_S = 1.0
MAX_KINDS = 100
MAX_PROBLEM_CHARACTERS = 500


def is_exhaustion(error):
    """Return whether an error is due to a lack of resources here."""
    return getattr(error, 'errno', None) in EXHAUSTION_ERRORS


class LoopErrorLog:
    """Log what the event loop reports, by kind and not too often."""

    def __init__(self):
        self._logged_at = {}
        self._suppressed = {}

    def handle(self, loop, context):
        """Log an error as a handler of the event loop."""
        error = context.get('exception')
        message = context.get('message') or 'error in the event loop'
        if is_exhaustion(error):
            self._log(Event.RESOURCES_EXHAUSTED, message, error)
        else:
            self._log(Event.GATEWAY_FAULT, message, error)

    def _log(self, event, message, error):
        now = clock.now_s()
        kind = event, message, type(error)
        logged_at = self._logged_at.get(kind)
        if logged_at is not None and now - logged_at < LOG_INTERVAL_S:
            self._suppressed[kind] = self._suppressed.get(kind, 0) + 1
            return
        if len(self._logged_at) >= MAX_KINDS:
            self._logged_at.clear()
            self._suppressed.clear()
        self._logged_at[kind] = now
        log.emit(
            event,
            step=message[:MAX_PROBLEM_CHARACTERS],
            problem=repr(error)[:MAX_PROBLEM_CHARACTERS],
            suppressed=self._suppressed.pop(kind, 0),
        )

"""End a process within its grace period, whatever is still open.

Answers a stop on a busy machine. Destroying an interpreter takes about 30 ms
of processor time, which took 0.5 to 0.7 s at a load of 18. An event loop that
is blocked, or a task that ignores its cancellation, would never end.
"""

from __future__ import annotations

import contextlib
import os
import threading
import time

from persimmonroute import clock
from persimmonroute.events import Event
from persimmonroute import logs
from persimmonroute import timeouts

log = logs.EventLog(__name__)

# Part of the grace period that is left for the exit itself.
EXIT_RESERVE_S = 0.2
# Part of it that is left even after a stand-still.
MIN_EXIT_S = 0.1
# Interval at which the limit is checked.
CHECK_S = 0.05
# A longer one between two checks is a stand-still.
MAX_GAP_S = CHECK_S + timeouts.MAX_TIMER_DELAY_S
# Time after a stand-still to read what has arrived and to write the last
# answers, which draining.end_open does in 0.15 s.
CATCH_UP_S = 0.2
# Time to write the last log lines of a process that is ended at its limit.
FLUSH_S = 0.1


class ExitLimit:
    """Tell when a process that was asked to stop has to exit.

    It is due EXIT_RESERVE_S before the end of the grace period. A process
    that stood still gets CATCH_UP_S, within the grace period if that lasts so
    long, and else once.
    """

    def __init__(self, now, grace_s):
        self._ends_at = now + grace_s
        self._due_at = self._ends_at - EXIT_RESERVE_S
        self._checked_at = now
        self._caught_up = False

    def is_due(self, now):
        """Return whether to exit; to be called each CHECK_S."""
        stood_still = now - self._checked_at > MAX_GAP_S
        self._checked_at = now
        if stood_still:
            self._catch_up(now)
        return now >= self._due_at

    def _catch_up(self, now):
        due_at = now + CATCH_UP_S
        latest_at = self._ends_at - MIN_EXIT_S
        if now < latest_at:
            due_at = min(due_at, latest_at)
        elif self._caught_up:
            return
        else:
            self._caught_up = True
        self._due_at = max(self._due_at, due_at)


class ProcessExit:
    """Exit a process at the end of its stop, or at its limit.

    The limit is kept by a thread, as the event loop may be blocked.
    """

    def __init__(self):
        self._began = False
        self._finished = False

    def begin(self, grace_s):
        """Limit the stop that begins now; further calls change nothing."""
        if self._began:
            return
        self._began = True
        limit = ExitLimit(clock.now_s(), grace_s)
        threading.Thread(
            target=self._watch, args=(limit,), daemon=True
        ).start()

    def finish(self):
        """Write the log lines and exit; nothing is owed to callers any more.

        The interpreter is not shut down: that frees what ends with the
        process, and takes longest where the machine is busy.
        """
        self._finished = True
        _exit_after(logs.close_logs, None)

    def _watch(self, limit):
        while not limit.is_due(clock.now_s()):
            time.sleep(CHECK_S)
        _exit_after(self._write_end, FLUSH_S)

    def _write_end(self):
        if not self._finished:
            log.emit(Event.STOP_AT_LIMIT)
            log.emit(Event.PROCESS_STOPPED)
        logs.close_logs()


def _exit_after(step, limit_s):
    """Exit after a step, which may take at most limit_s; None for no limit."""
    if limit_s is None:
        with contextlib.suppress(Exception):
            step()
    else:
        # The step may wait for a lock that a blocked thread holds.
        thread = threading.Thread(target=step, daemon=True)
        thread.start()
        thread.join(limit_s)
    os._exit(0)

"""Decide which calls a stopping entry still grants a start."""

from __future__ import annotations

import math

from persimmonroute import durations

STOPPING = 'the entry is stopping'
STOPPED = 'the entry stopped before the response was complete'
# Other entries may serve the caller at once.
STOPPING_RETRY_S = 0.1
UNGRANTED = ('new', 'offered', 'queued')


class StopController:
    """End calls that have not started and would outlast a stop.

    Calls have no deadline, so only the time that their class takes tells
    whether they end within the grace period. While that is not known, the
    class's target stands for it.
    """

    def __init__(self, board, fail_unstarted):
        self._board = board
        # Withdraws a call that was not granted, and ends it as not run.
        self._fail_unstarted = fail_unstarted

    def on_stop(self, event, now):
        """Watch the calls that wait."""
        self._board.drain = event.drain
        for record in list(self._board.calls.values()):
            self.watch(record, now)

    def watch(self, record, now):
        """End a call that waits once it cannot end within the stop."""
        if self._board.drain is None or record.state not in UNGRANTED:
            return
        latest_at = self._board.drain.find_latest_send(
            math.inf, self._estimate_s(record)
        )
        if now > latest_at:
            self.refuse(record)
        else:
            self._board.timers.schedule(latest_at, 'stop', record.request_id)

    def on_timer(self, timer, now):
        """Look again at a call that waits."""
        record = self._board.calls.get(timer.subject)
        if timer.kind == 'stop' and record is not None:
            if record.state in UNGRANTED:
                self.refuse(record)

    def may_accept(self, record, now):
        """Return whether to accept a call that has just arrived."""
        drain = self._board.drain
        if drain is None:
            return True
        expected_s, certain_s = self._estimate_s(record), math.inf
        if self._board.durations.is_known(record.call.class_name):
            certain_s = expected_s
        return drain.may_accept(now, math.inf, expected_s, certain_s)

    def may_grant(self, record, now):
        """Return whether a call that starts now ends within the stop."""
        drain = self._board.drain
        if drain is None:
            return True
        return drain.may_send(now, math.inf, self._estimate_s(record))

    def refuse(self, record):
        """End a call that has not started."""
        self._fail_unstarted(record, STOPPING, STOPPING_RETRY_S)

    def record_ended(self, record, now):
        """Learn from a call whose response is complete."""
        if record.granted_at is None:
            return
        first_byte_s = 0.0
        if record.call.stream and record.first_byte_at is not None:
            first_byte_s = record.first_byte_at - record.granted_at
        self._board.durations.record(
            record.call.class_name,
            record.call.output_tokens,
            first_byte_s,
            now - record.granted_at,
        )

    def _estimate_s(self, record):
        call, target = record.call, record.work_class.target
        return self._board.durations.estimate_s(
            call.class_name,
            call.output_tokens,
            durations.assume_s(
                target.start_s, call.output_tokens, target.token_gap_s
            ),
        )

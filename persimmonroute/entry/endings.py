"""End each request with exactly one final response."""

from __future__ import annotations

import xxhash

from persimmonroute.entry import call_states
from persimmonroute.entry import messages
from persimmonroute.entry.messages import Outcome
from persimmonroute.events import Event

NO_ENDPOINT = 'no endpoint can admit the request'
CRASHES_ENDPOINTS = 'the request crashes endpoints; change its content'
MIN_RETRY_AFTER_S = 1.0
HASH_RANGE = 2**64
STATUS_NOT_RUN = 503
STATUS_UNKNOWN = 502
STATUS_QUARANTINED = 422


class CallFinalizer:
    """End requests and release their offers, claims and subscriptions."""

    def __init__(self, board, claims):
        self._board = board
        self._claims = claims

    def end_completed(self, record, status, content_type):
        """End a request whose response was forwarded completely."""
        self._end(record, Outcome.COMPLETED, status, content_type)

    def end_unknown(self, record, problem):
        """End a request that may or may not have run."""
        self._end(record, Outcome.UNKNOWN, STATUS_UNKNOWN, problem=problem)

    def end_not_run(self, record, problem, retry_after_s=None):
        """End a request that was not granted a start, and log it as shed."""
        self._board.log(
            Event.REQUEST_SHED,
            request=record.request_id,
            service=record.work_class.service,
            work_class=record.call.class_name,
            tier=record.work_class.tier,
            problem=problem,
        )
        if retry_after_s is None:
            retry_after_s = self._predict_wait_s(record)
        self._end(
            record,
            Outcome.NOT_RUN,
            STATUS_NOT_RUN,
            retry_after_s=add_jitter(record.request_id, retry_after_s),
            problem=problem,
        )

    def end_rejected(self, record, error):
        """End a request that is rejected with a typed error."""
        self._end(record, Outcome.NOT_RUN, error.status, problem=str(error))

    def end_quarantined(self, record):
        """End a request that is quarantined for crashing endpoints."""
        self._board.log(
            Event.REQUEST_QUARANTINED,
            request=record.request_id,
            fingerprint=record.call.fingerprint,
        )
        self._end(
            record,
            Outcome.NOT_RUN,
            STATUS_QUARANTINED,
            problem=CRASHES_ENDPOINTS,
        )

    def _predict_wait_s(self, record):
        tier = record.work_class.tier
        waits = [
            view.wait_s[tier - 1]
            for view in self._board.candidates(record.work_class.service)
            if view.wait_s
        ]
        return max(min(waits, default=0.0), MIN_RETRY_AFTER_S)

    def _end(
        self,
        record,
        outcome,
        status,
        content_type='',
        retry_after_s=None,
        problem='',
    ):
        board = self._board
        board.remove_outstanding(record)
        board.unsubscribe(record)
        self._claims.on_call_ended(record, outcome)
        call_states.advance(record, 'end')
        board.calls.pop(record.request_id, None)
        board.put(
            messages.ResponseEnded(
                record.request_id,
                outcome,
                status,
                content_type,
                retry_after_s,
                problem,
            )
        )
        board.log(
            Event.REQUEST_ENDED,
            request=record.request_id,
            outcome=outcome.value,
            status=status,
            problem=problem,
        )


def add_jitter(request_id, seconds):
    """Return a delay of one to two times the given seconds.

    The factor is a hash of the request id, so that callers refused at the
    same time do not retry at the same time.
    """
    share = xxhash.xxh3_64_intdigest(request_id.encode()) / HASH_RANGE
    return seconds * (1 + share)

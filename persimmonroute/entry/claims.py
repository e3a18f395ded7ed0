"""Claim idempotency keys of non-idempotent requests in the table service."""

from __future__ import annotations

import base64
import typing

from persimmonroute.entry import messages
from persimmonroute.entry.messages import Outcome
from persimmonroute.events import Event
from persimmonroute import store
from persimmonroute.store import StoreStatus

TABLE = 'claims'
CLAIM_TIMEOUT_S = 2.0
WRITE_RETRY_S = 0.1
RELEASE_RETRY_S = 0.5
STORE_RETRY_AFTER_S = 5.0
MAX_RECORDED_BODY_BYTES = 65536

CLAIMED = 'claimed'
RELEASED = 'released'
FINISHED = 'finished'


class ClaimRow(typing.TypedDict):
    """Define the value of one row in the claims table."""

    request: str
    attempt: str
    sidecar: str
    incarnation: str
    state: str
    fingerprint: str
    status: int
    content_type: str
    body: str


class Claim:
    """Track the claim of one request."""

    def __init__(self, record, now):
        self.request_id = record.request_id
        self.attempt = record.attempt
        self.row_key = f'{record.call.workspace}/{record.call.key}'
        self.fingerprint = record.call.fingerprint
        self.sidecar = record.sidecar
        self.incarnation = record.incarnation
        self.version = 0
        self.confirmed = False
        self.in_flight = False
        # Set once the request can no longer start.
        self.abandoned = False
        # Row of another request that currently owns the key.
        self.owner: ClaimRow | None = None
        self.deadline = now + CLAIM_TIMEOUT_S
        self.response: list[bytes] = []
        self.finished: ClaimRow | None = None

    def build_row(self):
        """Return the row value that the claim should have."""
        if self.finished is not None:
            return self.finished
        return ClaimRow(
            request=self.request_id,
            attempt=self.attempt,
            sidecar=self.sidecar,
            incarnation=self.incarnation,
            state=RELEASED if self.abandoned else CLAIMED,
            fingerprint=self.fingerprint,
            status=0,
            content_type='',
            body='',
        )


class ClaimManager:
    """Insert, update, release and complete claim rows.

    Each write is a compare-and-set on the row version. A write whose reply
    was lost is retried; the conflict then returns the writer's own row.
    """

    def __init__(self, board):
        self._board = board
        self._claims: dict[str, Claim] = {}
        self.dispatcher = None

    def begin(self, record, now):
        """Claim the key of a request for the sidecar it is offered to."""
        claim = self._claims.get(record.request_id)
        if claim is None:
            claim = Claim(record, now)
            self._claims[record.request_id] = claim
            self._schedule_deadline(claim)
        claim.attempt = record.attempt
        claim.sidecar = record.sidecar
        claim.incarnation = record.incarnation
        claim.confirmed = False
        claim.owner = None
        self._write(claim)

    def is_confirmed(self, record):
        """Return whether the row is confirmed for the request and sidecar."""
        claim = self._claims.get(record.request_id)
        return claim is not None and claim.confirmed and not claim.abandoned

    def buffer_response(self, record, data):
        """Buffer a chunk of the response to record it under the key."""
        claim = self._claims.get(record.request_id)
        if claim is not None:
            claim.response.append(data)

    def record_outcome(self, record, finished, now):
        """Write the response into the row of its key.

        Attached requests do this too, since the entry that claimed the key
        may be down. Responses over the limit stay only at their sidecar.
        """
        claim = self._claims.get(record.request_id)
        if claim is None:
            return
        body = b''.join(claim.response)
        if len(body) > MAX_RECORDED_BODY_BYTES:
            return
        row = dict(claim.owner or claim.build_row())
        row['state'] = FINISHED
        row['status'] = finished.status
        row['content_type'] = finished.content_type
        row['body'] = base64.b64encode(body).decode()
        claim.finished = row
        self._write(claim)

    def on_call_ended(self, record, outcome):
        """Release the row if the request ended as not run; else keep it."""
        claim = self._claims.get(record.request_id)
        if claim is None or claim.finished is not None:
            return
        if claim.owner is not None or outcome is not Outcome.NOT_RUN:
            del self._claims[record.request_id]
            return
        claim.abandoned = True
        claim.confirmed = False
        self._write(claim)

    def reclaim(self, record, now):
        """Claim a row whose owner can no longer start."""
        claim = self._claims[record.request_id]
        claim.deadline = now + CLAIM_TIMEOUT_S
        self._schedule_deadline(claim)
        self.dispatcher.reoffer(record, now)

    def on_reply(self, event, now):
        """Handle a reply of the table service."""
        claim = self._claims.get(event.token)
        if claim is None or not claim.in_flight:
            return
        claim.in_flight = False
        reply = event.reply
        if reply.status is StoreStatus.FAILED:
            delay = RELEASE_RETRY_S if claim.abandoned else WRITE_RETRY_S
            self._board.timers.schedule(
                now + delay, 'claim-write', claim.request_id
            )
        elif reply.status is StoreStatus.COMMITTED:
            claim.version = reply.rows[0].version
            self._on_written(claim, reply.rows[0].value)
        else:
            self._on_conflict(claim, reply.rows[0], now)

    def on_timer(self, timer, now):
        """Handle a write retry or an expired claim deadline."""
        claim = self._claims.get(timer.subject)
        if claim is None:
            return
        if timer.kind == 'claim-write':
            self._write(claim)
        elif timer.kind == 'claim' and now >= claim.deadline:
            self._expire(claim)

    def _expire(self, claim):
        record = self._board.calls.get(claim.request_id)
        ungranted = ('offered', 'queued')
        if claim.confirmed or record is None or record.state not in ungranted:
            return
        self._board.log(
            Event.CLAIM_FAILED, request=claim.request_id, key=claim.row_key
        )
        self.dispatcher.fail_unstarted(
            record,
            'table service did not confirm the idempotency key in time',
            STORE_RETRY_AFTER_S,
        )

    def _schedule_deadline(self, claim):
        self._board.timers.schedule_limit(
            claim.deadline, CLAIM_TIMEOUT_S, 'claim', claim.request_id
        )

    def _write(self, claim):
        if claim.in_flight:
            return
        claim.in_flight = True
        write = store.Write(
            TABLE, claim.row_key, claim.build_row(), claim.version
        )
        self._board.put(messages.Transact(claim.request_id, (write,)))

    def _on_written(self, claim, value):
        if value != claim.build_row():
            self._write(claim)
        elif claim.finished is not None:
            del self._claims[claim.request_id]
        elif claim.abandoned:
            self._board.log(
                Event.CLAIM_SETTLED,
                request=claim.request_id,
                key=claim.row_key,
            )
            del self._claims[claim.request_id]
        else:
            self._confirm(claim)

    def _confirm(self, claim):
        claim.confirmed = True
        self._board.log(
            Event.CLAIM_CONFIRMED, request=claim.request_id, key=claim.row_key
        )
        record = self._board.calls.get(claim.request_id)
        if record is not None:
            self.dispatcher.on_claim_confirmed(record)

    def _on_conflict(self, claim, row, now):
        claim.version = row.version
        value = row.value
        if value['request'] == claim.request_id:
            self._on_written(claim, value)
        elif claim.abandoned or claim.finished is not None:
            # Another request owns the row, so there is nothing to release.
            del self._claims[claim.request_id]
        else:
            self._on_other_owner(claim, value, now)

    def _on_other_owner(self, claim, value, now):
        record = self._board.calls.get(claim.request_id)
        if record is None:
            del self._claims[claim.request_id]
            return
        self._board.log(
            Event.CLAIM_CONFLICT,
            request=claim.request_id,
            key=claim.row_key,
            owner=value['attempt'],
            state=value['state'],
        )
        if value['fingerprint'] != claim.fingerprint:
            claim.owner = value
            self.dispatcher.reject_key(record)
        elif value['state'] == RELEASED:
            self._write(claim)
        elif value['state'] == FINISHED:
            claim.owner = value
            self.dispatcher.replay(
                record,
                value['status'],
                value['content_type'],
                base64.b64decode(value['body']),
            )
        else:
            claim.owner = value
            self.dispatcher.attach(
                record,
                value['attempt'],
                value['sidecar'],
                value['incarnation'],
                now,
            )

"""Buffer responses and send them to subscribed entries."""

from __future__ import annotations

from persimmonroute.generated import exchange_pb2 as pb

IDEMPOTENT_RETENTION_S = 60.0
RETENTION_S = 900.0
MAX_RETAINED_BYTES = 32 * 1024 * 1024
ORPHAN_GRACE_S = 30.0


class ResponseBuffer:
    """Buffer each response so that it can be resent from any offset."""

    def __init__(self, board):
        self._board = board
        self._retained_bytes = 0
        # When a stop no longer waits for the readers of finished attempts.
        self._unread_until: dict[str, float] = {}

    def has_unread(self, now):
        """Return whether a response waits for an entry that lost its link."""
        return any(until > now for until in self._unread_until.values())

    def append(self, attempt, data, tokens):
        """Append a chunk and send it to the subscribers."""
        offset = len(attempt.response)
        attempt.response += data
        self._retained_bytes += len(data)
        chunk = pb.Chunk(
            offset=offset,
            data=data,
            tokens=tokens,
            not_streamed=not attempt.streamed,
        )
        for link in sorted(attempt.subscribers):
            self._board.send(link, attempt.attempt_id, chunk=chunk)

    def finish(self, attempt, finished, now):
        """Finish a response and notify its subscribers."""
        attempt.finished = finished
        if not (attempt.subscribers or attempt.cancelled):
            self._unread_until[attempt.attempt_id] = now + ORPHAN_GRACE_S
        for link in sorted(attempt.subscribers):
            self._board.send(link, attempt.attempt_id, finished=finished)
        retention = (
            IDEMPOTENT_RETENTION_S if attempt.offer.idempotent else RETENTION_S
        )
        self._board.timers.schedule(
            now + retention, 'forget', attempt.attempt_id
        )
        if self._retained_bytes > MAX_RETAINED_BYTES:
            self._discard_oldest()

    def subscribe(self, attempt, link, offset):
        """Subscribe an entry and send the response from an offset on."""
        attempt.subscribers.add(link)
        self._unread_until.pop(attempt.attempt_id, None)
        data = bytes(attempt.response[offset:])
        if data:
            chunk = pb.Chunk(
                offset=offset, data=data, not_streamed=not attempt.streamed
            )
            self._board.send(link, attempt.attempt_id, chunk=chunk)
        if attempt.finished is not None:
            self._board.send(
                link, attempt.attempt_id, finished=attempt.finished
            )

    def on_link_closed(self, link, now):
        """Unsubscribe a closed link and start the orphan grace period."""
        for attempt in self._board.attempts.values():
            if link not in attempt.subscribers:
                continue
            attempt.subscribers.discard(link)
            if attempt.state == 'started' and not attempt.subscribers:
                self._board.timers.schedule_limit(
                    now + ORPHAN_GRACE_S,
                    ORPHAN_GRACE_S,
                    'orphan',
                    attempt.attempt_id,
                )

    def on_timer(self, timer, now):
        """Discard expired responses and cancel orphaned attempts."""
        attempt = self._board.attempts.get(timer.subject)
        if attempt is None:
            return
        if timer.kind == 'forget' and attempt.finished is not None:
            self._discard(attempt)
        elif timer.kind == 'orphan' and self._is_orphan(attempt):
            self._board.cancel(attempt)

    def _is_orphan(self, attempt):
        return (
            attempt.state == 'started'
            and not attempt.subscribers
            and attempt.offer.idempotent
        )

    def _discard(self, attempt):
        del self._board.attempts[attempt.attempt_id]
        self._unread_until.pop(attempt.attempt_id, None)
        self._retained_bytes -= len(attempt.response)

    def _discard_oldest(self):
        for attempt in list(self._board.attempts.values()):
            if self._retained_bytes <= MAX_RETAINED_BYTES:
                return
            if attempt.finished is not None:
                self._discard(attempt)

"""Keep answers and pass them to the entries that follow them."""

from __future__ import annotations

from persimmonroute.generated import exchange_pb2 as pb

IDEMPOTENT_RETENTION_S = 60.0
RETENTION_S = 900.0
MAX_RETAINED_BYTES = 32 * 1024 * 1024
ORPHAN_GRACE_S = 30.0


class AnswerKeeper:
    """Buffer each answer so that it can be read again from any offset."""

    def __init__(self, board):
        self._board = board
        self._retained_bytes = 0

    def append(self, item, data, tokens):
        """Add a part and send it to the followers."""
        offset = len(item.answer)
        item.answer += data
        self._retained_bytes += len(data)
        chunk = pb.Chunk(offset=offset, data=data, tokens=tokens)
        for link in sorted(item.subscribers):
            self._board.send(link, item.attempt, chunk=chunk)

    def finish(self, item, finished, now):
        """Close an answer and tell the followers."""
        item.finished = finished
        for link in sorted(item.subscribers):
            self._board.send(link, item.attempt, finished=finished)
        retention = (
            IDEMPOTENT_RETENTION_S if item.offer.idempotent else RETENTION_S
        )
        self._board.timers.schedule(now + retention, 'forget', item.attempt)
        if self._retained_bytes > MAX_RETAINED_BYTES:
            self._forget_oldest()

    def follow(self, item, link, offset):
        """Send what an entry has missed and let it follow."""
        item.subscribers.add(link)
        data = bytes(item.answer[offset:])
        if data:
            chunk = pb.Chunk(offset=offset, data=data)
            self._board.send(link, item.attempt, chunk=chunk)
        if item.finished is not None:
            self._board.send(link, item.attempt, finished=item.finished)

    def on_link_closed(self, link, now):
        """Drop a follower; an answer that nobody follows has a grace."""
        for item in self._board.items.values():
            if link not in item.subscribers:
                continue
            item.subscribers.discard(link)
            if item.state == 'started' and not item.subscribers:
                self._board.timers.schedule(
                    now + ORPHAN_GRACE_S, 'orphan', item.attempt
                )

    def on_timer(self, timer, now):
        """Forget old answers and cancel those that nobody follows."""
        item = self._board.items.get(timer.subject)
        if item is None:
            return
        if timer.kind == 'forget' and item.finished is not None:
            self._forget(item)
        elif timer.kind == 'orphan' and self._is_orphan(item):
            self._board.cancel(item)

    def _is_orphan(self, item):
        return (
            item.state == 'started'
            and not item.subscribers
            and item.offer.idempotent
        )

    def _forget(self, item):
        del self._board.items[item.attempt]
        self._retained_bytes -= len(item.answer)

    def _forget_oldest(self):
        for item in list(self._board.items.values()):
            if self._retained_bytes <= MAX_RETAINED_BYTES:
                return
            if item.finished is not None:
                self._forget(item)

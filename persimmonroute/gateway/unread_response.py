"""Keep what a caller has not read of a response, and write it in order."""

from __future__ import annotations

import asyncio
import collections

from persimmonroute.caller_account import Reason
from persimmonroute import clock
from persimmonroute.events import Event
from persimmonroute import logs

log = logs.EventLog(__name__)

# Data are kept and written in parts of about this size: many small events take
# no more memory than their bytes, and progress shows early.
PART_BYTES = 16_384
# Interval at which a response without room looks for some, and the number of
# intervals after which a response gives way. Endpoints wait some seconds.
# Intervals count, and not seconds, so that a gateway that stood still reads
# what has arrived first.
ROOM_CHECK_S = 0.1
ROOM_CHECKS = 10


class UnreadResponse:
    """Write a response to a caller that may be behind.

    write is a coroutine function that waits until the caller has read.
    """

    def __init__(self, write, readers, holding, attempt=None):
        self._write = write
        self._readers = readers
        self._holding = holding
        self._parts = collections.deque()
        self._backlog = None
        self._writing = None
        # True once nothing is to be written any more.
        self._closed = False
        # Name of the request, for the log.
        self._attempt = attempt

    @property
    def pending(self):
        """Return whether data are kept that have to be written first."""
        return self._writing is not None

    async def add(self, data):
        """Keep data to be written; wait while there is no room."""
        for start in range(0, len(data), PART_BYTES):
            await self._wait_for_room()
            self._keep(data[start : start + PART_BYTES])

    async def flush(self):
        """Wait until all is written."""
        while self._writing is not None:
            # The writer is not to be cancelled with those who wait for it.
            await asyncio.wait((self._writing,))
            self._raise_error()

    def close(self):
        """Drop what is not written, and keep nothing more."""
        self._closed = True
        writing, self._writing = self._writing, None
        if writing is not None:
            writing.cancel()
        self._forget()

    async def _wait_for_room(self):
        checks = 0
        while not self._readers.has_room:
            if checks >= ROOM_CHECKS:
                checks = 0
                self._readers.give_way(clock.now_s())
                continue
            checks += 1
            await asyncio.sleep(ROOM_CHECK_S)

    def _keep(self, part):
        self._raise_error()
        if self._closed:
            return
        now = clock.now_s()
        if self._backlog is None:
            self._backlog = self._readers.open(self._holding, self._cut, now)
        parts = self._parts
        if parts and len(parts[-1]) + len(part) <= PART_BYTES:
            if not isinstance(parts[-1], bytearray):
                parts[-1] = bytearray(parts[-1])
            parts[-1] += part
        else:
            parts.append(part)
        self._readers.add(self._backlog, len(part), now)
        if self._writing is None:
            self._writing = asyncio.create_task(self._write_parts())

    async def _write_parts(self):
        while self._parts:
            part = bytes(self._parts.popleft())
            await self._write(part)
            self._readers.take(self._backlog, len(part), clock.now_s())
        self._writing = None
        self._forget()

    def _raise_error(self):
        """Raise the error that ended the writing, if there was one."""
        if self._writing is not None and self._writing.done():
            self._writing.result()

    def _forget(self):
        self._parts.clear()
        backlog, self._backlog = self._backlog, None
        if backlog is not None:
            self._readers.close(backlog, clock.now_s())

    def _cut(self):
        """Reset the connection, so that the response looks incomplete."""
        now = clock.now_s()
        backlog = self._backlog
        log.emit(
            Event.SLOW_READER_CUT,
            request=self._attempt,
            unread_bytes=backlog.size,
            taken_bytes=backlog.taken,
            still_s=round(now - backlog.taken_at, 3),
            behind=len(self._readers.backlogs),
            held_bytes=self._readers.used,
        )
        self._holding.close(Reason.SLOW_READER)
        self.close()

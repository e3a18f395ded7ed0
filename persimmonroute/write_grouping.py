"""Group the writes of concurrent requests into few transactions."""

from __future__ import annotations

import asyncio

from persimmonroute import store
from persimmonroute.store import StoreStatus

MAX_GROUP = 64


class WriteGrouper:
    """Send what has gathered while the last transaction was under way.

    A conflict of one write fails a transaction whole, so the writes
    without a conflict go into the next one.
    """

    def __init__(self, tables):
        self._tables = tables
        self._waiting = []
        self._busy = False
        self.transactions = 0
        self.writes = 0

    async def write(self, row_write):
        """Return the StoreReply to one write."""
        future = asyncio.get_running_loop().create_future()
        self._waiting.append((row_write, future))
        if not self._busy:
            self._busy = True
            try:
                await self._drain()
            finally:
                self._busy = False
        return await future

    async def _drain(self):
        while self._waiting:
            group = self._take_group()
            writes = tuple(row_write for row_write, _ in group)
            self.transactions += 1
            self.writes += len(writes)
            reply = await self._tables.transact(writes)
            self._settle(group, reply)

    def _take_group(self):
        group, rest, keys = [], [], set()
        for entry in self._waiting:
            key = (entry[0].table, entry[0].key)
            if key in keys or len(group) >= MAX_GROUP:
                rest.append(entry)
            else:
                keys.add(key)
                group.append(entry)
        self._waiting = rest
        return group

    def _settle(self, group, reply):
        rows = {row.key: row for row in reply.rows}
        for row_write, future in group:
            if reply.status is StoreStatus.FAILED:
                answer = reply
            elif row_write.key in rows:
                row = rows[row_write.key]
                answer = store.StoreReply(reply.status, (row,))
            else:
                self._waiting.append((row_write, future))
                continue
            if not future.done():
                future.set_result(answer)

"""Group the writes of concurrent requests into transactions."""

from __future__ import annotations

import asyncio

from persimmonroute import store
from persimmonroute.store import StoreStatus

MAX_WRITES_PER_GROUP = 64


class WriteGrouper:
    """Send the writes queued during the last transaction as the next one.

    A conflict of one write fails the entire transaction, so the writes
    without a conflict are sent again in the next one.
    """

    def __init__(self, tables):
        self._tables = tables
        self._queued = []
        self._in_transaction = False
        self.transactions = 0
        self.writes = 0

    async def write(self, row_write):
        """Write one row and return its StoreReply."""
        future = asyncio.get_running_loop().create_future()
        self._queued.append((row_write, future))
        if not self._in_transaction:
            self._in_transaction = True
            try:
                await self._drain()
            finally:
                self._in_transaction = False
        return await future

    async def _drain(self):
        while self._queued:
            group = self._take_group()
            writes = tuple(row_write for row_write, _ in group)
            self.transactions += 1
            self.writes += len(writes)
            reply = await self._tables.transact(writes)
            self._resolve(group, reply)

    def _take_group(self):
        group, remaining, keys = [], [], set()
        for entry in self._queued:
            key = (entry[0].table, entry[0].key)
            if key in keys or len(group) >= MAX_WRITES_PER_GROUP:
                remaining.append(entry)
            else:
                keys.add(key)
                group.append(entry)
        self._queued = remaining
        return group

    def _resolve(self, group, reply):
        rows = {row.key: row for row in reply.rows}
        for row_write, future in group:
            if reply.status is StoreStatus.FAILED:
                write_reply = reply
            elif row_write.key in rows:
                row = rows[row_write.key]
                write_reply = store.StoreReply(reply.status, (row,))
            else:
                self._queued.append((row_write, future))
                continue
            if not future.done():
                future.set_result(write_reply)

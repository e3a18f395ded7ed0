"""Keep the product's rows in the platform's table service."""

from __future__ import annotations

import abc
import json

from aiosonic import exceptions as http_exceptions

from persimmonroute.events import Event
from persimmonroute import exceptions
from persimmonroute import logs
from persimmonroute.platform import tables
from persimmonroute import store
from persimmonroute.store import StoreStatus

log = logs.EventLog(__name__)

# What aiosonic raises when a call to one of our own processes fails.
HTTP_ERRORS = (
    OSError,
    ValueError,
    TimeoutError,
    http_exceptions.BaseTimeout,
    http_exceptions.HttpParsingError,
    http_exceptions.ConnectionDisconnected,
)
# Table of the instances that run sidecars and entries.
INSTANCE_TABLE = 'instances'
# First character behind every key that starts with a prefix.
AFTER_PREFIX = '\U0010ffff'


class TableService(abc.ABC):
    """Keep rows that outlive a process."""

    @abc.abstractmethod
    async def transact(self, writes):
        """Return a StoreReply to writes that take effect all or none."""

    @abc.abstractmethod
    async def read(self, table, key):
        """Return a StoreReply with the row of a key."""

    @abc.abstractmethod
    async def scan(self, table, prefix):
        """Return a StoreReply with the rows whose keys have a prefix."""


class HttpPlatform(TableService):
    """Reach the platform at one address."""

    def __init__(self, address):
        self._tables = tables.TableClient(address)

    async def transact(self, writes):
        """Write rows in one transaction."""
        rows = [
            tables.RowWrite(
                write.table,
                '',
                write.key,
                json.dumps(write.value).encode(),
                write.expected_version,
            )
            for write in writes
        ]
        try:
            committed, answer = await self._tables.transact(rows)
        except exceptions.PlatformUnavailableError as error:
            return _failed(error)
        if committed:
            present = tuple(store.Row(w.key, w.value, answer) for w in writes)
            return store.StoreReply(StoreStatus.COMMITTED, present)
        return store.StoreReply(
            StoreStatus.CONFLICT, _find_conflicts(writes, answer)
        )

    async def read(self, table, key):
        """Read one row; none is found for a key that does not exist."""
        return await self._find(table, key, key + '\x00')

    async def scan(self, table, prefix):
        """Read the rows whose keys have a prefix, in order of keys."""
        return await self._find(table, prefix, prefix + AFTER_PREFIX)

    async def list_instances(self):
        """Return the platform's list of instances as JSON objects."""
        page = await self._tables.read(INSTANCE_TABLE)
        return [json.loads(row.value) for row in page.rows]

    async def close(self):
        """Close all connections."""
        self._tables.close()

    async def _find(self, table, start, end):
        try:
            page = await self._tables.read(table, start=start, end=end)
        except exceptions.PlatformUnavailableError as error:
            return _failed(error)
        return store.StoreReply(
            StoreStatus.FOUND, tuple(_row(row) for row in page.rows)
        )


def _failed(error):
    log.emit(Event.STORE_CALL_FAILED, problem=error.problem)
    return store.StoreReply(StoreStatus.FAILED)


def _find_conflicts(writes, rows):
    """Return the present rows of the writes that did not match."""
    present = {(row.table, row.key): _row(row) for row in rows}
    found = []
    for write in writes:
        row = present.get((write.table, write.key))
        row = row or store.Row(write.key, None, 0)
        if row.version != write.expected_version:
            found.append(row)
    return tuple(found)


def _row(row):
    return store.Row(row.key, json.loads(row.value), row.version)

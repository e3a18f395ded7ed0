"""Store this system's rows in the platform's table service."""

from __future__ import annotations

import abc
import json

from aiosonic import exceptions as http_exceptions

from persimmonroute.events import Event
from persimmonroute import exceptions
from persimmonroute import logs
from persimmonroute.platform import documents
from persimmonroute.platform import tables
from persimmonroute import store
from persimmonroute.store import StoreStatus

log = logs.EventLog(__name__)

# Exceptions that aiosonic raises when an HTTP call fails.
HTTP_ERRORS = (
    OSError,
    ValueError,
    TimeoutError,
    http_exceptions.BaseTimeout,
    http_exceptions.HttpParsingError,
    http_exceptions.ConnectionDisconnected,
)
# Table that lists the instances which run sidecars and entries.
INSTANCE_TABLE = 'instances'
# Highest code point; appended to a prefix, it ends the range of a scan.
PREFIX_SCAN_END = '\U0010ffff'


class TableService(abc.ABC):
    """Define access to rows that outlive the process."""

    @abc.abstractmethod
    async def transact(self, writes):
        """Apply the writes atomically and return a StoreReply."""

    @abc.abstractmethod
    async def read(self, table, key):
        """Return a StoreReply with the row at a key, if there is one."""

    @abc.abstractmethod
    async def scan(self, table, prefix):
        """Return a StoreReply with the rows whose keys start with a prefix."""


class HttpPlatform(TableService):
    """Access the platform's tables at one address over HTTP."""

    def __init__(self, address):
        self._tables = tables.TableClient(address)

    async def transact(self, writes):
        """Write rows in one transaction and return a StoreReply."""
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
            committed, version_or_conflicts = await self._tables.transact(rows)
            if not committed:
                conflicts = _find_conflicts(writes, version_or_conflicts)
        except (
            exceptions.PlatformUnavailableError,
            exceptions.DocumentError,
        ) as error:
            return _report_failure(error)
        if committed:
            current = tuple(
                store.Row(w.key, w.value, version_or_conflicts) for w in writes
            )
            return store.StoreReply(StoreStatus.COMMITTED, current)
        return store.StoreReply(StoreStatus.CONFLICT, conflicts)

    async def read(self, table, key):
        """Read one row; the reply has no rows if the key does not exist."""
        return await self._read_range(table, key, key + '\x00')

    async def scan(self, table, prefix):
        """Read the rows whose keys start with a prefix, ordered by key."""
        return await self._read_range(table, prefix, prefix + PREFIX_SCAN_END)

    async def list_instances(self):
        """Return the readable instances of the platform, as JSON objects."""
        page = await self._tables.read(INSTANCE_TABLE)
        instances = []
        for row in page.rows:
            try:
                instances.append(documents.read_instance(row.value))
            except exceptions.DocumentError as error:
                log.emit(Event.DOCUMENT_UNREADABLE, problem=error.problem)
        return instances

    async def close(self):
        """Close all connections."""
        self._tables.close()

    async def _read_range(self, table, start, end):
        try:
            page = await self._tables.read(table, start=start, end=end)
            rows = tuple(_convert_row(row) for row in page.rows)
        except (
            exceptions.PlatformUnavailableError,
            exceptions.DocumentError,
        ) as error:
            return _report_failure(error)
        return store.StoreReply(StoreStatus.FOUND, rows)


def _report_failure(error):
    log.emit(Event.STORE_CALL_FAILED, problem=error.problem)
    return store.StoreReply(StoreStatus.FAILED)


def _find_conflicts(writes, rows):
    """Return the current rows of the writes whose version differs."""
    current = {(row.table, row.key): _convert_row(row) for row in rows}
    conflicts = []
    for write in writes:
        row = current.get((write.table, write.key))
        row = row or store.Row(write.key, None, 0)
        if row.version != write.expected_version:
            conflicts.append(row)
    return tuple(conflicts)


def _convert_row(row):
    return store.Row(row.key, documents.read_value(row.value), row.version)

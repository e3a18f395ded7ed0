"""Publish declarations as revisions in the table service."""

from __future__ import annotations

import typing

from returns import result

from persimmonroute import exceptions
from persimmonroute import store
from persimmonroute.store import StoreStatus

TABLE = 'configuration'
CURRENT_KEY = 'current'
REVISION_PREFIX = 'revision/'
MAX_TRIES = 8


class Revision(typing.NamedTuple):
    """Hold one accepted revision of the declarations."""

    number: int
    change: str
    document: str
    version: int


NO_REVISION = Revision(0, '', '', 0)


class ConfigurationStore:
    """Read and write revisions by compare-and-set."""

    def __init__(self, tables):
        self._tables = tables

    async def read_current(self):
        """Return the current Revision as a Result."""
        reply = await self._tables.read(TABLE, CURRENT_KEY)
        if reply.status is StoreStatus.FAILED:
            return result.Failure(_unavailable())
        if not reply.rows:
            return result.Success(NO_REVISION)
        row = reply.rows[0]
        return result.Success(_revision(row))

    async def read_history(self):
        """Return all revisions, oldest first, as a Result."""
        reply = await self._tables.scan(TABLE, REVISION_PREFIX)
        if reply.status is StoreStatus.FAILED:
            return result.Failure(_unavailable())
        return result.Success([_revision(row) for row in reply.rows])

    async def publish(self, document, change, base=None):
        """Return the number of the accepted revision as a Result.

        A write whose answer is lost is read back by its change.
        """
        error = _unavailable()
        for _ in range(MAX_TRIES):
            current = await self.read_current()
            if isinstance(current, result.Failure):
                continue
            done = await self._judge(current.unwrap(), document, change, base)
            if done is not None:
                return done
            await self._write(current.unwrap(), document, change)
        return result.Failure(error)

    async def _judge(self, current, document, change, base):
        if current.change == change or current.document == document:
            return result.Success(current.number)
        if base is None or base == current.number:
            return None
        history = await self.read_history()
        if isinstance(history, result.Failure):
            return history
        for revision in history.unwrap():
            if revision.change == change:
                return result.Success(revision.number)
        return result.Failure(
            exceptions.RevisionConflictError(
                f'revision {current.number} is in force, not {base}',
                f'rebase on revision {current.number} and apply again',
            )
        )

    async def _write(self, current, document, change):
        number = current.number + 1
        value = {'revision': number, 'change': change, 'document': document}
        history_key = f'{REVISION_PREFIX}{number:012}'
        await self._tables.transact(
            (
                store.Write(TABLE, CURRENT_KEY, value, current.version),
                store.Write(TABLE, history_key, value, 0),
            )
        )


def _revision(row):
    value = row.value
    return Revision(
        value['revision'], value['change'], value['document'], row.version
    )


def _unavailable():
    return exceptions.PlatformUnavailableError(
        'the table service gave no usable answer'
    )

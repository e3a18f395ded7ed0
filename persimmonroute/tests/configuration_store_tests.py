"""Test how revisions are published."""

from __future__ import annotations

import unittest

from returns import result

from persimmonroute import configuration_store
from persimmonroute import exceptions
from persimmonroute import store
from persimmonroute.store import StoreStatus
from standins import tables


class FaultyTables:
    """Store tables in memory and inject faults into their calls."""

    def __init__(self):
        self.tables = tables.Tables()
        # Called after each committed write, before its reply.
        self.after_write = None
        self.replies_to_lose = 0
        self.delayed_writes = []
        self.writes_to_delay = 0

    async def transact(self, writes):
        """Apply writes, lose the reply, or delay the writes until later."""
        if self.writes_to_delay:
            self.writes_to_delay -= 1
            self.delayed_writes.append(writes)
            return store.StoreReply(StoreStatus.FAILED)
        committed, rows = self.tables.transact(writes)
        if committed and self.after_write is not None:
            await self.after_write()
        if self.replies_to_lose:
            self.replies_to_lose -= 1
            return store.StoreReply(StoreStatus.FAILED)
        status = StoreStatus.COMMITTED if committed else StoreStatus.CONFLICT
        return store.StoreReply(status, _rows(rows))

    async def read(self, table, key):
        """Return the row at a key."""
        row = self.tables.read(table, key)
        rows = [row] if row['version'] else []
        return store.StoreReply(StoreStatus.FOUND, _rows(rows))

    async def scan(self, table, prefix):
        """Return the rows whose keys start with a prefix."""
        rows = self.tables.list_prefix(table, prefix)
        return store.StoreReply(StoreStatus.FOUND, _rows(rows))


def _rows(rows):
    return tuple(
        store.Row(row['key'], row['value'], row['version']) for row in rows
    )


class PublishTests(unittest.IsolatedAsyncioTestCase):
    """Publish changes with lost replies and concurrent operators."""

    def setUp(self):
        """Create an empty table service."""
        self.tables = FaultyTables()
        self.store = configuration_store.ConfigurationStore(self.tables)

    async def _documents(self):
        history = (await self.store.read_history()).unwrap()
        return [revision.document for revision in history]

    async def test_revisions_grow(self):
        """Each change gets the next revision number."""
        first = await self.store.publish('A', 'a')
        second = await self.store.publish('B', 'b')
        self.assertEqual((first.unwrap(), second.unwrap()), (1, 2))

    async def test_head_follows_the_current_revision(self):
        """The head row holds the number of the current revision."""
        self.assertEqual((await self.store.read_head()).unwrap(), 0)
        await self.store.publish('A', 'a')
        await self.store.publish('B', 'b')
        self.assertEqual((await self.store.read_head()).unwrap(), 2)

    async def test_repeating_a_change_is_harmless(self):
        """Publishing the same change ID twice creates one revision."""
        await self.store.publish('A', 'a')
        await self.store.publish('B', 'b')
        again = await self.store.publish('A', 'a')
        self.assertEqual(again.unwrap(), 1)
        self.assertEqual(await self._documents(), ['A', 'B'])

    async def test_lost_response_is_read_back(self):
        """A write whose reply was lost is found by its change ID."""
        self.tables.replies_to_lose = 1
        accepted = await self.store.publish('A', 'a')
        self.assertEqual(accepted.unwrap(), 1)
        self.assertEqual(await self._documents(), ['A'])

    async def test_lost_response_then_superseded(self):
        """A retry after a lost reply does not overwrite a newer revision."""

        async def publish_concurrently():
            self.tables.after_write = None
            await self.store.publish('B', 'b')

        await self.store.publish('0', 'zero')
        self.tables.after_write = publish_concurrently
        self.tables.replies_to_lose = 2
        accepted = await self.store.publish('A', 'a')
        self.assertEqual(accepted.unwrap(), 2)
        self.assertEqual(await self._documents(), ['0', 'A', 'B'])

    async def test_delayed_write_is_not_applied_twice(self):
        """A delayed write conflicts with the retry that replaced it."""
        self.tables.writes_to_delay = 1
        accepted = await self.store.publish('A', 'a')
        for writes in self.tables.delayed_writes:
            self.tables.tables.transact(writes)
        self.assertEqual(accepted.unwrap(), 1)
        self.assertEqual(await self._documents(), ['A'])

    async def test_racing_operators(self):
        """The second of two changes with the same base gets a conflict."""
        await self.store.publish('0', 'zero')
        first = await self.store.publish('A', 'a', base=1)
        second = await self.store.publish('B', 'b', base=1)
        self.assertEqual(first.unwrap(), 2)
        self.assertIsInstance(second, result.Failure)
        error = second.failure()
        self.assertIsInstance(error, exceptions.RevisionConflictError)
        self.assertIn('revision 2', str(error))

    async def test_race_without_a_base(self):
        """Without a base, a concurrent change still causes a conflict."""

        async def publish_concurrently():
            self.tables.after_write = None
            await self.store.publish('B', 'b')

        read = self.tables.read
        raced = []

        async def read_with_race(table, key):
            reply = await read(table, key)
            if not raced and key == configuration_store.CURRENT_KEY:
                raced.append(True)
                await publish_concurrently()
            return reply

        self.tables.read = read_with_race
        accepted = await self.store.publish('A', 'a')
        self.assertIsInstance(accepted, result.Failure)
        self.assertEqual(await self._documents(), ['B'])

    async def test_outage_error_says_to_repeat(self):
        """If all writes fail, the error says to repeat the change."""
        self.tables.writes_to_delay = 100
        accepted = await self.store.publish('A', 'a')
        self.assertIn('repeat', str(accepted.failure()))

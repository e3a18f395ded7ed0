"""Test publishing of revisions."""

from __future__ import annotations

import unittest

from returns import result

from persimmonroute import configuration_store
from persimmonroute import exceptions
from persimmonroute import store
from persimmonroute.store import StoreStatus
from standins import tables


class FaultyTables:
    """Serve tables in memory and act out a script of faults."""

    def __init__(self):
        self.tables = tables.Tables()
        # Called after each write has taken effect.
        self.after_write = None
        self.lose_answers = 0
        self.late = []
        self.delay_writes = 0

    async def transact(self, writes):
        """Apply writes, or lose the answer or the moment."""
        if self.delay_writes:
            self.delay_writes -= 1
            self.late.append(writes)
            return store.StoreReply(StoreStatus.FAILED)
        committed, rows = self.tables.transact(writes)
        if committed and self.after_write is not None:
            await self.after_write()
        if self.lose_answers:
            self.lose_answers -= 1
            return store.StoreReply(StoreStatus.FAILED)
        status = StoreStatus.COMMITTED if committed else StoreStatus.CONFLICT
        return store.StoreReply(status, _rows(rows))

    async def read(self, table, key):
        """Read one row."""
        row = self.tables.read(table, key)
        rows = [row] if row['version'] else []
        return store.StoreReply(StoreStatus.FOUND, _rows(rows))

    async def scan(self, table, prefix):
        """Read the rows with a prefix."""
        rows = self.tables.list_prefix(table, prefix)
        return store.StoreReply(StoreStatus.FOUND, _rows(rows))


def _rows(rows):
    return tuple(
        store.Row(row['key'], row['value'], row['version']) for row in rows
    )


class PublishTests(unittest.IsolatedAsyncioTestCase):
    """Publish changes while answers are lost and operators race."""

    def setUp(self):
        """Start with an empty table service."""
        self.tables = FaultyTables()
        self.store = configuration_store.ConfigurationStore(self.tables)

    async def _documents(self):
        history = (await self.store.read_history()).unwrap()
        return [revision.document for revision in history]

    async def test_revisions_grow(self):
        """Each change gets the next revision."""
        first = await self.store.publish('A', 'a')
        second = await self.store.publish('B', 'b')
        self.assertEqual((first.unwrap(), second.unwrap()), (1, 2))

    async def test_head_follows_the_current_revision(self):
        """Those that poll read the number only."""
        self.assertEqual((await self.store.read_head()).unwrap(), 0)
        await self.store.publish('A', 'a')
        await self.store.publish('B', 'b')
        self.assertEqual((await self.store.read_head()).unwrap(), 2)

    async def test_repeating_a_change_is_harmless(self):
        """The same change is accepted once."""
        await self.store.publish('A', 'a')
        await self.store.publish('B', 'b')
        again = await self.store.publish('A', 'a')
        self.assertEqual(again.unwrap(), 1)
        self.assertEqual(await self._documents(), ['A', 'B'])

    async def test_lost_answer_is_read_back(self):
        """An answer that is lost after the write is no failure."""
        self.tables.lose_answers = 1
        accepted = await self.store.publish('A', 'a')
        self.assertEqual(accepted.unwrap(), 1)
        self.assertEqual(await self._documents(), ['A'])

    async def test_lost_answer_then_superseded(self):
        """A change is not written again over the one that followed it."""

        async def race():
            self.tables.after_write = None
            await self.store.publish('B', 'b')

        await self.store.publish('0', 'zero')
        self.tables.after_write = race
        self.tables.lose_answers = 2
        accepted = await self.store.publish('A', 'a')
        self.assertEqual(accepted.unwrap(), 2)
        self.assertEqual(await self._documents(), ['0', 'A', 'B'])

    async def test_late_write_does_not_count_twice(self):
        """A write that takes effect late finds its revision taken."""
        self.tables.delay_writes = 1
        accepted = await self.store.publish('A', 'a')
        for writes in self.tables.late:
            self.tables.tables.transact(writes)
        self.assertEqual(accepted.unwrap(), 1)
        self.assertEqual(await self._documents(), ['A'])

    async def test_racing_operators(self):
        """One of two operators with the same base gets a conflict."""
        await self.store.publish('0', 'zero')
        first = await self.store.publish('A', 'a', base=1)
        second = await self.store.publish('B', 'b', base=1)
        self.assertEqual(first.unwrap(), 2)
        self.assertIsInstance(second, result.Failure)
        error = second.failure()
        self.assertIsInstance(error, exceptions.RevisionConflictError)
        self.assertIn('revision 2', str(error))

    async def test_race_without_a_base(self):
        """A change does not silently replace one that it has not seen."""

        async def race():
            self.tables.after_write = None
            await self.store.publish('B', 'b')

        read = self.tables.read
        raced = []

        async def read_then_race(table, key):
            reply = await read(table, key)
            if not raced and key == configuration_store.CURRENT_KEY:
                raced.append(True)
                await race()
            return reply

        self.tables.read = read_then_race
        accepted = await self.store.publish('A', 'a')
        self.assertIsInstance(accepted, result.Failure)
        self.assertEqual(await self._documents(), ['B'])

    async def test_outage_names_its_remedy(self):
        """Without the table service nothing is accepted."""
        self.tables.delay_writes = 100
        accepted = await self.store.publish('A', 'a')
        self.assertIn('repeat', str(accepted.failure()))

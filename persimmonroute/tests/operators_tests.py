"""Test the change of operator."""

from __future__ import annotations

import json
import unittest

from returns import result

from persimmonroute import configuration_store
from persimmonroute.entry import board as boards
from persimmonroute.entry import configuration
from persimmonroute.entry import messages
from persimmonroute import exceptions
from persimmonroute import operators
from persimmonroute.tests import configuration_store_tests
from standins import small_simulation

FIRST = json.dumps(small_simulation.DECLARATIONS)
SECOND = json.dumps({**small_simulation.DECLARATIONS, 'workspaces': ['w']})


class HandoverTests(unittest.IsolatedAsyncioTestCase):
    """Pass the operation from one operator to another."""

    def setUp(self):
        """Start with two operators and an empty table service."""
        self.tables = configuration_store_tests.FaultyTables()
        self.old_key = operators.OperatorKey.generate()
        self.new_key = operators.OperatorKey.generate()
        self.old = configuration_store.ConfigurationStore(
            self.tables, self.old_key
        )
        self.new = configuration_store.ConfigurationStore(
            self.tables, self.new_key
        )
        self.board = boards.EntryBoard('e', boards.Locality('r', 'd'))
        self.keeper = configuration.ConfigurationManager(
            self.board, operators.SignatureVerifier(self.old_key.public_key)
        )

    async def _hear_current(self):
        current = (await self.new.read_current()).unwrap()
        self._hear(current)

    def _hear(self, revision):
        heard = messages.ConfigurationReceived(
            revision.number, revision.to_bytes()
        )
        self.keeper.on_received(heard, 0.0)

    async def _hand_over(self):
        await self.old.publish(FIRST, 'a')
        return await self.old.hand_over(self.new_key.public_key, 'handover')

    def _assert_refused(self, answer):
        self.assertIsInstance(answer, result.Failure)
        self.assertIsInstance(answer.failure(), exceptions.NotOperatorError)

    async def test_new_operator_goes_on(self):
        """The new operator changes the declarations after the handover."""
        self.assertEqual((await self._hand_over()).unwrap(), 2)
        accepted = await self.new.publish(SECOND, 'b')
        self.assertEqual(accepted.unwrap(), 3)
        await self._hear_current()
        self.assertEqual(self.board.revision, 3)
        self.assertEqual(self.board.declarations.workspaces, {'w'})

    async def test_old_operator_is_refused(self):
        """The old operator can neither change nor hand over again."""
        await self._hand_over()
        self._assert_refused(await self.old.publish(SECOND, 'b'))
        stranger = operators.OperatorKey.generate()
        self._assert_refused(
            await self.old.hand_over(stranger.public_key, 'c')
        )

    async def test_stranger_is_refused(self):
        """Neither a stranger's key nor no key is accepted."""
        await self.old.publish(FIRST, 'a')
        self._assert_refused(await self.new.publish(SECOND, 'b'))
        unsigned = configuration_store.ConfigurationStore(self.tables)
        self._assert_refused(await unsigned.publish(SECOND, 'c'))

    async def test_late_change_of_the_old_operator(self):
        """A write on its way during the handover does not take effect."""
        await self.old.publish(FIRST, 'a')
        self.tables.delay_writes = 100
        await self.old.publish(SECOND, 'late')
        self.tables.delay_writes = 0
        await self.old.hand_over(self.new_key.public_key, 'handover')
        for writes in self.tables.late:
            committed, _ = self.tables.tables.transact(writes)
            self.assertFalse(committed)

    async def test_lost_answer_of_the_handover(self):
        """A handover whose answer is lost is read back."""
        await self.old.publish(FIRST, 'a')
        self.tables.lose_answers = 1
        answer = await self.old.hand_over(self.new_key.public_key, 'h')
        self.assertEqual(answer.unwrap(), 2)

    async def test_forged_revision_of_the_old_operator(self):
        """Entries refuse what the old operator signs after the handover."""
        await self._hand_over()
        await self._hear_current()
        current = (await self.new.read_current()).unwrap()
        forged = current._replace(
            number=3,
            document=SECOND,
            signature=self.old_key.sign_revision(3, SECOND),
        )
        self._hear(forged)
        self.assertEqual(self.board.revision, 2)
        self._hear(forged._replace(chain=()))
        self.assertEqual(self.board.revision, 2)

    async def test_second_handover_of_the_old_operator(self):
        """Entries refuse a chain that forks."""
        await self._hand_over()
        await self._hear_current()
        stranger = operators.OperatorKey.generate()
        fork = self.old_key.sign_handover(2, stranger.public_key)
        forged = configuration_store.Revision(
            3, 'x', SECOND, 1, stranger.sign_revision(3, SECOND), (fork,)
        )
        self._hear(forged)
        self.assertEqual(self.board.revision, 2)

    async def test_tampered_document(self):
        """Entries refuse a document that was changed on the way."""
        await self.old.publish(FIRST, 'a')
        current = (await self.old.read_current()).unwrap()
        self._hear(current._replace(document=SECOND))
        self._hear(current._replace(number=9))
        self.assertEqual(self.board.revision, 0)

    async def test_restarted_entry_follows_the_chain(self):
        """An entry that knows only the first key accepts the latest."""
        await self._hand_over()
        await self.new.publish(SECOND, 'b')
        await self._hear_current()
        self.assertEqual(self.board.revision, 3)

    async def test_key_survives_its_file_form(self):
        """A key in PEM signs like the key itself."""
        pem = self.old_key.to_pem()
        self.assertIn(b'PRIVATE KEY', pem)

"""Test handovers between operators."""

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
    """Transfer the operator role and check what each key may sign."""

    def setUp(self):
        """Create two operators and an empty table service."""
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
        self.manager = configuration.ConfigurationManager(
            self.board, operators.SignatureVerifier(self.old_key.public_key)
        )

    async def _receive_current(self):
        current = (await self.new.read_current()).unwrap()
        self._receive(current)

    def _receive(self, revision):
        received = messages.ConfigurationReceived(
            revision.number, revision.to_bytes()
        )
        self.manager.on_received(received, 0.0)

    async def _hand_over(self):
        await self.old.publish(FIRST, 'a')
        return await self.old.hand_over(self.new_key.public_key, 'handover')

    def _assert_refused(self, outcome):
        self.assertIsInstance(outcome, result.Failure)
        self.assertIsInstance(outcome.failure(), exceptions.NotOperatorError)

    async def test_new_operator_publishes_after_handover(self):
        """The new operator can publish revisions after the handover."""
        self.assertEqual((await self._hand_over()).unwrap(), 2)
        accepted = await self.new.publish(SECOND, 'b')
        self.assertEqual(accepted.unwrap(), 3)
        await self._receive_current()
        self.assertEqual(self.board.revision, 3)
        self.assertEqual(self.board.declarations.workspaces, {'w'})

    async def test_old_operator_is_refused(self):
        """The old operator can neither publish nor hand over again."""
        await self._hand_over()
        self._assert_refused(await self.old.publish(SECOND, 'b'))
        unknown_key = operators.OperatorKey.generate()
        self._assert_refused(
            await self.old.hand_over(unknown_key.public_key, 'c')
        )

    async def test_unknown_key_is_refused(self):
        """An unknown key and a missing key are both refused."""
        await self.old.publish(FIRST, 'a')
        self._assert_refused(await self.new.publish(SECOND, 'b'))
        unsigned = configuration_store.ConfigurationStore(self.tables)
        self._assert_refused(await unsigned.publish(SECOND, 'c'))

    async def test_delayed_write_of_the_old_operator(self):
        """A write delayed past the handover does not take effect."""
        await self.old.publish(FIRST, 'a')
        self.tables.writes_to_delay = 100
        await self.old.publish(SECOND, 'late')
        self.tables.writes_to_delay = 0
        await self.old.hand_over(self.new_key.public_key, 'handover')
        for writes in self.tables.delayed_writes:
            committed, _ = self.tables.tables.transact(writes)
            self.assertFalse(committed)

    async def test_lost_response_of_the_handover(self):
        """A handover whose reply was lost is found by its change ID."""
        await self.old.publish(FIRST, 'a')
        self.tables.replies_to_lose = 1
        outcome = await self.old.hand_over(self.new_key.public_key, 'h')
        self.assertEqual(outcome.unwrap(), 2)

    async def test_forged_revision_of_the_old_operator(self):
        """Entries reject revisions the old operator signs after a handover."""
        await self._hand_over()
        await self._receive_current()
        current = (await self.new.read_current()).unwrap()
        forged = current._replace(
            number=3,
            document=SECOND,
            signature=self.old_key.sign_revision(3, SECOND),
        )
        self._receive(forged)
        self.assertEqual(self.board.revision, 2)
        self._receive(forged._replace(chain=()))
        self.assertEqual(self.board.revision, 2)

    async def test_second_handover_of_the_old_operator(self):
        """Entries reject a chain that forks from the accepted one."""
        await self._hand_over()
        await self._receive_current()
        unknown_key = operators.OperatorKey.generate()
        fork = self.old_key.sign_handover(2, unknown_key.public_key)
        forged = configuration_store.Revision(
            3, 'x', SECOND, 1, unknown_key.sign_revision(3, SECOND), (fork,)
        )
        self._receive(forged)
        self.assertEqual(self.board.revision, 2)

    async def test_tampered_document(self):
        """Entries reject a document or number that was not signed."""
        await self.old.publish(FIRST, 'a')
        current = (await self.old.read_current()).unwrap()
        self._receive(current._replace(document=SECOND))
        self._receive(current._replace(number=9))
        self.assertEqual(self.board.revision, 0)

    async def test_restarted_entry_follows_the_chain(self):
        """An entry that knows only the first key accepts the latest."""
        await self._hand_over()
        await self.new.publish(SECOND, 'b')
        await self._receive_current()
        self.assertEqual(self.board.revision, 3)

    async def test_key_is_exported_as_pem(self):
        """A key is exported as a PEM private key."""
        pem = self.old_key.to_pem()
        self.assertIn(b'PRIVATE KEY', pem)

"""Test what gateways keep of versions in the store."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from persimmonroute import clock
from persimmonroute import exceptions
from persimmonroute.gateway import row_keeping
from persimmonroute.gateway import runners
from persimmonroute.gateway import version_keeping
from standins import gateway_fixtures as fixtures

# Time that the store needs for an answer.
READ_S = 0.001
KEY = (fixtures.SERVICE, 'v1')


class FakeRows(version_keeping.VersionRows):
    """Keep the rows in memory, and count the calls."""

    def __init__(self):
        self.rows = {}
        self.reads = 0
        self.writes = 0

    async def read(self):
        """Return the rows."""
        self.reads += 1
        await asyncio.sleep(READ_S)
        return dict(self.rows)

    async def add(self, service, version):
        """Write a row."""
        self.writes += 1
        self.rows.setdefault((service, version), self.writes)

    async def remove(self, service, version, number):
        """Remove a row unless it was written again."""
        self.writes += 1
        if self.rows.get((service, version)) == number:
            del self.rows[(service, version)]


class VersionKeeperTests(unittest.IsolatedAsyncioTestCase):
    """Synchronize the rows of one gateway, or of several."""

    def setUp(self):
        """Prepare an empty store, read without pauses."""
        self.rows = FakeRows()
        self.board = self._build('gateway-1')
        patch = mock.patch.object(row_keeping, 'CHECK_INTERVAL_S', 0.001)
        patch.start()
        self.addCleanup(patch.stop)

    def _build(self, name, era=version_keeping.FIRST_ERA):
        board = fixtures.board(now=clock.now_s(), name=name)
        # As after the first response of the store.
        board.raise_store_era(era)
        return board

    async def _run(self, *boards):
        """Keep the rows for a moment."""
        tasks = [
            asyncio.create_task(
                version_keeping.VersionKeeper(board, self.rows).run()
            )
            for board in boards
        ]
        await asyncio.sleep(0.05)
        for task in tasks:
            task.cancel()

    async def test_restored_store_tells_nothing_for_a_while(self):
        """Guards against a version that the copy of the store lacks."""
        await self._run(self.board)
        ((service, version),) = self.rows.rows
        restored = self._build('gateway-2', version_keeping.FIRST_ERA + 1)
        keeper = version_keeping.VersionKeeper(restored, self.rows)
        self.assertFalse(await keeper.is_only_version(service, version))
        with mock.patch.object(version_keeping, 'RESTORED_SETTLE_S', 0.0):
            self.assertTrue(await keeper.is_only_version(service, version))
        self.assertFalse(await keeper.is_only_version(service, version))
        # Another restore begins another while.
        with mock.patch.object(version_keeping, 'RESTORED_SETTLE_S', 0.05):
            await asyncio.sleep(0.06)
            restored.raise_store_era(version_keeping.FIRST_ERA + 2)
            self.assertFalse(await keeper.is_only_version(service, version))

    async def test_store_whose_era_is_not_known_tells_nothing(self):
        """A gateway that has had no response may not guess."""
        await self._run(self.board)
        ((service, version),) = self.rows.rows
        fresh = fixtures.board(now=clock.now_s(), name='gateway-2')
        keeper = version_keeping.VersionKeeper(fresh, self.rows)
        self.assertFalse(await keeper.is_only_version(service, version))

    async def test_gateway_that_starts_again_knows_the_versions(self):
        """Without another version no other can have begun a stream."""
        await self._run(self.board)
        self.assertEqual(self.rows.rows.keys(), {KEY})
        again = self._build('gateway-2')
        self.assertEqual(self._find(again), ({'v1'}, False))
        await self._run(again)
        self.assertEqual(self._find(again), ({'v1'}, True))

    async def test_version_that_came_and_went_is_still_known(self):
        """Its row stays until it has been gone for long."""
        late = fixtures.runner('r2', version='v2')
        registry = self.board.runner_registry
        registry.apply([late], (), False, clock.now_s())
        await self._run(self.board)
        registry.apply((), ['r2'], False, clock.now_s())
        await self._run(self.board)
        again = self._build('gateway-2')
        await self._run(again)
        self.assertEqual(self._find(again), ({'v1', 'v2'}, True))
        with mock.patch.object(runners, 'VERSION_HISTORY_S', 0.01):
            await self._run(self.board)
        self.assertEqual(self.rows.rows.keys(), {KEY})

    async def test_version_that_came_back_elsewhere_keeps_its_row(self):
        """Guards against a gateway that has not heard of it yet."""
        late = fixtures.runner('r2', version='v2')
        newer = fixtures.runner('r3', version='v3')
        registry = self.board.runner_registry
        with mock.patch.object(runners, 'VERSION_HISTORY_S', 0.2):
            registry.apply([late], (), False, clock.now_s())
            registry.apply((), ['r2'], False, clock.now_s())
            await asyncio.sleep(0.25)
            keeper = version_keeping.VersionKeeper(self.board, self.rows)
            task = asyncio.create_task(keeper.run())
            await asyncio.sleep(0.02)
            # Another gateway begins streams at the version that came back.
            await self.rows.add(fixtures.SERVICE, 'v2')
            # A row of its own makes this one read the others.
            registry.apply([newer], (), False, clock.now_s())
            await asyncio.sleep(0.1)
            task.cancel()
        self.assertIn((fixtures.SERVICE, 'v2'), self.rows.rows)

    async def test_one_gateway_writes(self):
        """Calls do not grow with the fleet."""
        boards = [self._build(f'gateway-{n}') for n in range(10)]
        now = clock.now_s()
        for board in boards:
            for other in boards:
                board.peers.update_peer(other.name, 'x:1', now, 'riga-a')
                report = mock.Mock(
                    incarnation=1, sequence=1, stopping=False, interval_s=9.0
                )
                report.name = other.name
                board.peers.apply_report(report, now)
        await self._run(*boards)
        self.assertEqual(self.rows.writes, 1)
        self.assertLessEqual(self.rows.reads, 11)

    async def test_restored_store_gets_the_rows_again(self):
        """A row that the copy lacks is written once more."""
        keeper = version_keeping.VersionKeeper(self.board, self.rows)
        with mock.patch.object(row_keeping, 'REWRITE_SPREAD_S', 0.001):
            task = asyncio.create_task(keeper.run())
            await asyncio.sleep(0.05)
            self.rows.rows.clear()
            keeper.on_store_restored()
            await asyncio.sleep(0.05)
            task.cancel()
        self.assertEqual(self.rows.rows.keys(), {KEY})

    async def test_version_has_its_row_before_a_stream_begins(self):
        """The row exists once the version is confirmed, without a pause."""
        keeper = version_keeping.VersionKeeper(self.board, self.rows)
        await keeper.confirm(*KEY)
        self.assertEqual(self.rows.rows.keys(), {KEY})
        await keeper.confirm(*KEY)
        self.assertEqual(self.rows.writes, 1)

    async def test_version_that_comes_back_is_confirmed_again(self):
        """Its row may have been removed while it was gone."""
        keeper = version_keeping.VersionKeeper(self.board, self.rows)
        await keeper.confirm(*KEY)
        registry = self.board.runner_registry
        record = registry.find('r1').record
        registry.apply((), ['r1'], False, clock.now_s())
        task = asyncio.create_task(keeper.run())
        await asyncio.sleep(0.02)
        task.cancel()
        self.rows.rows.clear()
        registry.apply([record], (), False, clock.now_s())
        await keeper.confirm(*KEY)
        self.assertEqual(self.rows.rows.keys(), {KEY})

    async def test_store_that_fails_holds_no_stream_up_for_long(self):
        """One stream waits a moment, later ones do not; then it is tried."""
        keeper = version_keeping.VersionKeeper(self.board, self.rows)
        failure = exceptions.PlatformUnavailableError('no answer')
        with (
            mock.patch.object(version_keeping, 'CONFIRM_TIMEOUT_S', 0.05),
            mock.patch.object(self.rows, 'add', side_effect=failure),
        ):
            began_at = clock.now_s()
            await keeper.confirm(*KEY)
            self.assertGreater(clock.now_s() - began_at, 0.04)
            began_at = clock.now_s()
            await keeper.confirm(*KEY)
            self.assertLess(clock.now_s() - began_at, 0.04)
        await asyncio.sleep(0.5)
        self.assertEqual(self.rows.rows.keys(), {KEY})

    async def test_only_version_is_read_from_the_store(self):
        """What gateways missed counts; without the store nothing is sure."""
        keeper = version_keeping.VersionKeeper(self.board, self.rows)
        await keeper.confirm(*KEY)
        self.assertTrue(await keeper.is_only_version(*KEY))
        await self.rows.add(fixtures.SERVICE, 'v2')
        self.assertFalse(await keeper.is_only_version(*KEY))
        failure = exceptions.PlatformUnavailableError('no answer')
        with mock.patch.object(self.rows, 'read', side_effect=failure):
            self.assertFalse(await keeper.is_only_version(*KEY))

    async def test_questions_at_the_same_time_share_reads(self):
        """Many streams are taken up at once after a kill."""
        keeper = version_keeping.VersionKeeper(self.board, self.rows)
        await keeper.confirm(*KEY)
        before = self.rows.reads
        answers = await asyncio.gather(
            *(keeper.is_only_version(*KEY) for _ in range(50))
        )
        self.assertEqual(set(answers), {True})
        self.assertLessEqual(self.rows.reads - before, 2)

    def _find(self, board):
        return board.runner_registry.find_versions(
            fixtures.SERVICE, clock.now_s()
        )

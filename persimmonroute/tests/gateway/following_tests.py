"""Test that followers lose no change of a table."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from persimmonroute import clock
from persimmonroute import exceptions
from persimmonroute.gateway import following
from persimmonroute.gateway import peers
from persimmonroute.gateway import polling
from persimmonroute.platform import tables
from standins import gateway_fixtures as fixtures

# Bounds of the smallest deployment, in seconds.
STABLE_S = 3.0
DRAIN_S = 2.5
NO_CHANGES = following.Changes(None, (), (), False, 0.0)


class ScriptedSource(following.Source):
    """Report one change to whichever watch is under way when it happens."""

    def __init__(self):
        self._changes = [fixtures.configuration(version=2)]
        self._changed = asyncio.Event()
        self.watches = 0

    def set_wait_s(self, wait_s):
        """Ignore the wait."""

    async def read(self):
        """Return the first configuration."""
        return _changes_of(fixtures.configuration(version=1))

    async def watch(self, long_poll):
        """Wait for the change, which happens during a short watch."""
        self.watches += 1
        if long_poll:
            await self._changed.wait()
            if not self._changes:
                await asyncio.Event().wait()
        else:
            self._changed.set()
            await asyncio.sleep(0.02)
        # Passed on once, as the source then asks for later changes.
        if self._changes:
            return _changes_of(self._changes.pop())
        return NO_CHANGES

    def export_rows(self):
        """Return no rows."""
        return {}

    def import_rows(self, received):
        """Return no changes."""
        return NO_CHANGES


class ListedSource(ScriptedSource):
    """List an endpoint, and note when changes are watched."""

    def __init__(self):
        super().__init__()
        self.read_at = None
        self.watched_at = None

    async def read(self):
        """Return one endpoint."""
        self.read_at = clock.now_s()
        return following.Changes(
            None, (fixtures.runner('r1'),), (), True, self.read_at
        )

    async def watch(self, long_poll):
        """Note the time and wait for ever."""
        self.watched_at = clock.now_s()
        await asyncio.Event().wait()


class StartingSource(ListedSource):
    """Report the row of one endpoint again and again, as it starts."""

    def __init__(self):
        super().__init__()
        self.endpoint = fixtures.runner('r1')

    async def watch(self, long_poll):
        """Return the row at once."""
        self.watches += 1
        return following.Changes(
            None, (self.endpoint,), (), False, clock.now_s()
        )


class LostAnswerSource(ListedSource):
    """Lose the answer of the long poll that tells of a leaving endpoint."""

    async def watch(self, long_poll):
        """Tell of the change only if the store answers at once."""
        self.watches += 1
        if long_poll:
            await asyncio.Event().wait()
        leaving = fixtures.runner('r1')._replace(leaving=True)
        return following.Changes(
            None,
            (leaving,),
            (),
            False,
            clock.now_s(),
            complete_to=9,
            newest_change=9,
        )


class SilentStoreSource(LostAnswerSource):
    """Answer no long poll: each ends with its time."""

    wait_s = None

    def set_wait_s(self, wait_s):
        """Set the time of the next poll."""
        self.wait_s = wait_s

    async def watch(self, long_poll):
        """Fail at the end of a long poll."""
        if long_poll:
            self.watches += 1
            await asyncio.sleep(self.wait_s)
            raise exceptions.PlatformUnavailableError('no answer')
        return await super().watch(False)


def report(board, names, now):
    """Let other gateways report to a board."""
    for name in names:
        board.peers.update_peer(name, 'x:1', now, 'riga-a')
        board.peers.apply_report(
            peers.PeerReport(name, 1, int(now * 10) + 1, {}, {}, {}), now
        )


class RunnerFollowerTests(unittest.IsolatedAsyncioTestCase):
    """Follow the registrations of endpoints."""

    async def test_change_that_peers_have_read_is_asked_for(self):
        """Guards against a lost answer that hides a leaving endpoint."""
        board, source = fixtures.board(), LostAnswerSource()
        follower = following.RunnerFollower(
            board, source, None, lambda now: None, lambda r: None
        )
        task = asyncio.create_task(follower.run())
        self.addCleanup(task.cancel)
        while not source.watches:
            await asyncio.sleep(0.001)
        now = clock.now_s()
        board.registration_changes.record_peer(0, 9, now)
        follower.check_age(now + 0.5)
        await asyncio.sleep(0.05)
        self.assertFalse(board.runner_registry.find('r1').leaving)
        follower.check_age(now + 1.0)
        await asyncio.sleep(0.05)
        self.assertTrue(board.runner_registry.find('r1').leaving)
        self.assertEqual(source.watches, 2)

    async def test_lost_poll_of_a_lone_gateway_ends_soon(self):
        """Guards against a silent store that hides leaving endpoints.

        It swallows the polls of all gateways, so that no peer knows either.
        """
        board, source = fixtures.board(), SilentStoreSource()
        follower = following.RunnerFollower(
            board, source, None, lambda now: None, lambda r: None
        )
        with mock.patch.object(polling, 'SENTINEL_POLL_S', 0.1):
            task = asyncio.create_task(follower.run())
            self.addCleanup(task.cancel)
            async with asyncio.timeout(2.0):
                while not board.runner_registry.find('r1'):
                    await asyncio.sleep(0.001)
                while not board.runner_registry.find('r1').leaving:
                    await asyncio.sleep(0.01)
        self.assertEqual(source.watches, 2)

    async def test_few_gateways_poll_often(self):
        """The calls do not grow with the fleet, and some always do."""
        for count in (1, 2, 3, 4, 31, 300):
            with self.subTest(count=count):
                names = [f'g{n}' for n in range(count)]
                waits = [self._find_wait_s(name, names) for name in names]
                often = waits.count(polling.SENTINEL_POLL_S)
                self.assertEqual(often, min(count, polling.SENTINELS))
                self.assertLessEqual(max(waits), polling.MAX_POLL_S)

    async def test_lost_poll_is_known_before_endpoints_leave(self):
        """The bounds are those of the smallest deployment.

        A store counts as sound some time after a silence; a change that it
        takes then is known in time.
        """
        known_s = polling.SENTINEL_POLL_S + tables.WATCH_GRACE_S
        told_s = polling.CHANGE_PAUSE_S + following.MISSED_CHANGE_S
        self.assertLess(known_s + told_s, STABLE_S + DRAIN_S)

    def _find_wait_s(self, name, names):
        board, source = fixtures.board(name=name), SilentStoreSource()
        report(board, [n for n in names if n != name], 0.0)
        follower = following.RunnerFollower(
            board, source, None, lambda now: None, lambda r: None
        )
        follower._prepare_watch(0.0)
        return source.wait_s

    async def test_gateway_takes_the_place_of_one_that_stopped(self):
        """Guards against a long poll that began before."""
        names = [f'g{n}' for n in range(5)]
        waits = {name: self._find_wait_s(name, names) for name in names}
        seldom = [n for n in names if waits[n] == polling.MAX_POLL_S]
        interrupted = 0
        for name in seldom:
            board, source = fixtures.board(name=name), SilentStoreSource()
            report(board, [n for n in names if n != name], 0.0)
            follower = following.RunnerFollower(
                board, source, None, lambda now: None, lambda r: None
            )
            follower._prepare_watch(0.0)
            follower.check_age(4.0)
            report(board, [n for n in seldom if n != name], 4.0)
            self.assertTrue(follower._is_sentinel(4.0))
            interrupted += follower._interrupted.is_set()
        self.assertEqual(interrupted, len(seldom))

    async def test_changes_are_watched_at_once_after_the_list(self):
        """An endpoint that leaves right after a start is known to leave."""
        source = ListedSource()
        follower = following.RunnerFollower(
            fixtures.board(), source, None, lambda now: None, lambda r: None
        )
        task = asyncio.create_task(follower.run())
        self.addCleanup(task.cancel)
        await asyncio.sleep(2 * polling.CHANGE_PAUSE_S)
        waited_s = source.watched_at - source.read_at
        self.assertLess(waited_s, polling.CHANGE_PAUSE_S / 2)

    async def test_rows_of_a_starting_endpoint_cost_few_calls(self):
        """A large fleet waits longer if no endpoint's use ends."""
        board, source = fixtures.board(), StartingSource()
        for number in range(60):
            board.peers.update_peer(
                f'peer-{number}', '127.0.0.1:1', clock.now_s(), 'riga-a', 1.0
            )
        follower = following.RunnerFollower(
            board, source, None, lambda now: None, lambda r: None
        )
        task = asyncio.create_task(follower.run())
        self.addCleanup(task.cancel)
        await asyncio.sleep(1.3)
        self.assertEqual(source.watches, 1)
        source.endpoint = source.endpoint._replace(leaving=True)
        async with asyncio.timeout(2 * polling.IDLE_PAUSE.longest_s):
            while not board.runner_registry.find('r1').leaving:
                await asyncio.sleep(0.01)
        self.assertEqual(source.watches, 2)


class ConfigurationFollowerTests(unittest.IsolatedAsyncioTestCase):
    """Follow a scripted source."""

    async def test_interrupted_watch_loses_no_change(self):
        """A change that arrives while the age is checked is applied."""
        board = fixtures.board()
        source = ScriptedSource()
        follower = following.ConfigurationFollower(
            board, source, None, lambda now: None, 1.0
        )
        task = asyncio.create_task(follower.run())
        self.addCleanup(task.cancel)
        while not source.watches:
            await asyncio.sleep(0.001)
        follower.check_age(clock.now_s() + 10.0)
        await asyncio.sleep(0.1)
        self.assertEqual(board.version, 2)


def _changes_of(configuration):
    return following.Changes(configuration, (), (), True, clock.now_s())

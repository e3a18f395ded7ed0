"""Test what requests hold and ask for while a place is looked for."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from persimmonroute import clock
from persimmonroute import exceptions
from persimmonroute.gateway import admission
from persimmonroute.gateway import forwarding
from persimmonroute.gateway import model
from persimmonroute.gateway import places
from persimmonroute.gateway import retry_budget
from persimmonroute.gateway import standby
from persimmonroute import http_connection
from persimmonroute.platform import runner_client
from standins import gateway_fixtures as fixtures

WINDOW_S = 10.0
# Allows one retry at a time.
SLACK = 2.0
# Time in which tasks reach their next wait, in seconds.
SETTLE_S = 0.05
# Longer than the requests here take, in seconds.
REMAINING_S = 60.0
# Time for which a gateway stands still, in seconds.
SUSPENDED_S = 2.0


class DispatcherStandIn:
    """Grant an endpoint when the test says so."""

    def __init__(self, view):
        self._view = view
        self.open = asyncio.Event()
        self.asked = 0
        self.released = []

    async def wait_for_grant(self, pending):
        """Return the endpoint once grants are open."""
        self.asked += 1
        await self.open.wait()
        pending.runner = self._view
        pending.sent_at = clock.now_s()
        return self._view

    def release(self, pending, ending):
        """Record that a slot was returned."""
        pending.runner = None
        self.released.append(ending)


class PlaceCase(unittest.IsolatedAsyncioTestCase):
    """Look for places with a clock and grants that tests control."""

    async def asyncSetUp(self):
        """Create a finder on a board with one endpoint."""
        self.now = 0.0
        patcher = mock.patch.object(clock, 'now_s', lambda: self.now)
        patcher.start()
        self.addCleanup(patcher.stop)
        self.route = fixtures.route(
            streaming=False, idempotent=True, timeout_s=REMAINING_S
        )
        self.board = fixtures.board(routes=[self.route])
        self.board.retries = retry_budget.RetryBudget(0.0, SLACK, WINDOW_S)
        (self.view,) = self.board.runner_registry
        self.dispatcher = DispatcherStandIn(self.view)
        self.client = mock.Mock()
        self.client.connect = mock.AsyncMock()
        self.finder = places.PlaceFinder(
            self.board,
            admission.Admission(self.board),
            self.dispatcher,
            self.client,
            mock.Mock(),
            mock.Mock(),
            mock.AsyncMock(),
        )

    def _build_request(self):
        return fixtures.pending_request(
            self.now,
            self.route,
            fixtures.workspace(),
            remaining_s=REMAINING_S,
        )

    def _start_search(self):
        """Search for a request whose endpoint is silent."""
        pending = self._build_request()
        pending.runner = self.view
        searching = asyncio.create_task(self.finder.search(pending))
        self.addCleanup(searching.cancel)
        return searching

    def _start_retry(self):
        """Look for a place for a request whose attempt has ended."""
        pending = self._build_request()
        self.assertTrue(self.finder.take_retry(pending))
        retrying = asyncio.create_task(self.finder.find_again(pending))
        self.addCleanup(retrying.cancel)
        return retrying

    def _advance(self, seconds):
        """Let time pass in which the configuration is confirmed."""
        self.now += seconds
        self.board.configuration_freshness.confirm(self.now, self.now)

    def _used(self):
        return self.board.retries.report_used(self.now)[fixtures.SERVICE]


class BudgetTests(PlaceCase):
    """Share the retry budget between searches and retries."""

    async def test_queued_search_leaves_the_budget_to_retries(self):
        """Guards against 502 while a search that may be in vain waits."""
        self._start_search()
        await asyncio.sleep(SETTLE_S)
        self.assertEqual(self.dispatcher.asked, 1)
        self.assertTrue(self.finder.take_retry(self._build_request()))

    async def test_long_searches_keep_to_the_budget_together(self):
        """Guards against searches that outlast the window they count in."""
        searches = [self._start_search()]
        await asyncio.sleep(SETTLE_S)
        self._advance(WINDOW_S + 1.0)
        searches.append(self._start_search())
        await asyncio.sleep(SETTLE_S)
        self.dispatcher.open.set()
        await asyncio.sleep(SETTLE_S)
        self.assertEqual([s.done() for s in searches], [True, False])
        self.finder.record_sent(searches[0].result().pending)
        self.assertEqual(self._used(), 1)

    async def test_long_retries_keep_to_the_budget_together(self):
        """Guards against retries that outlast the window they count in."""
        retries = [self._start_retry()]
        await asyncio.sleep(SETTLE_S)
        self._advance(WINDOW_S + 1.0)
        retries.append(self._start_retry())
        await asyncio.sleep(SETTLE_S)
        self.dispatcher.open.set()
        found = await asyncio.gather(*retries)
        found = [place for place in found if isinstance(place, places.Place)]
        for place in found:
            self.finder.record_sent(place.pending)
        self.assertEqual((len(found), self._used()), (1, 1))

    async def test_search_without_budget_holds_no_place(self):
        """Guards against slots held by searches that may not be sent."""
        self._start_search()
        await asyncio.sleep(SETTLE_S)
        self.assertTrue(self.finder.take_retry(self._build_request()))
        self.dispatcher.open.set()
        await asyncio.sleep(SETTLE_S)
        self.assertEqual(len(self.dispatcher.released), 1)
        self.client.release.assert_called_once()
        self.assertEqual(self._used(), 1)


class RevokedKeyTests(PlaceCase):
    """Search for a request whose key is taken away."""

    def _configure(self, key, version):
        workspace = fixtures.workspace(key=key)
        self.board.adopt_configuration(
            fixtures.configuration([self.route], [workspace], version),
            self.now,
        )

    async def test_search_asks_for_no_slot_that_it_may_not_use(self):
        """Guards against slots granted again and again for a lost key."""
        self.dispatcher.open.set()
        searching = self._start_search()
        self._advance(admission.RECHECK_S)
        self._configure('another', 2)
        await asyncio.sleep(SETTLE_S + places.SEARCH_PAUSE_S)
        self.assertEqual(self.dispatcher.asked, 0)
        self.assertFalse(searching.done())

    async def test_search_goes_on_with_a_key_that_is_back(self):
        """Guards against a search that one refusal ends for good."""
        self.dispatcher.open.set()
        searching = self._start_search()
        self._advance(admission.RECHECK_S)
        self._configure('another', 2)
        await asyncio.sleep(SETTLE_S)
        self._configure(fixtures.KEY, 3)
        await asyncio.sleep(SETTLE_S + places.SEARCH_PAUSE_S)
        self.assertTrue(searching.done())


class NewsTests(PlaceCase):
    """Change what is known while a granted endpoint is connected to."""

    async def asyncSetUp(self):
        """Grant what is asked for."""
        await super().asyncSetUp()
        self.dispatcher.open.set()
        self.connection = mock.Mock()

    async def test_endpoint_that_leaves_meanwhile_gets_no_request(self):
        """Guards against new work for an endpoint that is leaving."""

        async def connect(*args, **options):
            self.view.announced_leaving = True
            self.dispatcher.open.clear()
            return self.connection

        self.client.connect.side_effect = connect
        pending = self._build_request()
        finding = asyncio.create_task(self.finder.find(pending))
        self.addCleanup(finding.cancel)
        await asyncio.sleep(SETTLE_S)
        self.assertFalse(finding.done())
        self.assertEqual(self.dispatcher.asked, 2)
        self.assertEqual(pending.excluded, {self.view.id})
        self.connection.close.assert_called_once()

    async def test_key_that_is_lost_meanwhile_sends_no_request(self):
        """Guards against a request that is sent with a revoked key."""

        async def connect(*args, **options):
            self._advance(admission.RECHECK_S)
            workspace = fixtures.workspace(key='another')
            self.board.adopt_configuration(
                fixtures.configuration([self.route], [workspace], 2), self.now
            )
            return self.connection

        self.client.connect.side_effect = connect
        rejection = await self.finder.find(self._build_request())
        self.assertIsInstance(rejection, model.Rejection)
        self.assertEqual(rejection.status, 401)
        self.assertEqual(len(self.dispatcher.released), 1)
        self.connection.close.assert_called_once()


class SuspensionTests(PlaceCase):
    """Let the gateway stand still between a grant and the send."""

    async def asyncSetUp(self):
        """Grant what is asked for."""
        await super().asyncSetUp()
        self.dispatcher.open.set()
        self.stale = mock.Mock()
        self.fresh = mock.Mock()

    async def _connect(self, *args, **options):
        """Stand still beside the first connection."""
        if self.client.connect.call_count > 1:
            return self.fresh
        self._advance(SUSPENDED_S)
        return self.stale

    async def test_old_grant_is_asked_for_again(self):
        """Guards against a send to a slot that its host has given away."""
        self.client.connect.side_effect = self._connect
        place = await self.finder.find(self._build_request())
        self.assertIs(place.connection, self.fresh)
        self.assertEqual(len(self.dispatcher.released), 1)
        self.stale.close.assert_called_once()
        self.client.release.assert_not_called()

    async def test_old_place_replaces_no_silent_endpoint(self):
        """Guards against an answer given up for a slot that is gone."""
        self.client.connect.return_value = self.stale
        pending = self._build_request()
        pending.runner = self.view
        answered = asyncio.Event()

        async def search():
            place = await self.finder.search(pending)
            self.dispatcher.open.clear()
            self._advance(SUSPENDED_S)
            return place

        async def read():
            await answered.wait()
            return 'answer'

        async with standby.stand_by(
            search, self.finder.discard, lambda: None
        ) as standing:
            reading = asyncio.create_task(standing.read(read, 0.0))
            await asyncio.sleep(SETTLE_S)
            answered.set()
            self.assertEqual(await reading, 'answer')
        self.assertEqual(len(self.dispatcher.released), 1)
        self.stale.close.assert_called_once()
        self.assertEqual(self._used(), 0)


class FailedSendTests(PlaceCase):
    """Let the send of a request raise an unexpected error."""

    async def asyncSetUp(self):
        """Create a forwarder, and grant what is asked for."""
        await super().asyncSetUp()
        self.dispatcher.open.set()
        self.client.check = mock.AsyncMock()
        self.connections = [mock.Mock(), mock.Mock()]
        self.client.connect.side_effect = self.connections
        self.forwarder = forwarding.Forwarder(
            self.board,
            admission.Admission(self.board),
            self.dispatcher,
            self.client,
            mock.Mock(),
            mock.AsyncMock(),
        )

    async def _serve(self):
        request = fixtures.request(remaining_s=REMAINING_S)
        with self.assertRaises(OSError):
            await self.forwarder.serve(request, mock.AsyncMock())

    async def test_failed_send_leaves_no_connection_open(self):
        """Guards against connections and slots that nothing returns."""
        self.client.send.side_effect = OSError
        await self._serve()
        self.connections[0].abort.assert_called_once()
        self.assertEqual(self.dispatcher.released, [model.Ending.ABANDONED])

    async def test_failed_send_spends_no_retry(self):
        """Guards against retries that count though they were not sent."""
        broken = mock.Mock()
        broken.head = mock.AsyncMock(
            side_effect=exceptions.EndpointBrokenError('reset')
        )
        self.client.send.side_effect = [broken, OSError]
        await self._serve()
        self.assertEqual(self.client.send.call_count, 2)
        self.assertEqual(self._used(), 0)

    async def test_failed_verification_leaves_no_connection_open(self):
        """Guards against connections of checks that raise."""
        connection = mock.Mock(verified=False)
        connection.send_request.side_effect = OSError
        with mock.patch.object(
            http_connection,
            'open_connection',
            mock.AsyncMock(return_value=connection),
        ):
            with self.assertRaises(OSError):
                await runner_client.RunnerClient().connect(
                    fixtures.runner('r1'), fixtures.request(), True, True
                )
        connection.abort.assert_called_once()

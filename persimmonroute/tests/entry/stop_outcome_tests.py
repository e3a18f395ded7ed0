"""Test what callers get from an entry that stops, with real sidecars."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import time
import types
import unittest
from unittest import mock

from persimmonroute import clock
from persimmonroute.entry import http_api
from persimmonroute.entry import server
from persimmonroute import http_connection
from standins import entry_fixtures
from standins import gateway_deployment as deployments
from standins import raw_endpoint
from standins import small_simulation

GRACE_S = 4.0
# Of a stop that ends only because the process was suspended.
LONG_GRACE_S = 60.0
# Orders that the sidecar runs at the same time.
RUNNING = 8
WAITING = 4
RUN_S = 1.9
POLL_S = 0.02
LIMIT_S = 10.0
ANSWER = raw_endpoint.whole(200, raw_endpoint.JSON, b'{}')
EVENT = b'data: {"choices": [{"index": 0, "text": "a"}]}\n\n'
STREAM_HEAD = raw_endpoint.head(
    200, raw_endpoint.EVENT_STREAM, raw_endpoint.CHUNKED
)
HALF_REQUEST = (
    b'POST /v1/completions HTTP/1.1\r\nHost: x\r\n'
    b'Content-Type: application/json\r\nContent-Length: 100\r\n'
    b'Persimmon-Workspace: riga-desk\r\nPersimmon-Class: counter-offer\r\n'
    b'\r\n{"prompt"'
)


class StopOutcomeTests(unittest.IsolatedAsyncioTestCase):
    """Stop an entry in front of a sidecar."""

    async def asyncSetUp(self):
        """Build an entry."""
        stack = contextlib.AsyncExitStack()
        await stack.__aenter__()
        self.addAsyncCleanup(stack.aclose)
        self.entry = entry_fixtures.EntryFixture(stack)
        self.entry.configure(1)
        self.stop = asyncio.Event()

    async def _start(self, service=small_simulation.PLAIN, grace_s=GRACE_S):
        """Start the entry in front of an endpoint and return that."""
        with mock.patch.object(entry_fixtures, 'SIDECAR_GRACE_S', GRACE_S):
            endpoint = await self.entry.add_endpoint(service)
        self.entry.address = f'127.0.0.1:{deployments.free_port()}'
        settings = types.SimpleNamespace(
            address=self.entry.address, stop_grace_s=grace_s
        )
        app = http_api.HttpApi(self.entry.shell).build_app()
        process = server.EntryServer(self.entry.shell, app, settings)
        starting = mock.patch.object(self.entry.shell, 'start')
        starting.start()
        self.addCleanup(starting.stop)
        self.running = asyncio.create_task(process.run(self.stop))
        await self._wait_for(lambda: process._server.started)
        return endpoint

    async def _wait_for(self, condition):
        async with asyncio.timeout(LIMIT_S):
            while not condition():
                await asyncio.sleep(POLL_S)

    async def _send_half(self):
        """Return the streams of a request whose body is not complete."""
        host, _, port = self.entry.address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        writer.write(HALF_REQUEST)
        return reader, writer

    async def _check_not_run(self, reader):
        """Check the answer to a request whose body did not arrive."""
        answer = await asyncio.wait_for(reader.read(), LIMIT_S)
        head, _, body = answer.partition(b'\r\n\r\n')
        lines = head.lower().split(b'\r\n')
        self.assertIn(b' 503 ', lines[0])
        self.assertIn(b'persimmon-outcome: not-run', lines)
        self.assertIn(b'retry-after: 1', lines)
        self.assertIn(b'connection: close', lines)
        self.assertIn(b'send the request again', body)

    async def test_waiting_orders_are_not_run_and_then_cut_off(self):
        """Guards against orders that a stop cuts off after they have run."""
        endpoint = await self._start()
        endpoint.calls = [(RUN_S, ANSWER)]
        calls = [
            asyncio.create_task(self.entry.order(f'k{number}'))
            for number in range(RUNNING + WAITING)
        ]
        await self._wait_for(lambda: len(endpoint.attempts) == RUNNING)
        await self._wait_for(self._are_all_queued)
        ran_at_signal = set(endpoint.attempts)
        self.stop.set()
        answers = await asyncio.gather(*calls)
        await self.running
        ran = _find_requests(endpoint.attempts)
        self.assertEqual(set(ran.values()), {1})
        for answer in answers:
            request = answer.headers[b'persimmon-request-id'].decode()
            with self.subTest(request=request, outcome=answer.outcome):
                self.assertTrue(answer.complete)
                if answer.outcome == 'not-run':
                    self.assertNotIn(request, ran)
                    self.assertEqual(answer.status, 503)
                    self.assertIn(b'retry-after', answer.headers)
                elif answer.outcome == 'unknown':
                    self.assertIn(request, _find_requests(ran_at_signal))
        outcomes = [answer.outcome for answer in answers]
        self.assertEqual(outcomes.count('completed'), RUNNING)

    def _are_all_queued(self):
        states = [
            record.state
            for record in self.entry.shell.core.board.calls.values()
        ]
        return states.count('queued') == WAITING

    async def test_waiting_orders_that_end_in_time_are_run(self):
        """Guards against a stop that refuses what would end in time."""
        endpoint = await self._start(grace_s=6.0)
        endpoint.calls = [(0.6, ANSWER)]
        calls = [
            asyncio.create_task(self.entry.order(f'k{number}'))
            for number in range(RUNNING + WAITING)
        ]
        await self._wait_for(lambda: len(endpoint.attempts) == RUNNING)
        self.stop.set()
        for answer in await asyncio.gather(*calls):
            self.assertEqual(answer.outcome, 'completed')
        await self.running

    async def test_late_body_is_told_that_it_has_not_run(self):
        """Guards against a 500 for a request whose body comes late."""
        endpoint = await self._start(grace_s=2.0)
        reader, _ = await self._send_half()
        await asyncio.sleep(0.2)
        began_at = time.monotonic()
        self.stop.set()
        await self._check_not_run(reader)
        await self.running
        self.assertLess(time.monotonic() - began_at, 2.0)
        self.assertEqual(endpoint.attempts, [])

    async def test_stream_that_is_open_at_the_end_gets_its_outcome(self):
        """Guards against streams that the end of a stop cuts off."""
        endpoint = await self._start(small_simulation.MODEL, 2.0)
        first = STREAM_HEAD + raw_endpoint.chunk(EVENT)
        endpoint.calls = [(first, 20.0)]
        call = asyncio.create_task(self.entry.complete())
        await self._wait_for(lambda: endpoint.attempts)
        self.stop.set()
        answer = await call
        await self.running
        self.assertEqual(answer.events, EVENT)
        self.assertEqual(answer.outcome, 'unknown')
        self.assertFalse(answer.complete)

    async def test_suspended_entry_ends_in_time(self):
        """Guards against a stop that is counted without a suspension."""
        endpoint = await self._start(grace_s=LONG_GRACE_S)
        endpoint.calls = [(40.0, ANSWER)]
        call = asyncio.create_task(self.entry.order('k'))
        reader, _ = await self._send_half()
        await self._wait_for(lambda: endpoint.attempts)
        self.stop.set()
        await asyncio.sleep(0.3)
        now_s = clock.now_s
        with mock.patch.object(
            clock, 'now_s', lambda: now_s() + LONG_GRACE_S - 1.0
        ):
            answer = await asyncio.wait_for(call, LIMIT_S)
            await self._check_not_run(reader)
            await asyncio.wait_for(self.running, LIMIT_S)
        self.assertEqual(answer.outcome, 'unknown')
        self.assertTrue(answer.complete)

    async def test_suspended_entry_grants_nothing_that_is_cut_off(self):
        """Guards against orders that are granted late by a suspension."""
        endpoint = await self._start(grace_s=LONG_GRACE_S)
        endpoint.calls = [(RUN_S, ANSWER)]
        calls = [
            asyncio.create_task(self.entry.order(f'k{number}'))
            for number in range(RUNNING + WAITING)
        ]
        await self._wait_for(lambda: len(endpoint.attempts) == RUNNING)
        await self._wait_for(self._are_all_queued)
        self.stop.set()
        await asyncio.sleep(0.2)
        now_s = clock.now_s
        suspended_s = LONG_GRACE_S - GRACE_S
        with mock.patch.object(clock, 'now_s', lambda: now_s() + suspended_s):
            answers = await asyncio.gather(*calls)
            await self.running
        outcomes = [answer.outcome for answer in answers]
        self.assertEqual(outcomes.count('not-run'), WAITING)
        self.assertEqual(outcomes.count('completed'), RUNNING)
        self.assertEqual(len(endpoint.attempts), RUNNING)

    async def test_kept_connections_are_closed_and_lose_no_call(self):
        """Guards against calls on kept connections that a stop cuts off."""
        endpoint = await self._start(grace_s=5.0)
        kept = [await self._keep(number) for number in range(2)]
        self.stop.set()
        await asyncio.sleep(0.3)
        answer = await self._order(kept[0], 'during')
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.headers[b'connection'], b'close')
        await self._wait_for(lambda: not kept[1].reusable)
        await self.running
        self.assertEqual(len(endpoint.attempts), 3)

    async def _keep(self, number):
        """Return a connection on which an order was answered."""
        conn = await http_connection.open_connection(self.entry.address, 5.0)
        self.addCleanup(conn.abort)
        answer = await self._order(conn, f'before-{number}')
        self.assertNotIn(b'connection', answer.headers)
        self.assertTrue(conn.finish())
        return conn

    async def _order(self, conn, key):
        path = f'/services/{small_simulation.PLAIN}/purchase-orders'
        headers = [
            ('host', 'x'),
            ('content-length', '2'),
            ('persimmon-workspace', small_simulation.WORKSPACE),
            ('persimmon-class', 'purchase-order'),
            ('idempotency-key', key),
        ]
        conn.send_request('POST', path, headers, b'{}')
        return await http_connection.read_response(conn, LIMIT_S)


def _find_requests(attempts):
    """Return the ids of the requests of attempts, with their counts."""
    return collections.Counter(a.rsplit('.', 1)[0] for a in attempts)

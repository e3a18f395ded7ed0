"""Test how an entry stops while callers use open connections."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
import types
import unittest
from unittest import mock

from persimmonroute.entry import board as boards
from persimmonroute.entry import http_api
from persimmonroute.entry import messages
from persimmonroute.entry import server
from persimmonroute import http_connection
from standins import entry_fixtures
from standins import gateway_deployment as deployments
from standins import small_simulation

GRACE_S = 4
# A stream lasts longer than the grace period.
EVENTS = 120
EVENT_PAUSE_S = 0.05
EVENT = b'data: {"a": 1}\n\n'
HEADERS = [
    ('host', 'x'),
    ('content-type', 'application/json'),
    ('persimmon-workspace', 'desk'),
    ('persimmon-class', 'drafts'),
]


class StubShell:
    """Answer calls with long streams until the core refuses them."""

    def __init__(self):
        self.board = boards.EntryBoard('e', boards.Locality('r', 'r-a'))
        self.core = self
        self.events = EVENTS
        self._tasks = []

    def validate_call(self, call):
        """Return the class of a call."""
        return types.SimpleNamespace(service='llm')

    def start(self):
        """Do nothing."""

    async def close(self):
        """End the streams."""
        for task in self._tasks:
            task.cancel()

    def handle(self, event):
        """Apply what the server says of its stop."""
        if isinstance(event, messages.StopRequested):
            self.board.drain = event.drain

    def submit(self, call, queue):
        """Begin a stream."""
        self._tasks.append(asyncio.create_task(self._fill(queue, call)))

    def disconnect(self, request_id):
        """Do nothing."""

    async def _fill(self, queue, call):
        for _ in range(self.events):
            queue.put_nowait(messages.ResponseData(call.request_id, EVENT))
            await asyncio.sleep(EVENT_PAUSE_S)
        queue.put_nowait(
            messages.ResponseEnded(
                call.request_id, messages.Outcome.COMPLETED, 200
            )
        )


class FailingShell(StubShell):
    """Fail in each step of a stop."""

    def handle(self, event):
        """Fail."""
        raise ValueError('a step fails')

    async def close(self):
        """Fail."""
        await super().close()
        raise ValueError('a step fails')


class StopTests(unittest.IsolatedAsyncioTestCase):
    """Stop an entry while a stream runs."""

    async def test_error_in_a_step_of_a_stop_cuts_off_nothing(self):
        """Guards against a stop that ends the process at its first error."""
        shell = FailingShell()
        stop, running, address = await self._start(shell)
        with mock.patch.object(shell, 'events', 10):
            call = asyncio.create_task(self._stream(address))
            await asyncio.sleep(0.2)
            stop.set()
            self.assertTrue((await call).complete)
        await running

    async def test_stop_ends_within_the_grace_period(self):
        """Guards against a stop that outlasts its grace period."""
        shell = StubShell()
        stop, running, address = await self._start(shell)
        before = asyncio.create_task(self._stream(address))
        await asyncio.sleep(0.2)
        stopped_at = time.monotonic()
        stop.set()
        await asyncio.sleep(0.1)
        during = asyncio.create_task(self._stream(address))
        await running
        self.assertLess(time.monotonic() - stopped_at, GRACE_S)
        self.assertNotIn(b'connection', (await before).headers)
        self.assertEqual((await during).headers[b'connection'], b'close')

    async def test_calls_that_outlast_a_stop_get_their_outcomes(self):
        """Guards against calls that a stop ends without an answer."""
        stack = contextlib.AsyncExitStack()
        await stack.__aenter__()
        self.addAsyncCleanup(stack.aclose)
        entry = entry_fixtures.EntryFixture(stack)
        entry.configure(1)
        endpoint = await entry.add_endpoint(small_simulation.PLAIN)
        endpoint.calls = [(4 * GRACE_S,)]
        with mock.patch.object(entry.shell, 'start'):
            stop, running, entry.address = await self._start(entry.shell)
        calls = [
            asyncio.create_task(entry.order(f'k{number}'))
            for number in range(3)
        ]
        await asyncio.sleep(0.2)
        stop.set()
        await running
        for call in calls:
            answer = await call
            self.assertEqual(answer.status, 502)
            self.assertEqual(answer.outcome, 'unknown')
            self.assertTrue(answer.complete)

    async def _start(self, shell):
        """Return what stops an entry, its task and its address."""
        settings = types.SimpleNamespace(
            address=f'127.0.0.1:{deployments.free_port()}',
            stop_grace_s=GRACE_S,
        )
        app = http_api.HttpApi(shell).build_app()
        stop = asyncio.Event()
        process = server.EntryServer(shell, app, settings)
        running = asyncio.create_task(process.run(stop))
        await asyncio.sleep(0.3)
        return stop, running, settings.address

    async def _stream(self, address):
        conn = await http_connection.open_connection(address, 1.0)
        self.addCleanup(conn.abort)
        body = json.dumps({'prompt': 'x', 'stream': True}).encode()
        length = ('content-length', str(len(body)))
        conn.send_request('POST', '/v1/completions', [*HEADERS, length], body)
        return await deployments.read_response(conn)

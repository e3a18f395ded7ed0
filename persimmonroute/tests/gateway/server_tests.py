"""Test how a gateway stops while callers use open connections."""

from __future__ import annotations

import asyncio
import json
import time
import typing
import unittest
from unittest import mock

from persimmonroute import exceptions
from persimmonroute.gateway import dispatcher
from persimmonroute.gateway import peer_link
from persimmonroute.gateway import row_keeping
from persimmonroute.gateway import server
from persimmonroute.gateway import shell
from persimmonroute import http_connection
from standins import gateway_deployment as deployments

STREAM = (('accept', 'text/event-stream'),)
# A stream lasts longer than what is left of the grace period of 6 s.
EVENTS = 120
EVENT_PAUSE_S = 0.05
STREAM_TIMEOUT_MS = 15_000
# By then callers cannot have learned of the stop.
EXCUSED_S = 3.0
STEP_S = 0.02
# Deadline of a request that ends within the grace period wherever it is read.
SHORT_MS = 1000
STEPS = (
    (dispatcher.Dispatcher, 'stop_hosting'),
    (peer_link.PeerLink, 'send_stopping'),
    (peer_link.PeerLink, 'close'),
    (shell.GatewayShell, 'close'),
)


class Sent(typing.NamedTuple):
    """Store when a request was sent after the stop, and its response."""

    attempt: str
    sent_s: float
    response: deployments.Response | None


class StopTests(unittest.IsolatedAsyncioTestCase):
    """Send requests on kept connections to a gateway that stops."""

    async def asyncSetUp(self):
        """Start a gateway with a route of long streams."""
        self.deployment = deployments.GatewayDeployment()
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.start()
        document = deployments.configuration(2)
        for route in document['Routes']:
            if route['Name'] == 'draft':
                route['TimeoutMs'] = STREAM_TIMEOUT_MS
        self.deployment.platform.put_row('op', 'config', document)
        for runner in self.deployment.runners:
            self.deployment.register(runner, Slots=50)
        await asyncio.sleep(0.3)

    async def _open_used(self, number):
        """Return a connection that has carried a request."""
        conn = await http_connection.open_connection(
            self.deployment.settings[0].address, 1.0
        )
        self.addCleanup(conn.abort)
        response = await self.deployment.call_on(
            conn, '/book/x', attempt=f'first-{number}'
        )
        self.assertEqual(response.status, 200)
        self.assertTrue(conn.finish())
        return conn

    async def _send(self, conn, attempt, due, stopped_at, path, **options):
        """Send a request at a time unless the connection is closed."""
        await asyncio.sleep(max(due - time.monotonic(), 0.0))
        sent_s = time.monotonic() - stopped_at
        response = None
        if conn.reusable:
            response = await self.deployment.call_on(
                conn, path, attempt=attempt, **options
            )
        return Sent(attempt, sent_s, response)

    async def _send_in_turn(self, first_s, last_s, path, **options):
        """Stop the gateway; send requests one after the other after it."""
        count = int((last_s - first_s) / STEP_S)
        conns = [await self._open_used(number) for number in range(count)]
        stopped_at = time.monotonic()
        self.deployment.stop_events[0].set()
        return await asyncio.gather(
            *(
                self._send(
                    conn,
                    f's{number}',
                    stopped_at + first_s + number * STEP_S,
                    stopped_at,
                    path,
                    **options,
                )
                for number, conn in enumerate(conns)
            )
        )

    def _ran(self, attempt):
        return sum(r.runs[attempt] for r in self.deployment.runners)

    async def test_late_stream_is_not_taken_and_then_cut_off(self):
        """Guards against streams begun 3 s after SIGTERM that are cut."""
        for runner in self.deployment.runners:
            runner.event_count = EVENTS
            runner.event_pause_s = EVENT_PAUSE_S
        sent = await self._send_in_turn(
            2.4,
            3.6,
            '/draft/x',
            headers=STREAM,
            remaining_ms=STREAM_TIMEOUT_MS,
        )
        cut_off = [
            (s.attempt, s.sent_s)
            for s in sent
            if s.sent_s > EXCUSED_S
            and self._ran(s.attempt)
            and not s.response.complete
        ]
        self.assertEqual(cut_off, [])
        refused = [s for s in sent if s.response and s.response.complete]
        self.assertTrue(refused)
        for each in refused:
            self.assertEqual(each.response.status, 503)
            self.assertIn(b'retry-after', each.response.headers)
            self.assertEqual(each.response.headers[b'connection'], b'close')
            self.assertEqual(self._ran(each.attempt), 0)

    async def test_error_in_a_step_of_a_stop_cuts_off_nothing(self):
        """Guards against a stop that ends the process at its first error."""
        for number, (owner, step) in enumerate(STEPS):
            with self.subTest(step=step):
                if number:
                    await self.deployment.add_gateway()
                call = asyncio.create_task(
                    self.deployment.call(
                        '/draft/x',
                        gateway=number,
                        headers=STREAM,
                        attempt=f'step-{number}',
                    )
                )
                await asyncio.sleep(0.05)
                error = ValueError('a step fails')
                with mock.patch.object(owner, step, side_effect=error):
                    await self.deployment.stop_gateway(number)
                response = await call
                self.assertTrue(response.complete)
                self.assertEqual(response.status, 200)

    async def test_late_request_that_ends_in_time_is_served(self):
        """Guards against refusing all that comes late on kept connections."""
        sent = await self._send_in_turn(
            2.0, 2.96, '/book/x', remaining_ms=SHORT_MS
        )
        # The gateway closes its connections from then on.
        in_time = [s for s in sent if s.sent_s < EXCUSED_S]
        self.assertGreater(in_time[-1].sent_s, server.BALANCER_REMOVAL_S)
        self.assertEqual({s.response.status for s in in_time}, {200})

    async def test_killed_gateway_neither_writes_nor_reports(self):
        """Guards against rows of a gateway that its successor replaced."""
        await self.deployment.kill_gateway(0)
        with mock.patch.object(
            peer_link.PeerLink, 'encode', autospec=True
        ) as encode:
            runner = self.deployment.runners[0]
            runner.version, runner.born = 'v2', 2
            self.deployment.register(runner)
            await asyncio.sleep(2 * row_keeping.CHECK_INTERVAL_S)
        encode.assert_not_called()
        rows = self.deployment.platform.tables.list_rows('versions', '')
        versions = {json.loads(row.value)['version'] for row in rows}
        self.assertNotIn('v2', versions)
        with self.assertRaises(exceptions.EndpointUnreachableError):
            await self.deployment.call('/book/x')

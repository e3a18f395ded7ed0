"""Test what a stopping gateway still passes on, and how it ends the rest."""

from __future__ import annotations

import asyncio
import time
import typing
import unittest

from persimmonroute import http_connection
from standins import gateway_deployment as deployments

STREAM = (('accept', 'text/event-stream'),)
# Of a gateway whose stop ends before the runs of a search, but not before the
# silence of an endpoint.
SHORT_GRACE_S = 3
SEARCHED_RUN_S = 1.9
SILENCE_S = 1.2
# Longer than the grace period of 6 s.
TIMEOUT_MS = 15_000
OBJECTIVE_MS = 12_000
# Of requests that look for another endpoint after 0.6 s of silence.
SHORT_OBJECTIVE_MS = 300
# Of requests that cannot end within the grace period if they are sent later
# than 1 s after the signal.
LONG_RUN_S = 4.0
SHORT_RUN_S = 0.1
# Time in which a refusal that is already known is answered.
AT_ONCE_S = 0.5
# The head of a request and a part of its body.
PARTIAL_REQUEST = (
    f'POST /book/x HTTP/1.1\r\nHost: {deployments.HOST}\r\n'
    f'Authorization: Bearer {deployments.KEY}\r\n'
    'Attempt-Id: a1\r\nContent-Length: 100\r\n\r\npart'
).encode()
# Requests from which a gateway learns how long those of a route take.
LEARNED = 12


class Ended(typing.NamedTuple):
    """Store a response, and when it was sent for and complete."""

    attempt: str
    response: deployments.Response
    sent_s: float
    ended_s: float


class LateSendCase(unittest.IsolatedAsyncioTestCase):
    """Stop gateways while requests wait, run and are tried again."""

    endpoints = 1
    gateways = 1

    async def asyncSetUp(self):
        """Start a deployment whose endpoints have one slot each."""
        self.deployment = deployments.GatewayDeployment(
            self.endpoints, self.gateways
        )
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.start()
        self.stopped_at = time.monotonic()
        await self._configure(2, OBJECTIVE_MS)
        for runner in self.deployment.runners:
            self.deployment.register(runner, Slots=1)
        await asyncio.sleep(0.3)

    async def _configure(self, version, objective_ms):
        document = deployments.configuration(version)
        for route in document['Routes']:
            route['TimeoutMs'] = TIMEOUT_MS
            route['TargetLatencyMs'] = objective_ms
        self.deployment.platform.put_row('op', 'config', document)
        await asyncio.sleep(0.3)

    def _set_runs(self, seconds, behaviour='pause'):
        """Let all endpoints answer after some seconds."""
        for runner in self.deployment.runners:
            runner.answer_pause_s = seconds
            runner.default_behaviour = behaviour

    def _send(self, route, attempt, gateway=0):
        """Start a request and return its task."""
        return asyncio.create_task(self._call(route, attempt, gateway))

    async def _call(self, route, attempt, gateway):
        sent_at = time.monotonic()
        response = await self.deployment.call(
            f'/{route}/x',
            gateway=gateway,
            headers=STREAM if route in ('draft', 'resume') else (),
            attempt=attempt,
            remaining_ms=TIMEOUT_MS,
        )
        return Ended(
            attempt,
            response,
            sent_at - self.stopped_at,
            time.monotonic() - self.stopped_at,
        )

    def _stop(self):
        """Ask all gateways to stop."""
        self.stopped_at = time.monotonic()
        for stop in self.deployment.stop_events:
            stop.set()

    def _count_runs(self, attempt):
        return sum(r.runs[attempt] for r in self.deployment.runners)

    def _check_served_or_refused(self, ended):
        """Check that a request was answered, or refused and not run."""
        response = ended.response
        self.assertTrue(response.complete, ended)
        if response.status == 200:
            return
        self._check_refused(ended)

    def _check_refused(self, ended):
        """Check that a request was refused at once and not run."""
        response = ended.response
        self.assertEqual(response.status, 503, response.body)
        self.assertIn(b'retry-after', response.headers)
        self.assertEqual(self._count_runs(ended.attempt), 0)
        self.assertLess(ended.ended_s - ended.sent_s, AT_ONCE_S)

    async def _wait_running(self, count):
        """Return the numbers of the first requests that run, one at least."""
        async with asyncio.timeout(TIMEOUT_MS / 1000):
            while True:
                await asyncio.sleep(0.2)
                runs = [self._count_runs(f'first-{n}') for n in range(count)]
                if any(runs):
                    return {n for n in range(count) if runs[n]}

    async def _check_late(self, route, count=4):
        """Send requests 1 s after the signal to endpoints that are busy."""
        self._set_runs(LONG_RUN_S)
        first = [self._send(route, f'first-{n}') for n in range(2)]
        running = await self._wait_running(2)
        self._stop()
        await asyncio.sleep(1.0)
        late = [
            self._send(route, f'late-{n}', n % self.gateways)
            for n in range(count)
        ]
        for number, call in enumerate(first):
            ended = await call
            self._check_served_or_refused(ended)
            if number in running:
                self.assertEqual(ended.response.status, 200)
        for call in late:
            self._check_served_or_refused(await call)


class WaitingTests(LateSendCase):
    """Send requests to a gateway whose endpoint is busy."""

    async def test_waiting_orders_are_not_sent_and_then_cut_off(self):
        """Guards against orders that a stop cuts off after they have run."""
        await self._check_late('book')

    async def test_waiting_streams_are_not_sent_and_then_cut_off(self):
        """Guards against streams that begin late in a stop."""
        await self._check_late('draft')

    async def test_request_that_waits_until_late_is_told_that_it_has_not_run(
        self,
    ):
        """Guards against 500 for a request that waited in vain."""
        self._set_runs(SHORT_RUN_S)
        for number in range(LEARNED):
            await self._send('book', f'learned-{number}')
        self._set_runs(SHORT_RUN_S, 'hang')
        blocking = [self._send('book', f'blocking-{n}') for n in range(2)]
        await asyncio.sleep(0.2)
        self._stop()
        await asyncio.sleep(0.5)
        waiting = await self._send('book', 'waiting')
        self.assertEqual(waiting.response.status, 503)
        self.assertIn(b'retry-after', waiting.response.headers)
        self.assertEqual(self._count_runs('waiting'), 0)
        await asyncio.gather(*blocking)


class StreamTests(LateSendCase):
    """Send streams that last longer than the grace period."""

    async def test_long_stream_after_the_signal_is_not_begun_and_cut_off(self):
        """Guards against streams that the balancer sends to a stop."""
        for runner in self.deployment.runners:
            runner.event_count = 120
            runner.event_pause_s = 0.05
        self._stop()
        await asyncio.sleep(0.5)
        self._check_served_or_refused(await self._send('draft', 'a1'))


class SoundRequestTests(LateSendCase):
    """Send requests that end in time, though their deadline is later."""

    async def test_late_request_on_a_kept_connection_is_not_risked(self):
        """Guards against streams that outlast their estimate in a stop."""
        self._set_runs(SHORT_RUN_S)
        for number in range(LEARNED):
            await self._send('book', f'learned-{number}')
        conn = await http_connection.open_connection(
            self.deployment.settings[0].address, 1.0
        )
        self.addCleanup(conn.abort)
        self._stop()
        await asyncio.sleep(2.8)
        response = await self.deployment.call_on(
            conn, '/book/x', attempt='late', remaining_ms=TIMEOUT_MS
        )
        self.assertEqual(response.status, 503, response.body)
        self.assertIn(b'retry-after', response.headers)
        self.assertEqual(self._count_runs('late'), 0)

    async def test_request_that_ends_in_time_is_served_until_the_close(self):
        """Guards against refusing what would have ended in time."""
        self._set_runs(SHORT_RUN_S)
        for number in range(LEARNED):
            await self._send('book', f'learned-{number}')
        conns = [
            await http_connection.open_connection(
                self.deployment.settings[0].address, 1.0
            )
            for _ in range(2)
        ]
        self._stop()
        for due_s, conn in zip((0.5, 2.3), conns, strict=True):
            await asyncio.sleep(self.stopped_at + due_s - time.monotonic())
            response = await self.deployment.call_on(
                conn, '/book/x', attempt=f'a{due_s}', remaining_ms=TIMEOUT_MS
            )
            conn.abort()
            self.assertEqual(response.status, 200, response.body)


class SecondSendTests(LateSendCase):
    """Break the first attempts of requests during a stop."""

    endpoints = 2

    async def test_retry_that_cannot_end_is_not_sent(self):
        """Guards against retries that a stop cuts off."""
        self._set_runs(2.0, 'late_fail')
        call = self._send('find', 'a1')
        await asyncio.sleep(0.2)
        self._stop()
        self._set_runs(LONG_RUN_S)
        ended = await call
        self.assertEqual(ended.response.body, b'failed')
        self.assertEqual(self._count_runs('a1'), 1)
        self.assertLess(ended.ended_s, 2.0 + AT_ONCE_S)

    async def test_search_that_cannot_end_leaves_the_silent_endpoint(self):
        """Guards against a second send beside an endpoint that goes on."""
        await self.deployment.add_gateway(stop_grace_s=SHORT_GRACE_S)
        self._set_runs(SEARCHED_RUN_S)
        for runner in self.deployment.runners:
            self.deployment.register(runner, Slots=LEARNED, Sequence=2)
            runner.silence_s = SILENCE_S
        await asyncio.sleep(0.3)
        learned = [
            self._send('find', f'learned-{number}', 1)
            for number in range(LEARNED)
        ]
        await asyncio.gather(*learned)
        await self._configure(3, SHORT_OBJECTIVE_MS)
        self.deployment.runners[0].script.append('silent')
        self.deployment.runners[1].script = self.deployment.runners[0].script
        call = self._send('find', 'a1', 1)
        await asyncio.sleep(0.2)
        self._stop()
        ended = await call
        self.assertEqual(ended.response.status, 200, ended.response.body)
        self.assertEqual(self._count_runs('a1'), 1)


class TwoGatewaysTests(LateSendCase):
    """Stop two gateways at the same time, one of them the host."""

    gateways = 2

    async def test_requests_that_lose_their_host_are_not_cut_off(self):
        """Guards against requests that wait while every host stops."""
        await self._check_late('book', count=8)


class EndTests(LateSendCase):
    """Look at what is open when the grace period ends."""

    endpoints = 2

    async def test_order_that_runs_at_the_end_of_a_stop_may_have_run(self):
        """Guards against an end of a stop that says nothing of a request."""
        self._set_runs(SHORT_RUN_S, 'hang')
        call = self._send('book', 'a1')
        await asyncio.sleep(0.2)
        self._stop()
        ended = await call
        self.assertEqual(ended.response.status, 502)
        self.assertIn(b'stop', ended.response.body)

    async def test_stop_ends_within_a_short_grace_period(self):
        """Guards against a stop that is killed before it ends."""
        await self.deployment.add_gateway(stop_grace_s=3)
        self._set_runs(SHORT_RUN_S, 'hang')
        call = self._send('book', 'a1', gateway=1)
        await asyncio.sleep(0.2)
        self.stopped_at = time.monotonic()
        await self.deployment.stop_gateway(1)
        self.assertLess(time.monotonic() - self.stopped_at, 3.0)
        self.assertEqual((await call).response.status, 502)

    async def test_request_whose_body_is_late_has_not_run(self):
        """Guards against 500 for a request that was never read whole."""
        host, _, port = self.deployment.settings[0].address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        writer.write(PARTIAL_REQUEST)
        await asyncio.sleep(0.1)
        self._stop()
        answer = await reader.read()
        self.assertTrue(answer.startswith(b'HTTP/1.1 503'), answer)
        self.assertIn(b'retry-after', answer.lower())
        self.assertEqual(self._count_runs('a1'), 0)

"""Test what searches for another endpoint leave behind."""

from __future__ import annotations

import asyncio
import contextlib
import time
import unittest

from persimmonroute.gateway import retry_budget
from persimmonroute.gateway import standby
from persimmonroute.platform import runner_client
from standins import gateway_deployment as deployments
from standins import gateway_fixtures as fixtures
from standins import platform_runner

STREAM = (('accept', 'text/event-stream'),)
TIMEOUT_MS = 8000
# More than gateways buffer of a response.
LONG_ERROR_BYTES = 400_000
# Well below the deadline of the requests here, in seconds.
PROMPT_S = 4.0
# One of two gateways whose budget allows one retry.
ONE_RETRY = {'retry_slack': 4, 'retry_ratio': 0}
# Time in which the end of a connection is noticed, in seconds.
NOTICE_S = 1.0
WINDOW_S = 10.0


class SearchRunner(platform_runner.RunnerStandIn):
    """Fall silent and fail in ways of its own."""

    async def _do_late_error(self, reply, headers):
        """Fall silent between the head and the body of an error."""
        await reply.send_head(500, [(b'content-length', b'6')])
        await self._be_silent(reply)
        await reply.send_data(b'failed')
        reply.end()
        return True

    async def _do_long_error(self, reply, headers):
        await reply.send_complete(500, b'x' * LONG_ERROR_BYTES, [])
        return True

    async def _do_break_unnumbered(self, reply, headers):
        """Break off a stream whose events have no ids."""
        await self._begin_stream(reply, headers)
        await reply.send_data(b'data: piece\n\n')
        await asyncio.sleep(self.event_pause_s)
        platform_runner.reset(reply.writer)
        return False


class RetryBudgetTests(unittest.TestCase):
    """Give retries back that were not sent."""

    def _budget(self):
        return retry_budget.RetryBudget(0.0, 2.0, WINDOW_S)

    def test_late_return_takes_no_other_retry_back(self):
        """Guards against a sent retry that the budget forgets."""
        budget = self._budget()
        self.assertTrue(budget.take('s', 0.0))
        self.assertTrue(budget.take('s', WINDOW_S + 1.0))
        budget.give_back('s', 0.0)
        self.assertEqual(budget.report_used(WINDOW_S + 1.0), {'s': 1})

    def test_return_leaves_the_time_of_another_retry(self):
        """Guards against a sent retry that leaves the window early."""
        budget = retry_budget.RetryBudget(0.0, 4.0, WINDOW_S)
        self.assertTrue(budget.take('s', 0.0))
        self.assertTrue(budget.take('s', 5.0))
        budget.give_back('s', 0.0)
        self.assertEqual(budget.report_used(WINDOW_S + 1.0), {'s': 1})

    def test_late_send_counts_from_its_sending(self):
        """Guards against a retry that waits longer than it counts."""
        budget = self._budget()
        self.assertTrue(budget.take('s', 0.0))
        budget.move('s', 0.0, WINDOW_S - 1.0)
        self.assertFalse(budget.take('s', WINDOW_S + 1.0))


class VerificationTests(unittest.IsolatedAsyncioTestCase):
    """Cancel the check of an endpoint."""

    async def test_cancelled_check_closes_its_connection(self):
        """Guards against connections that searches leave open."""
        asked, closed = asyncio.Event(), asyncio.Event()

        async def accept(reader, writer):
            with contextlib.suppress(OSError):
                while await reader.read(1000):
                    asked.set()
            closed.set()
            writer.close()

        server = await asyncio.start_server(accept, '127.0.0.1', 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        record = fixtures.runner('r1', address=f'127.0.0.1:{port}')
        connecting = asyncio.create_task(
            runner_client.RunnerClient().connect(
                record, fixtures.request(), True, verify_incarnation=True
            )
        )
        await asked.wait()
        connecting.cancel()
        await asyncio.wait((connecting,))
        async with asyncio.timeout(NOTICE_S):
            await closed.wait()


class StandbyTests(unittest.IsolatedAsyncioTestCase):
    """End a search together with the attempt that it stands by."""

    async def test_ended_search_has_given_its_retry_back(self):
        """Guards against 502 when an endpoint breaks off in a search."""
        budget = retry_budget.RetryBudget(0.0, 2.0, WINDOW_S)

        async def search():
            budget.take('s', 0.0)
            try:
                await asyncio.sleep(NOTICE_S)
            finally:
                budget.give_back('s', 0.0)

        async def break_off():
            await asyncio.sleep(0.05)
            raise ConnectionResetError

        with contextlib.suppress(ConnectionResetError):
            async with standby.stand_by(
                search, self.fail, lambda: None
            ) as standing:
                await standing.read(break_off, 0.0)
                self.fail('the endpoint has not broken off')
        self.assertTrue(budget.take('s', 0.0))


class SearchTests(unittest.IsolatedAsyncioTestCase):
    """Run gateways with two endpoints."""

    async def asyncSetUp(self):
        """Start a gateway, a store and two endpoints."""
        self.deployment = deployments.GatewayDeployment()
        self.deployment.runners = [SearchRunner('r0'), SearchRunner('r1')]
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.start()
        document = deployments.configuration(2)
        for route in document['Routes']:
            route['TimeoutMs'] = TIMEOUT_MS
            route['MaxAttempts'] = 4
        self.deployment.platform.put_row('op', 'config', document)
        await asyncio.sleep(0.2)

    async def _leave_one(self):
        """Let all endpoints but the first leave; return the first."""
        first, *others = self.deployment.runners
        for runner in others:
            self.deployment.register(runner, 'draining')
        await asyncio.sleep(0.3)
        return first

    async def test_silence_within_an_error_ends_no_answer(self):
        """Guards against 502 in place of an error that arrives slowly."""
        first = await self._leave_one()
        first.script.append('late_error')
        response = await self.deployment.call(
            '/find/x', remaining_ms=TIMEOUT_MS
        )
        self.assertEqual((response.status, response.body), (500, b'failed'))
        self.assertIn(b'upstream-signature', response.headers)

    async def test_stream_that_cannot_go_on_ends_at_once(self):
        """Guards against a wait for the deadline after a handover."""
        script = self.deployment.runners[0].script
        script.extend(('hang', 'break_unnumbered'))
        self.deployment.runners[1].script = script
        began_at = time.monotonic()
        response = await self.deployment.call(
            '/resume/x', headers=STREAM, remaining_ms=TIMEOUT_MS
        )
        self.assertEqual(response.body, b'data: piece\n\n')
        self.assertFalse(response.complete)
        self.assertLess(time.monotonic() - began_at, PROMPT_S)

    async def test_caller_can_return_after_a_refused_handover(self):
        """Guards against a fruitless search until the caller's deadline."""
        await self.deployment.add_gateway(**ONE_RETRY)
        script = self.deployment.runners[0].script
        script.extend(('hang', 'full'))
        self.deployment.runners[1].script = script
        began_at = time.monotonic()
        statuses = []
        for attempt in ('a1', 'a2'):
            response = await self.deployment.call(
                '/find/x', 1, attempt=attempt, remaining_ms=TIMEOUT_MS
            )
            statuses.append(response.status)
        self.assertEqual(statuses, [502, 200])
        self.assertLess(time.monotonic() - began_at, PROMPT_S)

    async def test_silence_within_an_error_leads_to_another_endpoint(self):
        """An error that stands still is replaced by an answer."""
        first, second = self.deployment.runners
        first.silence_s = second.silence_s = TIMEOUT_MS / 1000
        first.script.append('late_error')
        second.script = first.script
        response = await self.deployment.call(
            '/find/x', remaining_ms=TIMEOUT_MS
        )
        self.assertEqual((response.status, response.body), (200, b'answer a1'))
        self.assertEqual(first.runs['a1'] + second.runs['a1'], 2)

    async def test_error_that_is_too_long_to_keep_is_relayed(self):
        """Guards against 502 in place of a long error."""
        first = await self._leave_one()
        first.script.append('long_error')
        response = await self.deployment.call(
            '/find/x', remaining_ms=TIMEOUT_MS
        )
        self.assertEqual(response.status, 500)
        self.assertEqual(len(response.body), LONG_ERROR_BYTES)
        self.assertTrue(response.complete)

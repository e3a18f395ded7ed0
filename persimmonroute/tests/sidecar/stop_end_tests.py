"""Test how a sidecar ends what still runs at the end of its stop."""

from __future__ import annotations

import asyncio
import contextlib
import time
import unittest
from unittest import mock

from persimmonroute import clock
from persimmonroute.events import Event
from persimmonroute.sidecar import execution
from persimmonroute.sidecar import shell as sidecar_shells
from standins import entry_fixtures
from standins import raw_endpoint
from standins import small_simulation

GRACE_S = 3.0
SHORT_GRACE_S = 0.5
ANSWER_LIMIT_S = 6.0
POLL_S = 0.02
EVENT = b'data: {"choices": [{"index": 0, "text": "a"}]}\n\n'
STREAM = EVENT * 6 + b'data: [DONE]\n\n'
STREAM_HEAD = raw_endpoint.head(
    200, raw_endpoint.EVENT_STREAM, raw_endpoint.CHUNKED
)
PLAIN = f'{small_simulation.PLAIN}-1'
ENGINE = f'{small_simulation.MODEL}-1'


class EndOfStopTests(unittest.IsolatedAsyncioTestCase):
    """Stop a sidecar whose endpoint answers after its grace period."""

    async def asyncSetUp(self):
        """Start an entry."""
        stack = contextlib.AsyncExitStack()
        await stack.__aenter__()
        self.addAsyncCleanup(stack.aclose)
        self.entry = entry_fixtures.EntryFixture(stack)
        await self.entry.start()
        patched = mock.patch.object(sidecar_shells.log, 'emit')
        self.emit = patched.start()
        self.addCleanup(patched.stop)

    async def _add(self, service, script, grace_s=GRACE_S):
        with mock.patch.object(entry_fixtures, 'SIDECAR_GRACE_S', grace_s):
            endpoint = await self.entry.add_endpoint(service)
        endpoint.calls = [script]
        return endpoint

    async def _stop(self, name, call, endpoint):
        """Stop a sidecar while a call runs.

        Return its Answer, and how long the stop takes in seconds.
        """
        async with asyncio.timeout(ANSWER_LIMIT_S):
            while not endpoint.attempts:
                await asyncio.sleep(POLL_S)
        began_at = time.monotonic()
        stopping = asyncio.create_task(self.entry.stop_sidecar(name))
        answer = await asyncio.wait_for(call, ANSWER_LIMIT_S)
        await stopping
        return answer, time.monotonic() - began_at

    def _check_ended(self, answer, endpoint):
        """Check that the sidecar itself tells the outcome, and names it."""
        self.assertEqual(answer.outcome, 'unknown')
        self.assertIn(execution.STOPPED.encode(), answer.body)
        self._check_named(endpoint)

    def _check_named(self, endpoint):
        (ended,) = [
            found.kwargs
            for found in self.emit.call_args_list
            if found.args == (Event.REQUEST_ENDED_BY_STOP,)
        ]
        self.assertEqual(ended['attempt'], endpoint.attempts[0])
        self.assertTrue(ended['may_have_run'])

    async def test_running_order_gets_its_outcome_before_the_end(self):
        """Guards against orders that a kill of the sidecar cuts off."""
        endpoint = await self._add(small_simulation.PLAIN, (20.0,))
        call = asyncio.create_task(self.entry.order('a'))
        answer, took_s = await self._stop(PLAIN, call, endpoint)
        self.assertEqual(answer.status, 502)
        self.assertTrue(answer.complete)
        self.assertLess(took_s, GRACE_S)
        self._check_ended(answer, endpoint)

    async def test_running_stream_outlives_its_sidecar(self):
        """Guards against streams that a planned stop ends for good."""
        first = STREAM_HEAD + raw_endpoint.chunk(EVENT)
        engine = await self._add(small_simulation.MODEL, (first, 20.0))
        rest = raw_endpoint.chunk(STREAM) + raw_endpoint.chunk(b'')
        engine.resumed = [(STREAM_HEAD + rest,)]
        call = asyncio.create_task(self.entry.complete())
        async with asyncio.timeout(ANSWER_LIMIT_S):
            while not engine.attempts:
                await asyncio.sleep(POLL_S)
        began_at = time.monotonic()
        await self.entry.stop_sidecar(ENGINE)
        self.assertLess(time.monotonic() - began_at, GRACE_S)
        self._check_named(engine)
        await self.entry.wait_linked(ENGINE, False)
        engine.listed = [engine.attempts[-1]]
        self.entry.start_sidecar(ENGINE)
        answer = await asyncio.wait_for(call, ANSWER_LIMIT_S)
        self.assertEqual(answer.events, STREAM)
        self.assertTrue(answer.complete)

    async def test_short_grace_period_leaves_time_for_the_outcome(self):
        """Guards against a short stop that outlasts its grace period."""
        endpoint = await self._add(
            small_simulation.PLAIN, (20.0,), SHORT_GRACE_S
        )
        call = asyncio.create_task(self.entry.order('a'))
        answer, took_s = await self._stop(PLAIN, call, endpoint)
        self._check_ended(answer, endpoint)
        self.assertLess(took_s, SHORT_GRACE_S)

    async def test_order_that_ends_in_time_is_completed(self):
        """Guards against a stop that ends what needs no end."""
        answer = raw_endpoint.whole(200, raw_endpoint.JSON, b'{}')
        endpoint = await self._add(small_simulation.PLAIN, (0.7, answer))
        call = asyncio.create_task(self.entry.order('a'))
        answer, _ = await self._stop(PLAIN, call, endpoint)
        self.assertEqual(answer.outcome, 'completed')

    async def test_suspended_sidecar_ends_in_time(self):
        """Guards against a stop that is counted without a suspension."""
        endpoint = await self._add(small_simulation.PLAIN, (20.0,), 60.0)
        call = asyncio.create_task(self.entry.order('a'))
        stopping = asyncio.create_task(self._stop(PLAIN, call, endpoint))
        await asyncio.sleep(0.5)
        now_s = clock.now_s
        with mock.patch.object(clock, 'now_s', lambda: now_s() + 59.2):
            answer, _ = await stopping
        self._check_ended(answer, endpoint)

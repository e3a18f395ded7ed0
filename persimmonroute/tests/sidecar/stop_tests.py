"""Test that stops and starts of sidecars and entries lose no answer."""

from __future__ import annotations

import asyncio
import contextlib
import unittest
from unittest import mock

from persimmonroute.entry import dispatch
from standins import entry_fixtures
from standins import raw_endpoint
from standins import small_simulation

EVENT = b'data: {"choices": [{"index": 0, "text": "a"}]}\n\n'
DONE = b'data: [DONE]\n\n'
STREAM = EVENT * 6 + DONE
STREAM_HEAD = raw_endpoint.head(
    200, raw_endpoint.EVENT_STREAM, raw_endpoint.CHUNKED
)
RESET = raw_endpoint.Ending.RESET
ENGINE = f'{small_simulation.MODEL}-1'


class StopTests(unittest.IsolatedAsyncioTestCase):
    """Stop and start a sidecar while a stream runs."""

    async def asyncSetUp(self):
        """Start an entry with one engine."""
        stack = contextlib.AsyncExitStack()
        await stack.__aenter__()
        self.addAsyncCleanup(stack.aclose)
        self.entry = entry_fixtures.EntryFixture(stack)
        await self.entry.start()
        self.engine = await self.entry.add_endpoint(small_simulation.MODEL)

    async def _restart_mid_stream(self, whole=False):
        """Kill a sidecar after the first event and start it again."""
        first = STREAM_HEAD + raw_endpoint.chunk(EVENT)
        self.engine.calls = [(first, 20.0)]
        rest = raw_endpoint.chunk(STREAM) + raw_endpoint.chunk(b'')
        self.engine.resumed = [(STREAM_HEAD + rest,)]
        call = asyncio.create_task(self.entry.complete(stream=not whole))
        await asyncio.sleep(0.3)
        await self.entry.kill_sidecar(ENGINE)
        await self.entry.wait_linked(ENGINE, False)
        self.engine.listed = [self.engine.attempts[-1]]
        self.entry.start_sidecar(ENGINE)
        return await call

    async def test_restarted_sidecar_goes_on_with_a_stream(self):
        """A stream goes on although its sidecar was killed."""
        answer = await self._restart_mid_stream()
        self.assertEqual(answer.events, STREAM)

    async def test_restarted_sidecar_outlives_a_silent_engine(self):
        """Guards against streams that a silent engine fails to list."""
        self.engine.listing_delays_s = [3.0, 0.0]
        answer = await self._restart_mid_stream()
        self.assertEqual(answer.events, STREAM)

    async def test_restarted_sidecar_resumes_no_whole_completion(self):
        """Guards against a stream in place of a whole completion."""
        answer = await self._restart_mid_stream(whole=True)
        self.assertEqual(answer.outcome, 'unknown')
        self.assertNotIn(b'data:', answer.body)

    async def test_replaced_engine_goes_on_with_no_stream(self):
        """Guards against a stream that an engine begins and another ends."""
        self.engine.calls = [
            (STREAM_HEAD + raw_endpoint.chunk(EVENT), 0.5, RESET)
        ]
        answer = await self.entry.complete()
        self.assertEqual(answer.events, EVENT)
        self.assertEqual(answer.outcome, 'unknown')
        self.assertFalse(answer.complete)

    async def test_stopping_sidecar_keeps_an_answer_for_a_lost_link(self):
        """Guards against a stop that drops an answer nobody has read yet."""
        rest = raw_endpoint.chunk(STREAM) + raw_endpoint.chunk(b'')
        self.engine.calls = [(0.5, STREAM_HEAD + rest)]
        call = asyncio.create_task(self.entry.complete())
        await asyncio.sleep(0.3)
        self.entry.cut(ENGINE)
        await asyncio.sleep(0.3)
        stopping = asyncio.create_task(self.entry.stop_sidecar(ENGINE))
        await asyncio.sleep(0.6)
        self.entry.heal(ENGINE)
        answer = await call
        self.assertEqual(answer.events, STREAM)
        await stopping

    async def test_link_comes_back_after_an_unexpected_error(self):
        """Guards against a sidecar that an entry loses for good."""
        failure = mock.patch.object(
            dispatch.Dispatcher, 'on_frame', side_effect=KeyError
        )
        with failure:
            call = asyncio.create_task(self.entry.complete())
            await self.entry.wait_linked(ENGINE, False)
        await self.entry.wait_linked(ENGINE)
        self.assertEqual((await call).outcome, 'not-run')

    async def test_moved_sidecar_serves_its_stream_and_then_moves(self):
        """A stream ends over the former address; the next uses the new."""
        rest = raw_endpoint.chunk(STREAM[len(EVENT) :])
        script = (
            STREAM_HEAD + raw_endpoint.chunk(EVENT),
            0.5,
            rest + raw_endpoint.chunk(b''),
        )
        self.engine.calls = [script]
        call = asyncio.create_task(self.entry.complete())
        await asyncio.sleep(0.3)
        await self.entry.move_sidecar(ENGINE)
        self.assertEqual((await call).events, STREAM)
        await self.entry.wait_moved(ENGINE)
        self.assertEqual((await self.entry.complete()).events, STREAM)

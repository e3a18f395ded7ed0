"""Test that the silence of an endpoint or a link ends no answer."""

from __future__ import annotations

import asyncio
import contextlib
import unittest
from unittest import mock

from persimmonroute.entry import intake
from persimmonroute import pacing
from standins import entry_fixtures
from standins import raw_endpoint
from standins import small_simulation

EVENT = b'data: {"choices": [{"index": 0, "text": "a"}]}\n\n'
DONE = b'data: [DONE]\n\n'
STREAM = EVENT * 6 + DONE
STREAM_HEAD = raw_endpoint.head(
    200, raw_endpoint.EVENT_STREAM, raw_endpoint.CHUNKED
)
RECEIPT = raw_endpoint.whole(201, raw_endpoint.JSON, b'{"id": 1}')
SILENCES_S = (0.5, 1.2, 1.9)
RESET = raw_endpoint.Ending.RESET


def chunked(body):
    """Return a whole stream as a chunked response."""
    return STREAM_HEAD + raw_endpoint.chunk(body) + raw_endpoint.chunk(b'')


class SilenceTests(unittest.IsolatedAsyncioTestCase):
    """Send requests to endpoints that fall silent and go on."""

    async def asyncSetUp(self):
        """Start an entry with one engine and one plain endpoint."""
        stack = contextlib.AsyncExitStack()
        await stack.__aenter__()
        self.addAsyncCleanup(stack.aclose)
        self.entry = entry_fixtures.EntryFixture(stack)
        await self.entry.start()
        self.engine = await self.entry.add_endpoint(small_simulation.MODEL)
        self.plain = await self.entry.add_endpoint(small_simulation.PLAIN)

    async def _change_configuration(self):
        for revision in range(2, 40):
            await asyncio.sleep(0.05)
            self.entry.configure(revision)

    async def _play(self, script, silence_s):
        """Play a script with a silence beside changes and health checks."""
        self.engine.calls = [script]
        self.engine.fall_silent_once(silence_s)
        answer, _ = await asyncio.gather(
            self.entry.complete(), self._change_configuration()
        )
        self.assertEqual(answer.events, STREAM)
        self.assertEqual(answer.outcome, 'completed')
        self.assertTrue(answer.complete)

    async def test_silence_before_the_head_ends_no_stream(self):
        """An engine may take a while before it answers."""
        for silence_s in SILENCES_S:
            await self._play((silence_s, chunked(STREAM)), silence_s)

    async def test_silence_inside_the_head_ends_no_stream(self):
        """An engine may fall silent between two bytes of its head."""
        for silence_s in SILENCES_S:
            for cut in (5, 30, len(STREAM_HEAD) - 1):
                data = chunked(STREAM)
                script = (data[:cut], silence_s, data[cut:])
                await self._play(script, silence_s)

    async def test_silence_inside_a_stream_ends_no_stream(self):
        """An engine may fall silent inside an event or between two."""
        for silence_s in SILENCES_S:
            for cut in (10, len(EVENT), len(EVENT) + 1):
                script = (
                    STREAM_HEAD + raw_endpoint.chunk(STREAM[:cut]),
                    silence_s,
                    raw_endpoint.chunk(STREAM[cut:]) + raw_endpoint.chunk(b''),
                )
                await self._play(script, silence_s)

    async def test_silence_ends_no_order(self):
        """A plain endpoint may fall silent anywhere in its answer."""
        for silence_s in SILENCES_S:
            for cut in (0, 10, len(RECEIPT) - 1):
                self.plain.calls = [
                    (RECEIPT[:cut], silence_s, RECEIPT[cut:]),
                ]
                for class_name in ('purchase-order', 'stock-lookup'):
                    self.plain.fall_silent_once(silence_s)
                    key = f'{class_name}-{silence_s}-{cut}'
                    answer = await self.entry.order(key, class_name)
                    self.assertEqual(answer.status, 201)
                    self.assertEqual(answer.body, b'{"id": 1}')

    async def test_endpoint_may_read_a_large_request_late(self):
        """Guards against a limit of TCP that ends a request still sent."""
        self.engine.calls = [(chunked(STREAM),)]
        for silence_s in (*SILENCES_S, 4.0):
            self.engine.reading_pause_s = silence_s
            answer = await self.entry.complete(size=3_500_000)
            self.assertEqual(answer.outcome, 'completed')
            self.assertEqual(answer.events, STREAM)

    async def test_largest_request_ends_no_link(self):
        """Guards against a request that ends the links of its entry."""
        self.engine.calls = [(chunked(STREAM),)]
        answer = await self.entry.complete(size=intake.MAX_BODY_BYTES - 100)
        self.assertEqual(answer.outcome, 'completed')

    async def test_large_requests_at_once_end_no_link(self):
        """Guards against requests that end a link together."""
        self.engine.calls = [(chunked(STREAM),)]
        answers = await asyncio.gather(
            *(self.entry.complete(size=1_500_000) for _ in range(4))
        )
        outcomes = [answer.outcome for answer in answers]
        self.assertNotIn('unknown', outcomes)
        self.assertIn('completed', outcomes)

    async def test_stream_that_breaks_off_twice_arrives_whole(self):
        """Guards against a stream that is given up at its second break."""
        begun = STREAM_HEAD + raw_endpoint.chunk(EVENT)
        self.engine.calls = [(begun, RESET)]
        self.engine.resumed = [
            (STREAM_HEAD + raw_endpoint.chunk(EVENT * 2), RESET),
            (STREAM_HEAD + raw_endpoint.chunk(EVENT * 4), RESET),
            (chunked(STREAM),),
        ]
        answer = await self.entry.complete()
        self.assertEqual(answer.events, STREAM)
        self.assertEqual(answer.outcome, 'completed')

    async def test_unexpected_error_ends_its_call(self):
        """Guards against a call that never ends after an unexpected error."""
        with mock.patch.object(pacing, 'read_rate', side_effect=KeyError):
            self.engine.calls = [
                (raw_endpoint.head(200, b'Request-Limit: 1\r\n'),)
            ]
            async with asyncio.timeout(10.0):
                answer = await self.entry.complete()
        self.assertEqual(answer.outcome, 'unknown')

    async def test_event_with_an_endless_id_arrives(self):
        """Guards against an id with more digits than Python reads."""
        stream = b'id: ' + b'9' * 5000 + b'\n' + STREAM
        self.engine.calls = [(chunked(stream),)]
        answer = await self.entry.complete()
        self.assertEqual(answer.outcome, 'completed')
        self.assertEqual(answer.events, stream)

"""Test what callers receive when the answer of an endpoint breaks."""

from __future__ import annotations

import contextlib
import unittest

from standins import entry_fixtures
from standins import raw_endpoint
from standins import small_simulation

EVENT = b'data: {"choices": [{"index": 0, "text": "a"}]}\n\n'
DONE = b'data: [DONE]\n\n'
STREAM = EVENT * 3 + DONE
STREAM_HEAD = raw_endpoint.head(
    200, raw_endpoint.EVENT_STREAM, raw_endpoint.CHUNKED
)
ERROR = b'{"error": "this endpoint has no such thing, and says so at length"}'
RESET = raw_endpoint.Ending.RESET
# Answers are cut at each byte by a close, and at some by a reset.
STEPS = ((raw_endpoint.Ending.CLOSE, 1), (RESET, 11))


def chunked(body, last=True):
    """Return a stream as a chunked response."""
    end = raw_endpoint.chunk(b'') if last else b''
    return STREAM_HEAD + raw_endpoint.chunk(body) + end


class BrokenAnswerTests(unittest.IsolatedAsyncioTestCase):
    """Send requests through an entry and a sidecar to a scripted endpoint."""

    async def asyncSetUp(self):
        """Start an entry with one engine and one plain endpoint."""
        stack = contextlib.AsyncExitStack()
        await stack.__aenter__()
        self.addAsyncCleanup(stack.aclose)
        self.entry = entry_fixtures.EntryFixture(stack)
        await self.entry.start()
        self.engine = await self.entry.add_endpoint(small_simulation.MODEL)
        self.plain = await self.entry.add_endpoint(small_simulation.PLAIN)

    def assert_refused_or_broken(self, answer):
        """Check that an answer neither looks whole nor holds an error."""
        self.assertEqual(answer.outcome, 'unknown')
        self.assertNotIn(b'at length', answer.body)
        if answer.status == 200:
            self.assertTrue(STREAM.startswith(answer.events), answer.body)
            self.assertFalse(answer.complete)

    async def test_whole_stream_arrives(self):
        """A stream arrives as the engine sent it."""
        self.engine.calls = [(chunked(STREAM),)]
        answer = await self.entry.complete()
        self.assertEqual(answer.outcome, 'completed')
        self.assertEqual(answer.events, STREAM)

    async def test_error_about_a_stream_is_no_answer(self):
        """Guards against an engine's error that ends a broken stream."""
        for begun in (b'', EVENT[:20], EVENT, EVENT * 2):
            for status in (200, 302, 400, 404, 500, 503):
                self.engine.calls = [(chunked(begun, last=False), RESET)]
                if not begun:
                    self.engine.calls = [(STREAM_HEAD[:-1], RESET)]
                self.engine.resumed = [
                    (raw_endpoint.whole(status, raw_endpoint.JSON, ERROR),)
                ]
                answer = await self.entry.complete()
                with self.subTest(begun=begun, status=status):
                    self.assert_refused_or_broken(answer)

    async def test_broken_error_is_not_resumed_as_a_stream(self):
        """Guards against a stream that goes on in the text of an error."""
        for status in (200, 404, 500):
            answered = raw_endpoint.whole(status, raw_endpoint.JSON, ERROR)
            self.engine.calls = [(answered[:-30], RESET)]
            self.engine.resumed = [(chunked(STREAM),)]
            answer = await self.entry.complete()
            with self.subTest(status=status):
                self.assertEqual(answer.outcome, 'unknown')
                self.assertNotIn(b'choices', answer.body)

    async def test_resumed_stream_goes_on(self):
        """A broken stream goes on where it broke off."""
        for begun in (b'', EVENT[:20], EVENT, EVENT * 2):
            self.engine.calls = [(chunked(begun, last=False), RESET)]
            if not begun:
                self.engine.calls = [(STREAM_HEAD[:30], RESET)]
            self.engine.resumed = [(chunked(STREAM),)]
            answer = await self.entry.complete()
            with self.subTest(begun=begun):
                self.assertEqual(answer.events, STREAM)
                self.assertEqual(answer.outcome, 'completed')

    async def test_shorter_stream_does_not_end_a_broken_one(self):
        """Guards against a stream that ends before its offset."""
        for rest in (b'', EVENT[:10], EVENT):
            self.engine.calls = [(chunked(EVENT * 2, last=False), RESET)]
            body = raw_endpoint.chunk(rest) if rest else b''
            ended = STREAM_HEAD + body + raw_endpoint.chunk(b'')
            self.engine.resumed = [(ended,)]
            answer = await self.entry.complete()
            with self.subTest(rest=rest):
                self.assert_refused_or_broken(answer)

    async def test_whole_completion_is_not_resumed_as_a_stream(self):
        """Guards against a stream in place of a whole completion."""
        body = b'{"choices": [{"index": 0, "text": "a"}]}'
        answered = raw_endpoint.whole(200, raw_endpoint.JSON, body)
        for cut in (0, 20, len(answered) - 30, len(answered) - 1):
            self.engine.calls = [(answered[:cut], RESET)]
            self.engine.resumed = [(chunked(STREAM),)]
            answer = await self.entry.complete(stream=False)
            with self.subTest(cut=cut):
                self.assertEqual(answer.outcome, 'unknown')
                self.assertNotIn(b'data:', answer.body)

    async def test_head_that_ends_early_is_no_answer(self):
        """Guards against a cut head that counts as a whole answer."""
        lengths = (b'Content-Length: 2\r\n', b'')
        for length in lengths:
            head = raw_endpoint.head(201, raw_endpoint.JSON, length)
            for ending, step in STEPS:
                for cut in range(0, len(head), step):
                    self.plain.calls = [(head[:cut], ending)]
                    key = f'{length}-{ending.value}-{cut}'
                    answer = await self.entry.order(key)
                    with self.subTest(key=key):
                        self.assertEqual(answer.status, 502)
                        self.assertEqual(answer.outcome, 'unknown')

    async def test_stream_head_that_ends_early_is_no_answer(self):
        """Guards against a cut head that counts as an empty stream."""
        self.engine.resumed = [(STREAM_HEAD[:-1],)]
        for ending, step in STEPS:
            for cut in range(0, len(STREAM_HEAD), step):
                self.engine.calls = [(STREAM_HEAD[:cut], ending)]
                answer = await self.entry.complete()
                with self.subTest(ending=ending, cut=cut):
                    self.assertEqual(answer.status, 502)
                    self.assertEqual(answer.outcome, 'unknown')

    async def test_body_that_ends_early_is_no_answer(self):
        """Guards against a cut body that is framed as whole."""
        body = b'{"id": 1}'
        wholes = (
            raw_endpoint.whole(201, raw_endpoint.JSON, body),
            raw_endpoint.head(201, raw_endpoint.JSON, raw_endpoint.CHUNKED)
            + raw_endpoint.chunk(body)
            + raw_endpoint.chunk(b''),
        )
        for number, answered in enumerate(wholes):
            for ending, step in STEPS:
                begin = answered.index(b'\r\n\r\n')
                for cut in range(begin, len(answered), step):
                    self.plain.calls = [(answered[:cut], ending)]
                    key = f'{number}-{ending.value}-{cut}'
                    answer = await self.entry.order(key)
                    with self.subTest(key=key):
                        self.assertEqual(answer.status, 502)
                        self.assertEqual(answer.outcome, 'unknown')

    async def test_reset_body_without_a_length_is_no_answer(self):
        """Guards against a reset that ends a body without a length."""
        head = raw_endpoint.head(201, raw_endpoint.JSON)
        for body in (b'', b'{"id"', b'{"id": 1}'):
            self.plain.calls = [(head + body, RESET)]
            answer = await self.entry.order(f'reset-{len(body)}')
            with self.subTest(body=body):
                self.assertEqual(answer.outcome, 'unknown')

    async def test_error_of_an_engine_keeps_its_status(self):
        """Guards against an error that is framed as a whole stream."""
        bodies = (
            (raw_endpoint.JSON, ERROR),
            (raw_endpoint.EVENT_STREAM, b'data: ' + ERROR + b'\n\n'),
            (b'', ERROR),
        )
        for status in (400, 404, 429, 500, 503):
            for content_type, body in bodies:
                self.engine.calls = [
                    (raw_endpoint.whole(status, content_type, body),)
                ]
                answer = await self.entry.complete()
                with self.subTest(status=status, content_type=content_type):
                    self.assertEqual(answer.status, status)
                    self.assertEqual(answer.body, body)

    async def test_other_content_than_a_stream_keeps_its_type(self):
        """Guards against other content that is framed as a stream."""
        self.engine.calls = [
            (raw_endpoint.whole(200, raw_endpoint.JSON, ERROR),)
        ]
        answer = await self.entry.complete()
        self.assertEqual(answer.headers[b'content-type'], b'application/json')
        self.assertEqual(answer.body, ERROR)

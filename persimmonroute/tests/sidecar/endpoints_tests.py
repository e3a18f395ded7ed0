"""Test endpoint clients against raw sockets."""

from __future__ import annotations

import asyncio
import contextlib
import unittest

from persimmonroute.generated import exchange_pb2 as pb
from persimmonroute.sidecar import endpoints
from persimmonroute.sidecar import messages
from standins import platform_runner

TIMEOUT_S = 10.0
RESET_DELAY_S = 0.02
BLOCK = b'x' * 65_536


class EndpointClientTests(unittest.IsolatedAsyncioTestCase):
    """Break connections at defined points of a call."""

    async def asyncSetUp(self):
        """Start a server that responds with the bytes in self.response."""
        self.requests = []
        self.events = []
        self.response = b''
        # True if the response is followed by a reset, or by bytes without end.
        self.reset = False
        self.endless = False
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

        async def close():
            server.close()
            await server.wait_closed()

        self.addAsyncCleanup(close)
        self.server = server
        self.client = endpoints.PlainServiceClient(
            self.address, self.events.append
        )

    async def _serve(self, reader, writer):
        head = await reader.readuntil(b'\r\n\r\n')
        self.requests.append(head.split(b'\r\n')[0])
        writer.write(self.response)
        await writer.drain()
        if self.reset:
            await asyncio.sleep(RESET_DELAY_S)
            platform_runner.reset(writer)
        if self.endless and b'/health' not in head:
            with contextlib.suppress(OSError):
                while True:
                    writer.write(BLOCK)
                    await writer.drain()
        writer.close()

    def _calls(self):
        return [r for r in self.requests if b'/health' not in r]

    async def _run(self, method):
        offer = pb.Offer(method=method, path='/orders/1', body=b'{}')
        await asyncio.wait_for(self.client.run('a.1', offer), TIMEOUT_S)

    def _received(self):
        return b''.join(
            event.data
            for event in self.events
            if isinstance(event, messages.EndpointData)
        )

    def _ended(self):
        return [
            event
            for event in self.events
            if isinstance(event, messages.EndpointEnded)
        ]

    def _failure(self):
        # next() without a match would end the subtest without a failure.
        failures = [
            event
            for event in self.events
            if isinstance(event, messages.EndpointFailed)
        ]
        self.assertNotEqual(failures, [])
        return failures[0]

    async def test_dropped_call_is_sent_once(self):
        """A call whose connection drops is not sent again."""
        for method in ('PUT', 'POST', 'DELETE', 'GET'):
            self.requests.clear()
            self.events.clear()
            await self._run(method)
            await self._run(method)
            with self.subTest(method=method):
                self.assertEqual(len(self._calls()), 2)
                self.assertTrue(self._failure().sent)

    async def test_truncated_response(self):
        """A truncated response is reported as failed, not as ended."""
        self.response = b'HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc'
        await self._run('POST')
        self.assertTrue(self._failure().sent)
        self.assertEqual(self._ended(), [])

    async def test_truncated_chunked_response(self):
        """A chunked response without its last chunk is reported as failed."""
        self.response = (
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'3\r\nabc\r\n'
        )
        await self._run('POST')
        self.assertTrue(self._failure().sent)

    async def test_whole_responses_without_a_length_arrive_whole(self):
        """A body may end with its connection, a stream's too, or be empty."""
        for head, body in (
            (b'', b'10\r\nreceipt'),
            (b'Content-Type: text/event-stream\r\n', b'data: {"a": 1}\n\n'),
            (b'Content-Length: 0\r\n', b''),
        ):
            with self.subTest(head=head):
                self.events.clear()
                self.response = b'HTTP/1.1 200 OK\r\n' + head + b'\r\n' + body
                await self._run('POST')
                self.assertIsInstance(self.events[-1], messages.EndpointEnded)
                self.assertEqual(self._received(), body)

    async def test_stream_that_ends_inside_an_event_failed(self):
        """A partial event is no end, with a length or without."""
        body = b'data: {"a": 1}\n\ndata: {"b'
        for framing in (b'Content-Length: %d\r\n' % len(body), b''):
            with self.subTest(framing=framing):
                self.events.clear()
                self.response = (
                    b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
                    + framing
                    + b'\r\n'
                    + body
                )
                await self._run('POST')
                self.assertTrue(self._failure().sent)
                self.assertEqual(self._ended(), [])

    async def test_stream_that_ends_before_its_first_event_failed(self):
        """A head and a closed connection are not an empty stream."""
        self.response = (
            b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n'
        )
        await self._run('POST')
        self.assertTrue(self._failure().sent)
        self.assertEqual(self._ended(), [])

    async def test_head_of_a_stream_is_a_whole_response(self):
        """Guards against 502 for a response to HEAD without a length."""
        self.response = (
            b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n'
        )
        await self._run('HEAD')
        self.assertIsInstance(self.events[-1], messages.EndpointEnded)

    async def test_reset_response_without_a_length_failed(self):
        """A reset is not the end of a body without a length."""
        self.response = b'HTTP/1.1 200 OK\r\n\r\npart'
        self.reset = True
        await self._run('POST')
        self.assertTrue(self._failure().sent)
        self.assertEqual(self._ended(), [])

    async def test_response_without_end_failed(self):
        """A body that never ends is cut off before it fills the memory."""
        self.response = b'HTTP/1.1 200 OK\r\n\r\n'
        self.endless = True
        await self._run('POST')
        self.assertTrue(self._failure().sent)
        self.assertLessEqual(
            len(self._received()), 2 * endpoints.MAX_RESPONSE_BYTES
        )

    async def test_call_never_reads_bytes_of_an_earlier_one(self):
        """What is left of a broken response answers no other call."""
        self.response = b'HTTP/1.1 200 OK\r\n\r\n\nHTTP/1.1 200 OK\r\n'
        await self._run('POST')
        self.events.clear()
        self.response = b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown'
        await self._run('POST')
        self.assertEqual(self._received(), b'own')

    async def test_refused_connection_was_not_sent(self):
        """A refused connection is reported as not sent."""
        self.server.close()
        await self.server.wait_closed()
        await self._run('POST')
        self.assertFalse(self._failure().sent)
        probed = [
            e for e in self.events if isinstance(e, messages.EndpointProbed)
        ]
        self.assertFalse(probed[0].up)

"""Test endpoint clients against raw sockets."""

from __future__ import annotations

import asyncio
import unittest

from persimmonroute.generated import exchange_pb2 as pb
from persimmonroute.sidecar import endpoints
from persimmonroute.sidecar import messages

TIMEOUT_S = 10.0


class EndpointClientTests(unittest.IsolatedAsyncioTestCase):
    """Break connections at defined points of a call."""

    async def asyncSetUp(self):
        """Start a server that responds with the bytes in self.response."""
        self.requests = []
        self.events = []
        self.response = b''
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
        self.addAsyncCleanup(self.client.close)

    async def _serve(self, reader, writer):
        head = await reader.readuntil(b'\r\n\r\n')
        self.requests.append(head.split(b'\r\n')[0])
        writer.write(self.response)
        await writer.drain()
        writer.close()

    def _calls(self):
        return [r for r in self.requests if b'/health' not in r]

    async def _run(self, method):
        offer = pb.Offer(method=method, path='/orders/1', body=b'{}')
        await asyncio.wait_for(self.client.run('a.1', offer), TIMEOUT_S)

    def _failure(self):
        return next(
            event
            for event in self.events
            if isinstance(event, messages.EndpointFailed)
        )

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
        ended = [
            e for e in self.events if isinstance(e, messages.EndpointEnded)
        ]
        self.assertEqual(ended, [])

    async def test_truncated_chunked_response(self):
        """A chunked response without its last chunk is reported as failed."""
        self.response = (
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'3\r\nabc\r\n'
        )
        await self._run('POST')
        self.assertTrue(self._failure().sent)

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

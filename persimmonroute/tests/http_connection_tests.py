"""Test the client side of HTTP connections against raw sockets."""

from __future__ import annotations

import asyncio
import contextlib
import unittest

from persimmonroute import exceptions
from persimmonroute import http_connection

TIMEOUT_S = 5.0
HEAD = b'HTTP/1.1 200 OK\r\n\r\n'
BLOCK = b'x' * 65_536


class ReadResponseTests(unittest.IsolatedAsyncioTestCase):
    """Read responses of a server that sends given bytes."""

    async def _send(self, head, block, repeats, method='GET'):
        """Return a connection whose server repeats a block after a head."""
        self.sent = 0

        async def serve(reader, writer):
            # asyncio would log the cancellation at the end of the test.
            with contextlib.suppress(OSError, asyncio.CancelledError):
                await reader.readuntil(b'\r\n\r\n')
                writer.write(head)
                for _ in range(repeats):
                    writer.write(block)
                    await writer.drain()
                    self.sent += len(block)
            writer.close()

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        conn = await http_connection.open_connection(f'{host}:{port}', 1.0)
        self.addCleanup(conn.abort)
        conn.send_request(method, '/', [('host', 'x')], b'')
        return conn

    async def test_response_without_a_length_is_read_to_its_end(self):
        """The end of the connection ends a response without a length."""
        conn = await self._send(HEAD, b'abc', 3)
        response = await http_connection.read_response(conn, TIMEOUT_S)
        self.assertEqual((response.status, response.body), (200, b'abc' * 3))

    async def test_response_without_end_is_not_kept_in_memory(self):
        """A body, a head or interim responses without end are cut off."""
        for head, block in (
            (HEAD, BLOCK),
            (b'HTTP/1.1 200 OK\r\n', b'x-filler: 0\r\n' * 5000),
            (b'', b'HTTP/1.1 102 Processing\r\n\r\n' * 2500),
        ):
            with self.subTest(block=block[:20]):
                conn = await self._send(head, block, 10_000)
                with self.assertRaises(exceptions.EndpointBrokenError):
                    await http_connection.read_response(conn, TIMEOUT_S)
                self.assertLess(
                    self.sent, 4 * http_connection.MAX_WHOLE_RESPONSE_BYTES
                )

    async def test_answer_that_opens_a_tunnel_is_no_response(self):
        """Guards against a reader that waits in a loop without end."""
        conn = await self._send(HEAD, b'', 0, 'CONNECT')
        await conn.next_event()
        with self.assertRaises(exceptions.EndpointBrokenError):
            await conn.next_event()

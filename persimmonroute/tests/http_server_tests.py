"""Test servers that are suspended while callers keep connections."""

from __future__ import annotations

import asyncio
import signal
import sys
import unittest

KEEP_ALIVE_S = 0.5
SERVER = f"""
import asyncio
import socket

from starlette import applications
from starlette import responses
from starlette import routing

from persimmonroute import http_server


def serve(request):
    return responses.PlainTextResponse('served')


http_server.KEEP_ALIVE_S = {KEEP_ALIVE_S}
with socket.create_server(('127.0.0.1', 0)) as probe:
    port = probe.getsockname()[1]
app = applications.Starlette(routes=[routing.Route('/', serve)])
server = http_server.build_server(app, f'127.0.0.1:{{port}}', 1.0)
print(port, flush=True)
asyncio.run(server.serve())
"""
REQUEST = b'GET / HTTP/1.1\r\nhost: test\r\n\r\n'
BODY = b'served'


class IdleConnectionTests(unittest.IsolatedAsyncioTestCase):
    """Suspend a server until the idle limit of a connection has passed."""

    async def asyncSetUp(self):
        """Start a server with a short limit and open a connection."""
        self.server = await asyncio.create_subprocess_exec(
            sys.executable, '-c', SERVER, stdout=asyncio.subprocess.PIPE
        )
        self.addAsyncCleanup(self._end)
        port = int(await self.server.stdout.readline())
        for _ in range(100):
            try:
                opened = await asyncio.open_connection('127.0.0.1', port)
            except ConnectionRefusedError:
                await asyncio.sleep(0.05)
            else:
                break
        self.reader, self.writer = opened
        self.addCleanup(self.writer.close)

    async def _end(self):
        self.server.kill()
        await self.server.wait()

    async def _call(self):
        self.writer.write(REQUEST)
        return await self._read_answer()

    async def _read_answer(self):
        async with asyncio.timeout(10.0):
            return await self.reader.readuntil(BODY)

    async def test_request_that_arrived_meanwhile_is_answered(self):
        """Guards against a close in place of an answer."""
        for late_s in (-0.003, 0.003, 0.03, 0.1, 0.5):
            with self.subTest(late_s=late_s):
                await self._call()
                await asyncio.sleep(0.1)
                self.server.send_signal(signal.SIGSTOP)
                self.writer.write(REQUEST)
                await asyncio.sleep(KEEP_ALIVE_S - 0.1 + late_s)
                self.server.send_signal(signal.SIGCONT)
                self.assertIn(b'200 OK', await self._read_answer())

    async def test_idle_connection_is_closed(self):
        """A connection without a request ends at its limit."""
        await self._call()
        async with asyncio.timeout(10.0):
            self.assertEqual(await self.reader.read(), b'')

"""Test timeouts of a process that stands still for a while."""

from __future__ import annotations

import asyncio
import time
import unittest

from persimmonroute import http_connection
from persimmonroute import timeouts

LIMIT_S = 0.2


class TimeoutTests(unittest.IsolatedAsyncioTestCase):
    """Block the event loop, as a suspension of the process does."""

    async def test_body_that_takes_too_long(self):
        """A body that is still waiting at the limit is ended."""
        with self.assertRaises(TimeoutError):
            async with timeouts.timeout(LIMIT_S):
                await asyncio.sleep(10)

    async def test_no_limit(self):
        """None sets no limit."""
        async with timeouts.timeout(None):
            await asyncio.sleep(0)

    async def test_suspension_is_no_timeout(self):
        """What arrived during a suspension is read before the limit counts."""
        reader, writer = await self._connect()
        async with timeouts.timeout(LIMIT_S):
            reading = asyncio.create_task(reader.read(1))
            await asyncio.sleep(0)
            writer.write(b'x')
            time.sleep(2 * LIMIT_S)
            self.assertEqual(await reading, b'x')
        writer.close()

    async def test_limit_holds_after_a_suspension(self):
        """A body that is still waiting after a suspension is ended."""
        with self.assertRaises(TimeoutError):
            async with timeouts.timeout(LIMIT_S):
                asyncio.get_running_loop().call_soon(time.sleep, 2 * LIMIT_S)
                await asyncio.sleep(10)

    async def test_limit_is_extended_once(self):
        """The extension is asked for at the limit, and ends the body too."""
        began_at = time.monotonic()
        with self.assertRaises(TimeoutError):
            async with timeouts.timeout(LIMIT_S, lambda: LIMIT_S):
                await asyncio.sleep(10)
        waited_s = time.monotonic() - began_at
        self.assertGreater(waited_s, 1.9 * LIMIT_S)
        self.assertLess(waited_s, 4 * LIMIT_S)

    async def test_slow_process_keeps_its_limits(self):
        """A process that is late all the time ends the body nevertheless."""
        slowing = asyncio.create_task(self._slow_down())
        self.addCleanup(slowing.cancel)
        began_at = time.monotonic()
        with self.assertRaises(TimeoutError):
            async with timeouts.timeout(LIMIT_S):
                await asyncio.sleep(10)
        self.assertLess(time.monotonic() - began_at, 5 * LIMIT_S)

    async def _slow_down(self):
        while True:
            time.sleep(2 * timeouts.MAX_TIMER_DELAY_S)
            await asyncio.sleep(0)

    async def test_suspension_while_connecting(self):
        """An endpoint is not unreachable because the gateway stood still."""
        server = await asyncio.start_server(self._accept, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        opening = asyncio.create_task(
            http_connection.open_connection(f'{host}:{port}', LIMIT_S)
        )
        asyncio.get_running_loop().call_soon(time.sleep, 2 * LIMIT_S)
        conn = await opening
        conn.abort()
        server.close()

    async def test_suspension_that_ends_at_the_limit(self):
        """Guards against a limit that is due just after a suspension."""
        server = await asyncio.start_server(self._accept, '127.0.0.1', 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        for late_s in (-0.002, 0.0, 0.002, 0.01, 0.03, 0.1):
            with self.subTest(late_s=late_s):
                opening = asyncio.create_task(
                    http_connection.open_connection(f'{host}:{port}', LIMIT_S)
                )
                asyncio.get_running_loop().call_soon(
                    time.sleep, LIMIT_S + late_s
                )
                conn = await opening
                conn.abort()

    async def _connect(self):
        server = await asyncio.start_server(self._accept, '127.0.0.1', 0)
        self.addCleanup(server.close)
        return await asyncio.open_connection(*server.sockets[0].getsockname())

    async def _accept(self, reader, writer):
        """Return what a client sends."""
        writer.write(await reader.read(1))
        writer.close()

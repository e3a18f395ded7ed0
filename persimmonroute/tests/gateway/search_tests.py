"""Test what searches for another endpoint leave behind."""

from __future__ import annotations

import asyncio
import contextlib
import unittest

from persimmonroute.platform import runner_client
from standins import gateway_fixtures as fixtures

# Time in which the end of a connection is noticed, in seconds.
NOTICE_S = 1.0


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

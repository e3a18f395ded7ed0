"""Test the bound on the memory of request bodies."""

from __future__ import annotations

import asyncio
import unittest

from persimmonroute import http_connection
from standins import gateway_deployment as deployments

LIMIT_MB = 1
LARGE_BYTES = 400_000
USUAL_BYTES = 110_000
MAX_BODY_BYTES = 500_000
START_TIMEOUT_S = 5.0


class BodyMemoryTests(unittest.IsolatedAsyncioTestCase):
    """Send large bodies to a gateway that may keep few of them."""

    async def asyncSetUp(self):
        """Start a gateway whose memory for bodies is small."""
        self.deployment = deployments.GatewayDeployment(1, gateways=0)
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.start()
        document = deployments.configuration()
        document['Limits']['MaxBodyBytes'] = MAX_BODY_BYTES
        self.deployment.platform.put_row('op', 'config', document)
        await self.deployment.add_gateway(body_memory_mb=LIMIT_MB)
        (self.runner,) = self.deployment.runners

    async def _hold(self):
        """Let endpoints keep a request with a large body; return its task."""
        self.runner.default_behaviour = 'hang'
        arrived = len(self.runner.arrivals)
        task = asyncio.create_task(self._call('held', LARGE_BYTES))
        self.addCleanup(task.cancel)
        async with asyncio.timeout(START_TIMEOUT_S):
            while len(self.runner.arrivals) == arrived:
                await asyncio.sleep(0.01)
        self.runner.default_behaviour = 'answer'
        return task

    async def _call(self, attempt, size):
        return await self.deployment.call(
            '/book/x', body=b'x' * size, attempt=attempt
        )

    async def test_body_without_memory_is_refused_and_not_run(self):
        """Guards against a process that is killed for its memory."""
        task = await self._hold()
        conn = await http_connection.open_connection(
            self.deployment.settings[0].address, 1.0
        )
        self.addCleanup(conn.abort)
        refused = await self.deployment.call_on(
            conn, '/book/x', b'x' * LARGE_BYTES, attempt='refused'
        )
        self.assertEqual(refused.status, 503)
        self.assertGreater(float(refused.headers[b'retry-after']), 0)
        self.assertEqual(refused.headers[b'attempt-id'], b'refused')
        self.assertNotIn('refused', self.runner.runs)
        # The rest of the body is no request.
        self.assertTrue(conn.finish())
        usual = await self.deployment.call_on(
            conn, '/book/x', b'x' * USUAL_BYTES, attempt='usual'
        )
        self.assertEqual(usual.status, 200)
        self.assertFalse(task.done())

    async def test_memory_is_free_again_after_callers_leave(self):
        """Guards against bodies that count for ever."""
        for number in range(3):
            task = await self._hold()
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            await self._wait_served(f'next-{number}')

    async def _wait_served(self, attempt):
        """Send a large body until it is served."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                response = await self._call(attempt, LARGE_BYTES)
                if response.status == 200:
                    return
                await asyncio.sleep(0.05)

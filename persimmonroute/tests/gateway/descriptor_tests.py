"""Test a gateway process that has few descriptors left."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import tempfile
import unittest

from standins import descriptors
from tools.soak import callers
from tools.soak import seed_run

# Descriptors that a gateway may open beside those that it has.
FEW = 3
IDLE_CONNECTIONS = 40
REQUESTS = 3
# Bytes that a gateway may log meanwhile.
MAX_LOGGED_BYTES = 40_000
# Time in which a server accepts again after it ran out of descriptors.
RECOVERY_S = 2.0
REFUSALS = {None, 429, 503}


class DescriptorTests(unittest.IsolatedAsyncioTestCase):
    """Use up the descriptors of a gateway, and return them."""

    async def asyncSetUp(self):
        """Prepare a deployment with one gateway and two endpoints."""
        folder = tempfile.TemporaryDirectory(prefix='descriptors-')
        self.addCleanup(folder.cleanup)
        self.seed_run = seed_run.SeedRun(
            1, folder.name, gateways=1, endpoints=2
        )

    async def _send_requests(self, name, count):
        """Return the statuses of requests; None for no connection."""
        gateway = self.seed_run.gateways[0]
        caller = callers.Caller(name, self.seed_run.journal, self.seed_run.now)
        statuses = []
        for _ in range(count):
            target = callers.Target('find', 'key-0', gateway)
            outcome = await caller.send_request(target, reuse=False)
            statuses.append(None if outcome is None else outcome.status)
        caller.close()
        return statuses

    async def test_gateway_without_descriptors_recovers_and_logs_little(self):
        """Guards against thousands of tracebacks for each lack."""
        async with self.seed_run.deployment():
            gateway = self.seed_run.gateways[0]
            for endpoint in self.seed_run.endpoints:
                endpoint.long_share = 0.0
            pid = gateway._process.pid
            address = gateway.settings['address']
            with (
                descriptors.limit_descriptors(pid, FEW),
                descriptors.open_connections(address, IDLE_CONNECTIONS),
            ):
                during = await self._send_requests('during', 1)
            self.assertTrue(gateway.running)
            self.assertLessEqual(set(during), REFUSALS)
            await asyncio.sleep(RECOVERY_S)
            after = await self._send_requests('after', REQUESTS)
            self.assertEqual(after, [200] * REQUESTS)
            logged = pathlib.Path(gateway.log.name).read_text()
            self.assertIn('"event": 111', logged)
            self.assertLess(len(logged), MAX_LOGGED_BYTES)
            self.assertTrue(await gateway.terminate(signal.SIGTERM))
            self.assertEqual(gateway.exit_status, 0)

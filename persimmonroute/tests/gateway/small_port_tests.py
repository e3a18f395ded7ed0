"""Test the ports for peers, metrics and readiness beside many gateways."""

from __future__ import annotations

import asyncio
import unittest

from persimmonroute import http_connection
from persimmonroute.platform import documents
from standins import gateway_deployment as deployments

GATEWAYS = 68
OPERATORS = 8
TABLES = (documents.CONFIGURATION_TABLE, documents.RUNNER_TABLE)
ROUNDS = 3
# Long, so that only a refusal fails.
WAIT_S = 30.0


class SmallPortTests(unittest.IsolatedAsyncioTestCase):
    """Call a gateway as often at once as a fleet does.

    Each guards against a peer, a probe or an operator that is refused in calm
    conditions because there are few places on the port.
    """

    async def asyncSetUp(self):
        """Start a gateway."""
        self.deployment = deployments.GatewayDeployment()
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.start()
        self.settings = self.deployment.settings[0]

    async def _read(self, address, path):
        """Return the status of one call, as peers call."""
        conn = await http_connection.open_connection(address, WAIT_S)
        try:
            conn.send_request('GET', path, [('host', address)], b'')
            response = await http_connection.read_response(conn, WAIT_S)
            return response.status
        finally:
            conn.abort()

    async def _check(self, address, paths, callers):
        for _ in range(ROUNDS):
            statuses = await asyncio.gather(
                *(
                    self._read(address, path)
                    for _ in range(callers)
                    for path in paths
                )
            )
            self.assertEqual(set(statuses), {200}, statuses)

    async def test_peers_that_start_together_read_the_tables(self):
        """All other gateways read both tables from this one."""
        paths = [f'/rows/{table}' for table in TABLES]
        address = self.settings.control_address
        await self._check(address, paths, GATEWAYS - 1)

    async def test_probes(self):
        """Probe more often at once than one balancer does."""
        await self._check(self.settings.ready_address, ['/readyz'], GATEWAYS)

    async def test_operators(self):
        """Read the metrics from several places at once."""
        address = self.settings.metrics_address
        await self._check(address, ['/metrics'], OPERATORS)

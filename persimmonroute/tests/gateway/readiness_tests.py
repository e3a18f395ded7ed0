"""Test when a starting gateway counts as ready."""

from __future__ import annotations

import asyncio
import json
import unittest

from persimmonroute import exceptions
from persimmonroute import http_connection
from standins import gateway_deployment as deployments
from standins import platform

START_TIMEOUT_S = 10.0
UNKNOWN_CONFIGURATION = 'no configuration is known yet'


class HeldPlatform(platform.PlatformStandIn):
    """Answer no read of the registrations until it is released."""

    def __init__(self):
        super().__init__([], 0.0)
        self.released = asyncio.Event()

    async def _check_request(self, bucket, table=None):
        if table == 'servers':
            await self.released.wait()
        return await super()._check_request(bucket, table)


class ReadinessTests(unittest.IsolatedAsyncioTestCase):
    """Start a gateway that gets its configuration before its endpoints."""

    async def asyncSetUp(self):
        """Start a gateway; its reads of registrations are held."""
        self.deployment = deployments.GatewayDeployment(2, gateways=0)
        self.deployment.platform = HeldPlatform()
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.start()
        self.starting = asyncio.create_task(self.deployment.add_gateway())
        self.addCleanup(self.starting.cancel)
        async with asyncio.timeout(START_TIMEOUT_S):
            while await self._find_reason() == UNKNOWN_CONFIGURATION:
                await asyncio.sleep(0.02)

    async def _find_reason(self):
        """Return why a request is refused."""
        while True:
            try:
                response = await self.deployment.call('/open/x')
                return json.loads(response.body)['error']
            except (IndexError, exceptions.EndpointUnreachableError):
                await asyncio.sleep(0.02)

    async def _get(self, address, path):
        """Return the WholeResponse of a port of the gateway."""
        conn = await http_connection.open_connection(address, 1.0)
        try:
            conn.send_request('GET', path, [('host', 'x')], b'')
            return await http_connection.read_response(conn, 1.0)
        finally:
            conn.abort()

    async def test_gateway_that_knows_no_endpoints_is_not_ready(self):
        """Guards against the refusal of what callers send once it is ready."""
        settings = self.deployment.settings[0]
        ready = await self._get(settings.ready_address, '/readyz')
        self.assertEqual(
            (ready.status, ready.body), (503, b'no list of endpoints')
        )
        self.assertFalse(self.starting.done())
        self.deployment.platform.released.set()
        await self.starting
        response = await self.deployment.call('/open/x')
        self.assertEqual(response.status, 200)

    async def test_unread_registrations_are_not_passed_to_peers(self):
        """Guards against peers that take an unread table for an empty one."""
        address = self.deployment.settings[0].control_address
        self.assertEqual((await self._get(address, '/rows/op')).status, 200)
        rows = await self._get(address, '/rows/servers')
        self.assertEqual(rows.status, 404)
        self.deployment.platform.released.set()
        await self.starting
        rows = await self._get(address, '/rows/servers')
        self.assertEqual(rows.status, 200)
        self.assertEqual(len(json.loads(rows.body)['rows']), 2)

"""Test whole gateways of which the store turns one away."""

from __future__ import annotations

import asyncio
import time
import unittest

from standins import gateway_deployment as deployments
from standins import platform_runner
from tools.soak import proxy

# Bound of a change in the smallest deployment, in seconds.
CONFIGURATION_S = 2.5


class TurnedAwayGatewayTests(unittest.IsolatedAsyncioTestCase):
    """Let one of two gateways, which knows no seeds, lose the store."""

    async def asyncSetUp(self):
        """Start both gateways, and turn the first one away."""
        self.deployment = deployments.GatewayDeployment(1, gateways=0)
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.start()
        self.link = proxy.Proxy()
        self.link.target = self.deployment.store
        await self.link.start()
        self.addAsyncCleanup(self.link.stop)
        await self.deployment.add_gateway(store=self.link.address)
        await self.deployment.add_gateway()
        self.assertEqual(self.deployment.settings[0].seeds or [], [])
        self.link.set_mode(proxy.Mode.REFUSE)
        self.link.reset_all()

    async def _wait_for_success(self, path):
        """Return how long the first gateway takes to serve a path."""
        began_at = time.monotonic()
        while time.monotonic() - began_at < 2 * CONFIGURATION_S:
            response = await self.deployment.call(path, gateway=0)
            if response.status == 200:
                break
            await asyncio.sleep(0.05)
        return time.monotonic() - began_at

    async def test_gateway_without_seeds_serves_a_route_that_was_added(self):
        """Guards against a configuration as old as the disruption."""
        changed = deployments.configuration(2)
        changed['Routes'].append(deployments.route('added', Public=True))
        self.deployment.platform.put_row('op', 'config', changed)
        took_s = await self._wait_for_success('/added/x')
        self.assertLess(took_s, CONFIGURATION_S)

    async def test_gateway_without_seeds_sends_to_an_endpoint_that_came(self):
        """Guards against endpoints' rows as old as the disruption."""
        old = self.deployment.runners[0]
        runner = platform_runner.RunnerStandIn('r9')
        await runner.start()
        self.addAsyncCleanup(runner.stop)
        self.deployment.register(runner)
        self.deployment.register(old, 'draining', Sequence=2)
        await asyncio.sleep(CONFIGURATION_S)
        response = await self.deployment.call('/open/x', gateway=0)
        self.assertEqual(response.status, 200)
        self.assertEqual(len(runner.requests), 1)


if __name__ == '__main__':
    unittest.main()

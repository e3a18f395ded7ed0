"""Test that each request ends with a whole answer or a refusal."""

from __future__ import annotations

import asyncio
import unittest

from standins import gateway_deployment as deployments

# Requests that share the slot of an endpoint; the last ones wait for it.
WAITING = 4


class KeyChangeTests(unittest.IsolatedAsyncioTestCase):
    """Change what callers need while their requests wait."""

    async def asyncSetUp(self):
        """Start a gateway with one endpoint of one slot."""
        self.deployment = deployments.GatewayDeployment(endpoints=1)
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.start()
        runner = self.deployment.runners[0]
        runner.answer_pause_s = 1.0
        runner.default_behaviour = 'pause'
        self.deployment.register(runner, Slots=1)
        self._configure(deployments.configuration(2))
        await asyncio.sleep(0.3)

    def _configure(self, document):
        """Apply a configuration whose callers have time to wait."""
        for route in document['Routes']:
            route['TimeoutMs'] = 6000
            route['TargetLatencyMs'] = 3000
        self.deployment.platform.put_row('op', 'config', document)

    async def _call_beside(self, document):
        """Return the response to a request that waits at the change."""
        calls = [
            asyncio.create_task(
                self.deployment.call(
                    '/book/x', attempt=f'c{n}', remaining_ms=6000
                )
            )
            for n in range(WAITING)
        ]
        await asyncio.sleep(0.2)
        self._configure(document)
        return await asyncio.gather(*calls)

    async def test_waiting_request_outlives_the_last_workspace(self):
        """Guards against 401 for a key that is not needed any more."""
        document = deployments.configuration(3, Tenants=[])
        responses = await self._call_beside(document)
        self.assertEqual([r.status for r in responses], [200] * WAITING)

    async def test_waiting_request_outlives_the_key_of_a_public_route(self):
        """Guards against 401 on a route that became public."""
        document = deployments.configuration(3)
        document['Tenants'][0]['ApiKeys'] = ['another']
        for route in document['Routes']:
            route['Public'] = True
        responses = await self._call_beside(document)
        self.assertEqual([r.status for r in responses], [200] * WAITING)

    async def test_waiting_request_with_a_revoked_key_is_refused(self):
        """A key that the route still needs is checked before the send."""
        document = deployments.configuration(3)
        document['Tenants'][0]['ApiKeys'] = ['another']
        responses = await self._call_beside(document)
        statuses = {response.status for response in responses}
        self.assertEqual(statuses, {200, 401})

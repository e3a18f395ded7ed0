"""Test rollouts with gateways, a stand-in store and endpoints."""

from __future__ import annotations

import asyncio
import time
import unittest

from persimmonroute.gateway import peers
from standins import gateway_deployment as deployments
from standins import platform_runner

DURATION_S = 4.0
PAUSE_S = 0.01
SERVICE_S = 0.05
SETTINGS = {
    'rollout_exposure_share': 0.1,
    'rollout_exposure_slack': 50,
    'rollout_rollback_s': 5,
}
STREAM = (('accept', 'text/event-stream'),)


class RolloutProcessTests(unittest.IsolatedAsyncioTestCase):
    """Send requests through two gateways while an order is open."""

    changes = SETTINGS

    async def asyncSetUp(self):
        """Start a store, gateways and endpoints of two versions."""
        self.deployment = deployments.GatewayDeployment(2, gateways=0)
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.start()
        self.target = [
            platform_runner.RunnerStandIn(f't{n}') for n in range(2)
        ]
        for runner in self.target:
            runner.version = 'v2'
            await runner.start()
            self.addAsyncCleanup(runner.stop)
        for _ in range(2):
            await self.deployment.add_gateway(**self.changes)
        self._statuses = []
        # Gateways that requests are sent to in turn.
        self._gateways = [0, 1]

    def _register_target(self):
        for runner in self.target:
            self.deployment.register(runner)

    def _order(self, **changes):
        document = {
            'Service': deployments.SERVICE,
            'To': 'v2',
            'DurationS': DURATION_S,
            **changes,
        }
        key = f'rollout/{deployments.SERVICE}'
        self.deployment.platform.put_row('op', key, document)

    def _read(self, table, key):
        row = self.deployment.platform.tables.find((table, '', key))
        return row.value

    @property
    def _status(self):
        value = self._read('status', f'rollout/{deployments.SERVICE}')
        return '' if value is None else value.decode()

    async def _call(self, number):
        response = await self.deployment.call(
            '/book/x',
            gateway=self._gateways[number % len(self._gateways)],
            attempt=f'a{number}',
        )
        self._statuses.append(response.status)

    async def _send_until(self, check, limit_s=2 * DURATION_S):
        """Send requests all the time until a check holds."""
        ends_at = time.monotonic() + limit_s
        calls, number = [], 0
        while not check() and time.monotonic() < ends_at:
            calls.append(asyncio.create_task(self._call(number)))
            number += 1
            await asyncio.sleep(PAUSE_S)
        await asyncio.gather(*calls)
        self.assertTrue(check())

    def _count(self, endpoints):
        return sum(len(runner.requests) for runner in endpoints)


class ServedTests(RolloutProcessTests):
    """Serve rollouts, as the settings ask for it."""

    async def test_good_version_is_completed(self):
        """Guards against errors of callers while the versions change."""
        self._register_target()
        self._order()
        began_at = time.monotonic()
        await self._send_until(lambda: '"completed"' in self._status)
        self.assertLess(time.monotonic() - began_at, DURATION_S + 1.0)
        self.assertEqual(set(self._statuses), {200})
        before = self._count(self.deployment.runners)
        for number in range(20):
            await self._call(number)
        self.assertEqual(self._count(self.deployment.runners), before)
        self.assertEqual(set(self._statuses), {200})

    async def test_bad_version_is_rolled_back(self):
        """Guards against a bad version that gets more than its share."""
        for runner in self.target:
            runner.default_behaviour = 'fail'
        self._register_target()
        self._order()
        await self._send_until(lambda: '"rolled_back"' in self._status)
        await asyncio.sleep(0.3)
        exposed = self._count(self.target)
        self.assertLessEqual(exposed, 0.1 * len(self._statuses) + 50)
        for number in range(20):
            await self._call(number)
        self.assertEqual(self._count(self.target), exposed)

    async def test_slow_version_is_rolled_back(self):
        """Guards against times that do not arrive at the controller."""
        for runner in (*self.target, *self.deployment.runners):
            runner.default_behaviour = 'pause'
            runner.answer_pause_s = 0.04
        for runner in self.target:
            runner.answer_pause_s = 0.4
        self._register_target()
        self._order()
        await self._send_until(lambda: '"rolled_back"' in self._status)
        self.assertIn('slower', self._status)

    async def test_killed_controller(self):
        """The other gateway goes on and serves all requests after it."""
        self._register_target()
        self._order()
        await self._send_until(lambda: '"canary"' in self._status)
        names = [settings.instance for settings in self.deployment.settings]
        subject = f'rollout/{deployments.SERVICE}'
        number = names.index(
            min(names, key=lambda n: peers.compute_tie_breaker(subject, n))
        )
        await self.deployment.kill_gateway(number)
        self._gateways = [1 - number]
        self._statuses.clear()
        await self._send_until(lambda: '"completed"' in self._status)
        self.assertEqual(set(self._statuses), {200})

    async def test_version_that_has_no_endpoint_of_the_others_left(self):
        """An excluded version is no substitute; the refusal is accurate."""
        for runner in self.target:
            runner.default_behaviour = 'fail'
        self._register_target()
        self._order()
        await self._send_until(lambda: '"rolled_back"' in self._status)
        exposed = self._count(self.target)
        for runner in self.deployment.runners:
            self.deployment.register(runner, 'draining')
        await asyncio.sleep(0.5)
        response = await self.deployment.call('/book/x', attempt='late')
        self.assertEqual(response.status, 503)
        self.assertEqual(self._count(self.target), exposed)

    async def test_metrics_show_the_rollout(self):
        """Guards against metrics that fail while an order is open."""
        self._register_target()
        self._order()
        await asyncio.sleep(1.0)
        address = self.deployment.settings[0].metrics_address
        conn = await deployments.http_connection.open_connection(address, 1.0)
        conn.send_request('GET', '/metrics', [('host', 'x')], b'')
        response = await deployments.read_response(conn)
        conn.abort()
        self.assertIn(b'persimmonroute_rollout_phase{', response.body)


class UnservedTests(RolloutProcessTests):
    """Do nothing where one of the settings is missing."""

    changes = {**SETTINGS, 'rollout_rollback_s': None}

    async def asyncSetUp(self):
        """Leave the setting out."""
        self.changes = {k: v for k, v in self.changes.items() if v is not None}
        await super().asyncSetUp()
        # Requests overlap, so that one endpoint is not enough for them.
        for runner in (*self.deployment.runners, *self.target):
            runner.service_s = SERVICE_S

    async def test_order_has_no_effect(self):
        """All versions serve requests, and no row is written."""
        self._register_target()
        self._order()
        await self._send_until(lambda: self._count(self.target) > 30)
        self.assertEqual(self._status, '')
        self.assertIsNone(self._read('rollouts', deployments.SERVICE))
        self.assertEqual(set(self._statuses), {200})


del RolloutProcessTests

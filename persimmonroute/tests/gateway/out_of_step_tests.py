"""Take streams up at gateways that are out of step with the others."""

from __future__ import annotations

import asyncio
import os
import signal
import tempfile
import unittest

from standins import gateway_deployment as deployments
from tools.soak import gateways as gateway_processes

STREAM = ('accept', 'text/event-stream')
STAND_STILL_S = 0.6
WAITING_STREAMS = 6


class StandStillTests(unittest.IsolatedAsyncioTestCase):
    """Suspend a gateway process while its endpoint is replaced."""

    async def asyncSetUp(self):
        """Start a store, an endpoint and a gateway process."""
        self.deployment = deployments.GatewayDeployment(1, gateways=0)
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.start()
        folder = tempfile.TemporaryDirectory(prefix='out-of-step-')
        self.addCleanup(folder.cleanup)
        settings = gateway_processes.build_initial_settings(0, [])
        self.gateway = gateway_processes.Gateway(
            'gateway-0', settings, folder.name, os.getcwd()
        )
        self.addAsyncCleanup(self.gateway.close)
        await self.gateway.open_links(self.deployment.store)
        self.gateway.start()
        await deployments.wait_ready(settings['ready_address'])

    async def _call(self, attempt):
        return await self.deployment.call(
            '/resume/x',
            headers=(STREAM,),
            attempt=attempt,
            address=self.gateway.settings['address'],
        )

    async def test_endpoint_replaced_during_a_stand_still_begins_nothing(self):
        """Guards against old bytes that are taken for a sign of life."""
        (runner,) = self.deployment.runners
        runner.version, runner.event_count = 'v1', 100
        runner.event_pause_s = 0.02
        reading = [asyncio.create_task(self._call('begun'))]
        await asyncio.sleep(0.2)
        self.gateway.send_signal(signal.SIGSTOP)
        reading += [
            asyncio.create_task(self._call(f'waiting-{n}'))
            for n in range(WAITING_STREAMS)
        ]
        await asyncio.sleep(STAND_STILL_S / 2)
        await runner.crash()
        # The process that follows has not registered yet.
        runner.version, runner.born = 'v2', 2
        await runner.start(int(runner.former_address.rpartition(':')[2]))
        await asyncio.sleep(STAND_STILL_S / 2)
        self.gateway.send_signal(signal.SIGCONT)
        answers = await asyncio.gather(*reading)
        self.assertIn(b'v1 ', answers[0].body)
        for answer in answers:
            self.assertNotIn(b'v2 ', answer.body)

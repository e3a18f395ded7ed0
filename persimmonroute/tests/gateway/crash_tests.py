"""Test gateways against requests that crash endpoints."""

from __future__ import annotations

import asyncio
import unittest

from standins import gateway_deployment as deployments

STREAM = ('accept', 'text/event-stream')
CRASHING_PART = 'bad'
RESTART_S = 0.6
# Requests with one part that may reach endpoints: three crashes, and what is
# under way before the gateways know of the third.
MAX_CRASHES = 4
REQUESTS = 12
PAUSE_S = 0.3


class CrashingPartTests(unittest.IsolatedAsyncioTestCase):
    """Send requests that share one part, and no other, and crash endpoints."""

    async def asyncSetUp(self):
        """Start three gateways and four endpoints that start again."""
        self.deployment = deployments.GatewayDeployment(4, 3)
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.start()
        for runner in self.deployment.runners:
            runner.crashing_parts = {CRASHING_PART}
        supervisor = asyncio.create_task(self._supervise())
        self.addCleanup(supervisor.cancel)
        self._sent = 0

    async def _supervise(self):
        """Start crashed endpoints again as new incarnations."""
        born = 1
        while True:
            await asyncio.sleep(0.05)
            for runner in self.deployment.runners:
                if not runner.crashed:
                    continue
                await asyncio.sleep(RESTART_S)
                born += 1
                runner.born = born
                await runner.start()
                self.deployment.register(runner)

    def _crash_count(self):
        return sum(
            runner.crashes_on(dict(request.headers)[b'prompt-prefix'].decode())
            for runner in self.deployment.runners
            for request, _ in runner.requests
        )

    async def _send(self, *parts):
        """Send a request with a part of its own to the next gateway."""
        self._sent += 1
        prompt = ','.join(f'{part}:10' for part in (*parts, self._sent))
        gateway = self._sent % len(self.deployment.settings)
        return await self.deployment.call(
            '/draft/x',
            gateway=gateway,
            body=f'body {self._sent}'.encode(),
            attempt=f'a{self._sent}',
            headers=(STREAM, ('prompt-prefix', prompt)),
        )

    async def _send_crashing(self, number):
        return await self._send('system', f'group{number % 3}', CRASHING_PART)

    async def test_part_that_crashes_endpoints_is_refused_everywhere(self):
        """Requests with nothing but the part in common stop being sent."""
        for number in range(REQUESTS):
            await self._send_crashing(number)
            await asyncio.sleep(PAUSE_S)
        self.assertLessEqual(self._crash_count(), MAX_CRASHES)
        refused = await self._send_crashing(0)
        self.assertEqual(refused.status, 503)
        self.assertIn(b'retry-after', refused.headers)

    async def test_crash_after_the_first_events_counts(self):
        """An endpoint may write a little before it crashes."""
        for runner in self.deployment.runners:
            runner.events_before_crash = 2
        await self.test_part_that_crashes_endpoints_is_refused_everywhere()

    async def test_rejected_request_does_not_clear_its_parts(self):
        """An endpoint that rejects a request has not read its prompt."""
        for runner in self.deployment.runners:
            runner.script.append('reject')
        response = await self._send_crashing(0)
        self.assertEqual(response.status, 400)
        for runner in self.deployment.runners:
            runner.script.clear()
            runner.requests.clear()
        await self.test_part_that_crashes_endpoints_is_refused_everywhere()

    async def test_sound_requests_that_share_other_parts_are_served(self):
        """Callers, first parts and groups of crashing requests go on."""
        served, sound = 0, 0
        for number in range(REQUESTS):
            await self._send_crashing(number)
            await asyncio.sleep(PAUSE_S)
            for group in range(3):
                response = await self._send('system', f'group{group}')
                sound += number >= REQUESTS // 2
                served += number >= REQUESTS // 2 and response.status == 200
        self.assertEqual(served, sound)

    async def test_replaced_gateways_still_refuse_the_part(self):
        """What is known of a part outlives all gateways."""
        for number in range(REQUESTS // 2):
            await self._send_crashing(number)
            await asyncio.sleep(PAUSE_S)
        await asyncio.sleep(1.5)
        before = self._crash_count()
        await self.deployment.replace_gateways()
        for number in range(4):
            response = await self._send_crashing(number)
            self.assertEqual(response.status, 503)
        self.assertEqual(self._crash_count(), before)

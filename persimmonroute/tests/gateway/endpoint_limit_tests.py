"""Test gateways against endpoints that name a limit."""

from __future__ import annotations

import asyncio
import time
import unittest

from standins import gateway_deployment as deployments
from standins import windows

GATEWAYS = 3
# Requests per second of all callers, far above the limits.
LOAD_PER_S = 40.0
LIMIT_PER_S = 2.0
WINDOW_S = 4.0
# What the operators tolerate in a window beyond the limit.
TOLERATED_SHARE = 1.5
TOLERATED_REQUESTS = 5
# Time in which all gateways hear of a limit.
NOTICE_S = 1.0
PLAY_S = 6.0


class NamedLimitTests(unittest.IsolatedAsyncioTestCase):
    """Send more to three gateways than one of two endpoints takes."""

    async def asyncSetUp(self):
        """Start three gateways and two endpoints."""
        self.deployment = deployments.GatewayDeployment(2, GATEWAYS)
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.start()
        self.limited, self.other = self.deployment.runners
        self._sent = 0

    async def _send(self):
        self._sent += 1
        return await self.deployment.call(
            '/find/x',
            gateway=self._sent % GATEWAYS,
            attempt=f'a{self._sent}',
        )

    async def _play(self, duration_s=PLAY_S):
        """Send requests at a constant rate; return their responses."""
        end = time.monotonic() + duration_s
        tasks = []
        while time.monotonic() < end:
            tasks.append(asyncio.create_task(self._send()))
            await asyncio.sleep(1 / LOAD_PER_S)
        return await asyncio.gather(*tasks)

    def _arrivals_since(self, runner, since):
        return [at for at in runner.arrivals if at >= since]

    async def test_named_limit_binds_all_gateways_together(self):
        """The endpoint gets what it named, and the other one the rest."""
        self.limited.request_limit = str(LIMIT_PER_S)
        begun_at = time.monotonic()
        responses = await self._play()
        arrivals = self._arrivals_since(self.limited, begun_at + NOTICE_S)
        allowed = TOLERATED_SHARE * LIMIT_PER_S * WINDOW_S
        self.assertLessEqual(
            windows.most_in_window(arrivals, WINDOW_S),
            allowed + TOLERATED_REQUESTS,
        )
        self.assertEqual({r.status for r in responses}, {200})

    async def test_limited_endpoint_still_gets_what_it_named(self):
        """A limit closes no endpoint."""
        self._name(str(LIMIT_PER_S))
        begun_at = time.monotonic()
        responses = await self._play()
        for runner in self.deployment.runners:
            arrivals = self._arrivals_since(runner, begun_at + NOTICE_S)
            expected = LIMIT_PER_S * (PLAY_S - NOTICE_S)
            self.assertGreaterEqual(len(arrivals), 0.75 * expected)
            self.assertLessEqual(
                len(arrivals), TOLERATED_SHARE * expected + TOLERATED_REQUESTS
            )
        refused = [r for r in responses if r.status != 200]
        for response in refused:
            self.assertEqual(response.status, 503)
            self.assertIn(b'retry-after', response.headers)

    async def test_limit_ends_when_it_is_not_named_any_more(self):
        """The endpoints get all requests again soon after the last naming."""
        self._name(str(LIMIT_PER_S))
        await self._play(2.0)
        limited = self._count_arrivals()
        await self._play(2.0)
        self.assertLessEqual(self._count_arrivals() - limited, 20)
        self._name(None)
        await self._play(1.0)
        responses = await self._play(1.0)
        self.assertEqual({r.status for r in responses}, {200})

    async def test_limit_of_zero_leaves_a_way_to_hear_of_its_end(self):
        """An endpoint that takes nothing is asked now and then."""
        self._name('0')
        await self._play(2.0)
        begun = self._count_arrivals()
        await self._play(WINDOW_S)
        self.assertLessEqual(
            self._count_arrivals() - begun, 2 * TOLERATED_REQUESTS
        )
        self._name(None)
        await self._play(4.0)
        responses = await self._play(1.0)
        self.assertEqual({r.status for r in responses}, {200})

    async def test_unreadable_limit_changes_nothing(self):
        """What is no decimal number neither sets nor lifts a limit."""
        for junk in ('', 'many', 'nan', '-3', 'inf'):
            self._name(junk)
            responses = await self._play(0.2)
            self.assertEqual({r.status for r in responses}, {200}, junk)
        self._name(str(LIMIT_PER_S))
        await self._play(1.0)
        for junk in ('', 'many', 'nan', '-3', 'inf'):
            self._name(junk)
            await self._play(0.2)
        limited = self._count_arrivals()
        await self._play(2.0)
        self.assertLessEqual(self._count_arrivals() - limited, 20)

    def _name(self, request_limit):
        """Let both endpoints name a limit, as text."""
        for runner in self.deployment.runners:
            runner.request_limit = request_limit

    def _count_arrivals(self):
        return sum(len(r.arrivals) for r in self.deployment.runners)

"""Test that endpoints are sent no more than their memory holds."""

from __future__ import annotations

import asyncio
import unittest

from persimmonroute.gateway import messages
from persimmonroute.gateway import model
from persimmonroute.gateway import scheduler as schedulers
from persimmonroute.gateway import slots
from standins import gateway_deployment as deployments
from standins import gateway_fixtures as fixtures

MEMORY = 1000
SLOTS = 4
POLL_S = 0.02
# Less than the time limit of the route.
SHORT_MS = 500


class EndpointMemoryTests(unittest.TestCase):
    """Grant requests of known sizes to endpoints with a known memory."""

    def setUp(self):
        """Create a scheduler with two endpoints."""
        self.build(MEMORY)

    def build(self, memory, names=('r1', 'r2')):
        """Create a scheduler for endpoints with a memory; 0 for unknown."""
        self.board = fixtures.board(
            runners=[fixtures.runner(name, slots=SLOTS) for name in names]
        )
        base = fixtures.scheduler(self.board)
        self.scheduler = schedulers.Scheduler(
            self.board.runner_registry,
            base.placement,
            self.board.peers,
            slots.OwnedSlots(self.board.runner_registry, 0.0),
        )
        self.scheduler.set_services(
            [model.Service(fixtures.SERVICE, 100, SLOTS, memory, True)]
        )

    def submit(self, prompt_tokens, output_tokens=0, now=0.0):
        """Queue a request; return it."""
        pending = fixtures.pending_request(
            now, prompt_tokens=prompt_tokens, output_tokens=output_tokens
        )
        self.scheduler.submit(pending, now)
        return pending

    def count_granted(self):
        """Return how many requests were granted since the last call."""
        effects = self.scheduler.take_effects()
        return sum(isinstance(e, messages.Granted) for e in effects)

    def count_held(self):
        """Return the tokens that each endpoint holds at most, sorted."""
        return sorted(v.held_tokens for v in self.board.runner_registry)

    def test_endpoints_hold_no_more_than_their_memory(self):
        """Guards against engines that crash because they hold too much."""
        for _ in range(8):
            self.submit(300, 100)
        self.assertEqual(self.count_granted(), 4)
        self.assertEqual(self.count_held(), [800, 800])

    def test_request_waits_until_memory_is_released(self):
        """Guards against a request that nothing grants any more."""
        first = [self.submit(600), self.submit(600)]
        self.submit(600)
        self.assertEqual(self.count_granted(), 2)
        self.scheduler.release(first[0], model.Ending.ANSWERED, 0.1)
        self.assertEqual(self.count_granted(), 1)
        self.assertEqual(self.count_held(), [600, 600])

    def test_large_request_is_not_passed_by_small_ones_for_ever(self):
        """Guards against small requests that take what a large one needs."""
        first = [self.submit(400), self.submit(400)]
        large = self.submit(900)
        self.count_granted()
        for _ in range(4):
            self.submit(100)
        # One endpoint is kept for the large one; the other serves.
        self.assertEqual(self.count_granted(), 4)
        for pending in first:
            self.scheduler.release(pending, model.Ending.ANSWERED, 0.1)
        self.assertIsNotNone(large.runner)

    def test_request_over_the_memory_is_sent_alone(self):
        """Guards against a request that waits until its deadline."""
        self.build(MEMORY, ('r1',))
        large = self.submit(5000)
        self.assertIsNotNone(large.runner)
        self.submit(10)
        self.assertEqual(self.count_granted(), 1)

    def test_endpoints_of_unknown_memory_are_served_as_before(self):
        """Guards against a bound where nothing is known."""
        self.build(0)
        for _ in range(2 * SLOTS):
            self.submit(5000)
        self.assertEqual(self.count_granted(), 2 * SLOTS)

    def test_requests_of_unknown_size_are_served_as_before(self):
        """Guards against requests that wait though they state no tokens."""
        for _ in range(2 * SLOTS):
            self.submit(0)
        self.assertEqual(self.count_granted(), 2 * SLOTS)

    def test_command_names_only_endpoints_with_memory(self):
        """Guards against a command that names what a grant would not."""
        self.build(MEMORY, ('r1',))
        self.submit(600)
        pending = fixtures.pending_request(0.0, prompt_tokens=600)
        self.assertEqual(self.scheduler.find_free(pending, 0.0), [])


class SettingTests(unittest.IsolatedAsyncioTestCase):
    """Send two requests that an endpoint has no memory for at once."""

    async def _send_two(self, **settings):
        """Return the attempts that reached the endpoint."""
        deployment = deployments.GatewayDeployment(1, 0, **settings)
        self.addAsyncCleanup(deployment.stop)
        await deployment.start()
        service = {
            'Name': deployments.SERVICE,
            'Engine': {'Slots': SLOTS, 'KvTokens': MEMORY},
        }
        deployment.platform.put_row(
            'op', 'config', deployments.configuration(2, Services=[service])
        )
        await deployment.add_gateway()
        (runner,) = deployment.runners
        runner.default_behaviour = 'hang'
        usage = ('token-usage', f'{MEMORY - 300},100')
        first = asyncio.create_task(
            deployment.call('/book/x', attempt='first', headers=(usage,))
        )
        self.addCleanup(first.cancel)
        while not runner.runs:
            await asyncio.sleep(POLL_S)
        # It ends before the first one does.
        await deployment.call(
            '/book/x',
            attempt='second',
            headers=(usage,),
            remaining_ms=SHORT_MS,
        )
        return set(runner.runs)

    async def test_memory_is_a_bound_where_the_settings_say_so(self):
        """Guards against a setting without effect."""
        runs = await self._send_two(bound_endpoint_memory=True)
        self.assertEqual(len(runs), 1)

    async def test_memory_is_no_bound_by_default(self):
        """Guards against a change of deployments that set nothing."""
        self.assertEqual(len(await self._send_two()), 2)

"""Test rollouts of versions by what reaches the endpoints and callers."""

from __future__ import annotations

import asyncio
import time
import unittest

from standins import gateway_deployment as deployments
from standins.platform_runner import VersionFault
from standins import rollout_deployment
from standins.rollout_deployment import BAD_RESPONSES
from standins.rollout_deployment import EXPOSURE_SHARE
from standins.rollout_deployment import EXPOSURE_SLACK
from standins.rollout_deployment import ROLLBACK_S
from standins.rollout_deployment import TARGET
from tools.soak import proxy

DURATION_S = 8.0
REQUESTS_PER_S = 60.0
FEW_REQUESTS_PER_S = 2.0
# Time in which gateways know one another and the endpoints.
SETTLE_S = 0.8
# Time after the deadline in which a status must have been written.
STATUS_GRACE_S = 2.0
# A host uses a plan for 1 s and a gateway a grant for 0.5 s; after that
# nothing reaches a version whose rollback has been stored.
ROLLBACK_EFFECT_S = 1.5
# Requests that are sent after a rollout has ended.
FINAL_REQUESTS = 12
FINAL_PER_S = 40.0
# Endpoints, one of which gets its full load from a tenth of the requests, and
# the load from which a version is bad there, in requests a second.
MANY_ENDPOINTS = 8
BAD_LOAD_PER_S = 4.0


class RolloutTestCase(unittest.IsolatedAsyncioTestCase):
    """Play rollouts with three gateways, and endpoints of two versions."""

    gateways = 3
    settings = {}

    async def asyncSetUp(self):
        """Start three gateways and two endpoints of the old version."""
        # It doubles the time of each step of the event loop, which gateways,
        # endpoints and callers share.
        asyncio.get_running_loop().set_debug(False)
        self.deployment = rollout_deployment.RolloutDeployment(
            2, self.gateways, **self.settings
        )
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.start()
        await asyncio.sleep(SETTLE_S)

    async def _play(self, target=TARGET, during=None, per_s=REQUESTS_PER_S):
        """Order a rollout under load and return its status at the deadline.

        during is a coroutine function that runs beside the order.
        """
        deployment = self.deployment
        sending = asyncio.create_task(deployment.send_steadily(per_s))
        beside = []
        try:
            await asyncio.sleep(SETTLE_S)
            deployment.order(target, DURATION_S)
            if during is not None:
                beside.append(asyncio.create_task(during()))
            status = await self._follow(target)
            await asyncio.gather(*beside)
            await self._sleep_until(DURATION_S)
        finally:
            for task in (sending, *beside):
                task.cancel()
        await deployment.finish_sending()
        return status

    async def _follow(self, target):
        limit_s = DURATION_S + STATUS_GRACE_S
        try:
            async with asyncio.timeout(limit_s):
                await self.deployment.wait_for_end(target)
        except TimeoutError:
            self.ended_s = limit_s
            return self.deployment.platform.read_rollout_status(
                deployments.SERVICE
            )
        self.ended_s = time.monotonic() - self.deployment.ordered_at
        return await self.deployment.follow(target)

    async def _sleep_until(self, after_order_s):
        await asyncio.sleep(
            self.deployment.ordered_at + after_order_s - time.monotonic()
        )

    def _assert_completed(self, status, target=TARGET):
        self.assertEqual(
            (status.get('State'), status.get('To')),
            ('completed', target),
            status,
        )
        self.assertLess(self.ended_s, DURATION_S)

    def _assert_rolled_back(self, status):
        """Check the bounds and the status of a bad version."""
        self._assert_bounds()
        self.assertEqual(
            (status.get('State'), status.get('To')),
            ('rolled_back', TARGET),
            status,
        )
        self.assertLess(self.ended_s, DURATION_S)
        stopped_at = (
            self.deployment.ordered_at + self.ended_s + ROLLBACK_EFFECT_S
        )
        self.assertEqual(self._count_target_after(stopped_at), 0)

    def _assert_bounds(self):
        """Check the exposure and the time of the rollback."""
        deployment = self.deployment
        begin = deployment.ordered_at
        end = begin + DURATION_S
        reached = deployment.count_arrivals(begin, end)
        exposed = deployment.count_arrivals(begin, end, TARGET)
        self.assertLessEqual(
            exposed, EXPOSURE_SHARE * reached + EXPOSURE_SLACK
        )
        bad_at = sorted(
            at for r in deployment.select(TARGET) for at in r.bad_at
        )
        # Guards against a play whose version is not bad.
        self.assertGreater(len(bad_at), 0)
        if len(bad_at) >= BAD_RESPONSES:
            last_at = bad_at[BAD_RESPONSES - 1] + ROLLBACK_S
            self.assertEqual(self._count_target_after(last_at), 0)

    def _count_target_after(self, begin):
        return self.deployment.count_arrivals(begin, float('inf'), TARGET)

    def _assert_nothing_lost(self):
        lost = [sent for sent in self.deployment.sent if sent.lost]
        self.assertEqual(
            [], [(s.attempt, s.route, s.response.status) for s in lost]
        )

    async def _assert_served(self, version):
        """Check that all requests are served, and by one version."""
        self.deployment.sent.clear()
        begin = time.monotonic()
        sending = asyncio.create_task(
            self.deployment.send_steadily(FINAL_PER_S)
        )
        await asyncio.sleep(FINAL_REQUESTS / FINAL_PER_S)
        sending.cancel()
        await self.deployment.finish_sending()
        statuses = {sent.response.status for sent in self.deployment.sent}
        self.assertEqual(statuses, {200})
        reached = self.deployment.count_arrivals(begin, float('inf'))
        of_version = self.deployment.count_arrivals(
            begin, float('inf'), version
        )
        self.assertEqual(reached, of_version)

    async def _kill_status_writer(self):
        """Kill the gateway that controls the order, halfway."""
        await self._sleep_until(0.5 * DURATION_S)
        number = self.deployment.status_writer
        self.assertIsNotNone(number, 'no status row was written')
        self.deployment.used_gateways.remove(number)
        await self.deployment.kill_gateway(number)
        self.killed = number

    async def _break_store(self, fault, begin, end):
        """Let the store have a fault over a part of the order's time."""
        await self._sleep_until(begin * DURATION_S)
        self.deployment.platform.fault = fault
        await self._sleep_until(end * DURATION_S)
        self.deployment.platform.fault = 'none'


class GoodVersionTests(RolloutTestCase):
    """Roll out versions that are as good as those before."""

    async def test_completes_and_loses_nothing(self):
        """Guards against requests that the stop of the old ones cuts off."""
        await self.deployment.start_version(TARGET)
        status = await self._play()
        self._assert_completed(status)
        self._assert_nothing_lost()
        await self._assert_served(TARGET)
        states = self.deployment.platform.list_rollout_states(
            deployments.SERVICE
        )
        names = list(dict.fromkeys(state['State'] for state in states))
        self.assertEqual(names, ['in_progress', 'completed'])

    async def test_completes_with_few_requests(self):
        """Guards against a rollout that waits for evidence in vain."""
        await self.deployment.start_version(TARGET)
        status = await self._play(per_s=FEW_REQUESTS_PER_S)
        self._assert_completed(status)
        self._assert_nothing_lost()

    async def test_completes_if_the_endpoints_come_late(self):
        """Guards against an order that fails before its endpoints start."""

        async def start_late():
            await self._sleep_until(0.25 * DURATION_S)
            await self.deployment.start_version(TARGET)

        status = await self._play(during=start_late)
        self._assert_completed(status)
        self._assert_nothing_lost()

    async def test_controller_is_killed(self):
        """Guards against an order that ends with its controller."""
        await self.deployment.start_version(TARGET)
        status = await self._play(during=self._kill_status_writer)
        self._assert_completed(status)
        lost = [s for s in self.deployment.sent if s.lost]
        self.assertEqual([s for s in lost if s.gateway != self.killed], [])
        await self._assert_served(TARGET)

    async def test_store_is_away_for_a_while(self):
        """Guards against an order that an outage of the store ends."""
        await self.deployment.start_version(TARGET)
        status = await self._play(
            during=lambda: self._break_store('down', 0.2, 0.6)
        )
        self._assert_completed(status)
        self._assert_nothing_lost()

    async def test_store_is_slow_for_a_while(self):
        """Guards against state that a late response of the store confuses."""
        await self.deployment.start_version(TARGET)
        status = await self._play(
            during=lambda: self._break_store('slow', 0.2, 0.6)
        )
        self._assert_completed(status)
        self._assert_nothing_lost()

    async def test_gateway_is_cut_off_from_the_store(self):
        """Guards against a gateway that goes on with the old endpoints."""
        for number in range(self.gateways):
            with self.subTest(number=number):
                await self._play_cut_off(number)

    async def _play_cut_off(self, number):
        if number:
            await self.deployment.stop()
            await self.asyncSetUp()
        await self.deployment.start_version(TARGET)
        await asyncio.sleep(SETTLE_S)
        self.deployment.links[number].set_mode(proxy.Mode.SILENT)
        self.deployment.links[number].reset_all()
        status = await self._play()
        self._assert_completed(status)
        self._assert_nothing_lost()
        await self._assert_served(TARGET)


class BadVersionTests(RolloutTestCase):
    """Roll out versions that must not stay."""

    async def _play_bad(self, fault, count=2, during=None):
        await self.deployment.start_version(TARGET, count, fault)
        status = await self._play(during=during)
        self._assert_rolled_back(status)
        await self._assert_served(rollout_deployment.OLD_VERSION)

    async def test_responses_fail(self):
        """Guards against a failing version that stays."""
        await self._play_bad(VersionFault(failures=0.5))

    async def test_responses_are_slow(self):
        """Guards against a slow version that stays."""
        await self._play_bad(VersionFault(slower=5.0))

    async def test_streams_are_slow_after_their_first_event(self):
        """Guards against a judgement by the first byte alone."""
        await self._play_bad(
            VersionFault(
                route=rollout_deployment.STREAM_ROUTE, slower_events=8.0
            )
        )

    async def test_responses_fail_later(self):
        """Guards against a decision that is made too early."""
        begins_at = time.monotonic() + SETTLE_S + 0.5 * DURATION_S
        await self._play_bad(VersionFault(failures=0.7, begins_at=begins_at))

    async def test_responses_fail_under_load(self):
        """Guards against a version that is never tried under load."""
        await self._play_bad(
            VersionFault(failures=1.0, load=BAD_LOAD_PER_S), MANY_ENDPOINTS
        )

    async def test_responses_fail_on_one_route(self):
        """Guards against a fault that the sound routes hide."""
        await self._play_bad(VersionFault(failures=1.0, route='find'))

    async def test_controller_is_killed(self):
        """Guards against exposure that starts anew at the next controller."""
        begins_at = time.monotonic() + SETTLE_S + 0.6 * DURATION_S
        await self._play_bad(
            VersionFault(failures=0.7, begins_at=begins_at),
            during=self._kill_status_writer,
        )

    async def test_store_is_away(self):
        """Guards against a rollback that waits for the store."""

        async def break_store():
            await self._break_store('down', 0.1, 0.7)
            # The outage began when few requests had reached the version.
            at = self.deployment.ordered_at + 0.6 * DURATION_S
            self.during_outage = self._count_target_after(at)

        await self._play_bad(VersionFault(failures=1.0), during=break_store)
        self.assertEqual(self.during_outage, 0)

    async def test_store_is_slow(self):
        """Guards against a share that grows while the store is slow."""
        await self._play_bad(
            VersionFault(failures=0.5),
            during=lambda: self._break_store('slow', 0.1, 0.7),
        )

    async def test_gateway_is_cut_off_from_the_store(self):
        """Guards against a gateway that knows nothing of the order."""
        for number in range(self.gateways):
            with self.subTest(number=number):
                await self._play_cut_off(number)

    async def _play_cut_off(self, number):
        if number:
            await self.deployment.stop()
            await self.asyncSetUp()
        # The gateway learns of the endpoints, but not of the order. Until the
        # version is bad, nothing but the order keeps requests from it.
        begins_at = time.monotonic() + 2 * SETTLE_S + 0.5 * DURATION_S
        await self.deployment.start_version(
            TARGET, fault=VersionFault(failures=0.7, begins_at=begins_at)
        )
        await asyncio.sleep(SETTLE_S)
        self.deployment.links[number].set_mode(proxy.Mode.SILENT)
        self.deployment.links[number].reset_all()
        status = await self._play()
        self._assert_rolled_back(status)

    async def test_controller_is_cut_off_from_the_store(self):
        """Guards against an order that nobody ends."""

        async def cut_controller():
            await self._sleep_until(0.25 * DURATION_S)
            number = self.deployment.status_writer
            self.assertIsNotNone(number, 'no status row was written')
            self.deployment.links[number].set_mode(proxy.Mode.SILENT)
            self.deployment.links[number].reset_all()

        begins_at = time.monotonic() + SETTLE_S + 0.4 * DURATION_S
        await self._play_bad(
            VersionFault(failures=0.7, begins_at=begins_at),
            during=cut_controller,
        )


class UnusualOrderTests(RolloutTestCase):
    """Give orders that cannot be carried out, or that others replace."""

    async def _assert_refused(self, service, target):
        async with asyncio.timeout(DURATION_S + STATUS_GRACE_S):
            status = await self.deployment.wait_for_end(target, service)
        self.assertEqual(status['State'], 'rolled_back')
        texts = [v for k, v in status.items() if k not in ('State', 'To')]
        self.assertTrue(any(texts), f'no reason in {status}')

    async def test_unknown_service(self):
        """Guards against an order without an end, and harm to others."""
        sending = asyncio.create_task(
            self.deployment.send_steadily(REQUESTS_PER_S)
        )
        self.deployment.order(TARGET, DURATION_S, 'nowhere')
        await self._assert_refused('nowhere', TARGET)
        sending.cancel()
        await self.deployment.finish_sending()
        self._assert_nothing_lost()
        await self._assert_served(rollout_deployment.OLD_VERSION)

    async def test_version_without_endpoints(self):
        """Guards against requests that wait for endpoints that never come."""
        sending = asyncio.create_task(
            self.deployment.send_steadily(REQUESTS_PER_S)
        )
        self.deployment.order(TARGET, DURATION_S)
        await self._assert_refused(deployments.SERVICE, TARGET)
        sending.cancel()
        await self.deployment.finish_sending()
        self._assert_nothing_lost()
        await self._assert_served(rollout_deployment.OLD_VERSION)

    async def test_second_order_replaces_the_first(self):
        """Guards against the completion of an order that was replaced."""
        deployment = self.deployment
        await deployment.start_version(TARGET)
        await deployment.start_version('v3')
        sending = asyncio.create_task(deployment.send_steadily(REQUESTS_PER_S))
        deployment.order(TARGET, DURATION_S)
        await self._sleep_until(0.4 * DURATION_S)
        deployment.order('v3', DURATION_S)
        status = await self._follow('v3')
        sending.cancel()
        await deployment.finish_sending()
        self._assert_completed(status, 'v3')
        self._assert_nothing_lost()
        states = deployment.platform.list_rollout_states(deployments.SERVICE)
        self.assertNotIn(
            ('completed', TARGET), [(s['State'], s['To']) for s in states]
        )
        await self._assert_served('v3')

    async def test_the_same_order_again_after_its_end(self):
        """Guards against a new order that an old outcome answers."""
        deployment = self.deployment
        await deployment.start_version(TARGET, fault=VersionFault(1.0))
        self._assert_rolled_back(await self._play())
        for runner in deployment.select(TARGET):
            runner.version_fault = None
            runner.born += 1
            deployment.register(runner)
        first_states = len(
            deployment.platform.list_rollout_states(deployments.SERVICE)
        )
        deployment.order(TARGET, DURATION_S)
        async with asyncio.timeout(DURATION_S):
            while not self._has_completed_since(first_states):
                await asyncio.sleep(rollout_deployment.STATUS_POLL_S)

    def _has_completed_since(self, first):
        states = self.deployment.platform.list_rollout_states(
            deployments.SERVICE
        )
        return 'completed' in [state['State'] for state in states[first:]]


class WithoutBoundsTests(RolloutTestCase):
    """Give an order to gateways whose settings do not state the bounds."""

    settings = {
        'rollout_exposure_share': None,
        'rollout_exposure_slack': None,
        'rollout_rollback_s': None,
    }

    async def test_order_is_not_served(self):
        """Guards against a part that is active without its settings."""
        await self.deployment.start_version(TARGET)
        await asyncio.sleep(SETTLE_S)
        sending = asyncio.create_task(
            self.deployment.send_steadily(REQUESTS_PER_S)
        )
        begin = time.monotonic()
        self.deployment.order(TARGET, 1.0)
        await asyncio.sleep(2.0)
        sending.cancel()
        await self.deployment.finish_sending()
        self._assert_nothing_lost()
        states = self.deployment.platform.list_rollout_states(
            deployments.SERVICE
        )
        self.assertEqual(states, [])
        for version in (rollout_deployment.OLD_VERSION, TARGET):
            self.assertGreater(
                self.deployment.count_arrivals(begin, float('inf'), version),
                0,
            )

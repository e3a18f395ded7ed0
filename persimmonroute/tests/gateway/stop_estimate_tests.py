"""Test how well a stopping gateway knows how long requests take."""

from __future__ import annotations

import asyncio
import time

from persimmonroute.tests.gateway import late_send_tests
from standins import gateway_deployment as deployments

# Of requests that cannot end within GRACE_S if they are sent LATE_S after the
# signal.
GRACE_S = 3
LATE_S = 0.8
LONG_RUN_S = 1.5
SHORT_RUN_S = 0.02
OTHER_SERVICE = 'slow'
# Route of the first tier, and one of a lower tier.
RARE = 'book'
COMMON = 'find'
LOWER_TIER = 3
# Requests from which a gateway does not yet learn.
RARE_REQUESTS = 9
# When a late request is sent after the signal.
SOON_S = 0.3
# Events of a stream, and the time for it.
EVENTS = 32
EVENT_PAUSE_S = 0.05
STREAM_GRACE_S = 4
# When a stream begins after the signal, and when its endpoint crashes near
# the end of it.
STREAM_BEGINS_S = 0.3
STREAM_BREAKS_S = 1.6


class EstimateCase(late_send_tests.LateSendCase):
    """Send long requests late, after many that were short."""

    async def asyncSetUp(self):
        """Start a second gateway, with a short grace period."""
        await super().asyncSetUp()
        await self.deployment.add_gateway(stop_grace_s=GRACE_S)

    async def _learn(self, behaviour, headers=()):
        """Let a gateway learn from orders that end at once."""
        self._set_runs(SHORT_RUN_S, behaviour)
        for number in range(late_send_tests.LEARNED):
            await self.deployment.call(
                '/book/x',
                gateway=1,
                attempt=f'learned-{number}',
                headers=headers,
                remaining_ms=late_send_tests.TIMEOUT_MS,
            )

    async def _check_late_order(self, headers=()):
        """Send an order that takes long, and check that it is not cut off."""
        self._set_runs(LONG_RUN_S)
        self.deployment.stop_events[1].set()
        await asyncio.sleep(LATE_S)
        sent_at = time.monotonic()
        response = await self.deployment.call(
            '/book/x',
            gateway=1,
            attempt='late',
            headers=headers,
            remaining_ms=late_send_tests.TIMEOUT_MS,
        )
        self._check_served_or_refused(
            late_send_tests.Ended('late', response, sent_at, time.monotonic())
        )


class EstimateTests(EstimateCase):
    """Let a gateway learn from requests that are not like the late one."""

    async def test_failures_do_not_tell_how_long_requests_take(self):
        """Guards against orders that are cut off after quick failures."""
        await self._learn('fail')
        await self._check_late_order()

    async def test_bad_requests_do_not_tell_how_long_others_take(self):
        """Guards against orders that are cut off after quick rejections."""
        await self._learn('reject')
        await self._check_late_order()

    async def test_long_answer_without_events_is_not_taken_for_short(self):
        """Guards against times that ignore the tokens of whole answers."""
        await self._learn('pause', (('token-usage', '10,10'),))
        await self._check_late_order((('token-usage', '10,4000'),))


class ServiceChangeTests(EstimateCase):
    """Send a route to another service before the stop."""

    endpoints = 2

    async def _configure_service(self):
        document = deployments.configuration(3)
        for route in document['Routes']:
            route['TimeoutMs'] = late_send_tests.TIMEOUT_MS
            route['TargetLatencyMs'] = late_send_tests.OBJECTIVE_MS
            route['Service'] = OTHER_SERVICE
        document['Services'].append(
            {'Name': OTHER_SERVICE, 'MaxConnections': 50}
        )
        self.deployment.platform.put_row('op', 'config', document)
        await asyncio.sleep(0.3)

    async def test_times_of_a_former_service_are_not_those_of_a_new_one(self):
        """Guards against orders that are cut off at a slower service."""
        self.deployment.register(
            self.deployment.runners[1], Service=OTHER_SERVICE, Sequence=2
        )
        await asyncio.sleep(0.3)
        await self._learn('pause')
        await self._configure_service()
        await self._check_late_order()
        self.assertEqual(self.deployment.runners[0].runs['late'], 0)


class ResumedStreamTests(late_send_tests.LateSendCase):
    """Break streams near their end during a stop."""

    endpoints = 2

    async def test_rest_of_a_stream_that_ends_in_time_is_sent(self):
        """Guards against streams broken off though their rest is short."""
        await self.deployment.add_gateway(stop_grace_s=STREAM_GRACE_S)
        for runner in self.deployment.runners:
            runner.event_count = EVENTS
            runner.event_pause_s = EVENT_PAUSE_S
            self.deployment.register(
                runner, Slots=late_send_tests.LEARNED, Sequence=2
            )
        await asyncio.sleep(0.3)
        await asyncio.gather(
            *(
                self._send('resume', f'learned-{number}', gateway=1)
                for number in range(late_send_tests.LEARNED)
            )
        )
        self.stopped_at = time.monotonic()
        self.deployment.stop_events[1].set()
        await asyncio.sleep(STREAM_BEGINS_S)
        call = self._send('resume', 'a1', gateway=1)
        await asyncio.sleep(
            self.stopped_at + STREAM_BREAKS_S - time.monotonic()
        )
        for runner in self.deployment.runners:
            if runner.runs['a1']:
                await runner.crash()
        ended = await call
        self.assertEqual(self._count_runs('a1'), 2)
        self.assertTrue(ended.response.complete)
        self.assertEqual(ended.response.body.count(b'id: '), EVENTS)


class RareRouteTests(late_send_tests.LateSendCase):
    """Stop a gateway that has served few requests of its first tier."""

    async def _configure_tiers(self):
        document = deployments.configuration(3)
        for route in document['Routes']:
            route['TimeoutMs'] = late_send_tests.TIMEOUT_MS
            route['TargetLatencyMs'] = late_send_tests.SHORT_OBJECTIVE_MS
            route['Priority'] = 0 if route['Name'] == RARE else LOWER_TIER
        del document['Tenants'][0]['Priority']
        self.deployment.platform.put_row('op', 'config', document)
        await asyncio.sleep(0.3)

    async def test_urgent_order_is_not_refused_before_others(self):
        """Guards against refusing urgent orders since they are rare."""
        await self._configure_tiers()
        self._set_runs(late_send_tests.SHORT_RUN_S)
        for number in range(late_send_tests.LEARNED):
            await self._send(COMMON, f'learned-{number}')
        for number in range(RARE_REQUESTS):
            await self._send(RARE, f'rare-{number}')
        self._stop()
        await asyncio.sleep(SOON_S)
        common = await self._send(COMMON, 'common')
        rare = await self._send(RARE, 'rare')
        self.assertEqual(common.response.status, 200)
        self.assertEqual(rare.response.status, 200)

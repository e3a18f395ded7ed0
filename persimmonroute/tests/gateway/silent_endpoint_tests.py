"""Test requests at endpoints that fall silent for a while and go on."""

from __future__ import annotations

import asyncio
import time
import unittest

from standins import gateway_deployment as deployments

STREAM = (('accept', 'text/event-stream'),)
COMPLETE_STREAM = b''.join(
    f'id: {n}\ndata: piece {n}\n\n'.encode() for n in range(1, 5)
)
# Longer than gateways wait before they look for another endpoint.
TIMEOUT_MS = 8000
# Time in which the end of a connection is noticed.
OVERLAP_S = 0.05
# A gateway whose budget allows no retry.
NO_RETRIES = {'retry_slack': 0, 'retry_ratio': 0}
# One of two gateways whose budget allows one retry.
ONE_RETRY = {'retry_slack': 4, 'retry_ratio': 0}


def _configuration(version, **changes):
    """Return a configuration with long timeouts."""
    document = deployments.configuration(version, **changes)
    for route in document['Routes']:
        route['TimeoutMs'] = TIMEOUT_MS
    return document


class SilentEndpointCase(unittest.IsolatedAsyncioTestCase):
    """Run a gateway with two endpoints."""

    async def asyncSetUp(self):
        """Start a gateway, a store and two endpoints."""
        self.deployment = deployments.GatewayDeployment()
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.start()
        await self._configure(_configuration(2))

    async def _configure(self, document):
        self.deployment.platform.put_row('op', 'config', document)
        await asyncio.sleep(0.2)

    async def _leave_one(self):
        """Let all endpoints but the first leave; return the first."""
        first, *others = self.deployment.runners
        for runner in others:
            self.deployment.register(runner, 'draining')
        await asyncio.sleep(0.3)
        return first

    def _script(self, *behaviours):
        """Script the next responses, whichever endpoint is used."""
        script = self.deployment.runners[0].script
        script.extend(behaviours)
        for runner in self.deployment.runners:
            runner.script = script

    async def _call(self, route, gateway=0, attempt='a1'):
        headers = STREAM if route in ('draft', 'resume') else ()
        return await self.deployment.call(
            f'/{route}/x',
            gateway=gateway,
            headers=headers,
            attempt=attempt,
            remaining_ms=TIMEOUT_MS,
        )

    def _check_whole(self, response):
        self.assertTrue(response.complete, vars(response))
        self.assertEqual(response.status, 200)
        self.assertIn(response.body, (COMPLETE_STREAM, b'answer a1'))


class SilenceTests(SilentEndpointCase):
    """Check that silence ends no answer that has no replacement."""

    async def _check_alone(self, route):
        first = await self._leave_one()
        first.script.append('silent')
        self._check_whole(await self._call(route))

    async def test_silence_ends_no_idempotent_answer(self):
        """Guards against answers given up before a place is found."""
        await self._check_alone('find')

    async def test_silence_ends_no_answer_that_must_not_repeat(self):
        """A request that may run once waits for its endpoint."""
        await self._check_alone('book')

    async def test_silence_ends_no_stream(self):
        """A stream that cannot be resumed waits for its endpoint."""
        await self._check_alone('draft')

    async def test_silence_ends_no_resumable_stream(self):
        """A stream goes on where it began, without a second send."""
        await self._check_alone('resume')
        self.assertEqual(self.deployment.runners[0].runs['a1'], 1)

    async def _check_without_budget(self, route):
        await self.deployment.add_gateway(**NO_RETRIES)
        self._script('silent')
        self._check_whole(await self._call(route, gateway=1))

    async def test_spent_budget_ends_no_silent_answer(self):
        """A retry that is not allowed leaves the answer alone."""
        await self._check_without_budget('find')

    async def test_spent_budget_ends_no_silent_stream(self):
        """A retry that is not allowed leaves the stream alone."""
        await self._check_without_budget('resume')

    async def _check_unreachable(self, route):
        first, second = self.deployment.runners
        await self._leave_one()
        first.script.append('silent')
        call = asyncio.create_task(self._call(route))
        await asyncio.sleep(0.2)
        second.born += 1
        self.deployment.register(second, Address='127.0.0.1:9')
        self._check_whole(await call)

    async def test_unreachable_endpoint_replaces_no_silent_answer(self):
        """A place that cannot be connected to is none."""
        await self._check_unreachable('find')

    async def test_unreachable_endpoint_replaces_no_silent_stream(self):
        """A place that cannot be connected to is none."""
        await self._check_unreachable('resume')


class ConfigurationTests(SilentEndpointCase):
    """Change the configuration while an endpoint is silent."""

    async def _check_beside(self, route, **changes):
        self._script('silent')
        call = asyncio.create_task(self._call(route))
        await asyncio.sleep(0.4)
        await self._configure(_configuration(3, **changes))
        self._check_whole(await call)

    @property
    def _other_key(self):
        return [{'Name': 'desk', 'ApiKeys': ['key-2'], 'Priority': 1}]

    async def test_removed_key_ends_no_silent_answer(self):
        """The key was valid when the request was accepted."""
        await self._check_beside('find', Tenants=self._other_key)

    async def test_removed_key_ends_no_silent_stream(self):
        """The key was valid when the stream began."""
        await self._check_beside('resume', Tenants=self._other_key)

    async def test_removed_route_ends_no_silent_answer(self):
        """The route was there when the request was accepted."""
        await self._check_beside('find', Routes=[deployments.route('book')])

    async def test_removed_route_ends_no_silent_stream(self):
        """The route was there when the stream began."""
        await self._check_beside('resume', Routes=[deployments.route('book')])


class RevocationTests(SilentEndpointCase):
    """Take the key away while answers to its requests run."""

    async def test_removed_key_cuts_no_running_answer(self):
        """Guards against a revocation that reaches what was sent before."""
        for runner in self.deployment.runners:
            runner.event_count, runner.event_pause_s = 10, 0.4
            runner.default_behaviour = 'pause'
            runner.answer_pause_s = 0.5
        # Longer than the time within which a key has to be confirmed.
        lasts_s = 4.0
        routes = ('book', 'draft', 'resume')
        began_at = time.monotonic()
        calls = [
            asyncio.create_task(self._call(route, attempt=route))
            for route in routes
        ]
        await asyncio.sleep(0.3)
        other_key = [{'Name': 'desk', 'ApiKeys': ['key-2'], 'Priority': 1}]
        await self._configure(_configuration(3, Tenants=other_key))
        late = await self._call('book', attempt='late')
        self.assertEqual(late.status, 401)
        for response in await asyncio.gather(*calls):
            self.assertEqual(response.status, 200)
            self.assertTrue(response.complete, vars(response))
            if response.body != b'answer book':
                self.assertEqual(response.body.count(b'data: '), 10)
        self.assertGreater(time.monotonic() - began_at, lasts_s)


class ReplacementTests(SilentEndpointCase):
    """Let another endpoint take over from one that is silent or fails."""

    async def _check_handover(self, route):
        silent, other = self.deployment.runners
        silent.silence_s = 5.0
        await self._leave_one()
        silent.script.append('silent')
        call = asyncio.create_task(self._call(route))
        await asyncio.sleep(0.3)
        other.born += 1
        self.deployment.register(other)
        self._check_whole(await call)
        await asyncio.sleep(OVERLAP_S)
        self.assertEqual(silent.runs['a1'], 1)
        self.assertEqual(other.runs['a1'], 1)
        self.assertLess(silent.lost_at['a1'], other.begun_at['a1'] + OVERLAP_S)

    async def test_silent_answer_never_runs_at_two_endpoints(self):
        """The former endpoint is stopped before the next is sent to."""
        await self._check_handover('find')

    async def test_silent_stream_never_runs_at_two_endpoints(self):
        """The former endpoint is stopped before the next is sent to."""
        await self._check_handover('resume')

    async def test_refusal_after_a_handover_ends_no_stream(self):
        """The place that replaced a sound endpoint may be taken."""
        silent, other = self.deployment.runners
        silent.silence_s = 5.0
        await self._leave_one()
        silent.script.append('silent')
        other.script.append('full')
        call = asyncio.create_task(self._call('resume'))
        await asyncio.sleep(0.3)
        other.born += 1
        self.deployment.register(other)
        self._check_whole(await call)

    async def test_error_of_an_endpoint_is_not_replaced_by_the_gateways(self):
        """Without another endpoint the caller gets the endpoint's answer."""
        first = await self._leave_one()
        first.script.append('fail')
        response = await self._call('find')
        self.assertEqual((response.status, response.body), (500, b'failed'))
        self.assertIn(b'upstream-signature', response.headers)

    async def test_refused_retry_spends_no_budget(self):
        """Guards against requests that fail for retries never sent."""
        await self.deployment.add_gateway(**ONE_RETRY)
        other = self.deployment.runners[1]
        first = await self._leave_one()
        first.script.extend(['fail', 'fail'])
        response = await self._call('find', gateway=1)
        self.assertEqual(response.status, 500)
        call = asyncio.create_task(self._call('find', gateway=1))
        other.born += 1
        self.deployment.register(other)
        self.assertEqual((await call).status, 200)

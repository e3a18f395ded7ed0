"""Send requests on routes whose fields contradict their kind."""

from __future__ import annotations

import json
import unittest

from persimmonroute.platform import documents
from standins import gateway_deployment as deployments

STREAM = (('accept', 'text/event-stream'),)
EVENTS = b''.join(
    f'id: {n}\ndata: piece {n}\n\n'.encode() for n in range(1, 5)
)
LOSSES = ('reset', 'truncate', 'unframed_reset', 'fail', 'hang')
STREAM_LOSSES = ('break_stream', 'partial_stream', 'unframed_stream')


class NonIdempotentResumeTests(unittest.IsolatedAsyncioTestCase):
    """Guard against orders that run twice where streams may be resumed."""

    async def asyncSetUp(self):
        """Start a gateway with a route of each kind that has StreamResume."""
        self.deployment = deployments.GatewayDeployment(gateways=0)
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.start()
        routes = [
            deployments.route(kind, Kind=kind, StreamResume=True)
            for kind in documents.ROUTE_KINDS
        ]
        self.deployment.platform.put_row(
            'op', 'config', deployments.configuration(2, Routes=routes)
        )
        await self.deployment.add_gateway()

    async def _lose(self, kind, loss, attempt, headers):
        """Return the response to a request whose first answer is lost."""
        script = self.deployment.runners[0].script
        script.clear()
        script.append(loss)
        for runner in self.deployment.runners:
            runner.script = script
        return await self.deployment.call(
            f'/{kind}/{attempt}', attempt=attempt, headers=headers
        )

    def _count_runs(self, attempt):
        return sum(r.runs[attempt] for r in self.deployment.runners)

    async def test_order_runs_once(self):
        """Its answer is lost on a new connection or on one in use."""
        for number in range(2):
            for loss in LOSSES:
                attempt = f'{loss}-{number}'
                response = await self._lose(
                    'non_idempotent', loss, attempt, ()
                )
                self.assertEqual(self._count_runs(attempt), 1, attempt)
                self.assertIn(response.status, (500, 502, 504), attempt)

    async def test_order_that_is_answered_with_events_runs_once(self):
        """Its response breaks off, and nothing is joined to it."""
        for number in range(2):
            for loss in STREAM_LOSSES:
                attempt = f'{loss}-{number}'
                response = await self._lose(
                    'non_idempotent', loss, attempt, STREAM
                )
                self.assertEqual(self._count_runs(attempt), 1, attempt)
                self.assertFalse(response.complete, attempt)

    async def test_order_that_has_not_run_is_sent_again(self):
        """A refusal of an endpoint is no reason to fail."""
        response = await self._lose('non_idempotent', 'full', 'full', ())
        self.assertEqual(response.status, 200)
        self.assertEqual(self._count_runs('full'), 1)

    async def test_streams_of_other_kinds_go_on(self):
        """What may be repeated is resumed at the other endpoint."""
        for kind in ('streaming', 'idempotent'):
            for loss in STREAM_LOSSES:
                attempt = f'{kind}-{loss}'
                response = await self._lose(kind, loss, attempt, STREAM)
                self.assertEqual(response.body, EVENTS, attempt)
                self.assertTrue(response.complete, attempt)
                self.assertEqual(self._count_runs(attempt), 2, attempt)

    async def test_lookups_are_sent_again(self):
        """A lost answer is that of the other endpoint."""
        for loss in LOSSES:
            response = await self._lose('idempotent', loss, loss, ())
            self.assertEqual(response.status, 200, loss)


class DecodingTests(unittest.TestCase):
    """Read routes that have StreamResume."""

    def test_only_true_lets_streams_go_on(self):
        """Guards against a repetition that no operator has allowed."""
        for value in (None, False, 'false', 'true', 0, 1, [], {}):
            route = self._read('streaming', value)
            self.assertFalse(route.resumable, value)
            self.assertFalse(route.repeatable, value)

    def test_kind_decides_what_may_be_repeated(self):
        """The field adds nothing to a kind that may run only once."""
        for kind, repeatable in (
            ('non_idempotent', False),
            ('idempotent', True),
            ('streaming', True),
        ):
            route = self._read(kind, True)
            self.assertEqual(route.resumable, repeatable, kind)
            self.assertEqual(route.repeatable, repeatable, kind)

    def _read(self, kind, value):
        route = deployments.route('x', Kind=kind, StreamResume=value)
        document = deployments.configuration(Routes=[route])
        data = json.dumps(document).encode()
        return documents.read_configuration(data).routes[0]

"""Ask running gateways where requests would go."""

from __future__ import annotations

import contextlib
import io
import json
import unittest

from persimmonroute.commands import where
from persimmonroute import exceptions
from standins import gateway_deployment as deployments


class WhereTests(unittest.IsolatedAsyncioTestCase):
    """Preview requests at a gateway with two endpoints."""

    async def asyncSetUp(self):
        """Start a gateway and two endpoints."""
        self.deployment = deployments.GatewayDeployment(2)
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.start()

    async def _ask(self, **query):
        address = self.deployment.settings[0].metrics_address
        printed = io.StringIO()
        with contextlib.redirect_stdout(printed):
            await where.where(address, query, False)
        return printed.getvalue()

    def _count_runs(self):
        return sum(sum(r.runs.values()) for r in self.deployment.runners)

    async def test_preview_names_endpoints_and_sends_nothing(self):
        """Guards against a preview that runs or charges a request."""
        before = self._count_runs()
        printed = await self._ask(
            host=deployments.HOST,
            path='/book/x',
            workspace='desk',
            prompt_tokens='90',
            output_tokens='10',
            prompt='a1:60,b2:30',
        )
        self.assertIn('route book', printed)
        for runner in self.deployment.runners:
            self.assertIn(runner.id, printed)
        self.assertRegex(printed, 'goes to: r')
        self.assertEqual(self._count_runs(), before)

    async def test_gateway_that_hosts_the_group(self):
        """Guards against a preview that fails once requests were granted."""
        response = await self.deployment.call('/book/x')
        self.assertEqual(response.status, 200)
        address = self.deployment.settings[0].metrics_address
        printed = io.StringIO()
        with contextlib.redirect_stdout(printed):
            await where.where(
                address,
                {
                    'host': deployments.HOST,
                    'path': '/book/x',
                    'workspace': 'desk',
                },
                True,
            )
        (group,) = json.loads(printed.getvalue())['services'][0]['groups']
        self.assertTrue(group['exact'])
        self.assertIsNotNone(group['endpoint'])

    async def test_rejections_are_told(self):
        """Unknown routes and workspaces are told as callers get them."""
        printed = await self._ask(host=deployments.HOST, path='/none/x')
        self.assertIn('rejected with 404', printed)
        printed = await self._ask(host=deployments.HOST, path='/book/x')
        self.assertIn('rejected with 401', printed)

    async def test_odd_queries(self):
        """Guards against tracebacks for odd numbers and addresses."""
        for query in (
            {'prompt_tokens': 'x'},
            {'prompt_tokens': '-1'},
            {'prompt': 'a1'},
            {'remaining_ms': '9' * 50},
        ):
            with self.subTest(query=query):
                with self.assertRaises(exceptions.GatewayQueryError):
                    await self._ask(host='a', path='/b/', **query)
        with self.assertRaises(exceptions.GatewayQueryError):
            await where.where(
                f'127.0.0.1:{deployments.free_port()}', {}, False
            )

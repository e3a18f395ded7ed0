"""Run tests beside the processes of a small deployment."""

from __future__ import annotations

import asyncio
import json
import pathlib
import tempfile
import unittest

from standins import callers
from standins import small_simulation
from tools import demo
from tools import deployment as deployments
from tools import small_deployment


def order(number, key):
    """Plan a purchase order; its retries have the same key."""
    body = json.dumps({'id': key, 'quantity': number}).encode()
    return callers.PlannedCall(
        key,
        small_simulation.WORKSPACE,
        'purchase-order',
        small_simulation.PLAIN,
        True,
        'POST',
        '/purchase-orders',
        body,
        False,
        '',
        0,
    )


def draft(name, tokens=60):
    """Plan a streamed completion."""
    return callers.plan_completion(
        name,
        small_simulation.WORKSPACE,
        'counter-offer',
        small_simulation.MODEL,
        tokens,
    )


class DeploymentCase(unittest.IsolatedAsyncioTestCase):
    """Provide a deployment with declarations, and a caller."""

    async def asyncSetUp(self):
        """Start a small deployment."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        small_deployment.write_deployment(folder.name)
        self.logs = pathlib.Path(folder.name) / 'logs'
        self.deployment = deployments.Deployment(folder.name, self.logs)
        self.addAsyncCleanup(self.deployment.stop)
        self.deployment.start_all()
        await asyncio.to_thread(demo.apply_declarations, self.deployment)
        await self.deployment.wait_serving()
        self.caller = callers.Caller()
        self.addAsyncCleanup(self.caller.close)

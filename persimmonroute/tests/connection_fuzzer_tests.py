"""Test both ingress paths with damaged requests, for a short time."""

from __future__ import annotations

import unittest

from standins import connection_fuzzer
from standins import fuzz_targets

SEEDS = range(2)
CONNECTIONS = 60


class ConnectionFuzzerTests(unittest.IsolatedAsyncioTestCase):
    """Fuzz the connections of callers.

    They guard against requests that end the process or its event loop, and
    against a refusal as not run of a request that has run.
    """

    async def _check(self, path):
        async with fuzz_targets.TARGETS[path]() as target:
            for seed in SEEDS:
                findings = await connection_fuzzer.fuzz(
                    seed, CONNECTIONS, target
                )
                self.assertEqual(findings, [], seed)

    async def test_gateway(self):
        """Fuzz a gateway."""
        await self._check('gateway')

    async def test_entry(self):
        """Fuzz an entry."""
        await self._check('entry')

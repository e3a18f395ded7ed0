"""Test entries and sidecars that have few descriptors left."""

from __future__ import annotations

import asyncio
import signal

from persimmonroute.events import Event
from persimmonroute.tests.processes import process_case
from standins import callers
from standins import descriptors

# Descriptors that a process may open beside those that it has.
FEW = 2
IDLE_CONNECTIONS = 40
ORDERS = 3
# Tokens of a stream that lasts longer than the lack.
STREAM_TOKENS = 200
LACK_S = 1.5
RECOVERY_S = 2.0
MAX_LOGGED_BYTES = 40_000
OUTCOMES = {'completed', 'not-run', callers.LOST}


class DescriptorTests(process_case.DeploymentCase):
    """Use up the descriptors of a process while it has requests."""

    async def _send_orders(self, name):
        entry = self.deployment.entries[0]
        orders = [process_case.order(n, f'{name}{n}') for n in range(ORDERS)]
        return [await self.caller.send(entry, order) for order in orders]

    async def _begin_stream(self, name):
        begun = asyncio.Event()
        stream = asyncio.create_task(
            self.caller.send(
                self.deployment.entries[0],
                process_case.draft(name, STREAM_TOKENS),
                begun.set,
            )
        )
        await begun.wait()
        return stream

    async def _check(self, process, address):
        """Check that a process serves what it has, and then all again."""
        await self._send_orders('before')
        stream = await self._begin_stream('s')
        pid = self.deployment.find_pid(process)
        with (
            descriptors.limit_descriptors(pid, FEW),
            descriptors.open_connections(address, IDLE_CONNECTIONS),
        ):
            sending = asyncio.create_task(self._send_orders('during'))
            await asyncio.sleep(LACK_S)
        for result in await sending:
            self.assertIn(result.outcome, OUTCOMES, result)
        self.assertEqual((await stream).outcome, 'completed')
        await asyncio.sleep(RECOVERY_S)
        for result in await self._send_orders('after'):
            self.assertEqual(result.outcome, 'completed', result)
        runs, _, _ = await self.deployment.count_runs()
        self.assertLessEqual(set(runs.values()), {1})
        log = (self.logs / f'{process}.log').read_text()
        self.assertIn(Event.RESOURCES_EXHAUSTED.value.summary, log)
        self.assertLess(len(log), MAX_LOGGED_BYTES)
        self.deployment.send_signal(process, signal.SIGTERM)
        self.assertEqual(await self.deployment.wait_exit(process), 0)

    async def test_entry_without_descriptors_recovers(self):
        """Guards against an entry that a lack of descriptors stops."""
        await self._check('entry-1', self.deployment.entries[0])

    async def test_sidecar_without_descriptors_recovers(self):
        """Guards against a sidecar that a lack of descriptors stops."""
        endpoint = self.deployment.endpoints['trade-desk-1']
        await self._check('sidecar-trade-desk-1', endpoint['sidecar'])

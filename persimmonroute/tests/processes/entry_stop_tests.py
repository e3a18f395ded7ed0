"""Test stops of entry processes beside other signals and stand-stills."""

from __future__ import annotations

import asyncio
import collections
import json
import pathlib
import signal
import tempfile
import time
import unittest

from persimmonroute.tests.processes import process_case
from standins import callers
from tools import demo
from tools import deployment as deployments
from tools import small_deployment

GRACE_S = 4.0
SHORT_RUN_S = 0.1
SERVICE = 'trade-desk-1'
ENDPOINTS = tuple(
    plan for plan in small_deployment.ENDPOINTS if plan.name == SERVICE
)
# Calls from which an entry learns how long those of a class take.
LEARNED = 12
# Orders that run at the same time meanwhile, over all entries: as many as a
# sidecar starts at once. More would wait, and on a slow machine the last ones
# would be shed as they cannot start within their target of 2 s.
LEARNING = 8
CALLERS = 8
LOAD_BEFORE_S = 1.0
LOAD_AFTER_S = 3.5
SETTLE_S = 0.3
STARTED = 'E100'


class EntryStopCase(unittest.IsolatedAsyncioTestCase):
    """Stop entries; their sidecars and endpoints do not stop."""

    entries = 1

    async def asyncSetUp(self):
        """Start a deployment with one endpoint of a plain service."""
        folder = tempfile.TemporaryDirectory(prefix='entry-stop-')
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        small_deployment.write_deployment(
            folder.name, self.entries, ENDPOINTS, stop_grace_s=GRACE_S
        )
        self.deployment = deployments.Deployment(
            folder.name, self.folder / 'logs'
        )
        self.addAsyncCleanup(self.deployment.stop)
        self.deployment.start_all()
        await asyncio.to_thread(demo.apply_declarations, self.deployment)
        await self.deployment.wait_serving()
        self.caller = callers.Caller()
        self.addAsyncCleanup(self.caller.close)
        self.stopped_at = time.monotonic()

    async def _set_runs(self, seconds):
        address = self.deployment.endpoints[SERVICE]['address']
        url = f'http://{address}/control'
        await self.deployment.post_json(url, {'seconds': seconds})

    def _send(self, name, entry=0):
        """Start an order and return its task."""
        address = self.deployment.entries[entry]
        return asyncio.create_task(
            self.caller.send(address, process_case.order(1, name))
        )

    async def _learn(self, seconds):
        await self._set_runs(seconds)
        turns = asyncio.Semaphore(LEARNING)

        async def send(name, entry):
            async with turns:
                return await self._send(name, entry)

        learned = await asyncio.gather(
            *(
                send(f'learned-{entry}-{number}', entry)
                for entry in range(self.entries)
                for number in range(LEARNED)
            )
        )
        outcomes = {result.outcome for result in learned}
        self.assertEqual(outcomes, {'completed'}, learned)

    def _stop(self, *names):
        self.stopped_at = time.monotonic()
        for name in names or ('entry-1',):
            self.deployment.send_signal(name, signal.SIGTERM)

    async def _sleep_until(self, due_s):
        """Wait until a time after the signal."""
        left_s = self.stopped_at + due_s - time.monotonic()
        await asyncio.sleep(max(left_s, 0.0))

    async def _check_ends_in_order(self, name='entry-1'):
        """Check that an entry ends by itself within its grace period."""
        status = await self.deployment.wait_exit(name)
        self.assertLess(time.monotonic() - self.stopped_at, GRACE_S)
        self.assertEqual(status, 0)

    async def _check_ended(self, results):
        """Check that calls were served or told that they have not run."""
        runs, _, _ = await self.deployment.count_runs()
        counts = collections.Counter()
        for result in results:
            counts[result.outcome] += 1
            expected = 0
            if result.outcome == 'completed':
                self.assertTrue(result.complete, result)
                expected = 1
            elif result.outcome != callers.LOST:
                self.assertEqual(result.outcome, 'not_run', result)
                self.assertIsNotNone(result.retry_after_s, result)
            self.assertEqual(
                runs.get(result.call.request_id, 0), expected, result
            )
        return counts


class SignalTests(EntryStopCase):
    """Send several signals to an entry."""

    async def test_signals_beside_a_stop_cut_off_nothing(self):
        """Guards against a stop that further signals shorten."""
        await self._learn(SHORT_RUN_S)
        await self._set_runs(2.0)
        running = self._send('running')
        await asyncio.sleep(SETTLE_S)
        path = self.folder / 'entry-1.json'
        settings = json.loads(path.read_text())
        path.write_text(json.dumps({**settings, 'stop_grace_s': 1}))
        self.deployment.send_signal('entry-1', signal.SIGHUP)
        self._stop()
        for number, grace_s in enumerate((0.5, 60)):
            await self._sleep_until(0.2 + 0.2 * number)
            path.write_text(json.dumps({**settings, 'stop_grace_s': grace_s}))
            self.deployment.send_signal('entry-1', signal.SIGHUP)
            self.deployment.send_signal('entry-1', signal.SIGTERM)
        await self._set_runs(SHORT_RUN_S)
        self.assertEqual((await self._send('later')).outcome, 'completed')
        self.assertEqual((await running).outcome, 'completed')
        await self._check_ends_in_order()

    async def test_stop_as_an_entry_begins_to_serve(self):
        """Guards against an entry that a stop leaves half started."""
        self.deployment.send_signal('entry-1', signal.SIGKILL)
        await self.deployment.wait_exit('entry-1')
        log = self.folder / 'logs' / 'entry-1.log'
        for delay_s in (0.0, 0.05):
            before = log.read_text().count(STARTED)
            self.deployment.start_daemon('entry-1')
            while log.read_text().count(STARTED) == before:
                await asyncio.sleep(0.002)
            await asyncio.sleep(delay_s)
            self._stop()
            results = []
            for number in range(4):
                await asyncio.sleep(0.1)
                results.append(await self._send(f'first-{delay_s}-{number}'))
            await self._check_ended(results)
            await self._check_ends_in_order()


class StandStillTests(EntryStopCase):
    """Suspend an entry during its stop, and let it go on."""

    async def _stand_still(self, begin_s, end_s):
        await self._sleep_until(begin_s)
        self.deployment.send_signal('entry-1', signal.SIGSTOP)
        await self._sleep_until(end_s)
        self.deployment.send_signal('entry-1', signal.SIGCONT)

    async def _check_calls(self, run_s, begin_s, end_s):
        """Return the results of calls around a stand-still."""
        await self._learn(1.0)
        await self._set_runs(run_s)
        calls = [self._send(f'before-{number}') for number in range(4)]
        await asyncio.sleep(SETTLE_S)
        self._stop()
        standing = asyncio.create_task(self._stand_still(begin_s, end_s))
        await self._sleep_until(0.2)
        calls += [self._send(f'late-{number}') for number in range(2)]
        results = await asyncio.gather(*calls)
        await standing
        await self._check_ends_in_order()
        return results

    async def test_stand_still_in_a_stop(self):
        """Guards against calls that are granted after a stand-still."""
        await self._check_ended(await self._check_calls(1.2, 0.5, 1.6))

    async def test_stand_still_as_answers_arrive(self):
        """Guards against an end that comes before answers are read."""
        results = await self._check_calls(1.5, 1.0, 2.9)
        counts = await self._check_ended(results)
        self.assertGreaterEqual(counts['completed'], 1)

    async def test_stand_still_over_the_end_of_open_calls(self):
        """Guards against answers that are not read before the end."""
        results = await self._check_calls(2.8, 2.2, 3.2)
        counts = await self._check_ended(results)
        self.assertGreaterEqual(counts['completed'], 1)

    async def test_stand_still_over_the_end_of_calls_that_run_on(self):
        """Guards against an end that tells nothing after a stand-still."""
        for result in await self._check_calls(10.0, 2.0, 3.4):
            self.assertIn(result.outcome, ('unknown', 'not_run'), result)


class TwoOfThreeTests(EntryStopCase):
    """Stop two of three entries at the same time under load."""

    entries = 3

    async def _run_caller(self, name, ends_at):
        results, entry = [], int(name) % self.entries
        while time.monotonic() < ends_at:
            result = await self._send(f'{name}-{len(results)}', entry)
            results.append(result)
            if result.outcome != 'completed':
                entry = (entry + 1) % self.entries
                await asyncio.sleep(0.1)
        return results

    async def test_two_entries_under_load(self):
        """Guards against calls that are lost between stopping entries."""
        await self._learn(0.3)
        ends_at = time.monotonic() + LOAD_BEFORE_S + LOAD_AFTER_S
        calls = [
            asyncio.create_task(self._run_caller(str(number), ends_at))
            for number in range(CALLERS)
        ]
        await asyncio.sleep(LOAD_BEFORE_S)
        self._stop('entry-1', 'entry-2')
        # The last calls may end later than the entries.
        ending = [
            asyncio.create_task(self._check_ends_in_order(name))
            for name in ('entry-1', 'entry-2')
        ]
        results = [r for call in calls for r in await call]
        counts = await self._check_ended(results)
        self.assertGreater(counts['completed'], counts['not_run'], counts)
        await asyncio.gather(*ending)

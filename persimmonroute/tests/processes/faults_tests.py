"""Test the promises on real processes that receive signals."""

from __future__ import annotations

import asyncio
import random
import signal

from persimmonroute.events import Event
from persimmonroute.tests.processes import process_case
from standins import callers
from standins import small_simulation

TIMEOUT_S = 30.0
SILENCES_S = (0.5, 1.0, 1.7)
SEED = 7301
SUSPENSIONS = 10
# Limits of entries and sidecars within the target of an order.
LIMITS_S = (0.5, 1.0, 1.4)
# Longer than an entry waits for a sidecar that sends nothing.
SUSPENSION_S = 3.5


class ProcessFaultTests(process_case.DeploymentCase):
    """Inject a fault into a running deployment."""

    async def _count_runs(self, request_id):
        runs, _, _ = await self.deployment.count_runs()
        return runs.get(request_id, 0)

    async def _wait_until_run(self, request_id):
        async def ran():
            return await self._count_runs(request_id) > 0

        await callers.wait_until(ran, TIMEOUT_S)

    async def _wait_unlinked(self, endpoint):
        """Wait until the first entry reports a sidecar as unlinked."""
        url = f'http://{self.deployment.entries[0]}/admin/v1/status'

        async def unlinked():
            report = await self.deployment.get_json(url)
            return not report['sidecars'][endpoint]['linked']

        await callers.wait_until(unlinked, TIMEOUT_S)

    async def _find_busy_endpoint(self):
        """Return the name of an engine with a request in progress."""
        for name, item in self.deployment.endpoints.items():
            if item['service'] == small_simulation.MODEL:
                url = f'http://{item["address"]}/load'
                load = await self.deployment.get_json(url)
                if load['in_progress']:
                    return name
        return None

    async def _send_draft(self, name, fault):
        """Inject a fault after a stream has begun and return its result."""
        begun = asyncio.Event()
        entry = self.deployment.entries[0]
        response = asyncio.create_task(
            self.caller.send(entry, process_case.draft(name), begun.set)
        )
        await begun.wait()
        await fault(await self._find_busy_endpoint())
        return await response

    async def _set_fault(self, fault):
        url = f'http://{self.deployment.platform}/control/fault'
        await self.deployment.post_json(url, {'fault': fault})

    async def test_killed_sidecar_resumes_its_stream(self):
        """Resume a stream that the engine kept while its sidecar restarted."""

        async def kill(endpoint):
            name = f'sidecar-{endpoint}'
            self.deployment.send_signal(name, signal.SIGKILL)
            await self.deployment.wait_exit(name)
            self.deployment.start_daemon(name)

        result = await self._send_draft('a', kill)
        self.assertEqual((result.outcome, result.problem), ('completed', ''))
        self.assertEqual(await self._count_runs('a'), 1)

    async def test_frozen_sidecar(self):
        """Complete a stream after its sidecar was suspended."""

        async def freeze(endpoint):
            name = f'sidecar-{endpoint}'
            self.deployment.send_signal(name, signal.SIGSTOP)
            await self._wait_unlinked(endpoint)
            self.deployment.send_signal(name, signal.SIGCONT)

        result = await self._send_draft('a', freeze)
        self.assertEqual((result.outcome, result.problem), ('completed', ''))
        self.assertEqual(await self._count_runs('a'), 1)

    async def test_killed_engine_gives_an_unknown_outcome(self):
        """Return unknown instead of a rerun after the engine was killed."""

        async def kill(endpoint):
            self.deployment.send_signal(endpoint, signal.SIGKILL)

        result = await self._send_draft('a', kill)
        self.assertEqual(result.outcome, 'unknown')
        self.assertFalse(result.complete)
        entry = self.deployment.entries[0]
        after = await self.caller.send(entry, process_case.draft('b'))
        self.assertEqual(after.outcome, 'completed')

    async def test_killed_entry_and_order_sent_again(self):
        """Run an order only once if resent after its entry was killed."""
        first, second = self.deployment.entries
        response = asyncio.create_task(
            self.caller.send(first, process_case.order(1, 'k'))
        )
        await self._wait_until_run('k')
        self.deployment.send_signal('entry-1', signal.SIGKILL)
        self.assertEqual((await response).outcome, callers.LOST)
        retry = await self.caller.send(second, process_case.order(1, 'k'))
        self.assertEqual((retry.outcome, retry.problem), ('completed', ''))
        self.assertEqual(await self._count_runs('k'), 1)

    async def test_frozen_entry_and_order_sent_again(self):
        """Run an order only once if resent while its entry is suspended."""
        first, second = self.deployment.entries
        response = asyncio.create_task(
            self.caller.send(first, process_case.order(1, 'k'))
        )
        await self._wait_until_run('k')
        self.deployment.send_signal('entry-1', signal.SIGSTOP)
        retry = await self.caller.send(second, process_case.order(1, 'k'))
        self.deployment.send_signal('entry-1', signal.SIGCONT)
        self.assertEqual((retry.outcome, retry.problem), ('completed', ''))
        self.assertEqual((await response).outcome, 'completed')
        self.assertEqual(await self._count_runs('k'), 1)

    async def test_suspended_entry_keeps_its_links(self):
        """Guards against links that close because their entry stood still."""
        log = self.logs / 'entry-1.log'
        for _ in range(3):
            self.deployment.send_signal('entry-1', signal.SIGSTOP)
            await asyncio.sleep(SUSPENSION_S)
            self.deployment.send_signal('entry-1', signal.SIGCONT)
            await asyncio.sleep(0.5)
        unlinked = Event.SIDECAR_UNLINKED.value.summary
        self.assertNotIn(unlinked, log.read_text())
        result = await self.caller.send(
            self.deployment.entries[0], process_case.draft('a')
        )
        self.assertEqual(result.outcome, 'completed')

    async def _fall_silent(self, endpoint, seconds):
        address = self.deployment.endpoints[endpoint]['address']
        url = f'http://{address}/control'
        await self.deployment.post_json(url, {'silent': seconds})

    async def test_silent_engine_completes_its_stream(self):
        """Guards against a stream that is given up for a silence."""
        for number, silence_s in enumerate(SILENCES_S):

            async def fall_silent(endpoint):
                await self._fall_silent(endpoint, silence_s)

            result = await self._send_draft(f's{number}', fall_silent)
            self.assertEqual(result.outcome, 'completed', result)
            self.assertEqual(await self._count_runs(f's{number}'), 1)

    async def test_silent_service_completes_its_order(self):
        """Guards against an order that is given up for a silence."""
        entry = self.deployment.entries[0]
        for number, silence_s in enumerate(SILENCES_S):
            key = f'k{number}'
            response = asyncio.create_task(
                self.caller.send(entry, process_case.order(number, key))
            )
            await self._wait_until_run(key)
            await self._fall_silent('trade-desk-1', silence_s)
            result = await response
            self.assertEqual(result.outcome, 'completed', result)
            self.assertEqual(await self._count_runs(key), 1)

    async def test_suspended_sidecar_completes_its_order(self):
        """Guards against an order that is given up with a suspended sidecar.

        Its entry has no other sidecar of the service.
        """
        entry = self.deployment.entries[0]
        name = 'sidecar-trade-desk-1'
        for number, silence_s in enumerate(SILENCES_S):
            for delay_s in (0.0, 0.01, 0.2):
                key = f'k{number}-{delay_s}'
                response = asyncio.create_task(
                    self.caller.send(entry, process_case.order(number, key))
                )
                await asyncio.sleep(delay_s)
                self.deployment.send_signal(name, signal.SIGSTOP)
                await asyncio.sleep(silence_s)
                self.deployment.send_signal(name, signal.SIGCONT)
                result = await response
                self.assertEqual(result.outcome, 'completed', result)
                self.assertEqual(await self._count_runs(key), 1)

    async def test_processes_suspended_in_turn_complete_orders(self):
        """Guards against orders given up as a limit ends on waking up."""
        rng = random.Random(SEED)
        entry = self.deployment.entries[0]
        for number in range(SUSPENSIONS):
            name = ('entry-1', 'sidecar-trade-desk-1')[number % 2]
            silence_s = rng.choice(LIMITS_S) + rng.choice((0.0, 0.01, 0.03))
            keys = [f'k{number}-{n}' for n in range(3)]
            responses = [
                asyncio.create_task(
                    self.caller.send(entry, process_case.order(1, key))
                )
                for key in keys
            ]
            await asyncio.sleep(rng.choice((0.0, 0.005, 0.01, 0.02)))
            self.deployment.send_signal(name, signal.SIGSTOP)
            await asyncio.sleep(silence_s)
            self.deployment.send_signal(name, signal.SIGCONT)
            for key, response in zip(keys, responses, strict=True):
                result = await response
                self.assertEqual(result.outcome, 'completed', result)
                self.assertEqual(await self._count_runs(key), 1)

    async def test_bad_requests_get_typed_errors(self):
        """Reject each kind of bad request with its status and error type."""
        good = process_case.draft('a')
        lookup = process_case.order(1, 'k')._replace(class_name='stock-lookup')
        cases = (
            (good._replace(class_name='x'), 400, 'unknown_class'),
            (good._replace(workspace='x'), 403, 'unknown_workspace'),
            (good._replace(body=b'{'), 400, 'invalid_body'),
            (good._replace(body=b' ' * 5_000_000), 413, 'body_too_large'),
            (lookup._replace(service='llm-pool'), 400, 'wrong_service'),
            (
                process_case.order(1, 'k')._replace(request_id=''),
                400,
                'missing_idempotency_key',
            ),
        )
        entry = self.deployment.entries[0]
        for call, status, kind in cases:
            with self.subTest(kind=kind):
                result = await self.caller.send(entry, call)
                self.assertEqual(result.outcome, 'not-run')
                self.assertEqual(result.status, status)
                self.assertIn(kind, result.problem)

    async def test_service_gets_no_more_calls_than_it_names(self):
        """Refuse what is beyond the limit of the only endpoint."""
        entry = self.deployment.entries[0]
        address = self.deployment.endpoints['trade-desk-1']['address']
        await self.deployment.post_json(
            f'http://{address}/control', {'request_limit': 1.0}
        )
        await self.caller.send(entry, process_case.order(0, 'first'))
        calls = []
        for number in range(40):
            call = process_case.order(number, f'k{number}')
            calls.append(asyncio.create_task(self.caller.send(entry, call)))
            await asyncio.sleep(0.1)
        outcomes = [result.outcome for result in await asyncio.gather(*calls)]
        self.assertEqual(set(outcomes), {'completed', 'not-run'})
        counts = await self.deployment.get_json(
            f'http://{address}/control/counts'
        )
        self.assertLessEqual(counts['most_in_window'], 7)
        self.assertGreaterEqual(outcomes.count('completed'), 3)

    async def test_store_outage(self):
        """Reject an order while the store is down and run its retry later."""
        entry = self.deployment.entries[0]
        await self._set_fault('down')
        refused = await self.caller.send(entry, process_case.order(1, 'k'))
        self.assertEqual(refused.outcome, 'not-run')
        self.assertGreater(refused.retry_after_s, 0)
        completion = await self.caller.send(entry, process_case.draft('b'))
        self.assertEqual(completion.outcome, 'completed')
        self.assertEqual(await self._count_runs('k'), 0)
        await self._set_fault('none')
        retry = await self.caller.send(entry, process_case.order(1, 'k'))
        self.assertEqual((retry.outcome, retry.problem), ('completed', ''))
        self.assertEqual(await self._count_runs('k'), 1)

    async def test_entry_restarts_while_the_store_is_down(self):
        """Serve from a restarted entry with the sidecars' configuration."""
        await self._set_fault('down')
        self.deployment.send_signal('entry-1', signal.SIGKILL)
        await self.deployment.wait_exit('entry-1')
        self.deployment.start_daemon('entry-1')
        await self.deployment.wait_serving()
        entry = self.deployment.entries[0]
        result = await self.caller.send(entry, process_case.draft('a'))
        self.assertEqual((result.outcome, result.problem), ('completed', ''))

    async def test_store_response_lost(self):
        """Confirm a claim whose response was lost and run the order once."""
        entry = self.deployment.entries[0]
        await self._set_fault('lose_answers')
        response = asyncio.create_task(
            self.caller.send(entry, process_case.order(1, 'k'))
        )
        url = f'http://{self.deployment.platform}/control/counts'

        async def written():
            return (await self.deployment.get_json(url))['writes'] > 4

        await callers.wait_until(written, TIMEOUT_S)
        await self._set_fault('none')
        result = await response
        self.assertEqual((result.outcome, result.problem), ('completed', ''))
        self.assertEqual(await self._count_runs('k'), 1)

    async def test_planned_stop_of_each_process(self):
        """Complete a stream while its entry and sidecar stop."""

        async def stop(endpoint):
            for name in (f'sidecar-{endpoint}', 'entry-1'):
                self.deployment.send_signal(name, signal.SIGTERM)

        result = await self._send_draft('a', stop)
        self.assertEqual((result.outcome, result.problem), ('completed', ''))
        self.assertEqual(await self.deployment.wait_exit('entry-1'), 0)

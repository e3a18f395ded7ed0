"""Test a gateway against stand-ins that speak the published protocols."""

from __future__ import annotations

import asyncio
import unittest

from persimmonroute.platform import connection
from standins import gateway_deployment as deployments
from tools.soak import proxy

STREAM = (('accept', 'text/event-stream'),)
WHOLE_STREAM = b''.join(
    f'id: {n}\ndata: piece {n}\n\n'.encode() for n in range(1, 5)
)


class ServingTests(unittest.IsolatedAsyncioTestCase):
    """Send requests through one gateway to two endpoints."""

    async def asyncSetUp(self):
        """Start a gateway, a store and two endpoints."""
        self.made = deployments.GatewayDeployment()
        self.addAsyncCleanup(self.made.stop)
        await self.made.start()

    def _script(self, *behaviours):
        """Let whichever endpoint is asked follow one script."""
        script = self.made.runners[0].script
        script.extend(behaviours)
        for runner in self.made.runners:
            runner.script = script

    @property
    def _runs(self):
        return sum(sum(r.runs.values()) for r in self.made.runners)

    async def test_answer_comes_back_whole(self):
        """Status, body and signature of the endpoint are passed on."""
        answer = await self.made.call('/book/x?q=1')
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.body, b'answer a1')
        self.assertTrue(answer.complete)
        self.assertEqual(answer.headers[b'upstream-signature'], b'signature')

    async def test_system_headers_are_the_systems(self):
        """What a caller says of workspace, memory or key is not passed on."""
        forged = (
            ('tenant', 'other'),
            ('hold', '1'),
            ('kv-from', '10.0.0.1:1/x'),
            ('pin-ms', '5'),
            ('x-own', 'kept'),
        )
        await self.made.call('/book/x', headers=forged)
        heads = [h for r in self.made.runners for h in r.requests]
        headers = dict(heads[0][0].headers)
        self.assertEqual(headers[b'tenant'], b'desk')
        self.assertEqual(headers[b'x-own'], b'kept')
        for name in (b'hold', b'kv-from', b'pin-ms', b'authorization'):
            self.assertNotIn(name, headers)
        self.assertLessEqual(int(headers[b'deadline-remaining-ms']), 2000)

    async def test_refusals_of_its_own(self):
        """Unknown keys, routes and oversized requests are refused."""
        for path, options, status in (
            ('/book/x', {'key': 'nobody'}, 401),
            ('/book/x', {'key': None}, 401),
            ('/nowhere/x', {}, 404),
            ('/open/x', {'key': None}, 200),
            ('/book/x', {'body': b'x' * 10_001}, 413),
            ('/book/x', {'headers': (('x-long', 'y' * 5000),)}, 431),
        ):
            with self.subTest(path=path, status=status):
                answer = await self.made.call(path, **options)
                self.assertEqual(answer.status, status)

    async def test_two_framings_are_refused(self):
        """A request with a length and chunks cannot hide another one."""
        host, _, port = self.made.settings[0].address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            b'POST /book/x HTTP/1.1\r\nhost: api.example\r\n'
            b'content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n'
            b'0\r\n\r\nGET /book/y HTTP/1.1\r\nhost: api.example\r\n\r\n'
        )
        data = await reader.read(4096)
        writer.close()
        self.assertIn(b' 400 ', data.split(b'\r\n')[0])
        self.assertEqual(self._runs, 0)

    async def test_refused_request_goes_to_another_endpoint(self):
        """What an endpoint did not run may run at another one."""
        for behaviour in ('full', 'misdirect'):
            with self.subTest(behaviour=behaviour):
                self._script(behaviour)
                answer = await self.made.call('/book/x', attempt=behaviour)
                self.assertEqual(answer.status, 200)
                await asyncio.sleep(0.1)

    async def test_refused_everywhere_promises_not_run(self):
        """Told not run means not run, with a time to come back."""
        self._script('full', 'full', 'full')
        answer = await self.made.call('/book/x')
        self.assertEqual(answer.status, 503)
        self.assertIn(b'retry-after', answer.headers)
        self.assertEqual(self._runs, 0)

    async def test_non_idempotent_runs_at_most_once(self):
        """A request that may have run is never sent again."""
        for behaviour in ('reset', 'truncate', 'unframed_reset'):
            with self.subTest(behaviour=behaviour):
                self._script(behaviour)
                before = self._runs
                answer = await self.made.call('/book/x')
                self.assertEqual(self._runs - before, 1)
                self.assertNotIn(answer.status, (429, 503, 408, 421))
                self.assertFalse(answer.complete and answer.status == 200)

    async def test_idempotent_is_sent_again(self):
        """A lookup that broke off or failed is asked again elsewhere."""
        for behaviour in ('reset', 'truncate', 'fail', 'hang'):
            with self.subTest(behaviour=behaviour):
                self._script(behaviour)
                answer = await self.made.call('/find/x', attempt=behaviour)
                self.assertEqual(answer.status, 200)
                self.assertEqual(answer.body, b'answer ' + behaviour.encode())

    async def test_attempts_are_limited(self):
        """A route's limit of attempts holds."""
        self._script('fail', 'fail', 'fail')
        answer = await self.made.call('/find/x')
        self.assertEqual(answer.status, 500)
        self.assertEqual(self._runs, 2)

    async def test_answer_without_length(self):
        """A close ends an answer that has no length; a reset does not."""
        self._script('unframed')
        answer = await self.made.call('/book/x')
        self.assertEqual(answer.body, b'answer a1')
        self.assertTrue(answer.complete)

    async def test_extra_answer_belongs_to_nobody(self):
        """Bytes behind an answer never reach the next caller."""
        self._script('extra', 'answer', 'answer', 'answer')
        for attempt in ('first', 'second', 'third'):
            answer = await self.made.call('/find/x', attempt=attempt)
            self.assertEqual(answer.body, b'answer ' + attempt.encode())

    async def test_stream_is_passed_on(self):
        """All events arrive, once and in order."""
        answer = await self.made.call('/draft/x', headers=STREAM)
        self.assertEqual(answer.body, WHOLE_STREAM)
        self.assertTrue(answer.complete)

    async def test_broken_stream_does_not_look_complete(self):
        """Whole events arrive, and the break shows."""
        self._script('break_stream')
        answer = await self.made.call('/draft/x', headers=STREAM)
        self.assertFalse(answer.complete)
        self.assertTrue(WHOLE_STREAM.startswith(answer.body))
        self.assertEqual(self._runs, 1)

    async def test_stream_resumes_within_one_answer(self):
        """A stream that may resume goes on at another endpoint."""
        self._script('break_stream')
        answer = await self.made.call('/resume/x', headers=STREAM)
        self.assertEqual(answer.body, WHOLE_STREAM)
        self.assertTrue(answer.complete)
        self.assertEqual(self._runs, 2)

    async def test_silent_endpoint_ends_at_the_time_limit(self):
        """A request is answered at its route's time limit, not later."""
        self._script('hang')
        loop = asyncio.get_running_loop()
        began = loop.time()
        answer = await self.made.call('/book/x')
        self.assertEqual(answer.status, 504)
        self.assertLess(loop.time() - began, 2.5)

    async def test_caller_leaving_ends_the_run(self):
        """The endpoint learns within half a second that nobody waits."""
        self._script('hang')
        address = self.made.settings[0].address
        conn = await connection.open_connection(address, 1.0)
        task = asyncio.create_task(self.made.call_on(conn, '/book/x'))
        await asyncio.sleep(0.2)
        conn.abort()
        await task
        await asyncio.sleep(0.3)
        work = self.made.runners
        self.assertEqual(self._runs, 1)
        metrics = await self._metrics()
        self.assertIn('persimmonroute_endpoint_in_flight', metrics)
        for runner in work:
            wanted = (
                'persimmonroute_endpoint_in_flight{endpoint="'
                f'{runner.id}",sender="own"}} 0.0'
            )
            self.assertIn(wanted, metrics)

    async def _metrics(self):
        conn = await connection.open_connection(
            self.made.settings[0].metrics_address, 1.0
        )
        conn.send_request('GET', '/metrics', [('host', 'x')], b'')
        answer = await deployments.read_answer(conn)
        conn.abort()
        return answer.body.decode()

    async def test_leaving_endpoint_gets_no_new_work(self):
        """A draining entry stops new requests to its endpoint."""
        for runner in self.made.runners[1:]:
            self.made.register(runner, 'draining')
        await asyncio.sleep(0.3)
        for number in range(6):
            await self.made.call('/find/x', attempt=f'n{number}')
        self.assertEqual(sum(self.made.runners[1].runs.values()), 0)

    async def test_unreadable_entry_names_no_endpoint(self):
        """Entries of other writers are passed over."""
        self.made.platform.put_row('servers', 'bad', b'{"State": 3')
        self.made.platform.put_row('servers', 'odd', {'State': 'ready'})
        await asyncio.sleep(0.2)
        answer = await self.made.call('/book/x')
        self.assertEqual(answer.status, 200)

    async def test_newer_configuration_comes_in_force(self):
        """A removed key is refused soon; an older version changes nothing."""
        changed = deployments.configuration(
            9, Tenants=[{'Name': 'desk', 'ApiKeys': ['key-2']}]
        )
        self.made.platform.put_row('op', 'config', changed)
        await asyncio.sleep(0.3)
        self.assertEqual((await self.made.call('/book/x')).status, 401)
        older = deployments.configuration(3)
        self.made.platform.put_row('op', 'config', older)
        await asyncio.sleep(0.3)
        self.assertEqual((await self.made.call('/book/x')).status, 401)
        answer = await self.made.call('/book/x', key='key-2')
        self.assertEqual(answer.status, 200)

    async def test_lost_history_is_read_again(self):
        """A change that falls into lost history still comes in force."""
        changed = deployments.configuration(
            9, Tenants=[{'Name': 'desk', 'ApiKeys': ['key-2']}]
        )
        self.made.platform.put_row('op', 'config', changed)
        self.made.platform.forget_history()
        await asyncio.sleep(0.5)
        answer = await self.made.call('/book/x', key='key-2')
        self.assertEqual(answer.status, 200)

    async def test_keys_are_not_trusted_for_ever_without_the_store(self):
        """Behind the bound a key is refused with 503, not served."""
        self.made.platform.fault = 'down'
        answer = await self.made.call('/book/x')
        self.assertEqual(answer.status, 200)
        await asyncio.sleep(4.5)
        answer = await self.made.call('/book/x')
        self.assertEqual(answer.status, 503)
        self.assertIn(b'retry-after', answer.headers)
        self.assertEqual((await self.made.call('/open/x')).status, 200)
        self.made.platform.fault = 'none'
        await asyncio.sleep(1.5)
        self.assertEqual((await self.made.call('/book/x')).status, 200)

    async def test_start_without_the_store(self):
        """A gateway that starts in an outage asks its peers."""
        self.made.platform.fault = 'down'
        await asyncio.sleep(0.2)
        await self.made.add_gateway()
        answer = await self.made.call('/book/x', gateway=1)
        self.assertEqual(answer.status, 200)
        # The age was taken over, so keys end with the first gateway's. A
        # watch that was under way still confirmed it for up to 1.2 s.
        await asyncio.sleep(4.0)
        answer = await self.made.call('/book/x', gateway=1)
        self.assertEqual(answer.status, 503)

    async def test_cut_off_gateway_learns_configurations_from_peers(self):
        """Who alone cannot reach the store stays in force and serves."""
        link = proxy.Proxy()
        link.target = self.made.store
        await link.start()
        self.addAsyncCleanup(link.stop)
        await self.made.add_gateway(link.address)
        answer = await self.made.call('/book/x', gateway=1)
        self.assertEqual(answer.status, 200)
        link.set_mode(proxy.Mode.SILENT)
        link.reset_all()
        changed = deployments.configuration(2)
        changed['Routes'].append(deployments.route('late'))
        self.made.platform.put_row('op', 'config', changed)
        # Longer than keys are trusted without a confirmation.
        await asyncio.sleep(4.0)
        for path in ('/late/x', '/book/x'):
            with self.subTest(path=path):
                answer = await self.made.call(path, gateway=1)
                self.assertEqual(answer.status, 200)

    async def test_planned_stop_cuts_off_nothing(self):
        """Requests in progress end, and new ones are told to close."""
        calls = []
        for number in range(4):
            calls.append(
                asyncio.create_task(
                    self.made.call(
                        '/draft/x', headers=STREAM, attempt=f's{number}'
                    )
                )
            )
        self.made.stop_events[0].set()
        await asyncio.sleep(0.1)
        late = await self.made.call('/book/x')
        self.assertEqual(late.status, 200)
        self.assertEqual(late.headers[b'connection'], b'close')
        for answer in await asyncio.gather(*calls):
            self.assertEqual(answer.body, WHOLE_STREAM)
            self.assertTrue(answer.complete)

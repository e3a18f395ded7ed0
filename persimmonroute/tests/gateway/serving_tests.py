"""Test a gateway against stand-ins that implement the protocols."""

from __future__ import annotations

import asyncio
import collections
import time
import unittest
from unittest import mock

from persimmonroute import exceptions
from persimmonroute import http_connection
from persimmonroute.platform import sources
from persimmonroute.platform import tables
from standins import gateway_deployment as deployments
from tools.soak import proxy

STREAM = (('accept', 'text/event-stream'),)
COMPLETE_STREAM = b''.join(
    f'id: {n}\ndata: piece {n}\n\n'.encode() for n in range(1, 5)
)

# Socket buffers on loopback hold several megabytes.
MAX_SURPLUS_BYTES = 16_777_216


def _with_timeout(name, timeout_ms):
    """Return a newer configuration with a longer timeout of one route."""
    document = deployments.configuration(2)
    for route in document['Routes']:
        if route['Name'] == name:
            route['TimeoutMs'] = timeout_ms
    return document


class ServingTests(unittest.IsolatedAsyncioTestCase):
    """Send requests through one gateway to two endpoints."""

    async def asyncSetUp(self):
        """Start a gateway, a store and two endpoints."""
        self.deployment = deployments.GatewayDeployment()
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.start()

    def _script(self, *behaviours):
        """Script the next responses, whichever endpoint is used."""
        script = self.deployment.runners[0].script
        script.extend(behaviours)
        for runner in self.deployment.runners:
            runner.script = script

    @property
    def _runs(self):
        return sum(sum(r.runs.values()) for r in self.deployment.runners)

    async def test_response_is_relayed_completely(self):
        """Status, body and signature header of the endpoint are relayed."""
        response = await self.deployment.call('/book/x?q=1')
        self.assertEqual(response.status, 200)
        self.assertEqual(response.body, b'answer a1')
        self.assertTrue(response.complete)
        self.assertEqual(response.headers[b'upstream-signature'], b'signature')

    async def test_any_bytes_may_name_an_attempt(self):
        """The name is compared with the echo of the endpoint as it is."""
        response = await self.deployment.call('/book/x', attempt=b'caf\xe9')
        self.assertEqual(response.status, 200)
        self.assertEqual(response.headers[b'attempt-id'], b'caf\xe9')

    async def test_system_headers_from_callers_are_dropped(self):
        """A caller cannot set the workspace, cache or key headers."""
        forged = (
            ('tenant', 'other'),
            ('hold', '1'),
            ('kv-from', '10.0.0.1:1/x'),
            ('pin-ms', '5'),
            ('x-own', 'kept'),
        )
        await self.deployment.call('/book/x', headers=forged)
        heads = [h for r in self.deployment.runners for h in r.requests]
        headers = dict(heads[0][0].headers)
        self.assertEqual(headers[b'tenant'], b'desk')
        self.assertEqual(headers[b'x-own'], b'kept')
        for name in (b'hold', b'kv-from', b'pin-ms', b'authorization'):
            self.assertNotIn(name, headers)
        self.assertLessEqual(int(headers[b'deadline-remaining-ms']), 2000)

    async def test_gateway_rejects_invalid_requests(self):
        """Unknown keys, unknown routes and oversized requests are rejected."""
        for path, options, status in (
            ('/book/x', {'key': 'nobody'}, 401),
            ('/book/x', {'key': None}, 401),
            ('/nowhere/x', {}, 404),
            ('/open/x', {'key': None}, 200),
            ('/book/x', {'body': b'x' * 10_001}, 413),
            ('/book/x', {'headers': (('x-long', 'y' * 5000),)}, 431),
        ):
            with self.subTest(path=path, status=status):
                response = await self.deployment.call(path, **options)
                self.assertEqual(response.status, status)

    async def test_two_framings_are_refused(self):
        """Content-Length with chunked encoding cannot smuggle a request."""
        host, _, port = self.deployment.settings[0].address.rpartition(':')
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
        """A request that an endpoint did not run is retried at another one."""
        for behaviour in ('full', 'misdirect'):
            with self.subTest(behaviour=behaviour):
                self._script(behaviour)
                response = await self.deployment.call(
                    '/book/x', attempt=behaviour
                )
                self.assertEqual(response.status, 200)
                await asyncio.sleep(0.1)

    async def test_503_means_not_run(self):
        """If every endpoint refuses, nothing ran and Retry-After is set."""
        self._script('full', 'full', 'full')
        response = await self.deployment.call('/book/x')
        self.assertEqual(response.status, 503)
        self.assertIn(b'retry-after', response.headers)
        self.assertEqual(self._runs, 0)

    async def test_non_idempotent_runs_at_most_once(self):
        """A non-idempotent request that may have run is never retried."""
        for behaviour in ('reset', 'truncate', 'unframed_reset'):
            with self.subTest(behaviour=behaviour):
                self._script(behaviour)
                before = self._runs
                response = await self.deployment.call('/book/x')
                self.assertEqual(self._runs - before, 1)
                self.assertNotIn(response.status, (429, 503, 408, 421))
                self.assertFalse(response.complete and response.status == 200)

    async def test_idempotent_is_sent_again(self):
        """An idempotent request that broke off or failed is retried."""
        for behaviour in ('reset', 'truncate', 'fail', 'hang'):
            with self.subTest(behaviour=behaviour):
                self._script(behaviour)
                response = await self.deployment.call(
                    '/find/x', attempt=behaviour
                )
                self.assertEqual(response.status, 200)
                self.assertEqual(
                    response.body, b'answer ' + behaviour.encode()
                )

    async def test_attempts_are_limited(self):
        """A request is attempted no more often than its route allows."""
        self._script('fail', 'fail', 'fail')
        response = await self.deployment.call('/find/x')
        self.assertEqual(response.status, 500)
        self.assertEqual(self._runs, 2)

    async def test_response_without_length(self):
        """A close completes a response without a length; a reset does not."""
        self._script('unframed')
        response = await self.deployment.call('/book/x')
        self.assertEqual(response.body, b'answer a1')
        self.assertTrue(response.complete)

    async def test_surplus_response_bytes_are_discarded(self):
        """Bytes after a response never reach the next caller."""
        self._script('extra', 'answer', 'answer', 'answer')
        for attempt in ('first', 'second', 'third'):
            response = await self.deployment.call('/find/x', attempt=attempt)
            self.assertEqual(response.body, b'answer ' + attempt.encode())

    async def test_stream_is_passed_on(self):
        """All events arrive exactly once and in order."""
        response = await self.deployment.call('/draft/x', headers=STREAM)
        self.assertEqual(response.body, COMPLETE_STREAM)
        self.assertTrue(response.complete)

    async def test_broken_stream_does_not_look_complete(self):
        """Only complete events arrive, and the response is incomplete."""
        self._script('break_stream')
        response = await self.deployment.call('/draft/x', headers=STREAM)
        self.assertFalse(response.complete)
        self.assertTrue(COMPLETE_STREAM.startswith(response.body))
        self.assertEqual(self._runs, 1)

    async def test_stream_resumes_within_one_response(self):
        """A resumable stream continues at another endpoint."""
        self._script('break_stream')
        response = await self.deployment.call('/resume/x', headers=STREAM)
        self.assertEqual(response.body, COMPLETE_STREAM)
        self.assertTrue(response.complete)
        self.assertEqual(self._runs, 2)

    async def test_stream_that_stops_inside_an_event_is_not_complete(self):
        """A stream without a length that ends in an event broke off."""
        self._script('unframed_stream')
        response = await self.deployment.call('/draft/x', headers=STREAM)
        self.assertFalse(response.complete)
        self._script('unframed_stream')
        response = await self.deployment.call('/resume/x', headers=STREAM)
        self.assertTrue(response.complete)
        self.assertEqual(response.body, COMPLETE_STREAM)

    async def test_stream_framed_as_complete_inside_an_event_broke_off(self):
        """Chunks that end in order do not make a partial event complete."""
        await self._check_broken_off('partial_stream')

    async def test_stream_that_ends_before_its_first_event_broke_off(self):
        """A head and a closed connection are not an empty stream."""
        await self._check_broken_off('empty_stream')

    async def _check_broken_off(self, behaviour):
        self._script(behaviour)
        response = await self.deployment.call('/draft/x', headers=STREAM)
        self.assertFalse(response.complete and response.status == 200)
        self.assertNotIn(response.status, (429, 503, 408, 421))
        self._script(behaviour)
        response = await self.deployment.call('/resume/x', headers=STREAM)
        self.assertTrue(response.complete)
        self.assertEqual(response.body, COMPLETE_STREAM)

    async def test_whole_responses_are_not_taken_for_broken_streams(self):
        """Whole streams without a length and other documents arrive whole."""
        for runner in self.deployment.runners:
            runner.stream_trailer = b': end of stream\n'
        for route in ('draft', 'resume'):
            with self.subTest(route=route):
                self._script('unframed_whole_stream', 'json_on_stream')
                response = await self.deployment.call(
                    f'/{route}/x', headers=STREAM
                )
                self.assertTrue(response.complete)
                self.assertEqual(
                    response.body, COMPLETE_STREAM + b': end of stream\n'
                )
                response = await self.deployment.call(
                    f'/{route}/x', headers=STREAM
                )
                self.assertTrue(response.complete)
                self.assertEqual(response.body, b'{"note": "x"}')

    async def test_resumed_stream_without_more_events_is_complete(self):
        """A caller that has all events may get an empty rest."""
        response = await self._take_up(4)
        self.assertTrue(response.complete)
        self.assertEqual((response.status, response.body), (200, b''))

    async def test_resumed_stream_that_ends_before_an_event_broke_off(self):
        """A head and a closed connection are not an empty rest."""
        for runner in self.deployment.runners:
            runner.default_behaviour = 'empty_stream'
        for last_event_id in (1, 4):
            response = await self._take_up(last_event_id)
            self.assertEqual(response.status, 502)

    async def test_stream_that_breaks_off_twice_does_not_look_complete(self):
        """The second endpoint sends a head and closes the connection."""
        for first in self.deployment.runners:
            for runner in self.deployment.runners:
                runner.script.clear()
                runner.default_behaviour = 'empty_stream'
            first.script.append('break_stream')
            response = await self.deployment.call('/resume/x', headers=STREAM)
            self.assertFalse(response.complete and response.status == 200)

    async def _take_up(self, last_event_id):
        """Begin a stream, and take it up after an event."""
        behaviours = [r.default_behaviour for r in self.deployment.runners]
        for runner in self.deployment.runners:
            runner.default_behaviour = 'answer'
        begun = await self.deployment.call('/resume/x', headers=STREAM)
        self.assertEqual(begun.body, COMPLETE_STREAM)
        for runner, behaviour in zip(self.deployment.runners, behaviours):
            runner.default_behaviour = behaviour
        taken_up = (('last-event-id', str(last_event_id)), ('resumes', 'a1'))
        return await self.deployment.call(
            '/resume/x', headers=(*STREAM, *taken_up), attempt='a2'
        )

    async def test_bytes_without_end_are_no_response(self):
        """A head, a copy or an event without end is cut off early."""
        for behaviour in (
            'endless_head',
            'endless_interim',
            'endless_copy',
            'endless_event',
        ):
            with self.subTest(behaviour=behaviour):
                self._script(behaviour)
                started_at = time.monotonic()
                response = await self.deployment.call(
                    '/draft/x', headers=STREAM
                )
                self.assertLess(time.monotonic() - started_at, 1.5)
                self.assertFalse(response.complete and response.status == 200)
                self.assertLess(self._take_endless_bytes(), MAX_SURPLUS_BYTES)

    async def test_body_without_end_is_cut_off_at_the_timeout(self):
        """An endless body is relayed as it is read and never complete."""
        self._script('endless_body')
        response = await self.deployment.call('/book/x')
        self.assertFalse(response.complete)
        response = await self.deployment.call('/book/x', attempt='a2')
        self.assertEqual(response.status, 200)

    def _take_endless_bytes(self):
        runners = self.deployment.runners
        count = sum(runner.endless_bytes for runner in runners)
        for runner in runners:
            runner.endless_bytes = 0
        return count

    async def _call_long_stream(self, timeout_ms):
        """Return the response on a resumable route with a longer timeout."""
        self.deployment.platform.put_row(
            'op', 'config', _with_timeout('resume', timeout_ms)
        )
        await asyncio.sleep(0.2)
        return await self.deployment.call(
            '/resume/x', headers=STREAM, remaining_ms=timeout_ms
        )

    async def test_stream_that_drips_bytes_is_resumed(self):
        """Bytes that complete no event do not keep a stream alive."""
        self._script('drip')
        response = await self._call_long_stream(6000)
        self.assertTrue(response.complete)
        self.assertEqual(response.body, COMPLETE_STREAM)
        self.assertEqual(self._runs, 2)

    async def test_slow_sound_stream_is_not_cut(self):
        """An endpoint that keeps its own slow pace may go on."""
        self._script('slow_stream')
        response = await self._call_long_stream(8000)
        self.assertTrue(response.complete)
        self.assertEqual(response.body, COMPLETE_STREAM)
        self.assertEqual(self._runs, 1)

    async def test_late_copy_without_an_id_is_not_the_next_answer(self):
        """A copy that names no request never answers the next one."""
        for runner in self.deployment.runners:
            runner.default_behaviour = 'nameless_copy'
        for number in range(12):
            attempt = f'copy{number}'
            response = await self.deployment.call('/find/x', attempt=attempt)
            if response.status == 200:
                self.assertEqual(response.body, f'answer {attempt}'.encode())

    async def test_earlier_refusal_is_not_the_next_answer(self):
        """Guards against a refusal that a faulty endpoint writes again.

        Callers name their attempts, so the next may have the same name.
        """
        for behaviour in ('refuse_again', 'refuse_again_elsewhere'):
            for next_attempt in ('next', behaviour):
                with self.subTest(behaviour=behaviour, attempt=next_attempt):
                    await self._refuse_and_send(behaviour, next_attempt)

    async def _refuse_and_send(self, behaviour, next_attempt):
        # Each endpoint has a connection that was used before.
        await asyncio.gather(
            *(self.deployment.call('/book/x', attempt=f'w{n}') for n in '1234')
        )
        self._script(behaviour, behaviour)
        refused = await self.deployment.call('/book/x', attempt=behaviour)
        self.assertEqual(refused.status, 503)
        # Endpoints that refused are paused for a moment.
        await asyncio.sleep(0.1)
        before = self._runs
        response = await self.deployment.call('/book/x', attempt=next_attempt)
        self.assertEqual(self._runs, before + 1)
        self.assertEqual(response.status, 200)
        self.assertEqual(response.body, f'answer {next_attempt}'.encode())

    async def test_unresponsive_endpoint_ends_at_the_timeout(self):
        """A request gets a 504 at its route's timeout, not later."""
        self._script('hang')
        loop = asyncio.get_running_loop()
        began = loop.time()
        response = await self.deployment.call('/book/x')
        self.assertEqual(response.status, 504)
        self.assertLess(loop.time() - began, 2.5)

    async def test_caller_disconnect_cancels_the_attempt(self):
        """The attempt is released within half a second of a disconnect."""
        self._script('hang')
        address = self.deployment.settings[0].address
        conn = await http_connection.open_connection(address, 1.0)
        task = asyncio.create_task(self.deployment.call_on(conn, '/book/x'))
        await asyncio.sleep(0.2)
        conn.abort()
        await task
        await asyncio.sleep(0.3)
        runners = self.deployment.runners
        self.assertEqual(self._runs, 1)
        metrics = await self._metrics()
        self.assertIn('persimmonroute_endpoint_in_flight', metrics)
        for runner in runners:
            expected = (
                'persimmonroute_endpoint_in_flight{endpoint="'
                f'{runner.id}",sender="own"}} 0.0'
            )
            self.assertIn(expected, metrics)

    async def _metrics(self):
        conn = await http_connection.open_connection(
            self.deployment.settings[0].metrics_address, 1.0
        )
        conn.send_request('GET', '/metrics', [('host', 'x')], b'')
        response = await deployments.read_response(conn)
        conn.abort()
        return response.body.decode()

    async def test_leaving_endpoint_gets_no_new_work(self):
        """An endpoint marked as draining gets no new requests."""
        for runner in self.deployment.runners[1:]:
            self.deployment.register(runner, 'draining')
        await asyncio.sleep(0.3)
        for number in range(6):
            await self.deployment.call('/find/x', attempt=f'n{number}')
        self.assertEqual(sum(self.deployment.runners[1].runs.values()), 0)

    async def test_invalid_registration_is_ignored(self):
        """Malformed registrations are ignored; other endpoints stay in use."""
        self.deployment.platform.put_row('servers', 'bad', b'{"State": 3')
        self.deployment.platform.put_row('servers', 'odd', {'State': 'ready'})
        await asyncio.sleep(0.2)
        response = await self.deployment.call('/book/x')
        self.assertEqual(response.status, 200)

    async def test_odd_registrations_do_not_hide_the_others(self):
        """Guards against gateways that stop following the endpoints."""
        first, second = self.deployment.runners
        self.deployment.platform.put_row('servers', 'a-nested', b'[' * 60_000)
        self.deployment.platform.put_row(
            'servers', 'b-long', b'{"Slots": ' + b'9' * 60_000 + b'}'
        )
        for number, changes in enumerate(
            (
                {'Address': '127.0.0.1:70000'},
                {'born': 10**400},
                {'Slots': -(10**30)},
                {'Service': '\ud800'},
                {'Version': 'v' * 50_000},
            )
        ):
            odd = mock.Mock(address=first.address, version='v1', born=1)
            odd.id = f'odd-{number}'
            self.deployment.register(odd, **changes)
        for restart in (False, True):
            with self.subTest(restart=restart):
                if restart:
                    await self.deployment.replace_gateways()
                self.deployment.register(first, 'draining')
                await asyncio.sleep(0.8)
                before = sum(first.runs.values())
                for number in range(6):
                    response = await self.deployment.call(
                        '/book/x', attempt=f'{restart}-{number}'
                    )
                    self.assertEqual(response.status, 200)
                self.assertEqual(sum(first.runs.values()), before)
                first, second = second, first
                self.deployment.register(second)
                first.born += 1
                second.born += 1
                self.deployment.register(first)
                self.deployment.register(second)
                await asyncio.sleep(0.8)

    async def test_newer_configuration_is_applied(self):
        """A removed key is soon rejected; an older version is ignored."""
        changed = deployments.configuration(
            9, Tenants=[{'Name': 'desk', 'ApiKeys': ['key-2']}]
        )
        self.deployment.platform.put_row('op', 'config', changed)
        await asyncio.sleep(0.3)
        self.assertEqual((await self.deployment.call('/book/x')).status, 401)
        older = deployments.configuration(3)
        self.deployment.platform.put_row('op', 'config', older)
        await asyncio.sleep(0.3)
        self.assertEqual((await self.deployment.call('/book/x')).status, 401)
        response = await self.deployment.call('/book/x', key='key-2')
        self.assertEqual(response.status, 200)

    async def test_lost_history_is_read_again(self):
        """A change is applied even if the store lost its change history."""
        changed = deployments.configuration(
            9, Tenants=[{'Name': 'desk', 'ApiKeys': ['key-2']}]
        )
        self.deployment.platform.put_row('op', 'config', changed)
        self.deployment.platform.forget_history()
        await asyncio.sleep(0.5)
        response = await self.deployment.call('/book/x', key='key-2')
        self.assertEqual(response.status, 200)

    async def test_restored_store_does_not_revert_the_configuration(self):
        """A revoked key stays revoked if the store forgets the change."""
        store = self.deployment.platform
        copied = store.tables.copy()
        revoked = [{'Name': 'desk', 'ApiKeys': ['key-2']}]
        changed = deployments.configuration(9, Tenants=revoked)
        store.put_row('op', 'config', changed)
        await asyncio.sleep(0.2)
        store.restore(copied)
        await asyncio.sleep(0.5)
        self.assertEqual((await self.deployment.call('/book/x')).status, 401)
        added = deployments.configuration(10, Tenants=revoked)
        added['Routes'].append(deployments.route('late'))
        # Takes the store version that the lost configuration had.
        store.put_row('op', 'config', added)
        await asyncio.sleep(0.5)
        response = await self.deployment.call('/late/x', key='key-2')
        self.assertEqual(response.status, 200)

    async def test_restored_store_gets_the_gateways_rows_again(self):
        """A gateway registers again if a restored store lacks its row."""
        store = self.deployment.platform
        rows, version = store.tables.copy()
        kept = {n: r for n, r in rows.items() if n[0] != 'gateways'}
        self.assertLess(len(kept), len(rows))
        store.restore((kept, version))
        await asyncio.sleep(2.5)
        self.assertTrue(store.tables.list_rows('gateways', ''))

    async def test_row_of_a_gateway_that_registered_again_is_kept(self):
        """Only the version of a row that was seen to be silent is removed."""
        client = tables.TableClient(self.deployment.store)
        self.addCleanup(client.close)
        gateways = sources.GatewayList(client)
        await gateways.announce('lost', '127.0.0.1:9', 'riga-a', 1.0)
        seen = (await gateways.read())['lost']
        await gateways.announce('lost', '127.0.0.1:9', 'riga-a', 1.0)
        await gateways.remove('lost', seen.version)
        again = await gateways.read()
        self.assertIn('lost', again)
        await gateways.remove('lost', again['lost'].version)
        self.assertNotIn('lost', await gateways.read())

    async def test_peers_know_what_a_restored_store_lost(self):
        """A gateway that starts in the gap takes no older state for news."""
        store = self.deployment.platform
        copied = store.tables.copy()
        changed = deployments.configuration(9)
        changed['Routes'].append(deployments.route('late'))
        store.put_row('op', 'config', changed)
        await asyncio.sleep(0.2)
        store.restore(copied)
        await self.deployment.add_gateway()
        await asyncio.sleep(1.5)
        response = await self.deployment.call('/late/x', gateway=1)
        self.assertEqual(response.status, 200)

    async def test_endpoint_that_says_it_leaves_gets_no_new_work(self):
        """All gateways avoid an endpoint that announced in a response."""
        await self.deployment.add_gateway()
        leaving, other = self.deployment.runners
        leaving.leaving = True
        while not leaving.requests:
            await self.deployment.call('/open/x')
        await asyncio.sleep(0.5)
        received = len(leaving.requests)
        for gateway in (0, 1):
            for _ in range(6):
                response = await self.deployment.call(
                    '/open/x', gateway=gateway
                )
                self.assertEqual(response.status, 200, vars(response))
        self.assertEqual(len(leaving.requests), received)
        self.assertGreaterEqual(len(other.requests), 12)

    async def test_slow_request_at_an_endpoint_that_answers_goes_on(self):
        """Work is not started elsewhere while its endpoint is alive."""
        slow, other = self.deployment.runners
        self.deployment.register(other, 'draining')
        await asyncio.sleep(0.3)
        slow.answer_pause_s = 0.75
        slow.script.append('pause')
        call = asyncio.create_task(self.deployment.call('/find/x'))
        while not slow.runs['a1']:
            await asyncio.sleep(0.001)
        while not call.done():
            await self.deployment.call('/open/x', attempt='other')
            await asyncio.sleep(0.05)
        self.assertEqual((await call).status, 200)
        self.assertEqual(slow.runs['a1'], 1)
        self.assertEqual(other.runs['a1'], 0)

    async def test_suspended_gateway_starts_nothing_again(self):
        """Work that went on while the gateway stood still is not repeated."""
        self._script('pause')
        call = asyncio.create_task(self.deployment.call('/find/x'))
        while not self._runs:
            await asyncio.sleep(0.001)
        # Longer than the gateway waits for the response of an endpoint.
        time.sleep(1.0)
        response = await call
        self.assertEqual(response.status, 200)
        self.assertEqual(self._runs, 1)

    async def test_pause_that_an_endpoint_asks_for_is_kept(self):
        """An endpoint that refuses with Retry-After is left alone so long."""
        closed, other = self.deployment.runners
        closed.default_behaviour = 'closed'
        closed.pause_s = 2.0
        while not closed.requests:
            response = await self.deployment.call('/find/x')
            self.assertEqual(response.status, 200)
        for _ in range(10):
            response = await self.deployment.call('/find/x')
            self.assertEqual(response.status, 200)
            await asyncio.sleep(0.1)
        self.assertEqual(len(closed.requests), 1)
        closed.default_behaviour = 'answer'
        await asyncio.sleep(1.2)
        calls = [
            self.deployment.call('/draft/x', headers=STREAM) for _ in range(8)
        ]
        for response in await asyncio.gather(*calls):
            self.assertEqual(response.status, 200)
        self.assertGreater(len(closed.requests), 1)

    async def test_keys_are_not_trusted_for_ever_without_the_store(self):
        """After the revocation bound, requests with a key get a 503."""
        self.deployment.platform.fault = 'down'
        response = await self.deployment.call('/book/x')
        self.assertEqual(response.status, 200)
        await asyncio.sleep(4.5)
        response = await self.deployment.call('/book/x')
        self.assertEqual(response.status, 503)
        self.assertIn(b'retry-after', response.headers)
        self.assertEqual((await self.deployment.call('/open/x')).status, 200)
        self.deployment.platform.fault = 'none'
        await asyncio.sleep(1.5)
        self.assertEqual((await self.deployment.call('/book/x')).status, 200)

    async def test_start_without_the_store(self):
        """A gateway that starts during an outage loads rows from its peers."""
        self.deployment.platform.fault = 'down'
        await asyncio.sleep(0.2)
        await self.deployment.add_gateway()
        response = await self.deployment.call('/book/x', gateway=1)
        self.assertEqual(response.status, 200)
        # The second gateway takes over the age of the configuration, so keys
        # expire at both together. A long poll that was in progress still
        # confirmed it for up to 1.2 s.
        await asyncio.sleep(4.0)
        response = await self.deployment.call('/book/x', gateway=1)
        self.assertEqual(response.status, 503)

    async def test_cut_off_gateway_learns_configurations_from_peers(self):
        """A gateway keeps serving if only its own store link is cut."""
        link = proxy.Proxy()
        link.target = self.deployment.store
        await link.start()
        self.addAsyncCleanup(link.stop)
        await self.deployment.add_gateway(link.address)
        response = await self.deployment.call('/book/x', gateway=1)
        self.assertEqual(response.status, 200)
        link.set_mode(proxy.Mode.SILENT)
        link.reset_all()
        changed = deployments.configuration(2)
        changed['Routes'].append(deployments.route('late'))
        self.deployment.platform.put_row('op', 'config', changed)
        # Longer than keys are valid without a confirmation.
        await asyncio.sleep(4.0)
        for path in ('/late/x', '/book/x'):
            with self.subTest(path=path):
                response = await self.deployment.call(path, gateway=1)
                self.assertEqual(response.status, 200)

    async def test_stop_under_load_cuts_off_no_accepted_request(self):
        """New connections during a stop are answered or not accepted."""
        outcomes = collections.Counter()
        stopped = asyncio.Event()
        callers = [
            asyncio.create_task(self._call_until(stopped, outcomes))
            for _ in range(12)
        ]
        await asyncio.sleep(0.3)
        self.deployment.stop_events[0].set()
        # A stop takes 2.6 s and the longest request; then nothing listens.
        await asyncio.sleep(4.5)
        stopped.set()
        await asyncio.gather(*callers)
        self.assertGreater(outcomes['answered'], len(callers))
        self.assertGreater(outcomes['not accepted'], 0)
        self.assertEqual(outcomes['cut off'], 0, outcomes)

    async def _call_until(self, stopped, outcomes):
        while not stopped.is_set():
            try:
                response = await self.deployment.call('/book/x')
            except exceptions.EndpointUnreachableError:
                outcomes['not accepted'] += 1
                await asyncio.sleep(0.02)
                continue
            outcomes['answered' if response.complete else 'cut off'] += 1
            await asyncio.sleep(0.005)

    async def test_graceful_shutdown_completes_requests(self):
        """In-flight requests complete; new responses ask to close."""
        calls = []
        for number in range(4):
            calls.append(
                asyncio.create_task(
                    self.deployment.call(
                        '/draft/x', headers=STREAM, attempt=f's{number}'
                    )
                )
            )
        self.deployment.stop_events[0].set()
        await asyncio.sleep(0.1)
        late = await self.deployment.call('/book/x')
        self.assertEqual(late.status, 200)
        self.assertEqual(late.headers[b'connection'], b'close')
        for response in await asyncio.gather(*calls):
            self.assertEqual(response.body, COMPLETE_STREAM)
            self.assertTrue(response.complete)

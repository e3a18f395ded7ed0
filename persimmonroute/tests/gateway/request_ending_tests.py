"""Test that each request ends with a whole answer or a refusal."""

from __future__ import annotations

import asyncio
import contextlib
import gzip
import unittest

from persimmonroute.gateway import model
from persimmonroute.gateway import quotas
from persimmonroute import http_server
from persimmonroute.platform import ingress
from standins import gateway_deployment as deployments
from standins import gateway_fixtures as fixtures
from standins import platform_runner

STREAM = (('accept', 'text/event-stream'),)
COMPLETE_STREAM = b''.join(
    f'id: {n}\ndata: piece {n}\n\n'.encode() for n in range(1, 5)
)
# More digits than int() accepts by default.
MANY_DIGITS = '9' * 5000
# More than fits into the buffers of a connection that is not read.
LONG_BODY_BYTES = 4_000_000
# More than parsers of HTTP keep of a head by default.
LONG_HEAD_BYTES = 30_000
# Longer than TCP_USER_TIMEOUT, in seconds.
UNREAD_S = 3.0
# Of an endpoint that goes on afterwards, in seconds.
SILENCE_S = 0.5
QUOTA = model.Quota(10.0, 5.0, 1.0)
# Requests that share the slot of an endpoint; the last ones wait for it.
WAITING = 4
# Time within which each request here has ended, in seconds.
ENDING_S = 4.0


class RawRunner(platform_runner.RunnerStandIn):
    """Answer with bytes that a test chooses.

    $ATTEMPT stands for the id of the attempt.
    """

    raw = b''

    async def _do_raw(self, reply, headers):
        reply.writer.write(self.raw.replace(b'$ATTEMPT', reply.attempt))
        await reply.writer.drain()
        return False


def head(status=b'200 OK', *lines):
    """Return the head of a raw answer."""
    return b'\r\n'.join(
        (
            b'HTTP/1.1 ' + status,
            b'attempt-id: $ATTEMPT',
            b'upstream-signature: signature',
            *lines,
            b'\r\n',
        )
    )


async def exchange(address, data):
    """Return what a caller receives, and whether that ended in time."""
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    received, ended = b'', False
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(ENDING_S):
            while data := await reader.read(65_536):
                received += data
            ended = True
    writer.close()
    return received, ended


class RequestEndingTests(unittest.IsolatedAsyncioTestCase):
    """Send requests through one gateway to two endpoints."""

    async def asyncSetUp(self):
        """Start a gateway, a store and two endpoints."""
        self.deployment = deployments.GatewayDeployment()
        self.deployment.runners = [RawRunner('r0'), RawRunner('r1')]
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.start()

    def _answer_with(self, *behaviours, raw=b''):
        """Script the next responses, whichever endpoint is used."""
        script = self.deployment.runners[0].script
        script.extend(behaviours)
        for runner in self.deployment.runners:
            runner.script = script
            runner.raw = raw

    async def test_connect_request_does_not_stop_the_gateway(self):
        """Guards against a tunnel request after which nothing is served."""
        received, _ = await exchange(
            self.deployment.settings[0].address,
            b'CONNECT /open/x HTTP/1.1\r\nhost: api.example\r\n'
            b'connection: close\r\n\r\n',
        )
        self.assertEqual(received.split(b'\r\n')[0].split(b' ')[1], b'501')
        response = await self.deployment.call('/book/x')
        self.assertEqual(response.status, 200)

    async def test_broken_off_answer_is_reset_for_old_callers(self):
        """Guards against a part that ends like a whole body in HTTP/1.0."""
        event = COMPLETE_STREAM[: COMPLETE_STREAM.index(b'id: 2')]
        chunk = b'%x\r\n%s\r\n' % (len(event), event)
        raw = head(
            b'200 OK',
            b'content-type: text/event-stream',
            b'transfer-encoding: chunked',
        )
        address = self.deployment.settings[0].address
        request = (
            b'POST /draft/x HTTP/1.0\r\nhost: api.example\r\n'
            b'authorization: Bearer key-1\r\ncontent-length: 0\r\n'
            b'attempt-id: a1\r\n\r\n'
        )
        self._answer_with('raw', raw=raw + chunk)
        with self.assertRaises(ConnectionResetError):
            await exchange(address, request)
        self._answer_with('raw', raw=raw + chunk + b'0\r\n\r\n')
        received, ended = await exchange(address, request)
        self.assertTrue(ended)
        self.assertTrue(received.endswith(b'\r\n\r\n' + event))

    async def test_status_out_of_range_is_answered(self):
        """Guards against a connection that is closed without any answer."""
        self._answer_with(
            'raw', raw=head(b'600 Odd', b'content-length: 2') + b'ok'
        )
        response = await self.deployment.call('/book/x')
        self.assertEqual(response.status, 502)
        self.assertTrue(response.complete)

    async def test_answer_with_length_and_chunks_is_relayed(self):
        """Guards against a length that the relayed chunks do not have."""
        self._answer_with(
            'raw',
            raw=head(
                b'200 OK', b'content-length: 9', b'transfer-encoding: chunked'
            )
            + b'4\r\nabcd\r\n0\r\n\r\n',
        )
        response = await self.deployment.call('/book/x')
        self.assertEqual(response.status, 200)
        self.assertEqual(response.body, b'abcd')
        self.assertTrue(response.complete)

    async def test_resumed_stream_of_another_length_is_complete(self):
        """Guards against the length of the stream that broke off."""
        self._answer_with(
            'raw',
            raw=head(
                b'200 OK',
                b'content-type: text/event-stream',
                b'content-length: 500',
            )
            + b'id: 1\ndata: piece 1\n\n',
        )
        response = await self.deployment.call('/resume/x', headers=STREAM)
        self.assertEqual(response.body, COMPLETE_STREAM)
        self.assertTrue(response.complete)

    async def test_encoded_stream_is_relayed(self):
        """Guards against 502 for a stream whose events cannot be read."""
        body = gzip.compress(COMPLETE_STREAM)
        raw = head(
            b'200 OK',
            b'content-type: text/event-stream',
            b'content-encoding: gzip',
            b'content-length: %d' % len(body),
        )
        encoding = ('accept-encoding', 'gzip')
        for path in ('/draft/x', '/resume/x'):
            self._answer_with('raw', raw=raw + body)
            response = await self.deployment.call(
                path, headers=(*STREAM, encoding)
            )
            self.assertEqual(response.status, 200)
            self.assertEqual(response.headers[b'content-encoding'], b'gzip')
            self.assertEqual(response.body, body)
            self.assertTrue(response.complete)

    async def test_endless_keep_alive_time_loses_no_answer(self):
        """Guards against an answer that is dropped for its Keep-Alive."""
        keep_alive = f'keep-alive: timeout={MANY_DIGITS}'.encode()
        self._answer_with(
            'raw',
            raw=head(b'200 OK', keep_alive, b'content-length: 2') + b'ok',
        )
        response = await self.deployment.call('/book/x')
        self.assertEqual(response.status, 200)
        self.assertEqual(response.body, b'ok')

    async def test_endless_event_id_does_not_cut_off_a_stream(self):
        """Guards against a stream that ends at an id of many digits."""
        event = f'id: {MANY_DIGITS}\ndata: piece 1\n\n'.encode()
        self._answer_with(
            'raw',
            raw=head(b'200 OK', b'content-type: text/event-stream') + event,
        )
        response = await self.deployment.call('/draft/x', headers=STREAM)
        self.assertEqual(response.body, event)
        self.assertTrue(response.complete)

    async def test_replaced_endpoint_fails_no_request(self):
        """Guards against 502 when an endpoint started again."""
        self.deployment.runners[0].born = 2
        for number in range(8):
            response = await self.deployment.call(
                '/resume/x', headers=STREAM, attempt=f'a{number}'
            )
            self.assertEqual(response.status, 200)

    async def test_last_event_id_of_many_digits_is_answered(self):
        """Guards against an error of the server in place of an answer."""
        document = deployments.configuration(2)
        document['Limits']['MaxHeaderBytes'] = 16_384
        self.deployment.platform.put_row('op', 'config', document)
        await asyncio.sleep(0.3)
        response = await self.deployment.call(
            '/book/x', headers=(('last-event-id', MANY_DIGITS),)
        )
        self.assertEqual(response.status, 200)

    async def test_long_head_in_parts_is_answered(self):
        """Guards against 400 for a head that the limits allow."""
        document = deployments.configuration(2)
        document['Limits']['MaxHeaderBytes'] = 65_536
        self.deployment.platform.put_row('op', 'config', document)
        await asyncio.sleep(0.3)
        data = (
            b'POST /book/x HTTP/1.1\r\nhost: %s\r\nattempt-id: a1\r\n'
            b'authorization: Bearer %s\r\nconnection: close\r\nx-long: %s\r\n'
            b'content-length: 0\r\n\r\n'
        ) % (
            deployments.HOST.encode(),
            deployments.KEY.encode(),
            b'x' * LONG_HEAD_BYTES,
        )
        host, _, port = self.deployment.settings[0].address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        for part in (data[:-1000], data[-1000:]):
            writer.write(part)
            await asyncio.sleep(0.1)
        received = await reader.read()
        writer.close()
        self.assertTrue(received.startswith(b'HTTP/1.1 200 '), received)

    async def test_endless_prompt_part_is_served(self):
        """Guards against a failure for a part of too many tokens."""
        part = ('prompt-prefix', 'ab:' + '9' * 3000)
        response = await self.deployment.call('/book/x', headers=(part,))
        self.assertEqual(response.status, 200)


class FaultyForwarder:
    """Send less of a response than its head declares."""

    async def serve(self, request, caller):
        """Respond to a request."""
        await caller.begin(200, [(b'content-length', b'9')])
        await caller.send(b'part')
        await caller.finish()


class FaultTests(unittest.IsolatedAsyncioTestCase):
    """Serve requests with a forwarder that fails."""

    async def test_fault_after_the_head_closes_the_connection(self):
        """Guards against a caller that waits for the rest without end."""
        address = f'127.0.0.1:{deployments.free_port()}'
        app = ingress.IngressApp(fixtures.board(), FaultyForwarder())
        server = http_server.build_server(app, address, 1.0, 0.0)
        serving = asyncio.create_task(server.serve())
        self.addAsyncCleanup(asyncio.wait, (serving,))
        self.addCleanup(setattr, server, 'should_exit', True)
        while not server.started:
            await asyncio.sleep(0.01)
        received, ended = await exchange(
            address, b'GET /draft/x HTTP/1.1\r\nhost: api.example\r\n\r\n'
        )
        self.assertEqual(received[-8:], b'\r\n\r\npart')
        self.assertTrue(ended)


class LongBodyCase(unittest.IsolatedAsyncioTestCase):
    """Allow long bodies, and requests that last for a while."""

    async def start(self, runner):
        """Return a started deployment with one endpoint."""
        deployment = deployments.GatewayDeployment(endpoints=1)
        deployment.runners = [runner]
        self.addAsyncCleanup(deployment.stop)
        await deployment.start()
        document = deployments.configuration(2)
        document['Limits']['MaxBodyBytes'] = 2 * LONG_BODY_BYTES
        for route in document['Routes']:
            route['TimeoutMs'] = 6000
        deployment.platform.put_row('op', 'config', document)
        await asyncio.sleep(0.3)
        return deployment


class LateReader(platform_runner.RunnerStandIn):
    """Read nothing of what comes on a connection for a while."""

    async def _accept(self, reader, writer):
        writer.transport.pause_reading()
        await asyncio.sleep(UNREAD_S)
        writer.transport.resume_reading()
        await super()._accept(reader, writer)


class LateReaderTests(LongBodyCase):
    """Send long bodies to an endpoint that does not read them at once."""

    async def test_body_that_is_read_late_is_answered(self):
        """Guards against a time limit of TCP that ends sound connections."""
        deployment = await self.start(LateReader('r0'))
        response = await deployment.call(
            '/book/x', body=b'x' * LONG_BODY_BYTES, remaining_ms=6000
        )
        self.assertEqual(response.status, 200)


class EarlyRunner(platform_runner.RunnerStandIn):
    """Answer its first request before it reads the body of it."""

    async def _accept(self, reader, writer):
        if self.requests:
            await super()._accept(reader, writer)
            return
        request = await reader.readuntil(b'\r\n\r\n')
        self.requests.append(request)
        answer = head(b'200 OK', b'content-length: 5') + b'early'
        writer.write(answer.replace(b'$ATTEMPT', b'a1'))
        writer.transport.pause_reading()
        await asyncio.sleep(UNREAD_S)
        writer.transport.resume_reading()
        await reader.readexactly(LONG_BODY_BYTES)
        await super()._accept(reader, writer)


class EarlyAnswerTests(LongBodyCase):
    """Send a request behind a long body that is not read yet."""

    async def test_request_behind_an_unread_body_is_answered(self):
        """Guards against a time limit of TCP that ends sound connections."""
        deployment = await self.start(EarlyRunner('r0'))
        response = await deployment.call(
            '/book/x', body=b'x' * LONG_BODY_BYTES
        )
        self.assertEqual(response.body, b'early')
        response = await deployment.call(
            '/book/x', attempt='a2', remaining_ms=6000
        )
        self.assertEqual(response.status, 200)


class ClosingRunner(platform_runner.RunnerStandIn):
    """Close each connection after one answer, when its next request comes."""

    def __init__(self, runner_id):
        super().__init__(runner_id)
        self.answered = set()

    async def _respond(self, http, writer, request, body):
        if http in self.answered:
            await asyncio.sleep(SILENCE_S)
            return False
        self.answered.add(http)
        return await super()._respond(http, writer, request, body)


class IdleConnectionTests(unittest.IsolatedAsyncioTestCase):
    """Let the only endpoint close an idle connection after a silence."""

    async def test_request_that_crosses_a_close_is_sent_again(self):
        """Guards against 502 though the only endpoint is sound."""
        deployment = deployments.GatewayDeployment(endpoints=1)
        deployment.runners = [ClosingRunner('r0')]
        self.addAsyncCleanup(deployment.stop)
        await deployment.start()
        for attempt in ('a1', 'a2'):
            response = await deployment.call('/find/x', attempt=attempt)
            self.assertEqual(response.status, 200)


class HandOverTests(unittest.IsolatedAsyncioTestCase):
    """Let an endpoint refuse what was taken from a silent one."""

    async def test_refusal_after_a_silence_is_not_the_end(self):
        """Guards against 502 when all endpoints are sound."""
        deployment = deployments.GatewayDeployment()
        self.addAsyncCleanup(deployment.stop)
        await deployment.start()
        document = deployments.configuration(2)
        for route in document['Routes']:
            route['TimeoutMs'] = 6000
            route['MaxAttempts'] = 4
        deployment.platform.put_row('op', 'config', document)
        await asyncio.sleep(0.3)
        script = deployment.runners[0].script
        script.extend(('silent', 'full'))
        deployment.runners[1].script = script
        response = await deployment.call('/find/x', remaining_ms=6000)
        self.assertEqual(response.status, 200)


class QuotaChangeTests(unittest.TestCase):
    """Change the quota of a workspace while its requests wait."""

    def test_request_without_a_quota_is_not_refunded(self):
        """Guards against an error when a workspace gets a quota."""
        request = fixtures.request(states_tokens=False)
        limiter = quotas.QuotaLimiter()
        limiter.apply([fixtures.workspace(quota=QUOTA)], 0.0)
        before = limiter.report_remaining()
        limiter.refund(fixtures.workspace(), request)
        self.assertEqual(limiter.report_remaining(), before)


class KeyChangeTests(unittest.IsolatedAsyncioTestCase):
    """Change what callers need while their requests wait."""

    async def asyncSetUp(self):
        """Start a gateway with one endpoint of one slot."""
        self.deployment = deployments.GatewayDeployment(endpoints=1)
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.start()
        runner = self.deployment.runners[0]
        runner.answer_pause_s = 0.7
        runner.default_behaviour = 'pause'
        self.deployment.register(runner, Slots=1)
        self._configure(deployments.configuration(2))
        await asyncio.sleep(0.3)

    def _configure(self, document):
        """Apply a configuration whose callers have time to wait."""
        for route in document['Routes']:
            route['TimeoutMs'] = 6000
            route['TargetLatencyMs'] = 3000
        self.deployment.platform.put_row('op', 'config', document)

    async def _call_beside(self, document):
        """Return the response to a request that waits at the change."""
        calls = [
            asyncio.create_task(
                self.deployment.call(
                    '/book/x', attempt=f'c{n}', remaining_ms=6000
                )
            )
            for n in range(WAITING)
        ]
        await asyncio.sleep(0.2)
        self._configure(document)
        return await asyncio.gather(*calls)

    async def test_waiting_request_outlives_the_last_workspace(self):
        """Guards against 401 for a key that is not needed any more."""
        document = deployments.configuration(3, Tenants=[])
        responses = await self._call_beside(document)
        self.assertEqual([r.status for r in responses], [200] * WAITING)

    async def test_waiting_request_outlives_the_key_of_a_public_route(self):
        """Guards against 401 on a route that became public."""
        document = deployments.configuration(3)
        document['Tenants'][0]['ApiKeys'] = ['another']
        for route in document['Routes']:
            route['Public'] = True
        responses = await self._call_beside(document)
        self.assertEqual([r.status for r in responses], [200] * WAITING)

    async def test_waiting_request_with_a_revoked_key_is_refused(self):
        """A key that the route still needs is checked before the send."""
        document = deployments.configuration(3)
        document['Tenants'][0]['ApiKeys'] = ['another']
        responses = await self._call_beside(document)
        statuses = {response.status for response in responses}
        self.assertEqual(statuses, {200, 401})


class AdmissionMessageTests(unittest.IsolatedAsyncioTestCase):
    """Send requests through gateways that host one another's requests."""

    async def asyncSetUp(self):
        """Start two gateways and collect the errors of callbacks."""
        self.deployment = deployments.GatewayDeployment(gateways=2)
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.start()
        self._errors = []
        asyncio.get_running_loop().set_exception_handler(
            lambda loop, context: self._errors.append(context)
        )
        await asyncio.sleep(0.5)

    async def _call_both(self, **options):
        for gateway in range(2):
            response = await self.deployment.call(
                '/find/x', gateway=gateway, **options
            )
            self.assertEqual(response.status, 200)

    async def test_prompt_of_any_size_is_offered(self):
        """Guards against messages lost with one that cannot be encoded."""
        part = ('prompt-prefix', 'ab:1099511627776')
        await self._call_both(headers=(part,))
        self.assertEqual(self._errors, [])

    async def test_requests_after_a_long_deadline_are_offered(self):
        """Guards against an age that no message can hold."""
        for remaining_ms in (10**15, 'inf'):
            await self._call_both(remaining_ms=remaining_ms)
            await self._call_both()
        self.assertEqual(self._errors, [])

"""Answer long requests before they have been read."""

from __future__ import annotations

import asyncio
import time
import unittest
from unittest import mock

from persimmonroute.gateway import runners
from persimmonroute.generated import exchange_pb2 as pb
from persimmonroute.sidecar import endpoints
from persimmonroute.sidecar import messages
from standins import early_endpoint
from standins.early_endpoint import Ending
from standins import gateway_deployment as deployments

UPLOAD = b'x' * 1_000_000
HEAD = (
    b'HTTP/1.1 200 OK\r\nattempt-id: ATTEMPT\r\nupstream-signature: early\r\n'
)
UNFRAMED = HEAD + b'content-type: text/plain\r\n\r\n'
HALF = b'half of the answer'
EVENT = b'id: 1\ndata: piece 1\n\n'
STREAM = HEAD + b'content-type: text/event-stream\r\n\r\n' + EVENT
# Parts of answers, with the routes that they are sent on.
PARTS = (
    (UNFRAMED + HALF, ('book', 'find', 'open')),
    (UNFRAMED + HALF * 50_000, ('book', 'find')),
    (STREAM, ('draft', 'resume')),
)
ROUTES = ('book', 'find', 'draft', 'resume')
STREAM_ROUTES = ('draft', 'resume')
BROKEN = (Ending.SHUTDOWN_RESET, Ending.RESET)


class EarlyAnswerTests(unittest.IsolatedAsyncioTestCase):
    """Answer through one gateway, whose only endpoint answers early."""

    async def asyncSetUp(self):
        """Start a gateway that takes long requests and suspends nobody."""
        patch = mock.patch.object(runners, 'MAX_CONSECUTIVE_BREAKS', 10**9)
        patch.start()
        self.addCleanup(patch.stop)
        self.deployment = deployments.GatewayDeployment(0, gateways=0)
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.start()
        document = deployments.configuration(2)
        document['Limits']['MaxBodyBytes'] = 2 * len(UPLOAD)
        self.deployment.platform.put_row('op', 'config', document)
        self.endpoint = early_endpoint.EarlyEndpoint()
        await self.endpoint.start()
        self.addAsyncCleanup(self.endpoint.stop)
        self.deployment.register(self.endpoint)
        await self.deployment.add_gateway()
        self._sent = 0

    async def _call(self, route, answer, ending, body=UPLOAD):
        self.endpoint.answer, self.endpoint.ending = answer, ending
        self._sent += 1
        streaming = route in STREAM_ROUTES
        accept = [('accept', 'text/event-stream')] if streaming else []
        began_at = time.monotonic()
        response = await self.deployment.call(
            # Nothing is quarantined.
            f'/{route}/{self._sent}',
            body=body,
            headers=accept,
            attempt=f'a{self._sent}',
        )
        response.took_s = time.monotonic() - began_at
        # The endpoint is not suspended when the next request comes.
        await asyncio.sleep(0.05)
        return response

    async def test_part_of_an_answer_is_not_taken_for_the_whole(self):
        """Guards against an end that is followed by a reset.

        The request is still being written.
        """
        for part, routes in PARTS:
            for ending in BROKEN:
                for route in routes:
                    response = await self._call(route, part, ending)
                    with self.subTest(part=part[-20:], route=route, e=ending):
                        self.assertFalse(
                            response.complete and response.status == 200
                        )
                        self.assertNotIn(response.status, (408, 421, 429))

    async def test_order_runs_once(self):
        """What broke off may have run."""
        for ending in BROKEN:
            response = await self._call('book', UNFRAMED + HALF, ending)
            self.assertEqual(response.status, 502)
            self.assertEqual(self.endpoint.runs.count(f'a{self._sent}'), 1)

    async def test_late_reset(self):
        """It may come when the request has not moved for a while."""
        self.endpoint.reset_delay_s = 0.5
        response = await self._call(
            'book', UNFRAMED + HALF, Ending.SHUTDOWN_RESET
        )
        self.assertEqual(response.status, 502)

    async def test_endpoint_that_reads_nothing_more(self):
        """Its answer is not proved to be whole; the caller waits not long."""
        response = await self._call(
            'book', UNFRAMED + HALF, Ending.SHUTDOWN_SILENCE
        )
        self.assertIn(response.status, (502, 504))
        self.assertLess(response.took_s, 3.0)

    async def test_sound_early_answer(self):
        """The endpoint reads on, however its answer is framed."""
        framed = HEAD + b'content-length: %d\r\n\r\n' % len(HALF) + HALF
        chunked = HEAD + b'transfer-encoding: chunked\r\n\r\n%x\r\n%b\r\n' % (
            len(HALF),
            HALF,
        )
        for answer in (UNFRAMED + HALF, framed, chunked + b'0\r\n\r\n'):
            for ending in (Ending.SHUTDOWN_READ, Ending.READ_CLOSE):
                for route in ('book', 'find'):
                    response = await self._call(route, answer, ending)
                    with self.subTest(answer=answer[-20:], ending=ending):
                        self.assertEqual(response.status, 200)
                        self.assertTrue(response.complete)
                        self.assertEqual(response.body, HALF)

    async def test_sound_early_stream(self):
        """All events arrive, and the response is complete."""
        for route in STREAM_ROUTES:
            for ending in (Ending.SHUTDOWN_READ, Ending.READ_CLOSE):
                response = await self._call(route, STREAM, ending)
                self.assertEqual(response.body, EVENT)
                self.assertTrue(response.complete)

    async def test_unframed_answers_are_not_delayed(self):
        """Short requests, and long ones that were read, wait for nothing."""
        for body in (b'body', UPLOAD):
            for ending in (Ending.SHUTDOWN_READ, Ending.READ_ANSWER):
                if body is UPLOAD and ending is Ending.SHUTDOWN_READ:
                    continue
                response = await self._call(
                    'book', UNFRAMED + HALF, ending, body
                )
                self.assertEqual(response.body, HALF)
                self.assertTrue(response.complete)
                self.assertLess(response.took_s, 0.3)

    async def test_status_that_is_none(self):
        """A status below 100 is no answer, on any kind of route."""
        for status in (b'000', b'001', b'099', b'00', b'0', b'-20', b'2000'):
            for fields in (b'content-length: 4\r\n\r\n', b'\r\n'):
                head = HEAD.replace(b'200', status) + fields
                for route in ROUTES:
                    for body in (b'body', UPLOAD):
                        response = await self._call(
                            route, head + b'body', Ending.READ_CLOSE, body
                        )
                        self.assertEqual(response.status, 502, (status, route))


class SidecarTests(unittest.IsolatedAsyncioTestCase):
    """Answer the calls of a sidecar early."""

    async def asyncSetUp(self):
        """Start an endpoint."""
        self.endpoint = early_endpoint.EarlyEndpoint()
        await self.endpoint.start()
        self.addAsyncCleanup(self.endpoint.stop)

    async def _run(self, answer, ending):
        """Return the event that ends a call."""
        self.endpoint.answer, self.endpoint.ending = answer, ending
        events = []
        client = endpoints.PlainServiceClient(
            self.endpoint.address, events.append
        )
        offer = pb.Offer(method='POST', path='/orders/1', body=UPLOAD)
        async with asyncio.timeout(10.0):
            await client.run('a.1', offer)
        return events[-1]

    async def test_part_of_an_answer_is_not_taken_for_the_whole(self):
        """Guards against an end that is followed by a reset."""
        for part in (UNFRAMED + HALF, STREAM):
            for ending in BROKEN:
                ended = await self._run(part, ending)
                self.assertIsInstance(ended, messages.EndpointFailed)
                self.assertTrue(ended.sent)

    async def test_sound_early_answer(self):
        """The endpoint reads on."""
        for answer in (UNFRAMED + HALF, STREAM):
            for ending in (Ending.SHUTDOWN_READ, Ending.READ_CLOSE):
                ended = await self._run(answer, ending)
                self.assertIsInstance(ended, messages.EndpointEnded)

    async def test_status_that_is_none(self):
        """A status below 100 is no answer."""
        for status in (b'000', b'099', b'0'):
            head = UNFRAMED.replace(b'200', status)
            ended = await self._run(head + HALF, Ending.READ_CLOSE)
            self.assertIsInstance(ended, messages.EndpointFailed)

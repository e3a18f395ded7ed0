"""Let endpoints write responses that nobody vouches for."""

from __future__ import annotations

import asyncio

from persimmonroute.tests.gateway import partial_head_tests
from standins.platform_runner import RawAnswer

NAME = b'attempt-id: ATTEMPT\r\n'
SIGNATURE = b'upstream-signature: raw\r\n'
# Signatures that prove nothing.
UNSIGNED = (b'', b'upstream-signature:\r\n', b'upstream-signature:  \r\n')
PLAIN = b'content-type: text/plain\r\n'
LENGTH = PLAIN + b'content-length: 12\r\n'
CHUNKS = b'transfer-encoding: chunked\r\n'
STREAM = b'content-type: text/event-stream\r\n'
BODY = b'whole answer'
EVENTS = partial_head_tests.EVENTS
FIRST_EVENT = EVENTS[: EVENTS.index(b'\n\n') + 2]
ROUTES = ('book', 'find', 'draft', 'resume', 'open')
REPEATABLE = ('find', 'resume')


def chunk(data):
    """Return a body of one chunk."""
    return b'%x\r\n%b\r\n0\r\n\r\n' % (len(data), data)


# Status lines with the fields and the body of a success.
SUCCESSES = (
    (b'200 OK', LENGTH, BODY),
    (b'200 OK', PLAIN, BODY),
    (b'200 OK', PLAIN + CHUNKS, chunk(BODY)),
    (b'201 Created', LENGTH, BODY),
    (b'202 Accepted', PLAIN + b'content-length: 0\r\n', b''),
    (b'204 No Content', b'', b''),
    (b'206 Partial Content', LENGTH, BODY),
    (b'299 Other', LENGTH, BODY),
    (b'200 OK', STREAM, EVENTS),
    (b'200 OK', STREAM + CHUNKS, chunk(EVENTS)),
)


def build(status, fields, body, *origin):
    """Return a RawAnswer; origin are the lines that tell who wrote it."""
    lines = b''.join((*origin, fields, b'connection: close\r\n'))
    return RawAnswer(b'HTTP/1.1 %b\r\n%b\r\n%b' % (status, lines, body))


class UnsignedSuccessTests(partial_head_tests.RawAnswerTestCase):
    """Guard against bytes of a faulty endpoint as a caller's answer."""

    async def _assert_no_success(self, route, answer, method='POST'):
        """Check what a caller gets if the first answer is no success."""
        response = await self.play(route, answer, method=method)
        if route in REPEATABLE:
            self.assertEqual(response.status, 200, (route, answer))
            self.assertTrue(response.complete)
            self.assertEqual(
                response.headers[b'upstream-signature'], b'signature'
            )
        else:
            self.assertEqual(response.status, 502, (route, answer))

    async def test_success_without_a_signature_on_a_new_connection(self):
        """Each kind of route, framing and status; named or not."""
        for number, (status, fields, body) in enumerate(SUCCESSES):
            for route in ROUTES:
                for name in (NAME, b''):
                    signature = UNSIGNED[number % len(UNSIGNED)]
                    answer = build(status, fields, body, name, signature)
                    await self._assert_no_success(route, answer)

    async def test_success_without_a_signature_on_a_connection_in_use(self):
        """The attempt is named, as on any connection that was used before."""
        for number, (status, fields, body) in enumerate(SUCCESSES):
            for route in ROUTES:
                # Leaves connections to both endpoints in the pool.
                for _ in range(2):
                    await self.deployment.call(f'/{route}/x')
                signature = UNSIGNED[number % len(UNSIGNED)]
                answer = build(status, fields, body, NAME, signature)
                await self._assert_no_success(route, answer)

    async def test_head_request(self):
        """A response without a body needs a signature as well."""
        for route in ROUTES:
            answer = build(b'200 OK', LENGTH, b'', NAME)
            await self._assert_no_success(route, answer, 'HEAD')

    async def test_retry(self):
        """The second endpoint is not believed either."""
        answer = build(b'200 OK', LENGTH, BODY, NAME)
        for route in REPEATABLE:
            response = await self.play(route, answer, answer)
            self.assertEqual(response.status, 502)

    async def test_rest_of_a_stream(self):
        """Events without a signature are not joined to a caller's stream."""
        first = build(
            b'200 OK', STREAM, FIRST_EVENT + b'id: 2\nda', NAME, SIGNATURE
        )
        rest = EVENTS.removeprefix(FIRST_EVENT)
        for name in (NAME, b''):
            answer = build(b'200 OK', STREAM, rest, name)
            response = await self.play('resume', first, answer)
            self.assertEqual(response.status, 200)
            self.assertFalse(response.complete)
            self.assertEqual(response.body, FIRST_EVENT)


class UnnamedFailureTests(partial_head_tests.RawAnswerTestCase):
    """Guard against promises and refusals that no endpoint has made."""

    async def test_answer_that_nobody_vouches_for(self):
        """It says neither that a request did not run, nor that it failed."""
        for status in (
            b'503 Service Unavailable',
            b'429 Too Many Requests',
            b'421 Misdirected Request',
            b'408 Request Timeout',
            b'404 Not Found',
            b'301 Moved Permanently',
            b'500 Internal Server Error',
        ):
            answer = build(status, LENGTH, BODY)
            response = await self.play('book', answer)
            self.assertEqual(response.status, 502, status)
            response = await self.play('find', answer)
            self.assertEqual(response.status, 200, status)


class SoundAnswerTests(partial_head_tests.RawAnswerTestCase):
    """Pass on what an endpoint has written."""

    async def test_signed_success(self):
        """With or without a name on a new connection, in any framing."""
        for status, fields, body in SUCCESSES:
            for name in (NAME, b''):
                answer = build(status, fields, body, name, SIGNATURE)
                for route in ('book', 'draft', 'find', 'resume'):
                    if route == 'resume' and not name:
                        # The endpoint has told its start on the connection.
                        continue
                    response = await self.play(route, answer)
                    self.assertEqual(
                        str(response.status).encode(), status[:3], answer
                    )
                    self.assertTrue(response.complete, answer)
                    self.assertEqual(
                        response.headers[b'upstream-signature'], b'raw'
                    )

    async def test_failure_without_a_signature(self):
        """It names its attempt, and keeps its status and body."""
        for status in (
            b'404 Not Found',
            b'409 Conflict',
            b'301 Moved Permanently',
            b'500 Internal Server Error',
            b'503 Service Unavailable',
        ):
            response = await self.play(
                'book', build(status, LENGTH, BODY, NAME)
            )
            self.assertEqual(str(response.status).encode(), status[:3])
            self.assertEqual(response.body, BODY)

    async def test_refusal_without_a_name(self):
        """An endpoint that could not read the name did not run anything."""
        for status in (b'400 Bad Request', b'503 Service Unavailable'):
            # Longer than a connection in use may be idle before an order.
            await asyncio.sleep(0.6)
            refusal = build(status, LENGTH, BODY, b'not-executed: 1\r\n')
            response = await self.play('book', refusal)
            self.assertEqual(response.status, 200)

"""Call a sidecar's endpoint over HTTP."""

from __future__ import annotations

import abc
import contextlib

import h11

from persimmonroute import event_stream
from persimmonroute.events import Event
from persimmonroute import exceptions
from persimmonroute import http_connection
from persimmonroute import json_text
from persimmonroute import logs
from persimmonroute import pacing
from persimmonroute.sidecar import messages
from persimmonroute.sidecar import responses

log = logs.EventLog(__name__)

CONNECT_TIMEOUT_S = 1.0
PROBE_TIMEOUT_S = 2.0
# Longest response that is forwarded, as much as the sidecar keeps in memory.
MAX_RESPONSE_BYTES = responses.MAX_RETAINED_BYTES
# Largest list of retained streams.
MAX_LIST_BYTES = 1_048_576
# Requests per second that the endpoint takes.
REQUEST_LIMIT = b'request-limit'
TOKEN_EVENT_PREFIX = b'data: {'
BODILESS_METHODS = frozenset(('GET', 'HEAD', 'DELETE'))
PROBE_ERRORS = (
    exceptions.EndpointUnreachableError,
    exceptions.EndpointBrokenError,
    TimeoutError,
)


class _Call:
    """Track one request about an attempt.

    The offset is that of a resumed stream, or None for the request itself.
    """

    def __init__(self, attempt_id, stream, offset=None):
        self.attempt_id = attempt_id
        self.offset = offset
        # Whether the rest of the response can be read as a stream.
        self.resumable = stream
        # Whether the response is an event stream without an error.
        self.streamed = False

    def check_head(self, status, content_type):
        """Check whether a response is a stream.

        Raises EndpointBrokenError if it should resume one and does not.
        """
        self.streamed = event_stream.is_stream(status, content_type)
        if self.streamed:
            return
        self.resumable = False
        if self.offset is not None:
            raise exceptions.EndpointBrokenError(
                'the engine no longer has the stream'
            )


class _Body:
    """Check that the body of a response is complete."""

    def __init__(self, ends_with_connection, content_type):
        self._ends_with_connection = ends_with_connection
        self._splitter = None
        self._events = 0
        self._size = 0
        if event_stream.is_stream_type(content_type):
            self._splitter = event_stream.EventSplitter()

    def add(self, data):
        """Add a chunk, or raise EndpointBrokenError if the body is endless."""
        self._size += len(data)
        if self._size > MAX_RESPONSE_BYTES:
            raise exceptions.EndpointBrokenError('the response is too large')
        if self._splitter is not None:
            self._events += len(self._splitter.feed(data))

    def count_tokens(self, data):
        """Return the events in a chunk that hold a token."""
        return data.count(TOKEN_EVENT_PREFIX) if self._splitter else 0

    def check_complete(self):
        """Raise EndpointBrokenError if a stream was broken off."""
        if self._splitter is None:
            return
        if self._splitter.in_event:
            raise exceptions.EndpointBrokenError('the stream ends in an event')
        if self._ends_with_connection and not self._events:
            raise exceptions.EndpointBrokenError('the stream has no event')


class EndpointClient(abc.ABC):
    """Send attempts to one endpoint and report events to a sink."""

    def __init__(self, address, sink):
        self._address = address
        self._sink = sink

    async def run(self, attempt_id, offer):
        """Send a request and report its response as events."""
        headers = {
            'Content-Type': 'application/json',
            'X-Request-Id': attempt_id,
        }
        call = _Call(attempt_id, offer.stream)
        await self._call(call, offer.method, offer.path, headers, offer.body)

    async def probe(self):
        """Return whether the endpoint responds to a health check."""
        try:
            await self._request('GET', '/health')
        except exceptions.ResourcesExhaustedError as error:
            log.emit(
                Event.RESOURCES_EXHAUSTED,
                step='health check',
                problem=error.problem,
                suppressed=0,
            )
            return False
        except PROBE_ERRORS:
            return False
        return True

    @abc.abstractmethod
    async def resume(self, attempt_id, offset):
        """Resume an interrupted stream at a byte offset."""

    @abc.abstractmethod
    async def cancel(self, attempt_id):
        """Cancel a request in flight."""

    @abc.abstractmethod
    async def list_streams(self):
        """Return the attempt ids whose streams the endpoint retains.

        None if that is not known.
        """

    async def _request(
        self,
        method,
        path,
        body=b'',
        max_bytes=http_connection.MAX_REPORT_BYTES,
    ):
        """Return the WholeResponse to a request that is not an attempt."""
        conn = await self._open()
        try:
            self._send(conn, method, path, {}, body)
            return await http_connection.read_response(
                conn, PROBE_TIMEOUT_S, max_bytes
            )
        finally:
            conn.abort()

    async def _call(self, call, method, path, headers, body):
        try:
            # A new connection for each call: one that was left open may drop
            # while the request is sent, and whether it ran is then unknown.
            conn = await self._open()
        except exceptions.EndpointUnreachableError as error:
            await self._fail(call, False, error.problem)
            return
        try:
            self._send(conn, method, path, headers, body)
            await self._forward(call, conn)
        except exceptions.EndpointBrokenError as error:
            await self._fail(call, True, error.problem)
        except Exception as error:
            # Without an end, the attempt would run forever.
            log.emit(
                Event.GATEWAY_FAULT,
                step='call of an endpoint',
                problem=repr(error),
            )
            await self._fail(call, True, repr(error))
        finally:
            conn.abort()

    async def _open(self):
        return await http_connection.open_connection(
            self._address, CONNECT_TIMEOUT_S
        )

    def _send(self, conn, method, path, headers, body):
        headers = {'Host': self._address, 'Connection': 'close', **headers}
        if body or method not in BODILESS_METHODS:
            headers['Content-Length'] = str(len(body))
        try:
            conn.send_request(method, path, list(headers.items()), body)
        except h11.LocalProtocolError as error:
            raise exceptions.EndpointBrokenError(
                f'the request is not valid HTTP: {error}'
            ) from error

    async def _forward(self, call, conn):
        """Report a response as events, from the offset of the call on."""
        attempt_id = call.attempt_id
        head = await conn.next_event()
        headers = dict(head.headers)
        self._sink(
            messages.EndpointNamedLimit(attempt_id, _read_limit(headers))
        )
        content_type = headers.get(b'content-type', b'').decode('latin-1')
        call.check_head(head.status_code, content_type)
        skip = call.offset or 0
        body = _Body(conn.ends_response(head), content_type)
        while isinstance(event := await conn.next_event(), h11.Data):
            data = bytes(event.data)
            body.add(data)
            added, skip = data[skip:], max(skip - len(data), 0)
            if added:
                tokens = body.count_tokens(added)
                self._sink(
                    messages.EndpointData(
                        attempt_id, added, tokens, call.streamed
                    )
                )
        body.check_complete()
        if skip:
            raise exceptions.EndpointBrokenError(
                'the resumed stream ends before its offset'
            )
        self._sink(
            messages.EndpointEnded(attempt_id, head.status_code, content_type)
        )

    async def _fail(self, call, sent, problem):
        self._sink(messages.EndpointProbed(await self.probe()))
        self._sink(
            messages.EndpointFailed(
                call.attempt_id, sent, problem, call.resumable
            )
        )


def _read_limit(headers):
    """Return the limit that a response names, as in EndpointNamedLimit."""
    if REQUEST_LIMIT not in headers:
        return pacing.UNLIMITED
    return pacing.read_rate(headers[REQUEST_LIMIT])


class ModelEngineClient(EndpointClient):
    """Call a model engine, which can resume and cancel streams."""

    async def resume(self, attempt_id, offset):
        """Read a retained stream from its start and skip to the offset."""
        path = f'/v1/streams/{attempt_id}'
        call = _Call(attempt_id, True, offset)
        await self._call(call, 'GET', path, {}, b'')

    async def cancel(self, attempt_id):
        """Cancel a stream; errors are ignored."""
        path = f'/v1/streams/{attempt_id}/cancel'
        with contextlib.suppress(*PROBE_ERRORS):
            await self._request('POST', path, b'{}')

    async def list_streams(self):
        """Return the stream ids of the engine, or None without a list."""
        try:
            response = await self._request(
                'GET', '/v1/streams', max_bytes=MAX_LIST_BYTES
            )
            listed = json_text.parse(response.body)
            return frozenset(listed['streams'])
        except (*PROBE_ERRORS, ValueError, KeyError, TypeError):
            return None


class PlainServiceClient(EndpointClient):
    """Call a plain service, which cannot resume or cancel."""

    async def resume(self, attempt_id, offset):
        """Report the call as failed."""
        await self._fail(
            _Call(attempt_id, False),
            True,
            'the call failed and a plain service cannot resume it',
        )

    async def cancel(self, attempt_id):
        """Do nothing; the call runs to its end."""

    async def list_streams(self):
        """Return an empty set."""
        return frozenset()

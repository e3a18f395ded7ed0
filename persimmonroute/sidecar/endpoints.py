"""Call a sidecar's endpoint over HTTP."""

from __future__ import annotations

import abc
import asyncio
import json

import aiosonic
from aiosonic import exceptions as http_exceptions
from aiosonic import timeout as http_timeout

from persimmonroute import exceptions
from persimmonroute.sidecar import messages

CONNECT_TIMEOUT_S = 1.0
PROBE_TIMEOUT_S = 2.0
STATUS_OK = 200
TOKEN_EVENT_PREFIX = b'data: {'
CALL_TIMEOUTS = http_timeout.Timeouts(
    sock_connect=CONNECT_TIMEOUT_S,
    sock_read=None,
    pool_acquire=None,
    request_timeout=None,
)
PROBE_TIMEOUTS = http_timeout.Timeouts(
    sock_connect=CONNECT_TIMEOUT_S,
    sock_read=PROBE_TIMEOUT_S,
    request_timeout=PROBE_TIMEOUT_S,
)
CONNECT_ERRORS = (http_exceptions.ConnectTimeout, ConnectionRefusedError)
CALL_ERRORS = (
    OSError,
    ValueError,
    asyncio.IncompleteReadError,
    http_exceptions.BaseTimeout,
    http_exceptions.HttpParsingError,
    http_exceptions.ConnectionDisconnected,
)


class EndpointClient(abc.ABC):
    """Send attempts to one endpoint and report events to a sink."""

    def __init__(self, address, sink):
        self._base = f'http://{address}'
        self._sink = sink
        self._client = aiosonic.HTTPClient()
        self._probe_client = aiosonic.HTTPClient()

    async def run(self, attempt_id, offer):
        """Send a request and report its response as events."""
        headers = {
            'Content-Type': 'application/json',
            'X-Request-Id': attempt_id,
        }
        await self._call(
            attempt_id, offer.method, offer.path, headers, offer.body
        )

    async def probe(self):
        """Return whether the endpoint responds to a health check."""
        try:
            response = await self._probe_client.request(
                f'{self._base}/health', timeouts=PROBE_TIMEOUTS
            )
            await response.content()
        except CALL_ERRORS:
            return False
        return True

    async def close(self):
        """Close all connections."""
        await self._client.aclose()
        await self._probe_client.aclose()

    @abc.abstractmethod
    async def resume(self, attempt_id, offset):
        """Resume an interrupted stream at a byte offset."""

    @abc.abstractmethod
    async def cancel(self, attempt_id):
        """Cancel a request in flight."""

    @abc.abstractmethod
    async def list_streams(self):
        """Return the attempt ids whose streams the endpoint retains."""

    async def _call(self, attempt_id, method, path, headers, body, skip=0):
        # A new connection for each call, since aiosonic sends a request
        # again when a reused connection drops.
        headers = {**headers, 'Connection': 'close'}
        try:
            await self._exchange(attempt_id, method, path, headers, body, skip)
        except CONNECT_ERRORS as error:
            await self._fail(attempt_id, False, f'not connected: {error!r}')
        except CALL_ERRORS as error:
            await self._fail(attempt_id, True, f'broken off: {error!r}')
        except exceptions.EndpointBrokenError as error:
            await self._fail(attempt_id, True, error.problem)

    async def _exchange(self, attempt_id, method, path, headers, body, skip):
        response = await self._client.request(
            self._base + path,
            method=method,
            headers=headers,
            data=body or None,
            timeouts=CALL_TIMEOUTS,
            stream=True,
        )
        status = response.status_code
        if skip and status != STATUS_OK:
            raise exceptions.EndpointBrokenError(
                'the engine no longer has the stream'
            )
        content_type = response.headers.get('content-type', '')
        streamed = 'event-stream' in content_type
        async for data in response.read_chunks():
            added, skip = data[skip:], max(skip - len(data), 0)
            if added:
                tokens = added.count(TOKEN_EVENT_PREFIX) if streamed else 0
                self._sink(messages.EndpointData(attempt_id, added, tokens))
        self._sink(messages.EndpointEnded(attempt_id, status, content_type))

    async def _fail(self, attempt_id, sent, problem):
        self._sink(messages.EndpointProbed(await self.probe()))
        self._sink(messages.EndpointFailed(attempt_id, sent, problem))


class ModelEngineClient(EndpointClient):
    """Call a model engine, which can resume and cancel streams."""

    async def resume(self, attempt_id, offset):
        """Read a retained stream from its start and skip to the offset."""
        path = f'/v1/streams/{attempt_id}'
        await self._call(attempt_id, 'GET', path, {}, b'', skip=offset)

    async def cancel(self, attempt_id):
        """Cancel a stream; errors are ignored."""
        try:
            response = await self._probe_client.request(
                f'{self._base}/v1/streams/{attempt_id}/cancel',
                method='POST',
                data=b'{}',
                timeouts=PROBE_TIMEOUTS,
            )
            await response.content()
        except CALL_ERRORS:
            return

    async def list_streams(self):
        """Return the stream ids of the engine; none if it does not respond."""
        try:
            response = await self._probe_client.request(
                f'{self._base}/v1/streams', timeouts=PROBE_TIMEOUTS
            )
            listed = json.loads(await response.content())
        except CALL_ERRORS:
            return frozenset()
        return frozenset(listed['streams'])


class PlainServiceClient(EndpointClient):
    """Call a plain service, which cannot resume or cancel."""

    async def resume(self, attempt_id, offset):
        """Report the call as failed."""
        await self._fail(
            attempt_id,
            True,
            'the call failed and a plain service cannot resume it',
        )

    async def cancel(self, attempt_id):
        """Do nothing; the call runs to its end."""

    async def list_streams(self):
        """Return an empty set."""
        return frozenset()

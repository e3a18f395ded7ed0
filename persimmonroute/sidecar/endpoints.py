"""Call the endpoint beside a sidecar over HTTP."""

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
TOKEN_MARK = b'data: {'
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
UNSENT_ERRORS = (http_exceptions.ConnectTimeout, ConnectionRefusedError)
BROKEN_ERRORS = (
    OSError,
    ValueError,
    asyncio.IncompleteReadError,
    http_exceptions.BaseTimeout,
    http_exceptions.HttpParsingError,
    http_exceptions.ConnectionDisconnected,
)


class EndpointClient(abc.ABC):
    """Run attempts at one endpoint and report events to a sink."""

    def __init__(self, address, sink):
        self._base = f'http://{address}'
        self._sink = sink
        self._client = aiosonic.HTTPClient()
        self._probe_client = aiosonic.HTTPClient()

    async def run(self, attempt_id, offer):
        """Send a request and report its answer."""
        headers = {
            'Content-Type': 'application/json',
            'X-Request-Id': attempt_id,
        }
        await self._call(
            attempt_id, offer.method, offer.path, headers, offer.body
        )

    async def probe(self):
        """Tell whether the endpoint accepts connections and answers."""
        try:
            response = await self._probe_client.request(
                f'{self._base}/health', timeouts=PROBE_TIMEOUTS
            )
            await response.content()
        except BROKEN_ERRORS:
            return False
        return True

    async def close(self):
        """Close all connections."""
        await self._client.aclose()
        await self._probe_client.aclose()

    @abc.abstractmethod
    async def resume(self, attempt_id, offset):
        """Read on a stream that broke off at a byte offset."""

    @abc.abstractmethod
    async def cancel(self, attempt_id):
        """Stop a request in progress."""

    @abc.abstractmethod
    async def list_streams(self):
        """Return the attempts whose streams the endpoint keeps."""

    async def _call(self, attempt_id, method, path, headers, body, skip=0):
        # A fresh connection for each call keeps the library from sending
        # a request again after a reused connection dropped.
        headers = {**headers, 'Connection': 'close'}
        try:
            await self._exchange(attempt_id, method, path, headers, body, skip)
        except UNSENT_ERRORS as error:
            await self._fail(attempt_id, False, f'not connected: {error!r}')
        except BROKEN_ERRORS as error:
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
            raise exceptions.EndpointBrokenError('the engine lost the stream')
        kind = response.headers.get('content-type', '')
        streamed = 'event-stream' in kind
        async for data in response.read_chunks():
            fresh, skip = data[skip:], max(skip - len(data), 0)
            if fresh:
                tokens = fresh.count(TOKEN_MARK) if streamed else 0
                self._sink(messages.EndpointData(attempt_id, fresh, tokens))
        self._sink(messages.EndpointEnded(attempt_id, status, kind))

    async def _fail(self, attempt_id, sent, problem):
        self._sink(messages.EndpointProbed(await self.probe()))
        self._sink(messages.EndpointFailed(attempt_id, sent, problem))


class ModelEngineClient(EndpointClient):
    """Call a model engine, which resumes and cancels streams."""

    async def resume(self, attempt_id, offset):
        """Read a kept stream again and skip what is known."""
        path = f'/v1/streams/{attempt_id}'
        await self._call(attempt_id, 'GET', path, {}, b'', skip=offset)

    async def cancel(self, attempt_id):
        """Cancel a stream."""
        try:
            response = await self._probe_client.request(
                f'{self._base}/v1/streams/{attempt_id}/cancel',
                method='POST',
                data=b'{}',
                timeouts=PROBE_TIMEOUTS,
            )
            await response.content()
        except BROKEN_ERRORS:
            return

    async def list_streams(self):
        """Ask the engine for its streams."""
        try:
            response = await self._probe_client.request(
                f'{self._base}/v1/streams', timeouts=PROBE_TIMEOUTS
            )
            listed = json.loads(await response.content())
        except BROKEN_ERRORS:
            return frozenset()
        return frozenset(listed['streams'])


class PlainServiceClient(EndpointClient):
    """Call a plain service, which keeps no streams."""

    async def resume(self, attempt_id, offset):
        """Report that the answer is lost."""
        await self._fail(attempt_id, True, 'the service broke off the answer')

    async def cancel(self, attempt_id):
        """Leave the call to end by itself."""

    async def list_streams(self):
        """Return nothing."""
        return frozenset()

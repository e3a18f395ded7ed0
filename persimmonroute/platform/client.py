"""Call the platform's table service and instance list over HTTP."""

from __future__ import annotations

import abc
import json

import aiosonic
from aiosonic import exceptions as http_exceptions
from aiosonic import timeout as http_timeout

from persimmonroute import exceptions
from persimmonroute import store
from persimmonroute.store import StoreStatus

CONNECT_TIMEOUT_S = 1.0
REQUEST_TIMEOUT_S = 2.0
STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 409
HTTP_ERRORS = (
    OSError,
    ValueError,
    TimeoutError,
    http_exceptions.BaseTimeout,
    http_exceptions.HttpParsingError,
    http_exceptions.ConnectionDisconnected,
)


class TableService(abc.ABC):
    """Keep rows that outlive a process."""

    @abc.abstractmethod
    async def transact(self, writes):
        """Return a StoreReply to writes that take effect all or none."""

    @abc.abstractmethod
    async def read(self, table, key):
        """Return a StoreReply with the row of a key."""

    @abc.abstractmethod
    async def scan(self, table, prefix):
        """Return a StoreReply with the rows whose keys have a prefix."""


class HttpPlatform(TableService):
    """Reach the platform at one address."""

    def __init__(self, address):
        self._base = f'http://{address}/v1'
        self._client = aiosonic.HTTPClient()
        self._timeouts = http_timeout.Timeouts(
            sock_connect=CONNECT_TIMEOUT_S,
            sock_read=REQUEST_TIMEOUT_S,
            request_timeout=REQUEST_TIMEOUT_S,
        )

    async def transact(self, writes):
        """Write rows in one transaction."""
        body = {'writes': [write._asdict() for write in writes]}
        try:
            status, answer = await self._call('POST', '/transact', body)
        except exceptions.PlatformUnavailableError:
            return store.StoreReply(StoreStatus.FAILED)
        if status == STATUS_CONFLICT:
            return store.StoreReply(StoreStatus.CONFLICT, _rows(answer))
        return store.StoreReply(StoreStatus.COMMITTED, _rows(answer))

    async def read(self, table, key):
        """Read one row; version 0 stands for no row."""
        return await self._find(f'/tables/{table}/rows?key={key}')

    async def scan(self, table, prefix):
        """Read the rows whose keys have a prefix, in order of keys."""
        return await self._find(f'/tables/{table}/rows?prefix={prefix}')

    async def list_instances(self):
        """Return the platform's list of instances as JSON objects."""
        _, answer = await self._call('GET', '/instances')
        return answer['instances']

    async def close(self):
        """Close all connections."""
        await self._client.aclose()

    async def _find(self, path):
        try:
            _, answer = await self._call('GET', path)
        except exceptions.PlatformUnavailableError:
            return store.StoreReply(StoreStatus.FAILED)
        return store.StoreReply(StoreStatus.FOUND, _rows(answer))

    async def _call(self, method, path, body=None):
        data = None if body is None else json.dumps(body).encode()
        headers = {'Content-Type': 'application/json'}
        try:
            response = await self._client.request(
                self._base + path,
                method=method,
                headers=headers,
                data=data,
                timeouts=self._timeouts,
            )
            answer = json.loads(await response.content())
        except HTTP_ERRORS as error:
            raise exceptions.PlatformUnavailableError(
                f'{method} {path} failed: {error!r}'
            ) from error
        if response.status_code not in (STATUS_OK, STATUS_CONFLICT):
            raise exceptions.PlatformUnavailableError(
                f'{method} {path} gave status {response.status_code}'
            )
        return response.status_code, answer


def _rows(answer):
    return tuple(
        store.Row(row['key'], row['value'], row['version'])
        for row in answer['rows']
    )

"""Talk to the entries that the platform lists."""

from __future__ import annotations

import asyncio
import contextlib
import json
import typing

import aiosonic
from aiosonic import timeout as http_timeout

from persimmonroute import exceptions
from persimmonroute.platform import client

TIMEOUTS = http_timeout.Timeouts(
    sock_connect=1.0, sock_read=2.0, request_timeout=3.0
)


class EntryStatus(typing.NamedTuple):
    """Hold what one entry reports of itself; None if unreachable."""

    instance: str
    report: dict | None


class EntryClient:
    """Call the administrative paths of all entries."""

    def __init__(self, platform):
        self._platform = platform
        self._http = aiosonic.HTTPClient()

    async def fetch_statuses(self):
        """Return the EntryStatus of each entry."""
        entries = await self._list()
        return await asyncio.gather(*(self._ask(item) for item in entries))

    async def push_all(self, revision):
        """Bring an accepted revision to all entries."""
        with contextlib.suppress(exceptions.PlatformUnavailableError):
            entries = await self._list()
            await asyncio.gather(
                *(self._push(item, revision) for item in entries)
            )

    async def close(self):
        """Close all connections."""
        await self._http.aclose()

    async def _list(self):
        listed = await self._platform.list_instances()
        return [item for item in listed if item['kind'] == 'entry']

    async def _ask(self, item):
        url = f'http://{item["address"]}/admin/v1/status'
        try:
            answer = await self._http.get(url, timeouts=TIMEOUTS)
            report = json.loads(await answer.content())
        except client.HTTP_ERRORS:
            report = None
        return EntryStatus(item['name'], report)

    async def _push(self, item, revision):
        base = f'http://{item["address"]}/admin/v1/configuration'
        url = f'{base}/{revision.number}'
        # An entry that is not reached reads the configuration by itself.
        with contextlib.suppress(*client.HTTP_ERRORS):
            answer = await self._http.post(
                url, data=revision.to_bytes(), timeouts=TIMEOUTS
            )
            await answer.content()


@contextlib.asynccontextmanager
async def open_entry_client(platform):
    """Own an EntryClient for as long as the context lasts."""
    entries = EntryClient(platform)
    try:
        yield entries
    finally:
        await entries.close()

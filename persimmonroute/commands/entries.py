"""Call the administrative API of the entries of a platform."""

from __future__ import annotations

import asyncio
import contextlib
import typing

import aiosonic
from aiosonic import timeout as http_timeout

from persimmonroute import exceptions
from persimmonroute import json_text
from persimmonroute.platform import client

TIMEOUTS = http_timeout.Timeouts(
    sock_connect=1.0, sock_read=2.0, request_timeout=3.0
)


class EntryStatus(typing.NamedTuple):
    """Store the status report of one entry; None if unreachable."""

    instance: str
    report: dict | None


class EntryClient:
    """Call the administrative API of all entries."""

    def __init__(self, platform):
        self._platform = platform
        self._http = aiosonic.HTTPClient()

    async def fetch_statuses(self):
        """Fetch the EntryStatus of every entry concurrently."""
        entries = await self._list_entries()
        return await asyncio.gather(
            *(self._fetch_status(entry) for entry in entries)
        )

    async def push_all(self, revision):
        """Send an accepted revision to all entries, ignoring failures."""
        with contextlib.suppress(exceptions.PlatformUnavailableError):
            entries = await self._list_entries()
            await asyncio.gather(
                *(self._push(entry, revision) for entry in entries)
            )

    async def close(self):
        """Close all connections."""
        await self._http.aclose()

    async def _list_entries(self):
        instances = await self._platform.list_instances()
        return [item for item in instances if item['kind'] == 'entry']

    async def _fetch_status(self, entry):
        url = f'http://{entry["address"]}/admin/v1/status'
        try:
            response = await self._http.get(url, timeouts=TIMEOUTS)
            report = json_text.parse(await response.content())
        except client.HTTP_ERRORS:
            report = None
        return EntryStatus(entry['name'], report)

    async def _push(self, entry, revision):
        base = f'http://{entry["address"]}/admin/v1/configuration'
        url = f'{base}/{revision.number}'
        # An entry that cannot be reached polls the store for the revision.
        with contextlib.suppress(*client.HTTP_ERRORS):
            response = await self._http.post(
                url, data=revision.to_bytes(), timeouts=TIMEOUTS
            )
            await response.content()


@contextlib.asynccontextmanager
async def open_entry_client(platform):
    """Yield an EntryClient and close it at the end of the context."""
    entries = EntryClient(platform)
    try:
        yield entries
    finally:
        await entries.close()

"""Stand in for the platform's load balancer in front of entries."""

from __future__ import annotations

import asyncio
import contextlib

import aiosonic

from persimmonroute.platform import client

POLL_PERIOD_S = 0.2
STATUS_READY = 200


class Balancer:
    """Pick ready entries round-robin."""

    def __init__(self, entries):
        self._entries = list(entries)
        self._ready = list(entries)
        self._next = 0
        self._http = aiosonic.HTTPClient()

    def pick(self):
        """Return the next ready entry, or any entry if none is ready."""
        self._next += 1
        ready = self._ready or self._entries
        return ready[self._next % len(ready)]

    async def watch(self):
        """Poll the readiness of all entries."""
        while True:
            self._ready = [
                entry
                for entry in self._entries
                if await self._check_ready(entry)
            ]
            await asyncio.sleep(POLL_PERIOD_S)

    async def close(self):
        """Close all connections."""
        await self._http.aclose()

    async def _check_ready(self, entry):
        try:
            response = await self._http.get(f'http://{entry}/ready')
            await response.content()
        except client.HTTP_ERRORS:
            return False
        return response.status_code == STATUS_READY


@contextlib.asynccontextmanager
async def run_balancer(entries):
    """Run a balancer within a context."""
    balancer = Balancer(entries)
    watcher = asyncio.create_task(balancer.watch())
    try:
        yield balancer
    finally:
        watcher.cancel()
        await balancer.close()

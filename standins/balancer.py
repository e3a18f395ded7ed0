"""Stand in for the platform's balancer before the entries."""

from __future__ import annotations

import asyncio
import contextlib

import aiosonic

from persimmonroute.platform import client

PERIOD_S = 0.2
STATUS_READY = 200


class Balancer:
    """Hand out the entries that say they are ready, in turn."""

    def __init__(self, entries):
        self._entries = list(entries)
        self._ready = list(entries)
        self._turn = 0
        self._http = aiosonic.HTTPClient()

    def pick(self):
        """Return the address of the next ready entry."""
        self._turn += 1
        ready = self._ready or self._entries
        return ready[self._turn % len(ready)]

    async def watch(self):
        """Ask every entry again and again whether it is ready."""
        while True:
            self._ready = [
                entry for entry in self._entries if await self._ask(entry)
            ]
            await asyncio.sleep(PERIOD_S)

    async def close(self):
        """Close all connections."""
        await self._http.aclose()

    async def _ask(self, entry):
        try:
            answer = await self._http.get(f'http://{entry}/ready')
            await answer.content()
        except client.HTTP_ERRORS:
            return False
        return answer.status_code == STATUS_READY


@contextlib.asynccontextmanager
async def run_balancer(entries):
    """Run a balancer for as long as the context lasts."""
    balancer = Balancer(entries)
    watching = asyncio.create_task(balancer.watch())
    try:
        yield balancer
    finally:
        watching.cancel()
        await balancer.close()

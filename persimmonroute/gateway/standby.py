"""Look for another endpoint while that of a request is silent."""

from __future__ import annotations

import asyncio
import contextlib

from persimmonroute import timeouts


class Standby:
    """Read from an endpoint, and search for another while it is silent.

    Silence alone ends no attempt: the endpoint is left only for another one
    that can be sent to at once.
    """

    def __init__(self, search, discard, on_silent):
        # Coroutine function that returns a Place.
        self._search = search
        self._discard = discard
        self._on_silent = on_silent
        self._searching = None

    @property
    def searching(self):
        """Return whether the endpoint is silent."""
        return self._searching is not None

    async def read(self, read, limit_s, find_extension_s=lambda: 0.0):
        """Return what read returns, or a Place to use instead.

        A search begins after limit_s without a result; None for no limit. It
        goes on until stop() is called. read may be cancelled and called again.
        """
        if self._searching is None:
            try:
                async with timeouts.timeout(limit_s, find_extension_s):
                    return await read()
            except TimeoutError:
                self._on_silent()
                self._searching = asyncio.create_task(self._search())
        return await self._read_or_replace(read)

    def stop(self):
        """End the search, as the endpoint goes on or the request ends."""
        searching, self._searching = self._searching, None
        if searching is not None:
            searching.cancel()
            searching.add_done_callback(self._discard_found)

    async def close(self):
        """End the search, and wait until it holds nothing any more."""
        searching = self._searching
        self.stop()
        if searching is not None:
            await asyncio.wait((searching,))

    def _discard_found(self, searching):
        if not searching.cancelled():
            self._discard(searching.result())

    async def _read_or_replace(self, read):
        reading = asyncio.create_task(read())
        try:
            while True:
                await asyncio.wait(
                    (reading, self._searching),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if reading.done():
                    return reading.result()
                searching, self._searching = self._searching, None
                place = searching.result()
                if place.valid:
                    return place
                # This process stood still since the grant.
                self._discard(place)
                self._searching = asyncio.create_task(self._search())
        finally:
            reading.cancel()


@contextlib.asynccontextmanager
async def stand_by(search, discard, on_silent):
    """Yield a Standby whose search ends with the body."""
    standby = Standby(search, discard, on_silent)
    try:
        yield standby
    finally:
        await standby.close()

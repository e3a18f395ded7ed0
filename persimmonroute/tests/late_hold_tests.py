"""Test what comes after the end of a stop's open requests."""

from __future__ import annotations

import asyncio
import unittest

from persimmonroute import draining

# Longer than a request that is timed out at once, in seconds.
LIMIT_S = 0.5


class LateHoldTests(unittest.IsolatedAsyncioTestCase):
    """Hold requests before and after the end."""

    async def _is_ended(self, ended_before):
        requests = draining.OpenRequests()
        if ended_before:
            requests.end_all()
        try:
            async with asyncio.timeout(None) as limit:
                with requests.hold(limit):
                    if not ended_before:
                        requests.end_all()
                    await asyncio.sleep(LIMIT_S)
        except TimeoutError:
            return True
        return False

    async def test_request_before_the_end_is_ended(self):
        """All that is open is timed out."""
        self.assertTrue(await self._is_ended(ended_before=False))

    async def test_request_after_the_end_is_ended(self):
        """Guards against late bodies that the server cuts off with 500."""
        self.assertTrue(await self._is_ended(ended_before=True))

"""Test what comes at the very end of a short grace period."""

from __future__ import annotations

import asyncio
import time

from persimmonroute.tests.gateway import late_send_tests

GRACE_S = 2
# After the open requests of such a stop were ended, and before its
# connections are closed.
AFTER_END_S = 1.15


class ShortStopTests(late_send_tests.LateSendCase):
    """Use connections that were open before the signal."""

    async def test_body_that_is_late_after_the_end_has_not_run(self):
        """Guards against 500 for a request that was never read whole."""
        await self.deployment.add_gateway(stop_grace_s=GRACE_S)
        host, _, port = self.deployment.settings[1].address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        await asyncio.sleep(0.1)
        self.stopped_at = time.monotonic()
        self.deployment.stop_events[1].set()
        await asyncio.sleep(AFTER_END_S)
        writer.write(late_send_tests.PARTIAL_REQUEST)
        answer = await reader.read()
        self.assertNotIn(b' 500 ', answer[:32])
        if answer:
            self.assertTrue(answer.startswith(b'HTTP/1.1 503'), answer)

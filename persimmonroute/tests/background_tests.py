"""Test that periodic tasks outlive their errors."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from persimmonroute import background


class RunForeverTests(unittest.IsolatedAsyncioTestCase):
    """Run a task that fails."""

    async def test_task_that_fails_begins_again(self):
        """Guards against loops that end silently at their first error."""
        runs = []

        async def fail():
            runs.append(None)
            raise RecursionError('maximum recursion depth exceeded')

        with mock.patch.object(background, 'RESTART_DELAY_S', 0.001):
            task = asyncio.create_task(background.run_forever(fail))
            await asyncio.sleep(0.05)
            task.cancel()
        self.assertGreater(len(runs), 2)

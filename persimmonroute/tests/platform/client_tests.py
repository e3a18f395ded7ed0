"""Test how entries and operators read rows of other writers."""

from __future__ import annotations

import json
import unittest

from persimmonroute.platform import client
from persimmonroute.platform import tables
from persimmonroute.store import StoreStatus

SOUND = {
    'name': 'llm-1',
    'kind': 'endpoint',
    'service': 'llm',
    'region': 'riga',
    'failure_domain': 'riga-a',
    'address': '10.1.0.7:8126',
    'sidecar': '10.1.0.7:8127',
    'state': 'live',
}
NESTED = b'[' * 60_000
ODD_VALUES = (
    b'',
    NESTED,
    b'{"name": "x"}',
    b'3',
    b'9' * 60_000,
    json.dumps({**SOUND, 'sidecar': 7}).encode(),
    json.dumps({**SOUND, 'service': ['llm']}).encode(),
)


class FakeTables:
    """Return the same rows for each call."""

    def __init__(self, values):
        self._rows = tuple(
            tables.TableRow('instances', '', str(number), value, 1)
            for number, value in enumerate(values)
        )

    async def read(self, table, part='', start=None, end=None):
        """Return all rows."""
        return tables.Page(self._rows, 1, 0.0)


class HttpPlatformTests(unittest.IsolatedAsyncioTestCase):
    """Read tables that hold unreadable rows."""

    def _platform(self, *values):
        platform = client.HttpPlatform('127.0.0.1:1')
        platform._tables = FakeTables(values)
        return platform

    async def test_odd_instances_do_not_hide_the_others(self):
        """Guards against an entry that stops reading the list for good."""
        sound = json.dumps(SOUND).encode()
        platform = self._platform(*ODD_VALUES, sound)
        self.assertEqual(await platform.list_instances(), [SOUND])

    async def test_unreadable_row_is_not_taken_for_a_missing_one(self):
        """A claim that cannot be read must not be made again."""
        for value in (b'', NESTED):
            reply = await self._platform(value).read('claims', '0')
            self.assertEqual(reply.status, StoreStatus.FAILED)

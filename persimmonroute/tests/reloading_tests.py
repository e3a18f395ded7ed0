"""Test that settings are reloaded while a process runs."""

from __future__ import annotations

import asyncio
import json
import os
import tempfile
import unittest
from unittest import mock

from persimmonroute.config import settings as settings_module
from persimmonroute.gateway import server
from persimmonroute import reloading
from standins import gateway_fixtures as fixtures

DOCUMENT = {
    'role': 'gateway',
    'instance': 'gateway-1',
    'region': 'riga',
    'failure_domain': 'riga-a',
    'address': '127.0.0.1:7001',
    'ready_address': '127.0.0.1:7002',
    'metrics_address': '127.0.0.1:7003',
    'peer_address': '127.0.0.1:7004',
    'control_address': '127.0.0.1:7005',
    'platform': '127.0.0.1:7000',
    'regions': {'riga-a': 'riga'},
}


class ReloadTests(unittest.TestCase):
    """Change the settings file of a gateway."""

    def setUp(self):
        """Create a reloader for a valid settings file."""
        file = tempfile.NamedTemporaryFile('w', suffix='.json', delete=False)
        self.addCleanup(os.unlink, file.name)
        file.close()
        self.path = file.name
        self._write(DOCUMENT)
        self.board = fixtures.board()
        loaded = settings_module.load_settings(self.path)
        process = server.GatewayServer(
            self.board, None, None, None, (), loaded, None
        )
        self.reloader = reloading.SettingsReloader(
            self.path,
            loaded,
            process,
            reloading.read_file_version(self.path),
        )

    def _write(self, document):
        with open(self.path, 'w', encoding='utf-8') as file:
            json.dump(document, file)

    def test_changed_bounds_are_applied(self):
        """Changed bounds are applied without a restart."""
        self._write({**DOCUMENT, 'revocation_s': 9, 'quota_slack': 77})
        self.reloader.reload()
        self.assertEqual(self.board.bounds.revocation_s, 9)
        self.assertEqual(self.board.bounds.quotas.slack, 77)

    def test_invalid_settings_change_nothing(self):
        """An invalid file leaves the previous settings in effect."""
        before = self.board.bounds
        for text in ('{', '{}', json.dumps({**DOCUMENT, 'colour': 1})):
            with self.subTest(text=text):
                with open(self.path, 'w', encoding='utf-8') as file:
                    file.write(text)
                self.reloader.reload()
                self.assertEqual(self.board.bounds, before)

    def test_change_during_the_start_is_read(self):
        """Guards against settings that change while a process is built."""
        before = reloading.read_file_version(self.path)
        loaded = settings_module.load_settings(self.path)
        self._write({**DOCUMENT, 'revocation_s': 11})
        process = server.GatewayServer(
            self.board, None, None, None, (), loaded, None
        )
        reloader = reloading.SettingsReloader(
            self.path, loaded, process, before
        )

        async def watch():
            task = asyncio.create_task(reloader.watch())
            await asyncio.sleep(0.05)
            task.cancel()

        with mock.patch.object(reloading, 'POLL_INTERVAL_S', 0.01):
            asyncio.run(watch())
        self.assertEqual(self.board.bounds.revocation_s, 11)

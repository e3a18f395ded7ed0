"""Test TLS between entries and sidecars."""

from __future__ import annotations

import asyncio
import pathlib
import socket
import tempfile
import unittest

from persimmonroute import composition
from persimmonroute.config import settings as settings_module
from persimmonroute.entry import board as boards
from persimmonroute.entry import links
from persimmonroute.entry import messages
from standins import callers
from standins import certificates

DEPLOYMENT = 'baltkomponents'
TIMEOUT_S = 30.0
FAILED_CONNECTIONS = 2


class StubEndpointClient:
    """Replace an endpoint client whose endpoint is not needed."""

    def __init__(self, sink):
        self._sink = sink

    async def list_streams(self):
        """Return no streams."""
        return frozenset()

    async def probe(self):
        """Report the endpoint as up."""
        return True

    async def close(self):
        """Do nothing."""


class TlsTests(unittest.IsolatedAsyncioTestCase):
    """Connect to a TLS sidecar with various certificates."""

    async def asyncSetUp(self):
        """Start a sidecar with TLS."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.authority = certificates.Authority()
        self.sidecar_tls = self.authority.write(
            self.folder / 'sidecar', 'sidecar', DEPLOYMENT
        )
        with socket.socket() as listener:
            listener.bind(('127.0.0.1', 0))
            self.address = f'127.0.0.1:{listener.getsockname()[1]}'
        checked, problems = settings_module.check_settings(
            {
                'role': 'sidecar',
                'instance': 's',
                'address': self.address,
                'region': 'riga',
                'failure_domain': 'riga-a',
                'endpoint': '127.0.0.1:9',
                'endpoint_kind': 'model',
                'service': 'llm-pool',
                'deployment': DEPLOYMENT,
                'tls_certificate': self.sidecar_tls.certificate,
                'tls_key': self.sidecar_tls.key,
                'tls_authority': self.sidecar_tls.authority,
            }
        )
        self.assertEqual(problems, [])
        core = composition.build_sidecar_core('s', 'llm-pool', 'model')
        shell = composition.sidecar_shells.SidecarShell(
            core, checked, StubEndpointClient
        )
        stop = asyncio.Event()
        running = asyncio.create_task(shell.run(stop))

        async def end():
            stop.set()
            await running

        self.addAsyncCleanup(end)

    async def _connects(self, tls_settings):
        """Return whether a link opens before it has failed twice."""
        opened = []

        def sink(event):
            if isinstance(event, messages.LinkOpened):
                opened.append(event)

        board = boards.EntryBoard('e', boards.Locality('riga', 'riga-a'))
        link = links.SidecarLink(board, 's', self.address, sink, tls_settings)

        async def decided():
            return opened or link.failed_connections >= FAILED_CONNECTIONS

        try:
            await callers.wait_until(decided, TIMEOUT_S)
        finally:
            link.close()
        return bool(opened)

    async def test_entry_of_the_deployment(self):
        """An entry with a certificate of the deployment connects."""
        files = self.authority.write(
            self.folder / 'entry', 'entry', DEPLOYMENT
        )
        self.assertTrue(await self._connects(files))

    async def test_unknown_authority(self):
        """A certificate of another authority is refused."""
        other = certificates.Authority('stranger')
        files = other.write(self.folder / 'entry', 'entry', DEPLOYMENT)
        files = files._replace(authority=self.sidecar_tls.authority)
        self.assertFalse(await self._connects(files))

    async def test_expired_certificate(self):
        """An expired certificate is refused."""
        files = self.authority.write(
            self.folder / 'entry', 'entry', DEPLOYMENT, expired=True
        )
        self.assertFalse(await self._connects(files))

    async def test_entry_of_another_deployment(self):
        """A certificate of another deployment is refused."""
        files = self.authority.write(
            self.folder / 'entry', 'entry', 'citas-escolares-tlaloc'
        )
        files = files._replace(deployment=DEPLOYMENT)
        self.assertFalse(await self._connects(files))

    async def test_certificate_of_another_role(self):
        """A certificate with the role of a sidecar is refused."""
        files = self.authority.write(
            self.folder / 'other', 'sidecar', DEPLOYMENT
        )
        self.assertFalse(await self._connects(files))

    async def test_without_tls(self):
        """A connection without TLS is refused."""
        self.assertFalse(await self._connects(None))

    async def test_rotation_without_restart(self):
        """A sidecar uses replaced files for new connections."""
        entry = self.folder / 'entry'
        files = self.authority.write(entry, 'entry', DEPLOYMENT)
        self.assertTrue(await self._connects(files))
        successor = certificates.Authority('successor')
        successor.write(self.folder / 'sidecar', 'sidecar', DEPLOYMENT)
        self.assertFalse(await self._connects(files))
        files = successor.write(entry, 'entry', DEPLOYMENT)
        self.assertTrue(await self._connects(files))

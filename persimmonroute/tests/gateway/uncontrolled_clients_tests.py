"""Test a gateway process under clients that do not control what they send."""

from __future__ import annotations

import asyncio
import itertools
import pathlib
import signal
import tempfile
import unittest

from standins import gateway_deployment as deployments
from standins import platform_runner
from standins import uncontrolled_clients as clients
from standins.uncontrolled_clients import Kind
from tools.soak import gateways

SOURCES = pathlib.Path(__file__).parents[3]
# What the settings state of the instance, and what the process must not
# exceed.
MEMORY_MB = 72
MAX_DESCRIPTORS = 256
MAX_BODY_BYTES = 1_048_576
LOAD_S = 4.0
# Larger than what the sockets of a connection hold.
EVENT_BYTES = 16_384
EVENTS = 2000
STRAY_CONNECTIONS = 150
PAIRS = (
    (Kind.STALLED_BODIES, Kind.TINY_CHUNKS),
    (Kind.STALLED_PIECES, Kind.ENDLESS_HEADS),
    (Kind.PIPELINED, Kind.ABANDONED),
    (Kind.UNREAD_STREAMS, Kind.WHOLE_BODIES),
    (Kind.SLOW_HEADS, Kind.TRAILERS),
    (Kind.EMPTY_LINES, Kind.CHUNK_EXTENSIONS),
)


class LongStreamRunner(platform_runner.RunnerStandIn):
    """Answer streams with many large events."""

    event_count = EVENTS
    event_pause_s = 0.0

    def make_event(self, attempt, number):
        """Return one large server-sent event."""
        return b'id: %d\ndata: %s\n\n' % (number, b'x' * EVENT_BYTES)


class UncontrolledClientsCase(unittest.IsolatedAsyncioTestCase):
    """Run one gateway process with lowered limits."""

    async def asyncSetUp(self):
        """Start the store, an endpoint and the gateway."""
        folder = tempfile.TemporaryDirectory(prefix='clients-')
        self.addCleanup(folder.cleanup)
        self.deployment = deployments.GatewayDeployment(0, gateways=0)
        self.deployment.runners = [LongStreamRunner('r0')]
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.start()
        document = deployments.configuration(2)
        document['Limits'] = {
            'MaxHeaderBytes': 16_384,
            'MaxBodyBytes': MAX_BODY_BYTES,
            'HeaderTimeoutMs': 1000,
            'IdleTimeoutMs': 5000,
        }
        self.deployment.platform.put_row('op', 'config', document)
        settings = gateways.build_initial_settings(0, ())
        settings['platform'] = self.deployment.store
        settings['memory_mb'] = MEMORY_MB
        settings['max_descriptors'] = MAX_DESCRIPTORS
        self.gateway = gateways.Gateway(
            'gateway-0', settings, folder.name, SOURCES
        )
        self.gateway.write_settings()
        self.addCleanup(self.gateway.log.close)
        self.addAsyncCleanup(self.gateway.terminate, signal.SIGKILL)
        self.gateway.start()
        await deployments.wait_ready(settings['ready_address'])
        self.profile = self._build_profile()
        self._attempts = itertools.count()

    def _build_profile(self):
        fields = (
            f'host: {deployments.HOST}\r\n'
            f'authorization: Bearer {deployments.KEY}\r\n'
            'attempt-id: ATTEMPT\r\n'
        ).encode()
        stream = b'accept: text/event-stream\r\ncontent-length: 0\r\n\r\n'
        return clients.Profile(
            self.gateway.settings['address'],
            b'POST /find/x HTTP/1.1\r\n' + fields,
            b'GET /find/x HTTP/1.1\r\n' + fields + b'\r\n',
            b'POST /draft/x HTTP/1.1\r\n' + fields + stream,
            MAX_BODY_BYTES,
        )

    async def check(self, profile, *kinds):
        """Apply a load; check the process, its use and one request."""
        watch = clients.UsageWatch(self.gateway.pid)
        async with clients.Load(profile, *kinds):
            await asyncio.sleep(LOAD_S)
        await self.check_served()
        self.check_usage(watch.stop())

    async def check_served(self):
        """Check that one ordinary request is answered."""
        response = await self.deployment.call(
            '/find/x',
            address=self.gateway.settings['address'],
            attempt=f'ordinary-{next(self._attempts)}',
        )
        self.assertEqual(response.status, 200, response.body)
        self.assertTrue(response.complete)

    def check_usage(self, usage):
        """Check what the process has used at most."""
        self.assertTrue(self.gateway.running)
        self.assertLessEqual(usage.resident_mb, MEMORY_MB, usage)
        self.assertLessEqual(usage.descriptors, MAX_DESCRIPTORS, usage)


class OneKindTests(UncontrolledClientsCase):
    """Apply the load of one kind of clients.

    Each guards against a process that ends or hangs, exceeds the memory or
    the descriptors of its instance, or serves nobody afterwards.
    """


class TwoKindsTests(UncontrolledClientsCase):
    """Apply the load of two kinds of clients at once.

    They guard against limits that hold only for each kind by itself.
    """


class StrayConnectionTests(UncontrolledClientsCase):
    """Connect to the ports for peers, metrics and readiness."""

    async def _check_port(self, name):
        address = self.gateway.settings[name]
        watch = clients.UsageWatch(self.gateway.pid)
        for kind in (Kind.ABANDONED, Kind.ENDLESS_HEADS, Kind.TINY_CHUNKS):
            profile = self.profile._replace(address=address)
            async with clients.Load(profile, kind):
                await asyncio.sleep(LOAD_S / 2)
        await deployments.wait_ready(self.gateway.settings['ready_address'])
        await self.check_served()
        self.check_usage(watch.stop())

    async def test_peer_port(self):
        """Guards against a lack of descriptors by strangers."""
        await self._check_port('control_address')

    async def test_metrics_port(self):
        """Guards against a lack of descriptors by strangers."""
        await self._check_port('metrics_address')

    async def test_readiness_port(self):
        """Guards against a probe that is not answered any more."""
        await self._check_port('ready_address')


def _add_test(case, kinds):
    """Add a test of some kinds to a case."""

    async def test(self):
        await self.check(self.profile, *kinds)

    names = '_and_'.join(kind.name.lower() for kind in kinds)
    test.__name__ = f'test_{names}'
    test.__doc__ = f'Serve beside {names.replace("_", " ")}.'
    setattr(case, test.__name__, test)


for _kind in Kind:
    _add_test(OneKindTests, (_kind,))
for _pair in PAIRS:
    _add_test(TwoKindsTests, _pair)

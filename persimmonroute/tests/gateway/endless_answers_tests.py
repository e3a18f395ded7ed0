"""Test a gateway process whose endpoints write bytes without end."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import signal
import tempfile
import time
import unittest

from standins import endless_endpoint
from standins import gateway_deployment as deployments
from standins import uncontrolled_clients as clients
from tools.soak import gateways
from tools.soak import proxy

SOURCES = pathlib.Path(__file__).parents[3]
# What the settings state of the instance, and what the process must not
# exceed.
MEMORY_MB = 128
ENDPOINTS = 12
ENDLESS_ENDPOINTS = 8
CALLERS = 60
MANY_CALLERS = 200
# A caller leaves after so many bytes, and comes again.
LEAVE_AFTER_BYTES = 300_000
# Those that took most memory or time.
MOST_COSTLY = ('failure', 'body', 'chunks', 'tiny_chunks')
LOAD_S = 2.5
# Bytes that calls to the store read at least.
READ_BYTES = 4_000_000
CALL_TIMEOUT_S = 3.0
PROBE_PAUSE_S = 0.1
# Requests to the endpoint of another service, sent beside the load, and the
# share of them that is answered.
OTHER_SERVICE = 'other'
ANSWERED_SHARE = 0.9
ROUTES = {'resume': 'text/event-stream', 'draft': 'text/event-stream'}


class EndlessAnswersCase(unittest.IsolatedAsyncioTestCase):
    """Run one gateway process, and endpoints most of which are faulty."""

    async def asyncSetUp(self):
        """Start the store, the endpoints and the gateway."""
        folder = tempfile.TemporaryDirectory(prefix='endless-')
        self.addCleanup(folder.cleanup)
        self.deployment = deployments.GatewayDeployment(0, gateways=0)
        self.deployment.runners = [
            endless_endpoint.EndlessEndpoint(f'r{n}') for n in range(ENDPOINTS)
        ]
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.start()
        for runner in self.deployment.runners:
            self.deployment.register(runner, Slots=MANY_CALLERS)
        self.sound = endless_endpoint.EndlessEndpoint('sound')
        await self.sound.start()
        self.addAsyncCleanup(self.sound.stop)
        self.deployment.register(self.sound, Service=OTHER_SERVICE)
        document = deployments.configuration(2)
        document['Services'].append({'Name': OTHER_SERVICE})
        for route in document['Routes']:
            if route['Name'] == 'open':
                route['Service'] = OTHER_SERVICE
        self.deployment.platform.put_row('op', 'config', document)
        settings = gateways.build_initial_settings(0, ())
        self.link = proxy.Proxy()
        self.link.target = self.deployment.store
        await self.link.start()
        self.addAsyncCleanup(self.link.stop)
        settings['platform'] = self.link.address
        settings['memory_mb'] = MEMORY_MB
        settings['max_descriptors'] = 1024
        self.gateway = gateways.Gateway(
            'gateway-0', settings, folder.name, SOURCES
        )
        self.gateway.write_settings()
        self.addCleanup(self.gateway.log.close)
        self.addAsyncCleanup(self.gateway.terminate, signal.SIGKILL)
        self.gateway.start()
        await deployments.wait_ready(settings['ready_address'])
        self._sent = 0

    def _build_request(self, route):
        self._sent += 1
        # Nothing is quarantined.
        return (
            f'POST /{route}/{self._sent} HTTP/1.1\r\n'
            f'host: {deployments.HOST}\r\n'
            f'authorization: Bearer {deployments.KEY}\r\n'
            f'attempt-id: a{self._sent}\r\n'
            f'accept: {ROUTES.get(route, "*/*")}\r\n'
            'content-length: 0\r\n\r\n'
        ).encode()

    async def _call(self, route):
        """Read a response for a while; return whether it was an answer."""
        host, _, port = self.gateway.settings['address'].rpartition(':')
        found, writer = False, None
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(CALL_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(self._build_request(route))
                size = 0
                while size < LEAVE_AFTER_BYTES:
                    read = await reader.read(65_536)
                    if not read:
                        break
                    size += len(read)
                    found = b'answer a' in read or b'piece 1' in read
                    if found:
                        break
        if writer is not None:
            writer.transport.abort()
        return found

    async def _call_again_and_again(self, route, until):
        while time.monotonic() < until:
            await self._call(route)
            await asyncio.sleep(0.01)

    async def _count_answered(self, until):
        """Send ordinary requests; return how many were, and were answered."""
        sent = answered = 0
        while time.monotonic() < until:
            await asyncio.sleep(PROBE_PAUSE_S)
            sent += 1
            answered += await self._call('open')
        return sent, answered

    async def load(self, endless, route, callers):
        """Apply a load, and check what the process does beside it."""
        for runner in self.deployment.runners[:ENDLESS_ENDPOINTS]:
            runner.endless = endless
        until = time.monotonic() + LOAD_S
        calling = [
            self._call_again_and_again(route, until) for _ in range(callers)
        ]
        (sent, answered), *_ = await asyncio.gather(
            self._count_answered(until), *calling
        )
        for runner in self.deployment.runners:
            runner.endless = None
        self.check_usage(sent, answered)
        after = [await self._call('open') for _ in range(5)]
        self.assertEqual(after, [True] * 5)

    def check_usage(self, sent, answered):
        """Check what the process has used, and whom it has answered."""
        self.assertTrue(self.gateway.running)
        self.assertLessEqual(clients.read_peak_mb(self.gateway.pid), MEMORY_MB)
        self.assertGreaterEqual(answered, ANSWERED_SHARE * sent)


class EndpointTests(EndlessAnswersCase):
    """Let two of three endpoints of a service write without end.

    Each guards against a process that outgrows its instance, or serves nobody
    else meanwhile.
    """


class StoreTests(EndlessAnswersCase):
    """Let the store write without end."""

    async def test_store(self):
        """Guards against reads of tables that fill the memory."""
        endless = self.deployment.runners[0]
        endless.endless = 'body'
        self.link.target = endless.address
        self.link.reset_all()
        until = time.monotonic() + LOAD_S
        sent, answered = await self._count_answered(until)
        self.check_usage(sent, answered)
        self.assertGreater(endless.written_bytes, READ_BYTES)


def _add_test(endless, route, callers):
    """Add a test of what endpoints write to a number of callers."""

    async def test(self):
        await self.load(endless, route, callers)

    test.__name__ = f'test_{endless}_to_{callers}_callers'
    test.__doc__ = f'Serve others beside {endless.replace("_", " ")}.'
    setattr(EndpointTests, test.__name__, test)


for _name in endless_endpoint.ANSWERS:
    _add_test(_name, 'find', CALLERS)
for _name in MOST_COSTLY:
    _add_test(_name, 'find', MANY_CALLERS)
for _name in endless_endpoint.REPORTS:
    _add_test(_name, 'resume', CALLERS)

"""Compare what a gateway holds for callers with what is counted."""

from __future__ import annotations

import asyncio
import gc
import re
import socket
import sys
import tracemalloc
import types
import unittest

from persimmonroute import http_connection
from standins import gateway_deployment as deployments

# An endpoint that does not answer and prints how many requests it has. It runs
# in a process of its own so that only the gateway's memory is measured.
ENDPOINT = """
import asyncio

from standins import platform_runner


async def serve():
    runner = platform_runner.RunnerStandIn('r0')
    runner.default_behaviour = 'hang'
    await runner.start()
    print(runner.address, flush=True)
    while True:
        print(len(runner.arrivals), flush=True)
        await asyncio.sleep(0.05)


asyncio.run(serve())
"""
CONNECTIONS = 40
SLOTS = 100
TIMEOUT_MS = 60_000
MAX_HEADER_BYTES = 16_384
# About what a head may contain beside the fields that a request needs.
SPARE_HEADER_BYTES = 15_000
WAIT_S = 20.0
# Of the configuration, far above the time of a test.
AGE_BOUND_S = 60
HELD = re.compile(
    r'^persimmonroute_callers_held_bytes\{.*\} (\S+)$', re.MULTILINE
)
OPEN = re.compile(
    r'^persimmonroute_caller_connections\{.*stage="(\w+)".*\} (\S+)$',
    re.MULTILINE,
)


class CallerChargesTests(unittest.IsolatedAsyncioTestCase):
    """Open connections, and compare the memory with the account.

    Each guards against a limit of the account that lets a process exceed its
    memory. Counted are the objects of Python, which are of the same size on
    each 64-bit machine.
    """

    async def asyncSetUp(self):
        """Start a gateway in this process, and an endpoint in another."""
        # It keeps the stack of each task.
        asyncio.get_running_loop().set_debug(False)
        self.endpoint = await asyncio.create_subprocess_exec(
            sys.executable, '-c', ENDPOINT, stdout=asyncio.subprocess.PIPE
        )
        self.addAsyncCleanup(self._end_endpoint)
        address = (await self.endpoint.stdout.readline()).decode().strip()
        # The collection of garbage may block the loop for seconds.
        self.deployment = deployments.GatewayDeployment(
            0,
            gateways=0,
            configuration_s=AGE_BOUND_S,
            revocation_s=AGE_BOUND_S,
        )
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.start()
        document = deployments.configuration(2)
        document['Services'][0]['MaxConnections'] = 2 * SLOTS
        document['Routes'] = [
            deployments.route('find', TimeoutMs=TIMEOUT_MS),
        ]
        document['Limits']['MaxHeaderBytes'] = MAX_HEADER_BYTES
        document['Limits']['HeaderTimeoutMs'] = TIMEOUT_MS
        document['Limits']['IdleTimeoutMs'] = TIMEOUT_MS
        self.deployment.platform.put_row('op', 'config', document)
        runner = types.SimpleNamespace(
            id='r0', address=address, version=None, born=1
        )
        self.deployment.register(runner, Slots=SLOTS)
        await self.deployment.add_gateway()
        self.settings = self.deployment.settings[0]
        # What is loaded or built at the first use is not a caller's.
        self.sent = 0
        for name in ('first', 'second'):
            connections = await self._open(self._build_request(name, ''))
            self.sent += CONNECTIONS
            await self._wait_for('passed_on')
            await self._wait_for_requests(connections)
            await self._close(connections)
        self.sent += CONNECTIONS
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)

    async def _end_endpoint(self):
        self.endpoint.kill()
        await self.endpoint.communicate()

    def _build_request(self, name, headers, path='/find/x'):
        return (
            f'GET {path} HTTP/1.1\r\nhost: {deployments.HOST}\r\n'
            f'authorization: Bearer {deployments.KEY}\r\n'
            f'attempt-id: {name}-NUMBER\r\n'
            f'deadline-remaining-ms: {TIMEOUT_MS}\r\n{headers}\r\n'
        ).encode()

    async def _open(self, data):
        """Return new connections on which data were sent."""
        host, _, port = self.settings.address.rpartition(':')
        opened = []
        for number in range(CONNECTIONS):
            sock = socket.create_connection((host, int(port)))
            self.addCleanup(sock.close)
            sock.sendall(data.replace(b'NUMBER', b'%d' % number))
            opened.append(sock)
            await asyncio.sleep(0)
        return opened

    async def _close(self, connections):
        for sock in connections:
            sock.close()
        await self._wait_for(None)

    async def _read_metrics(self):
        conn = await http_connection.open_connection(
            self.settings.metrics_address, 1.0
        )
        try:
            conn.send_request('GET', '/metrics', [('host', 'x')], b'')
            response = await deployments.read_response(conn)
        finally:
            conn.abort()
        return response.body.decode()

    async def _wait_for(self, stage):
        """Wait until all connections are in a stage, or none is left."""
        expected = CONNECTIONS if stage else 0
        async with asyncio.timeout(WAIT_S):
            while True:
                counts = {
                    name: float(count)
                    for name, count in OPEN.findall(await self._read_metrics())
                }
                found = counts.get(stage, 0) if stage else sum(counts.values())
                if found == expected:
                    return
                await asyncio.sleep(0.05)

    async def _measure(self):
        """Return the bytes of all objects, and those that are counted."""
        text = await self._read_metrics()
        gc.collect()
        held = tracemalloc.get_traced_memory()[0]
        return held, sum(float(size) for size in HELD.findall(text))

    async def _check(self, data, stage, ready=None):
        before = await self._measure()
        connections = await self._open(data)
        await self._wait_for(stage)
        if ready is not None:
            await ready(connections)
        after = await self._measure()
        held, counted = (
            (end - begin) / CONNECTIONS
            for begin, end in zip(before, after, strict=True)
        )
        self.assertGreater(held, 1000)
        self.assertLessEqual(held, counted)

    async def _wait_for_requests(self, connections):
        """Wait until the endpoint has all requests, also the first ones."""
        async with asyncio.timeout(WAIT_S):
            while int(await self.endpoint.stdout.readline()) < self.sent:
                pass

    async def test_idle_connection(self):
        """Open connections and send nothing."""
        await self._check(b'', 'idle')

    async def test_partial_head(self):
        """Send the beginning of a head."""
        request = self._build_request('a', 'x: ' + 'y' * SPARE_HEADER_BYTES)
        await self._check(request[:-2], 'head')

    async def test_connection_that_was_served(self):
        """Keep connections after requests with many headers."""
        request = self._build_request('a', _build_headers(100), '/none')
        await self._check(request, 'idle', self._read_refusals)

    async def _read_refusals(self, connections):
        for sock in connections:
            sock.setblocking(False)
            async with asyncio.timeout(WAIT_S):
                loop = asyncio.get_running_loop()
                data = await loop.sock_recv(sock, 4096)
            self.assertIn(b' 404 ', data)
        await self._wait_for('idle')

    async def test_open_request(self):
        """Send requests that wait for their endpoint."""
        request = self._build_request('a', '')
        await self._check(request, 'passed_on', self._wait_for_requests)

    async def test_open_request_with_one_large_header(self):
        """Send a header of about the largest size."""
        header = f'x: {"y" * SPARE_HEADER_BYTES}\r\n'
        request = self._build_request('a', header)
        await self._check(request, 'passed_on', self._wait_for_requests)

    async def test_open_request_with_many_headers(self):
        """Send many headers, with their objects."""
        request = self._build_request('a', _build_headers(300))
        await self._check(request, 'passed_on', self._wait_for_requests)

    async def test_open_request_with_tiny_headers(self):
        """Send as many headers as a head has room for."""
        headers = ''.join(f'x{n % 97}:{n}\r\n' for n in range(1400))
        self.assertLess(len(headers), SPARE_HEADER_BYTES)
        request = self._build_request('a', headers)
        await self._check(request, 'passed_on', self._wait_for_requests)


def _build_headers(count):
    return ''.join(f'X-Header-{n}: {"v" * 20}{n}\r\n' for n in range(count))

"""Test a server whose callers take more descriptors than it has."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import subprocess
import sys
import unittest

DESCRIPTORS = 128
CONNECTIONS = 200
WAIT_S = 20.0
# Serves callers on the first port and a probe on the second. A request of a
# caller stays open; the probe opens connections, as requests to endpoints do.
SERVER = f"""
import asyncio
import resource
import socket

from persimmonroute import caller_protocol
from persimmonroute import http_server
from starlette import applications
from starlette import responses
from starlette import routing

sink = socket.create_server(('127.0.0.1', 0))


async def hold(request):
    await asyncio.Event().wait()


async def answer(request):
    return responses.PlainTextResponse('answered')


async def probe(request):
    opened = []
    try:
        for _ in range(4):
            opened.append(socket.create_connection(sink.getsockname()))
    finally:
        for sock in opened:
            sock.close()
    return responses.PlainTextResponse('answered')


def build(paths, guard):
    with socket.create_server(('127.0.0.1', 0)) as free:
        port = free.getsockname()[1]
    app = applications.Starlette(
        routes=[routing.Route(path, serve) for path, serve in paths.items()]
    )
    server = http_server.build_server(
        app, f'127.0.0.1:{{port}}', 1.0, guard=guard
    )
    return port, server


async def serve():
    guard = caller_protocol.ConnectionGuard()
    port, front = build({{'/hold': hold, '/answer': answer}}, guard)
    probe_port, ready = build(
        {{'/probe': probe}}, caller_protocol.build_small_guard()
    )
    serving = [asyncio.create_task(s.serve()) for s in (front, ready)]
    while not (front.started and ready.started):
        await asyncio.sleep(0.01)
    print(port, probe_port, flush=True)
    await asyncio.gather(*serving)


resource.setrlimit(resource.RLIMIT_NOFILE, ({DESCRIPTORS}, {DESCRIPTORS}))
asyncio.run(serve())
"""


class FewDescriptorsTests(unittest.IsolatedAsyncioTestCase):
    """Open more connections than the process has descriptors.

    They guard against a process that can't connect to endpoints or the store,
    and against one that accepts nothing more afterwards.
    """

    async def asyncSetUp(self):
        """Start a server with few descriptors."""
        self.server = await asyncio.create_subprocess_exec(
            sys.executable,
            '-c',
            SERVER,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
        )
        self.addAsyncCleanup(self._end)
        line = await self.server.stdout.readline()
        self.port, self.probe_port = map(int, line.split())

    async def _end(self):
        if self.server.returncode is None:
            self.server.kill()
        await self.server.communicate()

    async def _call(self, port, path):
        async with asyncio.timeout(WAIT_S):
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            with contextlib.closing(writer):
                writer.write(_build_request(path, b'connection: close\r\n'))
                return await reader.read()

    def _open(self, data):
        opened = []
        for _ in range(CONNECTIONS):
            sock = socket.create_connection(('127.0.0.1', self.port))
            self.addCleanup(sock.close)
            sock.sendall(data)
            opened.append(sock)
        return opened

    def _count_descriptors(self):
        return len(os.listdir(f'/proc/{self.server.pid}/fd'))

    async def _check(self, data):
        connections = self._open(data)
        async with asyncio.timeout(WAIT_S):
            while self._count_descriptors() < DESCRIPTORS // 2:
                await asyncio.sleep(0.05)
        for _ in range(10):
            self.assertLess(self._count_descriptors(), DESCRIPTORS - 4)
            response = await self._call(self.probe_port, b'/probe')
            self.assertTrue(response.startswith(b'HTTP/1.1 200 '), response)
            await asyncio.sleep(0.1)
        return connections

    async def _check_served(self):
        response = await self._call(self.port, b'/answer')
        self.assertTrue(response.startswith(b'HTTP/1.1 200 '), response)

    async def test_open_requests_pause_accepting(self):
        """Hold requests open; those that wait are accepted afterwards."""
        connections = await self._check(_build_request(b'/hold'))
        for sock in connections:
            sock.close()
        await self._check_served()

    async def test_idle_connections_give_way(self):
        """Hold connections without requests, beside which one is served."""
        await self._check(b'')
        await self._check_served()


def _build_request(path, headers=b''):
    return b'GET ' + path + b' HTTP/1.1\r\nhost: x\r\n' + headers + b'\r\n'

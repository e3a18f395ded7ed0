"""Run gateways with a stand-in store and endpoints in one process."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
import socket

import h11

from persimmonroute.config import settings as settings_module
from persimmonroute import gateway_composition
from persimmonroute import http_connection
from persimmonroute import http_server
from standins import platform
from standins import platform_runner

HOST = 'api.example'
KEY = 'key-1'
SERVICE = 'llm'
RESPONSE_TIMEOUT_S = 10.0
READY_TIMEOUT_S = 10.0
# Below the range of outgoing connections, which begins at 32768.
FIRST_PORT = 12_000
PORT_BLOCKS = 40
PORTS_PER_BLOCK = 400
_port_numbers = itertools.count()
# Sockets on the first port of the block that each process has reserved.
_reservations = {}


def route(name, **fields):
    """Return a route in the operators' format."""
    return {
        'Name': name,
        'Host': HOST,
        'Prefix': f'/{name}/',
        'Kind': 'non_idempotent',
        'TimeoutMs': 2000,
        'TargetLatencyMs': 300,
        'Priority': 1,
        'Service': SERVICE,
        'MaxAttempts': 2,
        'Public': False,
        **fields,
    }


def configuration(version=1, **changes):
    """Return a configuration in the operators' format."""
    document = {
        'Version': version,
        'Routes': [
            route('book'),
            route('find', Kind='idempotent'),
            route('draft', Kind='streaming'),
            route('resume', Kind='streaming', StreamResume=True),
            route('open', Public=True),
        ],
        'Services': [{'Name': SERVICE, 'MaxConnections': 50}],
        'Limits': {
            'MaxHeaderBytes': 4096,
            'MaxBodyBytes': 10_000,
            'HeaderTimeoutMs': 500,
            'IdleTimeoutMs': 5000,
        },
        'Tenants': [{'Name': 'desk', 'ApiKeys': [KEY], 'Priority': 1}],
    }
    return {**document, **changes}


class Response:
    """Store the response that a caller received."""

    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b''
        # True once the response ended as HTTP requires.
        self.complete = False


class GatewayDeployment:
    """Run a store, endpoints and gateways on loopback."""

    def __init__(self, endpoints=2, gateways=1, **gateway_settings):
        self.platform = platform.PlatformStandIn([], 0.0)
        self.runners = [
            platform_runner.RunnerStandIn(f'r{n}') for n in range(endpoints)
        ]
        self.stop_events = []
        self.settings = []
        self._gateways = gateways
        self._gateway_settings = gateway_settings
        self._tasks = []
        self._gateway_tasks = []
        self._store_server = None
        self._store = None

    @property
    def store(self):
        """Return the address of the store."""
        return self._store

    async def start(self):
        """Start all processes and wait until the gateways are ready."""
        store = f'127.0.0.1:{free_port()}'
        self._store_server = http_server.build_server(
            self.platform.build_app(), store, 1, 0.0
        )
        self._tasks.append(asyncio.create_task(self._store_server.serve()))
        for runner in self.runners:
            await runner.start()
            self.register(runner)
        self.platform.put_row('op', 'config', configuration())
        self._store = store
        for _ in range(self._gateways):
            await self.add_gateway()

    async def add_gateway(self, store=None, **changes):
        """Start another gateway and wait until it is ready."""
        self._start_gateway(
            f'gateway-{len(self.settings)}', store or self._store, changes
        )
        await wait_ready(self.settings[-1].ready_address)

    async def stop_gateway(self, number):
        """Stop a gateway as planned; raise the error that ended it."""
        self.stop_events[number].set()
        await self._gateway_tasks[number]

    async def kill_gateway(self, number):
        """End a gateway at once; the others keep their numbers."""
        task = self._gateway_tasks[number]
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def replace_gateways(self):
        """End all gateways at the same time and start as many others."""
        await self.stop_gateways()
        await self.start_gateways()

    async def stop_gateways(self):
        """End all gateways at the same time."""
        tasks, self._gateway_tasks = self._gateway_tasks, []
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.settings.clear()
        self.stop_events.clear()

    async def start_gateways(self):
        """Start as many gateways as at the beginning."""
        for _ in range(self._gateways):
            await self.add_gateway()

    async def stop(self):
        """Stop all processes."""
        for stop in self.stop_events:
            stop.set()
        for task in self._gateway_tasks:
            task.cancel()
        # Gateways that were cancelled may still watch the tables.
        self._store_server.should_exit = self._store_server.force_exit = True
        for runner in self.runners:
            await runner.stop()
        await asyncio.gather(
            *self._tasks, *self._gateway_tasks, return_exceptions=True
        )

    def register(self, runner, state='ready', **changes):
        """Register an endpoint in the servers table."""
        registration = {
            'Service': SERVICE,
            'Address': runner.address,
            'Zone': 'riga-a',
            'Version': runner.version or 'v1',
            'Slots': 4,
            'State': state,
            'ColdRemainingMs': 0,
            'Sequence': 1,
            'born': runner.born,
        }
        self.platform.put_row(
            'servers', runner.id, {**registration, **changes}
        )

    async def call(
        self,
        path,
        gateway=0,
        body=b'body',
        headers=(),
        address=None,
        **options,
    ):
        """Return the Response to one request on a new connection.

        address is that of a gateway which is not of this deployment.
        """
        conn = await http_connection.open_connection(
            address or self.settings[gateway].address, 1.0
        )
        try:
            return await self.call_on(conn, path, body, headers, **options)
        finally:
            conn.abort()

    async def call_on(
        self,
        conn,
        path,
        body=b'body',
        headers=(),
        attempt='a1',
        key=KEY,
        remaining_ms=3000,
    ):
        """Return the Response to one request on an open connection."""
        sent = [
            ('host', HOST),
            ('attempt-id', attempt),
            ('deadline-remaining-ms', str(remaining_ms)),
            ('content-length', str(len(body))),
            *headers,
        ]
        if key is not None:
            sent.append(('authorization', f'Bearer {key}'))
        conn.send_request('POST', path, sent, body)
        return await read_response(conn)

    def _start_gateway(self, name, store, changes):
        document = {
            'role': 'gateway',
            'instance': name,
            'region': 'riga',
            'failure_domain': 'riga-a',
            'address': f'127.0.0.1:{free_port()}',
            'ready_address': f'127.0.0.1:{free_port()}',
            'metrics_address': f'127.0.0.1:{free_port()}',
            'control_address': f'127.0.0.1:{free_port()}',
            'seeds': [peer.control_address for peer in self.settings],
            'peer_address': f'127.0.0.1:{free_port()}',
            'platform': store,
            'regions': {'riga-a': 'riga'},
            'revocation_s': 3,
            'stop_grace_s': 6,
            'retry_slack': 100,
            **self._gateway_settings,
            **changes,
        }
        checked, problems = settings_module.check_settings(document)
        if problems:
            raise AssertionError(problems)
        stop = asyncio.Event()
        process = gateway_composition.build_gateway(checked)
        self.settings.append(checked)
        self.stop_events.append(stop)
        self._gateway_tasks.append(asyncio.create_task(process.run(stop)))


async def read_response(conn):
    """Return the Response; it is incomplete after errors or a timeout."""
    response = Response()
    with contextlib.suppress(Exception):
        async with asyncio.timeout(RESPONSE_TIMEOUT_S):
            while not response.complete:
                event = await conn.next_event()
                if isinstance(event, h11.Response):
                    response.status = event.status_code
                    response.headers = dict(event.headers)
                elif isinstance(event, h11.Data):
                    response.body += bytes(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    response.complete = True
    return response


async def wait_ready(address):
    """Wait until a gateway reports ready."""
    async with asyncio.timeout(READY_TIMEOUT_S):
        while True:
            with contextlib.suppress(Exception):
                conn = await http_connection.open_connection(address, 1.0)
                conn.send_request('GET', '/readyz', [('host', 'x')], b'')
                response = await read_response(conn)
                conn.abort()
                if response.status == 200:
                    return
            await asyncio.sleep(0.05)


def free_port():
    """Return a loopback port, free for both protocols, not given again soon.

    The ports lie below those of outgoing connections, and processes that
    run at the same time have different ones.
    """
    first = _reserve_ports()
    for _ in range(PORTS_PER_BLOCK):
        port = first + 1 + next(_port_numbers) % (PORTS_PER_BLOCK - 1)
        datagrams = socket.socket(type=socket.SOCK_DGRAM)
        with socket.socket() as sock, datagrams:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                sock.bind(('127.0.0.1', port))
                datagrams.bind(('127.0.0.1', port))
                return port
    raise AssertionError('no free port')


def _reserve_ports():
    """Return the first port of the block of this process."""
    pid = os.getpid()
    for number in range(PORT_BLOCKS):
        if pid in _reservations:
            break
        block = (pid + number) % PORT_BLOCKS
        sock = socket.socket(type=socket.SOCK_DGRAM)
        try:
            sock.bind(('127.0.0.1', FIRST_PORT + block * PORTS_PER_BLOCK))
        except OSError:
            sock.close()
        else:
            _reservations[pid] = sock
    if pid not in _reservations:
        raise AssertionError('no free block of ports')
    return _reservations[pid].getsockname()[1]

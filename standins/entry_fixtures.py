"""Run an entry and sidecars of scripted endpoints in one process."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import types
import typing

import h11

from persimmonroute import composition
from persimmonroute.entry import http_api
from persimmonroute.entry import messages
from persimmonroute.entry import shell as entry_shells
from persimmonroute import exceptions
from persimmonroute import http_connection
from persimmonroute import http_server
from persimmonroute.sidecar import shell as sidecar_shells
from persimmonroute import store
from standins import gateway_deployment
from standins import raw_endpoint
from standins import small_simulation

READY_TIMEOUT_S = 10.0
ANSWER_TIMEOUT_S = 30.0
POLL_S = 0.02
GRACE_S = 1
SIDECAR_GRACE_S = 10


class Answer(typing.NamedTuple):
    """Store what a caller received; complete if HTTP says so."""

    status: int
    headers: dict
    body: bytes
    complete: bool

    @property
    def outcome(self):
        """Return the outcome that the header or the stream names."""
        header = self.headers.get(b'persimmon-outcome')
        if header is not None:
            return header.decode()
        _, marker, rest = self.body.rpartition(b': persimmon-outcome ')
        return json.loads(rest)['outcome'] if marker else ''

    @property
    def events(self):
        """Return the body of a stream without what the entry adds."""
        body, _, _ = self.body.partition(b': persimmon-outcome ')
        return body.partition(b'data: {"error"')[0]


class StubPlatform:
    """Commit writes in memory."""

    def __init__(self):
        self.rows = {}

    async def write(self, write):
        """Write one row and return its StoreReply."""
        row = self.rows.get(write.key)
        version = row.version if row else 0
        if version != write.expected_version:
            row = row or store.Row(write.key, None, 0)
            return store.StoreReply(store.StoreStatus.CONFLICT, (row,))
        row = store.Row(write.key, write.value, version + 1)
        self.rows[write.key] = row
        return store.StoreReply(store.StoreStatus.COMMITTED, (row,))

    async def close(self):
        """Do nothing."""


class EntryFixture:
    """Serve callers through an entry and a sidecar for each endpoint."""

    def __init__(self, stack):
        self._stack = stack
        self._stops = {}
        self._sidecars = []
        self._numbers = itertools.count()
        platform = StubPlatform()
        core = composition.build_entry_core('entry-1', 'riga', 'riga-a')
        self.shell = entry_shells.EntryShell(core, platform, platform)
        self.address = ''

    async def start(self):
        """Start the entry with the declarations of the small simulation."""
        self.address = f'127.0.0.1:{gateway_deployment.free_port()}'
        app = http_api.HttpApi(self.shell).build_app()
        server = http_server.build_server(
            app, self.address, GRACE_S, accepted_grace_s=0.0
        )
        task = asyncio.create_task(server.serve())

        async def stop():
            server.should_exit = True
            await task
            await self.shell.close()

        self._stack.push_async_callback(stop)
        self.configure(1)

    def configure(self, revision, declarations=None):
        """Put a revision of the declarations into force."""
        document = json.dumps(declarations or small_simulation.DECLARATIONS)
        self.shell.handle(
            messages.ConfigurationReceived(revision, document.encode())
        )

    async def add_endpoint(self, service, number=1):
        """Return a started RawEndpoint with a sidecar that is linked."""
        endpoint = raw_endpoint.RawEndpoint()
        await endpoint.start()
        self._stack.push_async_callback(endpoint.stop)
        name = f'{service}-{number}'
        instance = messages.Instance(
            name, service, 'riga', 'riga-a', '', False
        )
        self._sidecars.append((_at_new_address(instance), endpoint))
        self.start_sidecar(name)
        self.shell.handle(messages.InstancesListed(self.instances))
        await self.wait_linked(name)
        return endpoint

    @property
    def instances(self):
        """Return the listed instances."""
        return tuple(instance for instance, _ in self._sidecars)

    def start_sidecar(self, name):
        """Start a new incarnation of a sidecar."""
        for instance, endpoint in self._sidecars:
            if instance.name == name:
                stop, task = _run_sidecar(instance, endpoint)
                self._stops[name] = (stop, task)
                self._stack.push_async_callback(self.stop_sidecar, name)

    async def move_sidecar(self, name):
        """Start a sidecar at a new address; the former stops as planned."""
        stop, _ = self._stops[name]
        self._sidecars = [
            (_at_new_address(instance), endpoint)
            if instance.name == name
            else (instance, endpoint)
            for instance, endpoint in self._sidecars
        ]
        self.start_sidecar(name)
        self.shell.handle(messages.InstancesListed(self.instances))
        stop.set()

    async def stop_sidecar(self, name):
        """Stop a sidecar as planned."""
        stop, task = self._stops[name]
        stop.set()
        await task

    async def kill_sidecar(self, name):
        """End a sidecar without a planned stop."""
        _, task = self._stops[name]
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
        self._stops[name] = (asyncio.Event(), asyncio.create_task(_nothing()))

    def cut(self, name):
        """Close the link to a sidecar until heal() is called."""
        self.shell._links.pop(name).close()

    def heal(self, name):
        """Open the link to a sidecar again."""
        for instance in self.instances:
            if instance.name == name:
                opened = messages.OpenLink(name, instance.sidecar)
                self.shell._open_link(opened)

    async def wait_linked(self, name, linked=True):
        """Wait until the entry has or has lost its link to a sidecar."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while self.shell.core.board.sidecars[name].linked != linked:
                await asyncio.sleep(POLL_S)

    async def wait_moved(self, name):
        """Wait until the entry is linked to the present address."""
        (address,) = {i.sidecar for i in self.instances if i.name == name}
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not self._is_linked_to(name, address):
                await asyncio.sleep(POLL_S)

    def _is_linked_to(self, name, address):
        link = self.shell._links[name]
        return link._address == address and link._outbox is not None

    async def complete(self, stream=True, size=0):
        """Send a completion with a prompt of its own; return its Answer.

        The prompt has size further characters.
        """
        prompt = f'prompt {next(self._numbers)}' + 'x' * size
        body = {'prompt': prompt, 'stream': stream, 'max_tokens': 5}
        return await self.send('/v1/completions', 'counter-offer', body)

    async def order(self, key, class_name='purchase-order'):
        """Send a call of the plain service and return its Answer."""
        path = f'/services/{small_simulation.PLAIN}/purchase-orders'
        return await self.send(path, class_name, {'id': key}, key)

    async def send(self, path, class_name, body, key=None):
        """Send a request and return its Answer."""
        data = json.dumps(body).encode()
        headers = [
            ('host', 'x'),
            ('content-type', 'application/json'),
            ('content-length', str(len(data))),
            ('persimmon-workspace', small_simulation.WORKSPACE),
            ('persimmon-class', class_name),
        ]
        if key is not None:
            headers.append(('idempotency-key', key))
        conn = await http_connection.open_connection(self.address, 5.0)
        try:
            conn.send_request('POST', path, headers, data)
            return await _read_answer(conn)
        finally:
            conn.abort()


def _at_new_address(instance):
    """Return an instance with a free address for its sidecar."""
    address = f'127.0.0.1:{gateway_deployment.free_port()}'
    return instance._replace(sidecar=address)


async def _nothing():
    """Do nothing."""


def _run_sidecar(instance, endpoint):
    """Return what stops a sidecar and its task."""
    kinds = small_simulation.DECLARATIONS['services']
    settings = types.SimpleNamespace(
        instance=instance.name,
        service=instance.service,
        endpoint_kind=kinds[instance.service]['kind'],
        endpoint=endpoint.address,
        address=instance.sidecar,
        stop_grace_s=SIDECAR_GRACE_S,
        tls_certificate=None,
    )
    shell: sidecar_shells.SidecarShell = composition.build_sidecar(settings)
    stop = asyncio.Event()
    return stop, asyncio.create_task(shell.run(stop))


async def _read_answer(conn):
    status, headers, parts, complete = 0, {}, [], False
    async with asyncio.timeout(ANSWER_TIMEOUT_S):
        with contextlib.suppress(exceptions.EndpointBrokenError):
            while not complete:
                event = await conn.next_event()
                if isinstance(event, h11.Response):
                    status, headers = event.status_code, dict(event.headers)
                elif isinstance(event, h11.Data):
                    parts.append(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage):
                    complete = True
    return Answer(status, headers, b''.join(parts), complete)

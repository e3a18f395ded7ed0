"""Stand-ins and process control for the scripts of the second review.

Everything runs on 127.0.0.1 with the standard library only. The gateways are
started with the command of deploy/system.toml.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = '127.0.0.1'
API_HOST = 'api.example'
KEY = 'key-of-desk'
WORKSPACE = 'desk'
# Bounds of sites/baltkomp-route.toml.
BOUNDS = {
    'revocation_s': 5.0,
    'configuration_s': 2.5,
    'retry_ratio': 0.2,
    'retry_slack': 52,
    'retry_window_s': 10,
    'quota_window_s': 8,
    'quota_overrun': 0.1,
    'quota_slack': 110000,
    'stop_grace_s': 8,
}
TROUBLE = os.environ.get('TROUBLE', '1') != '0'


class CannotRun(Exception):
    """Report that a case could not run."""


def free_ports(count):
    """Return ports that nothing listens on."""
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind((HOST, 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


class Record:
    """Write what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self._file = open(
            pathlib.Path(folder) / 'record.txt', 'w', encoding='utf-8'
        )
        self._began_at = time.monotonic()

    def add(self, text):
        """Add a line with the time since the start."""
        at = time.monotonic() - self._began_at
        self._file.write(f'{at:8.3f} {text}\n')
        self._file.flush()

    def close(self):
        """Close the file."""
        self._file.close()


class Message:
    """Store one parsed HTTP message."""

    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body
        # True if the end of the message arrived as HTTP requires.
        self.complete = True

    @property
    def status(self):
        """Return the status of a response."""
        return int(self.first.split()[1])


async def read_message(reader, is_response):
    """Read one HTTP message, or return None if the connection ends first."""
    first = await reader.readline()
    if not first:
        return None
    headers = {}
    while True:
        line = await reader.readline()
        if not line:
            return None
        if line in (b'\r\n', b'\n'):
            break
        name, _, value = line.decode('latin-1').partition(':')
        headers[name.strip().lower()] = value.strip()
    message = Message(first.decode('latin-1').strip(), headers, b'')
    try:
        if 'chunked' in headers.get('transfer-encoding', ''):
            message.body = await _read_chunks(reader, message)
        elif 'content-length' in headers:
            size = int(headers['content-length'])
            message.body = await reader.readexactly(size)
        elif is_response:
            message.body = await reader.read()
    except asyncio.IncompleteReadError as error:
        message.body += error.partial
        message.complete = False
    except ConnectionError:
        message.complete = False
    return message


async def _read_chunks(reader, message):
    body = b''
    while True:
        line = await reader.readline()
        if not line.strip():
            message.complete = False
            return body
        size = int(line.split(b';')[0], 16)
        if size == 0:
            while (await reader.readline()).strip():
                pass
            return body
        try:
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        except asyncio.IncompleteReadError:
            message.complete = False
            return body


def response(status, body=b'', headers=()):
    """Return the bytes of a response with a length."""
    lines = [f'HTTP/1.1 {status} X', f'Content-Length: {len(body)}']
    lines += [f'{name}: {value}' for name, value in headers]
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


class Store:
    """Serve the rows of the platform's store."""

    def __init__(self):
        self._rows = {}
        self._log = []
        self._version = 0
        self._changed = asyncio.Event()
        self._server = None
        self.port = None
        # While it is away every call gets 503.
        self.away = False
        # Number of times that it came back from an older copy, plus one.
        self.era = 1

    def has(self, table, key):
        """Return whether a row exists."""
        return (table, key) in self._rows

    def copy(self):
        """Return a copy of the rows, for restore()."""
        return dict(self._rows), self._version

    def restore(self, copied):
        """Come back from a copy; versions go back and are given out again."""
        rows, self._version = copied
        self._rows = dict(rows)
        self._log.clear()
        self.era += 1

    async def start(self):
        """Serve on a free port."""
        self._server = await asyncio.start_server(
            self._serve, HOST, 0, limit=2**24
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def put(self, table, key, value):
        """Write a row; a value of None removes it."""
        self._version += 1
        row = {
            'Table': table,
            'part': '',
            'Key': key,
            'ObjectVersion': self._version,
        }
        if value is None:
            self._rows.pop((table, key), None)
            row['Removed'] = True
        else:
            data = (
                value
                if isinstance(value, bytes)
                else json.dumps(value).encode()
            )
            row['Value'] = base64.b64encode(data).decode()
            self._rows[table, key] = row
        self._log.append(row)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (message := await read_message(reader, False)) is not None:
                status, document = 503, {}
                if not self.away:
                    status, document = await self._answer(message)
                document['ObjectVersion'] = document.get(
                    'ObjectVersion', self._version
                )
                document['NowMs'] = int(time.monotonic() * 1000)
                writer.write(
                    response(
                        status,
                        json.dumps(document).encode(),
                        [
                            ('Content-Type', 'application/json'),
                            ('Store-Era', self.era),
                        ],
                    )
                )
                await writer.drain()
        writer.close()

    async def _answer(self, message):
        _, target, _ = message.first.split()
        path, _, query = target.partition('?')
        fields = {k: v[0] for k, v in urllib.parse.parse_qs(query).items()}
        if path == '/rows-get':
            table = fields['Table']
            start, end = fields.get('From', ''), fields.get('To')
            rows = [
                row
                for (name, key), row in sorted(self._rows.items())
                if name == table and key >= start and (not end or key < end)
            ]
            more = len(rows) > 500
            return 200, {'Rows': rows[:500], 'HasMore': more}
        if path == '/rows-feed':
            return await self._feed(fields)
        if path == '/rows-tx':
            return self._transact(json.loads(message.body))
        return 404, {}

    async def _feed(self, fields):
        after = int(fields['After'])
        if after > self._version:
            return 410, {}
        ends_at = time.monotonic() + int(fields.get('WaitMs', 0)) / 1000
        while True:
            rows = {
                row['Key']: row
                for row in self._log
                if row['ObjectVersion'] > after
                and row['Table'] == fields['Table']
            }
            left_s = ends_at - time.monotonic()
            if rows or left_s <= 0:
                return 200, {'Rows': list(rows.values())}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self._changed.wait()

    def _transact(self, document):
        current = []
        for row in document.get('ExpectedRevision', ()):
            known = self._rows.get((row['Table'], row['Key']))
            version = known['ObjectVersion'] if known else 0
            if version != row['ObjectVersion']:
                current.append(known or {**row, 'ObjectVersion': 0})
        if current:
            return 412, {'Rows': current}
        for row in document.get('Puts', ()):
            self.put(row['Table'], row['Key'], base64.b64decode(row['Value']))
        for row in document.get('Remove', ()):
            self.put(row['Table'], row['Key'], None)
        return 200, {}


class Runner:
    """Serve requests as a runner; subclasses choose the behaviour."""

    def __init__(self, runner_id, service, record):
        self.id = runner_id
        self.service = service
        self.record = record
        self.port = None
        self.born = int(time.time() * 1000)
        # Attempts that began to run, in order, with their first lines.
        self.runs = []
        self._server = None

    async def start(self):
        """Serve on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def registration(self, state='ready'):
        """Return the row of the runner in the store."""
        return {
            'Id': self.id,
            'Service': self.service,
            'Address': f'{HOST}:{self.port}',
            'Zone': 'zone-a',
            'Version': 'v1',
            'Slots': 6,
            'State': state,
            'ColdRemainingMs': 0,
            'Sequence': 1,
            'born': self.born,
        }

    async def _serve(self, reader, writer):
        number = 0
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (message := await read_message(reader, False)) is not None:
                method, target, _ = message.first.split()
                if target == '/report':
                    body = json.dumps(
                        {'Stage': 'prefill_decode', 'born': self.born}
                    ).encode()
                    writer.write(response(200, body))
                    await writer.drain()
                    continue
                attempt = message.headers.get('attempt-id', '-')
                expected = message.headers.get('expect-instance', self.id)
                if expected != self.id:
                    writer.write(response(421, b'', [('Attempt-Id', attempt)]))
                    await writer.drain()
                    continue
                number += 1
                if not await self.respond(message, writer, attempt, number):
                    break
                await writer.drain()
        writer.close()

    def run(self, message, attempt):
        """Record that a request begins to run."""
        self.runs.append((attempt, message.first))
        self.record.add(f'runner {self.id} runs {attempt}: {message.first}')

    def signature(self, attempt, number=1):
        """Return the value of Upstream-Signature for a response."""
        return f'{self.id}.{attempt}.{number}'

    async def respond(self, message, writer, attempt, number):
        """Answer a request; return whether to keep the connection."""
        self.run(message, attempt)
        writer.write(self.sound_response(attempt))
        return True

    def sound_response(self, attempt):
        """Return the bytes of a sound answer."""
        return response(
            200,
            f'answer of {self.id} to {attempt}'.encode(),
            [
                ('Attempt-Id', attempt),
                ('Upstream-Signature', self.signature(attempt)),
            ],
        )


def reset(writer):
    """Close a connection with a reset."""
    import struct

    sock = writer.get_extra_info('socket')
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )
    writer.transport.abort()


class Gateway:
    """Start and stop one gateway process."""

    def __init__(self, name, store_port, folder, seeds=()):
        ports = free_ports(5)
        self.name = name
        self.front, self.ready, self.control, self.peer, self.metrics = ports
        self._path = pathlib.Path(folder) / f'{name}.json'
        self._log = open(pathlib.Path(folder) / f'{name}.log', 'wb')
        self.settings = {
            'role': 'gateway',
            'instance': name,
            'region': 'region-1',
            'failure_domain': 'zone-a',
            'address': f'{HOST}:{self.front}',
            'ready_address': f'{HOST}:{self.ready}',
            'metrics_address': f'{HOST}:{self.metrics}',
            'control_address': f'{HOST}:{self.control}',
            'seeds': list(seeds) or [f'{HOST}:{self.control}'],
            'peer_address': f'{HOST}:{self.peer}',
            'platform': f'{HOST}:{store_port}',
            'regions': {'zone-a': 'region-1'},
            'cpu_share': 0.817,
            'cores': 1,
            'memory_mb': 150,
            'max_descriptors': 4100,
            **BOUNDS,
            'log_format': 'json',
        }
        self.process = None

    async def start(self):
        """Start the process with the command of the deploy file."""
        self.write_settings()
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = deploy['roles']['gateway']['run'].split()
        command[command.index('--config') + 1] = str(self._path)
        keep = ('PATH', 'HOME', 'LANG')
        env = {k: os.environ[k] for k in keep if k in os.environ}
        env['PYTHONPATH'] = str(ROOT / 'target/deps')
        env['PERSIMMONROUTE_SETTINGS'] = str(self._path)
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=env, stdout=self._log, stderr=self._log
        )

    def write_settings(self):
        """Write the settings file."""
        self._path.write_text(json.dumps(self.settings))

    def signal(self, number):
        """Send a signal to the process."""
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def wait_ready(self, within_s=20):
        """Wait until the process says that it is ready."""
        ends_at = time.monotonic() + within_s
        while time.monotonic() < ends_at:
            if self.process.returncode is not None:
                raise CannotRun(f'{self.name} ended')
            with contextlib.suppress(OSError, asyncio.TimeoutError):
                reader, writer = await asyncio.open_connection(
                    HOST, self.ready
                )
                writer.write(b'GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n')
                message = await asyncio.wait_for(read_message(reader, True), 1)
                writer.close()
                if message is not None and message.status == 200:
                    return
            await asyncio.sleep(0.1)
        raise CannotRun(f'{self.name} is not ready after {within_s} s')

    async def end(self):
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.returncode is None:
            self.signal(signal.SIGKILL)
            await self.process.wait()
        self._log.close()


def route(name, service, **fields):
    """Return a route in the operator's format."""
    return {
        'Name': name,
        'Host': API_HOST,
        'Prefix': f'/{name}/',
        'Service': service,
        'Kind': 'non_idempotent',
        'TimeoutMs': 3000,
        'TargetLatencyMs': 400,
        'MaxAttempts': 2,
        'Priority': 2,
        'Public': False,
        **fields,
    }


def configuration(version, routes, services, keys=(KEY,)):
    """Return a configuration in the operator's format."""
    return {
        'Version': version,
        'Routes': routes,
        'Services': [
            {'Name': name, 'HealthPath': '/healthz', 'MaxConnections': 96}
            for name in services
        ],
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 1048576,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15000,
        },
        'Tenants': [{'Name': WORKSPACE, 'ApiKeys': list(keys)}],
    }


def request(
    attempt, path, method='POST', body=b'', key=KEY, headers=(), deadline=3000
):
    """Return the bytes of a client's request."""
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {API_HOST}',
        f'Attempt-Id: {attempt}',
        f'Deadline-Remaining-Ms: {deadline}',
        f'Authorization: Bearer {key}',
    ]
    lines += [f'{name}: {value}' for name, value in headers]
    if body or method != 'GET':
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


async def call(port, data, timeout_s=6):
    """Send one request on a new connection; return its answer or None."""
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        writer.write(data)
        async with asyncio.timeout(timeout_s):
            return await read_message(reader, True)
    except (ConnectionError, TimeoutError):
        return None
    finally:
        writer.close()


def run_case(folder, play):
    """Play a case; exit with 0 if the rule held, 1 if broken, 2 if not run.

    play(record, folder, gateways) returns whether the rule held; it adds the
    Gateway objects that it starts to gateways.
    """
    record = Record(folder)
    work = tempfile.mkdtemp(prefix='review-')
    gateways = []

    async def main():
        try:
            async with asyncio.timeout(110):
                return await play(record, work, gateways)
        finally:
            for gateway in gateways:
                await gateway.end()

    try:
        held = asyncio.run(main())
        record.add('the rule held' if held else 'the rule was broken')
        code = 0 if held else 1
    # An error of the script itself must not look like a broken rule.
    except Exception as error:
        record.add(f'the case could not run: {error!r}')
        code = 2
    finally:
        record.close()
        if os.environ.get('KEEP_LOGS'):
            print(work)
        else:
            shutil.rmtree(work, ignore_errors=True)
    sys.exit(code)

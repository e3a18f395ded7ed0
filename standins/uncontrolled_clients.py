"""Stand in for clients that do not control what they send."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import itertools
import json
import os
import pathlib
import socket
import sys
import typing

# Pause before a client opens a connection again that the server has closed.
RECONNECT_S = 0.05
# Bytes that a client writes at once.
BLOCK_BYTES = 65_536
PIECE_BYTES = 16_384
PIECE_PAUSE_S = 0.02
SLOW_BYTE_PAUSE_S = 0.01
# Bytes of a body that a client leaves out, and stays open.
MISSING_BYTES = 50_000
# Bytes of a head after which a client stops.
STALLED_HEAD_BYTES = 200_000
# Small, so that what a client does not read stays at the server.
RECEIVE_BUFFER_BYTES = 4096
CONNECT_TIMEOUT_S = 2.0
SAMPLE_S = 0.05


class Kind(enum.Enum):
    """Enumerate what clients do; the value is how many of them there are."""

    # Bodies of legal size that stop just short of their end.
    STALLED_BODIES = 60
    # The same in pieces.
    STALLED_PIECES = 61
    # Whole bodies of legal size.
    WHOLE_BODIES = 62
    # Pipelined requests whose responses are not read.
    PIPELINED = 16
    # Heads without end.
    ENDLESS_HEADS = 250
    # Heads over the limit that stop before their end.
    STALLED_HEADS = 200
    # Heads that come one byte at a time.
    SLOW_HEADS = 100
    # Empty lines before a request.
    EMPTY_LINES = 63
    # Bodies in chunks of one byte.
    TINY_CHUNKS = 40
    # Chunks with extensions without end.
    CHUNK_EXTENSIONS = 64
    # Trailers without end.
    TRAILERS = 65
    # Connections that are opened and abandoned.
    ABANDONED = 300
    # Streams whose reader stops.
    UNREAD_STREAMS = 66


class Profile(typing.NamedTuple):
    """Describe the requests that one ingress path takes.

    ATTEMPT in a head stands for a name that each request has for itself.
    """

    address: str
    # Head of a request, without its framing and the empty line at its end.
    head: bytes
    # A whole request that is answered at once.
    request: bytes
    # A whole request that is answered with a long stream.
    stream: bytes
    body_bytes: int


class Load:
    """Run clients of one or more kinds in a process of their own.

    In the process of a test they would hold up its endpoints.
    """

    def __init__(self, profile, *kinds):
        self._profile = profile
        self._kinds = kinds
        self._process = None

    async def __aenter__(self):
        """Start all clients."""
        fields = {
            name: value.decode('latin-1')
            if isinstance(value, bytes)
            else value
            for name, value in self._profile._asdict().items()
        }
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'standins.uncontrolled_clients',
            json.dumps(fields),
            *(kind.name for kind in self._kinds),
            cwd=pathlib.Path(__file__).parents[1],
        )
        return self

    async def __aexit__(self, *error):
        """End all clients, which closes their connections."""
        self._process.kill()
        await self._process.wait()


class Clients:
    """Run clients against one address."""

    def __init__(self, profile):
        self._profile = profile
        self._numbers = itertools.count()

    async def run(self, kinds):
        """Run the clients of some kinds until the process is killed."""
        async with asyncio.TaskGroup() as group:
            for kind in kinds:
                behave = getattr(self, f'_do_{kind.name.lower()}')
                for _ in range(kind.value):
                    group.create_task(self._run(behave))

    async def _run(self, behave):
        """Behave on one connection after the other."""
        while True:
            with contextlib.suppress(OSError, TimeoutError):
                await self._run_connection(behave)
            await asyncio.sleep(RECONNECT_S)

    async def _run_connection(self, behave):
        host, _, port = self._profile.address.rpartition(':')
        loop = asyncio.get_running_loop()
        with socket.socket() as sock:
            sock.setblocking(False)
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.sock_connect(sock, (host, int(port)))
            await behave(Connection(sock))

    def _name(self, data):
        """Return a request or the beginning of one, with its own name."""
        return data.replace(b'ATTEMPT', b'load-%d' % next(self._numbers))

    def _begin_body(self, framing):
        return self._name(self._profile.head) + framing + b'\r\n\r\n'

    def _begin_sized(self):
        length = str(self._profile.body_bytes).encode()
        return self._begin_body(b'content-length: ' + length)

    def _begin_chunked(self):
        return self._begin_body(b'transfer-encoding: chunked')

    async def _do_stalled_bodies(self, connection):
        await connection.send(self._begin_sized())
        await connection.send(
            b'x' * (self._profile.body_bytes - MISSING_BYTES)
        )
        await connection.wait_closed()

    async def _do_stalled_pieces(self, connection):
        await connection.send(self._begin_sized())
        left = self._profile.body_bytes - MISSING_BYTES
        while left > 0:
            await connection.send(b'x' * min(PIECE_BYTES, left))
            left -= PIECE_BYTES
            await asyncio.sleep(PIECE_PAUSE_S)
        await connection.wait_closed()

    async def _do_whole_bodies(self, connection):
        await connection.send(self._begin_sized())
        await connection.send(b'x' * self._profile.body_bytes)
        await connection.wait_closed()

    async def _do_pipelined(self, connection):
        count = BLOCK_BYTES // len(self._profile.request) + 1
        while True:
            requests = (
                self._name(self._profile.request) for _ in range(count)
            )
            await connection.send(b''.join(requests))

    async def _do_endless_heads(self, connection):
        await connection.send(self._profile.head)
        line = b'x: ' + b'y' * 1000 + b'\r\n'
        while True:
            await connection.send(line * 8)

    async def _do_stalled_heads(self, connection):
        await connection.send(self._profile.head)
        line = b'x: ' + b'y' * 1000 + b'\r\n'
        await connection.send(line * (STALLED_HEAD_BYTES // len(line)))
        await connection.wait_closed()

    async def _do_slow_heads(self, connection):
        for byte in self._profile.head * 1000:
            await connection.send(bytes([byte]))
            await asyncio.sleep(SLOW_BYTE_PAUSE_S)

    async def _do_empty_lines(self, connection):
        while True:
            await connection.send(b'\r\n' * (BLOCK_BYTES // 2))

    async def _do_tiny_chunks(self, connection):
        await connection.send(self._begin_chunked())
        block = b'1\r\nx\r\n' * (BLOCK_BYTES // 6)
        while True:
            await connection.send(block)

    async def _do_chunk_extensions(self, connection):
        await connection.send(self._begin_chunked() + b'1;')
        while True:
            await connection.send(b'x=' + b'y' * 1000 + b';')

    async def _do_trailers(self, connection):
        await connection.send(self._begin_chunked() + b'1\r\nx\r\n0\r\n')
        line = b'x: ' + b'y' * 1000 + b'\r\n'
        while True:
            await connection.send(line * 8)

    async def _do_abandoned(self, connection):
        await connection.wait_closed()

    async def _do_unread_streams(self, connection):
        await connection.send(self._name(self._profile.stream))
        await asyncio.Event().wait()


class Connection:
    """Send and receive on the socket of one client."""

    def __init__(self, sock):
        self._sock = sock
        self._loop = asyncio.get_running_loop()

    async def send(self, data):
        """Send all data, or raise OSError."""
        await self._loop.sock_sendall(self._sock, data)

    async def wait_closed(self):
        """Wait until the server closes the connection."""
        while await self._loop.sock_recv(self._sock, BLOCK_BYTES):
            pass


class Usage(typing.NamedTuple):
    """Store the largest use of memory and descriptors of a process."""

    resident_mb: float
    descriptors: int


class UsageWatch:
    """Sample the use of a process until it is stopped."""

    def __init__(self, pid):
        self._pid = pid
        self._descriptors = 0
        self._task = asyncio.create_task(self._sample())

    def stop(self):
        """Return the largest use since the process started."""
        self._task.cancel()
        return Usage(read_peak_mb(self._pid), self._descriptors)

    async def _sample(self):
        while True:
            with contextlib.suppress(FileNotFoundError):
                count = len(os.listdir(f'/proc/{self._pid}/fd'))
                self._descriptors = max(self._descriptors, count)
            await asyncio.sleep(SAMPLE_S)


def read_peak_mb(pid):
    """Return the peak resident memory of a process in megabytes."""
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    (line,) = (t for t in status.splitlines() if t.startswith('VmHWM:'))
    return int(line.split()[1]) * 1024 / 1e6


def main(arguments):
    """Run the clients that the arguments name."""
    fields = json.loads(arguments[0])
    for name in ('head', 'request', 'stream'):
        fields[name] = fields[name].encode('latin-1')
    kinds = [Kind[name] for name in arguments[1:]]
    asyncio.run(Clients(Profile(**fields)).run(kinds))


if __name__ == '__main__':
    main(sys.argv[1:])

"""Stand in for an endpoint that answers before it has read a request."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import json
import socket

from standins import platform_runner

# Little of a request waits unread in the endpoint and its socket.
READ_AHEAD_BYTES = 4096
SOCKET_BYTES = 16_384
SILENCE_S = 30.0


class Ending(enum.Enum):
    """Define what becomes of a connection after the answer."""

    # The sending side is shut down; the connection is reset a little later.
    SHUTDOWN_RESET = 'shutdown, reset'
    RESET = 'reset'
    # The sending side is shut down; the rest of the request is read.
    SHUTDOWN_READ = 'shutdown, read'
    # The sending side is shut down, and nothing more is read.
    SHUTDOWN_SILENCE = 'shutdown, silence'
    # The rest of the request is read first.
    READ_CLOSE = 'read, close'
    # As the one before, and the answer is written after it.
    READ_ANSWER = 'read, answer'


class EarlyEndpoint:
    """Write the same answer to each request, with its name for ATTEMPT."""

    def __init__(self):
        self.id = 'early'
        self.address = ''
        self.born = 1
        self.version = 'v1'
        self.answer = b''
        self.ending = Ending.READ_CLOSE
        # Seconds until the reset.
        self.reset_delay_s = 0.02
        self.runs = []
        # Bytes of the last request that were read.
        self.read_bytes = 0
        self._server = None

    async def start(self):
        """Listen on a free port."""
        listener = socket.socket()
        # Accepted sockets inherit it.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BYTES)
        listener.bind(('127.0.0.1', 0))
        self._server = await asyncio.start_server(
            self._serve, sock=listener, limit=READ_AHEAD_BYTES
        )
        host, port = listener.getsockname()
        self.address = f'{host}:{port}'

    async def stop(self):
        """Refuse further connections."""
        self._server.close()

    async def _serve(self, reader, writer):
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                if not head.startswith((b'GET /report ', b'GET /health ')):
                    break
                body = json.dumps({'Queued': 0, 'born': self.born}).encode()
                writer.write(
                    b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b'
                    % (len(body), body)
                )
                await writer.drain()
            await self._answer(head, reader, writer)
        writer.close()

    async def _answer(self, head, reader, writer):
        attempt = _find(head, b'attempt-id') or _find(head, b'x-request-id')
        size = int(_find(head, b'content-length') or b'0')
        self.runs.append(attempt.decode())
        self.read_bytes = 0
        answer = self.answer.replace(b'ATTEMPT', attempt)
        if self.ending is Ending.READ_ANSWER:
            await self._read(reader, size)
        writer.write(answer)
        await writer.drain()
        if self.ending is Ending.READ_CLOSE:
            await self._read(reader, size)
        elif self.ending is Ending.RESET:
            await asyncio.sleep(self.reset_delay_s)
            platform_runner.reset(writer)
        elif self.ending is not Ending.READ_ANSWER:
            writer.write_eof()
            if self.ending is Ending.SHUTDOWN_RESET:
                await asyncio.sleep(self.reset_delay_s)
                platform_runner.reset(writer)
            elif self.ending is Ending.SHUTDOWN_READ:
                await self._read(reader, size)
            else:
                await asyncio.sleep(SILENCE_S)

    async def _read(self, reader, size):
        while self.read_bytes < size:
            data = await reader.read(READ_AHEAD_BYTES)
            if not data:
                return
            self.read_bytes += len(data)


def _find(head, name):
    """Return the value of a header, or nothing."""
    for line in head.split(b'\r\n'):
        key, _, value = line.partition(b':')
        if key.lower() == name:
            return value.strip()
    return b''

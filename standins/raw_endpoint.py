"""Serve scripted HTTP responses from raw sockets."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import json

import h11

from standins import gateway_deployment
from standins import platform_runner

HEALTHY = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
EVENT_STREAM = b'Content-Type: text/event-stream\r\n'
JSON = b'Content-Type: application/json\r\n'


class Ending(enum.Enum):
    """List the ways to end a connection that a script may contain."""

    CLOSE = 'close'
    RESET = 'reset'


def head(status=200, *lines):
    """Return a response head with some header lines."""
    return b'HTTP/1.1 %d Status\r\n%s\r\n' % (status, b''.join(lines))


def whole(status, content_type, body):
    """Return a response with its length."""
    length = b'Content-Length: %d\r\n' % len(body)
    return head(status, content_type, length) + body


def chunk(data):
    """Return one chunk of a chunked body; without data, the last one."""
    return b'%x\r\n%s\r\n' % (len(data), data)


CHUNKED = b'Transfer-Encoding: chunked\r\n'


class RawEndpoint:
    """Play a script for each request and record the requests.

    A script is a sequence of bytes to send, seconds of silence and an Ending;
    without one the connection is closed. The last script of a list is
    repeated.
    """

    def __init__(self):
        self.address = ''
        # Scripts of calls, of streams that are resumed and of health checks.
        self.calls = [(whole(200, JSON, b'{}'),)]
        self.resumed = [(whole(404, JSON, b'{"error": "no such stream"}'),)]
        self.health = [(HEALTHY,)]
        # Attempts that are listed as retained, and how late each list is.
        self.listed = []
        self.listing_delays_s = [0.0]
        # Attempts that were sent here.
        self.attempts = []
        # Seconds before the body of a request is read.
        self.reading_pause_s = 0.0
        self.requests = []
        self._server = None

    async def start(self):
        """Start listening on a free port."""
        self.address = f'127.0.0.1:{gateway_deployment.free_port()}'
        await self.listen()

    async def listen(self):
        """Listen on the address again."""
        host, _, port = self.address.rpartition(':')
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def stop(self):
        """Refuse further connections."""
        self._server.close()

    def fall_silent_once(self, seconds):
        """Answer the next health check late."""
        self.health = [(seconds, HEALTHY), (HEALTHY,)]

    def count_calls(self):
        """Return how many requests ran, without those about streams."""
        return sum(1 for _, target in self.requests if _is_call(target))

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            request = await _read_request(reader, self.reading_pause_s)
            target = request.target.decode()
            self.requests.append((request.method.decode(), target))
            if _is_call(target):
                attempt = dict(request.headers)[b'x-request-id']
                self.attempts.append(attempt.decode())
            await _play(self._next_script(target), writer)
        writer.close()

    def _next_script(self, target):
        if target == '/health':
            scripts = self.health
        elif target == '/v1/streams':
            delay_s = _next(self.listing_delays_s)
            listed = json.dumps({'streams': self.listed}).encode()
            return (delay_s, whole(200, JSON, listed))
        elif _is_call(target):
            scripts = self.calls
        else:
            scripts = self.resumed
        return _next(scripts)


def _next(items):
    """Remove and return the first item, or return the last one."""
    return items.pop(0) if len(items) > 1 else items[0]


def _is_call(target):
    return target != '/health' and not target.startswith('/v1/streams')


async def _play(script, writer):
    for step in script:
        if isinstance(step, bytes):
            writer.write(step)
            await writer.drain()
        elif step is Ending.RESET:
            # Lets the peer read what was sent.
            await asyncio.sleep(0.02)
            platform_runner.reset(writer)
            return
        elif step is Ending.CLOSE:
            return
        else:
            await asyncio.sleep(step)


async def _read_request(reader, pause_s):
    http = h11.Connection(h11.SERVER)
    request = None
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            http.receive_data(await reader.read(65_536))
        elif isinstance(event, h11.Request):
            request = event
            if request.method == b'POST':
                await asyncio.sleep(pause_s)
        elif isinstance(event, h11.EndOfMessage):
            return request
        elif isinstance(event, h11.ConnectionClosed):
            raise asyncio.IncompleteReadError(b'', None)

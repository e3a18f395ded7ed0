"""Send an ingress requests that are valid, damaged, cut short or garbage."""

from __future__ import annotations

import asyncio
import contextlib
import random
import re
import typing

from standins import platform_runner

# Statuses that guarantee that a request has not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)
STATUS_LINE = re.compile(rb'HTTP/1\.1 (\d\d\d) ')
PARALLEL = 20
MAX_REQUESTS = 4
MAX_BODY_BYTES = 20_000
MAX_PIECES = 40
DAMAGED_SHARE = 0.6
# Time without data after which a client stops to read, and time for requests
# on their way.
QUIET_S = 0.3
SETTLE_S = 1.0
ORDINARY_TIMEOUT_S = 20.0
GARBAGE = (
    b'\r\n',
    b'\n',
    b'\x00',
    b'\xff\xfe',
    b'0\r\n\r\n',
    b'ffffffffffffffff\r\n',
    b'-1\r\n',
    b'1;' + b'e' * 5000 + b'\r\n',
    b'x: ' + b'y' * 70_000,
    b'content-length: 5\r\n',
    b'transfer-encoding: chunked\r\n\r\n',
    b'GET / HTTP/0.9\r\n\r\n',
    b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n',
    b'connection: close\r\n',
    b'expect: 100-continue\r\n',
)


class Target(typing.NamedTuple):
    """Describe the ingress that is fuzzed."""

    address: str
    # Returns the head of a request by its name, without framing.
    make_head: typing.Callable
    # Returns whether the request of a name has run.
    has_run: typing.Callable
    # Sends an ordinary request and returns whether it was answered.
    send_ordinary: typing.Callable


class Finding(typing.NamedTuple):
    """Describe what is wrong after a seed."""

    problem: str
    detail: str


async def fuzz(seed, connections, target):
    """Open connections of one seed; return the findings."""
    loop = asyncio.get_running_loop()
    findings, refused = [], []

    def record_error(loop, context):
        findings.append(Finding('error in the event loop', repr(context)))

    former = loop.get_exception_handler()
    loop.set_exception_handler(record_error)
    limit = asyncio.Semaphore(PARALLEL)
    try:

        async def run(number):
            async with limit:
                client = FuzzClient(f'{seed}-{number}', target)
                with contextlib.suppress(OSError):
                    await client.run()
                refused.extend(client.find_refused())

        await asyncio.gather(*(run(n) for n in range(connections)))
        await asyncio.sleep(SETTLE_S)
    finally:
        loop.set_exception_handler(former)
    for name in refused:
        if target.has_run(name):
            findings.append(Finding('refused as not run, but has run', name))
    try:
        async with asyncio.timeout(ORDINARY_TIMEOUT_S):
            served = await target.send_ordinary()
    except TimeoutError:
        served = False
    if not served:
        findings.append(Finding('ordinary request not answered', str(seed)))
    return findings


class FuzzClient:
    """Send what a seed says on one connection, and read the responses."""

    def __init__(self, name, target):
        self._rng = random.Random(name)
        self._target = target
        count = self._rng.randint(1, MAX_REQUESTS)
        self._names = [f'{name}-{number}' for number in range(count)]
        self._received = bytearray()
        # Whether each response belongs to the request of the same number.
        self._in_order = True

    async def run(self):
        """Send all requests, and end the connection in one of its ways."""
        host, _, port = self._target.address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        reading = asyncio.create_task(self._read(reader))
        try:
            for piece in self._cut(self._make_stream()):
                writer.write(piece)
                if self._rng.random() < 0.3:
                    await asyncio.sleep(self._rng.random() * 0.02)
            if self._rng.random() < 0.3:
                writer.write_eof()
            if self._rng.random() < 0.7:
                await reading
        finally:
            reading.cancel()
            if self._rng.random() < 0.3:
                platform_runner.reset(writer)
            writer.close()

    def find_refused(self):
        """Return the names of the requests that were refused as not run."""
        if not self._in_order:
            # A damaged request may be read as several.
            return []
        statuses = [int(s) for s in STATUS_LINE.findall(self._received)]
        final = [status for status in statuses if status >= 200]
        return [
            name
            for name, status in zip(self._names, final)
            if status in NOT_RUN_STATUSES
        ]

    async def _read(self, reader):
        with contextlib.suppress(OSError, TimeoutError):
            while True:
                async with asyncio.timeout(QUIET_S):
                    data = await reader.read(65_536)
                if not data:
                    return
                self._received += data

    def _make_stream(self):
        data = b''.join(self._make_request(name) for name in self._names)
        if self._rng.random() < DAMAGED_SHARE:
            for _ in range(self._rng.randint(1, 3)):
                data = self._damage(data)
        return data

    def _make_request(self, name):
        head = self._target.make_head(name)
        body = b'b' * self._rng.choice((0, 1, 300, MAX_BODY_BYTES))
        if self._rng.random() < 0.5:
            length = b'content-length: %d\r\n\r\n' % len(body)
            return head + length + body
        chunks = [head + b'transfer-encoding: chunked\r\n\r\n']
        size = self._rng.choice((1, 7, 1000))
        for begin in range(0, len(body), size):
            part = body[begin : begin + size]
            chunks.append(b'%x\r\n%s\r\n' % (len(part), part))
        chunks.append(b'0\r\n\r\n')
        return b''.join(chunks)

    def _damage(self, data):
        at = self._rng.randrange(len(data) + 1)
        kind = self._rng.randrange(4)
        if kind == 0:
            return data[:at] or b'G'
        self._in_order = False
        if kind == 1:
            times = self._rng.choice((1, 1, 500))
            return data[:at] + self._rng.choice(GARBAGE) * times + data[at:]
        if kind == 2:
            return data[:at] + data[at + self._rng.randint(1, 50) :] or b'G'
        return data[:at] + self._rng.randbytes(20) + data[at:]

    def _cut(self, data):
        count = self._rng.randint(1, MAX_PIECES)
        ends = sorted(self._rng.randrange(len(data) + 1) for _ in range(count))
        begin = 0
        for end in (*ends, len(data)):
            if end > begin:
                yield data[begin:end]
                begin = end

"""Stand in for an endpoint that writes bytes without end."""

from __future__ import annotations

import asyncio
import contextlib
import json

BLOCK_BYTES = 65_536
NAMED = b'attempt-id: ATTEMPT\r\nupstream-signature: endless\r\n'
OK = b'HTTP/1.1 200 OK\r\n' + NAMED
PLAIN = b'content-type: text/plain\r\n'
EVENTS = b'content-type: text/event-stream\r\n'
CHUNKS = b'transfer-encoding: chunked\r\n'
FAILED = b'HTTP/1.1 500 Internal Server Error\r\n' + NAMED
COPY = b'HTTP/1.1 200 OK\r\nattempt-id: other\r\n'
BLOCK = b'x' * BLOCK_BYTES
# What is written once, and what is written without end after it.
ANSWERS = {
    'failure': (FAILED + PLAIN + b'\r\n', BLOCK),
    'failure_in_chunks': (FAILED + CHUNKS + b'\r\n', b'4000\r\n%b\r\n'),
    'body': (OK + PLAIN + b'\r\n', BLOCK),
    'long_body': (OK + PLAIN + b'content-length: 900000000\r\n\r\n', BLOCK),
    'chunks': (OK + PLAIN + CHUNKS + b'\r\n', b'4000\r\n%b\r\n'),
    'tiny_chunks': (OK + PLAIN + CHUNKS + b'\r\n', b'1\r\nx\r\n'),
    'failure_in_tiny_chunks': (FAILED + CHUNKS + b'\r\n', b'1\r\nx\r\n'),
    'chunk_extension': (OK + PLAIN + CHUNKS + b'\r\n1;', b'x'),
    'head': (OK, b'x-filler: 0123456789\r\n'),
    'head_line': (OK + b'x-filler: ', b'x'),
    'interim': (b'', b'HTTP/1.1 102 Processing\r\n\r\n'),
    'trailers': (OK + PLAIN + CHUNKS + b'\r\n0\r\n', b'x-filler: 0\r\n'),
    'event': (OK + EVENTS + b'\r\n', b'data: 0123456789\n'),
    'event_line': (OK + EVENTS + b'\r\ndata: ', b'x'),
    'tiny_events': (OK + EVENTS + b'\r\n', b':\n\n'),
    'event_in_tiny_chunks': (OK + EVENTS + CHUNKS + b'\r\n', b'1\r\nx\r\n'),
    'copy': (COPY + PLAIN + b'\r\n', BLOCK),
    'copies': (b'', COPY + b'content-length: 0\r\n\r\n'),
    'copy_in_tiny_chunks': (COPY + CHUNKS + b'\r\n', b'1\r\nx\r\n'),
    'bytes_after_an_answer': (OK + b'content-length: 2\r\n\r\nok', BLOCK),
    'answers_after_an_answer': (
        OK + b'content-length: 2\r\n\r\nok',
        OK + b'content-length: 2\r\n\r\nok',
    ),
    'no_answer': (b'', b'x'),
    'empty_lines': (b'', b'\r\n'),
}
# The same for the question for the start of an endpoint.
REPORTS = {
    'report': (b'HTTP/1.1 200 OK\r\n\r\n', BLOCK),
    'report_in_tiny_chunks': (
        b'HTTP/1.1 200 OK\r\n' + CHUNKS + b'\r\n',
        b'1\r\nx\r\n',
    ),
}


class EndlessEndpoint:
    """Write bytes without end while endless is set, else short answers.

    endless is a name in ANSWERS or REPORTS.
    """

    def __init__(self, endpoint_id):
        self.id = endpoint_id
        self.address = ''
        self.born = 1
        self.version = 'v1'
        self.endless = None
        self.written_bytes = 0
        self._server = None

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    async def stop(self):
        """Refuse further connections."""
        self._server.close()

    async def _serve(self, reader, writer):
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while await self._respond(reader, writer):
                await writer.drain()
        writer.close()

    async def _respond(self, reader, writer):
        """Answer a request; return whether the connection may go on."""
        head = await reader.readuntil(b'\r\n\r\n')
        fields = dict(
            line.lower().partition(b': ')[::2]
            for line in head.split(b'\r\n')[1:-2]
        )
        await reader.readexactly(int(fields.get(b'content-length', b'0')))
        attempt = fields.get(b'attempt-id', b'')
        if head.startswith((b'GET /report ', b'GET /health ')):
            if self.endless in REPORTS:
                await self._write_endlessly(writer, REPORTS, attempt)
                return False
            body = json.dumps({'Queued': 0, 'born': self.born}).encode()
            self._write_answer(writer, b'HTTP/1.1 200 OK\r\n', body)
        elif self.endless in ANSWERS:
            await self._write_endlessly(writer, ANSWERS, attempt)
            return False
        elif fields.get(b'accept') == b'text/event-stream':
            body = b'id: 1\ndata: piece 1\n\n'
            self._write_answer(
                writer, OK.replace(b'ATTEMPT', attempt) + EVENTS, body
            )
        else:
            head = OK.replace(b'ATTEMPT', attempt)
            self._write_answer(writer, head, b'answer ' + attempt)
        return True

    def _write_answer(self, writer, head, body):
        length = b'content-length: %d\r\n\r\n' % len(body)
        writer.write(head + length + body)

    async def _write_endlessly(self, writer, answers, attempt):
        begin, data = answers[self.endless]
        writer.write(begin.replace(b'ATTEMPT', attempt))
        if b'%b' in data:
            data = data.replace(b'%b', BLOCK[:16_384])
        data = data.replace(b'ATTEMPT', attempt)
        block = data * max(BLOCK_BYTES // len(data), 1)
        while self.endless is not None:
            writer.write(block)
            await writer.drain()
            self.written_bytes += len(block)
            # Others run as well if the socket takes all.
            await asyncio.sleep(0)

"""Test the limits of single connections, with a server in this process."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import unittest
import weakref

from persimmonroute import caller_account
from persimmonroute import caller_protocol
from persimmonroute import clock
from persimmonroute import http_server
from standins import gateway_deployment as deployments

# Long enough for the delays of a busy machine, so that only what has to end
# does.
TIMEOUT_S = 0.4
END_S = 15.0
HEADER_BYTES = 2000
REQUEST = b'POST / HTTP/1.1\r\nhost: x\r\n'
CHUNKED = REQUEST + b'transfer-encoding: chunked\r\n\r\n'
LIMITS = caller_protocol.ConnectionLimits(
    HEADER_BYTES, TIMEOUT_S, TIMEOUT_S, 1.0
)


class EchoApp:
    """Answer each request with the size of its body."""

    response_bytes = 0
    # Whether a response waits for the end of the body.
    reads_body = True

    def __init__(self):
        self.served = 0

    async def __call__(self, scope, receive, send):
        """Serve one request."""
        size = 0
        while self.reads_body:
            message = await receive()
            if message['type'] == 'http.disconnect':
                return
            size += len(message['body'])
            if not message['more_body']:
                break
        self.served += 1
        body = str(size).encode() + b'x' * self.response_bytes
        length = str(len(body)).encode()
        await send(
            {
                'type': 'http.response.start',
                'status': 200,
                'headers': [(b'content-length', length)],
            }
        )
        await send({'type': 'http.response.body', 'body': body})


class HoldingApp:
    """Answer no request before all are released."""

    def __init__(self):
        self.released = asyncio.Event()

    async def __call__(self, scope, receive, send):
        """Serve one request."""
        await self.released.wait()
        await send(
            {
                'type': 'http.response.start',
                'status': 200,
                'headers': [(b'content-length', b'0')],
            }
        )
        await send({'type': 'http.response.body', 'body': b''})


class FullServerTests(unittest.IsolatedAsyncioTestCase):
    """Take all places of a server with open requests."""

    connections = 8

    async def asyncSetUp(self):
        """Start a server, and open as many requests as it has places."""
        self.app = HoldingApp()
        limits = caller_account.AccountLimits(connections=self.connections)
        self.account = caller_account.CallerAccount(limits)
        self.port = deployments.free_port()
        self.server = http_server.build_server(
            self.app,
            f'127.0.0.1:{self.port}',
            1.0,
            guard=caller_protocol.ConnectionGuard(self.account),
        )
        self.task = asyncio.create_task(self.server.serve())
        self.addAsyncCleanup(self._stop)
        while not self.server.started:
            await asyncio.sleep(0.01)
        self.opened = [await self._send() for _ in range(self.connections)]
        await self._wait_for(self.connections)

    async def _stop(self):
        self.app.released.set()
        self.server.should_exit = self.server.force_exit = True
        self.server.abort()
        await self.task

    async def _send(self):
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        self.addCleanup(writer.close)
        writer.write(REQUEST + b'content-length: 0\r\n\r\n')
        return reader, writer

    async def _wait_for(self, count):
        async with asyncio.timeout(END_S):
            while count != sum(h.is_complete for h in self.account.holdings):
                await asyncio.sleep(0.01)

    async def test_callers_beyond_the_places_are_refused(self):
        """Guards against callers that wait behind a pause for ever."""
        readers = [(await self._send())[0] for _ in range(self.connections)]
        async with asyncio.timeout(END_S):
            for reader in readers:
                line = await reader.readline()
                self.assertTrue(line.startswith(b'HTTP/1.1 503 '), line)
        self.assertGreater(self.account.pauses, 0)
        self.assertEqual(len(self.account.holdings), self.connections)

    async def test_place_of_a_closed_connection_is_taken(self):
        """Guards against a pause that does not end."""
        await self._send()
        async with asyncio.timeout(END_S):
            while not self.account.pauses:
                await asyncio.sleep(0.01)
        self.opened[0][1].close()
        await self._wait_for(self.connections - 1)
        reader, _ = await self._send()
        await self._wait_for(self.connections)
        self.app.released.set()
        async with asyncio.timeout(END_S):
            line = await reader.readline()
        self.assertTrue(line.startswith(b'HTTP/1.1 200 '), line)

    async def test_stop_ends_a_pause(self):
        """Guards against connections reset in the backlog by a stop."""
        for acceptor in self.server._acceptors:
            acceptor.pause(END_S)
        reader, _ = await self._send()
        self.server.stop(END_S)
        async with asyncio.timeout(END_S):
            line = await reader.readline()
        self.assertTrue(line.startswith(b'HTTP/1.1 503 '), line)


class CallerProtocolTests(unittest.IsolatedAsyncioTestCase):
    """Send requests that are out of bounds, and some that are not."""

    async def asyncSetUp(self):
        """Start a server with small limits."""
        self.app = EchoApp()
        self.guard = caller_protocol.ConnectionGuard(
            caller_account.CallerAccount(), lambda: LIMITS
        )
        self.address = f'127.0.0.1:{deployments.free_port()}'
        self.server = http_server.build_server(
            self.app, self.address, 1.0, 0.0, self.guard
        )
        self.task = asyncio.create_task(self.server.serve())
        self.addAsyncCleanup(self._stop)
        while not self.server.started:
            await asyncio.sleep(0.01)
        host, _, port = self.address.rpartition(':')
        self.reader, self.writer = await asyncio.open_connection(
            host, int(port)
        )
        self.addCleanup(self.writer.close)

    async def _stop(self):
        self.server.should_exit = self.server.force_exit = True
        self.server.abort()
        await self.task

    async def _read_to_end(self):
        async with asyncio.timeout(END_S):
            with contextlib.suppress(ConnectionResetError):
                return await self.reader.read()
        return b''

    async def _check_refused(self, status, reason=None):
        data = await self._read_to_end()
        self.assertTrue(data.startswith(b'HTTP/1.1 %d ' % status), data)
        self.assertEqual(self.app.served, 0)
        if reason is not None:
            self.assertEqual(self.guard.account.refusals[reason], 1)

    async def _read_response(self):
        async with asyncio.timeout(END_S):
            head = await self.reader.readuntil(b'\r\n\r\n')
            length = head.lower().split(b'content-length: ')[1].split()[0]
            return await self.reader.readexactly(int(length))

    async def test_head_over_the_limit_gets_431(self):
        """Guards against heads that take memory without end."""
        size = LIMITS.head_bytes + 1
        self.writer.write(REQUEST + b'x: ' + b'y' * size)
        await self._check_refused(431, 'head_size')

    async def test_head_within_the_limit_is_served_in_pieces(self):
        """Guards against a limit below that of the configuration."""
        head = REQUEST + b'x: ' + b'y' * HEADER_BYTES + b'\r\n'
        for begin in range(0, len(head), 100):
            self.writer.write(head[begin : begin + 100])
            await asyncio.sleep(0)
        self.writer.write(b'content-length: 2\r\n\r\nab')
        self.assertEqual(await self._read_response(), b'2')

    async def test_head_that_takes_too_long_gets_408(self):
        """Guards against heads that come one byte at a time."""

        async def send():
            for byte in REQUEST * 100:
                self.writer.write(bytes([byte]))
                await asyncio.sleep(0.05)

        sending = asyncio.create_task(send())
        try:
            await self._check_refused(408, 'head_timeout')
        finally:
            sending.cancel()
            await asyncio.gather(sending, return_exceptions=True)

    async def test_body_that_stops_gets_408(self):
        """Guards against bodies that stay short of their end for ever."""
        self.writer.write(REQUEST + b'content-length: 10\r\n\r\nabc')
        await self._check_refused(408, 'body_timeout')

    async def test_slow_body_with_progress_is_served(self):
        """Guards against a time limit for the whole body."""
        self.writer.write(REQUEST + b'content-length: 20\r\n\r\n')
        for _ in range(20):
            await asyncio.sleep(TIMEOUT_S / 4)
            self.writer.write(b'x')
        self.assertEqual(await self._read_response(), b'20')

    async def test_empty_lines_get_400(self):
        """Guards against empty lines that are read without end."""
        self.writer.write(b'\r\n' * 1000)
        await self._check_refused(400)

    async def test_chunk_extensions_without_end_are_refused(self):
        """Guards against framing that no limit of bodies counts."""
        self.writer.write(CHUNKED)
        line = b'1;' + b'e' * 900 + b'\r\nx\r\n'
        self.writer.write(line * 200)
        await self._check_refused(400, 'framing')

    async def test_trailers_without_end_are_refused(self):
        """Guards against trailers that take memory without end."""
        self.writer.write(CHUNKED + b'0\r\n' + b'x: yyyyyyyyyy\r\n' * 10_000)
        await self._check_refused(431)

    async def test_body_in_chunks_of_one_byte_is_served(self):
        """Guards against slices that lose or reorder data."""
        self.writer.write(CHUNKED + b'1\r\nx\r\n' * 20_000 + b'0\r\n\r\n')
        self.assertEqual(await self._read_response(), b'20000')
        self.writer.write(CHUNKED + b'2\r\nxy\r\n0\r\n\r\n')
        self.assertEqual(await self._read_response(), b'2')

    async def test_rest_of_a_body_after_its_response_is_discarded(self):
        """Guards against framing that is forgotten with the response."""
        self.app.reads_body = False
        self.writer.write(CHUNKED + b'1\r\nx\r\n')
        self.assertEqual(await self._read_response(), b'0')
        self.writer.write(b'1\r\nx\r\n' * 5000 + b'0\r\n\r\n')
        self.writer.write(CHUNKED + b'0\r\n\r\n')
        self.assertEqual(await self._read_response(), b'0')
        self.assertEqual(self.app.served, 2)

    async def test_pipelined_requests_are_answered_in_order(self):
        """Guards against read-ahead that is bounded by dropping requests."""
        count = 400
        for number in range(count):
            body = b'x' * (number % 7)
            length = b'content-length: %d\r\n\r\n' % len(body)
            self.writer.write(REQUEST + length + body)
        for number in range(count):
            expected = str(number % 7).encode()
            self.assertEqual(await self._read_response(), expected, number)

    async def test_read_ahead_is_bounded(self):
        """Guards against pipelined requests that are read without end."""
        self.app.response_bytes = 4_000_000
        request = REQUEST + b'content-length: 0\r\n\r\n'
        for _ in range(200):
            self.writer.write(request * 1000)
            await asyncio.sleep(0)
        await asyncio.sleep(2 * TIMEOUT_S)
        (holding,) = self.guard.account.holdings
        limit = caller_account.MAX_UNPARSED_BYTES
        self.assertLessEqual(holding.unparsed, limit)

    async def test_connection_that_is_not_read_is_closed(self):
        """Guards against unread responses that stay for ever."""
        self.app.response_bytes = 16_000_000
        self.writer.transport.pause_reading()
        self.writer.write(REQUEST + b'content-length: 0\r\n\r\n')
        async with asyncio.timeout(END_S):
            while not self.guard.account.refusals['unread']:
                await asyncio.sleep(0.05)
            while self.guard.account.holdings:
                await asyncio.sleep(0.05)

    async def test_unsent_bytes_are_counted_when_they_are_written(self):
        """Guards against responses that exceed the memory between checks."""
        self.guard.check = lambda connections, now: None
        self.app.response_bytes = 16_000_000
        self.writer.transport.pause_reading()
        self.writer.write(REQUEST + b'content-length: 0\r\n\r\n')
        (holding,) = self.guard.account.holdings
        async with asyncio.timeout(END_S):
            while not self.app.served:
                await asyncio.sleep(0.01)
            (connection,) = self.server.server_state.connections
            unsent = connection.transport.get_write_buffer_size()
            self.assertGreater(unsent, self.app.response_bytes // 2)
            self.assertEqual(holding.written, unsent)
            # What is sent is released without a check as well.
            self.writer.transport.resume_reading()
            await self._read_response()
            while holding.written > caller_protocol.WRITE_BUFFER_BYTES:
                await asyncio.sleep(0.01)

    async def test_unread_response_that_is_written_is_cut(self):
        """Guards against a limit that takes effect at the next check only."""
        now = clock.now_s()
        self.guard.check = lambda connections, now: None
        self.app.response_bytes = 16_000_000
        (holding,) = self.guard.account.holdings
        account = self.guard.account
        account.limits = caller_account.AccountLimits(memory_bytes=1_000_000)
        closed = []
        other = account.open(now, closed.append)
        other.enter(
            caller_account.Stage.PASSED_ON,
            now - 2 * caller_account.UNREAD_STALL_S,
        )
        other.add_queued(500_000, now)
        self.writer.transport.pause_reading()
        self.writer.write(REQUEST + b'content-length: 0\r\n\r\n')
        async with asyncio.timeout(END_S):
            while not self.app.served:
                await asyncio.sleep(0.01)
        self.assertEqual(closed, [caller_account.Reason.MEMORY])
        self.assertEqual(account.responses_cut, 1)
        self.assertGreater(holding.written, 1_000_000)

    def _watch_parser(self):
        """Return a reference to the parser, and collect no garbage."""
        gc.disable()
        self.addCleanup(gc.enable)
        (connection,) = self.server.server_state.connections
        return weakref.ref(connection.conn)

    async def test_refused_request_keeps_no_data(self):
        """Guards against buffers that stay while a caller reads no refusal."""
        parser = self._watch_parser()
        trailers = b'x: yyyyyyyyyy\r\n' * 10_000
        self.writer.write(CHUNKED + b'1\r\nx\r\n0\r\n' + trailers)
        async with asyncio.timeout(END_S):
            await self.reader.readuntil(b'\r\n\r\n')
        self.assertEqual(len(self.guard.account.holdings), 1)
        self.assertIsNone(parser())

    async def test_closed_connection_keeps_no_data(self):
        """Guards against buffers that stay until garbage is collected."""
        parser = self._watch_parser()
        trailers = b'x: yyyyyyyyyy\r\n' * 100
        self.writer.write(CHUNKED + b'1\r\nx\r\n0\r\n' + trailers)
        (holding,) = self.guard.account.holdings
        async with asyncio.timeout(END_S):
            while holding.unparsed < len(trailers):
                await asyncio.sleep(0.01)
            self.writer.close()
            while self.guard.account.holdings:
                await asyncio.sleep(0.01)
        self.assertIsNone(parser())

    async def test_nothing_is_held_after_connections_end(self):
        """Guards against an account that only grows."""
        self.writer.write(REQUEST + b'content-length: 10\r\n\r\nabc')
        await asyncio.sleep(0.1)
        self.assertGreater(self.guard.account.used, 0)
        self.writer.close()
        async with asyncio.timeout(END_S):
            while self.guard.account.holdings:
                await asyncio.sleep(0.01)
        self.assertEqual(self.guard.account.used, 0)

"""Test the shares of time and memory for responses of endpoints."""

from __future__ import annotations

import asyncio
import unittest

from persimmonroute import event_stream
from persimmonroute import http_connection
from persimmonroute import reading_budget


class TimeBudgetTests(unittest.TestCase):
    """Use the processor for long parsing."""

    def setUp(self):
        """Create a budget that was not used."""
        self.budget = reading_budget.TimeBudget()

    def test_short_use_waits_for_nothing(self):
        """Guards against delays of sound responses."""
        for number in range(100):
            self.assertEqual(self.budget.take(0.001, number * 0.01), 0.0)

    def test_long_use_leaves_time_to_others(self):
        """A connection that parses without end waits most of the time."""
        now = used_s = 0.0
        while used_s < 10.0:
            used_s += 0.001
            now += 0.001 + self.budget.take(0.001, now)
        self.assertLessEqual(
            used_s / now, 1.05 * reading_budget.LONG_PARSING_SHARE
        )

    def test_wait_ends(self):
        """What was used is forgotten with time."""
        wait_s = self.budget.take(1.0, 0.0)
        self.assertAlmostEqual(
            wait_s,
            (1.0 - reading_budget.BURST_S) / reading_budget.LONG_PARSING_SHARE,
        )
        self.assertEqual(self.budget.take(0.001, wait_s + 1.0), 0.0)


class ResponseMemoryTests(unittest.TestCase):
    """Keep responses."""

    def test_each_response_may_keep_a_little(self):
        """Guards against short answers that are not kept for retries."""
        memory = reading_budget.ResponseMemory(100_000)
        with memory.hold(reading_budget.KeptBody) as large:
            large.add(b'x' * 100_001)
            self.assertFalse(large.allowed)
            with memory.hold(reading_budget.KeptBody) as small:
                small.add(b'x' * reading_budget.LEAST_BYTES)
                self.assertTrue(small.allowed)
                small.add(b'x')
                self.assertFalse(small.allowed)
        self.assertEqual(memory.used, 0)

    def test_pieces_are_joined_in_order(self):
        """Guards against objects that are larger than what they hold."""
        body = reading_budget.KeptBody(reading_budget.ResponseMemory())
        data = bytes(n % 251 for n in range(100_000))
        for start in range(0, len(data), 7):
            body.add(data[start : start + 7])
        self.assertEqual(body.size, len(data))
        parts = body.take()
        self.assertLessEqual(
            len(parts), len(data) // reading_budget.PART_BYTES + 2
        )
        self.assertEqual(b''.join(parts), data)
        self.assertEqual((body.size, body.take()), (0, []))

    def test_memory_follows_the_settings(self):
        """An instance that states nothing has a bound as well."""
        derive = reading_budget.derive_response_bytes
        self.assertEqual(derive(142, 42), 20 * reading_budget.MEGABYTE)
        self.assertEqual(derive(43, 42), reading_budget.MIN_RESPONSE_BYTES)
        self.assertEqual(
            derive(None, 42), reading_budget.DEFAULT_RESPONSE_BYTES
        )


class EventSplitterTests(unittest.TestCase):
    """Split streams that come in pieces of any size."""

    def test_pieces_give_the_same_events(self):
        """Guards against a blank line that is missed at a border."""
        stream = (
            b'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: c\n\n'
            b'id: 3\rdata: d\r\rid: 4\ndata: e\n\n\ndata: rest'
        )
        whole = event_stream.EventSplitter()
        expected = [event.data for event in whole.feed(stream)]
        for size in (2, 3, 4, 5, 11):
            splitter = event_stream.EventSplitter()
            events = []
            for start in range(0, len(stream), size):
                events += splitter.feed(stream[start : start + size])
            joined = b''.join(event.data for event in events) + splitter.rest
            self.assertEqual(joined, stream)
            ids = [event.id for event in events if event.id is not None]
            self.assertEqual(ids, [1, 2, 3, 4], size)
        self.assertEqual(len(expected), 5)


class SoundBodyTests(unittest.IsolatedAsyncioTestCase):
    """Read sound bodies whose framing is costly."""

    async def test_body_in_chunks_of_one_byte_arrives(self):
        """Guards against sound answers that are taken for a fault."""
        body = bytes(n % 251 for n in range(30_000))

        async def serve(reader, writer):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(
                b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
            )
            for byte in body:
                writer.write(b'1\r\n%c\r\n' % byte)
            writer.write(b'0\r\n\r\n')
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        conn = await http_connection.open_connection(f'{host}:{port}', 1.0)
        self.addCleanup(conn.abort)
        conn.send_request('GET', '/', [('host', 'x')], b'')
        response = await http_connection.read_response(conn, 10.0)
        self.assertEqual(response.body, body)

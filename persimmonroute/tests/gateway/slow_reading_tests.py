"""Test callers that read slowly, with real connections."""

from __future__ import annotations

import asyncio
import re
import socket
import unittest

from standins import gateway_deployment as deployments
from standins import platform_runner

# Larger than what the sockets between an endpoint and a caller hold.
EVENT_BYTES = 16_384
EVENTS = 750
# For how long endpoints here leave a response unread.
UNREAD_LIMIT_S = 1.0
CALLER_BUFFER_BYTES = 16_384
TIMEOUT_S = 60.0
POLL_S = 0.05
TIMEOUT_MS = 120_000
IN_FLIGHT = re.compile(
    r'persimmonroute_endpoint_in_flight\{[^}]*"own"[^}]*\} (\S+)'
)


class LargeRunner(platform_runner.RunnerStandIn):
    """Answer with much, and cut off what stays unread."""

    unread_limit_s = UNREAD_LIMIT_S
    silence_s = 2 * TIMEOUT_S
    event_count = EVENTS
    event_pause_s = 0.0

    def make_event(self, attempt, number):
        """Return one large server-sent event."""
        return b'id: %d\ndata: %s\n\n' % (number, b'x' * EVENT_BYTES)

    @property
    def whole(self):
        """Return all events."""
        return b''.join(
            self.make_event(b'', number)
            for number in range(1, self.event_count + 1)
        )

    async def _do_half(self, reply, headers):
        """Send half of a stream, and nothing more for long."""
        await self._send_half(reply, headers)
        await self._be_silent(reply)
        return False

    async def _do_half_and_close(self, reply, headers):
        """Send half of a stream, and close the connection in order."""
        await self._send_half(reply, headers)
        return False

    async def _send_half(self, reply, headers):
        await self._begin_stream(reply, headers)
        for number in range(1, self.event_count // 2 + 1):
            await reply.send_data(self.make_event(reply.attempt, number))

    async def _do_whole(self, reply, headers):
        """Answer with a body that is no stream."""
        await reply.send_complete(200, self.whole, [])
        return True


class SlowCaller:
    """Send a request, and read the response when the test says so."""

    def __init__(self, address, path, attempt='slow', version='1.1'):
        self._address = address
        self._head = (
            f'POST {path} HTTP/{version}\r\nhost: {deployments.HOST}\r\n'
            f'attempt-id: {attempt}\r\naccept: text/event-stream\r\n'
            f'authorization: Bearer {deployments.KEY}\r\n'
            f'deadline-remaining-ms: {TIMEOUT_MS}\r\n'
            'content-length: 0\r\n\r\n'
        ).encode()
        self._writer = None
        self.reader = None

    async def start(self):
        """Send the request, and read the head of the response."""
        host, _, port = self._address.rpartition(':')
        sock = socket.socket()
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, CALLER_BUFFER_BYTES
        )
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, (host, int(port)))
        # The stream reads no more than twice its limit ahead.
        self.reader, self._writer = await asyncio.open_connection(
            sock=sock, limit=CALLER_BUFFER_BYTES
        )
        self._writer.write(self._head)
        return await self.reader.readuntil(b'\r\n\r\n')

    async def read_chunks(self):
        """Return a chunked body, or what came of it, and whether it ended."""
        parts = []
        try:
            async with asyncio.timeout(TIMEOUT_S):
                while True:
                    line = await self.reader.readuntil(b'\r\n')
                    data = await self.reader.readexactly(int(line, 16) + 2)
                    if len(data) == 2:
                        return b''.join(parts), True
                    parts.append(data[:-2])
        except (asyncio.IncompleteReadError, OSError):
            return b''.join(parts), False

    def close(self):
        """Leave."""
        self._writer.transport.abort()


class SlowReadingCase(unittest.IsolatedAsyncioTestCase):
    """Run one gateway and one endpoint that cuts off unread responses."""

    settings = {}

    async def asyncSetUp(self):
        """Start a gateway, a store and an endpoint."""
        self.deployment = deployments.GatewayDeployment(0, 0, **self.settings)
        self.runner = LargeRunner('r0')
        self.deployment.runners = [self.runner]
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.start()
        document = deployments.configuration(2)
        for route in document['Routes']:
            route['TimeoutMs'] = TIMEOUT_MS
            # One attempt, as a cut response must not be hidden by a retry.
            route['MaxAttempts'] = 1
        self.deployment.platform.put_row('op', 'config', document)
        await self.deployment.add_gateway()

    async def send(self, path, **options):
        """Return a SlowCaller that has read the head of its response."""
        caller = SlowCaller(
            self.deployment.settings[0].address, path, **options
        )
        head = await caller.start()
        self.addCleanup(caller.close)
        self.assertIn(b' 200 ', head.splitlines()[0])
        return caller

    async def wait_for(self, check):
        """Wait until a check returns something, and return it."""
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                found = check()
                if asyncio.iscoroutine(found):
                    found = await found
                if found:
                    return found
                await asyncio.sleep(POLL_S)

    async def wait_endpoint_done(self):
        """Wait until the endpoint has sent or cut off its response."""
        await self.wait_for(
            lambda: self.runner.cut_off or self.runner.delivered
        )

    async def read_metrics(self):
        """Return the metrics of the gateway as text."""
        host, _, port = self.deployment.settings[0].metrics_address.rpartition(
            ':'
        )
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b'GET /metrics HTTP/1.0\r\nhost: x\r\n\r\n')
        text = (await reader.read()).decode()
        writer.close()
        return text

    async def read_metric(self, name):
        """Return the value of a metric of the gateway."""
        for line in (await self.read_metrics()).splitlines():
            if line.startswith(f'persimmonroute_{name} '):
                return float(line.split()[-1])
        return None

    async def is_behind(self):
        """Return whether a caller has not read what has arrived."""
        return await self.read_metric('slow_readers') > 0

    async def holds_nothing(self):
        """Return whether nothing is kept for slow callers."""
        held = await self.read_metric('slow_reader_bytes{kind="held"}')
        return held == 0 and await self.read_metric('slow_readers') == 0

    async def is_slot_free(self):
        """Return whether no request of the gateway is at an endpoint."""
        found = IN_FLIGHT.findall(await self.read_metrics())
        return bool(found) and not sum(map(float, found))


class UnreadResponseTests(SlowReadingCase):
    """Let a caller read nothing for a while."""

    async def test_stream_is_not_cut_off(self):
        """Guards against a valid stream that its endpoint cuts off."""
        caller = await self.send('/draft/x')
        await self.wait_endpoint_done()
        self.assertEqual(self.runner.cut_off, [])
        body, complete = await caller.read_chunks()
        self.assertTrue(complete)
        self.assertEqual(body, self.runner.whole)

    async def test_whole_response_is_not_cut_off(self):
        """Guards against a valid response that its endpoint cuts off."""
        self.runner.default_behaviour = 'whole'
        caller = await self.send('/book/x')
        await self.wait_endpoint_done()
        self.assertEqual(self.runner.cut_off, [])
        whole = self.runner.whole
        self.assertEqual(await caller.reader.readexactly(len(whole)), whole)

    async def test_slot_is_released_when_the_endpoint_is_done(self):
        """Guards against a slot that is taken for as long as a caller takes.

        The endpoint cuts off nothing here.
        """
        self.runner.unread_limit_s = TIMEOUT_S
        await self.send('/draft/x')
        await self.wait_for(self.is_slot_free)
        self.assertEqual(self.runner.delivered, [b'slow'])

    async def test_caller_that_leaves_ends_the_attempt(self):
        """Guards against an attempt that goes on for nobody."""
        self.runner.event_count = 2 * EVENTS
        self.runner.default_behaviour = 'half'
        caller = await self.send('/draft/x')
        await self.wait_for(self.is_behind)
        self.assertEqual(self.runner.cancelled, 0)
        caller.close()
        await self.wait_for(lambda: self.runner.cancelled)
        await self.wait_for(self.is_slot_free)
        await self.wait_for(self.holds_nothing)

    async def test_stream_that_breaks_off_is_read_up_to_there(self):
        """Guards against events that arrived and are lost with a break."""
        self.runner.event_count = 2 * EVENTS
        self.runner.default_behaviour = 'half_and_close'
        caller = await self.send('/draft/x')
        await self.wait_endpoint_done()
        body, complete = await caller.read_chunks()
        self.assertFalse(complete)
        self.assertEqual(body.count(b'id: '), EVENTS)
        self.assertTrue(self.runner.whole.startswith(body))


class NoRoomTests(SlowReadingCase):
    """Let more wait than there is room for."""

    # Leaves callers 8 MB.
    settings = {'memory_mb': 58}

    async def asyncSetUp(self):
        """Let responses be larger than the room and all sockets."""
        await super().asyncSetUp()
        self.runner.event_count = 3 * EVENTS
        # The gateway gives way, not the endpoint.
        self.runner.unread_limit_s = TIMEOUT_S

    async def _wait_cut(self):
        async def is_cut():
            return await self.read_metric('slow_readers_cut_total')

        await self.wait_for(is_cut)

    async def test_cut_response_is_not_complete(self):
        """Guards against a part of a stream that looks like all of it."""
        caller = await self.send('/draft/x')
        await self._wait_cut()
        body, complete = await caller.read_chunks()
        self.assertFalse(complete)
        self.assertTrue(self.runner.whole.startswith(body))
        await self.wait_for(self.is_slot_free)
        await self.wait_for(self.holds_nothing)
        self.assertEqual(await self.read_metric('responses_cut_total'), 1)

    async def test_cut_response_without_length_is_reset(self):
        """Guards against a cut that callers of HTTP/1.0 take for the end."""
        caller = await self.send('/draft/x', version='1.0')
        await self._wait_cut()
        with self.assertRaises(ConnectionResetError):
            await caller.reader.read()

    async def test_caller_that_reads_is_served_beside(self):
        """Guards against a caller that is cut for one that reads less."""
        await self.send('/draft/x')
        reading = await self.send('/draft/x', attempt='reads')
        body, complete = await reading.read_chunks()
        self.assertTrue(complete)
        self.assertEqual(body, self.runner.whole)
        await self._wait_cut()
        self.assertEqual(await self.read_metric('slow_readers_cut_total'), 1)

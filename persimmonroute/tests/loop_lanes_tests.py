"""Test that a crowd of callers does not delay what keeps in touch."""

from __future__ import annotations

import asyncio
import socket
import time
import unittest
from unittest import mock

from persimmonroute import datagrams
from persimmonroute import exceptions
from persimmonroute.gateway import peer_link
from persimmonroute import http_connection
from persimmonroute import loop_lanes
from persimmonroute.platform import tables
from standins import gateway_fixtures

CALLERS = 400
# Processor time of a callback of a caller.
WORK_S = 0.0005
CALLS = 20
# Of a call with several steps: share of the shortest bound of a change, 2.5 s.
CALL_BOUND_S = 0.25
REPORTS = 200


def _work():
    ends_at = time.perf_counter() + WORK_S
    while time.perf_counter() < ends_at:
        pass


class Caller:
    """Keep a loop busy with callbacks of the callers' lane."""

    def __init__(self, loop):
        self._loop = loop
        self.steps = 0
        self.stopped = False
        self._context = loop_lanes.build_context(loop_lanes.Lane.CALLERS)
        self._context.run(loop.call_soon, self._step)

    def _step(self):
        _work()
        self.steps += 1
        if not self.stopped:
            self._loop.call_soon(self._step)


class Receiver(asyncio.DatagramProtocol):
    """Collect datagrams."""

    def __init__(self):
        self.received = []

    def datagram_received(self, data, address):
        """Keep a datagram."""
        self.received.append(data)


class CrowdTests(unittest.TestCase):
    """Run more work for callers than the loop can do."""

    def _run(self, play):
        with asyncio.Runner(loop_factory=loop_lanes.LaneLoop) as runner:
            return runner.run(self._play(play))

    async def _play(self, play):
        loop = asyncio.get_running_loop()
        callers = [Caller(loop) for _ in range(CALLERS)]
        try:
            return await play(callers)
        finally:
            for caller in callers:
                caller.stopped = True

    def test_calls_over_sockets_take_no_turn_behind_callers(self):
        """Guards against a change that is read behind a crowd."""

        async def serve(reader, writer):
            while data := await reader.readline():
                writer.write(data)
            writer.close()

        async def play(callers):
            server = await asyncio.start_server(serve, '127.0.0.1', 0)
            address = server.sockets[0].getsockname()
            reader, writer = await asyncio.open_connection(*address)
            longest_s = 0.0
            for _ in range(CALLS):
                began_at = time.monotonic()
                writer.write(b'x\n')
                await reader.readline()
                longest_s = max(longest_s, time.monotonic() - began_at)
            writer.close()
            await writer.wait_closed()
            server.close()
            # The other end closes as well.
            await asyncio.sleep(CALL_BOUND_S)
            return longest_s

        self.assertLess(self._run(play), CALL_BOUND_S)

    def test_reports_are_received_faster_than_callers_are_served(self):
        """Guards against one datagram for each long step of the loop."""

        async def play(callers):
            receiver = Receiver()
            endpoint = datagrams.DatagramEndpoint(receiver, '127.0.0.1', 0)
            address = endpoint._socket.getsockname()
            with socket.socket(type=socket.SOCK_DGRAM) as sender:
                for number in range(REPORTS):
                    sender.sendto(b'%d' % number, address)
            await asyncio.sleep(CALL_BOUND_S)
            endpoint.close()
            return len(receiver.received)

        self.assertEqual(self._run(play), REPORTS)

    def test_callers_are_served_beside_endless_control_work(self):
        """Guards against callers that starve."""

        async def play(callers):
            ends_at = time.monotonic() + 0.5
            while time.monotonic() < ends_at:
                await asyncio.sleep(0)
            return sum(caller.steps for caller in callers)

        self.assertGreater(self._run(play), 100)


class SharedWorkTests(unittest.IsolatedAsyncioTestCase):
    """Begin work for all from the request of a caller."""

    def setUp(self):
        """Record the lanes in which work runs."""
        self.lanes = []

    async def _run_for_caller(self, coroutine):
        return await loop_lanes.run_in(loop_lanes.Lane.CALLERS, coroutine)

    async def test_connection_to_the_store_is_no_caller_s(self):
        """Guards against changes that are read on a caller's connection."""

        async def open_connection(address, timeout_s):
            self.lanes.append(loop_lanes.lane.get())
            raise exceptions.EndpointUnreachableError('not open')

        client = tables.TableClient('127.0.0.1:1')
        patch = mock.patch.object(
            http_connection, 'open_connection', open_connection
        )
        with patch, self.assertRaises(exceptions.PlatformUnavailableError):
            await self._run_for_caller(client.read('op'))
        self.assertEqual(self.lanes, [loop_lanes.Lane.CONTROL])

    async def test_report_that_a_request_causes_is_no_caller_s(self):
        """Guards against gateways that seem gone while callers press."""
        board = gateway_fixtures.board()
        link = peer_link.PeerLink(
            board,
            gateway_fixtures.scheduler(board),
            '127.0.0.1:1',
            gateway_fixtures.LOCALITY,
            None,
            1.0,
        )
        link.connection_made(mock.Mock(is_closing=lambda: False))
        self.addCleanup(link.close)
        link._send_due = lambda now: self.lanes.append(loop_lanes.lane.get())

        async def change():
            link.schedule_reports()

        await asyncio.sleep(0.05)
        self.lanes.clear()
        await self._run_for_caller(change())
        await asyncio.sleep(0.5)
        self.assertEqual(set(self.lanes), {loop_lanes.Lane.CONTROL})


class ReadyQueueTests(unittest.TestCase):
    """Order callbacks without a loop."""

    def setUp(self):
        """Build an empty queue."""
        self.loop = asyncio.new_event_loop()
        self.addCleanup(self.loop.close)
        self.queue = loop_lanes.ReadyQueue()

    def _add(self, lane):
        context = loop_lanes.build_context(lane)
        handle = asyncio.Handle(lambda: None, (), self.loop, context)
        self.queue.append(handle)
        return handle

    def _take_all(self):
        return [self.queue.popleft() for _ in range(len(self.queue))]

    def test_control_goes_first_and_each_lane_keeps_its_order(self):
        """Guards against changes behind callers, and callers out of order."""
        callers = [self._add(loop_lanes.Lane.CALLERS) for _ in range(5)]
        control = [self._add(loop_lanes.Lane.CONTROL) for _ in range(5)]
        self.assertEqual(self._take_all(), control + callers)

    def test_step_has_a_bounded_number_of_callers(self):
        """Guards against sockets that nobody looks at for long."""
        for _ in range(1000):
            self._add(loop_lanes.Lane.CALLERS)
        self.assertEqual(len(self.queue), loop_lanes.CALLERS_PER_STEP)
        self.assertEqual(self.queue.waiting_callers, 1000)

    def test_callers_get_turns_within_long_control_work(self):
        """Guards against callers that starve."""
        caller = self._add(loop_lanes.Lane.CALLERS)
        for _ in range(100):
            self._add(loop_lanes.Lane.CONTROL)
        position = self._take_all().index(caller)
        self.assertEqual(position, loop_lanes.CONTROL_IN_A_ROW)

    def test_callback_that_waits_is_known(self):
        """Guards against a socket that is queued twice."""
        handle = self._add(loop_lanes.Lane.CALLERS)
        self.assertIn(handle, self.queue)
        self._take_all()
        self.assertNotIn(handle, self.queue)


if __name__ == '__main__':
    unittest.main()

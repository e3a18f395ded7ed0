"""Test which response gives way when slow callers leave no room."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from persimmonroute import caller_account
from persimmonroute.caller_account import Reason
from persimmonroute.caller_account import Stage
from persimmonroute import clock
from persimmonroute.gateway import admission
from persimmonroute.gateway import forwarding
from persimmonroute.gateway import model
from persimmonroute.gateway import slow_readers
from persimmonroute.gateway import unread_response
from persimmonroute.platform import ingress
from standins import gateway_fixtures as fixtures

MEMORY = 1_000_000
LIMIT = slow_readers.READER_SHARE * MEMORY
STALLED_S = 2 * slow_readers.STALL_S
PART = unread_response.PART_BYTES
# Limit of a request whose caller takes longer, in seconds.
REMAINING_S = 2.0
MARGIN_S = 0.5


class ReadersCase(unittest.TestCase):
    """Provide an account with little memory, and slow callers."""

    def setUp(self):
        """Create the account and its slow readers."""
        self.account = caller_account.CallerAccount(
            caller_account.AccountLimits(MEMORY)
        )
        self.readers = slow_readers.SlowReaders(self.account)
        self.cut = []

    def open(self, name, size=0, now=0.0):
        """Return the Backlog of a caller that has not read some bytes."""
        holding = self.account.open(now, lambda reason: None)
        holding.enter(Stage.PASSED_ON, now)
        backlog = self.readers.open(holding, lambda: self.close(name), now)
        backlog.name = name
        if size:
            self.readers.add(backlog, size, now)
        return backlog

    def close(self, name):
        """Cut off a response."""
        self.cut.append(name)
        for backlog in self.readers.backlogs:
            if backlog.name == name:
                self.readers.close(backlog, 0.0)


class DecisionTests(ReadersCase):
    """Fill the room for slow callers."""

    def test_caller_that_stands_still_gives_way(self):
        """Guards against a cut for a caller that makes less progress."""
        self.open('still', 100_000)
        reads = self.open('reads', 300_000)
        self.readers.take(reads, 1000, STALLED_S)
        self.readers.give_way(STALLED_S)
        self.assertEqual(self.cut, ['still'])

    def test_more_bytes_for_longer_give_way(self):
        """Guards against many cuts that make little room."""
        self.open('small', 10_000)
        self.open('large', 200_000)
        self.open('late', 250_000, STALLED_S)
        self.readers.give_way(2 * STALLED_S)
        self.assertEqual(self.cut, ['large'])

    def test_slowest_gives_way_if_all_make_progress(self):
        """Guards against a cut by size where the speed differs."""
        slow = self.open('slow', 100_000)
        fast = self.open('fast', 300_000)
        self.readers.take(slow, 1000, STALLED_S)
        self.readers.take(fast, 50_000, STALLED_S)
        self.readers.give_way(STALLED_S + 0.1)
        self.assertEqual(self.cut, ['slow'])

    def test_stalled_request_gives_way_before_a_response(self):
        """Guards against a valid response cut for a request that stopped."""
        body = self.account.open(0.0, lambda reason: self.cut.append(reason))
        body.enter(Stage.BODY, 0.0)
        body.take_body(700_000, 0.0)
        self.open('still', 100_000)
        self.assertFalse(self.readers.has_room)
        self.readers.give_way(STALLED_S)
        self.assertEqual(self.cut, [Reason.MEMORY])
        self.assertTrue(self.readers.has_room)

    def test_nothing_is_cut_if_nothing_is_kept(self):
        """Guards against an error when others fill the memory."""
        self.account.add(MEMORY)
        self.open('new')
        self.readers.give_way(STALLED_S)
        self.assertEqual(self.cut, [])
        self.assertEqual(self.readers.cut_count, 0)

    def test_slow_callers_leave_room_for_requests(self):
        """Guards against requests that slow callers cause to be refused."""
        while self.readers.has_room:
            self.open('slow', PART)
        self.assertLess(self.readers.used, LIMIT + PART)
        holding = self.account.open(0.0, lambda reason: None)
        self.assertTrue(holding.begin_request(0.0))

    def test_account_without_limit_keeps_a_bounded_amount(self):
        """Guards against a process without settings that grows for ever."""
        self.account.limits = caller_account.AccountLimits()
        backlog = self.open('slow', 10_000_000)
        self.assertTrue(self.readers.has_room)
        self.readers.add(backlog, 15_000_000, 0.0)
        self.assertFalse(self.readers.has_room)


class CountingTests(ReadersCase):
    """Count what is kept."""

    def test_account_counts_what_is_kept_until_it_is_taken(self):
        """Guards against bytes that count twice, never, or for ever."""
        before = self.account.used
        backlog = self.open('slow', 5000)
        opened = caller_account.CONNECTION_BYTES
        self.assertEqual(self.account.used, before + opened + 5000)
        self.readers.take(backlog, 2000, 1.0)
        self.assertEqual(self.account.used, before + opened + 3000)
        self.assertEqual(self.readers.used, 3000)
        self.readers.close(backlog, 2.0)
        self.readers.close(backlog, 2.0)
        self.assertEqual(self.account.used, before + opened)
        self.assertEqual(self.readers.used, 0)
        self.assertEqual(self.readers.backlogs, ())


class BoardStandIn:
    """Hold what a caller of the ingress needs of a board."""

    draining = False

    def __init__(self):
        self.account = caller_account.CallerAccount()
        self.slow_readers = slow_readers.SlowReaders(self.account)


class CallerTests(unittest.IsolatedAsyncioTestCase):
    """Write to a caller that is behind when the test says so."""

    async def asyncSetUp(self):
        """Create the caller of one request."""
        self.behind = False
        self.readable = asyncio.Event()
        self.readable.set()
        self.sent = []
        self.board = BoardStandIn()
        holding = self.board.account.open(0.0, lambda reason: None)
        scope = {
            'method': 'GET',
            'state': {'holding': holding, 'is_behind': lambda: self.behind},
        }
        self.caller = ingress.AsgiCaller(scope, self._send, self.board)
        self.addCleanup(self.caller.close)
        await self.caller.begin(200, ())

    async def _send(self, message):
        await self.readable.wait()
        self.sent.append(message)

    def _bodies(self):
        return [m['body'] for m in self.sent if 'body' in m]

    def _fall_behind(self):
        self.behind = True
        self.readable.clear()

    async def test_caller_that_keeps_up_gets_the_data_themselves(self):
        """Guards against a copy or a task on the path of usual callers."""
        tasks = asyncio.all_tasks()
        data = b'x' * (3 * PART)
        await self.caller.send(data)
        self.assertIs(self._bodies()[0], data)
        self.assertEqual(asyncio.all_tasks(), tasks)
        self.assertEqual(self.board.slow_readers.backlogs, ())

    async def test_all_is_written_in_order_before_the_end(self):
        """Guards against data that pass others, or come after the end."""
        data = [b'%d;' % n * (n % 7 * 1000) for n in range(50)]
        await self.caller.send(data[0])
        self._fall_behind()
        for part in data[1:30]:
            await self.caller.send(part)
        self.assertGreater(self.board.slow_readers.used, 0)
        # What is kept goes first, also once the caller reads again.
        self.behind = False
        for part in data[30:]:
            await self.caller.send(part)
        finishing = asyncio.create_task(self.caller.finish())
        await asyncio.sleep(0)
        self.assertFalse(self.caller.response_complete)
        self.readable.set()
        await finishing
        self.assertEqual(b''.join(self._bodies()), b''.join(data))
        more = [m['more_body'] for m in self.sent if 'body' in m]
        self.assertEqual(more.count(False), 1)
        self.assertFalse(more[-1])
        self.assertEqual(self.board.slow_readers.used, 0)

    async def test_small_events_take_no_more_than_their_bytes(self):
        """Guards against objects of small events that fill the memory."""
        self._fall_behind()
        for _ in range(1000):
            await self.caller.send(b'data: x\n\n')
        self.readable.set()
        await self.caller.finish()
        self.assertLess(len(self._bodies()), 5)

    async def test_error_of_the_connection_is_raised(self):
        """Guards against a response that is kept for ever after an error."""
        self._fall_behind()

        async def fail(message):
            raise OSError

        self.caller._send = fail
        await self.caller.send(b'x')
        with self.assertRaises(OSError):
            await self.caller.finish()

    async def test_nothing_is_kept_for_a_caller_that_left(self):
        """Guards against memory that stays with a request that ended."""
        self._fall_behind()
        await self.caller.send(b'x' * PART)
        self.caller.close()
        await self.caller.send(b'x' * PART)
        self.assertEqual(self.board.slow_readers.used, 0)
        self.assertEqual(self.board.slow_readers.backlogs, ())


class CallStandIn:
    """Answer an attempt with one part and the end."""

    crossed_close = False

    def __init__(self):
        self._data = [b'answer', None]

    async def head(self):
        """Return the head of a response."""
        return model.ResponseHead(200, (), False, False, None)

    async def next_data(self):
        """Return the next part."""
        return self._data.pop(0)

    def abandon(self):
        """End the attempt."""


class DispatcherStandIn:
    """Grant an endpoint at once."""

    def __init__(self, view):
        self._view = view
        self.released = []

    async def wait_for_grant(self, pending):
        """Return the endpoint."""
        pending.runner = self._view
        pending.sent_at = clock.now_s()
        return self._view

    def release(self, pending, ending):
        """Record that a slot was returned."""
        pending.runner = None
        self.released.append(ending)


class SlotTests(unittest.IsolatedAsyncioTestCase):
    """Let a caller read longer than the endpoint writes."""

    async def test_slot_and_deadline_end_with_the_endpoint(self):
        """Guards against a slot that a caller occupies by not reading.

        And against a response that has arrived in time and is broken off.
        """
        now = clock.now_s()
        board = fixtures.board(now, routes=[fixtures.route(streaming=False)])
        (view,) = board.runner_registry
        dispatcher = DispatcherStandIn(view)
        client = mock.Mock()
        client.connect = mock.AsyncMock()
        client.send.return_value = CallStandIn()
        forwarder = forwarding.Forwarder(
            board,
            admission.Admission(board),
            dispatcher,
            client,
            mock.Mock(),
            mock.AsyncMock(),
        )
        caller = mock.AsyncMock()
        caller.abort = mock.Mock()
        released = []
        loop = asyncio.get_running_loop()

        async def finish():
            released.extend(dispatcher.released)
            ends_at = loop.time() + REMAINING_S + MARGIN_S
            while loop.time() < ends_at:
                await asyncio.sleep(MARGIN_S)

        caller.finish.side_effect = finish
        request = fixtures.request(remaining_s=REMAINING_S)
        await forwarder.serve(request, caller)
        self.assertEqual(released, [model.Ending.ANSWERED])
        self.assertEqual(dispatcher.released, released)
        caller.abort.assert_not_called()
        caller.finish.assert_awaited_once()

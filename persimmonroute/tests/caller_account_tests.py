"""Test who is refused first when callers make a process hold too much."""

from __future__ import annotations

import math
import unittest

from persimmonroute import caller_account
from persimmonroute.caller_account import Reason
from persimmonroute.caller_account import Stage

MEMORY = 1_000_000
BODIES = 800_000
CONNECTIONS = 4
OLD_S = 2 * caller_account.STALL_S


class AccountCase(unittest.TestCase):
    """Provide an account with small limits and connections in it."""

    def setUp(self):
        """Create the account."""
        self.account = caller_account.CallerAccount(
            caller_account.AccountLimits(MEMORY, BODIES, CONNECTIONS)
        )
        self.closed = {}

    def open(self, name, stage=Stage.IDLE, now=0.0):
        """Return the Holding of a new connection, or None."""

        def close(reason):
            self.closed[name] = reason

        holding = self.account.open(now, close)
        if holding is not None:
            holding.enter(stage, now)
        return holding


class ConnectionTests(AccountCase):
    """Open more connections than are allowed."""

    def test_connection_that_never_sent_a_request_gives_way(self):
        """Guards against idle connections that keep out new ones."""
        self.open('served', Stage.PASSED_ON).enter(Stage.IDLE, 0.0)
        self.open('old', now=1.0)
        self.open('young', now=2.0)
        self.open('running', Stage.PASSED_ON, now=1.0)
        self.assertIsNotNone(self.open('new', now=3.0))
        self.assertEqual(self.closed, {'old': Reason.CONNECTIONS})

    def test_new_connection_is_refused_if_all_have_requests(self):
        """Guards against a response cut for the sake of a new connection."""
        for number in range(CONNECTIONS):
            self.open(number, Stage.PASSED_ON)
        self.assertIsNone(self.open('new', now=100.0))
        self.assertEqual(self.closed, {})

    def test_stalled_body_gives_way_and_one_with_progress_does_not(self):
        """Guards against requests closed although they make progress."""
        self.open('stalled', Stage.BODY)
        for number in range(CONNECTIONS - 1):
            holding = self.open(number, Stage.BODY)
            holding.record_body(caller_account.PROGRESS_BYTES, OLD_S)
        self.assertIsNotNone(self.open('new', now=OLD_S))
        self.assertEqual(self.closed, {'stalled': Reason.CONNECTIONS})
        self.open('newer', now=OLD_S)
        self.assertEqual(len(self.account.holdings), CONNECTIONS)
        self.assertIn('new', self.closed)

    def test_bodies_that_all_just_began_leave_room(self):
        """Guards against bodies that refuse ordinary callers in turn."""
        for number in range(CONNECTIONS):
            holding = self.open(number, Stage.BODY, now=number / 10)
            holding.record_body(caller_account.PROGRESS_BYTES, 0.5)
        self.assertIsNotNone(self.open('new', now=0.5))
        self.assertEqual(self.closed, {CONNECTIONS - 1: Reason.CONNECTIONS})

    def test_bodies_with_progress_keep_their_share(self):
        """Guards against progress that is lost for new connections."""
        for number in range(CONNECTIONS):
            self.open(number, Stage.BODY, now=number / 10)
        for number in range(100):
            holding = self.open(f'new-{number}', now=0.5 + number / 1000)
            holding.enter(Stage.BODY, 0.5 + number / 1000)
        self.assertFalse({0, 1, 2} & self.closed.keys())

    def test_connection_that_was_not_read_yet_keeps_its_place(self):
        """Guards against ordinary callers closed before they are read."""
        self.account.limits = caller_account.AccountLimits(connections=56)
        for number in range(56):
            self.open(number, Stage.BODY)
        ordinary = self.open('ordinary', now=0.5)
        steps = caller_account.STEPS_UNTIL_READ
        for number in range(steps * self.account.accepts_per_step - 1):
            self.open(f'other-{number}', now=0.6)
        self.assertNotIn('ordinary', self.closed)
        ordinary.enter(Stage.PASSED_ON, 0.6)
        self.open('last', now=0.6)
        self.assertNotIn('ordinary', self.closed)

    def test_served_connection_gives_way_to_one_that_was_not_read(self):
        """Guards against peers refused in a burst of short calls."""
        for number in range(CONNECTIONS - 1):
            served = self.open(number, Stage.PASSED_ON, now=number / 1000)
            served.enter(Stage.IDLE, number / 1000)
        self.open('unread', now=0.01)
        self.assertIsNotNone(self.open('new', now=0.02))
        self.assertEqual(self.closed, {0: Reason.CONNECTIONS})

    def test_abandoned_connection_gives_way_to_a_served_one(self):
        """Guards against ordinary callers closed for abandoned connections."""
        self.open('served', Stage.PASSED_ON).enter(Stage.IDLE, 0.0)
        for number in range(CONNECTIONS - 1):
            self.open(number, now=0.01)
        now = 0.01 + caller_account.UNREAD_WAIT_S
        self.assertIsNotNone(self.open('new', now=now))
        self.assertNotIn('served', self.closed)

    def test_places_are_counted_without_a_loss(self):
        """Guards against ports that accept too much, or nothing any more."""
        self.assertEqual(self.account.count_places(0.0), CONNECTIONS)
        self.open('running', Stage.PASSED_ON)
        self.open('unread')
        self.open('served', Stage.PASSED_ON).enter(Stage.IDLE, 0.0)
        self.open('head', Stage.HEAD)
        self.assertEqual(self.account.count_places(0.0), 1)
        now = caller_account.UNREAD_WAIT_S
        self.assertEqual(self.account.count_places(now), 3)

    def test_a_place_is_left_beside_bodies_with_progress(self):
        """Guards against a probe that waits behind bodies without end."""
        for number in range(CONNECTIONS):
            self.open(number, Stage.BODY)
        self.assertEqual(self.account.count_places(0.0), 1)
        self.assertTrue(self.account.make_place(0.0))

    def test_closed_connections_count_no_more(self):
        """Guards against an account that only grows."""
        for number in range(3 * CONNECTIONS):
            holding = self.open(number, Stage.BODY)
            holding.begin_request(0.0)
            holding.take_body(1000, 0.0)
            holding.set_unparsed(500, 0.0)
            holding.set_written(200, 0.0)
            holding.add_queued(100, 0.0)
            self.account.close(holding)
            holding.add_queued(-100, 0.0)
            holding.set_unparsed(900, 0.0)
            holding.end_request()
        self.assertEqual((self.account.used, self.account.body_used), (0, 0))
        self.assertEqual(self.closed, {})


class MemoryTests(AccountCase):
    """Hold more memory than is allowed."""

    def test_nobody_is_closed_without_an_overload(self):
        """Guards against slow callers closed although there is room."""
        holdings = [self.open(n, Stage.BODY) for n in range(CONNECTIONS)]
        for holding in holdings:
            self.assertTrue(holding.take_body(100_000, 0.0))
            holding.set_unparsed(1000, 1000.0)
        self.account.relieve(1000.0)
        self.assertEqual(self.closed, {})

    def test_body_that_stopped_gives_way_to_another(self):
        """Guards against stalled bodies that take all the memory."""
        small = self.open('small', Stage.BODY)
        small.take_body(200_000, 0.0)
        large = self.open('large', Stage.BODY)
        large.take_body(350_000, 0.0)
        other = self.open('other', Stage.BODY, OLD_S)
        self.assertTrue(other.take_body(260_000, OLD_S))
        self.assertEqual(self.closed, {'large': Reason.MEMORY})

    def test_body_is_refused_if_all_others_make_progress(self):
        """Guards against progress that is lost for a newer request."""
        first = self.open('first', Stage.BODY)
        self.assertTrue(first.take_body(500_000, 0.0))
        second = self.open('second', Stage.BODY)
        self.assertFalse(second.take_body(400_000, 0.0))
        self.assertEqual((second.body, self.closed), (0, {}))

    def test_request_that_may_have_run_is_not_refused(self):
        """Guards against 503 for a request that has run."""
        running = self.open('running', Stage.BODY)
        running.take_body(550_000, 0.0)
        running.enter(Stage.PASSED_ON, 0.0)
        other = self.open('other', Stage.BODY, 100.0)
        self.assertFalse(other.take_body(550_000, 100.0))
        self.assertEqual(self.closed, {})

    def test_large_bodies_leave_room_for_others(self):
        """Guards against few large bodies that keep out all others."""
        self.open('a', Stage.BODY).take_body(300_000, 0.0)
        large = self.open('b', Stage.BODY)
        self.assertFalse(large.take_body(400_000, 0.0))
        self.assertTrue(large.take_body(200_000, 0.0))

    def test_single_body_is_served_whatever_its_size(self):
        """Guards against an instance that serves no large body at all."""
        single = self.open('single', Stage.BODY)
        self.assertTrue(single.take_body(BODIES - 1000, 0.0))
        self.assertTrue(single.take_body(100_000, 0.0))
        self.assertFalse(self.open('b', Stage.BODY).take_body(1, 0.0))

    def test_partial_heads_are_closed_before_a_response_is_cut(self):
        """Guards against a response cut while anything else is left."""
        response = self.open('response', Stage.PASSED_ON)
        head = self.open('head', Stage.HEAD)
        head.set_unparsed(100_000, 0.0)
        now = 2 * caller_account.UNREAD_STALL_S
        response.add_queued(MEMORY - 100_000, now)
        self.assertEqual(self.closed, {'head': Reason.MEMORY})
        self.assertEqual(self.account.responses_cut, 0)

    def test_unread_response_is_cut_as_the_last_resort(self):
        """Guards against unread responses that end the process."""
        response = self.open('unread', Stage.PASSED_ON)
        read = self.open('read', Stage.PASSED_ON)
        now = 2 * caller_account.UNREAD_STALL_S
        read.record_read(now)
        response.add_queued(MEMORY // 2, now)
        read.add_queued(MEMORY // 2, now)
        self.assertEqual(self.closed, {'unread': Reason.MEMORY})
        self.assertEqual(self.account.responses_cut, 1)

    def test_response_that_is_read_is_not_cut(self):
        """Guards against a cut of what a caller reads."""
        response = self.open('read', Stage.PASSED_ON)
        response.add_queued(2 * MEMORY, 0.0)
        self.assertEqual(self.closed, {})


class LimitTests(unittest.TestCase):
    """Derive limits from the settings of an instance."""

    def test_descriptors_are_left_when_accepting_pauses(self):
        """Guards against a process that cannot connect to endpoints."""
        derive = caller_account.derive_max_used
        self.assertEqual(derive(4100), 3972)
        self.assertEqual(derive(4100, small_port=True), 4068)
        self.assertEqual((derive(128), derive(128, True)), (112, 124))
        self.assertEqual(derive(math.inf), math.inf)

    def test_nothing_is_limited_without_settings(self):
        """Guards against limits for deployments that state none."""
        limits = caller_account.derive_limits(None, 40, None, 1000)
        self.assertEqual(limits, caller_account.AccountLimits(body_bytes=1000))

    def test_smallest_instance_holds_many_requests(self):
        """Guards against limits that ordinary callers reach."""
        limits = caller_account.derive_limits(128, 42, 4100, 48_000_000)
        self.assertEqual(limits.memory_bytes, 43_000_000)
        self.assertEqual(limits.body_bytes, 43_000_000)
        self.assertGreaterEqual(limits.connections, 900)
        # One body of the largest size fits many times.
        self.assertGreater(limits.body_bytes * 0.75, 7 * 4_194_304)

    def test_instance_without_spare_memory_still_serves(self):
        """Guards against settings with which nobody is served."""
        limits = caller_account.derive_limits(16, 42, 64, 48_000_000)
        self.assertGreater(limits.body_bytes * 0.75, 4_194_304)
        self.assertEqual(limits.connections, caller_account.MIN_CONNECTIONS)

    def test_copies_of_bodies_are_within_the_memory(self):
        """Guards against an entry that counts each body once."""
        limits = caller_account.derive_limits(112, 72, 256, 48_000_000, 4)
        self.assertEqual(limits.memory_bytes, 20_000_000)
        self.assertEqual(limits.body_bytes, 5_000_000)

    def test_half_of_the_descriptors_are_left_for_endpoints(self):
        """Guards against requests without a connection to an endpoint."""
        limits = caller_account.derive_limits(10_000, 42, 4100, 48_000_000)
        own = caller_account.OWN_DESCRIPTORS
        self.assertLessEqual(own + 2 * limits.connections, 4100)

"""Test that a process that stood still first reads what has arrived."""

from __future__ import annotations

import unittest

from persimmonroute.entry import claims
from persimmonroute.entry import dispatch
from persimmonroute.entry import offering
from persimmonroute.events import Event
from persimmonroute.sidecar import execution
from persimmonroute import timeouts
from persimmonroute import timers
from standins import endpoint_nodes
from standins import small_simulation

PLAIN = small_simulation.PLAIN
MODEL = small_simulation.MODEL
# By how much a stand-still is longer than a limit.
LATE_S = (-0.003, 0.0, 0.003, 0.04, 0.1, 0.4)
STEP_S = 0.0005
SETTLING_S = 30.0


class StandingStillTests(unittest.TestCase):
    """Suspend a process for as long as a time limit of its core."""

    def setUp(self):
        """Start one entry and one endpoint of each service."""
        self.simulation = small_simulation.build_simulation(
            endpoints=1, entries=1
        )
        self.entry = self.simulation.entries['entry-1']

    def _run(self, seconds):
        self.simulation.run_until(self.simulation.now + seconds)

    def _run_until(self, condition):
        for _ in range(10_000):
            if condition():
                return
            self._run(STEP_S)
        self.fail('the condition did not come about')

    def _stand_still(self, node, seconds):
        node.freeze()
        self._run(seconds)
        node.unfreeze()
        self._run(SETTLING_S)

    def _assert_whole(self, view):
        expected = endpoint_nodes.expected_response(view.call)
        self.assertEqual(view.outcome, 'completed')
        self.assertEqual(bytes(view.data), expected)

    def _assert_not_logged(self, node, event):
        logged = [effect for _, effect in node.log if effect.event is event]
        self.assertEqual(logged, [])

    def _play_each(self, play):
        for late_s in LATE_S:
            with self.subTest(late_s=late_s):
                self.setUp()
                play(late_s)

    def test_grant_that_waits_at_a_sidecar_is_used(self):
        """Guards against attempts dropped beside their grant."""
        self._play_each(self._play_ready)

    def _play_ready(self, late_s):
        for name, call in (
            (f'{MODEL}-1', small_simulation.draft('d')),
            (f'{PLAIN}-1', small_simulation.order('o')),
        ):
            node = self.simulation.sidecars[name]
            view = self.simulation.submit(call, 'entry-1')
            self._run_until(lambda node=node: node.core.board.running)
            self._stand_still(node, execution.READY_TIMEOUT_S + late_s)
            self._assert_not_logged(node, Event.OFFER_DROPPED)
            self._assert_whole(view)

    def test_old_grant_is_not_used(self):
        """Guards against a suspended process that acts on old permission."""
        node = self.simulation.sidecars[f'{MODEL}-1']
        for seconds in (2.05, 2.5, 4.0):
            with self.subTest(seconds=seconds):
                call = small_simulation.draft(f'd-{seconds}')
                self.simulation.submit(call, 'entry-1')
                self._run_until(lambda: node.core.board.running)
                attempt_id = next(iter(node.core.board.running))
                self._stand_still(node, seconds)
                self.assertNotIn(attempt_id, node.core.board.started_ids)

    def test_reply_that_waits_at_an_entry_is_read(self):
        """Guards against requests withdrawn although they were accepted."""
        self._play_each(self._play_offer)

    def _play_offer(self, late_s):
        view = self.simulation.submit(small_simulation.draft('d'), 'entry-1')
        calls = self.entry.core.board.calls
        self._run_until(lambda: calls)
        self._stand_still(self.entry, offering.OFFER_TIMEOUT_S + late_s)
        self._assert_not_logged(self.entry, Event.REQUEST_REROUTED)
        self._assert_whole(view)

    def test_claim_that_was_confirmed_is_used(self):
        """Guards against refusals beside the reply of the store."""
        self._play_each(self._play_claim)

    def _play_claim(self, late_s):
        view = self.simulation.submit(small_simulation.order('o'), 'entry-1')
        calls = self.entry.core.board.calls
        self._run_until(lambda: calls)
        self._stand_still(self.entry, claims.CLAIM_TIMEOUT_S + late_s)
        self._assert_not_logged(self.entry, Event.CLAIM_FAILED)
        self._assert_whole(view)

    def test_response_is_resumed_over_a_link_that_is_back(self):
        """Guards against streams that end beside their open link."""
        self._play_each(self._play_resume)

    def _play_resume(self, late_s):
        call = small_simulation.draft('d', tokens=2000)
        view = self.simulation.submit(call, 'entry-1')
        self._run_until(lambda: view.data)
        self.simulation.partition('entry-1', f'{MODEL}-1')
        calls = self.entry.core.board.calls
        self._run_until(lambda: calls['d'].state == 'interrupted')
        self.simulation.heal()
        self._stand_still(self.entry, dispatch.RESUME_TIMEOUT_S + late_s)
        self._assert_whole(view)

    def test_slot_that_became_free_is_used(self):
        """Guards against refusals beside the end of what they wait for."""
        self._play_each(self._play_patience)

    def _play_patience(self, late_s):
        node = self.simulation.sidecars[f'{PLAIN}-1']
        node.core.board.rate_limit.record(1.0, 0.0, self.simulation.now)
        views = [
            self.simulation.submit(
                small_simulation.order(f'o-{number}'), 'entry-1'
            )
            for number in range(2)
        ]
        queue = node.core.board.queue
        self._run_until(lambda: len(queue))
        attempt = next(iter(queue))
        left_s = attempt.deadline - self.simulation.now
        self._stand_still(node, left_s + late_s)
        for view in views:
            self._assert_whole(view)

    def test_silence_after_a_stand_still_ends_an_offer(self):
        """A limit holds if nothing has arrived during the stand-still."""
        view = self.simulation.submit(small_simulation.draft('d'), 'entry-1')
        calls = self.entry.core.board.calls
        self._run_until(lambda: calls)
        self.simulation.stall('entry-1', f'{MODEL}-1', 'to_entry', 2.0)
        self.entry.freeze()
        self._run(offering.OFFER_TIMEOUT_S)
        self.entry.unfreeze()
        self._run(1.1 * timeouts.CATCH_UP_S)
        logged = {effect.event for _, effect in self.entry.log}
        self.assertIn(Event.REQUEST_REROUTED, logged)
        self.assertIsNone(view.ended)


class LimitTests(unittest.TestCase):
    """Advance the queue of timers like a process that is held up."""

    def setUp(self):
        """Schedule a limit of one second at time 0."""
        self.timers = timers.TimerQueue()
        self.timers.schedule_limit(1.0, 1.0, 'offer')

    def _find_end(self, times):
        """Return the first time at which the limit is due, or None."""
        for now in times:
            if self.timers.pop_due(now):
                return now
        return None

    def test_limit_without_a_stand_still(self):
        """A process that runs ends its limits on time."""
        times = [step / 100 for step in range(200)]
        self.assertEqual(self._find_end(times), 1.0)

    def test_stand_still_up_to_the_limit_leaves_time(self):
        """Guards against a limit that ends at the wake-up."""
        for woke_at in (0.85, 0.99, 1.0, 1.01, 1.2, 9.0):
            with self.subTest(woke_at=woke_at):
                self.setUp()
                late = timeouts.CATCH_UP_S - 0.01
                self.assertIsNone(self._find_end((woke_at, woke_at + late)))
                ends_at = woke_at + timeouts.CATCH_UP_S
                self.assertEqual(self._find_end((ends_at,)), ends_at)

    def test_stand_still_in_the_last_part_leaves_time(self):
        """Guards against a stand-still that begins just before the limit."""
        self.assertIsNone(self._find_end((0.8, 1.5, 1.65)))
        self.assertEqual(self._find_end((1.75,)), 1.75)

    def test_limit_is_extended_once(self):
        """A process that is always slow keeps its limits."""
        times = [step * 0.3 for step in range(10)]
        self.assertLess(self._find_end(times), 1.6)

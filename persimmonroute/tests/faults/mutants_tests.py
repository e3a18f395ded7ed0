"""Test that the fault matrix detects the removal of a guard."""

from __future__ import annotations

import unittest
from unittest import mock

from persimmonroute.entry import call_states
from persimmonroute.entry import claims
from persimmonroute.entry import configuration
from persimmonroute.entry import dispatch
from persimmonroute.entry import endings
from persimmonroute.entry import offering
from persimmonroute.generated import exchange_pb2 as pb
from persimmonroute.sidecar import board as sidecar_boards
from persimmonroute.sidecar import execution
from standins import fault_matrix
from standins import faults as matrix_faults
from standins import tables

FAULTS = {fault.name: fault for fault in matrix_faults.FAULTS}
STEPS = {step.name: step for step in fault_matrix.STEPS}


class MutantTests(unittest.TestCase):
    """Remove one guard and find the violated promise."""

    def _find_problems(self, step, fault, kind):
        problems = []
        for seed in fault_matrix.SEEDS:
            cell = (STEPS[step], (FAULTS[fault],), kind, seed)
            problems += fault_matrix.run_cell(*cell).problems
        return problems

    def _assert_violates(self, promise, step, fault, kind):
        problems = self._find_problems(step, fault, kind)
        violated = {problem.split(':')[0] for problem in problems}
        # A state machine that rejects a transition also detects the mutant.
        self.assertTrue(violated & {promise, 'machine'}, violated)

    def test_start_without_confirmed_claim(self):
        """Detect that a resent order runs twice without a claim."""
        build = offering.OfferSender._build_offer

        def build_without_hold(self, record, chosen, now):
            offer = build(self, record, chosen, now)
            offer.held = False
            return offer

        with (
            mock.patch.object(
                offering.OfferSender, '_build_offer', build_without_hold
            ),
            mock.patch.object(
                claims.ClaimManager, 'is_confirmed', lambda self, record: True
            ),
        ):
            self._assert_violates('5', 'offered', 'sent again', 'order')

    def test_version_not_compared(self):
        """Detect that a resent order runs twice without compare-and-set."""
        with mock.patch.object(tables.Tables, '_match', lambda *_: True):
            self._assert_violates('5', 'claimed', 'sent again', 'order')

    def test_incarnation_not_compared(self):
        """Detect a second run of an order that a restarted sidecar denies."""
        resume = execution.Executor._on_resume

        def forget_incarnation(self, link, attempt, message, now):
            message = pb.Resume(
                offset=message.offset,
                incarnation=self._board.incarnation,
            )
            resume(self, link, attempt, message, now)

        with mock.patch.object(
            execution.Executor, '_on_resume', forget_incarnation
        ):
            self._assert_violates('1', 'started', 'kill sidecar', 'order')

    def test_tombstone_not_checked(self):
        """Detect that a sidecar without tombstones starts a denied attempt."""

        def start_dropped(self, link, attempt_id, grant, now):
            attempt = (
                self._board.attempts.get(attempt_id)
                or self._accepted_attempts[attempt_id]
            )
            if attempt.state == 'dropped':
                attempt.state = 'ready'
                self._board.attempts[attempt_id] = attempt
                self._board.running[attempt_id] = attempt
            on_grant(self, link, attempt_id, grant, now)

        on_grant = execution.Executor._on_grant
        accept = execution.Executor._accept

        def accept_and_keep(self, attempt, decision, now):
            self._accepted_attempts = getattr(self, '_accepted_attempts', {})
            self._accepted_attempts[attempt.attempt_id] = attempt
            accept(self, attempt, decision, now)

        with (
            mock.patch.object(execution.Executor, '_on_grant', start_dropped),
            mock.patch.object(execution.Executor, '_accept', accept_and_keep),
            mock.patch.object(
                sidecar_boards.SidecarBoard, 'add_tombstone', lambda *_: None
            ),
        ):
            self._assert_violates('1', 'ready', 'delay to sidecar', 'order')

    def test_granted_request_offered_elsewhere(self):
        """Detect that a granted request runs twice if the entry retries it."""

        def reroute(self, record, now):
            call_states.advance(record, 'interrupt')
            call_states.advance(record, 'requeue')
            record.excluded.add(record.sidecar)
            self._offer_sender.reroute(record, 'mutant', now)

        with mock.patch.object(dispatch.Dispatcher, '_interrupt', reroute):
            self._assert_violates('1', 'first token out', 'cut', 'draft')

    def test_offset_not_compared(self):
        """Detect that a resumed response repeats data without offsets."""
        on_chunk = dispatch.Dispatcher._on_chunk

        def accept_all(self, record, chunk, now):
            chunk = pb.Chunk(offset=record.received_bytes, data=chunk.data)
            on_chunk(self, record, chunk, now)

        with mock.patch.object(dispatch.Dispatcher, '_on_chunk', accept_all):
            self._assert_violates('3', 'first token out', 'doubled', 'draft')

    def test_not_run_returned_after_the_start(self):
        """Detect an entry that responds not-run without proof."""

        def respond_not_run(self, record, problem):
            self.end_not_run(record, problem, 1.0)

        with mock.patch.object(
            endings.CallFinalizer, 'end_unknown', respond_not_run
        ):
            self._assert_violates('4', 'started', 'kill sidecar', 'order')

    def test_revision_not_compared(self):
        """Detect that the revision goes back if it is not compared."""

        on_received = configuration.ConfigurationManager.on_received

        def accept_any(self, event, now):
            self._board.revision = 0
            on_received(self, event, now)

        with mock.patch.object(
            configuration.ConfigurationManager, 'on_received', accept_any
        ):
            self._assert_violates('8', 'offered', 'operators race', 'draft')

"""Test that the matrix notices when a guard is taken out."""

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
    """Take one guard out and find the broken promise."""

    def _find_problems(self, step, fault, kind):
        problems = []
        for seed in fault_matrix.SEEDS:
            cell = (STEPS[step], (FAULTS[fault],), kind, seed)
            problems += fault_matrix.run_cell(*cell).problems
        return problems

    def _assert_breaks(self, promise, step, fault, kind):
        problems = self._find_problems(step, fault, kind)
        found = {problem.split(':')[0] for problem in problems}
        # A state machine that refuses a step has noticed too.
        self.assertTrue(found & {promise, 'machine'}, found)

    def test_start_without_confirmed_claim(self):
        """Without the claim an order that is sent again runs twice."""
        build = offering.OfferSender._build_offer

        def build_unheld(self, record, chosen, now):
            offer = build(self, record, chosen, now)
            offer.held = False
            return offer

        with (
            mock.patch.object(
                offering.OfferSender, '_build_offer', build_unheld
            ),
            mock.patch.object(
                claims.ClaimManager, 'is_confirmed', lambda self, record: True
            ),
        ):
            self._assert_breaks('5', 'offered', 'sent again', 'order')

    def test_version_not_compared(self):
        """Without compare-and-set an order that is sent again runs twice."""
        with mock.patch.object(tables.Tables, '_match', lambda *_: True):
            self._assert_breaks('5', 'claimed', 'sent again', 'order')

    def test_incarnation_not_compared(self):
        """A new sidecar that denies the past makes an order run twice."""
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
            self._assert_breaks('1', 'started', 'kill sidecar', 'order')

    def test_tombstone_left_out(self):
        """A sidecar without tombstones starts what it promised not to."""

        def start_anyway(self, link, attempt_id, grant, now):
            attempt = (
                self._board.attempts.get(attempt_id) or self._kept[attempt_id]
            )
            if attempt.state == 'dropped':
                attempt.state = 'ready'
                self._board.attempts[attempt_id] = attempt
                self._board.running[attempt_id] = attempt
            advance_start(self, link, attempt_id, grant, now)

        advance_start = execution.Executor._on_grant
        accept = execution.Executor._accept

        def keep(self, attempt, decision, now):
            self._kept = getattr(self, '_kept', {})
            self._kept[attempt.attempt_id] = attempt
            accept(self, attempt, decision, now)

        with (
            mock.patch.object(execution.Executor, '_on_grant', start_anyway),
            mock.patch.object(execution.Executor, '_accept', keep),
            mock.patch.object(
                sidecar_boards.SidecarBoard, 'add_tombstone', lambda *_: None
            ),
        ):
            self._assert_breaks('1', 'ready', 'delay to sidecar', 'order')

    def test_granted_request_offered_elsewhere(self):
        """An entry that retries what it granted runs it twice."""

        def reroute(self, record, now):
            call_states.advance(record, 'interrupt')
            call_states.advance(record, 'requeue')
            record.excluded.add(record.sidecar)
            self._offer_sender.reroute(record, 'mutant', now)

        with mock.patch.object(dispatch.Dispatcher, '_interrupt', reroute):
            self._assert_breaks('1', 'first token out', 'cut', 'draft')

    def test_offset_not_compared(self):
        """Without offsets a resumed answer repeats itself."""
        on_chunk = dispatch.Dispatcher._on_chunk

        def take_all(self, record, chunk, now):
            chunk = pb.Chunk(offset=record.received_bytes, data=chunk.data)
            on_chunk(self, record, chunk, now)

        with mock.patch.object(dispatch.Dispatcher, '_on_chunk', take_all):
            self._assert_breaks('3', 'first token out', 'doubled', 'draft')

    def test_not_run_told_after_the_start(self):
        """An entry that guesses not-run is found out."""

        def guess(self, record, problem):
            self.end_not_run(record, problem, 1.0)

        with mock.patch.object(endings.CallFinalizer, 'end_unknown', guess):
            self._assert_breaks('4', 'started', 'kill sidecar', 'order')

    def test_revision_not_compared(self):
        """A keeper that takes any revision goes back."""

        on_received = configuration.ConfigurationManager.on_received

        def take_any(self, event, now):
            self._board.revision = 0
            on_received(self, event, now)

        with mock.patch.object(
            configuration.ConfigurationManager, 'on_received', take_any
        ):
            self._assert_breaks('8', 'offered', 'operators race', 'draft')

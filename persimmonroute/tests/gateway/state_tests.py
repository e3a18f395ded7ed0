"""Test what the gateway believes of the store, endpoints and peers."""

from __future__ import annotations

import unittest

from persimmonroute.gateway import admission
from persimmonroute.gateway import event_stream
from persimmonroute.gateway import messages
from persimmonroute.gateway import model
from persimmonroute.gateway.model import Ending
from persimmonroute.gateway import peers
from persimmonroute.gateway import quarantine
from persimmonroute.gateway import runners
from persimmonroute.platform import tables
from standins import gateway_fixtures as fixtures


class StoreClockTests(unittest.TestCase):
    """Date answers of the store by the own clock."""

    def test_never_later_than_the_answer(self):
        """A slow answer is dated no later than it can have been given."""
        clock = tables.StoreClock()
        # The store's clock is 100 s behind; each way takes 2 ms.
        self.assertLessEqual(
            clock.earliest_answer_time(0.002, 100.0, 100.004), 100.002
        )
        dated = clock.earliest_answer_time(2.002, 100.0, 109.0)
        self.assertLessEqual(dated, 102.002)
        self.assertGreater(dated, 101.9)

    def test_store_clock_that_begins_anew(self):
        """A jump of the store's clock falls back to the question's time."""
        clock = tables.StoreClock()
        clock.earliest_answer_time(10.0, 100.0, 100.01)
        self.assertEqual(
            clock.earliest_answer_time(500.0, 101.0, 101.01), 101.0
        )


class AdmissionTests(unittest.TestCase):
    """Judge requests against beliefs of some age."""

    def setUp(self):
        """Know a configuration confirmed at the start."""
        self.board = fixtures.board()
        self.admission = admission.Admission(self.board)

    def _judge(self, now, **fields):
        return self.admission.evaluate(fixtures.request(**fields), now)

    def test_key_is_trusted_within_the_bound_only(self):
        """A key is refused before the bound of revocation is reached."""
        self.assertIsInstance(self._judge(4.0), messages.Ticket)
        refused = self._judge(4.9)
        self.assertEqual(refused.status, 503)
        self.assertIsNotNone(refused.retry_after_s)

    def test_old_configuration_denies_nothing(self):
        """What may have changed is answered with 503 instead of 401."""
        self.assertEqual(self._judge(1.0, key='new').status, 401)
        self.assertEqual(self._judge(3.0, key='new').status, 503)
        path = '/none/x'
        self.assertEqual(self._judge(1.0, path=path).status, 404)
        self.assertEqual(self._judge(3.0, path=path).status, 503)

    def test_who_comes_back_is_as_old_as_the_first_attempt(self):
        """A caller with less time left was here before."""
        first = self._judge(1.0, remaining_s=4.0)
        again = self._judge(2.0, remaining_s=3.0)
        self.assertEqual(first.asked_at, again.asked_at)
        self.assertEqual(again.deadline_at, 5.0)

    def test_longest_prefix_wins(self):
        """Among the prefixes that begin a path the longest is taken."""
        long = fixtures.route('long')._replace(prefix='/draft/deep/')
        board = fixtures.board(routes=(fixtures.route(), long))
        found = board.table.find_route(fixtures.HOST, '/draft/deep/x')
        self.assertEqual(found.name, 'long')
        self.assertEqual(
            board.table.find_route(fixtures.HOST, '/draft/dee').name, 'draft'
        )
        self.assertIsNone(board.table.find_route(fixtures.HOST, '/draft'))

    def test_versions_only_rise(self):
        """An older configuration is not taken."""
        newer = fixtures.configuration(version=5)
        self.assertTrue(self.board.adopt_configuration(newer, 0.0))
        older = fixtures.configuration(version=4)
        self.assertFalse(self.board.adopt_configuration(older, 0.0))
        self.assertEqual(self.board.version, 5)

    def test_crashing_request_is_refused(self):
        """A content that broke three attempts is no longer sent."""
        request = fixtures.request()
        mark = quarantine.fingerprint(request)
        known = self.board.quarantine
        for now in (0.0, 1.0):
            known.record_broken(mark, 'r1', now)
            known.record_crash('r1', now + 0.5)
        self.assertIsInstance(self._judge(2.0), messages.Ticket)
        known.apply_peer_counts('peer', {mark: 1})
        self.assertEqual(self._judge(2.0).status, 503)
        self.assertIsInstance(self._judge(2.0, body=b'x'), messages.Ticket)

    def test_lost_answers_are_no_crashes(self):
        """Broken attempts at endpoints that live on are not counted."""
        mark = quarantine.fingerprint(fixtures.request())
        for now in range(10):
            self.board.quarantine.record_broken(mark, 'r1', now / 10)
        self.board.quarantine.record_crash('r2', 1.0)
        self.assertIsInstance(self._judge(1.0), messages.Ticket)

    def test_answered_request_is_cleared(self):
        """What was in progress at a crash by chance is cleared."""
        mark = quarantine.fingerprint(fixtures.request())
        known = self.board.quarantine
        for now in range(5):
            known.record_broken(mark, 'r1', now)
            known.record_crash('r1', now)
        known.record_answered(mark)
        self.assertFalse(known.is_quarantined(mark))


class RunnerBookTests(unittest.TestCase):
    """Bring changes of endpoints to the book."""

    def setUp(self):
        """Know one endpoint."""
        self.book = runners.RunnerBook()
        self.book.apply([fixtures.runner('r1')], (), False, 0.0)
        self.view = self.book.find('r1')

    def test_lapsed_entry_is_kept_for_a_while(self):
        """An entry that vanished with the store is used a little longer."""
        self.assertEqual(self.book.apply([], ['r1'], True, 10.0), [])
        self.assertTrue(self.view.usable(11.9))
        self.assertFalse(self.view.usable(12.5))
        self.assertEqual(self.book.drop_lapsed(12.5), [self.view])

    def test_entry_that_is_back_is_kept(self):
        """A lapsed entry that returns is as it was."""
        self.book.apply([], ['r1'], True, 10.0)
        self.book.apply([fixtures.runner('r1')], (), True, 11.0)
        self.assertTrue(self.view.usable(20.0))

    def test_removed_entry_is_gone_at_once(self):
        """While the store is well a removed entry is taken at its word."""
        self.assertEqual(self.book.apply([], ['r1'], False, 1.0), [self.view])
        self.assertIsNone(self.book.find('r1'))

    def test_new_incarnation_starts_anew(self):
        """An endpoint that was born again is another endpoint."""
        self.view.suspend(0.0)
        gone = self.book.apply(
            [fixtures.runner('r1', started_at_ms=2)], (), False, 0.1
        )
        self.assertEqual(gone, [self.view])
        self.assertTrue(self.book.find('r1').usable(0.1))

    def test_suspension_doubles_and_ends_with_an_answer(self):
        """Failures in a row leave an endpoint alone for longer."""
        self.view.note_ending(Ending.UNREACHABLE, 0.0)
        self.assertFalse(self.view.usable(0.2))
        self.view.note_ending(Ending.UNREACHABLE, 0.3)
        self.assertFalse(self.view.usable(0.7))
        self.assertTrue(self.view.usable(0.9))
        self.view.note_ending(Ending.ANSWERED, 1.0)
        self.assertEqual(self.view.suspension_s, 0.0)


class PeerRegistryTests(unittest.TestCase):
    """Bring reports of peers to the book."""

    def _report(self, sequence, incarnation=1):
        return peers.PeerReport('p', incarnation, sequence, {}, {}, {}, {})

    def test_old_reports_are_passed_over(self):
        """A report that overtook another one counts, the other does not."""
        book = peers.PeerRegistry('own')
        book.update_peer('p', '127.0.0.1:1', 0.0)
        self.assertIsNotNone(book.apply_report(self._report(2), 0.0))
        self.assertIsNone(book.apply_report(self._report(1), 0.1))
        self.assertIsNotNone(book.apply_report(self._report(1, 2), 0.2))

    def test_heard_share(self):
        """Gateways that are known but silent lower the share."""
        book = peers.PeerRegistry('own')
        book.update_peer('p', '127.0.0.1:1', 0.0)
        book.update_peer('q', '127.0.0.1:2', 0.0)
        book.apply_report(self._report(1), 0.0)
        self.assertAlmostEqual(book.reporting_share(0.0), 2 / 3)
        self.assertAlmostEqual(book.reporting_share(3.0), 1 / 3)
        self.assertAlmostEqual(book.reporting_share(100.0), 1.0)


class EventSplitterTests(unittest.TestCase):
    """Split streams of events."""

    def test_whole_events_only(self):
        """Bytes wait until their event is whole."""
        splitter = event_stream.EventSplitter()
        self.assertEqual(splitter.feed(b'id: 1\nda'), [])
        found = splitter.feed(b'ta: x\n\nid: 2\n')
        self.assertEqual(
            found, [event_stream.StreamEvent(b'id: 1\ndata: x\n\n', 1)]
        )
        self.assertEqual(splitter.rest, b'id: 2\n')

    def test_event_without_a_number(self):
        """An id that is no number counts as none."""
        found = event_stream.EventSplitter().feed(b'id: x\n\n')
        self.assertIsNone(found[0].id)


class PlacementTests(unittest.TestCase):
    """Choose among endpoints."""

    def _choose(self, *records, **fields):
        board = fixtures.board(runners=records)
        made = fixtures.scheduler(board)
        ticket = fixtures.pending_request(**fields)
        views = list(board.book)
        return board, made, ticket, views

    def _pick(self, made, ticket, views):
        return made.placement.choose(ticket, views, made.limit_of, 0.0).id

    def test_near_endpoint_is_taken(self):
        """The own failure domain goes before the region, that before all."""
        _, made, ticket, views = self._choose(
            fixtures.runner('far', failure_domain='frankfurt-a'),
            fixtures.runner('near', failure_domain='riga-b'),
            fixtures.runner('own', failure_domain='riga-a'),
        )
        self.assertEqual(self._pick(made, ticket, views), 'own')
        self.assertEqual(self._pick(made, ticket, views[:2]), 'near')

    def test_slow_and_failing_endpoints_come_last(self):
        """What was learned of an endpoint's speed and failures counts."""
        board, made, ticket, views = self._choose('a', 'b')
        board.book.find('a').slowness = 2.0
        self.assertEqual(self._pick(made, ticket, views), 'b')
        board.book.find('a').slowness = 1.0
        board.book.find('b').failure_share = 0.3
        self.assertEqual(self._pick(made, ticket, views), 'a')

    def test_held_prompt_draws_requests(self):
        """An endpoint that holds the prompt is taken."""
        prompt = (model.PromptPart('p', 3000), model.PromptPart('q', 10))
        board, made, ticket, views = self._choose('a', 'b', prompt=prompt)
        board.book.find('b').note_prompt(prompt, 0.0)
        self.assertEqual(self._pick(made, ticket, views), 'b')

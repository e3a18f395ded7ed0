"""Test admission, the registries, stream splitting and placement."""

from __future__ import annotations

import unittest

from persimmonroute import event_stream
from persimmonroute.gateway import admission
from persimmonroute.gateway import messages
from persimmonroute.gateway import model
from persimmonroute.gateway.model import Ending
from persimmonroute.gateway import peers
from persimmonroute.gateway import runners
from persimmonroute.platform import tables
from standins import gateway_fixtures as fixtures


class StoreClockTests(unittest.TestCase):
    """Convert timestamps of the store to the local clock."""

    def test_never_later_than_the_response(self):
        """A slow response is dated no later than it can have been sent."""
        clock = tables.StoreClock()
        # The store's clock is 100 s behind; each way takes 2 ms.
        self.assertLessEqual(
            clock.earliest_response_time(0.002, 100.0, 100.004), 100.002
        )
        dated = clock.earliest_response_time(2.002, 100.0, 109.0)
        self.assertLessEqual(dated, 102.002)
        self.assertGreater(dated, 101.9)

    def test_store_clock_reset(self):
        """A jump of the store's clock falls back to the request time."""
        clock = tables.StoreClock()
        clock.earliest_response_time(10.0, 100.0, 100.01)
        self.assertEqual(
            clock.earliest_response_time(500.0, 101.0, 101.01), 101.0
        )


class AdmissionTests(unittest.TestCase):
    """Evaluate requests against a configuration of some age."""

    def setUp(self):
        """Create an admission with a configuration confirmed at 0 s."""
        self.board = fixtures.board()
        self.admission = admission.Admission(self.board)

    def _evaluate(self, now, **fields):
        return self.admission.evaluate(fixtures.request(**fields), now)

    def test_key_is_trusted_within_the_bound_only(self):
        """A key is rejected before the revocation bound is reached."""
        self.assertIsInstance(self._evaluate(4.0), messages.PendingRequest)
        rejection = self._evaluate(4.9)
        self.assertEqual(rejection.status, 503)
        self.assertIsNotNone(rejection.retry_after_s)

    def test_old_configuration_denies_nothing(self):
        """An old configuration leads to 503 instead of 401 or 404."""
        self.assertEqual(self._evaluate(1.0, key='new').status, 401)
        self.assertEqual(self._evaluate(3.0, key='new').status, 503)
        path = '/none/x'
        self.assertEqual(self._evaluate(1.0, path=path).status, 404)
        self.assertEqual(self._evaluate(3.0, path=path).status, 503)

    def test_admitted_request_is_checked_again_before_it_is_sent(self):
        """A request does not run on a key that was revoked meanwhile."""
        pending = self._evaluate(1.0)
        self.assertIsNone(self.admission.check_again(pending, 2.0))
        changed = fixtures.configuration(
            workspaces=[fixtures.workspace(key='other')], version=9
        )
        self.assertTrue(self.board.adopt_configuration(changed, 2.0))
        rejection = self.admission.check_again(pending, 2.0)
        self.assertEqual(rejection.status, 401)

    def test_suspended_gateway_does_not_use_an_old_admission(self):
        """After a suspension the key and the deadline may be outdated."""
        pending = self._evaluate(1.0, remaining_s=9.0)
        rejection = self.admission.check_again(pending, 4.9)
        self.assertEqual(rejection.status, 503)
        self.assertIsNotNone(rejection.retry_after_s)
        self.board.configuration_freshness.confirm(10.0, 10.0)
        rejection = self.admission.check_again(pending, 10.0)
        self.assertEqual(rejection.status, 503)

    def test_retry_is_as_old_as_the_first_attempt(self):
        """A request with less remaining time is a retry."""
        first = self._evaluate(1.0, remaining_s=4.0)
        again = self._evaluate(2.0, remaining_s=3.0)
        self.assertEqual(first.first_arrived_at, again.first_arrived_at)
        self.assertEqual(again.deadline_at, 5.0)

    def test_longest_prefix_wins(self):
        """The longest prefix that matches a path is used."""
        long = fixtures.route('long')._replace(prefix='/draft/deep/')
        board = fixtures.board(routes=(fixtures.route(), long))
        route = board.route_table.find_route(fixtures.HOST, '/draft/deep/x')
        self.assertEqual(route.name, 'long')
        self.assertEqual(
            board.route_table.find_route(fixtures.HOST, '/draft/dee').name,
            'draft',
        )
        self.assertIsNone(
            board.route_table.find_route(fixtures.HOST, '/draft')
        )

    def test_older_version_is_ignored(self):
        """An older configuration is not adopted."""
        newer = fixtures.configuration(version=5)
        self.assertTrue(self.board.adopt_configuration(newer, 0.0))
        older = fixtures.configuration(version=4)
        self.assertFalse(self.board.adopt_configuration(older, 0.0))
        self.assertEqual(self.board.version, 5)


class RunnerRegistryTests(unittest.TestCase):
    """Apply changes of endpoints to the registry."""

    def setUp(self):
        """Create a registry of one endpoint."""
        self.registry = runners.RunnerRegistry()
        self.registry.apply([fixtures.runner('r1')], (), False, 0.0)
        self.view = self.registry.find('r1')

    def test_lapsed_registration_is_kept_for_a_while(self):
        """A registration that lapsed in a store outage is used for LAPSE_S."""
        self.assertEqual(self.registry.apply([], ['r1'], True, 10.0), [])
        self.assertTrue(self.view.usable(11.9))
        self.assertFalse(self.view.usable(12.5))
        self.assertEqual(self.registry.drop_lapsed(12.5), [self.view])

    def test_returning_registration_is_kept(self):
        """A lapsed registration that returns keeps its state."""
        self.registry.apply([], ['r1'], True, 10.0)
        self.registry.apply([fixtures.runner('r1')], (), True, 11.0)
        self.assertTrue(self.view.usable(20.0))

    def test_removed_registration_is_dropped_at_once(self):
        """Without a store outage a removed registration is dropped at once."""
        self.assertEqual(
            self.registry.apply([], ['r1'], False, 1.0), [self.view]
        )
        self.assertIsNone(self.registry.find('r1'))

    def test_new_incarnation_has_new_state(self):
        """A restarted endpoint does not inherit its former state."""
        self.view.suspend(0.0)
        removed = self.registry.apply(
            [fixtures.runner('r1', started_at_ms=2)], (), False, 0.1
        )
        self.assertEqual(removed, [self.view])
        self.assertTrue(self.registry.find('r1').usable(0.1))

    def test_restored_store_does_not_bring_back_a_removed_endpoint(self):
        """A registration from an older copy is held until it is renewed."""
        gone, kept = fixtures.runner('r1'), fixtures.runner('r2')
        self.registry.apply([kept], ['r1'], False, 1.0)
        self.registry.apply_restored([gone, kept], 2.0)
        self.assertIsNone(self.registry.find('r1'))
        self.registry.drop_lapsed(6.0)
        self.assertIsNone(self.registry.find('r1'))
        self.registry.drop_lapsed(7.1)
        self.assertTrue(self.registry.find('r1').usable(7.1))

    def test_endpoint_that_registers_again_is_used_at_once(self):
        """A held registration is accepted once its endpoint writes it."""
        gone = fixtures.runner('r1')
        self.registry.apply([], ['r1'], False, 1.0)
        self.registry.apply_restored([gone], 2.0)
        self.registry.apply([gone], (), True, 2.5)
        self.assertTrue(self.registry.find('r1').usable(2.5))

    def test_restored_store_does_not_end_a_leaving(self):
        """An endpoint that was leaving before a restore gets no work."""
        ready = fixtures.runner('r1')
        self.registry.apply([ready._replace(leaving=True)], (), False, 1.0)
        self.registry.apply_restored([ready], 2.0)
        self.assertFalse(self.view.usable(2.0))
        restarted = ready._replace(started_at_ms=2)
        self.registry.apply([restarted], (), True, 3.0)
        self.assertTrue(self.registry.find('r1').usable(3.0))

    def test_restored_store_keeps_the_newer_incarnation(self):
        """An older copy lists the former incarnation of an endpoint."""
        former = fixtures.runner('r1')
        current = fixtures.runner('r1', started_at_ms=2)
        self.registry.apply([current], (), False, 1.0)
        self.registry.apply_restored([former], 2.0)
        self.assertEqual(self.registry.find('r1').record, current)
        self.assertTrue(self.registry.find('r1').usable(2.1))

    def test_endpoint_missing_in_a_restored_store_only_lapses(self):
        """An endpoint that registered after the copy has time to return."""
        self.assertEqual(self.registry.apply_restored([], 1.0), [])
        self.assertTrue(self.view.usable(2.0))
        self.assertEqual(self.registry.drop_lapsed(3.5), [self.view])

    def test_endpoint_that_says_it_leaves_gets_no_work(self):
        """An announcement holds for one incarnation, also once it returns."""
        self.assertTrue(self.registry.record_leaving('r1', 1, 1.0))
        self.assertFalse(self.registry.record_leaving('r1', 1, 1.1))
        self.assertFalse(self.view.usable(1.1))
        self.registry.apply([], ['r1'], False, 2.0)
        self.registry.apply([fixtures.runner('r1')], (), False, 3.0)
        self.assertFalse(self.registry.find('r1').usable(3.0))
        self.assertEqual(self.registry.report_leaving(3.0), [('r1', 1)])
        self.assertEqual(self.registry.report_leaving(13.0), [])

    def test_closed_endpoint_is_probed_by_one_request(self):
        """After a pause that an endpoint asked for, one request goes first."""
        self.view.close_until(2.0)
        self.assertFalse(self.view.usable(1.9))
        self.assertTrue(self.view.usable(2.1))
        probe = fixtures.pending_request(2.1)
        self.view.record_sent(probe, 2.1)
        self.assertFalse(self.view.usable(2.1))
        self.view.record_response(2.2)
        self.assertTrue(self.view.usable(2.2))

    def test_suspension_doubles_and_ends_with_a_response(self):
        """Consecutive failures suspend an endpoint for longer."""
        self.view.record_ending(Ending.UNREACHABLE, 0.0)
        self.assertFalse(self.view.usable(0.2))
        self.view.record_ending(Ending.UNREACHABLE, 0.3)
        self.assertFalse(self.view.usable(0.7))
        self.assertTrue(self.view.usable(0.9))
        self.view.record_ending(Ending.ANSWERED, 1.0)
        self.assertEqual(self.view.suspension_s, 0.0)


class PeerRegistryTests(unittest.TestCase):
    """Apply reports of peers to the registry."""

    def _report(self, sequence, incarnation=1):
        return peers.PeerReport('p', incarnation, sequence, {}, {}, {})

    def _registry(self, name, reporting, silent, now):
        registry = peers.PeerRegistry(name)
        for peer in {*reporting, *silent} - {name}:
            registry.update_peer(peer, '127.0.0.1:1', 0.0)
        for peer in reporting:
            report = self._report(1)._replace(name=peer)
            registry.apply_report(report, now)
        return registry

    def test_late_report_of_an_earlier_start_is_ignored(self):
        """Guards against usage that is deducted again in full."""
        board = fixtures.board(name='own')
        board.peers.update_peer('p', '127.0.0.1:1', 0.0)
        self.assertTrue(board.apply_peer_report(self._report(5, 7), 1.0))
        # The clock that numbers the starts may be set back.
        for incarnation in (8, 3):
            report = self._report(1, incarnation)
            self.assertTrue(board.apply_peer_report(report, 2.0))
            self.assertFalse(board.apply_peer_report(self._report(9, 7), 2.0))
            self.assertEqual(board.peers.find('p').incarnation, incarnation)
        self.assertFalse(board.apply_peer_report(self._report(9, 8), 2.0))

    def test_row_of_a_lost_gateway_is_removed_by_one_other(self):
        """A gateway that is gone for good leaves nothing behind."""
        names = ('a', 'b', 'c', 'd')
        listed = {*names, 'lost'}
        now = 2 * peers.GONE_AFTER_S
        found = []
        for name in names:
            registry = self._registry(name, names, {'lost'}, now)
            found += registry.find_gone(listed, now)
            registry.drop_unlisted(listed, now)
            self.assertIsNotNone(registry.find('lost'))
            registry.drop_unlisted(set(names), now)
            self.assertIsNone(registry.find('lost'))
            self.assertEqual(registry.count, 3)
        self.assertEqual(found, ['lost'])

    def test_gateway_that_is_cut_off_removes_no_rows(self):
        """Silence of most others is no sign that they are gone."""
        now = 2 * peers.GONE_AFTER_S
        others = {'a', 'b', 'c', 'd'}
        registry = self._registry('own', ('a',), others, now)
        self.assertEqual(registry.find_gone({*others, 'own'}, now), [])

    def test_gateway_that_is_silent_for_a_while_is_kept(self):
        """A restart or a short outage removes no row."""
        now = peers.GONE_AFTER_S - 1.0
        registry = self._registry('own', ('a', 'b'), {'slow'}, now)
        self.assertEqual(registry.find_gone({'slow'}, now), [])

    def test_outdated_reports_are_ignored(self):
        """A report that arrives after a newer one is ignored."""
        registry = peers.PeerRegistry('own')
        registry.update_peer('p', '127.0.0.1:1', 0.0)
        self.assertIsNotNone(registry.apply_report(self._report(2), 0.0))
        self.assertIsNone(registry.apply_report(self._report(1), 0.1))
        self.assertIsNotNone(registry.apply_report(self._report(1, 2), 0.2))

    def test_reporting_share(self):
        """Known but unresponsive gateways lower the share."""
        registry = peers.PeerRegistry('own')
        registry.update_peer('p', '127.0.0.1:1', 0.0)
        registry.update_peer('q', '127.0.0.1:2', 0.0)
        registry.apply_report(self._report(1), 0.0)
        self.assertAlmostEqual(registry.reporting_share(0.0), 2 / 3)
        self.assertAlmostEqual(registry.reporting_share(3.0), 1 / 3)
        self.assertAlmostEqual(registry.reporting_share(100.0), 1.0)


class EventSplitterTests(unittest.TestCase):
    """Split event streams."""

    def test_complete_events_only(self):
        """Bytes are buffered until their event is complete."""
        splitter = event_stream.EventSplitter()
        self.assertEqual(splitter.feed(b'id: 1\nda'), [])
        events = splitter.feed(b'ta: x\n\nid: 2\n')
        self.assertEqual(
            events, [event_stream.StreamEvent(b'id: 1\ndata: x\n\n', 1)]
        )
        self.assertEqual(splitter.rest, b'id: 2\n')

    def test_line_endings_of_every_kind_end_events(self):
        """An event ends at a blank line, whichever line ending is used."""
        for ending in (b'\n', b'\r\n', b'\r'):
            sent = b'id: 1\ndata: x\n\nid: 2\ndata: y\n\n'
            sent = sent.replace(b'\n', ending)
            for size in (1, 2, 3, len(sent)):
                with self.subTest(ending=ending, size=size):
                    splitter = event_stream.EventSplitter()
                    events = [
                        event
                        for at in range(0, len(sent), size)
                        for event in splitter.feed(sent[at : at + size])
                    ]
                    self.assertEqual([event.id for event in events], [1, 2])
                    self.assertFalse(splitter.in_event)
                    relayed = b''.join(event.data for event in events)
                    self.assertEqual(relayed + splitter.rest, sent)

    def test_event_without_a_number(self):
        """An id that is not a number counts as no id."""
        events = event_stream.EventSplitter().feed(b'id: x\n\n')
        self.assertIsNone(events[0].id)


class PlacementTests(unittest.TestCase):
    """Choose among endpoints."""

    def _choose(self, *records, **fields):
        board = fixtures.board(runners=records)
        scheduler = fixtures.scheduler(board)
        pending = fixtures.pending_request(**fields)
        views = list(board.runner_registry)
        return board, scheduler, pending, views

    def _pick(self, scheduler, pending, views):
        return scheduler.placement.choose(
            pending, views, scheduler.limit_of, 0.0
        ).id

    def test_near_endpoint_is_taken(self):
        """The own failure domain is preferred, then the own region."""
        _, scheduler, pending, views = self._choose(
            fixtures.runner('far', failure_domain='frankfurt-a'),
            fixtures.runner('near', failure_domain='riga-b'),
            fixtures.runner('own', failure_domain='riga-a'),
        )
        self.assertEqual(self._pick(scheduler, pending, views), 'own')
        self.assertEqual(self._pick(scheduler, pending, views[:2]), 'near')

    def test_slow_and_failing_endpoints_come_last(self):
        """A slow or failing endpoint is chosen after the others."""
        board, scheduler, pending, views = self._choose('a', 'b')
        board.runner_registry.find('a').slowness = 2.0
        self.assertEqual(self._pick(scheduler, pending, views), 'b')
        board.runner_registry.find('a').slowness = 1.0
        board.runner_registry.find('b').failure_share = 0.3
        self.assertEqual(self._pick(scheduler, pending, views), 'a')

    def test_cached_prompt_attracts_requests(self):
        """An endpoint with the prompt in its cache is chosen."""
        prompt = (model.PromptPart('p', 3000), model.PromptPart('q', 10))
        board, scheduler, pending, views = self._choose(
            'a', 'b', prompt=prompt
        )
        board.runner_registry.find('b').record_prompt(prompt, 0.0)
        self.assertEqual(self._pick(scheduler, pending, views), 'b')

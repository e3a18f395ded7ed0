"""Test which requests are taken to crash endpoints."""

from __future__ import annotations

import itertools
import unittest

from persimmonroute import crash_attribution
from persimmonroute.gateway import admission
from persimmonroute.gateway import messages
from persimmonroute.gateway import model
from persimmonroute.gateway import quarantine
from standins import gateway_fixtures as fixtures

CRASHING = 'bad'


class QuarantineTests(unittest.TestCase):
    """Report broken attempts and crashes to the quarantines of gateways."""

    def setUp(self):
        """Create two gateways' quarantines and a clock."""
        self.first = quarantine.Quarantine()
        self.second = quarantine.Quarantine()
        self.now = 0.0
        self._numbers = itertools.count()

    def _request(self, *parts):
        """Return a request with a body and a last part of its own."""
        number = next(self._numbers)
        prompt = [model.PromptPart(part, 10) for part in (*parts, f'{number}')]
        return fixtures.request(
            body=f'body {number}'.encode(), prompt=tuple(prompt)
        )

    def _crash(self, *requests, tracker=None, number=None, distance_s=1.0):
        """Crash an endpoint with requests in progress."""
        tracker = tracker or self.first
        number = next(self._numbers) if number is None else number
        runner = fixtures.runner('r1', started_at_ms=number + 1)
        self.now += distance_s
        for request in requests:
            tracker.record_broken(
                quarantine.read_traits(request), runner, self.now
            )
        tracker.record_crash(runner, self.now + 0.05)
        return runner

    def _exchange(self):
        """Let both gateways report to each other."""
        for _ in range(2):
            self.second.apply_peer_findings(
                'first', self.first.report(self.now), self.now
            )
            self.first.apply_peer_findings(
                'second', self.second.report(self.now), self.now
            )

    def _answer(self, *parts, tracker=None):
        tracker = tracker or self.first
        tracker.record_response(self._request(*parts), self.now)

    def test_request_that_crashes_endpoints_is_quarantined(self):
        """A request that crashed endpoints three times is quarantined."""
        request = self._request('system')
        for _ in range(2):
            self._crash(request)
        self.assertFalse(self.first.is_quarantined(request))
        self._crash(request, tracker=self.second)
        self._exchange()
        for tracker in (self.first, self.second):
            self.assertTrue(tracker.is_quarantined(request))
            other = request._replace(body=b'x', prompt=())
            self.assertFalse(tracker.is_quarantined(other))

    def test_part_that_crashes_endpoints_is_quarantined(self):
        """Requests with nothing but a part in common are quarantined."""
        for number in range(3):
            tracker = (self.first, self.second)[number % 2]
            self._crash(
                self._request('system', f'group{number}', CRASHING),
                tracker=tracker,
            )
            self._exchange()
            expected = number == 2
            for tracker in (self.first, self.second):
                request = self._request('other', CRASHING)
                self.assertEqual(tracker.is_quarantined(request), expected)

    def test_only_the_most_specific_part_is_quarantined(self):
        """Requests that share the other parts go on."""
        for _ in range(3):
            self._crash(self._request('system', 'group', CRASHING))
        self.assertTrue(self.first.is_quarantined(self._request(CRASHING)))
        sound = self._request('system', 'group', 'sound')
        self.assertFalse(self.first.is_quarantined(sound))

    def test_wrong_attribution_is_corrected_by_the_next_crash(self):
        """A part in fewer crashes than another is released."""
        for _ in range(3):
            self._crash(self._request(CRASHING, 'group'))
        self.assertTrue(self.first.is_quarantined(self._request('group')))
        self._crash(self._request(CRASHING, 'elsewhere'))
        self.assertTrue(self.first.is_quarantined(self._request(CRASHING)))
        self.assertFalse(self.first.is_quarantined(self._request('group')))

    def test_last_part_is_none_of_its_own(self):
        """The last part of a prompt is no suspect."""
        for _ in range(3):
            request = self._request()
            self._crash(
                request._replace(prompt=(model.PromptPart(CRASHING, 10),))
            )
        self.assertFalse(self.first.is_quarantined(self._request(CRASHING)))

    def test_parts_of_answered_requests_are_sound(self):
        """What was answered before or between crashes is no suspect."""
        self._answer('system', 'group')
        for _ in range(5):
            self._crash(self._request('system', 'group', 'rare'))
            self._answer('rare')
        for parts in (('system',), ('group',), ('rare',)):
            self.assertFalse(self.first.is_quarantined(self._request(*parts)))

    def test_answer_at_one_gateway_clears_a_part_at_all(self):
        """A suspect that another gateway saw answered is cleared."""
        for _ in range(3):
            self._crash(self._request('group'))
        self.assertTrue(self.first.is_quarantined(self._request('group')))
        self._answer('group', tracker=self.second)
        self._exchange()
        self._exchange()
        for tracker in (self.first, self.second):
            self.assertFalse(tracker.is_quarantined(self._request('group')))

    def test_bystanders_of_a_known_part_are_not_quarantined(self):
        """Crashes that a quarantined part explains blame nothing else."""
        bystander = self._request('victim')
        for number in range(4):
            victims = (bystander,) if number else ()
            self._crash(self._request(CRASHING), *victims)
        self.assertTrue(self.first.is_quarantined(self._request(CRASHING)))
        self._crash(self._request(CRASHING), self._request('victim'))
        self.assertFalse(self.first.is_quarantined(self._request('victim')))

    def test_endpoints_that_end_together_count_as_one_crash(self):
        """The loss of a failure domain quarantines nothing."""
        for _ in range(5):
            self._crash(self._request('new'), distance_s=0.01)
        self.assertFalse(self.first.is_quarantined(self._request('new')))

    def test_lost_responses_are_no_crashes(self):
        """Broken attempts do not count while the endpoint runs."""
        request = self._request('new')
        runner = fixtures.runner('r1')
        for now in range(10):
            self.first.record_broken(
                quarantine.read_traits(request), runner, float(now)
            )
        self.first.record_crash(fixtures.runner('r2'), 10.0)
        self.assertFalse(self.first.is_quarantined(request))

    def test_attempt_that_fails_after_the_crash_was_found_counts(self):
        """An attempt whose failure is noticed last is attributed, too."""
        for _ in range(3):
            runner = self._crash()
            self.first.record_broken(
                quarantine.read_traits(self._request(CRASHING)),
                runner,
                self.now + 0.1,
            )
        self.assertTrue(self.first.is_quarantined(self._request(CRASHING)))

    def test_one_crash_seen_by_several_gateways_counts_once(self):
        """Gateways with attempts at the same endpoint see one crash."""
        for number in range(2):
            for tracker in (self.first, self.second):
                self._crash(
                    self._request('new'), tracker=tracker, number=number
                )
        self._exchange()
        self.assertFalse(self.first.is_quarantined(self._request('new')))

    def test_quarantine_ends_long_after_the_last_crash(self):
        """A part is kept longer than a suspect, and then tried again."""
        for _ in range(3):
            self._crash(self._request(CRASHING))
        self.first.expire(self.now + crash_attribution.SUSPECT_TTL_S + 1)
        self.assertTrue(self.first.is_quarantined(self._request(CRASHING)))
        self.first.expire(self.now + crash_attribution.QUARANTINE_TTL_S + 1)
        self.assertFalse(self.first.is_quarantined(self._request(CRASHING)))

    def test_rows_of_the_store_are_kept_and_withdrawn(self):
        """What was stored is quarantined until it turns out to be sound."""
        for _ in range(3):
            self._crash(self._request(CRASHING))
        later = self.now + 1.0
        stored = self.first.find_unstored(later)
        self.assertEqual(len(stored), 1)
        self.first.apply_stored(stored, later)
        self.assertEqual(self.first.find_unstored(later), [])
        self.second.apply_stored(stored, later)
        self.assertTrue(self.second.is_quarantined(self._request(CRASHING)))
        self._crash(self._request(CRASHING), tracker=self.second)
        self.assertTrue(self.second.is_quarantined(self._request(CRASHING)))
        self._answer(CRASHING, tracker=self.second)
        self.assertFalse(self.second.is_quarantined(self._request(CRASHING)))
        self.assertEqual(self.second.obsolete, frozenset(stored))

    def test_what_is_kept_is_bounded(self):
        """Many crashes and answers do not fill the memory."""
        for number in range(400):
            self._crash(self._request(f'a{number}', f'b{number}'))
            self._answer(f'c{number}')
        self.assertLessEqual(
            len(self.first.suspects), crash_attribution.MAX_SUSPECTS
        )
        self.assertLessEqual(
            len(self.first.report(self.now).suspects), quarantine.MAX_REPORTED
        )

    def test_requests_are_refused_at_admission_and_before_each_send(self):
        """A request that waited while its part was found is not sent."""
        board = fixtures.board()
        checks = admission.Admission(board)
        request = self._request(CRASHING)
        pending = checks.evaluate(request, 0.0)
        self.assertIsInstance(pending, messages.PendingRequest)
        for _ in range(3):
            self._crash(self._request(CRASHING), tracker=board.quarantine)
        self.assertEqual(checks.evaluate(request, 1.0).status, 503)
        rejection = checks.check_again(pending, 1.0)
        self.assertEqual(rejection.status, 503)
        self.assertIsNotNone(rejection.retry_after_s)

"""Test how explain names a planned stop as the cause."""

from __future__ import annotations

import datetime
import json
import unittest

from persimmonroute.commands import explain
from persimmonroute.entry import stopping
from persimmonroute.gateway import model

SIGNAL_S = 10


class StopCauseCase(unittest.TestCase):
    """Build the log of a process that was told to stop."""

    def setUp(self):
        """Start with the event of the signal."""
        self.files = explain.LogFiles()
        self._add(1, 'PROCESS_STARTED')
        self._add(SIGNAL_S, 'PROCESS_STOPPING')

    def _add(self, second, name, instance='g', **fields):
        line = {
            'time': f'2026-01-01T00:00:{second:06.3f}+00:00',
            'instance': instance,
            'name': name,
            **fields,
        }
        self.files.add(json.dumps(line))

    def _add_sent(self, second, **fields):
        self._add(second, 'GATEWAY_SENT', request='a', runner='r', **fields)

    def _add_rejected(self, second, rejection, route='book'):
        self._add(
            second,
            'GATEWAY_REJECTED',
            request='a',
            route=route,
            status=rejection.status,
            reason=rejection.reason,
        )

    def _check(self, *parts, kind='stop', certain=True):
        cause = self.files.explain('a').cause
        self.assertEqual((cause.kind, cause.certain), (kind, certain), cause)
        for part in parts:
            self.assertIn(part, cause.sentence)


class GatewayStopTests(StopCauseCase):
    """Explain requests of a gateway that stops."""

    def test_refusal_on_arrival(self):
        """Guards against a refusal without the signal that led to it."""
        self._add_rejected(12.5, model.STOPPING, route='-')
        self._check(
            'arrived and was refused 2.500 s after', '00:00:10', 'did not run'
        )

    def test_refusal_of_a_request_that_waited(self):
        """Guards against taking the refusal for the arrival."""
        self._add_rejected(12.5, model.STOPPING)
        self._check('refused 2.500 s after', 'waited', 'did not run')

    def test_order_that_was_cut_off(self):
        """Guards against an order that is called silent at its endpoint."""
        self._add_sent(11.0, waited_s=0.75, stop_left_s=4.3)
        self._add(
            15.0,
            'REQUEST_ENDED_BY_STOP',
            request='a',
            may_have_run=True,
            age_s=4.75,
        )
        self._add_rejected(15.0, model.STOPPED)
        self._check('0.250 s after', 'may have run', 'endpoint r')

    def test_request_of_before_the_signal(self):
        """Guards against blaming a request that was taken in time."""
        self._add_sent(8.0, waited_s=0.0, stop_left_s=None)
        self._add(
            15.0,
            'REQUEST_ENDED_BY_STOP',
            request='a',
            may_have_run=True,
            age_s=7.0,
        )
        self._add_rejected(15.0, model.STOPPED)
        self._check('2.000 s before', 'may have run')

    def test_request_that_waited_until_the_end(self):
        """Guards against saying that a request ran that only waited."""
        self._add(
            15.0,
            'REQUEST_ENDED_BY_STOP',
            request='a',
            may_have_run=False,
            age_s=4.0,
        )
        self._add_rejected(15.0, model.STOPPING)
        self._check('1.000 s after', 'did not run')

    def test_stream_that_was_broken_off(self):
        """Guards against a stream that is said to have met its time limit."""
        self._add_sent(12.0, waited_s=0.0, stop_left_s=3.3)
        self._add(
            15.0,
            'REQUEST_ENDED_BY_STOP',
            request='a',
            may_have_run=True,
            age_s=3.0,
        )
        self._add(
            15.0,
            'GATEWAY_BROKEN_OFF',
            request='a',
            problem=model.STOPPED.reason,
            quiet_s=0.1,
        )
        self._check('2.000 s after', 'stream', 'may have run')

    def test_process_that_was_killed_in_its_stop(self):
        """Guards against a stop that is called an unexpected end."""
        self._add_sent(9.0, waited_s=0.0)
        self._add(20.0, 'PROCESS_STARTED')
        self._check(
            '1.000 s before',
            'at the latest 10.000 s',
            'may have run',
            certain=False,
        )

    def test_signal_of_another_process_or_an_earlier_start(self):
        """Guards against naming a signal that the process did not get."""
        self._add(11.0, 'PROCESS_STARTED')
        self._add(12.0, 'PROCESS_STOPPING', instance='other')
        self._add_rejected(12.5, model.STOPPING, route='-')
        self._check('no line tells when')

    def test_cut_request_whose_other_lines_were_dropped(self):
        """Guards against a cut request that is said to have waited."""
        self._add_rejected(15.0, model.STOPPED)
        self._check('request was ended 5.000 s after', 'may have run')

    def test_endpoint_that_failed_in_a_stop(self):
        """Guards against a stop that hides the failure of an endpoint."""
        self._add_sent(11.0, waited_s=0.0)
        self._add(
            12.0,
            'GATEWAY_ATTEMPT_FAILED',
            request='a',
            runner='r',
            ending='broken',
            problem='connection lost',
        )
        self._add_rejected(12.0, model.STOPPING._replace(status=502))
        self._check('connection lost', 'may have run', kind='endpoint broken')

    def test_signal_of_before_the_time_range(self):
        """Guards against a time range that hides the signal."""
        first = '2026-01-01T00:00:12+00:00'
        since = datetime.datetime.fromisoformat(first).timestamp()
        self.files = explain.LogFiles('a', since)
        self._add(SIGNAL_S, 'PROCESS_STOPPING')
        self._add_rejected(12.5, model.STOPPING, route='-')
        self._check('2.500 s after')

    def test_served_request_of_a_stop(self):
        """Guards against a stop as the cause of what was served."""
        self._add_sent(11.0, waited_s=0.0, stop_left_s=4.3)
        self._add(
            12.0, 'GATEWAY_ANSWERED', request='a', runner='r', status=200
        )
        self._check('answered with status 200', kind='answered')


class EntryStopTests(StopCauseCase):
    """Explain calls of an entry that stops."""

    def _add_ended(self, second, outcome, status, problem=''):
        self._add(
            second,
            'REQUEST_ENDED',
            request='a',
            outcome=outcome,
            status=status,
            problem=problem,
        )

    def test_call_that_was_refused(self):
        """Guards against a refused call without a cause."""
        self._add(12.5, 'REQUEST_SHED', request='a', problem=stopping.STOPPING)
        self._add_ended(12.5, 'not-run', 503, stopping.STOPPING)
        self._check('2.500 s after', 'did not run')

    def test_call_that_was_cut_off(self):
        """Guards against a cut call without a cause."""
        self._add(10.5, 'REQUEST_ROUTED', request='a')
        self._add(
            15.0, 'REQUEST_ENDED_BY_STOP', request='a', may_have_run=True
        )
        self._add_ended(15.0, 'unknown', 502, stopping.STOPPED)
        self._check('0.500 s after', 'may have run')

    def test_call_of_an_entry_that_was_killed_in_its_stop(self):
        """Guards against saying that a call did not run that may have."""
        self._add(9.0, 'REQUEST_ROUTED', request='a')
        self._add(20.0, 'PROCESS_STARTED')
        self._check('may have run', certain=False)

    def test_call_that_was_open_when_its_entry_had_stopped(self):
        """Guards against a stop that names no open call at its end."""
        self._add(9.0, 'REQUEST_ROUTED', request='a')
        self._add(15.0, 'PROCESS_STOPPED')
        self._check('at the latest 5.000 s', 'may have run')

    def test_final_event_of_an_entry(self):
        """Guards against an ended call that is said to be in progress."""
        for outcome, status, problem, kind in (
            ('completed', 200, '', 'answered'),
            ('completed', 500, '', 'endpoint failed'),
            ('not-run', 503, 'no endpoint can admit the request', 'overload'),
            ('not-run', 503, 'caller closed the connection', 'caller gone'),
            ('not-run', 422, 'the request crashes endpoints', 'denied'),
            ('unknown', 502, 'connection lost', 'outcome unknown'),
        ):
            with self.subTest(kind=kind):
                self.files.by_request.clear()
                self._add(2.0, 'REQUEST_ROUTED', request='a')
                self._add_ended(3.0, outcome, status, problem)
                self._check(kind=kind)

"""Test that the soak detects broken promises, and run a few seeds."""

from __future__ import annotations

import asyncio
import json
import pathlib
import random
import subprocess
import sys
import tempfile
import time
import unittest

from persimmonroute import http_connection
from standins import gateway_deployment as deployments
from standins import platform
from tools.soak import attribution
from tools.soak import callers
from tools.soak import checks
from tools.soak import endpoints
from tools.soak import gateways
from tools.soak import mutants
from tools.soak import operators
from tools.soak import records
from tools.soak import rollout_checks
from tools.soak import schedule
from tools.soak import seed_run
from tools.soak import seeds

# Seeds that had a finding in the past, with its cause:
# 108: the recovery check covered a planned stop that began late;
# 7: the recovery check required five requests when only four were sent;
# 14: a leaving endpoint, detected by the mutant that ignores this state;
# 2: answers ended while endpoints were silent;
# 24: silences beside a storm of changes, and an endpoint that crashes.
REGRESSION_SEEDS = (2, 7, 14, 24, 108)
# A store that serves one gateway, and a crowd at one.
CHANGE_SEEDS = {248: 'turned_away', 4: 'crowd'}
JOBS = 3
KEYS = {'key-0': 'desk-0', 'key-1': 'desk-1'}


def signed_headers(attempt):
    """Return the headers of the response of an endpoint."""
    return {b'attempt-id': attempt, b'upstream-signature': b'signature'}


def outcome(attempt='a', **changes):
    """Return the outcome of a served request, with some fields changed."""
    served = records.Outcome(
        attempt=attempt,
        route='book',
        key='key-0',
        gateway='gateway-0',
        start_number=1,
        sent_at=10.0,
        ended_at=10.1,
        status=200,
        headers=signed_headers(attempt.encode()),
        body=endpoints.plain_body(attempt.encode()),
        complete=True,
    )
    if changes.get('status', 200) != 200:
        # Written by the gateway.
        served.headers.pop(b'upstream-signature')
    return served._replace(**changes)


def cut(**changes):
    """Return the outcome of a stream that was cut off after an event."""
    body = endpoints.event(b'a', 1)
    fields = {'route': 'resume', 'body': body, 'complete': False, **changes}
    return outcome(**fields)


class JournalTestCase(unittest.TestCase):
    """Check the records of a journal."""

    def setUp(self):
        """Start with an empty journal."""
        self.journal = records.Journal()

    def _visit(
        self,
        ending,
        attempt='a',
        endpoint='r0',
        begin=10.05,
        end=10.1,
        behaviour='answer',
        executed=True,
    ):
        self.journal.visits.append(
            records.Visit(
                attempt, endpoint, begin, end, behaviour, ending, executed
            )
        )

    def _disturb(self, component, kind, begin=10.0, end=10.2):
        self.journal.disturbances.append(
            records.Disturbance(component, begin, end, kind)
        )


class CheckerTests(JournalTestCase):
    """Check that broken promises in the records become findings."""

    def _execute(
        self, attempt='a', started_at=10.05, endpoint='r0', workspace='desk-0'
    ):
        self.journal.executions.append(
            records.Execution(attempt, started_at, endpoint, workspace)
        )

    def _check(self, *outcomes):
        self.journal.outcomes.extend(outcomes)
        checker = checks.Checker(self.journal, KEYS, 20.0)
        checker.check()
        promises = {finding.promise for finding in self.journal.findings}
        # No request here is in the recovery window, which is a finding.
        return promises - {'recovery'}

    def test_served_request_breaks_nothing(self):
        """A request with one execution and one response has no finding."""
        self._execute()
        self.assertEqual(self._check(outcome()), set())

    def test_second_execution(self):
        """A request that must not be repeated is executed at most once."""
        self._execute()
        self._execute(endpoint='r1')
        self.assertEqual(self._check(outcome()), {'at most once'})

    def test_execution_of_a_rejected_request(self):
        """A request that was rejected with 503 is not executed."""
        self._execute()
        self.assertEqual(self._check(outcome(status=503)), {'not run'})

    def test_wrong_responses(self):
        """Callers receive the complete response to their own request."""
        self._execute()
        wrong = (
            outcome(body=b'answer'),
            outcome(headers=signed_headers(b'b')),
            outcome(route='resume', body=endpoints.event(b'a', 1)),
        )
        for wrong_outcome in wrong:
            with self.subTest(wrong_outcome=wrong_outcome):
                self.journal.findings.clear()
                self.journal.outcomes.clear()
                self.assertEqual(self._check(wrong_outcome), {'whole answer'})

    def test_success_without_a_signature(self):
        """Callers receive no success that no endpoint vouches for."""
        self._execute()
        unsigned = outcome(headers={b'attempt-id': b'a'})
        self.assertEqual(self._check(unsigned), {'signed success'})

    def test_forged_workspace(self):
        """Endpoints receive the workspace of the key only."""
        self._execute(workspace='somebody-else')
        self.assertEqual(self._check(outcome()), {'workspace'})

    def test_late_response(self):
        """An undisturbed gateway responds by the deadline."""
        self._execute()
        self.assertEqual(
            self._check(outcome(ended_at=14.0)), {'answered at the deadline'}
        )
        self.journal.findings.clear()
        self.journal.disturbances.append(
            records.Disturbance('gateway-0', 9.0, 11.0, 'pause')
        )
        self.assertEqual(self._check(), set())

    def test_late_response_of_a_process_that_was_not_run(self):
        """What the machine did not run is measured and deducted, no more."""
        self._execute()
        for end, expected in (
            (12.5, {'answered at the deadline'}),
            (12.6, set()),
        ):
            with self.subTest(end=end):
                self.journal.findings.clear()
                self.journal.outcomes.clear()
                self.journal.starvations[:] = [
                    records.Starvation('gateway-0', 11.0, end),
                    records.Starvation('soak', 11.0, 11.5),
                    records.Starvation('gateway-1', 10.0, 13.0),
                ]
                self.assertEqual(
                    self._check(outcome(ended_at=14.05)), expected
                )

    def test_revoked_key(self):
        """A revoked key is refused even during a disturbance."""
        self._execute()
        self.journal.disturbances.append(
            records.Disturbance('*', 0.0, 20.0, 'store_down')
        )
        self.journal.changes.append(records.Change('revoked', 'key-0', 6.9))
        self.assertEqual(self._check(outcome()), {'revoked keys'})

    def test_versions(self):
        """Versions come into force in time and stay in force."""
        self.journal.changes.append(records.Change('version', 'v2', 1.0))
        unknown = outcome(route='v2', status=404, body=b'')
        self.assertEqual(self._check(unknown), {'configuration in force'})
        self.journal.findings.clear()
        self.journal.disturbances.append(
            records.Disturbance('*', 0.0, 20.0, 'store_down')
        )
        later = outcome(route='v2', sent_at=5.0, ended_at=5.1)
        self.assertEqual(self._check(later), {'no way back'})

    def test_leaving_endpoint(self):
        """A leaving endpoint receives no requests after a few seconds."""
        self._execute()
        self.journal.changes.append(records.Change('leaving', 'r0', 7.0))
        self.assertEqual(self._check(outcome()), {'leaving'})

    def test_gateway_that_does_not_recover(self):
        """At least four fifths of the last requests are served."""
        for served, expected in ((4, []), (3, ['recovery'])):
            with self.subTest(served=served):
                self.setUp()
                for number in range(5):
                    name = f'a{number}'
                    self._execute(name)
                    status = 200 if number < served else 502
                    self.journal.outcomes.append(
                        outcome(name, sent_at=18.0, status=status)
                    )
                checks.Checker(self.journal, KEYS, 20.0).check()
                promises = [f.promise for f in self.journal.findings]
                self.assertEqual(
                    [p for p in promises if p == 'recovery'], expected
                )

    def test_endpoint_that_gets_more_than_it_named(self):
        """A window holds no more than the limit and the tolerance allow."""
        for count, expected in ((17, set()), (18, {'limits'})):
            with self.subTest(count=count):
                self.setUp()
                self.journal.limits.append(records.Limit('r0', 2.0, 5.0, 15.0))
                outcomes = []
                for number in range(count):
                    name = f'a{number}'
                    self._execute(name, started_at=10.0 + number * 0.1)
                    outcomes.append(
                        outcome(name, body=endpoints.plain_body(name.encode()))
                    )
                self.assertEqual(self._check(*outcomes), expected)

    def test_stream_of_two_versions(self):
        """One version writes a stream, over all tries of its caller."""
        self._visit(records.Ending.BROKE_OFF)
        self._execute('a')
        self._execute('b')
        first = outcome(
            'a',
            route='single',
            body=endpoints.event(b'a', 1),
            complete=False,
        )
        for version, expected in (('v1', set()), ('v2', {'one version'})):
            with self.subTest(version=version):
                self.journal.findings.clear()
                self.journal.outcomes.clear()
                body = b''.join(
                    endpoints.event(b'b', n, version)
                    for n in range(2, endpoints.EVENTS + 1)
                )
                rest = outcome(
                    'b',
                    route='single',
                    body=body,
                    headers=signed_headers(b'b'),
                    resumes='a',
                    last_event_id=1,
                )
                self.assertEqual(self._check(first, rest), expected)

    def _refuse_to_go_on(self, status):
        """Return streams that broke off, and refusals to go on with them."""
        for name in ('r0', 'r1'):
            self.journal.services[name] = records.Service('v1', 0.0)
        outcomes = []
        for number in range(checks.LEAST_TAKEN_UP):
            name = f'a{number}'
            self._execute(name)
            self._visit(records.Ending.BROKE_OFF, name)
            first = outcome(
                name,
                route='single',
                body=endpoints.event(name.encode(), 1),
                complete=False,
            )
            refused = outcome(
                f'b{number}',
                route='single',
                status=status,
                body=b'',
                resumes=name,
                last_event_id=1,
            )
            outcomes += [first, refused]
        return outcomes

    def test_streams_that_are_not_taken_up(self):
        """Refusing all streams that callers take up is no way out."""
        outcomes = self._refuse_to_go_on(503)
        self.assertEqual(self._check(*outcomes), {'taken up'})

    def test_streams_of_a_key_that_was_revoked(self):
        """A refusal that has to be says nothing of streams."""
        outcomes = self._refuse_to_go_on(401)
        self.assertEqual(self._check(*outcomes), set())

    def test_streams_that_are_taken_up_while_none_begin(self):
        """They go on as often as others begin then, not over the run."""
        late_s = 10 * checks.NEAR_S
        outcomes = []
        for number, kept in enumerate(self._refuse_to_go_on(503)):
            if kept.resumes is None:
                outcomes.append(kept)
                continue
            times = {
                'sent_at': kept.sent_at + late_s,
                'ended_at': kept.ended_at + late_s,
            }
            new = {**times, 'resumes': None, 'last_event_id': 0}
            outcomes.append(kept._replace(**times))
            outcomes.append(kept._replace(attempt=f'c{number}', **new))
        self.assertEqual(self._check(*outcomes), set())

    def test_stop_that_breaks_off_a_request(self):
        """A planned stop does not break off a response."""
        self._execute()
        self._visit(records.Ending.CLOSED)
        self.journal.stops.append(
            records.Stop('gateway-0', 10.0, 13.0, in_time=True)
        )
        self.assertEqual(
            self._check(outcome(complete=False)),
            {'graceful stop', 'answer or refusal'},
        )

    def test_request_that_is_sent_in_a_stop_and_cut_off(self):
        """Guards against requests that a stopping gateway takes and cuts."""
        late = gateways.STOP_GRACE_S * (1 - attribution.LAST_GRACE_SHARE)
        self.journal.stops.append(
            records.Stop('gateway-0', 10.1 - late, 10.2, in_time=True)
        )
        self._execute()
        self._visit(records.Ending.CLOSED)
        self._disturb('gateway-0', 'stop_beside_reload')
        self.assertEqual(
            self._check(outcome(complete=False, status=502, headers={})),
            {'graceful stop', 'nothing is sent in a stop and cut off'},
        )

    def test_request_that_runs_and_is_refused_in_a_stop(self):
        """Guards against refusals of a stop that have run."""
        body = b'{"error": "the gateway is stopping"}'
        refused = outcome(route='find', status=503, body=body)
        self.assertEqual(self._check(refused), set())
        self.assertEqual(self.journal.stop_refusals, 1)
        self._execute(attempt='b')
        self.assertEqual(
            self._check(refused._replace(attempt='b')), {'refused in a stop'}
        )

    def test_stop_that_exceeds_its_grace_period(self):
        """An undisturbed gateway exits within its grace period."""
        self.journal.stops.append(
            records.Stop('gateway-0', 10.0, 16.5, in_time=False)
        )
        self.assertEqual(self._check(), {'graceful stop'})

    def test_answer_that_is_ended_in_a_silence(self):
        """Neither a cut nor an error of the gateway ends a silent answer."""
        self.journal.silences.append(records.Silence('r0', 10.06, 11.0))
        for ended in (cut(), outcome(status=502), outcome(status=504)):
            with self.subTest(ended=ended):
                self.journal.findings.clear()
                self.journal.outcomes.clear()
                self._visit(records.Ending.CLOSED)
                self.assertEqual(
                    self._check(ended), {'silence ends no answer'}
                )

    def test_request_that_is_ended_without_an_answer(self):
        """An answer that a sound endpoint makes is not ended."""
        self._visit(records.Ending.CLOSED)
        self.assertEqual(self._check(cut()), {'answer or refusal'})

    def test_refusal_and_error_of_an_endpoint(self):
        """A refusal ends a request, as does an error that is passed on."""
        self._visit(records.Ending.BROKE_OFF, behaviour='fail')
        refused = outcome(status=503, body=b'')
        failed = outcome(status=500, headers={b'upstream-signature': b'x'})
        self.assertEqual(self._check(refused, failed), set())

    def test_two_endpoints_at_work(self):
        """An endpoint stops within 0.4 s when another one goes on."""
        for end, expected in (
            (10.44, set()),
            (10.47, {'one endpoint at a time'}),
        ):
            with self.subTest(end=end):
                self.setUp()
                self._visit(records.Ending.CLOSED, end=end)
                self._visit(records.Ending.WHOLE, endpoint='r1', end=10.9)
                self.assertEqual(self._check(outcome()), expected)

    def test_endpoint_that_is_not_reached_works_on(self):
        """An endpoint behind a link that holds the close is excused."""
        self._visit(records.Ending.CLOSED, end=10.9)
        self._visit(records.Ending.WHOLE, endpoint='r1', end=10.9)
        self._disturb('r0', 'endpoint_link_cut_up')
        self.assertEqual(self._check(outcome()), set())


class AttributionTests(JournalTestCase):
    """Check what excuses a request without an answer or a refusal."""

    def _find_cause(self, ended):
        return attribution.Attributor(self.journal).find_cause(ended)

    def test_deadline(self):
        """The deadline is that of the route, or a timeout it has had."""
        self._visit(records.Ending.CLOSED)
        late = cut(ended_at=13.2)
        self.assertIs(self._find_cause(late), attribution.Cause.DEADLINE)
        long = cut(route='long', ended_at=13.2)
        self.assertIsNone(self._find_cause(long))
        self.journal.timeouts.append(records.TimeoutChange(12.0, 3.0))
        self.assertIs(self._find_cause(long), attribution.Cause.DEADLINE)

    def test_killed_gateway(self):
        """A kill excuses requests of its gateway only."""
        self._visit(records.Ending.CLOSED)
        self._disturb('gateway-1', 'kill')
        self.assertIsNone(self._find_cause(cut()))
        self._disturb('gateway-0', 'kill')
        self.assertIs(self._find_cause(cut()), attribution.Cause.KILLED)

    def test_disturbances_that_excuse_nothing(self):
        """Pauses, reloads, the store and slow links end no answer."""
        self._visit(records.Ending.CLOSED)
        self._disturb('gateway-0', 'pause')
        self._disturb('gateway-0', 'caller_link_delay')
        self._disturb('r0', 'endpoint_link_delay')
        self._disturb('*', 'store_down')
        self.assertIsNone(self._find_cause(cut()))

    def test_end_of_a_grace_period(self):
        """A stop may end late what a fault has held up."""
        self._visit(records.Ending.CLOSED)
        self._disturb('gateway-0', 'pause')
        late = gateways.STOP_GRACE_S * (1 - attribution.LAST_GRACE_SHARE)
        for begin, expected in (
            (10.1 - late, attribution.Cause.GRACE),
            (10.2 - late, None),
        ):
            with self.subTest(begin=begin):
                self.journal.stops[:] = [
                    records.Stop('gateway-0', begin, 10.2, True)
                ]
                self.assertIs(self._find_cause(cut()), expected)

    def test_request_that_a_sound_stop_takes_and_cuts_off(self):
        """Guards against an excuse of what a stop sent itself."""
        self._visit(records.Ending.CLOSED)
        late = gateways.STOP_GRACE_S * (1 - attribution.LAST_GRACE_SHARE)
        self.journal.stops.append(
            records.Stop('gateway-0', 10.1 - late, 10.2, True)
        )
        self._disturb('gateway-0', 'stop_again')
        self.assertIsNone(self._find_cause(cut()))

    def test_reset_of_the_caller(self):
        """A caller whose link was reset gets no answer."""
        self._visit(records.Ending.CLOSED)
        self._disturb('gateway-0', 'caller_link_reset')
        self.assertIs(self._find_cause(cut()), attribution.Cause.CALLER_LINK)

    def test_endpoint_that_broke_off(self):
        """What an endpoint ended is excused, unless a sound one went on."""
        for ending in (records.Ending.BROKE_OFF, records.Ending.STOPPED):
            with self.subTest(ending=ending):
                self.setUp()
                self._visit(ending)
                self.assertIs(
                    self._find_cause(cut()), attribution.Cause.ENDPOINT
                )
                self._visit(records.Ending.CLOSED, endpoint='r1', begin=10.06)
                self.assertIsNone(self._find_cause(cut()))

    def test_refusal_of_an_endpoint_that_was_to_go_on(self):
        """A refusal does not excuse that a sound endpoint was closed."""
        self._visit(records.Ending.CLOSED)
        self._visit(
            records.Ending.REFUSED,
            endpoint='r1',
            begin=10.06,
            behaviour='full',
            executed=False,
        )
        self.assertIsNone(self._find_cause(cut()))

    def test_links_to_endpoints(self):
        """A link that broke while its endpoint was at work is excused."""
        self._visit(records.Ending.CLOSED)
        self._disturb('r0', 'endpoint_link_reset', 9.0, 9.1)
        self.assertIsNone(self._find_cause(cut()))
        self._disturb('r0', 'endpoint_link_reset', 10.06, 10.06)
        self.assertIs(self._find_cause(cut()), attribution.Cause.ENDPOINT_LINK)

    def test_endpoint_that_does_not_listen(self):
        """An endpoint that was to go on may be gone, but not before."""
        self._visit(records.Ending.CLOSED)
        self._visit(records.Ending.WHOLE, 'b', endpoint='r1')
        for at, expected in (
            (9.95, None),
            (10.09, attribution.Cause.ENDPOINT_LINK),
        ):
            with self.subTest(at=at):
                self.journal.refusals[:] = [records.Refusal('r1', at)]
                ended = cut(ended_at=10.12)
                self.assertIs(self._find_cause(ended), expected)

    def test_endpoint_that_is_lost_before_anything_reaches_it(self):
        """Only endpoints that were started can have refused a request."""
        self.journal.services['r9'] = records.Service('v1', 9.0)
        ended = outcome(status=502)
        for component, expected in (
            ('r9', attribution.Cause.ENDPOINT_LINK),
            ('gateway-1', None),
        ):
            with self.subTest(component=component):
                self.journal.refusals[:] = [
                    records.Refusal(component, ended.sent_at + 0.01)
                ]
                self.assertIs(self._find_cause(ended), expected)

    def test_gateway_that_does_not_listen(self):
        """A process that is not there has not read the request."""
        ended = cut(status=None, ended_at=10.5)
        self.assertIsNone(self._find_cause(ended))
        self.journal.refusals.append(records.Refusal('gateway-0', 10.2))
        self.assertIs(self._find_cause(ended), attribution.Cause.DOWN)

    def test_request_that_no_endpoint_saw(self):
        """Only a closed connection may cross a request."""
        for ended, expected in (
            (cut(status=None), attribution.Cause.CROSSING),
            (cut(status=None, ended_at=10.3), None),
            (outcome(status=502), None),
        ):
            with self.subTest(ended=ended):
                self.assertIs(self._find_cause(ended), expected)


class RolloutCheckTests(JournalTestCase):
    """Check that broken bounds of a rollout become findings."""

    def setUp(self):
        """Start with an endpoint of the old version and a bad new one."""
        super().setUp()
        self.journal.services = {
            'r0': records.Service('v1', 0.0),
            'r3': records.Service('v9', 1.0),
        }
        self.rollout = records.Rollout(
            target='v9',
            bad=True,
            ordered_at=1.0,
            deadline_at=11.0,
            ended_at=5.0,
            state='rolled_back',
            status='',
            bad_at=[],
            stopped=[],
            given_again=False,
        )

    def _visit_often(self, endpoint, count, begin=2.0):
        for number in range(count):
            self._visit(
                records.Ending.WHOLE,
                attempt=f'{endpoint}-{number}',
                endpoint=endpoint,
                begin=begin,
                end=begin + 0.1,
            )

    def _check(self, **changes):
        self.journal.findings.clear()
        self.journal.rollout = self.rollout._replace(**changes)
        rollout_checks.check(self.journal)
        return len(self.journal.findings)

    def test_exposure(self):
        """A bad version gets a tenth of the requests and 30 at most."""
        self._visit_often('r0', 155)
        self._visit_often('r3', 45)
        self.assertEqual(self._check(), 0)
        self._visit_often('r3', 10)
        self.assertEqual(self._check(), 1)
        self.assertEqual(self._check(bad=False, state='completed'), 0)

    def test_rollback_bound(self):
        """A bad version gets nothing 5 s after its 50th bad response."""
        self._visit_often('r3', 1, begin=9.0)
        self.assertEqual(self._check(bad_at=[4.5] * 49), 0)
        self.assertEqual(self._check(bad_at=[4.5] * 50), 0)
        self.assertEqual(self._check(bad_at=[3.5] * 50), 1)

    def test_outcome(self):
        """The outcome is right, and in time unless faults prevent it."""
        self.assertEqual(self._check(ended_at=None, state=None), 1)
        self.assertEqual(self._check(ended_at=11.5), 1)
        bad_at = [4.5] * rollout_checks.ENOUGH_BAD
        self.assertEqual(self._check(bad_at=bad_at, state='completed'), 1)
        self.assertEqual(self._check(bad=False), 1)
        self._disturb('*', 'store_down', begin=9.0, end=11.0)
        self.assertEqual(self._check(ended_at=None, state=None), 0)
        self.assertEqual(self._check(bad=False), 0)

    def test_stop_of_the_old_endpoints(self):
        """No request is cut off when the old endpoints stop."""
        completed = {'bad': False, 'state': 'completed', 'stopped': ['r0']}
        self.journal.outcomes.append(
            outcome(complete=False, sent_at=4.9, ended_at=5.05)
        )
        self._visit(records.Ending.STOPPED, begin=4.95, end=5.01)
        self.assertEqual(self._check(**completed), 1)
        self._disturb('gateway-1', 'pause', begin=2.0, end=3.0)
        self.assertEqual(self._check(**completed), 0)


class EventTests(unittest.IsolatedAsyncioTestCase):
    """Check the events of the stand-in endpoint."""

    async def test_stream_has_no_event_after_its_last(self):
        """An endpoint that breaks off a stream invents no events."""
        endpoint = endpoints.SoakEndpoint(
            'r0', 1, random.Random(1), records.Journal(), time.monotonic
        )
        last = endpoint.make_event(b'a', endpoints.EVENTS)
        self.assertEqual(endpoints.last_event_id(last), endpoints.EVENTS)
        self.assertEqual(endpoint.make_event(b'a', endpoints.EVENTS + 1), b'')


class SilentEndpointTests(unittest.IsolatedAsyncioTestCase):
    """Let an endpoint fall silent while it has a request."""

    async def asyncSetUp(self):
        """Start an endpoint and send it a request for a stream."""
        self.journal = records.Journal()
        self.endpoint = endpoints.SoakEndpoint(
            'r0', 1, random.Random(1), self.journal, time.monotonic
        )
        self.endpoint.long_share = 0.0
        await self.endpoint.start()
        self.addAsyncCleanup(self.endpoint.stop)
        self.conn = await http_connection.open_connection(
            self.endpoint.address, 1.0
        )
        self.addCleanup(self.conn.abort)
        headers = [
            ('host', 'x'),
            ('attempt-id', 'a'),
            ('expect-instance', 'r0'),
            ('accept', 'text/event-stream'),
        ]
        self.conn.send_request('POST', '/', headers, b'')

    async def test_silent_endpoint_goes_on(self):
        """The stream stands still for the silence and is whole after it."""
        answer = asyncio.create_task(deployments.read_response(self.conn))
        with self.endpoint.fall_silent():
            await asyncio.sleep(1.0)
            self.assertFalse(answer.done())
        response = await answer
        self.assertTrue(response.complete)
        self.assertEqual(
            response.body, endpoints.expected_bodies('a', 'v1').stream
        )
        await asyncio.sleep(2 * endpoints.WATCH_S)
        (visit,) = self.journal.visits
        self.assertIs(visit.ending, records.Ending.WHOLE)
        (silence,) = self.journal.silences
        self.assertGreaterEqual(silence.end - silence.begin, 1.0)

    async def test_silent_endpoint_notices_that_it_is_closed(self):
        """The work ends when the connection does, also in a silence."""
        with self.endpoint.fall_silent():
            await asyncio.sleep(0.3)
            closed_at = time.monotonic()
            self.conn.abort()
            await asyncio.sleep(0.3)
        (visit,) = self.journal.visits
        self.assertIs(visit.ending, records.Ending.CLOSED)
        self.assertLess(visit.end - closed_at, 0.2)


class OperatorTests(unittest.TestCase):
    """Change the configuration many times."""

    def test_storm_leaves_lasting_parts_alone(self):
        """Versions rise; the first routes and keys stay."""
        journal = records.Journal()
        store = platform.PlatformStandIn([], 0.0)
        operator = operators.Operator(
            store, journal, random.Random(3), time.monotonic
        )
        operator.write()
        lasting_keys = set(operator.workspaces)
        versions, names = [], set()
        for _ in range(200):
            operator.change_at_random()
            (row,) = store.tables.list_rows('op', '')
            document = json.loads(row.value)
            versions.append(document['Version'])
            routes = {route['Name'] for route in document['Routes']}
            names |= routes
            keys = {k for t in document['Tenants'] for k in t['ApiKeys']}
            self.assertLessEqual(set(callers.ROUTES), routes)
            self.assertLessEqual(lasting_keys, keys)
        self.assertEqual(versions, sorted(versions))
        self.assertGreater(len(names), len(callers.ROUTES) + 10)
        revoked = {change.name for change in journal.changes}
        self.assertEqual(keys & revoked, set())
        self.assertTrue(revoked)


class MutantTests(unittest.TestCase):
    """Apply the mutants to the current sources."""

    def test_mutants_fit_the_sources(self):
        """Each edit finds its text exactly once."""
        for mutant in mutants.MUTANTS:
            with self.subTest(mutant=mutant.name):
                with tempfile.TemporaryDirectory() as folder:
                    mutants.write_tree(pathlib.Path(folder), mutant)


class SeedTests(unittest.TestCase):
    """Run seeds with real processes."""

    def test_one_seed_is_one_schedule(self):
        """A seed always gives the same fault schedule."""
        first, second = (
            schedule.draw_faults(random.Random(5), 3, 3) for _ in range(2)
        )
        self.assertEqual(first, second)

    def test_silences_last_about_a_second(self):
        """Many schedules have series of silences, of one to all endpoints."""
        silences, schedules = [], 0
        for seed in range(100):
            faults = schedule.draw_faults(random.Random(seed), 3, 3)
            drawn = [f for f in faults if f.kind in schedule.SILENT_KINDS]
            silences += drawn
            schedules += len(drawn) > 1
        self.assertGreater(schedules, 40)
        self.assertEqual(
            {fault.kind for fault in silences}, set(schedule.SILENT_KINDS)
        )
        durations_s = [fault.duration_s for fault in silences]
        self.assertGreaterEqual(min(durations_s), 0.5)
        self.assertLessEqual(max(durations_s), 2.2)

    def test_signals_beside_a_stop_leave_the_other_faults_alone(self):
        """Half of the schedules have one, among the faults of before."""
        signals = {kind.name for kind in schedule.SIGNAL_KINDS}
        drawn = []
        for seed in range(100):
            faults = schedule.draw_faults(random.Random(seed), 3, 3)
            drawn += [f.kind for f in faults if f.kind in signals]
        self.assertEqual(set(drawn), signals)
        self.assertGreater(len(drawn), 35)

    def test_signals_meet_several_gateways(self):
        """Half of the schedules end with a series, which may overlap."""
        pauses_s, pairs, lone = [], 0, 0
        for seed in range(100):
            series = schedule.draw_series(random.Random(seed), 3, 3)
            kinds = {fault.kind for fault in series}
            self.assertLessEqual(kinds, set(schedule.SERIES_PARTS))
            targets = [fault.target for fault in series]
            self.assertEqual(len(set(targets)), len(targets))
            if len(series) == 2:
                pairs += 1
                self.assertEqual(series[0].at, series[1].at)
                continue
            pauses_s.append(series[1].at - series[0].at)
            lone += kinds == {'kill'}
        self.assertGreater(pairs, 30)
        self.assertLess(lone, 5)
        # Stops take up to six seconds.
        self.assertLess(min(pauses_s), 1.1)
        self.assertGreater(max(pauses_s), 2.5)

    def test_a_quarter_of_the_seeds_play_a_rollout(self):
        """Guards against a soak without good or without bad versions."""
        drawn = [schedule.draw_rollout(seed) for seed in range(200)]
        played = [rollout for rollout in drawn if rollout is not None]
        self.assertIn(len(played), range(35, 66))
        self.assertEqual({rollout.bad for rollout in played}, {True, False})

    def test_command_runs_seeds_in_processes_of_their_own(self):
        """Guards against a soak that cannot be started by hand."""
        options = ['--seeds', '1', '--first', '1', '--jobs', '1']
        ended = subprocess.run(
            [sys.executable, '-m', 'tools.soak', *options],
            cwd=seed_run.ROOT,
            capture_output=True,
            text=True,
        )
        self.assertIn('1 seeds from 1: ', ended.stdout, ended.stderr)

    def test_changes_come_into_force_beside_turned_away_and_crowded(self):
        """Guards against gateways that are left behind, seen from outside."""
        for result in seeds.run_seeds(CHANGE_SEEDS, JOBS):
            with self.subTest(seed=result.seed):
                self.assertIn(CHANGE_SEEDS[result.seed], result.faults)
                self.assertEqual(result.findings, [])

    def test_regression_seeds_keep_the_promises(self):
        """Seeds that had a finding in the past have none now."""
        for result in seeds.run_seeds(REGRESSION_SEEDS, JOBS):
            with self.subTest(seed=result.seed):
                self.assertEqual(result.findings, [])
                self.assertGreater(result.served, 0)

"""Check the promises against the records of callers and endpoints."""

from __future__ import annotations

import collections
import itertools

from standins import windows
from tools.soak import attribution
from tools.soak import callers
from tools.soak import endpoints
from tools.soak import schedule
from tools.soak import starvation

# Time bounds from the settings of the gateways.
REVOCATION_S = 3.0
CONFIGURATION_S = 2.5
LEAVING_S = 2.5
# A component counts as undisturbed this long after a fault, which is what the
# platform's rules allow for machines and for the store.
STABILIZATION_S = 3.0
# A response may arrive this long after the deadline of its request.
DEADLINE_TOLERANCE_S = 0.5
# A request that was sent to an endpoint arrives within this time.
DELIVERY_S = 0.3
# An endpoint may work on for this long beside the next one.
HANDOVER_S = 0.4
# A limit that an endpoint names is in force at all gateways after this time.
LIMIT_NOTICE_S = 1.0
# What may exceed it in a window: a share of the limit, and some requests.
LIMIT_WINDOW_S = 4.0
LIMIT_TOLERATED_SHARE = 1.5
LIMIT_TOLERATED_REQUESTS = 5
# Streams that callers took up, from which on their share is judged, and the
# time around each in which it is compared with streams that begin.
LEAST_TAKEN_UP = 6
NEAR_S = 0.5
UNKNOWN_KEY = 401
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
# Minimum share of the requests in the recovery window that are served.
MIN_RECOVERED_SHARE = 0.8
# The last part of a run; all faults ended 6 s before the end.
RECOVERY_WINDOW_S = 3.5


class Checker:
    """Check the records of one run against the promises."""

    def __init__(self, journal, workspaces, run_end):
        self._journal = journal
        self._workspaces = workspaces
        self._run_end = run_end
        self._executions = collections.defaultdict(list)
        for execution in journal.executions:
            self._executions[execution.attempt].append(execution)
        self._attributor = attribution.Attributor(journal)

    def check(self):
        """Add a finding for each violation of a promise."""
        responded = {outcome.attempt for outcome in self._journal.outcomes}
        for attempt, executions in self._executions.items():
            if attempt not in responded:
                # Its caller was still waiting at the end of the run.
                continue
            self._check_workspace(attempt, executions)
        for outcome in self._journal.outcomes:
            self._check_executions(outcome)
            self._check_response(outcome)
            self._check_deadline(outcome)
            self._check_unanswered(outcome)
            self._check_handover(outcome)
            self._check_stop_refusal(outcome)
        for stop in self._journal.stops:
            self._check_stop(stop)
        self._check_streams()
        self._check_taken_up()
        self._check_leaving()
        for limit in self._journal.limits:
            self._check_limit(limit)
        self._check_revoked_keys()
        self._check_versions()
        self._check_recovery()

    def _check_workspace(self, attempt, executions):
        wrong = {e.workspace for e in executions} - set(
            self._workspaces.values()
        )
        if wrong:
            self._add_finding(
                'workspace', f'{attempt} was executed for {wrong}'
            )

    def _check_executions(self, outcome):
        executions = self._executions[outcome.attempt]
        kind = callers.kind_of(outcome.route)
        at_most_once = kind in callers.AT_MOST_ONCE_ROUTES
        if at_most_once and len(executions) > 1:
            used = [execution.endpoint for execution in executions]
            self._add_finding(
                'at most once', f'{outcome.attempt} was executed by {used}'
            )
        rejected = outcome.status in NOT_EXECUTED_STATUSES and outcome.complete
        if at_most_once and rejected and executions:
            self._add_finding(
                'not run',
                f'{outcome.attempt} got {outcome.status} but was executed',
            )

    def _check_response(self, outcome):
        if outcome.status != 200 or not outcome.complete:
            return
        if not outcome.headers.get(b'upstream-signature'):
            self._add_finding(
                'signed success',
                f'{outcome.attempt} on {outcome.route} got {outcome.body!r}',
            )
        received_id = outcome.headers.get(b'attempt-id', b'').decode()
        version = next(iter(endpoints.versions_of(outcome.body)), '')
        bodies = endpoints.expected_bodies(
            outcome.attempt, version, outcome.last_event_id
        )
        expected = bodies.plain
        if callers.kind_of(outcome.route) in callers.STREAM_ROUTES:
            expected = bodies.stream
        if received_id != outcome.attempt or outcome.body != expected:
            self._add_finding(
                'whole answer',
                f'{outcome.attempt} on {outcome.route} got {received_id} '
                f'{outcome.body!r}',
            )

    def _check_streams(self):
        """Check that one version wrote each stream, over all tries."""
        versions = collections.defaultdict(set)
        for outcome in self._journal.outcomes:
            if callers.kind_of(outcome.route) in callers.STREAM_ROUTES:
                first = outcome.resumes or outcome.attempt
                versions[first] |= endpoints.versions_of(outcome.body)
        for attempt, wrote in versions.items():
            if len(wrote) > 1:
                self._add_finding(
                    'one version', f'{attempt} has events of {sorted(wrote)}'
                )

    def _check_taken_up(self):
        """Check that streams go on half as often as new ones begin.

        They are compared with those that begin at the same time, as streams
        break off where others fail as well.
        """
        first_by_attempt = {o.attempt: o for o in self._journal.outcomes}
        new, taken_up = [], []
        for outcome in self._journal.outcomes:
            first = first_by_attempt[outcome.resumes or outcome.attempt]
            if not self._is_judged(first, outcome):
                continue
            if outcome.resumes is None:
                new.append(outcome)
            elif self._count_serving(first, outcome) >= 2:
                taken_up.append(outcome)
        went_on, expected = [], []
        for outcome in taken_up:
            begun = [_has_progressed(o) for o in new if _is_near(o, outcome)]
            if begun:
                went_on.append(_has_progressed(outcome))
                expected.append(sum(begun) / len(begun))
        count = len(went_on)
        if count >= LEAST_TAKEN_UP and sum(went_on) < 0.5 * sum(expected):
            self._add_finding(
                'taken up',
                f'{sum(went_on)} of {count} streams went on, '
                f'{sum(expected):.1f} would have begun',
            )

    def _is_judged(self, first, outcome):
        """Return whether a stream should have begun, or gone on."""
        return (
            callers.kind_of(outcome.route) in callers.RESUMABLE_ROUTES
            # The key may have been revoked in between.
            and outcome.status != UNKNOWN_KEY
            and self._gateway_undisturbed(
                outcome.gateway, first.sent_at, outcome.ended_at
            )
        )

    def _count_serving(self, first, outcome):
        """Count the endpoints that could go on with a stream."""
        versions = endpoints.versions_of(first.body)
        return sum(
            service.version in versions
            and service.begin + STABILIZATION_S < outcome.sent_at
            and service.end > outcome.ended_at
            for service in self._journal.services.values()
        )

    def _check_deadline(self, outcome):
        if not self._gateway_undisturbed(
            outcome.gateway, outcome.sent_at, outcome.ended_at
        ):
            return
        duration_s = outcome.ended_at - outcome.sent_at
        limit_s = callers.deadline_s(outcome.route) + DEADLINE_TOLERANCE_S
        if duration_s <= limit_s:
            return
        starved_s = starvation.measure_s(
            self._journal,
            (outcome.gateway, starvation.SOAK),
            outcome.sent_at,
            outcome.ended_at,
        )
        if duration_s - starved_s <= limit_s:
            self._journal.excused['late, processes were not run'] += 1
            return
        self._add_finding(
            'answered at the deadline',
            f'{outcome.attempt} on {outcome.route} took '
            f'{duration_s:.2f} s, {starved_s:.2f} s of them not run',
        )

    def _check_unanswered(self, outcome):
        """Check what ended a request without an answer or a refusal."""
        own_error = (
            outcome.status is not None
            and outcome.status >= 500
            and outcome.status not in NOT_EXECUTED_STATUSES
            and b'upstream-signature' not in outcome.headers
        )
        if outcome.complete and not own_error:
            return
        cause = self._attributor.find_cause(outcome)
        if cause is not None:
            self._journal.excused[cause.value] += 1
            return
        promise = 'answer or refusal'
        if self._attributor.fell_silent(outcome):
            promise = 'silence ends no answer'
        elif self._attributor.was_sent_in_stop(outcome):
            promise = 'nothing is sent in a stop and cut off'
        self._add_finding(promise, self._attributor.describe(outcome))

    def _check_stop_refusal(self, outcome):
        """Check that nothing ran that a stopping gateway refused."""
        if not self._attributor.was_refused_in_stop(outcome):
            return
        self._journal.stop_refusals += 1
        if self._executions[outcome.attempt]:
            self._add_finding(
                'refused in a stop', self._attributor.describe(outcome)
            )

    def _check_handover(self, outcome):
        """Check that no two endpoints worked on a request at a time."""
        ran = [
            visit
            for visit in self._attributor.visits_of(outcome.attempt)
            if visit.executed
        ]
        for first, second in itertools.combinations(ran, 2):
            end = min(first.end, second.end)
            both_s = (
                end
                - second.begin
                - starvation.measure_s(
                    self._journal, (starvation.SOAK,), second.begin, end
                )
            )
            if both_s > HANDOVER_S and not self._link_disturbed(
                first.endpoint, first.begin, first.end
            ):
                self._add_finding(
                    'one endpoint at a time',
                    f'{both_s:.2f} s: {self._attributor.describe(outcome)}',
                )

    def _check_stop(self, stop):
        """Check that a planned stop was in time and broke off no request."""
        if not self._gateway_undisturbed(
            stop.gateway, stop.begin, stop.end, schedule.STOP_KINDS
        ):
            return
        if not stop.in_time:
            self._add_finding(
                'graceful stop', f'{stop.gateway} did not exit and was killed'
            )
        for outcome in self._journal.outcomes:
            if outcome.gateway != stop.gateway or outcome.complete:
                continue
            if self._attributor.reached_deadline(outcome):
                continue
            overlaps = (
                outcome.sent_at < stop.end and outcome.ended_at > stop.begin
            )
            executions = self._executions[outcome.attempt]
            healthy = all(
                self._endpoint_undisturbed(execution, outcome.ended_at)
                for execution in executions
            )
            if overlaps and executions and healthy:
                self._add_finding(
                    'graceful stop',
                    f'{outcome.attempt} on {outcome.route} was broken off by '
                    f'the stop of {stop.gateway} at {stop.begin:.2f}',
                )

    def _check_leaving(self):
        for change in self._journal.changes:
            if change.kind != 'leaving':
                continue
            late = [
                execution
                for execution in self._journal.executions
                if execution.endpoint == change.name
                and execution.started_at
                > change.acknowledged_at + LEAVING_S + DELIVERY_S
                and self._sender_undisturbed(execution, change.acknowledged_at)
            ]
            if late:
                self._add_finding(
                    'leaving',
                    f'{len(late)} requests reached {change.name} too long '
                    f'after it started to leave at '
                    f'{change.acknowledged_at:.2f}, {late[0].attempt} first',
                )

    def _check_limit(self, limit):
        """Check that all gateways together keep to a named limit."""
        begin = limit.begin + LIMIT_NOTICE_S
        if self._link_disturbed(limit.endpoint, begin, limit.end):
            return
        started = sorted(
            execution.started_at
            for execution in self._journal.executions
            if execution.endpoint == limit.endpoint
            and begin <= execution.started_at <= limit.end
            and self._sender_undisturbed(execution, limit.begin)
        )
        most = windows.most_in_window(started, LIMIT_WINDOW_S)
        allowed = (
            LIMIT_TOLERATED_SHARE * limit.per_s * LIMIT_WINDOW_S
            + LIMIT_TOLERATED_REQUESTS
        )
        if most > allowed:
            self._add_finding(
                'limits',
                f'{limit.endpoint} named {limit.per_s} a second at '
                f'{limit.begin:.2f} and got {most} requests in '
                f'{LIMIT_WINDOW_S} s',
            )

    def _check_revoked_keys(self):
        """Check that revoked keys are refused, even during disturbances."""
        revoked_at = {
            c.name: c.acknowledged_at for c in self._changes('revoked')
        }
        for outcome in self._journal.outcomes:
            since = revoked_at.get(outcome.key)
            if since is None or outcome.sent_at < since + REVOCATION_S:
                continue
            if self._executions[outcome.attempt]:
                self._add_finding(
                    'revoked keys',
                    f'{outcome.attempt} was sent '
                    f'{outcome.sent_at - since:.2f} s after its key was '
                    f'revoked, but was executed',
                )

    def _check_versions(self):
        """Check that versions come into force in time and stay in force."""
        accepted_at = {
            c.name: c.acknowledged_at for c in self._changes('version')
        }
        applied_at = {}
        for outcome in sorted(self._journal.outcomes, key=_sent_at):
            since = accepted_at.get(outcome.route)
            if since is None or outcome.status is None:
                continue
            process = (outcome.gateway, outcome.start_number, outcome.route)
            if outcome.status != 404:
                if outcome.status == 200:
                    applied_at.setdefault(process, outcome.ended_at)
                continue
            if outcome.sent_at > applied_at.get(process, self._run_end):
                self._add_finding(
                    'no way back', f'{process} became unknown again'
                )
            begin = outcome.sent_at - CONFIGURATION_S - STABILIZATION_S
            if (
                outcome.sent_at > since + CONFIGURATION_S
                and self._gateway_undisturbed(
                    outcome.gateway, begin, outcome.ended_at
                )
            ):
                self._add_finding(
                    'configuration in force',
                    f'{process} is unknown {outcome.sent_at - since:.2f} s '
                    f'after the store accepted it',
                )

    def _check_recovery(self):
        for name in sorted({o.gateway for o in self._journal.outcomes}):
            last = [
                outcome
                for outcome in self._journal.outcomes
                if outcome.gateway == name
                and outcome.sent_at > self._run_end - RECOVERY_WINDOW_S
                and outcome.route in callers.ROUTES
                and outcome.key not in self._revoked_keys()
            ]
            served = sum(outcome.status == 200 for outcome in last)
            if not last or served < MIN_RECOVERED_SHARE * len(last):
                statuses = collections.Counter(o.status for o in last)
                self._add_finding(
                    'recovery',
                    f'{name} served {served} of the last {len(last)} '
                    f'requests: {statuses}',
                )

    def _revoked_keys(self):
        return {change.name for change in self._changes('revoked')}

    def _changes(self, kind):
        return [c for c in self._journal.changes if c.kind == kind]

    def _sender_undisturbed(self, execution, since):
        outcomes = [
            o for o in self._journal.outcomes if o.attempt == execution.attempt
        ]
        return bool(outcomes) and self._gateway_undisturbed(
            outcomes[0].gateway, since - STABILIZATION_S, execution.started_at
        )

    def _endpoint_undisturbed(self, execution, until):
        """Return whether no fault affected the endpoint of an execution."""
        return not any(
            disturbance.component == execution.endpoint
            and disturbance.begin <= until
            and disturbance.end >= execution.started_at
            for disturbance in self._journal.disturbances
        )

    def _link_disturbed(self, endpoint, begin, end):
        """Return whether requests to an endpoint may have been held up."""
        return any(
            disturbance.component == endpoint
            and '_link_' in disturbance.kind
            and disturbance.begin <= end
            and disturbance.end >= begin
            for disturbance in self._journal.disturbances
        )

    def _gateway_undisturbed(self, gateway, begin, end, ignored_kinds=()):
        """Return whether a gateway was stable throughout an interval."""
        return not any(
            disturbance.component in (gateway, '*')
            and disturbance.kind not in ignored_kinds
            and disturbance.begin <= end
            and disturbance.end + STABILIZATION_S >= begin
            for disturbance in self._journal.disturbances
        )

    def _add_finding(self, promise, detail):
        self._journal.add_finding(promise, detail)


def _sent_at(outcome):
    return outcome.sent_at


def _has_progressed(outcome):
    """Return whether a stream was answered with an event or its end."""
    whole = outcome.complete and outcome.status == 200
    return whole or bool(endpoints.versions_of(outcome.body))


def _is_near(other, outcome):
    """Return whether another request was sent about when this one was."""
    begin, end = outcome.sent_at - NEAR_S, outcome.ended_at + NEAR_S
    return begin <= other.sent_at <= end

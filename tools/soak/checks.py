"""Check the promises from what callers and endpoints saw."""

from __future__ import annotations

import collections

from tools.soak import callers
from tools.soak import endpoints

# Bounds of the settings that gateways run with, in seconds.
REVOCATION_S = 3.0
CONFIGURATION_S = 2.5
LEAVING_S = 2.5
# A part counts as undisturbed so long after a fault, as the platform's
# rules say of machines and of the store.
STABLE_S = 3.0
# A request may be answered this late past its deadline.
LATE_S = 0.5
# What was sent to an endpoint reaches it within this.
ON_THE_WAY_S = 0.3
NOT_RUN = (408, 421, 429, 503)
# Least share of the last calm seconds' requests that is served.
RECOVERED_SHARE = 0.8
# Seconds at the end of a play, the faults of which ended 6 s before.
RECOVERY_S = 3.5


class Checker:
    """Compare the records of one play with the promises."""

    def __init__(self, journal, world_keys, end):
        self._journal = journal
        self._keys = world_keys
        self._end = end
        self._runs = collections.defaultdict(list)
        for run in journal.runs:
            self._runs[run.attempt].append(run)

    def check(self):
        """Add a finding for each promise that was broken."""
        asked = {outcome.attempt for outcome in self._journal.outcomes}
        for attempt, runs in self._runs.items():
            if attempt not in asked:
                # Its caller was still waiting when the play ended.
                continue
            self._check_workspace(attempt, runs)
        for outcome in self._journal.outcomes:
            self._check_runs(outcome)
            self._check_answer(outcome)
            self._check_end(outcome)
        for stop in self._journal.stops:
            self._check_stop(stop)
        self._check_leaving()
        self._check_revoked()
        self._check_versions()
        self._check_recovery()

    def _check_workspace(self, attempt, runs):
        wrong = {run.workspace for run in runs} - set(self._keys.values())
        if wrong:
            self._note('workspace', f'{attempt} ran as {wrong}')

    def _check_runs(self, outcome):
        runs = self._runs[outcome.attempt]
        once = outcome.route in callers.ONCE
        if once and len(runs) > 1:
            where = [run.endpoint for run in runs]
            self._note('at most once', f'{outcome.attempt} ran at {where}')
        denied = outcome.status in NOT_RUN and outcome.complete
        if once and denied and runs:
            self._note(
                'not run', f'{outcome.attempt} got {outcome.status} and ran'
            )

    def _check_answer(self, outcome):
        if outcome.status != 200 or not outcome.complete:
            return
        name = outcome.headers.get(b'attempt-id', b'').decode()
        bodies = endpoints.expected_bodies(outcome.attempt)
        wanted = bodies.whole
        if outcome.route in callers.STREAMS:
            wanted = bodies.stream
        if name != outcome.attempt or outcome.body != wanted:
            self._note(
                'whole answer',
                f'{outcome.attempt} on {outcome.route} got {name} '
                f'{outcome.body!r}',
            )

    def _check_end(self, outcome):
        if not self._calm(outcome.gateway, outcome.sent_at, outcome.ended_at):
            return
        took = outcome.ended_at - outcome.sent_at
        if took > callers.DEADLINE_S + LATE_S:
            self._note(
                'answered at the deadline',
                f'{outcome.attempt} on {outcome.route} took {took:.2f} s',
            )

    def _check_stop(self, stop):
        """Check that a planned stop ended in time and cut off nothing."""
        if not self._calm(stop.gateway, stop.begin, stop.end, but='stop'):
            return
        if not stop.in_time:
            self._note('graceful stop', f'{stop.gateway} had to be killed')
        for outcome in self._journal.outcomes:
            if outcome.gateway != stop.gateway or outcome.complete:
                continue
            overlaps = (
                outcome.sent_at < stop.end and outcome.ended_at > stop.begin
            )
            runs = self._runs[outcome.attempt]
            sound = all(self._sound(run, outcome.ended_at) for run in runs)
            if overlaps and runs and sound:
                self._note(
                    'graceful stop',
                    f'{outcome.attempt} on {outcome.route} was cut off by '
                    f'the stop of {stop.gateway} at {stop.begin:.2f}',
                )

    def _check_leaving(self):
        for change in self._journal.changes:
            if change.what != 'leaving':
                continue
            late = [
                run
                for run in self._journal.runs
                if run.endpoint == change.name
                and run.at > change.at + LEAVING_S + ON_THE_WAY_S
                and self._sender_calm(run, change.at)
            ]
            if late:
                self._note(
                    'leaving',
                    f'{len(late)} requests reached {change.name} after it '
                    f'left at {change.at:.2f}, {late[0].attempt} first',
                )

    def _check_revoked(self):
        """A key that was taken away is refused, whatever is disturbed."""
        gone = {c.name: c.at for c in self._changes('revoked')}
        for outcome in self._journal.outcomes:
            at = gone.get(outcome.key)
            if at is None or outcome.sent_at < at + REVOCATION_S:
                continue
            if self._runs[outcome.attempt]:
                self._note(
                    'revoked keys',
                    f'{outcome.attempt} ran {outcome.sent_at - at:.2f} s '
                    f'after its key was taken away',
                )

    def _check_versions(self):
        """A version is in force in time and is not given up again."""
        accepted = {c.name: c.at for c in self._changes('version')}
        seen = {}
        for outcome in sorted(self._journal.outcomes, key=_sent):
            at = accepted.get(outcome.route)
            if at is None or outcome.status is None:
                continue
            process = (outcome.gateway, outcome.start, outcome.route)
            if outcome.status != 404:
                if outcome.status == 200:
                    seen.setdefault(process, outcome.ended_at)
                continue
            if outcome.sent_at > seen.get(process, self._end):
                self._note('no way back', f'{process} is not known any more')
            begin = outcome.sent_at - CONFIGURATION_S - STABLE_S
            if outcome.sent_at > at + CONFIGURATION_S and self._calm(
                outcome.gateway, begin, outcome.ended_at
            ):
                self._note(
                    'configuration in force',
                    f'{process} is unknown {outcome.sent_at - at:.2f} s '
                    f'after it was accepted',
                )

    def _check_recovery(self):
        for name in sorted({o.gateway for o in self._journal.outcomes}):
            late = [
                outcome
                for outcome in self._journal.outcomes
                if outcome.gateway == name
                and outcome.sent_at > self._end - RECOVERY_S
                and outcome.route in callers.ROUTES
                and outcome.key not in self._revoked()
            ]
            served = sum(outcome.status == 200 for outcome in late)
            if not late or served < RECOVERED_SHARE * len(late):
                statuses = collections.Counter(o.status for o in late)
                self._note(
                    'recovery',
                    f'{name} served {served} of {len(late)}: {statuses}',
                )

    def _revoked(self):
        return {change.name for change in self._changes('revoked')}

    def _changes(self, what):
        return [c for c in self._journal.changes if c.what == what]

    def _sender_calm(self, run, since):
        found = [o for o in self._journal.outcomes if o.attempt == run.attempt]
        return bool(found) and self._calm(
            found[0].gateway, since - STABLE_S, run.at
        )

    def _sound(self, run, until):
        """Tell whether the endpoint of a run was left alone."""
        return not any(
            span.part == run.endpoint
            and span.begin <= until
            and span.end >= run.at
            for span in self._journal.spans
        )

    def _calm(self, gateway, begin, end, but=None):
        """Tell whether a gateway was undisturbed for a while before."""
        return not any(
            span.part in (gateway, '*')
            and span.kind != but
            and span.begin <= end
            and span.end + STABLE_S >= begin
            for span in self._journal.spans
        )

    def _note(self, promise, detail):
        self._journal.note(promise, detail)


def _sent(outcome):
    return outcome.sent_at

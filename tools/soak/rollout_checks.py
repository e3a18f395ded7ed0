"""Check a rollout of a version against the records of a run."""

from __future__ import annotations

from tools.soak import attribution
from tools.soak import records

# Bounds in the settings of the gateways. The slack is less than usual, since
# only about 150 requests arrive during an order.
EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 30
ROLLBACK_S = 5.0
SETTINGS = {
    'rollout_exposure_share': EXPOSURE_SHARE,
    'rollout_exposure_slack': EXPOSURE_SLACK,
    'rollout_rollback_s': ROLLBACK_S,
}
# Bad responses after which the bound on the rollback counts.
BAD_RESPONSES = 50
FINAL_STATES = ('completed', 'rolled_back')
PROMISE = 'rollout'
# A status may be written this long after the deadline.
STATUS_GRACE_S = 2.0
# A gateway or the store counts as sound this long after a fault.
STABILIZATION_S = 3.0
# Time before the deadline in which the outcome is decided and written.
DECISION_S = 4.0
# Bad responses that have to be enough for a rollback.
ENOUGH_BAD = 20


def check(journal):
    """Add a finding for each bound that the rollout of a run violates."""
    if journal.rollout is None:
        return
    checker = RolloutChecker(journal)
    checker.check_exposure()
    checker.check_rollback()
    checker.check_status()
    checker.check_stop()


def describe(journal):
    """Return how the order of a run ended; empty without one."""
    rollout = journal.rollout
    if rollout is None:
        return ''
    kind = 'bad' if rollout.bad else 'good'
    ended = 'without an end'
    if rollout.ended_at is not None:
        ended_s = rollout.ended_at - rollout.ordered_at
        ended = f'{rollout.state} after {ended_s:.1f} s'
    checker = RolloutChecker(journal)
    return (
        f'{kind} version, {ended} of'
        f' {rollout.deadline_at - rollout.ordered_at:.1f} s,'
        f' {checker.count_exposed()} of {checker.count_reached()} requests'
        f' reached it by the deadline, {rollout.status}'
    )


class RolloutChecker:
    """Check the rollout of one run."""

    def __init__(self, journal):
        self._journal = journal
        self._rollout = journal.rollout
        # Times at which requests reached endpoints, and those of the target.
        self._arrivals = [visit.begin for visit in journal.visits]
        self._exposures = [
            visit.begin
            for visit in journal.visits
            if self._is_target(visit.endpoint)
        ]

    def count_reached(self):
        """Return the requests until the deadline."""
        return self._count_in_time(self._arrivals)

    def count_exposed(self):
        """Return the requests of the target until the deadline."""
        return self._count_in_time(self._exposures)

    def check_exposure(self):
        """Check the requests that a bad version got; holds always."""
        rollout = self._rollout
        if not rollout.bad or rollout.given_again:
            return
        reached, exposed = self.count_reached(), self.count_exposed()
        if exposed > EXPOSURE_SHARE * reached + EXPOSURE_SLACK:
            self._add_finding(
                f'{exposed} of {reached} requests reached the bad version'
            )

    def check_rollback(self):
        """Check that a bad version gets nothing late; holds always."""
        rollout = self._rollout
        if len(rollout.bad_at) < BAD_RESPONSES or rollout.given_again:
            return
        last_at = rollout.bad_at[BAD_RESPONSES - 1] + ROLLBACK_S
        late = [at for at in self._exposures if at > last_at]
        if late:
            self._add_finding(
                f'{len(late)} requests reached the bad version later than'
                f' {last_at:.2f}, the first at {late[0]:.2f}'
            )

    def check_status(self):
        """Check the outcome, and that there is one in time."""
        rollout = self._rollout
        if rollout.given_again:
            return
        bad_count = len(rollout.bad_at)
        shown = f'{rollout._replace(bad_at=[])}, {bad_count} bad responses'
        if rollout.bad and rollout.state == 'completed':
            if bad_count >= ENOUGH_BAD:
                self._add_finding(f'a bad version was completed: {shown}')
        begin = rollout.deadline_at - DECISION_S - STABILIZATION_S
        if self._control_disturbed(begin, rollout.deadline_at):
            return
        ended = rollout.ended_at is not None
        if not ended or rollout.ended_at > rollout.deadline_at:
            self._add_finding(f'no outcome in time: {shown}')
        elif not rollout.bad and rollout.state != 'completed':
            if not self._target_disturbed():
                self._add_finding(f'a good version was rolled back: {shown}')

    def check_stop(self):
        """Check that the stop of the old endpoints cuts nothing off."""
        rollout = self._rollout
        if rollout.given_again or not rollout.stopped:
            return
        if self._control_disturbed(
            rollout.ordered_at - STABILIZATION_S, rollout.ended_at
        ):
            return
        attributor = attribution.Attributor(self._journal)
        for outcome in self._journal.outcomes:
            visits = attributor.visits_of(outcome.attempt)
            if outcome.complete or not visits:
                continue
            last = visits[-1]
            stopped = (
                last.endpoint in rollout.stopped
                and last.ending is records.Ending.STOPPED
                and last.behaviour == 'answer'
                and last.end >= rollout.ended_at
            )
            if stopped and not attributor.fell_silent(outcome):
                self._add_finding(
                    'cut off by the stop of the old endpoints: '
                    + attributor.describe(outcome)
                )

    def _count_in_time(self, times):
        rollout = self._rollout
        return sum(
            rollout.ordered_at <= at < rollout.deadline_at for at in times
        )

    def _is_target(self, endpoint):
        service = self._journal.services[endpoint]
        return service.version == self._rollout.target

    def _control_disturbed(self, begin, end):
        """Return whether a gateway or the store was disturbed."""
        return any(
            (d.component == '*' or d.component.startswith('gateway'))
            and d.begin <= end
            and d.end >= begin
            for d in self._journal.disturbances
        )

    def _target_disturbed(self):
        """Return whether endpoints of the target were disturbed."""
        disturbed = [d.component for d in self._journal.disturbances]
        disturbed += [s.endpoint for s in self._journal.silences]
        return any(
            name in self._journal.services and self._is_target(name)
            for name in disturbed
        )

    def _add_finding(self, detail):
        self._journal.add_finding(PROMISE, detail)

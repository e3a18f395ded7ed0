"""Specify the request protocol and prove its promises.

Two requests with the same idempotency key go through two entries and two
sidecars. Each request makes one attempt, at its own sidecar, and both share
one row of the table service; rerouting an attempt to another sidecar is
modeled as the second request.

Messages state facts that stay true once sent, so a received message is modeled
as a condition on the sender's history. This covers messages that are delayed,
duplicated, reordered or lost. The state of a crashed process is kept as
history; a crashed sidecar restarts as a new incarnation without any state.

docs/developer-guide/specification.md maps each action to the code.
"""

from __future__ import annotations

import sys

import z3

from spec import checker

# State of an attempt at its sidecar; kept as history after a crash.
# UNCONFIRMED attempts wait until the entry has confirmed the claim.
ABSENT, UNCONFIRMED, QUEUED, TOMBSTONED, STARTED, DONE = range(6)
# State of a request at its entry.
NEW, OFFERED, ATTACHED, GRANTED, ENDED, CRASHED = range(6)
# State of the row, with its owner.
UNCLAIMED, CLAIMED_1, CLAIMED_2, RELEASED, COMPLETED_1, COMPLETED_2 = range(6)
# Reply to the caller.
NO_REPLY, NOT_RUN, UNKNOWN, COMPLETED = range(4)

# Promises with their numbers in the fault matrix; progress has no number.
PROMISES = {
    'runs at most once': '1 and 5',
    'told not-run means not run': '4',
    'completed means run': '3',
    'key is not stuck': 'progress',
}
FIRST_RAN_AND_SIDECAR_RESTARTED = (
    'entry offers [1]',
    'entry sends its claim [1]',
    'claim takes effect [1]',
    'entry reads its own row [1]',
    'sidecar accepts the offer [1]',
    'sidecar queues the attempt [1]',
    'entry grants [1]',
    'sidecar starts [1]',
    'sidecar crashes and restarts [1]',
)
MUTANTS = (
    checker.Mutant('claim not required', 'runs at most once'),
    checker.Mutant('row version not compared', 'runs at most once'),
    checker.Mutant('grant not required', 'told not-run means not run'),
    checker.Mutant('tombstone not checked', 'told not-run means not run'),
    checker.Mutant(
        'incarnation not compared',
        'runs at most once',
        FIRST_RAN_AND_SIDECAR_RESTARTED,
    ),
    checker.Mutant(
        'not-run returned after the grant', 'told not-run means not run'
    ),
    checker.Mutant('duplicate grant not ignored', 'runs at most once'),
    checker.Mutant('abandoned claim not released', 'key is not stuck'),
)


def _request_variables(index):
    return {
        f'entry_state_{index}': z3.IntSort(),
        f'reply_{index}': z3.IntSort(),
        f'confirmed_{index}': z3.BoolSort(),
        # Row version that the entry expects to replace.
        f'expected_version_{index}': z3.IntSort(),
        # The entry has yet to release its row.
        f'release_pending_{index}': z3.BoolSort(),
        f'granted_{index}': z3.BoolSort(),
        f'attempt_state_{index}': z3.IntSort(),
        f'sidecar_restarted_{index}': z3.BoolSort(),
        # Number of times the attempt was sent to its endpoint.
        f'executions_{index}': z3.IntSort(),
        # A claim in flight to the table service and the version it expects.
        f'claim_in_flight_{index}': z3.BoolSort(),
        f'claim_version_{index}': z3.IntSort(),
    }


def row_claimed_by(index):
    """Return the row state in which a request owns the claim."""
    return CLAIMED_1 if index == 1 else CLAIMED_2


def row_completed_by(index):
    """Return the row state in which a request's response is recorded."""
    return COMPLETED_1 if index == 1 else COMPLETED_2


class RequestProtocol(checker.Protocol):
    """Model entries, sidecars and the row of one idempotency key."""

    variables = {
        'row': z3.IntSort(),
        'row_version': z3.IntSort(),
        **_request_variables(1),
        **_request_variables(2),
    }

    def actions(self, state, mutant):
        """Return the actions of both requests."""
        actions = []
        for index in (1, 2):
            request = checker.PartyView(state, index)
            actions += _entry_actions(request, mutant)
            actions += _claim_actions(request, mutant)
            actions += _attach_actions(request)
            actions += _sidecar_actions(request, mutant)
            actions += _failure_actions(request)
        return actions

    def violation(self, state, promise):
        """Return the condition under which a promise is broken."""
        requests = [checker.PartyView(state, index) for index in (1, 2)]
        executed = [request.executions > 0 for request in requests]
        if promise == 'runs at most once':
            return requests[0].executions + requests[1].executions > 1
        if promise == 'told not-run means not run':
            return z3.Or(
                *[
                    z3.And(request.reply == NOT_RUN, was_executed)
                    for request, was_executed in zip(requests, executed)
                ]
            )
        if promise == 'completed means run':
            completed = z3.Or(
                *[request.reply == COMPLETED for request in requests]
            )
            return z3.And(completed, z3.Not(z3.Or(*executed)))
        return z3.Or(*[_is_stuck(state, request) for request in requests])

    def invariant(self, state):
        """Return named conditions whose conjunction is inductive."""
        conditions = {
            'row is unclaimed only at version 0': z3.And(
                state['row_version'] >= 0,
                state['row'] >= UNCLAIMED,
                state['row'] <= COMPLETED_2,
                (state['row'] == UNCLAIMED) == (state['row_version'] == 0),
            )
        }
        for index in (1, 2):
            request = checker.PartyView(state, index)
            for name, condition in _request_invariant(request).items():
                conditions[f'{name} [{index}]'] = condition
        return conditions


def _request_invariant(request):
    row, version = request.state['row'], request.state['row_version']
    other = request.other
    owns_row = row == row_claimed_by(request.index)
    other_owns_row = row == row_claimed_by(other.index)
    open_entry = z3.Or(
        *[request.entry_state == e for e in (NEW, OFFERED, ATTACHED, GRANTED)]
    )
    closed_entry = z3.Or(
        request.entry_state == ENDED, request.entry_state == CRASHED
    )
    # Row states that a claim of this request may replace.
    replaceable = z3.Or(
        row == UNCLAIMED,
        row == RELEASED,
        z3.And(other_owns_row, other.attempt_state == TOMBSTONED),
    )
    not_run = request.reply == NOT_RUN
    return {
        'an open request has no reply': z3.Implies(
            open_entry, request.reply == NO_REPLY
        ),
        'a new request expects version 0': z3.Implies(
            request.entry_state == NEW, request.expected_version == 0
        ),
        'no claim expects a version beyond the row': z3.And(
            request.expected_version <= version,
            z3.Implies(
                request.claim_in_flight,
                request.claim_version <= request.expected_version,
            ),
        ),
        'an owned row is past the expected version': z3.Implies(
            owns_row, request.expected_version < version
        ),
        'a claim for the current version may replace the row': z3.And(
            z3.Implies(
                z3.And(
                    request.claim_in_flight, request.claim_version == version
                ),
                replaceable,
            ),
            z3.Implies(
                z3.And(
                    z3.Or(
                        request.entry_state == OFFERED,
                        request.entry_state == GRANTED,
                        request.release_pending,
                    ),
                    request.expected_version == version,
                ),
                replaceable,
            ),
            z3.Implies(
                z3.And(
                    request.entry_state == ATTACHED,
                    request.expected_version == version,
                ),
                other_owns_row,
            ),
        ),
        'a grant needs a confirmed claim': z3.And(
            z3.Implies(
                request.granted,
                z3.And(
                    request.confirmed,
                    z3.Or(request.entry_state == GRANTED, closed_entry),
                ),
            ),
            z3.Implies(request.entry_state == GRANTED, request.granted),
        ),
        'a confirmed claim keeps its row': z3.Implies(
            z3.And(
                request.confirmed,
                request.attempt_state != TOMBSTONED,
                z3.Not(not_run),
            ),
            z3.Or(owns_row, row == row_completed_by(request.index)),
        ),
        'an attempt starts only after a grant': z3.And(
            z3.Implies(request.attempt_state >= STARTED, request.granted),
            request.executions
            == z3.If(request.attempt_state >= STARTED, 1, 0),
            request.attempt_state >= ABSENT,
            request.attempt_state <= DONE,
        ),
        'not-run requires that the attempt cannot start': z3.Implies(
            not_run,
            z3.And(
                closed_entry,
                z3.Or(
                    z3.Not(request.granted),
                    request.attempt_state == TOMBSTONED,
                ),
            ),
        ),
        'completed requires an answer': z3.And(
            z3.Implies(
                request.reply == COMPLETED,
                z3.Or(
                    request.attempt_state == DONE, other.attempt_state == DONE
                ),
            ),
            z3.Implies(
                row == row_completed_by(request.index),
                request.attempt_state == DONE,
            ),
        ),
        'only a request that was not run releases its row': z3.Implies(
            request.release_pending,
            z3.And(not_run, request.entry_state == ENDED),
        ),
        'a request does not reclaim a row it released': z3.Implies(
            z3.And(
                not_run,
                request.entry_state == ENDED,
                z3.Not(request.release_pending),
            ),
            z3.And(
                z3.Not(owns_row),
                z3.Implies(
                    request.claim_in_flight, request.claim_version < version
                ),
            ),
        ),
    }


def _is_stuck(state, request):
    # The row is claimed by a request whose reply was not-run. The sidecar has
    # restarted and cannot deny the attempt, and the entry, though running,
    # will not release the row.
    return z3.And(
        state['row'] == row_claimed_by(request.index),
        request.reply == NOT_RUN,
        request.entry_state == ENDED,
        request.sidecar_restarted,
        z3.Not(request.release_pending),
    )


def _entry_actions(request, mutant):
    release_pending = mutant != 'abandoned claim not released'
    may_grant = [request.entry_state == OFFERED]
    if mutant != 'claim not required':
        may_grant.append(request.confirmed)
    reply_after_grant = (
        NOT_RUN if mutant == 'not-run returned after the grant' else UNKNOWN
    )
    return [
        request.action(
            'entry offers', request.entry_state == NEW, entry_state=OFFERED
        ),
        request.action(
            'entry sends its claim',
            request.entry_state == OFFERED,
            z3.Not(request.confirmed),
            claim_in_flight=True,
            claim_version=request.expected_version,
        ),
        request.action(
            'entry grants', *may_grant, entry_state=GRANTED, granted=True
        ),
        # Also possible while the outcome of the claim write is unknown.
        request.action(
            'entry gives up before the grant',
            request.entry_state == OFFERED,
            entry_state=ENDED,
            reply=NOT_RUN,
            release_pending=release_pending,
        ),
        request.action(
            'entry gives up after the grant',
            request.entry_state == GRANTED,
            entry_state=ENDED,
            reply=reply_after_grant,
        ),
        request.action(
            'entry receives NeverStarts',
            request.entry_state == GRANTED,
            request.attempt_state == TOMBSTONED,
            entry_state=ENDED,
            reply=NOT_RUN,
            release_pending=release_pending,
        ),
        request.action(
            'entry forwards the answer',
            request.entry_state == GRANTED,
            request.attempt_state == DONE,
            entry_state=ENDED,
            reply=COMPLETED,
        ),
    ]


def _claim_actions(request, mutant):
    state = request.state
    version_matches = request.claim_version == state['row_version']
    if mutant == 'row version not compared':
        version_matches = z3.BoolVal(True)
    owns_row = state['row'] == row_claimed_by(request.index)
    version_unchanged = state['row_version'] == request.expected_version
    next_version = state['row_version'] + 1
    return [
        request.action(
            'claim takes effect',
            request.claim_in_flight,
            version_matches,
            claim_in_flight=False,
            shared={
                'row': row_claimed_by(request.index),
                'row_version': next_version,
            },
        ),
        request.action(
            'claim is dropped', request.claim_in_flight, claim_in_flight=False
        ),
        request.action(
            'entry reads its own row',
            request.entry_state == OFFERED,
            owns_row,
            confirmed=True,
        ),
        request.action(
            'entry reads a released row',
            request.entry_state == OFFERED,
            state['row'] == RELEASED,
            expected_version=state['row_version'],
        ),
        request.action(
            'release takes effect',
            request.release_pending,
            z3.Or(owns_row, version_unchanged),
            release_pending=False,
            shared={'row': RELEASED, 'row_version': next_version},
        ),
        request.action(
            'release finds the row changed',
            request.release_pending,
            z3.Not(owns_row),
            z3.Not(version_unchanged),
            release_pending=False,
        ),
        request.action(
            'outcome is recorded',
            request.reply == COMPLETED,
            request.attempt_state == DONE,
            owns_row,
            shared={
                'row': row_completed_by(request.index),
                'row_version': next_version,
            },
        ),
    ]


def _attach_actions(request):
    other, state = request.other, request.state
    return [
        request.action(
            'entry reads the row of the other request',
            request.entry_state == OFFERED,
            state['row'] == row_claimed_by(other.index),
            entry_state=ATTACHED,
            expected_version=state['row_version'],
        ),
        request.action(
            'entry reads the recorded answer',
            request.entry_state == OFFERED,
            z3.Or(state['row'] == COMPLETED_1, state['row'] == COMPLETED_2),
            entry_state=ENDED,
            reply=COMPLETED,
        ),
        request.action(
            'attached entry forwards the answer',
            request.entry_state == ATTACHED,
            other.attempt_state == DONE,
            entry_state=ENDED,
            reply=COMPLETED,
        ),
        request.action(
            'attached entry gives up or receives Lost',
            request.entry_state == ATTACHED,
            entry_state=ENDED,
            reply=UNKNOWN,
        ),
        request.action(
            'attached entry receives NeverStarts',
            request.entry_state == ATTACHED,
            other.attempt_state == TOMBSTONED,
            entry_state=OFFERED,
            confirmed=False,
        ),
    ]


def _sidecar_actions(request, mutant):
    same_incarnation = z3.Not(request.sidecar_restarted)
    waiting = z3.Or(
        request.attempt_state == UNCONFIRMED, request.attempt_state == QUEUED
    )
    may_start = [same_incarnation, request.attempt_state == QUEUED]
    if mutant != 'grant not required':
        may_start.append(request.granted)
    if mutant == 'tombstone not checked':
        may_start[1] = z3.Or(
            request.attempt_state == QUEUED,
            request.attempt_state == TOMBSTONED,
        )
    may_queue = (
        z3.BoolVal(True)
        if mutant == 'claim not required'
        else request.confirmed
    )
    may_tombstone = [
        same_incarnation,
        z3.Or(request.attempt_state == ABSENT, waiting),
    ]
    if mutant == 'incarnation not compared':
        # The new incarnation denies every attempt that it has no record of.
        may_tombstone = [
            z3.Or(
                z3.And(
                    same_incarnation,
                    z3.Or(request.attempt_state == ABSENT, waiting),
                ),
                request.sidecar_restarted,
            )
        ]
    actions = [
        request.action(
            'sidecar accepts the offer',
            same_incarnation,
            request.entry_state != NEW,
            request.attempt_state == ABSENT,
            attempt_state=UNCONFIRMED,
        ),
        request.action(
            'sidecar queues the attempt',
            same_incarnation,
            may_queue,
            request.attempt_state == UNCONFIRMED,
            attempt_state=QUEUED,
        ),
        request.action(
            'sidecar starts',
            *may_start,
            attempt_state=STARTED,
            executions=request.executions + 1,
        ),
        request.action(
            'sidecar finishes',
            same_incarnation,
            request.attempt_state == STARTED,
            attempt_state=DONE,
        ),
        # The attempt was refused, evicted or withdrawn, it timed out, the link
        # to its entry closed, or another entry asked for an unknown attempt.
        request.action(
            'sidecar tombstones the attempt',
            *may_tombstone,
            attempt_state=TOMBSTONED,
        ),
    ]
    if mutant == 'duplicate grant not ignored':
        actions.append(
            request.action(
                'sidecar starts again',
                same_incarnation,
                request.granted,
                request.attempt_state == STARTED,
                executions=request.executions + 1,
            )
        )
    return actions


def _failure_actions(request):
    entry_running = z3.And(
        request.entry_state != NEW, request.entry_state != CRASHED
    )
    return [
        request.action(
            'entry crashes',
            entry_running,
            entry_state=CRASHED,
            release_pending=False,
        ),
        request.action(
            'sidecar crashes and restarts',
            z3.Not(request.sidecar_restarted),
            sidecar_restarted=True,
        ),
    ]


def main():
    """Prove every promise and find a counterexample for every mutant."""
    verified = checker.verify(RequestProtocol(), PROMISES, MUTANTS)
    sys.exit(0 if verified else 1)


if __name__ == '__main__':
    main()

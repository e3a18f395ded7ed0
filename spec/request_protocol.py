"""Specify the request protocol and prove its promises.

Two sends of one idempotency key go through two entries and two sidecars.
Each send makes one attempt, at its own sidecar, and both share
one row of the table service; an attempt that is offered elsewhere counts as
another send. What a message tells stays true once sent, so
a message is a condition on its sender's history: it may arrive late, twice,
out of order or never. A process that dies stays in the state as history; a
sidecar that died is reborn as an incarnation that knows nothing.

docs/specification.md maps each action to the code.
"""

from __future__ import annotations

import sys

import z3

from spec import checker

# Phase of an attempt at its sidecar; kept as history when it dies.
ABSENT, HELD, QUEUED, BURIED, STARTED, DONE = range(6)
# Phase of a send at its entry.
NEW, OFFERED, ATTACHED, GRANTED, ENDED, DEAD = range(6)
# Owner and state of the row.
FREE, CLAIMED_1, CLAIMED_2, RELEASED, FINISHED_1, FINISHED_2 = range(6)
# What the caller was told.
NOTHING, NOT_RUN, UNKNOWN, COMPLETED = range(4)

PROMISES = {
    'runs at most once': '1 and 5',
    'told not-run means not run': '4',
    'completed means run': '3',
    'key is not stuck': 'progress',
}
FIRST_RAN_AND_SIDECAR_DIED = (
    'entry offers [1]',
    'entry sends its claim [1]',
    'claim takes effect [1]',
    'entry reads its own row [1]',
    'sidecar accepts the offer [1]',
    'sidecar lifts the hold [1]',
    'entry grants [1]',
    'sidecar starts [1]',
    'sidecar dies [1]',
)
MUTANTS = (
    checker.Mutant('claim left out', 'runs at most once'),
    checker.Mutant('row version not compared', 'runs at most once'),
    checker.Mutant('grant not needed', 'told not-run means not run'),
    checker.Mutant('tombstone left out', 'told not-run means not run'),
    checker.Mutant(
        'incarnation not compared',
        'runs at most once',
        FIRST_RAN_AND_SIDECAR_DIED,
    ),
    checker.Mutant(
        'not-run told after the grant', 'told not-run means not run'
    ),
    checker.Mutant('grant doubled at the sidecar', 'runs at most once'),
    checker.Mutant('abandoned claim not released', 'key is not stuck'),
)


def _send_fields(me):
    return {
        f'entry_{me}': z3.IntSort(),
        f'told_{me}': z3.IntSort(),
        f'confirmed_{me}': z3.BoolSort(),
        # Version of the row that the entry expects to replace.
        f'expects_{me}': z3.IntSort(),
        # Whether the entry still has to release its row.
        f'releasing_{me}': z3.BoolSort(),
        f'granted_{me}': z3.BoolSort(),
        f'phase_{me}': z3.IntSort(),
        f'reborn_{me}': z3.BoolSort(),
        # How often the attempt was sent to its endpoint.
        f'runs_{me}': z3.IntSort(),
        # A claim on its way to the table service, with its version.
        f'claim_{me}': z3.BoolSort(),
        f'claim_version_{me}': z3.IntSort(),
    }


def claimed_by(me):
    """Return the row's value when a send owns it."""
    return CLAIMED_1 if me == 1 else CLAIMED_2


def finished_by(me):
    """Return the row's value when it records a send's answer."""
    return FINISHED_1 if me == 1 else FINISHED_2


class RequestProtocol(checker.Protocol):
    """Describe the transitions of the request protocol."""

    fields = {
        'row': z3.IntSort(),
        'version': z3.IntSort(),
        **_send_fields(1),
        **_send_fields(2),
    }

    def actions(self, state, mutant):
        """Return all actions, for both sends."""
        found = []
        for me in (1, 2):
            send = checker.View(state, me)
            found += _entry_actions(send, mutant)
            found += _claim_actions(send, mutant)
            found += _attach_actions(send)
            found += _sidecar_actions(send, mutant)
            found += _failure_actions(send)
        return found

    def violation(self, state, promise):
        """Return the condition that a promise is broken."""
        sends = [checker.View(state, me) for me in (1, 2)]
        ran = [send.runs > 0 for send in sends]
        if promise == 'runs at most once':
            return sends[0].runs + sends[1].runs > 1
        if promise == 'told not-run means not run':
            return z3.Or(
                *[
                    z3.And(send.told == NOT_RUN, did_run)
                    for send, did_run in zip(sends, ran)
                ]
            )
        if promise == 'completed means run':
            completed = z3.Or(*[send.told == COMPLETED for send in sends])
            return z3.And(completed, z3.Not(z3.Or(*ran)))
        return z3.Or(*[_is_stuck(state, send) for send in sends])

    def invariant(self, state):
        """Return named conditions that together are inductive."""
        conditions = {
            'row is free at version 0 only': z3.And(
                state['version'] >= 0,
                state['row'] >= FREE,
                state['row'] <= FINISHED_2,
                (state['row'] == FREE) == (state['version'] == 0),
            )
        }
        for me in (1, 2):
            send = checker.View(state, me)
            for name, condition in _send_invariant(send).items():
                conditions[f'{name} [{me}]'] = condition
        return conditions


def _send_invariant(send):
    row, version = send.state['row'], send.state['version']
    other = send.other
    mine = row == claimed_by(send.me)
    others = row == claimed_by(other.me)
    open_entry = z3.Or(
        *[send.entry == e for e in (NEW, OFFERED, ATTACHED, GRANTED)]
    )
    closed_entry = z3.Or(send.entry == ENDED, send.entry == DEAD)
    # States of the row that a claim of this send may replace.
    replaceable = z3.Or(
        row == FREE,
        row == RELEASED,
        z3.And(others, other.phase == BURIED),
    )
    refused = send.told == NOT_RUN
    return {
        'an open send was told nothing': z3.Implies(
            open_entry, send.told == NOTHING
        ),
        'a new send expects no row': z3.Implies(
            send.entry == NEW, send.expects == 0
        ),
        'no claim is ahead of the row': z3.And(
            send.expects <= version,
            z3.Implies(send.claim, send.claim_version <= send.expects),
        ),
        'own row was expected earlier': z3.Implies(
            mine, send.expects < version
        ),
        'a claim that matches replaces a replaceable row': z3.And(
            z3.Implies(
                z3.And(send.claim, send.claim_version == version),
                replaceable,
            ),
            z3.Implies(
                z3.And(
                    z3.Or(
                        send.entry == OFFERED,
                        send.entry == GRANTED,
                        send.releasing,
                    ),
                    send.expects == version,
                ),
                replaceable,
            ),
            z3.Implies(
                z3.And(send.entry == ATTACHED, send.expects == version),
                others,
            ),
        ),
        'a grant needs a confirmed claim': z3.And(
            z3.Implies(
                send.granted,
                z3.And(
                    send.confirmed,
                    z3.Or(send.entry == GRANTED, closed_entry),
                ),
            ),
            z3.Implies(send.entry == GRANTED, send.granted),
        ),
        'a confirmed claim keeps its row': z3.Implies(
            z3.And(send.confirmed, send.phase != BURIED, z3.Not(refused)),
            z3.Or(mine, row == finished_by(send.me)),
        ),
        'a start needs a grant': z3.And(
            z3.Implies(send.phase >= STARTED, send.granted),
            send.runs == z3.If(send.phase >= STARTED, 1, 0),
            send.phase >= ABSENT,
            send.phase <= DONE,
        ),
        'not-run rests on proof': z3.Implies(
            refused,
            z3.And(
                closed_entry,
                z3.Or(z3.Not(send.granted), send.phase == BURIED),
            ),
        ),
        'completed rests on an answer': z3.And(
            z3.Implies(
                send.told == COMPLETED,
                z3.Or(send.phase == DONE, other.phase == DONE),
            ),
            z3.Implies(row == finished_by(send.me), send.phase == DONE),
        ),
        'only a refused send releases': z3.Implies(
            send.releasing, z3.And(refused, send.entry == ENDED)
        ),
        'a released key stays released by this send': z3.Implies(
            z3.And(refused, send.entry == ENDED, z3.Not(send.releasing)),
            z3.And(
                z3.Not(mine),
                z3.Implies(send.claim, send.claim_version < version),
            ),
        ),
    }


def _is_stuck(state, send):
    # The row names an attempt that was told not-run, the sidecar that
    # could deny it is gone, and the living entry will not release it.
    return z3.And(
        state['row'] == claimed_by(send.me),
        send.told == NOT_RUN,
        send.entry == ENDED,
        send.reborn,
        z3.Not(send.releasing),
    )


def _entry_actions(send, mutant):
    releases = mutant != 'abandoned claim not released'
    may_grant = [send.entry == OFFERED]
    if mutant != 'claim left out':
        may_grant.append(send.confirmed)
    told = NOT_RUN if mutant == 'not-run told after the grant' else UNKNOWN
    return [
        send.action('entry offers', send.entry == NEW, entry=OFFERED),
        send.action(
            'entry sends its claim',
            send.entry == OFFERED,
            z3.Not(send.confirmed),
            claim=True,
            claim_version=send.expects,
        ),
        send.action('entry grants', *may_grant, entry=GRANTED, granted=True),
        # Also when it cannot know whether its claim took effect.
        send.action(
            'entry gives up before the grant',
            send.entry == OFFERED,
            entry=ENDED,
            told=NOT_RUN,
            releasing=releases,
        ),
        send.action(
            'entry gives up after the grant',
            send.entry == GRANTED,
            entry=ENDED,
            told=told,
        ),
        send.action(
            'entry hears that the attempt never starts',
            send.entry == GRANTED,
            send.phase == BURIED,
            entry=ENDED,
            told=NOT_RUN,
            releasing=releases,
        ),
        send.action(
            'entry passes the answer on',
            send.entry == GRANTED,
            send.phase == DONE,
            entry=ENDED,
            told=COMPLETED,
        ),
    ]


def _claim_actions(send, mutant):
    state = send.state
    matches = send.claim_version == state['version']
    if mutant == 'row version not compared':
        matches = z3.BoolVal(True)
    own = state['row'] == claimed_by(send.me)
    unchanged = state['version'] == send.expects
    following = state['version'] + 1
    return [
        send.action(
            'claim takes effect',
            send.claim,
            matches,
            claim=False,
            shared={'row': claimed_by(send.me), 'version': following},
        ),
        send.action('claim is dropped', send.claim, claim=False),
        send.action(
            'entry reads its own row',
            send.entry == OFFERED,
            own,
            confirmed=True,
        ),
        send.action(
            'entry reads a released row',
            send.entry == OFFERED,
            state['row'] == RELEASED,
            expects=state['version'],
        ),
        send.action(
            'release takes effect',
            send.releasing,
            z3.Or(own, unchanged),
            releasing=False,
            shared={'row': RELEASED, 'version': following},
        ),
        send.action(
            'release finds the row in other hands',
            send.releasing,
            z3.Not(own),
            z3.Not(unchanged),
            releasing=False,
        ),
        send.action(
            'outcome is recorded',
            send.told == COMPLETED,
            send.phase == DONE,
            own,
            shared={'row': finished_by(send.me), 'version': following},
        ),
    ]


def _attach_actions(send):
    other, state = send.other, send.state
    return [
        send.action(
            'entry reads the row of the other send',
            send.entry == OFFERED,
            state['row'] == claimed_by(other.me),
            entry=ATTACHED,
            expects=state['version'],
        ),
        send.action(
            'entry reads the recorded answer',
            send.entry == OFFERED,
            z3.Or(state['row'] == FINISHED_1, state['row'] == FINISHED_2),
            entry=ENDED,
            told=COMPLETED,
        ),
        send.action(
            'attached entry passes the answer on',
            send.entry == ATTACHED,
            other.phase == DONE,
            entry=ENDED,
            told=COMPLETED,
        ),
        send.action(
            'attached entry gives up or hears lost',
            send.entry == ATTACHED,
            entry=ENDED,
            told=UNKNOWN,
        ),
        send.action(
            'attached entry hears that the attempt never starts',
            send.entry == ATTACHED,
            other.phase == BURIED,
            entry=OFFERED,
            confirmed=False,
        ),
    ]


def _sidecar_actions(send, mutant):
    alive = z3.Not(send.reborn)
    waiting = z3.Or(send.phase == HELD, send.phase == QUEUED)
    may_start = [alive, send.phase == QUEUED]
    if mutant != 'grant not needed':
        may_start.append(send.granted)
    if mutant == 'tombstone left out':
        may_start[1] = z3.Or(send.phase == QUEUED, send.phase == BURIED)
    cleared = (
        z3.BoolVal(True) if mutant == 'claim left out' else (send.confirmed)
    )
    may_bury = [alive, z3.Or(send.phase == ABSENT, waiting)]
    if mutant == 'incarnation not compared':
        # The new incarnation denies whatever it does not know.
        may_bury = [
            z3.Or(
                z3.And(alive, z3.Or(send.phase == ABSENT, waiting)),
                send.reborn,
            )
        ]
    actions = [
        send.action(
            'sidecar accepts the offer',
            alive,
            send.entry != NEW,
            send.phase == ABSENT,
            phase=HELD,
        ),
        send.action(
            'sidecar lifts the hold',
            alive,
            cleared,
            send.phase == HELD,
            phase=QUEUED,
        ),
        send.action(
            'sidecar starts', *may_start, phase=STARTED, runs=send.runs + 1
        ),
        send.action(
            'sidecar finishes', alive, send.phase == STARTED, phase=DONE
        ),
        # Refused, evicted, withdrawn, timed out, its entry's link closed,
        # or unknown when another entry asked.
        send.action('sidecar buries the attempt', *may_bury, phase=BURIED),
    ]
    if mutant == 'grant doubled at the sidecar':
        actions.append(
            send.action(
                'sidecar starts again',
                alive,
                send.granted,
                send.phase == STARTED,
                runs=send.runs + 1,
            )
        )
    return actions


def _failure_actions(send):
    lives = z3.And(send.entry != NEW, send.entry != DEAD)
    return [
        send.action('entry dies', lives, entry=DEAD, releasing=False),
        send.action('sidecar dies', z3.Not(send.reborn), reborn=True),
    ]


def main():
    """Prove every promise and break every mutant."""
    held = checker.run(RequestProtocol(), PROMISES, MUTANTS)
    sys.exit(0 if held else 1)


if __name__ == '__main__':
    main()

"""Specify how a configuration is accepted and comes into force.

Two operators publish their own changes to one row of the table service.
Writes may be delayed or lost, and so may their responses. Two processes adopt
revisions that they read from the row or receive from each other; a process
that restarts loses its revision and must read or receive one again.
"""

from __future__ import annotations

import sys

import z3

from spec import checker

# Reply to an operator about its change.
NO_REPLY, ACCEPTED, CONFLICT = range(3)
NO_AUTHOR = 0

# Promises with their numbers in the fault matrix.
PROMISES = {
    'a process never goes back': '8',
    'accepted means in the history': '8',
    'a change is accepted once': '8',
    'same revision means same document': '8',
}
MUTANTS = (
    checker.Mutant('revision not compared', 'a process never goes back'),
    checker.Mutant('version not compared', 'accepted means in the history'),
    checker.Mutant(
        'lost answer counts as accepted', 'accepted means in the history'
    ),
    checker.Mutant('change not read back', 'a change is accepted once'),
)


def _party_variables(index):
    return {
        f'reply_{index}': z3.IntSort(),
        f'base_known_{index}': z3.BoolSort(),
        f'base_revision_{index}': z3.IntSort(),
        # A write in flight and the revision that it expects to replace.
        f'write_in_flight_{index}': z3.BoolSort(),
        f'write_base_revision_{index}': z3.IntSort(),
        # Revision under which the change was accepted; 0 if it was not.
        f'accepted_revision_{index}': z3.IntSort(),
        # Number of times the change took effect.
        f'times_applied_{index}': z3.IntSort(),
        # Revision in force at the process and the author of its document.
        f'adopted_revision_{index}': z3.IntSort(),
        f'adopted_author_{index}': z3.IntSort(),
        # The process adopted a lower revision without a restart.
        f'went_back_{index}': z3.BoolSort(),
    }


class ConfigurationProtocol(checker.Protocol):
    """Model operators that write revisions and processes that adopt them."""

    variables = {
        'row_revision': z3.IntSort(),
        'row_author': z3.IntSort(),
        **_party_variables(1),
        **_party_variables(2),
    }

    def actions(self, state, mutant):
        """Return the actions of both operators and both processes."""
        actions = []
        for index in (1, 2):
            party = checker.PartyView(state, index)
            actions += _operator_actions(party, mutant)
            actions += _process_actions(party, mutant)
        return actions

    def violation(self, state, promise):
        """Return the condition under which a promise is broken."""
        parties = [checker.PartyView(state, index) for index in (1, 2)]
        if promise == 'a process never goes back':
            return z3.Or(*[party.went_back for party in parties])
        if promise == 'accepted means in the history':
            return z3.Or(
                *[
                    z3.And(
                        party.reply == ACCEPTED,
                        z3.Or(
                            party.accepted_revision == 0,
                            party.accepted_revision
                            == party.other.accepted_revision,
                        ),
                    )
                    for party in parties
                ]
            )
        if promise == 'a change is accepted once':
            return z3.Or(*[party.times_applied > 1 for party in parties])
        return z3.And(
            parties[0].adopted_revision == parties[1].adopted_revision,
            parties[0].adopted_author != parties[1].adopted_author,
        )

    def invariant(self, state):
        """Return named conditions whose conjunction is inductive."""
        conditions = {
            'a written row has an author': z3.And(
                state['row_revision'] >= 0,
                (state['row_revision'] == 0)
                == (state['row_author'] == NO_AUTHOR),
                state['row_author'] >= NO_AUTHOR,
                state['row_author'] <= 2,
            )
        }
        for index in (1, 2):
            party = checker.PartyView(state, index)
            for name, condition in _party_invariant(party).items():
                conditions[f'{name} [{index}]'] = condition
        return conditions


def _party_invariant(party):
    current, author = (
        party.state['row_revision'],
        party.state['row_author'],
    )
    expected_author = z3.If(
        party.adopted_revision == 0,
        NO_AUTHOR,
        z3.If(
            party.adopted_revision == party.accepted_revision,
            party.index,
            party.other.index,
        ),
    )
    return {
        'no write expects a revision beyond the row': z3.And(
            z3.Implies(party.base_known, party.base_revision <= current),
            z3.Implies(
                party.write_in_flight,
                z3.And(
                    party.base_known,
                    party.write_base_revision <= party.base_revision,
                ),
            ),
        ),
        'an accepted change is in the history': z3.And(
            party.accepted_revision >= 0,
            party.accepted_revision <= current,
            z3.Implies(
                party.accepted_revision > 0,
                party.accepted_revision != party.other.accepted_revision,
            ),
            z3.Implies(
                current > 0,
                z3.Or(
                    *[
                        z3.And(
                            author == p.index, p.accepted_revision == current
                        )
                        for p in (party, party.other)
                    ]
                ),
            ),
        ),
        'an accepted change was applied once': party.times_applied
        == z3.If(party.accepted_revision > 0, 1, 0),
        # No write in flight and no base revision may match the row again.
        'an applied change cannot match again': z3.Implies(
            party.accepted_revision > 0,
            z3.And(
                z3.Implies(
                    party.base_known,
                    party.base_revision < party.accepted_revision,
                ),
                z3.Implies(
                    party.write_in_flight, party.write_base_revision < current
                ),
            ),
        ),
        'accepted requires a revision in the history': z3.Implies(
            party.reply == ACCEPTED, party.accepted_revision > 0
        ),
        'a process adopts only accepted revisions': z3.And(
            party.adopted_revision >= 0,
            party.adopted_revision <= current,
            party.adopted_author == expected_author,
            z3.Implies(
                party.adopted_revision > 0,
                z3.Or(
                    party.adopted_revision == party.accepted_revision,
                    party.adopted_revision == party.other.accepted_revision,
                ),
            ),
            z3.Not(party.went_back),
        ),
    }


def _operator_actions(party, mutant):
    state = party.state
    no_reply = party.reply == NO_REPLY
    may_read = [no_reply]
    if mutant != 'change not read back':
        may_read.append(party.accepted_revision == 0)
    revision_matches = party.write_base_revision == state['row_revision']
    if mutant == 'version not compared':
        revision_matches = z3.BoolVal(True)
        new_revision = party.write_base_revision + 1
    else:
        new_revision = state['row_revision'] + 1
    seen_accepted = party.accepted_revision > 0
    if mutant == 'lost answer counts as accepted':
        seen_accepted = z3.BoolVal(True)
    return [
        party.action(
            'operator reads the current revision',
            *may_read,
            base_known=True,
            base_revision=state['row_revision'],
        ),
        party.action(
            'operator sends its change',
            no_reply,
            party.base_known,
            write_in_flight=True,
            write_base_revision=party.base_revision,
        ),
        party.action(
            'change takes effect',
            party.write_in_flight,
            revision_matches,
            write_in_flight=False,
            accepted_revision=new_revision,
            times_applied=party.times_applied + 1,
            shared={
                'row_revision': new_revision,
                'row_author': party.index,
            },
        ),
        party.action(
            'change is dropped', party.write_in_flight, write_in_flight=False
        ),
        party.action(
            'operator reads its change back',
            no_reply,
            party.base_known,
            seen_accepted,
            reply=ACCEPTED,
        ),
        party.action('operator receives a conflict', no_reply, reply=CONFLICT),
    ]


def _process_actions(party, mutant):
    state, other = party.state, party.other
    row_is_newer = state['row_revision'] > party.adopted_revision
    peer_is_newer = other.adopted_revision > party.adopted_revision
    if mutant == 'revision not compared':
        row_is_newer = peer_is_newer = z3.BoolVal(True)
    return [
        party.action(
            'process reads the current revision',
            row_is_newer,
            adopted_revision=state['row_revision'],
            adopted_author=state['row_author'],
            went_back=z3.Or(
                party.went_back,
                state['row_revision'] < party.adopted_revision,
            ),
        ),
        party.action(
            'process receives a revision from its peer',
            peer_is_newer,
            adopted_revision=other.adopted_revision,
            adopted_author=other.adopted_author,
            went_back=z3.Or(
                party.went_back,
                other.adopted_revision < party.adopted_revision,
            ),
        ),
        party.action(
            'process restarts',
            adopted_revision=z3.IntVal(0),
            adopted_author=NO_AUTHOR,
        ),
    ]


def main():
    """Prove every promise and find a counterexample for every mutant."""
    verified = checker.verify(ConfigurationProtocol(), PROMISES, MUTANTS)
    sys.exit(0 if verified else 1)


if __name__ == '__main__':
    main()

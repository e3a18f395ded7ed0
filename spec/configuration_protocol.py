"""Specify how a configuration is accepted and comes into force.

Two operators publish changes of their own to one row of the table service.
Writes take effect late or never, and their answers may be lost. Two
processes adopt what they read or hear; each may restart and then knows
nothing but what it reads or hears again.
"""

from __future__ import annotations

import sys

import z3

from spec import checker

# What an operator was told of the change.
NOTHING, ACCEPTED, CONFLICT = range(3)
NOBODY = 0

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


def _operator_fields(me):
    return {
        f'told_{me}': z3.IntSort(),
        f'has_base_{me}': z3.BoolSort(),
        f'base_{me}': z3.IntSort(),
        # A write on its way, with the version that it expects.
        f'write_{me}': z3.BoolSort(),
        f'write_base_{me}': z3.IntSort(),
        # Revision as which the change was accepted; 0 if it was not.
        f'revision_{me}': z3.IntSort(),
        # How often the change took effect.
        f'effects_{me}': z3.IntSort(),
        # Process: the revision in force and the author of its document.
        f'held_{me}': z3.IntSort(),
        f'author_{me}': z3.IntSort(),
        # Whether this life of the process ever lowered its revision.
        f'lowered_{me}': z3.BoolSort(),
    }


class ConfigurationProtocol(checker.Protocol):
    """Describe how revisions are written and adopted."""

    fields = {
        'current': z3.IntSort(),
        'writer': z3.IntSort(),
        **_operator_fields(1),
        **_operator_fields(2),
    }

    def actions(self, state, mutant):
        """Return the actions of both operators and both processes."""
        found = []
        for me in (1, 2):
            party = checker.View(state, me)
            found += _operator_actions(party, mutant)
            found += _process_actions(party, mutant)
        return found

    def violation(self, state, promise):
        """Return the condition that a promise is broken."""
        parties = [checker.View(state, me) for me in (1, 2)]
        if promise == 'a process never goes back':
            return z3.Or(*[party.lowered for party in parties])
        if promise == 'accepted means in the history':
            return z3.Or(
                *[
                    z3.And(
                        party.told == ACCEPTED,
                        z3.Or(
                            party.revision == 0,
                            party.revision == party.other.revision,
                        ),
                    )
                    for party in parties
                ]
            )
        if promise == 'a change is accepted once':
            return z3.Or(*[party.effects > 1 for party in parties])
        return z3.And(
            parties[0].held == parties[1].held,
            parties[0].author != parties[1].author,
        )

    def invariant(self, state):
        """Return named conditions that together are inductive."""
        conditions = {
            'the current row has its writer': z3.And(
                state['current'] >= 0,
                (state['current'] == 0) == (state['writer'] == NOBODY),
                state['writer'] >= NOBODY,
                state['writer'] <= 2,
            )
        }
        for me in (1, 2):
            party = checker.View(state, me)
            for name, condition in _party_invariant(party).items():
                conditions[f'{name} [{me}]'] = condition
        return conditions


def _party_invariant(party):
    current, writer = party.state['current'], party.state['writer']
    author = z3.If(
        party.held == 0,
        NOBODY,
        z3.If(party.held == party.revision, party.me, party.other.me),
    )
    return {
        'no write is ahead of the row': z3.And(
            z3.Implies(party.has_base, party.base <= current),
            z3.Implies(
                party.write,
                z3.And(party.has_base, party.write_base <= party.base),
            ),
        ),
        'an accepted change is in the past': z3.And(
            party.revision >= 0,
            party.revision <= current,
            z3.Implies(
                party.revision > 0, party.revision != party.other.revision
            ),
            z3.Implies(
                current > 0,
                z3.Or(
                    *[
                        z3.And(writer == p.me, p.revision == current)
                        for p in (party, party.other)
                    ]
                ),
            ),
        ),
        'effects follow the history': party.effects
        == z3.If(party.revision > 0, 1, 0),
        # What took effect leaves no write or base that could match.
        'a change that took effect cannot match again': z3.Implies(
            party.revision > 0,
            z3.And(
                z3.Implies(party.has_base, party.base < party.revision),
                z3.Implies(party.write, party.write_base < current),
            ),
        ),
        'accepted rests on the history': z3.Implies(
            party.told == ACCEPTED, party.revision > 0
        ),
        'a process holds what was accepted': z3.And(
            party.held >= 0,
            party.held <= current,
            party.author == author,
            z3.Implies(
                party.held > 0,
                z3.Or(
                    party.held == party.revision,
                    party.held == party.other.revision,
                ),
            ),
            z3.Not(party.lowered),
        ),
    }


def _operator_actions(party, mutant):
    state = party.state
    undecided = party.told == NOTHING
    reads = [undecided]
    if mutant != 'change not read back':
        reads.append(party.revision == 0)
    matches = party.write_base == state['current']
    if mutant == 'version not compared':
        matches = z3.BoolVal(True)
        number = party.write_base + 1
    else:
        number = state['current'] + 1
    accepted_by = party.revision > 0
    if mutant == 'lost answer counts as accepted':
        accepted_by = z3.BoolVal(True)
    return [
        party.action(
            'operator reads the current revision',
            *reads,
            has_base=True,
            base=state['current'],
        ),
        party.action(
            'operator sends its change',
            undecided,
            party.has_base,
            write=True,
            write_base=party.base,
        ),
        party.action(
            'change takes effect',
            party.write,
            matches,
            write=False,
            revision=number,
            effects=party.effects + 1,
            shared={'current': number, 'writer': party.me},
        ),
        party.action('change is dropped', party.write, write=False),
        party.action(
            'operator reads its change back',
            undecided,
            party.has_base,
            accepted_by,
            told=ACCEPTED,
        ),
        party.action(
            'operator is told of a conflict', undecided, told=CONFLICT
        ),
    ]


def _process_actions(party, mutant):
    state, other = party.state, party.other
    higher = state['current'] > party.held
    peer_higher = other.held > party.held
    if mutant == 'revision not compared':
        higher = peer_higher = z3.BoolVal(True)
    return [
        party.action(
            'process reads the current revision',
            higher,
            held=state['current'],
            author=state['writer'],
            lowered=z3.Or(party.lowered, state['current'] < party.held),
        ),
        party.action(
            'process hears a revision from its peer',
            peer_higher,
            held=other.held,
            author=other.author,
            lowered=z3.Or(party.lowered, other.held < party.held),
        ),
        party.action('process restarts', held=z3.IntVal(0), author=NOBODY),
    ]


def main():
    """Prove every promise and break every mutant."""
    held = checker.run(ConfigurationProtocol(), PROMISES, MUTANTS)
    sys.exit(0 if held else 1)


if __name__ == '__main__':
    main()

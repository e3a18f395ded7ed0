"""Prove invariants of transition systems, or print a counterexample.

A promise is proved for traces of any length by an inductive invariant, which
z3 checks separately for each action. For a mutant, bounded model checking with
z3 finds the shortest trace that violates the promise.
"""

from __future__ import annotations

import abc
import concurrent.futures
import time
import typing

import z3

MAX_STEPS = 24
MAX_WORKERS = 4


class Action(typing.NamedTuple):
    """Define a transition by its guard and the new values of variables."""

    name: str
    guard: z3.BoolRef
    updates: dict


class Protocol(abc.ABC):
    """Define a transition system over typed state variables.

    All variables start as 0 or false.
    """

    variables: dict

    @abc.abstractmethod
    def actions(self, state, mutant):
        """Return the actions that the protocol or a mutant has in a state."""

    @abc.abstractmethod
    def invariant(self, state):
        """Return named conditions whose conjunction is inductive."""

    @abc.abstractmethod
    def violation(self, state, promise):
        """Return the condition under which a state violates a promise."""


class PartyView:
    """Access the state variables of one of two numbered parties."""

    def __init__(self, state, index):
        self.state = state
        self.index = index

    def __getattr__(self, name):
        return self.state[f'{name}_{self.index}']

    @property
    def other(self):
        """Return a view of the other party."""
        return PartyView(self.state, 3 - self.index)

    def action(
        self, name, *guards, shared=None, other_updates=None, **own_updates
    ):
        """Return an action that updates this party and other variables."""
        updates = {f'{n}_{self.index}': v for n, v in own_updates.items()}
        for variable, value in (other_updates or {}).items():
            updates[f'{variable}_{3 - self.index}'] = value
        updates.update(shared or {})
        guard = z3.And(*guards) if guards else z3.BoolVal(True)
        return Action(f'{name} [{self.index}]', guard, updates)


class Mutant(typing.NamedTuple):
    """Name a protocol variant without one guard and the promise it violates.

    The search starts with the actions of the prefix, if there is one.
    """

    name: str
    promise: str
    prefix: tuple[str, ...] = ()


def _make_variables(protocol, suffix):
    return {
        name: z3.Const(f'{name}{suffix}', sort)
        for name, sort in protocol.variables.items()
    }


def _initial_values(protocol):
    return {
        name: z3.BoolVal(False) if sort == z3.BoolSort() else z3.IntVal(0)
        for name, sort in protocol.variables.items()
    }


def _transition(protocol, action, state, next_state):
    assignments = [
        next_state[name] == action.updates.get(name, state[name])
        for name in protocol.variables
    ]
    return z3.And(action.guard, *assignments)


def find_induction_failure(protocol):
    """Return why the invariant is not inductive, or an empty string."""
    state = _make_variables(protocol, '')
    next_state = _make_variables(protocol, '_next')
    invariant = list(protocol.invariant(state).values())
    initial = [state[n] == v for n, v in _initial_values(protocol).items()]
    if _may_be_satisfiable(*initial, z3.Not(z3.And(*invariant))):
        return 'the initial state does not satisfy the invariant'
    for action in protocol.actions(state, None):
        step = _transition(protocol, action, state, next_state)
        for name, condition in protocol.invariant(next_state).items():
            if _may_be_satisfiable(*invariant, step, z3.Not(condition)):
                return f'{action.name} does not preserve: {name}'
    return ''


def excludes_violation(protocol, promise):
    """Return whether the invariant implies a promise."""
    state = _make_variables(protocol, '')
    invariant = protocol.invariant(state).values()
    return not _may_be_satisfiable(
        *invariant, protocol.violation(state, promise)
    )


def _may_be_satisfiable(*conditions):
    # An undecided check counts as satisfiable, so it never proves a promise.
    solver = z3.Solver()
    solver.add(*conditions)
    return solver.check() != z3.unsat


def find_trace(protocol, mutant, max_steps=MAX_STEPS):
    """Return the shortest trace that violates a mutant's promise.

    The trace is empty if there is none within max_steps.
    """
    solver = z3.Solver()
    states = [_make_variables(protocol, '@0')]
    initial = _initial_values(protocol)
    solver.add(*[states[0][n] == v for n, v in initial.items()])
    choices = []
    for depth in range(1, max_steps + 1):
        next_state = _make_variables(protocol, f'@{depth}')
        actions = list(protocol.actions(states[-1], mutant.name))
        required = mutant.prefix[depth - 1 : depth]
        if required:
            actions = [a for a in actions if a.name == required[0]]
        selector = z3.Int(f'action@{depth}')
        solver.add(
            _any_transition(
                protocol, actions, selector, states[-1], next_state
            )
        )
        states.append(next_state)
        choices.append((selector, [action.name for action in actions]))
        if depth < len(mutant.prefix):
            continue
        violation = protocol.violation(next_state, mutant.promise)
        if solver.check(violation) == z3.sat:
            return _read_trace(solver.model(), choices)
    return ()


def _any_transition(protocol, actions, selector, state, next_state):
    return z3.Or(
        *[
            z3.And(
                selector == n, _transition(protocol, action, state, next_state)
            )
            for n, action in enumerate(actions)
        ]
    )


def _read_trace(model, choices):
    return tuple(
        action_names[model.eval(selector, True).as_long()]
        for selector, action_names in choices
    )


def verify(protocol, promises, mutants):
    """Prove the promises, refute the mutants and print the results.

    Return whether every promise is proved and every mutant is refuted.
    """
    failed = False
    started_at = time.monotonic()
    induction_failure = find_induction_failure(protocol)
    elapsed_s = time.monotonic() - started_at
    print(f'invariant: {induction_failure or "inductive"}, {elapsed_s:.1f} s')
    for promise, number in promises.items():
        proved = not induction_failure and excludes_violation(
            protocol, promise
        )
        failed = failed or not proved
        print(f'{"proved" if proved else "BROKEN"}: {promise} ({number})')
    with concurrent.futures.ProcessPoolExecutor(MAX_WORKERS) as pool:
        jobs = [(type(protocol), mutant) for mutant in mutants]
        for mutant, trace in zip(mutants, pool.map(_find_mutant_trace, jobs)):
            failed = failed or not trace
            verdict = 'violated as expected' if trace else 'SURVIVED'
            print(f'{verdict}: {mutant.name}: {mutant.promise}')
            for number, name in enumerate(trace, start=1):
                print(f'  {number:2} {name}')
    return not failed


def _find_mutant_trace(job):
    protocol_class, mutant = job
    return find_trace(protocol_class(), mutant)

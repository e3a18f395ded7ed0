"""Prove invariants of transition systems, or print a counterexample.

A promise is proved without a bound by an inductive invariant, which z3
checks action by action. A bounded search by z3 gives the shortest trace
that breaks a promise in a mutant.
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
    """Name a transition with its guard and the fields it changes."""

    name: str
    guard: z3.BoolRef
    changes: dict


class Protocol(abc.ABC):
    """Describe a transition system over typed fields.

    All fields start as 0 or false.
    """

    fields: dict

    @abc.abstractmethod
    def actions(self, state, mutant):
        """Return the actions from a state."""

    @abc.abstractmethod
    def invariant(self, state):
        """Return named conditions that together are inductive."""

    @abc.abstractmethod
    def violation(self, state, promise):
        """Return the condition that a promise is broken in a state."""


class View:
    """Read and change the fields of one of two numbered parties."""

    def __init__(self, state, me):
        self.state = state
        self.me = me

    def __getattr__(self, name):
        return self.state[f'{name}_{self.me}']

    @property
    def other(self):
        """Return the view of the other party."""
        return View(self.state, 3 - self.me)

    def action(self, name, *guards, shared=None, others=None, **changes):
        """Return an action that changes this party and shared fields."""
        changed = {f'{n}_{self.me}': v for n, v in changes.items()}
        for field, value in (others or {}).items():
            changed[f'{field}_{3 - self.me}'] = value
        changed.update(shared or {})
        guard = z3.And(*guards) if guards else z3.BoolVal(True)
        return Action(f'{name} [{self.me}]', guard, changed)


class Mutant(typing.NamedTuple):
    """Leave out one guard, which must break a promise.

    The search begins with the prefix, if there is one.
    """

    name: str
    promise: str
    prefix: tuple[str, ...] = ()


def _variables(protocol, suffix):
    return {
        name: z3.Const(f'{name}{suffix}', sort)
        for name, sort in protocol.fields.items()
    }


def _initial(protocol):
    return {
        name: z3.BoolVal(False) if sort == z3.BoolSort() else z3.IntVal(0)
        for name, sort in protocol.fields.items()
    }


def _step(protocol, action, state, following):
    kept = [
        following[name] == action.changes.get(name, state[name])
        for name in protocol.fields
    ]
    return z3.And(action.guard, *kept)


def find_gap(protocol):
    """Return where the invariant is not inductive, or an empty string."""
    state = _variables(protocol, '')
    following = _variables(protocol, '_next')
    now = list(protocol.invariant(state).values())
    start = [state[n] == v for n, v in _initial(protocol).items()]
    if _is_possible(*start, z3.Not(z3.And(*now))):
        return 'the start does not satisfy the invariant'
    for action in protocol.actions(state, None):
        step = _step(protocol, action, state, following)
        for name, kept in protocol.invariant(following).items():
            if _is_possible(*now, step, z3.Not(kept)):
                return f'{action.name} does not keep: {name}'
    return ''


def excludes(protocol, promise):
    """Tell whether the invariant excludes a broken promise."""
    state = _variables(protocol, '')
    now = protocol.invariant(state).values()
    return not _is_possible(*now, protocol.violation(state, promise))


def _is_possible(*conditions):
    solver = z3.Solver()
    solver.add(*conditions)
    return solver.check() != z3.unsat


def find_trace(protocol, mutant, max_steps=MAX_STEPS):
    """Return the shortest trace that breaks a mutant's promise.

    The trace is empty when there is none within the steps.
    """
    solver = z3.Solver()
    states = [_variables(protocol, '@0')]
    initial = _initial(protocol)
    solver.add(*[states[0][n] == v for n, v in initial.items()])
    names = []
    for depth in range(1, max_steps + 1):
        following = _variables(protocol, f'@{depth}')
        actions = list(protocol.actions(states[-1], mutant.name))
        forced = mutant.prefix[depth - 1 : depth]
        if forced:
            actions = [a for a in actions if a.name == forced[0]]
        pick = z3.Int(f'pick@{depth}')
        solver.add(_any_step(protocol, actions, pick, states[-1], following))
        states.append(following)
        names.append((pick, [action.name for action in actions]))
        if depth < len(mutant.prefix):
            continue
        broken = protocol.violation(following, mutant.promise)
        if solver.check(broken) == z3.sat:
            return _read_trace(solver.model(), names)
    return ()


def _any_step(protocol, actions, pick, state, following):
    return z3.Or(
        *[
            z3.And(pick == n, _step(protocol, action, state, following))
            for n, action in enumerate(actions)
        ]
    )


def _read_trace(model, names):
    return tuple(
        listed[model.eval(pick, True).as_long()] for pick, listed in names
    )


def run(protocol, promises, mutants):
    """Prove the promises, break the mutants and print both."""
    failed = False
    began = time.monotonic()
    gap = find_gap(protocol)
    spent = time.monotonic() - began
    print(f'invariant: {gap or "inductive"}, {spent:.1f} s')
    for promise, number in promises.items():
        proved = not gap and excludes(protocol, promise)
        failed = failed or not proved
        print(f'{"proved" if proved else "BROKEN"}: {promise} ({number})')
    with concurrent.futures.ProcessPoolExecutor(MAX_WORKERS) as pool:
        jobs = [(type(protocol), mutant) for mutant in mutants]
        for mutant, trace in zip(mutants, pool.map(_break, jobs)):
            failed = failed or not trace
            word = 'broken as it must be' if trace else 'SURVIVED'
            print(f'{word}: {mutant.name}: {mutant.promise}')
            for number, name in enumerate(trace, start=1):
                print(f'  {number:2} {name}')
    return not failed


def _break(job):
    protocol_class, mutant = job
    return find_trace(protocol_class(), mutant)

"""Define the state machine of a request at its entry."""

from __future__ import annotations

import transitions

CALL_MACHINE = transitions.Machine(
    model=None,
    states=[
        'new',
        'offered',
        'queued',
        'granted',
        'interrupted',
        'attached',
        'ended',
    ],
    transitions=[
        ['offer', ['new', 'offered', 'queued', 'attached'], 'offered'],
        ['accept', 'offered', 'queued'],
        ['grant', 'queued', 'granted'],
        ['interrupt', 'granted', 'interrupted'],
        ['resume', 'interrupted', 'granted'],
        ['attach', ['offered', 'queued', 'new'], 'attached'],
        ['requeue', ['granted', 'interrupted'], 'new'],
        ['end', '*', 'ended'],
    ],
    initial='new',
    auto_transitions=False,
)


def advance(record, trigger):
    """Apply a trigger to a request, or raise MachineError."""
    CALL_MACHINE.events[trigger].trigger(record)

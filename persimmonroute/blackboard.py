"""Define the state and effects shared by entry and sidecar boards."""

from __future__ import annotations

import typing

from persimmonroute.events import Event
from persimmonroute import timers


class LogEvent(typing.NamedTuple):
    """Log an event with its fields."""

    event: Event
    fields: dict


class Blackboard:
    """Store timers and pending effects of the controllers."""

    def __init__(self):
        self.timers = timers.TimerQueue()
        self._effects = []

    def put(self, effect):
        """Add an effect."""
        self._effects.append(effect)

    def log(self, event, **fields):
        """Add a LogEvent effect."""
        self._effects.append(LogEvent(event, fields))

    def take_effects(self):
        """Remove and return all pending effects."""
        effects, self._effects = self._effects, []
        return effects

"""Hold what the blackboards of both roles have in common."""

from __future__ import annotations

import typing

from persimmonroute.events import Event
from persimmonroute import timers


class LogEvent(typing.NamedTuple):
    """Log a numbered event."""

    event: Event
    fields: dict


class Blackboard:
    """Hold timers and the effects that controllers ask for."""

    def __init__(self):
        self.timers = timers.TimerQueue()
        self._effects = []

    def put(self, effect):
        """Ask for an effect."""
        self._effects.append(effect)

    def log(self, event, **fields):
        """Ask for a log line."""
        self._effects.append(LogEvent(event, fields))

    def take_effects(self):
        """Remove and return the effects asked for."""
        effects, self._effects = self._effects, []
        return effects

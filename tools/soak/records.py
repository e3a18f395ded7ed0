"""Define what callers, endpoints and operators saw during a soak."""

from __future__ import annotations

import typing

# Stands for a promise when a play could not be played.
PLAY_FAILED = 'the play itself'


class Run(typing.NamedTuple):
    """Tell that an endpoint began to work on an attempt."""

    attempt: str
    at: float
    endpoint: str
    workspace: str


class Outcome(typing.NamedTuple):
    """Hold what a caller saw of one attempt; times in seconds."""

    attempt: str
    route: str
    key: str
    gateway: str
    # Start number of the gateway's process.
    start: int
    sent_at: float
    ended_at: float
    status: int | None
    headers: dict[bytes, bytes]
    body: bytes
    complete: bool


class Change(typing.NamedTuple):
    """Tell when the store acknowledged something."""

    # 'version', 'revoked' or 'leaving'.
    what: str
    name: str
    at: float


class Span(typing.NamedTuple):
    """Tell from when to when a part was disturbed.

    The part is the name of a gateway, '*' for all of them, or that of an
    endpoint.
    """

    part: str
    begin: float
    end: float
    kind: str


class Stop(typing.NamedTuple):
    """Tell from when to when a gateway was stopped as planned."""

    gateway: str
    begin: float
    end: float
    # False when it had to be killed after its grace.
    in_time: bool


class Finding(typing.NamedTuple):
    """Describe one broken promise."""

    promise: str
    detail: str


class Journal:
    """Collect the records of one play."""

    def __init__(self):
        self.runs = []
        self.outcomes = []
        self.changes = []
        self.spans = []
        self.stops = []
        self.findings = []

    def note(self, promise, detail):
        """Add a finding."""
        self.findings.append(Finding(promise, detail))

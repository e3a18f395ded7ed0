"""Define the records that callers, endpoints and faults leave in a run."""

from __future__ import annotations

import collections
import enum
import math
import typing

# Reported in place of a promise when the run itself raised an error.
RUN_FAILED = 'the play itself'


class Execution(typing.NamedTuple):
    """Record that an endpoint started to execute an attempt."""

    attempt: str
    started_at: float
    endpoint: str
    workspace: str


class Ending(enum.Enum):
    """Define how the work of an endpoint on a request ended."""

    WHOLE = 'gave the whole answer'
    BROKE_OFF = 'failed or broke off by itself'
    REFUSED = 'refused'
    CLOSED = 'was closed by its peer'
    STOPPED = 'was stopped'


class Visit(typing.NamedTuple):
    """Record what an endpoint did with a request that reached it."""

    attempt: str
    endpoint: str
    begin: float
    end: float
    behaviour: str
    ending: Ending
    executed: bool = True


class Silence(typing.NamedTuple):
    """Record that a sound endpoint wrote nothing in an interval."""

    endpoint: str
    begin: float
    end: float


class Refusal(typing.NamedTuple):
    """Record that no process listened at a gateway or an endpoint."""

    component: str
    at: float


class Starvation(typing.NamedTuple):
    """Record that a process was ready but was not run in an interval."""

    component: str
    begin: float
    end: float


class TimeoutChange(typing.NamedTuple):
    """Record from when on requests of long routes have a timeout."""

    at: float
    timeout_s: float


class Outcome(typing.NamedTuple):
    """Record what a caller received for one attempt; times in seconds."""

    attempt: str
    route: str
    key: str
    gateway: str
    # Start number of the gateway process that served the attempt.
    start_number: int
    sent_at: float
    ended_at: float
    status: int | None
    headers: dict[bytes, bytes]
    body: bytes
    complete: bool
    # Of a stream that the caller took up again: the attempt that brought its
    # first event, and the last event that the caller had.
    resumes: str | None = None
    last_event_id: int = 0


class Change(typing.NamedTuple):
    """Record when the store acknowledged a change."""

    # 'version', 'revoked' or 'leaving'.
    kind: str
    name: str
    acknowledged_at: float


class Disturbance(typing.NamedTuple):
    """Record the interval in which a fault disturbed a component.

    The component is the name of a gateway or endpoint, or '*' for all
    gateways.
    """

    component: str
    begin: float
    end: float
    kind: str


class Limit(typing.NamedTuple):
    """Record that an endpoint named a limit in an interval."""

    endpoint: str
    per_s: float
    begin: float
    end: float


class Service(typing.NamedTuple):
    """Record from when to when an endpoint of a version served."""

    version: str
    begin: float
    end: float = math.inf


class Rollout(typing.NamedTuple):
    """Record an order to change the version, and how it ended."""

    target: str
    bad: bool
    ordered_at: float
    deadline_at: float
    # From when the final status was read; None if there was none in time.
    ended_at: float | None
    state: str | None
    # The status row, as text.
    status: str
    # When bad responses of the target ended.
    bad_at: list[float]
    # Endpoints that were stopped at once when it was completed.
    stopped: list[str]
    # True if a restored store had lost the order, so that it was given again.
    given_again: bool


class Stop(typing.NamedTuple):
    """Record the interval of a planned stop of a gateway."""

    gateway: str
    begin: float
    end: float
    # False when the process had to be killed after its grace period.
    in_time: bool


class Finding(typing.NamedTuple):
    """Describe one broken promise."""

    promise: str
    detail: str


class Journal:
    """Collect the records of one run."""

    def __init__(self):
        self.executions = []
        self.outcomes = []
        self.changes = []
        self.disturbances = []
        self.stops = []
        # Requests that stopping gateways refused because of their stop.
        self.stop_refusals = 0
        self.limits = []
        # The Rollout of the run, or None.
        self.rollout = None
        self.visits = []
        self.silences = []
        self.timeouts = []
        self.refusals = []
        self.starvations = []
        # Requests that got neither an answer nor a refusal, by cause.
        self.excused = collections.Counter()
        # Versions of endpoints by id, with the times at which they served.
        self.services = {}
        self.findings = []

    def add_finding(self, promise, detail):
        """Add a finding."""
        self.findings.append(Finding(promise, detail))

"""Define the data that the gateway decides on."""

from __future__ import annotations

import enum
import typing

LOWEST_TIER = 9


class Destination(typing.NamedTuple):
    """Name a service and its share of a route's requests."""

    service: str
    weight: float


class Route(typing.NamedTuple):
    """Say where requests go and what may be done with them.

    Times are in seconds; tier 0 is the highest.
    """

    name: str
    host: str
    prefix: str
    destinations: tuple[Destination, ...]
    streaming: bool
    idempotent: bool
    resumable: bool
    timeout_s: float
    objective_s: float
    tier: int
    max_attempts: int
    public: bool

    @property
    def repeatable(self):
        """Tell whether a request may run at more than one endpoint."""
        return self.idempotent or self.resumable


class Quota(typing.NamedTuple):
    """Limit a workspace to units per second and a burst of units."""

    per_s: float
    burst: float
    # Requests that state no tokens count as this many units.
    plain_units: float


class Workspace(typing.NamedTuple):
    """Describe a customer; a tier goes before that of the route."""

    name: str
    keys: tuple[str, ...]
    tier: int | None
    quota: Quota | None


class Service(typing.NamedTuple):
    """Describe a service; zero stands for a figure that is not given."""

    name: str
    max_connections: int
    slots: int
    kv_tokens: int
    is_engine: bool


class Limits(typing.NamedTuple):
    """Bound what a caller may send."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Configuration(typing.NamedTuple):
    """Hold one version of what operators declared."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    workspaces: tuple[Workspace, ...]
    limits: Limits


class Runner(typing.NamedTuple):
    """Describe one incarnation of an endpoint."""

    id: str
    # Unix milliseconds of the start; tells incarnations of an id apart.
    started_at_ms: int
    service: str
    address: str
    failure_domain: str
    slots: int
    leaving: bool


class PromptPart(typing.NamedTuple):
    """Name a part of a prompt and its length in tokens."""

    id: str
    tokens: int


class Request(typing.NamedTuple):
    """Hold one attempt of a caller.

    The remaining time is in seconds; None stands for no deadline.
    """

    attempt: str
    method: str
    host: str
    path: str
    target: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    key: str | None
    remaining_s: float | None
    prompt_tokens: int
    output_tokens: int
    states_tokens: bool
    prompt: tuple[PromptPart, ...]
    last_event_id: int | None


class RunnerLoad(typing.NamedTuple):
    """Hold what an endpoint said of its load on an answer."""

    running: int
    waiting: int
    slots: int


class AnswerHead(typing.NamedTuple):
    """Hold the status and headers of an endpoint's answer."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    # Set when the endpoint states that it did not run the request.
    not_run: bool
    misdirected: bool
    load: RunnerLoad | None


class Rejection(typing.NamedTuple):
    """Hold a final answer of the gateway's own."""

    status: int
    reason: str
    retry_after_s: float | None = None
    # Inputs of the decision, for the log.
    detail: str = ''


class Ending(enum.Enum):
    """Tell how an attempt at an endpoint ended."""

    ANSWERED = 'answered'
    FAILED = 'failed'
    REFUSED = 'refused'
    UNREACHABLE = 'unreachable'
    MISDIRECTED = 'misdirected'
    BROKEN = 'broken'
    SILENT = 'silent'
    ABANDONED = 'abandoned'

"""Define the data types of the gateway."""

from __future__ import annotations

import enum
import math
import typing

LOWEST_TIER = 9


class Destination(typing.NamedTuple):
    """Reference a service and its weight in a route."""

    service: str
    weight: float


class Route(typing.NamedTuple):
    """Define the destinations and the delivery policy of requests.

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
        """Return whether a request may run at more than one endpoint."""
        return self.idempotent or self.resumable


class Quota(typing.NamedTuple):
    """Limit a workspace to units per second and a burst of units."""

    per_s: float
    burst: float
    # Units charged for a request that states no token counts.
    plain_units: float


class Workspace(typing.NamedTuple):
    """Describe a customer; its tier takes precedence over the route's."""

    name: str
    keys: tuple[str, ...]
    tier: int | None
    quota: Quota | None


class Service(typing.NamedTuple):
    """Describe a service; zero means that a value is not set."""

    name: str
    max_connections: int
    slots: int
    kv_tokens: int
    is_engine: bool


class Limits(typing.NamedTuple):
    """Limit the size and timing of a caller's requests."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Configuration(typing.NamedTuple):
    """Store one version of the operators' declarations."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    workspaces: tuple[Workspace, ...]
    limits: Limits


class Runner(typing.NamedTuple):
    """Describe one incarnation of an endpoint."""

    id: str
    # Unix time; distinguishes incarnations with the same id.
    started_at_ms: int
    service: str
    address: str
    failure_domain: str
    slots: int
    leaving: bool
    # Version of the endpoint's software. What two versions write of a stream
    # does not fit together.
    version: str

    @property
    def incarnation(self):
        """Return what distinguishes this start from all others."""
        return self.id, self.started_at_ms


class PromptPart(typing.NamedTuple):
    """Identify a part of a prompt and its length in tokens."""

    id: str
    tokens: int


class Request(typing.NamedTuple):
    """Store one request of a caller.

    attempt is the id that the caller set, or a generated one. The remaining
    time is in seconds; None means no deadline.
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
    # Attempt that brought the first event of the stream that the caller takes
    # up again, as the caller states it.
    resumes: str | None = None
    # The caller's estimate of the output tokens; 0 without one.
    output_hint: int = 0

    @property
    def expected_output(self):
        """Return the expected output tokens; 0 if nothing is known."""
        if not self.output_hint:
            return self.output_tokens
        if not self.output_tokens:
            return self.output_hint
        return min(self.output_hint, self.output_tokens)


class RunnerLoad(typing.NamedTuple):
    """Store the load that an endpoint reported with a response."""

    running: int
    waiting: int
    slots: int
    # Time that work takes on the endpoint's machine at this moment, in percent
    # of the usual; None if the endpoint does not report it.
    cost_percent: int | None = None


class ResponseHead(typing.NamedTuple):
    """Store the status and headers of an endpoint's response."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    # True if the endpoint reports that it did not run the request.
    not_run: bool
    misdirected: bool
    load: RunnerLoad | None
    # True if the response names the attempt that it belongs to.
    named: bool = True
    # True if the response bears the signature of the endpoint that ran it.
    signed: bool = True
    # True if the endpoint is about to stop.
    leaving: bool = False
    # True if the body has no length and ends when the connection closes.
    ends_with_connection: bool = False
    content_type: bytes | None = None
    # Time for which the endpoint asks this gateway to send nothing more.
    retry_after_s: float | None = None
    # Requests per second that the endpoint takes from all gateways together:
    # infinity if it names no limit, None if it names one that is unreadable.
    limit_per_s: float | None = math.inf
    # True if the endpoint reports its load in figures that cannot be read.
    load_unreadable: bool = False


class Rejection(typing.NamedTuple):
    """Store a final response that the gateway itself generates."""

    status: int
    reason: str
    retry_after_s: float | None = None
    # Inputs of the decision, for the log.
    detail: str = ''


# An endpoint that crashed is back with its version in about a second.
VERSION_GONE = Rejection(
    503, 'no endpoint has the version that began the stream', 1.0
)
# Gateways that did not respond may know the stream a moment later.
STREAM_UNKNOWN = Rejection(
    503, 'the version that began the stream is not known', 0.5
)
# Short, since another gateway may be able to serve the caller.
OTHER_GATEWAY_RETRY_S = 0.1
STOPPING = Rejection(503, 'the gateway is stopping', OTHER_GATEWAY_RETRY_S)
NO_MEMORY = Rejection(
    503, 'no memory for the body of the request', OTHER_GATEWAY_RETRY_S
)
STOPPED = Rejection(
    502, 'the gateway stopped before the response was complete'
)
# Short, since capacity may become free at any time.
TIMEOUT_WHILE_QUEUED = Rejection(503, 'timeout while queued', 0.1)
TIMEOUT_AT_ENDPOINT = Rejection(504, 'timeout at the endpoint')


class Ending(enum.Enum):
    """Enumerate how an attempt at an endpoint can end."""

    ANSWERED = 'answered'
    FAILED = 'failed'
    REFUSED = 'refused'
    UNREACHABLE = 'unreachable'
    MISDIRECTED = 'misdirected'
    BROKEN = 'broken'
    SILENT = 'silent'
    ABANDONED = 'abandoned'

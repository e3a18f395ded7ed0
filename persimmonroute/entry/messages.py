"""Define the input events and output effects of an entry."""

from __future__ import annotations

import enum
import typing

from persimmonroute import draining
from persimmonroute.generated import exchange_pb2 as pb
from persimmonroute import store


class Outcome(enum.Enum):
    """List the outcomes of a request that are reported to its caller."""

    COMPLETED = 'completed'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class Call(typing.NamedTuple):
    """Store one request as received from a caller."""

    request_id: str
    workspace: str
    class_name: str
    key: str | None
    method: str
    path: str
    body: bytes
    stream: bool
    prompt_tokens: int
    output_tokens: int
    prefix_blocks: tuple[int, ...]
    fingerprint: str


class Instance(typing.NamedTuple):
    """Describe one endpoint instance listed by the platform."""

    name: str
    service: str
    region: str
    failure_domain: str
    sidecar: str
    leaving: bool


class CallArrived(typing.NamedTuple):
    """Report a new request."""

    call: Call


class CallerDisconnected(typing.NamedTuple):
    """Report that a caller closed its connection."""

    request_id: str


class LinkOpened(typing.NamedTuple):
    """Report that a connection to a sidecar opened."""

    sidecar: str
    incarnation: str


class LinkClosed(typing.NamedTuple):
    """Report the loss of a connection to a sidecar."""

    sidecar: str


class EnvelopeArrived(typing.NamedTuple):
    """Report an envelope received from a sidecar."""

    sidecar: str
    envelope: pb.Envelope


class InstancesListed(typing.NamedTuple):
    """Report the platform's list of endpoint instances."""

    instances: tuple[Instance, ...]


class StoreReplied(typing.NamedTuple):
    """Report the reply to a table service call."""

    token: str
    reply: store.StoreReply


class ConfigurationReceived(typing.NamedTuple):
    """Report a received configuration revision."""

    revision: int
    document: bytes


class TimePassed(typing.NamedTuple):
    """Report that a timer may be due."""


class StopRequested(typing.NamedTuple):
    """Report that a graceful shutdown began."""

    drain: draining.Drain


class StopExpired(typing.NamedTuple):
    """Report that a graceful shutdown is about to cut off what is open."""


class SendFrame(typing.NamedTuple):
    """Send a frame to a sidecar."""

    sidecar: str
    frame: pb.Frame


class OpenLink(typing.NamedTuple):
    """Open and maintain a connection to a sidecar."""

    sidecar: str
    address: str


class CloseLink(typing.NamedTuple):
    """Close the connection to a sidecar."""

    sidecar: str


class ResponseData(typing.NamedTuple):
    """Forward a chunk of the response to the caller.

    streamed: whether it belongs to an event stream; if not, the status and
    the content type are known only when the response has ended.
    """

    request_id: str
    data: bytes
    streamed: bool = True


class ResponseEnded(typing.NamedTuple):
    """End the response to the caller with its final outcome."""

    request_id: str
    outcome: Outcome
    status: int
    content_type: str = ''
    retry_after_s: float | None = None
    problem: str = ''


class Transact(typing.NamedTuple):
    """Write rows in one transaction."""

    token: str
    writes: tuple[store.Write, ...]

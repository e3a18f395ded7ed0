"""Define the events that an entry handles and the effects it asks for."""

from __future__ import annotations

import enum
import typing

from persimmonroute.generated import exchange_pb2 as pb
from persimmonroute import store


class Outcome(enum.Enum):
    """Tell the caller what became of the request."""

    COMPLETED = 'completed'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class Call(typing.NamedTuple):
    """Hold one request as it came from a caller."""

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
    """Describe one endpoint instance on the platform's list."""

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
    """Report that a caller closed the connection."""

    request_id: str


class LinkOpened(typing.NamedTuple):
    """Report a connection to a sidecar."""

    sidecar: str
    incarnation: str


class LinkClosed(typing.NamedTuple):
    """Report the loss of a connection to a sidecar."""

    sidecar: str


class EnvelopeArrived(typing.NamedTuple):
    """Report one message of a sidecar."""

    sidecar: str
    envelope: pb.Envelope


class InstancesListed(typing.NamedTuple):
    """Report the platform's list of endpoint instances."""

    instances: tuple[Instance, ...]


class StoreReplied(typing.NamedTuple):
    """Report the end of a call to the table service."""

    token: str
    reply: store.StoreReply


class ConfigurationReceived(typing.NamedTuple):
    """Report a configuration document."""

    revision: int
    document: bytes


class TimePassed(typing.NamedTuple):
    """Report that time has passed."""


class StopRequested(typing.NamedTuple):
    """Report that a planned stop began."""


class SendFrame(typing.NamedTuple):
    """Send a frame to a sidecar."""

    sidecar: str
    frame: pb.Frame


class OpenLink(typing.NamedTuple):
    """Keep a connection to a sidecar."""

    sidecar: str
    address: str


class CloseLink(typing.NamedTuple):
    """Drop the connection to a sidecar."""

    sidecar: str


class AnswerData(typing.NamedTuple):
    """Pass a part of the answer to the caller."""

    request_id: str
    data: bytes


class AnswerEnded(typing.NamedTuple):
    """Give the final answer to the caller."""

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

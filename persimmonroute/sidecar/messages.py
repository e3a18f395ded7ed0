"""Define the events and effects of the sidecar core."""

from __future__ import annotations

import typing

from persimmonroute.generated import exchange_pb2 as pb


class LinkOpened(typing.NamedTuple):
    """Report that an entry connected."""

    link: str


class LinkClosed(typing.NamedTuple):
    """Report that the connection of an entry closed."""

    link: str


class EnvelopeArrived(typing.NamedTuple):
    """Report an envelope received from an entry."""

    link: str
    envelope: pb.Envelope


class EndpointData(typing.NamedTuple):
    """Report a chunk of a response; tokens is 0 for plain services.

    streamed: whether the response is an event stream without an error.
    """

    attempt_id: str
    data: bytes
    tokens: int
    streamed: bool = True


class EndpointEnded(typing.NamedTuple):
    """Report that a response is complete."""

    attempt_id: str
    status: int
    content_type: str
    cached_tokens: int = 0


class EndpointFailed(typing.NamedTuple):
    """Report a call that failed.

    sent: whether the endpoint may have received the request.
    resumable: whether the rest of the response may be read as a stream.
    """

    attempt_id: str
    sent: bool
    problem: str
    resumable: bool = True


class EndpointNamedLimit(typing.NamedTuple):
    """Report the limit that the response to an attempt names.

    It is in requests per second: infinity for none, None if unreadable.
    """

    attempt_id: str
    per_s: float | None


class EndpointProbed(typing.NamedTuple):
    """Report the result of a health check."""

    up: bool


class StreamsListed(typing.NamedTuple):
    """Report the streams that the engine retained for a restarted sidecar.

    None if the engine did not list them.
    """

    attempt_ids: frozenset[str] | None


class TimePassed(typing.NamedTuple):
    """Report that timers may be due."""


class StopRequested(typing.NamedTuple):
    """Report that a graceful shutdown began."""


class StopExpired(typing.NamedTuple):
    """Report that the process ends soon, whatever still runs."""


class SendFrame(typing.NamedTuple):
    """Send a frame to an entry."""

    link: str
    frame: pb.Frame


class StartCall(typing.NamedTuple):
    """Send a request to the endpoint."""

    attempt_id: str
    offer: pb.Offer


class ResumeCall(typing.NamedTuple):
    """Resume a stream retained by the engine at a byte offset."""

    attempt_id: str
    offset: int


class CancelCall(typing.NamedTuple):
    """Cancel a request at the endpoint."""

    attempt_id: str


class ReportLoad(typing.NamedTuple):
    """Send a load report to all entries without delay."""

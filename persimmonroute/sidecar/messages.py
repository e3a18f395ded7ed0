"""Define the events that a sidecar handles and the effects it asks for."""

from __future__ import annotations

import typing

from persimmonroute.generated import exchange_pb2 as pb


class LinkOpened(typing.NamedTuple):
    """Report a connection of an entry."""

    link: str


class LinkClosed(typing.NamedTuple):
    """Report the loss of a connection of an entry."""

    link: str


class EnvelopeArrived(typing.NamedTuple):
    """Report one message of an entry."""

    link: str
    envelope: pb.Envelope


class EndpointData(typing.NamedTuple):
    """Report a part of an answer; tokens is 0 for plain services."""

    attempt_id: str
    data: bytes
    tokens: int


class EndpointEnded(typing.NamedTuple):
    """Report the end of a whole answer."""

    attempt_id: str
    status: int
    content_type: str
    cached_tokens: int = 0


class EndpointFailed(typing.NamedTuple):
    """Report a call that broke off.

    sent tells whether the endpoint may have seen the request.
    """

    attempt_id: str
    sent: bool
    problem: str


class EndpointProbed(typing.NamedTuple):
    """Report whether the endpoint answers."""

    up: bool


class StreamsListed(typing.NamedTuple):
    """Report the streams that the engine has kept for this sidecar."""

    attempt_ids: frozenset[str]


class TimePassed(typing.NamedTuple):
    """Report that time has passed."""


class StopRequested(typing.NamedTuple):
    """Report that a planned stop began."""


class SendFrame(typing.NamedTuple):
    """Send a frame to an entry."""

    link: str
    frame: pb.Frame


class StartCall(typing.NamedTuple):
    """Send the request to the endpoint."""

    attempt_id: str
    offer: pb.Offer


class ResumeCall(typing.NamedTuple):
    """Read on a stream that the engine keeps, from a byte offset."""

    attempt_id: str
    offset: int


class CancelCall(typing.NamedTuple):
    """Cancel a request at the endpoint."""

    attempt_id: str


class ReportLoad(typing.NamedTuple):
    """Report the load to all entries at once."""

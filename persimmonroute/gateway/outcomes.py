"""Define how attempts at endpoints end."""

from __future__ import annotations

import typing

from persimmonroute.gateway import model
from persimmonroute.gateway.model import Ending
from persimmonroute.gateway import places


class Relayed(typing.NamedTuple):
    """Store the status of a response that has arrived completely."""

    status: int
    # True for a stream, which may be taken up again until the caller has it.
    is_stream: bool = False


class Failed(typing.NamedTuple):
    """Store how an attempt failed and whether it may have run."""

    ending: Ending
    may_have_run: bool
    problem: str
    # True if the endpoint may just have closed an idle connection.
    crossed_close: bool = False


class Replaced(typing.NamedTuple):
    """Store the place that is used instead of a silent endpoint."""

    place: places.Place
    problem: str


class KeptResponse(typing.NamedTuple):
    """Store an error response of an endpoint, for want of a better one."""

    head: model.ResponseHead
    body: bytes

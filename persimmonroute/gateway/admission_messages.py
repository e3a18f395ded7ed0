"""Define the messages between gateways and the hosts of endpoint groups."""

from __future__ import annotations

import typing

from persimmonroute.gateway import endpoint_limits
from persimmonroute.gateway import model
from persimmonroute.gateway import rollout_control
from persimmonroute.gateway import rollout_evidence


class LoadReport(typing.NamedTuple):
    """Tell the host of a group what an endpoint reported of its load."""

    runner_id: str
    started_at_ms: int
    age_s: float
    load: model.RunnerLoad


class Offer(typing.NamedTuple):
    """Ask the host of a group for an endpoint.

    Times are in seconds from the moment of sending.
    """

    # Unique at the gateway until it restarts.
    offer_id: int
    service: str
    # Region of the group that is asked.
    region: str
    route: str
    tier: int
    objective_s: float
    # Until the latency objective; negative for a request that is late.
    due_s: float
    remaining_s: float
    # Since the caller's first attempt, before a rejection.
    age_s: float
    prompt: tuple[model.PromptPart, ...]
    # Endpoints that this request must not or cannot be sent to.
    excluded: tuple[str, ...]
    # True if the host of another group passed the request on.
    redirected: bool
    # What the gateway knows of the limits of the service's endpoints.
    limits: tuple[endpoint_limits.LimitReport, ...] = ()
    # Software version that began the stream, or None.
    version: str | None = None
    # Hash that retries of one caller have in common; 0 if it is not known.
    caller: int = 0
    # Hash of the workspace; 0 for none.
    workspace: int = 0
    # Most tokens that the response may have; 0 if it is not known.
    output_tokens: int = 0
    # Tokens of the whole prompt; 0 if they are not known.
    prompt_tokens: int = 0
    # What endpoints of the group told the gateway since its last message.
    loads: tuple[LoadReport, ...] = ()
    # Tokens that the response is expected to have; 0 if it is not known.
    expected_output: int = 0


class Grant(typing.NamedTuple):
    """Allow the gateway to send a request to an endpoint at once."""

    offer_id: int
    runner_id: str
    started_at_ms: int


class Queued(typing.NamedTuple):
    """Confirm that an offer waits for an endpoint."""

    offer_id: int


class Refusal(typing.NamedTuple):
    """Reject an offered request, which has not run."""

    offer_id: int
    reason: str
    # Expected wait; None if there is no usable endpoint.
    wait_s: float | None


class Redirect(typing.NamedTuple):
    """Ask the gateway to offer the request to a group in another region."""

    offer_id: int
    region: str


class NotHost(typing.NamedTuple):
    """Report that the addressed gateway is stopping and hosts no group."""

    offer_id: int


Reply = Grant | Queued | Refusal | Redirect | NotHost


class OfferEnd(typing.NamedTuple):
    """Withdraw an offer, or report how the granted attempt ended."""

    offer_id: int
    ending: model.Ending
    # Time from the sending to the first byte of the response, if there was
    # one.
    first_byte_s: float | None = None
    # The only endpoint that is given up, of a grant that is returned; empty
    # if the request occupies none any more.
    runner_id: str = ''
    # What the endpoint said of its load with the response, if it did.
    load: model.RunnerLoad | None = None


class Lease(typing.NamedTuple):
    """Name the endpoint that works on an offered request."""

    offer_id: int
    runner_id: str


class LeaseList(typing.NamedTuple):
    """List all requests that a gateway has in flight in one group."""

    service: str
    region: str
    leases: tuple[Lease, ...]
    # As in an offer.
    loads: tuple[LoadReport, ...] = ()


class GroupSummary(typing.NamedTuple):
    """Report the expected wait in a group to the hosts of other groups."""

    service: str
    region: str
    # Expected wait in seconds by tier; a tier that is not listed waits as
    # long as the next higher one that is.
    wait_s: dict[int, float]


class StreamBegun(typing.NamedTuple):
    """Ask a keeper to remember which version began a stream."""

    key: int
    service: str
    version: str


class StreamQuestion(typing.NamedTuple):
    """Ask which version began a stream.

    service is the only one that it can have begun at, or empty.
    """

    key: int
    service: str


class StreamReply(typing.NamedTuple):
    """Tell which version began a stream; empty if that is not known."""

    key: int
    service: str
    version: str
    # Of a stream that is not known: the versions of the service seen lately,
    # and whether none can be missing.
    versions: tuple[str, ...] = ()
    complete: bool = False


class RolloutEvidence(typing.NamedTuple):
    """Report to the controller of a rollout what a host granted and got."""

    service: str
    # Version of the order's row.
    revision: int
    # Distinguishes the starts of the sender, whose counts start again.
    incarnation: int
    number: int
    # Number of the report up to which the addressee has everything.
    base: int
    # Present slice of the sender's clock.
    slice: int
    # Regions whose groups the sender hosts.
    regions: tuple[str, ...]
    # Since the order: granted requests, and those for the target.
    requests: int
    exposed: int
    # Requests in flight at the other versions.
    others_in_flight: int
    # Phase that the sender follows.
    phase: str
    # Totals that changed since the base. Keys name the target, or no version
    # for all others.
    tallies: dict[rollout_evidence.Key, rollout_evidence.Tally]


class RolloutDecision(typing.NamedTuple):
    """Tell a host the plan of a rollout, in answer to its evidence."""

    plan: rollout_control.RolloutPlan
    # Incarnation and number of the report that is answered, and the number up
    # to which the controller has everything.
    incarnation: int
    number: int
    confirmed: int


StreamMessage = StreamBegun | StreamQuestion | StreamReply
RolloutMessage = RolloutEvidence | RolloutDecision
Message = (
    StreamMessage
    | RolloutMessage
    | Offer
    | Reply
    | OfferEnd
    | LeaseList
    | GroupSummary
)

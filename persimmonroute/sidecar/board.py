"""Define the state shared by a sidecar's controllers."""

from __future__ import annotations

import collections
import itertools
import typing

from persimmonroute import blackboard
from persimmonroute.generated import exchange_pb2 as pb
from persimmonroute import pacing
from persimmonroute.sidecar import messages
from persimmonroute.sidecar import waiting

MAX_TOMBSTONES = 20_000
MAX_STARTED_IDS = 100_000
LOWEST_TIER = 4


class Attempt:
    """Track the progress of one attempt at this endpoint."""

    _sequence = itertools.count()

    def __init__(self, attempt_id, offer, owner, now):
        self.attempt_id = attempt_id
        self.offer = offer
        # Link of the entry that may grant the start.
        self.owner = owner
        # A held offer is queued once its idempotency key is claimed.
        self.state = 'held' if offer.held else 'queued'
        self.sequence = next(self._sequence)
        self.arrived_at = now
        self.deadline = now + offer.patience_s
        self.prefill_tokens = offer.prompt_tokens
        self.subscribers = {owner} if owner else set()
        self.response = bytearray()
        self.streamed = True
        self.started_at = None
        self.first_token_at = None
        self.last_token_at = None
        # Offset from which the response was last resumed.
        self.resumed_from: int | None = None
        self.cancelled = False
        self.crash_recorded = False
        self.finished: pb.Finished | None = None

    @property
    def waiting(self):
        """Return whether the attempt has not started."""
        return self.state in ('held', 'queued', 'ready')

    @property
    def resumed(self):
        """Return whether the response was read again."""
        return self.resumed_from is not None

    @property
    def advanced(self):
        """Return whether the response grew since it was last resumed."""
        return not self.resumed or len(self.response) > self.resumed_from

    @property
    def tier(self):
        """Return the tier; 1 is the highest."""
        return self.offer.tier


class EndpointCrash(typing.NamedTuple):
    """Store the prefix blocks of what may have crashed the endpoint."""

    id: int
    at: float
    # Position in its prompt of each block.
    blocks: dict[int, int]


class SidecarBoard(blackboard.Blackboard):
    """Store the state of a sidecar and its pending effects."""

    def __init__(self, name, incarnation, service):
        super().__init__()
        self.name = name
        self.incarnation = incarnation
        self.service = service
        self.revision = 0
        self.document = b''
        self.attempts: dict[str, Attempt] = {}
        self.queue = waiting.WaitingQueue()
        # Attempts that are ready or started.
        self.running: dict[str, Attempt] = {}
        self.tombstones = collections.OrderedDict()
        # Kept after the responses of the attempts are discarded.
        self.started_ids = collections.OrderedDict()
        # Set once started ids were evicted: any unknown attempt may have run.
        self.started_ids_dropped = False
        # None if the engine did not list them.
        self.engine_streams: frozenset[str] | None = frozenset()
        self.links: set[str] = set()
        self.admitted_tier = LOWEST_TIER
        self.leaving = False
        # Set at the end of a stop, when nothing is sent to the endpoint.
        self.stop_expired = False
        self.endpoint_up = True
        # Requests per second that the endpoint says it takes.
        self.rate_limit = pacing.RateLimit()
        # Recent crashes of the endpoint, oldest first.
        self.crashes: list[EndpointCrash] = []
        self.suspects: dict[str, float] = {}
        self.refused_fingerprints: dict[str, float] = {}

    def send(self, link, attempt_id, **body):
        """Send a frame about an attempt to an entry, if its link is open."""
        if link in self.links:
            frame = pb.Frame(request_id=attempt_id, **body)
            self._effects.append(messages.SendFrame(link, frame))

    def cancel(self, attempt):
        """Cancel an attempt at the endpoint; further calls do nothing."""
        if not attempt.cancelled:
            attempt.cancelled = True
            self._effects.append(messages.CancelCall(attempt.attempt_id))

    def record_started(self, attempt_id):
        """Record that an attempt was started."""
        self.started_ids[attempt_id] = None
        while len(self.started_ids) > MAX_STARTED_IDS:
            self.started_ids.popitem(last=False)
            self.started_ids_dropped = True

    def add_tombstone(self, attempt_id):
        """Record that an attempt never starts here."""
        self.tombstones[attempt_id] = None
        while len(self.tombstones) > MAX_TOMBSTONES:
            self.tombstones.popitem(last=False)

"""Hold the state that an entry's controllers share."""

from __future__ import annotations

import typing

from persimmonroute import blackboard
from persimmonroute.config import declarations
from persimmonroute.entry import messages
from persimmonroute.entry import quarantine
from persimmonroute.generated import exchange_pb2 as pb


class Locality(typing.NamedTuple):
    """Name where a process runs."""

    region: str
    failure_domain: str


class SidecarView:
    """Hold what an entry knows of one sidecar."""

    def __init__(self, instance):
        self.instance = instance
        self.linked = False
        self.incarnation = ''
        self.load = pb.Load()
        # Plain copies of what each routing decision reads.
        self.wait_s: tuple[float, ...] = ()
        self.prefill_tokens_per_s = 0.0
        self.admitted_tier = declarations.TIERS
        self.revision = 0
        # Revision last sent over the present connection.
        self.pushed_revision = 0
        self.outstanding_total_s = 0.0
        # Seconds of work offered that the load does not show yet.
        self._outstanding_s = {}

    @property
    def usable(self):
        """Tell whether new work may go to the sidecar."""
        return (
            self.linked
            and not self.instance.leaving
            and not self.load.leaving
            and not self.load.endpoint_down
        )

    def update_load(self, load):
        """Replace the load by a newer report."""
        self.load = load
        self.wait_s = tuple(load.wait_s)
        self.prefill_tokens_per_s = load.prefill_tokens_per_s
        self.admitted_tier = load.admitted_tier or declarations.TIERS

    def add_outstanding(self, request_id, seconds):
        """Count work that was offered and is not answered yet."""
        self._outstanding_s[request_id] = seconds
        self.outstanding_total_s += seconds

    def settle_outstanding(self, request_id):
        """Stop counting work whose offer was answered."""
        self.outstanding_total_s -= self._outstanding_s.pop(request_id, 0.0)

    def clear_outstanding(self):
        """Stop counting all offered work."""
        self._outstanding_s.clear()
        self.outstanding_total_s = 0.0


class CallRecord:
    """Hold the progress of one request."""

    def __init__(self, call, work_class, now):
        self.call = call
        self.work_class = work_class
        self.state = 'new'
        self.arrived_at = now
        self.sidecar = None
        self.incarnation = ''
        # Id of the offer, own or another's, whose answer is awaited.
        self.attempt = ''
        self.attached = False
        self.offers = 0
        # Sidecars that refused for overload.
        self.refused_by = set()
        # Sidecars that were out of reach during this request.
        self.excluded = set()
        self.received_bytes = 0
        # End of patience in the present state, in seconds.
        self.deadline = 0.0

    @property
    def request_id(self):
        """Return the id of the request."""
        return self.call.request_id


class EntryBoard(blackboard.Blackboard):
    """Hold the state of an entry and the effects it asks for."""

    def __init__(self, name, locality):
        super().__init__()
        self.name = name
        self.locality = locality
        self.declarations = declarations.EMPTY
        self.revision = 0
        self.document = b''
        self.sidecars: dict[str, SidecarView] = {}
        self.calls: dict[str, CallRecord] = {}
        # Requests that await the answer of an attempt.
        self._followers: dict[str, list[CallRecord]] = {}
        self.quarantine = quarantine.QuarantineView()
        self.stopping = False

    def follow(self, record, attempt):
        """Let a request await the answer of an attempt."""
        self.unfollow(record)
        record.attempt = attempt
        self._followers.setdefault(attempt, []).append(record)

    def unfollow(self, record):
        """Let a request await no answer."""
        followers = self._followers.get(record.attempt, [])
        if record in followers:
            followers.remove(record)
        if not followers:
            self._followers.pop(record.attempt, None)
        record.attempt = ''

    def followers(self, attempt):
        """Return the requests that await the answer of an attempt."""
        return list(self._followers.get(attempt, ()))

    def send(self, record, **body):
        """Send a frame about a request's own attempt to its sidecar."""
        # An attempt of another request is not this one's to direct.
        if record.attempt and not record.attached:
            self.send_attempt(record, **body)

    def send_attempt(self, record, **body):
        """Send a frame about the attempt that a request awaits."""
        frame = pb.Frame(request_id=record.attempt, **body)
        self._effects.append(messages.SendFrame(record.sidecar, frame))

    def set_deadline(self, record, kind, at):
        """Set the end of patience of a request's present state."""
        record.deadline = at
        self.timers.schedule(at, kind, record.request_id)

    def settle_outstanding(self, record):
        """Stop counting a request's offer as unanswered work."""
        view = self.sidecars.get(record.sidecar)
        if view is not None:
            view.settle_outstanding(record.request_id)

    def candidates(self, service):
        """Return the sidecars of a service that take new work."""
        return [
            view
            for view in self.sidecars.values()
            if view.instance.service == service and view.usable
        ]

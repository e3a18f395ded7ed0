"""Define the state shared by the controllers of an entry."""

from __future__ import annotations

import typing

from persimmonroute import blackboard
from persimmonroute import caller_account
from persimmonroute.config import declarations
from persimmonroute import draining
from persimmonroute import durations
from persimmonroute.entry import messages
from persimmonroute.entry import quarantine
from persimmonroute.generated import exchange_pb2 as pb


class Locality(typing.NamedTuple):
    """Store the region and failure domain of a process."""

    region: str
    failure_domain: str


class SidecarView:
    """Store one sidecar's connection state and last load report."""

    def __init__(self, instance):
        self.instance = instance
        self.linked = False
        # Whether the link is to an address that is no longer listed.
        self.moved = False
        self.incarnation = ''
        self.load = pb.Load()
        # Plain copies of load fields, since each routing decision reads them.
        self.wait_s: tuple[float, ...] = ()
        self.prefill_tokens_per_s = 0.0
        self.admitted_tier = declarations.TIERS
        self.revision = 0
        # Revision last sent over the current connection.
        self.pushed_revision = 0
        self.outstanding_total_s = 0.0
        # Seconds of offered work not yet in the load report, by request.
        self._outstanding_s = {}

    @property
    def usable(self):
        """Return whether the sidecar can receive new requests."""
        return (
            self.linked
            and not self.instance.leaving
            and not self.load.leaving
            and not self.load.endpoint_down
        )

    def update_load(self, load):
        """Store a newer load report."""
        self.load = load
        self.wait_s = tuple(load.wait_s)
        self.prefill_tokens_per_s = load.prefill_tokens_per_s
        self.admitted_tier = load.admitted_tier or declarations.TIERS

    def add_outstanding(self, request_id, seconds):
        """Add the seconds of work in an offer without a reply."""
        self._outstanding_s[request_id] = seconds
        self.outstanding_total_s += seconds

    def remove_outstanding(self, request_id):
        """Remove the work of an offer that got a reply."""
        self.outstanding_total_s -= self._outstanding_s.pop(request_id, 0.0)

    def clear_outstanding(self):
        """Remove the work of all offers."""
        self._outstanding_s.clear()
        self.outstanding_total_s = 0.0


class CallRecord:
    """Track the progress of one request."""

    def __init__(self, call, work_class, now):
        self.call = call
        self.work_class = work_class
        self.state = 'new'
        self.arrived_at = now
        self.sidecar = None
        self.incarnation = ''
        # Id of the awaited attempt: of its own offer or of another request.
        self.attempt = ''
        self.attached = False
        self.offers = 0
        # Sidecars that refused the request as overloaded.
        self.refused_by = set()
        # Sidecars that disconnected or timed out during this request.
        self.excluded = set()
        self.received_bytes = 0
        # When the request was granted its start, and when its response began;
        # None before.
        self.granted_at = None
        self.first_byte_at = None
        # Deadline of the current state, in seconds.
        self.deadline = 0.0

    @property
    def request_id(self):
        """Return the id of the request."""
        return self.call.request_id


class EntryBoard(blackboard.Blackboard):
    """Store the state of an entry and its pending effects."""

    def __init__(self, name, locality):
        super().__init__()
        self.name = name
        self.locality = locality
        self.declarations = declarations.EMPTY
        self.revision = 0
        self.document = b''
        self.sidecars: dict[str, SidecarView] = {}
        self.calls: dict[str, CallRecord] = {}
        # Requests that await the response of an attempt, by attempt id.
        self._subscribers: dict[str, list[CallRecord]] = {}
        self.quarantine = quarantine.QuarantineView()
        # How long calls of each class take from their grant on.
        self.durations = durations.Durations()
        # How the entry stops; None while it serves.
        self.drain: draining.Drain | None = None
        # Requests whose bodies have not arrived yet.
        self.open_requests = draining.OpenRequests()
        # What callers make the entry hold.
        self.caller_account = caller_account.CallerAccount()

    @property
    def stopping(self):
        """Return whether the entry is stopping."""
        return self.drain is not None

    def subscribe(self, record, attempt):
        """Subscribe a request to the response of an attempt."""
        self.unsubscribe(record)
        record.attempt = attempt
        self._subscribers.setdefault(attempt, []).append(record)

    def unsubscribe(self, record):
        """Remove the subscription of a request."""
        subscribers = self._subscribers.get(record.attempt, [])
        if record in subscribers:
            subscribers.remove(record)
        if not subscribers:
            self._subscribers.pop(record.attempt, None)
        record.attempt = ''

    def subscribers(self, attempt):
        """Return the requests subscribed to an attempt."""
        return list(self._subscribers.get(attempt, ()))

    def send(self, record, **body):
        """Send a frame about a request's attempt, unless it is attached."""
        # An attached request must not control another request's attempt.
        if record.attempt and not record.attached:
            self.send_attempt(record, **body)

    def send_attempt(self, record, **body):
        """Send a frame about the attempt that a request is subscribed to."""
        frame = pb.Frame(request_id=record.attempt, **body)
        self._effects.append(messages.SendFrame(record.sidecar, frame))

    def set_deadline(self, record, kind, now, limit_s):
        """Set the deadline of a request's current state."""
        record.deadline = now + limit_s
        self.timers.schedule_limit(
            record.deadline, limit_s, kind, record.request_id
        )

    def remove_outstanding(self, record):
        """Remove a request's offer from the outstanding work."""
        view = self.sidecars.get(record.sidecar)
        if view is not None:
            view.remove_outstanding(record.request_id)

    def candidates(self, service):
        """Return the usable sidecars of a service."""
        return [
            view
            for view in self.sidecars.values()
            if view.instance.service == service and view.usable
        ]

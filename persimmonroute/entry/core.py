"""Route events to the controllers of an entry."""

from __future__ import annotations

from persimmonroute.entry import claims
from persimmonroute.entry import configuration
from persimmonroute.entry import dispatch
from persimmonroute.entry import endings
from persimmonroute.entry import membership
from persimmonroute.entry import messages
from persimmonroute.entry import offering

EXPIRY_INTERVAL_S = 10.0


class EntryCore:
    """Map each event and its time to effects, without performing I/O."""

    def __init__(self, board, policy, verifier):
        self._board = board
        self._verifies_signatures = verifier.checks_signatures
        self._next_expiry_at = 0.0
        self._claims = claims.ClaimManager(board)
        finalizer = endings.CallFinalizer(board, self._claims)
        self._offer_sender = offering.OfferSender(
            board, policy, self._claims, finalizer
        )
        self._dispatcher = dispatch.Dispatcher(
            board, self._claims, self._offer_sender, finalizer
        )
        self._claims.dispatcher = self._dispatcher
        self._membership = membership.MembershipTracker(board)
        self._configuration = configuration.ConfigurationManager(
            board, verifier
        )
        self._handlers = {
            messages.CallArrived: [self._dispatcher.on_call],
            messages.CallerDisconnected: [
                self._dispatcher.on_caller_disconnected
            ],
            messages.LinkOpened: [
                self._membership.on_link_opened,
                self._configuration.on_link_opened,
                self._dispatcher.on_link_opened,
            ],
            messages.LinkClosed: [
                self._membership.on_link_closed,
                self._dispatcher.on_link_closed,
            ],
            messages.EnvelopeArrived: [self._on_envelope],
            messages.InstancesListed: [self._membership.on_instances],
            messages.StoreReplied: [self._claims.on_reply],
            messages.ConfigurationReceived: [self._configuration.on_received],
            messages.TimePassed: [self._on_time],
            messages.StopRequested: [self._dispatcher.on_stop],
            messages.StopExpired: [self._dispatcher.on_stop_expired],
        }

    @property
    def board(self):
        """Return the state of the entry."""
        return self._board

    @property
    def next_timer_at(self):
        """Return when the next timer is due, in seconds, or None."""
        return self._board.timers.next_at

    @property
    def verifies_signatures(self):
        """Return whether only signed revisions are accepted."""
        return self._verifies_signatures

    def validate_call(self, call):
        """Return the WorkClass of a call, or raise BadRequestError."""
        return self._dispatcher.validate_call(call)

    def handle(self, event, now):
        """Process an event and return its effects; now is in seconds."""
        for timer in self._board.timers.pop_due(now):
            self._claims.on_timer(timer, now)
            self._dispatcher.on_timer(timer, now)
            self._offer_sender.on_timer(timer, now)
        for handler in self._handlers[type(event)]:
            handler(event, now)
        return self._board.take_effects()

    def _on_envelope(self, event, now):
        self._membership.on_envelope(event, now)
        self._configuration.on_envelope(event, now)
        for frame in event.envelope.frames:
            self._configuration.on_frame(event.sidecar, frame, now)
            self._dispatcher.on_frame(event.sidecar, frame, now)

    def _on_time(self, event, now):
        if now >= self._next_expiry_at:
            self._next_expiry_at = now + EXPIRY_INTERVAL_S
            self._board.quarantine.expire(now)

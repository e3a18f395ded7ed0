"""Dispatch events to the controllers of a sidecar."""

from __future__ import annotations

from persimmonroute.config import declarations
from persimmonroute.generated import exchange_pb2 as pb
from persimmonroute.sidecar import admission
from persimmonroute.sidecar import configuration
from persimmonroute.sidecar import execution
from persimmonroute.sidecar import messages
from persimmonroute.sidecar import quarantine
from persimmonroute.sidecar import responses

EXPIRY_INTERVAL_S = 10.0


class SidecarCore:
    """Turn events and timers into effects, without I/O."""

    def __init__(self, board, limit, policy):
        self._board = board
        self._limit = limit
        self._policy = policy
        self._responses = responses.ResponseBuffer(board)
        self._quarantine = quarantine.Quarantine(board)
        self._executor = execution.Executor(
            board, limit, policy, self._responses, self._quarantine
        )
        self._configuration = configuration.ConfigurationRelay(board)
        self._next_expiry_at = 0.0
        self._handlers = {
            messages.LinkOpened: self._on_link_opened,
            messages.LinkClosed: self._on_link_closed,
            messages.EnvelopeArrived: self._on_envelope,
            messages.EndpointData: self._executor.on_data,
            messages.EndpointEnded: self._executor.on_ended,
            messages.EndpointFailed: self._executor.on_failed,
            messages.EndpointNamedLimit: self._executor.on_limit,
            messages.EndpointProbed: self._executor.on_probed,
            messages.StreamsListed: self._on_streams_listed,
            messages.TimePassed: self._on_time,
            messages.StopRequested: self._executor.on_stop,
            messages.StopExpired: self._executor.on_stop_expired,
        }

    @property
    def board(self):
        """Return the shared state of the sidecar."""
        return self._board

    @property
    def next_timer_at(self):
        """Return when the next timer is due in seconds, or None."""
        return self._board.timers.next_at

    @property
    def idle(self):
        """Return whether no attempt is waiting or running."""
        board = self._board
        return not board.running and not any(
            attempt.waiting for attempt in board.attempts.values()
        )

    def is_drained(self, now):
        """Return whether nothing is left that a stop has to wait for."""
        return self.idle and not self._responses.has_unread(now)

    def handle(self, event, now):
        """Return the effects of an event handled at time now, in seconds."""
        for timer in self._board.timers.pop_due(now):
            self._executor.on_timer(timer, now)
            self._responses.on_timer(timer, now)
        before = self._urgent_state()
        self._handlers[type(event)](event, now)
        if self._urgent_state() != before:
            self._board.put(messages.ReportLoad())
        return self._board.take_effects()

    def load(self, now):
        """Build the load report for entries."""
        board = self._board
        self._policy.refresh(now)
        return pb.Load(
            wait_s=[
                admission.predict_tier_wait_s(board, self._limit, tier, now)
                for tier in range(1, declarations.TIERS + 1)
            ],
            prefill_tokens_per_s=self._limit.prefill_tokens_per_s,
            decode_step_s=self._limit.token_gap_s,
            queued=len(board.queue),
            running=len(board.running),
            limit=int(self._limit.max_running),
            admitted_tier=board.admitted_tier,
            leaving=board.leaving,
            endpoint_down=not board.endpoint_up,
            refused_fingerprints=sorted(board.refused_fingerprints),
            suspect_fingerprints=sorted(board.suspects),
            crashes=[
                pb.EndpointCrash(
                    id=crash.id,
                    age_ms=int((now - crash.at) * 1000),
                    blocks=crash.blocks.keys(),
                    positions=crash.blocks.values(),
                )
                for crash in board.crashes
            ],
        )

    def _urgent_state(self):
        board = self._board
        return (
            board.endpoint_up,
            board.leaving,
            board.admitted_tier,
            len(board.suspects),
            board.crashes[-1].id if board.crashes else None,
            len(board.refused_fingerprints),
        )

    def _on_link_opened(self, event, now):
        self._board.links.add(event.link)

    def _on_link_closed(self, event, now):
        self._board.links.discard(event.link)
        self._executor.on_link_closed(event, now)

    def _on_envelope(self, event, now):
        self._configuration.on_envelope(event, now)
        for frame in event.envelope.frames:
            self._configuration.on_frame(event.link, frame)
            self._executor.on_frame(event.link, frame, now)

    def _on_streams_listed(self, event, now):
        self._board.engine_streams = event.attempt_ids

    def _on_time(self, event, now):
        if now >= self._next_expiry_at:
            self._next_expiry_at = now + EXPIRY_INTERVAL_S
            self._quarantine.expire(now)
        self._executor.request_grants(now)

"""Offer requests to sidecars and announce shed requests."""

from __future__ import annotations

from persimmonroute.config import declarations
from persimmonroute.entry import call_states
from persimmonroute.entry import endings
from persimmonroute.entry import messages
from persimmonroute.entry import routing
from persimmonroute.events import Event
from persimmonroute.generated import exchange_pb2 as pb

# Above subsets.SUBSET_SIZE, so that each connected sidecar can be tried.
MAX_OFFERS = 20
OFFER_TIMEOUT_S = 0.5
NOTICE_INTERVAL_S = 0.05
# Share of the start target that a request may always queue, even if its
# prefill takes longer than the target.
MIN_WAIT_SHARE = 0.2


class OfferSender:
    """Choose a sidecar for each request and send it an offer."""

    def __init__(self, board, policy, claims, finalizer):
        self._board = board
        self._policy = policy
        self._claims = claims
        self._finalizer = finalizer
        # Earliest time of the next shed notice, by service.
        self._notice_due_at: dict[str, float] = {}
        # Most important class shed since the last notice, by service.
        self._pending_notices: dict[str, declarations.WorkClass] = {}

    def offer(self, record, now):
        """Offer a request, or shed it when no sidecar would admit it."""
        board = self._board
        candidates = self._find_candidates(record, now)
        if not candidates and _remaining_target_s(record, now) > 0:
            # A sidecar that was silent for a while is better than a refusal.
            record.excluded.clear()
            candidates = self._find_candidates(record, now)
        decision = self._policy.choose(record, candidates, board.locality)
        if decision.chosen is None or record.offers >= MAX_OFFERS:
            self._notify_shed(record, now)
            self._finalizer.end_not_run(record, endings.NO_ENDPOINT)
            return
        self._send_offer(record, decision, now)

    def reroute(self, record, reason, now):
        """Offer a request that has not started to another sidecar."""
        self._board.remove_outstanding(record)
        self._board.log(
            Event.REQUEST_REROUTED,
            request=record.request_id,
            sidecar=record.sidecar,
            reason=reason,
        )
        self.offer(record, now)

    def _find_candidates(self, record, now):
        # A sidecar that refused is tried again as soon as it admits lower
        # tiers, since none of those may run before this request.
        tier = record.work_class.tier
        overdue = record.offers and _remaining_target_s(record, now) <= 0
        return [
            view
            for view in self._board.candidates(record.work_class.service)
            if view.instance.name not in record.excluded
            and (
                view.admitted_tier > tier
                or view.admitted_tier == tier
                and view.instance.name not in record.refused_by
                and not overdue
            )
        ]

    def on_timer(self, timer, now):
        """Send the delayed shed notice of a service."""
        if timer.kind == 'notice':
            work_class = self._pending_notices.pop(timer.subject, None)
            if work_class is not None:
                self._send_notice(work_class, now)

    def _notify_shed(self, record, now):
        # The load reports may be outdated: a sidecar that has admitted a lower
        # tier since must evict it.
        work_class = record.work_class
        service = work_class.service
        if work_class.tier == declarations.TIERS:
            return
        due_at = self._notice_due_at.get(service, 0.0)
        if now >= due_at:
            self._send_notice(work_class, now)
            return
        pending = self._pending_notices.get(service)
        if pending is None:
            self._board.timers.schedule(due_at, 'notice', service)
        if pending is None or work_class.tier < pending.tier:
            self._pending_notices[service] = work_class

    def _send_notice(self, work_class, now):
        service = work_class.service
        self._notice_due_at[service] = now + NOTICE_INTERVAL_S
        notice = pb.ShedNotice(
            tier=work_class.tier, patience_s=work_class.target.start_s
        )
        frame = pb.Frame(shed_notice=notice)
        for view in self._board.candidates(service):
            self._board.put(messages.SendFrame(view.instance.name, frame))

    def _send_offer(self, record, decision, now):
        board = self._board
        chosen = decision.chosen
        view = board.sidecars[chosen.sidecar]
        call_states.advance(record, 'offer')
        record.sidecar = chosen.sidecar
        record.incarnation = view.incarnation
        record.offers += 1
        board.subscribe(record, f'{record.request_id}.{record.offers}')
        view.add_outstanding(
            record.request_id, routing.prefill_seconds(record.call, view)
        )
        self._policy.record_offer(record, chosen.sidecar)
        board.send(record, offer=self._build_offer(record, chosen, now))
        board.set_deadline(record, 'offer', now, OFFER_TIMEOUT_S)
        self._log_decision(record, decision)
        if not record.work_class.idempotent:
            self._claims.begin(record, now)

    def _log_decision(self, record, decision):
        chosen = decision.chosen
        self._board.log(
            Event.REQUEST_ROUTED,
            request=record.request_id,
            work_class=record.call.class_name,
            tier=record.work_class.tier,
            chosen=str(chosen),
            others=[str(p) for p in decision.predictions if p != chosen],
            refused_by=sorted(record.refused_by | record.excluded),
        )

    def _build_offer(self, record, chosen, now):
        call = record.call
        work_class = record.work_class
        min_wait_s = work_class.target.start_s * MIN_WAIT_SHARE
        prefill_and_network_s = chosen.prefill_s + chosen.network_s
        return pb.Offer(
            workspace=call.workspace,
            class_name=call.class_name,
            tier=work_class.tier,
            patience_s=max(
                _remaining_target_s(record, now) - prefill_and_network_s,
                min_wait_s,
            ),
            prompt_tokens=call.prompt_tokens,
            output_tokens=call.output_tokens,
            idempotent=work_class.idempotent,
            held=not work_class.idempotent,
            method=call.method,
            path=call.path,
            body=call.body,
            stream=call.stream,
            fingerprint=call.fingerprint,
            prefix_blocks=call.prefix_blocks,
            token_gap_s=work_class.target.token_gap_s,
            suspect=self._board.quarantine.is_suspect(call.fingerprint, now),
        )


def _remaining_target_s(record, now):
    target_s = record.work_class.target.start_s
    return target_s - (now - record.arrived_at)

"""Drive each request from its arrival to its final response."""

from __future__ import annotations

from persimmonroute.entry import board as boards
from persimmonroute.entry.call_states import advance
from persimmonroute.entry import messages
from persimmonroute.entry import stopping
from persimmonroute import event_stream
from persimmonroute.events import Event
from persimmonroute import exceptions
from persimmonroute.generated import exchange_pb2 as pb

RESUME_TIMEOUT_S = 20.0
ATTACH_TIMEOUT_S = 5.0
# Responses of a lower status are successful.
FIRST_REDIRECT_STATUS = 300


class Dispatcher:
    """Grant starts to queued requests and forward their responses."""

    def __init__(self, board, claims, offer_sender, finalizer):
        self._board = board
        self._stopping = stopping.StopController(board, self.fail_unstarted)
        self._claims = claims
        self._offer_sender = offer_sender
        self._finalizer = finalizer
        self._frame_handlers = {
            'accepted': self._on_accepted,
            'refused': self._on_refused,
            'ready': self._on_ready,
            'chunk': self._on_chunk,
            'finished': self._on_finished,
            'never_starts': self._on_never_starts,
            'lost': self._on_lost,
        }

    def validate_call(self, call):
        """Return the WorkClass of a call, or raise BadRequestError."""
        declared = self._board.declarations
        if call.workspace not in declared.workspaces:
            raise exceptions.UnknownWorkspaceError(
                f'workspace {call.workspace!r} is not declared'
            )
        work_class = declared.classes.get(call.class_name)
        if work_class is None:
            raise exceptions.UnknownClassError(
                f'class {call.class_name!r} is not declared'
            )
        if not work_class.idempotent and not call.key:
            raise exceptions.MissingKeyError(
                f'class {call.class_name!r} is non-idempotent'
            )
        return work_class

    def on_call(self, event, now):
        """Register a new request and offer it to a sidecar."""
        call = event.call
        record = boards.CallRecord(call, self.validate_call(call), now)
        self._board.calls[call.request_id] = record
        if not self._stopping.may_accept(record, now):
            self._stopping.refuse(record)
            return
        if self._board.quarantine.is_refused(call):
            self._finalizer.end_quarantined(record)
            return
        self._offer_sender.offer(record, now)
        self._stopping.watch(record, now)

    def on_stop(self, event, now):
        """End calls that cannot start and end within the stop."""
        self._stopping.on_stop(event, now)

    def on_caller_disconnected(self, event, now):
        """Abort a request whose caller disconnected."""
        record = self._board.calls.get(event.request_id)
        if record is None:
            return
        granted = record.state in ('granted', 'interrupted')
        if granted and not record.work_class.idempotent:
            # The response must still be recorded under the idempotency key.
            return
        self._board.send(record, withdraw=pb.Withdraw())
        problem = 'caller closed the connection'
        if granted:
            self._finalizer.end_unknown(record, problem)
        else:
            self._finalizer.end_not_run(record, problem)

    def on_stop_expired(self, event, now):
        """End the requests that the end of the process would cut off."""
        for record in list(self._board.calls.values()):
            may_have_run = record.state not in stopping.UNGRANTED
            self._board.log(
                Event.REQUEST_ENDED_BY_STOP,
                request=record.request_id,
                work_class=record.call.class_name,
                may_have_run=may_have_run,
            )
            if may_have_run:
                self._finalizer.end_unknown(record, stopping.STOPPED)
            else:
                self._stopping.refuse(record)

    def on_frame(self, sidecar, frame, now):
        """Handle one frame from a sidecar."""
        kind = frame.WhichOneof('body')
        handler = self._frame_handlers.get(kind)
        if handler is None:
            return
        subscribers = self._board.subscribers(frame.request_id)
        if kind == 'ready' and not subscribers:
            withdrawal = pb.Frame(
                request_id=frame.request_id, withdraw=pb.Withdraw()
            )
            self._board.put(messages.SendFrame(sidecar, withdrawal))
        for record in subscribers:
            if record.sidecar == sidecar:
                handler(record, getattr(frame, kind), now)

    def on_link_opened(self, event, now):
        """Resume responses that a lost connection interrupted."""
        for record in list(self._board.calls.values()):
            if record.sidecar != event.sidecar:
                continue
            if record.state == 'interrupted':
                advance(record, 'resume')
                self._request_resume(record)
            elif record.state == 'attached':
                self._request_resume(record)

    def on_link_closed(self, event, now):
        """Reroute ungranted requests and mark granted ones interrupted."""
        for record in list(self._board.calls.values()):
            if record.sidecar != event.sidecar:
                continue
            if record.state in ('offered', 'queued'):
                record.excluded.add(event.sidecar)
                self._offer_sender.reroute(record, 'link closed', now)
            elif record.state == 'granted':
                self._interrupt(record, now)
            elif record.state == 'attached':
                self._board.set_deadline(
                    record, 'attach', now, RESUME_TIMEOUT_S
                )

    def on_timer(self, timer, now):
        """Handle an expired offer, resume or attach deadline."""
        self._stopping.on_timer(timer, now)
        record = self._board.calls.get(timer.subject)
        if record is None or now < record.deadline:
            return
        if timer.kind == 'offer' and record.state == 'offered':
            self._board.send(record, withdraw=pb.Withdraw())
            record.excluded.add(record.sidecar)
            self._offer_sender.reroute(record, 'offer timed out', now)
        elif timer.kind == 'resume' and record.state == 'interrupted':
            self._finalizer.end_unknown(
                record, 'sidecar did not reconnect in time'
            )
        elif timer.kind == 'attach' and record.state == 'attached':
            view = self._board.sidecars.get(record.sidecar)
            if view is None or not view.linked:
                self._finalizer.end_unknown(
                    record, 'sidecar of the earlier attempt is disconnected'
                )

    def on_claim_confirmed(self, record):
        """Release the held offer of a request whose claim is confirmed."""
        if record.state in ('offered', 'queued'):
            self._board.send(record, clear=pb.Clear())

    def attach(self, record, attempt, sidecar, incarnation, now):
        """Attach a request to an earlier attempt with the same key."""
        board = self._board
        self._board.send(record, withdraw=pb.Withdraw())
        self._board.remove_outstanding(record)
        advance(record, 'attach')
        board.subscribe(record, attempt)
        record.sidecar = sidecar
        record.incarnation = incarnation
        record.attached = True
        board.set_deadline(record, 'attach', now, ATTACH_TIMEOUT_S)
        board.log(
            Event.REQUEST_ATTACHED,
            request=record.request_id,
            attempt=attempt,
            sidecar=sidecar,
        )
        self._request_resume(record)

    def reoffer(self, record, now):
        """Offer a request again when the earlier attempt can never start."""
        record.attached = False
        self._offer_sender.offer(record, now)
        self._stopping.watch(record, now)

    def fail_unstarted(self, record, problem, retry_after_s):
        """Withdraw a request that was not granted and end it as not run."""
        self._board.send(record, withdraw=pb.Withdraw())
        self._finalizer.end_not_run(record, problem, retry_after_s)

    def replay(self, record, status, content_type, body):
        """Replay the response that was recorded for the same key."""
        self._board.send(record, withdraw=pb.Withdraw())
        streamed = event_stream.is_stream(status, content_type)
        self._board.put(
            messages.ResponseData(record.request_id, body, streamed)
        )
        self._finalizer.end_completed(record, status, content_type)

    def reject_key(self, record):
        """Reject a request whose key belongs to a different request."""
        error = exceptions.MismatchedKeyError(
            f'key {record.call.key!r} was used for a different request'
        )
        self._board.send(record, withdraw=pb.Withdraw())
        self._finalizer.end_rejected(record, error)

    def _on_accepted(self, record, accepted, now):
        if record.state == 'offered':
            advance(record, 'accept')
            self._board.remove_outstanding(record)

    def _on_refused(self, record, refused, now):
        if record.state == 'attached':
            self._on_never_starts(record, refused, now)
            return
        if record.state not in ('offered', 'queued'):
            return
        if refused.reason == pb.QUARANTINED:
            self._board.quarantine.refuse(record.call.fingerprint, now)
            self._finalizer.end_quarantined(record)
            return
        record.refused_by.add(record.sidecar)
        reason = pb.RefusalReason.Name(refused.reason)
        self._offer_sender.reroute(record, reason.lower(), now)

    def _on_ready(self, record, ready, now):
        if record.state == 'granted':
            return
        if record.state == 'offered':
            advance(record, 'accept')
            self._board.remove_outstanding(record)
        claimed = record.work_class.idempotent or self._claims.is_confirmed(
            record
        )
        if record.state != 'queued' or not claimed:
            self._board.send(record, withdraw=pb.Withdraw())
            return
        if not self._stopping.may_grant(record, now):
            self._stopping.refuse(record)
            return
        advance(record, 'grant')
        record.granted_at = now
        self._board.send(record, grant=pb.Grant())
        self._board.log(
            Event.REQUEST_GRANTED,
            request=record.request_id,
            sidecar=record.sidecar,
        )

    def _on_chunk(self, record, chunk, now):
        if record.state not in ('granted', 'attached'):
            return
        skip = record.received_bytes - chunk.offset
        if skip < 0:
            self._request_resume(record)
            return
        data = chunk.data[skip:]
        if data:
            record.first_byte_at = record.first_byte_at or now
            record.received_bytes += len(data)
            self._claims.buffer_response(record, data)
            self._board.put(
                messages.ResponseData(
                    record.request_id, data, not chunk.not_streamed
                )
            )

    def _on_finished(self, record, finished, now):
        if record.state not in ('granted', 'attached'):
            return
        if not finished.complete:
            self._finalizer.end_unknown(record, finished.problem)
            return
        if record.received_bytes < finished.length:
            self._request_resume(record)
            return
        if record.received_bytes > finished.length:
            self._finalizer.end_unknown(
                record, 'the response ended before what was received of it'
            )
            return
        self._board.quarantine.clear(record.call, now)
        self._claims.record_outcome(record, finished, now)
        if finished.status < FIRST_REDIRECT_STATUS:
            self._stopping.record_ended(record, now)
        self._finalizer.end_completed(
            record, finished.status, finished.content_type
        )

    def _on_never_starts(self, record, frame, now):
        if record.state == 'attached':
            self._claims.reclaim(record, now)
        elif record.state in ('granted', 'interrupted'):
            advance(record, 'requeue')
            record.excluded.add(record.sidecar)
            self._offer_sender.reroute(record, 'attempt was not started', now)
            self._stopping.watch(record, now)

    def _on_lost(self, record, lost, now):
        if record.state in ('granted', 'attached', 'interrupted'):
            self._finalizer.end_unknown(
                record, 'the sidecar has no record of the attempt'
            )

    def _interrupt(self, record, now):
        advance(record, 'interrupt')
        board = self._board
        board.set_deadline(record, 'resume', now, RESUME_TIMEOUT_S)
        board.log(
            Event.REQUEST_RESUMING,
            request=record.request_id,
            sidecar=record.sidecar,
            offset=record.received_bytes,
        )

    def _request_resume(self, record):
        resume = pb.Resume(
            offset=record.received_bytes,
            incarnation=record.incarnation,
            whole=not record.call.stream,
        )
        self._board.send_attempt(record, resume=resume)

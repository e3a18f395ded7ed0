"""Run each attempt from its offer to the end of its response."""

from __future__ import annotations

import transitions

from persimmonroute.events import Event
from persimmonroute.generated import exchange_pb2 as pb
from persimmonroute import pacing
from persimmonroute.sidecar import admission
from persimmonroute.sidecar import board as boards
from persimmonroute.sidecar import messages

READY_TIMEOUT_S = 1.0
# A sidecar that was suspended for longer uses no grant that waited meanwhile:
# its entry may have given up the link, and the endpoint may be leaving.
GRANT_VALID_S = 2.0
CAPACITY_RETRY_S = 0.02
REFUSAL_RETRY_AFTER_S = 1.0
ENDPOINT_DOWN_RETRY_AFTER_S = 2.0
BAD_GATEWAY_STATUS = 502
STOPPED = 'the sidecar stopped before the response was complete'

ATTEMPT_MACHINE = transitions.Machine(
    model=None,
    states=['held', 'queued', 'ready', 'started', 'done', 'dropped'],
    transitions=[
        ['clear', 'held', 'queued'],
        ['reserve', 'queued', 'ready'],
        ['start', 'ready', 'started'],
        ['finish', 'started', 'done'],
        ['drop', ['held', 'queued', 'ready'], 'dropped'],
        ['refuse', 'started', 'dropped'],
    ],
    initial='held',
    auto_transitions=False,
)


def advance(attempt, trigger):
    """Apply a state machine trigger to an attempt."""
    ATTEMPT_MACHINE.events[trigger].trigger(attempt)


class Executor:
    """Queue offers, start granted attempts and forward their responses."""

    def __init__(self, board, limit, policy, responses, quarantine):
        self._board = board
        self._limit = limit
        self._policy = policy
        self._responses = responses
        self._quarantine = quarantine
        self._capacity_timer_set = False
        self._frame_handlers = {
            'offer': self._on_offer,
            'clear': self._on_clear,
            'grant': self._on_grant,
            'withdraw': self._on_withdraw,
            'resume': self._on_resume,
            'shed_notice': self._on_shed_notice,
        }

    def on_frame(self, link, frame, now):
        """Handle one frame from an entry."""
        kind = frame.WhichOneof('body')
        handler = self._frame_handlers.get(kind)
        if handler is not None:
            handler(link, frame.request_id, getattr(frame, kind), now)

    def on_link_closed(self, event, now):
        """Drop waiting attempts that only the closed link could grant."""
        for attempt in list(self._board.attempts.values()):
            if attempt.owner == event.link and attempt.waiting:
                self._drop(attempt)
        self._responses.on_link_closed(event.link, now)
        self.request_grants(now)

    def on_data(self, event, now):
        """Forward a chunk of a response to its subscribers."""
        attempt = self._board.attempts.get(event.attempt_id)
        if attempt is None or attempt.state != 'started':
            return
        if event.tokens:
            if attempt.first_token_at is None:
                attempt.first_token_at = now
            self._limit.on_token(
                attempt, self._board.running, event.tokens, now
            )
            attempt.last_token_at = now
        attempt.streamed = event.streamed
        self._responses.append(attempt, event.data, event.tokens)
        self.request_grants(now)

    def on_ended(self, event, now):
        """Finish an attempt whose response is complete."""
        attempt = self._board.attempts.get(event.attempt_id)
        if attempt is None or attempt.state != 'started':
            return
        if attempt.cancelled:
            # Engines end a cancelled response as they end a complete one.
            self._finish_incomplete(attempt, 'the call was cancelled', now)
            return
        self._limit.on_end(attempt, self._board.running, now)
        self._quarantine.on_completed(attempt)
        finished = pb.Finished(
            status=event.status,
            length=len(attempt.response),
            content_type=event.content_type,
            complete=True,
            cached_tokens=event.cached_tokens,
        )
        self._finish(attempt, finished, now)

    def on_failed(self, event, now):
        """Revert an unsent attempt; resume a broken one or finish it.

        A stream is resumed as long as each reading of it brings more.
        """
        attempt = self._board.attempts.get(event.attempt_id)
        if attempt is None or attempt.state != 'started':
            return
        # The request of a resumed stream was sent earlier, even if the
        # connection that resumes it was refused.
        if not event.sent and not attempt.resumed:
            self._revert_start(attempt, now)
        elif event.resumable and attempt.advanced and not attempt.cancelled:
            if self._board.stop_expired:
                # The next incarnation of the sidecar resumes it.
                return
            offset = len(attempt.response)
            attempt.resumed_from = offset
            self._board.put(messages.ResumeCall(attempt.attempt_id, offset))
        else:
            # The offer of a retained stream is not known, nor how it broke.
            if attempt.offer.fingerprint:
                self._record_crash(now)
            self._finish_incomplete(attempt, event.problem, now)

    def on_limit(self, event, now):
        """Record the limit that the endpoint names in a response."""
        board = self._board
        attempt = board.attempts.get(event.attempt_id)
        if attempt is None:
            return
        if event.per_s is None:
            board.log(Event.RUNNER_LIMIT_UNREADABLE, runner=board.name)
        elif board.rate_limit.record(event.per_s, attempt.started_at, now):
            board.log(
                Event.RUNNER_LIMITED,
                runner=board.name,
                limit_per_s=None
                if event.per_s == pacing.UNLIMITED
                else event.per_s,
                heard_here=True,
            )

    def on_probed(self, event, now):
        """Update whether the endpoint is up."""
        board = self._board
        if event.up == board.endpoint_up:
            return
        board.endpoint_up = event.up
        if event.up:
            board.log(Event.ENDPOINT_UP, endpoint=board.name)
            return
        board.log(Event.ENDPOINT_DOWN, endpoint=board.name)
        self._refuse_waiting(
            pb.ENDPOINT_DOWN, ENDPOINT_DOWN_RETRY_AFTER_S, now
        )

    def on_stop(self, event, now):
        """Refuse waiting attempts and let running ones finish."""
        self._board.leaving = True
        self._refuse_waiting(pb.LEAVING, REFUSAL_RETRY_AFTER_S, now)

    def on_stop_expired(self, event, now):
        """End the attempts that the end of the process would cut off."""
        self._board.stop_expired = True
        for attempt in list(self._board.running.values()):
            if attempt.state != 'started':
                continue
            self._board.log(
                Event.REQUEST_ENDED_BY_STOP,
                attempt=attempt.attempt_id,
                work_class=attempt.offer.class_name,
                may_have_run=True,
            )
            # The next incarnation of the sidecar goes on with a stream that
            # its engine retains.
            if not attempt.offer.stream and not attempt.resumed:
                self._finish_incomplete(attempt, STOPPED, now)

    def on_timer(self, timer, now):
        """Handle a timer of the executor."""
        if timer.kind == 'room':
            self._capacity_timer_set = False
            self.request_grants(now)
            return
        attempt = self._board.attempts.get(timer.subject)
        if attempt is None:
            return
        if timer.kind == 'ready' and attempt.state == 'ready':
            self._drop(attempt)
            self.request_grants(now)
        elif timer.kind == 'patience' and attempt.state in ('held', 'queued'):
            wait = max(
                self._limit.service_time_s,
                self._board.rate_limit.wait_s(1, now),
            )
            self._shed(attempt, pb.OVERLOADED, wait, now)
            self.request_grants(now)

    def request_grants(self, now):
        """Ask entries to grant queued attempts while there is capacity."""
        board = self._board
        while len(board.queue) and board.endpoint_up:
            attempt = next(iter(board.queue))
            if not self._has_capacity(attempt, now):
                self._schedule_capacity_retry(now)
                return
            advance(attempt, 'reserve')
            board.rate_limit.take(now)
            board.queue.discard(attempt)
            board.running[attempt.attempt_id] = attempt
            board.send(attempt.owner, attempt.attempt_id, ready=pb.Ready())
            board.timers.schedule_limit(
                now + READY_TIMEOUT_S,
                READY_TIMEOUT_S,
                'ready',
                attempt.attempt_id,
                latest_at=now + GRANT_VALID_S,
            )

    def _schedule_capacity_retry(self, now):
        # Prefill in flight may shrink without an event that triggers a check.
        if not self._capacity_timer_set:
            self._capacity_timer_set = True
            self._board.timers.schedule(now + CAPACITY_RETRY_S, 'room')

    def _has_capacity(self, attempt, now):
        running = self._board.running
        alone = self._quarantine.must_run_alone(attempt) or any(
            self._quarantine.must_run_alone(other)
            for other in running.values()
        )
        if alone and running:
            return False
        if not self._board.rate_limit.allows(now):
            return False
        return self._limit.has_capacity(attempt, running, now)

    def _on_offer(self, link, attempt_id, offer, now):
        board = self._board
        if attempt_id in board.attempts:
            return
        if attempt_id in board.tombstones:
            refused = pb.Refused(reason=pb.DUPLICATE)
            board.send(link, attempt_id, refused=refused)
            return
        attempt = boards.Attempt(attempt_id, offer, link, now)
        reason = self._find_refusal_reason(offer)
        if reason is not None:
            self._send_refusal(attempt, reason, REFUSAL_RETRY_AFTER_S)
            return
        decision = self._policy.evaluate(attempt, now)
        if not decision.accepted:
            self._shed(attempt, decision.reason, decision.wait_s, now)
            return
        self._accept(attempt, decision, now)

    def _accept(self, attempt, decision, now):
        board = self._board
        board.attempts[attempt.attempt_id] = attempt
        board.timers.schedule_limit(
            attempt.deadline,
            attempt.offer.patience_s,
            'patience',
            attempt.attempt_id,
        )
        accepted = pb.Accepted(wait_s=decision.wait_s)
        board.send(attempt.owner, attempt.attempt_id, accepted=accepted)
        board.log(
            Event.OFFER_QUEUED,
            attempt=attempt.attempt_id,
            tier=attempt.tier,
            wait_s=round(decision.wait_s, 4),
        )
        if attempt.state == 'queued':
            board.queue.add(attempt)
            self.request_grants(now)

    def _find_refusal_reason(self, offer):
        board = self._board
        if self._quarantine.is_refused(offer.fingerprint):
            return pb.QUARANTINED
        if board.leaving:
            return pb.LEAVING
        if not board.endpoint_up:
            return pb.ENDPOINT_DOWN
        return None

    def _on_clear(self, link, attempt_id, clear, now):
        attempt = self._board.attempts.get(attempt_id)
        if attempt is None or attempt.state != 'held' or attempt.owner != link:
            return
        advance(attempt, 'clear')
        self._board.queue.add(attempt)
        self.request_grants(now)

    def _on_grant(self, link, attempt_id, grant, now):
        board = self._board
        attempt = board.attempts.get(attempt_id)
        if attempt is None:
            self._reply_to_unknown_attempt(link, attempt_id)
            return
        if attempt.state != 'ready' or attempt.owner != link:
            return
        advance(attempt, 'start')
        attempt.started_at = now
        board.record_started(attempt_id)
        board.put(messages.StartCall(attempt_id, attempt.offer))
        board.log(
            Event.REQUEST_STARTED,
            attempt=attempt_id,
            work_class=attempt.offer.class_name,
            tier=attempt.tier,
            waited_s=round(now - attempt.arrived_at, 4),
            running=len(board.running),
        )

    def _on_withdraw(self, link, attempt_id, withdraw, now):
        attempt = self._board.attempts.get(attempt_id)
        if attempt is None:
            self._board.add_tombstone(attempt_id)
            return
        attempt.subscribers.discard(link)
        if attempt.waiting:
            if attempt.owner == link:
                self._drop(attempt)
                self.request_grants(now)
            return
        if attempt.state == 'started' and attempt.offer.idempotent:
            if not attempt.subscribers:
                self._board.cancel(attempt)

    def _on_resume(self, link, attempt_id, resume, now):
        board = self._board
        attempt = board.attempts.get(attempt_id)
        if attempt is not None:
            self._responses.subscribe(attempt, link, resume.offset)
        elif self._may_be_retained(attempt_id, resume):
            self._resume_retained_stream(link, attempt_id, now)
        elif resume.incarnation != board.incarnation:
            board.send(link, attempt_id, lost=pb.Lost())
        else:
            self._reply_to_unknown_attempt(link, attempt_id)

    def _may_be_retained(self, attempt_id, resume):
        streams = self._board.engine_streams
        if resume.whole:
            return False
        if streams is None:
            return resume.incarnation != self._board.incarnation
        return attempt_id in streams

    def _reply_to_unknown_attempt(self, link, attempt_id):
        # NeverStarts lets the entry run the request elsewhere, so it may be
        # sent only if the attempt certainly never ran here.
        board = self._board
        if attempt_id in board.started_ids or board.started_ids_dropped:
            board.send(link, attempt_id, lost=pb.Lost())
            return
        board.add_tombstone(attempt_id)
        board.send(link, attempt_id, never_starts=pb.NeverStarts())

    def _on_shed_notice(self, link, attempt_id, notice, now):
        self._evict_below(
            notice.tier, admission.retry_after_s(self._limit.service_time_s)
        )
        self._policy.on_shed(notice.tier, notice.patience_s)
        self.request_grants(now)

    def _resume_retained_stream(self, link, attempt_id, now):
        if self._board.stop_expired:
            # The next incarnation of the sidecar resumes it.
            return
        offer = pb.Offer(idempotent=True, tier=1)
        attempt = boards.Attempt(attempt_id, offer, link, now)
        attempt.state = 'started'
        attempt.started_at = now
        attempt.resumed_from = 0
        board = self._board
        board.attempts[attempt_id] = attempt
        board.running[attempt_id] = attempt
        board.put(messages.ResumeCall(attempt_id, 0))

    def _refuse_waiting(self, reason, retry_after_s, now):
        for attempt in list(self._board.attempts.values()):
            if attempt.waiting:
                self._refuse(attempt, reason, retry_after_s)

    def _shed(self, attempt, reason, wait_s, now):
        # Evict lower tiers before refusing the request itself.
        retry_after = admission.retry_after_s(wait_s)
        self._evict_below(attempt.tier, retry_after)
        self._policy.on_shed(attempt.tier, attempt.offer.patience_s)
        self._refuse(attempt, reason, retry_after)

    def _evict_below(self, tier, retry_after_s):
        for lower in self._board.queue.below_tier(tier):
            self._board.log(
                Event.REQUEST_EVICTED,
                attempt=lower.attempt_id,
                tier=lower.tier,
            )
            self._refuse(lower, pb.EVICTED, retry_after_s)

    def _refuse(self, attempt, reason, retry_after_s):
        self._send_refusal(attempt, reason, retry_after_s)
        self._remove(attempt)

    def _send_refusal(self, attempt, reason, retry_after_s):
        board = self._board
        refused = pb.Refused(reason=reason, retry_after_s=retry_after_s)
        for link in sorted(attempt.subscribers):
            board.send(link, attempt.attempt_id, refused=refused)
        board.log(
            Event.OFFER_REFUSED,
            attempt=attempt.attempt_id,
            tier=attempt.tier,
            reason=pb.RefusalReason.Name(reason).lower(),
        )

    def _drop(self, attempt):
        self._board.log(
            Event.OFFER_DROPPED, attempt=attempt.attempt_id, tier=attempt.tier
        )
        for link in sorted(attempt.subscribers):
            self._board.send(
                link, attempt.attempt_id, never_starts=pb.NeverStarts()
            )
        self._remove(attempt)

    def _remove(self, attempt):
        board = self._board
        if attempt.state == 'ready':
            board.rate_limit.give_back()
        advance(attempt, 'drop')
        board.attempts.pop(attempt.attempt_id, None)
        board.queue.discard(attempt)
        board.running.pop(attempt.attempt_id, None)
        board.add_tombstone(attempt.attempt_id)

    def _revert_start(self, attempt, now):
        board = self._board
        advance(attempt, 'refuse')
        # The endpoint never received the request, so it counts as not started.
        board.started_ids.pop(attempt.attempt_id, None)
        del board.attempts[attempt.attempt_id]
        board.running.pop(attempt.attempt_id, None)
        board.add_tombstone(attempt.attempt_id)
        for link in sorted(attempt.subscribers):
            board.send(link, attempt.attempt_id, never_starts=pb.NeverStarts())
        self.request_grants(now)

    def _record_crash(self, now):
        # A gracefully stopping endpoint fails probes but completes its
        # calls, so only a broken call counts as a crash.
        interrupted = [
            attempt
            for attempt in self._board.running.values()
            if attempt.state == 'started' and not attempt.crash_recorded
        ]
        for attempt in interrupted:
            attempt.crash_recorded = True
        if interrupted:
            self._quarantine.on_crash(interrupted, now)

    def _finish_incomplete(self, attempt, problem, now):
        finished = pb.Finished(
            status=BAD_GATEWAY_STATUS,
            length=len(attempt.response),
            complete=False,
            problem=problem,
        )
        self._finish(attempt, finished, now)

    def _finish(self, attempt, finished, now):
        advance(attempt, 'finish')
        self._board.running.pop(attempt.attempt_id, None)
        self._responses.finish(attempt, finished, now)
        self.request_grants(now)

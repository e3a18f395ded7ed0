"""Lead each attempt from its offer to the end of its answer."""

from __future__ import annotations

import transitions

from persimmonroute.events import Event
from persimmonroute.generated import exchange_pb2 as pb
from persimmonroute.sidecar import admission
from persimmonroute.sidecar import board as boards
from persimmonroute.sidecar import messages

READY_TIMEOUT_S = 1.0
# Room is looked for again this long after it was missing.
ROOM_RETRY_S = 0.02
REFUSAL_RETRY_AFTER_S = 1.0
ENDPOINT_DOWN_RETRY_AFTER_S = 2.0
STATUS_BROKEN = 502

ITEM_MACHINE = transitions.Machine(
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


def advance(item, trigger):
    """Move an attempt to its next state."""
    ITEM_MACHINE.events[trigger].trigger(item)


class Executor:
    """Queue offers, start what is permitted, pass answers on."""

    def __init__(self, board, limit, policy, answers, quarantine):
        self._board = board
        self._limit = limit
        self._policy = policy
        self._answers = answers
        self._quarantine = quarantine
        self._room_timer_set = False
        self._frame_handlers = {
            'offer': self._on_offer,
            'clear': self._on_clear,
            'grant': self._on_grant,
            'withdraw': self._on_withdraw,
            'resume': self._on_resume,
            'shed_notice': self._on_shed_notice,
        }

    def on_frame(self, link, frame, now):
        """Handle one frame of an entry."""
        kind = frame.WhichOneof('body')
        handler = self._frame_handlers.get(kind)
        if handler is not None:
            handler(link, frame.request_id, getattr(frame, kind), now)

    def on_link_closed(self, event, now):
        """Drop what waits for permission over the lost link."""
        for item in list(self._board.items.values()):
            if item.owner == event.link and item.waiting:
                self._drop(item)
        self._answers.on_link_closed(event.link, now)
        self.start_ready(now)

    def on_data(self, event, now):
        """Pass a part of an answer on."""
        item = self._board.items.get(event.attempt)
        if item is None or item.state != 'started':
            return
        if event.tokens:
            if item.first_token_at is None:
                item.first_token_at = now
            self._limit.on_token(item, self._board.running, event.tokens, now)
            item.last_token_at = now
        self._answers.append(item, event.data, event.tokens)
        self.start_ready(now)

    def on_ended(self, event, now):
        """Close a whole answer."""
        item = self._board.items.get(event.attempt)
        if item is None or item.state != 'started':
            return
        self._limit.on_end(item, self._board.running, now)
        self._quarantine.on_completed(item)
        finished = pb.Finished(
            status=event.status,
            length=len(item.answer),
            content_type=event.content_type,
            complete=True,
            cached_tokens=event.cached_tokens,
        )
        self._finish(item, finished, now)

    def on_failed(self, event, now):
        """Take up a broken stream once, or report what is known."""
        item = self._board.items.get(event.attempt)
        if item is None or item.state != 'started':
            return
        # A stream that is taken up was sent before, whatever became of the
        # connection that should read on.
        if not event.sent and not item.taken_up:
            self._refuse_started(item, now)
        elif not (item.taken_up or item.cancelled):
            item.taken_up = True
            offset = len(item.answer)
            self._board.put(messages.TakeUpCall(item.attempt, offset))
        else:
            self._note_crash(now)
            self._break(item, event.problem, now)

    def on_probed(self, event, now):
        """Follow whether the endpoint answers."""
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
        """Hand back what waits and finish what runs."""
        self._board.leaving = True
        self._refuse_waiting(pb.LEAVING, REFUSAL_RETRY_AFTER_S, now)

    def on_timer(self, timer, now):
        """Act on deadlines of attempts."""
        if timer.kind == 'room':
            self._room_timer_set = False
            self.start_ready(now)
            return
        item = self._board.items.get(timer.subject)
        if item is None:
            return
        if timer.kind == 'ready' and item.state == 'ready':
            self._drop(item)
            self.start_ready(now)
        elif timer.kind == 'patience' and item.state in ('held', 'queued'):
            wait = self._limit.service_s
            self._shed(item, pb.OVERLOADED, wait, now)
            self.start_ready(now)

    def start_ready(self, now):
        """Ask permission for the waiting attempts that have room."""
        board = self._board
        while len(board.line) and board.endpoint_up:
            item = next(iter(board.line))
            if not self._has_room(item, now):
                self._set_room_timer(now)
                return
            advance(item, 'reserve')
            board.line.discard(item)
            board.running[item.attempt] = item
            board.send(item.owner, item.attempt, ready=pb.Ready())
            board.timers.schedule(now + READY_TIMEOUT_S, 'ready', item.attempt)

    def _set_room_timer(self, now):
        # Prefill in progress shrinks with time, without any event.
        if not self._room_timer_set:
            self._room_timer_set = True
            self._board.timers.schedule(now + ROOM_RETRY_S, 'room')

    def _has_room(self, item, now):
        running = self._board.running
        alone = self._quarantine.must_run_alone(item) or any(
            self._quarantine.must_run_alone(other)
            for other in running.values()
        )
        if alone and running:
            return False
        return self._limit.has_room(item, running, now)

    def _on_offer(self, link, attempt, offer, now):
        board = self._board
        if attempt in board.items:
            return
        if attempt in board.tombstones:
            refused = pb.Refused(reason=pb.DUPLICATE)
            board.send(link, attempt, refused=refused)
            return
        item = boards.Item(attempt, offer, link, now)
        reason = self._standing_refusal(offer)
        if reason is not None:
            self._send_refusal(item, reason, REFUSAL_RETRY_AFTER_S)
            return
        verdict = self._policy.judge(item, now)
        if not verdict.accepted:
            self._shed(item, verdict.reason, verdict.wait_s, now)
            return
        self._accept(item, verdict, now)

    def _accept(self, item, verdict, now):
        board = self._board
        board.items[item.attempt] = item
        board.timers.schedule(item.deadline, 'patience', item.attempt)
        accepted = pb.Accepted(wait_s=verdict.wait_s)
        board.send(item.owner, item.attempt, accepted=accepted)
        board.log(
            Event.OFFER_QUEUED,
            attempt=item.attempt,
            tier=item.tier,
            wait_s=round(verdict.wait_s, 4),
        )
        if item.state == 'queued':
            board.line.add(item)
            self.start_ready(now)

    def _standing_refusal(self, offer):
        board = self._board
        if self._quarantine.is_refused(offer.fingerprint):
            return pb.QUARANTINED
        if board.leaving:
            return pb.LEAVING
        if not board.endpoint_up:
            return pb.ENDPOINT_DOWN
        return None

    def _on_clear(self, link, attempt, clear, now):
        item = self._board.items.get(attempt)
        if item is None or item.state != 'held' or item.owner != link:
            return
        advance(item, 'clear')
        self._board.line.add(item)
        self.start_ready(now)

    def _on_grant(self, link, attempt, grant, now):
        board = self._board
        item = board.items.get(attempt)
        if item is None:
            self._send_fate(link, attempt)
            return
        if item.state != 'ready' or item.owner != link:
            return
        advance(item, 'start')
        item.started_at = now
        board.note_started(attempt)
        board.put(messages.StartCall(attempt, item.offer))
        board.log(
            Event.REQUEST_STARTED,
            attempt=attempt,
            work_class=item.offer.class_name,
            tier=item.tier,
            waited_s=round(now - item.arrived_at, 4),
            running=len(board.running),
        )

    def _on_withdraw(self, link, attempt, withdraw, now):
        item = self._board.items.get(attempt)
        if item is None:
            self._board.bury(attempt)
            return
        item.subscribers.discard(link)
        if item.waiting:
            if item.owner == link:
                self._drop(item)
                self.start_ready(now)
            return
        if item.state == 'started' and item.offer.idempotent:
            if not item.subscribers:
                self._board.cancel(item)

    def _on_resume(self, link, attempt, resume, now):
        board = self._board
        item = board.items.get(attempt)
        if item is not None:
            self._answers.follow(item, link, resume.offset)
        elif attempt in board.engine_streams:
            self._take_up(link, attempt, now)
        elif resume.incarnation != board.incarnation:
            board.send(link, attempt, lost=pb.Lost())
        else:
            self._send_fate(link, attempt)

    def _send_fate(self, link, attempt):
        # Only what surely never started here may be buried and denied.
        board = self._board
        if attempt in board.started or board.forgetful:
            board.send(link, attempt, lost=pb.Lost())
            return
        board.bury(attempt)
        board.send(link, attempt, never_starts=pb.NeverStarts())

    def _on_shed_notice(self, link, attempt, notice, now):
        self._evict_below(
            notice.tier, admission.retry_after_s(self._limit.service_s)
        )
        self._policy.on_shed(notice.tier, notice.patience_s)
        self.start_ready(now)

    def _take_up(self, link, attempt, now):
        offer = pb.Offer(idempotent=True, tier=1)
        item = boards.Item(attempt, offer, link, now)
        item.state = 'started'
        item.started_at = now
        item.taken_up = True
        board = self._board
        board.items[attempt] = item
        board.running[attempt] = item
        board.put(messages.TakeUpCall(attempt, 0))

    def _refuse_waiting(self, reason, retry_after_s, now):
        for item in list(self._board.items.values()):
            if item.waiting:
                self._refuse(item, reason, retry_after_s)

    def _shed(self, item, reason, wait_s, now):
        # What is below the tier goes first, then the request itself.
        retry_after = admission.retry_after_s(wait_s)
        self._evict_below(item.tier, retry_after)
        self._policy.on_shed(item.tier, item.offer.patience_s)
        self._refuse(item, reason, retry_after)

    def _evict_below(self, tier, retry_after_s):
        for lower in self._board.line.lower_than(tier):
            self._board.log(
                Event.REQUEST_EVICTED, attempt=lower.attempt, tier=lower.tier
            )
            self._refuse(lower, pb.EVICTED, retry_after_s)

    def _refuse(self, item, reason, retry_after_s):
        self._send_refusal(item, reason, retry_after_s)
        self._remove(item)

    def _send_refusal(self, item, reason, retry_after_s):
        board = self._board
        refused = pb.Refused(reason=reason, retry_after_s=retry_after_s)
        for link in sorted(item.subscribers):
            board.send(link, item.attempt, refused=refused)
        board.log(
            Event.OFFER_REFUSED,
            attempt=item.attempt,
            tier=item.tier,
            reason=pb.RefusalReason.Name(reason).lower(),
        )

    def _drop(self, item):
        self._board.log(
            Event.OFFER_DROPPED, attempt=item.attempt, tier=item.tier
        )
        for link in sorted(item.subscribers):
            self._board.send(link, item.attempt, never_starts=pb.NeverStarts())
        self._remove(item)

    def _remove(self, item):
        board = self._board
        advance(item, 'drop')
        board.items.pop(item.attempt, None)
        board.line.discard(item)
        board.running.pop(item.attempt, None)
        board.bury(item.attempt)

    def _refuse_started(self, item, now):
        board = self._board
        advance(item, 'refuse')
        # The endpoint never saw it, so it counts as not started.
        board.started.pop(item.attempt, None)
        del board.items[item.attempt]
        board.running.pop(item.attempt, None)
        board.bury(item.attempt)
        for link in sorted(item.subscribers):
            board.send(link, item.attempt, never_starts=pb.NeverStarts())
        self.on_probed(messages.EndpointProbed(False), now)

    def _note_crash(self, now):
        # A graceful stop of the endpoint refuses probes but breaks no
        # call, so only a broken call counts as a crash.
        lost = [
            item
            for item in self._board.running.values()
            if item.state == 'started' and not item.crash_noted
        ]
        for item in lost:
            item.crash_noted = True
        if lost:
            self._quarantine.on_crash(lost, now)

    def _break(self, item, problem, now):
        finished = pb.Finished(
            status=STATUS_BROKEN,
            length=len(item.answer),
            complete=False,
            problem=problem,
        )
        self._finish(item, finished, now)

    def _finish(self, item, finished, now):
        advance(item, 'finish')
        self._board.running.pop(item.attempt, None)
        self._answers.finish(item, finished, now)
        self.start_ready(now)

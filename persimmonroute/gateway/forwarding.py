"""Forward one request to an endpoint and relay the response."""

from __future__ import annotations

import abc
import asyncio
import math
import typing

from persimmonroute import clock
from persimmonroute import crash_attribution
from persimmonroute import event_stream
from persimmonroute.events import Event
from persimmonroute import exceptions
from persimmonroute.gateway import continuation
from persimmonroute.gateway import crash_checks
from persimmonroute.gateway import messages
from persimmonroute.gateway import model
from persimmonroute.gateway.model import Ending
from persimmonroute.gateway.outcomes import Failed
from persimmonroute.gateway.outcomes import KeptResponse
from persimmonroute.gateway.outcomes import Relayed
from persimmonroute.gateway.outcomes import Replaced
from persimmonroute.gateway import places
from persimmonroute.gateway import quarantine
from persimmonroute.gateway import scheduler as schedulers
from persimmonroute.gateway import standby as standbys
from persimmonroute.gateway import stream_origins
from persimmonroute import logs
from persimmonroute import reading_budget
from persimmonroute import timeouts

log = logs.EventLog(__name__)

# Responses up to this size are buffered completely before they are relayed,
# so that an incomplete response can be retried.
BUFFERED_RESPONSE_BYTES = 262_144
# An attempt of a repeatable request whose response has not started within
# this many latency objectives of the route is retried, if attempts are left.
START_TIMEOUT_OBJECTIVES = 2.0
# Added if the endpoint has responded to other requests since: it is slow, and
# starting the work again elsewhere would waste what it has done. Short, since
# callers leave a stream after four objectives.
ALIVE_EXTENSION_OBJECTIVES = 1.0
# A resumable stream without a complete event for longer resumes at another
# endpoint. An endpoint that has been slower gets a multiple of its longest
# pause.
STREAM_IDLE_TIMEOUT_S = 1.5
STREAM_IDLE_PAUSES = 3.0
# For how long a place is looked for after a handover to an endpoint that
# refused: at most so many latency objectives, and this share of the time left.
# The caller of a request without a response may come back in the rest, and
# its new request takes nothing of the retry budget.
LOOK_ON_OBJECTIVES = 4.0
LOOK_ON_SHARE = 0.5
# Data of a stream that are split into events at once.
SPLIT_BYTES = 4096
# Route name reported for requests that admission rejects.
NO_ROUTE = '-'


class EndpointCall(abc.ABC):
    """Represent one attempt at an endpoint."""

    @property
    @abc.abstractmethod
    def crossed_close(self):
        """Return whether nothing came back on a connection in use before."""

    @abc.abstractmethod
    async def head(self):
        """Return the ResponseHead."""

    @abc.abstractmethod
    async def next_data(self):
        """Return the next chunk of the body, or None at its end."""

    @abc.abstractmethod
    def abandon(self):
        """Cancel the attempt unless its response is complete."""


class Caller(abc.ABC):
    """Write the response to the caller that sent the request."""

    @property
    @abc.abstractmethod
    def behind(self):
        """Return whether data would wait for the caller to read."""

    @abc.abstractmethod
    async def begin(self, status, headers):
        """Send the status line and the headers."""

    @abc.abstractmethod
    async def send(self, data):
        """Send a chunk of the body."""

    @abc.abstractmethod
    async def finish(self):
        """Finish a complete response."""

    @abc.abstractmethod
    async def reject(self, rejection):
        """Send a rejection as the final response."""

    @abc.abstractmethod
    def abort(self):
        """End the response so that the caller sees that it is incomplete."""


class Received(typing.NamedTuple):
    """Store how a response came that has arrived completely."""

    pending: messages.PendingRequest
    runner_id: str
    outcome: Relayed


class Progress:
    """Track how much of the response the caller has received."""

    def __init__(self, last_event_id=None):
        self.begun = False
        # True if the response that began had a content type.
        self.content_type_known = False
        self.event_relayed = False
        # Events that endpoints wrote.
        self.event_count = 0
        # That the caller has, of this response or an earlier one.
        self.last_event_id = last_event_id
        # True once the caller has an event that has no id: no endpoint can be
        # told where to go on.
        self.has_unnumbered = False
        # True while an attempt may be running or may have run.
        self.may_have_run = False
        # When an endpoint last completed an event of the stream, in seconds.
        self.last_received_at = 0.0
        # When the current attempt completed its first event, in seconds.
        self.answering_since = None
        # Longest gap between two events of the stream, in seconds.
        self.longest_pause_s = 0.0
        # How the last attempt failed; None if it did not.
        self.failed = None
        # True once a silent endpoint was left for another one.
        self.handed_over = False
        # Until when to look for a place after the handover, in seconds; None
        # if no place was missing since.
        self.look_on_until = None
        # KeptResponse that the caller gets if there is nothing better.
        self.kept = None
        # Received response of which the caller has not got the end yet.
        self.received = None

    def record_event(self, now):
        """Record that an event of the stream arrived."""
        if self.begun:
            pause_s = now - self.last_received_at
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        if self.answering_since is None:
            self.answering_since = now
        self.last_received_at = now

    def record_relayed(self, events):
        """Record which events the caller has."""
        self.event_relayed = True
        for event in events:
            if event.id is not None:
                self.last_event_id = event.id
            elif not event.is_comment:
                self.has_unnumbered = True

    def has_answered_for(self, seconds, now):
        """Return whether the current attempt began to answer so long ago."""
        since = self.answering_since
        return since is not None and now - since >= seconds


class Forwarder:
    """Send requests to the endpoints that the scheduler grants."""

    def __init__(
        self, board, admission, dispatcher, client, metrics, confirm_version
    ):
        self._board = board
        self._admission = admission
        self._dispatcher = dispatcher
        self._client = client
        self._metrics = metrics
        self._crash_checker = crash_checks.CrashChecker(
            board.quarantine, client
        )
        self._finder = places.PlaceFinder(
            board,
            admission,
            dispatcher,
            client,
            metrics,
            self._crash_checker,
            confirm_version,
        )

    async def serve(self, request, caller):
        """Respond to a request; to be cancelled if the caller disconnects."""
        now = clock.now_s()
        decision = self._admission.evaluate(request, now)
        if isinstance(decision, model.Rejection):
            await self.reject(request.attempt, caller, decision)
            return
        pending = decision
        progress = Progress(
            request.last_event_id if pending.route.resumable else None
        )
        try:
            limit_s = max(pending.deadline_at - now, 0)
            async with timeouts.timeout(limit_s) as limit:
                with self._board.open_requests.hold(
                    limit, lambda: progress.begun
                ):
                    await self._serve_admitted(pending, caller, progress)
            if progress.received is not None:
                await self._finish(progress.received, caller, progress)
        except TimeoutError:
            await self._time_out(pending, caller, progress)
        except exceptions.StreamHandoverError as error:
            self._board.streams_handed_over += 1
            self._record_ended_by_stop(pending, progress)
            self._abort_response(pending, caller, progress, error.problem)
        finally:
            if progress.event_relayed and pending.route.resumable:
                self._dispatcher.record_broken_off(pending)
            if pending.workspace is not None and not pending.sends:
                self._board.quotas.refund(pending.workspace, request)

    async def _finish(self, received, caller, progress):
        """Finish a response, however long the caller takes to read it.

        It has arrived by its deadline, and occupies no endpoint.
        """
        if caller.behind:
            async with asyncio.timeout(None) as limit:
                with self._board.open_requests.hold(limit, lambda: True):
                    await caller.finish()
        else:
            await caller.finish()
        pending, runner_id, outcome = received
        if outcome.is_stream:
            self._dispatcher.record_complete(pending)
        self._metrics.on_ended(
            pending.route.name, str(outcome.status), 'endpoint'
        )
        now = clock.now_s()
        first_byte_at = pending.first_byte_at or now
        log.emit(
            Event.GATEWAY_ANSWERED,
            request=pending.attempt,
            runner=runner_id,
            status=outcome.status,
            took_s=round(now - pending.arrived_at, 4),
            first_byte_s=round(first_byte_at - pending.arrived_at, 4),
            longest_pause_s=round(progress.longest_pause_s, 4),
        )

    async def reject(self, attempt, caller, rejection):
        """Reject a request that is not admitted."""
        self._record_rejected(attempt, NO_ROUTE, rejection)
        await caller.reject(rejection)

    async def _serve_admitted(self, pending, caller, progress):
        rejection = await self._find_version(pending)
        if rejection is None:
            await self._serve_pending(pending, caller, progress)
        else:
            await self._finish_rejected(pending, caller, progress, rejection)

    async def _find_version(self, pending):
        """Find the version of a stream that a caller takes up again.

        Returns a Rejection if it is not known: versions do not fit together.
        """
        request = pending.request
        if not pending.route.streaming or request.last_event_id is None:
            return None
        services = [d.service for d in pending.route.destinations]
        # The route may have led to another service when the stream began.
        began_at = self._board.find_stream_services(
            request.host, request.path, clock.now_s()
        )
        origin = await self._dispatcher.find_origin(
            pending.workspace,
            request.resumes,
            services[0] if began_at == {services[0]} else None,
        )
        if origin is None or origin.service not in services:
            return model.STREAM_UNKNOWN
        pending.service, pending.version = origin
        return None

    async def _serve_pending(self, pending, caller, progress):
        place = await self._finder.find(pending)
        while isinstance(place, places.Place):
            pending = place.pending
            outcome = await self._attempt(place, caller, progress)
            if isinstance(outcome, Relayed):
                return
            if isinstance(outcome, Replaced):
                place = outcome.place
                place.pending.current_id = None
                progress.handed_over = True
                progress.look_on_until = None
                continue
            place = await self._find_next(pending, outcome, progress)
            if place is None:
                await self._fail(pending, caller, progress, outcome)
                return
        await self._finish_rejected(pending, caller, progress, place)

    async def _find_next(self, pending, failed, progress):
        """Return the Place for another attempt, or a Rejection.

        None if there must not be another one.
        """
        while True:
            place = None
            if self._may_retry(pending, failed, progress):
                place = await self._finder.find_again(pending)
                if isinstance(place, places.Place):
                    return place
            if not self._must_go_on(pending, place, progress):
                return place
            # Those that were silent or full may have recovered.
            pending.excluded.clear()
            await asyncio.sleep(places.SEARCH_PAUSE_S)

    def _must_go_on(self, pending, rejection, progress):
        """Return whether a response goes on though there is no place now.

        A sound endpoint may have been left for one that then refused.
        """
        if not progress.handed_over or progress.kept is not None:
            return False
        if rejection is not None and not _may_pass(rejection):
            return False
        if not self._has_attempts_left(pending):
            return False
        if progress.begun:
            return _can_go_on(pending.route, progress)
        now = clock.now_s()
        if progress.look_on_until is None:
            progress.look_on_until = now + _find_look_on_s(pending, now)
        return now < progress.look_on_until

    async def _attempt(self, place, caller, progress):
        pending = place.pending
        view = pending.runner
        ending = Ending.ABANDONED
        ran_before = progress.may_have_run
        progress.answering_since = None
        progress.failed = None
        call = None
        try:
            call = self._send(place, progress)
            async with self._stand_by(pending, progress) as standby:
                outcome = await self._relay(
                    pending, call, caller, progress, standby
                )
            ending = _ending_of(outcome)
        except exceptions.EndpointBrokenError as error:
            ending = Ending.BROKEN
            outcome = Failed(ending, True, error.problem, call.crossed_close)
        finally:
            if call is not None:
                call.abandon()
            else:
                self._finder.abort(place)
            self._dispatcher.release(pending, ending)
        if isinstance(outcome, Failed) and not outcome.may_have_run:
            progress.may_have_run = ran_before
        self._metrics.on_attempt(ending)
        self._record_outcome(pending, view, outcome, progress)
        return outcome

    def _stand_by(self, pending, progress):
        return standbys.stand_by(
            lambda: self._finder.search(pending),
            self._finder.discard,
            lambda: self._record_silence(pending, progress),
        )

    def _record_silence(self, pending, progress):
        now = clock.now_s()
        view = pending.runner
        log.emit(
            Event.ENDPOINT_SILENT,
            request=pending.attempt,
            runner=view.id,
            event_relayed=progress.event_relayed,
            sent_s=round(now - pending.sent_at, 3),
        )

    def _end_silence(self, pending, standby):
        """Stay with an endpoint that goes on after a silence."""
        if standby.searching:
            standby.stop()
            log.emit(
                Event.SILENCE_ENDED,
                request=pending.attempt,
                runner=pending.runner.id,
            )

    def _send(self, place, progress):
        pending, view = place.pending, place.pending.runner
        now = clock.now_s()
        request = pending.request
        if progress.last_event_id is not None:
            request = request._replace(last_event_id=progress.last_event_id)
        call = self._client.send(
            view.record,
            place.connection,
            request,
            pending.workspace,
            pending.deadline_at - now,
        )
        self._finder.record_sent(pending)
        pending.sends += 1
        progress.may_have_run = True
        self._metrics.on_sent(pending, now)
        log.emit(
            Event.GATEWAY_SENT,
            request=pending.attempt,
            route=pending.route.name,
            runner=view.id,
            runner_version=view.record.version,
            last_event_id=request.last_event_id,
            resumes=request.resumes,
            host=pending.host,
            send=pending.sends,
            load=view.load,
            waited_s=round(now - pending.arrived_at, 4),
            version=self._board.version,
            **self._describe_stop(now),
        )
        return call

    def _describe_stop(self, now):
        """Return the log fields of a send during a stop."""
        drain = self._board.drain
        if drain is None:
            return {}
        return {'stop_left_s': round(drain.ends_at - now, 3)}

    async def _relay(self, pending, call, caller, progress, standby):
        head = await standby.read(
            call.head,
            self._start_timeout_s(pending),
            lambda: _find_extension_s(pending),
        )
        if isinstance(head, places.Place):
            return Replaced(head, 'no answer in time')
        _check_origin(head)
        self._end_silence(pending, standby)
        if head.misdirected:
            # The intended endpoint did not receive the request.
            pending.sends -= 1
            return Failed(Ending.MISDIRECTED, False, 'another endpoint')
        self._record_head(pending, head)
        if head.not_run:
            if progress.handed_over:
                # The endpoint that was left for this one may be sound.
                pending.sends -= 1
            return Failed(
                Ending.REFUSED, False, f'refused with status {head.status}'
            )
        if _is_stream(pending.route, head, progress):
            try:
                return await self._relay_stream(
                    pending, head, call, caller, progress, standby
                )
            except exceptions.StreamMismatchError as error:
                return Failed(Ending.FAILED, True, error.problem)
        if progress.begun:
            return Failed(Ending.FAILED, True, f'status {head.status}')
        if head.status == 200 and progress.last_event_id is not None:
            return Failed(Ending.FAILED, True, 'the rest is no stream')
        retry = head.status >= 500 and self._has_attempts_left(pending)
        if retry and pending.route.repeatable:
            return await self._keep_error(
                pending, head, call, caller, progress, standby
            )
        return await self._relay_whole(pending, head, call, caller, progress)

    def _record_head(self, pending, head):
        """Record what an endpoint reports about itself in a response."""
        now = clock.now_s()
        view = pending.runner
        view.record_response(now)
        record = view.record
        pending.reported_load = head.load
        self._board.runner_registry.record_load(view, head.load, now)
        if head.load_unreadable:
            self._record_unreadable_load(record)
        if head.leaving and self._board.runner_registry.record_leaving(
            record.id, record.started_at_ms, now
        ):
            log.emit(
                Event.RUNNER_CHANGED,
                runner=record.id,
                service=record.service,
                leaving=True,
            )
            self._dispatcher.on_change()
        if head.retry_after_s is not None:
            view.close_until(now + head.retry_after_s)
            log.emit(
                Event.RUNNER_CLOSED,
                runner=record.id,
                retry_after_s=head.retry_after_s,
            )
        if head.limit_per_s is None:
            log.emit(Event.RUNNER_LIMIT_UNREADABLE, runner=record.id)
        else:
            self._board.runner_registry.limits.record(
                record, head.limit_per_s, pending.sent_at, now
            )

    def _record_unreadable_load(self, record):
        """Count an unreadable load; log the first of each service."""
        capacities = self._board.runner_registry.capacities
        if capacities.record_unreadable(record.service):
            log.emit(
                Event.RUNNER_LOAD_UNREADABLE,
                runner=record.id,
                service=record.service,
            )

    def _start_timeout_s(self, pending):
        """Return how long to wait for the response head; None for no limit."""
        if pending.route.repeatable and self._has_attempts_left(pending):
            return START_TIMEOUT_OBJECTIVES * pending.route.objective_s
        return None

    def _has_attempts_left(self, pending):
        return pending.sends < pending.route.max_attempts

    async def _relay_whole(self, pending, head, call, caller, progress):
        with self._board.response_memory.hold(reading_budget.KeptBody) as body:
            return await self._relay_body(
                pending, head, call, caller, progress, body
            )

    async def _relay_body(self, pending, head, call, caller, progress, body):
        """Relay a body that may have begun to be kept."""
        while (data := await call.next_data()) is not None:
            if progress.begun:
                await caller.send(data)
                continue
            body.add(data)
            if not _may_keep(body):
                await self._begin(head, caller, progress)
                await _send_all(caller, body.take())
        self._record_first_byte(pending)
        await self._begin(head, caller, progress)
        await _send_all(caller, body.take())
        return Relayed(head.status)

    async def _keep_error(
        self, pending, head, call, caller, progress, standby
    ):
        """Read an error response, to try another endpoint first."""
        began_at = clock.now_s()
        limit_s = self._start_timeout_s(pending)
        with self._board.response_memory.hold(reading_budget.KeptBody) as body:
            while _may_keep(body):
                left_s = max(began_at + limit_s - clock.now_s(), 0.0)
                try:
                    data = await standby.read(call.next_data, left_s)
                except exceptions.EndpointBrokenError:
                    return Failed(Ending.FAILED, True, f'status {head.status}')
                if isinstance(data, places.Place):
                    return Replaced(data, 'the error stands still')
                if data is None:
                    progress.kept = KeptResponse(head, b''.join(body.take()))
                    return Failed(Ending.FAILED, True, f'status {head.status}')
                body.add(data)
            standby.stop()
            return await self._relay_body(
                pending, head, call, caller, progress, body
            )

    async def _begin(self, head, caller, progress):
        if not progress.begun:
            progress.begun = True
            progress.content_type_known = head.content_type is not None
            await caller.begin(head.status, head.headers)

    async def _relay_stream(
        self, pending, head, call, caller, progress, standby
    ):
        if pending.route.resumable:
            head = _without_length(head)
        splitter = event_stream.EventSplitter()
        goes_on = continuation.Continuation(progress.last_event_id)
        turn = reading_budget.Turn(reading_budget.PROCESS_TIME)
        # Bytes that complete no event are no progress.
        idle_since = clock.now_s()
        events_before = progress.event_count
        with self._board.response_memory.hold() as kept:
            while True:
                data = await standby.read(
                    call.next_data,
                    self._stream_timeout_s(pending, progress, idle_since),
                )
                if isinstance(data, places.Place):
                    return Replaced(data, 'the stream stands still')
                if data is None:
                    break
                turn.begin()
                for start in range(0, len(data), SPLIT_BYTES):
                    with turn.measure():
                        events = splitter.feed(
                            data[start : start + SPLIT_BYTES]
                        )
                        chosen, mismatch = goes_on.select(
                            events, pending.route.resumable
                        )
                    if events:
                        idle_since = clock.now_s()
                        self._record_events(pending, progress, len(events))
                        self._end_silence(pending, standby)
                    if chosen:
                        await self._begin(head, caller, progress)
                        self._record_begun(pending, progress)
                        await caller.send(b''.join(e.data for e in chosen))
                        progress.record_relayed(chosen)
                        self._record_first_byte(pending)
                    if mismatch is not None:
                        raise mismatch
                    if events:
                        self._check_handover(pending, progress)
                    if turn.over:
                        await turn.give_way()
                kept.set(splitter.rest_size)
                if not kept.allowed:
                    raise exceptions.EndpointBrokenError(
                        'no memory for an event that does not end'
                    )
        if splitter.in_event:
            return Failed(Ending.BROKEN, True, 'the stream ends in an event')
        received = progress.event_count - events_before
        if head.ends_with_connection and not received:
            return Failed(Ending.BROKEN, True, 'the stream has no event')
        goes_on.check_end()
        await self._begin(head, caller, progress)
        if splitter.rest:
            await caller.send(splitter.rest)
        return Relayed(head.status, True)

    def _record_events(self, pending, progress, count):
        now = clock.now_s()
        progress.event_count += count
        progress.record_event(now)
        if pending.first_byte_at is not None:
            pending.relayed_s = now - pending.first_byte_at

    def _check_handover(self, pending, progress):
        """Raise StreamHandoverError if the rest is due at another gateway.

        After an event the caller loses least: the next one is not due yet.
        """
        drain = self._board.drain
        if drain is None or not _can_go_on(pending.route, progress):
            return
        expected_end_at = math.inf
        durations = self._board.durations
        if durations.is_known(pending.kind):
            expected_end_at = pending.sent_at + durations.estimate_s(
                pending.kind, pending.request.output_tokens
            )
        now = clock.now_s()
        if drain.is_handover_due(now, pending.deadline_at, expected_end_at):
            raise exceptions.StreamHandoverError(model.STOPPED.reason)

    def _record_begun(self, pending, progress):
        """Bind a stream to the version that wrote its first event."""
        if progress.event_relayed:
            return
        if pending.version is None:
            pending.version = pending.runner.record.version
        if pending.route.resumable:
            self._dispatcher.record_begun(
                pending,
                stream_origins.Origin(pending.service, pending.version),
            )

    def _record_first_byte(self, pending):
        if pending.first_byte_at is None:
            pending.first_byte_at = clock.now_s()
            self._metrics.on_first_byte(pending, pending.first_byte_at)

    def _stream_timeout_s(self, pending, progress, idle_since):
        """Return how long to wait for data; None for no limit."""
        if not _can_go_on(pending.route, progress):
            return None
        if not self._has_attempts_left(pending):
            return None
        limit_s = START_TIMEOUT_OBJECTIVES * pending.route.objective_s
        if progress.begun:
            limit_s = max(
                STREAM_IDLE_TIMEOUT_S,
                STREAM_IDLE_PAUSES * progress.longest_pause_s,
            )
        return max(idle_since + limit_s - clock.now_s(), 0.0)

    def _may_retry(self, pending, failed, progress):
        if progress.begun and not _can_go_on(pending.route, progress):
            return False
        if failed.may_have_run and not pending.route.repeatable:
            return False
        if not self._has_attempts_left(pending):
            return False
        return self._finder.take_retry(pending)

    def _record_outcome(self, pending, view, outcome, progress):
        if isinstance(outcome, Relayed):
            if outcome.status < 300:
                self._board.quarantine.record_response(
                    pending.request, clock.now_s()
                )
                self._record_duration(pending, progress)
            progress.received = Received(pending, view.id, outcome)
            return
        progress.failed = outcome
        if not (isinstance(outcome, Failed) and outcome.crossed_close):
            pending.excluded.add(view.id)
        now = clock.now_s()
        answered = progress.has_answered_for(
            crash_attribution.HARMLESS_RESPONSE_S, now
        )
        if _ending_of(outcome) is Ending.BROKEN:
            if not answered:
                self._board.quarantine.record_broken(
                    quarantine.read_traits(pending.request), view.record, now
                )
            if not answered or pending.route.streaming:
                self._crash_checker.check(view, pending.route.streaming)
        log.emit(
            Event.GATEWAY_ATTEMPT_FAILED,
            request=pending.attempt,
            runner=view.id,
            ending=_ending_of(outcome).value,
            problem=outcome.problem,
            # What a crash of the endpoint may be due to.
            event_relayed=progress.event_relayed,
            prompt=[part.id for part in pending.request.prompt],
        )

    def _record_duration(self, pending, progress):
        """Learn from a successful response how long such requests take."""
        if pending.request.last_event_id is None and pending.sends == 1:
            self._board.output_hints.record(
                pending.workspace and pending.workspace.name,
                pending.route.name,
                pending.request,
                progress.event_count,
            )
        first_byte_s = 0.0
        if progress.event_relayed:
            first_byte_s = max(pending.first_byte_at - pending.sent_at, 0.0)
        self._board.durations.record(
            pending.kind,
            pending.request.output_tokens,
            first_byte_s,
            clock.now_s() - pending.sent_at,
        )

    async def _relay_kept(self, pending, caller, progress):
        """Deliver an endpoint's error response; return if there is one."""
        kept = progress.kept
        if kept is None or progress.begun:
            return False
        await self._begin(kept.head, caller, progress)
        if kept.body:
            await caller.send(kept.body)
        await caller.finish()
        self._metrics.on_ended(
            pending.route.name, str(kept.head.status), 'endpoint'
        )
        log.emit(
            Event.GATEWAY_ANSWERED,
            request=pending.attempt,
            status=kept.head.status,
            kept=True,
            took_s=round(clock.now_s() - pending.arrived_at, 4),
        )
        return True

    async def _finish_rejected(self, pending, caller, progress, rejection):
        if progress.begun or progress.may_have_run:
            failed = Failed(Ending.FAILED, True, rejection.reason)
            await self._fail(pending, caller, progress, failed)
            return
        self._record_rejected(pending.attempt, pending.route.name, rejection)
        await caller.reject(rejection)

    async def _fail(self, pending, caller, progress, failed):
        if progress.begun:
            self._abort_response(pending, caller, progress, failed.problem)
            return
        if await self._relay_kept(pending, caller, progress):
            return
        if progress.may_have_run:
            rejection = model.Rejection(502, failed.problem)
        else:
            rejection = schedulers.build_rejection(
                pending, None, failed.problem, clock.now_s()
            )
        self._record_rejected(pending.attempt, pending.route.name, rejection)
        await caller.reject(rejection)

    async def _time_out(self, pending, caller, progress):
        stopped = self._board.open_requests.ended
        if stopped:
            self._record_ended_by_stop(pending, progress)
        if progress.begun:
            problem = model.STOPPED.reason if stopped else 'timeout'
            self._abort_response(pending, caller, progress, problem)
            return
        if await self._relay_kept(pending, caller, progress):
            return
        if progress.may_have_run:
            rejection = model.TIMEOUT_AT_ENDPOINT
            if stopped:
                rejection = model.STOPPED
        else:
            rejection = model.TIMEOUT_WHILE_QUEUED
            if stopped:
                rejection = model.STOPPING
        self._record_rejected(pending.attempt, pending.route.name, rejection)
        await caller.reject(rejection)

    def _record_ended_by_stop(self, pending, progress):
        log.emit(
            Event.REQUEST_ENDED_BY_STOP,
            request=pending.attempt,
            route=pending.route.name,
            sends=pending.sends,
            begun=progress.begun,
            may_have_run=progress.may_have_run,
            age_s=round(clock.now_s() - pending.arrived_at, 3),
        )

    def _abort_response(self, pending, caller, progress, problem):
        self._metrics.on_ended(
            pending.route.name, 'broken off', _label_of(problem)
        )
        log.emit(
            Event.GATEWAY_BROKEN_OFF,
            request=pending.attempt,
            problem=problem,
            sends=pending.sends,
            resumable=pending.route.resumable,
            last_event_id=progress.last_event_id,
            quiet_s=round(clock.now_s() - progress.last_received_at, 3),
            ended_by=_find_ended_by(progress),
            attempt_problem=progress.failed and progress.failed.problem,
        )
        self._dispatcher.record_broken_off(pending)
        caller.abort()

    def _record_rejected(self, attempt, route, rejection):
        age_s = self._board.configuration_freshness.age_s(clock.now_s())
        self._metrics.on_ended(
            route, str(rejection.status), _label_of(rejection.reason)
        )
        log.emit(
            Event.GATEWAY_REJECTED,
            request=attempt,
            route=route,
            status=rejection.status,
            reason=rejection.reason,
            detail=rejection.detail,
            retry_after_s=rejection.retry_after_s,
            version=self._board.version,
            age_s=round(age_s, 3),
        )


def _may_keep(body):
    """Return whether a response is kept until it is complete."""
    return body.allowed and body.size <= BUFFERED_RESPONSE_BYTES


async def _send_all(caller, parts):
    for part in parts:
        await caller.send(part)


def _check_origin(head):
    """Raise EndpointBrokenError if no endpoint vouches for a response.

    A faulty endpoint may write bytes that have the form of a response.
    """
    if 200 <= head.status < 300 and not head.signed:
        raise exceptions.EndpointBrokenError('the success has no signature')
    if not (head.named or head.signed or head.not_run):
        raise exceptions.EndpointBrokenError('the answer names no request')


def _can_go_on(route, progress):
    """Return whether another endpoint may write the rest of a stream."""
    return route.resumable and not progress.has_unnumbered


def _without_length(head):
    """Return a head without the length of its body.

    The rest of a stream may come from another endpoint, with another length.
    """
    headers = [h for h in head.headers if h[0] != b'content-length']
    return head._replace(headers=tuple(headers))


def _is_stream(route, head, progress):
    """Return whether a response is a stream, or the rest of one."""
    if head.status != 200:
        return False
    if head.content_type is None:
        return route.streaming and not progress.content_type_known
    return head.content_type.startswith(event_stream.CONTENT_TYPE)


def _find_ended_by(progress):
    """Return what ended the last attempt of a response that broke off."""
    if progress.failed is None:
        return 'limit'
    return 'gateway' if progress.handed_over else 'endpoint'


def _may_pass(rejection):
    """Return whether there may be a place a moment later."""
    if rejection.reason == model.STOPPING.reason:
        return False
    return rejection.status == 503


def _find_look_on_s(pending, now):
    """Return for how long to look for a place after a handover."""
    return min(
        LOOK_ON_OBJECTIVES * pending.route.objective_s,
        LOOK_ON_SHARE * (pending.deadline_at - now),
    )


def _find_extension_s(pending):
    """Return for how much longer to wait for the response head."""
    if pending.runner.last_heard_at <= pending.sent_at:
        return 0.0
    return ALIVE_EXTENSION_OBJECTIVES * pending.route.objective_s


def _label_of(reason):
    """Return the part of a reason before a colon, to bound label values."""
    return reason.partition(':')[0]


def _ending_of(outcome):
    if isinstance(outcome, Relayed):
        failed = outcome.status >= 500
        return Ending.FAILED if failed else Ending.ANSWERED
    if isinstance(outcome, Replaced):
        return Ending.SILENT
    return outcome.ending

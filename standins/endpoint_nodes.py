"""Simulate endpoints of plain services and model engines."""

from __future__ import annotations

import abc
import collections

from persimmonroute.entry import routing
from persimmonroute import pacing
from persimmonroute.sidecar import messages
from standins import engine_model

RESTART_DELAY_S = 1.0


def one_way_delay_s(locality, instance):
    """Return the one-way network delay from a locality to an instance."""
    if locality.failure_domain == instance.failure_domain:
        return routing.DELAY_SAME_DOMAIN_S
    if locality.region == instance.region:
        return routing.DELAY_SAME_REGION_S
    return routing.DELAY_OTHER_REGION_S


class EndpointNode(abc.ABC):
    """Run attempts and count the runs of each."""

    def __init__(self, simulation):
        self._simulation = simulation
        self.listener = None
        self.alive = True
        # Runs by attempt id, in order of arrival.
        self.runs = collections.Counter()
        # Runs by request body, across attempt ids.
        self.runs_by_body = collections.Counter()
        # Request bodies that crash the endpoint.
        self.poison: frozenset[bytes] = frozenset()
        # Text that crashes the endpoint wherever it is in a request.
        self.poison_text: bytes | None = None
        self.crashes = 0
        # Requests per second that responses name as the limit.
        self.limit_per_s = pacing.UNLIMITED
        # When each request arrived.
        self.arrivals = []
        self.silent = False
        # Events of a silent endpoint, until it goes on.
        self._delayed = []

    def start(self, attempt, offer):
        """Run an attempt, or fail it while the endpoint is down."""
        if not self.alive:
            self._fail(attempt, False)
            return
        self.runs[attempt] += 1
        self.runs_by_body[offer.body] += 1
        self.arrivals.append(self._simulation.now)
        self._emit(messages.EndpointNamedLimit(attempt, self.limit_per_s))
        crashing = self.poison_text and self.poison_text in offer.body
        if crashing or offer.body in self.poison:
            self._simulation.schedule(0.05, self.crash)
        self._run(attempt, offer)

    def crash(self):
        """Crash, fail all attempts in progress and schedule a restart."""
        if not self.alive:
            return
        self.alive = self.silent = False
        self.crashes += 1
        unsent = {
            event.attempt_id
            for event in self._delayed
            if isinstance(event, messages.EndpointEnded)
        }
        self._delayed.clear()
        interrupted = sorted(unsent.union(self._drop_all()))
        self._emit(messages.EndpointProbed(False))
        for attempt in interrupted:
            self._fail(attempt, True)
        self._simulation.schedule(RESTART_DELAY_S, self._restart)

    def _restart(self):
        self.alive = True

    def disconnect(self):
        """Close all connections; what they had not delivered is lost."""
        self.listener = None
        self._delayed.clear()

    def fall_silent(self, seconds):
        """Send nothing for a while, then go on."""
        self.silent = True
        self._simulation.schedule(seconds, self._go_on)

    def _go_on(self):
        self.silent = False
        delayed, self._delayed = self._delayed, []
        for event in delayed:
            self._emit(event)

    def _emit(self, event):
        if self.listener is None:
            return
        if self.silent:
            self._delayed.append(event)
        else:
            self.listener(event)

    def _fail(self, attempt, sent):
        # As the sidecar shell does, probe before reporting a failure.
        self._emit(messages.EndpointProbed(self.alive))
        failed = messages.EndpointFailed(attempt, sent, 'endpoint died')
        self._emit(failed)

    @abc.abstractmethod
    def list_streams(self):
        """Return the attempts whose streams can be resumed."""

    @abc.abstractmethod
    def resume(self, attempt, offset):
        """Resume a stream from a byte offset."""

    @abc.abstractmethod
    def cancel(self, attempt):
        """Stop an attempt."""

    @abc.abstractmethod
    def _run(self, attempt, offer):
        """Start running an attempt."""

    @abc.abstractmethod
    def _drop_all(self):
        """Discard all state and return the attempts in progress."""


class PlainNode(EndpointNode):
    """Simulate an instance of a plain service."""

    def __init__(self, simulation, seconds=0.02):
        super().__init__(simulation)
        self.service_time_s = seconds
        self._in_progress = set()

    def list_streams(self):
        """Return an empty set; plain services keep no streams."""
        return frozenset()

    def resume(self, attempt, offset):
        """Fail the attempt, since its response is lost."""
        self._fail(attempt, True)

    def cancel(self, attempt):
        """Do nothing; a plain service cannot cancel a call."""

    def _run(self, attempt, offer):
        self._in_progress.add(attempt)
        self._simulation.schedule(
            self.service_time_s, self._end, attempt, offer.body
        )

    def _end(self, attempt, body):
        if attempt in self._in_progress:
            self._in_progress.discard(attempt)
            response = b'receipt:' + body
            self._emit(messages.EndpointData(attempt, response, 0))
            self._emit(messages.EndpointEnded(attempt, 201, 'text/plain'))

    def _drop_all(self):
        dropped, self._in_progress = sorted(self._in_progress), set()
        return dropped


class ModelNode(EndpointNode):
    """Simulate a model engine."""

    def __init__(self, simulation, speed):
        super().__init__(simulation)
        self._speed = speed
        self.model = engine_model.EngineModel(speed)
        self._streams: dict[str, bytearray] = {}
        self._words: dict[str, list[bytes]] = {}
        # Precedes each word of the streams that begin from now on.
        self.version = b''
        self._done: set[str] = set()
        # Prompt tokens prefilled here that any engine had prefilled before.
        self.repeated_tokens = 0
        self.tokens_before_crash = 0
        self._stepping = False

    def list_streams(self):
        """Return the attempts whose streams can be resumed."""
        return frozenset(self._streams)

    def resume(self, attempt, offset):
        """Resume a stream from a byte offset."""
        if not self.alive:
            # The new connection is refused, so this resume was not sent,
            # although the attempt itself may have run before.
            self._fail(attempt, False)
            return
        if attempt not in self._streams:
            self._fail(attempt, True)
            return
        data = bytes(self._streams[attempt][offset:])
        if data:
            self._emit(messages.EndpointData(attempt, data, 0))
        if attempt in self._done:
            self._emit(messages.EndpointEnded(attempt, 200, 'text'))

    def cancel(self, attempt):
        """Stop an attempt."""
        self.model.cancel(attempt)
        if attempt in self._streams:
            self._done.add(attempt)
            self._emit(messages.EndpointEnded(attempt, 200, 'text'))

    @property
    def prefilled_tokens(self):
        """Return all prefilled tokens, including those before crashes."""
        return self.tokens_before_crash + self.model.prefilled_tokens

    def slow_down(self, factor):
        """Multiply the time of every step by a factor."""
        self.model.slowdown = factor

    def _run(self, attempt, offer):
        self._streams[attempt] = bytearray()
        text = offer.body.decode()
        words = engine_model.response_words(text, offer.output_tokens)
        self._words[attempt] = [self.version + w.encode() for w in words]
        self._count_repeated_prefill(offer)
        self.model.submit(
            attempt,
            tuple(offer.prefix_blocks),
            offer.prompt_tokens,
            offer.output_tokens,
        )
        if not self._stepping:
            self._stepping = True
            self._step()

    def _count_repeated_prefill(self, offer):
        blocks = tuple(offer.prefix_blocks)
        cached = self.model.count_cached(blocks)
        computed = self._simulation.computed_blocks
        repeated = [b for b in blocks[cached:] if b in computed]
        self.repeated_tokens += len(repeated) * engine_model.BLOCK_TOKENS
        computed.update(blocks)

    def _step(self):
        if not self.alive or not self.model.in_progress:
            self._stepping = False
            return
        seconds, tokens = self.model.step()
        self._simulation.schedule(seconds, self._step_done, self.model, tokens)

    def _step_done(self, model, tokens):
        if model is not self.model:
            return
        for token in tokens:
            self._append_token(token)
        self._step()

    def _append_token(self, token):
        attempt = token.request_id
        if attempt in self._done:
            return
        word = self._words[attempt][token.index]
        self._streams[attempt] += word
        self._emit(messages.EndpointData(attempt, word, 1))
        if token.last:
            self._done.add(attempt)
            self._emit(messages.EndpointEnded(attempt, 200, 'text'))

    def _drop_all(self):
        dropped = sorted(set(self._streams) - self._done)
        self.tokens_before_crash += self.model.prefilled_tokens
        self.model = engine_model.EngineModel(self._speed)
        self._streams.clear()
        self._done.clear()
        self._stepping = False
        return dropped


def expected_response(call):
    """Return the complete response expected for a call."""
    if call.output_tokens:
        text = call.body.decode()
        words = engine_model.response_words(text, call.output_tokens)
        return ''.join(words).encode()
    return b'receipt:' + call.body

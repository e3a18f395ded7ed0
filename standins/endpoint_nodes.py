"""Stand in for endpoints inside a simulation with its own clock."""

from __future__ import annotations

import abc
import collections

from persimmonroute.entry import routing
from persimmonroute.sidecar import messages
from standins import engine_model

RESTART_S = 1.0


def one_way_delay_s(locality, instance):
    """Return the one-way delay in seconds between two places."""
    if locality.failure_domain == instance.failure_domain:
        return routing.DELAY_SAME_DOMAIN_S
    if locality.region == instance.region:
        return routing.DELAY_SAME_REGION_S
    return routing.DELAY_OTHER_REGION_S


class EndpointNode(abc.ABC):
    """Run attempts and count how often each one ran."""

    def __init__(self, simulation):
        self._simulation = simulation
        self.listener = None
        self.alive = True
        # Attempts in the order in which they were sent here.
        self.runs = collections.Counter()
        # Contents that ran, whatever attempt brought them.
        self.contents = collections.Counter()
        # Content that crashes the endpoint.
        self.poison: frozenset[bytes] = frozenset()
        self.crashes = 0

    def start(self, attempt, offer):
        """Run an attempt."""
        if not self.alive:
            self._fail(attempt, False)
            return
        self.runs[attempt] += 1
        self.contents[offer.body] += 1
        if offer.body in self.poison:
            self._simulation.schedule(0.05, self.crash)
        self._begin(attempt, offer)

    def crash(self):
        """End the endpoint and break off all it runs; it restarts."""
        if not self.alive:
            return
        self.alive = False
        self.crashes += 1
        broken = self._drop_all()
        self._emit(messages.EndpointProbed(False))
        for attempt in broken:
            self._fail(attempt, True)
        self._simulation.schedule(RESTART_S, self._restart)

    def _restart(self):
        self.alive = True

    def _emit(self, event):
        if self.listener is not None:
            self.listener(event)

    def _fail(self, attempt, sent):
        # The shell probes before it reports a failure.
        self._emit(messages.EndpointProbed(self.alive))
        failed = messages.EndpointFailed(attempt, sent, 'endpoint died')
        self._emit(failed)

    @abc.abstractmethod
    def list_streams(self):
        """Return the attempts whose streams are kept."""

    @abc.abstractmethod
    def resume(self, attempt, offset):
        """Read on a kept stream from a byte offset."""

    @abc.abstractmethod
    def cancel(self, attempt):
        """Stop an attempt."""

    @abc.abstractmethod
    def _begin(self, attempt, offer):
        """Begin to run an attempt."""

    @abc.abstractmethod
    def _drop_all(self):
        """Forget everything and return the attempts in progress."""


class PlainNode(EndpointNode):
    """Stand in for an instance of a plain service."""

    def __init__(self, simulation, seconds=0.02):
        super().__init__(simulation)
        self._seconds = seconds
        self._in_progress = set()

    def list_streams(self):
        """Return nothing; a plain service keeps no streams."""
        return frozenset()

    def resume(self, attempt, offset):
        """Report that the answer is lost."""
        self._fail(attempt, True)

    def cancel(self, attempt):
        """Leave the call to end by itself."""

    def _begin(self, attempt, offer):
        self._in_progress.add(attempt)
        self._simulation.schedule(
            self._seconds, self._end, attempt, offer.body
        )

    def _end(self, attempt, body):
        if attempt in self._in_progress:
            self._in_progress.discard(attempt)
            answer = b'receipt:' + body
            self._emit(messages.EndpointData(attempt, answer, 0))
            self._emit(messages.EndpointEnded(attempt, 201, 'text/plain'))

    def _drop_all(self):
        dropped, self._in_progress = sorted(self._in_progress), set()
        return dropped


class ModelNode(EndpointNode):
    """Stand in for a model engine."""

    def __init__(self, simulation, speed):
        super().__init__(simulation)
        self._speed = speed
        self.model = engine_model.EngineModel(speed)
        self._streams: dict[str, bytearray] = {}
        self._words: dict[str, list[bytes]] = {}
        self._done: set[str] = set()
        # Prefill of blocks that some engine had computed before.
        self.repeated_tokens = 0
        self.lost_tokens = 0
        self._stepping = False

    def list_streams(self):
        """Return the attempts whose streams are kept."""
        return frozenset(self._streams)

    def resume(self, attempt, offset):
        """Read on a kept stream from a byte offset."""
        if not self.alive:
            # The new connection was refused, whatever came before it.
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
        """Return all prefill of this engine, also before its crashes."""
        return self.lost_tokens + self.model.prefilled_tokens

    def slow_down(self, factor):
        """Make every step take longer by a factor."""
        self.model.slowdown = factor

    def _begin(self, attempt, offer):
        self._streams[attempt] = bytearray()
        text = offer.body.decode()
        words = engine_model.answer_words(text, offer.output_tokens)
        self._words[attempt] = [word.encode() for word in words]
        self._count_repeated(offer)
        self.model.submit(
            attempt,
            tuple(offer.prefix_blocks),
            offer.prompt_tokens,
            offer.output_tokens,
        )
        if not self._stepping:
            self._stepping = True
            self._step()

    def _count_repeated(self, offer):
        blocks = tuple(offer.prefix_blocks)
        cached = self.model.count_cached(blocks)
        known = self._simulation.computed_blocks
        repeated = [b for b in blocks[cached:] if b in known]
        self.repeated_tokens += len(repeated) * engine_model.BLOCK_TOKENS
        known.update(blocks)

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
            self._put_token(token)
        self._step()

    def _put_token(self, token):
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
        self.lost_tokens += self.model.prefilled_tokens
        self.model = engine_model.EngineModel(self._speed)
        self._streams.clear()
        self._done.clear()
        self._stepping = False
        return dropped


def expected_answer(call):
    """Return the whole answer that belongs to a call."""
    if call.output_tokens:
        text = call.body.decode()
        words = engine_model.answer_words(text, call.output_tokens)
        return ''.join(words).encode()
    return b'receipt:' + call.body

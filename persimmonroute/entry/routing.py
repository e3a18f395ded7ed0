"""Choose the sidecar that a request is offered to."""

from __future__ import annotations

import abc
import collections
import typing

import xxhash

# One-way network delays.
DELAY_SAME_DOMAIN_S = 0.0005
DELAY_SAME_REGION_S = 0.001
DELAY_OTHER_REGION_S = 0.008
OTHER_REGION_BYTES_PER_S = 15e6 / 8
BYTES_PER_TOKEN = 4
# Share of the bandwidth to other regions that one request can expect.
BANDWIDTH_SHARE = 0.25
DEFAULT_PREFILL_TOKENS_PER_S = 5000.0
BLOCK_TOKENS = 64
PREFIX_INDEX_BLOCKS = 100_000
# Predictions up to this share of the target leave a safe margin.
SAFE_SHARE = 0.5
# Seconds of extra queueing accepted to save one second of prefill.
REUSE_WEIGHT = 4.0


class Prediction(typing.NamedTuple):
    """Store the predicted time to first token at one sidecar, in seconds."""

    sidecar: str
    wait_s: float
    prefill_s: float
    network_s: float

    @property
    def total_s(self):
        """Return the predicted time to first token in seconds."""
        return self.wait_s + self.prefill_s + self.network_s

    def __str__(self):
        return (
            f'{self.sidecar}:wait={self.wait_s:.3f}'
            f',prefill={self.prefill_s:.3f},link={self.network_s:.4f}'
        )


class Decision(typing.NamedTuple):
    """Store the chosen sidecar and the predictions behind the choice."""

    chosen: Prediction | None
    predictions: tuple[Prediction, ...]


def _total_s(prediction):
    return prediction.wait_s + prediction.prefill_s + prediction.network_s


class RoutingPolicy(abc.ABC):
    """Define the interface of routing policies."""

    @abc.abstractmethod
    def choose(self, record, candidates, locality):
        """Return the Decision for a request among candidate sidecars."""

    def record_offer(self, record, sidecar):
        """Update the policy after a request was offered to a sidecar."""


class PrefixIndex:
    """Map prompt blocks to the sidecars that processed them (LRU)."""

    def __init__(self, capacity=PREFIX_INDEX_BLOCKS):
        self._capacity = capacity
        self._holders = collections.OrderedDict()

    def add(self, blocks, sidecar):
        """Record that a sidecar processes these blocks."""
        for block in blocks:
            holders = self._holders.pop(block, frozenset())
            self._holders[block] = holders | {sidecar}
        while len(self._holders) > self._capacity:
            self._holders.popitem(last=False)

    def cached_tokens(self, blocks, sidecars):
        """Return how many leading tokens each sidecar has cached."""
        cached = dict.fromkeys(sidecars, 0)
        matching = cached.keys()
        for count, block in enumerate(blocks, start=1):
            matching = matching & self._holders.get(block, frozenset())
            if not matching:
                break
            for sidecar in matching:
                cached[sidecar] = count * BLOCK_TOKENS
        return cached


def network_seconds(locality, instance, size):
    """Return the network delay of a request of size bytes, in seconds."""
    if instance.failure_domain == locality.failure_domain:
        return DELAY_SAME_DOMAIN_S
    if instance.region == locality.region:
        return DELAY_SAME_REGION_S
    rate = OTHER_REGION_BYTES_PER_S * BANDWIDTH_SHARE
    return 2 * DELAY_OTHER_REGION_S + size / rate


class PredictedFirstToken(RoutingPolicy):
    """Meet the latency target first, then maximize prefix cache reuse.

    Among the sidecars predicted to meet the target with a safe margin, the
    one with the longest cached prefix is preferred. A prompt cached by none
    goes to the sidecar given by rendezvous hashing of its first block, so
    that all entries agree without coordination.
    """

    def __init__(self):
        self._prefixes = PrefixIndex()

    def choose(self, record, candidates, locality):
        """Return the decision by predicted time and prefix reuse."""
        names = [view.instance.name for view in candidates]
        cached = self._prefixes.cached_tokens(record.call.prefix_blocks, names)
        predictions = tuple(
            self._predict(record, view, locality, cached[view.instance.name])
            for view in candidates
        )
        speed = _mean_speed(candidates)
        return Decision(
            _choose(record, predictions, cached, speed), predictions
        )

    def record_offer(self, record, sidecar):
        """Record the prompt blocks that the sidecar will cache."""
        self._prefixes.add(record.call.prefix_blocks, sidecar)

    def _predict(self, record, view, locality, cached):
        call = record.call
        waits = view.wait_s
        wait = waits[record.work_class.tier - 1] if waits else 0.0
        size = len(call.body) + call.output_tokens * BYTES_PER_TOKEN
        return Prediction(
            view.instance.name,
            wait + view.outstanding_total_s,
            prefill_seconds(call, view, cached),
            network_seconds(locality, view.instance, size),
        )


def _choose(record, predictions, cached, speed):
    safe_s = SAFE_SHARE * record.work_class.target.start_s
    safe = [p for p in predictions if _total_s(p) <= safe_s]
    if not safe:
        return min(predictions, key=_total_s, default=None)
    blocks = record.call.prefix_blocks
    if blocks and not any(cached.values()):
        preferred = max(
            safe, key=lambda p: _affinity_weight(blocks[0], p.sidecar)
        )
        cached = {preferred.sidecar: len(blocks) * BLOCK_TOKENS}
    weight = REUSE_WEIGHT / speed
    return min(
        safe, key=lambda p: _total_s(p) - weight * cached.get(p.sidecar, 0)
    )


def _mean_speed(candidates):
    speeds = [
        view.prefill_tokens_per_s or DEFAULT_PREFILL_TOKENS_PER_S
        for view in candidates
    ]
    return sum(speeds) / len(speeds) if speeds else 1.0


def _affinity_weight(block, sidecar):
    return xxhash.xxh3_64_intdigest(f'{block}|{sidecar}'.encode())


def prefill_seconds(call, view, cached=0):
    """Return the prefill time of a request at a sidecar, in seconds."""
    speed = view.prefill_tokens_per_s or DEFAULT_PREFILL_TOKENS_PER_S
    return max(call.prompt_tokens - cached, 0) / speed


class RoundRobin(RoutingPolicy):
    """Cycle through the candidates, as a baseline policy."""

    def __init__(self):
        self._position = 0

    def choose(self, record, candidates, locality):
        """Return the next candidate."""
        if not candidates:
            return Decision(None, ())
        self._position += 1
        view = candidates[self._position % len(candidates)]
        chosen = Prediction(view.instance.name, 0.0, 0.0, 0.0)
        return Decision(chosen, (chosen,))


class LeastReportedLoad(RoutingPolicy):
    """Choose the least reported load, as a baseline policy."""

    def choose(self, record, candidates, locality):
        """Return the candidate with the fewest running and queued requests."""
        predictions = tuple(
            Prediction(
                view.instance.name,
                float(view.load.running + view.load.queued),
                0.0,
                0.0,
            )
            for view in candidates
        )
        chosen = min(predictions, key=lambda p: p.wait_s, default=None)
        return Decision(chosen, predictions)

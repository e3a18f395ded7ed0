"""Attribute crashes of endpoints to what requests have in common.

A crash is due to a whole request that its caller repeats, or to one part of
the prompts of requests that are otherwise unlike. Both are called a trait
here. Crashes are attributed to as few traits as explain them.
"""

from __future__ import annotations

import collections
import typing

# Crashes under a trait, apart from each other, after which it is quarantined.
CRASH_LIMIT = 3
# Crashes that are nearer to each other count as one: a failure of a whole
# failure domain ends many endpoints, whatever they are working on.
MIN_CRASH_DISTANCE_S = 0.25
# An endpoint that has sent parts of a response for longer does not crash
# because of the request.
HARMLESS_RESPONSE_S = 0.5
# A trait is forgotten this long after its last crash. Once quarantined, it is
# kept for longer: each new trial costs an endpoint and all that runs there.
SUSPECT_TTL_S = 120.0
QUARANTINE_TTL_S = 600.0
# A trait of a request that was answered is no suspect for this long.
SOUND_TTL_S = 600.0
MAX_SUSPECTS = 256
MAX_SOUND_TRAITS = 8192
MAX_CRASHES_PER_SUSPECT = 32
# Prefix blocks of a prompt that count as traits: those that requests share
# are the first ones.
MAX_PREFIX_BLOCKS = 32


class Trait(typing.NamedTuple):
    """Identify something that requests have in common."""

    hash: int
    # Of several traits that explain the same crashes, the most specific one
    # is quarantined.
    specificity: int


class Evidence:
    """Collect the crashes under one trait, and when they were detected."""

    def __init__(self, specificity):
        self.specificity = specificity
        # Times of the crashes by their id.
        self.crashes = {}
        # True if an endpoint crashed under a request of this process.
        self.own = False

    @property
    def last_at(self):
        """Return when the latest crash was detected."""
        return max(self.crashes.values())

    def count_apart(self, explained):
        """Return the number of unexplained crashes, near ones as one."""
        count, counted_at = 0, None
        unexplained = (
            at for crash, at in self.crashes.items() if crash not in explained
        )
        for at in sorted(unexplained):
            if counted_at is None or at - counted_at >= MIN_CRASH_DISTANCE_S:
                count, counted_at = count + 1, at
        return count


class CrashAttribution:
    """Quarantine the traits that explain the crashes."""

    def __init__(self):
        self._evidence = collections.OrderedDict()
        # Traits of answered requests, with the time of the latest answer.
        self._sound = collections.OrderedDict()
        self._quarantined = frozenset()

    @property
    def quarantined(self):
        """Return the hashes of the traits that must not be sent."""
        return self._quarantined

    @property
    def suspects(self):
        """Return the hashes of all traits with a crash."""
        return self._evidence.keys()

    def attribute(self, crash, traits, at):
        """Add a crash that was detected at a time to all traits under it.

        Returns the hashes of the traits that are suspected of it.
        """
        for trait in traits:
            self._add(crash, trait, at)
        suspects = {trait.hash for trait in traits} & self._evidence.keys()
        for trait in suspects:
            self._evidence[trait].own = True
        self._decide()
        return suspects

    def record_sound(self, traits, now):
        """Clear the traits, by hash, of a request that was answered."""
        for trait in traits:
            self._sound.pop(trait, None)
            self._sound[trait] = now
        while len(self._sound) > MAX_SOUND_TRAITS:
            self._sound.popitem(last=False)
        self._clear(self._evidence.keys() & traits, now)

    def expire(self, now):
        """Drop what is too old."""
        for trait, evidence in list(self._evidence.items()):
            ttl_s = SUSPECT_TTL_S
            if trait in self._quarantined:
                ttl_s = QUARANTINE_TTL_S
            if now - evidence.last_at > ttl_s:
                del self._evidence[trait]
        while self._sound:
            trait, answered_at = next(iter(self._sound.items()))
            if now - answered_at <= SOUND_TTL_S:
                break
            del self._sound[trait]
        self._decide()

    def _add(self, crash, trait, at):
        if trait.hash in self._sound:
            return
        evidence = self._evidence.get(trait.hash)
        if evidence is None:
            evidence = self._evidence[trait.hash] = Evidence(trait.specificity)
            while len(self._evidence) > MAX_SUSPECTS:
                self._evidence.popitem(last=False)
        if len(evidence.crashes) < MAX_CRASHES_PER_SUSPECT:
            evidence.crashes.setdefault(crash, at)

    def _clear(self, traits, now):
        for trait in list(traits):
            self._evidence.pop(trait, None)
            self._sound[trait] = now
        if traits:
            self._decide()

    def _decide(self):
        self._quarantined = frozenset(self._find_culprits())

    def _find_culprits(self):
        """Return as few traits as explain the crashes, most crashes first."""
        explained, culprits = set(), set()
        ordered = sorted(
            self._evidence.items(),
            key=lambda item: (-len(item[1].crashes), -item[1].specificity),
        )
        for trait, evidence in ordered:
            if len(evidence.crashes) < CRASH_LIMIT:
                break
            if evidence.count_apart(explained) >= CRASH_LIMIT:
                culprits.add(trait)
                explained |= evidence.crashes.keys()
        return culprits

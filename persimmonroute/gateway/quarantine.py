"""Stop forwarding requests that crash endpoints.

The crashes that all gateways see are attributed to traits of requests. What
is quarantined is also kept in the store.
"""

from __future__ import annotations

import collections
import typing

import xxhash

from persimmonroute import crash_attribution
from persimmonroute.crash_attribution import Trait

# A crash is detected within this time after the attempts failed: by refused
# connections, or by a new incarnation in the endpoint's registration.
CRASH_DETECTION_S = 6.0
# An attempt that fails within this time after a crash was detected was in
# progress when the endpoint crashed.
LATE_FAILURE_S = 1.0
# The reports of peers may change the attribution for this long after a crash.
SETTLING_S = 0.5
MAX_DETECTED_CRASHES = 256
# Bound the size of reports, which are datagrams.
MAX_REPORTED = 16
MAX_REPORTED_CRASHES = 8
# Specificity of a whole request; parts have their position in the prompt.
WHOLE_REQUEST = 255


class Suspect(typing.NamedTuple):
    """Store the crashes under a trait that one gateway has seen."""

    specificity: int
    # Seconds since each crash was detected, by the id of the crash.
    crash_ages_s: dict[int, float]


class PeerFindings(typing.NamedTuple):
    """Store what a peer reports about traits, by their hash."""

    suspects: dict[int, Suspect]
    # Suspects of others that the peer knows to be sound.
    sound: frozenset[int]


NO_FINDINGS = PeerFindings({}, frozenset())


class BrokenAttempt(typing.NamedTuple):
    """Record an attempt that failed as one at a crash does."""

    traits: tuple[Trait, ...]
    at: float


class Quarantine(crash_attribution.CrashAttribution):
    """Detect crashes of endpoints and share what they are attributed to.

    A broken attempt alone is not a crash, since the network can also lose
    a response.
    """

    def __init__(self):
        super().__init__()
        self._broken = {}
        # Crashes of incarnations that were just detected, with their time.
        self._crashed = collections.OrderedDict()
        # Ids of the crashes that each peer reported last, by trait.
        self._peer_suspects = {}
        # Traits in the store, with the time when they were first read.
        self._stored = {}
        # Traits that were in the store and are not quarantined any more.
        self._obsolete = set()

    @property
    def stored(self):
        """Return the traits that the store holds, or held before a restore."""
        return self._stored.keys()

    @property
    def obsolete(self):
        """Return the traits to remove from the store."""
        return frozenset(self._obsolete)

    def record_broken(self, traits, runner, now):
        """Record an attempt that failed as one at a crash does.

        traits are those of its request, runner is the model.Runner.
        """
        crash = crash_id(runner)
        crashed_at = self._crashed.get(crash)
        if crashed_at is not None and now - crashed_at <= LATE_FAILURE_S:
            self.attribute(crash, traits, now)
            return
        recent = self._recent(crash, now)
        recent.append(BrokenAttempt(traits, now))
        self._broken[crash] = recent

    def record_crash(self, runner, now):
        """Attribute a crash to all attempts that just broke there.

        Returns the hashes of the traits that are suspected of it.
        """
        crash = crash_id(runner)
        traits = [
            t for broken in self._recent(crash, now) for t in broken.traits
        ]
        self._broken.pop(crash, None)
        self._crashed[crash] = now
        while len(self._crashed) > MAX_DETECTED_CRASHES:
            self._crashed.popitem(last=False)
        return self.attribute(crash, traits, now) if traits else set()

    def record_response(self, request, now):
        """Clear the traits of a request that an endpoint has answered."""
        traits = {trait.hash for trait in read_part_traits(request)}
        if self._evidence or self._quarantined:
            whole = fingerprint(request)
            if whole in self._evidence or whole in self._quarantined:
                traits.add(whole)
        self.record_sound(traits, now)

    def expire(self, now):
        """Drop what is too old."""
        for trait, stored_at in list(self._stored.items()):
            if now - stored_at > crash_attribution.QUARANTINE_TTL_S:
                self._withdraw(trait)
        for crash in list(self._broken):
            if not self._recent(crash, now):
                del self._broken[crash]
        super().expire(now)

    def report(self, now):
        """Return the PeerFindings to report to the peers."""
        own = [
            (trait, evidence)
            for trait, evidence in self._evidence.items()
            if evidence.own
        ]
        own.sort(key=lambda item: (-len(item[1].crashes), -item[1].last_at))
        suspects = {
            trait: Suspect(evidence.specificity, _newest_ages_s(evidence, now))
            for trait, evidence in own[:MAX_REPORTED]
        }
        for trait in self._stored:
            suspects.setdefault(trait, Suspect(0, {}))
        suspected = set().union(*self._peer_suspects.values())
        return PeerFindings(
            suspects, frozenset(suspected & self._sound.keys())
        )

    def apply_peer_findings(self, peer, findings, now):
        """Apply what a peer reports."""
        cleared = findings.sound & (
            self._evidence.keys() | self._stored.keys()
        )
        reported = {
            trait: suspect.crash_ages_s.keys()
            for trait, suspect in findings.suspects.items()
        }
        if reported == self._peer_suspects.get(peer, {}) and not cleared:
            return
        if reported:
            self._peer_suspects[peer] = reported
        else:
            self._peer_suspects.pop(peer, None)
        self._clear(cleared, now)
        for trait, suspect in findings.suspects.items():
            for crash, age_s in suspect.crash_ages_s.items():
                self._add(
                    crash, Trait(trait, suspect.specificity), now - age_s
                )
        self._decide()

    def apply_stored(self, traits, now):
        """Quarantine the traits that the store holds."""
        for trait in traits:
            self._stored.setdefault(trait, now)
            self._obsolete.discard(trait)
        self._decide()

    def find_unstored(self, now):
        """Return the traits to write to the store.

        Only those under which this gateway has seen a crash, and not before
        the reports of the peers may have changed the attribution.
        """
        return [
            trait
            for trait in self._find_culprits()
            if trait not in self._stored
            and (evidence := self._evidence[trait]).own
            and now - evidence.last_at >= SETTLING_S
        ]

    def discard_obsolete(self, traits):
        """Record that traits were removed from the store."""
        self._obsolete -= traits

    def is_quarantined(self, request):
        """Return whether a request must not be sent to endpoints."""
        if not self._quarantined:
            return False
        return any(
            trait.hash in self._quarantined for trait in read_traits(request)
        )

    def record_sound(self, traits, now):
        """Clear the traits, by hash, of a request that was answered."""
        super().record_sound(traits, now)
        # It was sent before its trait was quarantined.
        self._clear(self._stored.keys() & traits, now)

    def _clear(self, traits, now):
        for trait in traits:
            self._withdraw(trait)
        super()._clear(traits, now)

    def _withdraw(self, trait):
        if self._stored.pop(trait, None) is not None:
            self._obsolete.add(trait)

    def _decide(self):
        culprits = self._find_culprits()
        limit = crash_attribution.CRASH_LIMIT
        for trait in self._stored.keys() & self._evidence.keys() - culprits:
            if self._evidence[trait].count_apart(()) >= limit:
                # Another trait explains its crashes better.
                self._withdraw(trait)
        self._quarantined = frozenset(culprits | self._stored.keys())

    def _recent(self, crash, now):
        return [
            broken
            for broken in self._broken.get(crash, ())
            if now - broken.at <= CRASH_DETECTION_S
        ]


def _newest_ages_s(evidence, now):
    """Return the ages of the newest crashes, as many as are reported."""
    newest = sorted(evidence.crashes, key=evidence.crashes.get)
    return {
        crash: max(now - evidence.crashes[crash], 0.0)
        for crash in newest[-MAX_REPORTED_CRASHES:]
    }


def read_traits(request):
    """Return the traits of a request."""
    whole = Trait(fingerprint(request), WHOLE_REQUEST)
    return (whole, *read_part_traits(request))


def read_part_traits(request):
    """Return the traits of a request's prompt.

    The last part belongs to one request or session.
    """
    return tuple(
        Trait(_hash(part.id), min(position, WHOLE_REQUEST - 1))
        for position, part in enumerate(request.prompt[:-1])
    )


def crash_id(runner):
    """Return an id of the crash of one incarnation of an endpoint."""
    name = f'{runner.id}|{runner.started_at_ms}'
    return _hash(name) & 0xFFFF_FFFF


def _hash(text):
    return xxhash.xxh3_64_intdigest(text.encode())


def fingerprint(request):
    """Return a 64-bit hash of a request's content and its caller's key."""
    digest = xxhash.xxh3_64()
    for part in (request.method, request.host, request.target):
        digest.update(part.encode())
    digest.update((request.key or '').encode())
    digest.update(request.body)
    return digest.intdigest()

"""Stop forwarding requests that crash endpoints.

A crash is due to something that the requests in progress have in common: a
whole request that its caller repeats, or one part of the prompts of requests
that are otherwise unlike. Both are called a trait here. The crashes of all
gateways are attributed to as few traits as explain them.
"""

from __future__ import annotations

import collections
import typing

import xxhash

# Crashes under a trait, apart from each other, after which it is quarantined.
CRASH_LIMIT = 3
# Crashes that are nearer to each other count as one: a failure of a whole
# failure domain ends many endpoints, whatever they are working on.
MIN_CRASH_DISTANCE_S = 0.25
# A crash is detected within this time after the attempts failed: by refused
# connections, or by a new incarnation in the endpoint's registration.
CRASH_DETECTION_S = 6.0
# An attempt that fails within this time after a crash was detected was in
# progress when the endpoint crashed.
LATE_FAILURE_S = 1.0
# The reports of peers may change the attribution for this long after a crash.
SETTLING_S = 0.5
# A trait is forgotten this long after its last crash. Once quarantined, it is
# kept for longer: each new trial costs an endpoint and all that runs there.
SUSPECT_TTL_S = 120.0
QUARANTINE_TTL_S = 600.0
# A trait of a request that was answered is no suspect for this long.
SOUND_TTL_S = 600.0
MAX_SUSPECTS = 256
MAX_SOUND_TRAITS = 8192
MAX_CRASHES_PER_SUSPECT = 32
# Bound the size of reports, which are datagrams.
MAX_REPORTED = 16
MAX_REPORTED_CRASHES = 8
# Specificity of a whole request; parts have their position in the prompt.
WHOLE_REQUEST = 255


class Trait(typing.NamedTuple):
    """Identify something that requests have in common."""

    hash: int
    # Of several traits that explain the same crashes, the most specific one
    # is quarantined.
    specificity: int


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
    """Record an attempt that failed before the response had begun."""

    traits: tuple[Trait, ...]
    at: float


class Evidence:
    """Collect the crashes under one trait, and when they became known."""

    def __init__(self, specificity):
        self.specificity = specificity
        self.crashes = {}
        # True if an endpoint crashed under a request of this gateway.
        self.own = False

    @property
    def last_at(self):
        """Return when the latest crash became known."""
        return max(self.crashes.values())

    def newest_ages_s(self, now):
        """Return the ages of the newest crashes, as many as reported."""
        newest = sorted(self.crashes, key=self.crashes.get)
        return {
            crash: max(now - self.crashes[crash], 0.0)
            for crash in newest[-MAX_REPORTED_CRASHES:]
        }

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


class Quarantine:
    """Attribute crashes of endpoints to traits of requests.

    A broken attempt alone is not a crash, since the network can also lose
    a response.
    """

    def __init__(self):
        self._broken = {}
        # Crashes of incarnations that were just detected, with their time.
        self._crashed = collections.OrderedDict()
        self._evidence = collections.OrderedDict()
        self._peer_suspects = {}
        self._sound = collections.OrderedDict()
        self._quarantined = frozenset()
        # Traits in the store, with the time when they were first read.
        self._stored = {}
        # Traits that were in the store and are not quarantined any more.
        self._obsolete = set()

    @property
    def quarantined(self):
        """Return the hashes of the traits that must not be sent."""
        return self._quarantined

    @property
    def suspects(self):
        """Return the hashes of all traits with a crash."""
        return self._evidence.keys()

    def record_broken(self, traits, runner, now):
        """Record an attempt that failed before the response had begun.

        traits are those of its request, runner is the model.Runner.
        """
        crash = crash_id(runner)
        crashed_at = self._crashed.get(crash)
        if crashed_at is not None and now - crashed_at <= LATE_FAILURE_S:
            self._attribute(crash, traits, now)
            self._decide()
            return
        recent = self._recent(crash, now)
        recent.append(BrokenAttempt(traits, now))
        self._broken[crash] = recent

    def record_crash(self, runner, now):
        """Attribute a crash to all attempts that just broke there.

        Returns the hashes of the traits that are suspected of it.
        """
        crash = crash_id(runner)
        suspects = set()
        for broken in self._recent(crash, now):
            suspects |= self._attribute(crash, broken.traits, now)
        self._broken.pop(crash, None)
        self._crashed[crash] = now
        while len(self._crashed) > MAX_SUSPECTS:
            self._crashed.popitem(last=False)
        self._decide()
        return suspects

    def record_response(self, request, now):
        """Clear the traits of a request that an endpoint has answered."""
        for trait in read_part_traits(request):
            self._sound.pop(trait.hash, None)
            self._sound[trait.hash] = now
        while len(self._sound) > MAX_SOUND_TRAITS:
            self._sound.popitem(last=False)
        if not self._evidence and not self._quarantined:
            return
        hashes = {trait.hash for trait in read_traits(request)}
        self._clear(hashes & self._evidence.keys(), now)
        if not hashes.isdisjoint(self._quarantined):
            # It was sent before its trait was quarantined.
            self._clear(hashes & self._quarantined, now)

    def expire(self, now):
        """Drop what is too old."""
        for trait, evidence in list(self._evidence.items()):
            ttl_s = SUSPECT_TTL_S
            if trait in self._quarantined:
                ttl_s = QUARANTINE_TTL_S
            if now - evidence.last_at > ttl_s:
                del self._evidence[trait]
        for trait, stored_at in list(self._stored.items()):
            if now - stored_at > QUARANTINE_TTL_S:
                self._withdraw(trait)
        while self._sound:
            trait, answered_at = next(iter(self._sound.items()))
            if now - answered_at <= SOUND_TTL_S:
                break
            del self._sound[trait]
        for crash in list(self._broken):
            if not self._recent(crash, now):
                del self._broken[crash]
        self._decide()

    def report(self, now):
        """Return the PeerFindings to report to the peers."""
        own = [
            (trait, evidence)
            for trait, evidence in self._evidence.items()
            if evidence.own
        ]
        own.sort(key=lambda item: (-len(item[1].crashes), -item[1].last_at))
        suspects = {
            trait: Suspect(evidence.specificity, evidence.newest_ages_s(now))
            for trait, evidence in own[:MAX_REPORTED]
        }
        for trait in self._stored:
            suspects.setdefault(trait, Suspect(0, {}))
        suspected = set().union(*self._peer_suspects.values())
        return PeerFindings(
            suspects, frozenset(suspected & self._sound.keys())
        )

    def apply_peer_findings(self, peer, findings, now):
        """Apply what a peer reports; return whether it was new."""
        cleared = findings.sound & self._evidence.keys()
        reported = {
            trait: suspect.crash_ages_s.keys()
            for trait, suspect in findings.suspects.items()
        }
        if reported == self._peer_suspects.get(peer, {}) and not cleared:
            return False
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
        return True

    def apply_stored(self, traits, now):
        """Quarantine the traits that the store holds."""
        for trait in traits:
            self._stored.setdefault(trait, now)
            self._obsolete.discard(trait)
        self._decide()

    @property
    def stored(self):
        """Return the traits that the store holds, or held before a restore."""
        return self._stored.keys()

    def find_unstored(self, now):
        """Return the traits to write to the store.

        Only those under which this gateway has seen a crash, and not before
        the reports of the peers may have changed the attribution.
        """
        return [
            trait
            for trait in self._attributed()
            if trait not in self._stored
            and (evidence := self._evidence[trait]).own
            and now - evidence.last_at >= SETTLING_S
        ]

    @property
    def obsolete(self):
        """Return the traits to remove from the store."""
        return frozenset(self._obsolete)

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

    def _attribute(self, crash, traits, now):
        for trait in traits:
            self._add(crash, trait, now)
        suspects = {t.hash for t in traits} & self._evidence.keys()
        for trait in suspects:
            self._evidence[trait].own = True
        return suspects

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
            self._withdraw(trait)
            self._sound[trait] = now
        if traits:
            self._decide()

    def _withdraw(self, trait):
        if self._stored.pop(trait, None) is not None:
            self._obsolete.add(trait)

    def _decide(self):
        attributed = self._attributed()
        for trait in self._stored.keys() & self._evidence.keys() - attributed:
            if self._evidence[trait].count_apart(()) >= CRASH_LIMIT:
                # Another trait explains its crashes better.
                self._withdraw(trait)
        self._quarantined = frozenset(attributed | self._stored.keys())

    def _attributed(self):
        """Return as few traits as explain the crashes, most crashes first."""
        explained, attributed = set(), set()
        ordered = sorted(
            self._evidence.items(),
            key=lambda item: (-len(item[1].crashes), -item[1].specificity),
        )
        for trait, evidence in ordered:
            if len(evidence.crashes) < CRASH_LIMIT:
                break
            if evidence.count_apart(explained) >= CRASH_LIMIT:
                attributed.add(trait)
                explained |= evidence.crashes.keys()
        return attributed

    def _recent(self, crash, now):
        return [
            broken
            for broken in self._broken.get(crash, ())
            if now - broken.at <= CRASH_DETECTION_S
        ]


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

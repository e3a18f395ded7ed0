"""Remember which software version began a stream, and find it again.

A caller may take a stream up again at a gateway that never saw it begin. A
gateway that begins a stream tells two others, its keepers, which every gateway
can compute from the attempt, so what it knew outlives any two gateways. If a
keeper stops, falls silent or starts again while the stream is open, another
one is told. A gateway that is asked to go on with an unknown stream asks the
keepers of all regions, and in a small fleet all gateways. It costs messages
for each stream that begins, not for each gateway.
"""

from __future__ import annotations

import collections
import math
import typing

import xxhash

from persimmonroute import blackboard
from persimmonroute.gateway import admission_messages
from persimmonroute.gateway import open_streams
from persimmonroute.gateway import runners
from persimmonroute import timeouts

# Streams are remembered for this long after their begin, well beyond the
# longest time that callers wait.
STREAM_LIFE_S = runners.VERSION_HISTORY_S
MAX_STREAMS = 20_000
# Gateways that remember a stream beside the one that began it.
KEEPERS = 2
# Gateways asked about one stream. In a fleet of that size all are asked.
MAX_ASKED = 24
# Pauses before a question without a reply is sent again, and before it counts
# as unanswered. Gateways of other regions are tens of milliseconds away.
RESEND_AFTER_S = 0.06
GIVE_UP_AFTER_S = 0.2
# Interval between looks for keepers that are silent.
KEEPER_CHECK_S = 0.2
# A longer pause between two ticks means that this process stood still.
MAX_TICK_PAUSE_S = 0.1
# Key of a stream whose first attempt the caller does not name.
NO_KEY = 0
# Callers write the names of attempts, so questions are bounded.
MAX_QUESTIONS = 500


class Origin(typing.NamedTuple):
    """Name the service and the software version that began a stream."""

    service: str
    version: str


class Send(typing.NamedTuple):
    """Send a message to another gateway."""

    peer: str
    message: admission_messages.StreamMessage


class Resolved(typing.NamedTuple):
    """Answer a question about a stream; None if nobody knows it."""

    question: Question
    origin: Origin | None
    # True if no gateway knows the stream, and none knows of another version
    # that can have begun it. Gateways that missed one may all agree.
    by_exclusion: bool = False


class Question:
    """Track what other gateways reply about one stream."""

    def __init__(self, key, service, asked, now):
        self.key = key
        # The only service that the stream can have begun at, or None.
        self.service = service
        self.unanswered = set(asked)
        # Gateways that stop may know the stream; they are not waited for if
        # the others leave only one possible origin.
        self.stopping = set()
        self.give_up_at = now + GIVE_UP_AFTER_S
        # True once it was extended because this process stood still.
        self.extended = False
        self.resend_at = now + RESEND_AFTER_S
        # Versions of the service that any gateway has seen.
        self.versions = set()
        # Whether any gateway has seen all versions since before the stream
        # can have begun.
        self.history_complete = False

    def add_history(self, versions, complete):
        """Add the versions of the service that a gateway has seen."""
        self.versions.update(versions)
        self.history_complete |= complete

    def extend(self, now):
        """Allow time to read the replies that arrived in a standstill.

        Once, as a process that is always slow has to keep its limits.
        """
        if not self.extended:
            self.extended = True
            self.give_up_at = max(self.give_up_at, now + timeouts.CATCH_UP_S)

    def conclude(self):
        """Return the only possible origin if no gateway knows the stream."""
        certain = (
            self.service is not None
            and not self.unanswered
            and self.history_complete
            and len(self.versions) == 1
        )
        return Origin(self.service, *self.versions) if certain else None


class StreamOrigins(blackboard.Blackboard):
    """Remember the begun streams of this gateway and those it keeps."""

    def __init__(self, own, locality, peer_registry, runner_registry):
        super().__init__()
        self._own = own
        self._locality = locality
        self._peers = peer_registry
        self._runner_registry = runner_registry
        # Origins with the time at which they were learned, oldest first.
        self._origins = collections.OrderedDict()
        self._open = open_streams.OpenStreams()
        self._questions = {}
        # Members by region, as of a generation of the peers.
        self._members = {}
        self._generation = -1
        # Those that can keep streams, with the state that they are of, and the
        # state of which open streams were told.
        self._keeping = None, {}
        self._told_state = None
        self._silent = frozenset()
        self._checked_at = -math.inf
        self._ticked_at = math.inf

    def record_begun(self, workspace, attempt, origin, now):
        """Remember a stream of this gateway, and tell its keepers soon."""
        key = find_key(workspace, attempt)
        self._remember(key, origin, now)
        self._open.add(key, origin)

    def record_complete(self, workspace, attempt):
        """Do not tell further keepers of a stream that is complete."""
        self._open.remove(find_key(workspace, attempt))

    def record_broken_off(self, workspace, attempt):
        """Tell the keepers now, as the caller takes the stream up soon.

        They may have been told before, but datagrams are lost at times.
        Returns whether the stream was open.
        """
        key = find_key(workspace, attempt)
        origin = self._open.remove(key)
        if origin is None:
            return False
        for keeper in self._list_keepers(key):
            self._tell(keeper, key, origin)
        return True

    def ask(self, workspace, attempt, service, now):
        """Return a Question; a Resolved effect follows.

        service is the only one that the stream can have begun at, or None.
        attempt is None if the caller names none.
        """
        key = NO_KEY if attempt is None else find_key(workspace, attempt)
        question = Question(key, service, (), now)
        origin = self._find(key, now)
        if origin is not None:
            self.put(Resolved(question, origin))
            return question
        if len(self._questions) >= MAX_QUESTIONS:
            self.put(Resolved(question, None))
            return question
        question.add_history(*self._history(service, now))
        question.unanswered.update(self._find_asked(key))
        question.stopping.update(self._find_stopping(now))
        self._questions.setdefault(key, []).append(question)
        self._send_question(question)
        self._end_if_answered(question)
        return question

    def withdraw(self, question):
        """Forget a question whose caller is gone."""
        waiting = self._questions.get(question.key, [])
        if question in waiting:
            waiting.remove(question)
        if not waiting:
            self._questions.pop(question.key, None)

    def receive(self, peer, message, now):
        """Process a message of another gateway."""
        if isinstance(message, admission_messages.StreamBegun):
            origin = Origin(message.service, message.version)
            self._remember(message.key, origin, now)
        elif isinstance(message, admission_messages.StreamQuestion):
            self._reply(peer, message, now)
        else:
            self._receive_reply(peer, message, now)

    def tick(self, now):
        """Tell the keepers of new streams, and end old questions."""
        self._tell_keepers(now)
        stood_still = now - self._ticked_at > MAX_TICK_PAUSE_S
        self._ticked_at = now
        for waiting in list(self._questions.values()):
            for question in list(waiting):
                if stood_still:
                    question.extend(now)
                if now >= question.give_up_at:
                    self._conclude(question)
                elif now >= question.resend_at:
                    question.resend_at += RESEND_AFTER_S
                    self._send_question(question)

    def _tell_keepers(self, now):
        """Tell keepers of the open streams that they do not know yet."""
        changed = self._check_keepers(now)
        for key, origin, keeper in self._open.take_untold(
            self._list_keepers, changed
        ):
            self._tell(keeper, key, origin)

    def _tell(self, keeper, key, origin):
        message = admission_messages.StreamBegun(key, *origin)
        self._send(keeper.name, message)

    def _list_keepers(self, key):
        """Return the Keepers of a stream of this gateway."""
        _, members = self._keeping_by_region()
        names = _find_candidates(key, self._locality.region, members)
        return [
            open_streams.Keeper(name, self._peers.find_incarnation(name))
            for name in names
            if name != self._own.name
        ][:KEEPERS]

    def _check_keepers(self, now):
        """Return whether the gateways that can keep streams have changed."""
        if now - self._checked_at >= KEEPER_CHECK_S:
            self._checked_at = now
            self._silent = self._peers.find_silent(now)
        former = self._told_state
        self._told_state = self._keeping_by_region()[0]
        return self._told_state != former

    def _keeping_by_region(self):
        """Return a state, and this gateway and those that can keep streams.

        A gateway that stops is none, and neither is one that is silent.
        """
        state = self._peers.generation, self._silent
        if state != self._keeping[0]:
            others = [
                member
                for member in self._peers.members()
                if member.name not in self._silent
            ]
            self._keeping = state, self._group_by_region([self._own, *others])
        return self._keeping

    def _find(self, key, now):
        origin, at = self._origins.get(key, (None, now))
        return origin if now - at <= STREAM_LIFE_S else None

    def _remember(self, key, origin, now):
        self._origins.pop(key, None)
        self._origins[key] = origin, now
        while self._origins:
            oldest = next(iter(self._origins))
            _, at = self._origins[oldest]
            full = len(self._origins) > MAX_STREAMS
            if not full and now - at <= STREAM_LIFE_S:
                return
            del self._origins[oldest]

    def _history(self, service, now):
        if service is None:
            return (), False
        return self._runner_registry.find_versions(service, now)

    def _reply(self, peer, message, now):
        origin = self._find(message.key, now)
        versions, complete = (), False
        if origin is None:
            versions, complete = self._history(message.service or None, now)
        self._send(
            peer,
            admission_messages.StreamReply(
                message.key, *(origin or ('', '')), tuple(versions), complete
            ),
        )

    def _receive_reply(self, peer, message, now):
        if message.version:
            origin = Origin(message.service, message.version)
            self._remember(message.key, origin, now)
            for question in list(self._questions.get(message.key, ())):
                self._end(question, origin)
            return
        for question in list(self._questions.get(message.key, ())):
            if peer in question.unanswered | question.stopping:
                question.unanswered.discard(peer)
                question.stopping.discard(peer)
                question.add_history(message.versions, message.complete)
                self._end_if_answered(question)

    def _end_if_answered(self, question):
        if question.unanswered:
            return
        if not question.stopping or question.conclude() is not None:
            self._conclude(question)

    def _conclude(self, question):
        self._end(question, question.conclude(), by_exclusion=True)

    def _end(self, question, origin, by_exclusion=False):
        self.withdraw(question)
        self.put(Resolved(question, origin, by_exclusion))

    def _send_question(self, question):
        message = admission_messages.StreamQuestion(
            question.key, question.service or ''
        )
        for peer in sorted(question.unanswered | question.stopping):
            self._send(peer, message)

    def _send(self, peer, message):
        self.put(Send(peer, message))

    def _find_asked(self, key):
        """Return the gateways to ask: the keepers of all regions, others."""
        members = self._members_by_region()
        asked = dict.fromkeys(
            name
            for region in sorted(members)
            for name in _find_candidates(key, region, members)
        )
        asked.update(
            dict.fromkeys(m.name for m in _order(key, self._peers.members()))
        )
        asked.pop(self._own.name, None)
        return list(asked)[:MAX_ASKED]

    def _find_stopping(self, now):
        """Return gateways that stop and still respond, a few of them."""
        return self._peers.find_stopping(now)[:MAX_ASKED]

    def _members_by_region(self):
        if self._generation != self._peers.generation:
            self._generation = self._peers.generation
            self._members = self._group_by_region(
                [self._own, *self._peers.members()]
            )
        return self._members

    def _group_by_region(self, members):
        by_region = {}
        for member in members:
            region = self._locality.region_of(member.failure_domain)
            by_region.setdefault(region, []).append(member)
        return by_region


def _find_candidates(key, region, members):
    """Return the gateways that may keep a stream begun in a region.

    They are one more than the keepers, as one of them may have begun it. They
    are in unlike failure domains, of other regions if need be.
    """
    count = KEEPERS + 1
    candidates = {}
    seen = []
    for near in (region, *sorted(members.keys() - {region})):
        for member in _order(key, members.get(near, ())):
            candidates.setdefault(member.failure_domain, member.name)
            if len(candidates) == count:
                return list(candidates.values())
            seen.append(member.name)
    # There are fewer failure domains.
    return list(dict.fromkeys([*candidates.values(), *seen]))[:count]


def find_key(workspace, attempt):
    """Return the key of a workspace's stream, by its first attempt."""
    owner = '' if workspace is None else workspace.name
    return xxhash.xxh3_64_intdigest(
        f'{len(owner)}:{owner}{attempt}'.encode('utf-8', 'replace')
    )


def _order(key, members):
    return sorted(
        members,
        key=lambda m: xxhash.xxh3_64_intdigest(f'{key}|{m.name}'.encode()),
    )

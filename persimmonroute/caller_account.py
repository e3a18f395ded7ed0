"""Account for what callers make a process hold, and decide who goes first.

It states how much memory and how many connections callers may take, and
chooses whom to refuse or close when that is reached. Made for some thousand
connections: a choice looks at all of them, and happens only in an overload.
"""

from __future__ import annotations

import collections
import enum
import math
import typing

MEGABYTE = 1_000_000
# Share of the memory beside the process's own that callers may take. The rest
# is for copies made while a body is passed on, and for fragmentation.
CALLER_SHARE = 0.5
# Objects of a connection, and those of an open request with the connection to
# its endpoint. A gateway holds 9 kB and 24 kB of them; caller_charges_tests
# compares them.
CONNECTION_BYTES = 12_000
REQUEST_BYTES = 24_000
# Objects of a header of an open request, beside the bytes of its name and
# value. A process holds 300 bytes of them, and the bytes up to 1.2 times.
HEADER_BYTES = 320
HEADER_COPIES = 2
# Largest read of a connection. As many bytes wait for their turn to be parsed,
# and as many are kept by the parser.
READ_BYTES = 16_384
MAX_UNPARSED_BYTES = 2 * READ_BYTES
# Descriptors of the process itself: listening sockets, log, calls to the
# store (32), three ports with 8 connections and 8 that are just accepted
# each (48), and callers' connections that are just accepted (64).
OWN_DESCRIPTORS = 144
# Connections accepted in one step of the event loop, which are also the
# attempts when no descriptor is left.
MAX_ACCEPTS = 32
# Steps of the event loop from accepting a connection to reading its data.
STEPS_UNTIL_READ = 3
# Each request also takes a connection to an endpoint.
DESCRIPTORS_PER_CONNECTION = 2
# Share and number of the descriptors that accepting leaves to connections to
# endpoints and the store, whatever the settings state.
SPARE_SHARE = 0.125
MAX_SPARE_DESCRIPTORS = 128
# Share of these that ports for probes, metrics and peers leave, so that a
# probe is answered while accepting callers pauses.
SMALL_PORT_SHARE = 0.25
# A process whose settings state too little still serves a few callers.
MIN_MEMORY_BYTES = 8 * MEGABYTE
MIN_CONNECTIONS = 8
# Bodies that are larger use this share of the memory only, so that they leave
# some to the others.
LARGE_BODY_BYTES = 262_144
LARGE_SHARE = 0.75
# Where all connections are taken, bodies that make progress keep this share of
# them; the rest is left to new connections.
BODY_CONNECTION_SHARE = 0.75
# A request without progress for this long gives way to others in an overload,
# and so does a connection without a request.
# A caller on a link of 5 Mbit/s sends PROGRESS_BYTES in 7 ms.
STALL_S = 1.0
PROGRESS_BYTES = 4096
# A connection may not have been read for this long after it was accepted. It
# goes after those that were served.
UNREAD_WAIT_S = 0.1
# A response that is not read for this long may be cut if nothing else is left.
UNREAD_STALL_S = 5.0
# Time between two searches for someone who gives way, if there was none.
SEARCH_PAUSE_S = 0.1


class Stage(enum.Enum):
    """Enumerate how far a caller's connection is with a request."""

    IDLE = 'idle'
    HEAD = 'head'
    BODY = 'body'
    # The request is complete and may have run.
    PASSED_ON = 'passed_on'
    # The request was refused; the caller may still read that.
    CLOSING = 'closing'


class Reason(enum.Enum):
    """Enumerate why a caller is refused or its connection is closed."""

    CONNECTIONS = 'connections'
    MEMORY = 'memory'
    HEAD_TIMEOUT = 'head_timeout'
    BODY_TIMEOUT = 'body_timeout'
    IDLE = 'idle'
    UNREAD = 'unread'
    # The caller makes the least progress of those that are behind.
    SLOW_READER = 'slow_reader'
    HEAD_SIZE = 'head_size'
    FRAMING = 'framing'


class AccountLimits(typing.NamedTuple):
    """Limit what callers may make a process hold."""

    memory_bytes: float = math.inf
    body_bytes: float = math.inf
    connections: float = math.inf


def derive_limits(
    memory_mb, own_memory_mb, max_descriptors, body_bytes, body_copies=1
):
    """Return the AccountLimits of an instance.

    memory_mb and max_descriptors are None if the settings do not state them.
    body_copies is how often the process holds a body that it passes on.
    """
    memory, connections = math.inf, math.inf
    if memory_mb is not None:
        spare_mb = max(memory_mb - own_memory_mb, 0)
        memory = CALLER_SHARE * spare_mb * MEGABYTE
        memory = max(memory, MIN_MEMORY_BYTES)
        per_connection = CONNECTION_BYTES + MAX_UNPARSED_BYTES
        connections = memory // per_connection
    if max_descriptors is not None:
        spare = max_descriptors - OWN_DESCRIPTORS
        connections = min(connections, spare // DESCRIPTORS_PER_CONNECTION)
    return AccountLimits(
        memory,
        min(body_bytes, memory / body_copies),
        max(connections, MIN_CONNECTIONS),
    )


def derive_max_used(limit, small_port=False):
    """Return how many descriptors may be in use when accepting.

    limit is how many the process may have.
    """
    if math.isinf(limit):
        return limit
    spare = min(SPARE_SHARE * limit, MAX_SPARE_DESCRIPTORS)
    return int(limit - (SMALL_PORT_SHARE * spare if small_port else spare))


def measure_headers(headers):
    """Return the bytes to be counted for the headers of an open request."""
    size = sum(len(name) + len(value) for name, value in headers)
    return HEADER_BYTES * len(headers) + HEADER_COPIES * size


class Holding:
    """Store what one connection of a caller makes the process hold."""

    def __init__(self, account, opened_at, close):
        self._account = account
        # Called with a Reason to refuse the request or close the connection.
        self.close = close
        self.stage = Stage.IDLE
        # Bytes of partial heads, framing, and requests that are read ahead.
        self.unparsed = 0
        self.body = 0
        # Bytes of responses that wait for the caller to read: those that the
        # application keeps, and those that are written.
        self.queued = 0
        self.written = 0
        self.request = 0
        # Requests that were complete.
        self.served = 0
        # When the connection reached its stage, and when it last made
        # progress.
        self.entered_at = opened_at
        self.progress_at = opened_at
        self._progress_bytes = 0

    @property
    def size(self):
        """Return the bytes that the connection holds."""
        return (
            CONNECTION_BYTES
            + self.unparsed
            + self.body
            + self.unread
            + self.request
        )

    @property
    def unread(self):
        """Return the bytes of responses that the caller has to read."""
        return self.queued + self.written

    @property
    def is_complete(self):
        """Return whether the current request may have run."""
        return self.stage is Stage.PASSED_ON

    def enter(self, stage, now):
        """Record that the connection reached a stage."""
        if stage is not self.stage and self.stage is not Stage.CLOSING:
            self.stage = stage
            self.entered_at = now
            self.progress_at = now
            self._progress_bytes = 0
            self.served += stage is Stage.PASSED_ON

    def record_body(self, size, now):
        """Record bytes of a body as progress, if there are enough."""
        self._progress_bytes += size
        if self._progress_bytes >= PROGRESS_BYTES:
            self._progress_bytes = 0
            self.progress_at = now

    def record_read(self, now):
        """Record that the caller read of its response."""
        self.progress_at = now

    def set_unparsed(self, size, now):
        """Set how many bytes wait to be parsed."""
        if size != self.unparsed:
            self._account.add(size - self.unparsed)
            self.unparsed = size
            self._account.relieve(now)

    def set_written(self, size, now):
        """Set how many bytes of responses are written but not sent."""
        added = size - self.written
        self.written = size
        self._add_unread(added, now)

    def add_queued(self, size, now):
        """Count bytes of a response until they are taken (if negative)."""
        self.queued += size
        self._add_unread(size, now)

    def _add_unread(self, size, now):
        if size:
            self._account.add(size)
        if size > 0:
            self._account.relieve(now)

    def begin_request(self, now, headers=()):
        """Count an open request; return False if there is no memory."""
        self.request = REQUEST_BYTES + measure_headers(headers)
        self._account.add(self.request)
        return self._account.make_room(0, self, now)

    def take_body(self, size, now):
        """Count more bytes of a body; return False if there is no memory."""
        if not self._account.allows_body(self, size, now):
            return False
        self.body += size
        self._account.add_body(size)
        return True

    def end_request(self):
        """Release what the current request holds."""
        self._account.add_body(-self.body)
        self._account.add(-self.request)
        self.body = self.request = 0

    def detach(self):
        """Release everything; what is counted later has no effect."""
        self.end_request()
        self._account.add(-self.unparsed - self.unread)
        self.unparsed = self.queued = self.written = 0
        self._account = CallerAccount()


def find_holding(scope):
    """Return the Holding of the connection of an ASGI scope.

    A server without an account provides none; nothing is counted then.
    """
    state = scope.setdefault('state', {})
    if 'holding' not in state:
        state['holding'] = CallerAccount().open(0.0, lambda reason: None)
    return state['holding']


def _may_give_way(holding, now, idle_s):
    """Return whether a connection may be closed for a new one."""
    quiet_s = now - holding.progress_at
    if holding.stage in (Stage.IDLE, Stage.HEAD):
        return quiet_s >= idle_s
    if holding.stage is Stage.BODY:
        return quiet_s >= STALL_S
    return holding.stage is Stage.CLOSING


class CallerAccount:
    """Account for all connections of callers of one process."""

    def __init__(self, limits=AccountLimits()):
        self.limits = limits
        self.used = 0
        self.body_used = 0
        # Number of refusals by reason.
        self.refusals = collections.Counter()
        # Responses that were cut so that others can be served.
        self.responses_cut = 0
        # Pauses of accepting.
        self.pauses = 0
        self._holdings = {}
        self._search_at = -math.inf
        # Whether connections are being closed. A refusal is written then,
        # which counts as well.
        self._relieving = False

    @property
    def holdings(self):
        """Return the holdings of all connections."""
        return tuple(self._holdings)

    @property
    def accepts_per_step(self):
        """Return how many connections are accepted at once.

        Three steps pass until the first data of a connection are read. Until
        then those that are accepted after it must not take its place.
        """
        if math.isinf(self.limits.connections):
            return MAX_ACCEPTS
        kept = math.floor(BODY_CONNECTION_SHARE * self.limits.connections)
        spare = (self.limits.connections - kept) // STEPS_UNTIL_READ
        return int(max(1, min(spare, MAX_ACCEPTS)))

    def open(self, now, close):
        """Return the Holding of a new connection, or None to refuse it."""
        holding = Holding(self, now, close)
        if len(self._holdings) >= self.limits.connections:
            if not self.make_place(now):
                return None
        self._holdings[holding] = None
        self.used += CONNECTION_BYTES
        return holding

    def count_places(self, now):
        """Return how many connections find a place without a loss.

        Free places are counted, those of connections that may give way and
        have been read, and those of bodies beyond their share.
        """
        ready = sum(
            _may_give_way(h, now, 0.0 if h.served else UNREAD_WAIT_S)
            for h in self._holdings
        )
        bodies = sum(
            h.stage is Stage.BODY and now - h.progress_at < STALL_S
            for h in self._holdings
        )
        kept = BODY_CONNECTION_SHARE * self.limits.connections
        ready += max(bodies - kept, 0)
        return self.limits.connections - len(self._holdings) + ready

    def make_place(self, now):
        """Close a connection for a new one; return False if there is none."""
        victim = (
            self._find_idle(now, STALL_S, STALL_S)
            or self._find_newest_body()
            or self._find_idle(now, UNREAD_WAIT_S, 0.0)
            or self._find_idle(now, 0.0, 0.0)
        )
        if victim is None:
            return False
        victim.close(Reason.CONNECTIONS)
        self.close(victim)
        return True

    def close(self, holding):
        """Forget a connection that is closed, with all that it holds.

        Returns whether it was counted.
        """
        counted = holding in self._holdings
        if counted:
            holding.detach()
            del self._holdings[holding]
            self.used -= CONNECTION_BYTES
        return counted

    def add(self, size):
        """Count bytes that are held, or released if negative."""
        self.used += size

    def add_body(self, size):
        """Count bytes of bodies that are held, or released if negative."""
        self.used += size
        self.body_used += size

    def allows_body(self, holding, size, now):
        """Return whether a body may grow; others may have to give way."""
        if self.body_used == holding.body:
            # A single request is served whatever its size.
            return self.make_room(0, holding, now)
        large = holding.body + size > LARGE_BODY_BYTES
        share = LARGE_SHARE if large else 1.0
        return self.make_room(size, holding, now, share)

    def make_room(self, size, holding, now, body_share=1.0):
        """Return whether there is room; close those without progress for it.

        Requests that may have run are not closed.
        """
        while True:
            lacks_bodies = self._lacks_bodies(size, body_share)
            if not lacks_bodies and self._has_memory(size):
                return True
            victim = self._find_stalled(now, lacks_bodies)
            if victim is None or victim is holding:
                return False
            self._release(victim)

    def relieve(self, now):
        """Close connections until what they hold is within the limit.

        A response is cut only if nothing else is left.
        """
        if self._relieving or now < self._search_at:
            return
        self._relieving = True
        try:
            self._relieve(now)
        finally:
            self._relieving = False

    def _relieve(self, now):
        while not self._has_memory(0):
            victim = (
                self._find_stalled(now)
                or self._find_largest()
                or self._find_unread(now)
            )
            if victim is None:
                self._search_at = now + SEARCH_PAUSE_S
                return
            self.responses_cut += victim.is_complete
            self._release(victim)

    def release_stalled(self, now):
        """Refuse a request without progress; return if there is one."""
        victim = self._find_stalled(now)
        if victim is None:
            return False
        self._release(victim)
        return True

    def _has_memory(self, size):
        return self.used + size <= self.limits.memory_bytes

    def _lacks_bodies(self, size, share):
        limit = share * self.limits.body_bytes
        return size > 0 and self.body_used + size > limit

    def _release(self, holding):
        """Refuse a request; its memory counts as free at once."""
        holding.close(Reason.MEMORY)
        holding.detach()
        holding.stage = Stage.CLOSING

    def _find_idle(self, now, unserved_s, served_s):
        """Return the connection that gives way to a new one, or None.

        Those that were refused go first, then those that never sent a
        request, then the oldest. A connection without a request gives way
        after unserved_s if it never sent one, else after served_s.
        """
        return max(
            (
                holding
                for holding in self._holdings
                if _may_give_way(
                    holding, now, served_s if holding.served else unserved_s
                )
            ),
            key=lambda h: (
                h.stage is Stage.CLOSING,
                h.served == 0,
                now - h.progress_at,
            ),
            default=None,
        )

    def _find_newest_body(self):
        """Return the body that began last, or None.

        None is returned while bodies are within their share of the
        connections.
        """
        bodies = [h for h in self._holdings if h.stage is Stage.BODY]
        if len(bodies) <= BODY_CONNECTION_SHARE * self.limits.connections:
            return None
        return max(bodies, key=lambda h: h.entered_at)

    def _find_stalled(self, now, needs_body=False):
        """Return who holds most for longest without progress, or None."""
        return max(
            (
                holding
                for holding in self._holdings
                if holding.stage in (Stage.HEAD, Stage.BODY)
                and now - holding.progress_at >= STALL_S
                and (holding.body or not needs_body)
            ),
            key=lambda h: h.size * (now - h.progress_at),
            default=None,
        )

    def _find_largest(self):
        """Return the incomplete request that holds most, or None."""
        return max(
            (
                holding
                for holding in self._holdings
                if holding.stage in (Stage.HEAD, Stage.BODY)
            ),
            key=lambda h: h.size,
            default=None,
        )

    def _find_unread(self, now):
        """Return the response that is read least, or None."""
        return max(
            (
                holding
                for holding in self._holdings
                if holding.unread
                and now - holding.progress_at >= UNREAD_STALL_S
            ),
            key=lambda h: h.unread * (now - h.progress_at),
            default=None,
        )

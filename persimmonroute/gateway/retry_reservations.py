"""Reserve capacity for callers that return after a refusal.

It answers bursts of up to twice the capacity for seconds, in which each
refused caller returns, at a time that it was told or at once. A response to
a returning caller is mostly late and worth a fraction of one on time, so a
reservation only uses slot time that new requests are expected to leave.
"""

from __future__ import annotations

import collections
import enum
import heapq
import itertools
import math
import typing

# Share of the slots that may be reserved while new requests need all of them.
# The slot time comes from requests that could be on time, whose responses are
# worth three to ten times as much.
MIN_RESERVED_SHARE = 0.02
# Share of the slots left by new requests that may be reserved. The rest
# covers changes of the capacity until the time of a reservation.
RESERVED_SHARE = 0.9
# A reservation is released this long after its time: timers of callers, a
# new connection and the way to the host take tenths of a second.
RETURN_TOLERANCE_S = 0.5
# A caller may be early by this much: clocks differ, Retry-After is rounded.
EARLY_TOLERANCE_S = 0.01
# Upper bound of the time of a reservation as a share of the remaining time;
# callers wait no longer.
MAX_RETRY_SHARE = 1 / 3
MIN_RETRY_S = 0.05
# Callers remembered; one takes about 500 bytes.
MAX_CALLERS = 8192


class Standing(enum.Enum):
    """Tell how a request is ordered."""

    NEW = 'new'
    # Refused before; it may still be on time by its first arrival.
    RETURNED = 'returned'
    # Refused before, and here again before the time that it was told.
    EARLY = 'early'
    # Here at its reserved time or later.
    RESERVED = 'reserved'
    # Beside another request of the same caller that is queued.
    COPY = 'copy'


class Room(typing.NamedTuple):
    """Describe the capacity for one tier, in slots and in slot seconds."""

    slots: float
    # Slots that new requests of the tier and of higher ones need.
    needed: float
    # Queued work that goes first: requests that can be on time, and others.
    on_time_s: float
    late_s: float
    # Work of the request itself.
    work_s: float


class Counts(typing.NamedTuple):
    """Count reservations by their end."""

    made: int
    kept: int
    expired: int
    # The capacity was not there, or a higher tier needed it.
    revoked: int


class CallerRecord:
    """Remember a refused caller until its deadline."""

    def __init__(self, first_arrived_at, deadline_at):
        self.first_arrived_at = first_arrived_at
        self.deadline_at = deadline_at
        # The queued request that stands for the caller, or None.
        self.holder = None
        # Time that the last refusal named.
        self.told_at = -math.inf
        # The same if it is reserved, or None.
        self.reserved_at = None
        self.tier = 0
        self.work_s = 0.0

    @property
    def expires_at(self):
        """Return when the reservation is released unless used."""
        return self.reserved_at + RETURN_TOLERANCE_S


class RetryReservations:
    """Keep the refused callers of one group and what they reserved."""

    def __init__(self):
        self._callers = collections.OrderedDict()
        # Reserved slot time in seconds by tier.
        self._reserved_s = collections.Counter()
        # (time, number, caller, record) of reservations that may expire.
        self._expiries = []
        self._numbers = itertools.count()
        self._ends = collections.Counter()

    @property
    def counts(self):
        """Return the Counts since the start."""
        return Counts(**{name: self._ends[name] for name in Counts._fields})

    @property
    def reserved_s(self):
        """Return the reserved slot time in seconds."""
        return sum(self._reserved_s.values())

    def find_first_arrival(self, caller, now):
        """Return when a refused caller first arrived, or None."""
        record = self._find(caller, now)
        return None if record is None else record.first_arrived_at

    def has_reservation(self, caller, now):
        """Return whether a caller has a reservation."""
        record = self._find(caller, now)
        return record is not None and record.reserved_at is not None

    def arrive(self, caller, request, now):
        """Record that a request of a caller is queued."""
        record = self._find(caller, now)
        if record is not None and record.holder is None:
            record.holder = request

    def find_standing(self, caller, request, now):
        """Return the Standing of a queued request."""
        record = self._find(caller, now)
        if record is None:
            return Standing.NEW
        if record.holder is not request:
            return Standing.COPY
        if now < record.told_at - EARLY_TOLERANCE_S:
            return Standing.EARLY
        if record.reserved_at is None:
            return Standing.RETURNED
        return Standing.RESERVED

    def find_told_at(self, caller):
        """Return the time that a refused caller was told."""
        return self._callers[caller].told_at

    def refuse(
        self, caller, request, wait_s, find_room, now, may_reserve=True
    ):
        """Record a refusal; return after how many seconds to return.

        request has the fields of a HostedRequest. wait_s is the time without
        a reservation, None without a usable endpoint; find_room returns the
        Room of its tier. A time that exceeds MAX_RETRY_SHARE of what the
        caller has left is not reserved, and none without may_reserve.
        """
        self.expire(now)
        record = self._find(caller, now)
        if record is None:
            record = self._remember(caller, request)
        elif record.holder is request:
            record.holder = None
            if record.reserved_at is not None:
                # It could not be honoured.
                self._release(record, 'revoked')
        elif record.reserved_at is not None:
            # A copy is told the same time and reserves nothing.
            return max(record.reserved_at - now, MIN_RETRY_S)
        if wait_s is None:
            return None
        room = find_room()
        wait_s = self._find_wait_s(request.tier, room)
        if record.holder is not None:
            # Another request stands for the caller.
            return wait_s
        latest_s = (request.deadline_at - now) * MAX_RETRY_SHARE
        record.told_at = now + min(wait_s, latest_s)
        if may_reserve and wait_s <= latest_s:
            self._reserve(caller, record, request.tier, room)
        return wait_s

    def serve(self, caller, request):
        """Record that a request of a caller is granted an endpoint."""
        record = self._callers.get(caller)
        if record is None or record.holder is not request:
            return
        if record.reserved_at is not None:
            self._release(record, 'kept')
        del self._callers[caller]

    def withdraw(self, caller, request):
        """Record that a request is queued no longer; its time is kept."""
        record = self._callers.get(caller)
        if record is None or record.holder is not request:
            return
        record.holder = None
        if record.reserved_at is not None:
            self._push(caller, record)

    def expire(self, now):
        """Release what was reserved for callers that did not return."""
        while self._expiries and self._expiries[0][0] < now:
            _, _, caller, record = heapq.heappop(self._expiries)
            unused = record.reserved_at is not None and record.holder is None
            if unused and record.expires_at < now:
                self._release(record, 'expired')
        while self._callers:
            caller, record = next(iter(self._callers.items()))
            if record.deadline_at > now or record.holder is not None:
                return
            self._drop(caller)

    def _find(self, caller, now):
        record = self._callers.get(caller)
        if record is None or record.holder is not None:
            return record
        if record.deadline_at <= now:
            self._drop(caller)
            return None
        expired = record.reserved_at is not None and record.expires_at < now
        if expired:
            self._release(record, 'expired')
        return record

    def _remember(self, caller, request):
        if len(self._callers) >= MAX_CALLERS:
            self._drop(next(iter(self._callers)))
        record = CallerRecord(request.first_arrived_at, request.deadline_at)
        self._callers[caller] = record
        return record

    def _find_wait_s(self, tier, room):
        """Return after how many seconds there is capacity for a request."""
        if not room.slots:
            return math.inf
        free = RESERVED_SHARE * (1.0 - room.needed / room.slots)
        rate = room.slots * max(free, MIN_RESERVED_SHARE)
        ahead_s = room.late_s + sum(
            work_s
            for level, work_s in self._reserved_s.items()
            if level <= tier
        )
        wait_s = room.on_time_s / room.slots + (ahead_s + room.work_s) / rate
        return max(wait_s, MIN_RETRY_S)

    def _reserve(self, caller, record, tier, room):
        record.reserved_at = record.told_at
        record.tier = tier
        record.work_s = room.work_s
        self._reserved_s[tier] += room.work_s
        self._ends['made'] += 1
        self._push(caller, record)

    def _push(self, caller, record):
        entry = (record.expires_at, next(self._numbers), caller, record)
        heapq.heappush(self._expiries, entry)

    def _release(self, record, end):
        self._reserved_s[record.tier] -= record.work_s
        if self._reserved_s[record.tier] <= 1e-9:
            del self._reserved_s[record.tier]
        record.reserved_at = None
        self._ends[end] += 1

    def _drop(self, caller):
        record = self._callers.pop(caller)
        if record.reserved_at is not None:
            self._release(record, 'expired')

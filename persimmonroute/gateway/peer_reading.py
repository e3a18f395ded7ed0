"""Read what other gateways send into values that are safe to use.

A peer may run another version or be faulty, so a part with a value out of
range is passed over, and the other parts are used. What tells who sent a
message, or holds for the whole of it, has to be readable.
"""

from __future__ import annotations

import collections
import ipaddress
import math

from persimmonroute.events import Event
from persimmonroute import logs

log = logs.EventLog(__name__)

# Integers above are not exact in JSON, where they come from.
MAX_INTEGER = 2**53 - 1
MAX_TEXT_CHARACTERS = 1000
MAX_PORT = 65_535
MAX_CORES = 1_000_000.0
MAX_TIER = 1e9
MAX_IN_FLIGHT = 1_000_000
# Restores of the store.
MAX_ERA = 1_000_000
# Longest time between reports that a peer may promise.
MAX_REPORT_INTERVAL_S = 60.0
MAX_SPECIFICITY = 255
MAX_UNITS = 1e15
MAX_PER_S = 1e9
# Kinds of unreadable parts whose first appearance is logged.
MAX_LOGGED = 1024
MAX_PROBLEM_CHARACTERS = 300


class UnreadableParts:
    """Count the unreadable parts, and log the first of each kind and peer."""

    def __init__(self):
        self.counts = collections.Counter()
        self._logged = set()

    def record(self, peer, kind, error):
        """Record a part of a peer's message that was passed over."""
        self.counts[kind] += 1
        if (peer, kind) in self._logged or len(self._logged) >= MAX_LOGGED:
            return
        self._logged.add((peer, kind))
        log.emit(
            Event.PEER_REPORT_UNREADABLE,
            peer=peer[:MAX_TEXT_CHARACTERS],
            part=kind,
            problem=repr(error)[:MAX_PROBLEM_CHARACTERS],
        )


class PartReader:
    """Read the parts of one peer's message."""

    def __init__(self, unreadable, peer):
        self._unreadable = unreadable
        self._peer = peer

    def read_all(self, kind, parts, read):
        """Return what read returns for each part that it does not refuse."""
        values = []
        for part in parts:
            try:
                values.append(read(part))
            except ValueError as error:
                self._unreadable.record(self._peer, kind, error)
        return values


def read_text(value):
    """Return a text that is not empty, or raise ValueError."""
    if not value:
        raise ValueError('the text is empty')
    return read_optional_text(value)


def read_optional_text(value):
    """Return a text of a bounded length, or raise ValueError."""
    if len(value) > MAX_TEXT_CHARACTERS:
        raise ValueError(f'the text has {len(value)} characters')
    return value


def read_number(value, least, most):
    """Return a number in a range, or raise ValueError."""
    # Not a number is in no range.
    if not least <= value <= most:
        raise ValueError(f'{value!r} is not from {least} to {most}')
    return value


def read_integer(value, most=MAX_INTEGER):
    """Return an unsigned integer in a range, or raise ValueError."""
    return read_number(value, 0, most)


def read_rate(value):
    """Return requests per second, infinity for no limit; or ValueError."""
    if value == math.inf:
        return value
    return read_number(value, 0.0, MAX_PER_S)


def read_address(value):
    """Return an address as IP:port, or raise ValueError."""
    host, _, port = read_text(value).rpartition(':')
    if host.startswith('[') and host.endswith(']'):
        ipaddress.IPv6Address(host[1:-1])
    else:
        ipaddress.ip_address(host)
    if not port.isascii() or not port.isdigit() or len(port) > 5:
        raise ValueError('the port is not a number')
    read_number(int(port), 1, MAX_PORT)
    return value

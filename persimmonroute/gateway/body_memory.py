"""Bound the memory that the bodies of callers' requests take."""

from __future__ import annotations

import contextlib

MEGABYTE = 1_000_000
DEFAULT_LIMIT_BYTES = 48 * MEGABYTE
# Bodies that are larger use this share of the memory only, so that they leave
# some to the others.
LARGE_BODY_BYTES = 262_144
LARGE_SHARE = 0.75


class HeldBody:
    """Count the bytes of one body that a gateway keeps."""

    def __init__(self, memory):
        self._memory = memory
        self.size = 0

    def take(self, size):
        """Count more bytes; return False if there is no memory for them."""
        if not self._memory.allows(self.size + size, size):
            return False
        self.size += size
        self._memory.used += size
        return True


class BodyMemory:
    """Count the bytes of all bodies that a gateway keeps.

    A body is kept until its request ends, as it may have to be sent again.
    """

    def __init__(self):
        self.used = 0
        self._limit = DEFAULT_LIMIT_BYTES

    def set_limit(self, limit):
        """Set how many bytes may be kept."""
        self._limit = limit

    def allows(self, body_size, added):
        """Return whether a body may grow to a size by the added bytes."""
        share = LARGE_SHARE if body_size > LARGE_BODY_BYTES else 1.0
        return self.used + added <= share * self._limit

    @contextlib.contextmanager
    def hold(self):
        """Provide the HeldBody of one request until the request ends."""
        held = HeldBody(self)
        try:
            yield held
        finally:
            self.used -= held.size

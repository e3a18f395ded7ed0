"""Notice that peers have read changes of a table that are missing here.

A long poll whose answer is lost ends only at its timeout. Until then an
endpoint that leaves would be used, although other gateways know of it.
"""

from __future__ import annotations

import math

NO_VERSION = 0


class ChangeTracker:
    """Compare how far this gateway and its peers have read one table.

    Versions of unlike eras of the store cannot be compared.
    """

    def __init__(self):
        self._era = 0
        # Newest change that was read here.
        self._newest_change = NO_VERSION
        # All changes up to this version were read here.
        self._complete_to = NO_VERSION
        # Newest change that a peer has read, and since when it is missing
        # here.
        self._missing = NO_VERSION
        self._missing_since = math.inf

    def newest_change(self, era):
        """Return the version of the newest change that was read in an era."""
        return self._newest_change if era == self._era else NO_VERSION

    def complete_to(self, era):
        """Return the version up to which an era's changes were read."""
        return self._complete_to if era == self._era else NO_VERSION

    def record_read(self, era, complete_to, newest_change):
        """Record that all changes up to a version were read."""
        if era != self._era:
            self._era = era
            self._newest_change = self._complete_to = NO_VERSION
            self._missing, self._missing_since = NO_VERSION, math.inf
        self._newest_change = max(self._newest_change, newest_change)
        self._complete_to = max(self._complete_to, complete_to)
        if self._complete_to >= self._missing:
            self._missing_since = math.inf

    def record_peer(self, era, newest_change, now):
        """Record the newest change that a peer has read."""
        if era != self._era or newest_change <= self._complete_to:
            return
        # A later change does not defer the search for the first one.
        if self._missing_since == math.inf:
            self._missing, self._missing_since = newest_change, now

    def is_overdue(self, patience_s, now):
        """Return whether a change is missing for so long, only once.

        If the store is asked in vain, the next report of a peer tells again.
        """
        if now - self._missing_since < patience_s:
            return False
        self._missing, self._missing_since = NO_VERSION, math.inf
        return True

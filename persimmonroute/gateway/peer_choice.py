"""Decide when a gateway reads a table from a peer, and from which.

While the store turns many gateways away, all of them miss the same change and
few have it. Each of those is asked by about one gateway in an interval, and
whoever has received the change is asked in turn. Nobody waits for its turn
longer than LONGEST_WAIT_S.
"""

from __future__ import annotations

import random
import typing

LONGEST_WAIT_S = 2.0
# Pause after all that have newer rows were asked in vain.
RETRY_S = 1.0


class Holder(typing.NamedTuple):
    """Name a gateway that has newer rows of a table, and their version."""

    address: str
    version: int


class PeerChoice:
    """Choose the peer to ask for one table.

    interval_s is the time in which each holder is asked about once.
    """

    def __init__(self, interval_s, draw=random.random, choose=random.choice):
        self._interval_s = interval_s
        self._draw = draw
        self._choose = choose
        # Part of the wait that has passed, and the part after which it is
        # this gateway's turn.
        self._waited = 0.0
        self._turn_at = draw()
        # Time that is left of a pause.
        self._pause_s = 0.0
        # Holders that failed to respond; asked again when no other is left.
        self._failed = set()

    def find_holder(self, holders, gateways, step_s):
        """Return the address to ask in this step, or None for nobody yet.

        gateways is the number that responds, including this one.
        """
        self._pause_s = max(self._pause_s - step_s, 0.0)
        if not holders or self._pause_s:
            return None
        missing = max(gateways - len(holders), 1)
        wait_s = min(missing * self._interval_s / len(holders), LONGEST_WAIT_S)
        self._waited += step_s / wait_s
        if self._waited < self._turn_at:
            return None
        untried = [h for h in holders if h.address not in self._failed]
        if not untried:
            self._failed.clear()
            self._pause_s = RETRY_S
            return None
        newest = max(holder.version for holder in untried)
        return self._choose(
            [h.address for h in untried if h.version == newest]
        )

    def record_failure(self, address):
        """Prefer other holders from now on."""
        self._failed.add(address)

    def record_success(self):
        """Wait for the next turn; all holders may be asked then."""
        self._waited = 0.0
        self._turn_at = self._draw()
        self._failed.clear()

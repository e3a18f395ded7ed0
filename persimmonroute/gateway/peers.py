"""Keep what the other gateways report of their work."""

from __future__ import annotations

import math
import typing

# Reports older than this are not counted.
REPORT_LIFE_S = 1.0
# A gateway that was not heard for this long counts as unheard.
HEARD_S = 2.0
# A gateway that nobody has heard for this long is taken to be gone, as
# processes restart within seconds.
FORGET_S = 60.0


class PeerReport(typing.NamedTuple):
    """Hold what a gateway says of its work at one moment."""

    name: str
    incarnation: int
    sequence: int
    in_flight: dict[str, int]
    # Seconds of waiting work by service and rank.
    waiting: dict[tuple[str, float], float]
    used: dict[str, float]
    # Broken attempts by the fingerprint of their content.
    crashes: dict[int, int]


class Peer:
    """Hold the newest report of a peer."""

    def __init__(self, name, address, now):
        self.name = name
        self.address = address
        self.incarnation = 0
        self.sequence = -1
        self.heard_at = None
        self.known_since = now
        self.report = None


class PeerBook:
    """Hold all other gateways."""

    def __init__(self, own_name):
        self._own_name = own_name
        self._peers = {}

    def __iter__(self):
        return iter(self._peers.values())

    def find(self, name):
        """Return a peer, or None."""
        return self._peers.get(name)

    def learn(self, name, address, now):
        """Note a gateway and its address."""
        if name == self._own_name:
            return
        peer = self._peers.get(name)
        if peer is None:
            self._peers[name] = Peer(name, address, now)
        else:
            peer.address = address

    def hear(self, report, now):
        """Take over a report; return the peer, or None if it is old."""
        peer = self._peers.get(report.name)
        if peer is None:
            return None
        same = peer.incarnation == report.incarnation
        if same and report.sequence <= peer.sequence:
            return None
        peer.incarnation = report.incarnation
        peer.sequence = report.sequence
        peer.heard_at = now
        peer.report = report
        return peer

    def count(self, now):
        """Return the number of gateways, this one included."""
        return 1 + sum(
            1
            for peer in self._peers.values()
            if now - (peer.heard_at or peer.known_since) < FORGET_S
        )

    def heard_share(self, now):
        """Return the share of all gateways that is heard, this included."""
        heard = 1 + sum(
            1
            for peer in self._peers.values()
            if peer.heard_at is not None and now - peer.heard_at < HEARD_S
        )
        return heard / max(self.count(now), 1)

    def best_rank(self, service, now):
        """Return the best rank that waits at a peer; infinity for none."""
        return min(
            (
                rank
                for peer in self._fresh(now)
                for name, rank in peer.report.waiting
                if name == service
            ),
            default=math.inf,
        )

    def work_ahead(self, service, rank, now):
        """Return seconds of work that waits at peers up to a rank."""
        return sum(
            seconds
            for peer in self._fresh(now)
            for (name, level), seconds in peer.report.waiting.items()
            if name == service and level <= rank
        )

    def stale(self, now):
        """Return peers whose reports are too old to count."""
        return [
            peer
            for peer in self._peers.values()
            if peer.report is not None and now - peer.heard_at > REPORT_LIFE_S
        ]

    def _fresh(self, now):
        return [
            peer
            for peer in self._peers.values()
            if peer.report is not None and now - peer.heard_at <= REPORT_LIFE_S
        ]

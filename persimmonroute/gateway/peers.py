"""Keep what the other gateways report of their work."""

from __future__ import annotations

import typing

import xxhash

from persimmonroute.gateway.locality import Distance

# Reports older than this are not counted.
REPORT_MAX_AGE_S = 1.0
# A gateway that was not heard for this long counts as unheard; reports
# are repeated every 0.3 s at least, and one may be lost.
UNRESPONSIVE_AFTER_S = 0.7
# A gateway that nobody has heard for this long is taken to be gone, as
# processes restart within seconds.
REMOVE_AFTER_S = 60.0
# Reports follow a change at most this often.
LEAST_INTERVAL_S = 0.015
# Seconds of an interval that each peer at a distance takes, so that the
# reports a second stay bounded however many gateways there are. Near
# peers compete for the same endpoints and hear more often.
INTERVAL_PER_PEER_S = {
    Distance.OWN_DOMAIN: 0.002,
    Distance.OWN_REGION: 0.008,
    Distance.OTHER_REGION: 0.02,
}


class WaitingWork(typing.NamedTuple):
    """Hold how many requests wait and the seconds they will take."""

    requests: int
    seconds: float


class Contender(typing.NamedTuple):
    """Order gateways that have requests for the room of an endpoint."""

    # Best rank that waits at the gateway.
    rank: float
    # False for the gateway whose own request has left the room.
    freed_elsewhere: bool
    distance: Distance
    # Gateways agree by it on an order among equals.
    tie_breaker: int


class PeerReport(typing.NamedTuple):
    """Hold what a gateway says of its work at one moment."""

    name: str
    incarnation: int
    sequence: int
    in_flight: dict[str, int]
    # Work that waits by service and rank.
    waiting: dict[tuple[str, float], WaitingWork]
    used: dict[str, float]
    # Broken attempts by the fingerprint of their content.
    crashes: dict[int, int]


class Peer:
    """Hold the newest report of a peer."""

    def __init__(self, name, address, now):
        self.name = name
        self.address = address
        self.failure_domain = ''
        self.incarnation = 0
        self.sequence = -1
        self.last_report_at = None
        self.first_seen_at = now
        self.report = None


class PeerRegistry:
    """Hold all other gateways."""

    def __init__(self, own_name, locality=None):
        self._own_name = own_name
        self._locality = locality
        self._peers = {}
        self._counts = dict.fromkeys(Distance, 0)

    def __iter__(self):
        return iter(self._peers.values())

    def find(self, name):
        """Return a peer, or None."""
        return self._peers.get(name)

    def update_peer(self, name, address, now, failure_domain=''):
        """Note a gateway, its address and, once known, its place."""
        if name == self._own_name:
            return
        peer = self._peers.get(name)
        if peer is None:
            peer = self._peers[name] = Peer(name, address, now)
        peer.address = address
        if failure_domain and failure_domain != peer.failure_domain:
            peer.failure_domain = failure_domain
            self._count_distances()

    def at_distance(self, distance):
        """Return the peers at a distance."""
        return [
            peer
            for peer in self._peers.values()
            if self._distance(peer.failure_domain) is distance
        ]

    def report_interval_s(self, distance):
        """Return the least seconds between reports over a distance."""
        share = INTERVAL_PER_PEER_S[distance] * self._counts[distance]
        return max(LEAST_INTERVAL_S, share)

    def apply_report(self, report, now):
        """Take over a report; return the peer, or None if it is old."""
        peer = self._peers.get(report.name)
        if peer is None:
            return None
        same = peer.incarnation == report.incarnation
        if same and report.sequence <= peer.sequence:
            return None
        peer.incarnation = report.incarnation
        peer.sequence = report.sequence
        peer.last_report_at = now
        peer.report = report
        return peer

    def gateway_count(self, now):
        """Return the number of gateways, this one included."""
        return 1 + len(self.last_report_times(now))

    def last_report_times(self, now):
        """Return when each peer was heard; None for never."""
        return {
            peer.name: peer.last_report_at
            for peer in self._peers.values()
            if now - (peer.last_report_at or peer.first_seen_at)
            < REMOVE_AFTER_S
        }

    def reporting_share(self, now):
        """Return the share of all gateways that is heard, this included."""
        heard = 1 + sum(
            1
            for peer in self._peers.values()
            if peer.last_report_at is not None
            and now - peer.last_report_at < UNRESPONSIVE_AFTER_S
        )
        return heard / max(self.gateway_count(now), 1)

    def contenders(self, service, record, now):
        """Return the Contenders of peers with requests for an endpoint."""
        found = []
        for peer in self._with_current_report(now):
            ranks = [
                rank for name, rank in peer.report.waiting if name == service
            ]
            if ranks:
                found.append(self._contender(peer, min(ranks), record))
        return found

    def has_nearer_peer(self, record, distance):
        """Tell whether a peer is nearer to an endpoint than a distance."""
        return any(
            self._locality.distance_between(
                peer.failure_domain, record.failure_domain
            )
            < distance
            for peer in self._peers.values()
        )

    def work_ahead(self, service, rank, now):
        """Return seconds of work that waits at peers up to a rank."""
        return sum(
            work.seconds
            for peer in self._with_current_report(now)
            for (name, level), work in peer.report.waiting.items()
            if name == service and level <= rank
        )

    def higher_tier_demand(self, service, tier, now):
        """Return how many requests of higher tiers wait at peers.

        With them comes the longest interval, in seconds, in which one of
        those peers hears from this gateway.
        """
        requests, interval_s = 0, 0.0
        for peer in self._with_current_report(now):
            above = sum(
                work.requests
                for (name, level), work in peer.report.waiting.items()
                if name == service and int(level) < tier
            )
            if above:
                requests += above
                distance = self._distance(peer.failure_domain)
                interval_s = max(interval_s, self.report_interval_s(distance))
        return requests, interval_s

    def stale(self, now):
        """Return peers whose reports are too old to count."""
        return [
            peer
            for peer in self._peers.values()
            if peer.report is not None
            and now - peer.last_report_at > REPORT_MAX_AGE_S
        ]

    def _count_distances(self):
        for distance in Distance:
            self._counts[distance] = len(self.at_distance(distance))

    def _contender(self, peer, rank, record):
        between = Distance.OWN_DOMAIN
        if self._locality is not None:
            between = self._locality.distance_between(
                peer.failure_domain, record.failure_domain
            )
        return Contender(
            rank, True, between, compute_tie_breaker(record.id, peer.name)
        )

    def _distance(self, failure_domain):
        if self._locality is None:
            return Distance.OWN_DOMAIN
        return self._locality.distance(failure_domain)

    def _with_current_report(self, now):
        return [
            peer
            for peer in self._peers.values()
            if peer.report is not None
            and now - peer.last_report_at <= REPORT_MAX_AGE_S
        ]


def compute_tie_breaker(runner_id, gateway):
    """Return a number by which gateways agree on an order."""
    return xxhash.xxh3_64_intdigest(f'{runner_id}|{gateway}'.encode())

"""Track the load reports of the other gateways."""

from __future__ import annotations

import collections
import typing

import xxhash

from persimmonroute.gateway import endpoint_limits
from persimmonroute.gateway import groups
from persimmonroute.gateway.locality import Distance
from persimmonroute.gateway import quarantine
from persimmonroute.gateway import rollout_forwarding

# Reports older than this many of the sender's report intervals are ignored;
# two in a row may be lost.
REPORT_MAX_AGE_INTERVALS = 3.3
# A gateway without a report for this many of its report intervals counts as
# unresponsive; one may be lost.
UNRESPONSIVE_AFTER_INTERVALS = 2.3
# Interval assumed before the first report.
DEFAULT_REPORT_INTERVAL_S = 0.3
# A gateway without a report for this long no longer counts as a member;
# a restart takes only seconds.
MEMBERSHIP_TIMEOUT_S = 60.0
# The row of a gateway without a report for this long is removed. Longer than
# outages and maintenance of an instance usually last; one that returns later
# registers again.
GONE_AFTER_S = 300.0
# Share of the gateways that must report to remove rows: a gateway that few
# reports reach is cut off itself.
MIN_REPORTING_SHARE = 0.5
# Earlier starts of a gateway that are remembered; their reports may be late.
MAX_FORMER_INCARNATIONS = 16
# Shortest interval between reports that announce a change.
MIN_REPORT_INTERVAL_S = 0.015
# Each peer at a distance adds this to the report interval, which bounds the
# reports per second however many gateways there are. Nearby peers compete
# for the same endpoints, so they get reports more often.
REPORT_INTERVAL_PER_PEER_S = {
    Distance.OWN_DOMAIN: 0.002,
    Distance.OWN_REGION: 0.008,
    Distance.OTHER_REGION: 0.02,
}
# Interval between reports while nothing changes: the minimum, and what each
# peer adds, so that a gateway sends at most a hundred of them per second.
IDLE_INTERVAL_S = 0.3
IDLE_INTERVAL_PER_PEER_S = 0.01
# The same for peers in other regions, whose links are narrow and paid for.
FAR_IDLE_INTERVAL_PER_PEER_S = 0.06
MAX_FAR_IDLE_INTERVAL_S = 10.0


class WaitingWork(typing.NamedTuple):
    """Count queued requests and their expected service time."""

    requests: int
    seconds: float


class Contender(typing.NamedTuple):
    """Order the gateways that compete for an endpoint's free slots.

    The lowest one sends first.
    """

    # Best (lowest) rank in the queue of the gateway.
    rank: float
    # False if the free slot was released by this gateway's own request.
    freed_elsewhere: bool
    distance: Distance
    # Gives all gateways the same order among otherwise equal contenders.
    tie_breaker: int


class PeerReport(typing.NamedTuple):
    """Store one load report of a gateway."""

    name: str
    incarnation: int
    sequence: int
    in_flight: dict[str, int]
    # Queued work by service and rank.
    waiting: dict[tuple[str, float], WaitingWork]
    used: dict[str, float]
    # What the gateway knows of requests that crash endpoints.
    crash_findings: quarantine.PeerFindings = quarantine.NO_FINDINGS
    # Ids and start times of endpoints that said they are leaving.
    leaving: tuple[tuple[str, int], ...] = ()
    # What endpoints told the gateway of their limits.
    limits: tuple[endpoint_limits.LimitReport, ...] = ()
    # Open orders of rollouts that the gateway has read.
    orders: tuple[rollout_forwarding.ForwardedOrder, ...] = ()
    # Time until the next report, unless it is lost.
    interval_s: float = DEFAULT_REPORT_INTERVAL_S
    # True in the last report of a gateway that stops.
    stopping: bool = False
    # What the gateway has read, and where peers get it; empty for nowhere.
    configuration_version: int = 0
    registrations_version: int = 0
    store_era: int = 0
    rows_address: str = ''
    # True if the store does not serve the gateway.
    store_away: bool = False


class Peer:
    """Store the address and the latest report of a peer."""

    def __init__(self, name, address, now):
        self.name = name
        self.address = address
        self.failure_domain = ''
        self.cores = 0.0
        self.incarnation = 0
        # Incarnations that others have replaced.
        self.former_incarnations = collections.deque(
            maxlen=MAX_FORMER_INCARNATIONS
        )
        self.sequence = -1
        self.last_report_at = None
        self.first_seen_at = now
        self.report = None

    @property
    def heard_at(self):
        """Return when the peer was last heard, or first seen."""
        return self.last_report_at or self.first_seen_at

    @property
    def stopping(self):
        """Return whether the gateway said that it stops."""
        return self.report is not None and self.report.stopping

    def has_reported_within(self, intervals, now):
        """Return whether the latest report is at most so old.

        The age is in the report intervals that the gateway promised.
        """
        if self.report is None:
            return False
        return now - self.last_report_at <= intervals * self.report.interval_s


class PeerRegistry:
    """Track all other gateways and their latest reports."""

    def __init__(self, own_name, locality=None):
        self._own_name = own_name
        self._locality = locality
        self._peers = {}
        # Increases when a peer is added or its description changes.
        self.generation = 0
        # Peers by distance, as of a generation.
        self._by_distance = {}
        self._grouped_generation = -1

    def __iter__(self):
        return iter(self._peers.values())

    @property
    def count(self):
        """Return the number of known peers."""
        return len(self._peers)

    def find(self, name):
        """Return a peer by name, or None."""
        return self._peers.get(name)

    def members(self):
        """Return the peers whose failure domain is known, as members."""
        return [
            groups.Member(peer.name, peer.failure_domain, peer.cores)
            for peer in self._peers.values()
            if peer.failure_domain and not peer.stopping
        ]

    def find_incarnation(self, name):
        """Return the newest known start of a gateway; 0 if unknown."""
        peer = self._peers.get(name)
        return 0 if peer is None else peer.incarnation

    def find_silent(self, now):
        """Return the names of the peers that reported and do so no more."""
        return frozenset(
            peer.name
            for peer in self._peers.values()
            if peer.report is not None
            and not peer.has_reported_within(UNRESPONSIVE_AFTER_INTERVALS, now)
        )

    def find_stopping(self, now):
        """Return the names of the peers that stop and still respond."""
        return [
            peer.name
            for peer in self._peers.values()
            if peer.stopping
            and peer.has_reported_within(UNRESPONSIVE_AFTER_INTERVALS, now)
        ]

    def count_neighbours(self):
        """Return how many other gateways of the failure domain serve."""
        return sum(
            member.failure_domain == self._locality.failure_domain
            for member in self.members()
        )

    def update_peer(self, name, address, now, failure_domain='', cores=0.0):
        """Add a gateway or update its description."""
        if name == self._own_name:
            return
        peer = self._peers.get(name)
        if peer is None:
            peer = self._peers[name] = Peer(name, address, now)
            self.generation += 1
        peer.address = address
        if cores and cores != peer.cores:
            peer.cores = cores
            self.generation += 1
        if failure_domain and failure_domain != peer.failure_domain:
            peer.failure_domain = failure_domain
            self.generation += 1

    def at_distance(self, distance):
        """Return the peers at a distance."""
        if self._grouped_generation != self.generation:
            self._grouped_generation = self.generation
            self._by_distance = {d: [] for d in Distance}
            for peer in self._peers.values():
                place = self._distance(peer.failure_domain)
                self._by_distance[place].append(peer)
        return self._by_distance[distance]

    def report_interval_s(self, distance):
        """Return the shortest interval between reports over a distance."""
        count = len(self.at_distance(distance))
        share = REPORT_INTERVAL_PER_PEER_S[distance] * count
        return max(MIN_REPORT_INTERVAL_S, share)

    def idle_interval_s(self, distance):
        """Return the interval of reports over a distance without changes."""
        near_s = max(IDLE_INTERVAL_S, IDLE_INTERVAL_PER_PEER_S * self.count)
        if distance is not Distance.OTHER_REGION:
            return near_s
        count = len(self.at_distance(distance))
        far_s = FAR_IDLE_INTERVAL_PER_PEER_S * count
        return max(near_s, min(far_s, MAX_FAR_IDLE_INTERVAL_S))

    def apply_report(self, report, now):
        """Store a report; return its peer, or None if outdated or unknown."""
        peer = self._peers.get(report.name)
        if peer is None:
            return None
        same = peer.incarnation == report.incarnation
        if same and report.sequence <= peer.sequence:
            return None
        if report.incarnation in peer.former_incarnations:
            return None
        if not same:
            peer.former_incarnations.append(peer.incarnation)
            # It knows nothing of what it was told before.
            self.generation += 1
        peer.incarnation = report.incarnation
        peer.sequence = report.sequence
        peer.last_report_at = now
        if peer.stopping != report.stopping:
            self.generation += 1
        peer.report = report
        return peer

    def gateway_count(self, now):
        """Return the number of gateways, including this one."""
        return 1 + len(self.last_report_times(now))

    def last_report_times(self, now):
        """Return the time of each peer's latest report; None for no report."""
        return {
            peer.name: peer.last_report_at
            for peer in self._peers.values()
            if not peer.stopping and now - peer.heard_at < MEMBERSHIP_TIMEOUT_S
        }

    def reporting_share(self, now):
        """Return the share of gateways that respond, including this one."""
        reporting = 1 + sum(
            1
            for peer in self._peers.values()
            if not peer.stopping
            and peer.has_reported_within(UNRESPONSIVE_AFTER_INTERVALS, now)
        )
        return reporting / max(self.gateway_count(now), 1)

    def is_responsible(self, subject, now):
        """Return whether this gateway is the one to act on a subject."""
        return self.find_responsible(subject, now) == self._own_name

    def is_among_first(self, subject, count, now):
        """Return whether this gateway is one of so many to act on a subject.

        The gateways that respond choose the same ones.
        """
        own = compute_tie_breaker(subject, self._own_name)
        before = sum(
            compute_tie_breaker(subject, name) < own
            for name in self._find_responding(now)
        )
        return before < count

    def find_responsible(self, subject, now, excluded=()):
        """Return the name of the gateway that is to act on a subject.

        The gateways that respond choose the same one. It is this one if all
        are excluded.
        """
        responding = self._find_responding(now)
        return min(
            (n for n in (self._own_name, *responding) if n not in excluded),
            key=lambda name: compute_tie_breaker(subject, name),
            default=self._own_name,
        )

    def _find_responding(self, now):
        return [report.name for report in self.list_reports(now)]

    def list_reports(self, now):
        """Return the latest reports of the peers that respond."""
        return [
            peer.report
            for peer in self._peers.values()
            if not peer.stopping
            and peer.has_reported_within(UNRESPONSIVE_AFTER_INTERVALS, now)
        ]

    def find_gone(self, listed, now):
        """Return the listed gateways whose rows this gateway has to remove.

        Each is left to one of the gateways that report.
        """
        heard_at = {
            peer.name: peer.heard_at
            for peer in self._peers.values()
            if peer.name in listed
        }
        reporting = [self._own_name]
        reporting += [
            name
            for name, at in heard_at.items()
            if now - at < MEMBERSHIP_TIMEOUT_S
        ]
        if len(reporting) < MIN_REPORTING_SHARE * (len(heard_at) + 1):
            return []
        return [
            name
            for name, at in heard_at.items()
            if now - at > GONE_AFTER_S
            and self._own_name
            == min(reporting, key=lambda r: compute_tie_breaker(name, r))
        ]

    def drop_unlisted(self, listed, now):
        """Forget the silent gateways that are not registered any more."""
        for peer in list(self._peers.values()):
            silent = now - peer.heard_at > MEMBERSHIP_TIMEOUT_S
            if silent and peer.name not in listed:
                del self._peers[peer.name]
                self.generation += 1

    def contenders(self, service, record, now):
        """Return a Contender for each peer with requests for an endpoint."""
        contenders = []
        for peer in self._with_current_report(now):
            ranks = [
                rank for name, rank in peer.report.waiting if name == service
            ]
            if ranks:
                contenders.append(self._contender(peer, min(ranks), record))
        return contenders

    def has_nearer_peer(self, record, distance):
        """Return whether any peer is nearer to an endpoint than a distance."""
        return any(
            self._locality.distance_between(
                peer.failure_domain, record.failure_domain
            )
            < distance
            for peer in self._peers.values()
        )

    def work_ahead(self, service, rank, now):
        """Return the service time queued at peers up to a rank, in seconds."""
        return sum(
            work.seconds
            for peer in self._with_current_report(now)
            for (name, level), work in peer.report.waiting.items()
            if name == service and level <= rank
        )

    def higher_tier_demand(self, service, tier, now):
        """Return the number of higher-tier requests queued at peers.

        The second value is the longest report interval, in seconds, to any
        of those peers.
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
        """Return the peers whose reports are too old to count."""
        return [
            peer
            for peer in self._peers.values()
            if peer.report is not None
            and not peer.has_reported_within(REPORT_MAX_AGE_INTERVALS, now)
        ]

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
            if peer.has_reported_within(REPORT_MAX_AGE_INTERVALS, now)
        ]


def compute_tie_breaker(runner_id, gateway):
    """Hash an endpoint and a gateway, equal on all gateways."""
    return xxhash.xxh3_64_intdigest(f'{runner_id}|{gateway}'.encode())

"""Group endpoints and choose the gateway that hosts each group.

Every gateway computes the same choice from the list of gateways, so no
gateway has to be elected. Gateways whose lists differ for a moment use two
hosts; the endpoints' own queues then absorb the excess.
"""

from __future__ import annotations

import math
import typing

import xxhash

# Rendezvous weights grow with this power of a gateway's processor share, so
# that hosts are mostly on the large instances.
CAPACITY_EXPONENT = 2.0
MAX_HASH = 2**64
# A host that does not respond is avoided this long at first. The pause
# doubles, so that instances which are gone for good cost little.
FIRST_AVOIDANCE_S = 1.0
MAX_AVOIDANCE_S = 30.0


class Group(typing.NamedTuple):
    """Identify the endpoints of a service in one region."""

    service: str
    region: str


class Member(typing.NamedTuple):
    """Describe a gateway that may host groups."""

    name: str
    failure_domain: str
    # Processor share in cores.
    cores: float


def find_groups(service, runner_registry, locality):
    """Return the groups of a service that have endpoints, nearest first."""
    regions = {
        locality.region_of(view.record.failure_domain)
        for view in runner_registry.of_service(service)
    }
    ordered = sorted(regions, key=lambda r: (r != locality.region, r))
    return [Group(service, region) for region in ordered]


def order_hosts(group, members, locality):
    """Return the members in the order in which they host a group.

    Members in the group's region precede all others.
    """
    return sorted(
        members,
        key=lambda member: (
            locality.region_of(member.failure_domain) != group.region,
            -_score(group, member),
            member.name,
        ),
    )


def _score(group, member):
    """Return the weighted rendezvous score of a member; the highest hosts."""
    key = f'{group.service}|{group.region}|{member.name}'
    share = (xxhash.xxh3_64_intdigest(key.encode()) + 0.5) / MAX_HASH
    return -(member.cores**CAPACITY_EXPONENT) / math.log(share)


class HostDirectory:
    """Find the host of each group among the gateways that respond."""

    def __init__(self, own, locality, peer_registry):
        self._own = own
        self._locality = locality
        self._peers = peer_registry
        self._orders = {}
        self._generation = -1
        # Peers that did not respond: until when they are not used, and for
        # how long.
        self._avoided = {}

    @property
    def own_name(self):
        """Return the name of this gateway."""
        return self._own.name

    def find_host(self, group, excluded, now):
        """Return the name of the best host that is not excluded, or None."""
        for member in self._order(group):
            if member.name in excluded:
                continue
            if self._avoided.get(member.name, (0.0, 0.0))[0] <= now:
                return member.name
        return None

    def record_silent(self, name, now):
        """Avoid a peer that did not respond, longer after each failure."""
        until, pause_s = self._avoided.get(name, (0.0, 0.0))
        if now < until:
            return
        pause_s = min(max(2 * pause_s, FIRST_AVOIDANCE_S), MAX_AVOIDANCE_S)
        self._avoided[name] = (now + pause_s, pause_s)

    def record_response(self, name):
        """Use a peer that responded without restriction."""
        self._avoided.pop(name, None)

    def _order(self, group):
        if self._generation != self._peers.generation:
            self._generation = self._peers.generation
            self._orders.clear()
        if group not in self._orders:
            members = [self._own, *self._peers.members()]
            known = {member.name for member in members}
            self._avoided = {
                name: pause
                for name, pause in self._avoided.items()
                if name in known
            }
            self._orders[group] = order_hosts(group, members, self._locality)
        return self._orders[group]

"""Exchange the evidence of hosts and the plans of a controller.

A report has the counts that changed since the last one that the controller
confirmed, as totals, so one that is lost or repeated does no harm. At two
hosts, five routes and four reports a second that is about 1 KB a second each.
"""

from __future__ import annotations

import math
import random

from persimmonroute.gateway import admission_messages
from persimmonroute.gateway import rollout_evidence

INCARNATION_BITS = 64
# Reports whose time of sending is remembered.
MAX_SENT = 64
# A host that did not report for longer has no known requests in flight.
REPORT_VALID_S = 1.0
# Hosts whose reports are kept, and tallies of each; hundreds are usual.
MAX_HOSTS = 512
MAX_TALLIES = 4096


class EvidenceSender:
    """Build the reports of one order for the controlling gateway."""

    def __init__(self, rollout):
        self.rollout = rollout
        # Counts start again with this object.
        self._incarnation = random.getrandbits(INCARNATION_BITS)
        self._number = 0
        self._controller = None
        self._confirmed = 0
        self._sent_at = {}
        # Tallies as last sent, with the number of the report.
        self._sent = {}
        self.last_sent_at = -math.inf
        # When the present controller was first asked or last answered.
        self.heard_at = -math.inf
        # When the present controller last answered.
        self.answered_at = -math.inf

    @property
    def controller(self):
        """Return the gateway that was asked last, or None."""
        return self._controller

    def build(self, controller, regions, others_in_flight, now):
        """Return the next report to a controller."""
        if controller != self._controller:
            self._controller = controller
            self._confirmed = 0
            self.heard_at = now
            self.answered_at = -math.inf
        self._number += 1
        self._sent_at[self._number] = self.last_sent_at = now
        self._sent_at.pop(self._number - MAX_SENT, None)
        rollout = self.rollout
        for key, tally in rollout.evidence.tallies.items():
            if self._sent.get(key, (None, 0))[0] != tally:
                self._sent[key] = (tally, self._number)
        changed = {
            key: tally
            for key, (tally, number) in self._sent.items()
            if number > self._confirmed
        }
        return admission_messages.RolloutEvidence(
            rollout.order.service,
            rollout.order.revision,
            self._incarnation,
            self._number,
            self._confirmed,
            rollout.evidence.find_slice(now),
            tuple(regions),
            rollout.requests,
            rollout.exposed,
            others_in_flight,
            rollout.plan.phase.value,
            changed,
        )

    def confirm(self, controller, decision, now):
        """Record a controller's answer; return when its report was sent.

        None if it does not answer a report of this sender. The plan counts
        from that time, so that a delay on the way does not extend it.
        """
        if decision.incarnation != self._incarnation:
            return None
        if controller == self._controller:
            self._confirmed = min(decision.confirmed, self._number)
            self.heard_at = self.answered_at = now
        return self._sent_at.get(decision.number)


class HostRecord:
    """Store what one start of a host reported."""

    def __init__(self, name, incarnation, offset):
        self.name = name
        self.incarnation = incarnation
        # From the host's slices to those of this gateway.
        self.offset = offset
        self.confirmed = 0
        self.number = 0
        self.tallies = {}
        self.requests = 0
        self.exposed = 0
        self.others_in_flight = 0
        self.regions = ()
        self.heard_at = -math.inf


class EvidenceCollector:
    """Sum what the hosts report of one order."""

    def __init__(self, order):
        self._order = order
        self._slice_s = rollout_evidence.find_slice_s(order.duration_s)
        # By name and incarnation: the counts of a host that starts again
        # start again, too.
        self._hosts = {}

    def receive(self, peer, report, now):
        """Add a report; return the number up to which nothing is missing."""
        key = (peer, report.incarnation)
        host = self._hosts.get(key)
        if host is None:
            if len(self._hosts) >= MAX_HOSTS:
                return 0
            here = math.floor(now / self._slice_s)
            host = HostRecord(*key, here - report.slice)
            self._hosts[key] = host
        for tally_key, tally in report.tallies.items():
            if tally_key in host.tallies or len(host.tallies) < MAX_TALLIES:
                host.tallies[tally_key] = tally
        if report.base <= host.confirmed:
            host.confirmed = max(host.confirmed, report.number)
        if report.number > host.number:
            host.number = report.number
            host.regions = report.regions
            host.requests = max(host.requests, report.requests)
            host.exposed = max(host.exposed, report.exposed)
            host.others_in_flight = report.others_in_flight
            host.heard_at = now
        return host.confirmed

    @property
    def requests(self):
        """Return the requests that hosts granted since the order."""
        return sum(host.requests for host in self._hosts.values())

    @property
    def exposed(self):
        """Return those of the requests that were for the target."""
        return sum(host.exposed for host in self._hosts.values())

    def count_in_flight(self, now):
        """Return the requests in flight at the other versions."""
        return sum(
            host.others_in_flight
            for host in self._hosts.values()
            if now - host.heard_at <= REPORT_VALID_S
        )

    def covers(self, regions, now):
        """Return whether a host of each region reported of late."""
        reported = set()
        for host in self._hosts.values():
            if now - host.heard_at <= REPORT_VALID_S:
                reported.update(host.regions)
        return reported.issuperset(regions)

    def list_hosts(self, now):
        """Return the HostRecords of the hosts that report."""
        return [
            host
            for host in self._hosts.values()
            if now - host.heard_at <= REPORT_VALID_S
        ]

    def merge(self):
        """Return the VersionEvidence of all hosts, in slices of this one."""
        merged = rollout_evidence.VersionEvidence(self._slice_s)
        for host in self._hosts.values():
            for key, tally in host.tallies.items():
                merged.add(key._replace(slice=key.slice + host.offset), tally)
        return merged

"""Report what hosted groups reserve for callers and give to workspaces."""

from __future__ import annotations

import collections
import math

from persimmonroute import blackboard
from persimmonroute.events import Event
from persimmonroute.gateway import retry_reservations

# Shortest interval between two events of one group, and of one workspace.
RESERVATIONS_INTERVAL_S = 5.0
EXCESS_INTERVAL_S = 30.0
# Groups are looked at this often.
CHECK_INTERVAL_S = 0.5
# Demand relative to the fair part from which a workspace is logged.
LOGGED_EXCESS = 2.0
# Workspaces of a service that are reported, those with most demand.
MAX_REPORTED = 64


class CallerMonitor(blackboard.Blackboard):
    """Count reservations by service, and log what operators look for."""

    def __init__(self):
        super().__init__()
        # Counts of groups that are not hosted here any more, by service.
        self._past = collections.defaultdict(collections.Counter)
        # Counts at the last event of each group, and its time.
        self._logged = {}
        # When each workspace in excess was last logged.
        self._excess_logged = {}
        self._checked_at = -math.inf

    def retire(self, hosted_group):
        """Keep the counts of a group that is not hosted any more."""
        service = hosted_group.group.service
        counts = hosted_group.order.reservations.counts
        self._past[service].update(counts._asdict())
        self._logged.pop(hosted_group.group, None)

    def count_reservations(self, hosted_groups):
        """Return the Counts of each service with reservations."""
        totals = {s: collections.Counter(c) for s, c in self._past.items()}
        for hosted_group in hosted_groups:
            counts = hosted_group.order.reservations.counts
            total = totals.setdefault(
                hosted_group.group.service, collections.Counter()
            )
            total.update(counts._asdict())
        fields = retry_reservations.Counts._fields
        return {
            service: retry_reservations.Counts(*(total[f] for f in fields))
            for service, total in totals.items()
            if total['made']
        }

    def check(self, hosted_groups, now):
        """Log what has changed."""
        if now - self._checked_at < CHECK_INTERVAL_S:
            return
        self._checked_at = now
        self._excess_logged = {
            key: at
            for key, at in self._excess_logged.items()
            if now - at < EXCESS_INTERVAL_S
        }
        for hosted_group in hosted_groups:
            self._check_reservations(hosted_group, now)
            self._check_shares(hosted_group, now)

    def _check_reservations(self, hosted_group, now):
        group, reservations = (
            hosted_group.group,
            hosted_group.order.reservations,
        )
        counts = reservations.counts
        before, at = self._logged.get(
            group, (retry_reservations.Counts(0, 0, 0, 0), -math.inf)
        )
        if counts == before or now - at < RESERVATIONS_INTERVAL_S:
            return
        self._logged[group] = (counts, now)
        self.log(
            Event.RETRY_RESERVATIONS,
            service=group.service,
            region=group.region,
            reserved_s=round(reservations.reserved_s, 3),
            **{
                name: count - getattr(before, name)
                for name, count in counts._asdict().items()
            },
        )

    def _check_shares(self, hosted_group, now):
        group = hosted_group.group
        for report in find_largest(hosted_group.order.shares.report(now)):
            key = (group, report.tier, report.workspace)
            excessive = report.demanded > LOGGED_EXCESS * report.fair
            if not excessive or key in self._excess_logged:
                continue
            self._excess_logged[key] = now
            self.log(
                Event.WORKSPACE_IN_EXCESS,
                service=group.service,
                region=group.region,
                tier=report.tier,
                workspace=f'{report.workspace:016x}',
                demanded=round(report.demanded, 2),
                used=round(report.used, 2),
                fair=round(report.fair, 2),
            )


def find_largest(reports):
    """Return the workspace_shares.ShareReports with the largest demand."""
    ordered = sorted(reports, key=lambda r: r.demanded, reverse=True)
    return ordered[:MAX_REPORTED]

"""Test what operators see of reservations and shares."""

from __future__ import annotations

import math
import unittest
from unittest import mock

from prometheus_client import core as prometheus
from prometheus_client import exposition

from persimmonroute import clock
from persimmonroute.events import Event
from persimmonroute.gateway import admission_host
from persimmonroute.gateway import caller_identity
from persimmonroute.gateway import endpoint_capacity
from persimmonroute.gateway import endpoint_limits
from persimmonroute.gateway import groups
from persimmonroute.gateway import metrics
from persimmonroute.gateway import placement
from persimmonroute.gateway import retry_reservations
from standins import gateway_fixtures as fixtures

GROUP = groups.Group(fixtures.SERVICE, 'riga')
DESK = fixtures.workspace('desk')
HASH = caller_identity.hash_workspace(DESK)


class MonitorTests(unittest.TestCase):
    """Look at a group after refusals and under contention."""

    def setUp(self):
        """Host one group on a gateway."""
        self.board = fixtures.board(workspaces=[DESK])
        self.host = admission_host.AdmissionHost(
            self.board.runner_registry,
            placement.Placement(fixtures.LOCALITY),
            fixtures.LOCALITY,
        )
        self.group = admission_host.HostedGroup(
            GROUP,
            placement.Placement(fixtures.LOCALITY),
            endpoint_limits.EndpointLimits(),
            endpoint_capacity.EndpointCapacities(),
            0.0,
        )
        self.host._groups[GROUP] = self.group

    def _reserve(self, caller):
        request = fixtures.pending_request(0.0)
        room = retry_reservations.Room(10.0, 0.0, 0.0, 0.0, 0.1)
        self.group.order.reservations.refuse(
            caller, request, 1.0, lambda: room, 0.0
        )

    def _contend(self):
        shares = self.group.order.shares
        shares.record_demand(1, HASH, 20.0, 0.0)
        shares.record_use(1, HASH, 4.0, 0.0)
        shares.record_demand(1, 5, 1.0, 0.0)

    def _scrape(self):
        registry = prometheus.CollectorRegistry()
        scheduler = fixtures.scheduler(self.board)
        registry.register(
            metrics.GatewayMetrics(self.board, scheduler, self.host)
        )
        with mock.patch.object(clock, 'now_s', lambda: 0.0):
            return exposition.generate_latest(registry).decode()

    def test_reservations_are_logged_together(self):
        """Guards against a log line for each refusal of a burst."""
        for caller in range(1, 20):
            self._reserve(caller)
        self.host.tick(0.1)
        [logged] = self.host.take_events()
        self.assertIs(logged.event, Event.RETRY_RESERVATIONS)
        self.assertEqual(logged.fields['made'], 19)
        self._reserve(20)
        self.host.tick(0.9)
        self.assertEqual(self.host.take_events(), [])

    def test_heavy_workspace_is_logged_once(self):
        """Guards against a contention that operators do not see."""
        self._contend()
        self.host.tick(0.1)
        [logged] = self.host.take_events()
        self.assertIs(logged.event, Event.WORKSPACE_IN_EXCESS)
        self.assertEqual(logged.fields['workspace'], f'{HASH:016x}')
        self.host.tick(0.9)
        self.assertEqual(self.host.take_events(), [])

    def test_nothing_is_logged_without_callers(self):
        """Guards against events of services that report no cost."""
        self.host.tick(0.1)
        self.assertEqual(self.host.take_events(), [])
        text = self._scrape()
        self.assertNotIn('persimmonroute_retry_reservations_total{', text)
        self.assertNotIn('persimmonroute_workspace_slots{', text)

    def test_metrics_name_workspaces(self):
        """Guards against figures that no operator can relate to a name."""
        self._reserve(1)
        self._contend()
        text = self._scrape()
        self.assertIn(
            'persimmonroute_retry_reservations_total'
            '{service="llm",step="made"} 1.0',
            text,
        )
        self.assertIn(
            'persimmonroute_workspace_slots{kind="demanded",region="riga",'
            'service="llm",tier="1",workspace="desk"}',
            text,
        )
        self.assertIn('kind="fair"', text)

    def test_counts_outlast_the_group(self):
        """Guards against a counter that falls back."""
        self._reserve(1)
        self.host.tick(2 * admission_host.IDLE_GROUP_S)
        self.assertEqual(self.host.groups, [])
        counts = self.host.count_reservations()[fixtures.SERVICE]
        self.assertEqual(counts.made, 1)

    def test_fair_part_is_infinite_without_contention(self):
        """Guards against a limit where none applies."""
        self.group.order.shares.record_demand(1, HASH, 1.0, 0.0)
        self.group.order.shares.record_use(1, HASH, 1.0, 0.0)
        [(_, report)] = self.host.report_shares(0.0)
        self.assertEqual(report.fair, math.inf)

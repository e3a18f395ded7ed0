"""Test the deploy files and the documents of the platform."""

from __future__ import annotations

import json
import math
import pathlib
import re
import tomllib
import unittest

from persimmonroute.config import settings
from persimmonroute import exceptions
from persimmonroute.gateway import rollout_control
from persimmonroute.gateway import rollout_keeping
from persimmonroute.platform import documents
from standins import gateway_deployment

ROOT = pathlib.Path(__file__).parents[3]
# Fields of the settings template, with the values that the platform documents
# as examples.
FIELDS = {
    'NodeName': 'edge-riga-a-1',
    'Region': 'riga',
    'Zone': 'riga-a',
    'Ip': '10.1.0.25',
    'Listen.Front': '10.1.0.25:8221',
    'Listen.Ready': '10.1.0.25:8224',
    'Listen.Control': '10.1.0.25:8229',
    'Seeds': ['10.1.0.25:8229', '10.2.0.17:8229'],
    'PortRange.0': '7600',
    'PortRange.1': '7615',
    'Platform.Address': '10.200.1.7:8225',
    'Zones': {'riga-a': 'riga', 'riga-b': 'riga'},
    'Limits.MemoryMb': 128,
    'Limits.MaxFds': 4100,
    'Bounds.RevokeMs': 5000,
    'Bounds.ConfigMs': 2500,
    'Bounds.BudgetRatio': 0.2,
    'Bounds.BudgetSlack': 52,
    'Bounds.BudgetWindowS': 10,
    'Bounds.QuotaWindowS': 8,
    'Bounds.QuotaOverrun': 0.1,
    'Bounds.QuotaSlack': 110000,
    'Bounds.GraceS': 8,
    'Bounds.ExposeShare': 0.1,
    'Bounds.ExposeSlack': 50,
    'Bounds.RollbackMs': 5000,
}


def render_template(text, fields):
    """Render the template as the platform does."""

    def render_section(match):
        value = fields.get(match.group(1))
        if isinstance(value, list):
            # A list section renders its items, not its body.
            return ', '.join(json.dumps(item) for item in value)
        return '' if value is None else match.group(2)

    text = re.sub(
        r'\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}', render_section, text, 0, re.S
    )

    def render_value(match):
        value = fields.get(match.group(1), '')
        if match.group(2):
            return json.dumps(value)
        return str(value)

    return re.sub(r'\{\{([\w.]+)(\|json)?\}\}', render_value, text)


class TemplateTests(unittest.TestCase):
    """Render the settings template."""

    def setUp(self):
        """Read the template that the deploy file refers to."""
        with open(ROOT / 'deploy' / 'system.toml', 'rb') as file:
            self.deploy = tomllib.load(file)
        path = self.deploy['roles']['gateway']['template']
        self.template = (ROOT / path).read_text()

    def test_all_fields_make_valid_settings(self):
        """A template rendered with all fields passes the settings check."""
        document = json.loads(render_template(self.template, FIELDS))
        loaded, problems = settings.check_settings(document)
        self.assertEqual(problems, [])
        self.assertEqual(loaded.revocation_s, 5.0)
        self.assertEqual(loaded.memory_mb, 128)
        self.assertEqual(loaded.max_descriptors, 4100)
        self.assertEqual(loaded.regions['riga-b'], 'riga')
        self.assertEqual(loaded.metrics_address, '10.1.0.25:7615')
        self.assertEqual(
            rollout_keeping.read_bounds(loaded),
            rollout_control.Bounds(0.1, 50, 5.0),
        )

    def test_missing_bounds_take_defaults(self):
        """A template rendered without the bounds passes the check."""
        fields = {
            name: value
            for name, value in FIELDS.items()
            if not name.startswith('Bounds')
        }
        document = json.loads(render_template(self.template, fields))
        loaded, problems = settings.check_settings(document)
        self.assertEqual(problems, [])
        self.assertIsNone(rollout_keeping.read_bounds(loaded))

    def test_rollouts_need_all_their_bounds(self):
        """Guards against rollouts that are served without a bound."""
        for name in ('ExposeShare', 'ExposeSlack', 'RollbackMs'):
            fields = {**FIELDS}
            del fields[f'Bounds.{name}']
            document = json.loads(render_template(self.template, fields))
            loaded, problems = settings.check_settings(document)
            self.assertEqual(problems, [])
            self.assertIsNone(rollout_keeping.read_bounds(loaded))

    def test_limits_that_are_not_stated_are_not_written(self):
        """Guards against limits in deployments that do not state them."""
        fields = {
            name: value
            for name, value in FIELDS.items()
            if not name.startswith('Limits')
        }
        document = json.loads(render_template(self.template, fields))
        loaded, problems = settings.check_settings(document)
        self.assertEqual(problems, [])
        self.assertIsNone(loaded.memory_mb)
        self.assertIsNone(loaded.max_descriptors)

    def test_requirements_match_the_pins(self):
        """The platform installs the versions pinned for development."""
        pins = set((ROOT / 'constraints.txt').read_text().split())
        required = (ROOT / 'deploy' / 'requirements.txt').read_text().split()
        self.assertLessEqual(set(required), pins)


class DocumentTests(unittest.TestCase):
    """Decode documents written by operators and endpoints."""

    def _read(self, **changes):
        document = gateway_deployment.configuration(**changes)
        return documents.read_configuration(json.dumps(document).encode())

    def test_kind_determines_repeatable(self):
        """Only idempotent routes and resumable streams are repeatable."""
        routes = {route.name: route for route in self._read().routes}
        self.assertFalse(routes['book'].repeatable)
        self.assertTrue(routes['find'].repeatable)
        self.assertFalse(routes['draft'].repeatable)
        self.assertTrue(routes['resume'].repeatable)

    def test_quota_counts_its_unit(self):
        """A quota counts tokens only with the unit token_count."""
        tenant = {'Name': 'a', 'ApiKeys': ['k'], 'RatePerS': 5, 'Burst': 7}
        quota = self._read(Tenants=[tenant]).workspaces[0].quota
        self.assertEqual(quota, (5.0, 7.0, 1.0))
        counted = {**tenant, 'Unit': 'token_count', 'PlainTokens': 200}
        quota = self._read(Tenants=[counted]).workspaces[0].quota
        self.assertEqual(quota.plain_units, 200.0)
        unlimited = {'Name': 'a', 'ApiKeys': ['k'], 'RatePerS': 0}
        self.assertIsNone(self._read(Tenants=[unlimited]).workspaces[0].quota)

    def test_malformed_documents_raise_document_error(self):
        """Missing and malformed fields raise DocumentError."""
        registration = {
            'Service': 'llm',
            'Address': '127.0.0.1:1',
            'Zone': 'a',
            'Slots': 2,
            'State': 'ready',
            'Version': 'v1',
            'ColdRemainingMs': 0,
            'Sequence': 1,
        }
        good = documents.read_runner('r', json.dumps(registration).encode())
        self.assertEqual(good.slots, 2)
        for change in (
            {'State': 'sleeping'},
            {'Service': 3},
            {'Address': 'nowhere'},
            {'Slots': '2'},
            {'Slots': True},
            {'born': 1.5},
            {'Version': 1},
            {'Version': ''},
        ):
            with self.subTest(change=change):
                data = json.dumps({**registration, **change}).encode()
                with self.assertRaises(exceptions.DocumentError):
                    documents.read_runner('r', data)
        for data in (b'', b'\xff', b'[]', b'{}', b'{"Version": "x"}'):
            with self.subTest(data=data):
                with self.assertRaises(exceptions.DocumentError):
                    documents.read_configuration(data)

    def test_orders_of_rollouts(self):
        """Guards against orders that are read as something else."""
        document = {'Service': 's', 'To': 'v2', 'DurationS': 12}
        data = json.dumps(document).encode()
        order = documents.read_order('rollout/s', data, 5)
        self.assertEqual(order, rollout_control.Order('s', 'v2', 12.0, 5))
        for change in (
            {'Service': 'other'},
            {'To': ''},
            {'To': 2},
            {'To': 'x' * 1000},
            {'DurationS': '12'},
            {'DurationS': True},
            {'DurationS': None},
        ):
            with self.subTest(change=change):
                data = json.dumps({**document, **change}).encode()
                with self.assertRaises(exceptions.DocumentError):
                    documents.read_order('rollout/s', data, 5)
        for data in (b'', b'[]', b'{}', b'{"DurationS": 1e999}'):
            with self.assertRaises(exceptions.DocumentError):
                documents.read_order('rollout/s', data, 5)

    def test_rows_of_rollouts(self):
        """A row is read as it was written; others are refused."""
        row = rollout_keeping.RolloutRow(
            rollout_control.Order('s', 'v2', 12.0, 5),
            math.inf,
            rollout_control.Phase.RAMP,
            'in_progress',
            'why',
            100,
            7,
            ('v0',),
            'gateway-1',
        )
        document = documents.encode_rollout(row, 3, 77.5)
        data = json.dumps(document).encode()
        self.assertEqual(documents.read_rollout('s', data), (row, 3, 77.5))
        for change in (
            {'phase': 'sleeping'},
            {'requests': -1},
            {'rejected': 3},
            {'order': 'x'},
            {'given_at_s': 'inf'},
            {'controller': ''},
        ):
            with self.subTest(change=change):
                data = json.dumps({**document, **change}).encode()
                with self.assertRaises(exceptions.DocumentError):
                    documents.read_rollout('s', data)

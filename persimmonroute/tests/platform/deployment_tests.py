"""Test the files by which the platform runs gateways."""

from __future__ import annotations

import json
import pathlib
import re
import tomllib
import unittest

from persimmonroute.config import settings
from persimmonroute import exceptions
from persimmonroute.platform import documents
from standins import gateway_deployment

ROOT = pathlib.Path(__file__).parents[3]
# Fields of the platform that the template names, as its page shows them.
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
    'Bounds.RevokeMs': 5000,
    'Bounds.ConfigMs': 2500,
    'Bounds.BudgetRatio': 0.2,
    'Bounds.BudgetSlack': 52,
    'Bounds.BudgetWindowS': 10,
    'Bounds.QuotaWindowS': 8,
    'Bounds.QuotaOverrun': 0.1,
    'Bounds.QuotaSlack': 110000,
    'Bounds.GraceS': 8,
}


def fill_template(text, fields):
    """Return the template filled in as the platform does it."""

    def fill_section(match):
        value = fields.get(match.group(1))
        if isinstance(value, list):
            # The entries stand in for the section's own names.
            return ', '.join(json.dumps(entry) for entry in value)
        return '' if value is None else match.group(2)

    text = re.sub(
        r'\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}', fill_section, text, 0, re.S
    )

    def fill_value(match):
        value = fields.get(match.group(1), '')
        if match.group(2):
            return json.dumps(value)
        return str(value)

    return re.sub(r'\{\{([\w.]+)(\|json)?\}\}', fill_value, text)


class TemplateTests(unittest.TestCase):
    """Fill in the template of settings."""

    def setUp(self):
        """Read the template that the deploy file names."""
        with open(ROOT / 'deploy' / 'system.toml', 'rb') as file:
            self.deploy = tomllib.load(file)
        path = self.deploy['roles']['gateway']['template']
        self.template = (ROOT / path).read_text()

    def test_all_fields_make_valid_settings(self):
        """The product's own checks accept what the platform fills in."""
        document = json.loads(fill_template(self.template, FIELDS))
        made, problems = settings.check_settings(document)
        self.assertEqual(problems, [])
        self.assertEqual(made.revocation_s, 5.0)
        self.assertEqual(made.regions['riga-b'], 'riga')
        self.assertEqual(made.metrics_address, '10.1.0.25:7615')

    def test_bounds_that_are_missing_take_defaults(self):
        """A deployment without some bounds still gets valid settings."""
        fields = {
            name: value
            for name, value in FIELDS.items()
            if not name.startswith('Bounds')
        }
        document = json.loads(fill_template(self.template, fields))
        _, problems = settings.check_settings(document)
        self.assertEqual(problems, [])

    def test_requirements_match_the_pins(self):
        """What the platform installs is what the project is tested with."""
        pins = set((ROOT / 'constraints.txt').read_text().split())
        wanted = (ROOT / 'deploy' / 'requirements.txt').read_text().split()
        self.assertLessEqual(set(wanted), pins)


class DocumentTests(unittest.TestCase):
    """Read documents of other writers."""

    def _read(self, **changes):
        document = gateway_deployment.configuration(**changes)
        return documents.read_configuration(json.dumps(document).encode())

    def test_kinds_say_what_may_repeat(self):
        """A stream may only repeat where it may resume."""
        made = {route.name: route for route in self._read().routes}
        self.assertFalse(made['book'].repeatable)
        self.assertTrue(made['find'].repeatable)
        self.assertFalse(made['draft'].repeatable)
        self.assertTrue(made['resume'].repeatable)

    def test_quota_counts_its_unit(self):
        """Tokens are counted only where the unit says so."""
        tenant = {'Name': 'a', 'ApiKeys': ['k'], 'RatePerS': 5, 'Burst': 7}
        quota = self._read(Tenants=[tenant]).workspaces[0].quota
        self.assertEqual(quota, (5.0, 7.0, 1.0))
        counted = {**tenant, 'Unit': 'token_count', 'PlainTokens': 200}
        quota = self._read(Tenants=[counted]).workspaces[0].quota
        self.assertEqual(quota.plain_units, 200.0)
        unlimited = {'Name': 'a', 'ApiKeys': ['k'], 'RatePerS': 0}
        self.assertIsNone(self._read(Tenants=[unlimited]).workspaces[0].quota)

    def test_unreadable_documents_are_typed_errors(self):
        """Neither missing nor wrong fields get through."""
        entry = {
            'Service': 'llm',
            'Address': '127.0.0.1:1',
            'Zone': 'a',
            'Slots': 2,
            'State': 'ready',
        }
        good = documents.read_runner('r', json.dumps(entry).encode())
        self.assertEqual(good.slots, 2)
        for change in (
            {'State': 'sleeping'},
            {'Service': 3},
            {'Address': 'nowhere'},
            {'Slots': '2'},
            {'Slots': True},
            {'born': 1.5},
        ):
            with self.subTest(change=change):
                data = json.dumps({**entry, **change}).encode()
                with self.assertRaises(exceptions.DocumentError):
                    documents.read_runner('r', data)
        for data in (b'', b'\xff', b'[]', b'{}', b'{"Version": "x"}'):
            with self.subTest(data=data):
                with self.assertRaises(exceptions.DocumentError):
                    documents.read_configuration(data)

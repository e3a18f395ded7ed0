"""Test the settings of processes."""

from __future__ import annotations

import pathlib
import unittest

from persimmonroute.config import settings
from persimmonroute import exceptions

DEPLOY = pathlib.Path(__file__).parents[3] / 'deploy'
ENTRY = {
    'role': 'entry',
    'instance': 'entry-1',
    'address': '127.0.0.1:7111',
    'region': 'riga',
    'failure_domain': 'riga-a',
    'platform': '127.0.0.1:7100',
}


class CheckSettingsTests(unittest.TestCase):
    """Check settings documents."""

    def test_valid_entry(self):
        """A whole document gives settings with defaults."""
        checked, problems = settings.check_settings(ENTRY)
        self.assertEqual(problems, [])
        self.assertEqual(checked.log_format, 'human')

    def test_all_problems_are_listed_at_once(self):
        """Each wrong option is named with its place."""
        document = {**ENTRY, 'address': 'riga:1', 'log_level': 'LOUD'}
        document['colour'] = 'red'
        del document['region']
        _, problems = settings.check_settings(document)
        paths = {problem.path for problem in problems}
        self.assertEqual(
            paths,
            {
                'settings.address',
                'settings.log_level',
                'settings.colour',
                'settings.region',
            },
        )

    def test_sidecar_needs_its_endpoint(self):
        """A sidecar without an endpoint is refused."""
        _, problems = settings.check_settings({**ENTRY, 'role': 'sidecar'})
        paths = {problem.path for problem in problems}
        self.assertIn('settings.endpoint', paths)

    def test_unreadable_file_names_its_remedy(self):
        """A missing file gives a typed error with a remedy."""
        with self.assertRaises(exceptions.SettingsError) as caught:
            settings.load_settings('/nonexistent.json')
        self.assertIn('--check-config', str(caught.exception))

    def test_deployed_settings_are_valid(self):
        """Every settings file below deploy/ is valid."""
        files = [
            *DEPLOY.glob('*/entry-*.json'),
            *DEPLOY.glob('*/sidecar-*.json'),
        ]
        self.assertEqual(len(files), 11 + 12)
        for path in files:
            with self.subTest(path=path.name):
                settings.load_settings(path)

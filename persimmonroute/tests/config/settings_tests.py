"""Test the validation of settings."""

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
    """Validate settings documents."""

    def test_valid_entry(self):
        """A valid document yields settings with defaults."""
        checked, problems = settings.check_settings(ENTRY)
        self.assertEqual(problems, [])
        self.assertEqual(checked.log_format, 'human')

    def test_all_problems_are_listed_at_once(self):
        """Every invalid option is reported with its path."""
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

    def test_sidecar_requires_endpoint(self):
        """A sidecar requires an endpoint."""
        _, problems = settings.check_settings({**ENTRY, 'role': 'sidecar'})
        paths = {problem.path for problem in problems}
        self.assertIn('settings.endpoint', paths)

    def test_unreadable_file_raises_error_with_remedy(self):
        """A missing file raises SettingsError with a remedy."""
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

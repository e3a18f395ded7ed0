"""Test what a gateway keeps of configurations that were replaced."""

from __future__ import annotations

import gc
import unittest
import weakref

from persimmonroute.gateway import model
from persimmonroute.gateway import stream_origins
from standins import gateway_fixtures as fixtures

VERSIONS = 20
INTERVAL_S = 10.0


def _lead_to(service):
    destinations = (model.Destination(service, 1.0),)
    return fixtures.route('draft', destinations=destinations)


class FormerConfigurationTests(unittest.TestCase):
    """Replace the configuration again and again."""

    def setUp(self):
        """Build a board and remember what its tables hold."""
        self.board = fixtures.board()
        self.tables = weakref.WeakSet()
        self.now = 0.0
        self.version = self.board.version

    def _adopt(self, service, key='key'):
        self.version += 1
        self.now += INTERVAL_S
        configuration = fixtures.configuration(
            [_lead_to(service)],
            [fixtures.workspace(key=key)],
            version=self.version,
        )
        self.assertTrue(
            self.board.adopt_configuration(configuration, self.now)
        )
        self.tables.add(self.board.route_table)

    def _find_services(self):
        return self.board.find_stream_services(
            fixtures.HOST, '/draft/x', self.now
        )

    def test_keys_of_former_configurations_are_not_kept(self):
        """Guards against memory that grows with each version."""
        for number in range(VERSIONS):
            self._adopt(f'service-{number}', f'key-{number}')
        gc.collect()
        self.assertEqual(list(self.tables), [self.board.route_table])

    def test_services_are_known_for_the_life_of_a_stream(self):
        """Guards against a stream whose route led elsewhere lately."""
        for service in ('old', 'former', 'current'):
            self._adopt(service)
            # Other keys, the same routes.
            self._adopt(service, f'key-{service}')
        self.assertEqual(
            self._find_services() - {fixtures.SERVICE},
            {'old', 'former', 'current'},
        )
        # 'old' was replaced when 'former' came.
        self.now += stream_origins.STREAM_LIFE_S - 2 * INTERVAL_S
        self.assertEqual(self._find_services(), {'former', 'current'})

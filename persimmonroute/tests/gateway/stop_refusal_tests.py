"""Test when callers that a stopping gateway refuses may come back."""

from __future__ import annotations

import unittest

from persimmonroute import draining
from persimmonroute.gateway import admission
from persimmonroute.gateway import model
from standins import gateway_fixtures as fixtures

NOW = 100.0
REMOVAL_S = 2.6
LONG_S = 15.0
# Of a stream that is expected to outlast a stop.
LONG_TOKENS = 1000


class StopRefusalTests(unittest.TestCase):
    """Refuse requests that a stop would cut off."""

    def setUp(self):
        """Stop a gateway that does not know how long requests take."""
        self.route = fixtures.route(timeout_s=LONG_S)
        self.board = fixtures.board(NOW, routes=[self.route])
        self.board.drain = draining.begin(NOW, REMOVAL_S, 0.4, 7.3)
        self.admission = admission.Admission(self.board)

    def _add_peers(self, count, failure_domain='riga-a'):
        for number in range(count):
            name = f'{failure_domain}-{number}'
            self.board.peers.update_peer(
                name, f'127.0.0.1:{number + 1}', NOW, failure_domain, 1.0
            )

    def _refuse(self, remaining_s=LONG_S, now=NOW + 1.0):
        request = fixtures.request(
            remaining_s=remaining_s, output_tokens=LONG_TOKENS
        )
        rejection = self.admission.evaluate(request, now)
        self.assertIsInstance(rejection, model.Rejection)
        self.assertEqual(rejection.status, 503)
        return rejection.retry_after_s

    def test_caller_of_the_only_gateway_waits_for_its_removal(self):
        """Guards against callers that are sent back to the same gateway."""
        self._add_peers(5, 'riga-b')
        self.assertAlmostEqual(
            self._refuse(), REMOVAL_S - 1.0 + admission.RETURN_MARGIN_S
        )

    def test_caller_of_one_of_many_gateways_comes_back_at_once(self):
        """Callers in a large failure domain lose no time."""
        self._add_peers(admission.MIN_NEIGHBOURS)
        self.assertEqual(self._refuse(), model.OTHER_GATEWAY_RETRY_S)

    def test_caller_has_time_left_when_it_comes_back(self):
        """Guards against a pause that takes all of a caller's time."""
        self.assertAlmostEqual(self._refuse(7.2, NOW), 7.2 / 3)

    def test_caller_after_the_removal_comes_back_at_once(self):
        """On a kept connection another gateway is a new connection away."""
        retry_s = self._refuse(now=NOW + 3.0)
        self.assertEqual(retry_s, model.OTHER_GATEWAY_RETRY_S)

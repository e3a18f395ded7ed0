"""Test that each promise is proved and each mutant violates a promise."""

from __future__ import annotations

import unittest

from spec import checker
from spec import configuration_protocol
from spec import request_protocol


class SpecificationTests(unittest.TestCase):
    """Verify both protocol specifications."""

    def _check(self, protocol, promises, mutants):
        self.assertEqual(checker.find_induction_failure(protocol), '')
        for promise in promises:
            with self.subTest(promise=promise):
                self.assertTrue(checker.excludes_violation(protocol, promise))
        for mutant in mutants:
            with self.subTest(mutant=mutant.name):
                self.assertTrue(checker.find_trace(protocol, mutant))

    def test_request_protocol(self):
        """Verify the protocol of requests, claims and grants."""
        self._check(
            request_protocol.RequestProtocol(),
            request_protocol.PROMISES,
            request_protocol.MUTANTS,
        )

    def test_configuration_protocol(self):
        """Verify how revisions are accepted and adopted."""
        self._check(
            configuration_protocol.ConfigurationProtocol(),
            configuration_protocol.PROMISES,
            configuration_protocol.MUTANTS,
        )

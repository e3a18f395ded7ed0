"""Test that the specifications are proved and their mutants broken."""

from __future__ import annotations

import unittest

from spec import checker
from spec import configuration_protocol
from spec import request_protocol


class SpecificationTests(unittest.TestCase):
    """Check both protocols with the model checker."""

    def _check(self, protocol, promises, mutants):
        self.assertEqual(checker.find_gap(protocol), '')
        for promise in promises:
            with self.subTest(promise=promise):
                self.assertTrue(checker.excludes(protocol, promise))
        for mutant in mutants:
            with self.subTest(mutant=mutant.name):
                self.assertTrue(checker.find_trace(protocol, mutant))

    def test_request_protocol(self):
        """Requests, claims and grants."""
        self._check(
            request_protocol.RequestProtocol(),
            request_protocol.PROMISES,
            request_protocol.MUTANTS,
        )

    def test_configuration_protocol(self):
        """Revisions and the processes that adopt them."""
        self._check(
            configuration_protocol.ConfigurationProtocol(),
            configuration_protocol.PROMISES,
            configuration_protocol.MUTANTS,
        )

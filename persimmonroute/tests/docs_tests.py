"""Test that generated pages match the code."""

from __future__ import annotations

import unittest

from tools import write_docs


class GeneratedPagesTests(unittest.TestCase):
    """Compare each generated page with the code."""

    def test_pages_are_current(self):
        """Every generated page equals its committed file."""
        for name, build in write_docs.PAGES.items():
            with self.subTest(page=name):
                committed = (write_docs.DOCS / name).read_text()
                self.assertEqual(build(), committed)

    def test_event_numbers_are_unique(self):
        """No two events share a number."""
        numbers = [e.value.number for e in write_docs.events.Event]
        self.assertEqual(len(numbers), len(set(numbers)))

"""Test that generated pages match the code."""

from __future__ import annotations

import unittest

from tools import write_docs


class GeneratedPagesTests(unittest.TestCase):
    """Compare each generated page with the code."""

    def test_pages_are_current(self):
        """Build each page and compare it with the committed file."""
        for name, build in write_docs.PAGES.items():
            with self.subTest(page=name):
                committed = (write_docs.DOCS / name).read_text()
                self.assertEqual(build(), committed)

    def test_event_numbers_are_unique(self):
        """Give each event a number of its own."""
        numbers = [e.value.number for e in write_docs.events.Event]
        self.assertEqual(len(numbers), len(set(numbers)))

"""Test the choice of the sidecar subset of an entry."""

from __future__ import annotations

import collections
import unittest

from persimmonroute.entry import board as boards
from persimmonroute.entry import messages
from persimmonroute.entry import subsets

ENTRIES = 70
RUNNERS = 360


def _instances(count, regions=10):
    return [
        messages.Instance(
            f'runner-{n}', 'llm', f'region-{n % regions}', 'd', 'a', False
        )
        for n in range(count)
    ]


class SubsetTests(unittest.TestCase):
    """Choose subsets for several entries."""

    def _choose(self, entry, instances):
        locality = boards.Locality(f'region-{entry % 10}', 'd')
        return subsets.choose_subset(f'entry-{entry}', locality, instances)

    def test_few_instances_are_all_chosen(self):
        """A service below the subset size is chosen completely."""
        instances = _instances(8, regions=2)
        self.assertEqual(len(self._choose(0, instances)), 8)

    def test_subset_has_its_size_and_spans_regions(self):
        """Three quarters of a subset are in the entry's own region."""
        chosen = self._choose(3, _instances(RUNNERS))
        self.assertEqual(len(chosen), subsets.SUBSET_SIZE)
        local = [i for i in chosen if i.region == 'region-3']
        self.assertEqual(len(local), 12)

    def test_most_runners_are_chosen_by_some_entry(self):
        """Entries together connect to over 90% of the runners."""
        reached = collections.Counter()
        for entry in range(ENTRIES):
            for instance in self._choose(entry, _instances(RUNNERS)):
                reached[instance.name] += 1
        self.assertGreater(len(reached), 0.9 * RUNNERS)

    def test_one_removal_changes_at_most_one_member(self):
        """Removing a runner replaces at most one member of a subset."""
        instances = _instances(RUNNERS)
        before = {i.name for i in self._choose(1, instances)}
        for removed in instances[:40]:
            rest = [i for i in instances if i is not removed]
            after = {i.name for i in self._choose(1, rest)}
            self.assertLessEqual(len(before ^ after), 2)

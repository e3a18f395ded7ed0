"""Choose the subset of sidecars that an entry connects to."""

from __future__ import annotations

import xxhash

# Maximum number of connected sidecars per service.
SUBSET_SIZE = 16


def choose_subset(entry, locality, instances, size=SUBSET_SIZE):
    """Return the instances an entry connects to, by rendezvous hashing.

    Three quarters come from the entry's own region, as far as it has them,
    so that an isolated region can still serve itself. Adding or removing an
    instance changes at most one other member of the subset.
    """
    ranked = sorted(instances, key=lambda i: _weight(entry, i), reverse=True)
    local = [i for i in ranked if i.region == locality.region]
    remote = [i for i in ranked if i.region != locality.region]
    local_size = max(size - size // 4, size - len(remote))
    chosen = local[:local_size]
    return chosen + remote[: size - len(chosen)]


def _weight(entry, instance):
    return xxhash.xxh3_64_intdigest(f'{entry}|{instance.name}'.encode())

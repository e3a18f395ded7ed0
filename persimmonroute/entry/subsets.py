"""Choose the sidecars that an entry keeps connections to."""

from __future__ import annotations

import xxhash

# Sidecars of one service that an entry connects to.
SUBSET_SIZE = 16


def choose_subset(entry, locality, instances, size=SUBSET_SIZE):
    """Return the instances that an entry keeps, by rendezvous hashing.

    Three quarters come from the entry's own region, as far as it has
    them, so that a region that is cut off can serve itself. A change of
    one instance moves no other instance in or out, but for the one that
    takes its place.
    """
    ranked = sorted(instances, key=lambda i: _weight(entry, i), reverse=True)
    near = [i for i in ranked if i.region == locality.region]
    far = [i for i in ranked if i.region != locality.region]
    near_size = max(size - size // 4, size - len(far))
    chosen = near[:near_size]
    return chosen + far[: size - len(chosen)]


def _weight(entry, instance):
    return xxhash.xxh3_64_intdigest(f'{entry}|{instance.name}'.encode())

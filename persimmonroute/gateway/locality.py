"""Classify the network distance to other instances."""

from __future__ import annotations

import enum


class Distance(enum.IntEnum):
    """Order failure domains by their network distance."""

    OWN_DOMAIN = 0
    OWN_REGION = 1
    OTHER_REGION = 2


class Locality:
    """Locate this instance by its failure domain and region."""

    def __init__(self, failure_domain, region, region_of):
        self.failure_domain = failure_domain
        self._region_of = {**region_of, failure_domain: region}

    @property
    def region(self):
        """Return the region of this instance."""
        return self._region_of[self.failure_domain]

    def region_of(self, failure_domain):
        """Return the region of a failure domain; empty if not known."""
        return self._region_of.get(failure_domain, '')

    def distance(self, failure_domain):
        """Return the Distance to a failure domain.

        A domain that the settings do not name counts as another region.
        """
        return self.distance_between(self.failure_domain, failure_domain)

    def distance_between(self, one, other):
        """Return the Distance between two failure domains."""
        if one == other:
            return Distance.OWN_DOMAIN
        region = self._region_of.get(one)
        if region is not None and region == self._region_of.get(other):
            return Distance.OWN_REGION
        return Distance.OTHER_REGION

"""Correct the callers' estimates of how long their responses will be.

Responses of one route differ by a factor of a hundred, and requests that are
expected to be short go first under overload. The estimates are right at the
median and often far off; a workspace that states too little would otherwise
go before all others.
"""

from __future__ import annotations

import collections
import math

# Routes and workspaces whose estimates are compared with responses.
MAX_ROUTES = 256
MAX_WORKSPACES = 4096
# Weight of the newest response, once there are many.
SMOOTHING = 0.02
# Bound of one response's logarithm relative to the average. A mean without it
# would follow the one workspace whose estimates are far off.
MAX_STEP = 1.0
# Correct responses that an unknown workspace counts as having.
PRIOR_RESPONSES = 8


class Bias:
    """Average the logarithm of actual over stated lengths."""

    def __init__(self, prior=0):
        self.mean = 0.0
        self._prior = prior
        self._responses = 0

    def add(self, error):
        """Add the error of one estimate."""
        self._responses += 1
        weight = max(1.0 / (self._responses + self._prior), SMOOTHING)
        step = min(max(error - self.mean, -MAX_STEP), MAX_STEP)
        self.mean += weight * step


class OutputHints:
    """Estimate the output tokens of requests from what callers state."""

    def __init__(self):
        # Logarithm of events for each stated token, by route.
        self._routes = collections.OrderedDict()
        # What is particular to a workspace on a route.
        self._workspaces = collections.OrderedDict()

    @property
    def workspace_count(self):
        """Return how many workspaces and routes are kept."""
        return len(self._workspaces)

    def expect(self, workspace, route, request):
        """Return the expected output tokens; 0 if nothing is known.

        Only estimates that are too low are corrected: too high ones cost
        nobody but their caller.
        """
        bias = self._workspaces.get((route, workspace))
        tokens = request.expected_output
        if bias is None or not request.output_hint or bias.mean <= 0.0:
            return tokens
        corrected = round(tokens * math.exp(bias.mean))
        return min(corrected, request.output_tokens or corrected)

    def record(self, workspace, route, request, events):
        """Compare an estimate with the events of a complete response."""
        if not request.output_hint or events <= 0:
            return
        usual = _find(self._routes, route, MAX_ROUTES, Bias)
        error = math.log(events / request.expected_output)
        own = _find(
            self._workspaces,
            (route, workspace),
            MAX_WORKSPACES,
            lambda: Bias(PRIOR_RESPONSES),
        )
        usual.add(error)
        own.add(error - usual.mean)


def _find(biases, key, most, build):
    """Return the Bias of a key; forget the one that was used least of late."""
    bias = biases.pop(key, None) or build()
    biases[key] = bias
    if len(biases) > most:
        biases.popitem(last=False)
    return bias

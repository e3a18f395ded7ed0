"""Learn how long requests of a size take at an endpoint of usual speed.

Times are fitted by service and route: a constant, a time for each uncached
prompt token and a time for each output token. It answers loads in which the
prompts of one route differ by a factor of ten, so that means by route are
wrong for most requests.
"""

from __future__ import annotations

import collections
import math
import typing

# Routes whose times are fitted.
MAX_ROUTES = 256
# Observations over which the fit forgets earlier ones.
MEMORY_REQUESTS = 400
# Observations with which the fit and the mean have the same weight.
MEAN_REQUESTS = 8
# An observation counts as at most this many times, and at least this part of,
# what is expected: one stuck request must not change the fit.
MAX_RATIO = 3.0
# The same bound for the first observations of a route: what is expected of
# them is little more than the mean, and prompts differ by more than tenfold.
MAX_FIRST_RATIO = 10.0
# Observations from which the fit is used for more than estimates.
FIT_REQUESTS = 16
# Estimates are no smaller than this part of the mean by route.
MIN_MEAN_SHARE = 0.03
# Shorter times cannot be distinguished from network delay.
MIN_TIME_S = 0.001
# Prompt and output tokens are counted in these units, so that the terms of
# the fit are of similar size.
TOKENS_UNIT = 1000.0
# Weight of the ridge that keeps the fit regular, relative to one observation.
RIDGE = 1e-3
# Squared logarithmic error assumed until it has been measured: about a third.
DEFAULT_ERROR = 0.1
ERROR_SMOOTHING = 0.05
# Sums are solved once for so many observations; solving takes longer than
# adding one.
SOLVE_INTERVAL = 4


class Size(typing.NamedTuple):
    """Store what the time of a request depends on, in tokens."""

    # Prompt tokens that the endpoint does not cache.
    uncached: float
    # Most tokens that the response may have; 0 if it is not known.
    output: float


class Times(typing.NamedTuple):
    """Store times of one request, in seconds.

    first_byte_s is from the sending to the first byte of the response, slot_s
    to its end.
    """

    first_byte_s: float
    slot_s: float


class LinearFit:
    """Fit times to terms by weighted least squares with forgetting.

    Each observation is weighted by the inverse square of the expected time,
    since errors are in proportion to the time.
    """

    def __init__(self, terms):
        self._products = [[0.0] * terms for _ in range(terms)]
        self._targets = [0.0] * terms
        self._coefficients = [0.0] * terms
        self._added = 0

    def add(self, terms, seconds, weight):
        """Add an observation; terms are its regressors."""
        forget = 1.0 - 1.0 / MEMORY_REQUESTS
        for row, term in enumerate(terms):
            products = self._products[row]
            scaled = weight * term
            for column, other in enumerate(terms):
                products[column] = products[column] * forget + scaled * other
            self._targets[row] = self._targets[row] * forget + scaled * seconds
        self._added += 1
        few = self._added < FIT_REQUESTS
        if few or self._added % SOLVE_INTERVAL == 0:
            self._coefficients = _solve(self._products, self._targets)

    def estimate(self, terms):
        """Return the fitted time in seconds."""
        return sum(map(float.__mul__, self._coefficients, terms))

    @property
    def coefficients(self):
        """Return the fitted time of each term, in seconds."""
        return tuple(self._coefficients)


class TimeFit:
    """Estimate one time of a route's requests from their size."""

    def __init__(self, terms):
        self.requests = 0
        self.mean_s = 0.0
        # Mean squared logarithmic error of the estimates.
        self.error = DEFAULT_ERROR
        self._fit = LinearFit(terms)

    def estimate_s(self, terms):
        """Return the expected time in seconds."""
        known = self.requests**2
        weight = known / (known + MEAN_REQUESTS**2)
        mean_s = self.mean_s
        seconds = mean_s + weight * (self._fit.estimate(terms) - mean_s)
        return max(seconds, MIN_MEAN_SHARE * mean_s, MIN_TIME_S)

    def add(self, terms, seconds):
        """Add an observed time."""
        if not self.requests:
            self.mean_s = max(seconds, MIN_TIME_S)
        expected_s = self.estimate_s(terms)
        bound = MAX_RATIO
        if self.requests < FIT_REQUESTS:
            bound = MAX_FIRST_RATIO
        seconds = min(max(seconds, expected_s / bound), expected_s * bound)
        error = math.log(seconds / expected_s) ** 2
        self.error += ERROR_SMOOTHING * (error - self.error)
        self.requests += 1
        share = max(1.0 / self.requests, 1.0 / MEMORY_REQUESTS)
        self.mean_s += share * (seconds - self.mean_s)
        self._fit.add(terms, seconds, expected_s**-2)

    @property
    def coefficients(self):
        """Return the fitted time of each term, in seconds."""
        return self._fit.coefficients


class RouteFit:
    """Estimate the times of the requests of one service and route."""

    def __init__(self):
        self.first_byte = TimeFit(2)
        self.slot = TimeFit(3)

    @property
    def settled(self):
        """Return whether estimates are more than means by route."""
        return self.first_byte.requests >= FIT_REQUESTS

    def prefill_s(self, tokens):
        """Return the expected time for reading prompt tokens."""
        return self.first_byte.coefficients[1] * tokens / TOKENS_UNIT


class WorkModel:
    """Estimate times at an endpoint of usual speed with nothing else to do."""

    def __init__(self):
        self._routes = collections.OrderedDict()

    def find(self, service, route):
        """Return the RouteFit of a service and route, or None."""
        return self._routes.get((service, route))

    def expect(self, service, route, size):
        """Return the expected Times of a request, or None if unknown."""
        fit = self._routes.get((service, route))
        if fit is None:
            return None
        terms = _list_terms(size)
        first_byte_s = fit.first_byte.estimate_s(terms[:2])
        slot_s = fit.slot.estimate_s(terms)
        return Times(first_byte_s, max(slot_s, first_byte_s))

    def record(self, service, route, size, times):
        """Add times that are freed of the speed and load of the endpoint."""
        key = (service, route)
        fit = self._routes.pop(key, None) or RouteFit()
        # The last one is the one that was seen last.
        self._routes[key] = fit
        if len(self._routes) > MAX_ROUTES:
            self._routes.popitem(last=False)
        terms = _list_terms(size)
        fit.first_byte.add(terms[:2], times.first_byte_s)
        fit.slot.add(terms, times.slot_s)


def _list_terms(size):
    return (1.0, size.uncached / TOKENS_UNIT, size.output / TOKENS_UNIT)


def _solve(products, targets):
    """Solve the normal equations for coefficients that are not negative.

    A term with a negative coefficient is left out: no work takes less time
    the more of it there is.
    """
    used = list(range(len(targets)))
    while used:
        solution = _eliminate(
            [[products[r][c] for c in used] for r in used],
            [targets[r] for r in used],
        )
        negative = [i for i, value in enumerate(solution) if value < 0]
        if not negative:
            result = [0.0] * len(targets)
            for index, value in zip(used, solution, strict=True):
                result[index] = value
            return result
        worst = min(negative, key=solution.__getitem__)
        del used[worst]
    return [0.0] * len(targets)


def _eliminate(matrix, right):
    """Solve a small symmetric system with a ridge on its diagonal."""
    size = len(right)
    rows = [row + [right[i]] for i, row in enumerate(matrix)]
    for index in range(size):
        rows[index][index] += RIDGE * (rows[index][index] or 1.0)
    for index in range(size):
        pivot = rows[index][index]
        for lower in range(index + 1, size):
            factor = rows[lower][index] / pivot
            for column in range(index, size + 1):
                rows[lower][column] -= factor * rows[index][column]
    solution = [0.0] * size
    for index in reversed(range(size)):
        known = sum(
            rows[index][column] * solution[column]
            for column in range(index + 1, size)
        )
        solution[index] = (rows[index][size] - known) / rows[index][index]
    return solution

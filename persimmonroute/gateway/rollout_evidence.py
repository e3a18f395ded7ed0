"""Judge a version of a service by its responses beside the other versions.

It answers the load of a rollout: few requests reach the new version, and
bursts, slow endpoints or an outage affect the other versions as well. So
responses are compared within the same route and the same short time slice.
"""

from __future__ import annotations

import enum
import math
import typing

# Responses that arrived in the same slice were exposed to the same load.
SLICE_S = 0.5
# A version that turns bad late has many good responses before, which would
# hide the bad ones of the last moments.
RECENT_S = 2.0
# Slices of one order, which bounds the memory and messages of a long one.
MAX_SLICES = 40
# Shorter times cannot be distinguished from network delay.
MIN_TIME_S = 0.002
# Standard deviation of the logarithm of the times of one route, at least;
# prompts of one route differ by a factor of ten.
MIN_LOG_DEVIATION = 0.5
# Weight of a typical deviation beside the observed ones, in samples.
DEVIATION_PRIOR = 10
# Failures of the other versions that are assumed beside those observed, in
# responses, at the rate that they have over all slices.
RATE_PRIOR = 8.0
# Failure rate that the other versions have at least in the comparison.
MIN_FAILURE_RATE = 0.005
# Failures of a bad version, beyond the rate of the others.
EXCESS_FAILURE_RATE = 0.05
MIN_FAILURES = 3
# Ratio of the times from which a version is slow. A bad one is slower several
# times; a good one may run on slower machines.
SLOW_RATIO = 1.7
# The same without responses of others in the same slices: a burst may have
# come in between.
UNMATCHED_SLOW_RATIO = 2.5
UNMATCHED_EXCESS_RATE = 0.15
MIN_TIMES = 8
# Widens the confidence interval of few times: their deviation is uncertain,
# and without matching responses they share one reference.
FEW_TIMES = 6.0
# Probability, over all routes, of taking a good version for a bad one at one
# look. Looks are correlated, but there are many of them.
BAD_PROBABILITY = 2e-4
# The same for a version that is merely suspected.
SUSPECT_PROBABILITY = 0.02
# A version is good if it has this many responses, and its failures and times
# are below the thresholds with some certainty.
MIN_GOOD_ANSWERS = 40
GOOD_DEVIATIONS = 1.6
# Expected failures from which their number is as good as normal; the
# probability of none underflows at 745.
NORMAL_FROM = 200.0
NEGLIGIBLE = 1e-18


# Marks the times to the end of responses that go on after their first byte:
# a version may be slow only between the events of a stream.
WHOLE_SUFFIX = ' (whole)'


class Verdict(enum.Enum):
    """Enumerate what the responses say of a version."""

    UNDECIDED = 'undecided'
    GOOD = 'good'
    SUSPECT = 'suspect'
    BAD = 'bad'


class Judgement(typing.NamedTuple):
    """Store a verdict with the numbers that led to it."""

    verdict: Verdict
    reason: str


class Key(typing.NamedTuple):
    """Identify the responses that are counted together."""

    slice: int
    route: str
    version: str


class Tally(typing.NamedTuple):
    """Count responses; times are sums of natural logarithms of seconds."""

    answered: int = 0
    failed: int = 0
    log_sum: float = 0.0
    log_square_sum: float = 0.0

    @property
    def total(self):
        """Return the number of responses."""
        return self.answered + self.failed

    @property
    def mean_log(self):
        """Return the mean logarithm of the times."""
        return self.log_sum / self.answered

    def plus(self, other):
        """Return the sum of two tallies."""
        return Tally(
            self.answered + other.answered,
            self.failed + other.failed,
            self.log_sum + other.log_sum,
            self.log_square_sum + other.log_square_sum,
        )


class Comparison(typing.NamedTuple):
    """Compare a version with the others on some routes."""

    answers: int
    failures: int
    # Failures of the version if it failed as often as the others.
    expected_failures: float
    # Times that were compared, the mean difference of their logarithms, and
    # the standard error of that difference.
    times: int
    log_ratio: float
    log_error: float
    # Whether there were responses of others in the same slices.
    matched: bool
    # Responses and failures of the others on these routes in all slices.
    others: Tally


class Index(typing.NamedTuple):
    """Group the tallies for the comparison of one version with the others."""

    target: str
    # Tallies of the version, with their keys, by route.
    of_target: dict[str, list[tuple[Key, Tally]]]
    # Sums of the other versions by slice and route, and by route.
    others: dict[tuple[int, str], Tally]
    overall: dict[str, Tally]
    # The latter over a longer time, for the usual rate of failures.
    usual: dict[str, Tally]
    # Deviations of log times within slices and versions by route.
    deviations: dict[str, float]


def find_slice_s(duration_s):
    """Return the length of the slices of an order that takes this long."""
    return max(SLICE_S, duration_s / MAX_SLICES)


class VersionEvidence:
    """Count the responses of the versions of one service."""

    def __init__(self, slice_s=SLICE_S):
        self._slice_s = slice_s
        self._tallies = {}
        self._index = None
        # Sums of the other versions by route over a longer time, or None.
        self._usual = None

    @property
    def tallies(self):
        """Return the tallies by Key."""
        return self._tallies

    def record(self, version, route, failed, time_s, now):
        """Count a response; time_s is None if it says nothing of the speed."""
        if failed:
            added = Tally(failed=1)
        elif time_s is None:
            added = Tally()
        else:
            log_s = math.log(max(time_s, MIN_TIME_S))
            added = Tally(1, 0, log_s, log_s * log_s)
        self.add(Key(self.find_slice(now), route, version), added)

    def find_slice(self, now):
        """Return the number of the slice of a time."""
        return math.floor(now / self._slice_s)

    def add(self, key, tally):
        """Add counts, which another process may have made."""
        self._tallies[key] = self._tallies.get(key, Tally()).plus(tally)
        self._index = None

    def merge(self, other):
        """Add all counts of other evidence."""
        for key, tally in other.tallies.items():
            self.add(key, tally)

    def count(self, version):
        """Return the Tally of a version over all routes and slices."""
        return _sum(
            t for k, t in self._tallies.items() if k.version == version
        )

    def judge(self, target, now=None):
        """Return the Judgement of a version beside all others.

        With the time, the last moments are judged by themselves, too; they
        alone do not make a version suspect.
        """
        judgement = self._judge_all(target)
        if now is None or judgement.verdict is Verdict.BAD:
            return judgement
        recent = VersionEvidence(self._slice_s)
        first = self.find_slice(now - RECENT_S)
        for key, tally in self._tallies.items():
            if key.slice >= first:
                recent.add(key, tally)
        # How often the others fail is known from the whole time.
        recent._usual = self._find_index(target).usual
        latest = recent._judge_all(target)
        if latest.verdict is not Verdict.BAD:
            return judgement
        return latest._replace(reason=f'lately {latest.reason}')

    def _judge_all(self, target):
        routes = sorted(
            {k.route for k in self._tallies if k.version == target}
        )
        groups = [(route,) for route in routes]
        # Whole responses are counted by their first byte already.
        counted = tuple(r for r in routes if not r.endswith(WHOLE_SUFFIX))
        if len(counted) > 1:
            groups.append(counted)
        worst = Judgement(Verdict.UNDECIDED, '')
        for group in groups:
            compared = self.compare(target, group)
            for verdict, probability in (
                (Verdict.BAD, BAD_PROBABILITY),
                (Verdict.SUSPECT, SUSPECT_PROBABILITY),
            ):
                reason = _find_fault(compared, probability / len(groups))
                if reason is None:
                    continue
                if verdict is Verdict.BAD:
                    return Judgement(verdict, f'{reason} ({", ".join(group)})')
                worst = Judgement(verdict, f'{reason} ({", ".join(group)})')
        if worst.verdict is Verdict.UNDECIDED and routes:
            return _confirm_good(self.compare(target, counted))
        return worst

    def compare(self, target, routes):
        """Return the Comparison of a version with all others."""
        index = self._find_index(target)
        answers = failures = times = unmatched = 0
        expected = weights = weighted = 0.0
        for route in routes:
            overall = index.overall.get(route, Tally())
            usual = index.usual.get(route, Tally())
            for key, tally in index.of_target.get(route, ()):
                others = index.others.get((key.slice, route), Tally())
                unmatched += 0 if others.total else tally.total
                answers += tally.total
                failures += tally.failed
                expected += tally.total * _find_rate(others, usual)
                reference = others if others.answered else overall
                if not tally.answered or not reference.answered:
                    continue
                times += tally.answered
                # Inverse variance weights.
                spread = index.deviations[route] ** 2 * (
                    1 / tally.answered + 1 / reference.answered
                )
                weights += 1 / spread
                weighted += (tally.mean_log - reference.mean_log) / spread
        return Comparison(
            answers,
            failures,
            expected,
            times,
            weighted / weights if weights else 0.0,
            1 / math.sqrt(weights) if weights else math.inf,
            unmatched * 2 <= answers,
            _sum(index.usual.get(route, Tally()) for route in routes),
        )

    def _find_index(self, target):
        if self._index is None or self._index.target != target:
            self._index = self._build_index(target)
        return self._index

    def _build_index(self, target):
        """Sort the tallies in one pass: there are hundreds of them."""
        of_target, others, overall = {}, {}, {}
        by_route = {}
        for key, tally in self._tallies.items():
            route = key.route
            by_route.setdefault(route, []).append(tally)
            if key.version == target:
                of_target.setdefault(route, []).append((key, tally))
                continue
            place = (key.slice, route)
            others[place] = others.get(place, Tally()).plus(tally)
            overall[route] = overall.get(route, Tally()).plus(tally)
        deviations = {
            route: _find_log_deviation(tallies)
            for route, tallies in by_route.items()
        }
        usual = overall if self._usual is None else self._usual
        return Index(target, of_target, others, overall, usual, deviations)


def _find_log_deviation(tallies):
    """Return the deviation of log times within the tallies."""
    squares, count = MIN_LOG_DEVIATION**2 * DEVIATION_PRIOR, DEVIATION_PRIOR
    for tally in tallies:
        if tally.answered < 2:
            continue
        mean = tally.mean_log
        squares += tally.log_square_sum - tally.answered * mean * mean
        count += tally.answered - 1
    return max(math.sqrt(max(squares, 0.0) / count), MIN_LOG_DEVIATION)


def _sum(tallies):
    total = Tally()
    for tally in tallies:
        total = total.plus(tally)
    return total


def _find_rate(others, usual):
    """Return the failure rate of others in a slice, smoothed."""
    rate = usual.failed / usual.total if usual.total else 0.0
    rate = max(rate, MIN_FAILURE_RATE)
    return (others.failed + RATE_PRIOR * rate) / (others.total + RATE_PRIOR)


def _find_fault(compared, probability):
    """Return what is wrong with a version, or None."""
    excess = EXCESS_FAILURE_RATE if compared.matched else UNMATCHED_EXCESS_RATE
    ratio = SLOW_RATIO if compared.matched else UNMATCHED_SLOW_RATIO
    least = compared.expected_failures + excess * compared.answers
    if compared.failures >= max(MIN_FAILURES, least):
        chance = max(
            _poisson_tail(compared.failures, compared.expected_failures),
            _shared_rate_tail(
                compared.failures, compared.answers, compared.others
            ),
        )
        if chance < probability:
            return (
                f'{compared.failures} of {compared.answers} failed where'
                f' {compared.expected_failures:.1f} were expected'
            )
    deviations = _find_deviations(probability)
    widened = 1.0 + FEW_TIMES / max(compared.times, 1)
    lower = compared.log_ratio - deviations * widened * compared.log_error
    # The version has to be slow, and certainly slower than the others.
    slow = compared.log_ratio > math.log(ratio) and lower > 0.0
    if compared.times >= MIN_TIMES and slow:
        return (
            f'{math.exp(compared.log_ratio):.2f} times slower over'
            f' {compared.times} responses'
        )
    return None


def _confirm_good(compared):
    """Return GOOD if a fault would have been seen."""
    if compared.answers < MIN_GOOD_ANSWERS:
        return Judgement(
            Verdict.UNDECIDED, f'{compared.answers} responses are too few'
        )
    deviation = math.sqrt(max(compared.expected_failures, 1.0))
    most = (
        compared.expected_failures
        + EXCESS_FAILURE_RATE * compared.answers
        - GOOD_DEVIATIONS * deviation
    )
    upper = compared.log_ratio + GOOD_DEVIATIONS * compared.log_error
    good = compared.failures <= max(most, 0) and upper < math.log(
        UNMATCHED_SLOW_RATIO
    )
    return Judgement(
        Verdict.GOOD if good else Verdict.UNDECIDED,
        f'{compared.failures} of {compared.answers} failed,'
        f' {math.exp(compared.log_ratio):.2f} times the time',
    )


def _find_deviations(probability):
    """Return the one-sided normal quantile, by a bound on its tail."""
    return math.sqrt(-2.0 * math.log(2.0 * probability))


def _shared_rate_tail(failures, answers, others):
    """Return the probability of so many failures if all fail as often.

    The rate of the others is uncertain if they have few responses, so all
    responses are counted together (Fisher's exact test). Without responses of
    others nothing is known of that.
    """
    if not others.total:
        return 0.0
    failed = failures + others.failed
    everything = answers + others.total
    whole = _log_choose(everything, answers)
    return sum(
        math.exp(
            _log_choose(failed, number)
            + _log_choose(everything - failed, answers - number)
            - whole
        )
        for number in range(failures, min(failed, answers) + 1)
    )


def _log_choose(count, chosen):
    if not 0 <= chosen <= count:
        return -math.inf
    return (
        math.lgamma(count + 1)
        - math.lgamma(chosen + 1)
        - math.lgamma(count - chosen + 1)
    )


def _poisson_tail(count, expected):
    """Return the probability of at least count events."""
    if expected > NORMAL_FROM:
        deviations = (count - 0.5 - expected) / math.sqrt(expected)
        return 0.5 * math.erfc(deviations / math.sqrt(2.0))
    term = below = math.exp(-expected)
    for number in range(1, count):
        term *= expected / number
        below += term
        if number > expected and term < NEGLIGIBLE:
            break
    return max(1.0 - below, 0.0)

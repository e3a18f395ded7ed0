"""Judge the results of callers against the targets."""

from __future__ import annotations

import collections

from hdrh import histogram

from standins import callers

LONGEST_MS = 600_000
DIGITS = 3
OUTCOMES = ('completed', 'not-run', 'unknown')


def is_good(result, work_class):
    """Tell whether a request was completed within its target."""
    target = work_class.target
    if result.outcome != 'completed':
        return False
    if result.call.plain:
        return result.total_s <= target.answer_s
    if not result.call.stream:
        allowed = target.first_token_s
        allowed += target.token_gap_s * result.call.output_tokens
        return result.total_s <= allowed
    in_time = result.first_s <= target.first_token_s
    return in_time and result.gap_s <= target.token_gap_s


def format_table(declared, results, runs):
    """Return a table with a row for each class."""
    head = (
        f'{"class":20}{"tier":>5}{"sent":>6}{"compl":>7}{"not-run":>8}'
        f'{"unknown":>8}{"other":>6}{"goodput":>8}{"p50 ms":>8}'
        f'{"p95 ms":>8}{"twice":>6}'
    )
    rows = [head]
    ordered = sorted(declared.classes.values(), key=lambda c: (c.tier, c.name))
    for work_class in ordered:
        mine = [r for r in results if r.call.class_name == work_class.name]
        rows.append(_format_row(work_class, mine, runs))
    return '\n'.join(rows)


def find_problems(results, runs):
    """Return a line for each broken promise."""
    problems = []
    for result in results:
        request_id = result.call.request_id
        ran = runs.get(request_id, 0)
        if result.outcome in (callers.LOST, callers.WRONG):
            problems.append(
                f'{request_id}: {result.outcome}: {result.problem}'
            )
        if ran > 1:
            problems.append(f'{request_id}: ran {ran} times')
        if result.outcome == 'not-run' and ran:
            problems.append(f'{request_id}: told not-run but ran')
        if result.outcome == 'completed' and not ran:
            problems.append(f'{request_id}: told completed but never ran')
    return problems


def _format_row(work_class, results, runs):
    counts = collections.Counter(r.outcome for r in results)
    other = sum(n for o, n in counts.items() if o not in OUTCOMES)
    good = sum(is_good(r, work_class) for r in results)
    share = good / len(results) if results else 1.0
    times = histogram.HdrHistogram(1, LONGEST_MS, DIGITS)
    for result in results:
        if result.outcome == 'completed':
            times.record_value(max(int(result.first_s * 1000), 1))
    twice = sum(runs.get(r.call.request_id, 0) > 1 for r in results)
    return (
        f'{work_class.name:20}{work_class.tier:5}{len(results):6}'
        f'{counts["completed"]:7}{counts["not-run"]:8}'
        f'{counts["unknown"]:8}{other:6}{share:8.3f}'
        f'{times.get_value_at_percentile(50):8}'
        f'{times.get_value_at_percentile(95):8}{twice:6}'
    )

"""Compare the results of callers with the targets of their classes."""

from __future__ import annotations

import collections

from hdrh import histogram

from standins import callers

HISTOGRAM_MAX_MS = 600_000
HISTOGRAM_DIGITS = 3
OUTCOMES = ('completed', 'not-run', 'unknown')


def is_good(result, work_class):
    """Return whether a request was completed within its target."""
    target = work_class.target
    if result.outcome != 'completed':
        return False
    if result.call.plain:
        return result.total_s <= target.answer_s
    if not result.call.stream:
        allowed_s = target.first_token_s
        allowed_s += target.token_gap_s * result.call.output_tokens
        return result.total_s <= allowed_s
    in_time = result.first_s <= target.first_token_s
    return in_time and result.gap_s <= target.token_gap_s


def format_table(declared, results, runs):
    """Return a table of outcomes and times with a row for each class."""
    header = (
        f'{"class":20}{"tier":>5}{"sent":>6}{"compl":>7}{"not-run":>8}'
        f'{"unknown":>8}{"other":>6}{"goodput":>8}{"p50 ms":>8}'
        f'{"p95 ms":>8}{"twice":>6}'
    )
    rows = [header]
    ordered = sorted(declared.classes.values(), key=lambda c: (c.tier, c.name))
    for work_class in ordered:
        class_results = [
            r for r in results if r.call.class_name == work_class.name
        ]
        rows.append(_format_row(work_class, class_results, runs))
    return '\n'.join(rows)


def find_problems(results, runs):
    """Return a line for each broken promise."""
    problems = []
    for result in results:
        request_id = result.call.request_id
        run_count = runs.get(request_id, 0)
        if result.outcome in (callers.LOST, callers.WRONG):
            problems.append(
                f'{request_id}: {result.outcome}: {result.problem}'
            )
        if run_count > 1:
            problems.append(f'{request_id}: ran {run_count} times')
        if result.outcome == 'not-run' and run_count:
            problems.append(f'{request_id}: reported not-run but ran')
        if result.outcome == 'completed' and not run_count:
            problems.append(f'{request_id}: reported completed but never ran')
    return problems


def _format_row(work_class, results, runs):
    counts = collections.Counter(r.outcome for r in results)
    other = sum(n for name, n in counts.items() if name not in OUTCOMES)
    good = sum(is_good(r, work_class) for r in results)
    goodput = good / len(results) if results else 1.0
    times = histogram.HdrHistogram(1, HISTOGRAM_MAX_MS, HISTOGRAM_DIGITS)
    for result in results:
        if result.outcome == 'completed':
            times.record_value(max(int(result.first_s * 1000), 1))
    twice = sum(runs.get(r.call.request_id, 0) > 1 for r in results)
    return (
        f'{work_class.name:20}{work_class.tier:5}{len(results):6}'
        f'{counts["completed"]:7}{counts["not-run"]:8}'
        f'{counts["unknown"]:8}{other:6}{goodput:8.3f}'
        f'{times.get_value_at_percentile(50):8}'
        f'{times.get_value_at_percentile(95):8}{twice:6}'
    )

"""Compare policies over scenarios and seeds.

Usage: bench [options]

Options:
  --deployment NAME  Folder below deploy/ [default: baltkomponents].
  --scenario NAMES   Scenarios, separated by commas [default: all].
  --policy NAMES     Policies, separated by commas [default: all].
  --seeds N          Number of seeds [default: 10].
  --results FOLDER   Folder for JSON and plot [default: results].
"""

from __future__ import annotations

import concurrent.futures
import json
import os
import pathlib
import statistics

import docopt

from tools.bench import policies
from tools.bench import runner
from tools.bench import scenarios

MAX_WORKERS = 5
HEADER = (
    f'{"scenario":16}{"policy":15}{"tier1":>14}{"tier2":>14}{"tier3":>14}'
    f'{"tier4":>14}{"all/bound":>11}{"wasted":>8}{"order":>6}'
    f'{"unfair":>7}{"recov":>7}{"link MB":>8}'
)


def run_all(deployment, scenario_names, policy_names, seeds):
    """Run every scenario, policy and seed and return the results."""
    jobs = [
        (deployment, scenario, policy, seed)
        for scenario in scenario_names
        for policy in policy_names
        for seed in range(seeds)
    ]
    workers = min(MAX_WORKERS, os.cpu_count() or 1)
    with concurrent.futures.ProcessPoolExecutor(workers) as pool:
        return list(pool.map(_run, jobs))


def _run(job):
    deployment, scenario_name, policy_name, seed = job
    scenario = next(s for s in scenarios.SCENARIOS if s.name == scenario_name)
    policy = policies.POLICIES[policy_name]
    return runner.BenchSimulation(deployment, scenario, policy, seed).run()


def format_table(results):
    """Return a table of the median and worst results over the seeds."""
    groups = {}
    for result in results:
        key = (result.scenario, result.policy)
        groups.setdefault(key, []).append(result)
    rows = [_format_row(key, group) for key, group in groups.items()]
    return '\n'.join([HEADER, *rows])


def _format_row(key, group):
    tiers = [[r.goodput.get(t, 1.0) for r in group] for t in (1, 2, 3, 4)]
    tier_columns = ''.join(
        f'{statistics.median(t):8.3f}/{min(t):5.3f}' for t in tiers
    )
    bound_ratio = statistics.median(r.overall / r.bound for r in group)
    wasted = statistics.median(r.wasted for r in group)
    unfair = statistics.median(r.unfairness for r in group)
    recovery = max(r.recovery_s for r in group)
    link_bytes = statistics.median(r.bytes_between_regions for r in group)
    return (
        f'{key[0]:16}{key[1]:15}{tier_columns}{bound_ratio:11.3f}{wasted:8.3f}'
        f'{sum(r.order_violations for r in group):6}{unfair:7.2f}'
        f'{recovery:7.0f}{link_bytes / 1e6:8.2f}'
    )


def write_results(results, folder):
    """Write all results as JSON and a plot of goodput by tier."""
    folder = pathlib.Path(folder)
    folder.mkdir(exist_ok=True)
    documents = [result._asdict() for result in results]
    (folder / 'bench.json').write_text(json.dumps(documents, indent=1))
    _plot(results, folder / 'bench.png')


def _plot(results, path):
    from matplotlib import pyplot  # Slow to import and only needed here.

    names = list(dict.fromkeys(r.scenario for r in results))
    figure, axes = pyplot.subplots(
        len(names), 1, figsize=(8, 2.5 * len(names)), squeeze=False
    )
    for axis, name in zip(axes[:, 0], names):
        for policy in dict.fromkeys(r.policy for r in results):
            runs = [
                r for r in results if (r.scenario, r.policy) == (name, policy)
            ]
            seconds = zip(*(r.answers_per_second for r in runs))
            axis.plot(
                [statistics.mean(shares) for shares in seconds], label=policy
            )
        axis.set_title(name)
        axis.set_ylim(0, 1.05)
    axes[0, 0].legend()
    figure.tight_layout()
    figure.savefig(path)


def main():
    """Run the benchmark from the command line."""
    arguments = docopt.docopt(__doc__)
    scenario_names = [s.name for s in scenarios.SCENARIOS]
    results = run_all(
        arguments['--deployment'],
        _parse_names(arguments['--scenario'], scenario_names),
        _parse_names(arguments['--policy'], list(policies.POLICIES)),
        int(arguments['--seeds']),
    )
    print(format_table(results))
    write_results(results, arguments['--results'])


def _parse_names(text, all_names):
    return all_names if text == 'all' else text.split(',')


if __name__ == '__main__':
    main()

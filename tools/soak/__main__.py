"""Run gateways as processes under random faults and check the promises.

Usage:
  soak [--seeds N] [--first N] [--jobs N] [--keep FOLDER]
  soak --seed N [--keep FOLDER]
  soak --mutants [--name TEXT] [--seeds N] [--jobs N]

Options:
  --seed N       Run one seed and print its faults.
  --seeds N      Number of consecutive seeds to run [default: 5].
  --first N      First of these seeds (random if omitted).
  --jobs N       Number of seeds to run concurrently [default: 4].
  --keep FOLDER  Keep the logs of runs with findings in this folder.
  --mutants      Check that the soak detects each mutant of the source code.
  --name TEXT    Check only the mutant with this name.
"""

from __future__ import annotations

import asyncio
import concurrent.futures
import multiprocessing
import pathlib
import random
import shutil
import sys
import tempfile
import typing

import docopt

from tools.soak import mutants
from tools.soak import seed_run
from tools.soak import starvation

RANDOM_SEED_LIMIT = 10**9


class SeedResult(typing.NamedTuple):
    """Hold the result of running one seed."""

    seed: int
    requests: int
    served: int
    executions: int
    faults: list[str]
    findings: list
    # Requests that got neither an answer nor a refusal, by what excuses it.
    excused: dict[str, int]
    # Seconds for which processes were ready and not run, by process.
    starved: dict[str, float]


def run_seed(seed, keep_folder=None, tree=seed_run.ROOT):
    """Run a seed in a temporary folder and return its SeedResult."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix='soak-'))
    try:
        run = seed_run.SeedRun(seed, folder, tree)
        findings = asyncio.run(run.run())
        if findings and keep_folder is not None:
            target = pathlib.Path(keep_folder) / f'seed-{seed}'
            shutil.copytree(folder, target, dirs_exist_ok=True)
        outcomes = run.journal.outcomes
        return SeedResult(
            seed,
            len(outcomes),
            sum(outcome.status == 200 for outcome in outcomes),
            len(run.journal.executions),
            [fault.kind for fault in run.faults],
            findings,
            dict(run.journal.excused),
            starvation.sum_s(run.journal),
        )
    finally:
        shutil.rmtree(folder, ignore_errors=True)


def run_seeds(seeds, jobs, keep_folder=None, tree=seed_run.ROOT):
    """Yield the SeedResults of seeds as the runs finish."""
    # Forked processes would share the threads' locks of gRPC.
    context = multiprocessing.get_context('spawn')
    with concurrent.futures.ProcessPoolExecutor(jobs, context) as pool:
        futures = [pool.submit(run_seed, s, keep_folder, tree) for s in seeds]
        try:
            for future in concurrent.futures.as_completed(futures):
                yield future.result()
        finally:
            for future in futures:
                future.cancel()


def print_result(result, verbose=False):
    """Print the SeedResult of a seed."""
    print(
        f'seed {result.seed}: {result.requests} requests, {result.served} '
        f'served, {result.executions} executions, '
        f'{len(result.findings)} findings',
        flush=True,
    )
    if result.excused:
        print('  neither answered nor refused:', result.excused)
    if result.starved:
        print('  not run, in seconds:', result.starved)
    if verbose or result.findings:
        print('  faults:', ', '.join(result.faults))
    for finding in result.findings[:10]:
        print(f'  {finding.promise}: {finding.detail}')


def main(argv=None):
    """Run seeds or check mutants and return the exit status."""
    arguments = docopt.docopt(__doc__, argv)
    keep_folder = arguments['--keep']
    if arguments['--seed']:
        result = run_seed(int(arguments['--seed']), keep_folder)
        print_result(result, verbose=True)
        return 1 if result.findings else 0
    count, jobs = int(arguments['--seeds']), int(arguments['--jobs'])
    if arguments['--mutants']:
        return mutants.run(
            run_seeds, range(1, count + 1), jobs, arguments['--name']
        )
    first = arguments['--first']
    start = (
        int(first)
        if first
        else random.SystemRandom().randrange(RANDOM_SEED_LIMIT)
    )
    failed = 0
    for result in run_seeds(range(start, start + count), jobs, keep_folder):
        print_result(result)
        failed += bool(result.findings)
    print(f'{count} seeds from {start}: {failed} with findings')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())

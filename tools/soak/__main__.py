"""Run gateways as processes under random faults and check the promises.

Usage:
  soak [--seeds N] [--first N] [--jobs N] [--keep FOLDER]
  soak --seed N [--keep FOLDER]
  soak --mutants [--name TEXT] [--seeds N] [--jobs N]

Options:
  --seed N       Play one seed and print its faults.
  --seeds N      Number of seeds to play [default: 5].
  --first N      First of them; without it they are drawn afresh.
  --jobs N       Seeds that are played at the same time [default: 4].
  --keep FOLDER  Keep the logs of plays with findings there.
  --mutants      Put one fault after another into the programs.
  --name TEXT    Only the mutant of this name.
"""

from __future__ import annotations

import asyncio
import concurrent.futures
import pathlib
import random
import shutil
import sys
import tempfile
import typing

import docopt

from tools.soak import mutants
from tools.soak import seed_run

FRESH_SEEDS = 10**9


class Ending(typing.NamedTuple):
    """Hold what one seed gave."""

    seed: int
    requests: int
    served: int
    runs: int
    faults: list[str]
    findings: list


def play_seed(seed, keep=None, tree=seed_run.ROOT):
    """Play a seed in a folder of its own and return its Ending."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix='soak-'))
    try:
        run = seed_run.SeedRun(seed, folder, tree)
        findings = asyncio.run(run.run())
        if findings and keep is not None:
            target = pathlib.Path(keep) / f'seed-{seed}'
            shutil.copytree(folder, target, dirs_exist_ok=True)
        outcomes = run.journal.outcomes
        return Ending(
            seed,
            len(outcomes),
            sum(outcome.status == 200 for outcome in outcomes),
            len(run.journal.runs),
            [fault.kind for fault in run.faults],
            findings,
        )
    finally:
        shutil.rmtree(folder, ignore_errors=True)


def play_seeds(seeds, jobs, keep=None, tree=seed_run.ROOT):
    """Yield the Endings of seeds as they come."""
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        found = [pool.submit(play_seed, s, keep, tree) for s in seeds]
        try:
            for future in concurrent.futures.as_completed(found):
                yield future.result()
        finally:
            for future in found:
                future.cancel()


def show(ending, verbose=False):
    """Print the Ending of a seed."""
    print(
        f'seed {ending.seed}: {ending.requests} requests, {ending.served} '
        f'served, {ending.runs} runs, {len(ending.findings)} findings',
        flush=True,
    )
    if verbose or ending.findings:
        print('  faults:', ', '.join(ending.faults))
    for finding in ending.findings[:10]:
        print(f'  {finding.promise}: {finding.detail}')


def main(argv=None):
    """Play seeds and return the exit status."""
    arguments = docopt.docopt(__doc__, argv)
    keep = arguments['--keep']
    if arguments['--seed']:
        ending = play_seed(int(arguments['--seed']), keep)
        show(ending, verbose=True)
        return 1 if ending.findings else 0
    count, jobs = int(arguments['--seeds']), int(arguments['--jobs'])
    if arguments['--mutants']:
        return mutants.run(
            play_seeds, range(1, count + 1), jobs, arguments['--name']
        )
    first = arguments['--first']
    start = (
        int(first) if first else random.SystemRandom().randrange(FRESH_SEEDS)
    )
    broken = 0
    for ending in play_seeds(range(start, start + count), jobs, keep):
        show(ending)
        broken += bool(ending.findings)
    print(f'{count} seeds from {start}: {broken} with findings')
    return 1 if broken else 0


if __name__ == '__main__':
    sys.exit(main())

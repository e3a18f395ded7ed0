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

import random
import sys

import docopt

from tools.soak import mutants
from tools.soak import seeds

RANDOM_SEED_LIMIT = 10**9


def print_result(result, verbose=False):
    """Print the SeedResult of a seed."""
    print(
        f'seed {result.seed}: {result.requests} requests, {result.served} '
        f'served, {result.executions} executions, '
        f'{result.stop_refusals} refused in stops, '
        f'{len(result.findings)} findings',
        flush=True,
    )
    if result.excused:
        print('  neither answered nor refused:', result.excused)
    if result.rollout:
        print('  order:', result.rollout)
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
        result = seeds.run_seed(int(arguments['--seed']), keep_folder)
        print_result(result, verbose=True)
        return 1 if result.findings else 0
    count, jobs = int(arguments['--seeds']), int(arguments['--jobs'])
    if arguments['--mutants']:
        return mutants.run(
            seeds.run_seeds, range(1, count + 1), jobs, arguments['--name']
        )
    first = arguments['--first']
    start = (
        int(first)
        if first
        else random.SystemRandom().randrange(RANDOM_SEED_LIMIT)
    )
    failed = 0
    numbers = range(start, start + count)
    for result in seeds.run_seeds(numbers, jobs, keep_folder):
        print_result(result)
        failed += bool(result.findings)
    print(f'{count} seeds from {start}: {failed} with findings')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())

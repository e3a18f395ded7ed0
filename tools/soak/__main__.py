"""Run gateways as processes under random faults and check the promises.

Usage:
  soak [--seeds N] [--first N] [--jobs N] [--keep FOLDER] [--gateways N]
  soak --seed N [--keep FOLDER] [--gateways N]
  soak --mutants [--name TEXT] [--seeds N] [--jobs N]

Options:
  --seed N       Run one seed and print its faults.
  --seeds N      Number of consecutive seeds to run [default: 5].
  --first N      First of these seeds (random if omitted).
  --jobs N       Number of seeds to run concurrently [default: 4].
  --gateways N   Number of gateway processes of a run [default: 3].
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
    options = seeds.Options(arguments['--keep'], int(arguments['--gateways']))
    if arguments['--seed']:
        result = seeds.run_seed(int(arguments['--seed']), options)
        print_result(result, verbose=True)
        return 1 if result.findings else 0
    count, jobs = int(arguments['--seeds']), int(arguments['--jobs'])
    if arguments['--mutants']:
        numbers = range(1, count + 1)
        return mutants.run(numbers, jobs, arguments['--name'])
    first = arguments['--first']
    start = (
        int(first)
        if first
        else random.SystemRandom().randrange(RANDOM_SEED_LIMIT)
    )
    failed = 0
    numbers = range(start, start + count)
    for result in seeds.run_seeds(numbers, jobs, options):
        print_result(result)
        failed += bool(result.findings)
    print(f'{count} seeds from {start}: {failed} with findings')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())

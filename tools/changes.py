"""Play requests of all kinds beside changes of the configuration.

Usage: changes [options] FIRST LAST

Plays the seeds from FIRST to LAST and prints the requests that did not end as
they must; exits with status 1 if there are any.

Options:
  --slots=N     Requests that an endpoint works on [default: 4].
  --gateways=N  Gateways [default: 1].
"""

from __future__ import annotations

import asyncio
import sys

import docopt
from loguru import logger

from standins import change_matrix


def main():
    """Play the seeds named on the command line."""
    arguments = docopt.docopt(__doc__)
    logger.remove()
    count = 0
    for seed in range(int(arguments['FIRST']), int(arguments['LAST']) + 1):
        matrix = change_matrix.ChangeMatrix(
            seed, int(arguments['--slots']), int(arguments['--gateways'])
        )
        asyncio.run(matrix.run())
        problems = matrix.find_problems()
        count += len(problems)
        print(
            f'seed {seed}: {len(matrix.sent)} requests, {len(problems)}'
            f' problems, longest stall {matrix.longest_stall_s:.2f} s',
            *problems,
            sep='\n  ',
            flush=True,
        )
    sys.exit(1 if count else 0)


if __name__ == '__main__':
    main()

"""Send a gateway and an entry damaged requests, and check what they do.

Usage: connections [options]

Options:
  --seeds N        Number of seeds [default: 20].
  --first N        First seed [default: 0].
  --connections N  Connections of each seed [default: 300].
  --path NAME      Fuzz only this ingress: gateway or entry.
"""

from __future__ import annotations

import asyncio
import sys

import docopt

from standins import connection_fuzzer
from standins import fuzz_targets


async def fuzz(path, seeds, connections):
    """Fuzz one ingress; return the number of seeds with findings."""
    failed = 0
    async with fuzz_targets.TARGETS[path]() as target:
        for seed in seeds:
            findings = await connection_fuzzer.fuzz(seed, connections, target)
            for finding in findings:
                print(f'{path} {seed}: {finding.problem}: {finding.detail}')
            failed += bool(findings)
    print(f'{path}: {len(seeds) - failed} of {len(seeds)} seeds passed')
    return failed


def main(argv=None):
    """Fuzz the ingress paths; return 1 if there is any finding."""
    arguments = docopt.docopt(__doc__, argv)
    first = int(arguments['--first'])
    seeds = range(first, first + int(arguments['--seeds']))
    connections = int(arguments['--connections'])
    paths = [arguments['--path']] if arguments['--path'] else ()
    failed = [
        asyncio.run(fuzz(path, seeds, connections))
        for path in paths or fuzz_targets.TARGETS
    ]
    return 1 if any(failed) else 0


if __name__ == '__main__':
    sys.exit(main())

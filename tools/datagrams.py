"""Play gateways whose datagrams are lost, doubled, late or out of order.

Usage: datagrams [options]

Options:
  --seeds N  Number of seeds [default: 50].
  --first N  First seed [default: 0].
  --fuzz N   Send N messages with any values for each seed instead.
"""

from __future__ import annotations

import sys

import docopt

from standins import datagram_simulation
from standins import report_fuzzer


def main(argv=None):
    """Play the seeds; return 1 if any of them shows a violation."""
    arguments = docopt.docopt(__doc__, argv)
    first, count = int(arguments['--first']), int(arguments['--seeds'])
    if arguments['--fuzz']:
        return fuzz(first, count, int(arguments['--fuzz']))
    failed = 0
    for seed in range(first, first + count):
        play = datagram_simulation.play(seed)
        granted = play.counts['granted'] + play.counts['granted alone']
        print(f'{seed}: {granted} granted, {len(play.violations)} violations')
        for violation in play.violations:
            print('  {0.rule} at {0.at:.2f} s: {0.detail}'.format(violation))
        failed += bool(play.violations)
    print(f'{count - failed} of {count} seeds without a violation')
    return 1 if failed else 0


def fuzz(first, count, messages):
    """Send messages with any values; return 1 if any of them does harm."""
    failed = 0
    for seed in range(first, first + count):
        findings = report_fuzzer.fuzz(seed, messages)
        for finding in findings:
            print(f'{seed}: {finding.problem}\n{finding.message}')
        failed += bool(findings)
    print(f'{count - failed} of {count} seeds without a finding')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())

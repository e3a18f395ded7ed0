"""Play rollouts over many seeds and print a table of how they ended.

Usage: rollout_bench [options]

Options:
  --seeds N  Number of seeds of each case [default: 60].
  --first N  First seed [default: 0].
  --jobs N   Number of cases to play concurrently [default: 2].
"""

from __future__ import annotations

import concurrent.futures
import statistics
import sys
import typing

import docopt

from persimmonroute.gateway.rollout_control import Phase
from standins.rollout_play import BOUNDS
from standins.rollout_play import Disturbance
from standins.rollout_play import Fault
from standins.rollout_play import RolloutPlay

USUAL_PER_S = 200.0
DURATION_S = 12.0


class Case(typing.NamedTuple):
    """Describe the plays of one row of the table."""

    name: str
    fault: Fault | None = None
    per_s: float = USUAL_PER_S
    duration_s: float = DURATION_S
    disturbance: Disturbance | None = None


CASES = (
    Case('good'),
    Case('good, 30 s', duration_s=30.0),
    Case('good, 4 s', duration_s=4.0),
    Case('good, 15 requests a second', per_s=15.0),
    Case('good, one request in 2 s', per_s=0.5),
    Case('good, no request', per_s=0.0),
    Case('good, all fail at times', None, disturbance=Disturbance(2, 5, 0.5)),
    Case(
        'good, all slow in a burst',
        disturbance=Disturbance(6, 9, slower=4.0, burst=2.0),
    ),
    Case('0.1 fail', Fault(failures=0.1)),
    Case('0.3 fail', Fault(failures=0.3)),
    Case('all fail', Fault(failures=1.0)),
    Case('3 times slower', Fault(slower=3.0)),
    Case('0.6 of one route fail', Fault(failures=0.6, route='order')),
    Case('one route 3 times slower', Fault(slower=3.0, route='brief')),
    Case('one route 5 times slower', Fault(slower=5.0, route='brief')),
    Case('0.5 fail from 0.3 on', Fault(failures=0.5, begins=0.3)),
    Case('0.5 fail from 0.6 on', Fault(failures=0.5, begins=0.6)),
    Case('0.5 fail from 0.8 on', Fault(failures=0.5, begins=0.8)),
    Case('3 times slower from 0.6 on', Fault(slower=3.0, begins=0.6)),
    Case('0.5 fail under load', Fault(failures=0.5, load=8.0)),
    Case('3 times slower under load', Fault(slower=3.0, load=8.0)),
    Case('0.9 fail, 15 a second', Fault(failures=0.9), per_s=15.0),
    Case('0.3 fail, 15 a second', Fault(failures=0.3), per_s=15.0),
    Case('0.3 fail, 1,000 a second', Fault(failures=0.3), per_s=1000.0),
)


class Row(typing.NamedTuple):
    """Store how the plays of a case ended."""

    case: Case
    plays: int
    completed: int
    rolled_back: int
    # Requests at the target in parts of the bound, until the end of the play.
    mean_exposure: float
    most_exposure: float
    mean_end_s: float
    last_end_s: float

    @property
    def false(self):
        """Return the number of good versions that were rolled back."""
        return 0 if self.case.fault else self.rolled_back

    @property
    def missed(self):
        """Return the number of bad versions that were not rolled back."""
        return self.plays - self.rolled_back if self.case.fault else 0


def play(case, seeds):
    """Play a case and return its Row."""
    results = [
        RolloutPlay(
            seed, case.per_s, case.duration_s, case.fault, case.disturbance
        ).run()
        for seed in seeds
    ]
    exposures = [
        result.exposed
        / (BOUNDS.exposure_share * result.requests + BOUNDS.exposure_slack)
        for result in results
    ]
    ends_s = [result.ended_s for result in results]
    phases = [result.phase for result in results]
    return Row(
        case,
        len(results),
        phases.count(Phase.COMPLETED),
        phases.count(Phase.ROLLED_BACK),
        statistics.mean(exposures),
        max(exposures),
        statistics.mean(ends_s),
        max(ends_s),
    )


def print_table(rows):
    """Print a table of rows in Markdown."""
    print(
        '| case | plays | completed | rolled back | false rollbacks |'
        ' missed | mean exposure | most | mean end | last |'
    )
    print('|---|' + '---:|' * 9)
    for row in rows:
        print(
            f'| {row.case.name} | {row.plays} | {row.completed} |'
            f' {row.rolled_back} | {row.false} | {row.missed} |'
            f' {row.mean_exposure:.2f} | {row.most_exposure:.2f} |'
            f' {row.mean_end_s:.1f} s | {row.last_end_s:.1f} s |',
            flush=True,
        )


def main(argv=None):
    """Play all cases and print the table."""
    arguments = docopt.docopt(__doc__, argv)
    first = int(arguments['--first'])
    seeds = range(first, first + int(arguments['--seeds']))
    jobs = int(arguments['--jobs'])
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        print_table(pool.map(play, CASES, [seeds] * len(CASES)))
    return 0


if __name__ == '__main__':
    sys.exit(main())

"""Run the fault matrix and write its page.

Usage: faults [options]

Options:
  --seeds N     Seeds for each cell [default: 3].
  --pairs       Also run pairs of faults at the steps around claim and start.
  --write       Write docs/fault-matrix.md from this run.
"""

from __future__ import annotations

import collections
import concurrent.futures
import itertools
import multiprocessing
import os
import sys
import typing

import docopt

from standins import fault_matrix
from standins import faults as matrix_faults
from tools import deployment

PAGE = deployment.ROOT / 'docs' / 'fault-matrix.md'
MAX_WORKERS = 5
CELLS_PER_CHUNK = 16
PAIR_STEPS = ('claimed', 'ready', 'started')


class Cell(typing.NamedTuple):
    """Identify a cell by the indices of its step and faults."""

    step: int
    faults: tuple[int, ...]
    kind: str
    seed: int


def list_cells(seeds):
    """Return all cells with a single fault."""
    return [
        Cell(step, (fault,), kind, seed)
        for step, fault, kind in itertools.product(
            range(len(fault_matrix.STEPS)),
            range(len(matrix_faults.FAULTS)),
            fault_matrix.KINDS,
        )
        if fault_matrix.applies(fault_matrix.STEPS[step], kind)
        and kind in matrix_faults.FAULTS[fault].kinds
        for seed in seeds
    ]


def list_pairs(seeds):
    """Return all cells with two faults around claim and start."""
    steps = [
        index
        for index, step in enumerate(fault_matrix.STEPS)
        if step.name in PAIR_STEPS
    ]
    pairs = itertools.combinations(range(len(matrix_faults.FAULTS)), 2)
    return [
        Cell(step, pair, kind, seed)
        for step, pair, kind in itertools.product(
            steps, list(pairs), fault_matrix.KINDS
        )
        if fault_matrix.applies(fault_matrix.STEPS[step], kind)
        and all(kind in matrix_faults.FAULTS[fault].kinds for fault in pair)
        for seed in seeds
    ]


def run_cells(cells):
    """Run cells in a pool of processes and return their results."""
    workers = min(MAX_WORKERS, os.cpu_count() or 1)
    # Forked processes would share the threads' locks of gRPC.
    context = multiprocessing.get_context('spawn')
    with concurrent.futures.ProcessPoolExecutor(workers, context) as pool:
        return list(pool.map(_run_cell, cells, chunksize=CELLS_PER_CHUNK))


def _run_cell(cell):
    return fault_matrix.run_cell(
        fault_matrix.STEPS[cell.step],
        tuple(matrix_faults.FAULTS[index] for index in cell.faults),
        cell.kind,
        cell.seed,
    )


def format_page(results, pair_results):
    """Return the page of the fault matrix."""
    lines = [
        '# Fault matrix',
        '',
        'Written by `make faults` from a run. Each row is a fault, each'
        ' column the step of the request at which it was injected. A cell'
        ' shows the number of trials that held all eight promises, over'
        ' orders (non-idempotent, with a claim) and drafts (streamed), as'
        ' counted by the stand-ins; `-` marks a step that this kind of'
        ' request does not have, `n/a` what the stand-in of a plain service'
        ' cannot do: it has no way to stand still. *R* is a trial that broke'
        ' a promise. A lease that lapses while its holder is paused is in no'
        ' row: requests hold no lease, their claim rows take its place, and'
        ' *freeze entry, send again* pauses the holder of one.',
        '',
    ]
    for kind in fault_matrix.KINDS:
        lines += _format_table(kind, results)
    broken = [result for result in pair_results if result.problems]
    if pair_results:
        lines += [
            '## Pairs of faults',
            '',
            f'{len(pair_results)} trials of two faults at the steps'
            f' {", ".join(PAIR_STEPS)}: {len(broken)} broke a promise.',
            '',
        ]
    return '\n'.join(lines)


def _format_table(kind, results):
    steps = [step.name for step in fault_matrix.STEPS]
    cells = collections.defaultdict(list)
    for result in results:
        if result.kind == kind:
            cells[(result.fault, result.step)].append(result)
    lines = [
        f'## {kind.capitalize()}s',
        '',
        f'| fault | {" | ".join(steps)} |',
        '|---' * (len(steps) + 1) + '|',
    ]
    for fault in matrix_faults.FAULTS:
        columns = [
            _format_cell(cells[(fault.name, step.name)])
            if fault_matrix.applies(step, kind)
            else '-'
            for step in fault_matrix.STEPS
        ]
        lines.append(f'| {fault.name} | {" | ".join(columns)} |')
    return [*lines, '']


def _format_cell(results):
    if not results:
        return 'n/a'
    if not any(result.reached for result in results):
        return '-'
    broken = sum(bool(result.problems) for result in results)
    return f'R {broken}/{len(results)}' if broken else str(len(results))


def main():
    """Run the matrix and print each broken promise."""
    arguments = docopt.docopt(__doc__)
    seeds = range(int(arguments['--seeds']))
    results = run_cells(list_cells(seeds))
    pairs = run_cells(list_pairs(seeds)) if arguments['--pairs'] else []
    broken = [r for r in (*results, *pairs) if r.problems]
    for result in broken:
        print(f'BROKEN {result}')
    if arguments['--write']:
        PAGE.write_text(format_page(results, pairs))
    total = len(results) + len(pairs)
    print(f'{total - len(broken)} of {total} trials held every promise')
    sys.exit(1 if broken else 0)


if __name__ == '__main__':
    main()

"""Put faults into the programs, to show that the soak can fail."""

from __future__ import annotations

import pathlib
import shutil
import tempfile
import typing

ROOT = pathlib.Path(__file__).parents[2]
PROGRAMS = 'persimmonroute'


class Mutant(typing.NamedTuple):
    """Describe one change of a program's source."""

    name: str
    path: str
    old: str
    new: str


MUTANTS = (
    Mutant(
        'repeats what may have run',
        'gateway/forwarding.py',
        'if failed.may_have_run and not ticket.route.repeatable:',
        'if False:',
    ),
    Mutant(
        'says not run of what may have run',
        'gateway/forwarding.py',
        'rejection = model.Rejection(502, failed.problem)',
        'rejection = model.Rejection(503, failed.problem)',
    ),
    Mutant(
        'sends events twice when a stream is resumed',
        'gateway/forwarding.py',
        'if event.id <= known:',
        'if False:',
    ),
    Mutant(
        'resumes a stream from its beginning',
        'gateway/forwarding.py',
        'if progress.last_event_id is not None:\n            request',
        'if False:\n            request',
    ),
    Mutant(
        'trusts keys however old the configuration is',
        'gateway/admission.py',
        'return age < REVOCATION_SHARE * self._board.bounds.revocation_s',
        'return True',
    ),
    Mutant(
        'sends to endpoints that leave',
        'gateway/runners.py',
        'if self.record.leaving or now < self.suspended_until:',
        'if now < self.suspended_until:',
    ),
    Mutant(
        'ends a broken answer as if it were complete',
        'gateway/forwarding.py',
        '        caller.break_off()\n',
        '        asyncio.ensure_future(caller.finish())\n',
    ),
    Mutant(
        'waits for endpoints beyond the deadline',
        'gateway/forwarding.py',
        'asyncio.timeout(max(ticket.deadline_at - now, 0))',
        'asyncio.timeout(60)',
    ),
)


def run(play_seeds, seeds, jobs):
    """Play seeds against each mutant; return the exit status."""
    missed = 0
    for mutant in MUTANTS:
        with tempfile.TemporaryDirectory(prefix='mutant-') as folder:
            tree = _write_tree(pathlib.Path(folder), mutant)
            seed, promise = _find(play_seeds(seeds, jobs, None, tree))
        if seed is None:
            missed += 1
            print(f'{mutant.name}: NOT CAUGHT in {len(seeds)} seeds')
        else:
            print(f'{mutant.name}: seed {seed}, {promise}', flush=True)
    return 1 if missed else 0


def _find(endings):
    for ending in endings:
        if ending.findings:
            endings.close()
            return ending.seed, ending.findings[0].promise
    return None, None


def _write_tree(folder, mutant):
    shutil.copytree(ROOT / PROGRAMS, folder / PROGRAMS)
    path = folder / PROGRAMS / mutant.path
    source = path.read_text()
    if source.count(mutant.old) != 1:
        raise ValueError(f'{mutant.name}: its place is not found once')
    path.write_text(source.replace(mutant.old, mutant.new))
    return folder

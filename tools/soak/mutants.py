"""Apply mutants to the source code to verify that the soak detects them."""

from __future__ import annotations

import pathlib
import shutil
import tempfile
import typing

from tools.soak import records
from tools.soak import seeds

ROOT = pathlib.Path(__file__).parents[2]
PACKAGE = 'persimmonroute'


class Edit(typing.NamedTuple):
    """Define the replacement of a text that occurs once in a file."""

    path: str
    old: str
    new: str


class Mutant(typing.NamedTuple):
    """Define a fault by the source edits that introduce it."""

    name: str
    edits: tuple[Edit, ...]


FORWARDING = 'gateway/forwarding.py'
CONTINUATION = 'gateway/continuation.py'
MUTANTS = (
    Mutant(
        'repeats what may have run',
        (
            Edit(
                FORWARDING,
                'if failed.may_have_run and not pending.route.repeatable:',
                'if False:',
            ),
        ),
    ),
    Mutant(
        'says not run of what may have run',
        (
            Edit(
                FORWARDING,
                'rejection = model.Rejection(502, failed.problem)',
                'rejection = model.Rejection(503, failed.problem)',
            ),
        ),
    ),
    Mutant(
        'resumes streams from their beginning',
        # Either check alone is enough to keep the events in order.
        (
            Edit(
                CONTINUATION,
                'if last_id is not None and event.id <= last_id:',
                'if False:',
            ),
            Edit(
                FORWARDING,
                'if progress.last_event_id is not None:\n            request',
                'if False:\n            request',
            ),
        ),
    ),
    Mutant(
        'passes on successes that nobody signed',
        (Edit(FORWARDING, '        _check_origin(head)\n', ''),),
    ),
    Mutant(
        'takes streams that end inside an event for complete',
        (Edit(FORWARDING, 'if splitter.in_event:', 'if False:'),),
    ),
    Mutant(
        'takes a head without an event for a complete stream',
        (
            Edit(
                FORWARDING,
                'if head.ends_with_connection and not received:',
                'if False:',
            ),
        ),
    ),
    Mutant(
        'trusts keys however old the configuration is',
        (
            Edit(
                'gateway/admission.py',
                'return age < REVOCATION_SHARE',
                'return True or age < REVOCATION_SHARE',
            ),
        ),
    ),
    Mutant(
        'sends to endpoints that leave',
        (
            Edit(
                'gateway/runners.py',
                'if self.announced_leaving or self.record.leaving:',
                'if False:',
            ),
        ),
    ),
    Mutant(
        'ends a broken answer as if it were complete',
        (
            Edit(
                FORWARDING,
                '        caller.abort()\n',
                '        asyncio.ensure_future(caller.finish())\n',
            ),
        ),
    ),
    Mutant(
        'waits beyond the deadline',
        (
            Edit(
                FORWARDING,
                'limit_s = max(pending.deadline_at - now, 0)',
                'limit_s = 60',
            ),
            Edit(
                FORWARDING,
                'return START_TIMEOUT_OBJECTIVES * pending.route.objective_s\n'
                '        return None',
                'return None',
            ),
        ),
    ),
    Mutant(
        'believes the workspace that callers name',
        (
            Edit('platform/names.py', '        WORKSPACE,\n', ''),
            Edit(
                'platform/runner_client.py',
                'if workspace is not None:',
                'if False:',
            ),
        ),
    ),
    Mutant(
        'ignores newer configurations',
        (
            Edit(
                'gateway/board.py',
                'if configuration.version <= self.version:',
                'if self.version:',
            ),
        ),
    ),
    Mutant(
        'cuts off requests when it is stopped',
        (
            Edit(
                'gateway/server.py',
                'self._front.stop(drain.ends_at - clock.now_s())\n',
                'self._front.should_exit = self._front.force_exit = True\n',
            ),
        ),
    ),
    Mutant(
        'sends whatever comes during a stop',
        (
            Edit(
                'gateway/admission.py',
                '        if drain is None:\n',
                '        if True:\n',
            ),
        ),
    ),
    Mutant(
        'goes on at any version within an answer',
        (
            Edit(
                FORWARDING,
                '        pending.version = pending.runner.record.version\n',
                '        version = pending.runner.record.version\n',
            ),
            Edit(
                FORWARDING,
                'stream_origins.Origin(pending.service, pending.version)',
                'stream_origins.Origin(pending.service, version)',
            ),
        ),
    ),
    Mutant(
        'goes on at any version over tries',
        (
            Edit(
                FORWARDING,
                'pending.service, pending.version = origin',
                'pending.service, _ = origin',
            ),
        ),
    ),
    Mutant(
        'refuses all streams that are taken up',
        (
            Edit(
                FORWARDING,
                'if origin is None or origin.service not in services:',
                'if True:',
            ),
        ),
    ),
    Mutant(
        'paces the limit of an endpoint for each gateway alone',
        (
            Edit(
                'gateway/endpoint_limits.py',
                'return max(rate, pacing.MIN_PER_S) * self._find_share()',
                'return max(rate, pacing.MIN_PER_S) * self._limits.gateways',
            ),
        ),
    ),
    Mutant(
        'never lifts the limit of an endpoint',
        (
            Edit(
                'pacing.py',
                'return former_per_s < UNLIMITED and sent_at > named_at',
                'return False',
            ),
        ),
    ),
    Mutant(
        'silence ends an attempt before another place is found',
        (
            Edit(
                'gateway/standby.py',
                'from persimmonroute import timeouts',
                'from persimmonroute import exceptions, timeouts',
            ),
            Edit(
                'gateway/standby.py',
                'self._on_silent()',
                "raise exceptions.EndpointBrokenError('silent')",
            ),
        ),
    ),
    Mutant(
        'a refusal of a search ends the response',
        (
            Edit(
                'gateway/places.py',
                'await asyncio.sleep(SEARCH_PAUSE_S)',
                "raise exceptions.EndpointBrokenError('no other place')",
            ),
        ),
    ),
    Mutant(
        'lets an endpoint that it leaves work on',
        (Edit(FORWARDING, 'call.abandon()', 'pass'),),
    ),
    Mutant(
        'ends when it is told to read its settings again',
        (
            Edit(
                'process.py',
                'signals.hand_over(loop, signal.SIGHUP, reloader.reload)',
                'signals.hand_over(loop, signal.SIGHUP, stop.set)',
            ),
        ),
    ),
    Mutant(
        'ignores the exposure share of a rollout',
        # The controller also sets the share to 0 when its budget is spent.
        (
            Edit(
                'gateway/rollout_exposure.py',
                'self._is_confirmed(now) and plan.share > 0.0',
                'self._is_confirmed(now)',
            ),
            Edit(
                'gateway/rollout_exposure.py',
                'if not allowed or self._credit < 1.0:',
                'if not allowed:',
            ),
        ),
    ),
    Mutant(
        'asks only the seeds for rows',
        (
            Edit(
                'gateway/peer_choice.py',
                '        if not holders or self._pause_s:\n',
                '        if True:\n',
            ),
            Edit(
                'gateway/following.py',
                '        if self._find_holders(clock.now_s()):\n',
                '        if False:\n',
            ),
        ),
    ),
    Mutant(
        'completes a rollout without judging',
        (
            Edit(
                'gateway/rollout_evidence.py',
                "        worst = Judgement(Verdict.UNDECIDED, '')\n",
                "        return Judgement(Verdict.GOOD, '')\n",
            ),
        ),
    ),
)


def run(numbers, jobs, name=None):
    """Run seeds against all mutants or one; return the exit status."""
    undetected = 0
    for mutant in MUTANTS:
        if name is not None and mutant.name != name:
            continue
        with tempfile.TemporaryDirectory(prefix='mutant-') as folder:
            tree = write_tree(pathlib.Path(folder), mutant)
            seed, promise = _find_failing_seed(
                seeds.run_seeds(numbers, jobs, seeds.Options(tree=tree))
            )
        if seed is None:
            undetected += 1
            print(f'{mutant.name}: NOT CAUGHT in {len(numbers)} seeds')
        else:
            print(f'{mutant.name}: seed {seed}, {promise}', flush=True)
    return 1 if undetected else 0


def _find_failing_seed(results):
    for result in results:
        for finding in result.findings:
            if finding.promise == records.RUN_FAILED:
                print(f'seed {result.seed}: {finding.detail}', flush=True)
                continue
            results.close()
            return result.seed, finding.promise
    return None, None


def write_tree(folder, mutant):
    """Copy the package to a folder, with a mutant's edits."""
    shutil.copytree(ROOT / PACKAGE, folder / PACKAGE)
    for edit in mutant.edits:
        path = folder / PACKAGE / edit.path
        source = path.read_text()
        if source.count(edit.old) != 1:
            raise ValueError(
                f'{mutant.name}: {edit.old!r} must occur exactly once in '
                f'{edit.path}'
            )
        path.write_text(source.replace(edit.old, edit.new))
    return folder

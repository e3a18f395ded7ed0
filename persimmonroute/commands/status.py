"""Print the status of classes, entries and sidecars."""

from __future__ import annotations

import asyncio
import time

from persimmonroute.commands import apply
from persimmonroute.commands import entries
from persimmonroute import configuration_store
from persimmonroute import exceptions

POLL_INTERVAL_S = 0.2


async def status(platform, wait_s=None):
    """Print a status table; with wait_s, wait for the current revision.

    Raises RevisionLagError if an instance lacks it after wait_s seconds.
    """
    revisions = configuration_store.ConfigurationStore(platform)
    revision = apply.unwrap(await revisions.read_current()).number
    deadline = time.monotonic() + (wait_s or 0)
    async with entries.open_entry_client(platform) as client:
        while True:
            statuses = await client.fetch_statuses()
            lagging = find_lagging(statuses, revision)
            expired = time.monotonic() > deadline
            if wait_s is None or not lagging or expired:
                break
            await asyncio.sleep(POLL_INTERVAL_S)
    print('\n'.join(format_status(statuses, revision)))
    if wait_s is not None and lagging:
        raise exceptions.RevisionLagError(
            f'revision {revision} is not applied at {", ".join(lagging)}'
        )


def find_lagging(statuses, revision):
    """Return the names of instances with an older or unknown revision."""
    lagging = set()
    for entry in statuses:
        if entry.report is None or entry.report['revision'] < revision:
            lagging.add(entry.instance)
            continue
        for name, sidecar in entry.report['sidecars'].items():
            if sidecar['revision'] < revision:
                lagging.add(name)
    return sorted(lagging)


def format_status(statuses, revision):
    """Return the lines of the status table."""
    lines = [f'revision {revision} is current']
    for entry in statuses:
        if entry.report is None:
            lines.append(f'{entry.instance}: unreachable')
            continue
        lines += _format_entry(entry)
    return lines


def _format_entry(entry):
    report = entry.report
    lines = [
        f'{entry.instance}: revision {report["revision"]},'
        f' {report["in_progress"]} requests in progress'
    ]
    for name, measured in report['classes'].items():
        lines.append(
            f'  class {name}: target {measured["target"]:.3f},'
            f' reached {measured["reached"]:.3f}'
            f' over {measured["ended"]} requests'
        )
    for name, sidecar in report['sidecars'].items():
        state = 'usable' if sidecar['usable'] else 'not usable'
        lines.append(
            f'  {name}: {state}, revision {sidecar["revision"]},'
            f' running {sidecar["running"]}/{sidecar["limit"]},'
            f' queued {sidecar["queued"]}'
        )
    return lines

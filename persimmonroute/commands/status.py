"""Print the state of entries and sidecars."""

from __future__ import annotations

import asyncio
import json
import time
import typing

import aiosonic
from returns import result

from persimmonroute import configuration_store
from persimmonroute import exceptions
from persimmonroute.platform import client

POLL_S = 0.5


class EntryStatus(typing.NamedTuple):
    """Hold what one entry reports of itself; None if unreachable."""

    instance: str
    report: dict | None


async def status(platform, wait_s=None):
    """Print a table; with wait_s, return once a revision is everywhere."""
    revisions = configuration_store.ConfigurationStore(platform)
    current = await revisions.read_current()
    if isinstance(current, result.Failure):
        raise current.failure()
    wanted = current.unwrap().number
    deadline = time.monotonic() + (wait_s or 0)
    while True:
        statuses = await _ask_entries(platform)
        lagging = find_lagging(statuses, wanted)
        if wait_s is None or not lagging or time.monotonic() > deadline:
            break
        await asyncio.sleep(POLL_S)
    _print_table(statuses, wanted)
    if wait_s is not None and lagging:
        raise exceptions.PlatformUnavailableError(
            f'revision {wanted} is not in force at {", ".join(lagging)}',
            'check whether these instances are still alive',
        )


def find_lagging(statuses, wanted):
    """Return the names of processes that hold a lower revision."""
    lagging = set()
    for entry in statuses:
        if entry.report is None or entry.report['revision'] < wanted:
            lagging.add(entry.instance)
            continue
        for name, sidecar in entry.report['sidecars'].items():
            if sidecar['revision'] < wanted:
                lagging.add(name)
    return sorted(lagging)


async def _ask_entries(platform):
    listed = await platform.list_instances()
    entries = [item for item in listed if item['kind'] == 'entry']
    http = aiosonic.HTTPClient()
    try:
        return [
            EntryStatus(item['name'], await _ask(http, item['address']))
            for item in entries
        ]
    finally:
        await http.aclose()


async def _ask(http, address):
    try:
        answer = await http.get(f'http://{address}/admin/v1/status')
        return json.loads(await answer.content())
    except client.HTTP_ERRORS:
        return None


def _print_table(statuses, wanted):
    print(f'revision {wanted} is current')
    for entry in statuses:
        report = entry.report
        if report is None:
            print(f'{entry.instance}: unreachable')
            continue
        print(
            f'{entry.instance}: revision {report["revision"]},'
            f' {report["in_progress"]} requests in progress'
        )
        for name, sidecar in report['sidecars'].items():
            state = 'usable' if sidecar['usable'] else 'not usable'
            print(
                f'  {name}: {state}, revision {sidecar["revision"]},'
                f' running {sidecar["running"]}/{sidecar["limit"]},'
                f' queued {sidecar["queued"]}'
            )

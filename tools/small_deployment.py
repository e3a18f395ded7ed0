"""Write the files of a small deployment that listens on free ports."""

from __future__ import annotations

import contextlib
import json
import pathlib
import socket
import typing

from standins import small_simulation

LOCALITIES = (('riga', 'riga-a'), ('riga', 'riga-b'))
ENGINE_ARGUMENTS = [
    '--prefill',
    '16000',
    '--step',
    '0.02',
    '--request',
    '0.0005',
]


class EndpointPlan(typing.NamedTuple):
    """Describe one endpoint and the stand-in that serves it."""

    name: str
    service: str
    kind: str
    program: str
    arguments: list[str]


ENDPOINTS = (
    EndpointPlan(
        'llm-pool-1', 'llm-pool', 'model', 'engine', ENGINE_ARGUMENTS
    ),
    EndpointPlan(
        'llm-pool-2', 'llm-pool', 'model', 'engine', ENGINE_ARGUMENTS
    ),
    EndpointPlan(
        'trade-desk-1',
        'trade-desk',
        'plain',
        'service',
        ['--seconds', '0.4'],
    ),
)


def write_deployment(folder, entries=2, endpoints=ENDPOINTS, **entry_settings):
    """Write settings, inventory and declarations into a folder.

    entry_settings are added to the settings file of each entry.
    """
    folder = pathlib.Path(folder)
    addresses = _free_addresses(1 + entries + 2 * len(endpoints))
    platform = addresses.pop()
    instances, standins = [], []
    for number in range(entries):
        settings = {'platform': platform, **entry_settings}
        instances.append(
            _write_entry(folder, number, addresses.pop(), settings)
        )
    for number, plan in enumerate(endpoints):
        locality = LOCALITIES[number % len(LOCALITIES)]
        instances.append(
            _write_endpoint(
                folder, plan, locality, addresses.pop(), addresses.pop()
            )
        )
        standins.append(
            {
                'instance': plan.name,
                'program': f'standins.{plan.program}',
                'arguments': plan.arguments,
            }
        )
    _write_json(folder / 'inventory.json', {'instances': instances})
    _write_json(
        folder / 'standins.json',
        {'platform': platform, 'endpoints': standins},
    )
    _write_json(folder / 'declarations.json', small_simulation.DECLARATIONS)


def _write_entry(folder, number, address, extra_settings):
    name = f'entry-{number + 1}'
    region, domain = LOCALITIES[number % len(LOCALITIES)]
    locality_fields = {'region': region, 'failure_domain': domain}
    settings = {'role': 'entry', 'instance': name, 'address': address}
    _write_json(
        folder / f'{name}.json',
        {**settings, **locality_fields, **extra_settings},
    )
    return {
        'name': name,
        'kind': 'entry',
        'service': 'persimmonroute',
        **locality_fields,
        'address': address,
        'state': 'live',
    }


def _write_endpoint(folder, plan, locality, address, sidecar_address):
    region, domain = locality
    locality_fields = {'region': region, 'failure_domain': domain}
    settings = {
        'role': 'sidecar',
        'instance': plan.name,
        'address': sidecar_address,
        'endpoint': address,
        'endpoint_kind': plan.kind,
        'service': plan.service,
    }
    _write_json(
        folder / f'sidecar-{plan.name}.json', {**settings, **locality_fields}
    )
    return {
        'name': plan.name,
        'kind': 'endpoint',
        'service': plan.service,
        **locality_fields,
        'address': address,
        'sidecar': sidecar_address,
        'state': 'live',
    }


def _write_json(path, document):
    path.write_text(json.dumps(document))


def _free_addresses(count):
    with contextlib.ExitStack() as stack:
        addresses = []
        for _ in range(count):
            listener = stack.enter_context(socket.socket())
            listener.bind(('127.0.0.1', 0))
            addresses.append(f'127.0.0.1:{listener.getsockname()[1]}')
        return addresses

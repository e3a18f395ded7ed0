"""Write the files of a small deployment on free ports."""

from __future__ import annotations

import contextlib
import json
import pathlib
import socket
import typing

from standins import small_simulation

PLACES = (('riga', 'riga-a'), ('riga', 'riga-b'))
ENGINE = ['--prefill', '16000', '--step', '0.02', '--request', '0.0005']


class EndpointPlan(typing.NamedTuple):
    """Describe one endpoint of the deployment."""

    name: str
    service: str
    kind: str
    program: str
    arguments: list[str]


ENDPOINTS = (
    EndpointPlan('llm-pool-1', 'llm-pool', 'model', 'engine', ENGINE),
    EndpointPlan('llm-pool-2', 'llm-pool', 'model', 'engine', ENGINE),
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

    Further settings go into the files of the entries.
    """
    folder = pathlib.Path(folder)
    ports = _free_ports(1 + entries + 2 * len(endpoints))
    platform = ports.pop()
    instances, programs = [], []
    for number in range(entries):
        settings = {'platform': platform, **entry_settings}
        instances.append(_write_entry(folder, number, ports.pop(), settings))
    for number, plan in enumerate(endpoints):
        place = PLACES[number % len(PLACES)]
        instances.append(
            _write_endpoint(folder, plan, place, ports.pop(), ports.pop())
        )
        programs.append(
            {
                'instance': plan.name,
                'program': f'standins.{plan.program}',
                'arguments': plan.arguments,
            }
        )
    _write(folder / 'inventory.json', {'instances': instances})
    _write(
        folder / 'standins.json',
        {'platform': platform, 'endpoints': programs},
    )
    _write(folder / 'declarations.json', small_simulation.DECLARATIONS)


def _write_entry(folder, number, address, more):
    name = f'entry-{number + 1}'
    region, domain = PLACES[number % len(PLACES)]
    place = {'region': region, 'failure_domain': domain}
    settings = {'role': 'entry', 'instance': name, 'address': address}
    _write(folder / f'{name}.json', {**settings, **place, **more})
    return {
        'name': name,
        'kind': 'entry',
        'service': 'persimmonroute',
        **place,
        'address': address,
        'state': 'live',
    }


def _write_endpoint(folder, plan, place, address, sidecar):
    region, domain = place
    place_fields = {'region': region, 'failure_domain': domain}
    settings = {
        'role': 'sidecar',
        'instance': plan.name,
        'address': sidecar,
        'endpoint': address,
        'endpoint_kind': plan.kind,
        'service': plan.service,
    }
    _write(folder / f'sidecar-{plan.name}.json', {**settings, **place_fields})
    return {
        'name': plan.name,
        'kind': 'endpoint',
        'service': plan.service,
        **place_fields,
        'address': address,
        'sidecar': sidecar,
        'state': 'live',
    }


def _write(path, document):
    path.write_text(json.dumps(document))


def _free_ports(count):
    with contextlib.ExitStack() as stack:
        addresses = []
        for _ in range(count):
            held = stack.enter_context(socket.socket())
            held.bind(('127.0.0.1', 0))
            addresses.append(f'127.0.0.1:{held.getsockname()[1]}')
        return addresses

"""Build small simulations with plain and model endpoints."""

from __future__ import annotations

import json

from persimmonroute import composition
from persimmonroute.entry import board as entry_boards
from persimmonroute.entry import intake
from persimmonroute.entry import messages
from standins import endpoint_nodes
from standins import engine_model
from standins import simulation as simulations

WORKSPACE = 'riga-desk'
MODEL = 'llm-pool'
PLAIN = 'trade-desk'
ENGINE_SPEED = engine_model.EngineSpeed(16000.0, 0.01, 0.0005, 2000)
DECLARATIONS = {
    'services': {MODEL: {'kind': 'model'}, PLAIN: {'kind': 'plain'}},
    'workspaces': [WORKSPACE],
    'classes': [
        {
            'name': 'counter-offer',
            'service': MODEL,
            'tier': 1,
            'target': {'success': 0.99, 'first_token_s': 0.96},
        },
        {
            'name': 'dossier-digest',
            'service': MODEL,
            'tier': 4,
            'target': {'success': 0.9, 'first_token_s': 20.0},
        },
        {
            'name': 'purchase-order',
            'service': PLAIN,
            'tier': 1,
            'idempotent': False,
            'target': {'success': 0.99, 'answer_s': 2.0},
        },
        {
            'name': 'stock-lookup',
            'service': PLAIN,
            'tier': 2,
            'target': {'success': 0.99, 'answer_s': 1.0},
        },
    ],
}
LOCALITIES = (
    entry_boards.Locality('riga', 'riga-a'),
    entry_boards.Locality('riga', 'riga-b'),
    entry_boards.Locality('frankfurt', 'frankfurt-a'),
)


def build_simulation(endpoints=2, entries=2, declarations=None):
    """Return a started simulation with endpoints of both services."""
    document = json.dumps(declarations or DECLARATIONS).encode()
    simulation = simulations.Simulation(
        messages.ConfigurationReceived(1, document)
    )
    for service in (MODEL, PLAIN):
        for number in range(endpoints):
            instance = _instance(service, number)
            simulation.add_sidecar(
                instance, _endpoint(simulation, service), _build_core
            )
    for number in range(entries):
        locality = LOCALITIES[number % len(LOCALITIES)]
        simulation.add_entry(f'entry-{number + 1}', locality)
    simulation.start()
    return simulation


def order(request_id, key=None, content=None):
    """Return a purchase order; each send has its own request id."""
    key = key or request_id
    body = (content or key).encode()
    return messages.Call(
        request_id=request_id,
        workspace=WORKSPACE,
        class_name='purchase-order',
        key=key,
        method='POST',
        path='/purchase-orders',
        body=body,
        stream=False,
        prompt_tokens=0,
        output_tokens=0,
        prefix_blocks=(),
        fingerprint=intake.fingerprint('POST', '/purchase-orders', body),
    )


def draft(
    request_id,
    tokens=20,
    prompt_tokens=200,
    class_name='counter-offer',
    prompt='',
):
    """Return a streamed completion request."""
    body = (prompt or f'draft {request_id}').encode()
    return messages.Call(
        request_id=request_id,
        workspace=WORKSPACE,
        class_name=class_name,
        key=None,
        method='POST',
        path='/v1/completions',
        body=body,
        stream=True,
        prompt_tokens=prompt_tokens,
        output_tokens=tokens,
        prefix_blocks=intake.hash_blocks(prompt),
        fingerprint=intake.fingerprint('POST', '/v1/completions', body),
    )


def _instance(service, number):
    locality = LOCALITIES[number % len(LOCALITIES)]
    name = f'{service}-{number + 1}'
    return messages.Instance(
        name, service, locality.region, locality.failure_domain, name, False
    )


def _endpoint(simulation, service):
    if service == MODEL:
        return endpoint_nodes.ModelNode(simulation, ENGINE_SPEED)
    return endpoint_nodes.PlainNode(simulation)


def _build_core(instance, incarnation):
    kind = DECLARATIONS['services'][instance.service]['kind']
    return composition.build_sidecar_core(
        instance.name, instance.service, kind, incarnation
    )

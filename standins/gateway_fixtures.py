"""Build requests, routes and endpoints for gateway tests."""

from __future__ import annotations

import itertools

from persimmonroute.gateway import board as boards
from persimmonroute.gateway import locality
from persimmonroute.gateway import messages
from persimmonroute.gateway import model
from persimmonroute.gateway import placement
from persimmonroute.gateway import quotas
from persimmonroute.gateway import scheduler as schedulers
from persimmonroute.gateway import turns

SERVICE = 'llm'
HOST = 'api.example'
KEY = 'key-1'
REGIONS = {'riga-a': 'riga', 'riga-b': 'riga', 'frankfurt-a': 'frankfurt'}
LOCALITY = locality.Locality('riga-a', 'riga', REGIONS)
BOUNDS = boards.Bounds(
    revocation_s=5.0,
    configuration_s=2.5,
    retry_ratio=0.2,
    retry_slack=10.0,
    retry_window_s=10.0,
    quotas=quotas.Tolerance(),
)
_numbers = itertools.count()


def route(name='draft', **changes):
    """Return a streaming route of tier 1; changes override fields."""
    built = model.Route(
        name=name,
        host=HOST,
        prefix=f'/{name}/',
        destinations=(model.Destination(SERVICE, 1.0),),
        streaming=True,
        idempotent=False,
        resumable=False,
        timeout_s=4.0,
        objective_s=0.5,
        tier=1,
        max_attempts=2,
        public=False,
    )
    return built._replace(**changes)


def workspace(name='desk', key=KEY, quota=None, tier=None):
    """Return a workspace with one key."""
    return model.Workspace(name, (key,), tier, quota)


def configuration(routes=None, workspaces=None, version=1):
    """Return a configuration of one service."""
    return model.Configuration(
        version=version,
        routes=tuple(routes or (route(),)),
        services=(model.Service(SERVICE, 100, 2, 1000, True),),
        workspaces=tuple(workspaces or (workspace(),)),
        limits=model.Limits(),
    )


def request(route_name='draft', **changes):
    """Return a request with a new attempt id; changes override fields."""
    built = model.Request(
        attempt=f'attempt-{next(_numbers)}',
        method='POST',
        host=HOST,
        path=f'/{route_name}/x',
        target=f'/{route_name}/x',
        headers=(),
        body=b'body',
        key=KEY,
        remaining_s=4.0,
        prompt_tokens=90,
        output_tokens=10,
        states_tokens=True,
        prompt=(),
        last_event_id=None,
    )
    return built._replace(**changes)


def runner(name, **changes):
    """Return an endpoint with one slot; one more request may wait at it."""
    built = model.Runner(
        id=name,
        started_at_ms=1,
        service=SERVICE,
        address='127.0.0.1:9',
        failure_domain='riga-a',
        slots=1,
        leaving=False,
        version='v1',
    )
    return built._replace(**changes)


def board(now=0.0, runners=('r1',), name='gateway-1', **configured):
    """Return a board with a confirmed configuration and endpoints."""
    built = boards.GatewayBoard(name, BOUNDS, LOCALITY)
    built.adopt_configuration(configuration(**configured), now)
    built.configuration_freshness.confirm(now, now)
    records = [
        r if isinstance(r, model.Runner) else runner(r) for r in runners
    ]
    built.runner_registry.apply(records, (), False, now)
    return built


def scheduler(gateway_board):
    """Return a scheduler for a board."""
    policy = placement.Placement(LOCALITY)
    slot_policy = turns.SharedSlots(
        gateway_board.name,
        gateway_board.runner_registry,
        policy,
        gateway_board.peers,
    )
    return schedulers.Scheduler(
        gateway_board.runner_registry, policy, gateway_board.peers, slot_policy
    )


def pending_request(
    now=0.0, custom_route=None, custom_workspace=None, age_s=0.0, **changes
):
    """Return a pending request; changes override request fields."""
    return messages.PendingRequest(
        request(**changes),
        custom_route or route(),
        SERVICE,
        custom_workspace,
        now,
        age_s,
    )

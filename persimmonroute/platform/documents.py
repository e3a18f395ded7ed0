"""Decode the JSON documents stored in the platform's tables."""

from __future__ import annotations

import json

from persimmonroute import exceptions
from persimmonroute.gateway import model

CONFIGURATION_TABLE = 'op'
CONFIGURATION_KEY = 'config'
RUNNER_TABLE = 'servers'
LEAVING_BY_STATE = {'ready': False, 'draining': True}
ROUTE_KINDS = ('idempotent', 'non_idempotent', 'streaming')
MALFORMED_DOCUMENT_ERRORS = (KeyError, TypeError, ValueError, AttributeError)


def read_configuration(data):
    """Decode a configuration document or raise DocumentError."""
    try:
        document = json.loads(data)
        return model.Configuration(
            version=_integer(document['Version']),
            routes=tuple(_decode_route(r) for r in document['Routes']),
            services=tuple(_decode_service(s) for s in document['Services']),
            workspaces=tuple(
                _decode_workspace(w) for w in document.get('Tenants') or ()
            ),
            limits=_decode_limits(document.get('Limits') or {}),
        )
    except MALFORMED_DOCUMENT_ERRORS as error:
        raise exceptions.DocumentError(
            f'cannot decode the configuration: {error!r}'
        ) from error


def read_runner(runner_id, data):
    """Decode the registration of an endpoint or raise DocumentError."""
    try:
        document = json.loads(data)
        address = _string(document['Address'])
        host, _, port = address.rpartition(':')
        if not host or not 0 < int(port) < 65536:
            raise ValueError(f'invalid address {address!r}')
        started_at_ms = document.get('born', 0)
        return model.Runner(
            id=runner_id,
            started_at_ms=_integer(started_at_ms),
            service=_string(document['Service']),
            address=address,
            failure_domain=_string(document['Zone']),
            slots=_integer(document['Slots']),
            leaving=LEAVING_BY_STATE[_string(document['State'])],
            version=_string(document['Version']),
        )
    except MALFORMED_DOCUMENT_ERRORS as error:
        raise exceptions.DocumentError(
            f'cannot decode the registration of endpoint {runner_id!r}:'
            f' {error!r}'
        ) from error


def read_start(data):
    """Return when an endpoint started by its report, or None.

    In Unix milliseconds, as in its registration.
    """
    try:
        return _integer(json.loads(data)['born'])
    except MALFORMED_DOCUMENT_ERRORS:
        return None


def _decode_route(document):
    kind = document['Kind']
    if kind not in ROUTE_KINDS:
        raise ValueError(f'unknown kind {kind!r}')
    traffic_split = document.get('TrafficSplit')
    if traffic_split:
        destinations = tuple(
            model.Destination(_string(d['Service']), float(d['Weight']))
            for d in traffic_split
        )
    else:
        destinations = (model.Destination(_string(document['Service']), 1.0),)
    timeout_s = float(document['TimeoutMs']) / 1000
    # Latency objective: time until a stream starts or until any other
    # response is complete.
    objective_ms = document.get('TargetLatencyMs') or document['TimeoutMs']
    return model.Route(
        name=_string(document['Name']),
        host=_string(document['Host']).lower(),
        prefix=_string(document['Prefix']),
        destinations=destinations,
        streaming=kind == 'streaming',
        idempotent=kind == 'idempotent',
        resumable=bool(document.get('StreamResume')),
        timeout_s=timeout_s,
        objective_s=float(objective_ms) / 1000,
        tier=_integer(document.get('Priority', 0)),
        max_attempts=max(_integer(document.get('MaxAttempts', 1)), 1),
        public=bool(document.get('Public')),
    )


def _decode_service(document):
    engine = document.get('Engine') or {}
    return model.Service(
        name=_string(document['Name']),
        max_connections=_integer(document.get('MaxConnections') or 0),
        slots=_integer(engine.get('Slots') or 0),
        kv_tokens=_integer(engine.get('KvTokens') or 0),
        is_engine=bool(engine),
    )


def _decode_workspace(document):
    tier = document.get('Priority')
    rate = float(document.get('RatePerS') or 0)
    quota = None
    if rate > 0:
        plain_units = 1.0
        # With this unit, rate and burst count tokens instead of requests.
        if document.get('Unit') == 'token_count':
            plain_units = float(document.get('PlainTokens') or 1)
        quota = model.Quota(
            rate, float(document.get('Burst') or 0), plain_units
        )
    return model.Workspace(
        name=_string(document['Name']),
        keys=tuple(_string(key) for key in document.get('ApiKeys') or ()),
        tier=None if tier is None else _integer(tier),
        quota=quota,
    )


def _decode_limits(document):
    default = model.Limits()
    return model.Limits(
        header_bytes=_integer(
            document.get('MaxHeaderBytes', default.header_bytes)
        ),
        body_bytes=_integer(document.get('MaxBodyBytes', default.body_bytes)),
        header_timeout_s=float(document.get('HeaderTimeoutMs', 3000)) / 1000,
        idle_timeout_s=float(document.get('IdleTimeoutMs', 15000)) / 1000,
    )


def _string(value):
    if not isinstance(value, str) or not value:
        raise TypeError(f'not a non-empty string: {value!r}')
    return value


def _integer(value):
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f'not an integer: {value!r}')
    return value

"""Decode the documents of the platform's store."""

from __future__ import annotations

import json

from persimmonroute import exceptions
from persimmonroute.gateway import model

CONFIGURATION_TABLE = 'op'
CONFIGURATION_KEY = 'config'
RUNNER_TABLE = 'servers'
STATES = {'ready': False, 'draining': True}
KINDS = ('idempotent', 'non_idempotent', 'streaming')
MALFORMED_DOCUMENT_ERRORS = (KeyError, TypeError, ValueError, AttributeError)


def read_configuration(data):
    """Return the configuration in the bytes, or raise DocumentError."""
    try:
        document = json.loads(data)
        return model.Configuration(
            version=_integer(document['Version']),
            routes=tuple(_route(r) for r in document['Routes']),
            services=tuple(_service(s) for s in document['Services']),
            workspaces=tuple(
                _workspace(w) for w in document.get('Tenants') or ()
            ),
            limits=_limits(document.get('Limits') or {}),
        )
    except MALFORMED_DOCUMENT_ERRORS as error:
        raise exceptions.DocumentError(
            f'configuration cannot be read: {error!r}'
        ) from error


def read_runner(runner_id, data):
    """Return the endpoint in the bytes, or raise DocumentError."""
    try:
        document = json.loads(data)
        address = _string(document['Address'])
        host, _, port = address.rpartition(':')
        if not host or not 0 < int(port) < 65536:
            raise ValueError(f'address {address!r}')
        born = document.get('born', 0)
        return model.Runner(
            id=runner_id,
            started_at_ms=_integer(born),
            service=_string(document['Service']),
            address=address,
            failure_domain=_string(document['Zone']),
            slots=_integer(document['Slots']),
            leaving=STATES[_string(document['State'])],
        )
    except MALFORMED_DOCUMENT_ERRORS as error:
        raise exceptions.DocumentError(
            f'entry of endpoint {runner_id!r} cannot be read: {error!r}'
        ) from error


def _route(document):
    kind = document['Kind']
    if kind not in KINDS:
        raise ValueError(f'kind {kind!r}')
    split = document.get('TrafficSplit')
    if split:
        destinations = tuple(
            model.Destination(_string(d['Service']), float(d['Weight']))
            for d in split
        )
    else:
        destinations = (model.Destination(_string(document['Service']), 1.0),)
    timeout_s = float(document['TimeoutMs']) / 1000
    # Time within which an answer begins, for streams, or is complete.
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


def _service(document):
    engine = document.get('Engine') or {}
    return model.Service(
        name=_string(document['Name']),
        max_connections=_integer(document.get('MaxConnections') or 0),
        slots=_integer(engine.get('Slots') or 0),
        kv_tokens=_integer(engine.get('KvTokens') or 0),
        is_engine=bool(engine),
    )


def _workspace(document):
    tier = document.get('Priority')
    rate = float(document.get('RatePerS') or 0)
    quota = None
    if rate > 0:
        plain = 1.0
        # With this unit both figures count tokens, not requests.
        if document.get('Unit') == 'token_count':
            plain = float(document.get('PlainTokens') or 1)
        quota = model.Quota(rate, float(document.get('Burst') or 0), plain)
    return model.Workspace(
        name=_string(document['Name']),
        keys=tuple(_string(key) for key in document.get('ApiKeys') or ()),
        tier=None if tier is None else _integer(tier),
        quota=quota,
    )


def _limits(document):
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
        raise TypeError(f'not a text: {value!r}')
    return value


def _integer(value):
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f'not a whole number: {value!r}')
    return value

"""Decode the JSON documents stored in the platform's tables.

Anybody may write a row, so whatever its bytes are, it is decoded into values
that are safe to use or refused with a DocumentError.
"""

from __future__ import annotations

import ipaddress
import math
import re
import typing

from persimmonroute import exceptions
from persimmonroute.gateway import model
from persimmonroute.gateway import rollout_control
from persimmonroute.gateway import rollout_keeping
from persimmonroute import json_text

CONFIGURATION_TABLE = 'op'
CONFIGURATION_KEY = 'config'
# Prefix of the keys of orders and of their status.
ROLLOUT_PREFIX = 'rollout/'
RUNNER_TABLE = 'servers'
INSTANCE_FIELDS = (
    'name',
    'kind',
    'service',
    'region',
    'failure_domain',
    'address',
    'state',
)
LEAVING_BY_STATE = {'ready': False, 'draining': True}
ROUTE_KINDS = ('idempotent', 'non_idempotent', 'streaming')
# float() raises OverflowError for long integers.
MALFORMED_DOCUMENT_ERRORS = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
)
# Larger integers are not exact in JSON, and do not fit into messages between
# gateways.
MAX_INTEGER = 2**53 - 1
MAX_SLOTS = 1_000_000
MAX_TEXT_CHARACTERS = 200
MAX_PORT = 65_535
MAX_CORES = 1_000_000.0
MAX_ROLLOUT_S = 604_800.0
MAX_REASON_CHARACTERS = 300
# Part of a problem that is logged.
MAX_PROBLEM_CHARACTERS = 300
# Ids are sent in a header.
_RUNNER_ID = re.compile(r'[!-~]{1,200}')
_TRAIT = re.compile(r'[0-9a-f]{16}')
_PORT = re.compile(r'[0-9]{1,5}')


class GatewayDocument(typing.NamedTuple):
    """Describe a registered gateway; empty if it did not state a field."""

    address: str
    failure_domain: str
    cores: float


def read_configuration(data):
    """Decode a configuration document or raise DocumentError."""
    try:
        document = json_text.parse(data)
        return model.Configuration(
            version=_whole(document['Version']),
            routes=tuple(_decode_route(r) for r in document['Routes']),
            services=tuple(_decode_service(s) for s in document['Services']),
            workspaces=tuple(
                _decode_workspace(w) for w in document.get('Tenants') or ()
            ),
            limits=_decode_limits(document.get('Limits') or {}),
        )
    except MALFORMED_DOCUMENT_ERRORS as error:
        raise _refuse('the configuration', error) from error


def read_runner(runner_id, data):
    """Decode the registration of an endpoint or raise DocumentError."""
    try:
        if not _RUNNER_ID.fullmatch(runner_id):
            raise ValueError('the id has characters that are not allowed')
        document = json_text.parse(data)
        # Rows without them, or with others, are not written by endpoints.
        _integer(document['Sequence'])
        _duration_ms(document['ColdRemainingMs'])
        return model.Runner(
            id=runner_id,
            started_at_ms=_integer(document.get('born', 0), 0),
            service=_text(document['Service']),
            address=_address(document['Address']),
            failure_domain=_text(document['Zone']),
            slots=_integer(document['Slots'], 1, MAX_SLOTS),
            leaving=LEAVING_BY_STATE[_text(document['State'])],
            version=_text(document['Version']),
        )
    except MALFORMED_DOCUMENT_ERRORS as error:
        subject = f'the registration of endpoint {runner_id[:100]!r}'
        raise _refuse(subject, error) from error


def read_gateway(data):
    """Decode a GatewayDocument or raise DocumentError."""
    try:
        document = json_text.parse(data)
        cores = _number(document.get('cores', 0.0))
        if not 0.0 <= cores <= MAX_CORES:
            raise ValueError('the cores are out of range')
        domain = document.get('failure_domain', '')
        return GatewayDocument(
            _address(document['address']),
            _text(domain) if domain else '',
            cores,
        )
    except MALFORMED_DOCUMENT_ERRORS as error:
        raise _refuse('the row of a gateway', error) from error


def read_version(data):
    """Decode a service and its version, or raise DocumentError."""
    try:
        document = json_text.parse(data)
        return _text(document['service']), _text(document['version'])
    except MALFORMED_DOCUMENT_ERRORS as error:
        raise _refuse('the row of a version', error) from error


def read_order(key, data, revision):
    """Decode an order to move a service to a version, or DocumentError."""
    try:
        document = json_text.parse(data)
        service = _text(document['Service'])
        if key != f'{ROLLOUT_PREFIX}{service}':
            raise ValueError('the key names another service')
        return rollout_control.Order(
            service,
            _text(document['To']),
            _rollout_s(document['DurationS']),
            revision,
        )
    except MALFORMED_DOCUMENT_ERRORS as error:
        raise _refuse(f'the order {key[:100]!r}', error) from error


def read_status(data):
    """Decode the final Phase, or None, and target of a status row."""
    try:
        document = json_text.parse(data)
        phases = {s: p for p, s in rollout_keeping.STATES.items()}
        return phases.get(_text(document['State'])), _text(document['To'])
    except MALFORMED_DOCUMENT_ERRORS as error:
        raise _refuse('the status of a rollout', error) from error


def encode_status(row):
    """Encode the status of a RolloutRow."""
    return {
        'State': row.status,
        'To': row.order.target,
        'Reason': row.reason[:MAX_REASON_CHARACTERS],
        'Phase': row.phase.value,
        'Order': row.order.revision,
    }


def read_rollout(service, data):
    """Decode a RolloutRow, the era and the store's time, or DocumentError.

    The time of the order is not filled in.
    """
    try:
        document = json_text.parse(data)
        order = rollout_control.Order(
            _text(service),
            _text(document['target']),
            _rollout_s(document['duration_s']),
            _integer(document['order'], 0),
        )
        given_s = document['given_at_s']
        row = rollout_keeping.RolloutRow(
            order,
            math.inf,
            rollout_control.Phase(document['phase']),
            _text(document['status']),
            str(document['reason'])[:MAX_REASON_CHARACTERS],
            _integer(document['requests'], 0),
            _integer(document['exposed'], 0),
            tuple(_text(version) for version in document['rejected']),
            _text(document['controller']),
        )
        era = _integer(document['era'], 0)
        return row, era, None if given_s is None else _number(given_s)
    except MALFORMED_DOCUMENT_ERRORS as error:
        raise _refuse('the row of a rollout', error) from error


def encode_rollout(row, era, given_s):
    """Encode a RolloutRow; given_s is when the order was given."""
    return {
        'target': row.order.target,
        'duration_s': row.order.duration_s,
        'order': row.order.revision,
        'era': era,
        'given_at_s': given_s,
        'phase': row.phase.value,
        'status': row.status,
        'reason': row.reason[:MAX_REASON_CHARACTERS],
        'requests': row.requests,
        'exposed': row.exposed,
        'rejected': row.rejected,
        'controller': row.controller,
    }


def read_trait(key):
    """Decode the trait in the key of a row, or raise DocumentError."""
    if not _TRAIT.fullmatch(key):
        raise exceptions.DocumentError(f'not a trait: {key[:100]!r}')
    return int(key, 16)


def read_value(data):
    """Decode any JSON document or raise DocumentError."""
    try:
        return json_text.parse(data)
    except MALFORMED_DOCUMENT_ERRORS as error:
        raise _refuse('a row', error) from error


def read_instance(data):
    """Decode an instance that runs a sidecar or an entry.

    Returns its fields by name, or raises DocumentError.
    """
    try:
        document = json_text.parse(data)
        names = INSTANCE_FIELDS
        if document['kind'] == 'endpoint':
            names += ('sidecar',)
        return {**document, **{name: _text(document[name]) for name in names}}
    except MALFORMED_DOCUMENT_ERRORS as error:
        raise _refuse('an instance', error) from error


def read_start(data):
    """Return when an endpoint started by its report, or None.

    In Unix milliseconds, as in its registration.
    """
    try:
        return _integer(json_text.parse(data)['born'], 0)
    except MALFORMED_DOCUMENT_ERRORS:
        return None


def _decode_route(document):
    kind = document['Kind']
    if kind not in ROUTE_KINDS:
        raise ValueError(f'unknown kind {kind!r}')
    traffic_split = document.get('TrafficSplit')
    if traffic_split:
        destinations = tuple(
            model.Destination(_string(d['Service']), _number(d['Weight']))
            for d in traffic_split
        )
    else:
        destinations = (model.Destination(_string(document['Service']), 1.0),)
    timeout_s = _number(document['TimeoutMs']) / 1000
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
        # The kind says what may be repeated, and a stream goes on by running
        # once more.
        resumable=(
            document.get('StreamResume') is True and kind != 'non_idempotent'
        ),
        timeout_s=timeout_s,
        objective_s=_number(objective_ms) / 1000,
        tier=_whole(_find(document, 'Priority', 0)),
        max_attempts=max(_whole(_find(document, 'MaxAttempts', 1)), 1),
        public=bool(document.get('Public')),
    )


def _decode_service(document):
    engine = document.get('Engine') or {}
    return model.Service(
        name=_string(document['Name']),
        max_connections=_whole(document.get('MaxConnections') or 0),
        slots=_whole(engine.get('Slots') or 0),
        kv_tokens=_whole(engine.get('KvTokens') or 0),
        is_engine=bool(engine),
    )


def _decode_workspace(document):
    tier = document.get('Priority')
    rate = _number(document.get('RatePerS') or 0)
    quota = None
    if rate > 0:
        plain_units = 1.0
        # With this unit, rate and burst count tokens instead of requests.
        if document.get('Unit') == 'token_count':
            plain_units = _number(document.get('PlainTokens') or 1)
        quota = model.Quota(
            rate, _number(document.get('Burst') or 0), plain_units
        )
    return model.Workspace(
        name=_string(document['Name']),
        keys=tuple(_string(key) for key in document.get('ApiKeys') or ()),
        tier=None if tier is None else _whole(tier),
        quota=quota,
    )


def _decode_limits(document):
    default = model.Limits()
    return model.Limits(
        header_bytes=_whole(
            _find(document, 'MaxHeaderBytes', default.header_bytes)
        ),
        body_bytes=_whole(_find(document, 'MaxBodyBytes', default.body_bytes)),
        header_timeout_s=_number(_find(document, 'HeaderTimeoutMs', 3000))
        / 1000,
        idle_timeout_s=_number(_find(document, 'IdleTimeoutMs', 15000)) / 1000,
    )


def _refuse(subject, error):
    problem = f'cannot decode {subject}: {error!r}'
    return exceptions.DocumentError(problem[:MAX_PROBLEM_CHARACTERS])


def _string(value):
    if not isinstance(value, str) or not value:
        raise TypeError(f'not a non-empty string but {type(value)}')
    return value


def _text(value):
    """Return a string that may stand in messages and logs."""
    if not _string(value).isprintable() or len(value) > MAX_TEXT_CHARACTERS:
        raise ValueError('the text is too long or not printable')
    return value


def _integer(value, least=-MAX_INTEGER, most=MAX_INTEGER):
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f'not an integer but {type(value)}')
    if not least <= value <= most:
        raise ValueError(f'not from {least} to {most}')
    return value


def _whole(value):
    """Return an integer; operators may write it as 2.0."""
    if isinstance(value, float) and value.is_integer():
        value = int(value)
    return _integer(value)


def _find(document, name, default):
    """Return a field; one that is null counts as missing."""
    value = document.get(name)
    return default if value is None else value


def _number(value):
    number = float(value)
    if not math.isfinite(number):
        raise ValueError('not a finite number')
    return number


def _duration_ms(value):
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f'not a number but {type(value)}')
    return _number(value)


def _rollout_s(value):
    """Return a duration in seconds; one that has passed is no error."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f'not a number but {type(value)}')
    return min(max(_number(value), 0.0), MAX_ROLLOUT_S)


def _address(value):
    """Return an IP address with a port."""
    host, _, port = _text(value).rpartition(':')
    ipaddress.ip_address(host.strip('[]'))
    if not _PORT.fullmatch(port) or not 0 < int(port) <= MAX_PORT:
        raise ValueError('the port is out of range')
    return value

"""Read the settings of one process."""

from __future__ import annotations

import json
import typing

from persimmonroute.config import options
from persimmonroute import exceptions

SCHEMA = {
    'role': options.Choice(
        ('entry', 'sidecar', 'gateway'),
        'What the process does.',
        required=True,
    ),
    'instance': options.Text('Name of the instance.', required=True),
    'address': options.Address(
        'Own address; HTTP for an entry or gateway, gRPC for a sidecar.',
        required=True,
    ),
    'region': options.Text('Region of the instance.', required=True),
    'failure_domain': options.Text(
        'Failure domain of the instance.', required=True
    ),
    'platform': options.Address(
        'Address of the platform service; used by entries and gateways.'
    ),
    'endpoint': options.Address('Address of the endpoint beside a sidecar.'),
    'endpoint_kind': options.Choice(
        ('model', 'plain'), 'Kind of the endpoint beside a sidecar.'
    ),
    'service': options.Text('Service that the endpoint belongs to.'),
    'operator_key': options.Text(
        'Public key of the first operator, in hexadecimal; entries then'
        ' take only signed revisions.'
    ),
    'deployment': options.Text(
        'Name of the deployment, as certificates have it.'
    ),
    'tls_certificate': options.Text(
        'PEM file of the certificate; with it, all connections between'
        ' entries and sidecars use TLS both ways.'
    ),
    'tls_key': options.Text('PEM file of the private key.'),
    'tls_authority': options.Text(
        'PEM file of the authority that signs all certificates.'
    ),
    'log_level': options.Choice(
        ('DEBUG', 'INFO', 'WARNING', 'ERROR'),
        'Least level that is logged.',
        default='INFO',
    ),
    'log_format': options.Choice(
        ('human', 'json'), 'Form of the log lines.', default='human'
    ),
    'stop_grace_s': options.Number(
        1,
        3600,
        'Seconds that a planned stop waits for requests in progress.',
        default=120,
    ),
    'ready_address': options.Address(
        'Address on which a gateway tells whether it is ready.'
    ),
    'metrics_address': options.Address(
        'Address on which a gateway serves its metrics.'
    ),
    'control_address': options.Address(
        'Address on which a gateway gives peers what it read of the store.'
    ),
    'seeds': options.TextList(
        'Control addresses of gateways that are asked while the store is'
        ' away at a start.'
    ),
    'peer_address': options.Address(
        'UDP address on which gateways exchange reports.'
    ),
    'regions': options.TextMap(
        'Region of each failure domain; used by gateways.'
    ),
    'revocation_s': options.Number(
        0.1,
        3600,
        'Seconds within which a withdrawn key is refused everywhere.',
        default=5,
    ),
    'configuration_s': options.Number(
        0.1,
        3600,
        'Seconds within which a change of configuration is in force.',
        default=2.5,
    ),
    'retry_ratio': options.Number(
        0, 10, 'Repeated sends for each request of a service.', default=0.1
    ),
    'retry_slack': options.Number(
        0,
        100_000,
        'Repeated sends of a service beyond the ratio, in the window.',
        default=10,
    ),
    'retry_window_s': options.Number(
        0.1, 3600, 'Window of the retry limits, in seconds.', default=10
    ),
    'quota_window_s': options.Number(
        0.1, 3600, 'Window in which quotas are judged.', default=8
    ),
    'quota_overrun': options.Number(
        0, 1, 'Share by which a quota may be exceeded.', default=0
    ),
    'quota_slack': options.Number(
        0, 1e9, 'Units by which a quota may be exceeded.', default=0
    ),
}
TLS_OPTIONS = ('tls_certificate', 'tls_key', 'tls_authority', 'deployment')
ROLE_OPTIONS = {
    'entry': ('platform',),
    'sidecar': ('endpoint', 'endpoint_kind', 'service'),
    'gateway': (
        'platform',
        'ready_address',
        'metrics_address',
        'control_address',
        'peer_address',
        'regions',
    ),
}


class Settings(typing.NamedTuple):
    """Hold the settings of one process."""

    role: str
    instance: str
    address: str
    region: str
    failure_domain: str
    platform: str | None
    endpoint: str | None
    endpoint_kind: str | None
    service: str | None
    operator_key: str | None
    deployment: str | None
    tls_certificate: str | None
    tls_key: str | None
    tls_authority: str | None
    log_level: str
    log_format: str
    stop_grace_s: float
    ready_address: str | None
    metrics_address: str | None
    control_address: str | None
    seeds: list[str] | None
    peer_address: str | None
    regions: dict[str, str] | None
    revocation_s: float
    configuration_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    quota_window_s: float
    quota_overrun: float
    quota_slack: float


def check_settings(document):
    """Return the settings and the problems of a parsed document."""
    problems = []
    fields = options.validate_object(document, SCHEMA, 'settings', problems)
    for name in ROLE_OPTIONS.get(fields.get('role'), ()):
        if fields[name] is None:
            problems.append(
                options.Problem(
                    f'settings.{name}',
                    f'is missing for the role {fields["role"]}',
                )
            )
    _check_tls(fields, problems)
    if problems:
        return None, problems
    return Settings(**fields), problems


def _check_tls(fields, problems):
    given = [name for name in TLS_OPTIONS if fields[name] is not None]
    if not given:
        return
    for name in TLS_OPTIONS:
        if name not in given:
            problems.append(
                options.Problem(
                    f'settings.{name}', f'is missing beside {given[0]}'
                )
            )


def load_settings(path):
    """Return the settings of a file or raise SettingsError."""
    try:
        with open(path, encoding='utf-8') as file:
            document = json.load(file)
    except (OSError, ValueError) as error:
        raise exceptions.SettingsError(f'cannot read {path}: {error}')
    settings, problems = check_settings(document)
    if problems:
        listed = '\n  '.join(str(p) for p in problems)
        raise exceptions.SettingsError(f'{path} is not valid:\n  {listed}\n')
    return settings

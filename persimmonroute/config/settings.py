"""Load and validate the settings of one process."""

from __future__ import annotations

import typing

from persimmonroute.config import options
from persimmonroute import exceptions
from persimmonroute import json_text

# Uses of the estimates, as in gateway/endpoint_capacity.py.
ENDPOINT_CAPACITY_USES = ('limit', 'placement', 'due', 'wait', 'order')

SCHEMA = {
    'role': options.Choice(
        ('entry', 'sidecar', 'gateway'),
        'Role of the process.',
        required=True,
    ),
    'instance': options.Text('Name of the instance.', required=True),
    'address': options.Address(
        'Listen address: HTTP for an entry or gateway, gRPC for a sidecar.',
        required=True,
    ),
    'region': options.Text('Region of the instance.', required=True),
    'failure_domain': options.Text(
        'Failure domain of the instance.', required=True
    ),
    'platform': options.Address(
        "Address of the platform's table service; used by entries and"
        ' gateways.'
    ),
    'endpoint': options.Address(
        'Address of the endpoint that a sidecar forwards to.'
    ),
    'endpoint_kind': options.Choice(
        ('model', 'plain'), 'Kind of the endpoint that a sidecar forwards to.'
    ),
    'service': options.Text('Service that the endpoint belongs to.'),
    'operator_key': options.Text(
        'Public key of the first operator, in hexadecimal; if set, entries'
        ' accept only signed revisions.'
    ),
    'deployment': options.Text(
        'Name of the deployment, as it appears in certificates.'
    ),
    'tls_certificate': options.Text(
        'PEM file of the certificate; if set, all connections between'
        ' entries and sidecars use mutual TLS.'
    ),
    'tls_key': options.Text('PEM file of the private key.'),
    'tls_authority': options.Text(
        'PEM file of the CA certificate that signs all certificates.'
    ),
    'log_level': options.Choice(
        ('DEBUG', 'INFO', 'WARNING', 'ERROR'),
        'Minimum level of log lines.',
        default='INFO',
    ),
    'log_format': options.Choice(
        ('human', 'json'), 'Format of the log lines.', default='human'
    ),
    'stop_grace_s': options.Number(
        1,
        3600,
        'Seconds that a graceful stop waits for in-flight requests.',
        default=120,
    ),
    'ready_address': options.Address(
        'Address of the readiness probe of a gateway.'
    ),
    'metrics_address': options.Address(
        'Address on which a gateway serves metrics.'
    ),
    'control_address': options.Address(
        'Address on which a gateway serves its copy of the tables to peers.'
    ),
    'seeds': options.TextList(
        'Control addresses of the gateways that are queried if the table'
        ' service is unavailable at startup.'
    ),
    'peer_address': options.Address(
        'UDP address on which gateways exchange load reports.'
    ),
    'cpu_share': options.Number(
        0.01, 1024, 'Share of each core that the process may use.', default=1
    ),
    'cores': options.Number(
        0.01,
        1024,
        'Speed of the instance in cores of the reference instance; gateways'
        ' with more host the admission of the others.',
        default=1,
    ),
    'endpoint_capacity_uses': options.Subset(
        ENDPOINT_CAPACITY_USES,
        'Decisions that use what each endpoint was learned to handle well, for'
        ' services whose endpoints report what work costs.',
        default=['placement', 'order'],
    ),
    'bound_endpoint_memory': options.Flag(
        'Send an endpoint no more requests at once than its memory, which the'
        ' configuration states in tokens, holds by their prompts and longest'
        ' responses.',
        default=False,
    ),
    'reserve_retries': options.Flag(
        'Reserve capacity for callers that return after a refusal, for the'
        ' same services.',
        default=False,
    ),
    'share_workspaces': options.Flag(
        'Divide the capacity of a tier among the workspaces that want it, for'
        ' the same services.',
        default=True,
    ),
    'body_memory_mb': options.Number(
        0.1,
        1_000_000,
        'Megabytes of request bodies that an entry or gateway keeps at a time;'
        ' requests beyond are refused.',
        default=48,
    ),
    'unread_timeout_s': options.Number(
        1,
        86_400,
        'Seconds after which an entry or gateway closes the connection of a'
        ' caller that reads nothing of its response.',
        default=300,
    ),
    'memory_mb': options.Number(
        1,
        1_000_000,
        'Megabytes of memory of the instance; entries and gateways derive'
        ' from it what callers may make them hold.',
    ),
    'max_descriptors': options.Number(
        1,
        10_000_000,
        'Descriptors that the process may open; entries and gateways derive'
        ' from it how many connections they accept.',
        integer_only=True,
    ),
    'regions': options.TextMap(
        'Region of each failure domain; used by gateways.'
    ),
    'revocation_s': options.Number(
        0.1,
        3600,
        'Maximum seconds until a revoked key is rejected everywhere.',
        default=5,
    ),
    'configuration_s': options.Number(
        0.1,
        3600,
        'Maximum seconds until a configuration change takes effect.',
        default=2.5,
    ),
    'retry_ratio': options.Number(
        0, 10, 'Retries allowed per request of a service.', default=0.1
    ),
    'retry_slack': options.Number(
        0,
        100_000,
        'Retries of a service allowed beyond the ratio, per window.',
        default=10,
    ),
    'retry_window_s': options.Number(
        0.1, 3600, 'Window of the retry limits, in seconds.', default=10
    ),
    'quota_window_s': options.Number(
        0.1,
        3600,
        'Window over which quotas are evaluated, in seconds.',
        default=8,
    ),
    'quota_overrun': options.Number(
        0, 1, 'Fraction by which a quota may be exceeded.', default=0
    ),
    'quota_slack': options.Number(
        0,
        1e9,
        'Units by which a quota may be exceeded, in addition to the fraction.',
        default=0,
    ),
    'rollout_exposure_share': options.Number(
        0,
        1,
        'Fraction of the requests of a service that a version may get before'
        ' its rollout is completed. Rollouts are served only if all three'
        ' settings of rollouts are set.',
    ),
    'rollout_exposure_slack': options.Number(
        0,
        1e9,
        'Requests that such a version may get in addition to the fraction.',
    ),
    'rollout_rollback_s': options.Number(
        0.1,
        3600,
        'Maximum seconds until a bad version gets no more requests.',
    ),
}
TLS_OPTIONS = ('tls_certificate', 'tls_key', 'tls_authority', 'deployment')
REQUIRED_BY_ROLE = {
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
    """Store the settings of one process."""

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
    cpu_share: float
    cores: float
    body_memory_mb: float
    endpoint_capacity_uses: list[str]
    bound_endpoint_memory: bool
    reserve_retries: bool
    share_workspaces: bool
    unread_timeout_s: float
    memory_mb: float | None
    max_descriptors: int | None
    regions: dict[str, str] | None
    revocation_s: float
    configuration_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    quota_window_s: float
    quota_overrun: float
    quota_slack: float
    rollout_exposure_share: float | None
    rollout_exposure_slack: float | None
    rollout_rollback_s: float | None


def check_settings(document):
    """Validate a parsed document; return its settings and problems."""
    problems = []
    fields = options.validate_object(document, SCHEMA, 'settings', problems)
    if problems and not isinstance(document, dict):
        return None, problems
    for name in REQUIRED_BY_ROLE.get(fields.get('role'), ()):
        if fields[name] is None:
            problems.append(
                options.Problem(
                    f'settings.{name}',
                    f'is required for the role {fields["role"]}',
                )
            )
    _check_tls(fields, problems)
    if problems:
        return None, problems
    return Settings(**fields), problems


def _check_tls(fields, problems):
    configured = [name for name in TLS_OPTIONS if fields[name] is not None]
    if not configured:
        return
    for name in TLS_OPTIONS:
        if name not in configured:
            problems.append(
                options.Problem(
                    f'settings.{name}', f'is required with {configured[0]}'
                )
            )


def load_settings(path):
    """Load settings from a JSON file or raise SettingsError."""
    try:
        with open(path, encoding='utf-8') as file:
            document = json_text.parse(file.read())
    except (OSError, ValueError) as error:
        raise exceptions.SettingsError(
            f'cannot read the settings file {path}: {error}'
        )
    settings, problems = check_settings(document)
    if problems:
        listed = '\n  '.join(str(p) for p in problems)
        raise exceptions.SettingsError(
            f'{path} is not a valid settings file:\n  {listed}\n'
        )
    return settings

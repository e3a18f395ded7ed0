"""Validate the work classes that operators declare."""

from __future__ import annotations

import typing

from persimmonroute.config import options
from persimmonroute import exceptions
from persimmonroute import json_text

TIERS = 4


class AnyValue(options.Option):
    """Accept any value; its content is validated separately."""

    def validate(self, value):
        """Return the value unchanged."""
        return value


SERVICE_SCHEMA = {
    'kind': options.Choice(
        ('model', 'plain'),
        'Kind of the endpoints of the service.',
        required=True,
    ),
}
CLASS_SCHEMA = {
    'name': options.Text('Name of the class.', required=True),
    'service': options.Text('Service that handles the class.', required=True),
    'tier': options.Number(
        1,
        TIERS,
        'Priority tier; 1 is the highest.',
        required=True,
        integer_only=True,
    ),
    'idempotent': options.Flag(
        'Whether a request may safely be sent more than once.', default=True
    ),
    'target': AnyValue('Service level target of the class.', required=True),
}
TARGET_SCHEMA = {
    'success': options.Number(
        0.5,
        0.9999,
        'Share of requests that must meet the target.',
        required=True,
    ),
    'first_token_s': options.Number(
        0.01, 600, 'Seconds until the first token.'
    ),
    'token_gap_s': options.Number(
        0.001, 10, 'Seconds between two tokens.', default=0.051
    ),
    'answer_s': options.Number(
        0.01, 3600, 'Seconds until the response is complete.'
    ),
}


class Target(typing.NamedTuple):
    """Define the success rate and latency that a class must reach."""

    success: float
    first_token_s: float | None
    token_gap_s: float
    answer_s: float | None

    @property
    def start_s(self):
        """Return the latency target of the first token or the response."""
        return self.first_token_s or self.answer_s


class WorkClass(typing.NamedTuple):
    """Describe one work class."""

    name: str
    service: str
    tier: int
    idempotent: bool
    target: Target


class Declarations(typing.NamedTuple):
    """Store the services, workspaces and classes that are declared."""

    services: dict[str, str]
    workspaces: frozenset[str]
    classes: dict[str, WorkClass]


EMPTY = Declarations({}, frozenset(), {})
SCHEMA = {
    'services': AnyValue('Services, keyed by name.', required=True),
    'workspaces': options.TextList('Workspaces.', required=True),
    'classes': AnyValue('Work classes.', required=True),
}


def check_declarations(document):
    """Validate a parsed document; return its declarations and problems."""
    problems = []
    fields = options.validate_object(
        document, SCHEMA, 'declarations', problems
    )
    services = _check_services(fields.get('services') or {}, problems)
    classes = _check_classes(fields.get('classes') or [], services, problems)
    if problems:
        return None, problems
    workspaces = frozenset(fields['workspaces'])
    return Declarations(services, workspaces, classes), problems


def _check_services(value, problems):
    if not isinstance(value, dict):
        problems.append(options.Problem('services', 'must be an object'))
        return {}
    services = {}
    for name, service in value.items():
        fields = options.validate_object(
            service, SERVICE_SCHEMA, f'services.{name}', problems
        )
        services[name] = fields.get('kind')
    return services


def _check_classes(value, services, problems):
    if not isinstance(value, list):
        problems.append(options.Problem('classes', 'must be a list'))
        return {}
    classes = {}
    for index, item in enumerate(value):
        path = f'classes[{index}]'
        work_class = _check_class(item, services, path, problems)
        if work_class.name in classes:
            problems.append(
                options.Problem(f'{path}.name', 'is declared twice')
            )
        classes[work_class.name] = work_class
    return classes


def _check_class(item, services, path, problems):
    fields = options.validate_object(item, CLASS_SCHEMA, path, problems)
    target_fields = options.validate_object(
        fields.get('target') or {}, TARGET_SCHEMA, f'{path}.target', problems
    )
    target = Target(**{n: target_fields.get(n) for n in Target._fields})
    kind = services.get(fields.get('service'))
    if fields.get('service') and kind is None:
        problems.append(
            options.Problem(
                f'{path}.service',
                f'{fields["service"]} is not declared under services',
            )
        )
    required_field = {'model': 'first_token_s', 'plain': 'answer_s'}.get(kind)
    if required_field and getattr(target, required_field) is None:
        problems.append(
            options.Problem(
                f'{path}.target.{required_field}',
                f'is required for a class of a {kind} service',
            )
        )
    if kind == 'model' and fields.get('idempotent') is False:
        problems.append(
            options.Problem(
                f'{path}.idempotent', 'must be true for a model service'
            )
        )
    return WorkClass(
        fields.get('name'),
        fields.get('service'),
        fields.get('tier'),
        fields.get('idempotent'),
        target,
    )


def parse_declarations(data):
    """Parse declarations from JSON or raise DeclarationError."""
    try:
        document = json_text.parse(data)
    except ValueError as error:
        raise exceptions.DeclarationError(
            f'the declarations are not valid JSON: {error}'
        )
    declarations, problems = check_declarations(document)
    if problems:
        listed = '\n  '.join(str(p) for p in problems)
        raise exceptions.DeclarationError(
            f'the declarations are not valid:\n  {listed}\n'
        )
    return declarations

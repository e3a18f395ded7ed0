"""Check the classes of work that operators declare."""

from __future__ import annotations

import json
import typing

from persimmonroute.config import options
from persimmonroute import exceptions

TIERS = 4


class AnyValue(options.Option):
    """Take a value that is checked elsewhere."""

    def validate(self, value):
        """Return the value."""
        return value


SERVICE_SCHEMA = {
    'kind': options.Choice(
        ('model', 'plain'), 'Kind of the endpoints.', required=True
    ),
}
CLASS_SCHEMA = {
    'name': options.Text('Name of the class.', required=True),
    'service': options.Text('Service that runs the class.', required=True),
    'tier': options.Number(
        1, TIERS, 'Tier; 1 is the highest.', required=True, whole=True
    ),
    'idempotent': options.Flag(
        'Whether a request may be sent again.', default=True
    ),
    'target': AnyValue('Target of the class.', required=True),
}
TARGET_SCHEMA = {
    'success': options.Number(
        0.5, 0.9999, 'Share of requests within target.', required=True
    ),
    'first_token_s': options.Number(0.01, 600, 'Seconds to the first token.'),
    'token_gap_s': options.Number(
        0.001, 10, 'Seconds between tokens.', default=0.051
    ),
    'answer_s': options.Number(0.01, 3600, 'Seconds to the whole answer.'),
}


class Target(typing.NamedTuple):
    """State how much must succeed, and how fast."""

    success: float
    first_token_s: float | None
    token_gap_s: float
    answer_s: float | None

    @property
    def start_s(self):
        """Return the seconds within which the answer must begin."""
        return self.first_token_s or self.answer_s


class WorkClass(typing.NamedTuple):
    """Describe one class of work."""

    name: str
    service: str
    tier: int
    idempotent: bool
    target: Target


class Declarations(typing.NamedTuple):
    """Hold everything that operators declare."""

    services: dict[str, str]
    workspaces: frozenset[str]
    classes: dict[str, WorkClass]


EMPTY = Declarations({}, frozenset(), {})
SCHEMA = {
    'services': AnyValue('Services by name.', required=True),
    'workspaces': options.TextList('Workspaces.', required=True),
    'classes': AnyValue('Classes of work.', required=True),
}


def check_declarations(document):
    """Return the declarations and all problems of a parsed document."""
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
        checked = _check_class(item, services, path, problems)
        if checked.name in classes:
            problems.append(
                options.Problem(f'{path}.name', 'is declared twice')
            )
        classes[checked.name] = checked
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
    wanted = {'model': 'first_token_s', 'plain': 'answer_s'}.get(kind)
    if wanted and getattr(target, wanted) is None:
        problems.append(
            options.Problem(
                f'{path}.target.{wanted}',
                f'is missing for a class of a {kind} service',
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
    """Return the declarations of JSON text or raise DeclarationError."""
    try:
        document = json.loads(data)
    except ValueError as error:
        raise exceptions.DeclarationError(f'not valid JSON: {error}')
    declarations, problems = check_declarations(document)
    if problems:
        listed = '\n  '.join(str(p) for p in problems)
        raise exceptions.DeclarationError(f'not valid:\n  {listed}\n')
    return declarations

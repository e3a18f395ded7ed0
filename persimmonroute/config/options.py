"""Define typed options with their validation."""

from __future__ import annotations

import abc
import ipaddress
import typing


class Problem(typing.NamedTuple):
    """Describe one validation error and its path in the document."""

    path: str
    message: str

    def __str__(self):
        return f'{self.path}: {self.message}'


class OptionError(ValueError):
    """Report a value that its option does not accept."""


class Option(abc.ABC):
    """Validate one value of a settings or declarations file."""

    kind = 'value'

    def __init__(self, summary, default=None, required=False):
        self.summary = summary
        self.default = default
        self.required = required

    @abc.abstractmethod
    def validate(self, value):
        """Return the validated value or raise OptionError."""


class Text(Option):
    """Accept a non-empty string."""

    kind = 'string'

    def validate(self, value):
        """Return the string."""
        if not isinstance(value, str) or not value:
            raise OptionError('must be a non-empty string')
        return value


class Choice(Option):
    """Accept one of a fixed set of strings."""

    def __init__(self, choices, summary, default=None, required=False):
        super().__init__(summary, default, required)
        self.choices = choices
        self.kind = ' or '.join(f'`{c}`' for c in choices)

    def validate(self, value):
        """Return the choice."""
        if value not in self.choices:
            raise OptionError(f'must be one of {", ".join(self.choices)}')
        return value


class Flag(Option):
    """Accept a boolean."""

    kind = 'boolean'

    def validate(self, value):
        """Return the boolean."""
        if not isinstance(value, bool):
            raise OptionError('must be true or false')
        return value


class Number(Option):
    """Accept a number within an inclusive range."""

    kind = 'number'

    def __init__(
        self,
        minimum,
        maximum,
        summary,
        default=None,
        required=False,
        integer_only=False,
    ):
        super().__init__(summary, default, required)
        self.minimum = minimum
        self.maximum = maximum
        self.integer_only = integer_only

    def validate(self, value):
        """Return the number."""
        accepted_types = int if self.integer_only else (int, float)
        if isinstance(value, bool) or not isinstance(value, accepted_types):
            type_name = 'whole number' if self.integer_only else 'number'
            raise OptionError(f'must be a {type_name}')
        if not self.minimum <= value <= self.maximum:
            raise OptionError(
                f'must be between {self.minimum} and {self.maximum}'
            )
        return value


class Address(Option):
    """Accept an IP address and a port."""

    kind = 'IP:port'

    def validate(self, value):
        """Return the address."""
        host, _, port = str(value).rpartition(':')
        try:
            ipaddress.ip_address(host.strip('[]'))
            valid = 0 < int(port) < 65536
        except ValueError:
            valid = False
        if not valid:
            raise OptionError('must be an IP address and a port, as IP:port')
        return value


class TextMap(Option):
    """Accept an object whose values are non-empty strings."""

    kind = 'object of strings'

    def validate(self, value):
        """Return the strings by name."""
        if not isinstance(value, dict) or not all(
            isinstance(item, str) and item for item in value.values()
        ):
            raise OptionError('must be an object of non-empty strings')
        return value


class TextList(Option):
    """Accept a list of distinct non-empty strings."""

    kind = 'list of strings'

    def validate(self, value):
        """Return the strings."""
        if not isinstance(value, list) or not all(
            isinstance(item, str) and item for item in value
        ):
            raise OptionError('must be a list of non-empty strings')
        if len(set(value)) != len(value):
            raise OptionError('must not contain duplicates')
        return value


class Subset(TextList):
    """Accept a list of distinct strings of a fixed set."""

    def __init__(self, choices, summary, default=None, required=False):
        super().__init__(summary, default, required)
        self.choices = choices
        self.kind = 'list of ' + ', '.join(f'`{c}`' for c in choices)

    def validate(self, value):
        """Return the strings."""
        for item in super().validate(value):
            if item not in self.choices:
                raise OptionError(
                    f'must contain only {", ".join(self.choices)}'
                )
        return value


def validate_object(value, schema, path, problems):
    """Validate a JSON object; return its fields and add to problems."""
    if not isinstance(value, dict):
        problems.append(Problem(path, 'must be an object'))
        return {}
    for name in value:
        if name not in schema:
            known = ', '.join(schema)
            problems.append(
                Problem(
                    f'{path}.{name}',
                    f'is not a known option; known options: {known}',
                )
            )
    fields = {}
    for name, option in schema.items():
        if name not in value:
            if option.required:
                problems.append(Problem(f'{path}.{name}', 'is missing'))
            fields[name] = option.default
            continue
        try:
            fields[name] = option.validate(value[name])
        except OptionError as error:
            problems.append(Problem(f'{path}.{name}', str(error)))
            fields[name] = option.default
    return fields

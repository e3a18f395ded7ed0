"""Define typed options that validate themselves."""

from __future__ import annotations

import abc
import ipaddress
import typing


class Problem(typing.NamedTuple):
    """State one error or warning with its path in the file."""

    path: str
    message: str

    def __str__(self):
        return f'{self.path}: {self.message}'


class OptionError(ValueError):
    """Report a value that its option does not take."""


class Option(abc.ABC):
    """Validate one value of a settings file."""

    kind = 'value'

    def __init__(self, summary, default=None, required=False):
        self.summary = summary
        self.default = default
        self.required = required

    @abc.abstractmethod
    def validate(self, value):
        """Return the value in its final type or raise OptionError."""


class Text(Option):
    """Take a non-empty string."""

    kind = 'string'

    def validate(self, value):
        """Return the string."""
        if not isinstance(value, str) or not value:
            raise OptionError('must be a non-empty string')
        return value


class Choice(Option):
    """Take one of a few strings."""

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
    """Take true or false."""

    kind = 'boolean'

    def validate(self, value):
        """Return the flag."""
        if not isinstance(value, bool):
            raise OptionError('must be true or false')
        return value


class Number(Option):
    """Take a number within a range."""

    kind = 'number'

    def __init__(
        self, low, high, summary, default=None, required=False, whole=False
    ):
        super().__init__(summary, default, required)
        self.low = low
        self.high = high
        self.whole = whole

    def validate(self, value):
        """Return the number."""
        wanted = int if self.whole else (int, float)
        if isinstance(value, bool) or not isinstance(value, wanted):
            word = 'whole number' if self.whole else 'number'
            raise OptionError(f'must be a {word}')
        if not self.low <= value <= self.high:
            raise OptionError(f'must be from {self.low} to {self.high}')
        return value


class Address(Option):
    """Take an IP number and a port."""

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
            raise OptionError('must be an IP number and a port, as IP:port')
        return value


class TextMap(Option):
    """Take an object of non-empty strings."""

    kind = 'object of strings'

    def validate(self, value):
        """Return the strings by name."""
        if not isinstance(value, dict) or not all(
            isinstance(item, str) and item for item in value.values()
        ):
            raise OptionError('must be an object of non-empty strings')
        return value


class TextList(Option):
    """Take a list of distinct non-empty strings."""

    kind = 'list of strings'

    def validate(self, value):
        """Return the strings."""
        if not isinstance(value, list) or not all(
            isinstance(item, str) and item for item in value
        ):
            raise OptionError('must be a list of non-empty strings')
        if len(set(value)) != len(value):
            raise OptionError('must not name anything twice')
        return value


def validate_object(value, schema, path, problems):
    """Return the validated fields of a JSON object, collecting problems."""
    if not isinstance(value, dict):
        problems.append(Problem(path, 'must be an object'))
        return {}
    for name in value:
        if name not in schema:
            known = ', '.join(schema)
            problems.append(
                Problem(f'{path}.{name}', f'is not known; known: {known}')
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

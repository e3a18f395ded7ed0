"""Find the cause of a request's outcome in log files."""

from __future__ import annotations

import datetime
import glob
import json
import os
import typing

from persimmonroute.commands import causes
from persimmonroute.events import Event
from persimmonroute import exceptions

# Events without a request ID that can explain the outcome of a request.
CONTEXT_EVENTS = frozenset(
    event.name
    for event in (
        Event.PLATFORM_UNAVAILABLE,
        Event.PLATFORM_AVAILABLE,
        Event.STORE_RESTORED,
        Event.RUNNER_CHANGED,
        Event.RUNNER_CLOSED,
        Event.PROCESS_STARTED,
        Event.PROCESS_STOPPING,
        Event.PROCESS_STOPPED,
        Event.RUNNER_GONE,
        Event.LINES_DROPPED,
    )
)
# Files that are read of a directory.
LOG_PATTERN = '*.log'
# Assumed maximum clock skew between instances.
MAX_CLOCK_SKEW_S = 5.0


class Explanation(typing.NamedTuple):
    """Store the log lines of one request and the cause found in them."""

    request: str
    lines: tuple[causes.Line, ...]
    cause: causes.Cause
    torn_lines: int


class LogFiles:
    """Index the log lines of several processes by request."""

    def __init__(self):
        self.by_request: dict[str, list[causes.Line]] = {}
        self.context: list[causes.Line] = []
        self.torn_lines = 0

    def read(self, path, since=None):
        """Read a log file, or all of a directory, from a POSIX time on.

        Raises LogFileError if a file cannot be read.
        """
        if os.path.isdir(path):
            for name in sorted(glob.glob(os.path.join(path, LOG_PATTERN))):
                self.read(name, since)
            return
        try:
            with open(path, encoding='utf-8', errors='replace') as file:
                for text in file:
                    self.add(text, since)
        except OSError as error:
            raise exceptions.LogFileError(
                f'cannot read the log file {path}: {error}'
            )

    def add(self, text, since=None):
        """Add one line, ignoring any text before its JSON object."""
        start = text.find('{"')
        if start < 0:
            return
        line = _parse_line(text[start:])
        if line is None:
            self.torn_lines += 1
            return
        if since is not None and line.time < since:
            return
        request = line.fields.get('request')
        if request is not None:
            self.by_request.setdefault(request, []).append(line)
        elif line.name in CONTEXT_EVENTS:
            self.context.append(line)

    def explain(self, request):
        """Return the Explanation of a request's outcome."""
        lines = sorted(
            self.by_request.get(request, ()), key=lambda line: line.time
        )
        return Explanation(
            request,
            tuple(lines),
            causes.find_cause(lines, self.context),
            self.torn_lines,
        )


async def explain(request, paths, since=None, as_json=False):
    """Print the log lines of a request and the cause of its outcome."""
    files = LogFiles()
    since_s = None if since is None else _parse_time(since)
    for path in paths:
        files.read(path, since_s)
    explanation = files.explain(request)
    print(_format_json(explanation) if as_json else _format_text(explanation))


def _parse_line(text):
    try:
        fields = json.loads(text)
        time = datetime.datetime.fromisoformat(fields['time']).timestamp()
        return causes.Line(time, fields['instance'], fields['name'], fields)
    except (ValueError, KeyError, TypeError):
        return None


def _parse_time(text):
    try:
        return datetime.datetime.fromisoformat(text).timestamp()
    except ValueError:
        raise exceptions.LogFileError(
            f'{text!r} is not an ISO 8601 time',
            'pass --since as YYYY-MM-DDTHH:MM:SS+00:00',
        )


def _format_text(explanation):
    lines = [
        f'{causes.format_time(line.time)}  {line.instance}  {line.name}  '
        + ' '.join(f'{k}={v}' for k, v in _extra_fields(line).items())
        for line in explanation.lines
    ]
    certain = 'cause' if explanation.cause.certain else 'probable cause'
    lines.append(f'{certain}: {explanation.cause.sentence}')
    if explanation.torn_lines:
        lines.append(
            f'{explanation.torn_lines} incomplete log lines were ignored'
        )
    instances = {line.instance for line in explanation.lines}
    if len(instances) > 1:
        lines.append(
            f'lines of {len(instances)} instances are ordered by time; their'
            f' clocks may differ by up to {MAX_CLOCK_SKEW_S:.0f} s'
        )
    return '\n'.join(lines)


def _format_json(explanation):
    return json.dumps(
        {
            'request': explanation.request,
            'cause': explanation.cause._asdict(),
            'lines': [line.fields for line in explanation.lines],
            'torn_lines': explanation.torn_lines,
        }
    )


def _extra_fields(line):
    common = ('time', 'level', 'instance', 'event', 'name', 'module')
    return {
        name: value
        for name, value in line.fields.items()
        if name not in (*common, 'request')
    }

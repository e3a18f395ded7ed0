"""Find the cause of a request's outcome in log files."""

from __future__ import annotations

import datetime
import glob
import json
import math
import os
import sys
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
        Event.ROLLOUT_ORDERED,
        Event.ROLLOUT_STORED,
        Event.LINES_DROPPED,
    )
)
# What a line of such an event holds.
CONTEXT_MARKS = tuple(f'"{name}"' for name in sorted(CONTEXT_EVENTS))
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
    """Index the log lines of several processes by request.

    Of one request only its lines are kept; the others are not even parsed.
    """

    def __init__(self, request=None, since=None, until=None):
        """Keep the lines of one or all requests, in POSIX times."""
        self.by_request: dict[str, list[causes.Line]] = {}
        self.context: list[causes.Line] = []
        self.torn_lines = 0
        self._since = -math.inf if since is None else since
        self._until = math.inf if until is None else until
        self._wanted = None
        if request is not None:
            # As JSON writes it in a line.
            self._wanted = (json.dumps(request), *CONTEXT_MARKS)

    def read(self, path):
        """Read a log file.

        Raises LogFileError if it cannot be read.
        """
        try:
            with open(path, encoding='utf-8', errors='replace') as file:
                for text in file:
                    self.add(text)
        except OSError as error:
            raise exceptions.LogFileError(
                f'cannot read the log file {path}: {error}'
            )

    def add(self, text):
        """Add one line, ignoring any text before its JSON object."""
        start = text.find('{"')
        if start < 0 or not self._is_wanted(text):
            return
        line = _parse_line(text[start:])
        if line is None:
            self.torn_lines += 1
            return
        if line.time > self._until:
            return
        request = line.fields.get('request')
        if request is None:
            # What led to the outcome may lie before the time range.
            if line.name in CONTEXT_EVENTS:
                self.context.append(line)
        elif line.time >= self._since:
            self.by_request.setdefault(request, []).append(line)

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

    def _is_wanted(self, text):
        if self._wanted is None or not text.rstrip().endswith('}'):
            return True
        return any(mark in text for mark in self._wanted)


async def explain(request, paths, since=None, until=None, as_json=False):
    """Print the log lines of a request and the cause of its outcome."""
    files = LogFiles(
        request, _parse_time(since, 'since'), _parse_time(until, 'until')
    )
    for path in _show_progress(list_files(paths)):
        files.read(path)
    explanation = files.explain(request)
    print(_format_json(explanation) if as_json else _format_text(explanation))


def list_files(paths):
    """Return the paths of log files, of directories all their files."""
    listed = []
    for path in paths:
        if os.path.isdir(path):
            listed += sorted(glob.glob(os.path.join(path, LOG_PATTERN)))
        else:
            listed.append(path)
    return listed


def _show_progress(paths):
    """Yield paths, and show on a terminal how many have been read."""
    shown = sys.stderr.isatty() and len(paths) > 1
    for number, path in enumerate(paths, 1):
        if shown:
            print(
                f'\rreading file {number} of {len(paths)}',
                end='',
                file=sys.stderr,
                flush=True,
            )
        yield path
    if shown:
        print(file=sys.stderr)


def _parse_line(text):
    try:
        fields = json.loads(text)
        time = datetime.datetime.fromisoformat(fields['time']).timestamp()
        return causes.Line(time, fields['instance'], fields['name'], fields)
    except (ValueError, KeyError, TypeError):
        return None


def _parse_time(text, option):
    """Return the POSIX time of an option; None if it is not given."""
    if text is None:
        return None
    try:
        return datetime.datetime.fromisoformat(text).timestamp()
    except ValueError:
        raise exceptions.LogFileError(
            f'{text!r} is not an ISO 8601 time',
            f'pass --{option} as YYYY-MM-DDTHH:MM:SS+00:00',
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

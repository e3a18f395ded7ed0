"""Explain from logs what happened to a request."""

from __future__ import annotations

import datetime
import json
import typing

from persimmonroute.events import Event
from persimmonroute import exceptions

# Events of a process that can explain the end of a request beside it.
CONTEXT_EVENTS = frozenset(
    event.name
    for event in (
        Event.PLATFORM_UNAVAILABLE,
        Event.PROCESS_STARTED,
        Event.PROCESS_STOPPING,
        Event.RUNNER_GONE,
        Event.LINES_DROPPED,
    )
)
# Clocks of instances may differ by this much without being wrong.
CLOCK_SLACK_S = 5.0


class Line(typing.NamedTuple):
    """Hold one log line."""

    time: float
    instance: str
    name: str
    fields: dict


class Cause(typing.NamedTuple):
    """Name the cause of a request's end."""

    kind: str
    sentence: str
    certain: bool


class Explanation(typing.NamedTuple):
    """Hold all that the logs tell of one request."""

    request: str
    lines: tuple[Line, ...]
    cause: Cause
    torn_lines: int


class LogFiles:
    """Read log lines of several processes."""

    def __init__(self):
        self.by_request: dict[str, list[Line]] = {}
        self.context: list[Line] = []
        self.torn_lines = 0

    def read(self, path, since=None):
        """Read a file; lines before a time in seconds are passed over."""
        try:
            with open(path, encoding='utf-8', errors='replace') as file:
                for text in file:
                    self.add(text, since)
        except OSError as error:
            raise exceptions.LogFileError(f'cannot read {path}: {error}')

    def add(self, text, since=None):
        """Add one line; what stands before its JSON is passed over."""
        start = text.find('{"')
        if start < 0:
            return
        line = _parse(text[start:])
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
        """Return the Explanation of a request."""
        lines = sorted(
            self.by_request.get(request, ()), key=lambda line: line.time
        )
        return Explanation(
            request,
            tuple(lines),
            find_cause(lines, self.context),
            self.torn_lines,
        )


async def explain(request, paths, since=None, as_json=False):
    """Print the way of a request through the logs and its cause."""
    files = LogFiles()
    start = None if since is None else _read_time(since)
    for path in paths:
        files.read(path, start)
    account = files.explain(request)
    print(_format_json(account) if as_json else _format_text(account))


def find_cause(lines, context):
    """Return the cause of the end of a request."""
    if not lines:
        return Cause(
            'unknown',
            'no line names this request: it reached no process whose log'
            ' was given, or its lines were left out',
            False,
        )
    last = lines[-1]
    finder = FINDERS.get(last.name)
    if finder is not None:
        return finder(last, lines, context)
    return _find_interrupted(last, context)


def _find_rejected(last, lines, context):
    fields = last.fields
    status, reason = fields['status'], fields['reason']
    detail = f' ({fields["detail"]})' if fields.get('detail') else ''
    if status == 429:
        return Cause('quota', f'the workspace used up its quota{detail}', True)
    if status in (401, 404):
        belief = f'version {fields["version"]}, {fields["age_s"]} s old'
        return Cause('denied', f'{reason}, by configuration {belief}', True)
    failed = [ln for ln in lines if ln.name == 'GATEWAY_ATTEMPT_FAILED']
    if status in (502, 504):
        return _find_unknown_outcome(last, lines, failed)
    if reason in ('keys cannot be confirmed', 'no configuration is known yet'):
        return _find_old_configuration(last, context)
    if failed:
        ending = failed[-1].fields['ending']
        return Cause(
            f'endpoint {ending}',
            f'endpoint {failed[-1].fields["runner"]}: '
            f'{failed[-1].fields["problem"]}; it had not run',
            True,
        )
    kind = 'overload' if reason == 'overloaded' else 'refused'
    return Cause(kind, f'refused before it ran: {reason}{detail}', True)


def _find_unknown_outcome(last, lines, failed):
    if failed:
        fields = failed[-1].fields
        return Cause(
            f'endpoint {fields["ending"]}',
            f'endpoint {fields["runner"]} was sent the request, then:'
            f' {fields["problem"]}; it may have run',
            True,
        )
    sent = [line for line in lines if line.name == 'GATEWAY_SENT']
    runner = sent[-1].fields['runner'] if sent else 'no endpoint'
    return Cause(
        'endpoint silent',
        f'{runner} did not answer before the time limit; it may have run',
        True,
    )


def _find_old_configuration(last, context):
    down = [
        line
        for line in context
        if line.instance == last.instance
        and line.name == Event.PLATFORM_UNAVAILABLE.name
        and line.time <= last.time
    ]
    since = f' since {_clock(down[-1].time)}' if down else ''
    return Cause(
        'store unreachable',
        f'{last.instance} has not confirmed its configuration for'
        f' {last.fields["age_s"]} s; it does not reach the store{since}',
        bool(down),
    )


def _find_answered(last, lines, context):
    status = last.fields['status']
    if status >= 500:
        return Cause(
            'endpoint failed',
            f'endpoint {last.fields["runner"]} answered {status}',
            True,
        )
    return Cause('answered', f'answered with status {status}', True)


def _find_broken_off(last, lines, context):
    failed = [ln for ln in lines if ln.name == 'GATEWAY_ATTEMPT_FAILED']
    if failed:
        ending = failed[-1].fields['ending']
        runner = failed[-1].fields['runner']
        return Cause(
            f'endpoint {ending}',
            f'the stream broke off midway: endpoint {runner}:'
            f' {failed[-1].fields["problem"]}',
            True,
        )
    return Cause(
        'time limit',
        'the stream was cut at its time limit; the last bytes came'
        f' {last.fields["quiet_s"]} s before',
        True,
    )


def _find_disconnected(last, lines, context):
    return Cause('caller gone', 'the caller closed its connection', True)


def _find_interrupted(last, context):
    later = [
        line
        for line in context
        if line.instance == last.instance and line.time >= last.time
    ]
    for line in sorted(later, key=lambda line: line.time):
        if line.name == Event.PROCESS_STARTED.name:
            return Cause(
                'gateway restarted',
                f'{last.instance} ended without notice and started again at'
                f' {_clock(line.time)} while the request was in progress',
                True,
            )
    return Cause(
        'unknown',
        f'the logs end at {last.instance} with the request in progress:'
        ' the process was lost, or its lines were left out',
        False,
    )


FINDERS = {
    'GATEWAY_REJECTED': _find_rejected,
    'GATEWAY_ANSWERED': _find_answered,
    'GATEWAY_BROKEN_OFF': _find_broken_off,
    'CALLER_GONE': _find_disconnected,
}


def _parse(text):
    try:
        fields = json.loads(text)
        time = datetime.datetime.fromisoformat(fields['time']).timestamp()
        return Line(time, fields['instance'], fields['name'], fields)
    except (ValueError, KeyError, TypeError):
        return None


def _read_time(text):
    try:
        return datetime.datetime.fromisoformat(text).timestamp()
    except ValueError:
        raise exceptions.LogFileError(
            f'{text!r} is not a time',
            'give --since as YYYY-MM-DDTHH:MM:SS+00:00',
        )


def _clock(seconds):
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return moment.strftime('%H:%M:%S.%f')[:-3]


def _format_text(account):
    lines = [
        f'{_clock(line.time)}  {line.instance}  {line.name}  '
        + ' '.join(f'{k}={v}' for k, v in _details(line).items())
        for line in account.lines
    ]
    certain = 'cause' if account.cause.certain else 'probable cause'
    lines.append(f'{certain}: {account.cause.sentence}')
    if account.torn_lines:
        lines.append(f'{account.torn_lines} torn lines were passed over')
    instances = {line.instance for line in account.lines}
    if len(instances) > 1:
        lines.append(
            f'times of {len(instances)} instances are compared; their clocks'
            f' may differ by up to {CLOCK_SLACK_S:.0f} s'
        )
    return '\n'.join(lines)


def _format_json(account):
    return json.dumps(
        {
            'request': account.request,
            'cause': account.cause._asdict(),
            'lines': [line.fields for line in account.lines],
            'torn_lines': account.torn_lines,
        }
    )


def _details(line):
    common = ('time', 'level', 'instance', 'event', 'name', 'module')
    return {
        name: value
        for name, value in line.fields.items()
        if name not in (*common, 'request')
    }

"""Find the cause of a request's outcome in its log lines."""

from __future__ import annotations

import datetime
import typing

from persimmonroute.events import Event


class Line(typing.NamedTuple):
    """Store one parsed log line."""

    time: float
    instance: str
    name: str
    fields: dict


class Cause(typing.NamedTuple):
    """Describe the cause of a request's outcome."""

    kind: str
    sentence: str
    certain: bool


def find_cause(lines, context):
    """Return the Cause of a request's outcome."""
    if not lines:
        return Cause(
            'unknown',
            'no log line mentions this request: it reached none of the'
            ' processes whose logs were read, or its lines were dropped',
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
        return Cause(
            'quota', f'the workspace exceeded its quota{detail}', True
        )
    if status in (401, 404):
        configuration = f'version {fields["version"]}, {fields["age_s"]} s old'
        return Cause(
            'denied',
            f'{reason}, according to configuration {configuration}',
            True,
        )
    failed_attempts = _of_event(lines, Event.GATEWAY_ATTEMPT_FAILED)
    if status in (502, 504):
        return _find_unknown_outcome(last, lines, failed_attempts)
    if reason in ('keys cannot be confirmed', 'no configuration is known yet'):
        return _find_old_configuration(last, context)
    if failed_attempts:
        ending = failed_attempts[-1].fields['ending']
        return Cause(
            f'endpoint {ending}',
            f'endpoint {failed_attempts[-1].fields["runner"]}: '
            f'{failed_attempts[-1].fields["problem"]}; the request did'
            ' not run',
            True,
        )
    kind = 'overload' if reason == 'overloaded' else 'refused'
    return Cause(
        kind, f'the request was rejected before it ran: {reason}{detail}', True
    )


def _find_unknown_outcome(last, lines, failed_attempts):
    if failed_attempts:
        fields = failed_attempts[-1].fields
        return Cause(
            f'endpoint {fields["ending"]}',
            f'the request was sent to endpoint {fields["runner"]}, then:'
            f' {fields["problem"]}; the request may have run',
            True,
        )
    sent = _of_event(lines, Event.GATEWAY_SENT)
    runner = sent[-1].fields['runner'] if sent else 'no endpoint'
    return Cause(
        'endpoint silent',
        f'{runner} did not respond within the time limit; the request may'
        ' have run',
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
    since = f', unavailable since {format_time(down[-1].time)}' if down else ''
    return Cause(
        'store unreachable',
        f'{last.instance} has not confirmed its configuration for'
        f' {last.fields["age_s"]} s; it cannot reach the store{since}',
        bool(down),
    )


def _find_answered(last, lines, context):
    status = last.fields['status']
    if status >= 500:
        return Cause(
            'endpoint failed',
            f'endpoint {last.fields["runner"]} returned status {status}',
            True,
        )
    return Cause('answered', f'answered with status {status}', True)


def _find_broken_off(last, lines, context):
    failed_attempts = _of_event(lines, Event.GATEWAY_ATTEMPT_FAILED)
    if failed_attempts:
        ending = failed_attempts[-1].fields['ending']
        runner = failed_attempts[-1].fields['runner']
        return Cause(
            f'endpoint {ending}',
            f'the stream was interrupted: endpoint {runner}:'
            f' {failed_attempts[-1].fields["problem"]}',
            True,
        )
    return Cause(
        'time limit',
        'the stream was terminated at its time limit; the last bytes'
        f' arrived {last.fields["quiet_s"]} s earlier',
        True,
    )


def _find_disconnected(last, lines, context):
    sent = _of_event(lines, Event.GATEWAY_SENT)
    if sent:
        progress = (
            f'{last.time - sent[-1].time:.3f} s after the request was sent to'
            f' endpoint {sent[-1].fields["runner"]}'
        )
    else:
        progress = 'before the request was sent; it did not run'
        silent = _of_event(lines, Event.ADMISSION_HOST_SILENT)
        if silent:
            host = silent[-1].fields.get('host')
            progress += f'; gateway {host} had not granted an endpoint'
    return Cause(
        'caller gone', f'the caller closed its connection {progress}', True
    )


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
                f'{last.instance} ended unexpectedly and was restarted at'
                f' {format_time(line.time)} with the request in progress',
                True,
            )
    return Cause(
        'unknown',
        f'the log of {last.instance} ends with the request in progress:'
        ' the process crashed, or its lines were dropped',
        False,
    )


FINDERS = {
    'GATEWAY_REJECTED': _find_rejected,
    'GATEWAY_ANSWERED': _find_answered,
    'GATEWAY_BROKEN_OFF': _find_broken_off,
    'CALLER_GONE': _find_disconnected,
}


def _of_event(lines, event):
    return [line for line in lines if line.name == event.name]


def format_time(seconds):
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return moment.strftime('%H:%M:%S.%f')[:-3]

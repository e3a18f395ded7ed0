"""Find the cause of a request's outcome in its log lines."""

from __future__ import annotations

import collections
import datetime
import math
import typing

from persimmonroute.entry import endings
from persimmonroute.entry import stopping
from persimmonroute.events import Event
from persimmonroute.gateway import admission
from persimmonroute.gateway import model
from persimmonroute.gateway import runners
from persimmonroute.gateway import scheduler

STOP_REASONS = frozenset(
    (
        model.STOPPING.reason,
        model.STOPPED.reason,
        stopping.STOPPING,
        stopping.STOPPED,
    )
)
# Route of requests that were rejected on arrival.
NO_ROUTE = '-'
# Problem of calls whose caller left an entry.
CALLER_CLOSED = 'caller closed the connection'
# Reasons of a gateway whose configuration is too old, and a part of others.
UNCONFIRMED_REASONS = frozenset(
    (admission.UNCONFIRMED_KEYS, admission.NO_CONFIGURATION)
)
UNCONFIRMED = admission.TOO_OLD
# Kinds of requests that were refused before they ran, by the reason.
REFUSALS = {
    scheduler.OVERLOADED: 'overload',
    model.TIMEOUT_WHILE_QUEUED.reason: 'queue timeout',
    admission.CRASHES_ENDPOINTS.reason: 'quarantine',
    model.VERSION_GONE.reason: 'version gone',
    model.STREAM_UNKNOWN.reason: 'version unknown',
}
# Time after which endpoints that a restored store lacks have been removed, and
# a margin.
RESTORED_LAPSE_S = 2 * runners.LAPSE_S
# What became of an endpoint that is not usable.
MISSING = {
    'gone': 'was removed',
    'lost': 'was removed after the store came back from an older copy',
    'leaves': 'said that it leaves',
    'pauses': 'asked for a pause',
}
# Events of a process that tell how long ago a request arrived.
ARRIVAL_EVENTS = frozenset(
    event.name for event in (Event.GATEWAY_SENT, Event.REQUEST_ENDED_BY_STOP)
)
# Events of the last response to a request.
FINAL_EVENTS = frozenset(
    event.name
    for event in (
        Event.GATEWAY_ANSWERED,
        Event.GATEWAY_REJECTED,
        Event.GATEWAY_BROKEN_OFF,
        Event.CALLER_GONE,
        Event.REQUEST_ENDED,
    )
)
# Events of responses that a rollout may have part in.
REFUSED_OR_FAILED = frozenset(
    event.name
    for event in (
        Event.GATEWAY_ANSWERED,
        Event.GATEWAY_REJECTED,
        Event.GATEWAY_BROKEN_OFF,
    )
)
# Phase of a rollout that limits no request any more.
COMPLETED = 'completed'
# Events after which no request of before is in progress.
PROCESS_ENDS = frozenset(
    event.name for event in (Event.PROCESS_STARTED, Event.PROCESS_STOPPED)
)


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
    lines = _find_last_try(lines)
    last = lines[-1]
    finder = FINDERS.get(last.name)
    if finder is None:
        return _find_interrupted(last, lines, context)
    try:
        cause = finder(last, lines, context)
        return _mention_rollout(cause, last, lines, context)
    except KeyError as error:
        return Cause(
            'unknown',
            f'the line {last.name} or one before it lacks the field'
            f' {error.args[0]}: another release may have written it',
            False,
        )


def _find_last_try(lines):
    """Return the lines since the last response to the same request.

    Callers may send it again, and to other processes.
    """
    own = [line for line in lines if line.instance == lines[-1].instance]
    for index in range(len(own) - 1, 0, -1):
        if own[index - 1].name in FINAL_EVENTS:
            return own[index:]
    return own


def _find_rejected(last, lines, context):
    fields = last.fields
    status, reason = fields['status'], fields['reason']
    detail = f' ({fields["detail"]})' if fields.get('detail') else ''
    failed = _find_failed_attempt(lines)
    if status == 502 and reason == model.STOPPING.reason and failed:
        cause = _find_unknown_outcome(last, lines)
        untried = 'no other endpoint was tried, since the gateway was stopping'
        return cause._replace(sentence=f'{cause.sentence}; {untried}')
    if reason in STOP_REASONS:
        arrived_at = last.time if fields.get('route') == NO_ROUTE else None
        return _find_stopped(last, lines, context, arrived_at, status != 503)
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
    if status in (502, 504):
        return _find_unknown_outcome(last, lines)
    failed_attempts = _of_event(lines, Event.GATEWAY_ATTEMPT_FAILED)
    if reason in UNCONFIRMED_REASONS or UNCONFIRMED in reason:
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
    if reason == scheduler.NO_ENDPOINT:
        cause = _find_missing_endpoints(last, context)
        if cause is not None:
            return cause
    kind = REFUSALS.get(reason, 'refused')
    return Cause(
        kind, f'the request was rejected before it ran: {reason}{detail}', True
    )


def _find_missing_endpoints(last, context):
    """Return the Cause of a request that found no endpoint.

    None if no line tells why. The line of the request does not name its
    service, so the cause is only probable.
    """
    reasons = {}
    restored_at = -math.inf
    for line in _of_instance(context, last):
        runner = line.fields.get('runner')
        if line.name == Event.STORE_RESTORED.name:
            restored_at = line.time
        elif line.name == Event.RUNNER_GONE.name:
            reasons[runner] = 'gone'
            if line.time - restored_at <= RESTORED_LAPSE_S:
                reasons[runner] = 'lost'
        elif line.name == Event.RUNNER_CHANGED.name:
            reasons[runner] = 'leaves' if line.fields['leaving'] else None
        elif line.name == Event.RUNNER_CLOSED.name:
            if line.time + line.fields['retry_after_s'] > last.time:
                reasons[runner] = reasons.get(runner) or 'pauses'
        elif line.name == Event.PROCESS_STARTED.name:
            reasons.clear()
    named = {name: why for name, why in reasons.items() if why is not None}
    if not named:
        if last.time - restored_at > RESTORED_LAPSE_S:
            return None
        return Cause(
            'store restored',
            f'{last.instance} knew no usable endpoint after the store came'
            f' back from an older copy at {format_time(restored_at)}; the'
            ' request did not run',
            False,
        )
    why = collections.Counter(named.values()).most_common(1)[0][0]
    listed = ', '.join(f'{name} {MISSING[w]}' for name, w in named.items())
    return Cause(
        'store restored' if why == 'lost' else f'endpoint {why}',
        f'{last.instance} knew no usable endpoint: {listed}; the request did'
        ' not run',
        False,
    )


def _mention_rollout(cause, last, lines, context):
    """Add the rollout that a refused or failed request fell into."""
    if last.name not in REFUSED_OR_FAILED:
        return cause
    fields = last.fields
    if fields.get('status', 500) < 500:
        return cause
    rollouts = {}
    for line in _of_instance(context, last):
        if line.name == Event.PROCESS_STARTED.name:
            rollouts.clear()
        elif line.name == Event.ROLLOUT_ORDERED.name:
            rollouts[line.fields['service']] = line.fields['target'], 'waiting'
        elif line.name == Event.ROLLOUT_STORED.name:
            rollouts[line.fields['service']] = (
                line.fields['target'],
                line.fields['phase'],
            )
    sent = _of_event(lines, Event.GATEWAY_SENT)
    used = sent[-1].fields.get('runner_version') if sent else None
    without = not sent and fields.get('reason') == scheduler.NO_ENDPOINT
    for service, (target, phase) in sorted(rollouts.items()):
        if phase == COMPLETED:
            continue
        if without or used == target:
            return cause._replace(
                sentence=f'{cause.sentence}; version {target} of {service} was'
                f' in a rollout (phase {phase})'
            )
    return cause


def _find_unknown_outcome(last, lines):
    failed = _find_failed_attempt(lines)
    if failed is not None:
        fields = failed.fields
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
    age_s = last.fields['age_s']
    told = (
        f'{last.fields["reason"]}: {last.instance} has not confirmed its'
        f' configuration for {age_s} s'
    )
    own = _of_instance(context, last)
    since = last.time - age_s
    restored = [
        line
        for line in own
        if line.name == Event.STORE_RESTORED.name and line.time >= since
    ]
    down = _find_outage(own, since)
    if down is not None and not restored:
        began = format_time(down.time)
        outage = f'it cannot reach the store, unavailable since {began}'
        back = _find_return(own, down)
        if back is not None:
            outage = (
                f'the store was unavailable from {began} to'
                f' {format_time(back.time)}'
            )
        return Cause('store unreachable', f'{told}; {outage}', True)
    if restored:
        return Cause(
            'store restored',
            f'{told}; the store came back from an older copy at'
            f' {format_time(restored[-1].time)}',
            down is None,
        )
    return Cause(
        'store unreachable', f'{told}; it may not reach the store', False
    )


def _find_outage(lines, since):
    """Return the line of the last outage of the store that reached a time."""
    began = {}
    for line in lines:
        table = line.fields.get('table')
        if line.name == Event.PLATFORM_UNAVAILABLE.name:
            began[table] = line
        elif line.name == Event.PLATFORM_AVAILABLE.name and line.time < since:
            began.pop(table, None)
        elif line.name == Event.PROCESS_STARTED.name:
            began.clear()
    return min(began.values(), key=lambda line: line.time, default=None)


def _find_return(lines, down):
    """Return the line of the end of an outage, or None if it goes on."""
    for line in lines:
        if (
            line.name == Event.PLATFORM_AVAILABLE.name
            and line.time >= down.time
            and line.fields.get('table') == down.fields.get('table')
        ):
            return line
    return None


def _of_instance(context, last):
    """Return the lines of a process before one of it, by time."""
    return sorted(
        (
            line
            for line in context
            if line.instance == last.instance and line.time <= last.time
        ),
        key=lambda line: line.time,
    )


def _find_answered(last, lines, context):
    status = last.fields['status']
    if status >= 500:
        runner = last.fields.get('runner')
        failed = _find_failed_attempt(lines)
        if runner is None and failed is not None:
            # The answer was kept while another endpoint was looked for.
            runner = failed.fields['runner']
        return Cause(
            'endpoint failed',
            f'endpoint {runner} returned status {status}',
            True,
        )
    return Cause('answered', f'answered with status {status}', True)


def _find_broken_off(last, lines, context):
    if last.fields['problem'] in STOP_REASONS:
        return _find_stopped(last, lines, context, None, True)
    failed = _find_failed_attempt(lines)
    if failed is not None:
        fields = failed.fields
        return Cause(
            f'endpoint {fields["ending"]}',
            f'the stream was interrupted: endpoint {fields["runner"]}:'
            f' {fields["problem"]}',
            True,
        )
    return Cause(
        'time limit',
        'the stream was terminated at its time limit; the last bytes'
        f' arrived {last.fields["quiet_s"]} s earlier',
        True,
    )


def _find_failed_attempt(lines):
    """Return the line of the last attempt if it failed; None if it did not."""
    for line in reversed(lines):
        if line.name == Event.GATEWAY_ATTEMPT_FAILED.name:
            return line
        if line.name == Event.GATEWAY_SENT.name:
            return None
    return None


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


def _find_call_ended(last, lines, context):
    """Return the Cause of the final response of an entry."""
    fields = last.fields
    outcome, status, problem = (
        fields[name] for name in ('outcome', 'status', 'problem')
    )
    if outcome == 'completed':
        kind = 'endpoint failed' if status >= 500 else 'answered'
        return Cause(kind, f'answered with status {status}', True)
    may_have_run = outcome == 'unknown'
    if problem in STOP_REASONS:
        return _find_stopped(last, lines, context, lines[0].time, may_have_run)
    if may_have_run:
        kind = 'outcome unknown'
    elif problem == endings.NO_ENDPOINT:
        kind = 'overload'
    else:
        kind = 'refused' if status == 503 else 'denied'
    if problem == CALLER_CLOSED:
        kind = 'caller gone'
    return Cause(
        kind, f'{problem}; the request {_tell_run(may_have_run)}', True
    )


def _find_ended_by_stop(last, lines, context):
    return _find_stopped(
        last, lines, context, None, last.fields['may_have_run']
    )


def _find_stopped(last, lines, context, arrived_at, may_have_run):
    """Return the Cause of a request that a planned stop ended.

    arrived_at is None if only other lines tell when the request arrived.
    """
    name = last.instance
    run = f'the request {_tell_run(may_have_run)}'
    sent = _of_event(lines, Event.GATEWAY_SENT)
    if sent and may_have_run:
        run += f' at endpoint {sent[-1].fields["runner"]}'
    signal = _find_signal(last, context)
    if signal is None:
        return Cause(
            'stop',
            f'{name} was stopped as planned, no line tells when; {run}',
            True,
        )
    signal_s = signal.time
    if arrived_at is None:
        arrived_at = _find_arrival(lines)
    what = (
        'stream' if last.name == Event.GATEWAY_BROKEN_OFF.name else 'request'
    )
    ended = f'the {what} was ended' if may_have_run else 'it was refused'
    parts = [f'{name} was stopped as planned at {format_time(signal_s)}']
    if arrived_at == last.time:
        ended = 'the request arrived and was refused'
    elif arrived_at is not None:
        parts.append(
            f'the request was taken {_tell_distance(arrived_at, signal_s)}'
        )
    elif not may_have_run:
        ended = 'the request waited and was refused'
    if last.name in PROCESS_ENDS:
        ended = 'it was open when the process ended, at the latest'
    parts.append(f'{ended} {_tell_distance(last.time, signal_s)}')
    parts.append(run)
    return Cause('stop', '; '.join(parts), True)


def _find_signal(last, context):
    """Return the line of the stop of a process before a line, or None."""
    before = [
        line
        for line in context
        if line.instance == last.instance and line.time <= last.time
    ]
    signal = None
    for line in sorted(before, key=lambda line: line.time):
        if line.name == Event.PROCESS_STOPPING.name:
            signal = line
        elif line.name == Event.PROCESS_STARTED.name:
            signal = None
    return signal


def _find_arrival(lines):
    """Return when a request arrived at a gateway; None if no line tells."""
    for line in lines:
        for field in ('waited_s', 'age_s'):
            if line.name in ARRIVAL_EVENTS and field in line.fields:
                return line.time - line.fields[field]
    return None


def _tell_distance(time, signal_s):
    if time < signal_s:
        return f'{signal_s - time:.3f} s before the signal'
    return f'{time - signal_s:.3f} s after the signal'


def _tell_run(may_have_run):
    return 'may have run' if may_have_run else 'did not run'


def _find_interrupted(last, lines, context):
    later = [
        line
        for line in context
        if line.instance == last.instance
        and line.time >= last.time
        and line.name in PROCESS_ENDS
    ]
    ended = min(later, key=lambda line: line.time, default=None)
    if ended is not None:
        cause = _find_ended_process(ended, last, lines, context)
        dropped = [
            line
            for line in context
            if line.instance == last.instance
            and line.name == Event.LINES_DROPPED.name
            and last.time <= line.time <= ended.time
        ]
        if ended.name == Event.PROCESS_STOPPED.name and not dropped:
            return cause
        # A process that is killed has not written its newest lines.
        return cause._replace(
            sentence=f'{cause.sentence}, unless its last line was dropped',
            certain=False,
        )
    return Cause(
        'unknown',
        f'the log of {last.instance} ends with the request in progress:'
        ' the process crashed, or its lines were dropped',
        False,
    )


def _find_ended_process(ended, last, lines, context):
    """Return the Cause of a request that was open when its process ended."""
    earlier = [line for line in context if line is not ended]
    signal = _find_signal(ended, earlier)
    if signal is not None:
        sent = _of_event(lines, Event.GATEWAY_SENT)
        # Entries do not log by default that a call was granted.
        offered = _of_event(lines, Event.REQUEST_ROUTED)
        killed = ended.name == Event.PROCESS_STARTED.name
        return _find_stopped(
            ended, lines, earlier, None, bool(sent or offered or killed)
        )
    return Cause(
        'gateway restarted',
        f'{last.instance} ended unexpectedly and was restarted at'
        f' {format_time(ended.time)} with the request in progress',
        True,
    )


def _find_fault(last, lines, context):
    may_have_run = bool(_of_event(lines, Event.GATEWAY_SENT))
    return Cause(
        'gateway fault',
        f'an unexpected error of {last.instance}: {last.fields["problem"]};'
        f' the request {_tell_run(may_have_run)}',
        # The request may have gone on.
        False,
    )


FINDERS = {
    'GATEWAY_REJECTED': _find_rejected,
    'GATEWAY_ANSWERED': _find_answered,
    'GATEWAY_BROKEN_OFF': _find_broken_off,
    'CALLER_GONE': _find_disconnected,
    'GATEWAY_FAULT': _find_fault,
    'REQUEST_ENDED': _find_call_ended,
    'REQUEST_ENDED_BY_STOP': _find_ended_by_stop,
}


def _of_event(lines, event):
    return [line for line in lines if line.name == event.name]


def format_time(seconds):
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return moment.strftime('%H:%M:%S.%f')[:-3]

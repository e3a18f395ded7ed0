"""Log events through loguru."""

from __future__ import annotations

import datetime
import json
import sys

from loguru import logger

from persimmonroute.events import Event
from persimmonroute import log_writer

# Fields of every record, in addition to those of its event.
COMMON_FIELDS = ('instance', 'event', 'name', 'module')
WARNING_LEVEL_NUMBER = 30


class LogOutput:
    """Store the log writer of the process."""

    writer: log_writer.BoundedWriter | None = None


def setup_logs(instance, level='INFO', log_format='human', sink=None):
    """Set up logging to a sink without blocking on its reader.

    The sink defaults to standard output for JSON lines and to standard
    error for human-readable lines.
    """
    close_logs()
    logger.remove()
    logger.configure(extra={'instance': instance})
    if log_format == 'json':
        stream = sink or sys.stdout
        line_format, format_dropped = _json_line, _json_dropped
    else:
        stream = sink or sys.stderr
        line_format, format_dropped = _human_line, _human_dropped
    writer = log_writer.BoundedWriter(
        stream, lambda count: format_dropped(instance, count)
    )
    LogOutput.writer = writer

    def write(message):
        is_failure = message.record['level'].no >= WARNING_LEVEL_NUMBER
        writer.put(str(message), is_failure)

    logger.add(write, level=level, format=line_format, colorize=False)


def close_logs():
    """Flush queued lines and close the log writer."""
    if LogOutput.writer is not None:
        LogOutput.writer.close()
        LogOutput.writer = None


def count_dropped():
    """Return the number of dropped log lines."""
    return LogOutput.writer.dropped if LogOutput.writer else 0


def _json_dropped(instance, count):
    kind = Event.LINES_DROPPED.value
    fields = {
        'time': datetime.datetime.now(datetime.UTC).isoformat(),
        'level': kind.level,
        'instance': instance,
        'event': kind.number,
        'name': Event.LINES_DROPPED.name,
        'count': count,
    }
    return json.dumps(fields) + '\n'


def _human_dropped(instance, count):
    kind = Event.LINES_DROPPED.value
    return (
        f'{kind.level: <7} {instance} E{kind.number} {kind.summary} '
        f'count={count}\n'
    )


def _json_line(record):
    fields = {
        'time': record['time'].isoformat(),
        'level': record['level'].name,
        **record['extra'],
    }
    if record['exception'] is not None:
        fields['exception'] = repr(record['exception'].value)
    # loguru formats the returned string, so the line is passed as a field.
    record['extra']['line'] = json.dumps(fields, default=str)
    return '{extra[line]}\n'


def _human_line(record):
    extra = record['extra']
    details = ' '.join(
        f'{name}={value}'
        for name, value in extra.items()
        if name not in COMMON_FIELDS
    )
    # loguru formats the returned string, so values are passed as a field.
    extra['details'] = details
    return (
        '{time:YYYY-MM-DD HH:mm:ss.SSS} {level: <7} {extra[instance]}'
        ' {message} {extra[details]}\n{exception}'
    )


class EventLog:
    """Log the events of one module."""

    def __init__(self, module):
        self._module = module

    def emit(self, event, **fields):
        """Log an event with its fields."""
        kind = event.value
        logger.bind(
            event=kind.number, name=event.name, module=self._module, **fields
        ).log(kind.level, f'E{kind.number} {kind.summary}')

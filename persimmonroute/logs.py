"""Write numbered events through loguru."""

from __future__ import annotations

import json
import sys

from loguru import logger

from persimmonroute.events import Event
from persimmonroute import log_writer

# What every record bears beside the fields of its event.
COMMON_FIELDS = ('instance', 'event', 'name', 'module')
WARNING_LEVEL_NUMBER = 30


class LogOutput:
    """Hold the writer of the process."""

    writer: log_writer.BoundedWriter | None = None


def setup_logs(instance, level='INFO', form='human', sink=None):
    """Send log records to the sink, without ever waiting for its reader.

    JSON lines go to standard output by default, others to standard error.
    """
    close_logs()
    logger.remove()
    logger.configure(extra={'instance': instance})
    if form == 'json':
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
        failure = message.record['level'].no >= WARNING_LEVEL_NUMBER
        writer.put(str(message), failure)

    logger.add(write, level=level, format=line_format, colorize=False)


def close_logs():
    """Write what waits to be written."""
    if LogOutput.writer is not None:
        LogOutput.writer.close()
        LogOutput.writer = None


def count_dropped():
    """Return the number of lines that were left out."""
    return LogOutput.writer.dropped if LogOutput.writer else 0


def _json_dropped(instance, count):
    kind = Event.LINES_DROPPED.value
    fields = {
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
    # loguru formats what is returned, so the line travels as a field.
    record['extra']['line'] = json.dumps(fields, default=str)
    return '{extra[line]}\n'


def _human_line(record):
    extra = record['extra']
    details = ' '.join(
        f'{name}={value}'
        for name, value in extra.items()
        if name not in COMMON_FIELDS
    )
    # loguru formats what is returned, so values travel as a field.
    extra['details'] = details
    return (
        '{time:YYYY-MM-DD HH:mm:ss.SSS} {level: <7} {extra[instance]}'
        ' {message} {extra[details]}\n{exception}'
    )


class EventLog:
    """Log events on behalf of one module."""

    def __init__(self, module):
        self._module = module

    def emit(self, event, **fields):
        """Log one event with its fields."""
        kind = event.value
        logger.bind(
            event=kind.number, name=event.name, module=self._module, **fields
        ).log(kind.level, f'E{kind.number} {kind.summary}')

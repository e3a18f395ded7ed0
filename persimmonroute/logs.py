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
    """Hold the writer of the process, if it writes JSON lines."""

    writer: log_writer.BoundedWriter | None = None


def setup_logs(instance, level='INFO', form='human', sink=None):
    """Send log records to the sink.

    JSON lines go to standard output by default, others to standard error.
    """
    logger.remove()
    logger.configure(extra={'instance': instance})
    if form == 'json':
        _setup_json(instance, level, sink or sys.stdout)
        return
    logger.add(
        sink or sys.stderr, level=level, format=_human_line, colorize=False
    )


def close_logs():
    """Write what waits to be written."""
    if LogOutput.writer is not None:
        LogOutput.writer.close()


def count_dropped():
    """Return the number of lines that were left out."""
    return LogOutput.writer.dropped if LogOutput.writer else 0


def _setup_json(instance, level, stream):
    def format_dropped(count):
        kind = Event.LINES_DROPPED.value
        fields = {
            'level': kind.level,
            'instance': instance,
            'event': kind.number,
            'name': Event.LINES_DROPPED.name,
            'count': count,
        }
        return json.dumps(fields) + '\n'

    writer = log_writer.BoundedWriter(stream, format_dropped)
    LogOutput.writer = writer

    def write(message):
        record = message.record
        failure = record['level'].no >= WARNING_LEVEL_NUMBER
        writer.put(_json_line(record), failure)

    logger.add(write, level=level, format='{message}')


def _json_line(record):
    fields = {
        'time': record['time'].isoformat(),
        'level': record['level'].name,
        **record['extra'],
    }
    if record['exception'] is not None:
        fields['exception'] = repr(record['exception'].value)
    return json.dumps(fields, default=str) + '\n'


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

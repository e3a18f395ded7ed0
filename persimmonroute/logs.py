"""Write numbered events through loguru."""

from __future__ import annotations

import json
import sys

from loguru import logger

HUMAN_FORMAT = (
    '{time:YYYY-MM-DD HH:mm:ss.SSS} {level: <7} {extra[instance]} {message}'
)


def setup_logs(instance, level='INFO', form='human', sink=None):
    """Send log records to the sink, standard error by default."""
    logger.remove()
    logger.configure(extra={'instance': instance})
    sink = sink or sys.stderr
    if form == 'json':
        logger.add(lambda m: sink.write(_json_line(m.record)), level=level)
        return
    logger.add(sink, level=level, format=HUMAN_FORMAT, colorize=False)


def _json_line(record):
    fields = {
        'time': record['time'].isoformat(),
        'level': record['level'].name,
        **record['extra'],
    }
    return json.dumps(fields, default=str) + '\n'


class EventLog:
    """Log events on behalf of one module."""

    def __init__(self, module):
        self._module = module

    def emit(self, event, **fields):
        """Log one event with its fields."""
        kind = event.value
        details = ' '.join(f'{k}={v}' for k, v in fields.items())
        logger.bind(
            event=kind.number, name=event.name, module=self._module, **fields
        ).log(
            kind.level,
            'E{number} {summary} {details}',
            number=kind.number,
            summary=kind.summary,
            details=details,
        )

"""Take over changes of a settings file while the process runs."""

from __future__ import annotations

import asyncio
import os

from persimmonroute.config import settings as settings_module
from persimmonroute.events import Event
from persimmonroute import exceptions
from persimmonroute import logs

log = logs.EventLog(__name__)

# The file may also change without a signal.
POLL_S = 2.0


class SettingsReloader:
    """Read the settings again on a signal or when their file changes.

    The process offers apply_settings(settings), which returns the names
    of the settings that it took over.
    """

    def __init__(self, path, settings, process):
        self._path = path
        self._settings = settings
        self._process = process
        self._stamp = _stamp(path)

    def reload(self):
        """Read the file and take over what can change."""
        self._stamp = _stamp(self._path)
        try:
            found = settings_module.load_settings(self._path)
        except exceptions.SettingsError as error:
            log.emit(Event.SETTINGS_REJECTED, problem=error.problem)
            return
        changed = [
            name
            for name in found._fields
            if getattr(found, name) != getattr(self._settings, name)
        ]
        apply = getattr(self._process, 'apply_settings', None)
        applied = apply(found) if apply is not None else ()
        self._settings = found
        log.emit(
            Event.SETTINGS_RELOADED,
            changed=','.join(changed),
            needs_restart=','.join(n for n in changed if n not in applied),
        )

    async def watch(self):
        """Reload whenever the file has changed."""
        while True:
            await asyncio.sleep(POLL_S)
            if _stamp(self._path) != self._stamp:
                self.reload()


def _stamp(path):
    try:
        found = os.stat(path)
    except OSError:
        # A file that is being replaced; it shows at the next look.
        return None
    return found.st_mtime_ns, found.st_size

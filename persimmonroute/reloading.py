"""Reload the settings file of a running process."""

from __future__ import annotations

import asyncio
import os

from persimmonroute.config import settings as settings_module
from persimmonroute import draining
from persimmonroute.events import Event
from persimmonroute import exceptions
from persimmonroute import logs

log = logs.EventLog(__name__)

# Detects changes of the file without a signal.
POLL_INTERVAL_S = 2.0


class SettingsReloader:
    """Reload the settings on a signal or when their file changes.

    A process may define apply_settings(settings), which returns the names
    of the settings that it applied without a restart.
    """

    def __init__(self, path, settings, process, file_version):
        self._path = path
        self._settings = settings
        self._process = process
        # Of the file before its settings were loaded.
        self._file_version = file_version

    def reload(self):
        """Reload the file and apply the settings that need no restart."""
        self._file_version = read_file_version(self._path)
        try:
            loaded = settings_module.load_settings(self._path)
        except exceptions.SettingsError as error:
            log.emit(Event.SETTINGS_REJECTED, problem=error.problem)
            return
        changed = [
            name
            for name in loaded._fields
            if getattr(loaded, name) != getattr(self._settings, name)
        ]
        apply = getattr(self._process, 'apply_settings', None)
        applied = ()
        if apply is not None:
            # Whatever fails here, the process goes on with what it has.
            with draining.guard('apply settings'):
                applied = apply(loaded)
        self._settings = loaded
        log.emit(
            Event.SETTINGS_RELOADED,
            changed=','.join(changed),
            needs_restart=','.join(n for n in changed if n not in applied),
        )

    async def watch(self):
        """Poll the file and reload it whenever it has changed."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            if read_file_version(self._path) != self._file_version:
                self.reload()


def read_file_version(path):
    """Return what changes with a file, or None if it is not there."""
    try:
        status = os.stat(path)
    except OSError:
        # The file is being replaced; the next poll finds the new one.
        return None
    return status.st_mtime_ns, status.st_size

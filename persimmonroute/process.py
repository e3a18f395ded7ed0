"""Run one process of the system.

Usage:
  persimmonrouted --config FILE [--check-config]
  persimmonrouted --version

Options:
  --config FILE   Settings of the process, in JSON.
  --check-config  Validate the settings and exit.
"""

from __future__ import annotations

import asyncio
import importlib
import signal
import sys

import docopt

import persimmonroute
from persimmonroute import background
from persimmonroute.config import settings as settings_module
from persimmonroute.events import Event
from persimmonroute import exceptions
from persimmonroute import logs
from persimmonroute import loop_errors
from persimmonroute import loop_lanes
from persimmonroute import memory_allocation
from persimmonroute import process_exit
from persimmonroute import reloading
from persimmonroute import startup_signals

log = logs.EventLog(__name__)

# Modules are imported per role, since a gateway has little memory and needs
# neither gRPC nor TLS.
BUILDERS = {
    'entry': ('persimmonroute.composition', 'build_entry'),
    'sidecar': ('persimmonroute.composition', 'build_sidecar'),
    'gateway': ('persimmonroute.gateway_composition', 'build_gateway'),
}


def build_process(settings):
    """Build the process of the role given in the settings."""
    module, function = BUILDERS[settings.role]
    return getattr(importlib.import_module(module), function)(settings)


def main(argv, signals):
    """Run the daemon; return its exit status unless it was stopped.

    A process that was stopped has ended instead. signals are the
    StartupSignals that it was started with.
    """
    memory_allocation.return_large_blocks()
    arguments = docopt.docopt(
        __doc__, argv, version=persimmonroute.__version__
    )
    path = arguments['--config']
    # A change of the file after this is read again.
    file_version = reloading.read_file_version(path) if path else None
    try:
        settings = settings_module.load_settings(path)
    except exceptions.SettingsError as error:
        print(error, file=sys.stderr)
        return 2
    if arguments['--check-config']:
        print('settings are valid')
        return 0
    logs.setup_logs(settings.instance, settings.log_level, settings.log_format)
    try:
        with asyncio.Runner(loop_factory=loop_lanes.LaneLoop) as runner:
            runner.run(_run(path, file_version, settings, signals))
    finally:
        logs.close_logs()
    return 0


async def _run(path, file_version, settings, signals):
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(loop_errors.LoopErrorLog().handle)
    ending = process_exit.ProcessExit()

    def begin_stop():
        ending.begin(settings.stop_grace_s)
        stop.set()

    for signal_number in startup_signals.STOP_SIGNALS:
        signals.hand_over(loop, signal_number, begin_stop)
    if stop.is_set():
        # Nothing is served yet.
        log.emit(Event.PROCESS_STOPPED)
        ending.finish()
        return
    process = build_process(settings)
    reloader = reloading.SettingsReloader(
        path, settings, process, file_version
    )
    signals.hand_over(loop, signal.SIGHUP, reloader.reload)
    watch_task = asyncio.create_task(background.run_forever(reloader.watch))
    await process.run(stop)
    watch_task.cancel()
    ending.finish()

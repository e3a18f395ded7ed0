"""Hold signals until a process can handle them.

The imports of a role take most of a process's start. A signal without a
handler would end the process meanwhile.
"""

from __future__ import annotations

import signal

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class StartupSignals:
    """Remember the signals that arrive before the event loop runs."""

    def __init__(self):
        self._received = set()

    def hold(self):
        """Remember signals from now on."""
        for signal_number in (signal.SIGHUP, *STOP_SIGNALS):
            signal.signal(signal_number, self._record)

    def hand_over(self, loop, signal_number, callback):
        """Let a loop handle a signal, and one that has arrived already."""
        loop.add_signal_handler(signal_number, callback)
        if signal_number in self._received:
            callback()

    def _record(self, signal_number, frame):
        self._received.add(signal_number)

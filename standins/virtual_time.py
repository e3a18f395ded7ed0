"""Run an event loop on a simulated time."""

from __future__ import annotations

import asyncio
import contextlib
import selectors
from unittest import mock

from persimmonroute import clock

START_S = 1000.0


class SkippingSelector(selectors.DefaultSelector):
    """Skip each wait, and count its time as passed."""

    def __init__(self):
        super().__init__()
        self.now_s = START_S

    def select(self, timeout=None):
        """Return what is ready; nothing else can wake up a simulation."""
        if timeout is None:
            raise RuntimeError('the simulation waits for ever')
        self.now_s += max(timeout, 0.0)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Run callbacks in the order of their simulated times."""

    def __init__(self):
        self._skipping_selector = SkippingSelector()
        super().__init__(self._skipping_selector)

    def time(self):
        """Return the simulated time in seconds."""
        return self._skipping_selector.now_s


@contextlib.contextmanager
def loop():
    """Provide a loop whose time is also that of the gateway's clock."""
    built = VirtualTimeLoop()
    try:
        with mock.patch.object(clock, 'now_s', built.time):
            yield built
    finally:
        built.close()

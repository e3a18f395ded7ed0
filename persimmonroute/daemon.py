"""Start one process of the system."""

from __future__ import annotations

import importlib
import sys

from persimmonroute import startup_signals


def main(argv=None):
    """Run the daemon and return its exit status."""
    signals = startup_signals.StartupSignals()
    signals.hold()
    # Everything else is imported while signals are held.
    process = importlib.import_module('persimmonroute.process')
    return process.main(argv, signals)


if __name__ == '__main__':
    sys.exit(main())

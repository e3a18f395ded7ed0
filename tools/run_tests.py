"""Run all checks and print one closing line.

Usage: run_tests [options] [PATTERN]

Options:
  --no-lint  Leave out the linter, formatter and generated code.
"""

from __future__ import annotations

import subprocess
import sys
import typing
import unittest

import docopt

from tools import known_red

ROOT = known_red.PATH.parent
SOURCES = ['persimmonroute', 'standins', 'tools', 'spec']


class Check(typing.NamedTuple):
    """Name a command that must succeed."""

    name: str
    command: list[str]


CHECKS = [
    Check('lint', [sys.executable, '-m', 'flake8', *SOURCES]),
    Check('format', [sys.executable, '-m', 'ruff', 'format', '--check', '.']),
    Check('generated', [sys.executable, '-m', 'tools.generate', '--check']),
]


class TestRun(typing.NamedTuple):
    """Count the ends of all checks and tests."""

    passed: int
    failed: int
    known: int


def run_checks():
    """Return the names of the checks that failed."""
    failed = []
    for check in CHECKS:
        ended = subprocess.run(check.command, cwd=ROOT)
        print(f'{check.name}: {"ok" if ended.returncode == 0 else "FAILED"}')
        if ended.returncode:
            failed.append(check.name)
    return failed


def run_tests(pattern):
    """Run the unit tests and return the counts."""
    loader = unittest.defaultTestLoader
    if pattern:
        loader.testNamePatterns = [f'*{pattern}*']
    suite = loader.discover(
        str(ROOT / 'persimmonroute'), '*_tests.py', str(ROOT)
    )
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    listed = known_red.read_known_red()
    red = [test.id() for test, _ in result.failures + result.errors]
    known = [name for name in red if name in listed]
    for name in known:
        print(f'KNOWN RED {name}')
    passed = result.testsRun - len(red) - len(result.skipped)
    return TestRun(passed, len(red) - len(known), len(known))


def main():
    """Run checks and tests; exit 0 when all passed."""
    arguments = docopt.docopt(__doc__)
    failed_checks = [] if arguments['--no-lint'] else run_checks()
    counts = run_tests(arguments['PATTERN'])
    if counts.known:
        print(f'{counts.known} known red')
    failed = counts.failed + len(failed_checks)
    passed = counts.passed
    if not arguments['--no-lint']:
        passed += len(CHECKS) - len(failed_checks)
    print(f'{passed} passed, {failed} failed')
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    main()

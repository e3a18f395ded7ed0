"""Run all checks and tests and print one closing line.

Usage: run_tests [options] [PATTERN]

Options:
  --no-lint  Skip the linter, formatter and generated-code check.
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
    """Describe a command that must exit with status 0."""

    name: str
    command: list[str]


CHECKS = [
    Check('lint', [sys.executable, '-m', 'flake8', *SOURCES]),
    Check('format', [sys.executable, '-m', 'ruff', 'format', '--check', '.']),
    Check('generated', [sys.executable, '-m', 'tools.generate', '--check']),
]


class TestRun(typing.NamedTuple):
    """Count the results of all unit tests."""

    passed: int
    failed: int
    known: int


def run_checks():
    """Return the names of the checks that failed."""
    failed = []
    for check in CHECKS:
        process = subprocess.run(check.command, cwd=ROOT)
        print(f'{check.name}: {"ok" if process.returncode == 0 else "FAILED"}')
        if process.returncode:
            failed.append(check.name)
    return failed


def run_tests(pattern):
    """Run the matching unit tests and return the counts."""
    loader = unittest.defaultTestLoader
    if pattern:
        loader.testNamePatterns = [f'*{pattern}*']
    suite = loader.discover(
        str(ROOT / 'persimmonroute'), '*_tests.py', str(ROOT)
    )
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    known_ids = known_red.read_known_red()
    failed = [test.id() for test, _ in result.failures + result.errors]
    known = [name for name in failed if name in known_ids]
    for name in known:
        print(f'KNOWN RED {name}')
    passed = result.testsRun - len(failed) - len(result.skipped)
    return TestRun(passed, len(failed) - len(known), len(known))


def main():
    """Run checks and tests and exit with 1 on a failure that is not known."""
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

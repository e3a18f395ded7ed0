"""Publish declarations and inspect the system.

Usage:
  persimmonroute apply FILE [--platform ADDRESS] [--key FILE] [--change ID]
                            [--base N]
  persimmonroute diff FILE [--platform ADDRESS]
  persimmonroute show [--platform ADDRESS]
  persimmonroute history [--platform ADDRESS]
  persimmonroute export FILE [--platform ADDRESS]
  persimmonroute status [--platform ADDRESS] [--wait SECONDS]
  persimmonroute keygen FILE
  persimmonroute handover PUBLIC_KEY --key FILE [--platform ADDRESS]
                            [--change ID]
  persimmonroute explain REQUEST FILE... [--since TIME] [--until TIME]
                         [--json]
  persimmonroute where GATEWAY HOST PATH [--workspace NAME]
                       [--tokens COUNTS] [--prompt PARTS]
                       [--remaining MS] [--json]
  persimmonroute --version

Options:
  --platform ADDRESS  Address of the platform as IP:port; by default the
                      environment variable PERSIMMONROUTE_PLATFORM.
  --key FILE          Private key of the operator, in PEM.
  --change ID         ID of this change; makes a retry idempotent.
  --base N            Revision that the change was made against.
  --since TIME        Ignore lines of the request before this time (ISO 8601).
  --until TIME        Ignore log lines after this time, in ISO 8601.
  --json              Print the explanation as JSON.
  --workspace NAME    Workspace of the request that is not sent.
  --tokens COUNTS     Its prompt and output tokens, separated by a comma.
  --prompt PARTS      Parts of its prompt, as comma-separated ID:TOKENS.
  --remaining MS      Milliseconds for which its caller waits.
  --wait SECONDS      Wait at most this long until all instances have applied
                      the current revision.
"""

from __future__ import annotations

import asyncio
import math
import os
import sys

import docopt

import persimmonroute
from persimmonroute.commands import apply
from persimmonroute.commands import diff
from persimmonroute.commands import explain
from persimmonroute.commands import export
from persimmonroute.commands import handover
from persimmonroute.commands import history
from persimmonroute.commands import keygen
from persimmonroute.commands import show
from persimmonroute.commands import status
from persimmonroute.commands import where
from persimmonroute.config import options
from persimmonroute import exceptions
from persimmonroute import operators
from persimmonroute.platform import client

PLATFORM_VARIABLE = 'PERSIMMONROUTE_PLATFORM'
# Characters of an odd argument that an error shows.
MAX_SHOWN = 100


def main(argv=None):
    """Run one command and return its exit status."""
    arguments = docopt.docopt(
        __doc__, argv, version=persimmonroute.__version__
    )
    try:
        asyncio.run(_run(arguments))
    except exceptions.PersimmonRouteError as error:
        print(f'error: {error}', file=sys.stderr)
        return 1
    return 0


async def _run(arguments):
    if arguments['keygen']:
        await keygen.keygen(_single_file(arguments))
        return
    if arguments['explain']:
        await explain.explain(
            arguments['REQUEST'],
            arguments['FILE'],
            arguments['--since'],
            arguments['--until'],
            arguments['--json'],
        )
        return
    if arguments['where']:
        await _where(arguments)
        return
    platform = client.HttpPlatform(_platform_address(arguments))
    try:
        await _run_with_platform(arguments, platform)
    finally:
        await platform.close()


async def _run_with_platform(arguments, platform):
    name = next(name for name in COMMANDS if arguments[name])
    await COMMANDS[name](arguments, platform)


async def _apply(arguments, platform):
    await apply.apply(
        platform,
        _single_file(arguments),
        arguments['--change'],
        _parse_number(arguments, '--base', int),
        _load_key(arguments),
    )


async def _diff(arguments, platform):
    await diff.diff(platform, _single_file(arguments))


async def _show(arguments, platform):
    await show.show(platform)


async def _history(arguments, platform):
    await history.history(platform)


async def _export(arguments, platform):
    await export.export(platform, _single_file(arguments))


async def _status(arguments, platform):
    await status.status(platform, _parse_number(arguments, '--wait', float))


async def _handover(arguments, platform):
    await handover.handover(
        platform,
        operators.read_public_key(arguments['PUBLIC_KEY']),
        _load_key(arguments),
        arguments['--change'],
    )


async def _where(arguments):
    query = {
        'host': arguments['HOST'],
        'path': arguments['PATH'],
        'workspace': arguments['--workspace'],
        'prompt': arguments['--prompt'],
        'remaining_ms': arguments['--remaining'],
    }
    if arguments['--tokens']:
        prompt, _, output = arguments['--tokens'].partition(',')
        query.update(prompt_tokens=prompt, output_tokens=output or '0')
    address = _validate_address(arguments['GATEWAY'], 'GATEWAY')
    given = {name: value for name, value in query.items() if value}
    await where.where(address, given, arguments['--json'])


COMMANDS = {
    'apply': _apply,
    'diff': _diff,
    'show': _show,
    'history': _history,
    'export': _export,
    'status': _status,
    'handover': _handover,
}


def _single_file(arguments):
    """Return the file argument of a command that takes one file."""
    return arguments['FILE'][0]


def _load_key(arguments):
    path = arguments['--key']
    return operators.OperatorKey.load(path) if path else None


def _platform_address(arguments):
    address = arguments['--platform'] or os.environ.get(PLATFORM_VARIABLE)
    if not address:
        raise exceptions.SettingsError(
            'no platform address is configured',
            f'pass --platform or set {PLATFORM_VARIABLE}',
        )
    return _validate_address(address, f'--platform or {PLATFORM_VARIABLE}')


def _validate_address(address, source):
    try:
        return options.Address('').validate(address)
    except options.OptionError as error:
        raise exceptions.SettingsError(
            f'the address {address[:MAX_SHOWN]!r} {error}', f'correct {source}'
        )


def _parse_number(arguments, name, number_type):
    """Return a number that is finite and not negative."""
    text = arguments[name]
    if text is None:
        return None
    try:
        number = number_type(text)
        if not 0 <= number < math.inf:
            raise ValueError('out of range')
    except ValueError:
        raise exceptions.SettingsError(
            f'{name} {text[:MAX_SHOWN]!r} is not a number from 0 on',
            f'pass {name} a number',
        )
    return number


if __name__ == '__main__':
    sys.exit(main())

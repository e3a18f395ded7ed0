"""Declare classes of work and look at the system.

Usage:
  persimmonroute apply FILE [--platform ADDRESS] [--change ID] [--base N]
  persimmonroute show [--platform ADDRESS]
  persimmonroute status [--platform ADDRESS] [--wait SECONDS]
  persimmonroute --version

Options:
  --platform ADDRESS  Address of the platform as IP:port; also taken from
                      the variable PERSIMMONROUTE_PLATFORM.
  --change ID         Own number of this change, for repeating it.
  --base N            Revision that the change was made against.
  --wait SECONDS      Wait until the current revision is in force.
"""

from __future__ import annotations

import asyncio
import os
import sys

import docopt

import persimmonroute
from persimmonroute.commands import apply
from persimmonroute.commands import show
from persimmonroute.commands import status
from persimmonroute import exceptions
from persimmonroute.platform import client

PLATFORM_VARIABLE = 'PERSIMMONROUTE_PLATFORM'


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
    platform = client.HttpPlatform(_platform_address(arguments))
    try:
        await _command(arguments, platform)
    finally:
        await platform.close()


async def _command(arguments, platform):
    if arguments['apply']:
        await apply.apply(
            platform,
            arguments['FILE'],
            arguments['--change'],
            _number(arguments, '--base', int),
        )
    elif arguments['show']:
        await show.show(platform)
    else:
        wait_s = _number(arguments, '--wait', float)
        await status.status(platform, wait_s)


def _platform_address(arguments):
    address = arguments['--platform'] or os.environ.get(PLATFORM_VARIABLE)
    if not address:
        raise exceptions.SettingsError(
            'the address of the platform is not known',
            f'give --platform or set {PLATFORM_VARIABLE}',
        )
    return address


def _number(arguments, name, kind):
    text = arguments[name]
    if text is None:
        return None
    try:
        return kind(text)
    except ValueError:
        raise exceptions.SettingsError(
            f'{name} {text!r} is not a number', f'give {name} a number'
        )


if __name__ == '__main__':
    sys.exit(main())

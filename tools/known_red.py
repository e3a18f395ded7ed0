"""Read the list of tests that fail because of a known, open fault."""

from __future__ import annotations

import pathlib

PATH = pathlib.Path(__file__).parent.parent / 'KNOWN-RED.txt'
TEST_FIELD = 'test:'


def read_known_red(path=PATH):
    """Return the ids of the listed tests, none if the file is missing."""
    if not path.exists():
        return frozenset()
    lines = path.read_text().splitlines()
    return frozenset(
        line[len(TEST_FIELD) :].strip()
        for line in lines
        if line.startswith(TEST_FIELD)
    )

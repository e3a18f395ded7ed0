"""Define requests to the platform's table service and their replies."""

from __future__ import annotations

import enum
import typing


class Write(typing.NamedTuple):
    """Write one row if its version is still the expected one.

    Version 0 stands for a row that does not exist.
    """

    table: str
    key: str
    value: dict
    expected_version: int


class Row(typing.NamedTuple):
    """Hold one row and its version."""

    key: str
    value: dict | None
    version: int


class StoreStatus(enum.Enum):
    """Tell how a call to the table service ended."""

    COMMITTED = 'committed'
    CONFLICT = 'conflict'
    FOUND = 'found'
    FAILED = 'failed'


class StoreReply(typing.NamedTuple):
    """Hold the end of one call.

    FAILED tells nothing about whether a write took effect. A conflict
    lists the present rows of the writes that did not match.
    """

    status: StoreStatus
    rows: tuple[Row, ...] = ()

"""Define calls to the platform's table service and their replies."""

from __future__ import annotations

import enum
import typing


class Write(typing.NamedTuple):
    """Write one row if it still has the expected version.

    An expected version of 0 means that the row does not exist.
    """

    table: str
    key: str
    value: dict
    expected_version: int


class Row(typing.NamedTuple):
    """Describe a row and its version; the value is None if it is absent."""

    key: str
    value: dict | None
    version: int


class StoreStatus(enum.Enum):
    """List the outcomes of a call to the table service."""

    COMMITTED = 'committed'
    CONFLICT = 'conflict'
    FOUND = 'found'
    FAILED = 'failed'


class StoreReply(typing.NamedTuple):
    """Describe the outcome of one call.

    After FAILED, a write may or may not have taken effect. A conflict
    lists the current rows of the writes whose version did not match.
    """

    status: StoreStatus
    rows: tuple[Row, ...] = ()

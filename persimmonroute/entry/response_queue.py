"""Queue the parts of a response, and account for them."""

from __future__ import annotations

import asyncio

from persimmonroute import clock
from persimmonroute.entry import messages


class ResponseQueue(asyncio.Queue):
    """Count the bytes of a response that its caller has not read."""

    def __init__(self, holding):
        super().__init__()
        self._holding = holding

    def _put(self, item):
        super()._put(item)
        self._holding.add_queued(_size(item), clock.now_s())

    def _get(self):
        item = super()._get()
        self._holding.add_queued(-_size(item), clock.now_s())
        return item


def _size(item):
    return len(item.data) if isinstance(item, messages.ResponseData) else 0

"""Simulate the table service."""

from __future__ import annotations

from persimmonroute import store
from persimmonroute.store import StoreStatus
from standins import tables

LOCAL_DELAY_S = 0.0005
STORE_DELAY_S = 0.004
STORE_TIMEOUT_S = 2.0
SLOW_STORE_DELAY_S = 1.0


class StoreNode:
    """Simulate the table service and its faults."""

    def __init__(self, simulation):
        self._simulation = simulation
        self.tables = tables.Tables()
        # One of none, down, slow, lose_answers and late_effect.
        self.fault = 'none'

    def transact(self, writes, reply):
        """Commit writes after a delay and call reply with the result."""
        schedule = self._simulation.schedule
        if self.fault == 'down':
            schedule(LOCAL_DELAY_S, reply, _failed())
        elif self.fault == 'late_effect':
            schedule(STORE_TIMEOUT_S, reply, _failed())
            schedule(2 * STORE_TIMEOUT_S, self.tables.transact, writes)
        else:
            slow = self.fault == 'slow'
            delay = SLOW_STORE_DELAY_S if slow else STORE_DELAY_S
            schedule(delay / 2, self._apply, writes, delay / 2, reply)

    def _apply(self, writes, delay, reply):
        committed, rows = self.tables.transact(writes)
        if committed and self._simulation.on_store is not None:
            self._simulation.on_store(writes)
        if self.fault == 'lose_answers':
            self._simulation.schedule(STORE_TIMEOUT_S, reply, _failed())
            return
        status = StoreStatus.COMMITTED if committed else StoreStatus.CONFLICT
        response = store.StoreReply(status, tuple(_row(row) for row in rows))
        self._simulation.schedule(delay, reply, response)


def _row(row):
    return store.Row(row['key'], row['value'], row['version'])


def _failed():
    return store.StoreReply(StoreStatus.FAILED)

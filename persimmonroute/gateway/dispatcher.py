"""Deliver the scheduler's decisions to the requests that await them."""

from __future__ import annotations

import asyncio
import math

from persimmonroute import clock
from persimmonroute.gateway import messages
from persimmonroute.gateway import model

# Wakeups due sooner than this are delayed and coalesced.
MIN_WAKEUP_DELAY_S = 0.002


class Dispatcher:
    """Keep a future for each request that waits for an endpoint."""

    def __init__(self, scheduler):
        self._scheduler = scheduler
        self._waiting = {}
        self._timer = None
        self.on_change = lambda: None

    async def wait_for_grant(self, pending):
        """Wait for and return the granted endpoint, or a Rejection."""
        future = asyncio.get_running_loop().create_future()
        self._waiting[pending] = future
        try:
            self._scheduler.submit(pending, clock.now_s())
            self.deliver_decisions()
            return await future
        except asyncio.CancelledError:
            # Cancelled after the grant, before the request was sent.
            if pending.runner is not None:
                self.release(pending, model.Ending.ABANDONED)
            raise
        finally:
            self._waiting.pop(pending, None)
            self._scheduler.withdraw(pending)

    def release(self, pending, ending):
        """Release the slot that a request occupied at its endpoint."""
        self._scheduler.release(pending, ending, clock.now_s())
        self.deliver_decisions()

    def dispatch_ready(self, now):
        """Grant or reject the queued requests of every service."""
        self._scheduler.dispatch_all_ready(now)
        self.deliver_decisions()

    def deliver_decisions(self):
        """Hand the scheduler's decisions to the waiting requests."""
        effects = self._scheduler.take_effects()
        for effect in effects:
            future = self._waiting.get(effect.pending)
            if isinstance(effect, messages.Granted):
                decision = effect.runner
            else:
                decision = effect.rejection
            if future is not None and not future.done():
                future.set_result(decision)
        if effects:
            self.on_change()
        self._schedule_wakeup(self._scheduler.take_wakeup_at())

    def _schedule_wakeup(self, at):
        if at == math.inf:
            return
        loop = asyncio.get_running_loop()
        delay = max(at - clock.now_s(), MIN_WAKEUP_DELAY_S)
        if self._timer is not None:
            if self._timer.when() <= loop.time() + delay:
                return
            self._timer.cancel()
        self._timer = loop.call_later(delay, self._on_timer)

    def _on_timer(self):
        self._timer = None
        self.dispatch_ready(clock.now_s())

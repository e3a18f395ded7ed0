"""Test what a grant holds whose request is refused at the same time."""

from __future__ import annotations

import asyncio
import types
import unittest

from persimmonroute import clock
from persimmonroute.gateway import groups
from persimmonroute.gateway import model
from persimmonroute import gateway_composition
from standins import gateway_fixtures as fixtures

DOMAIN = 'riga-a'
SETTINGS = types.SimpleNamespace(
    failure_domain=DOMAIN,
    region='riga',
    regions=fixtures.REGIONS,
    reserve_retries=False,
    share_workspaces=False,
    bound_endpoint_memory=False,
)
# More requests than the endpoint has places.
REQUESTS = 6
REMAINING_S = 60.0
# Time in which tasks reach their next wait, in seconds.
SETTLE_S = 0.05


class RefusedGrantTests(unittest.IsolatedAsyncioTestCase):
    """Refuse requests that wait, while places become free."""

    async def asyncSetUp(self):
        """Create a dispatcher with more requests than places."""
        self.board = fixtures.board(now=clock.now_s())
        (self.view,) = self.board.runner_registry
        scheduler = gateway_composition.build_scheduler(self.board, SETTINGS)
        own = groups.Member(self.board.name, DOMAIN, 1.0)
        self.dispatcher = gateway_composition.build_dispatcher(
            self.board, scheduler, own, SETTINGS, None
        )
        self.dispatcher.set_services(
            self.board.route_table.configuration.services
        )
        self.route = fixtures.route(
            timeout_s=REMAINING_S, objective_s=REMAINING_S
        )
        self.waiting = {}
        for _ in range(REQUESTS):
            pending = fixtures.pending_request(
                clock.now_s(), self.route, remaining_s=REMAINING_S
            )
            self.waiting[pending] = asyncio.create_task(
                self.dispatcher.wait_for_grant(pending)
            )
        await asyncio.sleep(SETTLE_S)

    def _check_all_places_free(self):
        """Release what was granted, and check that nothing is held."""
        refused = 0
        for pending, waiting in self.waiting.items():
            self.assertTrue(waiting.done())
            if isinstance(waiting.result(), model.Rejection):
                refused += 1
            elif pending.runner is not None:
                self.dispatcher.release(pending, model.Ending.ABANDONED)
        self.assertGreater(refused, 0)
        self.assertEqual(self.view.load, 0)

    async def test_grant_beside_a_refusal_holds_no_place(self):
        """Guards against places that a refused request holds for ever."""
        granted = [p for p, task in self.waiting.items() if task.done()]
        self.assertTrue(granted)
        self.dispatcher.find_rejection = lambda pending, now: model.STOPPING
        self.dispatcher.tick(clock.now_s())
        for pending in granted:
            self.dispatcher.release(pending, model.Ending.ANSWERED)
        await asyncio.sleep(SETTLE_S)
        self._check_all_places_free()

    async def test_place_that_a_refusal_leaves_goes_to_the_next(self):
        """Guards against a place that is granted to a refused request."""
        granted = [p for p, task in self.waiting.items() if task.done()]
        queued = [p for p in self.waiting if p not in granted]
        refused, kept = queued[0], queued[1]
        self.dispatcher.find_rejection = lambda pending, now: (
            model.STOPPING if pending is refused else None
        )
        self.dispatcher.tick(clock.now_s())
        self.dispatcher.release(granted[0], model.Ending.ANSWERED)
        await asyncio.sleep(SETTLE_S)
        self.assertIs(self.waiting[refused].result(), model.STOPPING)
        self.assertTrue(self.waiting[kept].done())

"""Run a gateway's parts inside an asyncio process."""

from __future__ import annotations

import asyncio
import functools

from persimmonroute import clock
from persimmonroute.events import Event
from persimmonroute import exceptions
from persimmonroute import logs

log = logs.EventLog(__name__)

TICK_S = 0.05
# Ticks between two looks at idle connections and lapsed endpoints.
CLEAN_TICKS = 20
ANNOUNCE_RETRY_S = 0.5
LIST_GATEWAYS_S = 20.0
FAULT_PAUSE_S = 0.5


class GatewayShell:
    """Own the periodic work of a gateway."""

    def __init__(self, board, dispatcher, client, followers, gateways, link):
        self._board = board
        self._dispatcher = dispatcher
        self._client = client
        self._followers = followers
        self._gateways = gateways
        self._link = link
        self._tasks = []

    async def start(self, name, peer_address):
        """Begin to follow the store and to exchange reports."""
        host, _, port = peer_address.rpartition(':')
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self._link, (host, int(port))
        )
        work = [follower.run for follower in self._followers]
        work += [
            self._tick,
            functools.partial(self._list_gateways, name, peer_address),
        ]
        self._tasks = [asyncio.create_task(_guard(part)) for part in work]

    async def close(self):
        """End the periodic work."""
        self._link.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _tick(self):
        ticks = 0
        while True:
            await asyncio.sleep(TICK_S)
            now = clock.now_s()
            self._board.refresh_peers(now)
            self._dispatcher.dispatch_ready(now)
            ticks += 1
            if ticks % CLEAN_TICKS == 0:
                self._clean(now)

    def _clean(self, now):
        for view in self._board.runner_registry.drop_lapsed(now):
            log.emit(Event.RUNNER_GONE, runner=view.id, lapsed=True)
            self._client.close_idle_connections(view.record)
        self._client.close_expired()
        self._board.quarantine.expire(now)

    async def _list_gateways(self, name, address):
        announced = False
        while True:
            try:
                if not announced:
                    await self._gateways.announce(name, address)
                    announced = True
                found = await self._gateways.read()
            except exceptions.PlatformUnavailableError as error:
                log.emit(Event.LIST_UNAVAILABLE, problem=error.problem)
                await asyncio.sleep(ANNOUNCE_RETRY_S)
                continue
            now = clock.now_s()
            for peer, peer_address in found.items():
                self._board.peers.update_peer(peer, peer_address, now)
            log.emit(Event.PEERS_LISTED, gateways=len(found))
            self._link.schedule_reports()
            await asyncio.sleep(LIST_GATEWAYS_S)


async def _guard(function):
    """Run periodic work again after an error that nobody expected."""
    while True:
        try:
            await function()
        except Exception as error:
            log.emit(Event.GATEWAY_FAULT, problem=repr(error))
        await asyncio.sleep(FAULT_PAUSE_S)

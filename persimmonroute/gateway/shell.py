"""Run a gateway's periodic tasks in the asyncio event loop."""

from __future__ import annotations

import asyncio
import contextlib
import functools

from persimmonroute import background
from persimmonroute import clock
from persimmonroute import datagrams
from persimmonroute import draining
from persimmonroute.events import Event
from persimmonroute import exceptions
from persimmonroute import logs
from persimmonroute import loop_lanes

log = logs.EventLog(__name__)

TICK_S = 0.05
# Ticks between looks at the ages of all peers' reports: a look costs time in
# proportion to the fleet, and an idle peer reports every 0.3 s at most.
PEER_TICKS = 4
# Ticks between cleanups of idle connections and lapsed endpoints.
CLEANUP_TICKS = 20
LIST_RETRY_S = 0.5
# Interval between lists of the gateways: the minimum, and what each gateway
# adds. New gateways also report to all that are listed.
LIST_INTERVAL_S = 20.0
LIST_INTERVAL_PER_GATEWAY_S = 0.75
MAX_LIST_INTERVAL_S = 60.0


class GatewayShell:
    """Run the background tasks of a gateway."""

    def __init__(
        self,
        board,
        dispatcher,
        client,
        followers,
        gateways,
        link,
        own,
        keepers,
    ):
        # This gateway as a groups.Member.
        self._own = own
        self._board = board
        self._dispatcher = dispatcher
        self._client = client
        self._followers = followers
        self._gateways = gateways
        self._link = link
        # Keep rows of this gateway's knowledge in the store.
        self._keepers = keepers
        self._tasks = []
        self._store_restored = asyncio.Event()
        self._callers_context = loop_lanes.build_context(
            loop_lanes.Lane.CALLERS
        )
        # Whether a step for callers that measures their delay is due.
        self._probing = False
        board.on_store_restored = self._read_again

    async def start(self, peer_address):
        """Start watching the store and exchanging reports with peers."""
        host, _, port = peer_address.rpartition(':')
        datagrams.DatagramEndpoint(self._link, host.strip('[]'), int(port))
        functions = [follower.run for follower in self._followers]
        functions += [
            self._tick,
            *(keeper.run for keeper in self._keepers),
            functools.partial(self._list_gateways, peer_address),
        ]
        self._tasks = [
            asyncio.create_task(background.run_forever(function))
            for function in functions
        ]

    def stop_hosting(self):
        """Hand over what this gateway hosts."""
        self._dispatcher.stop_hosting()

    def announce_stop(self):
        """Tell the peers that this gateway stops."""
        self._link.send_stopping()

    async def close(self):
        """Cancel the background tasks and wait for them."""
        with draining.guard('close the link to peers'):
            self._link.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for follower in self._followers:
            await follower.close()

    async def _tick(self):
        ticks = 0
        while True:
            due_at = clock.now_s() + TICK_S
            await asyncio.sleep(TICK_S)
            now = clock.now_s()
            self._board.loop_delay.record(now - due_at, now)
            self._probe_callers(now)
            if ticks % PEER_TICKS == 0:
                self._board.refresh_peers(now)
            self._dispatcher.tick(now)
            if self._board.quotas.take_pressure():
                self._link.schedule_reports()
            for follower in self._followers:
                follower.check_age(now)
            if self._board.missed_configuration(now):
                for follower in self._followers:
                    follower.read_again()
            ticks += 1
            if ticks % CLEANUP_TICKS == 0:
                self._clean_up(now)

    def _probe_callers(self, now):
        """Measure how long a step for callers waits for its turn."""
        if self._probing:
            return
        self._probing = True

        def record():
            self._probing = False
            self._board.callers_delay_s = clock.now_s() - now

        loop = asyncio.get_running_loop()
        self._callers_context.run(loop.call_soon, record)

    def _clean_up(self, now):
        for view in self._board.runner_registry.drop_lapsed(now):
            log.emit(Event.RUNNER_GONE, runner=view.id, lapsed=True)
            self._client.close_idle_connections(view.record)
        self._client.close_expired()
        self._board.quarantine.expire(now)

    def _read_again(self):
        """Read all tables and register again in a restored store."""
        for follower in self._followers:
            follower.read_again()
        self._store_restored.set()
        for keeper in self._keepers:
            keeper.on_store_restored()

    async def _list_gateways(self, address):
        announced = False
        while True:
            try:
                if self._store_restored.is_set():
                    self._store_restored.clear()
                    announced = False
                if not announced:
                    await self._gateways.announce(
                        self._own.name,
                        address,
                        self._own.failure_domain,
                        self._own.cores,
                    )
                    announced = True
                rows = await self._gateways.read()
            except exceptions.PlatformUnavailableError as error:
                log.emit(Event.LIST_UNAVAILABLE, problem=error.problem)
                await asyncio.sleep(LIST_RETRY_S)
                continue
            # Another gateway may have removed the row during a long pause.
            announced = self._own.name in rows
            self._apply_list(rows, clock.now_s())
            await self._remove_gone(rows, clock.now_s())
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_list_interval_s(len(rows))):
                    await self._store_restored.wait()

    def _apply_list(self, rows, now):
        for name, row in rows.items():
            self._board.peers.update_peer(
                name, row.address, now, row.failure_domain, row.cores
            )
        self._board.peers.drop_unlisted(rows, now)
        log.emit(Event.PEERS_LISTED, gateways=len(rows))
        self._link.schedule_reports()

    async def _remove_gone(self, rows, now):
        """Remove the rows of gateways that have been silent for long."""
        for name in self._board.peers.find_gone(rows, now):
            with contextlib.suppress(exceptions.PlatformUnavailableError):
                await self._gateways.remove(name, rows[name].version)
                log.emit(Event.GATEWAY_ROW_REMOVED, gateway=name)


def _list_interval_s(gateways):
    interval_s = LIST_INTERVAL_PER_GATEWAY_S * gateways
    return min(max(interval_s, LIST_INTERVAL_S), MAX_LIST_INTERVAL_S)

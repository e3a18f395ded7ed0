"""Run a gateway's HTTP servers and its graceful shutdown."""

from __future__ import annotations

import asyncio

from starlette import applications
from starlette import responses
from starlette import routing

from persimmonroute import caller_protocol
from persimmonroute import clock
from persimmonroute import draining
from persimmonroute.events import Event
from persimmonroute.gateway import board as boards
from persimmonroute.gateway import peer_rows
from persimmonroute.gateway import preview as previews
from persimmonroute import http_server
from persimmonroute import logs
from persimmonroute import metrics_text

log = logs.EventLog(__name__)

# A gateway is unready once its configuration is older than this share of the
# revocation bound, so that callers go to gateways that reach the store.
READY_AGE_SHARE = 0.5
# Time that the load balancer needs to remove an unready gateway.
BALANCER_REMOVAL_S = 2.6
# Part of the grace period reserved for shutdown after the last request.
SHUTDOWN_RESERVE_S = 0.7


class GatewayServer:
    """Serve callers, and drain the requests on shutdown."""

    def __init__(
        self, board, shell, ingress, metrics, sources, settings, preview
    ):
        self._board = board
        self._shell = shell
        self._collector = metrics
        self._preview = preview
        self._sources = {source.name: source for source in sources}
        self._settings = settings
        self._front = http_server.build_server(
            ingress,
            settings.address,
            settings.stop_grace_s,
            guard=caller_protocol.ConnectionGuard(
                board.caller_account, self._read_limits
            ),
        )
        self._ready = http_server.build_server(
            self._build_ready_app(),
            settings.ready_address,
            1.0,
            0.0,
            caller_protocol.build_small_guard(),
        )
        self._metrics = http_server.build_server(
            self._build_metrics_app(),
            settings.metrics_address,
            1.0,
            0.0,
            caller_protocol.build_small_guard(),
        )
        self._peers = http_server.build_server(
            self._build_peer_app(),
            settings.control_address,
            1.0,
            0.0,
            caller_protocol.build_small_guard(),
        )

    async def run(self, stop):
        """Serve until the stop event is set and all requests have ended.

        Nothing goes on if it is cancelled, as in a process that is killed.
        """
        await self._shell.start(self._settings.peer_address)
        servers = [self._front, self._ready, self._metrics, self._peers]
        serving = [asyncio.create_task(s.serve()) for s in servers]
        log.emit(Event.PROCESS_STARTED, address=self._settings.address)
        try:
            await stop.wait()
            await self._stop(serving)
        except asyncio.CancelledError:
            for server, task in zip(servers, serving, strict=True):
                server.abort()
                task.cancel()
            await self._shell.close()
            raise

    def apply_settings(self, settings):
        """Apply the reloadable settings and return their names."""
        self._board.apply_bounds(boards.read_bounds(settings))
        return boards.BOUND_SETTINGS

    async def _stop(self, serving):
        """Drain the requests; serving are the tasks of the servers."""
        log.emit(Event.PROCESS_STOPPING)
        drain = self._board.drain = self._begin_drain()
        with draining.guard('hand over'):
            self._shell.stop_hosting()
        with draining.guard('announce'):
            self._shell.announce_stop()
        requests = self._board.open_requests
        ending = asyncio.create_task(
            draining.end_open(
                drain,
                requests.end_unanswered,
                self._front.cancel_open,
                requests.end_all,
            )
        )
        await asyncio.sleep(max(drain.closes_at - clock.now_s(), 0.0))
        self._front.stop(drain.ends_at - clock.now_s())
        await serving[0]
        ending.cancel()
        if self._board.streams_handed_over:
            # Other gateways may ask which version began them.
            await asyncio.sleep(max(drain.ends_at - clock.now_s(), 0.0))
        with draining.guard('close'):
            await self._shell.close()
        log.emit(Event.PROCESS_STOPPED)
        # They look for a request to exit only ten times a second, which a
        # stop at the end of its grace period has no time for.
        for server in (self._ready, self._metrics, self._peers):
            server.abort()
        for task in serving[1:]:
            task.cancel()
        await asyncio.gather(*serving, return_exceptions=True)

    def _begin_drain(self):
        return draining.begin(
            clock.now_s(),
            BALANCER_REMOVAL_S,
            http_server.CLOSE_S,
            self._settings.stop_grace_s - SHUTDOWN_RESERVE_S,
        )

    def _read_limits(self):
        """Return the limits of a caller's connection."""
        unread_s = self._settings.unread_timeout_s
        if self._board.route_table is None:
            return caller_protocol.ConnectionLimits(unread_timeout_s=unread_s)
        limits = self._board.route_table.configuration.limits
        return caller_protocol.ConnectionLimits(
            limits.header_bytes,
            limits.header_timeout_s,
            limits.idle_timeout_s,
            unread_s,
        )

    def _build_ready_app(self):
        return applications.Starlette(
            routes=[routing.Route('/readyz', self._serve_ready)]
        )

    def _build_metrics_app(self):
        return applications.Starlette(
            routes=[
                routing.Route('/metrics', self._serve_metrics),
                routing.Route('/placement', self._serve_placement),
            ]
        )

    def _build_peer_app(self):
        return applications.Starlette(
            routes=[routing.Route('/rows/{table}', self._serve_rows)]
        )

    async def _serve_rows(self, request):
        """Return a table's rows to a peer that cannot reach the store."""
        source = self._sources.get(request.path_params['table'])
        if source is None or self._board.route_table is None:
            return responses.JSONResponse({'error': 'not known'}, 404)
        snapshot = source.export_rows()
        if snapshot is None:
            return responses.JSONResponse({'error': 'not read yet'}, 404)
        age_s = self._board.configuration_freshness.age_s(clock.now_s())
        return responses.JSONResponse(peer_rows.encode_rows(snapshot, age_s))

    async def _serve_ready(self, request):
        problem = self._find_unready_reason()
        return responses.PlainTextResponse(
            problem or 'ready', 503 if problem else 200
        )

    def _find_unready_reason(self):
        board = self._board
        if board.draining:
            return 'stopping'
        if board.route_table is None:
            return 'no configuration'
        if not board.registrations_read:
            return 'no list of endpoints'
        age = board.configuration_freshness.age_s(clock.now_s())
        if age > READY_AGE_SHARE * board.bounds.revocation_s:
            return 'configuration is old'
        return None

    async def _serve_placement(self, request):
        """Tell an operator where a request would go now."""
        try:
            query = previews.read_query(request.query_params)
        except ValueError as error:
            return responses.JSONResponse({'error': str(error)}, 400)
        return responses.JSONResponse(
            self._preview.explain(query, clock.now_s())
        )

    async def _serve_metrics(self, request):
        return responses.PlainTextResponse(
            metrics_text.format_metrics(self._collector)
        )

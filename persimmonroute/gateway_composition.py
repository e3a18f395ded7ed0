"""Build a gateway's components from its settings."""

from __future__ import annotations

from persimmonroute import caller_account
from persimmonroute.gateway import admission
from persimmonroute.gateway import admission_host
from persimmonroute.gateway import board as boards
from persimmonroute.gateway import dispatcher as dispatchers
from persimmonroute.gateway import endpoint_capacity
from persimmonroute.gateway import following
from persimmonroute.gateway import forwarding
from persimmonroute.gateway import groups
from persimmonroute.gateway import locality
from persimmonroute.gateway import metrics
from persimmonroute.gateway import offers
from persimmonroute.gateway import peer_link
from persimmonroute.gateway import peer_rows
from persimmonroute.gateway import placement
from persimmonroute.gateway import polling
from persimmonroute.gateway import quarantine_keeping
from persimmonroute.gateway import rollout_keeping
from persimmonroute.gateway import rollouts
from persimmonroute.gateway import scheduler as schedulers
from persimmonroute.gateway import server
from persimmonroute.gateway import shell as shells
from persimmonroute.gateway import stream_origins
from persimmonroute.gateway import turns
from persimmonroute.gateway import version_keeping
from persimmonroute import http_connection
from persimmonroute.platform import ingress
from persimmonroute.platform import runner_client
from persimmonroute.platform import sources
from persimmonroute.platform import tables
from persimmonroute import reading_budget

# Duration of a long poll as a share of the revocation bound. Its response
# confirms the configuration, so the confirmation may get this old in between.
CONFIGURATION_POLL_SHARE = 0.4

# Resident memory of a gateway that serves nobody, with some margin.
OWN_MEMORY_MB = 42
# A gateway holds a body for repeats, and in the connection to the endpoint.
BODY_COPIES = 2


def build_board(settings):
    """Build the board of a gateway."""
    bounds = boards.read_bounds(settings)
    board = boards.GatewayBoard(
        settings.instance, bounds, build_locality(settings)
    )
    board.runner_registry.capacities.uses = frozenset(
        endpoint_capacity.Use(name) for name in settings.endpoint_capacity_uses
    )
    board.caller_account.limits = caller_account.derive_limits(
        settings.memory_mb,
        OWN_MEMORY_MB,
        settings.max_descriptors,
        settings.body_memory_mb * caller_account.MEGABYTE,
        BODY_COPIES,
    )
    board.response_memory.limit_bytes = reading_budget.derive_response_bytes(
        settings.memory_mb, OWN_MEMORY_MB
    )
    return board


def build_scheduler(board, settings):
    """Build the scheduler of a gateway."""
    policy = placement.Placement(build_locality(settings))
    slot_policy = turns.SharedSlots(
        board.name, board.runner_registry, policy, board.peers
    )
    return schedulers.Scheduler(
        board.runner_registry, policy, board.peers, slot_policy
    )


def build_dispatcher(board, scheduler, own, settings, versions):
    """Build the dispatcher of a gateway, with its part as a host."""
    own_locality = build_locality(settings)
    directory = groups.HostDirectory(own, own_locality, board.peers)
    return dispatchers.Dispatcher(
        own,
        scheduler,
        offers.OfferClient(
            board.runner_registry,
            directory,
            own_locality,
            identifies_callers=settings.reserve_retries,
            identifies_workspaces=settings.share_workspaces,
            states_sizes=settings.bound_endpoint_memory,
        ),
        admission_host.AdmissionHost(
            board.runner_registry, scheduler.placement, own_locality
        ),
        directory,
        stream_origins.StreamOrigins(
            own, own_locality, board.peers, board.runner_registry
        ),
        versions,
    )


def build_rollout_keeper(board, scheduler, dispatcher, rows, bounds):
    """Build what serves rollouts, and connect it with the schedulers."""
    keeper = rollout_keeping.RolloutKeeper(board, dispatcher, rows, bounds)
    board.rollouts.contact = board.configuration_freshness
    scheduler.version_policy = rollouts.OwnPolicy(board.rollouts)
    dispatcher.serve_rollouts(
        lambda group: rollouts.GroupPolicy(board.rollouts, group),
        keeper.receive,
    )
    return keeper


def build_locality(settings):
    """Build the locality of a gateway."""
    return locality.Locality(
        settings.failure_domain, settings.region, settings.regions
    )


def build_gateway(settings):
    """Build a gateway; return the server that runs it."""
    board = build_board(settings)
    scheduler = build_scheduler(board, settings)
    own = groups.Member(
        settings.instance,
        settings.failure_domain,
        settings.cpu_share * settings.cores,
    )
    store = tables.TableClient(settings.platform)
    version_keeper = version_keeping.VersionKeeper(
        board, sources.VersionRows(store)
    )
    dispatcher = build_dispatcher(
        board, scheduler, own, settings, version_keeper
    )
    client = runner_client.RunnerClient()
    link = peer_link.PeerLink(
        board,
        scheduler,
        settings.peer_address,
        build_locality(settings),
        dispatcher,
        own.cores,
        settings.control_address or '',
    )
    board.runner_registry.limits.on_change = dispatcher.record_limit
    board.runner_registry.capacities.on_change = dispatcher.record_capacity
    dispatcher.on_change = link.schedule_reports
    dispatcher.send = link.send_admission
    gateway_metrics = metrics.GatewayMetrics(board, scheduler, dispatcher.host)
    checks = admission.Admission(board)
    dispatcher.find_rejection = checks.find_stop_rejection
    forwarder = forwarding.Forwarder(
        board,
        checks,
        dispatcher,
        client,
        gateway_metrics,
        version_keeper.confirm,
    )

    def on_table_change(now):
        if board.route_table is not None:
            services = board.route_table.configuration.services
            if not settings.bound_endpoint_memory:
                services = [s._replace(kv_tokens=0) for s in services]
            dispatcher.set_services(services)
        dispatcher.dispatch_ready(now)

    rows = peer_rows.PeerRowsClient(
        settings.seeds or (),
        settings.control_address,
        http_connection.open_connection,
        http_connection.read_response,
    )
    keepers = [
        quarantine_keeping.QuarantineKeeper(
            board, sources.QuarantineRows(store)
        ),
        version_keeper,
    ]
    rollout_bounds = rollout_keeping.read_bounds(settings)
    configuration_follower = following.ConfigurationFollower(
        board,
        sources.ConfigurationSource(
            store,
            CONFIGURATION_POLL_SHARE * settings.revocation_s,
            rollout_bounds is not None,
        ),
        rows,
        on_table_change,
        CONFIGURATION_POLL_SHARE * settings.revocation_s,
    )
    configuration_follower.on_news = link.schedule_reports
    if rollout_bounds is not None:
        keeper = build_rollout_keeper(
            board,
            scheduler,
            dispatcher,
            sources.RolloutRows(store),
            rollout_bounds,
        )
        configuration_follower.on_orders = keeper.adopt_orders
        link.list_forwarded = keeper.list_forwarded
        link.receive_forwarded = keeper.receive_forwarded
        keeper.on_change = link.schedule_reports
        keepers.append(keeper)
    followers = [
        configuration_follower,
        following.RunnerFollower(
            board,
            sources.RunnerSource(store, polling.MAX_POLL_S),
            rows,
            on_table_change,
            client.close_idle_connections,
        ),
    ]
    shell = shells.GatewayShell(
        board,
        dispatcher,
        client,
        followers,
        sources.GatewayList(store),
        link,
        own,
        keepers,
    )
    app = ingress.IngressApp(board, forwarder)
    watched_sources = [follower.source for follower in followers]
    return server.GatewayServer(
        board,
        shell,
        app,
        gateway_metrics,
        watched_sources,
        settings,
        dispatcher.build_preview(board, checks),
    )

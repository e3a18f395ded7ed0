"""Build an entry or a sidecar from its settings."""

from __future__ import annotations

import functools
import uuid

from persimmonroute import caller_account
from persimmonroute import caller_protocol
from persimmonroute.entry import board as entry_boards
from persimmonroute.entry import core as entry_cores
from persimmonroute.entry import http_api
from persimmonroute.entry import routing
from persimmonroute.entry import server
from persimmonroute.entry import shell as entry_shells
from persimmonroute import operators
from persimmonroute.platform import client
from persimmonroute.sidecar import admission
from persimmonroute.sidecar import board as sidecar_boards
from persimmonroute.sidecar import core as sidecar_cores
from persimmonroute.sidecar import endpoints
from persimmonroute.sidecar import limits
from persimmonroute.sidecar import shell as sidecar_shells
from persimmonroute import tls
from persimmonroute import write_grouping

# Resident memory of an entry that serves nobody, with some margin.
ENTRY_MEMORY_MB = 72
# An entry holds a body as a call, as an offer, as the offer's encoding, and in
# the connection to the sidecar.
ENTRY_BODY_COPIES = 4
ENDPOINT_CLIENTS = {
    'model': endpoints.ModelEngineClient,
    'plain': endpoints.PlainServiceClient,
}
LIMITS = {'model': limits.ModelLimit, 'plain': limits.PlainLimit}


def build_entry_core(
    name, region, failure_domain, make_routing=None, operator_key=None
):
    """Build the core of an entry; make_routing is called with its board."""
    locality = entry_boards.Locality(region, failure_domain)
    board = entry_boards.EntryBoard(name, locality)
    if make_routing is None:
        policy = routing.PredictedFirstToken()
    else:
        policy = make_routing(board)
    if operator_key is None:
        verifier = operators.PermissiveVerifier()
    else:
        verifier = operators.SignatureVerifier(operator_key)
    return entry_cores.EntryCore(board, policy, verifier)


def build_sidecar_core(name, service, kind, incarnation=None):
    """Build the core of a sidecar."""
    board = sidecar_boards.SidecarBoard(
        name, incarnation or uuid.uuid4().hex, service
    )
    limit = LIMITS[kind]()
    policy = admission.TieredAdmission(board, limit)
    return sidecar_cores.SidecarCore(board, limit, policy)


def build_entry(settings):
    """Build the process of an entry."""
    core = build_entry_core(
        settings.instance,
        settings.region,
        settings.failure_domain,
        operator_key=settings.operator_key,
    )
    platform = client.HttpPlatform(settings.platform)
    grouper = write_grouping.WriteGrouper(platform)
    tls_settings = tls.find_tls_settings(settings)
    shell = entry_shells.EntryShell(core, platform, grouper, tls_settings)
    app = http_api.HttpApi(shell).build_app()
    core.board.caller_account.limits = caller_account.derive_limits(
        settings.memory_mb,
        ENTRY_MEMORY_MB,
        settings.max_descriptors,
        settings.body_memory_mb * caller_account.MEGABYTE,
        ENTRY_BODY_COPIES,
    )
    guard = caller_protocol.ConnectionGuard(
        core.board.caller_account,
        functools.partial(
            caller_protocol.ConnectionLimits,
            unread_timeout_s=settings.unread_timeout_s,
        ),
    )
    return server.EntryServer(shell, app, settings, guard)


def build_sidecar(settings):
    """Build the process of a sidecar."""
    core = build_sidecar_core(
        settings.instance, settings.service, settings.endpoint_kind
    )
    client_class = ENDPOINT_CLIENTS[settings.endpoint_kind]

    def make_client(sink):
        return client_class(settings.endpoint, sink)

    return sidecar_shells.SidecarShell(core, settings, make_client)

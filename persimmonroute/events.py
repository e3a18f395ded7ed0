"""Define the events that the system logs."""

from __future__ import annotations

import enum
import typing


class EventKind(typing.NamedTuple):
    """Describe an event by number, log level and summary."""

    number: int
    level: str
    summary: str


class Event(enum.Enum):
    """List every event; docs/events.md is generated from it."""

    PROCESS_STARTED = EventKind(100, 'INFO', 'process started')
    PROCESS_STOPPING = EventKind(101, 'INFO', 'graceful shutdown began')
    PROCESS_STOPPED = EventKind(102, 'INFO', 'process stopped')
    SETTINGS_RELOADED = EventKind(103, 'INFO', 'settings reloaded')
    SETTINGS_REJECTED = EventKind(
        104,
        'ERROR',
        'settings file is invalid; previous settings stay in effect',
    )
    STOP_AT_LIMIT = EventKind(
        105,
        'WARNING',
        'steps of a graceful shutdown were left at the end of its grace '
        'period; the process exits without them',
    )
    LINES_DROPPED = EventKind(
        110,
        'WARNING',
        'log lines dropped because the log queue or rate limit is full',
    )
    RESOURCES_EXHAUSTED = EventKind(
        111,
        'ERROR',
        'no descriptors or memory left; raise the limit of open files, or '
        'lower the number of connections',
    )
    EVENT_LOOP_LATE = EventKind(
        112,
        'WARNING',
        'event loop runs late; with a processor share at its limit, callers '
        'send more than the process can serve',
    )
    REQUEST_ROUTED = EventKind(200, 'INFO', 'request offered to a sidecar')
    REQUEST_SHED = EventKind(201, 'INFO', 'request shed before it started')
    REQUEST_REROUTED = EventKind(
        202,
        'INFO',
        'request withdrawn before its start and offered to another sidecar',
    )
    REQUEST_GRANTED = EventKind(
        203, 'DEBUG', 'request granted permission to start'
    )
    REQUEST_ENDED = EventKind(204, 'INFO', 'final response sent to the caller')
    REQUEST_RESUMING = EventKind(
        205, 'WARNING', 'response interrupted; resuming at its current offset'
    )
    REQUEST_ATTACHED = EventKind(
        206,
        'INFO',
        'request attached to an earlier attempt with the same idempotency key',
    )
    CLAIM_CONFIRMED = EventKind(
        210, 'DEBUG', 'claim row of an idempotency key confirmed'
    )
    CLAIM_CONFLICT = EventKind(
        211, 'INFO', 'claim row is owned by another attempt'
    )
    CLAIM_FAILED = EventKind(
        212, 'WARNING', 'table service did not confirm the claim row'
    )
    CLAIM_SETTLED = EventKind(213, 'INFO', 'abandoned claim released')
    OFFER_QUEUED = EventKind(300, 'DEBUG', 'offer queued at the sidecar')
    OFFER_REFUSED = EventKind(301, 'INFO', 'offer refused at the sidecar')
    REQUEST_STARTED = EventKind(302, 'INFO', 'request sent to the endpoint')
    REQUEST_EVICTED = EventKind(303, 'INFO', 'queued request evicted')
    OFFER_DROPPED = EventKind(
        304, 'INFO', 'queued request withdrawn or not granted'
    )
    ENDPOINT_DOWN = EventKind(310, 'WARNING', 'endpoint does not respond')
    ENDPOINT_UP = EventKind(311, 'INFO', 'endpoint responds again')
    REQUEST_SUSPECTED = EventKind(
        312, 'WARNING', 'request was running when its endpoint crashed'
    )
    REQUEST_QUARANTINED = EventKind(
        313, 'ERROR', 'request quarantined because it crashes endpoints'
    )
    ENGINE_LIMIT_CHANGED = EventKind(
        320, 'DEBUG', 'concurrency limit of the engine changed'
    )
    SIDECAR_LINKED = EventKind(400, 'INFO', 'sidecar connected')
    SIDECAR_UNLINKED = EventKind(401, 'WARNING', 'sidecar disconnected')
    SIDECAR_LEAVING = EventKind(402, 'INFO', 'sidecar is shutting down')
    PEER_REFUSED = EventKind(
        403,
        'WARNING',
        'connection refused: peer is not an entry of this deployment',
    )
    CONFIGURATION_IN_FORCE = EventKind(
        500, 'INFO', 'configuration revision applied'
    )
    CONFIGURATION_REJECTED = EventKind(
        501, 'ERROR', 'configuration document is invalid'
    )
    PLATFORM_UNAVAILABLE = EventKind(
        600, 'WARNING', 'table service unavailable or its response is invalid'
    )
    PLATFORM_AVAILABLE = EventKind(
        601, 'INFO', 'table service available again'
    )
    LIST_UNAVAILABLE = EventKind(
        602, 'WARNING', 'instance list unavailable or invalid'
    )
    STORE_CALL_FAILED = EventKind(
        603, 'WARNING', 'call to the table service failed'
    )
    GATEWAY_SENT = EventKind(700, 'INFO', 'request sent to an endpoint')
    GATEWAY_ANSWERED = EventKind(701, 'INFO', 'response forwarded completely')
    GATEWAY_ATTEMPT_FAILED = EventKind(
        702, 'WARNING', 'attempt at an endpoint failed'
    )
    GATEWAY_REJECTED = EventKind(
        703,
        'WARNING',
        'request rejected or failed; error response sent by the gateway',
    )
    GATEWAY_BROKEN_OFF = EventKind(
        704, 'WARNING', 'response incomplete; connection to the caller closed'
    )
    CALLER_GONE = EventKind(705, 'INFO', 'caller disconnected')
    ENDPOINT_SILENT = EventKind(
        706, 'WARNING', 'endpoint is silent; looking for another one meanwhile'
    )
    SILENCE_ENDED = EventKind(
        707, 'INFO', 'endpoint goes on after a silence; the request stays'
    )
    REQUEST_ENDED_BY_STOP = EventKind(
        708, 'WARNING', 'request was open at the end of a graceful shutdown'
    )
    RUNNER_CHANGED = EventKind(710, 'INFO', 'endpoint added or changed')
    RUNNER_CLOSED = EventKind(
        712, 'INFO', 'endpoint asked for a pause; nothing is sent to it'
    )
    STORE_RESTORED = EventKind(
        723, 'WARNING', 'store was restored from an older copy'
    )
    RUNNER_CRASHED = EventKind(
        715, 'WARNING', 'endpoint crashed under requests of this gateway'
    )
    TRAIT_QUARANTINED = EventKind(
        716,
        'ERROR',
        'requests with a trait that crashes endpoints are rejected',
    )
    TRAIT_CLEARED = EventKind(
        717, 'INFO', 'requests with a trait are not rejected any more'
    )
    RUNNER_LIMITED = EventKind(
        718, 'INFO', 'endpoint names a limit of requests per second, or none'
    )
    RUNNER_LIMIT_UNREADABLE = EventKind(
        719, 'WARNING', 'unreadable limit of an endpoint ignored'
    )
    RUNNER_LOAD_UNREADABLE = EventKind(
        726, 'WARNING', 'unreadable load of an endpoint ignored'
    )
    RUNNER_CAPACITY = EventKind(
        727, 'INFO', 'estimate of the speed of an endpoint changed'
    )
    RUNNER_GONE = EventKind(711, 'WARNING', 'endpoint removed')
    DOCUMENT_UNREADABLE = EventKind(
        720, 'WARNING', 'unreadable document in a table ignored'
    )
    NO_ADMISSION_HOST = EventKind(
        713, 'WARNING', 'no admission host responds; the gateway decides'
    )
    ADMISSION_HOST_SILENT = EventKind(
        714, 'WARNING', 'admission host does not respond or stops'
    )
    HISTORY_LOST = EventKind(
        721,
        'WARNING',
        'change history of a table lost; reloading the whole table',
    )
    ROWS_FROM_PEER = EventKind(
        722,
        'WARNING',
        'table loaded from a peer; the table service is unavailable',
    )
    PEER_REPORT_UNREADABLE = EventKind(
        730, 'WARNING', 'unreadable part of a message of a peer ignored'
    )
    PEER_UNREACHABLE = EventKind(
        731, 'DEBUG', 'report could not be sent to a peer'
    )
    PEER_ROWS_UNAVAILABLE = EventKind(
        733, 'WARNING', 'rows could not be loaded from a peer'
    )
    CHANGE_MISSED = EventKind(
        737,
        'WARNING',
        'peers have read changes that are missing here; asking the store',
    )
    ECHO_IGNORED = EventKind(
        736,
        'DEBUG',
        'report of a peer that answers an earlier start confirms nothing',
    )
    VERSION_UNCONFIRMED = EventKind(
        735,
        'WARNING',
        'stream begins at a version that the store may not know',
    )
    VERSIONS_UNCERTAIN = EventKind(
        738,
        'WARNING',
        'restored store may lack versions; stream that nobody knows refused',
    )
    PEERS_LISTED = EventKind(732, 'DEBUG', 'list of gateways received')
    GATEWAY_ROW_REMOVED = EventKind(
        734, 'INFO', 'row of a gateway that is gone removed'
    )
    ROLLOUT_ORDERED = EventKind(
        740, 'INFO', 'order to move a service to another version read'
    )
    ROLLOUT_DECIDED = EventKind(
        741, 'INFO', 'next phase of a rollout decided by its controller'
    )
    ROLLOUT_STORED = EventKind(742, 'INFO', 'phase of a rollout stored')
    ROLLOUT_FOLLOWED = EventKind(
        743, 'INFO', 'host follows another phase of a rollout'
    )
    ROLLOUT_WRITTEN_AGAIN = EventKind(
        744,
        'WARNING',
        'outcome of a rollout written again: the table lacked it',
    )
    ROLLOUT_FORWARDED = EventKind(
        745,
        'WARNING',
        'order to move a service to another version is followed as another '
        'gateway forwards it; the store has not told of it here',
    )
    CALLERS_REFUSED = EventKind(
        750,
        'WARNING',
        'callers refused or their connections closed, by reason, because of '
        'what they hold or how long they take',
    )
    RESPONSE_CUT = EventKind(
        751,
        'WARNING',
        'response cut because its caller does not read; nothing else was left '
        'to release, or its time is over',
    )
    SLOW_READER_CUT = EventKind(
        752,
        'WARNING',
        'response cut off for lack of memory: its caller reads least of those '
        'that are behind',
    )
    ACCEPTING_PAUSED = EventKind(
        753,
        'WARNING',
        'accepting connections paused because no place or descriptor was left '
        'for them',
    )
    RETRY_RESERVATIONS = EventKind(
        755, 'INFO', 'capacity was reserved for callers that were refused'
    )
    WORKSPACE_IN_EXCESS = EventKind(
        756,
        'INFO',
        'workspace asks for more than its fair part; its requests wait',
    )
    GATEWAY_FAULT = EventKind(
        790, 'ERROR', 'unexpected error; the request or step failed'
    )

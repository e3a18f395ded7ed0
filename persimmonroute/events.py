"""Number the events that the system logs."""

from __future__ import annotations

import enum
import typing


class EventKind(typing.NamedTuple):
    """Describe one kind of event."""

    number: int
    level: str
    summary: str


class Event(enum.Enum):
    """List every event; docs/events.md is its catalogue."""

    PROCESS_STARTED = EventKind(100, 'INFO', 'process started')
    PROCESS_STOPPING = EventKind(101, 'INFO', 'graceful shutdown began')
    PROCESS_STOPPED = EventKind(102, 'INFO', 'process stopped')
    SETTINGS_RELOADED = EventKind(103, 'INFO', 'settings read again')
    SETTINGS_REJECTED = EventKind(
        104, 'ERROR', 'settings file is not valid; the old ones stay'
    )
    LINES_DROPPED = EventKind(
        110, 'WARNING', 'log lines left out for lack of room'
    )
    REQUEST_ROUTED = EventKind(200, 'INFO', 'request offered to a sidecar')
    REQUEST_SHED = EventKind(201, 'INFO', 'request shed before it ran')
    REQUEST_REROUTED = EventKind(
        202, 'INFO', 'request withdrawn unstarted and offered elsewhere'
    )
    REQUEST_GRANTED = EventKind(203, 'DEBUG', 'request permitted to start')
    REQUEST_ENDED = EventKind(204, 'INFO', 'final answer given')
    REQUEST_RESUMING = EventKind(
        205, 'WARNING', 'answer interrupted; resuming at its offset'
    )
    REQUEST_ATTACHED = EventKind(
        206, 'INFO', 'request attached to an earlier attempt of its key'
    )
    CLAIM_CONFIRMED = EventKind(210, 'DEBUG', 'claim row confirmed')
    CLAIM_CONFLICT = EventKind(211, 'INFO', 'claim row has another owner')
    CLAIM_FAILED = EventKind(212, 'WARNING', 'table service gave no answer')
    CLAIM_SETTLED = EventKind(213, 'INFO', 'abandoned claim released')
    OFFER_QUEUED = EventKind(300, 'DEBUG', 'offer queued at the sidecar')
    OFFER_REFUSED = EventKind(301, 'INFO', 'offer refused at the sidecar')
    REQUEST_STARTED = EventKind(302, 'INFO', 'request sent to the endpoint')
    REQUEST_EVICTED = EventKind(303, 'INFO', 'queued request evicted')
    OFFER_DROPPED = EventKind(
        304, 'INFO', 'queued request withdrawn or left without permission'
    )
    ENDPOINT_DOWN = EventKind(310, 'WARNING', 'endpoint does not answer')
    ENDPOINT_UP = EventKind(311, 'INFO', 'endpoint answers')
    REQUEST_SUSPECTED = EventKind(
        312, 'WARNING', 'request was in progress at an endpoint crash'
    )
    REQUEST_QUARANTINED = EventKind(
        313, 'ERROR', 'request refused for crashing endpoints'
    )
    ENGINE_LIMIT_CHANGED = EventKind(320, 'DEBUG', 'engine limit changed')
    SIDECAR_LINKED = EventKind(400, 'INFO', 'sidecar connected')
    SIDECAR_UNLINKED = EventKind(401, 'WARNING', 'sidecar disconnected')
    SIDECAR_LEAVING = EventKind(402, 'INFO', 'sidecar is leaving')
    PEER_REFUSED = EventKind(
        403, 'WARNING', 'connection of a stranger refused'
    )
    CONFIGURATION_IN_FORCE = EventKind(
        500, 'INFO', 'configuration revision in force'
    )
    CONFIGURATION_REJECTED = EventKind(
        501, 'ERROR', 'configuration document is not valid'
    )
    PLATFORM_UNAVAILABLE = EventKind(
        600, 'WARNING', 'table service gave no usable answer'
    )
    PLATFORM_AVAILABLE = EventKind(601, 'INFO', 'table service answers again')
    LIST_UNAVAILABLE = EventKind(
        602, 'WARNING', 'list of instances gave no usable answer'
    )
    STORE_CALL_FAILED = EventKind(
        603, 'WARNING', 'call to the table service failed'
    )
    GATEWAY_SENT = EventKind(700, 'INFO', 'request sent to an endpoint')
    GATEWAY_ANSWERED = EventKind(701, 'INFO', 'answer passed on whole')
    GATEWAY_ATTEMPT_FAILED = EventKind(
        702, 'WARNING', 'attempt at an endpoint failed'
    )
    GATEWAY_REJECTED = EventKind(
        703, 'WARNING', "final answer of the gateway's own"
    )
    GATEWAY_BROKEN_OFF = EventKind(
        704, 'WARNING', 'answer left incomplete and connection closed'
    )
    CALLER_GONE = EventKind(705, 'INFO', 'caller closed its connection')
    RUNNER_CHANGED = EventKind(710, 'INFO', 'entry of an endpoint read')
    RUNNER_GONE = EventKind(711, 'WARNING', 'endpoint is gone')
    DOCUMENT_UNREADABLE = EventKind(
        720, 'WARNING', 'document of the store passed over'
    )
    HISTORY_LOST = EventKind(
        721, 'WARNING', 'changes of a table are gone; reading it whole'
    )
    ROWS_FROM_PEER = EventKind(
        722, 'WARNING', 'table taken from a peer while the store is away'
    )
    PEER_REPORT_UNREADABLE = EventKind(
        730, 'WARNING', 'report of a peer passed over'
    )
    PEER_UNREACHABLE = EventKind(731, 'DEBUG', 'report to a peer not sent')
    PEER_ROWS_UNAVAILABLE = EventKind(733, 'DEBUG', 'rows of a peer not read')
    PEERS_LISTED = EventKind(732, 'DEBUG', 'list of gateways read')
    GATEWAY_FAULT = EventKind(
        790, 'ERROR', 'unexpected error; the request fails'
    )

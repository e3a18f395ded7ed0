"""Exchange reports with the other gateways by datagrams."""

from __future__ import annotations

import asyncio
import time

from google.protobuf import message as protobuf

from persimmonroute import clock
from persimmonroute.events import Event
from persimmonroute.gateway.locality import Distance
from persimmonroute.gateway import peers
from persimmonroute.generated import peers_pb2 as pb
from persimmonroute import logs

log = logs.EventLog(__name__)

# Without a change a report is repeated this often.
REPEAT_INTERVAL_S = 0.3
# Rings that fall due this close together are told together.
SLACK_S = 0.001


class Ring:
    """Hold when the peers at one distance were last told."""

    def __init__(self, distance):
        self.distance = distance
        self.sent_at = 0.0
        self.changed = True

    def due_at(self, interval_s):
        """Return the time of the next report."""
        if not self.changed:
            interval_s = max(REPEAT_INTERVAL_S, interval_s)
        return self.sent_at + interval_s


class PeerLink(asyncio.DatagramProtocol):
    """Send the own report to all peers and take theirs."""

    def __init__(self, board, scheduler, address, locality, on_report):
        self._board = board
        self._scheduler = scheduler
        self._address = address
        self._locality = locality
        self._on_report = on_report
        self._incarnation = time.time_ns() // 1_000_000
        self._sequence = 0
        self._transport = None
        self._handle = None
        self._rings = [Ring(distance) for distance in Distance]
        # Newest sent_at_ms heard from each peer, to echo.
        self._heard_ms = {}

    def connection_made(self, transport):
        """Begin to send reports."""
        self._transport = transport
        self._send()

    def datagram_received(self, data, address):
        """Take over a peer's report."""
        try:
            message = pb.GatewayReport.FromString(data)
        except protobuf.DecodeError as error:
            log.emit(Event.PEER_REPORT_UNREADABLE, problem=repr(error))
            return
        if not message.name or message.name == self._board.name:
            return
        now = clock.now_s()
        self._board.peers.update_peer(
            message.name, message.address, now, message.failure_domain
        )
        self._board.newest_reported_version = max(
            self._board.newest_reported_version, message.configuration_version
        )
        if self._board.apply_peer_report(_read(message), now):
            self._heard_ms[message.name] = message.sent_at_ms
            self._confirm_configuration(message)
            self._on_report(now)

    def error_received(self, error):
        """Pass over a peer that cannot be reached."""
        log.emit(Event.PEER_UNREACHABLE, problem=repr(error))

    def schedule_reports(self):
        """Send reports as soon as each ring's interval allows."""
        if self._transport is None:
            return
        for ring in self._rings:
            ring.changed = True
        self._arm()

    def close(self):
        """Stop sending."""
        if self._handle is not None:
            self._handle.cancel()
        if self._transport is not None:
            self._transport.close()

    def _arm(self):
        due_at = min(self._due_at(ring) for ring in self._rings)
        delay = max(due_at - clock.now_s(), 0.0)
        loop = asyncio.get_running_loop()
        if self._handle is not None:
            if self._handle.when() <= loop.time() + delay:
                return
            self._handle.cancel()
        self._handle = loop.call_later(delay, self._send)

    def _due_at(self, ring):
        interval_s = self._board.peers.report_interval_s(ring.distance)
        return ring.due_at(interval_s)

    def _send(self):
        self._handle = None
        now = clock.now_s()
        due = [r for r in self._rings if self._due_at(r) <= now + SLACK_S]
        if due:
            self._sequence += 1
            data = self.encode(now).SerializeToString()
        for ring in due:
            ring.sent_at = now
            ring.changed = False
            for peer in self._board.peers.at_distance(ring.distance):
                self._send_to(peer, data)
        self._arm()

    def _send_to(self, peer, data):
        # Serialized messages may be joined; later fields are merged.
        echo = pb.GatewayReport(echo_ms=self._heard_ms.get(peer.name, 0))
        host, _, port = peer.address.rpartition(':')
        self._transport.sendto(
            data + echo.SerializeToString(), (host, int(port))
        )

    def encode(self, now):
        """Return the own report as a message."""
        board = self._board
        report = pb.GatewayReport(
            name=board.name,
            address=self._address,
            incarnation=self._incarnation,
            sequence=self._sequence,
            configuration_version=board.version,
            sent_at_ms=int(now * 1000),
            failure_domain=self._locality.failure_domain,
        )
        age_s = board.configuration_freshness.age_s(now)
        report.configuration_age_ms = int(min(age_s, 3600.0) * 1000) + 1
        for view in board.runner_registry:
            if view.in_flight:
                report.endpoints.add(id=view.id, in_flight=len(view.in_flight))
        waiting = self._scheduler.queued_work(now)
        for (service, rank), work in waiting.items():
            report.waiting.add(
                service=service,
                rank=rank,
                work_ms=int(work.seconds * 1000),
                requests=work.requests,
            )
        for workspace, units in board.quotas.report_used().items():
            report.used.add(workspace=workspace, units=units)
        for fingerprint, count in board.quarantine.report().items():
            report.crashes.add(fingerprint=fingerprint, count=count)
        return report

    def _confirm_configuration(self, message):
        """Take over the age of a peer's confirmation.

        The peer answered after it had received the report that it echoes,
        so its confirmation is dated from when that report was sent.
        """
        board = self._board
        if not message.echo_ms or message.configuration_version == 0:
            return
        if message.configuration_version != board.version:
            return
        age_s = message.configuration_age_ms / 1000
        board.configuration_freshness.confirm(message.echo_ms / 1000 - age_s)


def decode(data):
    """Return the PeerReport in a datagram."""
    return _read(pb.GatewayReport.FromString(data))


def _read(message):
    return peers.PeerReport(
        name=message.name,
        incarnation=message.incarnation,
        sequence=message.sequence,
        in_flight={work.id: work.in_flight for work in message.endpoints},
        waiting={
            (work.service, work.rank): peers.WaitingWork(
                work.requests, work.work_ms / 1000
            )
            for work in message.waiting
        },
        used={use.workspace: use.units for use in message.used},
        crashes={c.fingerprint: c.count for c in message.crashes},
    )

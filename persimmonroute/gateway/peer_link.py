"""Exchange reports with the other gateways by datagrams."""

from __future__ import annotations

import asyncio
import time

from google.protobuf import message as protobuf

from persimmonroute import clock
from persimmonroute.events import Event
from persimmonroute.gateway import peers
from persimmonroute.generated import peers_pb2 as pb
from persimmonroute import logs

log = logs.EventLog(__name__)

# Reports follow a change at most this often.
LEAST_INTERVAL_S = 0.015
# Without a change a report is repeated this often.
REPEAT_INTERVAL_S = 0.25


class PeerLink(asyncio.DatagramProtocol):
    """Send the own report to all peers and take theirs."""

    def __init__(self, board, scheduler, address, on_report):
        self._board = board
        self._scheduler = scheduler
        self._address = address
        self._on_report = on_report
        self._incarnation = time.time_ns() // 1_000_000
        self._sequence = 0
        self._transport = None
        self._sent_at = 0.0
        self._handle = None
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
        self._board.peers.learn(message.name, message.address, now)
        if self._board.hear_peer(_decode(message), now):
            self._heard_ms[message.name] = message.sent_at_ms
            self._confirm_configuration(message)
            self._on_report(now)

    def error_received(self, error):
        """Pass over a peer that cannot be reached."""
        log.emit(Event.PEER_UNREACHABLE, problem=repr(error))

    def note_change(self):
        """Send a report soon."""
        if self._transport is None:
            return
        pause = self._sent_at + LEAST_INTERVAL_S - clock.now_s()
        if self._handle is not None:
            if self._handle.when() - self._loop_time() <= pause:
                return
            self._handle.cancel()
        self._arm(max(pause, 0.0))

    def close(self):
        """Stop sending."""
        if self._handle is not None:
            self._handle.cancel()
        if self._transport is not None:
            self._transport.close()

    def _loop_time(self):
        return asyncio.get_running_loop().time()

    def _arm(self, delay_s):
        loop = asyncio.get_running_loop()
        self._handle = loop.call_later(delay_s, self._send)

    def _send(self):
        now = clock.now_s()
        self._sent_at = now
        self._sequence += 1
        data = self._encode(now).SerializeToString()
        for peer in self._board.peers:
            # Serialized messages may be joined; later fields are merged.
            echo = pb.GatewayReport(echo_ms=self._heard_ms.get(peer.name, 0))
            host, _, port = peer.address.rpartition(':')
            self._transport.sendto(
                data + echo.SerializeToString(), (host, int(port))
            )
        self._arm(REPEAT_INTERVAL_S)

    def _encode(self, now):
        board = self._board
        report = pb.GatewayReport(
            name=board.name,
            address=self._address,
            incarnation=self._incarnation,
            sequence=self._sequence,
            configuration_version=board.version,
            sent_at_ms=int(now * 1000),
        )
        age_s = board.configuration_belief.age_s(now)
        report.configuration_age_ms = int(min(age_s, 3600.0) * 1000) + 1
        for view in board.book:
            if view.in_flight:
                report.endpoints.add(id=view.id, in_flight=len(view.in_flight))
        waiting = self._scheduler.waiting_work(now)
        for (service, rank), work in waiting.items():
            report.waiting.add(
                service=service, rank=rank, work_ms=int(work * 1000)
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
        board.configuration_belief.confirm(message.echo_ms / 1000 - age_s)


def _decode(message):
    return peers.PeerReport(
        name=message.name,
        incarnation=message.incarnation,
        sequence=message.sequence,
        in_flight={work.id: work.in_flight for work in message.endpoints},
        waiting={
            (work.service, work.rank): work.work_ms / 1000
            for work in message.waiting
        },
        used={use.workspace: use.units for use in message.used},
        crashes={c.fingerprint: c.count for c in message.crashes},
    )

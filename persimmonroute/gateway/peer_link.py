"""Exchange load reports with the other gateways over UDP."""

from __future__ import annotations

import asyncio
import random
import time

from google.protobuf import message as protobuf

from persimmonroute import clock
from persimmonroute import draining
from persimmonroute.events import Event
from persimmonroute.gateway import admission_codec
from persimmonroute.gateway.locality import Distance
from persimmonroute.gateway import peer_reading
from persimmonroute.gateway.peer_reading import read_integer
from persimmonroute.gateway.peer_reading import read_number
from persimmonroute.gateway.peer_reading import read_text
from persimmonroute.gateway import peers
from persimmonroute.gateway import quarantine
from persimmonroute.gateway import rollout_forwarding
from persimmonroute.generated import peers_pb2 as pb
from persimmonroute import logs
from persimmonroute import loop_lanes

log = logs.EventLog(__name__)

# Reports due this soon are sent now, to share one encoded message.
DUE_TOLERANCE_S = 0.001
# Of the origin of send times: two starts hardly draw origins that are closer
# than the uptime of a process.
CLOCK_ORIGIN_BITS = 48
# Longest payload of a UDP datagram over IPv4.
MAX_DATAGRAM_BYTES = 65_507


class ReportSchedule:
    """Schedule the reports to all peers at one distance."""

    def __init__(self, distance):
        self.distance = distance
        self.sent_at = 0.0
        self.changed = True

    def due_at(self, interval_s, idle_interval_s):
        """Return when the next report is due."""
        if not self.changed:
            interval_s = max(idle_interval_s, interval_s)
        return self.sent_at + interval_s


class PeerLink(asyncio.DatagramProtocol):
    """Send this gateway's reports to all peers and apply theirs."""

    def __init__(
        self,
        board,
        scheduler,
        address,
        locality,
        dispatcher,
        cores,
        rows_address='',
    ):
        self._board = board
        self._scheduler = scheduler
        self._address = address
        self._rows_address = rows_address
        self._locality = locality
        self._dispatcher = dispatcher
        self._cores = cores
        self._incarnation = time.time_ns() // 1_000_000
        self._sequence = 0
        # Send times count from a random origin, so that peers' echoes of an
        # earlier start are told from those of this one. Its clock may have
        # shown any time.
        self._clock_origin_ms = random.getrandbits(CLOCK_ORIGIN_BITS)
        self._transport = None
        self._handle = None
        # Requests schedule reports, too.
        self._context = loop_lanes.build_context(loop_lanes.Lane.CONTROL)
        self._schedules = [ReportSchedule(distance) for distance in Distance]
        # Newest sent_at_ms received from each peer, echoed in reports to it.
        self._newest_sent_at_ms = {}
        # Admission messages to each gateway, until the end of this step of
        # the event loop.
        self._outgoing = {}
        # Tell and receive the ForwardedOrders, where rollouts are served.
        self.list_forwarded = lambda now: ()
        self.receive_forwarded = lambda peer, orders, now: None

    def connection_made(self, transport):
        """Start to send reports."""
        self._transport = transport
        self._send()

    def datagram_received(self, data, address):
        """Decode and apply a peer's report."""
        try:
            message = pb.GatewayReport.FromString(data)
            _check_sender(message)
        except (protobuf.DecodeError, ValueError) as error:
            self._board.unreadable_parts.record('', 'message', error)
            return
        if message.name == self._board.name:
            return
        now = clock.now_s()
        parts = peer_reading.PartReader(
            self._board.unreadable_parts, message.name
        )
        if message.HasField('admission'):
            self._update_sender(message, now)
            self._dispatcher.receive(
                message.name,
                message.failure_domain,
                admission_codec.decode(message.admission, parts),
                now,
            )
            return
        try:
            report = _decode_message(message, parts)
        except ValueError as error:
            self._board.unreadable_parts.record(message.name, 'report', error)
            return
        self._update_sender(message, now)
        self._apply_report(message, report, now)

    def _update_sender(self, message, now):
        self._board.peers.update_peer(
            message.name,
            message.address,
            now,
            message.failure_domain,
            message.cores,
        )

    def _apply_report(self, message, report, now):
        self._board.record_reported_version(message.configuration_version, now)
        if message.store_era:
            self._board.raise_store_era(message.store_era)
        if self._board.apply_peer_report(report, now):
            self._newest_sent_at_ms[message.name] = message.sent_at_ms
            self._confirm_configuration(message, now)
            if self._board.is_ahead_of(report, now):
                self.schedule_reports()
            if report.orders:
                self.receive_forwarded(report.name, report.orders, now)
            self._board.registration_changes.record_peer(
                message.store_era, message.registrations_version, now
            )
            self._dispatcher.dispatch_ready(now)

    def error_received(self, error):
        """Log that a peer is unreachable; later reports retry it."""
        log.emit(Event.PEER_UNREACHABLE, problem=repr(error))

    def send_admission(self, name, message):
        """Send an admission message, together with others to that peer."""
        if not self._outgoing:
            asyncio.get_running_loop().call_soon(self._flush_admission)
        self._outgoing.setdefault(name, []).append(message)

    def send_stopping(self):
        """Tell all peers that this gateway stops."""
        self._send_report(Distance, clock.now_s())

    def schedule_reports(self):
        """Send changed reports as soon as each distance's interval allows."""
        if self._transport is None or self._transport.is_closing():
            return
        for schedule in self._schedules:
            schedule.changed = True
        self._schedule_timer()

    def close(self):
        """Stop sending and close the socket."""
        if self._handle is not None:
            self._handle.cancel()
        if self._transport is not None:
            self._transport.close()

    def _schedule_timer(self):
        due_at = min(self._due_at(schedule) for schedule in self._schedules)
        delay = max(due_at - clock.now_s(), 0.0)
        loop = asyncio.get_running_loop()
        if self._handle is not None:
            if self._handle.when() <= loop.time() + delay:
                return
            self._handle.cancel()
        self._handle = loop.call_later(
            delay, self._send, context=self._context
        )

    def _due_at(self, schedule):
        known_peers = self._board.peers
        return schedule.due_at(
            known_peers.report_interval_s(schedule.distance),
            known_peers.idle_interval_s(schedule.distance),
        )

    def _flush_admission(self):
        outgoing, self._outgoing = self._outgoing, {}
        for name, batch in outgoing.items():
            peer = self._board.peers.find(name)
            if peer is not None and not self._transport.is_closing():
                with draining.guard('send admission messages'):
                    self._send_batch(peer, batch)

    def _send_batch(self, peer, batch):
        """Send messages in as few datagrams as they fit into."""
        message = pb.GatewayReport(
            name=self._board.name,
            address=self._address,
            failure_domain=self._locality.failure_domain,
            cores=self._cores,
            admission=admission_codec.encode(batch),
        )
        data = message.SerializeToString()
        if len(data) > MAX_DATAGRAM_BYTES and len(batch) > 1:
            half = len(batch) // 2
            self._send_batch(peer, batch[:half])
            self._send_batch(peer, batch[half:])
        else:
            self._send_datagram(peer, data)

    def _send(self):
        """Send the reports that are due, whatever happens to one of them."""
        self._handle = None
        try:
            self._send_due(clock.now_s())
        except Exception as error:
            log.emit(Event.GATEWAY_FAULT, problem=repr(error))
        self._schedule_timer()

    def _send_due(self, now):
        due = [
            s
            for s in self._schedules
            if self._due_at(s) <= now + DUE_TOLERANCE_S
        ]
        for schedule in due:
            schedule.sent_at = now
            schedule.changed = False
        if due:
            self._send_report([s.distance for s in due], now)

    def _send_report(self, distances, now):
        """Number and encode one report, and send it to all peers there."""
        self._sequence += 1
        data = self.encode(now).SerializeToString()
        known_peers = self._board.peers
        for distance in distances:
            interval_s = known_peers.idle_interval_s(distance)
            for peer in known_peers.at_distance(distance):
                # Concatenated protobuf messages are merged by the receiver.
                own_part = pb.GatewayReport(
                    echo_ms=self._newest_sent_at_ms.get(peer.name, 0),
                    next_report_ms=int(interval_s * 1000),
                )
                self._send_datagram(peer, data + own_part.SerializeToString())

    def _send_datagram(self, peer, data):
        host, _, port = peer.address.rpartition(':')
        try:
            self._transport.sendto(data, (host, int(port)))
        except (ValueError, OverflowError, OSError) as error:
            # An address that is none; the other peers get their reports.
            log.emit(
                Event.PEER_UNREACHABLE, peer=peer.name, problem=repr(error)
            )

    def encode(self, now):
        """Return the part of the current report that all peers get."""
        board = self._board
        report = pb.GatewayReport(
            name=board.name,
            address=self._address,
            incarnation=self._incarnation,
            sequence=self._sequence,
            configuration_version=board.version,
            sent_at_ms=self._clock_origin_ms + int(now * 1000),
            failure_domain=self._locality.failure_domain,
            store_era=board.store_era or 0,
            cores=self._cores,
            stopping=board.draining,
            rows_address=self._rows_address,
            store_away=board.store_away,
            registrations_version=board.registration_changes.newest_change(
                board.store_era or 0
            ),
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
        findings = board.quarantine.report(now)
        for trait, suspect in findings.suspects.items():
            report.crash_suspects.add(
                trait=trait,
                crashes=suspect.crash_ages_s.keys(),
                ages_ms=[
                    int(age_s * 1000)
                    for age_s in suspect.crash_ages_s.values()
                ],
                specificity=suspect.specificity,
            )
        report.sound_traits.extend(sorted(findings.sound))
        for runner_id, started_at_ms in board.runner_registry.report_leaving(
            now
        ):
            report.leaving.add(id=runner_id, started_at_ms=started_at_ms)
        report.limits.extend(
            admission_codec.encode_limit(limit)
            for limit in board.runner_registry.limits.report(now)
        )
        report.orders.extend(
            admission_codec.encode_order(forwarded)
            for forwarded in self.list_forwarded(now)
        )
        return report

    def _confirm_configuration(self, message, now):
        """Confirm the configuration if a peer reports the same version.

        The peer computed the age after it received the report that it
        echoes, so the age counts back from the send time of that report.
        """
        board = self._board
        if not message.echo_ms or message.configuration_version == 0:
            return
        if message.configuration_version != board.version:
            return
        if message.store_era < (board.store_era or 0):
            # The peer's confirmation is by a store that has been restored.
            return
        sent_at = (message.echo_ms - self._clock_origin_ms) / 1000
        if not 0.0 <= sent_at <= now:
            log.emit(Event.ECHO_IGNORED, gateway=message.name)
            return
        age_s = message.configuration_age_ms / 1000
        board.configuration_freshness.confirm(sent_at - age_s, now)


def decode(data):
    """Decode a datagram into a PeerReport; raises ValueError."""
    message = pb.GatewayReport.FromString(data)
    unreadable = peer_reading.UnreadableParts()
    return _decode_message(
        message, peer_reading.PartReader(unreadable, message.name)
    )


def _check_sender(message):
    """Raise ValueError unless all that is kept of a sender is in range."""
    peer_reading.read_text(message.name)
    peer_reading.read_address(message.address)
    peer_reading.read_optional_text(message.failure_domain)
    peer_reading.read_number(message.cores, 0.0, peer_reading.MAX_CORES)


def _read_rows_address(value):
    """Return an address, empty if a peer states none that is usable."""
    try:
        return peer_reading.read_address(value)
    except ValueError:
        return ''


def _read_suspect(suspect):
    read_number(suspect.specificity, 0, peer_reading.MAX_SPECIFICITY)
    crash_ages_s = {
        crash: age_ms / 1000
        for crash, age_ms in zip(suspect.crashes, suspect.ages_ms)
    }
    return suspect.trait, quarantine.Suspect(suspect.specificity, crash_ages_s)


def _decode_findings(message, parts):
    if not message.crash_suspects and not message.sound_traits:
        return quarantine.NO_FINDINGS
    suspects = parts.read_all('suspect', message.crash_suspects, _read_suspect)
    return quarantine.PeerFindings(
        dict(suspects), frozenset(message.sound_traits)
    )


def _read_endpoint(work):
    most = peer_reading.MAX_IN_FLIGHT
    return read_text(work.id), read_number(work.in_flight, 0, most)


def _read_waiting(work):
    most = peer_reading.MAX_TIER
    rank = read_number(work.rank, -most, most)
    return (read_text(work.service), rank), peers.WaitingWork(
        work.requests, work.work_ms / 1000
    )


def _read_use(use):
    units = read_number(
        use.units, -peer_reading.MAX_UNITS, peer_reading.MAX_UNITS
    )
    return read_text(use.workspace), units


def _read_leaving(leaving):
    return read_text(leaving.id), read_integer(leaving.started_at_ms)


def _decode_message(message, parts):
    """Return a PeerReport of the readable parts.

    Raises ValueError if what holds for the whole report is out of range.
    """
    for value in (
        message.incarnation,
        message.sequence,
        message.configuration_version,
        message.registrations_version,
    ):
        read_integer(value)
    read_integer(message.store_era, peer_reading.MAX_ERA)
    interval_s = min(
        message.next_report_ms / 1000, peer_reading.MAX_REPORT_INTERVAL_S
    )
    return peers.PeerReport(
        name=message.name,
        incarnation=message.incarnation,
        sequence=message.sequence,
        in_flight=dict(
            parts.read_all('endpoint', message.endpoints, _read_endpoint)
        ),
        waiting=dict(
            parts.read_all('waiting work', message.waiting, _read_waiting)
        ),
        used=dict(parts.read_all('usage', message.used, _read_use)),
        crash_findings=_decode_findings(message, parts),
        interval_s=interval_s or peers.IDLE_INTERVAL_S,
        stopping=message.stopping,
        configuration_version=message.configuration_version,
        registrations_version=message.registrations_version,
        store_era=message.store_era,
        rows_address=_read_rows_address(message.rows_address),
        store_away=message.store_away,
        leaving=tuple(
            parts.read_all('leaving endpoint', message.leaving, _read_leaving)
        ),
        limits=tuple(
            parts.read_all(
                'limit', message.limits, admission_codec.decode_limit
            )
        ),
        orders=tuple(
            parts.read_all(
                'order',
                message.orders[: rollout_forwarding.MAX_FORWARDED],
                lambda order: admission_codec.decode_order(
                    order, message.store_era
                ),
            )
        ),
    )

"""Send a gateway messages of peers that hold any values."""

from __future__ import annotations

import asyncio
import math
import random
import typing

from google.protobuf import descriptor

from persimmonroute import clock
from persimmonroute.gateway import messages
from persimmonroute.gateway import model
from persimmonroute.generated import peers_pb2 as pb
from standins import datagram_simulation
from standins import gateway_fixtures as fixtures

MAX_DATAGRAM_BYTES = 65_507
MAX_PARTS = 4
# Share of the messages whose sender is a known gateway.
KNOWN_SENDER_SHARE = 0.8
REPORTS_PER_START = 500
TICK_EVERY = 20
DECISION_S = 6.0
TEXTS = (
    '',
    'llm',
    'riga',
    'desk',
    'draft',
    'answered',
    'llm-riga-a-0',
    'chat-riga-b-0',
    'gateway-1',
    '10.0.0.1:7001',
    'host.example:80',
    'a\x00\n',
    'é' * 500,
    'x' * 60_000,
)
NUMBERS = {
    descriptor.FieldDescriptor.TYPE_UINT32: (0, 1, 7, 2**31, 2**32 - 1),
    descriptor.FieldDescriptor.TYPE_FIXED32: (0, 1, 2**32 - 1),
    descriptor.FieldDescriptor.TYPE_SINT32: (0, 1, -1, 2**31 - 1, -(2**31)),
    descriptor.FieldDescriptor.TYPE_UINT64: (0, 1, 9, 2**53, 2**64 - 1),
    descriptor.FieldDescriptor.TYPE_FIXED64: (0, 1, 2**64 - 1),
    descriptor.FieldDescriptor.TYPE_FLOAT: (
        0.0,
        0.5,
        -1.0,
        3e38,
        math.nan,
        math.inf,
        -math.inf,
    ),
    descriptor.FieldDescriptor.TYPE_BOOL: (False, True),
}
NUMBERS[descriptor.FieldDescriptor.TYPE_DOUBLE] = (
    *NUMBERS[descriptor.FieldDescriptor.TYPE_FLOAT],
    -1e308,
    1e308,
)


class Finding(typing.NamedTuple):
    """Describe what a message did to a gateway."""

    problem: str
    message: str


def fill(message, rng):
    """Set some fields of a message to any values of their types."""
    for field in message.DESCRIPTOR.fields:
        if rng.random() < 0.3:
            continue
        if field.message_type is not None:
            _fill_parts(message, field, rng)
        elif field.is_repeated:
            values = [_choose(field, rng) for _ in range(rng.randrange(3))]
            getattr(message, field.name).extend(values)
        else:
            setattr(message, field.name, _choose(field, rng))


def _fill_parts(message, field, rng):
    if field.message_type.GetOptions().map_entry:
        key = field.message_type.fields_by_name['key']
        value = field.message_type.fields_by_name['value']
        for _ in range(rng.randrange(MAX_PARTS)):
            entries = getattr(message, field.name)
            entries[_choose(key, rng)] = _choose(value, rng)
    elif field.is_repeated:
        for _ in range(rng.randrange(MAX_PARTS)):
            fill(getattr(message, field.name).add(), rng)
    elif rng.random() < 0.5:
        fill(getattr(message, field.name), rng)


def _choose(field, rng):
    if field.type == descriptor.FieldDescriptor.TYPE_STRING:
        # The long texts are rare, or no message would fit a datagram.
        return rng.choice(TEXTS if rng.random() < 0.02 else TEXTS[:-2])
    return rng.choice(NUMBERS[field.type])


def build_datagram(rng, sequence):
    """Return the bytes of a message, at times with some of them changed."""
    message = pb.GatewayReport()
    fill(message, rng)
    if rng.random() < KNOWN_SENDER_SHARE:
        number = rng.randrange(1, datagram_simulation.GATEWAYS)
        message.name = f'gateway-{number}'
        message.address = f'10.0.0.1:{7000 + number}'
        message.failure_domain = datagram_simulation.DOMAINS[number % 3]
        message.cores = 1.0
        message.incarnation = 1 + sequence // REPORTS_PER_START
        message.sequence = sequence
    if rng.random() < 0.5:
        message.ClearField('admission')
    if rng.random() < 0.5:
        message.next_report_ms = 300
        message.store_era = message.configuration_version = 1
        message.registrations_version = 1
    data = bytearray(message.SerializeToString())
    if data and rng.random() < 0.2:
        for _ in range(rng.randrange(1, 4)):
            data[rng.randrange(len(data))] = rng.randrange(256)
    return bytes(data[:MAX_DATAGRAM_BYTES])


async def _fuzz(play, rng, count):
    gateway = datagram_simulation.Gateway(play, 0, 1)
    findings = []
    for number in range(count):
        data = build_datagram(rng, number)
        try:
            gateway.link.datagram_received(data, None)
            if number % TICK_EVERY == 0:
                await asyncio.sleep(rng.choice((0.0, 0.06, 0.5)))
                gateway.board.refresh_peers(clock.now_s())
                gateway.link.encode(clock.now_s()).SerializeToString()
            problem = _find_problem(gateway)
        except Exception as error:
            problem = repr(error)
        if problem is not None:
            findings.append(Finding(problem[:200], _print(data)))
            break
    if not await _is_decided(gateway):
        findings.append(Finding('a request is not decided', ''))
    gateway.kill(play.network)
    await asyncio.sleep(0)
    return findings


def _print(data):
    try:
        return str(pb.GatewayReport.FromString(data))[:2000]
    except ValueError:
        return repr(data[:2000])


def _find_problem(gateway):
    """Return what is wrong with the state of a gateway, or None."""
    board, now = gateway.board, clock.now_s()
    for bucket in board.quotas._buckets.values():
        if not -1e16 < bucket.level <= bucket.capacity + 1e16:
            return f'bucket at {bucket.level}'
    for peer in board.peers:
        if not 0.0 <= peer.cores <= 1e6:
            return f'peer with {peer.cores} cores'
        if peer.report is not None and not 0 < peer.report.interval_s <= 60.0:
            return f'peer reports each {peer.report.interval_s} s'
        if not peer.address.rpartition(':')[0].replace('.', '').isdigit():
            return f'peer at {peer.address}'
    for service in datagram_simulation.SERVICES:
        board.peers.higher_tier_demand(service, 5, now)
        if not 0.0 <= board.peers.work_ahead(service, 9.5, now) < math.inf:
            return 'work ahead'
    for view in board.runner_registry:
        rate = board.runner_registry.limits.find_rate(view.record)
        if not 0.0 <= rate:
            return f'limit of {rate}'
        if not 0 <= view.load <= 1e8:
            return f'load of {view.load}'
    for group in gateway.host.groups:
        registry = gateway.host.find(group).runner_registry
        for seconds in registry.first_byte_s.values():
            if not 0.0 <= seconds <= 3600.0:
                return f'{seconds} s to the first byte'
    if board.newest_reported_version >= 2**53 or (board.store_era or 0) > 1e6:
        return 'version out of range'
    return None


async def _is_decided(gateway):
    """Return whether a request of this gateway gets a decision."""
    pending = messages.PendingRequest(
        fixtures.request(remaining_s=4.0),
        datagram_simulation.ROUTE,
        datagram_simulation.SERVICES[0],
        datagram_simulation.WORKSPACE,
        clock.now_s(),
    )
    wait = asyncio.create_task(gateway.dispatcher.wait_for_grant(pending))
    await asyncio.wait({wait}, timeout=DECISION_S)
    decided = wait.done() and wait.exception() is None
    wait.cancel()
    return decided and (
        pending.runner is not None
        or isinstance(wait.result(), model.Rejection)
    )


def fuzz(seed, count):
    """Send a gateway messages with any values; return the Findings."""
    rng = random.Random(seed)
    play = datagram_simulation.Play(seed)
    play.network.calm()
    findings = datagram_simulation.run(play, _fuzz(play, rng, count))
    return findings + [
        Finding(f'{v.rule}: {v.detail}'[:300], '')
        for v in play.violations
        if v.rule != 'PEER_REPORT_UNREADABLE'
    ]

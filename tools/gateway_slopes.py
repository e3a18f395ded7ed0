"""Measure the CPU cost of a gateway's dispatch and peer reports."""

from __future__ import annotations

import math

from persimmonroute.gateway import peer_link
from persimmonroute.gateway import peers
from standins import gateway_fixtures as fixtures
from tools import slopes

REPEATS = 300
QUEUED = 10
DOMAINS = ('riga-a', 'riga-b', 'frankfurt-a')


def build_board(gateways, endpoints):
    """Return a board with endpoints and peers that use a third of them."""
    runners = [
        fixtures.runner(
            f'i-{number:010x}',
            slots=5,
            failure_domain=DOMAINS[number % len(DOMAINS)],
        )
        for number in range(endpoints)
    ]
    board = fixtures.board(runners=runners)
    for number in range(gateways):
        name = f'edge-riga-a-{number}'
        domain = DOMAINS[number % len(DOMAINS)]
        board.peers.update_peer(name, '10.1.0.25:7600', 0.0, domain)
        board.apply_peer_report(build_report(name, endpoints, 1), 0.0)
    return board


def build_report(name, endpoints, sequence):
    """Return a report of a gateway that uses a third of the endpoints."""
    used = range(0, endpoints, 3)
    return peers.PeerReport(
        name,
        1,
        sequence,
        {f'i-{number:010x}': 1 for number in used},
        {
            (fixtures.SERVICE, rank): peers.WaitingWork(2, 0.6)
            for rank in (0, 1)
        },
        {f'workspace-{number}': 12345.0 for number in range(16)},
    )


def measure_dispatch():
    """Print the cost of a dispatch pass over the queue, by cluster size."""
    for gateways, endpoints in ((4, 5), (21, 21), (21, 63), (63, 63)):
        board = build_board(gateways, endpoints)
        for view in board.runner_registry:
            view.peer_in_flight['others'] = 6
        scheduler = fixtures.scheduler(board)
        for _ in range(QUEUED):
            scheduler.submit(fixtures.pending_request(), 0.0)
        pass_us = slopes.mean_cpu_us(
            lambda: scheduler.dispatch_ready(fixtures.SERVICE, 0.1), REPEATS
        )
        print(
            f'gateway dispatch, {gateways} peers, {endpoints} full endpoints, '
            f'{QUEUED} queued: {pass_us:.0f} us'
        )


def measure_reports():
    """Print the size of a report and the cost to send and receive it."""
    for endpoints in (5, 21, 63):
        board = build_board(21, endpoints)
        scheduler = fixtures.scheduler(board)
        for view in list(board.runner_registry)[::3]:
            pending = fixtures.pending_request()
            view.in_flight[pending.attempt] = pending
        link = peer_link.PeerLink(
            board, scheduler, '10.1.0.25:7600', fixtures.LOCALITY, print
        )
        size = len(link.encode(0.0).SerializeToString())
        send_us = slopes.mean_cpu_us(
            lambda: link.encode(0.0).SerializeToString(), REPEATS
        )
        data = link.encode(0.0).SerializeToString()
        report = peer_link.decode(data)
        numbers = iter(range(2, 10**9))

        def receive():
            peer_link.decode(data)
            board.apply_peer_report(
                report._replace(name='edge-riga-a-1', sequence=next(numbers)),
                0.1,
            )

        receive_us = slopes.mean_cpu_us(receive, REPEATS)
        print(
            f'report, {math.ceil(endpoints / 3)} endpoints in use: {size} '
            f'bytes, {send_us:.0f} us to send, {receive_us:.0f} us to receive'
        )


def main():
    """Print all costs of the gateway."""
    measure_dispatch()
    measure_reports()


if __name__ == '__main__':
    main()

"""Measure what a gateway's decisions and reports cost."""

from __future__ import annotations

import math

from persimmonroute.gateway import peer_link
from persimmonroute.gateway import peers
from standins import gateway_fixtures as fixtures
from tools import slopes

REPEATS = 300
WAITING = 10
DOMAINS = ('riga-a', 'riga-b', 'frankfurt-a')


def build_board(gateways, endpoints):
    """Return a board that knows peers, and endpoints that are full."""
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
    """Return a report of a gateway that uses a part of the endpoints."""
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
        {},
    )


def measure_looks():
    """Print the cost of a look at what waits, against size."""
    for gateways, endpoints in ((4, 5), (21, 21), (21, 63), (63, 63)):
        board = build_board(gateways, endpoints)
        for view in board.runner_registry:
            view.peer_in_flight['others'] = 6
        scheduler = fixtures.scheduler(board)
        for _ in range(WAITING):
            scheduler.submit(fixtures.pending_request(), 0.0)
        spent = slopes.timed_us(
            lambda: scheduler.dispatch_ready(fixtures.SERVICE, 0.1), REPEATS
        )
        print(
            f'gateway look, {gateways} peers, {endpoints} full endpoints, '
            f'{WAITING} waiting: {spent:.0f} us'
        )


def measure_reports():
    """Print the size of a report and the cost of hearing one."""
    for endpoints in (5, 21, 63):
        board = build_board(21, endpoints)
        scheduler = fixtures.scheduler(board)
        for view in list(board.runner_registry)[::3]:
            made = fixtures.pending_request()
            view.in_flight[made.attempt] = made
        link = peer_link.PeerLink(
            board, scheduler, '10.1.0.25:7600', fixtures.LOCALITY, print
        )
        size = len(link.encode(0.0).SerializeToString())
        sent = slopes.timed_us(
            lambda: link.encode(0.0).SerializeToString(), REPEATS
        )
        data = link.encode(0.0).SerializeToString()
        report = peer_link.decode(data)
        numbers = iter(range(2, 10**9))

        def hear():
            peer_link.decode(data)
            board.apply_peer_report(
                report._replace(name='edge-riga-a-1', sequence=next(numbers)),
                0.1,
            )

        heard = slopes.timed_us(hear, REPEATS)
        print(
            f'report, {math.ceil(endpoints / 3)} endpoints in use: {size} '
            f'bytes, {sent:.0f} us to send, {heard:.0f} us to hear'
        )


def main():
    """Print the slopes of the gateway."""
    measure_looks()
    measure_reports()


if __name__ == '__main__':
    main()

"""Measure the CPU time and memory per unit of state and traffic.

Usage: slopes [options]

Options:
  --deployment NAME  Also measure its idle processes.
"""

from __future__ import annotations

import asyncio
import json
import time
import tracemalloc

import docopt
from hdrh import histogram

from persimmonroute.config import declarations
from persimmonroute.entry import board as boards
from persimmonroute.entry import messages
from persimmonroute.entry import routing
from persimmonroute.generated import exchange_pb2 as pb
from persimmonroute.sidecar import board as sidecar_boards
from persimmonroute.sidecar import limits
from persimmonroute import store
from persimmonroute.store import StoreStatus
from persimmonroute import write_grouping
from standins import small_simulation
from tools import demo
from tools import deployment as deployments

IDLE_DURATION_S = 10.0
STORE_DELAY_S = 0.004
CLAIM_COUNT = 2000
REPEATS = 2000
HISTOGRAM_MAX_NS = 10**10
HISTOGRAM_DIGITS = 3


def mean_cpu_us(function, repeats=REPEATS):
    """Return the mean CPU time of one call in microseconds."""
    function()
    started_at = time.process_time()
    for _ in range(repeats):
        function()
    return (time.process_time() - started_at) / repeats * 1e6


def p99_us(function, repeats=REPEATS):
    """Return the 99th percentile of a call's duration in microseconds."""
    times = histogram.HdrHistogram(1, HISTOGRAM_MAX_NS, HISTOGRAM_DIGITS)
    for _ in range(repeats):
        started_at = time.perf_counter_ns()
        function()
        times.record_value(time.perf_counter_ns() - started_at)
    return times.get_value_at_percentile(99) / 1000


def allocated_bytes(build, count):
    """Return the mean memory of each object that build creates, in bytes."""
    tracemalloc.start()
    objects = build(count)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del objects
    return size / count


def measure_decisions():
    """Print the cost of a routing decision by number of candidates."""
    policy = routing.PredictedFirstToken()
    locality = boards.Locality('riga', 'riga-a')
    work_class = declarations.WorkClass(
        'c', 'llm', 1, True, declarations.Target(0.99, 0.96, 0.051, None)
    )
    call = small_simulation.draft('d')._replace(prefix_blocks=tuple(range(32)))
    record = boards.CallRecord(call, work_class, 0.0)
    for count in (4, 16, 64):
        views = _views(count)
        policy.record_offer(record, views[0].instance.name)
        spent = mean_cpu_us(lambda v=views: policy.choose(record, v, locality))
        p99 = p99_us(lambda v=views: policy.choose(record, v, locality))
        print(
            f'decision, {count} candidates: {spent:.0f} us, p99 {p99:.0f} us'
        )


def _views(count):
    views = []
    for number in range(count):
        instance = messages.Instance(
            f's-{number}', 'llm', 'riga', 'riga-b', 'a', False
        )
        view = boards.SidecarView(instance)
        view.linked = True
        view.update_load(_load())
        views.append(view)
    return views


def _load():
    return pb.Load(
        wait_s=[0.1, 0.2, 0.4, 0.8],
        prefill_tokens_per_s=16000.0,
        decode_step_s=0.012,
        queued=3,
        running=8,
        limit=16,
        admitted_tier=4,
    )


def measure_cores():
    """Print the time that entry and sidecar cores spend on a request."""
    for tokens in (10, 110):
        simulation = small_simulation.build_simulation(endpoints=4, entries=1)
        count = 300
        for number in range(count):
            call = small_simulation.draft(f'd-{number}', tokens=tokens)
            simulation.schedule(
                number * 0.05, simulation.submit, call, 'entry-1'
            )
        spent = {'entry': 0.0, 'sidecar': 0.0}
        for kind, nodes in (
            ('entry', simulation.entries.values()),
            ('sidecar', simulation.sidecars.values()),
        ):
            for node in nodes:
                _time_core(node, spent, kind)
        simulation.run_until(simulation.now + count * 0.05 + 10)
        for kind, seconds in spent.items():
            print(
                f'{kind} core, request of {tokens} tokens:'
                f' {seconds / count * 1e6:.0f} us'
            )


def _time_core(node, spent, kind):
    handle = node.core.handle

    def timed_handle(event, now):
        started_at = time.perf_counter()
        effects = handle(event, now)
        spent[kind] += time.perf_counter() - started_at
        return effects

    node.core.handle = timed_handle


def measure_queue():
    """Print the cost of a wait estimate by queue length."""
    for queued in (0, 100, 400):
        board = sidecar_boards.SidecarBoard('s', 'i', 'llm')
        limit = limits.ModelLimit()
        for number in range(queued):
            offer = pb.Offer(tier=1 + number % 4, prompt_tokens=500)
            item = sidecar_boards.Attempt(f'a{number}', offer, 'e', 0.0)
            board.queue.add(item)
        waiting = list(board.queue)
        spent = mean_cpu_us(lambda w=waiting: limit.wait_s(w, {}, 0.0), 200)
        print(f'wait of one tier, {queued} queued: {spent:.0f} us')


def measure_messages():
    """Print the encoded sizes of messages."""
    load = pb.Envelope(
        sender='llm-pool-1', incarnation='0' * 32, revision=9, load=_load()
    )
    print(f'load report: {load.ByteSize()} bytes')
    data = b'data: {"choices": [{"index": 0, "text": "word "}]}\n\n'
    chunk = pb.Frame(
        request_id='0' * 34, chunk=pb.Chunk(offset=1000, data=data, tokens=1)
    )
    print(f'frame of one token: {chunk.ByteSize()} bytes')
    offer = pb.Frame(
        request_id='0' * 34,
        offer=pb.Offer(
            workspace='riga-desk',
            class_name='counter-offer',
            path='/v1/completions',
            fingerprint='0' * 32,
            prefix_blocks=range(2**60, 2**60 + 8),
        ),
    )
    print(f'offer without its body, 8 blocks: {offer.ByteSize()} bytes')


def measure_declarations():
    """Print the cost of parsing and keeping declarations by their size."""
    base = small_simulation.DECLARATIONS
    for workspaces in (1000, 23000):
        names = [f'workspace-{n:05}' for n in range(workspaces)]
        _measure_document(
            {**base, 'workspaces': names}, f'{workspaces} workspaces'
        )
    for classes in (100, 1000):
        copies = [
            {**base['classes'][0], 'name': f'class-{n}'}
            for n in range(classes)
        ]
        _measure_document({**base, 'classes': copies}, f'{classes} classes')


def _measure_document(document, label):
    text = json.dumps(document).encode()
    spent = mean_cpu_us(lambda: declarations.parse_declarations(text), 10)
    size = allocated_bytes(lambda _: declarations.parse_declarations(text), 1)
    print(
        f'declarations, {label}: {len(text)} bytes,'
        f' parse {spent / 1000:.1f} ms, keep {size / 1e6:.2f} MB'
    )


def measure_state():
    """Print the memory of a sidecar view, a request and a prefix block."""
    print(f'sidecar view: {allocated_bytes(_views, 500):.0f} bytes')

    def build_records(count):
        work_class = declarations.WorkClass('c', 'l', 1, True, None)
        return [
            boards.CallRecord(small_simulation.draft(f'd{n}'), work_class, 0.0)
            for n in range(count)
        ]

    size = allocated_bytes(build_records, 500)
    print(f'request in progress without its body: {size:.0f} bytes')

    def build_index(count):
        index = routing.PrefixIndex(count)
        for number in range(count):
            index.add((number * 2**40,), f's-{number % 16}')
        return index

    size = allocated_bytes(build_index, 50000)
    print(f'prefix block: {size:.0f} bytes')


class DelayedTables:
    """Commit each transaction after a fixed delay."""

    async def transact(self, writes):
        """Return every write as committed."""
        await asyncio.sleep(STORE_DELAY_S)
        rows = tuple(store.Row(w.key, w.value, 1) for w in writes)
        return store.StoreReply(StoreStatus.COMMITTED, rows)


async def measure_claims():
    """Print claims per second and transactions per claim."""
    for concurrent in (1, 10, 100):
        grouper = write_grouping.WriteGrouper(DelayedTables())
        started_at = time.monotonic()

        async def claim(worker, grouper=grouper, concurrent=concurrent):
            for number in range(CLAIM_COUNT // concurrent):
                key = f'{worker}/{number}'
                await grouper.write(store.Write('claims', key, {}, 0))

        await asyncio.gather(*(claim(n) for n in range(concurrent)))
        spent = time.monotonic() - started_at
        print(
            f'claims, {concurrent} wait: {CLAIM_COUNT / spent:.0f} a second,'
            f' {grouper.transactions / CLAIM_COUNT:.3f} transactions each'
        )


async def measure_idle(deployment_name):
    """Print the memory and CPU share of idle processes."""
    folder = deployments.ROOT / 'deploy' / deployment_name
    async with deployments.run_deployment(
        folder, demo.LOG_FOLDER
    ) as deployment:
        demo.apply_declarations(deployment)
        await deployment.wait_serving()
        await asyncio.sleep(2.0)
        before = deployment.read_usage()
        await asyncio.sleep(IDLE_DURATION_S)
        after = deployment.read_usage()
    for name in ('entry-1', 'sidecar-llm-pool-1'):
        share = (after[name].cpu_s - before[name].cpu_s) / IDLE_DURATION_S
        print(
            f'{name} idle: {after[name].resident_mb:.0f} MB,'
            f' {share * 100:.2f}% of a core'
        )


def main():
    """Print all measurements."""
    arguments = docopt.docopt(__doc__)
    measure_decisions()
    measure_cores()
    measure_queue()
    measure_messages()
    measure_declarations()
    measure_state()
    asyncio.run(measure_claims())
    if arguments['--deployment']:
        asyncio.run(measure_idle(arguments['--deployment']))


if __name__ == '__main__':
    main()

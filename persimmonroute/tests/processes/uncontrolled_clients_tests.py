"""Test an entry process under clients that do not control what they send."""

from __future__ import annotations

import asyncio
import itertools
import json
import pathlib
import tempfile
import unittest

from persimmonroute.entry import intake
from persimmonroute.tests.processes import process_case
from standins import callers
from standins import small_simulation
from standins import uncontrolled_clients as clients
from standins.uncontrolled_clients import Kind
from tools import demo
from tools import deployment as deployments
from tools import small_deployment

# What the settings state of the instance, and what the process must not
# exceed.
MEMORY_MB = 112
MAX_DESCRIPTORS = 256
BODY_BYTES = 1_048_576
STREAM_TOKENS = 20_000
LOAD_S = 4.0
REQUEST_TIMEOUT_S = 10.0
ENTRY = 'entry-1'
FAST_ENGINE_ARGUMENTS = ['--prefill', '200000', '--step', '0.001']
ENDPOINTS = (
    small_deployment.EndpointPlan(
        'llm-pool-1', 'llm-pool', 'model', 'engine', FAST_ENGINE_ARGUMENTS
    ),
    small_deployment.EndpointPlan(
        'trade-desk-1', 'trade-desk', 'plain', 'service', ['--seconds', '0.01']
    ),
)
PAIRS = (
    (Kind.STALLED_BODIES, Kind.TINY_CHUNKS),
    (Kind.STALLED_PIECES, Kind.STALLED_HEADS),
    (Kind.PIPELINED, Kind.ABANDONED),
    (Kind.UNREAD_STREAMS, Kind.WHOLE_BODIES),
    (Kind.SLOW_HEADS, Kind.TRAILERS),
    (Kind.EMPTY_LINES, Kind.CHUNK_EXTENSIONS),
)


class UncontrolledClientsCase(unittest.IsolatedAsyncioTestCase):
    """Run one entry process with lowered limits."""

    async def asyncSetUp(self):
        """Start a deployment with one entry."""
        folder = tempfile.TemporaryDirectory(prefix='clients-')
        self.addCleanup(folder.cleanup)
        small_deployment.write_deployment(
            folder.name,
            entries=1,
            endpoints=ENDPOINTS,
            memory_mb=MEMORY_MB,
            max_descriptors=MAX_DESCRIPTORS,
        )
        logs = pathlib.Path(folder.name) / 'logs'
        self.deployment = deployments.Deployment(folder.name, logs)
        self.addAsyncCleanup(self.deployment.stop)
        self.deployment.start_all()
        await asyncio.to_thread(demo.apply_declarations, self.deployment)
        await self.deployment.wait_serving()
        self._numbers = itertools.count()

    def _build_profile(self):
        common = (
            'host: entry\r\n'
            f'persimmon-workspace: {small_simulation.WORKSPACE}\r\n'
        )
        plain = (
            'POST /services/trade-desk/stock HTTP/1.1\r\n'
            f'{common}persimmon-class: stock-lookup\r\n'
        ).encode()
        completion = json.dumps(
            {
                'model': 'any',
                'prompt': 'x',
                'max_tokens': STREAM_TOKENS,
                'stream': True,
            }
        )
        stream = (
            'POST /v1/completions HTTP/1.1\r\n'
            f'{common}persimmon-class: dossier-digest\r\n'
            f'content-length: {len(completion)}\r\n\r\n{completion}'
        ).encode()
        return clients.Profile(
            self.deployment.entries[0],
            plain,
            plain + b'content-length: 0\r\n\r\n',
            stream,
            min(BODY_BYTES, intake.MAX_BODY_BYTES),
        )

    async def check(self, *kinds):
        """Apply a load; check the process, its use and one request."""
        pid = self.deployment.find_pid(ENTRY)
        watch = clients.UsageWatch(pid)
        async with clients.Load(self._build_profile(), *kinds):
            await asyncio.sleep(LOAD_S)
        await self._check_served()
        usage = watch.stop()
        self.assertLessEqual(usage.resident_mb, MEMORY_MB, usage)
        self.assertLessEqual(usage.descriptors, MAX_DESCRIPTORS, usage)

    async def _check_served(self):
        """Check that one ordinary request is answered."""
        caller = callers.Caller()
        self.addAsyncCleanup(caller.close)
        number = next(self._numbers)
        order = process_case.order(number, f'ordinary-{number}')
        async with asyncio.timeout(REQUEST_TIMEOUT_S):
            result = await caller.send(self.deployment.entries[0], order)
        self.assertEqual(result.outcome, 'completed', result)


class OneKindTests(UncontrolledClientsCase):
    """Apply the load of one kind of clients.

    Each guards against a process that ends or hangs, exceeds the memory or
    the descriptors of its instance, or serves nobody afterwards.
    """


class TwoKindsTests(UncontrolledClientsCase):
    """Apply the load of two kinds of clients at once.

    They guard against limits that hold only for each kind by itself.
    """


def _add_test(case, kinds):
    """Add a test of some kinds to a case."""

    async def test(self):
        await self.check(*kinds)

    names = '_and_'.join(kind.name.lower() for kind in kinds)
    test.__name__ = f'test_{names}'
    test.__doc__ = f'Serve beside {names.replace("_", " ")}.'
    setattr(case, test.__name__, test)


for _kind in Kind:
    _add_test(OneKindTests, (_kind,))
for _pair in PAIRS:
    _add_test(TwoKindsTests, _pair)

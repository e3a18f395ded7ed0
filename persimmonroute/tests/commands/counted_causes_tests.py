"""Compare the causes that explain finds with the faults that were played."""

from __future__ import annotations

import asyncio
import contextlib
import io
import random
import re
import typing
import unittest

from loguru import logger

from persimmonroute.commands import explain
from persimmonroute import http_connection
from persimmonroute import logs
from standins import gateway_deployment as deployments

SEED = 22
STREAM = (('accept', 'text/event-stream'),)
# Requests of a fault that plays several at the same time.
REQUESTS = 6
# Faults that are played at the same time.
PLAYED_AT_ONCE = 6
# Wait until a change has reached a gateway.
SPREAD_S = 0.5
# Time after which keys are trusted no more, and a margin.
UNTRUSTED_S = 4.0
# Grace period of the gateway that is stopped, in seconds.
GRACE_S = 4.0
# Share of the causes that have to be right.
RIGHT_SHARE = 0.95


class Played(typing.NamedTuple):
    """Store a request that did not succeed, and what explain may name."""

    fault: str
    attempt: str
    kinds: frozenset[str]
    # Pattern of the sentence.
    pattern: str


class FaultPlayer:
    """Play one fault against a deployment of one gateway."""

    # Kinds and pattern of the cause that is right.
    kinds = frozenset()
    pattern = ''
    endpoints = 2
    settings = {}

    def __init__(self, seed):
        self.name = type(self).__name__
        self.rng = random.Random(f'{seed} {self.name}')
        self.deployment = deployments.GatewayDeployment(self.endpoints, 0)
        self.played = []

    async def run(self, places):
        """Return what was Played, in one of some places at a time."""
        # Lines of all tasks of the gateway carry its name.
        async with places:
            return await self._run()

    async def _run(self):
        with logger.contextualize(instance=self.name):
            async with contextlib.AsyncExitStack() as stack:
                stack.push_async_callback(self.deployment.stop)
                await self.deployment.start()
                await self.add_gateway()
                await self.play()
        return self.played

    async def add_gateway(self):
        """Start a gateway."""
        await self.deployment.add_gateway(**self.settings)

    async def play(self):
        """Play the fault and send requests."""
        raise NotImplementedError

    async def wait_sent(self, count):
        """Wait until the endpoints have been sent so many requests."""
        async with asyncio.timeout(deployments.RESPONSE_TIMEOUT_S):
            while (
                sum(len(r.requests) for r in self.deployment.runners) < count
            ):
                await asyncio.sleep(0.01)

    def set_behaviour(self, behaviour):
        """Let all endpoints behave alike."""
        for runner in self.deployment.runners:
            runner.default_behaviour = behaviour

    async def send(self, route='book', **options):
        """Send a request and keep it if it does not succeed."""
        attempt = f'{self.name}-{len(self.played)}-{self.rng.random():.9f}'
        expected = options.pop('expected', (self.kinds, self.pattern))
        headers = STREAM if route in ('draft', 'resume') else ()
        response = await self.deployment.call(
            f'/{route}/x', attempt=attempt, headers=headers, **options
        )
        if response.status == 200 and response.complete:
            return
        self.played.append(
            Played(self.name, attempt, frozenset(expected[0]), expected[1])
        )

    async def send_all(self, *routes, **options):
        """Send requests at the same time, to random ones of the routes."""
        await asyncio.gather(
            *(
                self.send(self.rng.choice(routes), **options)
                for _ in range(REQUESTS)
            )
        )


class EndpointFails(FaultPlayer):
    """Answer with status 500."""

    kinds = {'endpoint failed'}

    async def play(self):
        """Send orders and lookups."""
        self.set_behaviour('fail')
        await self.send_all('book', 'find')


class OnlyEndpointFails(EndpointFails):
    """Answer with status 500 where there is no other endpoint."""

    endpoints = 1


class EndpointResets(FaultPlayer):
    """Reset the connections of requests."""

    kinds = {'endpoint broken'}
    pattern = 'may have run'

    async def play(self):
        """Send orders and lookups."""
        self.set_behaviour('reset')
        await self.send_all('book', 'find')


class StreamBreaks(FaultPlayer):
    """Reset the connections of streams that have begun."""

    kinds = {'endpoint broken'}
    pattern = 'stream was interrupted'

    async def play(self):
        """Send streams."""
        self.set_behaviour('break_stream')
        await self.send_all('draft')


class EndpointHangs(FaultPlayer):
    """Do not answer until the deadline."""

    kinds = {'endpoint silent'}
    pattern = 'may have run'

    async def play(self):
        """Send orders and lookups."""
        self.set_behaviour('hang')
        await self.send_all('book', 'find', remaining_ms=1000)


class EndpointHangsAfterReset(FaultPlayer):
    """Reset the first attempt at a lookup; do not answer the second."""

    kinds = {'endpoint silent'}
    pattern = 'may have run'

    async def play(self):
        """Send one lookup after the other."""
        self.set_behaviour('hang')
        for runner in self.deployment.runners:
            runner.script = self.deployment.runners[0].script
        for _ in range(2):
            self.deployment.runners[0].script.append('reset')
            await self.send('find', remaining_ms=1000)


class StreamFallsSilent(FaultPlayer):
    """Begin a stream and write nothing until the deadline."""

    kinds = {'time limit'}
    pattern = 'last bytes'

    async def play(self):
        """Send streams."""
        self.set_behaviour('silent')
        await self.send_all('draft', remaining_ms=1000)


class EndpointFull(FaultPlayer):
    """Refuse all requests."""

    kinds = {'endpoint refused'}
    pattern = 'did not run'

    async def play(self):
        """Send orders and lookups."""
        self.set_behaviour('full')
        await self.send_all('book', 'find', remaining_ms=1000)


class EndpointBusy(FaultPlayer):
    """Hold all slots for longer than other requests may wait."""

    kinds = {'overload'}
    pattern = 'did not run|before it ran'
    endpoints = 1

    async def play(self):
        """Send orders while others run."""
        runner = self.deployment.runners[0]
        self.deployment.register(runner, Slots=1)
        await asyncio.sleep(SPREAD_S)
        self.set_behaviour('pause')
        runner.answer_pause_s = 1.5
        blocking = [
            asyncio.create_task(
                self.deployment.call('/book/x', attempt=f'b{n}')
            )
            for n in range(2)
        ]
        await self.wait_sent(1)
        await self.send_all('book', remaining_ms=600)
        await asyncio.gather(*blocking)


class EndpointAsksForPause(FaultPlayer):
    """Refuse a request, and all others for longer than they may wait."""

    kinds = {'endpoint refused', 'endpoint pauses'}
    pattern = 'did not run'

    async def play(self):
        """Send a request to each endpoint, and more in the pause."""
        for runner in self.deployment.runners:
            runner.default_behaviour = 'closed'
            runner.pause_s = 10.0
        for _ in range(2):
            await self.send('book', remaining_ms=800)
        await self.send_all(
            'book',
            remaining_ms=800,
            expected=({'endpoint pauses'}, 'did not run'),
        )


class EndpointsLeave(FaultPlayer):
    """Let all endpoints say that they leave."""

    kinds = {'endpoint leaves'}
    pattern = 'did not run'

    async def play(self):
        """Send requests until both endpoints have said it, and more."""
        for runner in self.deployment.runners:
            runner.leaving = True
        for _ in range(4):
            await self.send('book', remaining_ms=800)
        await self.send_all('book', 'find', remaining_ms=800)


class EndpointsGone(FaultPlayer):
    """Remove all endpoints from the table."""

    kinds = {'endpoint gone'}
    pattern = 'did not run'

    async def play(self):
        """Send requests to none."""
        for runner in self.deployment.runners:
            self.deployment.platform.remove_row('servers', runner.id)
        await asyncio.sleep(SPREAD_S)
        await self.send_all('book', 'find', remaining_ms=800)


class EndpointCrashes(FaultPlayer):
    """Refuse all connections."""

    kinds = {'endpoint unreachable'}
    pattern = 'did not run'

    async def play(self):
        """Send requests to processes that are gone."""
        for runner in self.deployment.runners:
            await runner.crash()
        await self.send_all('book', 'find', remaining_ms=800)


class QuotaSpent(FaultPlayer):
    """Give a workspace a quota of fewer requests than it sends."""

    kinds = {'quota'}

    async def play(self):
        """Send more than the quota."""
        workspace = {
            'Name': 'desk',
            'ApiKeys': [deployments.KEY],
            'RatePerS': 0.1,
            'Burst': 2.0,
        }
        await self.configure(Tenants=[workspace])
        await self.send_all('book')
        await self.send_all('book')

    async def configure(self, **changes):
        """Bring another configuration into force."""
        document = deployments.configuration(2, **changes)
        self.deployment.platform.put_row('op', 'config', document)
        await asyncio.sleep(SPREAD_S)


class UnknownKeyOrRoute(FaultPlayer):
    """Send with an unknown key, and to an unknown path."""

    async def play(self):
        """Send some of each."""
        await self.send_all(
            'book', key='nobody', expected=({'denied'}, 'key is not known')
        )
        await self.send_all('none', expected=({'denied'}, 'no route'))


class StoreAway(FaultPlayer):
    """Keep the store away for longer than keys are trusted."""

    kinds = {'store unreachable'}
    pattern = 'unavailable since'

    async def play(self):
        """Send with known and unknown keys, and to an unknown path."""
        self.deployment.platform.fault = 'down'
        await asyncio.sleep(UNTRUSTED_S)
        await self.send_all('book', 'find')
        await self.send_all('book', key='nobody')
        await self.send_all('none')
        self.deployment.platform.fault = 'none'
        await asyncio.sleep(2 * SPREAD_S)
        await self.send('book')
        await self.send(
            'none', expected=({'denied'}, 'no route for this host')
        )


class EraChange(FaultPlayer):
    """Restore the store from a copy that lacks the endpoints."""

    kinds = {'store restored'}
    pattern = 'older copy.*did not run'

    async def play(self):
        """Send once the endpoints have lapsed."""
        platform = self.deployment.platform
        rows, version = platform.tables.copy()
        kept = {n: r for n, r in rows.items() if n[0] != 'servers'}
        platform.restore((kept, version))
        async with asyncio.timeout(deployments.RESPONSE_TIMEOUT_S):
            while not self.played:
                await self.send('find', remaining_ms=800)
                await asyncio.sleep(0.1)
        await self.send_all('book', 'find', remaining_ms=800)


class CallerLeaves(FaultPlayer):
    """Close the connections of callers that wait."""

    kinds = {'caller gone'}
    pattern = r'after the request was sent to endpoint r\d'

    async def play(self):
        """Send requests that hang, and leave."""
        self.set_behaviour('hang')
        for number in range(REQUESTS):
            attempt = f'{self.name}-{number}'
            conn = await http_connection.open_connection(
                self.deployment.settings[0].address, 1.0
            )
            call = asyncio.create_task(
                self.deployment.call_on(conn, '/book/x', attempt=attempt)
            )
            await self.wait_sent(number + 1)
            conn.abort()
            await call
            self.played.append(
                Played(self.name, attempt, frozenset(self.kinds), self.pattern)
            )
        await asyncio.sleep(0.1)


class GatewayStops(FaultPlayer):
    """Stop the gateway while requests hang and others arrive."""

    kinds = {'stop'}
    settings = {'stop_grace_s': GRACE_S}

    async def play(self):
        """Send before and after the signal."""
        await QuotaSpent.configure(
            self,
            Routes=[
                # Not expected to end within the stop.
                deployments.route(
                    'book', TimeoutMs=20_000, TargetLatencyMs=20_000
                ),
                deployments.route('draft', TimeoutMs=20_000, Kind='streaming'),
            ],
        )
        self.set_behaviour('silent')
        for runner in self.deployment.runners:
            runner.silence_s = 2 * GRACE_S
        cut = asyncio.create_task(
            self.send_all(
                'book',
                'draft',
                remaining_ms=15_000,
                expected=({'stop'}, r's before the signal.*may have run'),
            )
        )
        await self.wait_sent(REQUESTS)
        stopping = asyncio.create_task(self.deployment.stop_gateway(0))
        await asyncio.sleep(1.0)
        late = self.send_all(
            'book',
            'draft',
            remaining_ms=15_000,
            expected=(
                {'stop'},
                r'(refused|taken) [\d.]+ s after the signal.*did not run',
            ),
        )
        await asyncio.gather(cut, late, stopping)


class GatewayKilled(FaultPlayer):
    """Kill the gateway and start it again."""

    kinds = {'gateway restarted'}
    pattern = 'ended unexpectedly'

    async def play(self):
        """Send requests that hang, and kill."""
        self.set_behaviour('hang')
        calls = asyncio.create_task(self.send_all('book'))
        await self.wait_sent(REQUESTS)
        await self.deployment.kill_gateway(0)
        await self.add_gateway()
        await calls


FAULTS = (
    EndpointFails,
    OnlyEndpointFails,
    EndpointResets,
    StreamBreaks,
    EndpointHangs,
    EndpointHangsAfterReset,
    StreamFallsSilent,
    EndpointFull,
    EndpointBusy,
    EndpointAsksForPause,
    EndpointsLeave,
    EndpointsGone,
    EndpointCrashes,
    QuotaSpent,
    UnknownKeyOrRoute,
    StoreAway,
    EraChange,
    CallerLeaves,
    GatewayStops,
    GatewayKilled,
)


class CountedCausesTests(unittest.IsolatedAsyncioTestCase):
    """Explain what failed from the log alone, and count what is right."""

    async def test_causes_name_the_faults_that_were_played(self):
        """Guards against causes that are wrong, above all stated as sure."""
        output = io.StringIO()
        logs.setup_logs('tests', 'INFO', 'json', output)
        self.addCleanup(logs.setup_logs, 'tests', 'WARNING')
        players = [kind(SEED) for kind in FAULTS]
        places = asyncio.Semaphore(PLAYED_AT_ONCE)
        played = []
        for result in await asyncio.gather(*(p.run(places) for p in players)):
            played += result
        logs.close_logs()
        self._check_every_fault_failed_requests(players)
        files = explain.LogFiles()
        for line in output.getvalue().splitlines():
            files.add(line)
        wrong, sure = [], 0
        for one in played:
            cause = files.explain(one.attempt).cause
            right = re.search(one.pattern, cause.sentence)
            if cause.kind not in one.kinds or not right:
                wrong.append(f'{one.fault} {one.attempt}: {cause}')
                sure += cause.certain
        shown = f'{len(wrong)} of {len(played)} wrong, {sure} as certain'
        shown = '\n'.join([shown, *wrong])
        self.assertEqual(sure, 0, shown)
        self.assertLessEqual(
            len(wrong), (1 - RIGHT_SHARE) * len(played), shown
        )

    def _check_every_fault_failed_requests(self, players):
        """Check that no fault passed without a trace."""
        for player in players:
            self.assertTrue(player.played, player.name)

"""Play one seed: real gateways, stand-ins, callers and faults."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import random
import signal
import time

from persimmonroute import http_server
from standins import gateway_deployment as deployments
from standins import platform
from tools.soak import callers
from tools.soak import checks
from tools.soak import endpoints as endpoint_module
from tools.soak import gateways as gateway_module
from tools.soak import proxy
from tools.soak import records
from tools.soak import schedule

ROOT = pathlib.Path(__file__).parents[2]
CALLERS = 8
# Mean seconds between two requests of a caller.
PAUSE_S = 0.12
# Share of requests that ask for the newest routes.
PROBE_SHARE = 0.15
# Requests go on with a key for so long after it was taken away.
OLD_KEY_S = 6.0
# The platform takes an entry away three heartbeats after a crash.
LAPSE_S = 1.0
STORE_FAULTS = {
    'store_down': 'down',
    'store_slow': 'slow',
    'store_lose': 'lose_answers',
    'store_late': 'late_effects',
}
LINK_MODES = {
    'delay': proxy.Mode.DELAY,
    'cut_up': proxy.Mode.CUT_UP,
    'cut_down': proxy.Mode.CUT_DOWN,
    'silent': proxy.Mode.SILENT,
}
MISCHIEF = ('fail', 'reset', 'truncate', 'break_stream', 'full', 'hang')


class SeedRun:
    """Hold one deployment while its faults are played."""

    def __init__(self, seed, folder, tree=ROOT, gateways=3, endpoints=3):
        self.journal = records.Journal()
        self.faults = ()
        self._rng = random.Random(seed)
        self._folder = pathlib.Path(folder)
        self._tree = tree
        self._counts = (gateways, endpoints)
        self._gateways = []
        self._endpoints = []
        self._links = []
        self._platform = platform.PlatformStandIn([], 0.0)
        self._server = None
        self._began = time.monotonic()
        self._version = 1
        self._markers = []
        self._keys = {f'key-{n}': f'desk-{n}' for n in range(4)}
        self._taken_away = {}
        self._births = 0
        self._over = False

    @property
    def gateways(self):
        """Return the gateways of the deployment."""
        return self._gateways

    @property
    def endpoints(self):
        """Return the endpoints that are registered now."""
        return self._endpoints

    async def run(self):
        """Play the seed and return the findings."""
        try:
            return await self._play()
        except Exception as error:
            # Its logs are kept like those of a broken promise.
            ended = [g.name for g in self._gateways if g.ended_early]
            self.journal.note(
                records.PLAY_FAILED, f'{error!r}; ended early: {ended}'
            )
            return self.journal.findings

    async def _play(self):
        async with self.deployment():
            self._began = time.monotonic()
            self.faults = schedule.draw_faults(self._rng, *self._counts)
            async with asyncio.TaskGroup() as group:
                for number in range(CALLERS):
                    group.create_task(self._call(number))
                await asyncio.gather(
                    *(self._play_fault(fault) for fault in self.faults)
                )
                await asyncio.sleep(schedule.CALM_S)
                self._over = True
            end = self.now()
            self._check_processes()
        checks.Checker(self.journal, self._keys, end).check()
        return self.journal.findings

    def now(self):
        """Return seconds from the first request."""
        return time.monotonic() - self._began

    @contextlib.asynccontextmanager
    async def deployment(self):
        """Own the store, the endpoints and the gateways' processes."""
        store = f'127.0.0.1:{gateway_module.free_listening_port()}'
        self._server = http_server.build_server(
            self._platform.build_app(), store, 1
        )
        serving = asyncio.create_task(self._server.serve())
        try:
            self._write_configuration()
            for number in range(self._counts[1]):
                self._links.append(proxy.Proxy())
                self._endpoints.append(None)
                await self._start_endpoint(number)
            for number in range(self._counts[0]):
                await self._add_gateway(number, store)
            for gateway in self._gateways:
                await deployments.wait_ready(gateway.settings['ready_address'])
            yield
        finally:
            for gateway in self._gateways:
                await gateway.close()
            for link in self._links:
                await link.stop()
            for endpoint in self._endpoints:
                await endpoint.stop()
            self._server.should_exit = True
            await serving

    async def _add_gateway(self, number, store):
        seeds = [g.settings['control_address'] for g in self._gateways]
        settings = gateway_module.write_first_settings(number, seeds)
        gateway = gateway_module.Gateway(
            settings['instance'], settings, self._folder, self._tree
        )
        self._gateways.append(gateway)
        await gateway.open_links(store)
        gateway.start()

    async def _start_endpoint(self, number):
        """Start an endpoint anew, under another id and address."""
        self._births += 1
        endpoint = endpoint_module.SoakEndpoint(
            f'r{number}-{self._births}',
            self._births,
            self._rng,
            self.journal,
            self.now,
        )
        await endpoint.start()
        link = self._links[number]
        if link.address is not None:
            await link.stop()
        link.target = endpoint.address
        await link.start()
        self._endpoints[number] = endpoint
        self._write_endpoint(number, 'ready')

    def _write_endpoint(self, number, state):
        endpoint = self._endpoints[number]
        entry = {
            'Service': deployments.SERVICE,
            'Address': self._links[number].address,
            'Zone': 'riga-a',
            'Version': 'v1',
            'Slots': 8,
            'State': state,
            'ColdRemainingMs': 0,
            'Sequence': 1,
            'born': endpoint.born,
        }
        self._platform.put_row('servers', endpoint.id, entry)

    def _write_configuration(self):
        routes = deployments.configuration()['Routes']
        # Each version keeps the markers of the one before.
        markers = [
            deployments.route(name, Kind='idempotent')
            for name in self._markers
        ]
        tenants = [
            {'Name': workspace, 'ApiKeys': [key], 'Priority': 1}
            for key, workspace in self._keys.items()
            if key not in self._taken_away
        ]
        document = deployments.configuration(
            self._version, Routes=routes + markers, Tenants=tenants
        )
        self._platform.put_row('op', 'config', document)

    async def _call(self, number):
        caller = callers.Caller(f'c{number}', self.journal, self.now)
        try:
            while not self._over:
                target = self._choose_target()
                reuse = self._rng.random() < callers.REUSE_SHARE
                if await caller.send_request(target, reuse) is None:
                    await asyncio.sleep(PAUSE_S)
                await asyncio.sleep(self._rng.expovariate(1 / PAUSE_S))
        finally:
            caller.close()

    def _choose_target(self):
        route = self._rng.choice(callers.ROUTES)
        if self._markers and self._rng.random() < PROBE_SHARE:
            route = self._markers[-1]
        keys = [
            key
            for key in self._keys
            if self.now() < self._taken_away.get(key, 1e9) + OLD_KEY_S
        ]
        return callers.Target(
            route, self._rng.choice(keys), self._rng.choice(self._gateways)
        )

    async def _play_fault(self, fault):
        await asyncio.sleep(max(fault.at - self.now(), 0))
        part = self._find_part(fault)
        begin = self.now()
        await self._dispatch(fault)
        if part is not None:
            self.journal.spans.append(
                records.Span(part, begin, self.now(), fault.kind)
            )

    def _find_part(self, fault):
        kind = fault.kind
        if kind in ('version', 'revoke', 'endpoint_leave', 'reload'):
            return None
        if kind.startswith('endpoint'):
            return self._endpoints[fault.target].id
        if kind in STORE_FAULTS or kind == 'store_forget':
            return '*'
        return self._gateways[fault.target].name

    async def _dispatch(self, fault):
        kind = fault.kind
        if kind in STORE_FAULTS:
            await self._harm_store(fault)
        elif '_link_' in kind:
            await self._harm_link(fault)
        elif kind.removeprefix('endpoint_') in MISCHIEF:
            await self._harm_endpoint(fault)
        else:
            await getattr(self, f'_do_{kind}')(fault)

    async def _harm_store(self, fault):
        self._platform.fault = STORE_FAULTS[fault.kind]
        await asyncio.sleep(fault.for_s)
        self._platform.fault = 'none'

    async def _harm_link(self, fault):
        owner, _, how = fault.kind.partition('_link_')
        if owner == 'endpoint':
            link = self._links[fault.target]
        else:
            link = getattr(self._gateways[fault.target], f'{owner}_link')
        if how == 'reset':
            link.reset_all()
            return
        link.set_mode(LINK_MODES[how], fault.strength)
        await asyncio.sleep(fault.for_s)
        link.set_mode(proxy.Mode.PASS)

    async def _harm_endpoint(self, fault):
        endpoint = self._endpoints[fault.target]
        behaviour = fault.kind.removeprefix('endpoint_')
        endpoint.mischief[behaviour] = fault.strength
        await asyncio.sleep(fault.for_s)
        endpoint.mischief.pop(behaviour, None)

    async def _do_store_forget(self, fault):
        self._platform.forget_history()

    async def _do_pause(self, fault):
        gateway = self._gateways[fault.target]
        gateway.send_signal(signal.SIGSTOP)
        await asyncio.sleep(fault.for_s)
        gateway.send_signal(signal.SIGCONT)

    async def _do_kill(self, fault):
        gateway = self._gateways[fault.target]
        if gateway.running and not gateway.ending:
            await self._replace(gateway, signal.SIGKILL, fault.for_s)

    async def _do_stop(self, fault):
        gateway = self._gateways[fault.target]
        if not gateway.running or gateway.ending:
            return
        begin = self.now()
        in_time = await self._replace(gateway, signal.SIGTERM, fault.for_s)
        self.journal.stops.append(
            records.Stop(gateway.name, begin, self.now(), in_time)
        )

    async def _replace(self, gateway, number, pause_s):
        gateway.ending = True
        in_time = await gateway.terminate(number)
        await asyncio.sleep(pause_s)
        gateway.start()
        gateway.ending = False
        return in_time

    async def _do_reload(self, fault):
        gateway = self._gateways[fault.target]
        gateway.write_settings(retry_slack=self._rng.randint(90, 110))
        gateway.send_signal(signal.SIGHUP)

    async def _do_endpoint_crash(self, fault):
        endpoint = self._endpoints[fault.target]
        if endpoint.leaving:
            return
        endpoint.leaving = True
        await endpoint.stop()
        self._links[fault.target].reset_all()
        await asyncio.sleep(fault.for_s)
        await self._start_endpoint(fault.target)
        await asyncio.sleep(LAPSE_S)
        self._platform.remove_row('servers', endpoint.id)

    async def _do_endpoint_leave(self, fault):
        endpoint = self._endpoints[fault.target]
        if endpoint.leaving:
            return
        endpoint.leaving = True
        self._write_endpoint(fault.target, 'draining')
        self.journal.changes.append(
            records.Change('leaving', endpoint.id, self.now())
        )
        await asyncio.sleep(checks.LEAVING_S + fault.for_s)
        self._platform.remove_row('servers', endpoint.id)
        await endpoint.stop()
        await self._start_endpoint(fault.target)

    async def _do_version(self, fault):
        self._version += self._rng.randint(1, 5)
        name = f'v{self._version}'
        self._markers.append(name)
        self._write_configuration()
        self.journal.changes.append(
            records.Change('version', name, self.now())
        )

    async def _do_revoke(self, fault):
        held = [key for key in self._keys if key not in self._taken_away]
        if len(held) < 2:
            return
        key = self._rng.choice(held)
        self._taken_away[key] = self.now()
        self._version += 1
        self._write_configuration()
        self.journal.changes.append(records.Change('revoked', key, self.now()))

    def _check_processes(self):
        for gateway in self._gateways:
            if not gateway.running:
                self.journal.note(
                    'processes stay',
                    f'{gateway.name} ended with {gateway.exit_status}',
                )

"""Run one seed against real gateways, stand-ins and callers."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import math
import pathlib
import random
import signal
import time

from persimmonroute import http_server
from standins import gateway_deployment as deployments
from standins import platform
from standins import platform_runner
from tools.soak import callers
from tools.soak import checks
from tools.soak import endpoints as endpoint_module
from tools.soak import gateways as gateway_module
from tools.soak import operators
from tools.soak import proxy
from tools.soak import records
from tools.soak import rollout_checks
from tools.soak import schedule
from tools.soak import starvation

ROOT = pathlib.Path(__file__).parents[2]
GATEWAYS = ENDPOINTS = 3
# Callers, of which every second one keeps to its open connections; there are
# as many as gateways at least.
CALLERS = 8
# Mean pause between two requests of a caller.
MEAN_PAUSE_S = 0.12
# Share of requests to the route that the newest version added, and of the
# others to routes that a storm added.
PROBE_SHARE = 0.15
STORM_SHARE = 0.3
# The platform removes a registration three heartbeats after a crash.
REGISTRATION_EXPIRY_S = 1.0
# Outage around the restoration of the store, and the time until what was lost
# is written again.
RESTORE_S = 0.3
# Time that a gateway has to notice that an endpoint asks for a pause.
PAUSE_NOTICE_S = 0.6
MAX_SENDS_PER_PAUSE = 2
# Signals during a stop, and grace periods that settings name meanwhile.
SIGNALS_AGAIN = 3
OTHER_GRACES_S = (0.5, 1.0, 60.0)
# Requests per second that a limited endpoint names, well below its share of
# the load.
LIMIT_PER_S = 2.0
# Version of the endpoints that an order moves the service to.
ROLLOUT_TARGET = 'v9'
ROLLOUT_POLL_S = 0.02
# Time from a rollback until the endpoints of the target leave.
DRAIN_AFTER_S = 2.0
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
# Faults beside which changes of the configuration come into force in time.
CHANGES_IN_TIME = ('turned_away', 'crowd')
# Callers of a crowd, and the mean pause between two requests of one.
CROWD = 60
CROWD_PAUSE_S = 0.01
CROWD_ROUTE = 'find'
VERSION_POLL_S = 0.1
METRICS_TIMEOUT_S = 1.0
# Times that a caller takes a stream up again, and the pause before each.
MAX_TAKE_UPS = 2
TAKE_UP_PAUSE_S = 0.02
MISBEHAVIOURS = (
    'fail',
    'reset',
    'truncate',
    'break_stream',
    'full',
    'hang',
    'unframed_stream',
    'partial_stream',
    'empty_stream',
    'unframed_whole_stream',
    'unsigned',
    'nameless',
)


class SeedRun:
    """Run a deployment while the faults of a seed are injected."""

    def __init__(
        self, seed, folder, tree=ROOT, gateways=GATEWAYS, endpoints=ENDPOINTS
    ):
        self.journal = records.Journal()
        self.faults = ()
        # schedule.Rollout of the seed, or None.
        self.rollout = schedule.draw_rollout(seed)
        self._order_given = self._order_given_again = False
        self._rng = random.Random(seed)
        self._folder = pathlib.Path(folder)
        self._tree = tree
        self._counts = (gateways, endpoints)
        self._gateways = []
        self._endpoints = []
        self._links = []
        self._platform = platform.PlatformStandIn([], 0.0)
        self._server = None
        self._started_at = time.monotonic()
        self._operator = operators.Operator(
            self._platform, self.journal, self._rng, self.now
        )
        self._endpoint_starts = 0
        # Faults that go on, by the component that they affect.
        self._running_faults = collections.Counter()
        self._finished = False

    @property
    def gateways(self):
        """Return the gateways of the deployment."""
        return self._gateways

    @property
    def endpoints(self):
        """Return the endpoints that are currently registered."""
        return self._endpoints

    async def run(self):
        """Run the seed and return the findings."""
        try:
            return await self._run()
        except Exception as error:
            # Recorded as a finding so that the logs of the run are kept.
            exited = [g.name for g in self._gateways if g.exited_early]
            self.journal.add_finding(
                records.RUN_FAILED,
                f'{error!r}; gateways that exited early: {exited}',
            )
            return self.journal.findings

    async def _run(self):
        async with self.deployment():
            self._started_at = time.monotonic()
            self.faults = schedule.draw_faults(self._rng, *self._counts)
            watching = asyncio.create_task(
                starvation.watch(self._gateways, self.journal, self.now)
            )
            async with asyncio.TaskGroup() as group:
                for number in range(max(CALLERS, self._counts[0])):
                    group.create_task(self._run_caller(number))
                await asyncio.gather(
                    *(self._run_fault(fault) for fault in self.faults),
                    self._run_rollout(),
                )
                await asyncio.sleep(schedule.FAULT_FREE_S)
                self._finished = True
                run_end = self.now()
            watching.cancel()
            self._check_processes()
        rollout_checks.check(self.journal)
        checks.Checker(
            self.journal, self._operator.workspaces, run_end
        ).check()
        return self.journal.findings

    def now(self):
        """Return seconds since the first request."""
        return time.monotonic() - self._started_at

    @contextlib.asynccontextmanager
    async def deployment(self):
        """Run the store, the endpoints and the gateway processes."""
        store = f'127.0.0.1:{deployments.free_port()}'
        self._server = http_server.build_server(
            self._platform.build_app(), store, 1
        )
        serving = asyncio.create_task(self._server.serve())
        try:
            self._operator.write()
            for index in range(self._counts[1]):
                self._links.append(proxy.Proxy())
                self._endpoints.append(None)
                await self._start_endpoint(index)
            for index in range(self._counts[0]):
                await self._add_gateway(index, store)
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

    async def _add_gateway(self, index, store):
        seeds = [g.settings['control_address'] for g in self._gateways]
        bounds = rollout_checks.SETTINGS if self.rollout else {}
        settings = gateway_module.build_initial_settings(
            index, seeds, **bounds
        )
        gateway = gateway_module.Gateway(
            settings['instance'], settings, self._folder, self._tree
        )
        self._gateways.append(gateway)
        self._record_refusals(gateway.caller_link, gateway.name)
        await gateway.open_links(store)
        gateway.start()

    async def _start_endpoint(self, index, version=None, fault=None):
        """Start an endpoint with a new id and address."""
        self._endpoint_starts += 1
        endpoint = endpoint_module.SoakEndpoint(
            f'r{index}-{self._endpoint_starts}',
            self._endpoint_starts,
            self._rng,
            self.journal,
            self.now,
        )
        endpoint.version = version or endpoint.version
        endpoint.version_fault = fault
        await endpoint.start()
        link = self._links[index]
        if link.address is not None:
            await link.stop()
        link.target = endpoint.address
        self._record_refusals(link, endpoint.id)
        await link.start()
        self._endpoints[index] = endpoint
        self.journal.services[endpoint.id] = records.Service(
            endpoint.version, self.now()
        )
        self._write_endpoint(index, 'ready')

    def _record_refusals(self, link, component):
        link.on_refused = lambda: self._record_refusal(component)

    def _record_refusal(self, component):
        self.journal.refusals.append(records.Refusal(component, self.now()))

    async def _stop_endpoint(self, endpoint):
        await endpoint.stop()
        # Also refuses what had reached it only in part.
        self._record_refusal(endpoint.id)

    def _end_service(self, endpoint):
        service = self.journal.services[endpoint.id]
        self.journal.services[endpoint.id] = service._replace(end=self.now())

    def _write_endpoint(self, index, state):
        endpoint = self._endpoints[index]
        registration = {
            'Service': deployments.SERVICE,
            'Address': self._links[index].address,
            'Zone': 'riga-a',
            'Version': endpoint.version,
            'Slots': 8,
            'State': state,
            'ColdRemainingMs': 0,
            'Sequence': 1,
            'born': endpoint.start_number,
        }
        self._platform.put_row('servers', endpoint.id, registration)

    async def _run_caller(self, number):
        caller = callers.Caller(f'c{number}', self.journal, self.now)
        keeps = number % 2 == 0
        try:
            while not self._finished:
                target = self._choose_target()
                reuse = self._rng.random() < callers.REUSE_SHARE or keeps
                outcome = await caller.send_request(target, reuse)
                if outcome is None:
                    await asyncio.sleep(MEAN_PAUSE_S)
                elif (
                    callers.kind_of(outcome.route) in callers.RESUMABLE_ROUTES
                ):
                    await self._take_up(caller, target, outcome)
                await asyncio.sleep(self._rng.expovariate(1 / MEAN_PAUSE_S))
        finally:
            caller.close()

    async def _take_up(self, caller, target, first):
        """Take a stream that broke off up at other gateways."""
        outcome, last_event_id = first, 0
        for _ in range(MAX_TAKE_UPS):
            last_event_id = max(
                last_event_id, endpoint_module.last_event_id(outcome.body)
            )
            if outcome.complete and outcome.status == 200 or not last_event_id:
                return
            await asyncio.sleep(TAKE_UP_PAUSE_S)
            others = [g for g in self._gateways if g is not target.gateway]
            target = target._replace(gateway=self._rng.choice(others))
            outcome = await caller.send_request(
                target, False, callers.Place(first.attempt, last_event_id)
            )
            if outcome is None:
                return

    def _choose_target(self):
        operator, route = self._operator, self._rng.choice(callers.ROUTES)
        if operator.probe_routes and self._rng.random() < PROBE_SHARE:
            route = operator.probe_routes[-1]
        elif operator.storm_routes and self._rng.random() < STORM_SHARE:
            route = self._rng.choice(operator.storm_routes)
        return callers.Target(
            route,
            operator.choose_key(),
            self._rng.choice(self._gateways),
        )

    async def _run_fault(self, fault):
        await asyncio.sleep(max(fault.at - self.now(), 0))
        component = self._find_component(fault)
        begin = self.now()
        self._running_faults[component] += 1
        await self._inject(fault)
        self._running_faults[component] -= 1
        if component is not None:
            self.journal.disturbances.append(
                records.Disturbance(component, begin, self.now(), fault.kind)
            )

    async def _run_rollout(self):
        """Give the order of the seed, and do as its status says."""
        if self.rollout is None:
            return
        rollout, count = self.rollout, self._counts[1]
        await asyncio.sleep(max(rollout.at - self.now(), 0))
        fault = None
        if rollout.bad:
            begins_at = time.monotonic() + rollout.begins * rollout.duration_s
            fault = platform_runner.VersionFault(
                rollout.failures, rollout.slower, begins_at
            )
        for _ in range(count):
            self._links.append(proxy.Proxy())
            self._endpoints.append(None)
            index = len(self._endpoints) - 1
            await self._start_endpoint(index, ROLLOUT_TARGET, fault)
        started = self._endpoints[count:]
        ordered_at = self.now()
        self._give_order()
        deadline_at = ordered_at + rollout.duration_s
        status, stopped = await self._wait_for_status(deadline_at), []
        ended_at = self.now() if status else None
        if status.get('State') == 'completed':
            stopped = await self._stop_old_endpoints()
        elif status:
            await self._drain_new_endpoints()
        await asyncio.sleep(max(deadline_at - self.now(), 0))
        bad_at = [at for e in started for at in e.bad_at]
        self.journal.rollout = records.Rollout(
            ROLLOUT_TARGET,
            rollout.bad,
            ordered_at,
            deadline_at,
            ended_at,
            status.get('State'),
            str(status),
            sorted(at - self._started_at for at in bad_at),
            stopped,
            self._order_given_again,
        )

    def _give_order(self):
        self._order_given = True
        self._platform.order_rollout(
            deployments.SERVICE, ROLLOUT_TARGET, self.rollout.duration_s
        )

    async def _wait_for_status(self, deadline_at):
        """Return the final status of the order; empty if there is none."""
        while self.now() < deadline_at + rollout_checks.STATUS_GRACE_S:
            status = self._platform.read_rollout_status(deployments.SERVICE)
            if status.get('State') in rollout_checks.FINAL_STATES:
                return status
            await asyncio.sleep(ROLLOUT_POLL_S)
        return {}

    async def _stop_old_endpoints(self):
        """Stop the old endpoints at once; return their ids."""
        count = self._counts[1]
        old, links = self._endpoints[:count], self._links[:count]
        # The new endpoints take their numbers, also for later faults.
        self._endpoints = self._endpoints[count:]
        self._links = self._links[count:]
        for endpoint in old:
            endpoint.leaving = True
            self._end_service(endpoint)
        await asyncio.gather(*(self._stop_endpoint(e) for e in old))
        for link in links:
            await link.stop()
        await asyncio.sleep(REGISTRATION_EXPIRY_S)
        for endpoint in old:
            self._platform.remove_row('servers', endpoint.id)
        return [endpoint.id for endpoint in old]

    async def _drain_new_endpoints(self):
        """Let the endpoints of a version that was rolled back leave."""
        await asyncio.sleep(DRAIN_AFTER_S)
        count = self._counts[1]
        for index in range(count, len(self._endpoints)):
            endpoint = self._endpoints[index]
            endpoint.leaving = True
            self._end_service(endpoint)
            self._write_endpoint(index, 'draining')
            self.journal.changes.append(
                records.Change('leaving', endpoint.id, self.now())
            )

    def _find_component(self, fault):
        kind = fault.kind
        if kind in ('version', 'revoke', 'storm', 'endpoint_leave', 'reload'):
            return None
        if kind in CHANGES_IN_TIME:
            # The bound of a change holds all the while.
            return None
        if kind in schedule.SILENT_KINDS:
            # Silence excuses nothing.
            return None
        if kind.startswith('endpoint_limit') or kind == 'endpoint_break_all':
            return None
        if kind.startswith('endpoint'):
            return self._endpoints[fault.target].id
        if kind in STORE_FAULTS or kind in ('store_forget', 'store_restore'):
            return '*'
        return self._gateways[fault.target].name

    async def _inject(self, fault):
        kind = fault.kind
        if kind in STORE_FAULTS:
            await self._inject_store_fault(fault)
        elif '_link_' in kind:
            await self._inject_link_fault(fault)
        elif kind.removeprefix('endpoint_') in MISBEHAVIOURS:
            await self._inject_endpoint_fault(fault)
        else:
            await getattr(self, f'_do_{kind}')(fault)

    async def _inject_store_fault(self, fault):
        self._platform.fault = STORE_FAULTS[fault.kind]
        await asyncio.sleep(fault.duration_s)
        self._platform.fault = 'none'

    async def _inject_link_fault(self, fault):
        owner, _, mode = fault.kind.partition('_link_')
        if owner == 'endpoint':
            link = self._links[fault.target]
        else:
            link = getattr(self._gateways[fault.target], f'{owner}_link')
        if mode == 'reset':
            link.reset_all()
            return
        link.set_mode(LINK_MODES[mode], fault.strength)
        await asyncio.sleep(fault.duration_s)
        link.set_mode(proxy.Mode.PASS)

    async def _inject_endpoint_fault(self, fault):
        endpoint = self._endpoints[fault.target]
        behaviour = fault.kind.removeprefix('endpoint_')
        endpoint.misbehaviour_shares[behaviour] = fault.strength
        await asyncio.sleep(fault.duration_s)
        endpoint.misbehaviour_shares.pop(behaviour, None)

    async def _do_store_forget(self, fault):
        self._platform.forget_history()

    async def _do_store_restore(self, fault):
        """Lose what was written for a while; the writers repeat it."""
        copied = self._platform.tables.copy()
        await asyncio.sleep(fault.duration_s)
        self._platform.fault = 'down'
        await asyncio.sleep(RESTORE_S)
        self._platform.restore(copied)
        self._platform.fault = 'none'
        await asyncio.sleep(RESTORE_S)
        self._operator.write()
        row = self._platform.tables.find(
            ('op', '', f'rollout/{deployments.SERVICE}')
        )
        if self._order_given and row.value is None:
            self._order_given_again = True
            self._give_order()
        for index, endpoint in enumerate(self._endpoints):
            state = 'draining' if endpoint.leaving else 'ready'
            self._write_endpoint(index, state)
        await asyncio.sleep(REGISTRATION_EXPIRY_S)
        current = {endpoint.id for endpoint in self._endpoints}
        for row in self._platform.tables.list_rows('servers', ''):
            if row.key not in current:
                self._platform.remove_row('servers', row.key)

    async def _do_endpoint_closed(self, fault):
        """Refuse all requests with a pause, and count those within it."""
        endpoint = self._endpoints[fault.target]
        endpoint.misbehaviour_shares['closed'] = 1.0
        await asyncio.sleep(PAUSE_NOTICE_S)
        before = len(endpoint.requests)
        await asyncio.sleep(fault.duration_s)
        arrived = len(endpoint.requests) - before
        endpoint.misbehaviour_shares.pop('closed', None)
        pauses = math.ceil(fault.duration_s / endpoint.pause_s) + 1
        allowed = MAX_SENDS_PER_PAUSE * self._counts[0] * pauses
        if arrived > allowed:
            self.journal.add_finding(
                'a pause is kept',
                f'{arrived} requests reached {endpoint.id} in'
                f' {fault.duration_s} s, over {allowed}',
            )

    async def _do_endpoint_limit(self, fault):
        await self._limit([self._endpoints[fault.target]], fault.duration_s)

    async def _do_endpoint_limit_all(self, fault):
        await self._limit(list(self._endpoints), fault.duration_s)

    async def _do_endpoint_break_all(self, fault):
        """Let streams of all endpoints break off after an event."""
        begin, broken = self.now(), list(self._endpoints)
        for endpoint in broken:
            endpoint.misbehaviour_shares['break_stream'] = fault.strength
        await asyncio.sleep(fault.duration_s)
        for endpoint in broken:
            endpoint.misbehaviour_shares.pop('break_stream', None)
            self.journal.disturbances.append(
                records.Disturbance(endpoint.id, begin, self.now(), fault.kind)
            )

    async def _limit(self, endpoints, duration_s):
        """Let endpoints name a limit for a while."""
        begin = self.now()
        for endpoint in endpoints:
            endpoint.request_limit = str(LIMIT_PER_S)
        await asyncio.sleep(duration_s)
        for endpoint in endpoints:
            endpoint.request_limit = None
            self.journal.limits.append(
                records.Limit(endpoint.id, LIMIT_PER_S, begin, self.now())
            )

    async def _do_pause(self, fault):
        gateway = self._gateways[fault.target]
        gateway.send_signal(signal.SIGSTOP)
        await asyncio.sleep(fault.duration_s)
        gateway.send_signal(signal.SIGCONT)

    async def _do_kill(self, fault):
        gateway = self._gateways[fault.target]
        if gateway.running and not gateway.restarting:
            await self._replace(gateway, signal.SIGKILL, fault.duration_s)

    async def _do_stop(self, fault):
        await self._stop_and_replace(fault)

    async def _do_stop_again(self, fault):
        await self._stop_and_replace(fault, self._stop_again)

    async def _do_stop_beside_reload(self, fault):
        gateway = self._gateways[fault.target]
        if gateway.running and not gateway.restarting:
            self._change_grace(gateway)
        await self._stop_and_replace(fault, self._reload_in_stop)

    async def _stop_again(self, gateway, fault):
        for _ in range(SIGNALS_AGAIN):
            gateway.send_signal(signal.SIGTERM)
            await asyncio.sleep(fault.strength)

    async def _reload_in_stop(self, gateway, fault):
        for _ in range(SIGNALS_AGAIN):
            self._change_grace(gateway)
            await asyncio.sleep(fault.strength)

    def _change_grace(self, gateway):
        """Reload a gateway with a grace period that needs a restart."""
        gateway.write_settings(stop_grace_s=self._rng.choice(OTHER_GRACES_S))
        gateway.send_signal(signal.SIGHUP)

    async def _stop_and_replace(self, fault, beside=None):
        """Stop a gateway as planned, with other signals beside the stop."""
        gateway = self._gateways[fault.target]
        if not gateway.running or gateway.restarting:
            return
        begin = self.now()
        signalling = []
        if beside is not None:
            signalling.append(asyncio.create_task(beside(gateway, fault)))
        in_time = await self._replace(
            gateway, signal.SIGTERM, fault.duration_s, signalling
        )
        self.journal.stops.append(
            records.Stop(gateway.name, begin, self.now(), in_time)
        )

    async def _replace(self, gateway, signal_number, pause_s, signalling=()):
        """Replace a process, and end the tasks that send it signals."""
        gateway.restarting = True
        in_time = await gateway.terminate(signal_number)
        for task in signalling:
            task.cancel()
        gateway.write_settings(stop_grace_s=gateway_module.STOP_GRACE_S)
        await asyncio.sleep(pause_s)
        gateway.start()
        gateway.restarting = False
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
        self._end_service(endpoint)
        await self._stop_endpoint(endpoint)
        self._links[fault.target].reset_all()
        await asyncio.sleep(fault.duration_s)
        await self._replace_endpoint(fault.target, endpoint)
        await asyncio.sleep(REGISTRATION_EXPIRY_S)
        self._platform.remove_row('servers', endpoint.id)

    async def _do_endpoint_leave(self, fault):
        endpoint = self._endpoints[fault.target]
        if endpoint.leaving:
            return
        endpoint.leaving = True
        self._end_service(endpoint)
        self._write_endpoint(fault.target, 'draining')
        self.journal.changes.append(
            records.Change('leaving', endpoint.id, self.now())
        )
        await asyncio.sleep(checks.LEAVING_S + fault.duration_s)
        self._platform.remove_row('servers', endpoint.id)
        await self._stop_endpoint(endpoint)
        await self._replace_endpoint(fault.target, endpoint)

    async def _replace_endpoint(self, index, endpoint):
        """Start an endpoint anew unless a rollout has replaced it."""
        if self._endpoints[index] is endpoint:
            await self._start_endpoint(index)

    async def _do_version(self, fault):
        self._operator.add_version()

    async def _do_revoke(self, fault):
        self._operator.revoke_key()

    async def _do_storm(self, fault):
        """Change the configuration in quick succession."""
        ends_at = self.now() + fault.duration_s
        while self.now() < ends_at:
            self._operator.change_at_random()
            await asyncio.sleep(fault.strength)

    async def _do_turned_away(self, fault):
        """Let the store serve one gateway while another is replaced."""
        served, *others = self._rotate_gateways(fault.target)
        replacing = asyncio.create_task(self._kill_beside(others[0]))
        for gateway in others:
            gateway.store_link.set_mode(proxy.Mode.REFUSE)
            gateway.store_link.reset_all()
        try:
            await self._change_and_check(fault, [served, *others[1:]])
        finally:
            for gateway in others:
                gateway.store_link.set_mode(proxy.Mode.PASS)
            await replacing

    async def _do_crowd(self, fault):
        """Let many callers use one gateway, with hardly a pause."""
        crowded, over = self._gateways[fault.target], asyncio.Event()
        crowd = [
            asyncio.create_task(self._press(number, crowded, over))
            for number in range(CROWD)
        ]
        try:
            await self._change_and_check(fault, [crowded])
        finally:
            over.set()
            await asyncio.gather(*crowd)

    def _rotate_gateways(self, first):
        return self._gateways[first:] + self._gateways[:first]

    async def _kill_beside(self, gateway):
        begin = self.now()
        if gateway.running and not gateway.restarting:
            await self._replace(gateway, signal.SIGKILL, RESTORE_S)
        self.journal.disturbances.append(
            records.Disturbance(gateway.name, begin, self.now(), 'kill')
        )

    async def _press(self, number, gateway, over):
        """Send requests that only load a gateway; nobody judges them."""
        caller = callers.Caller(f'x{number}', records.Journal(), self.now)
        key = self._operator.choose_key()
        try:
            while not over.is_set():
                target = callers.Target(CROWD_ROUTE, key, gateway)
                await caller.send_request(target, number % 2 == 0)
                pause_s = self._rng.expovariate(1 / CROWD_PAUSE_S)
                await asyncio.sleep(pause_s)
        finally:
            caller.close()

    async def _change_and_check(self, fault, gateways):
        """Change the configuration, and check when gateways have each."""
        ends_at = self.now() + fault.duration_s
        while self.now() < ends_at:
            self._operator.change_at_random()
            await asyncio.sleep(fault.strength)
        version, since = self._operator.version, self.now()
        await asyncio.gather(
            *(self._check_version(g, version, since) for g in gateways)
        )

    async def _check_version(self, gateway, version, since):
        """Check by its metrics that a gateway has a version in time."""
        begin = since - checks.STABILIZATION_S
        while self.now() < since + checks.CONFIGURATION_S:
            with contextlib.suppress(Exception):
                if await gateway.read_version(METRICS_TIMEOUT_S) >= version:
                    return
            await asyncio.sleep(VERSION_POLL_S)
        disturbed = gateway.restarting or any(
            d.component in (gateway.name, '*') and d.end >= begin
            for d in self.journal.disturbances
        )
        if not disturbed and not (
            self._running_faults[gateway.name] or self._running_faults['*']
        ):
            self.journal.add_finding(
                'configuration in force',
                f'{gateway.name} has not taken version {version} within'
                f' {checks.CONFIGURATION_S} s',
            )

    async def _do_endpoint_silent(self, fault):
        await self._silence([self._endpoints[fault.target]], fault)

    async def _do_endpoint_silent_some(self, fault):
        spared = self._endpoints[fault.target]
        await self._silence(
            [e for e in self._endpoints if e is not spared], fault
        )

    async def _do_endpoint_silent_all(self, fault):
        await self._silence(self._endpoints, fault)

    async def _silence(self, endpoints, fault):
        """Let endpoints fall silent at the same time, and go on."""
        with contextlib.ExitStack() as stack:
            for endpoint in endpoints:
                stack.enter_context(endpoint.fall_silent())
            await asyncio.sleep(fault.duration_s)

    def _check_processes(self):
        for gateway in self._gateways:
            if not gateway.running:
                self.journal.add_finding(
                    'processes stay',
                    f'{gateway.name} exited with {gateway.exit_status}',
                )

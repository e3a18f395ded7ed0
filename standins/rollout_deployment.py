"""Run gateways while an operator moves a service to another version."""

from __future__ import annotations

import asyncio
import itertools
import time
import typing

from persimmonroute import exceptions
from standins import gateway_deployment as deployments
from standins import platform_runner
from tools.soak import proxy

OLD_VERSION = 'v1'
TARGET = 'v2'
# Bounds that the settings of the gateways state.
EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50
ROLLBACK_S = 5.0
# Bad responses after which the bound on the rollback counts.
BAD_RESPONSES = 50
SETTINGS = {
    'rollout_exposure_share': EXPOSURE_SHARE,
    'rollout_exposure_slack': EXPOSURE_SLACK,
    'rollout_rollback_s': ROLLBACK_S,
}
SERVICE_S = 0.05
EVENT_PAUSE_S = 0.03
ROUTES = ('book', 'find', 'draft')
STREAM_ROUTE = 'draft'
# Statuses that guarantee that a request has not run and never will.
REFUSALS = (408, 421, 429, 503)
STATUS_POLL_S = 0.01
# The registration of an endpoint that was stopped lasts for so long.
REGISTRATION_EXPIRY_S = 1.0
# Time from a rollback until the endpoints of the target leave.
DRAIN_AFTER_S = 2.0


class Sent(typing.NamedTuple):
    """Store a request of a caller with its response."""

    attempt: str
    route: str
    gateway: int
    sent_at: float
    ended_at: float
    response: deployments.Response

    @property
    def lost(self):
        """Return whether the caller got neither an answer nor a refusal."""
        response = self.response
        return not response.complete or response.status not in (200, *REFUSALS)


class RolloutDeployment(deployments.GatewayDeployment):
    """Run gateways with links to the store, callers and an operator."""

    def __init__(self, endpoints=2, gateways=3, **settings):
        stated = {**SETTINGS, **settings}
        super().__init__(
            endpoints,
            gateways,
            **{k: v for k, v in stated.items() if v is not None},
        )
        for runner in self.runners:
            self._prepare(runner, OLD_VERSION, None)
        # Links of the gateways to the store, by gateway.
        self.links = []
        # Number of the gateway that last wrote a status row.
        self.status_writer = None
        self.sent = []
        # Gateways that callers use.
        self.used_gateways = list(range(gateways))
        self.ordered_at = None
        self._sending = set()

    async def add_gateway(self, store=None, **changes):
        """Start another gateway, with a link of its own to the store."""
        link = proxy.Proxy()
        link.target = store or self.store
        number = len(self.links)
        link.on_sent = lambda data: self._note_writer(number, data)
        self.links.append(link)
        await link.start()
        await super().add_gateway(link.address, **changes)

    async def stop(self):
        """Stop all processes."""
        for task in self._sending:
            task.cancel()
        await asyncio.gather(*self._sending, return_exceptions=True)
        await super().stop()
        for link in self.links:
            await link.stop()

    async def start_version(self, version, count=2, fault=None):
        """Start endpoints of a version beside the others."""
        started = []
        for number in range(count):
            runner = platform_runner.RunnerStandIn(f'{version}-{number}')
            self._prepare(runner, version, fault)
            await runner.start()
            self.runners.append(runner)
            self.register(runner)
            started.append(runner)
        return started

    def order(self, target, duration_s, service=deployments.SERVICE):
        """Order a rollout."""
        self.ordered_at = time.monotonic()
        self.platform.order_rollout(service, target, duration_s)

    async def wait_for_end(self, target, service=deployments.SERVICE):
        """Return the final status of the order to a target."""
        while True:
            status = self.platform.read_rollout_status(service)
            ended = status.get('State') in ('completed', 'rolled_back')
            if ended and status['To'] == target:
                return status
            await asyncio.sleep(STATUS_POLL_S)

    async def follow(self, target):
        """Wait for the end of an order; stop endpoints as it says."""
        status = await self.wait_for_end(target)
        if status['State'] == 'completed':
            old = [r for r in self.runners if r.version != target]
            await asyncio.gather(*(runner.stop() for runner in old))
            await asyncio.sleep(REGISTRATION_EXPIRY_S)
            for runner in old:
                self.platform.remove_row('servers', runner.id)
        else:
            await asyncio.sleep(DRAIN_AFTER_S)
            for runner in self.select(target):
                self.register(runner, 'draining')
        return status

    def select(self, version):
        """Return the endpoints of a version."""
        return [r for r in self.runners if r.version == version]

    def count_arrivals(self, begin, end, version=None):
        """Count the requests that reached endpoints in a time."""
        return sum(
            begin <= arrived_at < end
            for runner in self.runners
            if version in (None, runner.version)
            for arrived_at in runner.arrivals
        )

    async def send_steadily(self, per_s):
        """Send requests at a rate until cancelled, to all gateways in turn."""
        began_at = time.monotonic()
        for number in itertools.count():
            await asyncio.sleep(began_at + number / per_s - time.monotonic())
            task = asyncio.create_task(self.send(number))
            self._sending.add(task)
            task.add_done_callback(self._sending.discard)

    async def finish_sending(self):
        """Wait for the responses to the requests in flight."""
        await asyncio.gather(*self._sending)

    async def send(self, number):
        """Send one request, and keep it with its response."""
        route = ROUTES[number % len(ROUTES)]
        gateways = self.used_gateways
        gateway = gateways[number // len(ROUTES) % len(gateways)]
        headers = [('accept', 'text/event-stream')]
        sent_at, response = time.monotonic(), deployments.Response()
        attempt = f'a{number}'
        try:
            response = await self.call(
                f'/{route}/x',
                gateway,
                headers=headers if route == STREAM_ROUTE else (),
                attempt=attempt,
            )
        except (exceptions.PersimmonRouteError, OSError):
            # The gateway was killed; the response stays incomplete.
            pass
        self.sent.append(
            Sent(attempt, route, gateway, sent_at, time.monotonic(), response)
        )

    def _prepare(self, runner, version, fault):
        runner.version, runner.version_fault = version, fault
        runner.service_s = SERVICE_S
        runner.event_pause_s = EVENT_PAUSE_S

    def _note_writer(self, number, data):
        if b'"status"' in data:
            self.status_writer = number

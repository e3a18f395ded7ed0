"""Start a gateway or an entry as the target of the connection fuzzer."""

from __future__ import annotations

import contextlib

from standins import connection_fuzzer
from standins import entry_fixtures
from standins import gateway_deployment as deployments
from standins import small_simulation


@contextlib.asynccontextmanager
async def run_gateway():
    """Provide the Target of a gateway in this process."""
    deployment = deployments.GatewayDeployment(1, gateways=0)
    try:
        await deployment.start()
        await deployment.add_gateway(memory_mb=64, max_descriptors=256)
        (runner,) = deployment.runners

        def make_head(name):
            return (
                f'POST /find/{name} HTTP/1.1\r\nhost: {deployments.HOST}\r\n'
                f'authorization: Bearer {deployments.KEY}\r\n'
                f'attempt-id: {name}\r\n'
            ).encode()

        async def send_ordinary():
            response = await deployment.call('/find/x', attempt='ordinary')
            return response.status == 200 and response.complete

        yield connection_fuzzer.Target(
            deployment.settings[0].address,
            make_head,
            lambda name: runner.runs[name] > 0,
            send_ordinary,
        )
    finally:
        await deployment.stop()


@contextlib.asynccontextmanager
async def run_entry():
    """Provide the Target of an entry in this process."""
    async with contextlib.AsyncExitStack() as stack:
        entry = entry_fixtures.EntryFixture(stack)
        await entry.start()
        endpoint = await entry.add_endpoint(small_simulation.PLAIN)

        def make_head(name):
            return (
                f'POST /services/{small_simulation.PLAIN}/{name} HTTP/1.1\r\n'
                'host: x\r\npersimmon-class: stock-lookup\r\n'
                f'persimmon-workspace: {small_simulation.WORKSPACE}\r\n'
            ).encode()

        def has_run(name):
            return any(
                target.endswith(f'/{name}') for _, target in endpoint.requests
            )

        async def send_ordinary():
            answer = await entry.order('ordinary', 'stock-lookup')
            return answer.status == 200 and answer.complete

        yield connection_fuzzer.Target(
            entry.address, make_head, has_run, send_ordinary
        )


TARGETS = {'gateway': run_gateway, 'entry': run_entry}

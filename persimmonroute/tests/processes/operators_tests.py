"""Test the operator commands on real processes."""

from __future__ import annotations

import asyncio
import contextlib
import io
import json
import pathlib
import tempfile
import unittest

from persimmonroute import cli
from persimmonroute import operators
from standins import callers
from standins import small_simulation
from tools import deployment as deployments
from tools import small_deployment

IN_FORCE_LIMIT_S = '17'
TIMEOUT_S = 30.0


class OperatorCommandTests(unittest.IsolatedAsyncioTestCase):
    """Run the command line against a deployment with signed revisions."""

    async def asyncSetUp(self):
        """Start a deployment that trusts the key of the first operator."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.old_key = self._make_key('old.pem')
        self.new_key = self._make_key('new.pem')
        small_deployment.write_deployment(
            self.folder, operator_key=self.old_key.public_key
        )
        self.deployment = deployments.Deployment(
            self.folder, self.folder / 'logs'
        )
        self.addAsyncCleanup(self.deployment.stop)
        self.deployment.start_all()
        url = f'http://{self.deployment.platform}/rows-get?Table=instances'

        async def listed():
            return await self.deployment.get_json(url) is not None

        await callers.wait_until(listed, TIMEOUT_S)

    def _make_key(self, name):
        key = operators.OperatorKey.generate()
        (self.folder / name).write_bytes(key.to_pem())
        return key

    def _file(self, name):
        return str(self.folder / name)

    async def _run(self, *arguments):
        """Run a command and return its exit status and output."""
        argv = [*arguments, '--platform', self.deployment.platform]
        out = io.StringIO()

        def run():
            with (
                contextlib.redirect_stdout(out),
                contextlib.redirect_stderr(out),
            ):
                return cli.main(argv)

        return await asyncio.to_thread(run), out.getvalue()

    async def _apply(self, key, *more, path='declarations.json'):
        return await self._run(
            'apply', self._file(path), '--key', self._file(key), *more
        )

    async def test_handover_to_another_operator(self):
        """Accept only revisions of the new operator after a handover."""
        status, text = await self._apply('old.pem')
        self.assertEqual((status, text), (0, 'revision 1 accepted\n'))
        await self.deployment.wait_serving()
        status, text = await self._run('status', '--wait', IN_FORCE_LIMIT_S)
        self.assertEqual(status, 0, text)

        status, text = await self._run(
            'handover', self.new_key.public_key, '--key', self._file('old.pem')
        )
        self.assertEqual(status, 0, text)
        document = dict(small_simulation.DECLARATIONS)
        document['workspaces'] = [*document['workspaces'], 'tallinn-desk']
        (self.folder / 'next.json').write_text(json.dumps(document))

        status, text = await self._apply('old.pem', path='next.json')
        self.assertEqual(status, 1)
        self.assertIn('another operator', text)
        status, text = await self._apply('new.pem', path='next.json')
        self.assertEqual((status, text), (0, 'revision 3 accepted\n'))
        status, text = await self._run('status', '--wait', IN_FORCE_LIMIT_S)
        self.assertEqual(status, 0, text)
        self.assertIn('revision 3 is current', text)

        await self._check_files()

    async def _check_files(self):
        status, _ = await self._run('export', self._file('out.json'))
        self.assertEqual(status, 0)
        exported = json.loads((self.folder / 'out.json').read_text())
        expected = json.loads((self.folder / 'next.json').read_text())
        self.assertEqual(exported, expected)
        status, text = await self._run('diff', self._file('out.json'))
        self.assertEqual((status, text), (0, 'no difference\n'))
        _, text = await self._run('diff', self._file('declarations.json'))
        self.assertIn('-    "tallinn-desk"', text)
        _, text = await self._run('history')
        self.assertIn(f'handover to {self.new_key.public_key}', text)

    async def test_unsigned_and_broken_files_are_refused(self):
        """Reject unsigned and invalid files with a remedy in the message."""
        await self._apply('old.pem')
        status, text = await self._run(
            'apply', self._file('declarations.json'), '--change', 'x'
        )
        self.assertEqual(status, 1)
        self.assertIn('handover', text)
        (self.folder / 'broken.json').write_text('{"classes": []}')
        status, text = await self._apply('old.pem', path='broken.json')
        self.assertEqual(status, 1)
        self.assertIn('declarations.services', text)
        status, text = await self._apply('old.pem', '--base', '7')
        self.assertEqual(status, 0, text)

    async def test_metrics_are_served(self):
        """Serve the count of outcomes in the Prometheus text format."""
        await self._apply('old.pem')
        await self.deployment.wait_serving()
        caller = callers.Caller()
        self.addAsyncCleanup(caller.close)
        call = callers.PlannedCall(
            'k',
            small_simulation.WORKSPACE,
            'stock-lookup',
            small_simulation.PLAIN,
            True,
            'POST',
            '/lookups',
            b'{"id": "k"}',
            False,
            '',
            0,
        )
        entry = self.deployment.entries[0]
        result = await caller.send(entry, call)
        self.assertEqual((result.outcome, result.problem), ('completed', ''))
        text = await self.deployment.get_text(f'http://{entry}/metrics')
        self.assertIn(
            'persimmonroute_requests_total{outcome="completed",'
            'work_class="stock-lookup"} 1.0',
            text,
        )

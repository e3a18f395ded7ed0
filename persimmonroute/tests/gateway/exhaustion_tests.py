"""Test that a lack of descriptors here is not blamed on endpoints."""

from __future__ import annotations

import asyncio
import errno
import unittest
from unittest import mock

from persimmonroute import exceptions
from persimmonroute.gateway import model
from persimmonroute.gateway import places
from persimmonroute import http_connection
from standins import gateway_fixtures as fixtures


class ConnectionTests(unittest.IsolatedAsyncioTestCase):
    """Open connections without descriptors."""

    async def test_lack_of_descriptors_has_an_error_of_its_own(self):
        """It says nothing about the endpoint."""
        loop = asyncio.get_running_loop()
        for number in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS):
            error = OSError(number, 'none left')
            with mock.patch.object(
                loop, 'create_connection', side_effect=error
            ):
                with self.assertRaises(exceptions.ResourcesExhaustedError):
                    await http_connection.open_connection('127.0.0.1:9', 1.0)


class PlaceTests(unittest.IsolatedAsyncioTestCase):
    """Connect to a granted endpoint without descriptors."""

    async def test_endpoint_is_not_suspended(self):
        """Guards against sound endpoints that all gateways avoid."""
        board = fixtures.board()
        (view,) = board.runner_registry
        pending = fixtures.pending_request()
        rejection = model.Rejection(503, 'no usable endpoint', 0.1)
        dispatcher = mock.Mock()

        async def wait_for_grant(pending):
            if dispatcher.release.called:
                return rejection
            pending.runner = view
            return view

        dispatcher.wait_for_grant = wait_for_grant
        client = mock.Mock()
        client.connect = mock.AsyncMock(
            side_effect=exceptions.ResourcesExhaustedError('none left')
        )
        admission = mock.Mock()
        admission.check_again.return_value = None
        finder = places.PlaceFinder(
            board,
            admission,
            dispatcher,
            client,
            mock.Mock(),
            mock.Mock(),
            mock.AsyncMock(),
        )
        self.assertEqual(await finder.find(pending), rejection)
        dispatcher.release.assert_called_once_with(
            pending, model.Ending.ABANDONED
        )

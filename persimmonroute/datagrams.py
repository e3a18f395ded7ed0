"""Send and receive datagrams, several in each step of the event loop.

asyncio receives one datagram a step. The reports of a fleet would wait, and be
dropped by the kernel, while the steps of a busy process are long.
"""

from __future__ import annotations

import asyncio
import socket

# Largest datagram over IPv4, and how many are received in one step.
MAX_BYTES = 65_536
MAX_PER_STEP = 64


class DatagramEndpoint:
    """Pass the datagrams of one address to an asyncio.DatagramProtocol."""

    def __init__(self, protocol, host, port):
        self._protocol = protocol
        self._loop = asyncio.get_running_loop()
        family, kind, _, _, address = socket.getaddrinfo(
            host, port, type=socket.SOCK_DGRAM, flags=socket.AI_NUMERICHOST
        )[0]
        self._socket = socket.socket(family, kind)
        try:
            self._socket.setblocking(False)
            self._socket.bind(address)
        except OSError:
            self._socket.close()
            raise
        self._closing = False
        self._loop.add_reader(self._socket, self._receive)
        protocol.connection_made(self)

    def is_closing(self):
        """Return whether the endpoint has been closed."""
        return self._closing

    def sendto(self, data, address):
        """Send a datagram; one for which there is no room is lost."""
        if self._closing:
            return
        try:
            self._socket.sendto(data, address)
        except BlockingIOError:
            return
        except ConnectionRefusedError as error:
            self._protocol.error_received(error)

    def close(self):
        """Stop receiving, and close the socket."""
        if self._closing:
            return
        self._closing = True
        self._loop.remove_reader(self._socket)
        self._socket.close()

    def _receive(self):
        for _ in range(MAX_PER_STEP):
            if self._closing:
                return
            try:
                data, address = self._socket.recvfrom(MAX_BYTES)
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                # An earlier datagram did not reach its peer.
                self._protocol.error_received(error)
                return
            self._protocol.datagram_received(data, address)

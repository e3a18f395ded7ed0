"""Accept connections, with pauses when there is no place for them."""

from __future__ import annotations

import errno
import math
import os
import resource
import select
import socket

from persimmonroute import caller_account
from persimmonroute import clock
from persimmonroute import loop_errors
from persimmonroute import loop_lanes

# Time until some connections are accepted although there was no place for
# the last ones; they are refused at once if there still is none. A connection
# that is closed ends the pause.
PAUSE_S = 0.1
# Time until a port that callers do not use looks again for a place.
PLACE_WAIT_S = 0.01
# Pause after accepting failed for lack of descriptors or memory.
FAILURE_PAUSE_S = 1.0
# Time between counts of all descriptors; a count of 4,000 takes about 1 ms.
COUNT_S = 0.05


class Acceptor:
    """Accept the connections of one listening socket.

    asyncio has no way to pause a listening socket, so its reader is replaced.
    The asyncio server still closes the socket.
    """

    def __init__(
        self, loop, descriptor, build_protocol, account, small_port=False
    ):
        self._loop = loop
        self._descriptor = descriptor
        # Accepts on the same socket; asyncio's has no method for it.
        self._socket = socket.socket(fileno=os.dup(descriptor))
        self._build_protocol = build_protocol
        self._account = account
        # Whether the port is one that callers do not use.
        self._small_port = small_port
        # Of all that connections cause.
        self._context = loop_lanes.build_context(
            loop_lanes.Lane.CONTROL if small_port else loop_lanes.Lane.CALLERS
        )
        self._timer = None
        # Descriptors at the last count, when that was, and connections that
        # were accepted since.
        self._used = 0
        self._counted_at = -math.inf
        self._accepted = 0
        self._tasks = set()
        self._closed = False
        # Whether the server stops: what is left in the backlog is accepted.
        self._draining = False

    def start(self):
        """Accept connections from now on."""
        self._socket.setblocking(False)
        self._listen()

    def _listen(self):
        self._context.run(
            self._loop.add_reader, self._descriptor, self._accept
        )

    def pause(self, pause_s=PAUSE_S):
        """Accept nothing for some time, unless resume() is called."""
        if self._closed or self._draining or self._timer is not None:
            return
        self._account.pauses += 1
        self._wait(pause_s)

    def resume(self):
        """Go on after a pause."""
        if self._timer is not None and not self._closed:
            self._timer.cancel()
            self._timer = None
            self._listen()

    def drain(self):
        """Accept what is in the backlog, without pauses."""
        self._draining = True
        self.resume()

    def close(self):
        """Accept nothing more; connections in the backlog are reset."""
        if self._closed:
            return
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        self._loop.remove_reader(self._descriptor)
        self._socket.close()

    def _accept(self):
        """Accept the connections of one step."""
        count = self._account.accepts_per_step
        if not self._draining:
            if self._small_port and not self._has_place():
                self._wait(PLACE_WAIT_S)
                return
            count = min(count, self._find_spare())
            if count <= 0 and not self._make_place():
                return
        for _ in range(max(count, 1)):
            try:
                sock, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                if not loop_errors.is_exhaustion(error):
                    raise
                self._loop.call_exception_handler(
                    {'message': 'cannot accept', 'exception': error}
                )
                self.pause(FAILURE_PAUSE_S)
                return
            sock.setblocking(False)
            self._accepted += 1
            task = self._loop.create_task(self._connect(sock))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _wait(self, wait_s):
        self._loop.remove_reader(self._descriptor)
        self._timer = self._loop.call_later(wait_s, self.resume)

    def _has_place(self):
        """Return whether another connection takes the place of nobody.

        On a port that callers do not use, connections wait for that: peers
        and probes may come at once, and are gone after one response.
        """
        pending = len(self._tasks)
        return self._account.count_places(clock.now_s()) > pending

    def _find_spare(self):
        """Return how many connections may be accepted now."""
        limit = caller_account.derive_max_used(
            _read_descriptor_limit(), self._small_port
        )
        now = clock.now_s()
        # Each accepted connection may have needed another to an endpoint.
        used = self._used + 2 * self._accepted
        if now - self._counted_at >= COUNT_S or used >= limit:
            self._counted_at, self._accepted = now, 0
            used = self._used = _count_descriptors()
        return limit - used

    def _make_place(self):
        """Close a connection for one that waits; pause if there is none."""
        poll = select.poll()
        poll.register(self._socket, select.POLLIN)
        if not poll.poll(0):
            return False
        if self._account.make_place(clock.now_s()):
            return True
        error = OSError(errno.EMFILE, 'few descriptors are left')
        self._loop.call_exception_handler(
            {'message': 'accepting pauses', 'exception': error}
        )
        self.pause()
        return False

    async def _connect(self, sock):
        try:
            await self._loop.connect_accepted_socket(
                self._build_protocol, sock
            )
        except OSError:
            # The caller has gone.
            sock.close()


def _read_descriptor_limit():
    """Return how many descriptors the process may have, or infinity."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return math.inf if limit == resource.RLIM_INFINITY else limit


def _count_descriptors():
    """Return how many descriptors the process has."""
    try:
        return len(os.listdir('/dev/fd'))
    except OSError:
        # None is left to list them.
        return math.inf

"""Drive real cores against small stand-ins with a clock of its own.

The simulation knows delays and failures, nothing else of a network.
"""

from __future__ import annotations

import collections
import heapq
import itertools
import typing

from persimmonroute.entry import messages as entry_messages
from persimmonroute.sidecar import messages as sidecar_messages
from standins import endpoint_nodes
from standins import process_nodes
from standins import store_node

CALLER_DELAY_S = 0.001
RECONNECT_S = 0.2
SILENCE_S = 3.0


class CallerView:
    """Hold what a caller saw of one request."""

    def __init__(self, call, entry, now):
        self.call = call
        self.entry = entry
        self.sent_at = now
        self.first_at = None
        self.ended_at = None
        self.data = bytearray()
        self.ended: entry_messages.AnswerEnded | None = None

    @property
    def outcome(self):
        """Return the outcome's text, or 'lost' without a final answer."""
        return self.ended.outcome.value if self.ended else 'lost'


class LinkState:
    """Hold one open connection between an entry and a sidecar."""

    def __init__(self, link_id, entry, sidecar, delay_s):
        self.link_id = link_id
        self.entry = entry
        self.sidecar = sidecar
        self.delay_s = delay_s
        self.open = True
        # Nothing arrives before these times, so that order is kept.
        self.to_sidecar_at = 0.0
        self.to_entry_at = 0.0


class Simulation:
    """Hold all nodes, links, callers and the clock."""

    def __init__(self, configuration):
        self.now = 0.0
        self.configuration = configuration
        self.store = store_node.StoreNode(self)
        self.entries: dict[str, process_nodes.EntryNode] = {}
        self.sidecars: dict[str, process_nodes.SidecarNode] = {}
        self.endpoints: dict[str, endpoint_nodes.EndpointNode] = {}
        self.callers: dict[str, CallerView] = {}
        self.leaving: set[str] = set()
        self._links: dict[tuple[str, str], LinkState] = {}
        self._cut: set[tuple[str, str]] = set()
        self._heap = []
        self._sequence = itertools.count()
        # Observers of what arrives, called before it is handled.
        self.on_arrival: typing.Callable | None = None
        self.on_store: typing.Callable | None = None
        self.bytes_between_regions = 0
        # Prompt blocks that some engine has computed.
        self.computed_blocks: set[int] = set()

    def schedule(self, delay, function, *arguments):
        """Call a function after a delay in seconds."""
        entry = (self.now + delay, next(self._sequence), function, arguments)
        heapq.heappush(self._heap, entry)

    def run_until(self, at):
        """Advance the clock to a time in seconds."""
        while self._heap and self._heap[0][0] <= at:
            self.now, _, function, arguments = heapq.heappop(self._heap)
            function(*arguments)
        self.now = at

    def run_while(self, condition, limit_s):
        """Advance the clock while a condition holds, up to a limit."""
        end = self.now + limit_s
        while condition() and self._heap and self._heap[0][0] <= end:
            self.now, _, function, arguments = heapq.heappop(self._heap)
            function(*arguments)
        return not condition()

    def instances(self):
        """Return the platform's list of endpoint instances."""
        return tuple(
            node.instance._replace(leaving=name in self.leaving)
            for name, node in sorted(self.sidecars.items())
        )

    def add_sidecar(self, instance, endpoint, build_core):
        """Add an endpoint and its sidecar."""
        self.endpoints[instance.name] = endpoint
        self.sidecars[instance.name] = process_nodes.SidecarNode(
            self, instance, endpoint, build_core
        )

    def add_entry(self, name, locality):
        """Add an entry."""
        self.entries[name] = process_nodes.EntryNode(self, name, locality)

    def start(self, settle_s=1.0):
        """Start all processes and let them connect."""
        for node in (*self.sidecars.values(), *self.entries.values()):
            node.start()
        self.run_until(self.now + settle_s)

    def submit(self, call, entry):
        """Send a caller's request to an entry; return its view."""
        view = CallerView(call, entry, self.now)
        self.callers[call.request_id] = view
        arrived = entry_messages.CallArrived(call)
        self.schedule(CALLER_DELAY_S, self._arrive_call, entry, arrived)
        return view

    def _arrive_call(self, entry, arrived):
        node = self.entries[entry]
        if node.alive:
            self.deliver(node, arrived)
            return
        view = self.callers[arrived.call.request_id]
        view.ended_at = self.now

    def disconnect(self, request_id):
        """Close a caller's connection."""
        view = self.callers[request_id]
        gone = entry_messages.CallerDisconnected(request_id)
        self.schedule(CALLER_DELAY_S, self.entries[view.entry].handle, gone)

    def answer_data(self, effect):
        """Pass a part of an answer to its caller."""
        view = self.callers.get(effect.request_id)
        if view is not None and view.ended is None:
            if view.first_at is None:
                view.first_at = self.now + CALLER_DELAY_S
            view.data += effect.data

    def answer_ended(self, effect):
        """Pass a final answer to its caller."""
        view = self.callers.get(effect.request_id)
        if view is not None and view.ended is None:
            view.ended = effect
            view.ended_at = self.now + CALLER_DELAY_S

    def disconnect_callers(self, entry):
        """Break the callers' connections to an entry."""
        for view in self.callers.values():
            if view.entry == entry and view.ended is None:
                view.ended_at = self.now

    def connect(self, entry, sidecar):
        """Connect an entry to a sidecar as soon as both can."""
        if not self.entries[entry].alive or (entry, sidecar) in self._links:
            return
        node = self.sidecars[sidecar]
        blocked = (entry, sidecar) in self._cut
        if not node.alive or node.frozen or blocked:
            self.schedule(RECONNECT_S, self.connect, entry, sidecar)
            return
        link_id = f'{entry}#{next(self._sequence)}'
        delay = self._delay(entry, sidecar)
        link = LinkState(link_id, entry, sidecar, delay)
        self._links[(entry, sidecar)] = link
        node.handle(sidecar_messages.LinkOpened(link_id))
        opened = entry_messages.LinkOpened(
            sidecar, node.core.board.incarnation
        )
        self._deliver_to_entry(link, opened)
        self.send_to_entry(link_id, node.envelope())

    def close_link(self, entry, sidecar):
        """Close a connection; both ends notice and the entry reconnects."""
        link = self._links.pop((entry, sidecar), None)
        if link is None:
            return
        link.open = False
        node = self.sidecars[sidecar]
        closed = sidecar_messages.LinkClosed(link.link_id)
        self.schedule(link.delay_s, self._handle_if, node, node.core, closed)
        entry_node = self.entries[entry]
        lost = entry_messages.LinkClosed(sidecar)
        self.schedule(
            link.delay_s, self._handle_if, entry_node, entry_node.core, lost
        )
        self.schedule(RECONNECT_S, self.connect, entry, sidecar)

    def drop_links(self, name):
        """Close all connections of a process."""
        for entry, sidecar in list(self._links):
            if name in (entry, sidecar):
                self.close_link(entry, sidecar)

    def partition(self, entry, sidecar):
        """Cut the way between two processes until it is healed."""
        self._cut.add((entry, sidecar))
        self.close_link(entry, sidecar)

    def heal(self):
        """Heal all cuts."""
        self._cut.clear()

    def stall(self, entry, sidecar, direction, seconds):
        """Hold back what is sent one way over the present connection."""
        link = self._links.get((entry, sidecar))
        if link is None:
            return
        until = self.now + seconds
        if direction == 'to_sidecar':
            link.to_sidecar_at = max(link.to_sidecar_at, until)
            return
        link.to_entry_at = max(link.to_entry_at, until)
        if seconds > SILENCE_S:
            self.schedule(SILENCE_S, self._close_if_open, link)

    def freeze_sidecar(self, name):
        """Freeze a sidecar; entries drop it when it stays silent."""
        self.sidecars[name].freeze()
        for link in self._links.values():
            if link.sidecar == name:
                self.schedule(SILENCE_S, self._close_if_frozen, link)

    def send_to_sidecar(self, entry, sidecar, envelope):
        """Send an envelope to a sidecar if there is a connection."""
        link = self._links.get((entry, sidecar))
        if link is None:
            return
        at = max(self.now + link.delay_s, link.to_sidecar_at)
        link.to_sidecar_at = at
        arrived = sidecar_messages.EnvelopeArrived(link.link_id, envelope)
        self._count_bytes(link, envelope)
        self.schedule(
            at - self.now, self._arrive, link, self.sidecars[sidecar], arrived
        )

    def send_to_entry(self, link_id, envelope):
        """Send an envelope to the entry of a connection."""
        for link in self._links.values():
            if link.link_id == link_id:
                arrived = entry_messages.EnvelopeArrived(
                    link.sidecar, envelope
                )
                self._count_bytes(link, envelope)
                self._deliver_to_entry(link, arrived)
                return

    def _deliver_to_entry(self, link, event):
        at = max(self.now + link.delay_s, link.to_entry_at)
        link.to_entry_at = at
        node = self.entries[link.entry]
        self.schedule(at - self.now, self._arrive, link, node, event)

    def _arrive(self, link, node, event):
        if link.open:
            self.deliver(node, event)

    def deliver(self, node, event):
        """Show an event to the observer and bring it to a process."""
        if self.on_arrival is not None:
            self.on_arrival(node, event)
        node.handle(event)

    def _handle_if(self, node, core, event):
        if node.core is core:
            node.handle(event)

    def _close_if_frozen(self, link):
        if link.open and self.sidecars[link.sidecar].frozen:
            self.close_link(link.entry, link.sidecar)

    def _close_if_open(self, link):
        if link.open:
            self.close_link(link.entry, link.sidecar)

    def _delay(self, entry, sidecar):
        return endpoint_nodes.one_way_delay_s(
            self.entries[entry].locality, self.sidecars[sidecar].instance
        )

    def _count_bytes(self, link, envelope):
        locality = self.entries[link.entry].locality
        if self.sidecars[link.sidecar].instance.region != locality.region:
            self.bytes_between_regions += envelope.ByteSize()


def runs_by_attempt(simulation):
    """Return how often each attempt ran, counted at the endpoints."""
    runs = collections.Counter()
    for endpoint in simulation.endpoints.values():
        runs.update(endpoint.runs)
    return runs

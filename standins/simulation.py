"""Run real entry and sidecar cores in a discrete-event simulation.

The simulated network models only delays, partitions and failures.
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
RECONNECT_DELAY_S = 0.2
LINK_TIMEOUT_S = 3.0


class CallerView:
    """Record the response that a caller received to one request."""

    def __init__(self, call, entry, now):
        self.call = call
        self.entry = entry
        self.sent_at = now
        self.first_at = None
        self.ended_at = None
        self.data = bytearray()
        self.ended: entry_messages.ResponseEnded | None = None

    @property
    def outcome(self):
        """Return the name of the outcome, 'lost' without a final response."""
        return self.ended.outcome.value if self.ended else 'lost'


class LinkState:
    """Track one connection between an entry and a sidecar."""

    def __init__(self, link_id, entry, sidecar, delay_s):
        self.link_id = link_id
        self.entry = entry
        self.sidecar = sidecar
        self.delay_s = delay_s
        self.open = True
        # Earliest delivery time each way, to keep messages in order.
        self.to_sidecar_at = 0.0
        self.to_entry_at = 0.0


class Simulation:
    """Run nodes, links and callers on a simulated clock."""

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
        self._partitions: set[tuple[str, str]] = set()
        self._heap = []
        self._sequence = itertools.count()
        # on_arrival is called with each node and event before the node
        # handles it, on_store with the writes of each commit.
        self.on_arrival: typing.Callable | None = None
        self.on_store: typing.Callable | None = None
        self.bytes_between_regions = 0
        # Prompt blocks that any engine has prefilled so far.
        self.computed_blocks: set[int] = set()

    def schedule(self, delay, function, *arguments):
        """Call a function after a delay in seconds."""
        entry = (self.now + delay, next(self._sequence), function, arguments)
        heapq.heappush(self._heap, entry)

    def run_until(self, at):
        """Run all events up to a time in seconds."""
        while self._heap and self._heap[0][0] <= at:
            self.now, _, function, arguments = heapq.heappop(self._heap)
            function(*arguments)
        self.now = at

    def run_while(self, condition, limit_s):
        """Run events while a condition holds; return whether it ended."""
        end = self.now + limit_s
        while condition() and self._heap and self._heap[0][0] <= end:
            self.now, _, function, arguments = heapq.heappop(self._heap)
            function(*arguments)
        return not condition()

    def instances(self):
        """Return the instances that the platform lists."""
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
        """Add an entry at a locality."""
        self.entries[name] = process_nodes.EntryNode(self, name, locality)

    def start(self, settle_s=1.0):
        """Start all processes and give them time to connect."""
        for node in (*self.sidecars.values(), *self.entries.values()):
            node.start()
        self.run_until(self.now + settle_s)

    def submit(self, call, entry):
        """Send a request to an entry and return its CallerView."""
        view = CallerView(call, entry, self.now)
        self.callers[call.request_id] = view
        arrived = entry_messages.CallArrived(call)
        self.schedule(CALLER_DELAY_S, self._deliver_call, entry, arrived)
        return view

    def _deliver_call(self, entry, arrived):
        node = self.entries[entry]
        if node.alive:
            self.deliver(node, arrived)
            return
        view = self.callers[arrived.call.request_id]
        view.ended_at = self.now

    def disconnect(self, request_id):
        """Close the connection of a request's caller."""
        view = self.callers[request_id]
        disconnected = entry_messages.CallerDisconnected(request_id)
        self.schedule(
            CALLER_DELAY_S, self.entries[view.entry].handle, disconnected
        )

    def response_data(self, effect):
        """Add response data to the caller's view."""
        view = self.callers.get(effect.request_id)
        if view is not None and view.ended is None:
            if view.first_at is None:
                view.first_at = self.now + CALLER_DELAY_S
            view.data += effect.data

    def response_ended(self, effect):
        """Record the final response in the caller's view."""
        view = self.callers.get(effect.request_id)
        if view is not None and view.ended is None:
            view.ended = effect
            view.ended_at = self.now + CALLER_DELAY_S

    def disconnect_callers(self, entry):
        """Break all callers' connections to an entry."""
        for view in self.callers.values():
            if view.entry == entry and view.ended is None:
                view.ended_at = self.now

    def connect(self, entry, sidecar):
        """Connect an entry to a sidecar, retrying until it succeeds."""
        if not self.entries[entry].alive or (entry, sidecar) in self._links:
            return
        if sidecar not in self.entries[entry].linked_sidecars:
            return
        node = self.sidecars[sidecar]
        blocked = (entry, sidecar) in self._partitions
        if not node.alive or node.frozen or blocked:
            self.schedule(RECONNECT_DELAY_S, self.connect, entry, sidecar)
            return
        link_id = f'{entry}#{next(self._sequence)}'
        delay = self._one_way_delay_s(entry, sidecar)
        link = LinkState(link_id, entry, sidecar, delay)
        self._links[(entry, sidecar)] = link
        node.handle(sidecar_messages.LinkOpened(link_id))
        opened = entry_messages.LinkOpened(
            sidecar, node.core.board.incarnation
        )
        self._deliver_to_entry(link, opened)
        self.send_to_entry(link_id, node.envelope())

    def close_link(self, entry, sidecar):
        """Close a connection, notify both ends and schedule a reconnect."""
        link = self._links.pop((entry, sidecar), None)
        if link is None:
            return
        link.open = False
        node = self.sidecars[sidecar]
        closed = sidecar_messages.LinkClosed(link.link_id)
        self.schedule(
            link.delay_s, self._handle_if_current, node, node.core, closed
        )
        entry_node = self.entries[entry]
        lost = entry_messages.LinkClosed(sidecar)
        self.schedule(
            link.delay_s,
            self._handle_if_current,
            entry_node,
            entry_node.core,
            lost,
        )
        self.schedule(RECONNECT_DELAY_S, self.connect, entry, sidecar)

    def drop_links(self, name):
        """Close all connections of a process."""
        for entry, sidecar in list(self._links):
            if name in (entry, sidecar):
                self.close_link(entry, sidecar)

    def partition(self, entry, sidecar):
        """Partition an entry from a sidecar until heal() is called."""
        self._partitions.add((entry, sidecar))
        self.close_link(entry, sidecar)

    def heal(self):
        """Remove all partitions."""
        self._partitions.clear()

    def stall(self, entry, sidecar, direction, seconds):
        """Delay messages in one direction of the current connection."""
        link = self._links.get((entry, sidecar))
        if link is None:
            return
        until = self.now + seconds
        if direction == 'to_sidecar':
            link.to_sidecar_at = max(link.to_sidecar_at, until)
            return
        link.to_entry_at = max(link.to_entry_at, until)
        if seconds > LINK_TIMEOUT_S:
            self.schedule(LINK_TIMEOUT_S, self._close_if_open, link)

    def freeze_sidecar(self, name):
        """Freeze a sidecar; entries close links that time out."""
        self.sidecars[name].freeze()
        for link in self._links.values():
            if link.sidecar == name:
                self.schedule(LINK_TIMEOUT_S, self._close_if_frozen, link)

    def send_to_sidecar(self, entry, sidecar, envelope):
        """Send an envelope to a sidecar, if connected."""
        link = self._links.get((entry, sidecar))
        if link is None:
            return
        at = max(self.now + link.delay_s, link.to_sidecar_at)
        link.to_sidecar_at = at
        arrived = sidecar_messages.EnvelopeArrived(link.link_id, envelope)
        self._count_bytes(link, envelope)
        self.schedule(
            at - self.now,
            self._deliver_if_open,
            link,
            self.sidecars[sidecar],
            arrived,
        )

    def send_to_entry(self, link_id, envelope):
        """Send an envelope to the entry of a link, if still open."""
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
        self.schedule(at - self.now, self._deliver_if_open, link, node, event)

    def _deliver_if_open(self, link, node, event):
        if link.open:
            self.deliver(node, event)

    def deliver(self, node, event):
        """Pass an event to the observer, then to its node."""
        if self.on_arrival is not None:
            self.on_arrival(node, event)
        node.handle(event)

    def _handle_if_current(self, node, core, event):
        if node.core is core:
            node.handle(event)

    def _close_if_frozen(self, link):
        if link.open and self.sidecars[link.sidecar].frozen:
            self.close_link(link.entry, link.sidecar)

    def _close_if_open(self, link):
        if link.open:
            self.close_link(link.entry, link.sidecar)

    def _one_way_delay_s(self, entry, sidecar):
        return endpoint_nodes.one_way_delay_s(
            self.entries[entry].locality, self.sidecars[sidecar].instance
        )

    def _count_bytes(self, link, envelope):
        locality = self.entries[link.entry].locality
        if self.sidecars[link.sidecar].instance.region != locality.region:
            self.bytes_between_regions += envelope.ByteSize()


def runs_by_attempt(simulation):
    """Count the runs of each attempt over all endpoints."""
    runs = collections.Counter()
    for endpoint in simulation.endpoints.values():
        runs.update(endpoint.runs)
    return runs

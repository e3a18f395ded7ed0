"""Drive real cores against small stand-ins with a clock of its own.

The world knows delays and failures, nothing else of a network.
"""

from __future__ import annotations

import collections
import heapq
import itertools
import typing

from persimmonroute import composition
from persimmonroute.entry import messages as entry_messages
from persimmonroute.generated import exchange_pb2 as pb
from persimmonroute.sidecar import messages as sidecar_messages
from persimmonroute import store
from persimmonroute.store import StoreStatus
from standins import endpoint_nodes
from standins import tables

LOCAL_DELAY_S = 0.0005
CALLER_DELAY_S = 0.001
STORE_DELAY_S = 0.004
STORE_TIMEOUT_S = 2.0
SLOW_STORE_DELAY_S = 1.0
RECONNECT_S = 0.2
SILENCE_S = 3.0
BUSY_REPORT_PERIOD_S = 0.25
IDLE_REPORT_PERIOD_S = 1.0
PROBE_PERIOD_S = 0.5


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


class StoreNode:
    """Stand in for the table service with its failures."""

    def __init__(self, world):
        self._world = world
        self.tables = tables.Tables()
        # One of none, down, slow, lose_answers and late_effect.
        self.fault = 'none'

    def transact(self, writes, reply):
        """Apply writes and pass a StoreReply to a function."""
        schedule = self._world.schedule
        if self.fault == 'down':
            schedule(LOCAL_DELAY_S, reply, _failed())
        elif self.fault == 'late_effect':
            schedule(STORE_TIMEOUT_S, reply, _failed())
            schedule(2 * STORE_TIMEOUT_S, self.tables.transact, writes)
        else:
            slow = self.fault == 'slow'
            delay = SLOW_STORE_DELAY_S if slow else STORE_DELAY_S
            schedule(delay / 2, self._apply, writes, delay / 2, reply)

    def _apply(self, writes, delay, reply):
        committed, rows = self.tables.transact(writes)
        if committed and self._world.on_store is not None:
            self._world.on_store(writes)
        if self.fault == 'lose_answers':
            self._world.schedule(STORE_TIMEOUT_S, reply, _failed())
            return
        status = StoreStatus.COMMITTED if committed else StoreStatus.CONFLICT
        answer = store.StoreReply(status, tuple(_row(row) for row in rows))
        self._world.schedule(delay, reply, answer)


class ProcessNode:
    """Bring events to a core and carry out its effects."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.core = None
        self.alive = False
        self.frozen = False
        self._backlog = []
        self._timer_at = None
        self._frames: dict[str, list] = {}
        self.log = []

    def handle(self, event):
        """Bring an event to the core, later if the process is frozen."""
        if not self.alive:
            return
        if self.frozen:
            self._backlog.append(event)
            return
        for effect in self.core.handle(event, self.world.now):
            self.carry_out(effect)
        self._arm_timer()

    def freeze(self):
        """Stop the process without ending it."""
        self.frozen = True

    def thaw(self):
        """Let a frozen process go on."""
        self.frozen = False
        backlog, self._backlog = self._backlog, []
        for event in backlog:
            self.handle(event)

    def carry_out(self, effect):
        """Carry out one effect."""
        raise NotImplementedError

    def time_event(self):
        """Return the event that reports the passing of time."""
        raise NotImplementedError

    def send_frames(self, target, frames):
        """Send the frames of one moment."""
        raise NotImplementedError

    def put_frame(self, target, frame):
        """Send a frame together with the others of the same moment."""
        if target not in self._frames:
            self._frames[target] = []
            self.world.schedule(0.0, self._flush, self.core, target)
        self._frames[target].append(frame)

    def _flush(self, core, target):
        if core is self.core:
            frames = self._frames.pop(target, [])
            if self.alive:
                self.send_frames(target, frames)

    def _arm_timer(self):
        wanted = self.core.next_timer_at
        if wanted is None:
            return
        if self._timer_at is None or wanted < self._timer_at:
            self._timer_at = wanted
            delay = max(wanted - self.world.now, 0.0)
            self.world.schedule(delay, self._fire, self.core)

    def _fire(self, core):
        if core is self.core:
            self._timer_at = None
            self.handle(self.time_event())


class EntryNode(ProcessNode):
    """Run an entry's core."""

    def __init__(self, world, name, place):
        super().__init__(world, name)
        self.place = place
        # Builds a routing policy from the board, in place of the default.
        self.make_routing: typing.Callable | None = None
        self._handlers = {
            entry_messages.SendFrame: self._send_frame,
            entry_messages.OpenLink: self._open_link,
            entry_messages.CloseLink: self._close_link,
            entry_messages.AnswerData: self._answer_data,
            entry_messages.AnswerEnded: self._answer_ended,
            entry_messages.Transact: self._transact,
            entry_messages.LogEvent: self._log_event,
        }

    def start(self):
        """Start a new incarnation."""
        self.core = composition.build_entry_core(
            self.name,
            self.place.region,
            self.place.failure_domain,
            self.make_routing,
        )
        self.alive, self.frozen = True, False
        self._timer_at, self._backlog, self._frames = None, [], {}
        self.list_instances()
        self.handle(self.world.configuration)

    def kill(self):
        """End the process at once."""
        self.alive = False
        self.world.drop_links(self.name)
        self.world.lose_callers(self.name)

    def list_instances(self):
        """Give the core the platform's list."""
        listed = entry_messages.InstancesListed(self.world.instances())
        self.handle(listed)

    def carry_out(self, effect):
        """Carry out one effect."""
        self._handlers[type(effect)](effect)

    def time_event(self):
        """Return the event that reports the passing of time."""
        return entry_messages.TimePassed()

    def _send_frame(self, effect):
        self.put_frame(effect.sidecar, effect.frame)

    def send_frames(self, target, frames):
        """Send the frames of one moment to a sidecar."""
        envelope = pb.Envelope(
            sender=self.name,
            revision=self.core.board.revision,
            frames=frames,
        )
        self.world.send_to_sidecar(self.name, target, envelope)

    def _open_link(self, effect):
        self.world.connect(self.name, effect.sidecar)

    def _close_link(self, effect):
        self.world.close_link(self.name, effect.sidecar)

    def _answer_data(self, effect):
        self.world.answer_data(effect)

    def _answer_ended(self, effect):
        self.world.answer_ended(effect)

    def _transact(self, effect):
        core = self.core

        def reply(answer):
            if core is self.core:
                self.handle(entry_messages.StoreReplied(effect.token, answer))

        self.world.store.transact(effect.writes, reply)

    def _log_event(self, effect):
        self.log.append((self.world.now, effect))


class SidecarNode(ProcessNode):
    """Run a sidecar's core beside its endpoint."""

    def __init__(self, world, instance, endpoint, build_core):
        super().__init__(world, instance.name)
        self.instance = instance
        self.endpoint = endpoint
        self._build_core = build_core
        self._incarnations = itertools.count(1)
        self._handlers = {
            sidecar_messages.SendFrame: self._send_frame,
            sidecar_messages.StartCall: self._start_call,
            sidecar_messages.TakeUpCall: self._take_up_call,
            sidecar_messages.CancelCall: self._cancel_call,
            sidecar_messages.ReportLoad: self._report_load,
            sidecar_messages.LogEvent: self._log_event,
        }

    def start(self):
        """Start a new incarnation."""
        incarnation = f'{self.name}-{next(self._incarnations)}'
        self.core = self._build_core(self.instance, incarnation)
        self.alive, self.frozen = True, False
        self._timer_at, self._backlog, self._frames = None, [], {}
        self.endpoint.listener = self.handle
        streams = self.endpoint.find_streams()
        self.handle(sidecar_messages.StreamsFound(streams))
        core = self.core
        self.world.schedule(BUSY_REPORT_PERIOD_S, self._report, core)
        self.world.schedule(PROBE_PERIOD_S, self._probe, core)

    def kill(self):
        """End the process at once."""
        self.alive = False
        self.endpoint.listener = None
        self.world.drop_links(self.name)

    def envelope(self, frames=()):
        """Return an envelope with the present load."""
        board = self.core.board
        return pb.Envelope(
            sender=self.name,
            incarnation=board.incarnation,
            revision=board.revision,
            load=self.core.load(self.world.now),
            frames=frames,
        )

    def carry_out(self, effect):
        """Carry out one effect."""
        self._handlers[type(effect)](effect)

    def time_event(self):
        """Return the event that reports the passing of time."""
        return sidecar_messages.TimePassed()

    def _report(self, core):
        if core is not self.core or not self.alive:
            return
        if not self.frozen:
            self._report_load(None)
        period = IDLE_REPORT_PERIOD_S if core.idle else BUSY_REPORT_PERIOD_S
        self.world.schedule(period, self._report, core)

    def _report_load(self, effect):
        for link in sorted(self.core.board.links):
            self.world.send_to_entry(link, self.envelope())

    def _probe(self, core):
        if core is not self.core or not self.alive:
            return
        self.handle(sidecar_messages.EndpointProbed(self.endpoint.alive))
        self.world.schedule(PROBE_PERIOD_S, self._probe, core)

    def _send_frame(self, effect):
        self.put_frame(effect.link, effect.frame)

    def send_frames(self, target, frames):
        """Send the frames of one moment over a link."""
        self.world.send_to_entry(target, self.envelope(frames))

    def _start_call(self, effect):
        self.endpoint.start(effect.attempt, effect.offer)

    def _take_up_call(self, effect):
        self.endpoint.take_up(effect.attempt, effect.offset)

    def _cancel_call(self, effect):
        self.endpoint.cancel(effect.attempt)

    def _log_event(self, effect):
        self.log.append((self.world.now, effect))


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


class World:
    """Hold all nodes, links, callers and the clock."""

    def __init__(self, configuration):
        self.now = 0.0
        self.configuration = configuration
        self.store = StoreNode(self)
        self.entries: dict[str, EntryNode] = {}
        self.sidecars: dict[str, SidecarNode] = {}
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
        self.sidecars[instance.name] = SidecarNode(
            self, instance, endpoint, build_core
        )

    def add_entry(self, name, place):
        """Add an entry."""
        self.entries[name] = EntryNode(self, name, place)

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
            self.bring(node, arrived)
            return
        view = self.callers[arrived.call.request_id]
        view.ended_at = self.now

    def hang_up(self, request_id):
        """Close a caller's connection."""
        view = self.callers[request_id]
        gone = entry_messages.CallerGone(request_id)
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

    def lose_callers(self, entry):
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

    def cut(self, entry, sidecar):
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
            self.bring(node, event)

    def bring(self, node, event):
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
        return endpoint_nodes.delay_between(
            self.entries[entry].place, self.sidecars[sidecar].instance
        )

    def _count_bytes(self, link, envelope):
        place = self.entries[link.entry].place
        if self.sidecars[link.sidecar].instance.region != place.region:
            self.bytes_between_regions += envelope.ByteSize()


def runs_by_attempt(world):
    """Return how often each attempt ran, counted at the endpoints."""
    runs = collections.Counter()
    for endpoint in world.endpoints.values():
        runs.update(endpoint.runs)
    return runs


def _row(row):
    return store.Row(row['key'], row['value'], row['version'])


def _failed():
    return store.StoreReply(StoreStatus.FAILED)

"""One simulated router: the very `Engine` and decisions, behind ports that carry attempts through the world.

An attempt's connection, its bytes and its end are separate, as they are on sockets: a new connection takes a
round trip and the node's work, the request arrives a latency later, its answer takes another, and giving up
closes the connection, of which the node hears a latency later.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from ...connections.keeping import Keeping
from ...core.engine import Decider, DeliveryAttempt, Engine, Envelope
from ...decisions import api
from ...decisions.api import Result
from ..experiment import Routers
from .discovery import Discovery, Watcher
from .fleet import HIT, ORIGIN, STD, Asked, Node, Place
from .kernel import Kernel
from .network import Network
from .requests import Request
from .rules import Monitor, Sent, Try

DIAL_TIMEOUT = 250.0  # milliseconds until a connection that does not come up is given up
KEPT_FOR = 10_000.0  # that a router keeps an idle connection at most
SWEEP_EVERY = 250.0


@dataclass(slots=True)
class Payload:
    """What an envelope carries through the engine."""

    request: Request
    tried: Try
    ended: Callable[[str, float], None]  # how the try ended, and the time to come back in milliseconds
    missed: list[Node] = field(default_factory=list)  # where a read missed


class Link:
    """One connection of a router to a node."""

    __slots__ = ("epoch", "idle_since", "node", "open")

    def __init__(self, node: Node, now: float) -> None:
        self.node, self.epoch, self.idle_since, self.open = node, node.epoch, now, True

    def close(self) -> None:
        """It is closed, on both sides."""
        if self.open:
            self.open = False
            if self.epoch == self.node.epoch:
                self.node.disconnect()


class Exchange:
    """One delivery attempt on its way."""

    __slots__ = ("asked", "attempt", "link", "node", "port", "sent")

    def __init__(self, port: Router, attempt: DeliveryAttempt, node: Node) -> None:
        self.port, self.attempt, self.node = port, attempt, node
        self.link: Link | None = None
        self.asked: Asked | None = None
        self.sent: Sent | None = None

    def dial(self) -> None:
        """Open a connection; the attempt goes out once it is up."""
        port, node = self.port, self.node
        now = port.kernel.time
        port.kernel.at(now + DIAL_TIMEOUT, self._not_up)
        if port.reaches(node):
            port.kernel.at(now + port.latency(node), self._knock)

    def _knock(self) -> None:
        if not self._wanted() or not self.port.reaches(self.node):
            return
        port = self.port
        place, back = self.node.connect(), port.latency(self.node)
        if place is Place.HELD:
            port.keeping[self.node.kind].let_in()
            self.link = Link(self.node, port.kernel.time)
            port.kernel.after(back, self.write)
        elif place is Place.NONE:  # it says so to the request, a round trip later
            port.kernel.after(3.0 * back, self._no_place)
        else:
            port.kernel.after(back, lambda: self._end(Result.CONNECT_FAILED, 0))

    def _no_place(self) -> None:
        if self._wanted():
            self.port.keeping[self.node.kind].turned_away()
            self._end(Result.NO_PLACE, 0)

    def _not_up(self) -> None:
        if self._wanted() and self.asked is None:
            self._end(Result.CONNECT_FAILED, 0)

    def _wanted(self) -> bool:
        return self.port.out.get(self.attempt) is self

    def write(self) -> None:
        """The connection is up: the request goes out on it."""
        if not self._wanted():
            return
        port = self.port
        payload = self.attempt.envelope.payload
        assert isinstance(payload, Payload)
        request = payload.request
        write = self.attempt.envelope.write
        self.sent = port.sending(payload.tried, self.node)
        self.asked = Asked(
            payload.tried.name,
            request.key,
            write,
            request.work,
            request.origin_work,
            request.size,
            self._replied,
        )
        if port.reaches(self.node):
            port.kernel.after(port.latency(self.node), self._arrive)

    def _arrive(self) -> None:
        asked = self.asked
        assert asked is not None
        if asked.over or not self.port.reaches(self.node):
            return
        link = self.link
        if link is None or not link.open or link.epoch != self.node.epoch or not self.node.server.up:
            self.port.kernel.after(self.port.latency(self.node), lambda: self._end(Result.RESET, 0))
            return
        self.node.arrive(asked)

    def _replied(self, result: Result, note: int) -> None:
        port = self.port
        if not port.reaches(self.node):
            return
        if port.network.breaks():
            result = Result.RESET
        port.kernel.after(port.latency(self.node), lambda: self._end(result, note))

    def _end(self, result: Result, note: int) -> None:
        """The end of the attempt is at the router, which hears it when it has the time."""
        if self._wanted():
            self.port.spend(self.port.shape.attempt_us, lambda: self._heard(result, note))

    def _heard(self, result: Result, note: int) -> None:
        if not self._wanted():
            return
        port = self.port
        del port.out[self.attempt]
        if self.link is not None:
            if result in (Result.RESET, Result.CONNECT_FAILED):
                self.link.close()
            else:
                port.rest(self.link)
        self._tell(result)
        if note:
            port.count("hits" if note == HIT else "misses")
        port.missed(self.attempt, self.node, result)
        port.engine.attempt_ended(self.attempt, result, note, answer=self.node)

    def broke(self) -> None:
        """The node's process has gone: its machine resets the connection."""
        port = self.port
        result = Result.RESET if self.asked is not None else Result.CONNECT_FAILED
        if self.asked is not None:
            self.asked.over = True
        if not port.reaches(self.node):
            return
        port.kernel.after(port.latency(self.node), lambda: self._end(result, 0))

    def give_up(self) -> None:
        """The router closes the attempt's connection; the node hears of it a latency later."""
        self._tell(Result.CANCELLED)
        asked, node, port = self.asked, self.node, self.port
        if asked is not None:
            port.kernel.after(port.latency(node), lambda: node.given_up(asked))
        if self.link is not None:
            self.link.close()

    def _tell(self, result: Result) -> None:
        if self.sent is not None:
            self.port.monitor.outcome(self.sent, result)


class Router:
    """One router of the world: sender side, next hops, map source and clock of its engine."""

    def __init__(
        self,
        name: str,
        zone: int,
        kernel: Kernel,
        network: Network,
        nodes: dict[int, Node],
        discovery: Discovery,
        monitor: Monitor,
        settings: api.Settings,
        seed: int,
        decider: Decider | None,
        shape: Routers,
    ) -> None:
        self.name, self.zone = name, zone
        self.kernel, self.network, self.nodes, self.monitor = kernel, network, nodes, monitor
        self.discovery = discovery
        self.alive = True
        self.out: dict[DeliveryAttempt, Exchange] = {}
        self.count: Callable[[str], None] = lambda what: None
        self._idle: dict[int, list[Link]] = {}
        self.shape = shape
        self._unread: dict[Envelope, Payload] = {}  # it has not had the time to take them
        self._free_at = 0.0  # when it is through with what it has to do
        self.keeping = {kind: Keeping(KEPT_FOR, settings.routers) for kind in (STD, ORIGIN)}
        kernel.after(SWEEP_EVERY, self._sweep)
        self.engine = Engine(settings, seed, kernel, decider)
        self.engine.next_hops = self
        self.engine.map_source = self
        self.watcher: Watcher = discovery.join(self._told, zone)
        self.engine.map_told(discovery.known(self.watcher))

    def latency(self, node: Node) -> float:
        """Of one message to or from a node."""
        return self.network.latency(self.zone, node.zone)

    def reaches(self, node: Node) -> bool:
        """Whether messages to and from a node pass at present."""
        return not node.silent and self.network.passes(self.zone, node.zone)

    def _told(self, event: api.Members) -> None:
        if self.alive:
            self.engine.map_told(event)

    def watch(self, on: bool) -> None:
        """The engine follows discovery, or no more."""
        self.discovery.watch(self.watcher, on)

    # ------------------------------------------------------------------------------------- the next hops

    def deliver(self, attempt: DeliveryAttempt) -> None:
        """Carry an attempt out."""
        if not self.alive:
            return
        node = self.nodes.get(attempt.server)
        self.count("attempts")
        if node is None:
            self.engine.attempt_ended(attempt, Result.CONNECT_FAILED)
            return
        if node.kind == ORIGIN:
            self.count("origin_attempts")
        if node.zone != self.zone:
            self.count("crossings")
        exchange = Exchange(self, attempt, node)
        self.out[attempt] = exchange
        link = self._kept(node)
        if link is None:
            exchange.dial()
        else:
            exchange.link = link
            exchange.write()

    def give_up(self, attempt: DeliveryAttempt) -> None:
        """Stop an attempt."""
        exchange = self.out.pop(attempt, None)
        if exchange is not None:
            exchange.give_up()

    def spend(self, cost: float, then: Callable[[], None]) -> None:
        """Go on once so many microseconds of processor time are spent, behind what is in hand."""
        now = self.kernel.time
        if not cost:
            then()
            return
        self._free_at = max(self._free_at, now) + cost / 1000.0 / self.shape.cores
        self.kernel.at(self._free_at, lambda: then() if self.alive else None)

    def _sweep(self) -> None:
        """Close connections that were idle for as long as they are kept."""
        if not self.alive:
            return
        now = self.kernel.time
        self.kernel.after(SWEEP_EVERY, self._sweep)
        for number, links in list(self._idle.items()):
            kept = self.keeping[self.nodes[number].kind].time
            for link in links:
                if now - link.idle_since >= kept:
                    link.close()
            self._idle[number] = [link for link in links if link.open]

    def _kept(self, node: Node) -> Link | None:
        """The most recently used idle connection that is still good, as far as this side can know."""
        links, now = self._idle.get(node.number, []), self.kernel.time
        while links:
            link = links.pop()
            if link.open and now - link.idle_since < KEPT_FOR:
                return link
            link.close()
        return None

    def rest(self, link: Link) -> None:
        """A connection is free for the next attempt."""
        link.idle_since = self.kernel.time
        self._idle.setdefault(link.node.number, []).append(link)

    def sending(self, tried: Try, node: Node) -> Sent:
        """An attempt's first byte goes out."""
        told = self.watcher.told.get(node.number)
        return self.monitor.sending(
            tried, self.kernel.time, node.number, node.uid, node.zone, node.cell, told
        )

    def missed(self, attempt: DeliveryAttempt, node: Node, result: Result) -> None:
        """Keep in mind where a read missed: what the origin answers is stored there."""
        payload = attempt.envelope.payload
        assert isinstance(payload, Payload)
        if result is Result.MISS:
            payload.missed.append(node)
        elif result is Result.OK and node.kind == ORIGIN:
            for where in payload.missed:
                store = getattr(where, "memory", None)
                if store is not None and where.server.up:
                    store.put(payload.request.key, payload.request.size, self.kernel.time)

    def lost(self, node: Node) -> None:
        """A node's process has gone, and with it all connections to it."""
        for exchange in [one for one in self.out.values() if one.node is node]:
            exchange.broke()
        if self.reaches(node):
            for link in self._idle.get(node.number, ()):
                self.kernel.after(self.latency(node), link.close)

    # -------------------------------------------------------------------------------------- the sender side

    def accept(
        self, request: Request, payload: Payload, deadline: float, write: bool, retry: bool
    ) -> Envelope:
        """A client's try comes."""
        envelope = Envelope(
            klass=request.klass,
            deadline=deadline,
            key=request.key,
            tenant=request.tenant,
            write=write,
            retry=retry,
            cost_hint=request.hint,
            payload=payload,
        )
        self._unread[envelope] = payload
        self.spend(self.shape.request_us, lambda: self._take(envelope))
        return envelope

    def _take(self, envelope: Envelope) -> None:
        if not self._unread.pop(envelope).tried.gone:
            self.engine.accept(envelope, self)

    def served(self, envelope: Envelope, answer: object) -> None:
        """A next hop's answer goes to the client."""
        self._final(envelope, "served", 0.0)

    def begins(self, envelope: Envelope, answer: object) -> None:
        """Answers come whole here."""
        raise NotImplementedError

    def refused(self, envelope: Envelope, retry_after: float) -> None:
        """The client is turned away."""
        self._final(envelope, "refused", retry_after)

    def failed(self, envelope: Envelope, late: bool) -> None:
        """The client is told of a failure."""
        self._final(envelope, "failed", 0.0)

    def broke(self, envelope: Envelope) -> None:
        """A fault of the program."""
        self._final(envelope, "failed", 0.0)

    def _final(self, envelope: Envelope, how: str, wait: float) -> None:
        payload = envelope.payload
        assert isinstance(payload, Payload)
        if not self.alive:
            return
        self.monitor.answered(payload.tried, self.kernel.time, how == "refused", self.name)
        payload.ended(how, wait)

    # -------------------------------------------------------------------------------------------- its end

    def kill(self) -> list[Payload]:
        """The process is gone, with all that it had in hand: its clients see their connections break."""
        self.alive = False
        held = list(self._unread.values())
        for envelope in list(self.engine.envelopes.values()):
            if not envelope.over and isinstance(envelope.payload, Payload):
                envelope.payload.tried.gone = True
                held.append(envelope.payload)
        for attempt in list(self.out):
            self.give_up(attempt)
        for links in self._idle.values():
            for link in links:
                link.close()
        self._idle.clear()
        self.discovery.leave(self.watcher)
        return held

"""The stand-in of discovery: the model's list on a socket for each router, so that it is known who was told
what.
"""

from __future__ import annotations

import json
import logging
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs, urlsplit

from ...decisions.api import Member, State
from ...logs import fault
from ...net.loop import READ, WRITE, Timer
from ...net.stream import Stream
from ..experiment import Discovery as Shape
from ..world.discovery import Discovery
from .configuration import KINDS
from .doors import HOST, Door
from .reader import BadRequest, Message, RequestReader, answer

if TYPE_CHECKING:
    from .world import LiveWorld

log = logging.getLogger(__name__)
STATES = {State.READY: "active", State.DRAINING: "leaving", State.GONE: "left"}
Rows = dict[str, Any]


class Listing(Discovery):
    """What discovery knows, and to whom it told it. Changes reach it as in simulated time; calls are answered
    in real time, one after another.
    """

    def __init__(self, world: LiveWorld, shape: Shape, seed: int) -> None:
        super().__init__(world.kernel, shape, seed, lambda zone: 0.0)
        self.world = world
        self.links: dict[DiscoveryLink, None] = {}
        self.zones, self.routers = len(world.experiment.zones), world.experiment.routers.count
        # one more for each zone, for who starts routers there: it is told also while discovery is down
        places = range(self.routers + self.zones)
        self.doors = [Door(world.loop, self._welcome(place)) for place in places]
        self._told: list[dict[int, tuple[float, int]]] = [{} for _ in self.doors]
        self._free = 0.0

    def begin(self, members: list[Member]) -> None:
        """The list at the begin. Nodes that started since `stale_by` are news to routers that hold it."""
        super().begin(members)
        young = [member for member in members if member.born > -1000.0 * self.shape.stale_by]
        self._changes = [(1, member) for member in young]

    def open(self) -> None:
        """Take calls from now on."""
        for door in self.doors:
            door.turn("open")

    def close(self) -> None:
        """Let go of every socket."""
        for door in self.doors:
            door.close()
        for link in list(self.links):
            link.close()

    def turn(self, up: bool) -> None:
        """It goes down, and refuses calls; or it comes back."""
        self.up = up
        for door in self.doors[: self.routers]:
            door.turn("open" if up else "shut")
        if not up:
            for link in [one for one in self.links if one.router < self.routers]:
                link.close()

    def _welcome(self, router: int) -> Callable[[socket.socket], None]:
        def accepted(sock: socket.socket) -> None:
            self.links[DiscoveryLink(self, router, sock)] = None

        return accepted

    # ------------------------------------------------------------------------------------- what it tells

    def document(self, router: int, after: int | None) -> tuple[Rows, list[Member]]:
        """The answer to a router's call: what is newer than a revision, or the whole list."""
        members = list(self._list.values()) if after is None else self.newer(after)
        zone = (router if router < self.routers else router - self.routers) % self.zones
        rows = [self._row(member, zone) for member in members]
        return {"rev": self.revision, "all": after is None, "targets": rows}, members

    def held(self, zone: int) -> Rows:
        """The list as routers in a zone hold it that start with the run: `stale_by` old."""
        news = {member.server for _, member in self._changes}
        rows = [self._row(member, zone) for member in self._list.values() if member.server not in news]
        return {"rev": 0 if news else self.revision, "all": True, "targets": rows}

    def newer(self, after: int) -> list[Member]:
        """What changed after a revision; of several changes of a node the last."""
        found = {member.server: member for revision, member in self._changes if revision > after}
        return list(found.values())

    def _row(self, member: Member, zone: int) -> Rows:
        world = self.world
        stand = world.stands[member.server]
        return {
            "uid": stand.node.uid,
            "endpoint": f"{HOST}:{stand.doors[zone].port}",
            "az": world.experiment.zones[member.zone],
            "model": KINDS[member.kind],
            "pod_group": member.cell,
            "state": STATES[member.state],
            "capacity_hint": member.weight,
            "boot_ms": max(0, round(world.unix_begin + member.born)),
        }

    def _know(self, member: Member) -> None:
        super()._know(member)
        for link in list(self.links):
            link.news()

    def turn_comes(self, lines: int) -> float:
        """When a call is answered, on the loop's clock: calls are handled one after another."""
        cost = self.shape.call_ms + self.shape.line_ms * lines
        self._free = max(self._free, self.world.loop.now()) + cost
        return self._free

    # ----------------------------------------------------------------------------------- whom it told what

    def told(self, router: int, node: int) -> float | None:
        """Since when a router knows that a node wants nothing new; None if it does not."""
        found = self._told[router].get(node)
        return None if found is None else found[0]

    def asked(self, router: int, after: int) -> None:
        """A router holds this revision, and no more: it may have started anew."""
        told = self._told[router]
        for node in [node for node, (_, revision) in told.items() if revision > after]:
            del told[node]

    def telling(self, router: int, members: list[Member]) -> None:
        """An answer went out to a router."""
        told, now = self._told[router], self.world.pace.now()
        for member in members:
            if member.state is State.READY:
                told.pop(member.server, None)
            else:
                told.setdefault(member.server, (now, self.revision))


class DiscoveryLink:
    """One connection of a router to discovery."""

    def __init__(self, listing: Listing, router: int, sock: socket.socket) -> None:
        self.listing, self.router = listing, router
        self._reader = RequestReader()
        self._after: int | None = None
        self._waits = False  # a call waits for something newer
        self._over: Timer | None = None
        self.stream = Stream(listing.world.loop, listing.world.budget, sock, self._ready)

    def _ready(self, mask: int) -> None:
        try:
            if mask & WRITE:
                self.stream.flush()
            data = self.stream.read() if mask & READ else None
            if data == b"":
                self.close()
            elif data:
                for message in self._reader.feed(data):
                    self._call(message)
            self._settle()
        except (OSError, BadRequest):
            self.close()
        except Exception as problem:
            self.listing.world.loop.faults += 1
            fault(log, "discovery_stand_in_fault", problem)
            self.close()

    def _settle(self) -> None:
        if self.stream.open:
            self.stream.want(READ | (WRITE if self.stream.unwritten() else 0))

    def _call(self, message: Message) -> None:
        """A call: answered at once, or once there is something newer, or when its time is over."""
        loop, url = self.listing.world.loop, urlsplit(message.target.decode("latin-1"))
        if url.path != "/v1/endpoints":
            self.stream.send(answer(404))
            return
        asked = {name: values[0] for name, values in parse_qs(url.query).items()}
        try:
            self._after = int(asked["after"]) if "after" in asked else None
            wait = float(asked.get("wait_ms", "0"))
        except ValueError:
            self.stream.send(answer(400))
            return
        if self._after is not None:
            self.listing.asked(self.router, self._after)
        if self._after is not None and wait > 0 and not self.listing.newer(self._after):
            self._waits = True
            self._over = loop.after(wait, self._tell)
        else:
            self._tell()

    def news(self) -> None:
        """Something is newer than what this router holds."""
        if self._waits:
            self._tell()

    def _tell(self) -> None:
        self._waits = False
        if self._over is not None:
            self._over.cancel()
            self._over = None
        lines = len(self.listing.document(self.router, self._after)[1])
        self.listing.world.loop.at(self.listing.turn_comes(lines), self._send)

    def _send(self) -> None:
        if not self.stream.open:
            return
        document, members = self.listing.document(self.router, self._after)
        body = json.dumps(document).encode()
        try:
            self.stream.send(answer(200, body, ((b"Content-Type", b"application/json"),)))
        except OSError:
            self.close()
            return
        self.listing.telling(self.router, members)
        self._settle()

    def close(self) -> None:
        """Close it."""
        if self._over is not None:
            self._over.cancel()
        self._waits = False
        self.stream.close()
        self.listing.links.pop(self, None)

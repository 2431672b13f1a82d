"""The driver of a stand-in: a node of the model behind a listening socket, and its connections."""

from __future__ import annotations

import contextlib
import logging
import socket
import struct
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

from ...decisions.api import Result, State
from ...logs import fault
from ...net.loop import READ, WRITE
from ...net.stream import Stream
from ..world.draws import Uniform
from ..world.fleet import HIT, Asked, Node, Place
from . import faults
from .configuration import CONN_IDLE
from .doors import Door
from .reader import BadRequest, Message, RequestReader, answer
from .records import Attempt

if TYPE_CHECKING:
    from .world import LiveWorld

log = logging.getLogger(__name__)
DECLINED = (b"Srv-Declined", b"1")
_RESETS = struct.pack("ii", 1, 0)  # of SO_LINGER: closing resets


class Stand:
    """One cache node, or the origin. It has a door for each zone that routers are in, so that a cut is one
    for new connections too.
    """

    def __init__(self, world: LiveWorld, node: Node) -> None:
        self.world, self.node = world, node
        self.refusals = 0  # troubles that are on
        self.garbage_shares: list[float] = []  # of the answers, by each trouble that is on ...
        self.drip_shares: list[float] = []  # ... of which the worst one counts
        self.links: dict[NodeLink, None] = {}
        zones = range(len(world.experiment.zones))
        self.doors: list[Door] = [Door(world.loop, self._welcome(zone)) for zone in zones]
        self._fate = Uniform(world.seed, f"answers of {node.uid}")

    def look(self) -> None:
        """Have the doors as the node is now."""
        node = self.node
        shut = not node.server.up or node.state is State.GONE or self.refusals > 0
        for zone, door in enumerate(self.doors):
            door.turn("shut" if shut else "open" if self.hears(zone) else "mute")

    def hears(self, zone: int) -> bool:
        """Whether messages pass between it and a zone."""
        return not self.node.silent and self.world.network.passes(zone, self.node.zone)

    def sweep(self, now: float) -> None:
        """Close what was idle for long."""
        if not self.node.silent:
            for link in [one for one in self.links if one.idle() and now - one.idle_since >= CONN_IDLE]:
                link.close()

    def lost(self) -> None:
        """The process has gone: its machine resets all connections."""
        for door in self.doors:
            door.turn("shut")
        for link in list(self.links):
            link.reset()

    def close(self) -> None:
        """The run is over."""
        for door in self.doors:
            door.close()
        for link in list(self.links):
            link.close()

    def _welcome(self, zone: int) -> Callable[[socket.socket], None]:
        return lambda sock: self.world.pace.does(lambda: self._take(sock, zone))

    def _take(self, sock: socket.socket, zone: int) -> None:
        """A connection of a router in that zone."""
        with contextlib.suppress(OSError):  # it has gone already
            link = NodeLink(self, sock, zone)
            self.links[link] = None
            if not self.node.server.up:  # it fell over by this very connection
                link.reset()

    def send(self, link: NodeLink, data: bytes, result: Result) -> None:
        """An answer goes out, or what its fate makes of it. OSError if the connection broke."""
        spoilt, drops = max(self.garbage_shares, default=0.0), max(self.drip_shares, default=0.0)
        draw = self._fate() if spoilt or drops or self.node.resets else 1.0
        if result is Result.RESET:
            faults.LOSSES[int(self._fate() * len(faults.LOSSES))](link, data)
        elif draw < spoilt:
            faults.garbage(link, int(draw * 1e6))
        elif draw < spoilt + drops:
            faults.drip(link, data, result)
        elif draw < spoilt + drops + self.node.resets / len(faults.LOSSES):
            faults.reset_after(link, data, result)
        else:
            link.stream.send(data)
            link.over(result)


class NodeLink:
    """One connection of a router to a stand-in: it carries one request at a time."""

    def __init__(self, stand: Stand, sock: socket.socket, zone: int) -> None:
        self.stand, self.node, self.zone = stand, stand.node, zone
        self.attempt: Attempt | None = None
        self.idle_since: float = stand.world.pace.now()
        self._reader = RequestReader()
        self._behind: deque[Message] = deque()
        self._asked: Asked | None = None
        self._came = 0.0  # the first byte of the present request
        self._keep = True
        self._epoch = self.node.epoch
        self._welcome = self.node.connect() is Place.HELD  # not if too many are open
        self.stream: Stream = Stream(stand.world.loop, stand.world.budget, sock, self._ready)

    def idle(self) -> bool:
        """Between requests."""
        return self.attempt is None and not self._reader.begun

    def _ready(self, mask: int) -> None:
        self.stand.world.pace.does(lambda: self.guarded(lambda: self._go_on(mask)))

    def guarded(self, step: Callable[[], None]) -> None:
        """Take a step; the connection ends if it broke."""
        try:
            step()
            if self.stream.open:
                self.stream.want(READ | (WRITE if self.stream.unwritten() else 0))
        except OSError:
            self._left()
        except Exception as problem:
            # guards against a socket that stays ready and raises the same again at once, without end
            self.stand.world.loop.faults += 1
            fault(log, "stand_in_fault", problem, node=self.node.uid)
            self._left()

    def _go_on(self, mask: int) -> None:
        if mask & WRITE:
            self.stream.flush()
        data = self.stream.read() if mask & READ else None
        if data == b"":
            self._left()
        elif data:
            self._read(data)

    def _read(self, data: bytes) -> None:
        if not self._reader.begun:
            self._came = self.stand.world.pace.now()
        try:
            self._behind += self._reader.feed(data)
        except BadRequest:
            self.stream.send(answer(400))
            self.close()
            return
        self._next()

    def _next(self) -> None:
        if self.attempt is None and self._behind and self.stream.open:
            self._take(self._behind.popleft())

    def _take(self, message: Message) -> None:
        """A request is here, whole."""
        world, name = self.stand.world, message.text(b"req-id")
        self._keep = message.keep
        self.attempt = world.attempt(self.node, self.zone, name, self._came)
        if not self.stand.hears(self.zone):
            return  # nobody hears it
        if not name:
            self._answer(answer(400), Result.UNFIT)
        elif not self._welcome:
            self._keep = False
            self._answer(answer(503, b"", (DECLINED, (b"Connection", b"close"))), Result.FULL)
        else:
            asked = self._asked = world.asked(self.node, message, name, self._replied)
            self._later(lambda: self._arrive(asked))

    def _later(self, call: Callable[[], None]) -> None:
        """Call when a message has had its way."""
        world = self.stand.world
        world.after(world.network.latency(self.zone, self.node.zone), call)

    def _arrive(self, asked: Asked) -> None:
        if not asked.over:
            self.node.arrive(asked)

    def _replied(self, result: Result, note: int) -> None:
        """The node's answer sets out."""
        world, asked = self.stand.world, self._asked
        if asked is None:
            return
        if result is not Result.RESET:
            world.replied(self.node, asked, result, note)
        if world.network.breaks():
            result = Result.RESET
        self._later(lambda: self._arrived(asked, result, note))

    def _arrived(self, asked: Asked, result: Result, note: int) -> None:
        if asked is self._asked and self.stand.hears(self.zone):
            self._answer(_bytes_of(self.node, asked, result, note), result)

    def _answer(self, data: bytes, result: Result) -> None:
        self.guarded(lambda: self.stand.send(self, data, result))

    def over(self, result: Result) -> None:
        """The attempt in hand has its end, as seen from here."""
        attempt, self.attempt, self._asked = self.attempt, None, None
        if attempt is not None:
            attempt.end, attempt.result = self.stand.world.pace.now(), result
        self.idle_since = self.stand.world.pace.now()
        if not self._keep and not self.stream.unwritten():
            self.stream.end_sending()
        elif self._behind:
            self.stand.world.after(0.0, self._next)

    def _left(self) -> None:
        """The router has closed the connection, or it broke."""
        self._drop(Result.CANCELLED)
        self.close()

    def _drop(self, result: Result) -> None:
        """Nobody waits for what is in hand any more."""
        asked = self._asked
        if asked is not None:
            self.node.given_up(asked)
        self._keep = True  # nothing is to be ended any more
        self.over(result)

    def reset(self) -> None:
        """Close it such that the other side gets a reset."""
        if self.stream.open:
            with contextlib.suppress(OSError):
                self.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESETS)
            self.close()

    def close(self) -> None:
        """Close it."""
        if self.stream.open:
            self._behind.clear()
            if self.attempt is not None:
                self._drop(Result.RESET)
            self.stream.close()
            self.stand.links.pop(self, None)
            if self._welcome and self._epoch == self.node.epoch:
                self.node.disconnect()


def _bytes_of(node: Node, asked: Asked, result: Result, note: int) -> bytes:
    """An answer as it goes out; also where only a part of it will."""
    extra = ((b"Srv-Cache", b"hit" if note == HIT else b"miss"),) if note else ()
    if result in (Result.OK, Result.RESET):
        return answer(200, b"" if asked.write else b"v" * asked.size, extra)
    if result is Result.MISS:
        return answer(404, b"", extra)
    if result is Result.FULL:
        return answer(503, b"", (DECLINED,))
    return answer(500)

"""Cache nodes and the origin: a machine each, with what it remembers, who is connected, and how it
misbehaves.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from ...core.transport_map import uid_number
from ...decisions.api import Member, Result, State
from ..experiment import Nodes, Origin
from .draws import Uniform
from .kernel import Kernel
from .memory import Memory
from .server import Job, Server, Shape

HIT, MISS = 1, 2  # what an answer says of a read
Reply = Callable[[Result, int], None]
STD, ORIGIN = 0, 1  # kinds of machines


class Place(Enum):
    """What becomes of a new connection."""

    HELD = "held"
    NONE = "none"  # there is no place for it
    DOWN = "down"  # it is refused


@dataclass(slots=True)
class Asked:
    """One delivery attempt as a machine sees it."""

    request: str
    key: int
    write: bool
    work: float  # milliseconds at a cache node, on a core of speed 1
    origin_work: float
    size: int
    reply: Reply
    job: Job | None = None
    over: bool = False


class Node:
    """What is common to all: it can be reached or not, it has work, it may leave attempts without an
    answer.
    """

    def __init__(
        self, kernel: Kernel, uid: str, zone: int, shape: Shape, born: float, connections: int
    ) -> None:
        self.kernel, self.uid, self.zone = kernel, uid, zone
        self.number = uid_number(uid)
        self.server = Server(kernel, shape, born)
        self.state = State.READY
        self.silences = 0  # troubles that keep it from saying anything; connections neither come up nor break
        self.hang_shares: list[float] = []  # of its attempts, by each trouble that is on: never answered ...
        self.reset_shares: list[float] = []  # ... or lose their connection
        self.slowed: list[float] = []  # it is so many times as slow, by each trouble that is on
        self.connections = 0
        self.most_connections = connections
        self.handshake = 0.0
        self.epoch = 0  # counts its starts: connections of an earlier one are gone
        self.kind, self.cell = STD, 0
        self.lost: Callable[[Node], None] = lambda node: None  # all connections to it broke
        self._fate: Uniform

    def member(self, born: float) -> Member:
        """Its entry in the list; `born` on the clock of the routers."""
        return Member(self.number, self.state, born, self.zone, self.cell, self.kind)

    @property
    def silent(self) -> bool:
        """Whether it says nothing."""
        return self.silences > 0

    @property
    def hangs(self) -> float:
        """The part of its attempts that is never answered."""
        return max(self.hang_shares, default=0.0)

    @property
    def resets(self) -> float:
        """The part of its attempts that loses its connection."""
        return max(self.reset_shares, default=0.0)

    def slow(self, by: float, on: bool) -> None:
        """It is so many times as slow by one more trouble, or by one less; the worst one counts."""
        (self.slowed.append if on else self.slowed.remove)(by)
        self.server.change(max(self.slowed, default=1.0))

    def fates(self, draw: Uniform) -> None:
        """Where it draws which attempts meet a fault."""
        self._fate = draw

    def connect(self) -> Place:
        """A connection comes. Beyond as many as it holds, it says so to the first request and closes."""
        if not self.server.up:
            return Place.DOWN
        if self.handshake:
            self.server.offer(self.handshake, _nothing)
            if not self.server.up:
                return Place.DOWN  # the work of it was too much
        if self.connections >= self.most_connections:
            return Place.NONE
        self.connections += 1
        return Place.HELD

    def disconnect(self) -> None:
        """A connection is closed."""
        self.connections = max(0, self.connections - 1)

    def arrive(self, asked: Asked) -> None:
        """The last byte of an attempt is here."""
        hangs, resets = self.hangs, self.resets
        fate = self._fate() if hangs or resets else 1.0
        if fate < hangs:
            return  # it is never answered
        if fate < hangs + resets:
            self.kernel.after(1.0, lambda: self._answer(asked, Result.RESET, 0))
            return
        if self.state is not State.READY and not self.server.up:
            self._answer(asked, Result.RESET, 0)
            return
        self.take(asked)

    def take(self, asked: Asked) -> None:
        """Work on an attempt."""
        raise NotImplementedError

    def work(self, asked: Asked, work: float, done: Callable[[], None]) -> None:
        """Have work done for an attempt, or turn it away."""
        job = self.server.offer(work, done)
        if job is None:
            self._answer(asked, Result.FULL if self.server.up else Result.RESET, 0)
        else:
            asked.job = job

    def _answer(self, asked: Asked, result: Result, note: int) -> None:
        if not asked.over:
            asked.over = True
            asked.reply(result, note)

    def given_up(self, asked: Asked) -> None:
        """The router has closed the attempt's connection."""
        asked.over = True
        if asked.job is not None:
            self.server.cancel(asked.job)

    def stop(self) -> None:
        """The process ends: connections are reset, new ones refused."""
        self.server.stop()
        self.connections = 0
        self.epoch += 1
        self.lost(self)

    def start(self) -> None:
        """It starts anew, cold and empty."""
        self.server.start()


def _nothing() -> None:
    """Nobody waits for the end of a handshake's work."""


class OriginNode(Node):
    """What holds every value."""

    def __init__(self, kernel: Kernel, shape: Origin, zone: int) -> None:
        made = Shape(
            cores=shape.cores,
            speed=shape.speed,
            slots=shape.slots,
            queue=shape.queue,
            crowding=shape.crowding,
            cancels=shape.cancels,
            overrun_after=1000.0 * shape.falls_when,
        )
        super().__init__(kernel, "origin", zone, made, -1e12, shape.connections)
        self.handshake = shape.handshake_ms
        self.kind = ORIGIN
        self.down_for = 1000.0 * shape.down_for
        self.written: Callable[[int], None] = lambda key: None  # a key has another value
        self.server.fell = self._fell

    def _fell(self) -> None:
        self.connections = 0
        self.epoch += 1
        self.lost(self)
        epoch = self.epoch

        def back() -> None:
            if self.epoch == epoch:  # else it was stopped meanwhile, and comes back when that ends
                self.start()

        self.kernel.after(self.down_for, back)

    def take(self, asked: Asked) -> None:
        def done() -> None:
            if asked.write:
                self.written(asked.key)
            self._answer(asked, Result.OK, 0)

        self.work(asked, asked.origin_work, done)


class CacheNode(Node):
    """A cache node: it answers what it remembers, and a miss else; or fetches by itself, in through mode."""

    def __init__(
        self,
        kernel: Kernel,
        uid: str,
        zone: int,
        shape: Nodes,
        speed: float,
        born: float,
        fetch: Callable[[CacheNode, Asked, Callable[[bool], None]], None] | None,
    ) -> None:
        made = Shape(
            cores=shape.cores,
            speed=speed,
            slots=shape.slots,
            queue=shape.queue,
            crowding=shape.crowding,
            cold_from=shape.cold_from,
            warm_after=1000.0 * shape.warm_after,
            warm_by_work=shape.warm_by == "work",
            falls_at=shape.falls_at,
            falls_within=1000.0 * shape.falls_within,
            cancels=shape.cancels,
        )
        super().__init__(kernel, uid, zone, made, born, shape.connections)
        self.handshake, self.miss = shape.handshake_ms, shape.miss_ms
        self.group = shape
        self.memory = Memory(shape.memory, shape.eviction, 1000.0 * shape.keep)
        self._fetch = fetch

    def take(self, asked: Asked) -> None:
        if asked.write:
            # in through mode writes pass to the origin; in aside mode none comes here
            self._pass_on(asked)
        elif self.memory.get(asked.key, self.kernel.time):
            self.work(asked, asked.work, lambda: self._answer(asked, Result.OK, HIT))
        elif self._fetch is None:
            self.work(asked, self.miss, lambda: self._answer(asked, Result.MISS, MISS))
        else:
            self._pass_on(asked)

    def _pass_on(self, asked: Asked) -> None:
        fetch = self._fetch
        if fetch is None:
            self._answer(asked, Result.ERROR, 0)
            return

        epoch = self.epoch

        def fetched(good: bool) -> None:
            if good and not asked.write and self.epoch == epoch:  # not in the memory of a later process
                self.memory.put(asked.key, asked.size, self.kernel.time)
            self._answer(asked, Result.OK if good else Result.ERROR, MISS)

        self.work(asked, self.miss, lambda: fetch(self, asked, fetched))

    def stop(self) -> None:
        super().stop()
        self.memory.clear()

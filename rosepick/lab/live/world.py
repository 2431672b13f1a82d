"""The model's world with sockets in the place of its routers and clients."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import cast

from ...core.transport_map import key_number
from ...decisions.api import Result
from ...http.sender_side import key_of
from ...net.budget import Budget
from ...net.loop import Loop
from ..experiment import Experiment
from ..measure import Measure
from ..world import troubles
from ..world.fleet import HIT, ORIGIN, Asked, CacheNode, Node, Reply
from ..world.ports import Router
from ..world.world import World
from . import faults
from .discovery import Listing
from .nodes import Stand
from .origin import DROPPED_WORK, Fetches, Repeats
from .pace import Pace
from .plan import request_of, requests
from .reader import Message
from .records import Attempt

LOOK_EVERY = 5.0  # milliseconds: doors follow their nodes
SWEEP_EVERY = 500.0
START_UP = 1_000.0  # about so long after this world is made the run begins


class LiveWorld(World):
    """Nodes, origin and discovery of one run, on one loop. Its kernel keeps pace with real time."""

    def __init__(self, loop: Loop, experiment: Experiment, seed: int, measure: Measure) -> None:
        self.loop = loop
        self.budget = Budget(1_000_000)
        self.stands: dict[int, Stand] = {}
        self.attempts: list[Attempt] = []
        self.unix_begin = 1000.0 * time.time() + START_UP
        self.plan = requests(experiment, seed)
        self._fetches, self._repeats = Fetches(), Repeats()
        super().__init__(experiment, seed, measure)
        self.pace = Pace(loop, self.kernel)
        self.listing = Listing(self, experiment.discovery, seed)
        listed = [node for node in self.nodes.values() if self._listed(node)]
        self.listing.begin([node.member(node.server.born) for node in listed])
        self.discovery = self.listing

    def _listed(self, node: Node) -> bool:
        """In through mode nobody but nodes speaks to the origin."""
        return node.kind != ORIGIN or self.experiment.mode == "aside"

    def begin(self, at: float) -> None:
        """The run begins at that time of the loop."""
        self.unix_begin = 1000.0 * time.time() + at - self.loop.now()
        troubles.set_up(self, faults.KINDS)
        self.kernel.after(1_000.0, self._sample)
        self.pace.begin(at)

    def open(self) -> None:
        """Take connections from now on."""
        self._look()
        self._sweep()
        self.listing.open()

    def close(self) -> None:
        """Let go of every socket."""
        self.listing.close()
        for stand in self.stands.values():
            stand.close()

    # ------------------------------------------------------------------------------ in the model's place

    def _settle(self, node: Node) -> None:
        super()._settle(node)
        self.stands[node.number] = Stand(self, node)

    def add_router(self, place: int) -> Router:
        """Routers are processes of their own."""
        return cast(Router, None)

    def kill_router(self, place: int, down: float | None) -> None:
        """Who started the routers does that."""

    def _lost(self, node: Node) -> None:
        self.stands[node.number].lost()

    def born(self, node: Node) -> float:
        """When a node started, in milliseconds from the run's begin."""
        return node.server.born

    def _look(self) -> None:
        self.loop.after(LOOK_EVERY, self._look)
        for stand in list(self.stands.values()):
            stand.look()

    def _sweep(self) -> None:
        self.loop.after(SWEEP_EVERY, self._sweep)
        now = self.pace.now()
        for stand in self.stands.values():
            stand.sweep(now)

    def after(self, delay: float, call: Callable[[], None]) -> None:
        """Call after so many milliseconds of the run."""
        self.kernel.after(delay, call)

    # ---------------------------------------------------------------------------------- delivery attempts

    def attempt(self, node: Node, zone: int, name: str, came: float) -> Attempt:
        """A request of a router in that zone has come whole to a node; its first byte came at that time."""
        request = request_of(self.plan, name)
        told = None if request is None else self.listing.told(request.router, node.number)
        found = Attempt(name, node.number, node.uid, node.zone, node.cell, came, told)
        self.attempts.append(found)
        if request is not None:
            self._count("attempts")
            if node.kind == ORIGIN:
                self._count("origin_attempts")
            if zone != node.zone:
                self._count("crossings")
        return found

    def asked(self, node: Node, message: Message, name: str, reply: Reply) -> Asked:
        """What a request means to the model."""
        request, write = request_of(self.plan, name), message.method == b"PUT"
        if request is None:
            one = self.experiment.classes[0]
            key = key_number(key_of(message.target))
            return Asked(name, key, write, one.work_ms, one.origin_ms, one.size, reply)
        found = Asked(name, request.key, write, request.work, request.origin_work, request.size, reply)
        klass = self.experiment.classes[request.klass]
        if write and self._repeats.is_one(message.text(b"idempotency-key"), klass, node, self.pace.now()):
            found.work = found.origin_work = DROPPED_WORK
        return found

    def replied(self, node: Node, asked: Asked, result: Result, note: int) -> None:
        """A node answered, as the model has it."""
        if note:
            self._count("hits" if note == HIT else "misses")
        if result is Result.MISS and isinstance(node, CacheNode):
            self._fetches.missed(asked.request, node)
        elif result is Result.OK and node.kind == ORIGIN and not asked.write:
            self._fetches.answered(asked, self.kernel.time)

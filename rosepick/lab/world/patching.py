"""Every cache node's host is patched once: it drains, ends, and starts again cold. Who goes when is a
matter of manner:

alone    each crew by itself, at a random time
one      the next when the one before is up again
fixed    so many at a time, each next one when one is up again
agreed   by permits (`rosepick.fleet`): out until warm, in zones, and as the store has room
"""

from __future__ import annotations

import random
from functools import partial

from ...decisions.api import State
from ...fleet import budget as budgets
from ...fleet import warden
from ...fleet.ledger import At, Kind, Ledger, Member, Want
from ..experiment import Trouble
from ..results import Span
from .fleet import CacheNode
from .world import World

DRAINS = 1_500.0  # milliseconds that a node drains
LOOK = 500.0
WARM = 0.9  # of its capacity


class Patching:
    """One campaign over all cache nodes."""

    def __init__(self, world: World, trouble: Trouble) -> None:
        self.world, self.trouble = world, trouble
        self.nodes = {node.uid: node for node in world.cache_nodes()}
        self.todo = list(self.nodes)
        random.Random(f"{world.seed} patch").shuffle(self.todo)
        self.at: dict[str, At] = {}
        self.done: set[str] = set()
        self.most_out = 0
        self._began = world.kernel.time
        self._room = warden.Room(warden.Terms())
        share = trouble.share
        limit = budgets.Limit(share=share, zone_share=min(1.0, 2.0 * share), stay=1)
        self._budget = budgets.Budget(caches=limit)
        if trouble.manner == "alone":
            draw = random.Random(f"{world.seed} alone")
            for uid in self.todo:
                world.kernel.after(1000.0 * trouble.last * draw.random(), partial(self._go, uid))
        self._look()

    def _look(self) -> None:
        """Go on, twice a second."""
        self._come_back()
        if self.trouble.manner != "alone":
            while self.todo and self._may(self.todo[0]):
                self._go(self.todo.pop(0))
        if len(self.done) == len(self.nodes):
            text = f"{len(self.done)} done, at most {self.most_out} out at once"
            now = self.world.kernel.time
            self.world.measure.spans.append(Span("patched", self._began / 1000.0, now / 1000.0, text))
            return
        self.world.kernel.after(LOOK, self._look)

    def _may(self, uid: str) -> bool:
        if self.trouble.manner == "agreed":
            return not budgets.blocked(self._ledger(uid), self._budget, uid, 0)
        out = sum(at is not At.BACK for at in self.at.values())
        return out < (1 if self.trouble.manner == "one" else self.trouble.most)

    def _ledger(self, uid: str) -> Ledger:
        """What the fleet's ledger would say: who is out, also by itself, and the store's room."""
        members = {}
        for name, node in self.nodes.items():
            lost = name not in self.at and not self._warm(node)
            want = Want(1, "lab", "patch") if name == uid else None
            members[name] = Member(
                int(Kind.CACHE), str(node.zone), at=int(self.at.get(name, 0)), lost=lost, want=want
            )
        return Ledger(
            members=members, room=self._room.now(self._reports(), self._budget.caches.most_of(len(members)))
        )

    def _reports(self) -> list[tuple[int, warden.Report]]:
        """What agents would report of the second before."""
        counts = self.world.measure.second(self.world.kernel.time - 1_000.0).counts
        up = [node for node in self.nodes.values() if node.server.up]
        ends = [float(counts[name]) for name in ("in_time", "refused", "failed")]
        each = {name: counts[name] / max(1, len(up)) for name in ("hits", "misses")}
        router = warden.Report(1, 1, True, True, ends[0], ends[1], ends[2])
        cache = warden.Report(1, 1, True, True, hits=each["hits"], misses=each["misses"])
        return [(Kind.ROUTER, router), *((Kind.CACHE, cache) for _ in up)]

    def _warm(self, node: CacheNode) -> bool:
        return node.server.up and node.server.warmth(self.world.kernel.time) >= WARM

    def _go(self, uid: str) -> None:
        node = self.nodes[uid]
        self.at[uid] = At.LEAVING
        node.state = State.DRAINING
        self._listed(node)
        self.world.kernel.after(DRAINS, partial(self._out, uid))
        missing = [one for one in self.nodes.values() if one.state is not State.READY or not self._warm(one)]
        self.most_out = max(self.most_out, len(missing))

    def _out(self, uid: str) -> None:
        self.at[uid] = At.OUT
        self.nodes[uid].stop()
        self.world.kernel.after(1000.0 * self.trouble.down, partial(self._up, uid))

    def _up(self, uid: str) -> None:
        node = self.nodes[uid]
        self.at[uid] = At.BACK
        node.state = State.READY
        if not node.server.up:
            node.start()
        self._listed(node)

    def _listed(self, node: CacheNode) -> None:
        self.world.discovery.changed(node.member(self.world.born(node)))

    def _come_back(self) -> None:
        """Those that are proven: warm; in the other manners whoever is up is done."""
        for uid, at in list(self.at.items()):
            if at is At.BACK and (self.trouble.manner != "agreed" or self._warm(self.nodes[uid])):
                del self.at[uid]
                self.done.add(uid)

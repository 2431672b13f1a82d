"""Discovery: who tells routers of the nodes, late, one call after another; and when each was told what.

It goes by what it knows: a change reaches it after a delay. A router that watches is told each change in a
call of its own; one that begins to watch is told what it missed.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import takewhile

from ...decisions import api
from ...decisions.api import Member, Scope, State
from ..experiment import Discovery as Shape
from .draws import Uniform
from .kernel import Kernel

Tell = Callable[[api.Members], None]


@dataclass(slots=True, eq=False)
class Watcher:
    """One router, as discovery sees it."""

    tell: Tell
    zone: int
    on: bool = False
    revision: int = 0
    heard: float = 0.0  # when it was told the last time
    told: dict[int, float] = field(default_factory=dict)  # since when a node is known to want nothing new


class Discovery:
    """The one service that all routers ask."""

    def __init__(self, kernel: Kernel, shape: Shape, seed: int, latency: Callable[[int], float]) -> None:
        self.kernel, self.shape, self.latency = kernel, shape, latency
        self.up = True
        self.more_delay = 0.0  # milliseconds, by a trouble
        self.revision = 1
        self.watchers: list[Watcher] = []
        self._draw = Uniform(seed, "discovery")
        self._list: dict[int, Member] = {}  # as it knows it ...
        self._last_list: dict[int, Member] = {}  # ... and as routers had it before the begin
        self._changes: list[tuple[int, Member]] = []
        self._free_at = 0.0
        self.turned_away = 0  # calls that had to wait too long
        self._last_known = 0.0

    def begin(self, members: list[Member]) -> None:
        """The list at the begin. What routers had last is older by `stale_by`: nodes that started since then
        are not in it.
        """
        self._list = {member.server: member for member in members}
        since = -1000.0 * self.shape.stale_by
        self._last_list = {m.server: m for m in members if m.born <= 0 or m.born <= since + self.kernel.time}

    def known(self, watcher: Watcher) -> api.Members:
        """The list as a router that starts now had it last, and from which version on it is to be told."""
        old = self._last_list if self.kernel.time <= 0 else self._list
        watcher.revision = self.revision if old.keys() == self._list.keys() else 0
        return api.Members(Scope.CACHED, tuple(old.values()), watcher.revision)

    def changed(self, member: Member) -> None:
        """A node starts, drains or goes: it will be known after a while, in the order of what happened."""
        spread = self.shape.delay_spread * (2.0 * self._draw() - 1.0)
        delay = 1000.0 * self.shape.delay * (1.0 + spread) + self.more_delay
        known = max(self.kernel.time + delay, self._last_known)
        self._last_known = known
        self.kernel.at(known, lambda: self._know(member))

    def _know(self, member: Member) -> None:
        self.revision += 1
        if member.state is State.GONE:
            self._list.pop(member.server, None)
        else:
            self._list[member.server] = member
        self._changes.append((self.revision, member))
        if self.up:
            for watcher in self.watchers:
                if watcher.on:
                    self._call(watcher, False)

    # -------------------------------------------------------------------------------------------- calls

    def join(self, tell: Tell, zone: int) -> Watcher:
        """A router is there; it is told what it watches by `tell`."""
        watcher = Watcher(tell, zone, revision=self.revision)
        self.watchers.append(watcher)
        return watcher

    def leave(self, watcher: Watcher) -> None:
        """A router is gone."""
        watcher.on = False
        self.watchers.remove(watcher)

    def watch(self, watcher: Watcher, on: bool) -> None:
        """A router watches from now on, or no more."""
        if on and not watcher.on:
            if not self.up:
                self.kernel.after(self.latency(watcher.zone), lambda: self._failed(watcher))
                return
            watcher.on = True
            self._call(watcher, True)
        elif not on:
            watcher.on = False

    def _call(self, watcher: Watcher, asked: bool) -> None:
        """Calls are handled one after another; one takes longer by each line that it tells."""
        now = self.kernel.time
        if asked and self.shape.patience_ms and self._free_at - now > self.shape.patience_ms:
            self.turned_away += 1
            self.kernel.after(self.shape.patience_ms, lambda: self._failed(watcher))
            return
        cost = self.shape.call_ms + self.shape.line_ms * len(self._news(watcher))
        self._free_at = max(self._free_at, now) + cost
        self.kernel.at(self._free_at, lambda: self._tell(watcher, asked))

    def _tell(self, watcher: Watcher, asked: bool) -> None:
        """What is new to a router; if it asked, also that nothing is."""
        if not (watcher.on and self.up) or (watcher.revision == self.revision and not asked):
            return
        scope = Scope.DELTA if watcher.revision else Scope.FULL
        self._deliver(watcher, api.Members(scope, self._news(watcher), self.revision))

    def _news(self, watcher: Watcher) -> tuple[Member, ...]:
        """What a router does not know yet: the whole list, or what changed since it was told."""
        if not watcher.revision:
            return tuple(self._list.values())
        newer = takewhile(lambda change: change[0] > watcher.revision, reversed(self._changes))
        return tuple(member for _, member in newer)[::-1]

    def _deliver(self, watcher: Watcher, event: api.Members) -> None:
        watcher.revision = self.revision
        for member in event.members:
            if member.state is State.READY:
                watcher.told.pop(member.server, None)
            else:
                watcher.told.setdefault(member.server, self.kernel.time)
        # one connection: what is told later does not overtake what was told before
        watcher.heard = max(watcher.heard, self.kernel.time + self.latency(watcher.zone))
        self.kernel.at(watcher.heard, lambda: watcher.tell(event))

    def _failed(self, watcher: Watcher) -> None:
        watcher.on = False
        watcher.tell(api.Members(Scope.FAILED))

    def turn(self, up: bool) -> None:
        """It goes down, and all watches end; or it comes back."""
        self.up = up
        if not up:
            for watcher in self.watchers:
                if watcher.on:
                    watcher.on = False
                    self.kernel.after(self.latency(watcher.zone), lambda w=watcher: self._failed(w))  # type: ignore[misc]

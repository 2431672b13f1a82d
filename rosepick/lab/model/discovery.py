"""Discovery: who tells routers of the nodes, late, one call after another; and when each was told what.

It goes by what it knows: a change reaches it after a delay. A router that watches is told each change in a
call of its own; one that begins to watch is told what it missed.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from itertools import takewhile

from ...decisions import api
from ...decisions.api import Endpoint, Status, UpdateScope
from ..experiment import DiscoveryConfig as Shape
from .kernel import Kernel
from .random_streams import UniformStream

MembersListener = Callable[[api.EndpointUpdate], None]


@dataclass(slots=True, eq=False)
class DiscoverySubscriber:
    """One router, as discovery sees it."""

    notify: MembersListener
    zone: int
    subscribed: bool = False
    revision: int = 0
    last_delivery_at: float = 0.0  # when it was told the last time
    drain_known_since: dict[int, float] = field(
        default_factory=dict
    )  # since when a node is known to want nothing new


class SimulatedDiscovery:
    """The one service that all routers ask."""

    def __init__(self, kernel: Kernel, config: Shape, seed: int, latency: Callable[[int], float]) -> None:
        self.kernel, self.config, self.latency = kernel, config, latency
        self.up = True
        self.extra_delay_ms = 0.0  # milliseconds, by a trouble
        self.revision = 1
        self.subscribers: list[DiscoverySubscriber] = []
        self._delay_stream = UniformStream(seed, "discovery")
        self._members: dict[int, Endpoint] = {}  # as it knows it ...
        self._stale_members: dict[int, Endpoint] = {}  # ... and as routers had it before the begin
        self._changes: list[tuple[int, Endpoint]] = []
        self._busy_until = 0.0
        self.rejected_calls = 0  # calls that had to wait too long
        self._last_visible_at = 0.0

    def load_members(self, members: list[Endpoint]) -> None:
        """The list at the begin. What routers had last is older by `stale_by`: nodes that started since then
        are not in it.
        """
        self._members = {member.endpoint_id: member for member in members}
        since = -1000.0 * self.config.stale_by
        self._stale_members = {
            m.endpoint_id: m for m in members if m.started_at <= 0 or m.started_at <= since + self.kernel.time
        }

    def initial_members(self, subscriber: DiscoverySubscriber) -> api.EndpointUpdate:
        """The list as a router that starts now had it last, and from which version on it is to be told."""
        old = self._stale_members if self.kernel.time <= 0 else self._members
        subscriber.revision = self.revision if old.keys() == self._members.keys() else 0
        return api.EndpointUpdate(UpdateScope.CACHED, tuple(old.values()), subscriber.revision)

    def report_change(self, member: Endpoint) -> None:
        """A node starts, drains or goes: it will be known after a while, in the order of what happened."""
        spread = self.config.delay_spread * (2.0 * self._delay_stream() - 1.0)
        delay = 1000.0 * self.config.delay * (1.0 + spread) + self.extra_delay_ms
        known = max(self.kernel.time + delay, self._last_visible_at)
        self._last_visible_at = known
        self.kernel.call_at(known, lambda: self._apply_change(member))

    def _apply_change(self, member: Endpoint) -> None:
        self.revision += 1
        if member.status is Status.REMOVED:
            self._members.pop(member.endpoint_id, None)
        else:
            self._members[member.endpoint_id] = member
        self._changes.append((self.revision, member))
        if self.up:
            for watcher in self.subscribers:
                if watcher.subscribed:
                    self._schedule_call(watcher, False)

    # -------------------------------------------------------------------------------------------- calls

    def subscribe(self, notify: MembersListener, zone: int) -> DiscoverySubscriber:
        """A router is there; it is told what it watches by `notify`."""
        watcher = DiscoverySubscriber(notify, zone, revision=self.revision)
        self.subscribers.append(watcher)
        return watcher

    def unsubscribe(self, subscriber: DiscoverySubscriber) -> None:
        """A router is gone."""
        subscriber.subscribed = False
        self.subscribers.remove(subscriber)

    def set_subscribed(self, subscriber: DiscoverySubscriber, subscribed: bool) -> None:
        """A router watches from now on, or no more."""
        if subscribed and not subscriber.subscribed:
            if not self.up:
                self.kernel.call_after(
                    self.latency(subscriber.zone), lambda: self._notify_failure(subscriber)
                )
                return
            subscriber.subscribed = True
            self._schedule_call(subscriber, True)
        elif not subscribed:
            subscriber.subscribed = False

    def _schedule_call(self, subscriber: DiscoverySubscriber, is_initial: bool) -> None:
        """Calls are handled one after another; one takes longer by each line that it tells."""
        now = self.kernel.time
        if is_initial and self.config.patience_ms and self._busy_until - now > self.config.patience_ms:
            self.rejected_calls += 1
            self.kernel.call_after(self.config.patience_ms, lambda: self._notify_failure(subscriber))
            return
        cost = self.config.call_ms + self.config.line_ms * len(self._pending_changes(subscriber))
        self._busy_until = max(self._busy_until, now) + cost
        self.kernel.call_at(self._busy_until, lambda: self._answer_call(subscriber, is_initial))

    def _answer_call(self, subscriber: DiscoverySubscriber, is_initial: bool) -> None:
        """What is new to a router; if it asked, also that nothing is."""
        if not (subscriber.subscribed and self.up) or (
            subscriber.revision == self.revision and not is_initial
        ):
            return
        scope = UpdateScope.DELTA if subscriber.revision else UpdateScope.FULL
        self._deliver(subscriber, api.EndpointUpdate(scope, self._pending_changes(subscriber), self.revision))

    def _pending_changes(self, subscriber: DiscoverySubscriber) -> tuple[Endpoint, ...]:
        """What a router does not know yet: the whole list, or what changed since it was told."""
        if not subscriber.revision:
            return tuple(self._members.values())
        newer = takewhile(lambda change: change[0] > subscriber.revision, reversed(self._changes))
        return tuple(member for _, member in newer)[::-1]

    def _deliver(self, subscriber: DiscoverySubscriber, event: api.EndpointUpdate) -> None:
        subscriber.revision = self.revision
        for member in event.endpoints:
            if member.status is Status.READY:
                subscriber.drain_known_since.pop(member.endpoint_id, None)
            else:
                subscriber.drain_known_since.setdefault(member.endpoint_id, self.kernel.time)
        # one connection: what is told later does not overtake what was told before
        subscriber.last_delivery_at = max(
            subscriber.last_delivery_at, self.kernel.time + self.latency(subscriber.zone)
        )
        self.kernel.call_at(subscriber.last_delivery_at, lambda: subscriber.notify(event))

    def _notify_failure(self, subscriber: DiscoverySubscriber) -> None:
        subscriber.subscribed = False
        subscriber.notify(api.EndpointUpdate(UpdateScope.FAILED))

    def set_available(self, available: bool) -> None:
        """It goes down, and all watches end; or it comes back."""
        self.up = available
        if not available:
            for watcher in self.subscribers:
                if watcher.subscribed:
                    watcher.subscribed = False
                    notify = partial(self._notify_failure, watcher)
                    self.kernel.call_after(self.latency(watcher.zone), notify)

"""The simulated discovery service, which sends endpoint list updates to routers.

Discovery learns of a change after a delay, and handles its calls one after another. A subscribed router gets
each change in a call of its own; a router that subscribes gets the changes that it missed. For the checks of
the rules, discovery records when each router was notified that a node drains.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from itertools import takewhile

from ...decisions import api
from ...decisions.api import Endpoint, Status, UpdateScope
from ..experiment_config import DiscoveryConfig
from .kernel import Kernel
from .random_streams import UniformStream

UpdateCallback = Callable[[api.EndpointUpdate], None]


@dataclass(slots=True, eq=False)
class DiscoverySubscriber:
    """A router that is registered with discovery. Times are milliseconds."""

    notify: UpdateCallback
    zone: int
    subscribed: bool = False
    revision: int = 0
    last_delivery_at: float = 0.0
    # by node number: when the router was notified that the node drains or is removed
    drain_known_since: dict[int, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class MemberChange:
    """A change of one endpoint, with the list's revision after it."""

    revision: int
    member: Endpoint


class SimulatedDiscovery:
    """The discovery service that all routers share."""

    def __init__(
        self, kernel: Kernel, config: DiscoveryConfig, seed: int, latency: Callable[[int], float]
    ) -> None:
        """Create a service with an empty list.

        `latency` draws the latency of one message to a zone, in milliseconds.
        """
        self.kernel = kernel
        self.config = config
        self.latency = latency
        self.up = True
        self.extra_delay_ms = 0.0  # added by faults
        self.revision = 1
        self.subscribers: list[DiscoverySubscriber] = []
        self._delay_stream = UniformStream(seed, "discovery")
        self._members: dict[int, Endpoint] = {}  # the list of discovery
        self._stale_members: dict[int, Endpoint] = {}  # the list that routers cached before the run
        self._changes: list[MemberChange] = []
        self._busy_until = 0.0
        self.rejected_calls = 0  # subscriptions that failed because of `patience_ms`
        self._last_visible_at = 0.0

    def load_members(self, members: list[Endpoint]) -> None:
        """Set the list at the start of the run.

        Routers start with a list that is older by `DiscoveryConfig.stale_by` seconds, which lacks the nodes
        that started later.
        """
        self._members = {member.endpoint_id: member for member in members}
        stale_since = self.kernel.time - 1000.0 * self.config.stale_by
        self._stale_members = {
            member.endpoint_id: member
            for member in members
            if member.started_at <= 0 or member.started_at <= stale_since
        }

    def initial_members(self, subscriber: DiscoverySubscriber) -> api.EndpointUpdate:
        """Return the list that a starting router has cached, and set the subscriber's revision to match."""
        cached = self._stale_members if self.kernel.time <= 0 else self._members
        subscriber.revision = self.revision if cached.keys() == self._members.keys() else 0
        return api.EndpointUpdate(UpdateScope.CACHED, tuple(cached.values()), subscriber.revision)

    def report_change(self, member: Endpoint) -> None:
        """Report that a node started, drains or ended.

        Discovery learns of it after a delay, and of all changes in the order in which they were reported.
        """
        spread = self.config.delay_spread * (2.0 * self._delay_stream() - 1.0)
        delay = 1000.0 * self.config.delay * (1.0 + spread) + self.extra_delay_ms
        visible_at = max(self.kernel.time + delay, self._last_visible_at)
        self._last_visible_at = visible_at
        self.kernel.call_at(visible_at, lambda: self._apply_change(member))

    def _apply_change(self, member: Endpoint) -> None:
        self.revision += 1
        if member.status is Status.REMOVED:
            self._members.pop(member.endpoint_id, None)
        else:
            self._members[member.endpoint_id] = member
        self._changes.append(MemberChange(self.revision, member))
        if self.up:
            for subscriber in self.subscribers:
                if subscriber.subscribed:
                    self._schedule_call(subscriber, False)

    # -------------------------------------------------------------------------------------------- calls

    def subscribe(self, notify: UpdateCallback, zone: int) -> DiscoverySubscriber:
        """Register a router of a zone; once it is subscribed, `notify` is called with each update."""
        subscriber = DiscoverySubscriber(notify, zone, revision=self.revision)
        self.subscribers.append(subscriber)
        return subscriber

    def unsubscribe(self, subscriber: DiscoverySubscriber) -> None:
        """Remove a router from the subscribers."""
        subscriber.subscribed = False
        self.subscribers.remove(subscriber)

    def set_subscribed(self, subscriber: DiscoverySubscriber, subscribed: bool) -> None:
        """Start or stop sending updates to a router."""
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
        """Schedule a call to a router.

        Calls are handled one after another, and each endpoint in a call takes time. An initial call fails if
        it would wait longer than `DiscoveryConfig.patience_ms`.
        """
        now = self.kernel.time
        if is_initial and self.config.patience_ms and self._busy_until - now > self.config.patience_ms:
            self.rejected_calls += 1
            self.kernel.call_after(self.config.patience_ms, lambda: self._notify_failure(subscriber))
            return
        cost = self.config.call_ms + self.config.line_ms * len(self._pending_changes(subscriber))
        self._busy_until = max(self._busy_until, now) + cost
        self.kernel.call_at(self._busy_until, lambda: self._answer_call(subscriber, is_initial))

    def _answer_call(self, subscriber: DiscoverySubscriber, is_initial: bool) -> None:
        """Send a router the changes since its revision; only an initial call may be without changes."""
        if not (subscriber.subscribed and self.up) or (
            subscriber.revision == self.revision and not is_initial
        ):
            return
        scope = UpdateScope.DELTA if subscriber.revision else UpdateScope.FULL
        self._deliver(subscriber, api.EndpointUpdate(scope, self._pending_changes(subscriber), self.revision))

    def _pending_changes(self, subscriber: DiscoverySubscriber) -> tuple[Endpoint, ...]:
        """Return the changes since a router's revision, or the whole list if it has no revision."""
        if not subscriber.revision:
            return tuple(self._members.values())
        newer = takewhile(lambda change: change.revision > subscriber.revision, reversed(self._changes))
        return tuple(change.member for change in newer)[::-1]

    def _deliver(self, subscriber: DiscoverySubscriber, event: api.EndpointUpdate) -> None:
        subscriber.revision = self.revision
        for member in event.endpoints:
            if member.status is Status.READY:
                subscriber.drain_known_since.pop(member.endpoint_id, None)
            else:
                subscriber.drain_known_since.setdefault(member.endpoint_id, self.kernel.time)
        # the router has one connection, on which messages arrive in order
        subscriber.last_delivery_at = max(
            subscriber.last_delivery_at, self.kernel.time + self.latency(subscriber.zone)
        )
        self.kernel.call_at(subscriber.last_delivery_at, lambda: subscriber.notify(event))

    def _notify_failure(self, subscriber: DiscoverySubscriber) -> None:
        subscriber.subscribed = False
        subscriber.notify(api.EndpointUpdate(UpdateScope.FAILED))

    def set_available(self, available: bool) -> None:
        """Take the service down, which ends all subscriptions, or bring it back."""
        self.up = available
        if not available:
            for subscriber in self.subscribers:
                if subscriber.subscribed:
                    subscriber.subscribed = False
                    notify = partial(self._notify_failure, subscriber)
                    self.kernel.call_after(self.latency(subscriber.zone), notify)

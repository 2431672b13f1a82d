"""The pools of cache nodes: which endpoints may serve a key, and in which order."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from . import api
from .api import Mode, Status
from .endpoint_state import EndpointList, EndpointState
from .hashing import hash_to_unit
from .rendezvous import RendezvousTable

MIN_SAMPLES = 40  # responses needed before a control loop acts; a router may see few a second
INITIAL_KEEP_SHARE = 0.3  # keep pool's share of the home endpoints before this router's reads are known
KEEP_PRIOR_READS = 8.0  # the initial share counts as much as this number of reads
MAX_KEEP_SHARE_READS = 1_000.0  # the share is a mean over about this number of reads
HOT_KEY_SHARE = 0.25  # of one home endpoint's even share of the reads: a key with more gets further holders
WIDE_SHARE_DECAY = 0.015  # decrease of the wide share in a calm control round: moving keys back costs fetches
SHORTAGE_SHARE = 0.3  # a shortage begins when more than this share of the reads is short of capacity


@dataclass(frozen=True, slots=True)
class Placement:
    """The pool and zone to which a ready endpoint belongs."""

    server: EndpointState
    is_origin: bool
    is_home: bool  # a cache node of the router's own zone
    weight: float


class EndpointPools:
    """The keep and overflow pools of the home zone, and the share of overflow slots placed fleet-wide."""

    def __init__(self, settings: api.RouterSettings, endpoints: EndpointList) -> None:
        self.settings = settings
        self.endpoints = endpoints
        self.origins: list[EndpointState] = []
        self.home_table = RendezvousTable(settings.sized_weights)
        self.fleet_table = RendezvousTable(settings.sized_weights)
        self._placements: dict[int, Placement] = {}
        # learned from the reads of top-k' keys
        self.keep_share, self.keep_reads = INITIAL_KEEP_SHARE, KEEP_PRIOR_READS
        self.wide_share = 0.0
        self.reads = self.short_reads = 0

    @property
    def home_zone(self) -> list[EndpointState]:
        """Return the cache nodes of this router's zone, or all if it has none, ordered by hashed id."""
        return self._home().members

    @property
    def endpoints_per_router(self) -> float:
        """Return the number of cache nodes per router."""
        return len(self.fleet_table.members) / self.settings.routers

    def _home(self) -> RendezvousTable:
        return self.home_table if self.home_table.members else self.fleet_table

    def refresh(self) -> None:
        """Recompute pools and tables from the whole endpoint list."""
        self._placements = {}
        self.origins = []
        self.home_table.replace_all(())
        self.fleet_table.replace_all(())
        self.update(self.endpoints.states.values())

    def update(self, changed: Iterable[EndpointState]) -> None:
        """Apply a change of the endpoint list, given the endpoints that it touches."""
        for server in changed:
            before = self._placements.get(server.id)
            after = self._placement_of(server)
            if before == after:
                continue
            if before is not None:
                self._remove(before)
            if after is not None:
                self._add(after)

    def _placement_of(self, server: EndpointState) -> Placement | None:
        """Return the placement of an endpoint; None if it is not ready."""
        if server.status is not Status.READY:
            return None
        endpoint = server.endpoint
        origin_kind = self.settings.origin_kind if self.settings.mode is Mode.ASIDE else -1
        is_origin = endpoint.kind == origin_kind
        is_home = endpoint.zone == self.settings.zone and not is_origin
        return Placement(server, is_origin, is_home, endpoint.weight if self.settings.sized_weights else 1.0)

    def _add(self, placement: Placement) -> None:
        server = placement.server
        self._placements[server.id] = placement
        if placement.is_origin:
            self.origins = sorted([*self.origins, server], key=lambda each: each.id)
            return
        self.fleet_table.add(server)
        if placement.is_home:
            self.home_table.add(server)

    def _remove(self, placement: Placement) -> None:
        server = placement.server
        del self._placements[server.id]
        if placement.is_origin:
            self.origins = [each for each in self.origins if each is not server]
            return
        self.fleet_table.remove(server)
        if placement.is_home:
            self.home_table.remove(server)

    def record_read(self, in_keep_pool: bool) -> None:
        """Record one read; the keep pool's share of the endpoints follows its share of the reads."""
        # A fixed share would overload the overflow pool where routers see too few reads to find popular keys.
        self.keep_reads = min(MAX_KEEP_SHARE_READS, self.keep_reads + 1.0)
        self.keep_share += (in_keep_pool - self.keep_share) / self.keep_reads

    def keep_pool_size(self) -> int:
        """Return the number of home endpoints in the keep pool; with two or more, neither pool is empty."""
        size = len(self.home_zone)
        return size if size < 2 else min(size - 1, max(1, round(size * self.keep_share)))

    def holder_count(self, read_share: float) -> int:
        """Return how many endpoints hold a key with this share of the reads; a hot key has several."""
        return 1 + int(read_share * len(self.home_zone) / HOT_KEY_SHARE)

    def candidates(self, slot: int, in_keep_pool: bool, fleet_wide: bool) -> Iterator[EndpointState]:
        """Yield the endpoints of a slot in its pool, or in the whole fleet, in rendezvous order."""
        if fleet_wide:
            yield from self.fleet_table.order_for(slot)
            return
        home = self._home()
        size = self.keep_pool_size()
        border = home.members[size].order_key if size < len(home.members) else None
        for server in home.order_for(slot):
            if border is None or (server.order_key < border) is in_keep_pool:
                yield server

    def is_wide(self, slot: int) -> bool:
        """Return whether an overflow slot is placed fleet-wide now."""
        return self.wide_share > 0 and hash_to_unit(slot ^ 0x5EED) < self.wide_share

    def adjust_wide_share(self, origin_overloaded: bool) -> None:
        """Place overflow slots fleet-wide while the home zone or the origin is short of capacity."""
        has_samples = self.reads >= MIN_SAMPLES
        if origin_overloaded or (has_samples and self.short_reads > SHORTAGE_SHARE * self.reads):
            self.wide_share = 1.0
        elif has_samples:
            self.wide_share = max(0.0, self.wide_share - WIDE_SHARE_DECAY)
        if has_samples:
            self.reads = self.short_reads = 0

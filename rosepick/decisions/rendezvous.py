"""The order of a set of endpoints for each slot, in which nothing costs work of the set's size.

Weighted rendezvous hashing gives each endpoint an exponentially distributed distance for each slot, and a
slot to the nearest. Only the nearest few are ever asked for. So each endpoint has a sequence of points, in
ascending distance, each at a slot that is drawn by its hash; of the sequence only what lies below a bound is
kept, which is chosen so that a slot has about `POINTS_PER_SLOT` points however many endpoints there are. What
an endpoint brings in or takes away is its own points, a part of the whole like its part of the weight. The
nearest endpoints of a slot do not depend on the bound, and so not on what a router has seen before, but for
the few slots that have no point below it.
"""

from __future__ import annotations

import struct
from array import array
from bisect import bisect
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from hashlib import blake2b
from math import exp, log

from .endpoint_state import EndpointState
from .hashing import MASK_64, hash64

SLOT_COUNT = 4_096  # many slots for each endpoint, so that a pool's slots divide evenly
BLOCK_SLOTS = 128  # slots whose orders are built together, when the first of them is used
POINTS_PER_SLOT = 8.0  # mean number at most; a power of two less at least
MIN_POINTS_PER_SLOT = 3.5  # a bound that gives fewer, or more than ...
MAX_POINTS_PER_SLOT = 10.0  # ... so many, is chosen anew
MAX_SLOTS_SEARCHED = 16  # whose points are looked at, one after another, for one request
SLOT_STRIDE = 37  # from one of them to the next
MAX_SAMPLED = 64  # endpoints that are looked at beyond, where none of those points serves
MIN_CHANGES_KEPT = 256  # for blocks that are not used; more, and more than members, are not worth it
MIN_WEIGHT = 1e-3
OFFSET_BITS = 8  # of a hash, from which a slot is drawn; the others become a number from 0 to 1
UNIT = 1.0 / (1 << (64 - OFFSET_BITS))
FIRST_MULTIPLIER, SECOND_MULTIPLIER = 0xBF58476D1CE4E5B9, 0x94D049BB133111EB  # of splitmix64
NEXT_DRAWS = 1 << 64  # is added to what is hashed, for further draws
_DRAWS = struct.Struct(">8Q").unpack  # a hash of 64 bytes is eight draws


@dataclass(slots=True)
class SlotOrder:
    """The points of one slot, the nearest first; an endpoint is there once."""

    distances: array[float] = field(default_factory=lambda: array("d"))
    servers: list[EndpointState] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class MemberChange:
    """An endpoint that was added or removed, with the weight that its points are drawn by."""

    server: EndpointState
    weight: float
    is_added: bool


@dataclass(slots=True)
class SlotBlock:
    """The orders of some slots that follow each other."""

    orders: list[SlotOrder]
    applied_count: int  # changes of the table that they include


class RendezvousTable:
    """A set of endpoints in rendezvous order for each slot: by id and, if `weighted`, by weight."""

    def __init__(self, weighted: bool) -> None:
        self.weighted = weighted
        self.members: list[EndpointState] = []  # by `EndpointState.order_key`
        self._keys: list[tuple[int, int]] = []  # of the members
        self._weights: dict[int, float] = {}  # by endpoint id, as the points were drawn
        self._total_weight = 0.0
        self._bound = 0.0  # distance up to which points are kept
        self._blocks: dict[int, SlotBlock] = {}
        # a block applies changes when it is used next, so that a list of many changes takes no time by itself
        self._changes: list[MemberChange] = []

    def add(self, server: EndpointState) -> None:
        """Add an endpoint."""
        weight = max(MIN_WEIGHT, server.endpoint.weight) if self.weighted else 1.0
        self._weights[server.id] = weight
        self._total_weight += weight
        at = bisect(self._keys, server.order_key)
        self._keys.insert(at, server.order_key)
        self.members.insert(at, server)
        self._record_change(MemberChange(server, weight, is_added=True))

    def remove(self, server: EndpointState) -> None:
        """Remove an endpoint that was added."""
        weight = self._weights.pop(server.id)
        self._total_weight -= weight
        at = bisect(self._keys, server.order_key) - 1
        del self._keys[at]
        del self.members[at]
        self._record_change(MemberChange(server, weight, is_added=False))

    def replace_all(self, servers: Iterable[EndpointState]) -> None:
        """Hold these endpoints and no others."""
        self.members = []
        self._keys = []
        self._weights = {}
        self._total_weight = 0.0
        self._forget_blocks()
        for server in servers:
            self.add(server)

    def _record_change(self, change: MemberChange) -> None:
        """Record a change for the blocks; forget them if building them anew costs no more."""
        if self._rebound() or len(self._changes) > max(MIN_CHANGES_KEPT, len(self.members)):
            self._forget_blocks()
        elif self._blocks:
            self._changes.append(change)

    def _forget_blocks(self) -> None:
        self._blocks = {}
        self._changes = []

    def order_for(self, slot: int) -> Iterator[EndpointState]:
        """Yield endpoints for a slot, its holder first: a bounded number, and all of a small set."""
        block = self._block(slot // BLOCK_SLOTS).orders
        offset = slot % BLOCK_SLOTS
        nearest = block[offset].servers
        yield from nearest
        seen = set(nearest)
        for step in range(1, MAX_SLOTS_SEARCHED):
            for server in block[(offset + step * SLOT_STRIDE) % BLOCK_SLOTS].servers:
                if server not in seen:
                    seen.add(server)
                    yield server
        count = len(self.members)
        for number in range(min(MAX_SAMPLED, count)):
            server = self.members[(slot * count // SLOT_COUNT + number) % count]
            if server not in seen:
                yield server

    def _rebound(self) -> bool:
        """Choose the bound anew if it gives too few or too many points; return whether it did."""
        points = self._bound * self._total_weight
        if MIN_POINTS_PER_SLOT <= points <= MAX_POINTS_PER_SLOT:
            return False
        rounded_weight = MIN_WEIGHT
        while rounded_weight < self._total_weight:
            rounded_weight *= 2.0
        bound = POINTS_PER_SLOT / rounded_weight
        if bound == self._bound:
            return False
        self._bound = bound
        return True

    def _block(self, number: int) -> SlotBlock:
        block = self._blocks.get(number)
        if block is None:
            block = self._blocks[number] = SlotBlock(self._build_orders(number), len(self._changes))
        for change in self._changes[block.applied_count :]:
            for distance, offset in self._points(change.server, change.weight, number):
                if change.is_added:
                    _insert(block.orders[offset], distance, change.server)
                else:
                    _delete(block.orders[offset], change.server)
        block.applied_count = len(self._changes)
        return block

    def _build_orders(self, number: int) -> list[SlotOrder]:
        orders = [SlotOrder() for _ in range(BLOCK_SLOTS)]
        rows: list[tuple[float, int, EndpointState]] = []
        block_key = hash64(number)
        weights = self._weights
        least_draws = {weight: self._least_draw(weight) for weight in set(weights.values())}
        for server in self.members:
            weight = weights[server.id]
            # in a large set most endpoints have no point in a block: one draw shows it
            if _first_draw(server.order_key[0], block_key) >= least_draws[weight]:
                for distance, offset in self._points(server, weight, number):
                    rows.append((distance, offset, server))
        rows.sort(key=_distance)
        for distance, offset, server in rows:
            order = orders[offset]
            if server not in order.servers:
                order.distances.append(distance)
                order.servers.append(server)
        return orders

    def _least_draw(self, weight: float) -> int:
        """Return the least first draw by which an endpoint of this weight has a point in a block."""
        return int(exp(-self._bound * weight * BLOCK_SLOTS) / UNIT) << OFFSET_BITS

    def _points(self, server: EndpointState, weight: float, block: int) -> list[tuple[float, int]]:
        """Return an endpoint's points in a block below the bound: distance and offset of the slot."""
        rate = weight * BLOCK_SLOTS
        bound = self._bound * rate
        number = server.id * SLOT_COUNT + block
        points: list[tuple[float, int]] = []
        distance = 0.0
        draws: tuple[int, ...] = (_first_draw(server.order_key[0], hash64(block)),)
        while True:
            for drawn in draws:
                distance -= log((drawn >> OFFSET_BITS) * UNIT + UNIT)
                if distance > bound:
                    return points
                points.append((distance / rate, drawn % BLOCK_SLOTS))
            draws = _DRAWS(blake2b(number.to_bytes(16, "big"), digest_size=64).digest())
            number += NEXT_DRAWS


def _first_draw(endpoint_key: int, block_key: int) -> int:
    """Return the first 64 random bits of an endpoint in a block, given the hashes of both."""
    mixed = (endpoint_key ^ block_key) * FIRST_MULTIPLIER & MASK_64
    mixed = (mixed ^ mixed >> 32) * SECOND_MULTIPLIER & MASK_64
    return mixed ^ mixed >> 29


def _distance(row: tuple[float, int, EndpointState]) -> float:
    return row[0]


def _insert(order: SlotOrder, distance: float, server: EndpointState) -> None:
    if server not in order.servers:  # a nearer point of it is there already
        at = bisect(order.distances, distance)
        order.distances.insert(at, distance)
        order.servers.insert(at, server)


def _delete(order: SlotOrder, server: EndpointState) -> None:
    if server in order.servers:
        at = order.servers.index(server)
        del order.servers[at]
        del order.distances[at]

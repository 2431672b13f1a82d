"""The rendezvous order of endpoints for each slot; no operation costs work in proportion to their number.

Weighted rendezvous hashing gives each endpoint an exponentially distributed distance to each slot, and
assigns a slot to the nearest endpoint. Only the nearest few are ever needed. So each endpoint has a sequence
of points in ascending distance, each at a slot that is drawn from its hash, and only the points below a
bound are kept. The bound is chosen so that a slot has about `POINTS_PER_SLOT` points, whatever the number of
endpoints. Adding or removing an endpoint changes only its own points, whose share of all points is its share
of the weight. The nearest endpoints of a slot depend neither on the bound nor on what a router has seen
before, except for the few slots that have no point below the bound.
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

SLOT_COUNT = 4_096  # many slots for each endpoint, so that a pool's slots are divided evenly
BLOCK_SLOTS = 128  # slots whose orders are built together, when the first of them is used
POINTS_PER_SLOT = 8.0  # a bound is chosen for at most this mean number of points, and at least half of it
MIN_POINTS_PER_SLOT = 3.5  # a new bound is chosen when the mean falls below this
MAX_POINTS_PER_SLOT = 10.0  # a new bound is chosen when the mean rises above this
MAX_SLOTS_SEARCHED = 16  # slots whose points are tried in turn for one request
SLOT_STRIDE = 37  # distance from one of those slots to the next
MAX_SAMPLED = 64  # further endpoints that are tried if none of those points is usable
# Changes kept for blocks that are not in use. If there are more, and more than members, rebuilding costs
# no more.
MIN_CHANGES_KEPT = 256
MIN_WEIGHT = 1e-3
OFFSET_BITS = 8  # bits of a draw that select the slot; the other bits are a number from 0 to 1
UNIT_SCALE = 1.0 / (1 << (64 - OFFSET_BITS))
FIRST_MULTIPLIER, SECOND_MULTIPLIER = 0xBF58476D1CE4E5B9, 0x94D049BB133111EB  # as in splitmix64
NEXT_DRAWS_STEP = 1 << 64  # added to the hashed number to get the next eight draws
_unpack_draws = struct.Struct(">8Q").unpack  # a hash of 64 bytes is eight draws


@dataclass(slots=True)
class SlotOrder:
    """The points of one slot, nearest first; each endpoint occurs once."""

    distances: array[float] = field(default_factory=lambda: array("d"))
    servers: list[EndpointState] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class MemberChange:
    """An endpoint that was added or removed, with the weight by which its points are drawn."""

    server: EndpointState
    weight: float
    is_added: bool


@dataclass(slots=True)
class SlotBlock:
    """The orders of `BLOCK_SLOTS` consecutive slots."""

    orders: list[SlotOrder]
    applied_count: int  # number of the table's changes that they include


class RendezvousTable:
    """Orders a set of endpoints for each slot by rendezvous hashing of ids and, if `weighted`, weights."""

    def __init__(self, weighted: bool) -> None:
        self.weighted = weighted
        self.members: list[EndpointState] = []  # sorted by `EndpointState.order_key`
        self._keys: list[tuple[int, int]] = []  # the members' keys, for bisection
        self._weights: dict[int, float] = {}  # by endpoint id, as used for the points
        self._total_weight = 0.0
        self._bound = 0.0  # distance up to which points are kept
        self._blocks: dict[int, SlotBlock] = {}
        # a block applies changes at its next use, so that a list with many changes takes little time
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
        self._drop_blocks()
        for server in servers:
            self.add(server)

    def _record_change(self, change: MemberChange) -> None:
        """Record a change for the blocks, or drop the blocks if rebuilding them costs no more."""
        if self._adjust_bound() or len(self._changes) > max(MIN_CHANGES_KEPT, len(self.members)):
            self._drop_blocks()
        elif self._blocks:
            self._changes.append(change)

    def _drop_blocks(self) -> None:
        self._blocks = {}
        self._changes = []

    def order_for(self, slot: int) -> Iterator[EndpointState]:
        """Yield a bounded number of endpoints for a slot, its holder first, and all of a small set."""
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

    def _adjust_bound(self) -> bool:
        """Choose a new bound if this one gives too few or too many points; return whether it changed."""
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
            # in a large set most endpoints have no point in a block, which their first draw shows
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
        return int(exp(-self._bound * weight * BLOCK_SLOTS) / UNIT_SCALE) << OFFSET_BITS

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
                distance -= log((drawn >> OFFSET_BITS) * UNIT_SCALE + UNIT_SCALE)
                if distance > bound:
                    return points
                points.append((distance / rate, drawn % BLOCK_SLOTS))
            draws = _unpack_draws(blake2b(number.to_bytes(16, "big"), digest_size=64).digest())
            number += NEXT_DRAWS_STEP


def _first_draw(endpoint_key: int, block_key: int) -> int:
    """Return the first 64 random bits of an endpoint in a block, given the hashes of both."""
    mixed = (endpoint_key ^ block_key) * FIRST_MULTIPLIER & MASK_64
    mixed = (mixed ^ mixed >> 32) * SECOND_MULTIPLIER & MASK_64
    return mixed ^ mixed >> 29


def _distance(row: tuple[float, int, EndpointState]) -> float:
    return row[0]


def _insert(order: SlotOrder, distance: float, server: EndpointState) -> None:
    if server not in order.servers:  # otherwise a nearer point of it is there already
        at = bisect(order.distances, distance)
        order.distances.insert(at, distance)
        order.servers.insert(at, server)


def _delete(order: SlotOrder, server: EndpointState) -> None:
    if server in order.servers:
        at = order.servers.index(server)
        del order.servers[at]
        del order.distances[at]

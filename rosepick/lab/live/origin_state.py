"""Implements state that the stand-ins share: values to store at nodes, and deduplication of writes."""

from __future__ import annotations

from collections import OrderedDict

from ..experiment_config import RequestClassConfig
from ..model.nodes import NodeRequest, SimulatedCacheNode, SimulatedNode

MAX_REMEMBERED_MISSES = 20_000  # most values are fetched well before this many further misses
DEDUPLICATION_WORK_MS = 0.2  # work to detect a repeated write


class OriginFetches:
    """Stores the origin's reply to a read at the nodes where it missed; the Req-Id identifies the read."""

    def __init__(self) -> None:
        self._missed_at: OrderedDict[str, list[SimulatedCacheNode]] = OrderedDict()

    def record_miss(self, request: str, node: SimulatedCacheNode) -> None:
        """Record that a read missed at a node."""
        self._missed_at.setdefault(request, []).append(node)
        if len(self._missed_at) > MAX_REMEMBERED_MISSES:
            self._missed_at.popitem(last=False)

    def store_answer(self, request: NodeRequest, now: float) -> None:
        """Store the value from the origin at the nodes that missed it; `now` is in milliseconds."""
        for node in self._missed_at.pop(request.request, ()):
            if node.machine.up:
                node.memory.put(request.key, request.size, now)


class WriteDeduplicator:
    """Detects repeated writes by idempotency key, within the repeat window and group of their class."""

    def __init__(self) -> None:
        self._writes_by_key: dict[str, list[tuple[float, SimulatedNode]]] = {}

    def is_repeat(self, key: str, request_class: RequestClassConfig, node: SimulatedNode, now: float) -> bool:
        """Return whether a write is a repeat at time `now` in milliseconds; if not, remember it."""
        if request_class.effect != "dedup" or not key:
            return False
        writes = self._writes_by_key.setdefault(key, [])
        window_ms = 1000.0 * request_class.repeat_window
        for written_at, first_node in writes:
            same_group = {
                "all": True,
                "zone": first_node.zone == node.zone,
                "cell": first_node.cell == node.cell,
            }
            if now - written_at < window_ms and same_group[request_class.group]:
                return True
        writes.append((now, node))
        return False

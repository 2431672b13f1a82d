"""What all stand-ins share besides the model: values that the origin's answers leave at nodes, and repeats
of writes that are dropped.
"""

from __future__ import annotations

from collections import OrderedDict

from ..experiment import RequestClassConfig
from ..model.nodes import NodeRequest, SimulatedCacheNode, SimulatedNode

MAX_REMEMBERED_MISSES = 20_000  # attempts whose key a node lacked: most of them are over long before
DEDUPLICATION_WORK_MS = 0.2  # milliseconds: to find that a write came before


class OriginFetches:
    """Where reads missed, by their Req-Id: what the origin answers to such a request is stored there."""

    def __init__(self) -> None:
        self._missed_at: OrderedDict[str, list[SimulatedCacheNode]] = OrderedDict()

    def record_miss(self, request: str, node: SimulatedCacheNode) -> None:
        """A node lacked the key of a request."""
        self._missed_at.setdefault(request, []).append(node)
        if len(self._missed_at) > MAX_REMEMBERED_MISSES:
            self._missed_at.popitem(last=False)

    def store_answer(self, request: NodeRequest, now: float) -> None:
        """The origin answered a request."""
        for node in self._missed_at.pop(request.request, ()):
            if node.machine.up:
                node.memory.put(request.key, request.size, now)


class WriteDeduplicator:
    """Keyed writes that came: a repeat within its class's window and group is dropped."""

    def __init__(self) -> None:
        self._writes_by_key: dict[str, list[tuple[float, SimulatedNode]]] = {}

    def is_repeat(self, key: str, klass: RequestClassConfig, node: SimulatedNode, now: float) -> bool:
        """Whether this write came before; else it is remembered."""
        if klass.effect != "dedup" or not key:
            return False
        came = self._writes_by_key.setdefault(key, [])
        window = 1000.0 * klass.repeat_window
        for when, where in came:
            same = {"all": True, "zone": where.zone == node.zone, "cell": where.cell == node.cell}
            if now - when < window and same[klass.group]:
                return True
        came.append((now, node))
        return False

"""What all stand-ins share besides the model: values that the origin's answers leave at nodes, and repeats
of writes that are dropped.
"""

from __future__ import annotations

from collections import OrderedDict

from ..experiment import Class
from ..world.fleet import Asked, CacheNode, Node

REMEMBERED = 20_000  # attempts whose key a node lacked: most of them are over long before
DROPPED_WORK = 0.2  # milliseconds: to find that a write came before


class Fetches:
    """Where reads missed, by their Req-Id: what the origin answers to such a request is stored there."""

    def __init__(self) -> None:
        self._missed: OrderedDict[str, list[CacheNode]] = OrderedDict()

    def missed(self, request: str, node: CacheNode) -> None:
        """A node lacked the key of a request."""
        self._missed.setdefault(request, []).append(node)
        if len(self._missed) > REMEMBERED:
            self._missed.popitem(last=False)

    def answered(self, asked: Asked, now: float) -> None:
        """The origin answered a request."""
        for node in self._missed.pop(asked.request, ()):
            if node.server.up:
                node.memory.put(asked.key, asked.size, now)


class Repeats:
    """Keyed writes that came: a repeat within its class's window and group is dropped."""

    def __init__(self) -> None:
        self._came: dict[str, list[tuple[float, Node]]] = {}

    def is_one(self, key: str, klass: Class, node: Node, now: float) -> bool:
        """Whether this write came before; else it is remembered."""
        if klass.effect != "dedup" or not key:
            return False
        came = self._came.setdefault(key, [])
        window = 1000.0 * klass.repeat_window
        for when, where in came:
            same = {"all": True, "zone": where.zone == node.zone, "cell": where.cell == node.cell}
            if now - when < window and same[klass.group]:
                return True
        came.append((now, node))
        return False

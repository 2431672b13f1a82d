"""The upstream connections of a simulated router, and its pool of idle ones."""

from __future__ import annotations

from ...connections.keep_alive import KeepAliveController
from .kernel import Kernel
from .nodes import CACHE_KIND, ORIGIN_KIND, SimulatedNode

MAX_IDLE_MS = 10_000.0  # longest time that a router keeps an idle connection


class SimulatedConnection:
    """A connection of a router to a node."""

    __slots__ = ("epoch", "idle_since", "node", "open")

    def __init__(self, node: SimulatedNode, now: float) -> None:
        self.node = node
        self.epoch = node.epoch
        self.idle_since = now
        self.open = True

    def close(self) -> None:
        """Close the connection on both sides."""
        if self.open:
            self.open = False
            if self.epoch == self.node.epoch:
                self.node.disconnect()


class IdleConnections:
    """The idle connections of one router, by node."""

    def __init__(self, kernel: Kernel, router_count: int) -> None:
        self.keep_alive_controllers = {
            kind: KeepAliveController(MAX_IDLE_MS, router_count) for kind in (CACHE_KIND, ORIGIN_KIND)
        }
        self._kernel = kernel
        self._by_node: dict[int, list[SimulatedConnection]] = {}

    def take(self, node: SimulatedNode) -> SimulatedConnection | None:
        """Remove and return the most recently used connection that is open and not idle for too long.

        Return None if there is none. The node may have closed the connection without the router's notice.
        """
        connections = self._by_node.get(node.number, [])
        now = self._kernel.time
        while connections:
            connection = connections.pop()
            if connection.open and now - connection.idle_since < MAX_IDLE_MS:
                return connection
            connection.close()
        return None

    def add(self, connection: SimulatedConnection) -> None:
        """Add a connection that became idle."""
        connection.idle_since = self._kernel.time
        self._by_node.setdefault(connection.node.number, []).append(connection)

    def of_node(self, node: SimulatedNode) -> tuple[SimulatedConnection, ...]:
        """Return the idle connections to a node."""
        return tuple(self._by_node.get(node.number, ()))

    def close_expired(self) -> None:
        """Close connections that were idle for the keep-alive time of their kind of node."""
        now = self._kernel.time
        for number, connections in list(self._by_node.items()):
            for connection in connections:
                keep_alive_ms = self.keep_alive_controllers[connection.node.kind].keep_alive_ms
                if now - connection.idle_since >= keep_alive_ms:
                    connection.close()
            self._by_node[number] = [connection for connection in connections if connection.open]

    def close_all(self) -> None:
        """Close all connections."""
        for connections in self._by_node.values():
            for connection in connections:
                connection.close()
        self._by_node.clear()

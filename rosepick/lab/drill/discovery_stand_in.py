"""Simulates the discovery service of a fault-injection test, on the event loop of the harness.

Cache nodes report their states in datagrams; routers watch the endpoint list. The service records which
router was notified of which state, and when.
"""

from __future__ import annotations

import json
import socket
from functools import partial
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

import msgspec

from ...net.event_loop import READ, EventLoop, ScheduledCall
from ...net.resource_budget import ResourceBudget
from ..live.request_reader import HttpRequest, encode_response
from .event_log import drill_clock
from .stand_in_connection import StandInConnection

NODE_TIMEOUT_S = 1.5  # a node without a report for this time is listed as one that has left
EXPIRY_INTERVAL_MS = 200.0
MAX_DATAGRAM_BYTES = 4096
MAX_DESCRIPTORS = 4096
LISTEN_BACKLOG = 64
LEFT = "left"


class NodeReport(NamedTuple):
    """A report of a node, a JSON array on the wire."""

    name: str
    state: str
    boot_ms: int


class NodeAddress(NamedTuple):
    """The address of a node (HOST:PORT) and its zone."""

    endpoint: str
    zone: str


class NodeState(NamedTuple):
    """The state of a node, and the revision of the endpoint list in which it changed to that."""

    revision: int
    state: str
    boot_ms: int


class Notification(NamedTuple):
    """The time in seconds of the test's clock at which a router was first notified of a node's state."""

    at: float
    state: str


_node_report_decoder: msgspec.json.Decoder[NodeReport] = msgspec.json.Decoder(NodeReport)


class DiscoveryStandIn:
    """Keeps the endpoint list of all cache nodes and serves it to routers.

    Args:
        loop: the event loop that the service runs on.
        host: the address of all its sockets.
        port: the port for the reports of nodes.
        nodes: the addresses of all nodes, by name.
        listen_ports: a port for each router, by name; the port of a connection identifies the router.
    """

    def __init__(
        self,
        loop: EventLoop,
        host: str,
        port: int,
        nodes: dict[str, NodeAddress],
        listen_ports: dict[str, int],
    ) -> None:
        self.loop = loop
        self.budget = ResourceBudget(MAX_DESCRIPTORS)
        self._nodes = nodes
        self.revision = 1
        self.node_states: dict[str, NodeState] = {}
        self._last_reported_at: dict[str, float] = {}
        self.notified: dict[tuple[str, str], Notification] = {}  # by router and node
        self.watchers: set[DiscoveryWatcher] = set()
        self.port = port
        self._udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._udp.bind((host, port))
        self._udp.setblocking(False)
        loop.register(self._udp, READ, self._on_node_report)
        self._listening_sockets = [
            self._open_listener(host, listen_port, router) for router, listen_port in listen_ports.items()
        ]
        self._expire_silent_nodes()

    def _open_listener(self, host: str, port: int, router: str) -> socket.socket:
        sock = socket.create_server((host, port), backlog=LISTEN_BACKLOG)
        sock.setblocking(False)
        self.loop.register(sock, READ, partial(self._accept, sock, router))
        return sock

    def _accept(self, sock: socket.socket, router: str, _mask: int) -> None:
        try:
            self.watchers.add(DiscoveryWatcher(self, router, sock.accept()[0]))
        except OSError:
            return

    def _on_node_report(self, _mask: int) -> None:
        report = _node_report_decoder.decode(self._udp.recv(MAX_DATAGRAM_BYTES))
        self._last_reported_at[report.name] = drill_clock()
        self._set_state(report)

    def _set_state(self, report: NodeReport) -> None:
        current = self.node_states.get(report.name)
        if current is not None and (current.state, current.boot_ms) == (report.state, report.boot_ms):
            return
        self.revision += 1
        self.node_states[report.name] = NodeState(self.revision, report.state, report.boot_ms)
        for watcher in list(self.watchers):
            watcher.on_change()

    def _expire_silent_nodes(self) -> None:
        for name, node in list(self.node_states.items()):
            if node.state != LEFT and drill_clock() - self._last_reported_at[name] > NODE_TIMEOUT_S:
                self._set_state(NodeReport(name, LEFT, node.boot_ms))
        self.loop.call_after(EXPIRY_INTERVAL_MS, self._expire_silent_nodes)

    def endpoint_document(self, router: str, after: int | None) -> dict[str, Any]:
        """Return the endpoint list for a router, and record that the router is notified of it.

        The list has the nodes that have changed after the revision `after`, or all nodes if that is None.
        """
        rows = []
        for name, node in self.node_states.items():
            if after is not None and node.revision <= after:
                continue
            rows.append(self._endpoint_row(name, node))
            last_notification = self.notified.get((router, name))
            if last_notification is None or last_notification.state != node.state:
                self.notified[router, name] = Notification(drill_clock(), node.state)
        return {"rev": self.revision, "all": after is None, "targets": rows}

    def _endpoint_row(self, name: str, node: NodeState) -> dict[str, Any]:
        address = self._nodes[name]
        return {
            "uid": name,
            "endpoint": address.endpoint,
            "az": address.zone,
            "model": "std",
            "pod_group": 0,
            "state": node.state,
            "capacity_hint": 1.0,
            "boot_ms": node.boot_ms,
        }

    def has_changes_since(self, after: int) -> bool:
        """Return whether a node has changed after the revision `after`."""
        return any(node.revision > after for node in self.node_states.values())

    def close(self) -> None:
        """Close all listening sockets and the socket for reports."""
        for sock in (*self._listening_sockets, self._udp):
            self.loop.unregister(sock)
            sock.close()


class DiscoveryWatcher(StandInConnection):
    """Handles a connection of a router, which asks for changes by long polling."""

    def __init__(self, discovery: DiscoveryStandIn, router: str, sock: socket.socket) -> None:
        self.discovery = discovery
        self.router = router
        self._after: int | None = None
        self._wait_timer: ScheduledCall | None = None
        super().__init__(discovery.loop, discovery.budget, sock)

    def handle_request(self, request: HttpRequest) -> None:
        """Send the endpoint list: at once, or when it has changed or the wait of the query is over."""
        query = parse_qs(urlsplit(request.target.decode("latin-1")).query)
        self._after = int(query["after"][0]) if "after" in query else None
        wait_ms = float(query["wait_ms"][0]) if "wait_ms" in query else 0.0
        if self._after is None or wait_ms <= 0 or self.discovery.has_changes_since(self._after):
            self._send_endpoints()
        else:
            self._wait_timer = self.discovery.loop.call_after(wait_ms, self._send_endpoints)

    def on_change(self) -> None:
        """Send the endpoint list if the router waits for a change."""
        if self._wait_timer is not None:
            self._send_endpoints()

    def _cancel_wait(self) -> None:
        if self._wait_timer is not None:
            self._wait_timer.cancel()
            self._wait_timer = None

    def _send_endpoints(self) -> None:
        self._cancel_wait()
        body = json.dumps(self.discovery.endpoint_document(self.router, self._after)).encode()
        self.send_response(encode_response(200, body, ((b"Content-Type", b"application/json"),)))

    def close(self) -> None:
        """Close the connection, and stop waiting for a change."""
        self._cancel_wait()
        super().close()
        self.discovery.watchers.discard(self)

"""Discovery in a drill, on the rig's own loop: nodes tell it by datagrams what they are, routers watch its
list. It knows which router it has told what, and when.
"""

from __future__ import annotations

import json
import socket
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec

from ...net.event_loop import READ, EventLoop, ScheduledCall
from ...net.resource_budget import ResourceBudget
from ..live.request_reader import HttpRequest, encode_response
from .stand_in_connection import StandInConnection
from .stand_ins import drill_clock

NODE_TIMEOUT_S = 1.5  # seconds without a word of a node after which it is listed as gone
_node_report_decoder: msgspec.json.Decoder[tuple[str, str, int]] = msgspec.json.Decoder(tuple[str, str, int])


class DiscoveryStandIn:
    """The list of cache nodes. `nodes`: name to endpoint and zone; `doors`: a port for each router."""

    def __init__(
        self,
        loop: EventLoop,
        host: str,
        port: int,
        nodes: dict[str, tuple[str, str]],
        listen_ports: dict[str, int],
    ) -> None:
        self.loop, self._nodes, self.budget = loop, nodes, ResourceBudget(4096)
        self.revision = 1
        self.node_states: dict[str, tuple[int, str, int]] = {}  # revision, state, when it started
        self._last_reported_at: dict[str, float] = {}
        self.notified: dict[
            tuple[str, str], tuple[float, str]
        ] = {}  # router and node: when it was told which state first
        self.watchers: set[DiscoveryWatcher] = set()
        self.port = port
        self._udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._udp.bind((host, port))
        self._udp.setblocking(False)
        loop.register(self._udp, READ, self._on_node_report)
        self._listening_sockets = [
            self._open_listener(host, at, router) for router, at in listen_ports.items()
        ]
        self._expire_silent_nodes()

    def _open_listener(self, host: str, port: int, router: str) -> socket.socket:
        sock = socket.create_server((host, port), backlog=64)
        sock.setblocking(False)
        self.loop.register(sock, READ, self._accept_handler(sock, router))
        return sock

    def _accept_handler(self, sock: socket.socket, router: str) -> Callable[[int], None]:
        def accept(mask: int) -> None:
            try:
                self.watchers.add(DiscoveryWatcher(self, router, sock.accept()[0]))
            except OSError:
                return

        return accept

    def _on_node_report(self, mask: int) -> None:
        name, state, boot = _node_report_decoder.decode(self._udp.recv(4096))
        self._last_reported_at[name] = drill_clock()
        self._set_state(name, state, boot)

    def _set_state(self, name: str, state: str, boot: int) -> None:
        before = self.node_states.get(name)
        if before is not None and before[1:] == (state, boot):
            return
        self.revision += 1
        self.node_states[name] = self.revision, state, boot
        for watcher in list(self.watchers):
            watcher.on_change()

    def _expire_silent_nodes(self) -> None:
        for name, (_, state, boot) in list(self.node_states.items()):
            if state != "left" and drill_clock() - self._last_reported_at[name] > NODE_TIMEOUT_S:
                self._set_state(name, "left", boot)
        self.loop.call_after(200.0, self._expire_silent_nodes)

    def endpoint_document(self, router: str, after: int | None) -> dict[str, Any]:
        """What a router is told: what is newer than a revision, or all."""
        rows = []
        for name, (revision, state, boot) in self.node_states.items():
            if after is not None and revision <= after:
                continue
            endpoint, zone = self._nodes[name]
            rows.append(
                {
                    "uid": name,
                    "endpoint": endpoint,
                    "az": zone,
                    "model": "std",
                    "pod_group": 0,
                    "state": state,
                    "capacity_hint": 1.0,
                    "boot_ms": boot,
                }
            )
            known = self.notified.get((router, name))
            if known is None or known[1] != state:
                self.notified[router, name] = drill_clock(), state
        return {"rev": self.revision, "all": after is None, "targets": rows}

    def has_changes_since(self, after: int) -> bool:
        """Whether anything is newer."""
        return any(revision > after for revision, _, _ in self.node_states.values())

    def forget_router(self, router: str) -> None:
        """A new start of it knows nothing."""
        for pair in [pair for pair in self.notified if pair[0] == router]:
            del self.notified[pair]

    def close(self) -> None:
        """Let go of every socket."""
        for sock in (*self._listening_sockets, self._udp):
            self.loop.unregister(sock)
            sock.close()


class DiscoveryWatcher(StandInConnection):
    """One connection of a router."""

    def __init__(self, discovery: DiscoveryStandIn, router: str, sock: socket.socket) -> None:
        self.discovery, self.router = discovery, router
        self._after: int | None = None
        self._wait_timer: ScheduledCall | None = None
        super().__init__(discovery.loop, discovery.budget, sock)

    def handle_request(self, message: HttpRequest) -> None:
        asked = {
            name: values[0]
            for name, values in parse_qs(urlsplit(message.target.decode("latin-1")).query).items()
        }
        self._after = int(asked["after"]) if "after" in asked else None
        wait = float(asked.get("wait_ms", "0"))
        if self._after is None or wait <= 0 or self.discovery.has_changes_since(self._after):
            self._send_endpoints()
        else:
            self._wait_timer = self.discovery.loop.call_after(wait, self._send_endpoints)

    def on_change(self) -> None:
        """Something is newer than what this router holds."""
        if self._wait_timer is not None:
            self._send_endpoints()

    def _send_endpoints(self) -> None:
        if self._wait_timer is not None:
            self._wait_timer.cancel()
            self._wait_timer = None
        body = json.dumps(self.discovery.endpoint_document(self.router, self._after)).encode()
        self.send_response(encode_response(200, body, ((b"Content-Type", b"application/json"),)))

    def close(self) -> None:
        """Close it."""
        if self._wait_timer is not None:
            self._wait_timer.cancel()
            self._wait_timer = None
        super().close()
        self.discovery.watchers.discard(self)

"""Runs a cache node of a fault-injection test, with a cache, an admin listener and reports to discovery.

    python -m rosepick.lab.drill.cache_node NAME HOST:PORT ADMIN_HOST:PORT DISCOVERY_HOST:PORT EVENTS

On a miss the node fetches the value itself (read-through). It is cold until it has answered some requests.
"""

from __future__ import annotations

import os
import signal
import socket
import sys
import time

import msgspec

from ... import logs
from ...net.admin_listener import AdminListener
from ...net.event_loop import READ, EventLoop
from ...net.resource_budget import ResourceBudget
from ...ops.line_protocol import AdminReply
from ..live.request_reader import HttpRequest, encode_response
from .event_log import EventLog, drill_clock
from .history import FaultInjected, NodeRequestReceived
from .stand_in_connection import StandInConnection

WARM_AFTER_REQUESTS = 25  # a node that has answered this many requests is warm
WARM_AFTER_S = 3.0  # a node that has run for this time is warm, even without requests
FETCH_TIME_MS = 8.0
HIT_TIME_MS = 1.0
REPORT_INTERVAL_MS = 200.0
ESTABLISHED_AGE_MS = 3_600_000  # age that a node reports at its first start
IDLE_AFTER_S = 1.0  # a draining node without requests for this time is idle
MAX_DESCRIPTORS = 4096
LISTEN_BACKLOG = 512
RESPONSE_BODY = b"v" * 200


def parse_address(text: str) -> tuple[str, int]:
    """Split HOST:PORT.

    Raises:
        ValueError: the port is not a number.
    """
    host, _, port = text.rpartition(":")
    return host, int(port)


class CacheNodeConnection(StandInConnection):
    """Handles a connection of a router, which has one request in flight at a time."""

    def __init__(self, node: CacheNodeStandIn, sock: socket.socket) -> None:
        self._node = node
        super().__init__(node.loop, node.budget, sock)

    def handle_request(self, request: HttpRequest) -> None:
        """Pass a request to the node."""
        self._node.handle_request(self, request)


class CacheNodeStandIn:
    """Simulates a cache node: its listeners, cache and reports. Addresses are HOST:PORT."""

    def __init__(self, name: str, listen: str, admin_address: str, discovery: str, events: str) -> None:
        self.name = name
        self.loop = EventLoop()
        self.budget = ResourceBudget(MAX_DESCRIPTORS)
        is_first_start = not os.path.exists(events) or not os.path.getsize(events)
        self._started_at = drill_clock()
        # a test begins with a fleet that is warm, so only restarted nodes are cold
        self._boot_ms = round(time.time() * 1000.0) - (ESTABLISHED_AGE_MS if is_first_start else 0)
        self.event_log = EventLog(events)
        start_kind = "first start" if is_first_start else "cold start"
        self.event_log.append(FaultInjected(name, self._started_at, start_kind))
        self._discovery = parse_address(discovery)
        self._udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._cached_targets: set[bytes] = set()
        self._hits = 0
        self._misses = 0
        self._in_flight = 0
        self._last_request_at = drill_clock()
        self.draining = False
        self._sock = socket.create_server(parse_address(listen), backlog=LISTEN_BACKLOG)
        self._sock.setblocking(False)
        self.loop.register(self._sock, READ, self._accept)
        commands = {
            "readyz": self._readyz,
            "telemetry": self._telemetry,
            "drain": self._drain,
            "undrain": self._undrain,
        }
        self.admin_listener = AdminListener(self.loop, parse_address(admin_address), commands)
        self._report_periodically()

    def _accept(self, _mask: int) -> None:
        try:
            CacheNodeConnection(self, self._sock.accept()[0])
        except OSError:
            return

    def handle_request(self, connection: CacheNodeConnection, request: HttpRequest) -> None:
        """Record a request, and answer it after the time that a hit or a fetch takes."""
        self._last_request_at = drill_clock()
        request_id = request.header_text(b"req-id")
        self.event_log.append(
            NodeRequestReceived(self.name, self._last_request_at, request_id, self.draining)
        )
        is_hit = request.target in self._cached_targets
        if is_hit:
            self._hits += 1
        else:
            self._misses += 1
            self._cached_targets.add(request.target)
        response = encode_response(200, RESPONSE_BODY, ((b"Srv-Cache", b"hit" if is_hit else b"miss"),))
        self._in_flight += 1

        def respond() -> None:
            self._in_flight -= 1
            connection.send_response(response, request.keep_alive)

        self.loop.call_after(HIT_TIME_MS if is_hit else FETCH_TIME_MS, respond)

    # -- admin commands

    def _readyz(self) -> AdminReply:
        return AdminReply(not self.draining, "draining" if self.draining else "ready")

    def _is_idle(self) -> bool:
        idle_s = drill_clock() - self._last_request_at
        return self.draining and not self._in_flight and idle_s > IDLE_AFTER_S

    def _is_warm(self) -> bool:
        if self._hits + self._misses >= WARM_AFTER_REQUESTS:
            return True
        return drill_clock() - self._started_at > WARM_AFTER_S

    def _telemetry(self) -> AdminReply:
        telemetry = {
            "draining": self.draining,
            "idle": self._is_idle(),
            "warm": self._is_warm(),
            "hits": self._hits,
            "misses": self._misses,
        }
        return AdminReply(True, msgspec.json.encode(telemetry).decode(), ("END",), is_document=True)

    def _drain(self) -> AdminReply:
        if not self.draining:
            self.draining = True
            self._last_request_at = drill_clock()
            self._report_state()
        return AdminReply(True, "draining")

    def _undrain(self) -> AdminReply:
        self.draining = False
        self._report_state()
        return AdminReply(True, "taking")

    # -- reports to discovery

    def _report_periodically(self) -> None:
        self._report_state()
        self.loop.call_after(REPORT_INTERVAL_MS, self._report_periodically)

    def _report_state(self, state: str = "") -> None:
        state = state or ("leaving" if self.draining else "active")
        self._udp.sendto(msgspec.json.encode((self.name, state, self._boot_ms)), self._discovery)

    def stop(self) -> None:
        """Report to discovery that the node has left, and end the event loop."""
        self._report_state("left")
        self.loop.stop()


def main() -> None:
    """Run the cache node until SIGTERM."""
    logs.configure_logging()
    node = CacheNodeStandIn(*sys.argv[1:6])
    node.loop.add_signal_handlers({signal.SIGTERM: node.stop})
    node.loop.run()


if __name__ == "__main__":
    main()

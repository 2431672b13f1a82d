"""The stand-in of a cache node in a drill: a process with a memory, an operators' door, and a word to
discovery.

    python -m rosepick.lab.drill.cache_node NAME HOST:PORT DOOR_HOST:PORT DISCOVERY_HOST:PORT EVENTS

What it lacks it fetches itself (through mode). It is cold until it has borne some requests.
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
from .history import FaultInjected, NodeRequestReceived
from .stand_in_connection import StandInConnection
from .stand_ins import EventLog, drill_clock

WARM_AFTER_REQUESTS = 25  # requests borne ...
WARM_AFTER_S = 3.0  # ... or seconds
FETCH_TIME_MS, HIT_TIME_MS = 8.0, 1.0  # milliseconds
REPORT_INTERVAL_MS = 200.0
ESTABLISHED_AGE_MS = 3_600_000  # milliseconds
IDLE_AFTER_S = 1.0  # seconds without a request while it drains: nobody sends any more


def parse_address(text: str) -> tuple[str, int]:
    """host:port."""
    host, _, port = text.rpartition(":")
    return host, int(port)


class CacheNodeConnection(StandInConnection):
    """One connection of a router: a request at a time."""

    def __init__(self, node: CacheNodeStandIn, sock: socket.socket) -> None:
        self._node = node
        super().__init__(node.loop, node.budget, sock)

    def handle_request(self, message: HttpRequest) -> None:
        self._node.handle_request(self, message)


class CacheNodeStandIn:
    """The whole process."""

    def __init__(self, name: str, listen: str, admin_address: str, discovery: str, events: str) -> None:
        self.name, self.loop, self.budget = name, EventLoop(), ResourceBudget(4096)
        first = not os.path.exists(events) or not os.path.getsize(events)
        # the fleet of a drill is an old one: only what starts again is cold
        self._started_at, self._boot_ms = (
            drill_clock(),
            round(time.time() * 1000.0) - (ESTABLISHED_AGE_MS if first else 0),
        )
        self.event_log = EventLog(events)
        self.event_log.append(FaultInjected(name, self._started_at, "first start" if first else "cold start"))
        self._discovery = parse_address(discovery)
        self._udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._memory: set[bytes] = set()
        self._hits = self._misses = self._in_flight = 0
        self._last_request_at = drill_clock()
        self.draining = False
        self._sock = socket.create_server(parse_address(listen), backlog=512)
        self._sock.setblocking(False)
        self.loop.register(self._sock, READ, self._accept)
        calls = {
            "readyz": self._readyz,
            "telemetry": self._telemetry,
            "drain": self._drain,
            "undrain": self._undrain,
        }
        self.admin_listener = AdminListener(self.loop, parse_address(admin_address), calls)
        self._report_periodically()

    def _accept(self, mask: int) -> None:
        try:
            CacheNodeConnection(self, self._sock.accept()[0])
        except OSError:
            return

    def handle_request(self, connection: CacheNodeConnection, message: HttpRequest) -> None:
        """A request is here, whole."""
        self._last_request_at = drill_clock()
        self.event_log.append(
            NodeRequestReceived(
                self.name, self._last_request_at, message.header_text(b"req-id"), self.draining
            )
        )
        if message.target in self._memory:
            self._hits += 1
            wait, found = HIT_TIME_MS, b"hit"
        else:
            self._misses += 1
            self._memory.add(message.target)
            wait, found = FETCH_TIME_MS, b"miss"
        self._in_flight += 1

        def done() -> None:
            self._in_flight -= 1
            connection.send_response(
                encode_response(200, b"v" * 200, ((b"Srv-Cache", found),)), message.keep_alive
            )

        self.loop.call_after(wait, done)

    # -- the door

    def _readyz(self) -> AdminReply:
        return AdminReply(not self.draining, "draining" if self.draining else "ready")

    def _telemetry(self) -> AdminReply:
        idle = self.draining and not self._in_flight and drill_clock() - self._last_request_at > IDLE_AFTER_S
        warm = (
            self._hits + self._misses >= WARM_AFTER_REQUESTS
            or drill_clock() - self._started_at > WARM_AFTER_S
        )
        told = {
            "draining": self.draining,
            "idle": idle,
            "warm": warm,
            "hits": self._hits,
            "misses": self._misses,
        }
        return AdminReply(True, msgspec.json.encode(told).decode(), ("END",), is_document=True)

    def _drain(self) -> AdminReply:
        if not self.draining:
            self.draining, self._last_request_at = True, drill_clock()
            self._report_state()
        return AdminReply(True, "draining")

    def _undrain(self) -> AdminReply:
        self.draining = False
        self._report_state()
        return AdminReply(True, "taking")

    def _report_periodically(self) -> None:
        self._report_state()
        self.loop.call_after(REPORT_INTERVAL_MS, self._report_periodically)

    def _report_state(self, state: str = "") -> None:
        state = state or ("leaving" if self.draining else "active")
        self._udp.sendto(msgspec.json.encode((self.name, state, self._boot_ms)), self._discovery)

    def stop(self) -> None:
        """SIGTERM."""
        self._report_state("left")
        self.loop.stop()


def main() -> None:
    """Serve until told to end."""
    logs.configure_logging()
    node = CacheNodeStandIn(*sys.argv[1:6])
    node.loop.add_signal_handlers({signal.SIGTERM: node.stop})
    node.loop.run()


if __name__ == "__main__":
    main()

"""The stand-in of discovery: the model's list on a socket for each router, so that it is known who was told
what.
"""

from __future__ import annotations

import json
import logging
import socket
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

from ...decisions.api import Endpoint, Status
from ...logs import log_exception
from ...net.event_loop import READ, WRITE, ScheduledCall
from ...net.tcp_stream import TcpStream
from ..experiment import DiscoveryConfig as Shape
from ..model.discovery import MemberChange, SimulatedDiscovery
from .controllable_listener import HOST, ControllableListener
from .live_context import LiveContext
from .request_reader import HttpRequest, MalformedRequestError, RequestReader, encode_response
from .router_config import MACHINE_TYPES

logger = logging.getLogger(__name__)
WIRE_STATES = {Status.READY: "active", Status.DRAINING: "leaving", Status.REMOVED: "left"}
EndpointRows = dict[str, Any]


class DiscoveryServer(SimulatedDiscovery):
    """What discovery knows, and to whom it told it. Changes reach it as in simulated time; calls are answered
    in real time, one after another.
    """

    def __init__(self, simulation: LiveContext, shape: Shape, seed: int) -> None:
        super().__init__(simulation.kernel, shape, seed, lambda zone: 0.0)
        self.simulation = simulation
        self.connections: dict[DiscoveryConnection, None] = {}
        self.zones, self.routers = len(simulation.experiment.zones), simulation.experiment.routers.count
        # one more for each zone, for who starts routers there: it is told also while discovery is down
        places = range(self.routers + self.zones)
        self.listeners = [
            ControllableListener(simulation.loop, self._accept_handler(place)) for place in places
        ]
        self._drain_known_since: list[dict[int, tuple[float, int]]] = [{} for _ in self.listeners]
        self._busy_until_ms = 0.0

    def load_members(self, members: list[Endpoint]) -> None:
        """The list at the begin. Nodes that started since `stale_by` are news to routers that hold it."""
        super().load_members(members)
        young = [member for member in members if member.started_at > -1000.0 * self.config.stale_by]
        self._changes = [MemberChange(1, member) for member in young]

    def open(self) -> None:
        """Take calls from now on."""
        for door in self.listeners:
            door.set_state("open")

    def close(self) -> None:
        """Let go of every socket."""
        for door in self.listeners:
            door.close()
        for link in list(self.connections):
            link.close()

    def set_available(self, available: bool) -> None:
        """It goes down, and refuses calls; or it comes back."""
        self.up = available
        for door in self.listeners[: self.routers]:
            door.set_state("open" if available else "shut")
        if not available:
            for link in [one for one in self.connections if one.router < self.routers]:
                link.close()

    def _accept_handler(self, router: int) -> Callable[[socket.socket], None]:
        def accepted(sock: socket.socket) -> None:
            self.connections[DiscoveryConnection(self, router, sock)] = None

        return accepted

    # ------------------------------------------------------------------------------------- what it tells

    def endpoint_document(self, router: int, after: int | None) -> tuple[EndpointRows, list[Endpoint]]:
        """The answer to a router's call: what is newer than a revision, or the whole list."""
        members = list(self._members.values()) if after is None else self.changes_since(after)
        zone = (router if router < self.routers else router - self.routers) % self.zones
        rows = [self._endpoint_row(member, zone) for member in members]
        return {"rev": self.revision, "all": after is None, "targets": rows}, members

    def initial_document(self, zone: int) -> EndpointRows:
        """The list as routers in a zone hold it that start with the run: `stale_by` old."""
        news = {change.member.endpoint_id for change in self._changes}
        rows = [
            self._endpoint_row(member, zone)
            for member in self._members.values()
            if member.endpoint_id not in news
        ]
        return {"rev": 0 if news else self.revision, "all": True, "targets": rows}

    def changes_since(self, after: int) -> list[Endpoint]:
        """What changed after a revision; of several changes of a node the last."""
        found = {
            change.member.endpoint_id: change.member for change in self._changes if change.revision > after
        }
        return list(found.values())

    def _endpoint_row(self, member: Endpoint, zone: int) -> EndpointRows:
        world = self.simulation
        stand = world.node_servers[member.endpoint_id]
        return {
            "uid": stand.node.uid,
            "endpoint": f"{HOST}:{stand.listeners[zone].port}",
            "az": world.experiment.zones[member.zone],
            "model": MACHINE_TYPES[member.kind],
            "pod_group": member.cell,
            "state": WIRE_STATES[member.status],
            "capacity_hint": member.weight,
            "boot_ms": max(0, round(world.unix_start_ms + member.started_at)),
        }

    def _apply_change(self, member: Endpoint) -> None:
        super()._apply_change(member)
        for link in list(self.connections):
            link.on_change()

    def next_answer_at(self, lines: int) -> float:
        """When a call is answered, on the loop's clock: calls are handled one after another."""
        cost = self.config.call_ms + self.config.line_ms * lines
        self._busy_until_ms = max(self._busy_until_ms, self.simulation.loop.now()) + cost
        return self._busy_until_ms

    # ----------------------------------------------------------------------------------- whom it told what

    def drain_known_at(self, router: int, node: int) -> float | None:
        """Since when a router knows that a node wants nothing new; None if it does not."""
        found = self._drain_known_since[router].get(node)
        return None if found is None else found[0]

    def record_poll(self, router: int, after: int) -> None:
        """A router holds this revision, and no more: it may have started anew."""
        told = self._drain_known_since[router]
        for node in [node for node, (_, revision) in told.items() if revision > after]:
            del told[node]

    def record_notification(self, router: int, members: list[Endpoint]) -> None:
        """An answer went out to a router."""
        told, now = self._drain_known_since[router], self.simulation.real_time_kernel.now()
        for member in members:
            if member.status is Status.READY:
                told.pop(member.endpoint_id, None)
            else:
                told.setdefault(member.endpoint_id, (now, self.revision))


class DiscoveryConnection:
    """One connection of a router to discovery."""

    def __init__(self, server: DiscoveryServer, router: int, sock: socket.socket) -> None:
        self.server, self.router = server, router
        self._reader = RequestReader()
        self._after: int | None = None
        self._is_waiting = False  # a call waits for something newer
        self._wait_timer: ScheduledCall | None = None
        self.stream = TcpStream(server.simulation.loop, server.simulation.budget, sock, self._on_ready)

    def _on_ready(self, mask: int) -> None:
        try:
            if mask & WRITE:
                self.stream.flush()
            data = self.stream.read() if mask & READ else None
            if data == b"":
                self.close()
            elif data:
                for message in self._reader.feed(data):
                    self._handle_call(message)
            self._update_interest()
        except (OSError, MalformedRequestError):
            self.close()
        except Exception as problem:
            self.server.simulation.loop.fault_count += 1
            log_exception(logger, "discovery_server_fault", problem)
            self.close()

    def _update_interest(self) -> None:
        if self.stream.is_open:
            self.stream.set_events(READ | (WRITE if self.stream.has_unwritten() else 0))

    def _handle_call(self, message: HttpRequest) -> None:
        """A call: answered at once, or once there is something newer, or when its time is over."""
        loop, url = self.server.simulation.loop, urlsplit(message.target.decode("latin-1"))
        if url.path != "/v1/endpoints":
            self.stream.send(encode_response(404))
            return
        asked = {name: values[0] for name, values in parse_qs(url.query).items()}
        try:
            self._after = int(asked["after"]) if "after" in asked else None
            wait = float(asked.get("wait_ms", "0"))
        except ValueError:
            self.stream.send(encode_response(400))
            return
        if self._after is not None:
            self.server.record_poll(self.router, self._after)
        if self._after is not None and wait > 0 and not self.server.changes_since(self._after):
            self._is_waiting = True
            self._wait_timer = loop.call_after(wait, self._schedule_answer)
        else:
            self._schedule_answer()

    def on_change(self) -> None:
        """Something is newer than what this router holds."""
        if self._is_waiting:
            self._schedule_answer()

    def _schedule_answer(self) -> None:
        self._is_waiting = False
        if self._wait_timer is not None:
            self._wait_timer.cancel()
            self._wait_timer = None
        lines = len(self.server.endpoint_document(self.router, self._after)[1])
        self.server.simulation.loop.call_at(self.server.next_answer_at(lines), self._send_answer)

    def _send_answer(self) -> None:
        if not self.stream.is_open:
            return
        document, members = self.server.endpoint_document(self.router, self._after)
        body = json.dumps(document).encode()
        try:
            self.stream.send(encode_response(200, body, ((b"Content-Type", b"application/json"),)))
        except OSError:
            self.close()
            return
        self.server.record_notification(self.router, members)
        self._update_interest()

    def close(self) -> None:
        """Close it."""
        if self._wait_timer is not None:
            self._wait_timer.cancel()
        self._is_waiting = False
        self.stream.close()
        self.server.connections.pop(self, None)

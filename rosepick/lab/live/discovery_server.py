"""Serves the model's discovery on sockets.

Each router has its own listener, so that the server can record which changes each router was sent.
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
from ..experiment_config import DiscoveryConfig
from ..model.discovery import MemberChange, SimulatedDiscovery
from ..model.random_streams import UniformStream
from .controllable_listener import HOST, ControllableListener
from .live_context import LiveContext
from .notification_tracker import NotificationTracker
from .request_reader import HttpRequest, MalformedRequestError, RequestReader, encode_response
from .router_config import MACHINE_TYPES

logger = logging.getLogger(__name__)
WIRE_STATES = {Status.READY: "active", Status.DRAINING: "leaving", Status.REMOVED: "left"}
EndpointDocument = dict[str, Any]
# `/last?N` returns the last list of router N, for the process that starts the next process of that router
LAST_LIST_PATH = "/last"


class DiscoveryServer(SimulatedDiscovery):
    """Implements the discovery service of a live run.

    Changes reach the service as in simulated time. It answers calls in real time, one after another.
    """

    def __init__(self, simulation: LiveContext, config: DiscoveryConfig, seed: int) -> None:
        super().__init__(simulation.kernel, config, seed, lambda _zone: 0.0)
        self.simulation = simulation
        self.connections: dict[DiscoveryConnection, None] = {}
        self.zone_count = len(simulation.experiment.zones)
        self.router_count = simulation.experiment.routers.count
        # the process that starts routers has a listener for each zone, open even while discovery is down
        listener_count = self.router_count + self.zone_count
        self.listeners = [
            ControllableListener(simulation.loop, self._accept_handler(index))
            for index in range(listener_count)
        ]
        self.trackers = [NotificationTracker() for _ in self.listeners]
        self.rejection_shares: list[float] = []  # shares of rejected calls, one for each active fault
        self.extra_answer_delays_ms: list[float] = []  # for calls without wait, one for each active fault
        self._drained_at: dict[int, float] = {}  # by node number, when it began to drain or was removed
        self._stated_revisions = [0] * listener_count  # the last revision that each router stated in a call
        self._initial_members: list[Endpoint] = []  # members in the cached list that routers start with
        self._rejection_stream = UniformStream(seed, "discovery turns away")
        self._busy_until_ms = 0.0

    def load_members(self, members: list[Endpoint]) -> None:
        """Set the initial list. Nodes that started within `stale_by` are missing from the routers' lists."""
        super().load_members(members)
        young = [member for member in members if member.started_at > -1000.0 * self.config.stale_by]
        self._changes = [MemberChange(1, member) for member in young]
        young_ids = {member.endpoint_id for member in young}
        self._initial_members = [member for member in members if member.endpoint_id not in young_ids]

    def open(self) -> None:
        """Start to accept calls."""
        for listener in self.listeners:
            listener.set_state("open")

    def close(self) -> None:
        """Close all sockets."""
        for listener in self.listeners:
            listener.close()
        for connection in list(self.connections):
            connection.close()

    def set_available(self, available: bool) -> None:
        """Take the service down, which refuses connections, or bring it back."""
        self.up = available
        for tracker in self.trackers:
            tracker.record_availability(self._now(), available)
        for listener in self.listeners[: self.router_count]:
            listener.set_state("open" if available else "shut")
        if not available:
            for connection in [one for one in self.connections if one.router < self.router_count]:
                connection.close()

    def _accept_handler(self, router: int) -> Callable[[socket.socket], None]:
        def on_accepted(sock: socket.socket) -> None:
            self.connections[DiscoveryConnection(self, router, sock)] = None

        return on_accepted

    # ------------------------------------------------------------------------------------- documents

    def endpoint_document(self, router: int, after: int | None) -> tuple[EndpointDocument, list[Endpoint]]:
        """Return the answer to a router's call, and its endpoints: all, or those changed after `after`."""
        members = list(self._members.values()) if after is None else self.changes_since(after)
        zone = (router if router < self.router_count else router - self.router_count) % self.zone_count
        rows = [self._endpoint_row(member, zone) for member in members]
        return {"rev": self.revision, "all": after is None, "targets": rows}, members

    def last_document(self, router: int) -> EndpointDocument:
        """Return the list at the revision that a router stated in its last call."""
        revision = self._stated_revisions[router]
        members = {member.endpoint_id: member for member in self._initial_members}
        for change in self._changes:
            if change.revision > revision:
                continue
            if change.member.status is Status.REMOVED:
                members.pop(change.member.endpoint_id, None)
            else:
                members[change.member.endpoint_id] = change.member
        rows = [self._endpoint_row(member, router % self.zone_count) for member in members.values()]
        return {"rev": revision, "all": True, "targets": rows}

    def initial_document(self, zone: int) -> EndpointDocument:
        """Return the cached list that routers in a zone start with, which is `stale_by` seconds old.

        Endpoints with a recorded change are missing from it. It then has revision 0, so that the first poll
        returns them.
        """
        new_endpoints = {change.member.endpoint_id for change in self._changes}
        rows = [
            self._endpoint_row(member, zone)
            for member in self._members.values()
            if member.endpoint_id not in new_endpoints
        ]
        return {"rev": 0 if new_endpoints else self.revision, "all": True, "targets": rows}

    def changes_since(self, after: int) -> list[Endpoint]:
        """Return the endpoints that changed after revision `after`, each with its last change."""
        last_changes = {
            change.member.endpoint_id: change.member for change in self._changes if change.revision > after
        }
        return list(last_changes.values())

    def _endpoint_row(self, member: Endpoint, zone: int) -> EndpointDocument:
        simulation = self.simulation
        server = simulation.node_servers[member.endpoint_id]
        return {
            "uid": server.node.uid,
            "endpoint": f"{HOST}:{server.listeners[zone].port}",
            "az": simulation.experiment.zones[member.zone],
            "model": MACHINE_TYPES[member.kind],
            "pod_group": member.cell,
            "state": WIRE_STATES[member.status],
            "capacity_hint": member.weight,
            "boot_ms": max(0, round(simulation.unix_start_ms + member.started_at)),
        }

    def _apply_change(self, member: Endpoint) -> None:
        super()._apply_change(member)
        if member.status is Status.READY:
            self._drained_at.pop(member.endpoint_id, None)
        else:
            self._drained_at.setdefault(member.endpoint_id, self._now())
        for connection in list(self.connections):
            connection.on_change()

    def next_answer_at(self, lines: int) -> float:
        """Occupy the service with a call of `lines` endpoints; return its end on the loop's clock."""
        cost_ms = self.config.call_ms + self.config.line_ms * lines
        self._busy_until_ms = max(self._busy_until_ms, self.simulation.loop.now()) + cost_ms
        return self._busy_until_ms

    # ----------------------------------------------------------------------------------- known drains

    def _now(self) -> float:
        return self.simulation.real_time_kernel.now()

    def drain_known_at(self, router: int, node: int) -> float | None:
        """Return from when on a router counts as notified that a node drains; None if it does not."""
        return self.trackers[router].drain_known_at(
            self._now(), node, self._drained_at.get(node), self.revision
        )

    def record_process_start(self, router: int) -> None:
        """Record that a new process of a router starts to serve."""
        self.trackers[router].record_process_start(self._now())

    def record_process_end(self, router: int) -> None:
        """Record that the process of a router has ended or is about to be replaced."""
        self.trackers[router].record_process_end()

    def record_poll(self, router: int, after: int) -> None:
        """Record the revision that a router states, and drop later notifications: it may have restarted."""
        self._stated_revisions[router] = after
        self.trackers[router].record_revision(after)

    def record_notification(self, router: int, members: list[Endpoint]) -> None:
        """Record that endpoints were sent to a router."""
        tracker = self.trackers[router]
        for member in members:
            if member.status is Status.READY:
                tracker.record_ready(member.endpoint_id)
            else:
                tracker.record_drain(self._now(), member.endpoint_id, self.revision)

    def rejects_call(self) -> bool:
        """Return whether the current call is rejected, as by a service with too many callers."""
        share = max(self.rejection_shares, default=0.0)
        return share > 0.0 and self._rejection_stream() < share


class DiscoveryConnection:
    """A connection of a router to discovery."""

    def __init__(self, server: DiscoveryServer, router: int, sock: socket.socket) -> None:
        self.server = server
        self.router = router
        self._reader = RequestReader()
        self._after: int | None = None  # the revision that the current call states; None for the whole list
        self._is_waiting = False  # whether the current call waits for a change
        self._has_open_call = False  # whether a call is neither answered nor rejected
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
        except Exception as error:
            self.server.simulation.loop.fault_count += 1
            log_exception(logger, "discovery_server_fault", error)
            self.close()

    def _update_interest(self) -> None:
        if self.stream.is_open:
            self.stream.set_events(READ | (WRITE if self.stream.has_unwritten() else 0))

    def _handle_call(self, message: HttpRequest) -> None:
        """Answer a call at once, at the next change, or at the end of its wait."""
        loop = self.server.simulation.loop
        url = urlsplit(message.target.decode("latin-1"))
        if url.path == LAST_LIST_PATH:
            self._send_last_list(url.query)
            return
        if url.path != "/v1/endpoints":
            self.stream.send(encode_response(404))
            return
        self._begin_call()
        if self.router < self.server.router_count and self.server.rejects_call():
            self._fail_call()
            self.stream.send(encode_response(503))
            return
        parameters = {name: values[0] for name, values in parse_qs(url.query).items()}
        try:
            self._after = int(parameters["after"]) if "after" in parameters else None
            wait_ms = float(parameters.get("wait_ms", "0"))
        except ValueError:
            self.stream.send(encode_response(400))
            return
        if self._after is not None:
            self.server.record_poll(self.router, self._after)
        if self._after is not None and wait_ms > 0 and not self.server.changes_since(self._after):
            self._is_waiting = True
            self._wait_timer = loop.call_after(wait_ms, self._schedule_answer)
        else:
            self._schedule_answer(max(self.server.extra_answer_delays_ms, default=0.0))

    def _send_last_list(self, query: str) -> None:
        """Answer the process that starts routers with the last list of a router."""
        document = self.server.last_document(int(query))
        body = json.dumps(document).encode()
        self.stream.send(encode_response(200, body, ((b"Content-Type", b"application/json"),)))

    def _begin_call(self) -> None:
        if not self._has_open_call:
            self._has_open_call = True
            self.server.trackers[self.router].record_call()

    def _fail_call(self) -> None:
        if self._has_open_call:
            self._has_open_call = False
            self.server.trackers[self.router].record_call_failed()

    def _record_answer(self, members: list[Endpoint]) -> None:
        """Record the answer to the current call."""
        server = self.server
        server.record_notification(self.router, members)
        if self._has_open_call:
            self._has_open_call = False
            server.trackers[self.router].record_answer(server.simulation.real_time_kernel.now())

    def on_change(self) -> None:
        """Answer a waiting call after a change of the list."""
        if self._is_waiting:
            self._schedule_answer()

    def _schedule_answer(self, extra_delay_ms: float = 0.0) -> None:
        self._is_waiting = False
        if self._wait_timer is not None:
            self._wait_timer.cancel()
            self._wait_timer = None
        lines = len(self.server.endpoint_document(self.router, self._after)[1])
        self.server.simulation.loop.call_at(
            self.server.next_answer_at(lines) + extra_delay_ms, self._send_answer
        )

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
        self._record_answer(members)
        self._update_interest()

    def close(self) -> None:
        """Close the connection."""
        if self._wait_timer is not None:
            self._wait_timer.cancel()
        self._is_waiting = False
        self._fail_call()
        self.stream.close()
        self.server.connections.pop(self, None)

"""The driver of a stand-in: a node of the model behind a listening socket, and its connections."""

from __future__ import annotations

import contextlib
import logging
import socket
import struct
from collections import deque
from collections.abc import Callable

from ...decisions.api import Result, Status
from ...logs import log_exception
from ...net.event_loop import READ, WRITE
from ...net.tcp_stream import TcpStream
from ..model.nodes import CACHE_HIT, ConnectOutcome, NodeRequest, SimulatedNode
from ..model.random_streams import UniformStream
from . import response_faults
from .controllable_listener import ControllableListener
from .live_context import LiveContext
from .request_reader import HttpRequest, MalformedRequestError, RequestReader, encode_response
from .router_config import CONNECTION_IDLE_MS
from .run_records import NodeAttemptRecord

logger = logging.getLogger(__name__)
DECLINED = (b"Srv-Declined", b"1")
_LINGER_RESET = struct.pack("ii", 1, 0)  # of SO_LINGER: closing resets


class NodeServer:
    """One cache node, or the origin. It has a door for each zone that routers are in, so that a cut is one
    for new connections too.
    """

    def __init__(self, simulation: LiveContext, node: SimulatedNode) -> None:
        self.simulation, self.node = simulation, node
        self.refusal_count = 0  # troubles that are on
        self.garbage_shares: list[float] = []  # of the answers, by each trouble that is on ...
        self.drip_shares: list[float] = []  # ... of which the worst one counts
        self.connections: dict[NodeConnection, None] = {}
        zones = range(len(simulation.experiment.zones))
        self.listeners: list[ControllableListener] = [
            ControllableListener(simulation.loop, self._accept_handler(zone)) for zone in zones
        ]
        self._fate_stream = UniformStream(simulation.seed, f"answers of {node.uid}")

    def update_listeners(self) -> None:
        """Have the doors as the node is now."""
        node = self.node
        shut = not node.machine.up or node.state is Status.REMOVED or self.refusal_count > 0
        for zone, door in enumerate(self.listeners):
            door.set_state("shut" if shut else "open" if self.is_reachable_from(zone) else "mute")

    def is_reachable_from(self, zone: int) -> bool:
        """Whether messages pass between it and a zone."""
        return not self.node.silent and self.simulation.network.is_connected(zone, self.node.zone)

    def close_idle(self, now: float) -> None:
        """Close what was idle for long."""
        if not self.node.silent:
            for link in [
                one
                for one in self.connections
                if one.is_idle() and now - one.idle_since >= CONNECTION_IDLE_MS
            ]:
                link.close()

    def reset_all(self) -> None:
        """The process has gone: its machine resets all connections."""
        for door in self.listeners:
            door.set_state("shut")
        for link in list(self.connections):
            link.reset()

    def close(self) -> None:
        """The run is over."""
        for door in self.listeners:
            door.close()
        for link in list(self.connections):
            link.close()

    def _accept_handler(self, zone: int) -> Callable[[socket.socket], None]:
        return lambda sock: self.simulation.real_time_kernel.run_synced(
            lambda: self._on_connection(sock, zone)
        )

    def _on_connection(self, sock: socket.socket, zone: int) -> None:
        """A connection of a router in that zone."""
        with contextlib.suppress(OSError):  # it has gone already
            link = NodeConnection(self, sock, zone)
            self.connections[link] = None
            if not self.node.machine.up:  # it fell over by this very connection
                link.reset()

    def send_response(self, link: NodeConnection, data: bytes, result: Result) -> None:
        """An answer goes out, or what its fate makes of it. OSError if the connection broke."""
        spoilt, drops = max(self.garbage_shares, default=0.0), max(self.drip_shares, default=0.0)
        draw = self._fate_stream() if spoilt or drops or self.node.reset_share else 1.0
        if result is Result.RESET:
            response_faults.CONNECTION_LOSSES[
                int(self._fate_stream() * len(response_faults.CONNECTION_LOSSES))
            ](link, data)
        elif draw < spoilt:
            response_faults.send_malformed_response(link, int(draw * 1e6))
        elif draw < spoilt + drops:
            response_faults.drip_response(link, data, result)
        elif draw < spoilt + drops + self.node.reset_share / len(response_faults.CONNECTION_LOSSES):
            response_faults.reset_after_response(link, data, result)
        else:
            link.stream.send(data)
            link.finish_attempt(result)


class NodeConnection:
    """One connection of a router to a stand-in: it carries one request at a time."""

    def __init__(self, server: NodeServer, sock: socket.socket, zone: int) -> None:
        self.server, self.node, self.zone = server, server.node, zone
        self.attempt: NodeAttemptRecord | None = None
        self.idle_since: float = server.simulation.real_time_kernel.now()
        self._reader = RequestReader()
        self._pipelined: deque[HttpRequest] = deque()
        self._request: NodeRequest | None = None
        self._first_byte_at = 0.0  # the first byte of the present request
        self._keep_alive = True
        self._epoch = self.node.epoch
        self._has_slot = self.node.connect() is ConnectOutcome.ACCEPTED  # not if too many are open
        self.stream: TcpStream = TcpStream(
            server.simulation.loop, server.simulation.budget, sock, self._on_ready
        )

    def call_after(self, delay_ms: float, callback: Callable[[], None]) -> None:
        """Call after so many milliseconds of the run."""
        self.server.simulation.call_after(delay_ms, callback)

    def is_idle(self) -> bool:
        """Between requests."""
        return self.attempt is None and not self._reader.is_in_request

    def _on_ready(self, mask: int) -> None:
        self.server.simulation.real_time_kernel.run_synced(
            lambda: self.run_guarded(lambda: self._handle_io(mask))
        )

    def run_guarded(self, step: Callable[[], None]) -> None:
        """Take a step; the connection ends if it broke."""
        try:
            step()
            if self.stream.is_open:
                self.stream.set_events(READ | (WRITE if self.stream.has_unwritten() else 0))
        except OSError:
            self._on_peer_closed()
        except Exception as problem:
            # guards against a socket that stays ready and raises the same again at once, without end
            self.server.simulation.loop.fault_count += 1
            log_exception(logger, "node_server_fault", problem, node=self.node.uid)
            self._on_peer_closed()

    def _handle_io(self, mask: int) -> None:
        if mask & WRITE:
            self.stream.flush()
        data = self.stream.read() if mask & READ else None
        if data == b"":
            self._on_peer_closed()
        elif data:
            self._read(data)

    def _read(self, data: bytes) -> None:
        if not self._reader.is_in_request:
            self._first_byte_at = self.server.simulation.real_time_kernel.now()
        try:
            self._pipelined += self._reader.feed(data)
        except MalformedRequestError:
            self.stream.send(encode_response(400))
            self.close()
            return
        self._start_next_request()

    def _start_next_request(self) -> None:
        if self.attempt is None and self._pipelined and self.stream.is_open:
            self._start_request(self._pipelined.popleft())

    def _start_request(self, message: HttpRequest) -> None:
        """A request is here, whole."""
        world, name = self.server.simulation, message.header_text(b"req-id")
        self._keep_alive = message.keep_alive
        self.attempt = world.record_attempt(self.node, self.zone, name, self._first_byte_at)
        if not self.server.is_reachable_from(self.zone):
            return  # nobody hears it
        if not name:
            self._send_response(encode_response(400), Result.INVALID)
        elif not self._has_slot:
            self._keep_alive = False
            self._send_response(encode_response(503, b"", (DECLINED, (b"Connection", b"close"))), Result.BUSY)
        else:
            asked = self._request = world.to_node_request(self.node, message, name, self._on_reply)
            self._after_latency(lambda: self._on_request_arrived(asked))

    def _after_latency(self, call: Callable[[], None]) -> None:
        """Call when a message has had its way."""
        world = self.server.simulation
        world.call_after(world.network.latency(self.zone, self.node.zone), call)

    def _on_request_arrived(self, request: NodeRequest) -> None:
        if not request.finished:
            self.node.on_request(request)

    def _on_reply(self, result: Result, note: int) -> None:
        """The node's answer sets out."""
        world, asked = self.server.simulation, self._request
        if asked is None:
            return
        if result is not Result.RESET:
            world.on_node_reply(self.node, asked, result, note)
        if world.network.draw_break():
            result = Result.RESET
        self._after_latency(lambda: self._on_reply_arrived(asked, result, note))

    def _on_reply_arrived(self, request: NodeRequest, result: Result, note: int) -> None:
        if request is self._request and self.server.is_reachable_from(self.zone):
            self._send_response(_encode_response(self.node, request, result, note), result)

    def _send_response(self, data: bytes, result: Result) -> None:
        self.run_guarded(lambda: self.server.send_response(self, data, result))

    def finish_attempt(self, result: Result) -> None:
        """The attempt in hand has its end, as seen from here."""
        attempt, self.attempt, self._request = self.attempt, None, None
        if attempt is not None:
            attempt.ended_at, attempt.result = self.server.simulation.real_time_kernel.now(), result
        self.idle_since = self.server.simulation.real_time_kernel.now()
        if not self._keep_alive and not self.stream.has_unwritten():
            self.stream.shutdown_write()
        elif self._pipelined:
            self.server.simulation.call_after(0.0, self._start_next_request)

    def _on_peer_closed(self) -> None:
        """The router has closed the connection, or it broke."""
        self._cancel_request(Result.CANCELLED)
        self.close()

    def _cancel_request(self, result: Result) -> None:
        """Nobody waits for what is in hand any more."""
        asked = self._request
        if asked is not None:
            self.node.on_cancelled(asked)
        self._keep_alive = True  # nothing is to be ended any more
        self.finish_attempt(result)

    def reset(self) -> None:
        """Close it such that the other side gets a reset."""
        if self.stream.is_open:
            with contextlib.suppress(OSError):
                self.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
            self.close()

    def close(self) -> None:
        """Close it."""
        if self.stream.is_open:
            self._pipelined.clear()
            if self.attempt is not None:
                self._cancel_request(Result.RESET)
            self.stream.close()
            self.server.connections.pop(self, None)
            if self._has_slot and self._epoch == self.node.epoch:
                self.node.disconnect()


def _encode_response(node: SimulatedNode, request: NodeRequest, result: Result, note: int) -> bytes:
    """An answer as it goes out; also where only a part of it will."""
    extra = ((b"Srv-Cache", b"hit" if note == CACHE_HIT else b"miss"),) if note else ()
    if result in (Result.OK, Result.RESET):
        return encode_response(200, b"" if request.write else b"v" * request.size, extra)
    if result is Result.MISS:
        return encode_response(404, b"", extra)
    if result is Result.BUSY:
        return encode_response(503, b"", (DECLINED,))
    return encode_response(500)

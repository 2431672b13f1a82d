"""Serves a node of the model on sockets."""

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
DECLINED_HEADER = (b"Srv-Declined", b"1")
_LINGER_RESET = struct.pack("ii", 1, 0)  # value of SO_LINGER with which a close resets the connection


class NodeServer:
    """The server of a cache node or of the origin.

    The server has a listener for each zone of routers, so that a partition also affects new connections.
    """

    def __init__(self, simulation: LiveContext, node: SimulatedNode) -> None:
        self.simulation = simulation
        self.node = node
        self.refusal_count = 0  # number of active faults that refuse connections
        # shares of responses, one for each active fault; the largest one applies
        self.garbage_shares: list[float] = []
        self.drip_shares: list[float] = []
        self.connections: dict[NodeConnection, None] = {}
        zones = range(len(simulation.experiment.zones))
        self.listeners: list[ControllableListener] = [
            ControllableListener(simulation.loop, self._accept_handler(zone)) for zone in zones
        ]
        self._fault_stream = UniformStream(simulation.seed, f"answers of {node.uid}")

    def update_listeners(self) -> None:
        """Set the state of the listeners according to the state of the node."""
        node = self.node
        is_shut = not node.machine.up or node.state is Status.REMOVED or self.refusal_count > 0
        for zone, listener in enumerate(self.listeners):
            if is_shut:
                listener.set_state("shut")
            else:
                listener.set_state("open" if self.is_reachable_from(zone) else "mute")

    def is_reachable_from(self, zone: int) -> bool:
        """Return whether the network connects the node with a zone and the node is not silent."""
        return not self.node.silent and self.simulation.network.is_connected(zone, self.node.zone)

    def close_idle(self, now: float) -> None:
        """Close connections that have been idle for `CONNECTION_IDLE_MS`; `now` is the time of the run."""
        if self.node.silent:
            return
        for connection in list(self.connections):
            if connection.is_idle() and now - connection.idle_since >= CONNECTION_IDLE_MS:
                connection.close()

    def reset_all(self) -> None:
        """Refuse new connections and reset all others, as after the end of a process."""
        for listener in self.listeners:
            listener.set_state("shut")
        for connection in list(self.connections):
            connection.reset()

    def close(self) -> None:
        """Close all listeners and connections."""
        for listener in self.listeners:
            listener.close()
        for connection in list(self.connections):
            connection.close()

    def _accept_handler(self, zone: int) -> Callable[[socket.socket], None]:
        return lambda sock: self.simulation.real_time_kernel.run_synced(
            lambda: self._on_connection(sock, zone)
        )

    def _on_connection(self, sock: socket.socket, zone: int) -> None:
        """Handle a new connection of a router in a zone."""
        with contextlib.suppress(OSError):  # the peer has already disconnected
            connection = NodeConnection(self, sock, zone)
            self.connections[connection] = None
            if not self.node.machine.up:  # this connection made the node crash
                connection.reset()

    def send_response(self, connection: NodeConnection, data: bytes, result: Result) -> None:
        """Send a response, with the faults that are active.

        Raises:
            OSError: the connection broke.
        """
        losses = response_faults.CONNECTION_LOSSES
        garbage_share = max(self.garbage_shares, default=0.0)
        drip_share = max(self.drip_shares, default=0.0)
        reset_share = self.node.reset_share
        draw = self._fault_stream() if garbage_share or drip_share or reset_share else 1.0
        if result is Result.RESET:
            lose_connection = losses[int(self._fault_stream() * len(losses))]
            lose_connection(connection, data)
        elif draw < garbage_share:
            response_faults.send_malformed_response(connection, int(draw * 1e6))
        elif draw < garbage_share + drip_share:
            response_faults.drip_response(connection, data, result)
        elif draw < garbage_share + drip_share + reset_share / len(losses):
            response_faults.reset_after_response(connection, data, result)
        else:
            connection.stream.send(data)
            connection.finish_attempt(result)


class NodeConnection:
    """A connection of a router to a node, which handles one request at a time."""

    def __init__(self, server: NodeServer, sock: socket.socket, zone: int) -> None:
        self.server = server
        self.node = server.node
        self.zone = zone
        self.attempt: NodeAttemptRecord | None = None
        self.idle_since: float = server.simulation.real_time_kernel.now()
        self._reader = RequestReader()
        self._pipelined: deque[HttpRequest] = deque()
        self._request: NodeRequest | None = None
        self._first_byte_at = 0.0  # when the first byte of the current request arrived
        self._keep_alive = True
        self._epoch = self.node.epoch
        self._has_slot = self.node.connect() is ConnectOutcome.ACCEPTED
        self.stream: TcpStream = TcpStream(
            server.simulation.loop, server.simulation.budget, sock, self._on_ready
        )

    def call_after(self, delay_ms: float, callback: Callable[[], None]) -> None:
        """Call `callback` after `delay_ms` milliseconds of the run."""
        self.server.simulation.call_after(delay_ms, callback)

    def is_idle(self) -> bool:
        """Return whether the connection is between requests."""
        return self.attempt is None and not self._reader.is_in_request

    def _on_ready(self, mask: int) -> None:
        self.server.simulation.real_time_kernel.run_synced(
            lambda: self.run_guarded(lambda: self._handle_io(mask))
        )

    def run_guarded(self, step: Callable[[], None]) -> None:
        """Run a step, and close the connection if the step fails."""
        try:
            step()
            if self.stream.is_open:
                self.stream.set_events(READ | (WRITE if self.stream.has_unwritten() else 0))
        except OSError:
            self._on_peer_closed()
        except Exception as error:
            # close the connection: its socket may stay ready and raise the same error again and again
            self.server.simulation.loop.fault_count += 1
            log_exception(logger, "node_server_fault", error, node=self.node.uid)
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
        """Handle a complete request."""
        simulation = self.server.simulation
        name = message.header_text(b"req-id")
        self._keep_alive = message.keep_alive
        self.attempt = simulation.record_attempt(self.node, self.zone, name, self._first_byte_at)
        if not self.server.is_reachable_from(self.zone):
            return
        if not name:
            self._send_response(encode_response(400), Result.INVALID)
        elif not self._has_slot:
            self._keep_alive = False
            self._send_response(
                encode_response(503, b"", (DECLINED_HEADER, (b"Connection", b"close"))), Result.BUSY
            )
        else:
            request = simulation.to_node_request(self.node, message, name, self._on_reply)
            self._request = request
            self._after_latency(lambda: self._on_request_arrived(request))

    def _after_latency(self, callback: Callable[[], None]) -> None:
        """Call back after the latency of one message."""
        simulation = self.server.simulation
        simulation.call_after(simulation.network.latency(self.zone, self.node.zone), callback)

    def _on_request_arrived(self, request: NodeRequest) -> None:
        if not request.finished:
            self.node.on_request(request)

    def _on_reply(self, result: Result, cache_status: int) -> None:
        """Handle the reply of the node."""
        simulation = self.server.simulation
        request = self._request
        if request is None:
            return
        if result is not Result.RESET:
            simulation.on_node_reply(self.node, request, result, cache_status)
        if simulation.network.draw_break():
            result = Result.RESET
        self._after_latency(lambda: self._on_reply_arrived(request, result, cache_status))

    def _on_reply_arrived(self, request: NodeRequest, result: Result, cache_status: int) -> None:
        if request is self._request and self.server.is_reachable_from(self.zone):
            self._send_response(_encode_response(request, result, cache_status), result)

    def _send_response(self, data: bytes, result: Result) -> None:
        self.run_guarded(lambda: self.server.send_response(self, data, result))

    def finish_attempt(self, result: Result) -> None:
        """Record the end of the current attempt, and start the next pipelined request."""
        attempt = self.attempt
        self.attempt = None
        self._request = None
        if attempt is not None:
            attempt.ended_at = self.server.simulation.real_time_kernel.now()
            attempt.result = result
        self.idle_since = self.server.simulation.real_time_kernel.now()
        if not self._keep_alive and not self.stream.has_unwritten():
            self.stream.shutdown_write()
        elif self._pipelined:
            self.server.simulation.call_after(0.0, self._start_next_request)

    def _on_peer_closed(self) -> None:
        """Handle a connection that the router closed or that failed."""
        self._cancel_request(Result.CANCELLED)
        self.close()

    def _cancel_request(self, result: Result) -> None:
        """Cancel the current request."""
        request = self._request
        if request is not None:
            self.node.on_cancelled(request)
        self._keep_alive = True  # so that finish_attempt does not shut down the sending half
        self.finish_attempt(result)

    def reset(self) -> None:
        """Close the connection with a reset."""
        if self.stream.is_open:
            with contextlib.suppress(OSError):
                self.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
            self.close()

    def close(self) -> None:
        """Close the connection."""
        if self.stream.is_open:
            self._pipelined.clear()
            if self.attempt is not None:
                self._cancel_request(Result.RESET)
            self.stream.close()
            self.server.connections.pop(self, None)
            if self._has_slot and self._epoch == self.node.epoch:
                self.node.disconnect()


def _encode_response(request: NodeRequest, result: Result, cache_status: int) -> bytes:
    """Return the bytes of a response, complete even if a fault will send only part of them."""
    cache_header = ((b"Srv-Cache", b"hit" if cache_status == CACHE_HIT else b"miss"),) if cache_status else ()
    if result in (Result.OK, Result.RESET):
        return encode_response(200, b"" if request.write else b"v" * request.size, cache_header)
    if result is Result.MISS:
        return encode_response(404, b"", cache_header)
    if result is Result.BUSY:
        return encode_response(503, b"", (DECLINED_HEADER,))
    return encode_response(500)

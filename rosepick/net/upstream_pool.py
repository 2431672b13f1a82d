"""Pool of connections to upstreams."""

from __future__ import annotations

import errno
import logging
from collections import OrderedDict

from ..attempt_timeouts.connect_timeout import ConnectTimeout
from ..connections.descriptor_budget import DescriptorUse
from ..connections.keep_alive import KeepAliveController
from ..core.endpoint_directory import EndpointDirectory, EndpointEntry
from ..core.engine import Engine
from ..core.request_context import UpstreamAttempt
from ..decisions.api import Result
from ..http.client_protocol import AttemptResult
from ..http.request_messages import ForwardedRequest
from ..logs import log_event
from ..settings.config import Config
from .event_loop import WRITE, EventLoop
from .resource_budget import ResourceBudget
from .tcp_stream import LOCAL_FAILURE_ERRNOS, OUT_OF_DESCRIPTORS_ERRNOS, dial
from .upstream_connection import UpstreamConnection

logger = logging.getLogger(__name__)
IDLE_TIMEOUT_FRACTION = 0.7  # maximum keep-alive time, as a fraction of an upstream's idle timeout
SWEEP_INTERVAL_MS = 500.0  # maximum interval of the checks of idle connections
MIN_SWEEP_INTERVAL_MS = 50.0  # minimum interval of the checks of idle connections
SWEEP_FRACTION = 0.25  # interval of the checks, as a fraction of the shortest keep-alive time
# Time without progress after which a partial response is malformed, as a fraction of the shortest objective.
STALL_FRACTION_OF_OBJECTIVE = 0.2
# Minimum idle time before a connection is reused: an upstream may send a second response some milliseconds
# after the first, and nothing in it tells that it is not the response to the next request.
MIN_REST_MS = 5.0
EARLY_CLOSE_MS = 100.0  # an upstream that closes an idle connection sooner does not support keep-alive
REUSE_DELAY_DURATION_MS = 60_000.0  # how long the reuse of idle connections is delayed after an early close
REUSE_DELAY_FACTOR = 1.2  # reuse delay, as a multiple of the idle time at the early close
MAX_TRACKED_ENDPOINTS = 4_096  # maximum number of addresses with a connect timeout of their own


def _body_was_consumed(payload: object) -> bool:
    """Return whether part of a streamed request body was sent, so that the body cannot be sent again."""
    assert isinstance(payload, ForwardedRequest)
    return payload.body_stream is not None and payload.body_stream.is_partly_read


class UpstreamPool:
    """Holds all connections to upstreams, and starts attempts on them."""

    def __init__(
        self, loop: EventLoop, budget: ResourceBudget, endpoint_directory: EndpointDirectory, config: Config
    ) -> None:
        self.loop = loop
        self.budget = budget
        self.endpoint_directory = endpoint_directory
        self.origin_kind = config.settings.origin_kind
        # Keyed by whether the upstream is the origin, which has its own connection limit.
        self.keep_alive = {
            is_origin: KeepAliveController(
                config.idle_timeout_ms * IDLE_TIMEOUT_FRACTION, config.settings.routers
            )
            for is_origin in (False, True)
        }
        self.apply(config)
        # adaptive timeouts by address; the most recently used is the last
        self.connect_timeouts: OrderedDict[tuple[str, int], ConnectTimeout] = OrderedDict()
        self.engine: Engine
        self.busy: dict[UpstreamAttempt, UpstreamConnection] = {}
        self.streaming: dict[UpstreamConnection, None] = {}  # busy connections whose response is streamed
        self.idle: dict[int, list[UpstreamConnection]] = {}  # by endpoint id; the most recently used last
        self.idle_by_age: OrderedDict[UpstreamConnection, None] = OrderedDict()  # the longest idle first
        # Minimum idle time in milliseconds before a connection is reused, in force until `reuse_delay_until`.
        self.reuse_delay_ms = 0.0
        self.reuse_delay_until = 0.0
        self.zone = config.settings.zone
        loop.call_after(SWEEP_INTERVAL_MS, self._close_expired_idle)

    def apply(self, config: Config) -> None:
        """Apply a changed configuration."""
        self.connect_timeout_ms = config.connect_timeout_ms
        for controller in self.keep_alive.values():
            controller.set_max_keep_alive(config.idle_timeout_ms * IDLE_TIMEOUT_FRACTION)
        shortest_objective_ms = min(entry.objective_ms for entry in config.settings.classes)
        self.stall_timeout_ms = STALL_FRACTION_OF_OBJECTIVE * shortest_objective_ms

    # ---------------------------------------------------------------------------- calls of the engine

    def start_attempt(self, attempt: UpstreamAttempt) -> None:
        """Begin an attempt on the most recently used idle connection, or on a new one."""
        request = attempt.request.payload
        assert isinstance(request, ForwardedRequest)
        if not self.may_write(attempt, had_to_connect=False):
            self.finish_attempt(attempt, AttemptResult(Result.NEVER_SENT))
            return
        endpoint = self.endpoint_directory.endpoints[attempt.endpoint_id]  # `may_write` implies an entry
        if endpoint.zone != self.zone:
            self.engine.counts["cross_zone_attempts"] += 1
        connection = self._take_idle(attempt.endpoint_id, self._min_rest_ms())
        if connection is None:
            try:
                connection = self._dial(endpoint)
            except OSError as error:
                connection = self._take_idle(attempt.endpoint_id, 0.0)
                if connection is None:
                    self._finish_failed_dial(attempt, error)
                    return
        self.busy[attempt] = connection
        connection.start(attempt, request)

    def _finish_failed_dial(self, attempt: UpstreamAttempt, error: OSError) -> None:
        """End an attempt whose connect failed at once; local failures do not count against the endpoint."""
        is_local = error.errno in LOCAL_FAILURE_ERRNOS
        self.engine.counts["local_connect_failures"] += is_local
        result = Result.NEVER_SENT if is_local else Result.CONNECT_FAILED
        self.finish_attempt(attempt, AttemptResult(result))

    def cancel_attempt(self, attempt: UpstreamAttempt) -> None:
        """Close the connection of an attempt; its response could be mistaken for that of a later request."""
        connection = self.busy.pop(attempt, None)
        if connection is not None:
            connection.close()

    def is_receiving(self, attempt: UpstreamAttempt) -> bool:
        """Return whether a response that may be a long one has arrived in part."""
        connection = self.busy.get(attempt)
        return connection is not None and connection.is_receiving()

    def stream_response(self, attempt: UpstreamAttempt) -> bool:
        """Begin to forward a response that has arrived in part, if it may be a long one."""
        connection = self.busy.get(attempt)
        return connection is not None and connection.stream_partial_response()

    def retire_endpoints(self, endpoint_ids: tuple[int, ...]) -> None:
        """Retire the connections to endpoints that drain, left the endpoint list or restarted.

        Idle connections are closed now, busy ones after their attempt. An attempt whose connection is not yet
        established is withdrawn, so that it does not start after the drain was announced; its request goes to
        another endpoint. The caller must notify the decision module first.
        """
        for endpoint_id in endpoint_ids:
            for connection in list(self.idle.get(endpoint_id, ())):
                connection.close()
        retired_ids = set(endpoint_ids)
        for connection in list(self.busy.values()):
            connection.retired = connection.retired or connection.endpoint_id in retired_ids
            if connection.retired and connection.is_connecting and connection.attempt is not None:
                connection.withdraw_attempt(Result.NEVER_SENT)

    def close(self) -> None:
        """Close all connections."""
        for connection in [*self.busy.values(), *self.idle_by_age]:
            connection.close()
        self.busy.clear()

    # ------------------------------------------------------------------------------ calls of connections

    def may_write(self, attempt: UpstreamAttempt, had_to_connect: bool) -> bool:
        """Return whether the first byte of an attempt may be written now."""
        entry = self.endpoint_directory.endpoints.get(attempt.endpoint_id)
        status = None if entry is None else entry.status
        is_body_consumed = _body_was_consumed(attempt.request.payload)
        return self.engine.check_write(attempt, status, had_to_connect, is_body_consumed) is None

    def finish_attempt(self, attempt: UpstreamAttempt, result: AttemptResult) -> None:
        """Report the result of an attempt to the engine."""
        self.busy.pop(attempt, None)
        self.engine.finish_attempt(
            attempt,
            result.result,
            result.cache_status,
            result.response,
            result.malformed,
            _body_was_consumed(attempt.request.payload),
        )

    def add_idle(self, connection: UpstreamConnection) -> None:
        """Keep a connection for the next attempt."""
        connection.idle_since = self.loop.now()
        self.idle.setdefault(connection.endpoint_id, []).append(connection)
        self.idle_by_age[connection] = None

    def record_early_close(self, connection: UpstreamConnection) -> None:
        """Record that an upstream closed an idle connection.

        An upstream that closes connections right after a response resets the next request on them. After such
        a close, connections are reused only after a minimum idle time.
        """
        idle_ms = self.loop.now() - connection.idle_since
        if idle_ms < EARLY_CLOSE_MS:
            self.reuse_delay_ms = max(self.reuse_delay_ms, REUSE_DELAY_FACTOR * idle_ms)
            self.reuse_delay_until = self.loop.now() + REUSE_DELAY_DURATION_MS

    def remove_idle(self, connection: UpstreamConnection) -> None:
        """Remove a connection from the idle connections, if it is idle."""
        if connection in self.idle_by_age:
            del self.idle_by_age[connection]
            connections = self.idle[connection.endpoint_id]
            connections.remove(connection)
            if not connections:  # keep no entries of endpoints without connections
                del self.idle[connection.endpoint_id]

    # ---------------------------------------------------------------------------------- connections

    def _min_rest_ms(self) -> float:
        """Return how long a connection must have been idle before it is reused, in milliseconds."""
        if self.loop.now() > self.reuse_delay_until:
            self.reuse_delay_ms = 0.0
        return max(MIN_REST_MS, self.reuse_delay_ms)

    def _take_idle(self, endpoint_id: int, min_rest_ms: float) -> UpstreamConnection | None:
        """Remove and return the most recently used idle connection that can be reused; None without one.

        Connections that the upstream has closed, or on which it sent unsolicited data, are closed.
        """
        now = self.loop.now()
        for connection in self.idle.get(endpoint_id, [])[::-1]:
            if now - connection.idle_since < min_rest_ms:
                continue
            # Usable as far as known: the upstream has neither closed it nor sent unsolicited data.
            if connection.stream.has_nothing_to_read():
                self.remove_idle(connection)
                return connection
            self.record_early_close(connection)
            connection.close()
        return None

    def _dial(self, entry: EndpointEntry) -> UpstreamConnection:
        """Begin to connect to an endpoint.

        Raises:
            OSError: the connect failed at once.
        """
        self.engine.counts["upstream_connects"] += 1
        try:
            if not self.budget.ensure_available(DescriptorUse.UPSTREAM):
                raise OSError(errno.EMFILE, "no file descriptor is left for a connection to an upstream")
            sock = dial(entry.address, self.close_oldest_idle)
        except OSError as error:
            if error.errno in OUT_OF_DESCRIPTORS_ERRNOS:
                self._log_no_descriptor(entry)
            raise
        connection = UpstreamConnection(self, entry, sock)
        timeout_ms = self.connect_timeout_for(entry.address).timeout_ms()
        connection.connect_timer = self.loop.call_after(timeout_ms, lambda: self._expire_connect(connection))
        return connection

    def _log_no_descriptor(self, entry: EndpointEntry) -> None:
        log_event(
            logger,
            logging.WARNING,
            "connect_without_descriptor",
            endpoint=entry.endpoint_id,
            open_descriptors=self.budget.used,
        )

    def connect_timeout_for(self, address: tuple[str, int]) -> ConnectTimeout:
        """Return the adaptive connect timeout of an address; the least recently used entry is evicted."""
        timeout = self.connect_timeouts.get(address)
        if timeout is None:
            timeout = self.connect_timeouts[address] = ConnectTimeout(self.connect_timeout_ms)
            if len(self.connect_timeouts) > MAX_TRACKED_ENDPOINTS:
                self.connect_timeouts.popitem(last=False)
        self.connect_timeouts.move_to_end(address)
        return timeout

    def _expire_connect(self, connection: UpstreamConnection) -> None:
        attempt = connection.attempt
        if not connection.is_connecting or not connection.stream.is_open or attempt is None:
            return
        # After a long turn of the loop, timers run before sockets are polled: the connect may have succeeded.
        if connection.stream.is_connected():
            connection.on_ready(WRITE)
        else:
            self.connect_timeout_for(connection.address).record_timeout()
            connection.withdraw_attempt(Result.CONNECT_FAILED)

    def close_oldest_idle(self) -> bool:
        """Close the connection that has been idle longest; return False if there is none."""
        for connection in self.idle_by_age:
            connection.close()
            return True
        return False

    def _close_expired_idle(self) -> None:
        """Close idle connections whose keep-alive time is over, well before the upstream closes them.

        A request on a connection that the upstream closes at the same time would fail with a reset.
        """
        shortest_ms = min(controller.keep_alive_ms for controller in self.keep_alive.values())
        interval_ms = max(MIN_SWEEP_INTERVAL_MS, min(SWEEP_INTERVAL_MS, SWEEP_FRACTION * shortest_ms))
        self.loop.call_after(interval_ms, self._close_expired_idle)
        for streaming in list(self.streaming):
            streaming.check_progress(self.loop.now())
        now = self.loop.now()
        for connection in list(self.idle_by_age):
            if now - connection.idle_since < shortest_ms:
                break
            if now - connection.idle_since >= connection.keep_alive.keep_alive_ms:
                connection.close()

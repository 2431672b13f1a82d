"""The pool of connections to upstreams."""

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
IDLE_TIMEOUT_FRACTION = 0.7  # of an upstream's own idle timeout: connections are closed here before it
SWEEP_INTERVAL_MS = 500.0  # between checks of idle connections; shorter with a short keep-alive ...
MIN_SWEEP_INTERVAL_MS = 50.0  # ... down to this
SWEEP_FRACTION = 0.25  # of the shortest keep-alive
STALL_FRACTION_OF_TARGET = 0.2  # of the shortest objective: a partial response without progress is malformed
EARLY_CLOSE_MS = 100.0  # an upstream that closes an idle connection sooner never meant to keep it
EARLY_CLOSE_CAUTION_MS = 60_000.0  # after such a close, connections rest before they are used again ...
REST_MARGIN = 1.2  # ... for so many times the age at which it was closed
MAX_TRACKED_ENDPOINTS = 4_096  # addresses whose connect timeouts are kept


def _body_was_consumed(payload: object) -> bool:
    """Whether data of a streamed request body was sent, so that it cannot be sent again."""
    assert isinstance(payload, ForwardedRequest)
    return payload.body_stream is not None and payload.body_stream.is_partly_read


class UpstreamPool:
    """All connections to upstreams."""

    def __init__(
        self, loop: EventLoop, budget: ResourceBudget, endpoint_directory: EndpointDirectory, config: Config
    ) -> None:
        self.loop = loop
        self.budget = budget
        self.endpoint_directory = endpoint_directory
        self.origin_kind = config.settings.origin_kind
        # by whether it is the origin, which has limits of its own
        self.keep_alive = {
            is_origin: KeepAliveController(
                config.idle_timeout_ms * IDLE_TIMEOUT_FRACTION, config.settings.routers
            )
            for is_origin in (False, True)
        }
        self.apply(config)
        # the most recently used last
        self.connect_timeouts: OrderedDict[tuple[str, int], ConnectTimeout] = OrderedDict()
        self.engine: Engine
        self.busy: dict[UpstreamAttempt, UpstreamConnection] = {}
        self.streaming: dict[UpstreamConnection, None] = {}  # busy ones whose response is streamed
        self.idle: dict[int, list[UpstreamConnection]] = {}  # by endpoint id; the most recently used last
        self.idle_by_age: OrderedDict[UpstreamConnection, None] = OrderedDict()  # the longest idle first
        self.min_rest_ms = 0.0  # that a connection rests before it is used again ...
        self.early_close_caution_until = 0.0  # ... up to this time
        self.zone = config.settings.zone
        loop.call_after(SWEEP_INTERVAL_MS, self._close_expired_idle)

    def apply(self, config: Config) -> None:
        """Apply another configuration."""
        self.connect_timeout_ms = config.connect_timeout_ms
        for controller in self.keep_alive.values():
            controller.set_max_keep_alive(config.idle_timeout_ms * IDLE_TIMEOUT_FRACTION)
        shortest_objective_ms = min(entry.objective_ms for entry in config.settings.classes)
        self.stall_timeout_ms = STALL_FRACTION_OF_TARGET * shortest_objective_ms

    # ---------------------------------------------------------------------------- calls of the engine

    def start_attempt(self, attempt: UpstreamAttempt) -> None:
        """Begin an attempt on the most recently used idle connection, or on a new one."""
        request = attempt.request.payload
        assert isinstance(request, ForwardedRequest)
        if not self.may_write(attempt, had_to_connect=False):
            self.finish_attempt(attempt, AttemptResult(Result.NEVER_SENT))
            return
        endpoint = self.endpoint_directory.endpoints[attempt.endpoint_id]  # listed, as it may be written to
        if endpoint.zone != self.zone:
            self.engine.counts["cross_zone_attempts"] += 1
        connection = self._take_idle(attempt.endpoint_id)
        if connection is None:
            self.engine.counts["upstream_connects"] += 1
            try:
                connection = self._dial(endpoint)
            except OSError as error:
                self._finish_failed_dial(attempt, error)
                return
        self.busy[attempt] = connection
        connection.start(attempt, request)

    def _finish_failed_dial(self, attempt: UpstreamAttempt, error: OSError) -> None:
        """End an attempt whose connect failed at once; a local failure says nothing of the endpoint."""
        is_local = error.errno in LOCAL_FAILURE_ERRNOS
        self.engine.counts["local_connect_failures"] += is_local
        result = Result.NEVER_SENT if is_local else Result.CONNECT_FAILED
        self.finish_attempt(attempt, AttemptResult(result))

    def cancel_attempt(self, attempt: UpstreamAttempt) -> None:
        """Close the attempt's connection: its response could be taken for that of the next request."""
        connection = self.busy.pop(attempt, None)
        if connection is not None:
            connection.close()

    def retire_endpoints(self, endpoint_ids: tuple[int, ...]) -> None:
        """Retire the connections to endpoints that drain, left or restarted.

        Idle ones are closed, busy ones close after their attempt. An attempt whose connection is still being
        established is withdrawn, and its request goes elsewhere: guards against beginning it after the drain
        was announced. The decision module must have been notified before.
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

        Guards against requests on connections that are closed right after a response, which end as resets:
        while that happens, connections rest before they are used again.
        """
        rest_ms = self.loop.now() - connection.idle_since
        if rest_ms < EARLY_CLOSE_MS:
            self.min_rest_ms = max(self.min_rest_ms, REST_MARGIN * rest_ms)
            self.early_close_caution_until = self.loop.now() + EARLY_CLOSE_CAUTION_MS

    def remove_idle(self, connection: UpstreamConnection) -> None:
        """Forget a connection, if it is idle."""
        if connection in self.idle_by_age:
            del self.idle_by_age[connection]
            connections = self.idle[connection.endpoint_id]
            connections.remove(connection)
            if not connections:  # guards against an entry for each endpoint that ever existed
                del self.idle[connection.endpoint_id]

    # ---------------------------------------------------------------------------------- connections

    def _take_idle(self, endpoint_id: int) -> UpstreamConnection | None:
        now = self.loop.now()
        if now > self.early_close_caution_until:
            self.min_rest_ms = 0.0
        for connection in self.idle.get(endpoint_id, [])[::-1]:
            if now - connection.idle_since < self.min_rest_ms:
                continue
            if connection.stream.has_nothing_to_read():  # still usable, as far as can be known here
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
        try:
            if not self.budget.ensure_available(DescriptorUse.UPSTREAM):
                raise OSError(errno.EMFILE, "no descriptor for an upstream")
            sock = dial(entry.address, self.close_oldest_idle)
        except OSError as error:
            if error.errno in OUT_OF_DESCRIPTORS_ERRNOS:
                self._log_no_descriptor(entry)
            raise
        connection = UpstreamConnection(self, entry, sock)
        timeout_ms = self.connect_timeout_for(entry.address).timeout_ms()
        self.loop.call_after(timeout_ms, lambda: self._expire_connect(connection))
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
        """Return the adaptive timeout of connects to an address; the least recently used are forgotten."""
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
        # guards against a loop that was busy: timers run before sockets are polled
        if connection.stream.is_connected():
            connection.on_ready(WRITE)
        else:
            self.connect_timeout_for(connection.address).record_timeout()
            connection.withdraw_attempt(Result.CONNECT_FAILED)

    def close_oldest_idle(self) -> bool:
        """Close the connection that was idle for longest; return False if there is none."""
        for connection in self.idle_by_age:
            connection.close()
            return True
        return False

    def _close_expired_idle(self) -> None:
        """Close connections that were idle for long, well before the upstream does.

        A request on a connection that the upstream has closed would end as a reset.
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

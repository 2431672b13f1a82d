"""One router process: all parts put together, and its end."""

from __future__ import annotations

import gc
import logging
import resource
import signal
import time
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from ..connections.connection_table import CloseReason, ConnectionState
from ..connections.eviction import NEW_CONNECTION_GRACE_MS
from ..core.endpoint_directory import EndpointDirectory
from ..core.engine import Engine
from ..core.observed_engine import ObservedEngine
from ..decisions import api
from ..decisions.decide import Router
from ..logs import log_event
from ..ops.line_protocol import AdminReply
from ..ops.telemetry import TelemetrySnapshot
from ..settings import config
from ..settings.config import Config, ConfigError
from ..settings.operator_file import OperatorFile, OperatorFileError, OperatorOptions
from ..settings.reader import SettingsReader
from .downstream_connection import DownstreamConnection
from .endpoint_watch import EndpointWatch
from .event_loop import EventLoop
from .listener import Listener
from .listener_config import listener_config
from .resource_budget import ResourceBudget
from .upstream_pool import UpstreamPool

if TYPE_CHECKING:
    from .admin_listener import AdminListener
    from .batch_listener import BatchListener
    from .capture_output import CaptureOutput
    from .process_handover import ProcessHandover  # each is loaded only where it is on
    from .tls import TlsServer

logger = logging.getLogger(__name__)
MIN_ACCEPT_AFTER_SIGTERM_MS = 600.0  # after SIGTERM new connections are taken for at least so long ...
QUIET_BEFORE_CLOSE_MS = 150.0  # ... and until none came for so long
MAX_ACCEPT_AFTER_SIGTERM_MS = 1_000.0  # ... but for no longer than this
SHUTDOWN_GRACE_MS = 100.0  # after the longest deadline from there the process ends, whoever still lingers
SHUTDOWN_POLL_INTERVAL_MS = 20.0
SUMMARY_INTERVAL_MS = 5_000.0


class RouterServer:
    """The parts of one router."""

    def __init__(
        self,
        config: Config,
        loop: EventLoop | None = None,
        reload_config: Callable[[], Config] | None = None,
        operator_settings: OperatorOptions | None = None,
    ) -> None:
        self.config = config
        self._read_config = reload_config or (lambda: config)
        self.operator_settings = operator_settings or OperatorOptions()
        self.initial_operator_file = self.operator_settings.file
        self.loop = loop = loop or EventLoop()
        self.reloads_succeeded = self.reloads_failed = 0
        self.handover = self._make_handover() if config.listen_fd is not None else None
        self.endpoint_directory = EndpointDirectory(config.names, time.time() * 1000.0 - loop.now())
        known = self.endpoint_directory.apply_update(config.known, is_cached=True)
        self.budget = ResourceBudget(
            self._descriptor_limit(),
            self._memory_mb(),
            0.01 * self.operator_settings.file.integer("doors_part"),
        )
        self.capture = self._make_capture() if self.operator_settings.capture_enabled else None
        self.engine = self._make_engine()
        self.pool = UpstreamPool(loop, self.budget, self.endpoint_directory, config)
        self.endpoint_watch = EndpointWatch(
            loop,
            self.budget,
            config.discovery,
            lambda: self.endpoint_directory.revision,
            self._apply_endpoint_list,
            self._on_discovery_failed,
        )
        self.pool.engine = self.engine
        self.engine.upstream, self.engine.endpoint_source = self.pool, self.endpoint_watch
        self.listener = Listener(
            loop,
            self.budget,
            self.engine,
            config.names,
            config.listen,
            listener_config(self.operator_settings.file),
            self._descriptor_limit(),
            config.listen_fd,
        )
        file = self.operator_settings.file
        self.tls = self._make_tls() if file.optional_integer("tls_listen") is not None else None
        self.batch_listener = (
            self._make_batch_listener() if file.optional_integer("multiget_listen") is not None else None
        )
        # Connections to next hops cost work to open again, so the sender side's go first that are hardly
        # missed.
        self.budget.reclaimers = [
            partial(self.listener.evict_one, False),
            self.pool.close_oldest_idle,
            self.listener.evict_one,
        ]
        self.budget.on_release = self.listener.resume_after_free
        self.engine.update_endpoints(known.event)
        self.admin_listener = self._make_admin_listener(config.ops) if config.ops is not None else None
        self._shutdown_started_at = 0.0

    def _make_handover(self) -> ProcessHandover:
        """What goes on beside this process, where the platform holds the clients' socket."""
        from .process_handover import ProcessHandover

        return ProcessHandover(self.loop, self.config.listen)

    def _make_admin_listener(self, address: tuple[str, int]) -> AdminListener:
        """The operators' door."""
        from .admin_listener import AdminListener

        return AdminListener(
            self.loop, address, {"readyz": self._answer_readyz, "telemetry": self._answer_telemetry}
        )

    def _answer_readyz(self) -> AdminReply:
        if self.listener.is_serving():
            return AdminReply(True, "ready")
        return AdminReply(False, "ending" if self.listener.is_shutting_down else "no list from discovery yet")

    def _answer_telemetry(self) -> AdminReply:
        return AdminReply(True, self.telemetry().line(), ("END",), is_document=True)

    def telemetry(self) -> TelemetrySnapshot:
        """What the router reports of itself."""
        engine, module = self.engine, self.engine.router
        down = module.count_avoided() if isinstance(module, Router) else 0
        return TelemetrySnapshot(
            self._class_names(),
            engine.request_counters.counts_by_outcome(),
            engine.rejected_by_class,
            engine.written_attempts_by_class,
            engine.pending_count,
            len(self.endpoint_directory.endpoints),
            down,
            self.reloads_succeeded,
            self.reloads_failed,
        )

    def _class_names(self) -> dict[int, str]:
        """Of every class that there is or was, by place."""
        return {place: name for name, place in self.config.names.all_classes().items()}

    def _descriptor_limit(self) -> int:
        """How many descriptors this process may hold: what the operators' door needs is set aside, and what
        other processes of this router hold is theirs.
        """
        limit = _max_descriptors(self.config)
        if self.config.ops is not None:
            from .admin_listener import RESERVED_DESCRIPTORS

            limit -= RESERVED_DESCRIPTORS
        return limit if self.handover is None else self.handover.process_share.descriptor_share(limit)

    def _memory_mb(self) -> float:
        """How many MB are this process's."""
        amount = self.config.memory_mb
        return amount if self.handover is None else self.handover.process_share.memory_share(amount)

    def _on_processes_changed(self) -> None:
        """Another process of this router came, went, or holds something else."""
        self._apply_limits()
        self._start_if_due()

    def _start_if_due(self) -> None:
        """Take clients, once that is right."""
        waits = self.handover is not None and not self.handover.process_share.may_accept_clients()
        if not (self.listener.has_started or self.listener.is_shutting_down or waits):
            self.listener.start()
            host, port = self.listener.sock.getsockname()[:2]
            log_event(logger, logging.INFO, "serving", name=self.config.name, listen=f"{host}:{port}")

    def _make_capture(self) -> CaptureOutput:
        from .capture_output import CaptureOutput

        return CaptureOutput(
            self.loop,
            self.operator_settings.file,
            self.config.names,
            self.config.seed,
            self.endpoint_directory.unix_offset_ms,
            self.endpoint_directory.uid_of,
        )

    def _make_tls(self) -> TlsServer:
        """The second door, for those who come by TLS."""
        from .tls import TlsServer

        port = self.operator_settings.file.optional_integer("tls_listen")
        assert port is not None
        tls = TlsServer(self.loop, self.operator_settings.file)
        door = self.listener.add_listen_socket("tls", (self.config.listen[0], port), tls.make_stream)
        host, port = door.sock.getsockname()[:2]
        log_event(
            logger,
            logging.INFO,
            "tls_serving",
            listen=f"{host}:{port}",
            certificate=tls.certificate_fingerprint(),
        )
        return tls

    def _make_batch_listener(self) -> BatchListener:
        """The door for batches."""
        from .batch_listener import BatchListener

        port = self.operator_settings.file.optional_integer("multiget_listen")
        assert port is not None
        made = BatchListener(
            self.loop,
            self.budget,
            self.listener,
            port,
            lambda: self.operator_settings.file.integer("multiget_max_keys"),
        )
        host, port = made.listen_socket.sock.getsockname()[:2]
        log_event(logger, logging.INFO, "batch_serving", listen=f"{host}:{port}")
        return made

    def _make_engine(self) -> Engine:
        settings, seed = self.config.settings, self.config.seed
        if self.capture is None:
            return Engine(settings, seed, self.loop)
        return ObservedEngine(settings, seed, self.loop, self.capture.recorder)

    def run(self) -> None:
        """Serve until told to end and nothing is owed."""
        calls: dict[int, Callable[[], None]] = {
            signal.SIGTERM: self.end,
            signal.SIGINT: self.end,
            signal.SIGHUP: self.reload,
        }
        if self.capture is not None:
            calls[signal.SIGUSR2] = self.capture.dump
        self.loop.add_signal_handlers(calls)
        self.loop.call_after(SUMMARY_INTERVAL_MS, self._log_summary)
        # what was made up to here stays: collections look at what is new only, and seldom
        gc.collect()
        gc.freeze()
        gc.set_threshold(20_000, 20, 50)
        self.start_serving()
        self.loop.run()
        self._log_summary()
        self.close()
        log_event(logger, logging.INFO, "shutdown_completed", name=self.config.name)

    def start_serving(self) -> None:
        """Serve from now on, or once it is this process's turn."""
        if self.handover is not None:
            self.handover.follow(
                self.engine.router,
                lambda: self.budget.used,
                self.listener.is_serving,
                self._on_processes_changed,
            )
        self._start_if_due()

    def close(self) -> None:
        """Let go of every socket."""
        self.listener.close()
        for link in list(self.listener.connections):
            link.close(CloseReason.SHUTDOWN)
        self.pool.close()
        self.endpoint_watch.set_watching(False)
        if self.admin_listener is not None:
            self.admin_listener.close()
        if self.handover is not None:
            self.handover.close()
        if self.capture is not None:
            self.capture.close()
        self.loop.close()

    # ------------------------------------------------------------------------------------- discovery

    def _apply_endpoint_list(self, document: SettingsReader) -> None:
        change = self.endpoint_directory.apply_update(document)
        log_event(
            logger,
            logging.INFO,
            "endpoints_updated",
            revision=change.event.version,
            scope=change.event.scope.value,
            entries=len(change.event.endpoints),
            endpoints=len(self.endpoint_directory.endpoints),
        )
        self.engine.update_endpoints(change.event)
        self.pool.retire_endpoints(change.retired_endpoint_ids)
        if self.handover is not None:
            self.handover.process_share.endpoint_list_received = True
        self._start_if_due()

    def _on_discovery_failed(self) -> None:
        self.engine.update_endpoints(api.EndpointUpdate(api.UpdateScope.FAILED))

    # ------------------------------------------------------------------------------ a new configuration

    def reload(self) -> None:
        """SIGHUP: read both files again; a fault in one does not hold up the other."""
        self._reload_config()
        if self.operator_settings.reload is not None:
            self._reload_operators(self.operator_settings.reload)
        self._apply_limits()

    def _reload_operators(self, reread: Callable[[], OperatorFile]) -> None:
        """Apply what a running router can of the operators' file."""
        try:
            found = reread()
        except OperatorFileError as problem:
            for fault in problem.faults:
                log_event(logger, logging.ERROR, "operator_file_failed", text=fault)
            return
        before, self.operator_settings.file = self.operator_settings.file, found
        waiting = [s.name for s in self.initial_operator_file.changed_settings(found) if not s.is_reloadable]
        log_event(
            logger,
            logging.INFO,
            "operator_file_reloaded",
            changed=",".join(s.name for s in before.changed_settings(found)) or "nothing",
            needs_restart=",".join(waiting) or "nothing",
        )
        if self.tls is not None and found.text("tls_cert") is not None:
            self.tls.reload(found)

    def _reload_config(self) -> None:
        """Read the configuration again and apply what a running router can. All of it is checked first;
        guards against a half-written file that takes a serving router down.
        """
        try:
            told = self._read_config()
            EndpointDirectory(told.names, 0.0).apply_update(told.known, is_cached=True)
            renewed = config.merge_reload(self.config, told)
        except (ConfigError, ValueError) as problem:
            self.reloads_failed += 1
            log_event(logger, logging.ERROR, "config_reload_failed", text=problem)
            return
        self.reloads_succeeded += 1
        before, self.config = self.config, renewed
        host, port = told.discovery
        log_event(
            logger,
            logging.INFO,
            "config_reloaded",
            discovery=f"{host}:{port}",
            max_descriptors=told.max_descriptors,
            classes=",".join(renewed.names.classes),
            max_attempts=renewed.settings.limits.max_attempts,
            needs_restart=",".join(config.settings_needing_restart(before, told)) or "nothing",
        )
        self.listener.names = renewed.names
        self.pool.apply(renewed)
        if self.capture is not None:
            self.capture.recorder.set_names(renewed.names)
        if renewed.settings != before.settings:
            self.engine.reconfigure(renewed.settings)
        if told.discovery != before.discovery:
            self.endpoint_watch.switch_discovery(told.discovery)

    def _apply_limits(self) -> None:
        """Apply the limit of descriptors, and what the operators set for connections."""
        self.budget.downstream_fraction = 0.01 * self.operator_settings.file.integer("doors_part")
        self.budget.resize(self._descriptor_limit())
        self.budget.set_memory(self._memory_mb())
        self.listener.apply(listener_config(self.operator_settings.file), self._descriptor_limit())

    # --------------------------------------------------------------------------------------- its end

    def end(self) -> None:
        """SIGTERM: go on accepting and answering while connections still arrive, end when nothing is owed."""
        if self.listener.is_shutting_down:
            return
        log_event(
            logger,
            logging.INFO,
            "shutdown_started",
            pending_requests=self.engine.pending_count,
            connections=len(self.listener.connections),
        )
        self.listener.is_shutting_down = True
        if self.listener.shares_inherited_socket:
            self.listener.close()  # what waits there is the new process's
        self._shutdown_started_at = self.loop.now()
        self.loop.call_after(MIN_ACCEPT_AFTER_SIGTERM_MS, self._continue_shutdown)

    def _continue_shutdown(self) -> None:
        now = self.loop.now()
        for link in [
            link
            for link in self.listener.connections
            if link.is_idle() and not self._may_have_request_coming(link, now)
        ]:
            link.close_gracefully(CloseReason.SHUTDOWN)
        longest = max(klass.deadline_ms for klass in self.config.settings.classes)
        if self.listener.is_open and self._may_stop_accepting(now, longest):
            self.listener.close()
        over = now - self._shutdown_started_at >= MAX_ACCEPT_AFTER_SIGTERM_MS + longest + SHUTDOWN_GRACE_MS
        if over or not (self.listener.is_open or self.engine.pending_count or self.listener.connections):
            self.listener.close()
            self.loop.stop()
        else:
            self.loop.call_after(SHUTDOWN_POLL_INTERVAL_MS, self._continue_shutdown)

    @staticmethod
    def _may_have_request_coming(connection: DownstreamConnection, now: float) -> bool:
        """Whether a connection has come just now and its request may be on the way. Guards against a request
        that is lost as it was written while its connection was closed.
        """
        return (
            connection.record.state is ConnectionState.NEW
            and now - connection.record.ready_at < NEW_CONNECTION_GRACE_MS
        )

    def _may_stop_accepting(self, now: float, longest: float) -> bool:
        """Whether to stop accepting. Not before batches have their parts, which come over this door too; they
        must be through when any request must.
        """
        spent = now - self._shutdown_started_at
        if self.batch_listener is not None and self.batch_listener.is_active() and spent < longest:
            self.batch_listener.shorten_deadlines(self._shutdown_started_at + longest)
            return False
        return (
            now - self.listener.last_accepted_at >= QUIET_BEFORE_CLOSE_MS
            or spent >= MAX_ACCEPT_AFTER_SIGTERM_MS
        )

    def _log_summary(self) -> None:
        """A line of counts, and one a class of how its envelopes ended and why."""
        self.loop.call_after(SUMMARY_INTERVAL_MS, self._log_summary)
        counts = dict(sorted(self.engine.totals().items()))
        log_event(
            logger,
            logging.INFO,
            "counters",
            pending_requests=self.engine.pending_count,
            open_descriptors=self.budget.used,
            rejected_requests=self.listener.rejected_count,
            event_loop_faults=self.loop.fault_count,
            admin_clients=self.admin_listener.connection_count if self.admin_listener is not None else 0,
            **counts,
        )
        worths = {place: one.worth for place, one in enumerate(self.config.settings.classes)}
        for line in self.engine.request_counters.iter_log_fields(self._class_names(), worths):
            log_event(logger, logging.INFO, "request_outcomes", **line)
        self.listener.log_summary()


def _max_descriptors(config: Config) -> int:
    """How many descriptors there are: by the configuration, and by the process's own limit."""
    return min(config.max_descriptors, resource.getrlimit(resource.RLIMIT_NOFILE)[0])

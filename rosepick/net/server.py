"""One router process: its components, their configuration and its shutdown."""

from __future__ import annotations

import gc
import logging
import resource
import signal
import time
from collections.abc import Callable
from functools import partial
from math import inf

from ..connections.connection_table import CloseReason
from ..core.endpoint_directory import EndpointDirectory
from ..core.engine import Engine
from ..core.invariants import violation_counts
from ..core.observed_engine import ObservedEngine
from ..decisions import api
from ..decisions.decide import Router
from ..decisions.permissions import Denial, StartFacts, check_start
from ..logs import log_event
from ..ops.line_protocol import AdminReply
from ..ops.telemetry import TelemetrySnapshot
from ..settings.config import Config, ConfigError, merge_reload, settings_needing_restart
from ..settings.operator_file import OperatorFile, OperatorFileError, OperatorOptions
from ..settings.reader import SettingsReader
from .endpoint_watch import EndpointWatch
from .event_loop import EventLoop
from .graceful_shutdown import GracefulShutdown
from .list_slices import EndpointListSlices
from .listener import Listener
from .listener_config import listener_config
from .optional_parts import (
    make_admin_listener,
    make_batch_listener,
    make_capture,
    make_handover,
    make_tls,
    reserved_descriptors,
)
from .resource_budget import ResourceBudget
from .server_log import changed_uid_fields, log_counters, log_outcomes, log_rules
from .upstream_pool import UpstreamPool

logger = logging.getLogger(__name__)
START_POLL_INTERVAL_MS = 25.0  # interval of the checks whether clients may be accepted
SUMMARY_INTERVAL_MS = 5_000.0
GC_THRESHOLDS = (20_000, 20, 50)  # collections are rare, because few allocated objects form reference cycles


class RouterServer:
    """All components of one router; the constructor opens the listening sockets but accepts no connection.

    Args:
        config: the configuration.
        loop: the event loop; None creates one.
        reload_config: rereads the configuration; without it, the configuration never changes.
        operator_settings: the operator file and its options.

    Raises:
        OSError: a listening socket cannot be opened.
        TlsError: the TLS settings cannot be used.
    """

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
        self.reloads_succeeded = 0
        self.reloads_failed = 0
        self._started_at = loop.now()
        self._list_received = False  # whether discovery has sent a list since the start
        self._listed_at = self._started_at  # when the latest list or change arrived from discovery
        self._awaits_list = False  # whether clients are accepted only after a list or a timeout
        self.handover = make_handover(loop, config)
        self.endpoint_directory = EndpointDirectory(config.names, time.time() * 1000.0 - loop.now())
        known_endpoints = self.endpoint_directory.apply_update(config.known, is_cached=True)
        self.budget = ResourceBudget(self._descriptor_limit(), self._memory_mb(), self._downstream_fraction())
        self.capture = make_capture(loop, config, self.operator_settings, self.endpoint_directory)
        self.engine = self._make_engine()
        self._list_slices = EndpointListSlices(loop, self._apply_list_slice)
        self.pool = UpstreamPool(loop, self.budget, self.endpoint_directory, config)
        self.endpoint_watch = self._make_endpoint_watch()
        self.pool.engine = self.engine
        self.engine.upstream = self.pool
        self.engine.endpoint_source = self.endpoint_watch
        self.listener = self._make_listener()
        self.tls = make_tls(loop, self.listener, config.listen[0], self.operator_settings)
        self.batch_listener = make_batch_listener(loop, self.budget, self.listener, self.operator_settings)
        self._share_descriptors()
        self.engine.update_endpoints(known_endpoints.event)
        self.admin_listener = make_admin_listener(
            loop, config, {"readyz": self._answer_readyz, "telemetry": self._answer_telemetry}
        )
        self._shutdown = GracefulShutdown(
            loop, self.listener, self.engine, self.batch_listener, self._longest_deadline_ms
        )

    def _make_engine(self) -> Engine:
        settings, seed = self.config.settings, self.config.seed
        if self.capture is None:
            return Engine(settings, seed, self.loop)
        return ObservedEngine(settings, seed, self.loop, self.capture.recorder)

    def _make_endpoint_watch(self) -> EndpointWatch:
        """Return the watch of the endpoint list, which polls discovery once the engine enables it."""
        return EndpointWatch(
            self.loop,
            self.budget,
            self.config.discovery,
            lambda: self.endpoint_directory.revision,
            self._apply_endpoint_list,
            self._on_list_unchanged,
            self._on_discovery_failed,
        )

    def _make_listener(self) -> Listener:
        return Listener(
            self.loop,
            self.budget,
            self.engine,
            self.config.names,
            self.config.listen,
            listener_config(self.operator_settings.file),
            self._descriptor_limit(),
            self.config.listen_fd,
            None if self.handover is None else self.handover.open_request_ids(),
        )

    def _share_descriptors(self) -> None:
        """Set the order in which descriptors are reclaimed, and resume accepting after a release."""
        # Connections to upstreams are expensive to reopen, so client connections of low value are closed
        # first.
        self.budget.reclaimers = [
            partial(self.listener.evict_one, False),
            self.pool.close_oldest_idle,
            self.listener.evict_one,
        ]
        self.budget.on_release = self.listener.resume_after_free

    # ------------------------------------------------------------------------- answers to operators

    def _answer_readyz(self) -> AdminReply:
        if self.listener.is_serving():
            return AdminReply(True, "ready")
        return AdminReply(False, "ending" if self.listener.is_shutting_down else "no list from discovery yet")

    def _answer_telemetry(self) -> AdminReply:
        return AdminReply(True, self.telemetry().line(), ("END",), is_document=True)

    def telemetry(self) -> TelemetrySnapshot:
        """Return a snapshot of the router's counters."""
        engine = self.engine
        module = engine.router
        avoided_count = module.count_avoided() if isinstance(module, Router) else 0
        return TelemetrySnapshot(
            self._class_names(),
            engine.request_counters.counts_by_outcome(),
            engine.rejected_by_class,
            engine.written_attempts_by_class,
            engine.pending_count,
            len(self.endpoint_directory.endpoints),
            avoided_count,
            self.reloads_succeeded,
            self.reloads_failed,
            sum(violation_counts.values()),
        )

    def _class_names(self) -> dict[int, str]:
        """Return the names of all current and former request classes, by index."""
        return {index: name for name, index in self.config.names.all_classes().items()}

    # ------------------------------------------------------------------------------- shares and limits

    def _descriptor_limit(self) -> int:
        """Return how many descriptors this process may use for clients and upstreams.

        Descriptors are reserved for the admin listener, and other processes of this router use their shares.
        """
        limit = _max_descriptors(self.config) - reserved_descriptors(self.config)
        return limit if self.handover is None else self.handover.process_share.descriptor_share(limit)

    def _memory_mb(self) -> float:
        """Return the memory share of this process, in MB."""
        memory_mb = self.config.memory_mb
        return memory_mb if self.handover is None else self.handover.process_share.memory_share(memory_mb)

    def _downstream_fraction(self) -> float:
        """Return the fraction of the descriptors that clients may use."""
        return 0.01 * self.operator_settings.file.integer("doors_part")

    def _longest_deadline_ms(self) -> float:
        return max(entry.deadline_ms for entry in self.config.settings.classes)

    def _on_processes_changed(self) -> None:
        """Apply this process's share after the set of processes of this router has changed."""
        self._apply_limits()
        self._start_if_due()

    # -------------------------------------------------------------------------------------- serving

    def _start_if_due(self) -> None:
        """Start to accept clients, if all start conditions are met."""
        if self.listener.has_started or self.listener.is_shutting_down:
            return
        if self._start_denial() is None and self._try_listen():
            host, port = self.listener.sock.getsockname()[:2]
            log_event(
                logger,
                logging.INFO,
                "serving",
                name=self.config.name,
                listen=f"{host}:{port}",
                revision=self.endpoint_directory.revision,
                endpoints=len(self.endpoint_directory.endpoints),
            )
            log_rules(self.config.settings)

    def _try_listen(self) -> bool:
        """Start to listen and accept; return False if listening failed, so that the caller retries."""
        try:
            self.listener.start()
        except OSError as error:  # another process bound the same address and listens already
            log_event(logger, logging.WARNING, "listen_failed", text=error)
            return False
        return True

    def _start_denial(self) -> Denial | None:
        """Return why clients may not be accepted yet; None if they may."""
        share = None if self.handover is None else self.handover.process_share
        return check_start(
            StartFacts(
                waited_ms=self.loop.now() - self._started_at if self._awaits_list else inf,
                list_received=self._list_received,
                discovery_reachable=self.endpoint_watch.is_reachable(),
                predecessor_serves=share is not None and share.has_predecessor(),
                state_settled=share is None or share.state_transfer_settled,
                shares_socket=self.listener.shares_inherited_socket,
            )
        )

    def _poll_start(self) -> None:
        """Check periodically whether clients may be accepted, until they are."""
        self._start_if_due()
        if not (self.listener.has_started or self.listener.is_shutting_down):
            self.loop.call_after(START_POLL_INTERVAL_MS, self._poll_start)

    def run(self) -> None:
        """Serve until a signal starts the shutdown and no request is pending."""
        handlers: dict[int, Callable[[], None]] = {
            signal.SIGTERM: self.end,
            signal.SIGINT: self.end,
            signal.SIGHUP: self.reload,
        }
        if self.capture is not None:
            handlers[signal.SIGUSR2] = self.capture.dump
        self.loop.add_signal_handlers(handlers)
        self.loop.call_after(SUMMARY_INTERVAL_MS, self._log_summary)
        # Current objects live until the end, so exclude them from collection; newer ones are collected
        # rarely.
        gc.collect()
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)
        self._awaits_list = True
        self.start_serving()
        self._poll_start()
        self.loop.run()
        self._log_summary()
        open_connections = len(self.listener.connections)
        self.close()
        log_event(
            logger,
            logging.INFO,
            "shutdown_completed",
            name=self.config.name,
            elapsed_ms=self._shutdown.elapsed_ms(),
            closed_connections=open_connections,
        )

    def start_serving(self) -> None:
        """Start to accept clients, or wait until other processes permit it."""
        if self.handover is not None:
            self.handover.poll_peers(
                self.engine.router,
                lambda: self.budget.used,
                self.listener.is_serving,
                self._on_processes_changed,
            )
        self._start_if_due()

    def close(self) -> None:
        """Close all sockets and files."""
        self.listener.close()
        for connection in list(self.listener.connections):
            connection.close(CloseReason.SHUTDOWN)
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

    def _apply_endpoint_list(self, document: SettingsReader, is_late: bool) -> None:
        began_at = self.loop.now()
        change = self.endpoint_directory.apply_update(document, is_late=is_late)
        self._list_slices.apply(change)
        log_event(
            logger,
            logging.INFO,
            "endpoints_updated",
            revision=change.event.version,
            scope=change.event.scope.value,
            entries=len(change.event.endpoints),
            endpoints=len(self.endpoint_directory.endpoints),
            apply_ms=self.loop.now() - began_at,
            **changed_uid_fields(change, self.endpoint_directory),
        )
        self._list_received = True
        self._listed_at = self.loop.now()
        self._start_if_due()

    def _apply_list_slice(self, event: api.EndpointUpdate, retired_endpoint_ids: tuple[int, ...]) -> None:
        self.engine.update_endpoints(event)
        self.pool.retire_endpoints(retired_endpoint_ids)

    def _on_list_unchanged(self) -> None:
        """Tell the decision module that discovery has answered, although its list is not newer."""
        self._list_slices.finish()
        revision = self.endpoint_directory.revision
        self.engine.update_endpoints(api.EndpointUpdate(api.UpdateScope.DELTA, (), revision))
        self._listed_at = self.loop.now()

    def _on_discovery_failed(self) -> None:
        self._list_slices.finish()
        self.engine.update_endpoints(api.EndpointUpdate(api.UpdateScope.FAILED))

    # ----------------------------------------------------------------------- reload of the configuration

    def reload(self) -> None:
        """Reread both configuration files (SIGHUP); an error in one file does not affect the other."""
        self._reload_config()
        if self.operator_settings.reload is not None:
            self._reload_operators(self.operator_settings.reload)
        self._apply_limits()

    def _reload_operators(self, read_file: Callable[[], OperatorFile]) -> None:
        """Reread the operator file, and apply the settings that need no restart."""
        try:
            file = read_file()
        except OperatorFileError as error:
            for fault in error.faults:
                log_event(logger, logging.ERROR, "operator_file_failed", text=fault)
            return
        before, self.operator_settings.file = self.operator_settings.file, file
        waiting = [s.name for s in self.initial_operator_file.changed_settings(file) if not s.is_reloadable]
        log_event(
            logger,
            logging.INFO,
            "operator_file_reloaded",
            changed=",".join(s.name for s in before.changed_settings(file)) or "nothing",
            needs_restart=",".join(waiting) or "nothing",
        )
        if self.tls is not None and file.text("tls_cert") is not None:
            self.tls.reload(file)

    def _reload_config(self) -> None:
        """Reread the configuration, and apply the settings that need no restart.

        The whole file is validated first, so that a partially written file does not stop a serving router.
        """
        try:
            new_config = self._read_config()
            EndpointDirectory(new_config.names, 0.0).apply_update(new_config.known, is_cached=True)
            merged = merge_reload(self.config, new_config)
        except (ConfigError, ValueError) as error:
            self.reloads_failed += 1
            log_event(logger, logging.ERROR, "config_reload_failed", text=error)
            return
        self.reloads_succeeded += 1
        before, self.config = self.config, merged
        host, port = new_config.discovery
        log_event(
            logger,
            logging.INFO,
            "config_reloaded",
            discovery=f"{host}:{port}",
            max_descriptors=new_config.max_descriptors,
            classes=",".join(merged.names.classes),
            max_attempts=merged.settings.limits.max_attempts,
            needs_restart=",".join(settings_needing_restart(before, new_config)) or "nothing",
        )
        self.listener.names = merged.names
        self.pool.apply(merged)
        if self.capture is not None:
            self.capture.recorder.set_names(merged.names)
        if merged.settings != before.settings:
            self.engine.reconfigure(merged.settings)
            log_rules(self.config.settings)
        if new_config.discovery != before.discovery:
            self.endpoint_watch.switch_discovery(new_config.discovery)

    def _apply_limits(self) -> None:
        """Apply the limits of descriptors and memory, and the connection settings of the operator file."""
        self.budget.downstream_fraction = self._downstream_fraction()
        self.budget.resize(self._descriptor_limit())
        self.budget.set_memory(self._memory_mb())
        self.listener.apply(listener_config(self.operator_settings.file), self._descriptor_limit())

    # ------------------------------------------------------------------------------ shutdown and summary

    def end(self) -> None:
        """Start a graceful shutdown (SIGTERM, SIGINT)."""
        if self.listener.is_shutting_down:
            return
        log_event(
            logger,
            logging.INFO,
            "shutdown_started",
            pending_requests=self.engine.pending_count,
            connections=len(self.listener.connections),
        )
        self._shutdown.begin()

    def _log_summary(self) -> None:
        """Log the counters and the outcomes of each request class."""
        self.loop.call_after(SUMMARY_INTERVAL_MS, self._log_summary)
        log_counters(
            self.engine,
            self.loop,
            open_descriptors=self.budget.used,
            rejected_requests=self.listener.rejected_count,
            list_age_ms=self.loop.now() - self._listed_at,
            discovery_watched=self.endpoint_watch.is_active,
            admin_clients=self.admin_listener.connection_count if self.admin_listener is not None else 0,
        )
        worths = {index: entry.worth for index, entry in enumerate(self.config.settings.classes)}
        log_outcomes(self.engine.request_counters, self._class_names(), worths)
        self.listener.log_summary()


def _max_descriptors(config: Config) -> int:
    """Return the descriptor limit: the lower of the configured limit and the process's RLIMIT_NOFILE."""
    return min(config.max_descriptors, resource.getrlimit(resource.RLIMIT_NOFILE)[0])

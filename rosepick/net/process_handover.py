"""Handover between processes of one router, for example during an upgrade.

A process observes the other processes that share its listening socket, and imports the state of its
predecessor.
"""

from __future__ import annotations

import logging
import os
from collections.abc import Callable

from ..core.ports import DecisionModule
from ..core.request_ids import RequestIdTable
from ..decisions.decide import Router
from ..logs import log_event
from ..upgrade.process_share import ProcessShare
from ..upgrade.state_document import exported_at
from ..upgrade.state_transfer import export_state, import_state
from .event_loop import EventLoop
from .process_registry import open_registry

logger = logging.getLogger(__name__)
STATE_WAIT_MS = 1_000.0  # how long a new process waits for the state of its predecessor
POLL_INTERVAL_MS = 50.0  # interval of the reads of the process registry


class ProcessHandover:
    """Updates a `ProcessShare` from the process registry, and transfers state through it."""

    def __init__(self, loop: EventLoop, listen: tuple[str, int]) -> None:
        self.loop = loop
        self.registry = open_registry(os.environ, listen)
        self.process_share = ProcessShare(
            () if self.registry is None else self.registry.other_descriptor_counts()
        )
        self._started_at = loop.now()

    def poll_peers(
        self,
        module: DecisionModule,
        descriptor_count: Callable[[], int],
        is_serving: Callable[[], bool],
        on_change: Callable[[], None],
    ) -> None:
        """Read the process registry now, and then every `POLL_INTERVAL_MS`.

        Args:
            module: the decision module whose state is exported and imported.
            descriptor_count: returns the number of descriptors of this process, which is published to the
                other processes.
            is_serving: returns whether this process accepts clients.
            on_change: called after the other processes or the share of this process changed.
        """
        if self.registry is None:
            return
        self.loop.call_after(
            POLL_INTERVAL_MS, lambda: self.poll_peers(module, descriptor_count, is_serving, on_change)
        )
        self.registry.publish_descriptor_count(descriptor_count())
        count_before = len(self.process_share.other_descriptor_counts)
        changed = self.process_share.update_others(self.registry.other_descriptor_counts())
        count = len(self.process_share.other_descriptor_counts)
        if count != count_before:
            log_event(logger, logging.INFO, "peer_processes_changed", peers=count)
        if count > count_before and is_serving() and isinstance(module, Router):
            self.registry.write_state(export_state(module, self.loop.now()))
        if not (self.process_share.state_transfer_settled or is_serving()):
            changed = self._import_state(module) or changed
        if changed:
            on_change()

    def _import_state(self, module: DecisionModule) -> bool:
        """Import the predecessor's state; return whether the state transfer is settled.

        The process waits for the state of its predecessor for up to `STATE_WAIT_MS`. State that was exported
        before this process started was intended for another process and is ignored.
        """
        assert self.registry is not None
        now = self.loop.now()
        document = self.registry.read_state()
        self.process_share.state_transfer_settled = now - self._started_at >= STATE_WAIT_MS
        if document is None or not isinstance(module, Router):
            return self.process_share.state_transfer_settled
        try:
            if exported_at(document) < self._started_at:
                return self.process_share.state_transfer_settled
            keys = import_state(module, document, now)
            log_event(logger, logging.INFO, "state_imported", keys=keys, age_ms=now - exported_at(document))
        except ValueError as error:
            log_event(logger, logging.WARNING, "state_import_failed", text=error)
        self.registry.delete_state()
        self.process_share.state_transfer_settled = True
        return True

    def open_request_ids(self) -> RequestIdTable | None:
        """Return the table of request ids that the processes of this router share, if there is one."""
        return None if self.registry is None else self.registry.open_request_ids()

    def close(self) -> None:
        """Release the registry entry of this process."""
        if self.registry is not None:
            self.registry.close()

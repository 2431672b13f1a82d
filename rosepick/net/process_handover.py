"""Handover between processes of one router, as at an upgrade.

A process follows the others that hold the same listening socket, and imports the state of its predecessor.
"""

from __future__ import annotations

import logging
import os
from collections.abc import Callable

from ..core.ports import DecisionModule
from ..decisions.decide import Router
from ..logs import log_event
from ..upgrade.process_share import ProcessShare
from ..upgrade.state_document import exported_at
from ..upgrade.state_transfer import export_state, import_state
from .event_loop import EventLoop
from .process_registry import open_registry

logger = logging.getLogger(__name__)
STATE_WAIT_MS = 1_000.0  # how long a new process waits for the state of its predecessor
POLL_INTERVAL_MS = 50.0


class ProcessHandover:
    """Drives a `ProcessShare`: reads and writes the registry of processes."""

    def __init__(self, loop: EventLoop, listen: tuple[str, int]) -> None:
        self.loop = loop
        self.registry = open_registry(os.environ, listen)
        self.process_share = ProcessShare(
            () if self.registry is None else self.registry.other_descriptor_counts()
        )
        self._started = loop.now()

    def follow(
        self,
        module: DecisionModule,
        descriptor_count: Callable[[], int],
        is_serving: Callable[[], bool],
        on_change: Callable[[], None],
    ) -> None:
        """Poll the other processes from now on.

        Args:
            module: whose state is exported and imported.
            descriptor_count: returns how many descriptors this process uses; published to the others.
            is_serving: whether this process accepts clients.
            on_change: called when the other processes, or this one's share because of them, have changed.
        """
        if self.registry is None:
            return
        self.loop.call_after(
            POLL_INTERVAL_MS, lambda: self.follow(module, descriptor_count, is_serving, on_change)
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

        A predecessor that exports nothing is waited for `STATE_WAIT_MS`. State that was exported before this
        process started was meant for another one, and is not used.
        """
        assert self.registry is not None
        now = self.loop.now()
        document = self.registry.read_state()
        self.process_share.state_transfer_settled = now - self._started >= STATE_WAIT_MS
        if document is None or not isinstance(module, Router):
            return self.process_share.state_transfer_settled
        try:
            if exported_at(document) < self._started:
                return self.process_share.state_transfer_settled
            keys = import_state(module, document, now)
            log_event(logger, logging.INFO, "state_imported", keys=keys, age_ms=now - exported_at(document))
        except ValueError as error:
            log_event(logger, logging.WARNING, "state_import_failed", text=error)
        self.registry.delete_state()
        self.process_share.state_transfer_settled = True
        return True

    def close(self) -> None:
        """Release this process's entry in the registry."""
        if self.registry is not None:
            self.registry.close()

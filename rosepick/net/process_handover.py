"""This process beside others of the same router, as at an upgrade: it follows them, and learns from the one
whose place it takes.
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
STATE_WAIT_MS = 1_000.0  # how long a new process waits for what the old one has learned
POLL_INTERVAL_MS = 50.0


class ProcessHandover:
    """The driver of a `Standing`."""

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
        """Look at the others from now on; `descriptor_count` descriptors are told to them, and `on_change` is
        called when something of them, or of what follows from it, has changed.
        """
        if self.registry is None:
            return
        self.loop.call_after(
            POLL_INTERVAL_MS, lambda: self.follow(module, descriptor_count, is_serving, on_change)
        )
        self.registry.publish_descriptor_count(descriptor_count())
        before = len(self.process_share.other_descriptor_counts)
        news = self.process_share.update_others(self.registry.other_descriptor_counts())
        now = len(self.process_share.other_descriptor_counts)
        if now != before:
            log_event(logger, logging.INFO, "peer_processes_changed", peers=now)
        if now > before and is_serving() and isinstance(module, Router):
            self.registry.write_state(export_state(module, self.loop.now()))
        if not (self.process_share.state_transfer_settled or is_serving()):
            news = self._import_state(module) or news
        if news:
            on_change()

    def _import_state(self, module: DecisionModule) -> bool:
        """Learn what the process that is to be replaced knows; whether that is settled. One that leaves
        nothing is not waited for long; what was left for another one counts as nothing.
        """
        assert self.registry is not None
        now, document = self.loop.now(), self.registry.read_state()
        self.process_share.state_transfer_settled = now - self._started >= STATE_WAIT_MS
        if document is None or not isinstance(module, Router):
            return self.process_share.state_transfer_settled
        try:
            if exported_at(document) < self._started:
                return self.process_share.state_transfer_settled
            keys = import_state(module, document, now)
            log_event(logger, logging.INFO, "state_imported", keys=keys, age_ms=now - exported_at(document))
        except ValueError as problem:
            log_event(logger, logging.WARNING, "state_import_failed", text=problem)
        self.registry.delete_state()
        self.process_share.state_transfer_settled = True
        return True

    def close(self) -> None:
        """Leave the seat."""
        if self.registry is not None:
            self.registry.close()

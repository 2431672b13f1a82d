"""This process beside others of the same router, as at an upgrade: it follows them, and learns from the one
whose place it takes.
"""

from __future__ import annotations

import logging
import os
from collections.abc import Callable

from ..core.engine import Decider
from ..decisions.decide import Router
from ..logs import say
from ..upgrade.knowledge import gather, teach, told_at
from ..upgrade.standing import Standing
from .loop import Loop
from .seats import seats_in

log = logging.getLogger(__name__)
HEAR_FOR = 1_000.0  # how long a new process waits for what the old one has learned
LOOK_EVERY = 50.0


class Beside:
    """The driver of a `Standing`."""

    def __init__(self, loop: Loop, listen: tuple[str, int]) -> None:
        self.loop = loop
        self.seats = seats_in(os.environ, listen)
        self.standing = Standing(() if self.seats is None else self.seats.others())
        self._started = loop.now()

    def follow(
        self,
        module: Decider,
        held: Callable[[], int],
        serves: Callable[[], bool],
        changed: Callable[[], None],
    ) -> None:
        """Look at the others from now on; `held` descriptors are told to them, and `changed` is called when
        something of them, or of what follows from it, has changed.
        """
        if self.seats is None:
            return
        self.loop.after(LOOK_EVERY, lambda: self.follow(module, held, serves, changed))
        self.seats.tell(held())
        before = len(self.standing.others)
        news = self.standing.look(self.seats.others())
        now = len(self.standing.others)
        if now != before:
            say(log, logging.INFO, "beside", others=now)
        if now > before and serves() and isinstance(module, Router):
            self.seats.leave(gather(module, self.loop.now()))
        if not (self.standing.heard or serves()):
            news = self._hear(module) or news
        if news:
            changed()

    def _hear(self, module: Decider) -> bool:
        """Learn what the process that is to be replaced knows; whether that is settled. One that leaves
        nothing is not waited for long; what was left for another one counts as nothing.
        """
        assert self.seats is not None
        now, document = self.loop.now(), self.seats.found()
        self.standing.heard = now - self._started >= HEAR_FOR
        if document is None or not isinstance(module, Router):
            return self.standing.heard
        try:
            if told_at(document) < self._started:
                return self.standing.heard
            keys = teach(module, document, now)
            say(log, logging.INFO, "knowledge_taken", keys=keys, age_ms=now - told_at(document))
        except ValueError as problem:
            say(log, logging.WARNING, "knowledge_unusable", text=problem)
        self.seats.taken()
        self.standing.heard = True
        return True

    def close(self) -> None:
        """Leave the seat."""
        if self.seats is not None:
            self.seats.close()

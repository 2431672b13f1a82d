"""Driver of contenders: asks the quorum what they want to know, and tells who uses them what has become of
it.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from ..agreement.operation import Outcome
from ..leases.contender import Contender, Terms, Where
from ..logs import say
from .loop import Loop, Timer
from .quorum import QuorumClient

log = logging.getLogger(__name__)
ASK_FOR = 0.25  # of the time to live: so long a question to the quorum may take


class Keeper:
    """Holds or waits for one lease. `told` is called when it is taken, in doubt, lost or ended."""

    def __init__(
        self,
        client: QuorumClient,
        task: str,
        name: str,
        terms: Terms,
        told: Callable[[str], None] = lambda what: None,
    ) -> None:
        self.client, self.loop = client, client.loop
        self.contender = Contender(task, name, client.who, terms, client.rng.random)
        self._told = told
        self._timer: Timer | None = None
        self._doubted = False
        self._was = Where.WAITS
        self._turn()

    def may_act(self) -> bool:
        """Whether a step may be taken now. To be asked before each."""
        return self.contender.may_act(self.loop.now())

    def release(self, successor: str = "") -> None:
        """The work has stopped."""
        self.contender.release(successor)
        self._turn()

    def _turn(self) -> None:
        """Ask what is to be asked, and come back when there is more."""
        if self._timer is not None:
            self._timer.cancel()
        now = self.loop.now()
        ask = self.contender.ask(now)
        if ask is not None:
            self.client.run(
                ask.key, ask.change, self._answered, max(300.0, ASK_FOR * self.contender.terms.ttl)
            )
        self._note()
        if self.contender.where not in (Where.LOST, Where.ENDED):
            wake = self.contender.wake(now) if ask is None else now + 100.0
            self._timer = self.loop.at(max(now + 1.0, min(wake, now + 100.0)), self._turn)

    def _answered(self, outcome: Outcome) -> None:
        self.contender.answered(self.loop.now(), outcome)
        self._turn()

    def _note(self) -> None:
        contender, now = self.contender, self.loop.now()
        if contender.where is not self._was:
            self._was, self._doubted = contender.where, False
            level = logging.WARNING if contender.where is Where.LOST else logging.INFO
            say(
                log,
                level,
                f"lease_{contender.where.value}",
                task=contender.task,
                name=contender.name,
                token=contender.token,
            )
            self._told(contender.where.value)
        doubt = contender.in_doubt(now)
        if doubt and not self._doubted:
            say(log, logging.WARNING, "lease_in_doubt", task=contender.task, left_ms=contender.left(now))
            self._told("doubt")
        self._doubted = doubt


def keepers_end(loop: Loop, keepers: list[Keeper], within: float) -> None:
    """Give leases back and let the loop go on until they are, or for so long."""
    for keeper in keepers:
        keeper.release()
    until = loop.now() + within
    while loop.now() < until and any(k.contender.where not in (Where.LOST, Where.ENDED) for k in keepers):
        loop.step(0.05)

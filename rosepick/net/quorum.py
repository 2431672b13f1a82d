"""Driver of operations: sends what they ask, tells them what is heard, and has them ask again."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from ..agreement import messages as m
from ..agreement.operation import Change, Operation, Outcome, Rounds, Sends
from ..agreement.succession import Step, Succession
from ..logs import say
from .budget import Budget
from .links import Endpoint, Link
from .loop import Loop, Timer

log = logging.getLogger(__name__)
FIRST, LONGEST = 150.0, 1_500.0  # milliseconds until an operation asks again: doubled each time, up to
# milliseconds, doubled each time: until a beaten operation asks again, by chance up to three times it
BEATEN = 8.0
MOST_BACKOFF = 250.0  # who waits much longer than others finds their ballots above its own each time
# milliseconds for whoever has sealed an epoch to lead over to the next: after that each caller tries itself
SEALED = 1_000.0
LEARN = 200.0  # between two questions who the quorum is
Done = Callable[[Outcome], None]
Heard = Callable[[str, m.Answer], None]


class Timers(Protocol):
    """What is used of the loop; the lab has another one."""

    def now(self) -> float:
        """Milliseconds, forward only."""

    def at(self, when: float, call: Callable[[], None]) -> Timer:
        """Call at that time or soon after."""

    def after(self, delay: float, call: Callable[[], None]) -> Timer:
        """Call after so many milliseconds."""


class Asks(Protocol):
    """A way to one witness; requests and answers may get lost."""

    def ask(self, request: m.Request) -> None:
        """Send it."""

    def close(self) -> None:
        """Let go of it."""


def over(loop: Loop, witnesses: Mapping[str, Endpoint], key: bytes) -> Callable[[Heard], Mapping[str, Asks]]:
    """Ways over TCP to the witnesses of a file."""
    budget = Budget(1024)
    return lambda heard: {
        name: Link(loop, budget, name, endpoint, key, heard) for name, endpoint in witnesses.items()
    }


@dataclass(slots=True, eq=False)
class Running:
    """An operation under way."""

    operation: Operation
    done: Done
    pause: float = FIRST
    backoff: float = BEATEN
    timer: Timer | None = None
    end: Timer | None = None
    asked: bool = False


@dataclass(slots=True, eq=False)
class Following:
    """A succession under way."""

    succession: Succession
    done: Callable[[Succession], None]
    timer: Timer | None = None
    pause: float = FIRST
    backoff: float = BEATEN
    beaten: bool = False


@dataclass(slots=True)
class Told:
    """What one witness said of itself last."""

    state: m.State
    at: float = 0.0


@dataclass(slots=True)
class Counts:
    """What an operator or a measurement asks for."""

    operations: int = 0
    beaten: int = 0
    again: int = 0
    by_kind: dict[str, int] = field(default_factory=dict)


class QuorumClient:
    """Asks the witnesses of a quorum. `rng` for the marks of operations and for back-off."""

    def __init__(
        self, loop: Timers, links: Callable[[Heard], Mapping[str, Asks]], rng: random.Random
    ) -> None:
        self.loop, self.rng = loop, rng
        self.who = rng.getrandbits(62) | 1
        self._rounds = Rounds(self.who)
        self.links = links(self._heard)
        self.quorum: m.Quorum | None = None
        self.told: dict[str, Told] = {}
        self.two_fleets = False
        self.counts = Counts()
        self._numbers = rng.getrandbits(40) << 8
        self._running: dict[Running, None] = {}  # in the order of their begin: the same at each run
        self._following: Following | None = None
        self._asked_status = -LEARN
        self._sealed: tuple[int, float] | None = (
            None  # an epoch that was found sealed, and until when to leave it so
        )
        self._other: dict[int, Callable[[str, m.Answer], None]] = {}

    # -- for callers

    def run(self, key: str, change: Change | None, done: Done, timeout: float) -> str:
        """Read a register, or change it; `done` is called once, within `timeout` milliseconds or so. The
        mark of the change is given back.
        """
        running = Running(self._operation(key, change), done)
        self.counts.operations += 1
        self._running[running] = None
        running.end = self.loop.after(timeout, lambda: self._late(running))
        mark = running.operation.mark
        self._start(running)
        return mark

    def ask_all(self, make: Callable[[int], m.Request], heard: Callable[[str, m.Answer], None]) -> None:
        """One request to each witness of the file; each answer is told."""
        number = self.number()
        self._other[number] = heard
        while len(self._other) > 64:
            self._other.pop(next(iter(self._other)))
        for link in self.links.values():
            link.ask(make(number))

    def ask_one(
        self, name: str, make: Callable[[int], m.Request], heard: Callable[[str, m.Answer], None]
    ) -> None:
        """One request to one witness."""
        number = self.number()
        self._other[number] = heard
        self.links[name].ask(make(number))

    def follow(self, members: tuple[m.Member, ...] | None, done: Callable[[Succession], None]) -> bool:
        """Lead over to another quorum; False if one is under way already or the present one is not known."""
        if self._following is not None or self.quorum is None:
            return False
        succession = Succession(self.quorum, members, self._rounds, self._mark(), self.number)
        self._following = Following(succession, done)
        self._send(succession.begin())
        self._later(self._following)
        return True

    def learn(self) -> None:
        """Ask the witnesses who the quorum is."""
        if self.loop.now() - self._asked_status >= LEARN:
            self._asked_status = self.loop.now()
            self.ask_all(m.Status, lambda name, answer: None)

    def close(self) -> None:
        """Let go of every connection; what runs is not finished."""
        for link in self.links.values():
            link.close()
        for running in self._running:
            for timer in (running.timer, running.end):
                if timer is not None:
                    timer.cancel()
        if self._following is not None and self._following.timer is not None:
            self._following.timer.cancel()

    def number(self) -> int:
        """A number for a request: no other one of this process has it."""
        self._numbers += 1
        return self._numbers

    def _mark(self) -> str:
        return f"{self.rng.getrandbits(64):016x}"

    def _operation(self, key: str, change: Change | None) -> Operation:
        quorum = self.quorum or m.Quorum("", 0, ())
        return Operation(quorum, key, change, self._rounds, self._mark(), self.number)

    # -- operations

    def _start(self, running: Running) -> None:
        if self.quorum is None:
            self.learn()
            running.timer = self.loop.after(LEARN, lambda: self._again(running))
            return
        if running.asked:
            sends = running.operation.again()
        elif running.operation.quorum.epoch != self.quorum.epoch:
            running.operation.quorum = self.quorum
            sends = running.operation.begin()
        else:
            sends = running.operation.begin()
        running.asked = True
        self._send(sends)
        self._pause(running, running.pause * (0.8 + 0.4 * self.rng.random()))
        running.pause = min(LONGEST, 2.0 * running.pause)

    def _pause(self, running: Running, pause: float) -> None:
        if running.timer is not None:
            running.timer.cancel()
        running.timer = self.loop.after(pause, lambda: self._again(running))

    def _again(self, running: Running) -> None:
        if running in self._running and running.operation.outcome is None:
            self.counts.again += 1
            self._start(running)

    def _late(self, running: Running) -> None:
        if running in self._running:
            why = "the witnesses are of two fleets" if self.two_fleets else ""
            if self.quorum is None and not why:
                why = "no quorum is founded" if self.told else "no witness answers"
            running.operation.give_up(why)
            self._finish(running)

    def _finish(self, running: Running) -> None:
        self._running.pop(running, None)
        for timer in (running.timer, running.end):
            if timer is not None:
                timer.cancel()
        outcome = running.operation.outcome
        assert outcome is not None
        kind = outcome.kind.value
        self.counts.by_kind[kind] = self.counts.by_kind.get(kind, 0) + 1
        running.done(outcome)

    def _send(self, sends: Sends) -> None:
        for name, request in sends:
            if name in self.links:
                self.links[name].ask(request)

    # -- answers

    def _heard(self, name: str, answer: m.Answer) -> None:
        if isinstance(answer, m.State):
            self.told[name] = Told(answer, self.loop.now())
            self._adopt(answer.quorum)
        heard = self._other.get(answer.number)
        if heard is not None:
            heard(name, answer)
        for running in list(self._running):
            if running in self._running and running.asked:
                self._tell(running, name, answer)
        following = self._following
        if following is not None:
            self._send(following.succession.heard(name, answer))
            self._followed(following)

    def _tell(self, running: Running, name: str, answer: m.Answer) -> None:
        operation = running.operation
        was_beaten = operation.beaten
        self._send(operation.heard(name, answer))
        if operation.outcome is not None:
            self._finish(running)
        elif operation.elsewhere is not None:
            elsewhere, operation.elsewhere = operation.elsewhere, None
            self._moved(elsewhere)
        elif operation.beaten and not was_beaten:
            self.counts.beaten += 1
            self._pause(running, running.backoff * (0.5 + 2.5 * self.rng.random()))
            running.backoff = min(MOST_BACKOFF, 2.0 * running.backoff)

    def _moved(self, elsewhere: m.Elsewhere) -> None:
        """The quorum is not what was thought: a later one, or one that is sealed and has not been
        followed.
        """
        known = self.quorum
        self._adopt(elsewhere.quorum)
        if self.quorum is not known or known is None or not elsewhere.sealed or elsewhere.quorum != known:
            return
        now = self.loop.now()
        if self._sealed is None or self._sealed[0] != known.epoch:
            self._sealed = known.epoch, now + SEALED * (0.7 + 0.6 * self.rng.random())
        elif now >= self._sealed[1]:
            self.follow(None, lambda succession: None)

    def _adopt(self, quorum: m.Quorum | None) -> None:
        known = self.quorum
        if quorum is None:
            return
        if known is not None and quorum.fleet != known.fleet:
            if not self.two_fleets:
                say(log, logging.ERROR, "two_fleets", ours=known.fleet, theirs=quorum.fleet)
            self.two_fleets = True
            return
        if known is None or quorum.epoch > known.epoch:
            self.quorum = quorum
            for running in self._running:
                if running.asked:
                    self._send(running.operation.move(quorum))
                else:
                    self._pause(running, 0.0)

    # -- successions

    def _later(self, following: Following) -> None:
        pause = following.pause * (0.8 + 0.9 * self.rng.random())
        following.timer = self.loop.after(pause, lambda: self._once_more(following))
        following.pause = min(LONGEST, 1.5 * following.pause)

    def _once_more(self, following: Following) -> None:
        if following is self._following:
            following.beaten = False
            self._send(following.succession.again())
            self._later(following)

    def _followed(self, following: Following) -> None:
        succession = following.succession
        if succession.later is not None or succession.step is Step.DONE:
            self._following = None
            if following.timer is not None:
                following.timer.cancel()
            self._adopt(succession.later or (succession.next.quorum if succession.next else None))
            following.done(succession)
        elif succession.beaten and not following.beaten:
            following.beaten = True
            self.counts.beaten += 1
            if following.timer is not None:
                following.timer.cancel()
            pause = following.backoff * (0.5 + 2.5 * self.rng.random())
            following.backoff = min(MOST_BACKOFF, 2.0 * following.backoff)
            following.timer = self.loop.after(pause, lambda: self._once_more(following))

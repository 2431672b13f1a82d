"""Driver of an agent: asks the quorum what its machine wants to know, does with the member what it says,
reports, and counts for the group while it holds that lease.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable
from typing import Protocol

import msgspec

from ..agreement.operation import Kind, Outcome
from ..fleet import ledger as book
from ..fleet import release
from ..fleet import warden as counting
from ..fleet.agent import Agent, Ask, Do, Own
from ..fleet.document import LedgerError
from ..fleet.leader import Leader, Plan
from ..fleet.warden import Report, Warden
from ..leases.contender import Terms as LeaseTerms
from ..leases.contender import Where
from ..leases.guard import Guard
from ..logs import say
from .leasing import Keeper
from .quorum import QuorumClient

log = logging.getLogger(__name__)
TURN = 100.0  # milliseconds between two looks at the member
PATIENCE = 1_500.0  # for a question
AT_ONCE = 32  # reports that a warden reads at one time
TASK = "drains/"  # of the leases of those who count
SELDOM = 2_000.0  # milliseconds between two readings of the releases, where there is nothing to do by them


class Tended(Protocol):
    """The member that an agent looks after."""

    def look(self) -> Own:
        """How it is."""

    def do(self, what: Do) -> None:
        """Start it, have it drain or not, stop it; again and again until it is so."""

    def report(self, run: int, beat: int) -> Report:
        """What is told of it, figures since the last one."""


class AgentDriver:
    """One agent. `wall`: seconds of the wall clock."""

    def __init__(
        self,
        client: QuorumClient,
        group: str,
        machine: Agent,
        tended: Tended,
        guard: Guard,
        terms: tuple[LeaseTerms, counting.Terms],
        wall: Callable[[], float],
        beat: float = 1_500.0,
        plan: Plan | None = None,
    ) -> None:
        """`plan`: how releases are led, should this agent come to lead them."""
        self.client, self.loop, self.group = client, client.loop, group
        self.machine, self._tended, self._guard, self._wall = machine, tended, guard, wall
        self._lease, self._counting, self._beat_every = *terms, beat
        self._own = Own()
        self._run, self._beat, self._last = client.who, 0, (False, False)
        self._reported = -beat
        self._reporting = False
        self._keeper: Keeper | None = None
        self._warden: Warden | None = None
        self._plan = plan
        self._leader: Leader | None = None
        self._read_next, self._reading = 0.0, False
        self._was = (machine.at, machine.permit)
        self._refused = 0
        self._lonely = False
        self._turn()

    def _turn(self) -> None:
        now = self.loop.now()
        self._own = self._tended.look()
        what = self.machine.deed(now, self._own)
        if what in (Do.STOP, Do.DRAIN) and not self._takes():
            what = Do.NOTHING
        self._tended.do(what)
        self._ask(now)
        self._read_releases(now)
        self._report(now)
        self._stand_ready(now)
        self._note(now)
        self.loop.after(TURN, self._turn)

    def _takes(self) -> bool:
        """Whether the guard of the member takes the step: not under an older permit than it has seen."""
        taken = self._guard.takes(self.machine.name, self.machine.permit)
        if not taken and not self._refused:
            say(log, logging.ERROR, "permit_refused", member=self.machine.name, permit=self.machine.permit)
        self._refused += not taken
        return taken

    def _ask(self, now: float) -> None:
        ask = self.machine.ask(now, self._own, self._wall())
        if ask is not None:
            self.client.run(
                book.key(self.group), ask.change, lambda outcome: self._answered(ask, outcome), PATIENCE
            )

    def _answered(self, ask: Ask, outcome: Outcome) -> None:
        self.machine.answered(self.loop.now(), ask, outcome)
        if ask.what == "halt" and outcome.kind is Kind.DONE:
            say(log, logging.ERROR, "drains_halted", member=self.machine.name)
        self._note(self.loop.now())

    def _note(self, now: float) -> None:
        """Lines of the log."""
        machine = self.machine
        stands = (machine.at, machine.permit)
        if stands != self._was:
            self._was = stands
            say(
                log,
                logging.INFO,
                "member",
                name=machine.name,
                at=machine.at.name.lower(),
                permit=machine.permit,
            )
        lonely = machine.lonely(now)
        if lonely != self._lonely:
            self._lonely = lonely
            say(log, logging.WARNING, "quorum_lost" if lonely else "quorum_found", member=machine.name)

    # -- reports

    def _report(self, now: float) -> None:
        """From time to time, and at once if the member has come up or gone down."""
        state = (self._own.serving, self._own.warm)
        due = now - self._reported >= self._beat_every or (
            state != self._last and now - self._reported >= 2 * TURN
        )
        if not due or self._reporting:
            return
        self._reporting, self._reported, self._last = True, now, state
        self._beat += 1
        report = self._tended.report(self._run, self._beat)
        if self.machine.carrier is not None:
            report = msgspec.structs.replace(report, trouble=self.machine.carrier.trouble())
        value = msgspec.msgpack.encode(report)
        place = counting.key(self.group, self.machine.name)

        def done(outcome: Outcome) -> None:
            self._reporting = False
            if outcome.kind is not Kind.DONE:
                self._last = (not state[0], state[1])  # tell it once more, soon
            else:
                self.machine.alive(self.loop.now())

        self.client.run(place, lambda register: value, done, PATIENCE)

    # -- releases

    def _read_releases(self, now: float) -> None:
        """Look at the record of releases: often while there is something to do by it."""
        carrier = self.machine.carrier
        if carrier is None or self._reading or now < self._read_next:
            return
        self._reading = True

        def done(outcome: Outcome) -> None:
            self._reading = False
            if outcome.kind is Kind.READ:
                try:
                    carrier.told(release.read(outcome.register), now)
                except LedgerError as problem:
                    say(log, logging.ERROR, "releases_unreadable", text=problem)
            often = carrier.busy(now) or self.machine.at != book.At.IN
            pause = self.machine.terms.look if often else max(SELDOM, self.machine.pause())
            self._read_next = self.loop.now() + pause

        self.client.run(release.key(self.group), None, done, PATIENCE)

    def _lead(self) -> None:
        """The next step of a release, if there is one and this agent still may write it."""

        def read(outcome: Outcome) -> None:
            keeper, ledger, leader = self._keeper, self.machine.ledger, self._leader
            if outcome.kind is not Kind.READ or keeper is None or ledger is None or leader is None:
                return
            try:
                record = release.read(outcome.register)
            except LedgerError:
                return
            token, name = keeper.contender.token, self.machine.name
            step = leader.step(record, ledger, self.loop.now(), self._wall(), name, token)
            if step is None or not keeper.may_act():
                return
            if step.what not in ("note", "left"):
                level = logging.ERROR if step.what in ("worse", "hold") else logging.INFO
                number = record.releases
                say(log, level, "release_step", release=number, what=step.what, why=step.why, token=token)
            self.client.run(release.key(self.group), step.change, lambda outcome: None, PATIENCE)

        self.client.run(release.key(self.group), None, read, PATIENCE)

    # -- counting for the group

    def _stand_ready(self, now: float) -> None:
        """Stand in line for the lease of who counts, if this member is among the few that are to."""
        ledger, keeper, name = self.machine.ledger, self._keeper, self.machine.name
        mine = None if ledger is None else ledger.members.get(name)
        if keeper is None:
            if ledger is not None and name in counting.wardens(ledger):
                self._keeper = Keeper(self.client, TASK + self.group, name, self._lease, self._told)
        elif keeper.contender.where in (Where.LOST, Where.ENDED):
            self._keeper = self._warden = self._leader = None
        elif mine is not None and mine.off:
            keeper.release()

    def _told(self, what: str) -> None:
        if what == Where.HOLDS.value and self._keeper is not None:
            self._warden = Warden(self.machine.budget, self._counting, self.loop.now())
            if self._plan is not None:
                self._leader = Leader(self._plan, self.loop.now())
            say(log, logging.INFO, "warden", member=self.machine.name, token=self._keeper.contender.token)
            self._sweep(self._warden)

    def _sweep(self, warden: Warden) -> None:
        """Read all reports, so many at a time, and write down what follows."""
        ledger = self.machine.ledger
        if warden is not self._warden or ledger is None:
            return
        names = deque(name for name, one in ledger.members.items() if not one.off)
        left = len(names)

        def more() -> None:
            if names and warden is self._warden:
                name = names.popleft()
                self.client.run(
                    counting.key(self.group, name), None, lambda outcome: heard(name, outcome), PATIENCE
                )

        def heard(name: str, outcome: Outcome) -> None:
            nonlocal left
            left -= 1
            if outcome.kind is Kind.READ:
                report = counting.read(outcome.register)
                warden.told(name, report, self.loop.now())
                if self._leader is not None:
                    self._leader.told(name, report)
            more()
            if not left:
                self._count(warden)

        for _ in range(AT_ONCE):
            more()

    def _count(self, warden: Warden) -> None:
        """Write the verdict down, if this agent still may: under its token, which no older one passes."""
        self.loop.after(self._beat_every, lambda: self._sweep(warden))
        keeper, ledger = self._keeper, self.machine.ledger
        if warden is not self._warden or keeper is None or ledger is None or not keeper.may_act():
            return
        if self._leader is not None:
            self._lead()
        found = warden.verdict(ledger, self.loop.now())
        token = keeper.contender.token
        name, wall = self.machine.name, self._wall()
        change = book.counted(found.lost, found.room, found.usual, token, found.why, name, wall, found.whole)
        self.client.run(
            book.key(self.group), change, lambda outcome: self._counted(found.why, outcome), PATIENCE
        )

    def _counted(self, why: str, outcome: Outcome) -> None:
        if outcome.kind is Kind.DONE and why:
            say(log, logging.ERROR, "drains_halted", member=self.machine.name, why=why)

    def release(self) -> None:
        """The agent ends: another one counts from now on. The member goes on as it is."""
        if self._keeper is not None:
            self._keeper.release()

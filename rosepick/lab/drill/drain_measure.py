"""What drains cost: messages and processor time of a witness with many members, standing still and amid a
drain, and the time from a permit that has ended to the next one.
"""

from __future__ import annotations

import random
import time
from collections.abc import Iterator

from ...fleet import ledger as book
from ...fleet import warden
from ...fleet.agent import Agent, Do, Own
from ...fleet.agent import Terms as AgentTerms
from ...fleet.budget import Budget, Limit
from ...fleet.warden import Report
from ...leases.contender import Terms
from ...leases.guard import Guard
from ...net.agent import AgentDriver
from ...net.quorum import QuorumClient, over
from .measure import Scale, _quorum, _until, _used
from .processes import FIRST_PORT, own_host
from .sim_drains import Disk

CLIENTS = 10  # connections that all agents of the measurement share
LIMIT = Limit(most=5, share=1.0, zone_share=1.0)


class Still:
    """A member that does at once what it is told."""

    def __init__(self) -> None:
        self.up = True

    def look(self) -> Own:
        """How it is."""
        return Own(self.up, self.up)

    def do(self, what: Do) -> None:
        """Start it or stop it."""
        if what in (Do.START, Do.STOP):
            self.up = what is Do.START

    def report(self, run: int, beat: int) -> Report:
        """What is told of it."""
        return Report(run, beat, self.up)


def standing(count: int, beat: float, seconds: float) -> Iterator[str]:
    """So many members with an agent each; milliseconds between their reports."""
    with _quorum(3) as (_, loop, processes):
        ends = {name: (own_host(), FIRST_PORT + n) for n, name in enumerate(processes)}
        scales = [Scale() for _ in range(CLIENTS)]
        clients = [
            QuorumClient(loop, scale.over(over(loop, ends, b"")), random.Random(number))
            for number, scale in enumerate(scales)
        ]
        budget = Budget(LIMIT, LIMIT)
        # all at once, as it is no measurement of a thousand that come in one second
        names = [f"m{number:04}" for number in range(count)]
        members = {name: book.Member(0, f"z{number % 4}") for number, name in enumerate(names)}
        made = book.packed(book.Ledger(rules=budget.digest(), members=members))
        begun: list[object] = []
        clients[0].run(book.key("measured"), lambda register: made, begun.append, 10_000.0)
        _until(loop, lambda: bool(begun))
        terms = Terms(10_000.0), warden.Terms(silent=4.0 * beat)
        drivers = []
        for number in range(count):
            machine = Agent(
                f"m{number:04}",
                book.Kind.ROUTER,
                f"z{number % 4}",
                1000,
                budget,
                AgentTerms(steady=100.0),
                Disk(),
            )
            guard = Guard(Disk().tokens)
            client = clients[number % CLIENTS]
            drivers.append(AgentDriver(client, "measured", machine, Still(), guard, terms, time.time, beat))
        first = drivers[0].machine

        lines = set[book.Line]()

        def all_in() -> bool:
            return first.ledger is not None and len(first.ledger.members) == count

        _until(loop, all_in, 180.0)
        for what in ("standing still", "amid a drain"):
            if what.startswith("amid"):
                order = book.want_out(names[:40], "lab", "x", time.time())
                clients[0].run(book.key("measured"), order, lambda o: None, 5e3)
            used = {name: _used(one) for name, one in processes.items()}
            asked, bytes_ = (
                sum(one.counts.operations for one in clients),
                sum(scale.both() for scale in scales),
            )
            until = time.monotonic() + seconds
            while time.monotonic() < until:
                loop.step(0.05)
                if what.startswith("amid") and first.ledger is not None:
                    lines.update(first.ledger.history)
                    out = [n for n, m in first.ledger.members.items() if m.at == book.At.OUT and m.want]
                    if out:
                        clients[1].run(
                            book.key("measured"), book.want_in(out, "lab", time.time()), lambda o: None, 5e3
                        )
                        loop.step(0.2)
            spent = max(_used(one) - used[name] for name, one in processes.items()) / seconds
            rate = (sum(one.counts.operations for one in clients) - asked) / seconds
            sent = (sum(scale.both() for scale in scales) - bytes_) / seconds / 1024.0
            load = f"{rate:.0f} operations/s, {100 * spent:.1f}% of a core, {sent:.0f} KiB/s a witness"
            yield f"{count} members, {what}: {load}"
        yield _waits(lines)
        size = len(book.packed(first.ledger)) if first.ledger else 0
        yield f"{count} members: the ledger is {size / 1024:.1f} KiB"


def _waits(lines: set[book.Line]) -> str:
    """How long after a permit's end the next one was taken, by the ledger's history."""
    waits, free = [], 0.0
    for line in sorted(lines, key=lambda line: line.when):
        if "permit" in line.what and "ended" in line.what:
            free = line.when
        elif line.what.startswith("permit ") and free:
            waits.append(line.when - free)
            free = 0.0
    waits.sort()
    if not waits:
        return "no permit was waited for"
    return f"from a permit's end to the next: {len(waits)} times, median {waits[len(waits) // 2]:.2f} s"

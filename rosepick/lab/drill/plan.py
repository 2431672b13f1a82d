"""Plans of faults: drawn from a seed, the same for the simulated net and for real processes."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault: from `at` on, for `length` seconds. `target` is a process, or a link as two names."""

    at: float
    kind: str
    target: tuple[str, ...]
    length: float = 0.0
    amount: float = 0.0

    def __str__(self) -> str:
        amount = f" {self.amount:.2f}" if self.amount else ""
        return f"{self.at:.2f} s {self.kind} {'-'.join(self.target)} for {self.length:.2f} s{amount}"


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of fault: how often beside others, what it hits, how long it lasts (times of a lease's life)."""

    name: str
    weight: float
    hits: str  # as `_target` has them
    shortest: float
    longest: float
    amount: tuple[float, float] = (0.0, 0.0)
    named: bool = False  # only where a drill names it


KINDS = (
    Kind("kill", 3.0, "witness", 0.05, 1.0),
    Kind("kill", 2.0, "contender", 0.05, 0.6),
    Kind("pause", 2.0, "witness", 0.05, 0.6),
    Kind("pause", 2.0, "contender", 0.1, 0.8),  # shorter than the lease
    Kind("pause", 2.0, "contender", 1.1, 1.8),  # and longer
    Kind("empty", 1.0, "witness", 0.1, 0.5),
    Kind("older", 1.0, "witness", 0.1, 0.5),
    Kind("two empty", 0.6, "two", 0.1, 0.5),  # gone for good, both at once
    Kind("copied", 0.5, "witness", 0.1, 0.5),
    Kind("full", 0.7, "witness", 0.2, 0.6),
    Kind("restart all", 0.5, "witnesses", 0.05, 0.5),
    Kind("cut", 2.0, "link", 0.2, 2.0),
    Kind("cut one way", 2.0, "link", 0.2, 2.0),
    Kind("part", 1.5, "contender", 0.4, 2.2),  # one contender from all witnesses
    Kind("part", 1.0, "witness", 0.4, 2.2),
    Kind(
        "split", 1.0, "split", 0.8, 4.0
    ),  # a minority of the witnesses and half of the contenders from the rest
    Kind("minority", 1.0, "split", 20.0, 60.0, named=True),  # the same for minutes
    Kind("deaf", 1.5, "contender", 0.4, 2.2),  # it is heard, and hears nothing
    Kind("refuse", 1.0, "link", 0.2, 1.0),
    Kind("half open", 1.0, "link", 0.2, 1.0),
    Kind("slow", 1.5, "link", 0.2, 2.0, (0.02, 0.4)),
    Kind("trickle", 1.0, "link", 0.2, 1.0, (200.0, 4000.0)),
    Kind("double", 1.5, "witness", 0.5, 2.5, (0.1, 0.3)),
    Kind("disorder", 1.5, "witness", 0.5, 2.5, (0.1, 0.3)),
    Kind("lose", 1.5, "witness", 0.3, 1.5, (0.1, 0.5)),
    Kind("force", 0.5, "task", 0.0, 0.0),
    Kind("member", 2.0, "contender", 0.0, 0.0, named=True),  # what an agent looks after dies
    Kind("host", 2.0, "contender", 6.0, 12.0, named=True),  # both are gone for long
    Kind("wiped", 1.0, "contender", 0.1, 0.5, named=True),  # an agent dies, and its folder is gone
    Kind("swap", 1.0, "witness", 0.0, 0.0),  # a living witness is taken out, another one comes in
)
STORAGE = ("empty", "two empty", "older", "copied", "full")
CHANGES = ("swap", *STORAGE)  # of the quorum: one after the other


@dataclass(frozen=True, slots=True)
class Plan:
    """The faults of a drill, by time, and when the last of them is over."""

    faults: list[Fault] = field(default_factory=list)
    until: float = 0.0

    @staticmethod
    def drawn(
        rng: random.Random,
        witnesses: Sequence[str],
        contenders: Sequence[str],
        tasks: Sequence[str],
        seconds: float,
        ttl: float,
        each: float,
        allowed: Sequence[str] = (),
    ) -> Plan:
        """Faults over `seconds`, one each `each` seconds or so. Storages are lost one after the other: as
        many as leave a majority at any time.
        """
        kinds = [kind for kind in KINDS if (kind.name in allowed if allowed else not kind.named)]
        if len(witnesses) < 5:  # two are no minority
            kinds = [kind for kind in kinds if kind.hits != "two"]
        faults, at, storage_until = [], 0.0, 0.0
        while True:
            at += rng.expovariate(1.0 / each)
            if at >= seconds:
                break
            kind = rng.choices(kinds, [one.weight for one in kinds])[0]
            length = ttl * rng.uniform(kind.shortest, kind.longest)
            if kind.name in CHANGES:
                if at < storage_until:
                    continue
                storage_until = at + length + 3.0 * ttl
            target = _target(rng, kind.hits, witnesses, contenders, tasks)
            faults.append(Fault(at, kind.name, target, length, rng.uniform(*kind.amount)))
        return Plan(faults, max([seconds, *(fault.at + fault.length for fault in faults)]))


def _target(
    rng: random.Random, hits: str, witnesses: Sequence[str], contenders: Sequence[str], tasks: Sequence[str]
) -> tuple[str, ...]:
    match hits:
        case "witness":
            return (rng.choice(witnesses),)
        case "contender":
            return (rng.choice(contenders),)
        case "task":
            return (rng.choice(tasks),)
        case "witnesses":
            return tuple(witnesses)
        case "two":
            return tuple(rng.sample(list(witnesses), 2))
        case "split":
            few = rng.sample(list(witnesses), (len(witnesses) - 1) // 2)
            return (*few, *rng.sample(list(contenders), len(contenders) // 2))
    one = rng.choice([*witnesses, *contenders])
    return one, rng.choice([name for name in witnesses if name != one])

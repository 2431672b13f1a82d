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
class FaultKind:
    """A kind of fault: how often beside others, what it hits, how long it lasts (times of a lease's life)."""

    name: str
    weight: float
    target_kind: str  # as `_target` has them
    min_length_ttls: float
    max_length_ttls: float
    amount: tuple[float, float] = (0.0, 0.0)
    only_if_named: bool = False  # only where a drill names it


FAULT_KINDS = (
    FaultKind("kill", 3.0, "witness", 0.05, 1.0),
    FaultKind("kill", 2.0, "contender", 0.05, 0.6),
    FaultKind("pause", 2.0, "witness", 0.05, 0.6),
    FaultKind("pause", 2.0, "contender", 0.1, 0.8),  # shorter than the lease
    FaultKind("pause", 2.0, "contender", 1.1, 1.8),  # and longer
    FaultKind("empty", 1.0, "witness", 0.1, 0.5),
    FaultKind("older", 1.0, "witness", 0.1, 0.5),
    FaultKind("two empty", 0.6, "two", 0.1, 0.5),  # gone for good, both at once
    FaultKind("copied", 0.5, "witness", 0.1, 0.5),
    FaultKind("full", 0.7, "witness", 0.2, 0.6),
    FaultKind("restart all", 0.5, "witnesses", 0.05, 0.5),
    FaultKind("cut", 2.0, "link", 0.2, 2.0),
    FaultKind("cut one way", 2.0, "link", 0.2, 2.0),
    FaultKind("part", 1.5, "contender", 0.4, 2.2),  # one contender from all witnesses
    FaultKind("part", 1.0, "witness", 0.4, 2.2),
    FaultKind(
        "split", 1.0, "split", 0.8, 4.0
    ),  # a minority of the witnesses and half of the contenders from the rest
    FaultKind("minority", 1.0, "split", 20.0, 60.0, only_if_named=True),  # the same for minutes
    FaultKind("deaf", 1.5, "contender", 0.4, 2.2),  # it is heard, and hears nothing
    FaultKind("refuse", 1.0, "link", 0.2, 1.0),
    FaultKind("half open", 1.0, "link", 0.2, 1.0),
    FaultKind("slow", 1.5, "link", 0.2, 2.0, (0.02, 0.4)),
    FaultKind("trickle", 1.0, "link", 0.2, 1.0, (200.0, 4000.0)),
    FaultKind("double", 1.5, "witness", 0.5, 2.5, (0.1, 0.3)),
    FaultKind("disorder", 1.5, "witness", 0.5, 2.5, (0.1, 0.3)),
    FaultKind("lose", 1.5, "witness", 0.3, 1.5, (0.1, 0.5)),
    FaultKind("force", 0.5, "task", 0.0, 0.0),
    FaultKind("member", 2.0, "contender", 0.0, 0.0, only_if_named=True),  # what an agent looks after dies
    FaultKind("host", 2.0, "contender", 6.0, 12.0, only_if_named=True),  # both are gone for long
    FaultKind(
        "wiped", 1.0, "contender", 0.1, 0.5, only_if_named=True
    ),  # an agent dies, and its folder is gone
    FaultKind("swap", 1.0, "witness", 0.0, 0.0),  # a living witness is taken out, another one comes in
)
STORAGE_FAULTS = ("empty", "two empty", "older", "copied", "full")
QUORUM_CHANGING_FAULTS = ("swap", *STORAGE_FAULTS)  # of the quorum: one after the other


@dataclass(frozen=True, slots=True)
class FaultPlan:
    """The faults of a drill, by time, and when the last of them is over."""

    faults: list[Fault] = field(default_factory=list)
    ends_at: float = 0.0

    @staticmethod
    def draw(
        rng: random.Random,
        witnesses: Sequence[str],
        contenders: Sequence[str],
        tasks: Sequence[str],
        duration_s: float,
        ttl_s: float,
        interval_s: float,
        allowed: Sequence[str] = (),
    ) -> FaultPlan:
        """Faults over `duration_s`, one each `interval_s` seconds or so. Storages are lost one after the
        other: as many as leave a majority at any time.
        """
        kinds = [
            kind for kind in FAULT_KINDS if (kind.name in allowed if allowed else not kind.only_if_named)
        ]
        if len(witnesses) < 5:  # two are no minority
            kinds = [kind for kind in kinds if kind.target_kind != "two"]
        faults, at, storage_until = [], 0.0, 0.0
        while True:
            at += rng.expovariate(1.0 / interval_s)
            if at >= duration_s:
                break
            kind = rng.choices(kinds, [one.weight for one in kinds])[0]
            length = ttl_s * rng.uniform(kind.min_length_ttls, kind.max_length_ttls)
            if kind.name in QUORUM_CHANGING_FAULTS:
                if at < storage_until:
                    continue
                storage_until = at + length + 3.0 * ttl_s
            target = _draw_target(rng, kind.target_kind, witnesses, contenders, tasks)
            faults.append(Fault(at, kind.name, target, length, rng.uniform(*kind.amount)))
        return FaultPlan(faults, max([duration_s, *(fault.at + fault.length for fault in faults)]))


def _draw_target(
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

"""Fault plans, drawn at random from a seed, for simulated and real processes alike."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum, StrEnum, auto


class FaultName(StrEnum):
    """Kinds of faults; drill files and reports contain the values."""

    KILL = "kill"
    PAUSE = "pause"
    EMPTY_STORAGE = "empty"  # a replica restarts with an empty folder
    TWO_EMPTY_STORAGES = "two empty"
    OLDER_STORAGE = "older"  # an older copy of a replica's storage is restored
    COPIED_STORAGE = "copied"  # a copy replaces the storage's file
    FULL_DISK = "full"
    RESTART_ALL = "restart all"
    CUT = "cut"
    CUT_ONE_WAY = "cut one way"
    ISOLATE = "part"  # one process is cut off from all replicas
    SPLIT = "split"  # a minority of the replicas and half of the clients are cut off from the rest
    MINORITY = "minority"  # a split that lasts for minutes
    DEAF = "deaf"  # a process can send but receives nothing
    REFUSE = "refuse"  # connections are refused
    HALF_OPEN = "half open"  # connections stay open but carry no data
    SLOW = "slow"
    TRICKLE = "trickle"  # a link carries few bytes per second
    DUPLICATE = "double"
    REORDER = "disorder"
    LOSE = "lose"
    FORCE_RELEASE = "force"  # an operator forces the release of a lease
    MEMBER_CRASH = "member"  # the process that an agent supervises crashes
    HOST_LOSS = "host"  # an agent and its member are killed and stay down for several lease TTLs
    WIPED_AGENT = "wiped"  # an agent is killed and loses its folder
    AGENT_DISK = "agent disk"  # writes to an agent's folder fail for a while
    SWAP_REPLICA = "swap"  # the spare replica replaces a running one


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault of a plan.

    The fault starts at `at` and lasts for `length`, both in seconds. `target` lists the names of the affected
    processes, or the two ends of a link. The unit of `amount` depends on `kind`: a probability, seconds or
    bytes per second.
    """

    at: float
    kind: FaultName
    target: tuple[str, ...]
    length: float = 0.0
    amount: float = 0.0

    def __str__(self) -> str:
        amount = f" {self.amount:.2f}" if self.amount else ""
        return f"{self.at:.2f} s {self.kind} {'-'.join(self.target)} for {self.length:.2f} s{amount}"


class TargetKind(Enum):
    """The kind of target that a fault affects."""

    REPLICA = auto()
    TWO_REPLICAS = auto()
    ALL_REPLICAS = auto()
    CLIENT = auto()
    LINK = auto()  # between a replica and another process
    SPLIT = auto()  # a minority of the replicas and half of the clients
    TASK = auto()


@dataclass(frozen=True, slots=True)
class FaultTemplate:
    """How faults of a kind are drawn: their relative weight, their target and the range of their lengths.

    Lengths are in multiples of the lease's time to live. A template with `only_if_named` is used only if a
    drill file lists its kind.
    """

    name: FaultName
    weight: float
    target_kind: TargetKind
    min_length_ttls: float
    max_length_ttls: float
    amount: tuple[float, float] = (0.0, 0.0)
    only_if_named: bool = False


FAULT_TEMPLATES = (
    FaultTemplate(FaultName.KILL, 3.0, TargetKind.REPLICA, 0.05, 1.0),
    FaultTemplate(FaultName.KILL, 2.0, TargetKind.CLIENT, 0.05, 0.6),
    FaultTemplate(FaultName.PAUSE, 2.0, TargetKind.REPLICA, 0.05, 0.6),
    FaultTemplate(FaultName.PAUSE, 2.0, TargetKind.CLIENT, 0.1, 0.8),  # shorter than the lease
    FaultTemplate(FaultName.PAUSE, 2.0, TargetKind.CLIENT, 1.1, 1.8),  # longer than the lease
    FaultTemplate(FaultName.EMPTY_STORAGE, 1.0, TargetKind.REPLICA, 0.1, 0.5),
    FaultTemplate(FaultName.OLDER_STORAGE, 1.0, TargetKind.REPLICA, 0.1, 0.5),
    FaultTemplate(FaultName.TWO_EMPTY_STORAGES, 0.6, TargetKind.TWO_REPLICAS, 0.1, 0.5),
    FaultTemplate(FaultName.COPIED_STORAGE, 0.5, TargetKind.REPLICA, 0.1, 0.5),
    FaultTemplate(FaultName.FULL_DISK, 0.7, TargetKind.REPLICA, 0.2, 0.6),
    FaultTemplate(FaultName.RESTART_ALL, 0.5, TargetKind.ALL_REPLICAS, 0.05, 0.5),
    FaultTemplate(FaultName.CUT, 2.0, TargetKind.LINK, 0.2, 2.0),
    FaultTemplate(FaultName.CUT_ONE_WAY, 2.0, TargetKind.LINK, 0.2, 2.0),
    FaultTemplate(FaultName.ISOLATE, 1.5, TargetKind.CLIENT, 0.4, 2.2),
    FaultTemplate(FaultName.ISOLATE, 1.0, TargetKind.REPLICA, 0.4, 2.2),
    FaultTemplate(FaultName.SPLIT, 1.0, TargetKind.SPLIT, 0.8, 4.0),
    FaultTemplate(FaultName.MINORITY, 1.0, TargetKind.SPLIT, 20.0, 60.0, only_if_named=True),
    FaultTemplate(FaultName.DEAF, 1.5, TargetKind.CLIENT, 0.4, 2.2),
    FaultTemplate(FaultName.REFUSE, 1.0, TargetKind.LINK, 0.2, 1.0),
    FaultTemplate(FaultName.HALF_OPEN, 1.0, TargetKind.LINK, 0.2, 1.0),
    FaultTemplate(FaultName.SLOW, 1.5, TargetKind.LINK, 0.2, 2.0, amount=(0.02, 0.4)),  # seconds
    FaultTemplate(
        FaultName.TRICKLE, 1.0, TargetKind.LINK, 0.2, 1.0, amount=(200.0, 4000.0)
    ),  # bytes per second
    FaultTemplate(FaultName.DUPLICATE, 1.5, TargetKind.REPLICA, 0.5, 2.5, amount=(0.1, 0.3)),
    FaultTemplate(FaultName.REORDER, 1.5, TargetKind.REPLICA, 0.5, 2.5, amount=(0.1, 0.3)),
    FaultTemplate(FaultName.LOSE, 1.5, TargetKind.REPLICA, 0.3, 1.5, amount=(0.1, 0.5)),
    FaultTemplate(FaultName.FORCE_RELEASE, 0.5, TargetKind.TASK, 0.0, 0.0),
    FaultTemplate(FaultName.MEMBER_CRASH, 2.0, TargetKind.CLIENT, 0.0, 0.0, only_if_named=True),
    FaultTemplate(FaultName.HOST_LOSS, 2.0, TargetKind.CLIENT, 6.0, 12.0, only_if_named=True),
    FaultTemplate(FaultName.WIPED_AGENT, 1.0, TargetKind.CLIENT, 0.1, 0.5, only_if_named=True),
    FaultTemplate(FaultName.AGENT_DISK, 2.0, TargetKind.CLIENT, 1.0, 6.0, only_if_named=True),
    FaultTemplate(FaultName.SWAP_REPLICA, 1.0, TargetKind.REPLICA, 0.0, 0.0),
)
STORAGE_FAULTS = frozenset(
    {
        FaultName.EMPTY_STORAGE,
        FaultName.TWO_EMPTY_STORAGES,
        FaultName.OLDER_STORAGE,
        FaultName.COPIED_STORAGE,
        FaultName.FULL_DISK,
    }
)
QUORUM_CHANGING_FAULTS = STORAGE_FAULTS | {FaultName.SWAP_REPLICA}  # never two at the same time
MIN_REPLICAS_TO_LOSE_TWO = 5  # with fewer replicas, two are not a minority
RECOVERY_TTLS = 3.0  # pause after a fault that changes the quorum, in multiples of the lease's time to live


@dataclass(frozen=True, slots=True)
class FaultTargets:
    """The names of processes and tasks from which the targets of faults are drawn."""

    replicas: Sequence[str]
    clients: Sequence[str]
    tasks: Sequence[str]

    def draw(self, rng: random.Random, kind: TargetKind) -> tuple[str, ...]:
        """Draw the target of one fault."""
        match kind:
            case TargetKind.REPLICA:
                return (rng.choice(self.replicas),)
            case TargetKind.CLIENT:
                return (rng.choice(self.clients),)
            case TargetKind.TASK:
                return (rng.choice(self.tasks),)
            case TargetKind.ALL_REPLICAS:
                return tuple(self.replicas)
            case TargetKind.TWO_REPLICAS:
                return tuple(rng.sample(list(self.replicas), 2))
            case TargetKind.SPLIT:
                minority = rng.sample(list(self.replicas), (len(self.replicas) - 1) // 2)
                return (*minority, *rng.sample(list(self.clients), len(self.clients) // 2))
            case TargetKind.LINK:
                first_end = rng.choice([*self.replicas, *self.clients])
                return first_end, rng.choice([name for name in self.replicas if name != first_end])


@dataclass(frozen=True, slots=True)
class FaultSchedule:
    """When faults occur: one per `interval_s` on average for `duration_s`; `ttl_s` scales their lengths."""

    duration_s: float
    interval_s: float
    ttl_s: float


@dataclass(frozen=True, slots=True)
class FaultPlan:
    """The faults of a test ordered by time, and the time in seconds at which the last one ends."""

    faults: list[Fault] = field(default_factory=list)
    ends_at: float = 0.0

    @staticmethod
    def draw(
        rng: random.Random, targets: FaultTargets, schedule: FaultSchedule, allowed: Sequence[str] = ()
    ) -> FaultPlan:
        """Draw a plan with faults of the `allowed` kinds, or of all but `only_if_named` kinds if it is empty.

        Faults that change the quorum never overlap, so that a majority of the storages is intact at any time.
        """
        templates = _usable_templates(allowed, len(targets.replicas))
        faults: list[Fault] = []
        at = 0.0
        quorum_changes_until = 0.0
        while True:
            at += rng.expovariate(1.0 / schedule.interval_s)
            if at >= schedule.duration_s:
                break
            template = rng.choices(templates, [template.weight for template in templates])[0]
            length = schedule.ttl_s * rng.uniform(template.min_length_ttls, template.max_length_ttls)
            if template.name in QUORUM_CHANGING_FAULTS:
                if at < quorum_changes_until:
                    continue
                quorum_changes_until = at + length + RECOVERY_TTLS * schedule.ttl_s
            target = targets.draw(rng, template.target_kind)
            faults.append(Fault(at, template.name, target, length, rng.uniform(*template.amount)))
        return FaultPlan(faults, max([schedule.duration_s, *(fault.at + fault.length for fault in faults)]))


def _usable_templates(allowed: Sequence[str], replica_count: int) -> list[FaultTemplate]:
    return [
        template
        for template in FAULT_TEMPLATES
        if (template.name in allowed if allowed else not template.only_if_named)
        and (template.target_kind is not TargetKind.TWO_REPLICAS or replica_count >= MIN_REPLICAS_TO_LOSE_TWO)
    ]

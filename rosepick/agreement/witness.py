"""One witness as a machine: an acceptor of CASPaxos (Rystsov 2018) for each name, and the epochs of its
quorum.

`handle` gives an answer and what has to be on the disk before that answer is said. The machine itself keeps
no file and knows no clock.

What keeps a storage from voting twice as one: its identity is in the quorum, so an emptied folder (a new
identity) does not vote at all; and it has to tell others its count of starts before it votes, who know of a
later one if the folder is an older copy.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from . import messages as m
from .messages import NONE, SUCCESSOR, Quorum, Slot

MOST_MET = 256  # storages whose starts are remembered: each replaced witness leaves one


@dataclass(slots=True)
class Saved:
    """What a witness keeps; `starts` counts the present one."""

    storage: str
    starts: int = 1
    quorum: Quorum | None = None
    sealed: bool = False
    slots: dict[str, Slot] = field(default_factory=dict)
    met: dict[str, tuple[int, str]] = field(
        default_factory=dict
    )  # storage: highest count of starts, and its run


@dataclass(slots=True)
class Changes:
    """What has to be on the disk before the answer is said."""

    slots: dict[str, Slot] = field(default_factory=dict)
    met: dict[str, tuple[int, str]] = field(default_factory=dict)
    epoch: bool = False  # quorum, seal and all slots anew
    seal: bool = False

    def __bool__(self) -> bool:
        return bool(self.slots or self.met or self.epoch or self.seal)


class Witness:
    """Answers requests from what it keeps."""

    def __init__(self, name: str, saved: Saved, run: str) -> None:
        self.name, self.saved, self.run = name, saved, run
        self.stranger = False  # others know of later starts of this storage: it is an older copy
        self._agreed: set[str] = set()  # storages that have heard of this start before any later one
        self.votes = self._heard_enough()

    # -- meeting the others

    def _others(self) -> list[m.Member]:
        quorum = self.saved.quorum
        return [] if quorum is None else [one for one in quorum.members if one.storage != self.saved.storage]

    def _heard_enough(self, patient: bool = False) -> bool:
        """Whether this start is known to so many others that they make a majority with this witness."""
        if self.saved.quorum is None or self.stranger:
            return False
        known = {one.storage for one in self._others()} & self._agreed
        return len(known) >= (len(self._others()) if patient else self.saved.quorum.majority - 1)

    def greeting(self, number: int) -> m.Met | None:
        """What the others are to be told, at the start and from time to time."""
        quorum = self.saved.quorum
        if quorum is None:
            return None
        return m.Met(number, quorum.fleet, self.saved.storage, self.saved.starts, self.run, quorum.epoch)

    def remembered(self, answer: m.Remembered, patient: bool) -> Changes:
        """Another one's answer to the greeting. `patient`: wait for all of them still, not for enough of
        them.
        """
        changes = Changes()
        if answer.starts > self.saved.starts or (
            answer.starts == self.saved.starts and answer.run not in ("", self.run)
        ):
            self.stranger, self.votes = True, False
            return changes
        self._agreed.add(answer.storage)
        self.settle(patient)
        if self.votes and answer.quorum is not None:
            self._install(answer.quorum, answer.slots, changes)
        return changes

    def settle(self, patient: bool) -> None:
        """Vote from now on, if enough others know of this start."""
        self.votes = self.votes or self._heard_enough(patient)

    def _met(self, asked: m.Met, changes: Changes) -> m.Answer:
        starts, run = self.saved.met.get(asked.storage, (0, ""))
        ours, missed, slots = self.saved.quorum, None, dict[str, Slot]()
        ours_too = ours is not None and ours.fleet == asked.fleet
        if asked.starts > starts and ours_too and (starts or len(self.saved.met) < MOST_MET):
            changes.met[asked.storage] = self.saved.met[asked.storage] = asked.starts, asked.run
        if (
            self.votes and ours is not None and ours_too
        ):  # also a sealed one: else the next epoch might never come
            member = any(one.storage == asked.storage for one in ours.members)
            if member and asked.epoch < ours.epoch:
                # as if the messages of this epoch had only now come through to the one that asks
                missed, slots = ours, dict(self.saved.slots)
        return m.Remembered(asked.number, self.saved.storage, starts, run, missed, slots)

    # -- requests

    def handle(self, asked: m.Request, up: float = 0.0) -> tuple[m.Answer, Changes]:
        """The answer, and what has to be on the disk before it is said."""
        changes = Changes()
        match asked:
            case m.Status():
                return self._state(asked.number, up), changes
            case m.Met():
                return self._met(asked, changes), changes
            case m.Install():
                return self._take_epoch(asked, changes), changes
        refused = self._refused(asked)
        return refused or self._voted(asked, changes), changes

    def _refused(self, asked: m.Asked) -> m.Answer | None:
        ours = self.saved.quorum
        if ours is not None and asked.fleet != ours.fleet:
            return m.NotNow(asked.number, self.saved.storage, "another fleet")
        if not self.votes:
            why = "an older copy" if self.stranger else "no quorum" if ours is None else "not met"
            return m.NotNow(asked.number, self.saved.storage, why)
        if ours is None or asked.epoch != ours.epoch:
            return m.Elsewhere(asked.number, self.saved.storage, ours, self.saved.sealed)
        successor = isinstance(asked, m.Prepare | m.Accept | m.Look) and asked.key == SUCCESSOR
        if successor != self.saved.sealed and not isinstance(asked, m.Seal):
            return m.Elsewhere(asked.number, self.saved.storage, ours, self.saved.sealed)
        return None

    def _voted(self, asked: m.Asked, changes: Changes) -> m.Answer:
        number, storage = asked.number, self.saved.storage
        match asked:
            case m.Prepare():
                return self._prepare(asked, changes)
            case m.Accept():
                return self._accept(asked, changes)
            case m.Look():
                slot = self.saved.slots.get(asked.key, Slot())
                return m.Seen(number, storage, slot.ballot, slot.register)
            case m.Names():
                names = tuple(
                    key for key in self.saved.slots if key.startswith(asked.start) and key != SUCCESSOR
                )
                return m.Named(number, storage, names)
            case m.Seal():
                changes.seal = not self.saved.sealed
                self.saved.sealed = True
                slots = {key: slot for key, slot in self.saved.slots.items() if key != SUCCESSOR}
                return m.Sealed(number, storage, slots)
        return m.NotNow(number, storage, "not known")

    def _prepare(self, asked: m.Prepare, changes: Changes) -> m.Answer:
        slot = self.saved.slots.get(asked.key, Slot())
        if asked.ballot < slot.promised:
            return m.Beaten(asked.number, self.saved.storage, slot.promised)
        if asked.key not in self.saved.slots and len(self.saved.slots) >= m.MOST_REGISTERS:
            return m.NotNow(asked.number, self.saved.storage, "too many registers")
        if asked.ballot > slot.promised:
            self._keep(asked.key, Slot(asked.ballot, slot.ballot, slot.register), changes)
        return m.Promised(asked.number, self.saved.storage, slot.ballot, slot.register)

    def _accept(self, asked: m.Accept, changes: Changes) -> m.Answer:
        slot = self.saved.slots.get(asked.key, Slot())
        if asked.ballot < slot.promised:
            return m.Beaten(asked.number, self.saved.storage, slot.promised)
        # the choice of a quorum holds all registers, so it is bounded by the frame alone
        if len(asked.key) > m.LONGEST_KEY or (
            len(asked.register.value) > m.LARGEST_VALUE and asked.key != SUCCESSOR
        ):
            return m.NotNow(asked.number, self.saved.storage, "too large")
        if asked.ballot == slot.ballot and asked.register != slot.register:
            # guards against a caller that uses a ballot for two values: neither is to be chosen by it
            return m.NotNow(asked.number, self.saved.storage, "ballot used twice")
        if asked.ballot > slot.ballot:
            self._keep(asked.key, Slot(asked.ballot, asked.ballot, asked.register), changes)
        return m.Accepted(asked.number, self.saved.storage)

    def _keep(self, key: str, slot: Slot, changes: Changes) -> None:
        self.saved.slots[key] = changes.slots[key] = slot

    # -- epochs

    def _take_epoch(self, asked: m.Install, changes: Changes) -> m.Answer:
        ours, storage = self.saved.quorum, self.saved.storage
        if ours is not None and (asked.quorum.fleet != ours.fleet or not self.votes):
            return m.NotNow(asked.number, storage, "another fleet" if self.votes else "not met")
        if not asked.quorum.has(self.name, storage):
            return m.NotNow(asked.number, storage, "not a member")
        if ours is not None and asked.quorum.epoch < ours.epoch:
            return m.Elsewhere(asked.number, storage, ours, self.saved.sealed)
        if ours is None:
            self.votes = True  # nobody has counted on this storage yet
        self._install(asked.quorum, asked.slots, changes)
        return m.Accepted(asked.number, storage)

    def _install(self, quorum: Quorum, slots: dict[str, Slot], changes: Changes) -> None:
        ours = self.saved.quorum
        if ours is None or quorum.epoch > ours.epoch:
            self.saved.quorum, self.saved.sealed = quorum, False
            self.saved.slots = {key: slot for key, slot in slots.items() if key != SUCCESSOR}
            changes.epoch = True

    def _state(self, number: int, up: float) -> m.State:
        saved = self.saved
        return m.State(
            number,
            saved.storage,
            self.name,
            saved.starts,
            self.votes,
            saved.sealed,
            saved.quorum,
            len(saved.slots),
            up,
        )


def merged(kept: list[dict[str, Slot]]) -> dict[str, Slot]:
    """Of what a majority keeps, the last that may have been chosen of each name; promises end with the
    epoch.
    """
    last: dict[str, Slot] = {}
    for slots in kept:
        for key, slot in slots.items():
            if slot.ballot != NONE and slot.ballot > last.get(key, Slot()).ballot:
                last[key] = Slot(slot.ballot, slot.ballot, slot.register)
    return last

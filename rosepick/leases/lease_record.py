"""What is agreed about a task: who holds it, under which token, and who waits in line."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from ..consensus.messages import Register
from ..consensus.proposer import ChangeRejectedError, RegisterChange

KEY_PREFIX = "lease/"  # of the names of registers
MAX_QUEUE_LENGTH = 256  # who comes later asks without a place


class LeaseWaiter(msgspec.Struct, frozen=True, array_like=True):
    """One in line. `owner_id` is drawn at each start, 0 for whoever of that name comes."""

    owner_id: int
    name: str

    def matches(self, owner_id: int, name: str) -> bool:
        """Whether a contender may take this place."""
        return self.name == name and self.owner_id in (0, owner_id)


class LeaseRecord(msgspec.Struct, frozen=True, array_like=True):
    """A task. The token grows at each grant and never goes back; `beat` grows at each renewal."""

    token: int = 0
    held: bool = False
    who: int = 0
    name: str = ""
    beat: int = 0
    ttl: float = 0.0  # milliseconds
    line: tuple[LeaseWaiter, ...] = ()
    note: str = ""  # who took it away, and why

    def is_held_by(self, owner_id: int, token: int) -> bool:
        """Whether this start of a holder has it under that token."""
        return self.held and self.who == owner_id and self.token == token


def decode_record(register: Register) -> LeaseRecord:
    """The task that a register holds; a new one if it holds nothing."""
    return msgspec.msgpack.decode(register.value, type=LeaseRecord) if register.value else LeaseRecord()


def register_key(task: str) -> str:
    """The name of a task's register."""
    return KEY_PREFIX + task


def _record_change(update: Callable[[LeaseRecord], LeaseRecord]) -> RegisterChange:
    """A change of the record as a change of its register."""
    return lambda register: msgspec.msgpack.encode(update(decode_record(register)))


def acquire(expected: LeaseRecord, owner_id: int, name: str, ttl_ms: float) -> RegisterChange:
    """The lease goes to this one, if nothing has happened since the record was seen. Those that stood before
    it in line are dropped: they had their time.
    """

    def make(now: LeaseRecord) -> LeaseRecord:
        if (now.token, now.held, now.beat) != (expected.token, expected.held, expected.beat):
            raise ChangeRejectedError
        place = next((n for n, one in enumerate(now.line) if one.matches(owner_id, name)), -1)
        return LeaseRecord(now.token + 1, True, owner_id, name, 0, ttl_ms, now.line[place + 1 :])

    return _record_change(make)


def renew(owner_id: int, token: int, ttl_ms: float) -> RegisterChange:
    """The holder goes on."""

    def make(now: LeaseRecord) -> LeaseRecord:
        if not now.is_held_by(owner_id, token):
            raise ChangeRejectedError
        return msgspec.structs.replace(now, beat=now.beat + 1, ttl=ttl_ms)

    return _record_change(make)


def release(owner_id: int, token: int, successor: str = "") -> RegisterChange:
    """The holder has stopped and lets go; a successor named stands first in line."""

    def make(now: LeaseRecord) -> LeaseRecord:
        if not now.is_held_by(owner_id, token):
            raise ChangeRejectedError
        line = tuple(one for one in now.line if one.name != successor)
        first = (LeaseWaiter(0, successor),) if successor else ()
        return msgspec.structs.replace(now, held=False, line=(first + line)[:MAX_QUEUE_LENGTH], note="")

    return _record_change(make)


def join_queue(owner_id: int, name: str) -> RegisterChange:
    """A contender waits its turn."""

    def make(now: LeaseRecord) -> LeaseRecord:
        if any(one.matches(owner_id, name) for one in now.line) or len(now.line) >= MAX_QUEUE_LENGTH:
            raise ChangeRejectedError
        return msgspec.structs.replace(now, line=(*now.line, LeaseWaiter(owner_id, name)))

    return _record_change(make)


def leave_queue(owner_id: int) -> RegisterChange:
    """A contender does not wait any more."""

    def make(now: LeaseRecord) -> LeaseRecord:
        line = tuple(one for one in now.line if one.owner_id != owner_id)
        if line == now.line:
            raise ChangeRejectedError
        return msgspec.structs.replace(now, line=line)

    return _record_change(make)


def force_release(actor: str, reason: str) -> RegisterChange:
    """Nobody's renewal counts any more: the token goes on. The holder may act until its time is over, so who
    comes next still waits for that: the task stays held, by nobody.
    """

    def make(now: LeaseRecord) -> LeaseRecord:
        if not now.held:
            raise ChangeRejectedError
        note = f"taken from {now.name} by {actor}: {reason}"[:400]
        return msgspec.structs.replace(now, token=now.token + 1, who=0, name="", beat=0, note=note)

    return _record_change(make)

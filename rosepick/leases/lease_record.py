"""The replicated record of a task's lease: its owner, the fencing token and the queue; and all changes of it.

A change is a function for the register that holds the record. It raises `ChangeRejectedError` if the
record has changed in a way that rules it out; the register then stays as it is.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from ..consensus.messages import Register
from ..consensus.proposer import ChangeRejectedError, RegisterChange

KEY_PREFIX = "lease/"  # of the keys of all lease registers
MAX_QUEUE_LENGTH = 256  # clients that come later poll without a place in the queue
MAX_NOTE_LENGTH = 400  # characters


class LeaseWaiter(msgspec.Struct, frozen=True, array_like=True):
    """A client in the queue.

    `owner_id` is drawn at each start of a client; 0 stands for any client of that name.
    """

    owner_id: int
    name: str

    def matches(self, owner_id: int, name: str) -> bool:
        """Whether a client may use this place in the queue."""
        return self.name == name and self.owner_id in (0, owner_id)


class LeaseRecord(msgspec.Struct, frozen=True, array_like=True):
    """The state of a task's lease, stored as an array in this order.

    The token grows with each grant and each forced release, and never decreases. A lease that was
    released by force stays held, by nobody, until its last owner's time is over.
    """

    token: int = 0
    is_held: bool = False
    owner_id: int = 0
    owner_name: str = ""
    renewal_count: int = 0  # since the grant
    ttl_ms: float = 0.0
    queue: tuple[LeaseWaiter, ...] = ()
    note: str = ""  # who released it by force, and why

    def is_held_by(self, owner_id: int, token: int) -> bool:
        """Whether the client with this id, which is drawn at each start, holds it under that token."""
        return self.is_held and self.owner_id == owner_id and self.token == token

    def queue_position(self, owner_id: int, name: str) -> int | None:
        """The place of a client in the queue, from 0; None if it has none."""
        for position, waiter in enumerate(self.queue):
            if waiter.matches(owner_id, name):
                return position
        return None

    def has_changed_since(self, earlier: LeaseRecord) -> bool:
        """Whether it was granted, renewed or released since; changes of the queue alone do not count."""
        now = (self.token, self.is_held, self.renewal_count, self.owner_id)
        return now != (earlier.token, earlier.is_held, earlier.renewal_count, earlier.owner_id)


def decode_record(register: Register) -> LeaseRecord:
    """Decode the record that a register holds; a new one if the register is empty.

    Raises:
        msgspec.MsgspecError: The register holds something else.
    """
    return msgspec.msgpack.decode(register.value, type=LeaseRecord) if register.value else LeaseRecord()


def register_key(task: str) -> str:
    """The key of a task's register."""
    return KEY_PREFIX + task


def _record_change(update: Callable[[LeaseRecord], LeaseRecord]) -> RegisterChange:
    """Make a change of the register from a change of the record."""
    return lambda register: msgspec.msgpack.encode(update(decode_record(register)))


def acquire(expected: LeaseRecord, owner_id: int, name: str, ttl_ms: float) -> RegisterChange:
    """Grant the lease to a client, unless it was granted, renewed or released since `expected` was read.

    Clients before it in the queue are dropped: they have let their turn pass.
    """

    def update(record: LeaseRecord) -> LeaseRecord:
        if record.has_changed_since(expected):
            raise ChangeRejectedError
        position = record.queue_position(owner_id, name)
        queue = record.queue if position is None else record.queue[position + 1 :]
        return LeaseRecord(record.token + 1, True, owner_id, name, 0, ttl_ms, queue)

    return _record_change(update)


def renew(owner_id: int, token: int, ttl_ms: float) -> RegisterChange:
    """Extend the lease of its owner."""

    def update(record: LeaseRecord) -> LeaseRecord:
        if not record.is_held_by(owner_id, token):
            raise ChangeRejectedError
        return msgspec.structs.replace(record, renewal_count=record.renewal_count + 1, ttl_ms=ttl_ms)

    return _record_change(update)


def release(owner_id: int, token: int, successor: str = "") -> RegisterChange:
    """Release the lease of its owner; a client named as successor becomes the first in the queue."""

    def update(record: LeaseRecord) -> LeaseRecord:
        if not record.is_held_by(owner_id, token):
            raise ChangeRejectedError
        queue = tuple(waiter for waiter in record.queue if waiter.name != successor)
        if successor:
            queue = (LeaseWaiter(0, successor), *queue)
        return msgspec.structs.replace(record, is_held=False, queue=queue[:MAX_QUEUE_LENGTH], note="")

    return _record_change(update)


def join_queue(owner_id: int, name: str) -> RegisterChange:
    """Append a client to the queue, unless it is in it or the queue is full."""

    def update(record: LeaseRecord) -> LeaseRecord:
        is_queued = record.queue_position(owner_id, name) is not None
        if is_queued or len(record.queue) >= MAX_QUEUE_LENGTH:
            raise ChangeRejectedError
        return msgspec.structs.replace(record, queue=(*record.queue, LeaseWaiter(owner_id, name)))

    return _record_change(update)


def leave_queue(owner_id: int) -> RegisterChange:
    """Remove a client from the queue."""

    def update(record: LeaseRecord) -> LeaseRecord:
        queue = tuple(waiter for waiter in record.queue if waiter.owner_id != owner_id)
        if queue == record.queue:
            raise ChangeRejectedError
        return msgspec.structs.replace(record, queue=queue)

    return _record_change(update)


def force_release(actor: str, reason: str) -> RegisterChange:
    """Take the lease from its owner: the token grows, so that no renewal succeeds any more.

    The owner may act until its time is over, and the next one still waits for that: the lease stays held,
    by nobody.
    """

    def update(record: LeaseRecord) -> LeaseRecord:
        if not record.is_held:
            raise ChangeRejectedError
        note = f"taken from {record.owner_name} by {actor}: {reason}"[:MAX_NOTE_LENGTH]
        return msgspec.structs.replace(
            record, token=record.token + 1, owner_id=0, owner_name="", renewal_count=0, note=note
        )

    return _record_change(update)

"""Defines the replicated record of a task's lease (owner, fencing token and queue) and its changes.

A change is a function that computes the next value of the register that holds the record. It raises
`ChangeRejectedError` if it does not apply to the current record; the register is then not changed.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from ..consensus.messages import Register
from ..consensus.proposer import ChangeRejectedError, RegisterChange

KEY_PREFIX = "lease/"  # prefix of the keys of all lease registers
MAX_QUEUE_LENGTH = 256  # further clients poll without a place in the queue
MAX_NOTE_LENGTH = 400  # characters


class LeaseWaiter(msgspec.Struct, frozen=True, array_like=True):
    """Identifies a client in the queue.

    `owner_id` is drawn at random at each start of a client; 0 stands for any client with that name.
    """

    owner_id: int
    name: str

    def matches(self, owner_id: int, name: str) -> bool:
        """Return whether a client may use this place in the queue."""
        return self.name == name and self.owner_id in (0, owner_id)


class LeaseRecord(msgspec.Struct, frozen=True, array_like=True):
    """Holds the state of a task's lease; it is stored as an array in the order of the fields.

    `token` grows by one with each grant and each forced release, and never decreases. After a forced release
    the lease stays held, without an owner, until the last owner's time to live is over.
    """

    token: int = 0
    is_held: bool = False
    owner_id: int = 0
    owner_name: str = ""
    renewal_count: int = 0  # renewals since the grant
    ttl_ms: float = 0.0
    queue: tuple[LeaseWaiter, ...] = ()
    note: str = ""  # the actor and the reason of a forced release

    def is_held_by(self, owner_id: int, token: int) -> bool:
        """Return whether the client with this id holds the lease under this token."""
        return self.is_held and self.owner_id == owner_id and self.token == token

    def queue_position(self, owner_id: int, name: str) -> int | None:
        """Return the place of a client in the queue, counted from 0; None if it is not in the queue."""
        for position, waiter in enumerate(self.queue):
            if waiter.matches(owner_id, name):
                return position
        return None

    def has_changed_since(self, earlier: LeaseRecord) -> bool:
        """Return whether the lease was granted, renewed or released since; queue changes are ignored."""
        now = (self.token, self.is_held, self.renewal_count, self.owner_id)
        return now != (earlier.token, earlier.is_held, earlier.renewal_count, earlier.owner_id)


def decode_record(register: Register) -> LeaseRecord:
    """Decode the record in a register; return a new record if the register is empty.

    Raises:
        msgspec.MsgspecError: The register does not contain a lease record.
    """
    return msgspec.msgpack.decode(register.value, type=LeaseRecord) if register.value else LeaseRecord()


def register_key(task: str) -> str:
    """Return the key of a task's register."""
    return KEY_PREFIX + task


def _record_change(update: Callable[[LeaseRecord], LeaseRecord]) -> RegisterChange:
    """Return the change of the register that applies `update` to the record in it."""
    return lambda register: msgspec.msgpack.encode(update(decode_record(register)))


def acquire(expected: LeaseRecord, owner_id: int, name: str, ttl_ms: float) -> RegisterChange:
    """Grant the lease to a client, unless it was granted, renewed or released since `expected` was read.

    Clients ahead of it in the queue are removed, because they did not acquire the lease in their turns.
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
    """Release the lease of its owner; a client named `successor` becomes the first in the queue."""

    def update(record: LeaseRecord) -> LeaseRecord:
        if not record.is_held_by(owner_id, token):
            raise ChangeRejectedError
        queue = tuple(waiter for waiter in record.queue if waiter.name != successor)
        if successor:
            queue = (LeaseWaiter(0, successor), *queue)
        return msgspec.structs.replace(record, is_held=False, queue=queue[:MAX_QUEUE_LENGTH], note="")

    return _record_change(update)


def join_queue(owner_id: int, name: str) -> RegisterChange:
    """Append a client to the queue, unless it is in the queue already or the queue is full."""

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
    """Take the lease from its owner: the token grows, so no further renewal of the owner succeeds.

    The owner may act until its time to live is over, and the next owner waits for that. So the lease stays
    held, without an owner.
    """

    def update(record: LeaseRecord) -> LeaseRecord:
        if not record.is_held:
            raise ChangeRejectedError
        note = f"taken from {record.owner_name} by {actor}: {reason}"[:MAX_NOTE_LENGTH]
        return msgspec.structs.replace(
            record, token=record.token + 1, owner_id=0, owner_name="", renewal_count=0, note=note
        )

    return _record_change(update)

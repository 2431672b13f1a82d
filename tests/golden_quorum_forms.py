"""Representative values of the quorum's forms: messages, sessions, stores, and fencing tokens.

A part of golden_forms, with the same rules: program names are imported here only, values are built by
position, and enumerations by value.
"""

from __future__ import annotations

import json
import sqlite3
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar, get_args

from rosepick.agreement import codec, messages
from rosepick.agreement.messages import Member, Quorum, Register, Slot
from rosepick.agreement.operation import Operation, Rounds
from rosepick.agreement.succession import Succession
from rosepick.agreement.witness import Witness
from rosepick.leases import record
from rosepick.leases.guard import Guard
from rosepick.net.store import Tokens, WitnessStore

from .golden_support import GOLDEN, Form, as_given, as_json, constant, temporary_folder

KEY = b"a key of the golden files"
NAMES = ("w1", "w2", "w3")
Replica = Witness


# ------------------------------------------------------------------------------------ quorum messages

QUORUM = Quorum("f1ee7", 1, tuple(Member(name, f"storage-{name}") for name in NAMES))
NEXT_QUORUM = Quorum("f1ee7", 2, (*QUORUM.members[:2], Member("w4", "storage-w4")))
REGISTER = Register(3, "00000000000000ab", b"\x00value\xff", "00000000000000aa")
SLOT = Slot((5, 7), (4, 9), REGISTER)
NUMBER = 2**40 + 1
STORAGE = "storage-w1"

REQUESTS = {
    1: messages.Prepare(NUMBER, "f1ee7", 1, "lease/job", (5, 7)),
    2: messages.Accept(NUMBER, "f1ee7", 1, "lease/job", (5, 7), REGISTER),
    3: messages.Look(NUMBER, "f1ee7", 1, "lease/job"),
    4: messages.Names(NUMBER, "f1ee7", 1, "lease/"),
    5: messages.Seal(NUMBER, "f1ee7", 1),
    6: messages.Install(NUMBER, NEXT_QUORUM, {"lease/job": SLOT, "lease/new": Slot()}),
    7: messages.Met(NUMBER, "f1ee7", STORAGE, 4, "run-1", 1),
    8: messages.Status(NUMBER),
}
ANSWERS = {
    21: messages.Promised(NUMBER, STORAGE, (4, 9), REGISTER),
    22: messages.Accepted(NUMBER, STORAGE),
    23: messages.Seen(NUMBER, STORAGE, (4, 9), REGISTER),
    24: messages.Named(NUMBER, STORAGE, ("lease/job", "lease/new")),
    25: messages.Sealed(NUMBER, STORAGE, {"lease/job": SLOT}),
    26: messages.Beaten(NUMBER, STORAGE, (6, 11)),
    27: messages.Elsewhere(NUMBER, STORAGE, NEXT_QUORUM, True),
    28: messages.Remembered(NUMBER, STORAGE, 4, "run-1", NEXT_QUORUM, {"lease/job": SLOT}),
    29: messages.State(NUMBER, STORAGE, "w1", 4, True, False, QUORUM, 2, 12.5),
    30: messages.NotNow(NUMBER, STORAGE, "not met"),
}


def tags_of_program() -> set[int]:
    """Return the tags of all messages that the program knows."""
    kinds = (*get_args(messages.Request), *get_args(messages.Answer))
    return {int(kind.__struct_config__.tag) for kind in kinds}


def write_frame(message: Any) -> bytes:
    """Encode a message with the key."""
    return codec.framed(message, KEY)


def read_request(frame: bytes) -> Any:
    """Decode a request with the key."""
    return codec.request(frame, KEY)


def read_answer(frame: bytes) -> Any:
    """Decode an answer with the key."""
    return codec.answer(frame, KEY)


def split_frames(data: bytes) -> list[bytes]:
    """Split a stream into whole frames."""
    return codec.Frames().feed(data)


def _message_forms() -> dict[str, Form]:
    forms = {}
    for tag, request in REQUESTS.items():
        forms[f"quorum-{tag:02}.frame"] = Form(constant(request), write_frame, read_request)
    for tag, answer in ANSWERS.items():
        forms[f"quorum-{tag:02}.frame"] = Form(constant(answer), write_frame, read_answer)
    forms["quorum-without-key.frame"] = Form(lambda: REQUESTS[2], codec.framed, codec.request)
    return forms


# ------------------------------------------------------------------------------------ quorum sessions


def replica(name: str, store: WitnessStore | None = None) -> Witness:
    """Make a replica with an empty storage, or on that of a store."""
    if store is not None:
        return Witness(name, store.saved, f"run-{name}")
    with temporary_folder() as folder:
        fresh = WitnessStore(folder, f"storage-{name}")
        fresh.close()
        return Witness(name, fresh.saved, f"run-{name}")


def answer_of(witness: Witness, frame: bytes, store: WitnessStore | None = None) -> bytes:
    """Answer a request as a replica's process does: what it rests on is stored first."""
    answer, changes = witness.handle(codec.request(frame, KEY), 12.5)
    if store is not None and changes:
        store.keep(changes)
    return codec.framed(answer, KEY)


def replica_requests() -> list[bytes]:
    """Requests that bring one replica to give every answer, in order."""
    numbers = iter(range(1, 100))
    fleet, name = "f1ee7", "lease/job"
    later = Register(4, "00000000000000ac", b"later", "00000000000000ab")

    def ask(kind: Callable[..., Any], *rest: object) -> bytes:
        return codec.framed(kind(next(numbers), *rest), KEY)

    m = messages
    return [
        ask(m.Status),
        ask(m.Prepare, fleet, 1, name, (1, 7)),
        ask(m.Install, QUORUM, {}),
        ask(m.Install, Quorum("other", 1, QUORUM.members), {}),
        ask(m.Prepare, fleet, 1, name, (5, 7)),
        ask(m.Accept, fleet, 1, name, (5, 7), REGISTER),
        ask(m.Accept, fleet, 1, name, (5, 7), later),
        ask(m.Look, fleet, 1, name),
        ask(m.Look, fleet, 1, "lease/none"),
        ask(m.Prepare, fleet, 1, name, (4, 9)),
        ask(m.Accept, fleet, 1, name, (4, 9), later),
        ask(m.Prepare, fleet, 1, name, (6, 9)),
        ask(m.Accept, fleet, 1, "k" * 201, (6, 9), later),
        ask(m.Names, fleet, 1, "lease/"),
        ask(m.Prepare, "other", 1, name, (9, 9)),
        ask(m.Prepare, fleet, 9, name, (9, 9)),
        ask(m.Met, fleet, "storage-w2", 3, "run-2", 1),
        ask(m.Met, fleet, "storage-w2", 4, "run-3", 0),
        ask(m.Seal, fleet, 1),
        ask(m.Look, fleet, 1, name),
        ask(m.Prepare, fleet, 1, m.SUCCESSOR, (7, 7)),
        ask(m.Status),
        ask(m.Install, NEXT_QUORUM, {name: SLOT}),
        ask(m.Look, fleet, 2, name),
        ask(m.Accept, fleet, 2, "lease/two", (1, 7), later),
        ask(m.Prepare, fleet, 2, "lease/two", (2, 9)),
        ask(m.Status),
    ]


def replica_session() -> tuple[bytes, bytes, bytes]:
    """Return the requests, the answers, and what the replica has stored in the end."""
    with temporary_folder() as folder:
        store = WitnessStore(folder, STORAGE)
        witness = replica("w1", store)
        requests = replica_requests()
        answers = [answer_of(witness, frame, store) for frame in requests]
        store.close()
        return b"".join(requests), b"".join(answers), dump_of(folder / "witness.sqlite3")


Exchange = Callable[[str, bytes], bytes]


def client_session(exchange: Exchange) -> list[list[object]]:
    """Run a client's operations against replicas; `exchange` carries a frame there and the answer back.

    It changes a register, reads it, meets a higher ballot, and moves the quorum on to other members.
    """
    numbers = iter(range(1, 1000))

    def number() -> int:
        return next(numbers)

    ended: list[list[object]] = []
    for name in (*NAMES, "w4"):
        members = QUORUM if name != "w4" else None
        if members is not None:
            exchange(name, codec.framed(messages.Install(number(), members, {}), KEY))
    rounds, others = Rounds(7), Rounds(11)
    others.heard((4, 7))
    for change, by, mark in (
        (record.take(record.Record(), 7, "one", 10_000.0), rounds, "a1"),
        (None, rounds, "a2"),
        (record.stand_in_line(11, "two"), others, "a3"),
        (record.renew(7, 1, 10_000.0), rounds, "a4"),
        (record.renew(8, 1, 10_000.0), rounds, "a5"),
    ):
        operation = Operation(QUORUM, "lease/job", change, by, mark, number)
        _run(operation, operation.begin(), exchange)
        if operation.outcome is None:
            _run(operation, operation.again(), exchange)
        assert operation.outcome is not None
        found = operation.outcome.register
        ended.append([operation.outcome.kind.value, found.version, found.mark, found.value.hex(), found.base])
    succession = Succession(QUORUM, NEXT_QUORUM.members, rounds, "a6", number)
    _run(succession, succession.begin(), exchange)
    assert succession.next is not None
    ended.append([succession.step.value, succession.next.quorum.epoch])
    return ended


def _run(asking: Operation | Succession, sends: Any, exchange: Exchange) -> None:
    waiting = list(sends)
    while waiting:
        name, request = waiting.pop(0)
        answer = codec.answer(exchange(name, codec.framed(request, KEY)), KEY)
        waiting += asking.heard(name, answer)


def client_transcript() -> bytes:
    """Run the client against replicas of this program and record every frame."""
    replicas = {name: replica(name) for name in (*NAMES, "w4")}
    frames: list[list[str]] = []

    def exchange(name: str, frame: bytes) -> bytes:
        answer = answer_of(replicas[name], frame)
        frames.append([name, frame.hex(), answer.hex()])
        return answer

    ended = client_session(exchange)
    return as_json({"frames": frames, "ended": ended})


# ------------------------------------------------------------------------------------ stores


def dump_of(path: Path) -> bytes:
    """Return the contents of a database as JSON, without the inode that differs on each disk."""
    db = sqlite3.connect(path)
    tables = dict(db.execute("select name, sql from sqlite_master where type = 'table' order by name"))
    found = {}
    for name, sql in tables.items():
        rows = [
            [{"hex": cell.hex()} if isinstance(cell, bytes) else cell for cell in row]
            for row in db.execute(f"select * from {name} order by 1")
        ]
        found[name] = {"sql": sql, "rows": [row for row in rows if row[0] not in ("inode", "second")]}
    db.close()
    return as_json(found)


def database_of(dump: bytes, path: Path) -> None:
    """Make a database of a dump."""
    db = sqlite3.connect(path)
    for name, table in json.loads(dump).items():
        db.execute(table["sql"])
        for row in table["rows"]:
            cells = [bytes.fromhex(cell["hex"]) if isinstance(cell, dict) else cell for cell in row]
            db.execute(f"insert into {name} values ({', '.join('?' * len(cells))})", cells)
    db.commit()
    db.close()


def stored_by_replica(dump: bytes) -> list[object]:
    """Open a replica's store and return what it holds."""
    with temporary_folder() as folder:
        database_of(dump, folder / "witness.sqlite3")
        store = WitnessStore(folder, "not used")
        store.close()
        saved = store.saved
        return [saved.storage, saved.starts, saved.quorum, saved.sealed, saved.slots, saved.met, store.copied]


def answers_from_store(dump: bytes) -> list[object]:
    """Ask a replica that was started on a stored state; before that, two others have heard of its start."""
    with temporary_folder() as folder:
        database_of(dump, folder / "witness.sqlite3")
        store = WitnessStore(folder, "not used")
        witness = replica("w1", store)
        for other in ("storage-w2", "storage-w4"):
            witness.remembered(messages.Remembered(1, other, 1, "run-before", None, {}), True)
        requests: list[messages.Request] = [
            messages.Look(1, "f1ee7", 2, "lease/job"),
            messages.Prepare(2, "f1ee7", 2, "lease/two", (2, 8)),
            messages.Prepare(3, "f1ee7", 2, "lease/two", (2, 10)),
            messages.Met(4, "f1ee7", "storage-w2", 4, "run-3", 2),
        ]
        found: list[object] = [witness.handle(request)[0] for request in requests]
        store.close()
        return found


def answers_expected_from_store() -> list[object]:
    """Return what `answers_from_store` is to give for the store of `replica_session`."""
    two = Register(4, "00000000000000ac", b"later", "00000000000000ab")
    return [
        messages.Seen(1, STORAGE, (4, 9), REGISTER),
        messages.Beaten(2, STORAGE, (2, 9)),
        messages.Promised(3, STORAGE, (1, 7), two),
        messages.Remembered(4, STORAGE, 4, "run-3", None, {}),
    ]


def replica_holds() -> list[object]:
    """Return what the store of `replica_session` holds when it is opened for the second time."""
    two = Slot((2, 9), (1, 7), Register(4, "00000000000000ac", b"later", "00000000000000ab"))
    slots = {"lease/job": SLOT, "lease/two": two}
    return [STORAGE, 2, NEXT_QUORUM, False, slots, {"storage-w2": (4, "run-3")}, False]


TOKENS = {"job": 41, "fleet/main": 2**40}


def write_tokens(tokens: dict[str, int]) -> bytes:
    """Take steps under fencing tokens and return what the guard has stored."""
    with temporary_folder() as folder:
        kept = Tokens(folder)
        guard = Guard(kept)
        assert all(
            guard.takes(task, token - 1) and guard.takes(task, token) for task, token in tokens.items()
        )
        kept.close()
        return dump_of(folder / "guard.sqlite3")


def read_tokens(dump: bytes) -> dict[str, int]:
    """Open a guard's store and return the highest tokens; a lower one is refused."""
    with temporary_folder() as folder:
        database_of(dump, folder / "guard.sqlite3")
        kept = Tokens(folder)
        guard = Guard(kept)
        assert not any(guard.takes(task, token - 1) for task, token in TOKENS.items())
        assert all(guard.takes(task, token) for task, token in TOKENS.items())
        found = {task: kept.highest(task) for task in TOKENS}
        kept.close()
        return found


T = TypeVar("T")


def recorded(kind: type[T], tag: int) -> T:
    """Read a golden message of that kind."""
    frame = (GOLDEN / f"quorum-{tag:02}.frame").read_bytes()
    message = read_request(frame) if tag in REQUESTS else read_answer(frame)
    assert isinstance(message, kind)
    return message


def fields_of_messages() -> object:
    """Return what the golden messages hold, by the names of their fields.

    Values are built by position elsewhere, which does not show two fields of one type that change places.
    """
    m = messages
    prepare, accept, look = recorded(m.Prepare, 1), recorded(m.Accept, 2), recorded(m.Look, 3)
    names, seal, install = recorded(m.Names, 4), recorded(m.Seal, 5), recorded(m.Install, 6)
    met, status = recorded(m.Met, 7), recorded(m.Status, 8)
    promised, accepted, seen = recorded(m.Promised, 21), recorded(m.Accepted, 22), recorded(m.Seen, 23)
    named, sealed, beaten = recorded(m.Named, 24), recorded(m.Sealed, 25), recorded(m.Beaten, 26)
    elsewhere, known, state = recorded(m.Elsewhere, 27), recorded(m.Remembered, 28), recorded(m.State, 29)
    refused = recorded(m.NotNow, 30)
    assert elsewhere.quorum is not None and known.quorum is not None and state.quorum is not None
    slot = install.slots["lease/job"]
    return [
        [prepare.number, prepare.fleet, prepare.epoch, prepare.key, prepare.ballot],
        [accept.number, accept.fleet, accept.epoch, accept.key, accept.ballot],
        [look.number, look.fleet, look.epoch, look.key],
        [names.number, names.fleet, names.epoch, names.start],
        [seal.number, seal.fleet, seal.epoch],
        [install.number, install.quorum.fleet, install.quorum.epoch],
        [[member.name, member.storage] for member in install.quorum.members],
        [slot.promised, slot.ballot, sorted(install.slots)],
        [slot.register.version, slot.register.mark, slot.register.value.hex(), slot.register.base],
        [met.number, met.fleet, met.storage, met.starts, met.run, met.epoch],
        [status.number],
        [promised.number, promised.storage, promised.ballot, promised.register.version],
        [accepted.number, accepted.storage],
        [seen.number, seen.storage, seen.ballot, seen.register.version],
        [named.number, named.storage, named.names],
        [sealed.number, sealed.storage, sorted(sealed.slots)],
        [beaten.number, beaten.storage, beaten.ballot],
        [elsewhere.number, elsewhere.storage, elsewhere.quorum.epoch, elsewhere.sealed],
        [known.number, known.storage, known.starts, known.run, known.quorum.epoch, sorted(known.slots)],
        [state.number, state.storage, state.name, state.starts, state.votes, state.sealed],
        [state.quorum.epoch, state.registers, state.up],
        [refused.number, refused.storage, refused.why],
    ]


QUORUM_FORMS: dict[str, Form] = {
    **_message_forms(),
    "quorum-fields.json": Form(fields_of_messages, as_json),
    "replica-requests.bin": Form(lambda: replica_session()[0], as_given),
    "replica-answers.bin": Form(lambda: replica_session()[1], as_given),
    "replica-store.json": Form(replica_holds, lambda _: replica_session()[2], stored_by_replica),
    "client-session.json": Form(client_transcript, as_given),
    "fencing-tokens.json": Form(lambda: TOKENS, write_tokens, read_tokens),
}

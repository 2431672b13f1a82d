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

from rosepick.consensus import codec, messages
from rosepick.consensus.acceptor import Acceptor
from rosepick.consensus.messages import Ballot, Quorum, QuorumMember, Register, RegisterState
from rosepick.consensus.proposer import BallotGenerator, Proposer, RegisterCommand
from rosepick.consensus.reconfiguration import QuorumReconfiguration
from rosepick.coordination.acceptor_store import AcceptorStore, SqliteFencingTokenStore
from rosepick.leases import lease_record
from rosepick.leases.fencing import FencingGuard

from .golden_support import GOLDEN, Form, as_given, as_json, constant, temporary_folder

KEY = b"a key of the golden files"
NAMES = ("w1", "w2", "w3")
Replica = Acceptor


# ------------------------------------------------------------------------------------ quorum messages

QUORUM = Quorum("f1ee7", 1, tuple(QuorumMember(name, f"storage-{name}") for name in NAMES))
NEXT_QUORUM = Quorum("f1ee7", 2, (*QUORUM.members[:2], QuorumMember("w4", "storage-w4")))
REGISTER = Register(3, "00000000000000ab", b"\x00value\xff", "00000000000000aa")
SLOT = RegisterState(Ballot(5, 7), Ballot(4, 9), REGISTER)
NUMBER = 2**40 + 1
STORAGE = "storage-w1"

REQUESTS = {
    1: messages.PrepareRequest(NUMBER, "f1ee7", 1, "lease/job", Ballot(5, 7)),
    2: messages.AcceptRequest(NUMBER, "f1ee7", 1, "lease/job", Ballot(5, 7), REGISTER),
    3: messages.ReadRequest(NUMBER, "f1ee7", 1, "lease/job"),
    4: messages.ListKeysRequest(NUMBER, "f1ee7", 1, "lease/"),
    5: messages.SealEpochRequest(NUMBER, "f1ee7", 1),
    6: messages.InstallEpochRequest(NUMBER, NEXT_QUORUM, {"lease/job": SLOT, "lease/new": RegisterState()}),
    7: messages.RestartCheckRequest(NUMBER, "f1ee7", STORAGE, 4, "run-1", 1),
    8: messages.StatusRequest(NUMBER),
}
ANSWERS = {
    21: messages.PromiseReply(NUMBER, STORAGE, Ballot(4, 9), REGISTER),
    22: messages.AcceptReply(NUMBER, STORAGE),
    23: messages.ReadReply(NUMBER, STORAGE, Ballot(4, 9), REGISTER),
    24: messages.ListKeysReply(NUMBER, STORAGE, ("lease/job", "lease/new")),
    25: messages.SealEpochReply(NUMBER, STORAGE, {"lease/job": SLOT}),
    26: messages.BallotConflictReply(NUMBER, STORAGE, Ballot(6, 11)),
    27: messages.WrongEpochReply(NUMBER, STORAGE, NEXT_QUORUM, True),
    28: messages.RestartCheckReply(NUMBER, STORAGE, 4, "run-1", NEXT_QUORUM, {"lease/job": SLOT}),
    29: messages.StatusReply(NUMBER, STORAGE, "w1", 4, True, False, QUORUM, 2, 12.5),
    30: messages.UnavailableReply(NUMBER, STORAGE, "not met"),
}


def tags_of_program() -> set[int]:
    """Return the tags of all messages that the program knows."""
    kinds = (*get_args(messages.QuorumRequest), *get_args(messages.QuorumReply))
    return {int(kind.__struct_config__.tag) for kind in kinds}


def write_frame(message: Any) -> bytes:
    """Encode a message with the key."""
    return codec.encode_frame(message, KEY)


def read_request(frame: bytes) -> Any:
    """Decode a request with the key."""
    return codec.decode_request(frame, KEY)


def read_answer(frame: bytes) -> Any:
    """Decode an answer with the key."""
    return codec.decode_reply(frame, KEY)


def split_frames(data: bytes) -> list[bytes]:
    """Split a stream into whole frames."""
    return codec.FrameDecoder().feed(data)


def _message_forms() -> dict[str, Form]:
    forms = {}
    for tag, request in REQUESTS.items():
        forms[f"quorum-{tag:02}.frame"] = Form(constant(request), write_frame, read_request)
    for tag, answer in ANSWERS.items():
        forms[f"quorum-{tag:02}.frame"] = Form(constant(answer), write_frame, read_answer)
    forms["quorum-without-key.frame"] = Form(lambda: REQUESTS[2], codec.encode_frame, codec.decode_request)
    return forms


# ------------------------------------------------------------------------------------ quorum sessions


def replica(name: str, store: AcceptorStore | None = None) -> Acceptor:
    """Make a replica with an empty storage, or on that of a store."""
    if store is not None:
        return Acceptor(name, store.state, f"run-{name}")
    with temporary_folder() as folder:
        fresh = AcceptorStore(folder, f"storage-{name}")
        fresh.close()
        return Acceptor(name, fresh.state, f"run-{name}")


def answer_of(witness: Acceptor, frame: bytes, store: AcceptorStore | None = None) -> bytes:
    """Answer a request as a replica's process does: what it rests on is stored first."""
    answer, changes = witness.handle(codec.decode_request(frame, KEY), 12.5)
    if store is not None and changes:
        store.save(changes)
    return codec.encode_frame(answer, KEY)


def replica_requests() -> list[bytes]:
    """Requests that bring one replica to give every answer, in order."""
    numbers = iter(range(1, 100))
    fleet, name = "f1ee7", "lease/job"
    later = Register(4, "00000000000000ac", b"later", "00000000000000ab")

    def ask(kind: Callable[..., Any], *rest: object) -> bytes:
        return codec.encode_frame(kind(next(numbers), *rest), KEY)

    m = messages
    return [
        ask(m.StatusRequest),
        ask(m.PrepareRequest, fleet, 1, name, Ballot(1, 7)),
        ask(m.InstallEpochRequest, QUORUM, {}),
        ask(m.InstallEpochRequest, Quorum("other", 1, QUORUM.members), {}),
        ask(m.PrepareRequest, fleet, 1, name, Ballot(5, 7)),
        ask(m.AcceptRequest, fleet, 1, name, Ballot(5, 7), REGISTER),
        ask(m.AcceptRequest, fleet, 1, name, Ballot(5, 7), later),
        ask(m.ReadRequest, fleet, 1, name),
        ask(m.ReadRequest, fleet, 1, "lease/none"),
        ask(m.PrepareRequest, fleet, 1, name, Ballot(4, 9)),
        ask(m.AcceptRequest, fleet, 1, name, Ballot(4, 9), later),
        ask(m.PrepareRequest, fleet, 1, name, Ballot(6, 9)),
        ask(m.AcceptRequest, fleet, 1, "k" * 201, Ballot(6, 9), later),
        ask(m.ListKeysRequest, fleet, 1, "lease/"),
        ask(m.PrepareRequest, "other", 1, name, Ballot(9, 9)),
        ask(m.PrepareRequest, fleet, 9, name, Ballot(9, 9)),
        ask(m.RestartCheckRequest, fleet, "storage-w2", 3, "run-2", 1),
        ask(m.RestartCheckRequest, fleet, "storage-w2", 4, "run-3", 0),
        ask(m.SealEpochRequest, fleet, 1),
        ask(m.ReadRequest, fleet, 1, name),
        ask(m.PrepareRequest, fleet, 1, m.SUCCESSOR_KEY, Ballot(7, 7)),
        ask(m.StatusRequest),
        ask(m.InstallEpochRequest, NEXT_QUORUM, {name: SLOT}),
        ask(m.ReadRequest, fleet, 2, name),
        ask(m.AcceptRequest, fleet, 2, "lease/two", Ballot(1, 7), later),
        ask(m.PrepareRequest, fleet, 2, "lease/two", Ballot(2, 9)),
        ask(m.StatusRequest),
    ]


def replica_session() -> tuple[bytes, bytes, bytes]:
    """Return the requests, the answers, and what the replica has stored in the end."""
    with temporary_folder() as folder:
        store = AcceptorStore(folder, STORAGE)
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
            exchange(name, codec.encode_frame(messages.InstallEpochRequest(number(), members, {}), KEY))
    rounds, others = BallotGenerator(7), BallotGenerator(11)
    others.observe(Ballot(4, 7))
    for change, by, mark in (
        (lease_record.acquire(lease_record.LeaseRecord(), 7, "one", 10_000.0), rounds, "a1"),
        (None, rounds, "a2"),
        (lease_record.join_queue(11, "two"), others, "a3"),
        (lease_record.renew(7, 1, 10_000.0), rounds, "a4"),
        (lease_record.renew(8, 1, 10_000.0), rounds, "a5"),
    ):
        operation = Proposer(QUORUM, RegisterCommand("lease/job", change, mark), by, number)
        _run(operation, operation.start(), exchange)
        if operation.outcome is None:
            _run(operation, operation.retry(), exchange)
        assert operation.outcome is not None
        found = operation.outcome.register
        ended.append(
            [
                operation.outcome.kind.value,
                found.version,
                found.change_id,
                found.value.hex(),
                found.parent_change_id,
            ]
        )
    succession = QuorumReconfiguration(QUORUM, NEXT_QUORUM.members, rounds, "a6", number)
    _run(succession, succession.start(), exchange)
    assert succession.successor is not None
    ended.append([succession.phase.value, succession.successor.quorum.epoch])
    return ended


def _run(asking: Proposer | QuorumReconfiguration, sends: Any, exchange: Exchange) -> None:
    waiting = list(sends)
    while waiting:
        name, request = waiting.pop(0)
        answer = codec.decode_reply(exchange(name, codec.encode_frame(request, KEY)), KEY)
        waiting += asking.handle_reply(name, answer)


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
        store = AcceptorStore(folder, "not used")
        store.close()
        saved = store.state
        return [
            saved.storage_id,
            saved.start_count,
            saved.quorum,
            saved.is_sealed,
            saved.register_states,
            saved.known_starts,
            store.was_copied,
        ]


def answers_from_store(dump: bytes) -> list[object]:
    """Ask a replica that was started on a stored state; before that, two others have heard of its start."""
    with temporary_folder() as folder:
        database_of(dump, folder / "witness.sqlite3")
        store = AcceptorStore(folder, "not used")
        witness = replica("w1", store)
        for other in ("storage-w2", "storage-w4"):
            witness.handle_restart_check_reply(
                messages.RestartCheckReply(1, other, 1, "run-before", None, {}), True
            )
        requests: list[messages.QuorumRequest] = [
            messages.ReadRequest(1, "f1ee7", 2, "lease/job"),
            messages.PrepareRequest(2, "f1ee7", 2, "lease/two", Ballot(2, 8)),
            messages.PrepareRequest(3, "f1ee7", 2, "lease/two", Ballot(2, 10)),
            messages.RestartCheckRequest(4, "f1ee7", "storage-w2", 4, "run-3", 2),
        ]
        found: list[object] = [witness.handle(request)[0] for request in requests]
        store.close()
        return found


def answers_expected_from_store() -> list[object]:
    """Return what `answers_from_store` is to give for the store of `replica_session`."""
    two = Register(4, "00000000000000ac", b"later", "00000000000000ab")
    return [
        messages.ReadReply(1, STORAGE, Ballot(4, 9), REGISTER),
        messages.BallotConflictReply(2, STORAGE, Ballot(2, 9)),
        messages.PromiseReply(3, STORAGE, Ballot(1, 7), two),
        messages.RestartCheckReply(4, STORAGE, 4, "run-3", None, {}),
    ]


def replica_holds() -> list[object]:
    """Return what the store of `replica_session` holds when it is opened for the second time."""
    two = RegisterState(
        Ballot(2, 9), Ballot(1, 7), Register(4, "00000000000000ac", b"later", "00000000000000ab")
    )
    slots = {"lease/job": SLOT, "lease/two": two}
    return [STORAGE, 2, NEXT_QUORUM, False, slots, {"storage-w2": (4, "run-3")}, False]


TOKENS = {"job": 41, "fleet/main": 2**40}


def write_tokens(tokens: dict[str, int]) -> bytes:
    """Take steps under fencing tokens and return what the guard has stored."""
    with temporary_folder() as folder:
        kept = SqliteFencingTokenStore(folder)
        guard = FencingGuard(kept)
        assert all(
            guard.accepts(task, token - 1) and guard.accepts(task, token) for task, token in tokens.items()
        )
        kept.close()
        return dump_of(folder / "guard.sqlite3")


def read_tokens(dump: bytes) -> dict[str, int]:
    """Open a guard's store and return the highest tokens; a lower one is refused."""
    with temporary_folder() as folder:
        database_of(dump, folder / "guard.sqlite3")
        kept = SqliteFencingTokenStore(folder)
        guard = FencingGuard(kept)
        assert not any(guard.accepts(task, token - 1) for task, token in TOKENS.items())
        assert all(guard.accepts(task, token) for task, token in TOKENS.items())
        found = {task: kept.highest_token(task) for task in TOKENS}
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
    prepare, accept, look = (
        recorded(m.PrepareRequest, 1),
        recorded(m.AcceptRequest, 2),
        recorded(m.ReadRequest, 3),
    )
    names, seal, install = (
        recorded(m.ListKeysRequest, 4),
        recorded(m.SealEpochRequest, 5),
        recorded(m.InstallEpochRequest, 6),
    )
    met, status = recorded(m.RestartCheckRequest, 7), recorded(m.StatusRequest, 8)
    promised, accepted, seen = (
        recorded(m.PromiseReply, 21),
        recorded(m.AcceptReply, 22),
        recorded(m.ReadReply, 23),
    )
    named, sealed, beaten = (
        recorded(m.ListKeysReply, 24),
        recorded(m.SealEpochReply, 25),
        recorded(m.BallotConflictReply, 26),
    )
    elsewhere, known, state = (
        recorded(m.WrongEpochReply, 27),
        recorded(m.RestartCheckReply, 28),
        recorded(m.StatusReply, 29),
    )
    refused = recorded(m.UnavailableReply, 30)
    assert elsewhere.quorum is not None and known.quorum is not None and state.quorum is not None
    slot = install.register_states["lease/job"]
    return [
        [prepare.request_id, prepare.fleet_id, prepare.epoch, prepare.key, prepare.ballot],
        [accept.request_id, accept.fleet_id, accept.epoch, accept.key, accept.ballot],
        [look.request_id, look.fleet_id, look.epoch, look.key],
        [names.request_id, names.fleet_id, names.epoch, names.key_prefix],
        [seal.request_id, seal.fleet_id, seal.epoch],
        [install.request_id, install.quorum.fleet_id, install.quorum.epoch],
        [[member.name, member.storage_id] for member in install.quorum.members],
        [slot.promised_ballot, slot.accepted_ballot, sorted(install.register_states)],
        [
            slot.register.version,
            slot.register.change_id,
            slot.register.value.hex(),
            slot.register.parent_change_id,
        ],
        [met.request_id, met.fleet_id, met.storage_id, met.start_count, met.run_id, met.epoch],
        [status.request_id],
        [promised.request_id, promised.storage_id, promised.accepted_ballot, promised.register.version],
        [accepted.request_id, accepted.storage_id],
        [seen.request_id, seen.storage_id, seen.accepted_ballot, seen.register.version],
        [named.request_id, named.storage_id, named.keys],
        [sealed.request_id, sealed.storage_id, sorted(sealed.register_states)],
        [beaten.request_id, beaten.storage_id, beaten.promised_ballot],
        [elsewhere.request_id, elsewhere.storage_id, elsewhere.quorum.epoch, elsewhere.is_sealed],
        [
            known.request_id,
            known.storage_id,
            known.start_count,
            known.run_id,
            known.quorum.epoch,
            sorted(known.register_states),
        ],
        [state.request_id, state.storage_id, state.name, state.start_count, state.is_voting, state.is_sealed],
        [state.quorum.epoch, state.register_count, state.uptime_s],
        [refused.request_id, refused.storage_id, refused.reason],
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

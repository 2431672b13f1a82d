"""Representative values of the quorum's wire and stored forms: messages, sessions, stores, fencing tokens.

The rules of golden_forms apply: names of the program are imported only in these modules, values are built by
position, and enumeration members by value.
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
REGISTER_STATE = RegisterState(Ballot(5, 7), Ballot(4, 9), REGISTER)
REQUEST_ID = 2**40 + 1
STORAGE = "storage-w1"

REQUESTS = {
    1: messages.PrepareRequest(REQUEST_ID, "f1ee7", 1, "lease/job", Ballot(5, 7)),
    2: messages.AcceptRequest(REQUEST_ID, "f1ee7", 1, "lease/job", Ballot(5, 7), REGISTER),
    3: messages.ReadRequest(REQUEST_ID, "f1ee7", 1, "lease/job"),
    4: messages.ListKeysRequest(REQUEST_ID, "f1ee7", 1, "lease/"),
    5: messages.SealEpochRequest(REQUEST_ID, "f1ee7", 1),
    6: messages.InstallEpochRequest(
        REQUEST_ID, NEXT_QUORUM, {"lease/job": REGISTER_STATE, "lease/new": RegisterState()}
    ),
    7: messages.RestartCheckRequest(REQUEST_ID, "f1ee7", STORAGE, 4, "run-1", 1),
    8: messages.StatusRequest(REQUEST_ID),
}
REPLIES = {
    21: messages.PromiseReply(REQUEST_ID, STORAGE, Ballot(4, 9), REGISTER),
    22: messages.AcceptReply(REQUEST_ID, STORAGE),
    23: messages.ReadReply(REQUEST_ID, STORAGE, Ballot(4, 9), REGISTER),
    24: messages.ListKeysReply(REQUEST_ID, STORAGE, ("lease/job", "lease/new")),
    25: messages.SealEpochReply(REQUEST_ID, STORAGE, {"lease/job": REGISTER_STATE}),
    26: messages.BallotConflictReply(REQUEST_ID, STORAGE, Ballot(6, 11)),
    27: messages.WrongEpochReply(REQUEST_ID, STORAGE, NEXT_QUORUM, True),
    28: messages.RestartCheckReply(
        REQUEST_ID, STORAGE, 4, "run-1", NEXT_QUORUM, {"lease/job": REGISTER_STATE}
    ),
    29: messages.StatusReply(REQUEST_ID, STORAGE, "w1", 4, True, False, QUORUM, 2, 12.5),
    30: messages.UnavailableReply(REQUEST_ID, STORAGE, "not met"),
}


def tags_of_program() -> set[int]:
    """Return the tags of all messages that the program can decode."""
    kinds = (*get_args(messages.QuorumRequest), *get_args(messages.QuorumReply))
    return {int(kind.__struct_config__.tag) for kind in kinds}


def write_frame(message: Any) -> bytes:
    """Encode a message with the key."""
    return codec.encode_frame(message, KEY)


def read_request(frame: bytes) -> Any:
    """Decode a request with the key."""
    return codec.decode_request(frame, KEY)


def read_reply(frame: bytes) -> Any:
    """Decode a reply with the key."""
    return codec.decode_reply(frame, KEY)


def split_frames(data: bytes) -> list[bytes]:
    """Split a byte stream into complete frames."""
    return codec.FrameDecoder().feed(data)


def _message_forms() -> dict[str, Form]:
    forms = {}
    for tag, request in REQUESTS.items():
        forms[f"quorum-{tag:02}.frame"] = Form(constant(request), write_frame, read_request)
    for tag, reply in REPLIES.items():
        forms[f"quorum-{tag:02}.frame"] = Form(constant(reply), write_frame, read_reply)
    forms["quorum-without-key.frame"] = Form(lambda: REQUESTS[2], codec.encode_frame, codec.decode_request)
    return forms


# ------------------------------------------------------------------------------------ quorum sessions


def replica(name: str, store: AcceptorStore | None = None) -> Acceptor:
    """Return a replica with an empty storage, or with the state of a store."""
    if store is not None:
        return Acceptor(name, store.state, f"run-{name}")
    with temporary_folder() as folder:
        fresh = AcceptorStore(folder, f"storage-{name}")
        fresh.close()
        return Acceptor(name, fresh.state, f"run-{name}")


def reply_frame(acceptor: Acceptor, frame: bytes, store: AcceptorStore | None = None) -> bytes:
    """Answer a request like a replica's process: the changes are stored before the reply is returned."""
    reply, changes = acceptor.handle(codec.decode_request(frame, KEY), 12.5)
    if store is not None and changes:
        store.save(changes)
    return codec.encode_frame(reply, KEY)


def replica_requests() -> list[bytes]:
    """Return requests that make one replica send every kind of reply, in order."""
    numbers = iter(range(1, 100))
    fleet, key = "f1ee7", "lease/job"
    later = Register(4, "00000000000000ac", b"later", "00000000000000ab")

    def request(message_type: Callable[..., Any], *fields: object) -> bytes:
        return codec.encode_frame(message_type(next(numbers), *fields), KEY)

    m = messages
    return [
        request(m.StatusRequest),
        request(m.PrepareRequest, fleet, 1, key, Ballot(1, 7)),
        request(m.InstallEpochRequest, QUORUM, {}),
        request(m.InstallEpochRequest, Quorum("other", 1, QUORUM.members), {}),
        request(m.PrepareRequest, fleet, 1, key, Ballot(5, 7)),
        request(m.AcceptRequest, fleet, 1, key, Ballot(5, 7), REGISTER),
        request(m.AcceptRequest, fleet, 1, key, Ballot(5, 7), later),
        request(m.ReadRequest, fleet, 1, key),
        request(m.ReadRequest, fleet, 1, "lease/none"),
        request(m.PrepareRequest, fleet, 1, key, Ballot(4, 9)),
        request(m.AcceptRequest, fleet, 1, key, Ballot(4, 9), later),
        request(m.PrepareRequest, fleet, 1, key, Ballot(6, 9)),
        request(m.AcceptRequest, fleet, 1, "k" * 201, Ballot(6, 9), later),
        request(m.ListKeysRequest, fleet, 1, "lease/"),
        request(m.PrepareRequest, "other", 1, key, Ballot(9, 9)),
        request(m.PrepareRequest, fleet, 9, key, Ballot(9, 9)),
        request(m.RestartCheckRequest, fleet, "storage-w2", 3, "run-2", 1),
        request(m.RestartCheckRequest, fleet, "storage-w2", 4, "run-3", 0),
        request(m.SealEpochRequest, fleet, 1),
        request(m.ReadRequest, fleet, 1, key),
        request(m.PrepareRequest, fleet, 1, m.SUCCESSOR_KEY, Ballot(7, 7)),
        request(m.StatusRequest),
        request(m.InstallEpochRequest, NEXT_QUORUM, {key: REGISTER_STATE}),
        request(m.ReadRequest, fleet, 2, key),
        request(m.AcceptRequest, fleet, 2, "lease/two", Ballot(1, 7), later),
        request(m.PrepareRequest, fleet, 2, "lease/two", Ballot(2, 9)),
        request(m.StatusRequest),
    ]


def replica_session() -> tuple[bytes, bytes, bytes]:
    """Return the requests, the replies, and the final contents of the replica's store."""
    with temporary_folder() as folder:
        store = AcceptorStore(folder, STORAGE)
        acceptor = replica("w1", store)
        requests = replica_requests()
        replies = [reply_frame(acceptor, frame, store) for frame in requests]
        store.close()
        return b"".join(requests), b"".join(replies), dump_of(folder / "witness.sqlite3")


Exchange = Callable[[str, bytes], bytes]


def client_session(exchange: Exchange) -> list[list[object]]:
    """Run a client's operations on replicas; `exchange` sends a frame to a replica and returns its reply.

    The client changes a register, reads it, finds a higher ballot, and replaces the quorum.
    """
    numbers = iter(range(1, 1000))

    def number() -> int:
        return next(numbers)

    outcomes: list[list[object]] = []
    for name in (*NAMES, "w4"):
        members = QUORUM if name != "w4" else None
        if members is not None:
            exchange(name, codec.encode_frame(messages.InstallEpochRequest(number(), members, {}), KEY))
    ballots, other_ballots = BallotGenerator(7), BallotGenerator(11)
    other_ballots.observe(Ballot(4, 7))
    for change, generator, change_id in (
        (lease_record.acquire(lease_record.LeaseRecord(), 7, "one", 10_000.0), ballots, "a1"),
        (None, ballots, "a2"),
        (lease_record.join_queue(11, "two"), other_ballots, "a3"),
        (lease_record.renew(7, 1, 10_000.0), ballots, "a4"),
        (lease_record.renew(8, 1, 10_000.0), ballots, "a5"),
    ):
        operation = Proposer(QUORUM, RegisterCommand("lease/job", change, change_id), generator, number)
        _run(operation, operation.start(), exchange)
        if operation.outcome is None:
            _run(operation, operation.retry(), exchange)
        assert operation.outcome is not None
        register = operation.outcome.register
        outcomes.append(
            [
                operation.outcome.kind.value,
                register.version,
                register.change_id,
                register.value.hex(),
                register.parent_change_id,
            ]
        )
    reconfiguration = QuorumReconfiguration(QUORUM, NEXT_QUORUM.members, ballots, "a6", number)
    _run(reconfiguration, reconfiguration.start(), exchange)
    assert reconfiguration.successor is not None
    outcomes.append([reconfiguration.phase.value, reconfiguration.successor.quorum.epoch])
    return outcomes


def _run(sender: Proposer | QuorumReconfiguration, first_requests: Any, exchange: Exchange) -> None:
    requests = list(first_requests)
    while requests:
        name, request = requests.pop(0)
        reply = codec.decode_reply(exchange(name, codec.encode_frame(request, KEY)), KEY)
        requests += sender.handle_reply(name, reply)


def client_transcript() -> bytes:
    """Run the client on replicas of this program and record all frames."""
    replicas = {name: replica(name) for name in (*NAMES, "w4")}
    frames: list[list[str]] = []

    def exchange(name: str, frame: bytes) -> bytes:
        reply = reply_frame(replicas[name], frame)
        frames.append([name, frame.hex(), reply.hex()])
        return reply

    outcomes = client_session(exchange)
    return as_json({"frames": frames, "ended": outcomes})


# ------------------------------------------------------------------------------------ stores


def dump_of(path: Path) -> bytes:
    """Return the contents of a database as JSON, without the values that depend on the file system."""
    db = sqlite3.connect(path)
    tables = dict(db.execute("select name, sql from sqlite_master where type = 'table' order by name"))
    contents = {}
    for name, sql in tables.items():
        rows = [
            [{"hex": cell.hex()} if isinstance(cell, bytes) else cell for cell in row]
            for row in db.execute(f"select * from {name} order by 1")
        ]
        contents[name] = {"sql": sql, "rows": [row for row in rows if row[0] not in ("inode", "second")]}
    db.close()
    return as_json(contents)


def database_of(dump: bytes, path: Path) -> None:
    """Create a database from a dump."""
    db = sqlite3.connect(path)
    for name, table in json.loads(dump).items():
        db.execute(table["sql"])
        for row in table["rows"]:
            cells = [bytes.fromhex(cell["hex"]) if isinstance(cell, dict) else cell for cell in row]
            db.execute(f"insert into {name} values ({', '.join('?' * len(cells))})", cells)
    db.commit()
    db.close()


def stored_by_replica(dump: bytes) -> list[object]:
    """Open a replica's store and return its contents."""
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
    """Return the replies of a replica that starts from a stored state, after a successful restart check."""
    with temporary_folder() as folder:
        database_of(dump, folder / "witness.sqlite3")
        store = AcceptorStore(folder, "not used")
        acceptor = replica("w1", store)
        for other in ("storage-w2", "storage-w4"):
            acceptor.handle_restart_check_reply(
                messages.RestartCheckReply(1, other, 1, "run-before", None, {}), True
            )
        requests: list[messages.QuorumRequest] = [
            messages.ReadRequest(1, "f1ee7", 2, "lease/job"),
            messages.PrepareRequest(2, "f1ee7", 2, "lease/two", Ballot(2, 8)),
            messages.PrepareRequest(3, "f1ee7", 2, "lease/two", Ballot(2, 10)),
            messages.RestartCheckRequest(4, "f1ee7", "storage-w2", 4, "run-3", 2),
        ]
        replies: list[object] = [acceptor.handle(request)[0] for request in requests]
        store.close()
        return replies


def answers_expected_from_store() -> list[object]:
    """Return the replies that `answers_from_store` must return for the store of `replica_session`."""
    two = Register(4, "00000000000000ac", b"later", "00000000000000ab")
    return [
        messages.ReadReply(1, STORAGE, Ballot(4, 9), REGISTER),
        messages.BallotConflictReply(2, STORAGE, Ballot(2, 9)),
        messages.PromiseReply(3, STORAGE, Ballot(1, 7), two),
        messages.RestartCheckReply(4, STORAGE, 4, "run-3", None, {}),
    ]


def replica_holds() -> list[object]:
    """Return the contents of the store of `replica_session` when it is opened for the second time."""
    two = RegisterState(
        Ballot(2, 9), Ballot(1, 7), Register(4, "00000000000000ac", b"later", "00000000000000ab")
    )
    register_states = {"lease/job": REGISTER_STATE, "lease/two": two}
    return [STORAGE, 2, NEXT_QUORUM, False, register_states, {"storage-w2": (4, "run-3")}, False]


TOKENS = {"job": 41, "fleet/main": 2**40}


def write_tokens(tokens: dict[str, int]) -> bytes:
    """Take steps under fencing tokens and return the contents of the guard's store."""
    with temporary_folder() as folder:
        store = SqliteFencingTokenStore(folder)
        guard = FencingGuard(store)
        assert all(
            guard.accepts(task, token - 1) and guard.accepts(task, token) for task, token in tokens.items()
        )
        store.close()
        return dump_of(folder / "guard.sqlite3")


def read_tokens(dump: bytes) -> dict[str, int]:
    """Open a guard's store and return the highest tokens; lower ones are refused."""
    with temporary_folder() as folder:
        database_of(dump, folder / "guard.sqlite3")
        store = SqliteFencingTokenStore(folder)
        guard = FencingGuard(store)
        assert not any(guard.accepts(task, token - 1) for task, token in TOKENS.items())
        assert all(guard.accepts(task, token) for task, token in TOKENS.items())
        highest = {task: store.highest_token(task) for task in TOKENS}
        store.close()
        return highest


T = TypeVar("T")


def recorded(message_type: type[T], tag: int) -> T:
    """Read the golden message with a tag, which must have the given type."""
    frame = (GOLDEN / f"quorum-{tag:02}.frame").read_bytes()
    message = read_request(frame) if tag in REQUESTS else read_reply(frame)
    assert isinstance(message, message_type)
    return message


def fields_of_messages() -> object:
    """Return the values in the golden messages, read by the names of their fields.

    The other forms are built by position, so they do not show that two fields of one type were swapped.
    """
    m = messages
    prepare, accept, read = (
        recorded(m.PrepareRequest, 1),
        recorded(m.AcceptRequest, 2),
        recorded(m.ReadRequest, 3),
    )
    list_keys, seal, install = (
        recorded(m.ListKeysRequest, 4),
        recorded(m.SealEpochRequest, 5),
        recorded(m.InstallEpochRequest, 6),
    )
    restart_check, status_request = recorded(m.RestartCheckRequest, 7), recorded(m.StatusRequest, 8)
    promise, accept_reply, read_register = (
        recorded(m.PromiseReply, 21),
        recorded(m.AcceptReply, 22),
        recorded(m.ReadReply, 23),
    )
    list_keys_reply, seal_reply, ballot_conflict = (
        recorded(m.ListKeysReply, 24),
        recorded(m.SealEpochReply, 25),
        recorded(m.BallotConflictReply, 26),
    )
    wrong_epoch, restart_check_reply, status_reply = (
        recorded(m.WrongEpochReply, 27),
        recorded(m.RestartCheckReply, 28),
        recorded(m.StatusReply, 29),
    )
    unavailable = recorded(m.UnavailableReply, 30)
    assert (
        wrong_epoch.quorum is not None
        and restart_check_reply.quorum is not None
        and status_reply.quorum is not None
    )
    register_state = install.register_states["lease/job"]
    return [
        [prepare.request_id, prepare.fleet_id, prepare.epoch, prepare.key, prepare.ballot],
        [accept.request_id, accept.fleet_id, accept.epoch, accept.key, accept.ballot],
        [read.request_id, read.fleet_id, read.epoch, read.key],
        [list_keys.request_id, list_keys.fleet_id, list_keys.epoch, list_keys.key_prefix],
        [seal.request_id, seal.fleet_id, seal.epoch],
        [install.request_id, install.quorum.fleet_id, install.quorum.epoch],
        [[member.name, member.storage_id] for member in install.quorum.members],
        [register_state.promised_ballot, register_state.accepted_ballot, sorted(install.register_states)],
        [
            register_state.register.version,
            register_state.register.change_id,
            register_state.register.value.hex(),
            register_state.register.parent_change_id,
        ],
        [
            restart_check.request_id,
            restart_check.fleet_id,
            restart_check.storage_id,
            restart_check.start_count,
            restart_check.run_id,
            restart_check.epoch,
        ],
        [status_request.request_id],
        [promise.request_id, promise.storage_id, promise.accepted_ballot, promise.register.version],
        [accept_reply.request_id, accept_reply.storage_id],
        [
            read_register.request_id,
            read_register.storage_id,
            read_register.accepted_ballot,
            read_register.register.version,
        ],
        [list_keys_reply.request_id, list_keys_reply.storage_id, list_keys_reply.keys],
        [seal_reply.request_id, seal_reply.storage_id, sorted(seal_reply.register_states)],
        [ballot_conflict.request_id, ballot_conflict.storage_id, ballot_conflict.promised_ballot],
        [wrong_epoch.request_id, wrong_epoch.storage_id, wrong_epoch.quorum.epoch, wrong_epoch.is_sealed],
        [
            restart_check_reply.request_id,
            restart_check_reply.storage_id,
            restart_check_reply.start_count,
            restart_check_reply.run_id,
            restart_check_reply.quorum.epoch,
            sorted(restart_check_reply.register_states),
        ],
        [
            status_reply.request_id,
            status_reply.storage_id,
            status_reply.name,
            status_reply.start_count,
            status_reply.is_voting,
            status_reply.is_sealed,
        ],
        [status_reply.quorum.epoch, status_reply.register_count, status_reply.uptime_s],
        [unavailable.request_id, unavailable.storage_id, unavailable.reason],
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

"""Representative values of the stored and wire forms of the agreement, leases and the fleet.

The files in tests/golden were written by the program at a8254ac. `python -m tests.golden_forms` writes the
files that are missing and never overwrites one: a file is replaced by hand only, when a form is changed on
purpose. tests/test_golden.py compares the program with the files.

Every name of the program that the golden tests use is imported here and nowhere else. Values are built by
position and enumerations by value, so a rename touches this module alone. The files hold what is on a wire
or on a disk, never the name of a class or of a field.
"""

from __future__ import annotations

import json
import sqlite3
import tempfile
import zlib
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any, get_args

import msgspec

from rosepick.agreement import codec, messages
from rosepick.agreement.messages import Member, Quorum, Register, Slot
from rosepick.agreement.operation import Change, Operation, Rounds
from rosepick.agreement.succession import Succession
from rosepick.agreement.witness import Witness
from rosepick.fleet import ledger, release, warden
from rosepick.fleet.budget import Budget, Limit
from rosepick.fleet.carrier import Carrier, Ready
from rosepick.fleet.carrier import Terms as CarrierTerms
from rosepick.fleet.judge import Figures, Judge
from rosepick.leases import record
from rosepick.leases.guard import Guard
from rosepick.net.kept import Keep
from rosepick.net.releasing import digest_of
from rosepick.net.store import Tokens, WitnessStore

GOLDEN = Path(__file__).resolve().parent / "golden"
KEY = b"a key of the golden files"
NAMES = ("w1", "w2", "w3")
NOON = 1_700_000_000.25  # seconds of the wall clock
Replica = Witness
SAME: Callable[[bytes], bytes] = bytes


@dataclass(frozen=True)
class Form:
    """One form: a representative value, and how the program writes and reads it.

    `comparable` turns the bytes into those that have to be equal, where the form itself is not exact.
    """

    value: Callable[[], Any]
    write: Callable[[Any], bytes]
    read: Callable[[bytes], Any] | None = None
    comparable: Callable[[bytes], bytes] = SAME


def constant(value: object) -> Callable[[], object]:
    """Return a function that gives a value."""
    return lambda: value


def as_json(value: object) -> bytes:
    """Encode a value as JSON that is pleasant to compare line by line."""
    return (json.dumps(value, indent=1, sort_keys=True) + "\n").encode()


def as_given(value: bytes) -> bytes:
    """Write bytes as they are."""
    return value


def text_of(folder: Path, name: str, data: bytes) -> Path:
    """Write a file and return its path."""
    path = folder / name
    path.write_bytes(data)
    return path


@contextmanager
def temporary_folder() -> Iterator[Path]:
    """Give a folder that is removed at the end."""
    with tempfile.TemporaryDirectory() as name:
        yield Path(name)


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
        ask(m.Status), ask(m.Prepare, fleet, 1, name, (1, 7)),
        ask(m.Install, QUORUM, {}), ask(m.Install, Quorum("other", 1, QUORUM.members), {}),
        ask(m.Prepare, fleet, 1, name, (5, 7)), ask(m.Accept, fleet, 1, name, (5, 7), REGISTER),
        ask(m.Accept, fleet, 1, name, (5, 7), later), ask(m.Look, fleet, 1, name),
        ask(m.Look, fleet, 1, "lease/none"), ask(m.Prepare, fleet, 1, name, (4, 9)),
        ask(m.Accept, fleet, 1, name, (4, 9), later), ask(m.Prepare, fleet, 1, name, (6, 9)),
        ask(m.Accept, fleet, 1, "k" * 201, (6, 9), later), ask(m.Names, fleet, 1, "lease/"),
        ask(m.Prepare, "other", 1, name, (9, 9)), ask(m.Prepare, fleet, 9, name, (9, 9)),
        ask(m.Met, fleet, "storage-w2", 3, "run-2", 1), ask(m.Met, fleet, "storage-w2", 4, "run-3", 0),
        ask(m.Seal, fleet, 1), ask(m.Look, fleet, 1, name),
        ask(m.Prepare, fleet, 1, m.SUCCESSOR, (7, 7)), ask(m.Status),
        ask(m.Install, NEXT_QUORUM, {name: SLOT}), ask(m.Look, fleet, 2, name),
        ask(m.Accept, fleet, 2, "lease/two", (1, 7), later), ask(m.Prepare, fleet, 2, "lease/two", (2, 9)),
        ask(m.Status),
    ]  # fmt: skip


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


# ------------------------------------------------------------------------------------ leases


def register_after(changes: list[Change]) -> Register:
    """Apply changes to an empty register, one after the other."""
    register = Register()
    for number, change in enumerate(changes, 1):
        register = Register(number, f"{number:016x}", change(register), register.mark)
    return register


LEASE = record.Record(
    3, True, 2**61 + 1, "one", 2, 10_000.0, (record.Waiter(0, "two"), record.Waiter(9, "three")), "a note"
)


def lease_changes() -> list[Change]:
    """Return the changes of a lease's life."""
    one, two = 2**61 + 1, 9
    return [
        record.take(record.Record(), one, "one", 10_000.0),
        record.stand_in_line(two, "two"),
        record.stand_in_line(12, "three"),
        record.renew(one, 1, 12_000.0),
        record.leave_line(12),
        record.give_back(one, 1, "four"),
        record.take(record.Record(1, False, one, "one", 1), two, "two", 10_000.0),
        record.force("somebody@host", "a test"),
    ]


def lease_history() -> list[bytes]:
    """Return a lease's value after each change of its life."""
    changes = lease_changes()
    return [register_after(changes[:count]).value for count in range(1, len(changes) + 1)]


def changed(value: bytes, change: Change) -> bytes:
    """Return what a change makes of a register's value."""
    return change(Register(1, "", value))


def write_register(value: object) -> bytes:
    """Encode what a register holds: a lease, or a member's report."""
    return msgspec.msgpack.encode(value)


def read_lease(data: bytes) -> object:
    """Decode a lease."""
    return record.read(Register(1, "", data))


# ------------------------------------------------------------------------------------ fleet

BUDGET = Budget(
    Limit(2, 0.25, 0.5, 1, 0.5, 0.75, 2, 1), Limit(), ((420, 570),), {"switch-1": ["r1", "r2"]}, 1, Limit(4)
)


def ledger_changes() -> list[Change]:
    """Changes that fill a ledger with members in every state."""
    names = ("r1", "r2", "r3", "r4", "r5", "r6")
    rules = BUDGET.digest()
    found = [
        ledger.join(name, ledger.Kind(0), "e" if n % 2 else "w", 1000 + n, rules, NOON)
        for n, name in enumerate(names)
    ]
    found += [ledger.join("c1", ledger.Kind(1), "e", 500, rules, NOON + 1)]
    seen = dict.fromkeys((*names, "c1"), False)
    found += [ledger.counted(seen, 1000, 930, 1, "", "warden", NOON + 2)]
    found += [ledger.want_out(names[:5], "me@host", "new kernels", NOON + 3)]
    found += [ledger.want_out(["c1"], "me@host", "its host dies", NOON + 3, True, True)]
    found += [ledger.want_out(["r6"], "release 3", "to run new", NOON + 3, False, False, True)]

    def allow(seen: ledger.Ledger, name: str) -> bool:
        return True

    found += [ledger.take(name, allow, NOON + 4) for name in (*names[:4], "c1")]
    for permit, name in enumerate(names[1:4], 2):
        found += [ledger.begin(name, permit, NOON + 5)]
    found += [ledger.gone("r3", 3, NOON + 6), ledger.gone("r4", 4, NOON + 6)]
    found += [ledger.coming("r4", 4, NOON + 7), ledger.withdraw("r1", 1, NOON + 7)]
    found += [ledger.want_in(["r5"], "me@host", NOON + 8)]
    found += [ledger.write_off("r5", "me@host", "sold", NOON + 8)]
    found += [ledger.counted({"r6": True}, 800, 900, 2, "", "warden", NOON + 9)]
    found += [ledger.halt("me@host", "a storm", NOON + 10)]
    return found


def ledger_value() -> ledger.Ledger:
    """Return a ledger with members in every state."""
    return ledger.read(register_after(ledger_changes()))


def read_ledger(data: bytes) -> object:
    """Decode a ledger."""
    return ledger.read(Register(1, "", data))


def inflated(data: bytes) -> bytes:
    """Return the form's byte and the plain document: what deflating makes of it is the library's choice."""
    return data[:1] + zlib.decompress(data[1:], -15)


def evidence() -> tuple[float, ...]:
    """Return what a judge stores of a wave that is being watched."""
    judge = Judge({name: f"z{n % 2}" for n, name in enumerate(("r1", "r2", "r3", "r4"))}, 0.01, 2.0)
    for turn in range(40):
        if turn == 20:
            judge.change(["r1"], ["r2", "r3", "r4"])
        judge.take(
            {
                f"r{n}": Figures(
                    50.0 + (n * turn) % 7, n / 8 + turn % 3, 0.125 + n / 64, 40_000.0 + n, 1.0 + n / 4
                )
                for n in (1, 2, 3, 4)
            }
        )
    return judge.kept()


OLD, NEW = release.Thing("old", "0a0a", "/builds/old"), release.Thing("new", "1b1b", "/builds/new")


def release_changes() -> list[Change]:
    """Changes of a record of releases: one closed, one open that is held."""
    told = [("r1",), ("r2", "r3"), ("r4",)]

    def led(register: Register, *rest: Any) -> bytes:
        now = release.read(register).now
        assert now is not None
        return release.led(now, *rest)(register)

    def step(*rest: Any) -> Change:
        return lambda register: led(register, *rest)

    settings = release.Thing("as installed", "", ""), release.Thing("wide", "2c2c", "/etc/wide.json")
    found = [release.start("settings", settings[1], settings[0], [("r1", "r2")], "me", "wider", NOON)]
    found += [step(1, "leader", NOON + n, "next", "usual is known") for n in (1, 2)]
    found += [step(1, "leader", NOON + 3, "close", "nothing came up")]
    found += [release.start("build", NEW, OLD, told, "me", "faster", NOON + 4)]
    found += [step(2, "leader", NOON + 5, "next", "usual is known", None, None, evidence())]
    found += [step(2, "leader", NOON + 6, "", "", 2000, {"r1": "it is lost"})]
    found += [release.hold("me", "wait", NOON + 7), release.go_on("me", "go", NOON + 8)]
    found += [step(2, "leader", NOON + 9, "worse", "memory: +40%"), release.forward("me", "no", NOON + 10)]
    found += [step(3, "leader", NOON + 11, "", "", 4000, {"r2": "no room"}, evidence())]
    found += [step(3, "leader", NOON + 12, "ask", "not enough to tell")]
    return found


def release_value() -> release.Record:
    """Return a record with a release that is held."""
    return release.read(register_after(release_changes()))


def read_release(data: bytes) -> object:
    """Decode a record of releases."""
    return release.read(Register(1, "", data))


def goals_of_release() -> object:
    """Return what routers are told to run by the record, and how it is said."""
    value = release_value()
    assert value.now is not None
    goals = {}
    for name in ("r1", "r2", "r4", "r9"):
        for kind in ("build", "settings"):
            thing = value.goal(name, kind)
            goals[f"{name} {kind}"] = None if thing is None else thing.digest
    return [
        goals,
        value.word,
        release.named(value.now),
        release.waves(ledger_value(), [1, "25%", "zone", "rest"]),
    ]


REPORT = warden.Report(
    7, 3, True, False, 50.5, 0.25, 0.125, 40.0, 10.0, 0.5, 40_000.0, 1.5, 2, "1b1b", "2c2c",
    "build 1b1b version it does not serve after 30 s",
)  # fmt: skip


def read_report(data: bytes) -> object:
    """Decode a member's report."""
    return warden.read(Register(1, "", data))


def register_names() -> object:
    """Return the names of registers."""
    group = [ledger.key("main"), release.key("main"), warden.key("main", "r1"), record.key("job")]
    return [*group, messages.SUCCESSOR]


class _Host:
    """A host on which every version is ready."""

    def ready(self, kind: str, thing: Any) -> Ready:
        return Ready(True)

    def apply(self, kind: str, digest: str) -> None:
        """Do nothing."""

    def forget(self, needed: Any) -> None:
        """Do nothing."""


def agent_file() -> bytes:
    """Write an agent's file: its permit, its process, and a version on probation that is given up."""
    with temporary_folder() as folder:
        kept = Keep(folder)
        kept.save(3, 17)
        kept.put(pid=4711, began="1234567", ran="0a0a")
        kept.put(first=["0a0a", "/builds/old"])
        carrier = Carrier("r1", kept, _Host(), CarrierTerms(), {"build": "0a0a", "settings": ""})
        value = register_after(release_changes()[:6])
        carrier.told(release.read(value), 0.0)
        carrier.step(0.0, ledger.At(3), False, False)
        carrier.step(1.0, ledger.At(4), False, False)
        carrier.step(40_000.0, ledger.At(4), False, False)
        kept.close()
        return (folder / "agent.json").read_bytes()


def read_agent_file(data: bytes) -> object:
    """Return what an agent and its part in releases find in a file."""
    with temporary_folder() as folder:
        (folder / "agent.json").write_bytes(data)
        kept = Keep(folder)
        carrier = Carrier("r1", kept, _Host(), CarrierTerms(), {})
        carrier.told(release.read(register_after(release_changes()[:6])), 0.0)
        found = [kept.load(), carrier.runs, carrier.before, carrier.trial, carrier.trouble()]
        found += [kept.get(name) for name in ("pid", "began", "ran", "first")]
        kept.close()
        return found


def agent_holds() -> object:
    """Return what `read_agent_file` is to find."""
    runs = {"build": "0a0a", "settings": ""}
    trouble = "build 1b1b version it does not serve after 30 s"
    return [(3, 17), runs, {"build": "0a0a"}, "", trouble, 4711, "1234567", "0a0a", ["0a0a", "/builds/old"]]


def digests() -> object:
    """Return the digests that processes compare: of a budget, of a settings file and of a build's folder."""
    with temporary_folder() as folder:
        settings = text_of(folder, "settings.json", b'{"rules": {}}\n')
        build = folder / "build"
        (build / "bin").mkdir(parents=True)
        text_of(build, "bin/router", b"#!/bin/sh\n").chmod(0o755)
        text_of(build, "notes", b"notes\n").chmod(0o644)
        settings.chmod(0o644)
        return [BUDGET.digest(), Budget().digest(), digest_of(settings), digest_of(build)]


AGREEMENT_FORMS: dict[str, Form] = {
    **_message_forms(),
    "replica-requests.bin": Form(lambda: replica_session()[0], as_given),
    "replica-answers.bin": Form(lambda: replica_session()[1], as_given),
    "replica-store.json": Form(replica_holds, lambda _: replica_session()[2], stored_by_replica),
    "client-session.json": Form(client_transcript, as_given),
    "fencing-tokens.json": Form(lambda: TOKENS, write_tokens, read_tokens),
    "lease.bin": Form(lambda: LEASE, write_register, read_lease),
    "lease-history.json": Form(lambda: [value.hex() for value in lease_history()], as_json),
    "ledger.bin": Form(ledger_value, ledger.packed, read_ledger, inflated),
    "release.bin": Form(release_value, release.packed, read_release, inflated),
    "release-goals.json": Form(goals_of_release, as_json),
    "report.bin": Form(lambda: REPORT, write_register, read_report),
    "register-names.json": Form(register_names, as_json),
    "digests.json": Form(digests, as_json),
    "agent.json": Form(agent_holds, lambda _: agent_file(), read_agent_file),
}

FORMS: dict[str, Form] = {**AGREEMENT_FORMS}


def main() -> None:
    """Write the files that are missing."""
    GOLDEN.mkdir(exist_ok=True)
    for name, form in FORMS.items():
        path = GOLDEN / name
        if not path.exists():
            path.write_bytes(form.write(form.value()))
            print(f"wrote {path.relative_to(GOLDEN.parent)}")


if __name__ == "__main__":
    main()

"""Representative values of the stored and wire forms of leases and the fleet.

A part of golden_forms, with the same rules: program names are imported here only, values are built by
position, and enumerations by value.
"""

from __future__ import annotations

import zlib
from typing import Any

import msgspec

from rosepick.agreement import messages
from rosepick.agreement.messages import Register
from rosepick.agreement.operation import Change
from rosepick.fleet import ledger, release, warden
from rosepick.fleet.budget import Budget, Limit
from rosepick.fleet.carrier import Carrier, Ready
from rosepick.fleet.carrier import Terms as CarrierTerms
from rosepick.fleet.judge import Figures, Judge
from rosepick.leases import record
from rosepick.net.kept import Keep
from rosepick.net.releasing import digest_of

from .golden_support import GOLDEN, Form, as_json, temporary_folder, text_of

NOON = 1_700_000_000.25  # seconds of the wall clock


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
    7,
    3,
    True,
    False,
    50.5,
    0.25,
    0.125,
    40.0,
    10.0,
    0.5,
    40_000.0,
    1.5,
    2,
    "1b1b",
    "2c2c",
    "build 1b1b version it does not serve after 30 s",
)


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


def fields_of_registers() -> object:
    """Return what the golden registers of leases and the fleet hold, by the names of their fields.

    Values are built by position elsewhere, which does not show two fields of one type that change places.
    """
    lease = record.read(Register(1, "", (GOLDEN / "lease.bin").read_bytes()))
    book = ledger.read(Register(1, "", (GOLDEN / "ledger.bin").read_bytes()))
    history = release.read(Register(1, "", (GOLDEN / "release.bin").read_bytes()))
    report = warden.read(Register(1, "", (GOLDEN / "report.bin").read_bytes()))
    open_one = history.now
    assert book.halt is not None and open_one is not None and open_one.held is not None and report is not None
    thing = open_one.new
    return {
        "lease": [lease.token, lease.held, lease.who, lease.name, lease.beat, lease.ttl, lease.note],
        "line": [[waiter.who, waiter.name] for waiter in lease.line],
        "ledger": [
            book.form,
            book.rules,
            book.permits,
            book.wants,
            book.token,
            book.room,
            book.usual,
            book.sweep,
        ],
        "halt": [book.halt.who, book.halt.why, book.halt.when],
        "members": {
            name: [one.kind, one.zone, one.weight, one.at, one.permit, one.lost, one.off, one.met]
            for name, one in book.members.items()
        },
        "wants": {
            name: [one.want.number, one.want.who, one.want.why, one.want.now, one.want.below, one.want.wide]
            for name, one in book.members.items()
            if one.want is not None
        },
        "history": [[line.when, line.who, line.what] for line in (*book.history[:2], *history.history[:2])],
        "record": [history.form, history.releases, history.token, sorted(history.base)],
        "release": [open_one.number, open_one.kind, open_one.new.name, open_one.old.name, open_one.waves],
        "stands": [open_one.phase, open_one.wave, open_one.watched, open_one.asks, open_one.taken_on],
        "watched": [open_one.held.why, open_one.left, len(open_one.evidence)],
        "thing": [thing.name, thing.digest, thing.source],
        "report": [
            report.run,
            report.beat,
            report.up,
            report.warm,
            report.served,
            report.refused,
            report.failed,
        ],
        "figures": [report.hits, report.misses, report.cpu, report.memory, report.door, report.ends],
        "runs": [report.build, report.settings, report.trouble],
    }


FLEET_FORMS: dict[str, Form] = {
    "lease.bin": Form(lambda: LEASE, write_register, read_lease),
    "lease-history.json": Form(lambda: [value.hex() for value in lease_history()], as_json),
    "ledger.bin": Form(ledger_value, ledger.packed, read_ledger, inflated),
    "release.bin": Form(release_value, release.packed, read_release, inflated),
    "release-goals.json": Form(goals_of_release, as_json),
    "report.bin": Form(lambda: REPORT, write_register, read_report),
    "register-fields.json": Form(fields_of_registers, as_json),
    "register-names.json": Form(register_names, as_json),
    "digests.json": Form(digests, as_json),
    "agent.json": Form(agent_holds, lambda _: agent_file(), read_agent_file),
}

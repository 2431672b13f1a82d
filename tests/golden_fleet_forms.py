"""Representative values of the stored and wire forms of leases and the fleet.

A part of golden_forms, with the same rules: program names are imported here only, values are built by
position, and enumerations by value.
"""

from __future__ import annotations

import zlib
from typing import Any

import msgspec

from rosepick.consensus import messages
from rosepick.consensus.messages import Register
from rosepick.consensus.proposer import RegisterChange
from rosepick.coordination.agent_state_file import AgentStateFile
from rosepick.coordination.artifact_fetch import digest_of
from rosepick.fleet import drain_permits, failure_detector, fleet_state, leader_steps, rollout_state
from rosepick.fleet.canary_analysis import CanaryAnalysis, HealthMetrics
from rosepick.fleet.deployer import ArtifactStatus, Deployer
from rosepick.fleet.deployer import DeployPolicy as CarrierTerms
from rosepick.fleet.disruption_budget import DisruptionBudget, Limit
from rosepick.leases import lease_record

from .golden_support import GOLDEN, Form, as_json, temporary_folder, text_of

NOON = 1_700_000_000.25  # seconds of the wall clock


# ------------------------------------------------------------------------------------ leases


def register_after(changes: list[RegisterChange]) -> Register:
    """Apply changes to an empty register, one after the other."""
    register = Register()
    for number, change in enumerate(changes, 1):
        register = Register(number, f"{number:016x}", change(register), register.change_id)
    return register


LEASE = lease_record.LeaseRecord(
    3,
    True,
    2**61 + 1,
    "one",
    2,
    10_000.0,
    (lease_record.LeaseWaiter(0, "two"), lease_record.LeaseWaiter(9, "three")),
    "a note",
)


def lease_changes() -> list[RegisterChange]:
    """Return the changes of a lease's life."""
    one, two = 2**61 + 1, 9
    return [
        lease_record.acquire(lease_record.LeaseRecord(), one, "one", 10_000.0),
        lease_record.join_queue(two, "two"),
        lease_record.join_queue(12, "three"),
        lease_record.renew(one, 1, 12_000.0),
        lease_record.leave_queue(12),
        lease_record.release(one, 1, "four"),
        lease_record.acquire(lease_record.LeaseRecord(1, False, one, "one", 1), two, "two", 10_000.0),
        lease_record.force_release("somebody@host", "a test"),
    ]


def lease_history() -> list[bytes]:
    """Return a lease's value after each change of its life."""
    changes = lease_changes()
    return [register_after(changes[:count]).value for count in range(1, len(changes) + 1)]


def changed(value: bytes, change: RegisterChange) -> bytes:
    """Return what a change makes of a register's value."""
    return change(Register(1, "", value))


def write_register(value: object) -> bytes:
    """Encode what a register holds: a lease, or a member's report."""
    return msgspec.msgpack.encode(value)


def read_lease(data: bytes) -> object:
    """Decode a lease."""
    return lease_record.decode_record(Register(1, "", data))


# ------------------------------------------------------------------------------------ fleet

BUDGET = DisruptionBudget(
    Limit(2, 0.25, 0.5, 1, 0.5, 0.75, 2, 1), Limit(), ((420, 570),), {"switch-1": ["r1", "r2"]}, 1, Limit(4)
)


def ledger_changes() -> list[RegisterChange]:
    """Changes that fill a ledger with members in every state."""
    names = ("r1", "r2", "r3", "r4", "r5", "r6")
    rules = BUDGET.digest()
    found = [
        fleet_state.join_member(
            name,
            fleet_state.MemberProfile(fleet_state.MemberKind(0), "e" if n % 2 else "w", 1000 + n),
            rules,
            NOON,
        )
        for n, name in enumerate(names)
    ]
    cache = fleet_state.MemberProfile(fleet_state.MemberKind(1), "e", 500)
    found += [fleet_state.join_member("c1", cache, rules, NOON + 1)]
    seen = dict.fromkeys((*names, "c1"), False)
    found += [fleet_state.apply_health_summary(seen, 1000, 930, 1, "", "warden", NOON + 2)]
    found += [fleet_state.request_drain(names[:5], "me@host", "new kernels", NOON + 3)]
    found += [fleet_state.request_drain(["c1"], "me@host", "its host dies", NOON + 3, True, True)]
    found += [fleet_state.request_drain(["r6"], "release 3", "to run new", NOON + 3, False, False, True)]

    def allow(seen: fleet_state.FleetState, name: str) -> bool:
        return True

    found += [drain_permits.acquire_permit(name, allow, NOON + 4) for name in (*names[:4], "c1")]
    for permit, name in enumerate(names[1:4], 2):
        found += [drain_permits.begin_drain(name, permit, NOON + 5)]
    found += [drain_permits.mark_out("r3", 3, NOON + 6), drain_permits.mark_out("r4", 4, NOON + 6)]
    found += [
        drain_permits.mark_rejoining("r4", 4, NOON + 7),
        drain_permits.withdraw_permit("r1", 1, NOON + 7),
    ]
    found += [fleet_state.cancel_drain(["r5"], "me@host", NOON + 8)]
    found += [fleet_state.evict_member("r5", "me@host", "sold", NOON + 8)]
    found += [fleet_state.apply_health_summary({"r6": True}, 800, 900, 2, "", "warden", NOON + 9)]
    found += [fleet_state.halt_drains("me@host", "a storm", NOON + 10)]
    return found


def ledger_value() -> fleet_state.FleetState:
    """Return a ledger with members in every state."""
    return fleet_state.decode_fleet_state(register_after(ledger_changes()))


def read_ledger(data: bytes) -> object:
    """Decode a ledger."""
    return fleet_state.decode_fleet_state(Register(1, "", data))


def inflated(data: bytes) -> bytes:
    """Return the form's byte and the plain document: what deflating makes of it is the library's choice."""
    return data[:1] + zlib.decompress(data[1:], -15)


def evidence() -> tuple[float, ...]:
    """Return what a judge stores of a wave that is being watched."""
    judge = CanaryAnalysis({name: f"z{n % 2}" for n, name in enumerate(("r1", "r2", "r3", "r4"))}, 0.01, 2.0)
    for turn in range(40):
        if turn == 20:
            judge.begin_comparison(["r1"], ["r2", "r3", "r4"])
        judge.add_interval(
            {
                f"r{n}": HealthMetrics(
                    50.0 + (n * turn) % 7, n / 8 + turn % 3, 0.125 + n / 64, 40_000.0 + n, 1.0 + n / 4
                )
                for n in (1, 2, 3, 4)
            }
        )
    return judge.export_state()


OLD, NEW = (
    rollout_state.Artifact("old", "0a0a", "/builds/old"),
    rollout_state.Artifact("new", "1b1b", "/builds/new"),
)


def release_changes() -> list[RegisterChange]:
    """Changes of a record of releases: one closed, one open that is held."""
    told = [("r1",), ("r2", "r3"), ("r4",)]

    def led(register: Register, token: int, actor: str, timestamp_s: float, action: str, *rest: Any) -> bytes:
        rollout = rollout_state.decode_rollout_state(register).open_rollout
        assert rollout is not None
        context = leader_steps.LeaderContext(rollout, token, actor, timestamp_s)
        update = leader_steps.LeaderUpdate(leader_steps.LeaderAction(action), *rest)
        return leader_steps.apply_leader_update(context, update)(register)

    def step(*rest: Any) -> RegisterChange:
        return lambda register: led(register, *rest)

    settings = (
        rollout_state.Artifact("as installed", "", ""),
        rollout_state.Artifact("wide", "2c2c", "/etc/wide.json"),
    )
    found = [
        rollout_state.start_rollout("settings", settings[1], settings[0], [("r1", "r2")], "me", "wider", NOON)
    ]
    found += [step(1, "leader", NOON + n, "next", "usual is known") for n in (1, 2)]
    found += [step(1, "leader", NOON + 3, "close", "nothing came up")]
    found += [rollout_state.start_rollout("build", NEW, OLD, told, "me", "faster", NOON + 4)]
    found += [step(2, "leader", NOON + 5, "next", "usual is known", None, None, evidence())]
    found += [step(2, "leader", NOON + 6, "left", "", 2000, {"r1": "it is lost"})]
    found += [
        rollout_state.pause_rollout("me", "wait", NOON + 7),
        rollout_state.resume_rollout("me", "go", NOON + 8),
    ]
    found += [
        step(2, "leader", NOON + 9, "worse", "memory: +40%"),
        rollout_state.roll_forward("me", "no", NOON + 10),
    ]
    found += [step(3, "leader", NOON + 11, "left", "", 4000, {"r2": "no room"}, evidence())]
    found += [step(3, "leader", NOON + 12, "ask", "not enough to tell")]
    return found


def release_value() -> rollout_state.RolloutState:
    """Return a record with a release that is held."""
    return rollout_state.decode_rollout_state(register_after(release_changes()))


def read_release(data: bytes) -> object:
    """Decode a record of releases."""
    return rollout_state.decode_rollout_state(Register(1, "", data))


def goals_of_release() -> object:
    """Return what routers are told to run by the record, and how it is said."""
    value = release_value()
    assert value.open_rollout is not None
    goals = {}
    for name in ("r1", "r2", "r4", "r9"):
        for kind in ("build", "settings"):
            thing = value.artifact_for(name, kind)
            goals[f"{name} {kind}"] = None if thing is None else thing.digest
    return [
        goals,
        value.drain_actor,
        rollout_state.describe(value.open_rollout),
        rollout_state.plan_waves(ledger_value(), [1, "25%", "zone", "rest"]),
    ]


REPORT = failure_detector.HealthReport(
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
    return failure_detector.decode_health_report(Register(1, "", data))


def register_names() -> object:
    """Return the names of registers."""
    group = [
        fleet_state.fleet_state_key("main"),
        rollout_state.rollout_state_key("main"),
        failure_detector.health_report_key("main", "r1"),
        lease_record.register_key("job"),
    ]
    return [*group, messages.SUCCESSOR_KEY]


class _Host:
    """A host on which every version is ready."""

    def prepare(self, kind: str, thing: Any) -> ArtifactStatus:
        return ArtifactStatus(True)

    def apply_settings(self, kind: str, digest: str) -> None:
        """Do nothing."""

    def remove_except(self, needed: Any) -> None:
        """Do nothing."""


def agent_file() -> bytes:
    """Write an agent's file: its permit, its process, and a version on probation that is given up."""
    with temporary_folder() as folder:
        kept = AgentStateFile(folder)
        kept.save(3, 17)
        kept.put(pid=4711, began="1234567", ran="0a0a")
        kept.put(first=["0a0a", "/builds/old"])
        carrier = Deployer("r1", kept, _Host(), CarrierTerms(), {"build": "0a0a", "settings": ""})
        value = register_after(release_changes()[:6])
        carrier.update_state(rollout_state.decode_rollout_state(value), 0.0)
        carrier.advance(0.0, fleet_state.MemberPhase(3), False, False)
        carrier.advance(1.0, fleet_state.MemberPhase(4), False, False)
        carrier.advance(40_000.0, fleet_state.MemberPhase(4), False, False)
        kept.close()
        return (folder / "agent.json").read_bytes()


def read_agent_file(data: bytes) -> object:
    """Return what an agent and its part in releases find in a file."""
    with temporary_folder() as folder:
        (folder / "agent.json").write_bytes(data)
        kept = AgentStateFile(folder)
        carrier = Deployer("r1", kept, _Host(), CarrierTerms(), {})
        carrier.update_state(rollout_state.decode_rollout_state(register_after(release_changes()[:6])), 0.0)
        found = [
            kept.load(),
            carrier.active_digests,
            carrier.previous_digests,
            carrier.probation_kind,
            carrier.describe_failure(),
        ]
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
        return [BUDGET.digest(), DisruptionBudget().digest(), digest_of(settings), digest_of(build)]


def fields_of_registers() -> object:
    """Return what the golden registers of leases and the fleet hold, by the names of their fields.

    Values are built by position elsewhere, which does not show two fields of one type that change places.
    """
    lease = lease_record.decode_record(Register(1, "", (GOLDEN / "lease.bin").read_bytes()))
    book = fleet_state.decode_fleet_state(Register(1, "", (GOLDEN / "ledger.bin").read_bytes()))
    history = rollout_state.decode_rollout_state(Register(1, "", (GOLDEN / "release.bin").read_bytes()))
    report = failure_detector.decode_health_report(Register(1, "", (GOLDEN / "report.bin").read_bytes()))
    open_one = history.open_rollout
    assert (
        book.halt is not None and open_one is not None and open_one.pause is not None and report is not None
    )
    thing = open_one.new
    return {
        "lease": [
            lease.token,
            lease.is_held,
            lease.owner_id,
            lease.owner_name,
            lease.renewal_count,
            lease.ttl_ms,
            lease.note,
        ],
        "line": [[waiter.owner_id, waiter.name] for waiter in lease.queue],
        "ledger": [
            book.format_version,
            book.budget_digest,
            book.last_permit_number,
            book.last_request_number,
            book.token,
            book.capacity_permille,
            book.typical_hit_permille,
            book.sweep_count,
        ],
        "halt": [book.halt.actor, book.halt.reason, book.halt.timestamp_s],
        "members": {
            name: [
                one.kind,
                one.zone,
                one.weight,
                one.phase,
                one.permit,
                one.lost,
                one.evicted,
                one.was_healthy,
            ]
            for name, one in book.members.items()
        },
        "wants": {
            name: [
                one.drain_request.number,
                one.drain_request.actor,
                one.drain_request.reason,
                one.drain_request.immediate,
                one.drain_request.ignores_minimum,
                one.drain_request.uses_rollback_limit,
            ]
            for name, one in book.members.items()
            if one.drain_request is not None
        },
        "history": [
            [line.timestamp_s, line.actor, line.message] for line in (*book.history[:2], *history.history[:2])
        ],
        "record": [history.format_version, history.last_number, history.token, sorted(history.baseline)],
        "release": [open_one.number, open_one.kind, open_one.new.name, open_one.old.name, open_one.waves],
        "stands": [
            open_one.phase,
            open_one.wave,
            open_one.watched_ms,
            open_one.awaits_operator,
            open_one.operator_accepted,
        ],
        "watched": [open_one.pause.reason, open_one.left_behind, len(open_one.evidence)],
        "thing": [thing.name, thing.digest, thing.source],
        "report": [
            report.run_id,
            report.sequence,
            report.serving,
            report.warm,
            report.served,
            report.refused,
            report.failed,
        ],
        "figures": [report.hits, report.misses, report.cpu, report.memory, report.door, report.exit_count],
        "runs": [report.build, report.settings, report.deploy_error],
    }


FLEET_FORMS: dict[str, Form] = {
    "lease.bin": Form(lambda: LEASE, write_register, read_lease),
    "lease-history.json": Form(lambda: [value.hex() for value in lease_history()], as_json),
    "ledger.bin": Form(ledger_value, fleet_state.encode_fleet_state, read_ledger, inflated),
    "release.bin": Form(release_value, rollout_state.encode_rollout_state, read_release, inflated),
    "release-goals.json": Form(goals_of_release, as_json),
    "report.bin": Form(lambda: REPORT, write_register, read_report),
    "register-fields.json": Form(fields_of_registers, as_json),
    "register-names.json": Form(register_names, as_json),
    "digests.json": Form(digests, as_json),
    "agent.json": Form(agent_holds, lambda _: agent_file(), read_agent_file),
}

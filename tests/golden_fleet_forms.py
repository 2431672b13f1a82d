"""Representative values of the stored and wire forms of leases and the fleet.

This module is a part of golden_forms and follows its rules: program names are imported only here, values are
built by position, and enumerations by value.
"""

from __future__ import annotations

import zlib
from typing import Any

import msgspec

from rosepick.consensus import messages
from rosepick.consensus.messages import Register
from rosepick.consensus.proposer import RegisterChange
from rosepick.coordination.agent_state_file import AgentStateFile
from rosepick.coordination.artifact_fetch import compute_digest
from rosepick.fleet import (
    drain_permits,
    drain_requests,
    failure_detector,
    fleet_state,
    leader_steps,
    rollout_state,
)
from rosepick.fleet.canary_analysis import CanaryAnalysis, HealthMetrics
from rosepick.fleet.deployer import ArtifactStatus, Deployer, DeployPolicy
from rosepick.fleet.disruption_budget import DisruptionBudget, Limit
from rosepick.leases import lease_record

from .golden_support import GOLDEN, Form, as_json, temporary_folder, write_file

NOON = 1_700_000_000.25  # wall clock in seconds


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
    """Return the changes of a lease from its acquisition to a forced release."""
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
    """Return the value of a lease's register after each of `lease_changes`."""
    changes = lease_changes()
    return [register_after(changes[:count]).value for count in range(1, len(changes) + 1)]


def changed(value: bytes, change: RegisterChange) -> bytes:
    """Return the value of a register after a change."""
    return change(Register(1, "", value))


def write_register(value: object) -> bytes:
    """Encode the value of a register: a lease or a health report."""
    return msgspec.msgpack.encode(value)


def read_lease(data: bytes) -> object:
    """Decode a lease."""
    return lease_record.decode_record(Register(1, "", data))


# ------------------------------------------------------------------------------------ fleet

BUDGET = DisruptionBudget(
    Limit(2, 0.25, 0.5, 1, 0.5, 0.75, 2, 1), Limit(), ((420, 570),), {"switch-1": ["r1", "r2"]}, 1, Limit(4)
)


def fleet_state_changes() -> list[RegisterChange]:
    """Return changes that fill a fleet state with members in every phase."""
    names = ("r1", "r2", "r3", "r4", "r5", "r6")
    rules = BUDGET.digest()
    changes = [
        fleet_state.join_member(
            name,
            fleet_state.MemberProfile(fleet_state.MemberKind(0), "e" if n % 2 else "w", 1000 + n),
            rules,
            NOON,
        )
        for n, name in enumerate(names)
    ]
    cache = fleet_state.MemberProfile(fleet_state.MemberKind(1), "e", 500)
    changes += [fleet_state.join_member("c1", cache, rules, NOON + 1)]
    seen = dict.fromkeys((*names, "c1"), False)
    changes += [fleet_state.apply_health_summary(seen, 1000, 930, 1, "", "warden", NOON + 2)]
    changes += [drain_requests.request_drain(names[:5], "me@host", "new kernels", NOON + 3)]
    changes += [drain_requests.request_drain(["c1"], "me@host", "its host dies", NOON + 3, True, True)]
    changes += [drain_requests.request_drain(["r6"], "release 3", "to run new", NOON + 3, False, False, True)]

    def allow(seen: fleet_state.FleetState, name: str) -> bool:
        return True

    changes += [drain_permits.acquire_permit(name, allow, NOON + 4) for name in (*names[:4], "c1")]
    for permit, name in enumerate(names[1:4], 2):
        changes += [drain_permits.begin_drain(name, permit, NOON + 5)]
    changes += [drain_permits.mark_out("r3", 3, NOON + 6), drain_permits.mark_out("r4", 4, NOON + 6)]
    changes += [
        drain_permits.mark_rejoining("r4", 4, NOON + 7),
        drain_permits.withdraw_permit("r1", 1, NOON + 7),
    ]
    changes += [drain_requests.cancel_drain(["r5"], "me@host", NOON + 8)]
    changes += [fleet_state.evict_member("r5", "me@host", "sold", NOON + 8)]
    changes += [fleet_state.apply_health_summary({"r6": True}, 800, 900, 2, "", "warden", NOON + 9)]
    changes += [fleet_state.halt_drains("me@host", "a storm", NOON + 10)]
    return changes


def fleet_state_value() -> fleet_state.FleetState:
    """Return a fleet state with members in every phase."""
    return fleet_state.decode_fleet_state(register_after(fleet_state_changes()))


def read_fleet_state(data: bytes) -> object:
    """Decode a fleet state."""
    return fleet_state.decode_fleet_state(Register(1, "", data))


def inflated(data: bytes) -> bytes:
    """Return the version byte and the decompressed document, as compressed bytes depend on the library."""
    return data[:1] + zlib.decompress(data[1:], -15)


def evidence() -> tuple[float, ...]:
    """Return the state that a canary analysis exports during a wave."""
    analysis = CanaryAnalysis(
        {name: f"z{n % 2}" for n, name in enumerate(("r1", "r2", "r3", "r4"))}, 0.01, 2.0
    )
    for interval in range(40):
        if interval == 20:
            analysis.begin_comparison(["r1"], ["r2", "r3", "r4"])
        analysis.add_interval(
            {
                f"r{n}": HealthMetrics(
                    50.0 + (n * interval) % 7, n / 8 + interval % 3, 0.125 + n / 64, 40_000.0 + n, 1.0 + n / 4
                )
                for n in (1, 2, 3, 4)
            }
        )
    return analysis.export_state()


OLD, NEW = (
    rollout_state.Artifact("old", "0a0a", "/builds/old"),
    rollout_state.Artifact("new", "1b1b", "/builds/new"),
)


def rollout_state_changes() -> list[RegisterChange]:
    """Return changes of a rollout state with a closed rollout and a paused one."""
    waves = [("r1",), ("r2", "r3"), ("r4",)]

    def apply_step(
        register: Register, token: int, actor: str, timestamp_s: float, action: str, *rest: Any
    ) -> bytes:
        rollout = rollout_state.decode_rollout_state(register).open_rollout
        assert rollout is not None
        context = leader_steps.LeaderContext(rollout, token, actor, timestamp_s)
        update = leader_steps.LeaderUpdate(leader_steps.LeaderAction(action), *rest)
        return leader_steps.apply_leader_update(context, update)(register)

    def step(*rest: Any) -> RegisterChange:
        return lambda register: apply_step(register, *rest)

    settings = (
        rollout_state.Artifact("as installed", "", ""),
        rollout_state.Artifact("wide", "2c2c", "/etc/wide.json"),
    )
    changes = [
        rollout_state.start_rollout("settings", settings[1], settings[0], [("r1", "r2")], "me", "wider", NOON)
    ]
    changes += [step(1, "leader", NOON + n, "next", "usual is known") for n in (1, 2)]
    changes += [step(1, "leader", NOON + 3, "close", "nothing came up")]
    changes += [rollout_state.start_rollout("build", NEW, OLD, waves, "me", "faster", NOON + 4)]
    changes += [step(2, "leader", NOON + 5, "next", "usual is known", None, None, evidence())]
    changes += [step(2, "leader", NOON + 6, "left", "", 2000, {"r1": "it is lost"})]
    changes += [
        rollout_state.pause_rollout("me", "wait", NOON + 7),
        rollout_state.resume_rollout("me", "go", NOON + 8),
    ]
    changes += [
        step(2, "leader", NOON + 9, "worse", "memory: +40%"),
        rollout_state.roll_forward("me", "no", NOON + 10),
    ]
    changes += [step(3, "leader", NOON + 11, "left", "", 4000, {"r2": "no room"}, evidence())]
    changes += [step(3, "leader", NOON + 12, "ask", "not enough to tell")]
    return changes


def rollout_state_value() -> rollout_state.RolloutState:
    """Return a rollout state with a paused rollout."""
    return rollout_state.decode_rollout_state(register_after(rollout_state_changes()))


def read_rollout_state(data: bytes) -> object:
    """Decode a rollout state."""
    return rollout_state.decode_rollout_state(Register(1, "", data))


def rollout_targets() -> object:
    """Return the target artifacts of routers, and the texts that describe the rollout."""
    value = rollout_state_value()
    assert value.open_rollout is not None
    targets = {}
    for name in ("r1", "r2", "r4", "r9"):
        for kind in ("build", "settings"):
            artifact = value.artifact_for(name, kind)
            targets[f"{name} {kind}"] = None if artifact is None else artifact.digest
    return [
        targets,
        value.drain_actor,
        rollout_state.describe(value.open_rollout),
        rollout_state.plan_waves(fleet_state_value(), [1, "25%", "zone", "rest"]),
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
    """Decode a health report."""
    return failure_detector.decode_health_report(Register(1, "", data))


def register_names() -> object:
    """Return the keys of registers."""
    group = [
        fleet_state.fleet_state_key("main"),
        rollout_state.rollout_state_key("main"),
        failure_detector.health_report_key("main", "r1"),
        lease_record.register_key("job"),
    ]
    return [*group, messages.SUCCESSOR_KEY]


class _Host:
    """An artifact store in which every artifact is ready."""

    def prepare(self, kind: str, artifact: Any) -> ArtifactStatus:
        return ArtifactStatus(True)

    def apply_settings(self, kind: str, digest: str) -> None:
        """Do nothing."""

    def remove_except(self, needed: Any) -> None:
        """Do nothing."""


def agent_file() -> bytes:
    """Write the state file of an agent: permit, process, and an artifact that failed its probation."""
    with temporary_folder() as folder:
        state_file = AgentStateFile(folder)
        state_file.save(3, 17)
        state_file.put(pid=4711, began="1234567", ran="0a0a")
        state_file.put(first=["0a0a", "/builds/old"])
        deployer = Deployer("r1", state_file, _Host(), DeployPolicy(), {"build": "0a0a", "settings": ""})
        value = register_after(rollout_state_changes()[:6])
        deployer.update_state(rollout_state.decode_rollout_state(value), 0.0)
        deployer.advance(0.0, fleet_state.MemberPhase(3), False, False)
        deployer.advance(1.0, fleet_state.MemberPhase(4), False, False)
        deployer.advance(40_000.0, fleet_state.MemberPhase(4), False, False)
        state_file.close()
        return (folder / "agent.json").read_bytes()


def read_agent_file(data: bytes) -> object:
    """Return the values that an agent and its deployer read from a state file."""
    with temporary_folder() as folder:
        (folder / "agent.json").write_bytes(data)
        state_file = AgentStateFile(folder)
        deployer = Deployer("r1", state_file, _Host(), DeployPolicy(), {})
        deployer.update_state(
            rollout_state.decode_rollout_state(register_after(rollout_state_changes()[:6])), 0.0
        )
        values = [
            state_file.load(),
            deployer.active_digests,
            deployer.previous_digests,
            deployer.probation_kind,
            deployer.describe_failure(),
        ]
        values += [state_file.get(name) for name in ("pid", "began", "ran", "first")]
        state_file.close()
        return values


def expected_agent_state() -> object:
    """Return the expected result of `read_agent_file`."""
    runs = {"build": "0a0a", "settings": ""}
    failure = "build 1b1b version it does not serve after 30 s"
    return [(3, 17), runs, {"build": "0a0a"}, "", failure, 4711, "1234567", "0a0a", ["0a0a", "/builds/old"]]


def digests() -> object:
    """Return the digests that processes compare: of budgets, a settings file and a build folder."""
    with temporary_folder() as folder:
        settings = write_file(folder, "settings.json", b'{"rules": {}}\n')
        build = folder / "build"
        (build / "bin").mkdir(parents=True)
        write_file(build, "bin/router", b"#!/bin/sh\n").chmod(0o755)
        write_file(build, "notes", b"notes\n").chmod(0o644)
        settings.chmod(0o644)
        return [BUDGET.digest(), DisruptionBudget().digest(), compute_digest(settings), compute_digest(build)]


def fields_of_registers() -> object:
    """Return the fields of the golden registers of leases and the fleet, read by name.

    Other forms build values by position, which does not detect two swapped fields of the same type.
    """
    lease = lease_record.decode_record(Register(1, "", (GOLDEN / "lease.bin").read_bytes()))
    state = fleet_state.decode_fleet_state(Register(1, "", (GOLDEN / "ledger.bin").read_bytes()))
    releases = rollout_state.decode_rollout_state(Register(1, "", (GOLDEN / "release.bin").read_bytes()))
    report = failure_detector.decode_health_report(Register(1, "", (GOLDEN / "report.bin").read_bytes()))
    rollout = releases.open_rollout
    assert state.halt is not None and rollout is not None and rollout.pause is not None and report is not None
    artifact = rollout.new
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
            state.format_version,
            state.budget_digest,
            state.last_permit_number,
            state.last_request_number,
            state.token,
            state.capacity_permille,
            state.typical_hit_permille,
            state.sweep_count,
        ],
        "halt": [state.halt.actor, state.halt.reason, state.halt.timestamp_s],
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
            for name, one in state.members.items()
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
            for name, one in state.members.items()
            if one.drain_request is not None
        },
        "history": [
            [line.timestamp_s, line.actor, line.message]
            for line in (*state.history[:2], *releases.history[:2])
        ],
        "record": [releases.format_version, releases.last_number, releases.token, sorted(releases.baseline)],
        "release": [rollout.number, rollout.kind, rollout.new.name, rollout.old.name, rollout.waves],
        "stands": [
            rollout.phase,
            rollout.wave,
            rollout.watched_ms,
            rollout.awaits_operator,
            rollout.operator_accepted,
        ],
        "watched": [rollout.pause.reason, rollout.left_behind, len(rollout.evidence)],
        "thing": [artifact.name, artifact.digest, artifact.source],
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
    "ledger.bin": Form(fleet_state_value, fleet_state.encode_fleet_state, read_fleet_state, inflated),
    "release.bin": Form(
        rollout_state_value, rollout_state.encode_rollout_state, read_rollout_state, inflated
    ),
    "release-goals.json": Form(rollout_targets, as_json),
    "report.bin": Form(lambda: REPORT, write_register, read_report),
    "register-fields.json": Form(fields_of_registers, as_json),
    "register-names.json": Form(register_names, as_json),
    "digests.json": Form(digests, as_json),
    "agent.json": Form(expected_agent_state, lambda _: agent_file(), read_agent_file),
}

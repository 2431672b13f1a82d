"""Tests of the fault-injection tests: checkers reject wrong histories, and a seed reproduces its run."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from rosepick.consensus import messages as m
from rosepick.consensus.acceptor import Acceptor
from rosepick.lab.drill import (
    drill_file,
    harness,
    invariants,
    lease_model_checker,
    linearizability,
    model_checker,
    mutations,
    runner,
    simulated_drains,
    simulated_leases,
    simulated_releases,
)
from rosepick.lab.drill.fault_handlers import UnsupportedFaultError
from rosepick.lab.drill.fault_plan import Fault, FaultName
from rosepick.lab.drill.forwarder import LinkFaults
from rosepick.lab.drill.history import (
    AnyEvent,
    GuardedEffect,
    LeaseCheckPassed,
    LeaseStateChanged,
    RegisterOperation,
)
from rosepick.leases.fencing import FencingGuard

ROOT = Path(__file__).parents[1]


def operation(
    begin: float, end: float, kind: str, version: int, change_id: str, parent: str = ""
) -> RegisterOperation:
    """Return an operation that ended with the given value; a read gets a change id of its own."""
    own_id = change_id if kind != "read" else f"r{begin}"
    seen = change_id if version else ""
    return RegisterOperation("p", end, begin, "k", own_id, kind, version, seen, parent)


def unfinished_change(begin: float, change_id: str, kind: str = "unknown") -> RegisterOperation:
    """Return a change without a value: its outcome is unknown, or `kind` if that is given."""
    return RegisterOperation("p", begin + 1.0, begin, "k", change_id, kind)


@pytest.mark.parametrize(
    ("operations", "linearizable"),
    [
        ([operation(0, 1, "done", 1, "a"), operation(2, 3, "read", 1, "a")], True),
        ([operation(0, 1, "done", 1, "a"), operation(2, 3, "read", 0, "")], False),  # a stale read
        (
            [
                operation(0, 5, "done", 1, "a"),
                operation(1, 2, "read", 1, "a"),
                operation(3, 4, "read", 0, ""),
            ],
            False,
        ),  # the new value is read before the old value
        (
            [
                operation(0, 5, "done", 1, "a"),
                operation(1, 2, "read", 0, ""),
                operation(3, 4, "read", 1, "a"),
            ],
            True,
        ),
        (
            [operation(0, 1, "done", 1, "a"), operation(2, 3, "done", 1, "b")],
            False,
        ),  # two changes of the same value: a lost update
        (
            [
                operation(0, 1, "done", 1, "a"),
                operation(2, 3, "done", 2, "b", "a"),
                operation(4, 5, "read", 1, "a"),
            ],
            False,
        ),
        (
            [operation(0, 1, "done", 1, "a"), operation(2, 3, "done", 3, "c", "b")],
            False,
        ),  # the parent is not the value of any change
        (
            [
                operation(0, 1, "done", 1, "a"),
                unfinished_change(0, "b"),
                operation(2, 3, "done", 3, "c", "b"),
            ],
            True,
        ),  # the unfinished change may be the parent
        (
            [
                operation(0, 1, "done", 1, "a"),
                unfinished_change(4, "b"),
                operation(2, 3, "done", 3, "c", "b"),
            ],
            False,
        ),  # the unfinished change started too late to be the parent
        (
            [
                unfinished_change(0, "a"),
                unfinished_change(0, "b", "open"),
                operation(2, 3, "done", 4, "d", "c"),
                unfinished_change(0, "c"),
            ],
            True,
        ),
        ([unfinished_change(0, "a"), operation(2, 3, "read", 1, "a"), operation(4, 5, "read", 0, "")], False),
        (
            [operation(0, 1, "read", 1, "a"), operation(2, 3, "done", 1, "a")],
            False,
        ),  # the value is read before the change started
        (
            [
                operation(0, 4, "done", 1, "a"),
                operation(0, 4, "done", 2, "b", "a"),
                operation(0, 4, "done", 3, "c", "b"),
            ],
            True,
        ),
    ],
)
def test_linearizability_check_accepts_valid_histories_and_rejects_others(
    operations: list[RegisterOperation], linearizable: bool
) -> None:
    assert linearizability.is_linearizable(operations) is linearizable
    if not linearizable:
        counterexample = linearizability.minimal_counterexample(operations)
        assert counterexample and not linearizability.is_linearizable(counterexample)
        assert len(counterexample) <= len(operations)


def test_linearizability_check_finds_one_stale_read_in_2000_operations_within_ten_seconds() -> None:
    operations = []
    parent = ""
    for n in range(1, 501):
        operations.append(operation(n, n + 3.5, "done", n, f"m{n}", parent))
        operations += [operation(n + k / 4, n + 3.6, "read", n, f"m{n}") for k in range(1, 4)]
        parent = f"m{n}"
    started_at = time.process_time()
    assert len(operations) == 2000 and linearizability.is_linearizable(operations)
    with_stale_read = [*operations, operation(400.0, 401.0, "read", 200, "m200")]
    assert not linearizability.is_linearizable(with_stale_read)
    assert time.process_time() - started_at < 10.0


def lease_check(process: str, begin: float, end: float, token: int, owner: int) -> LeaseCheckPassed:
    return LeaseCheckPassed(process, end, begin, "t", token, owner)


def guarded_effect(at: float, token: int, owner: int) -> GuardedEffect:
    return GuardedEffect("p", at, "t", token, owner, True)


@pytest.mark.parametrize(
    ("events", "invariant"),
    [
        (
            [lease_check("a", 1, 1.1, 1, 1), lease_check("a", 4, 4.1, 1, 1), lease_check("b", 5, 5.1, 2, 2)],
            "",
        ),
        (
            [lease_check("a", 1, 1.1, 1, 1), lease_check("a", 4, 4.1, 1, 1), lease_check("b", 3, 3.1, 2, 2)],
            "overlap",
        ),
        (
            [lease_check("a", 1, 1.1, 1, 1), lease_check("a", 4, 9.0, 1, 1), lease_check("b", 5, 5.1, 2, 2)],
            "",
        ),  # the last check of "a" may have passed at any time from 4 on
        (
            [lease_check("a", 1, 9.0, 1, 1), lease_check("b", 3, 3.1, 2, 2), lease_check("b", 5, 5.1, 2, 2)],
            "",
        ),
        ([guarded_effect(1, 1, 1), guarded_effect(2, 2, 2), guarded_effect(3, 1, 1)], "tokens"),
        ([guarded_effect(1, 1, 1), guarded_effect(2, 1, 1), guarded_effect(3, 4, 2)], ""),
        (
            [LeaseStateChanged("a", 1, "t", 3, 1, "holds"), LeaseStateChanged("b", 2, "t", 3, 2, "holds")],
            "tokens",
        ),
        ([LeaseStateChanged("a", 1, "t", 3, 1, "holds"), guarded_effect(2, 3, 9)], "tokens"),
        ([unfinished_change(0, "a", "failed"), operation(2, 3, "read", 1, "a")], "registers"),
    ],
)
def test_check_invariants_reports_the_violated_invariant(events: list[AnyEvent], invariant: str) -> None:
    found = {
        violation.invariant
        for violation in invariants.check_invariants(sorted(events, key=lambda event: event.at)).violations
    }
    assert (invariant in found) if invariant else not found


def test_takeover_check_finds_a_task_without_a_holder_at_its_deadline() -> None:
    events: list[AnyEvent] = [lease_check("a", 1, 1.1, 1, 1), lease_check("b", 9, 9.1, 2, 2)]
    assert invariants.check_takeover(events, "t", 2.0, 5.0) and not invariants.check_takeover(
        events, "t", 2.0, 7.5
    )
    assert invariants.check_takeover(events, "t", 0.0, 5.0, excluded_owner=1) and invariants.check_takeover(
        events, "other", 0.0, 5.0
    )


def test_a_seed_reproduces_its_counts_and_eight_seeds_inject_faults_without_violations() -> None:
    drill = drill_file.load_drill(ROOT / "drills" / "simulated.toml")
    first, second = (runner.run_simulated(drill, 3) for _ in range(2))
    assert first.counts == second.counts and not first.violations
    total = runner.DrillSummary()
    for seed in range(1, 9):
        total.add(runner.run_simulated(drill, seed))
    assert not total.seeds_with_violations
    assert total.counts["effects refused"] > 0 and total.counts["leases holds"] > 30
    assert sum(count > 0 for name, count in total.counts.items() if name.startswith("fault ")) > 12


@pytest.mark.parametrize(
    ("plant", "invariant"),
    [
        (lambda patch: patch.setattr(FencingGuard, "accepts", lambda self, task, token: True), "tokens"),
        (
            lambda patch: patch.setattr("rosepick.consensus.messages.Quorum.majority", property(lambda q: 2)),
            "registers",
        ),
        (
            lambda patch: patch.setattr(
                "rosepick.leases.lease_client.LeaseConfig.holder_timeout_ms", property(lambda t: 3 * t.ttl_ms)
            ),
            "overlap",
        ),
    ],
)
def test_simulated_leases_detect_a_planted_fault(
    plant: Callable[[pytest.MonkeyPatch], None], invariant: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    drill = drill_file.load_drill(ROOT / "drills" / "simulated.toml")
    config = runner._simulation_config(drill)
    plant(monkeypatch)
    found = {
        violation.invariant
        for seed in range(1, 9)
        for violation in simulated_leases.run_drill(config, seed).violations
    }
    assert invariant in found


def test_mutations_file_has_at_least_twenty_valid_mutations_with_unique_names() -> None:
    faults = mutations.load_mutations(ROOT / "tests" / "mutations.toml")
    assert len(faults) >= 20 and len({fault.name for fault in faults}) == len(faults)


@pytest.mark.parametrize("text", ["[faults]\nkinds = ['none']\n", "[leases]\nttl = 0.1\n", "x = 1\n", "["])
def test_error_of_an_invalid_drill_file_contains_its_name(tmp_path: Path, text: str) -> None:
    path = tmp_path / "drill.toml"
    path.write_text(text)
    with pytest.raises(drill_file.DrillError, match="drill.toml"):
        drill_file.load_drill(path)


AGENT_FAULTS = {
    FaultName.MEMBER_CRASH,
    FaultName.HOST_LOSS,
    FaultName.WIPED_AGENT,
    FaultName.AGENT_DISK,
}


@pytest.fixture
def lease_harness(tmp_path: Path) -> Iterator[harness.LeaseHarness]:
    lease_harness = harness.LeaseHarness(drill_file.Drill(), 1, tmp_path)
    yield lease_harness
    lease_harness.close()


def test_each_kind_of_fault_has_a_handler(lease_harness: harness.LeaseHarness) -> None:
    drill = drill_file.load_drill(ROOT / "drills" / "simulated.toml")
    config = runner._simulation_config(drill)
    lease_faults = set(FaultName) - AGENT_FAULTS
    assert simulated_leases.SimulatedCluster(config, 1).fault_injector.handlers.kinds == lease_faults
    assert lease_harness.fault_handlers.kinds == lease_faults
    assert simulated_drains.SimulatedDrainCluster(config, 1).fault_injector.handlers.kinds == set(FaultName)


def test_error_for_a_fault_without_a_handler_contains_its_kind(lease_harness: harness.LeaseHarness) -> None:
    with pytest.raises(UnsupportedFaultError, match="'member'"):
        lease_harness.fault_handlers.inject(0, Fault(0.0, FaultName.MEMBER_CRASH, ("c0",)))


@pytest.mark.parametrize(
    ("kind", "target", "expected", "affected"),
    [
        (
            FaultName.CUT,
            ("w1", "w2"),
            LinkFaults(drops_requests=True, drops_replies=True),
            {("w1", "w2"), ("w2", "w1")},
        ),
        (FaultName.CUT, ("c0", "w2"), LinkFaults(drops_requests=True, drops_replies=True), {("c0", "w2")}),
        (FaultName.SLOW, ("c0", "w2"), LinkFaults(delay_ms=200.0), {("c0", "w2")}),
        (FaultName.TRICKLE, ("c0", "w2"), LinkFaults(bytes_per_second=0.2), {("c0", "w2")}),
        (FaultName.DEAF, ("c0",), LinkFaults(drops_replies=True), {("c0", f"w{n}") for n in range(1, 7)}),
        (
            FaultName.ISOLATE,
            ("c0",),
            LinkFaults(drops_requests=True, drops_replies=True),
            {("c0", f"w{n}") for n in range(1, 7)},
        ),
        (FaultName.LOSE, ("c0",), LinkFaults(loss_rate=0.2), {("c0", f"w{n}") for n in range(1, 7)}),
        (
            FaultName.DUPLICATE,
            ("c0",),
            LinkFaults(duplication_rate=0.2),
            {("c0", f"w{n}") for n in range(1, 7)},
        ),
        (FaultName.REORDER, ("c0",), LinkFaults(reordering_rate=0.2), {("c0", f"w{n}") for n in range(1, 7)}),
    ],
)
def test_link_faults_affect_only_the_links_of_their_target_and_end_in_time(
    lease_harness: harness.LeaseHarness,
    kind: FaultName,
    target: tuple[str, ...],
    expected: LinkFaults,
    affected: set[tuple[str, str]],
) -> None:
    links = lease_harness.links
    lease_harness.fault_handlers.inject(0, Fault(0.0, kind, target, length=0.05, amount=0.2))
    assert {ends for ends, link in links.items() if link.faults != LinkFaults()} == affected
    assert all(links[ends].faults == expected for ends in affected)
    lease_harness.run_for(0.1)
    assert all(link.faults == LinkFaults() for link in links.values())


@pytest.mark.parametrize("kind", ["dead", "short"])
def test_simulated_router_goes_down_when_its_version_exits(kind: str) -> None:
    drill = drill_file.load_drill(ROOT / "drills" / "releases-simulated.toml")
    cluster = simulated_releases.SimulatedReleaseCluster(runner._simulation_config(drill), 1)
    member = next(iter(cluster.routers.values())).member
    assert isinstance(member, simulated_releases.SimulatedVersionedMember)
    member.version = f"{kind}-1"
    member.start()
    assert member.running
    cluster.run_until(2.5)
    assert not member.running and member.exit_count == 1


def test_split_cuts_exactly_the_links_between_its_sides(lease_harness: harness.LeaseHarness) -> None:
    side = ("w1", "w2", "c0", "c1")
    lease_harness.fault_handlers.inject(0, Fault(0.0, FaultName.SPLIT, side, length=60.0))
    for (caller, replica), link in lease_harness.links.items():
        assert (link.faults.drops_requests and link.faults.drops_replies) is (
            (caller in side) != (replica in side)
        )


def test_short_drill_on_real_processes_finds_no_violation(tmp_path: Path) -> None:
    result = runner.run_real(
        drill_file.load_drill(ROOT / "drills" / "short.toml"), 1, tmp_path / "drill", keep_folder=False
    )
    assert not result.failure_reason and not result.violations, "\n".join(result.lines)
    assert result.counts["effects refused"] + result.counts["leases lost"] + result.counts["messages cut"] > 0


def test_model_checkers_accept_small_models_and_detect_planted_faults(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    result = model_checker.explore_register(2)
    assert (
        not result.violations
        and result.terminal_states >= result.completed_states >= 1
        and result.states > 300
    )
    small_bounds = lease_model_checker.ModelBounds(horizon=3, ttl=2, lost_replies=0, restarts=0, releases=0)
    leases = lease_model_checker.explore_leases(small_bounds)
    assert not leases.violations and leases.completed_states > 100
    monkeypatch.setattr(
        "rosepick.leases.lease_client.LeaseConfig.holder_timeout_ms",
        property(lambda config: 3 * config.ttl_ms),
    )
    larger_bounds = lease_model_checker.ModelBounds(horizon=5, ttl=2, lost_replies=0, restarts=0, releases=0)
    assert lease_model_checker.explore_leases(larger_bounds).violations

    def ignore_ballot(acceptor: Acceptor, request: m.PrepareRequest, changes: object) -> m.QuorumReply:
        register_state = acceptor.state.register_states.get(request.key, m.RegisterState())
        return m.PromiseReply(
            request.request_id,
            acceptor.state.storage_id,
            register_state.accepted_ballot,
            register_state.register,
        )

    monkeypatch.setattr(Acceptor, "_prepare", ignore_ballot)
    assert model_checker.explore_register(3).violations

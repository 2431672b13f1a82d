"""Parts of the fault-injection tests: their checks have to reject wrong histories, and seeds repeat."""

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
    """Return an operation that ended with this value; a read has a change id of its own."""
    own_id = change_id if kind != "read" else f"r{begin}"
    seen = change_id if version else ""
    return RegisterOperation("p", end, begin, "k", own_id, kind, version, seen, parent)


def unfinished_change(begin: float, change_id: str, kind: str = "unknown") -> RegisterOperation:
    """Return a change whose outcome is unknown, or of another kind without a value."""
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
        ),  # the new value is read before the old one
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
        ),  # two changes of one value: a lost update
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
        ),  # made from a value of no change
        (
            [
                operation(0, 1, "done", 1, "a"),
                unfinished_change(0, "b"),
                operation(2, 3, "done", 3, "c", "b"),
            ],
            True,
        ),  # the unfinished change may be its parent
        (
            [
                operation(0, 1, "done", 1, "a"),
                unfinished_change(4, "b"),
                operation(2, 3, "done", 3, "c", "b"),
            ],
            False,
        ),  # but it began later
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
        ),  # read before the change began
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
def test_is_linearizable(operations: list[RegisterOperation], linearizable: bool) -> None:
    assert linearizability.is_linearizable(operations) is linearizable
    if not linearizable:
        counterexample = linearizability.minimal_counterexample(operations)
        assert counterexample and not linearizability.is_linearizable(counterexample)
        assert len(counterexample) <= len(operations)


def test_search_finds_one_wrong_operation_of_two_thousand_within_seconds() -> None:
    operations = []
    parent = ""
    for n in range(1, 501):
        operations.append(operation(n, n + 3.5, "done", n, f"m{n}", parent))
        operations += [operation(n + k / 4, n + 3.6, "read", n, f"m{n}") for k in range(1, 4)]
        parent = f"m{n}"
    started_at = time.process_time()
    assert len(operations) == 2000 and linearizability.is_linearizable(operations)
    wrong = [*operations, operation(400.0, 401.0, "read", 200, "m200")]
    assert not linearizability.is_linearizable(wrong)
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
        ),  # the check passed at some time from 4 on
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


def test_check_takeover_finds_a_task_without_a_holder() -> None:
    events: list[AnyEvent] = [lease_check("a", 1, 1.1, 1, 1), lease_check("b", 9, 9.1, 2, 2)]
    assert invariants.check_takeover(events, "t", 2.0, 5.0) and not invariants.check_takeover(
        events, "t", 2.0, 7.5
    )
    assert invariants.check_takeover(events, "t", 0.0, 5.0, excluded_owner=1) and invariants.check_takeover(
        events, "other", 0.0, 5.0
    )


def test_a_seed_repeats_its_history_and_seeds_show_faults_and_rejected_effects() -> None:
    drill = drill_file.load_drill(ROOT / "drills" / "simulated.toml")
    first, again = (runner.run_simulated(drill, 3) for _ in range(2))
    assert first.counts == again.counts and not first.violations
    total = runner.DrillSummary()
    for seed in range(1, 9):
        total.add(runner.run_simulated(drill, seed))
    assert not total.broken
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
def test_simulated_leases_find_a_planted_fault(
    plant: Callable[[pytest.MonkeyPatch], None], invariant: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    drill = drill_file.load_drill(ROOT / "drills" / "simulated.toml")
    config = runner._simulation_config(drill)
    plant(monkeypatch)
    found = {
        broken.invariant
        for seed in range(1, 9)
        for broken in simulated_leases.run_drill(config, seed).violations
    }
    assert invariant in found


def test_mutations_apply_to_the_program_and_are_at_least_twenty() -> None:
    faults = mutations.load_mutations(ROOT / "tests" / "mutations.toml")
    assert len(faults) >= 20 and len({fault.name for fault in faults}) == len(faults)


@pytest.mark.parametrize("text", ["[faults]\nkinds = ['none']\n", "[leases]\nttl = 0.1\n", "x = 1\n", "["])
def test_load_drill_names_the_file_of_an_error(tmp_path: Path, text: str) -> None:
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


def test_all_faults_can_be_injected(lease_harness: harness.LeaseHarness) -> None:
    drill = drill_file.load_drill(ROOT / "drills" / "simulated.toml")
    config = runner._simulation_config(drill)
    lease_faults = set(FaultName) - AGENT_FAULTS
    assert simulated_leases.SimulatedCluster(config, 1).fault_injector.handlers.kinds == lease_faults
    assert lease_harness.fault_handlers.kinds == lease_faults
    assert simulated_drains.SimulatedDrainCluster(config, 1).fault_injector.handlers.kinds == set(FaultName)


def test_a_fault_without_a_handler_is_named(lease_harness: harness.LeaseHarness) -> None:
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
def test_faults_of_links_hit_the_links_of_their_target_for_their_time(
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
def test_a_router_with_a_version_that_exits_goes_down(kind: str) -> None:
    drill = drill_file.load_drill(ROOT / "drills" / "releases-simulated.toml")
    cluster = simulated_releases.SimulatedReleaseCluster(runner._simulation_config(drill), 1)
    member = next(iter(cluster.routers.values())).member
    assert isinstance(member, simulated_releases.SimulatedVersionedMember)
    member.version = f"{kind}-1"
    member.start()
    assert member.running
    cluster.run_until(2.5)
    assert not member.running and member.exit_count == 1


def test_a_split_cuts_all_links_between_its_sides(lease_harness: harness.LeaseHarness) -> None:
    side = ("w1", "w2", "c0", "c1")
    lease_harness.fault_handlers.inject(0, Fault(0.0, FaultName.SPLIT, side, length=60.0))
    for (caller, replica), link in lease_harness.links.items():
        assert (link.faults.drops_requests and link.faults.drops_replies) is (
            (caller in side) != (replica in side)
        )


def test_a_short_test_on_real_processes(tmp_path: Path) -> None:
    result = runner.run_real(
        drill_file.load_drill(ROOT / "drills" / "short.toml"), 1, tmp_path / "drill", keep_folder=False
    )
    assert not result.failure_reason and not result.violations, "\n".join(result.lines)
    assert result.counts["effects refused"] + result.counts["leases lost"] + result.counts["messages cut"] > 0


def test_model_checkers_explore_small_models_and_find_a_planted_fault(
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

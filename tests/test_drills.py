"""The drills' own parts: the checker and the judge have to turn down wrong histories; seeds give the same
verdict.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path

import pytest

from rosepick.consensus import messages as m
from rosepick.consensus.acceptor import Acceptor
from rosepick.lab.drill import (
    drill_file,
    invariants,
    lease_model_checker,
    linearizability,
    model_checker,
    mutations,
    runner,
    simulated_leases,
)
from rosepick.lab.drill.history import (
    AnyEvent,
    GuardedEffect,
    LeaseCheckPassed,
    LeaseStateChanged,
    RegisterOperation,
)
from rosepick.leases.fencing import FencingGuard

ROOT = Path(__file__).parents[1]


def op(
    begin: float, end: float, kind: str, version: int, mark: str, base: str = "", own: str = ""
) -> RegisterOperation:
    """An operation that ended with this value; `own`: its own mark, if that is another."""
    seen = mark if version else ""
    return RegisterOperation(
        "p", end, begin, "k", own or (mark if kind != "read" else f"r{begin}"), kind, version, seen, base
    )


def lost(begin: float, mark: str, kind: str = "unknown") -> RegisterOperation:
    """A change whose end nobody knows."""
    return RegisterOperation("p", begin + 1.0, begin, "k", mark, kind)


@pytest.mark.parametrize(
    ("operations", "possible"),
    [
        ([op(0, 1, "done", 1, "a"), op(2, 3, "read", 1, "a")], True),
        ([op(0, 1, "done", 1, "a"), op(2, 3, "read", 0, "")], False),  # an old value
        ([op(0, 5, "done", 1, "a"), op(1, 2, "read", 1, "a"), op(3, 4, "read", 0, "")], False),  # back again
        ([op(0, 5, "done", 1, "a"), op(1, 2, "read", 0, ""), op(3, 4, "read", 1, "a")], True),
        ([op(0, 1, "done", 1, "a"), op(2, 3, "done", 1, "b")], False),  # two from one value: a lost change
        ([op(0, 1, "done", 1, "a"), op(2, 3, "done", 2, "b", "a"), op(4, 5, "read", 1, "a")], False),
        ([op(0, 1, "done", 1, "a"), op(2, 3, "done", 3, "c", "b")], False),  # of a value that nobody made
        ([op(0, 1, "done", 1, "a"), lost(0, "b"), op(2, 3, "done", 3, "c", "b")], True),  # somebody may have
        ([op(0, 1, "done", 1, "a"), lost(4, "b"), op(2, 3, "done", 3, "c", "b")], False),  # but not yet
        ([lost(0, "a"), lost(0, "b", "open"), op(2, 3, "done", 4, "d", "c"), lost(0, "c")], True),
        ([lost(0, "a"), op(2, 3, "read", 1, "a"), op(4, 5, "read", 0, "")], False),
        ([op(0, 1, "read", 1, "a"), op(2, 3, "done", 1, "a")], False),  # read before it was begun
        ([op(0, 4, "done", 1, "a"), op(0, 4, "done", 2, "b", "a"), op(0, 4, "done", 3, "c", "b")], True),
    ],
)
def test_orders_that_are_possible_are_told_from_those_that_are_not(
    operations: list[RegisterOperation], possible: bool
) -> None:
    assert linearizability.is_linearizable(operations) is possible
    if not possible:
        cut = linearizability.minimal_counterexample(operations)
        assert cut and not linearizability.is_linearizable(cut) and len(cut) <= len(operations)


def test_two_thousand_operations_take_seconds_and_one_wrong_one_is_found() -> None:
    operations, base = [], ""
    for n in range(1, 501):
        operations.append(op(n, n + 3.5, "done", n, f"m{n}", base))
        operations += [op(n + k / 4, n + 3.6, "read", n, f"m{n}") for k in range(1, 4)]
        base = f"m{n}"
    began = time.process_time()
    assert len(operations) == 2000 and linearizability.is_linearizable(operations)
    wrong = [*operations, op(400.0, 401.0, "read", 200, "m200")]
    assert not linearizability.is_linearizable(wrong)
    assert time.process_time() - began < 10.0


def yes(process: str, begin: float, end: float, token: int, who: int) -> LeaseCheckPassed:
    return LeaseCheckPassed(process, end, begin, "t", token, who)


def effect(at: float, token: int, who: int) -> GuardedEffect:
    return GuardedEffect("p", at, "t", token, who, True)


@pytest.mark.parametrize(
    ("events", "claim"),
    [
        ([yes("a", 1, 1.1, 1, 1), yes("a", 4, 4.1, 1, 1), yes("b", 5, 5.1, 2, 2)], ""),
        ([yes("a", 1, 1.1, 1, 1), yes("a", 4, 4.1, 1, 1), yes("b", 3, 3.1, 2, 2)], "overlap"),
        (
            [yes("a", 1, 1.1, 1, 1), yes("a", 4, 9.0, 1, 1), yes("b", 5, 5.1, 2, 2)],
            "",
        ),  # told at some time from 4 on
        ([yes("a", 1, 9.0, 1, 1), yes("b", 3, 3.1, 2, 2), yes("b", 5, 5.1, 2, 2)], ""),
        ([effect(1, 1, 1), effect(2, 2, 2), effect(3, 1, 1)], "tokens"),
        ([effect(1, 1, 1), effect(2, 1, 1), effect(3, 4, 2)], ""),
        (
            [LeaseStateChanged("a", 1, "t", 3, 1, "holds"), LeaseStateChanged("b", 2, "t", 3, 2, "holds")],
            "tokens",
        ),
        ([LeaseStateChanged("a", 1, "t", 3, 1, "holds"), effect(2, 3, 9)], "tokens"),
        ([lost(0, "a", "failed"), op(2, 3, "read", 1, "a")], "registers"),
    ],
)
def test_the_judge_breaks_the_claim_that_is_broken(events: list[AnyEvent], claim: str) -> None:
    found = {
        broken.invariant
        for broken in invariants.check_invariants(sorted(events, key=lambda event: event.at)).violations
    }
    assert (claim in found) if claim else not found


def test_a_task_that_nobody_takes_up_is_found() -> None:
    events: list[AnyEvent] = [yes("a", 1, 1.1, 1, 1), yes("b", 9, 9.1, 2, 2)]
    assert invariants.check_takeover(events, "t", 2.0, 5.0) and not invariants.check_takeover(
        events, "t", 2.0, 7.5
    )
    assert invariants.check_takeover(events, "t", 0.0, 5.0, excluded_owner=1) and invariants.check_takeover(
        events, "other", 0.0, 5.0
    )


def test_a_seed_is_a_history_and_shows_faults_and_refusals() -> None:
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
    ("plant", "claim"),
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
def test_a_guard_that_is_out_is_found(
    plant: Callable[[pytest.MonkeyPatch], None], claim: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    drill = drill_file.load_drill(ROOT / "drills" / "simulated.toml")
    shape = runner._simulation_config(drill)
    plant(monkeypatch)
    found = {
        broken.invariant
        for seed in range(1, 9)
        for broken in simulated_leases.run_drill(shape, seed).violations
    }
    assert claim in found


def test_planted_faults_fit_the_program_and_there_are_enough() -> None:
    faults = mutations.load_mutations(ROOT / "tests" / "mutations.toml")
    assert len(faults) >= 20 and len({one.name for one in faults}) == len(faults)


@pytest.mark.parametrize("text", ["[faults]\nkinds = ['none']\n", "[leases]\nttl = 0.1\n", "x = 1\n", "["])
def test_faults_of_drill_files_are_named(tmp_path: Path, text: str) -> None:
    path = tmp_path / "drill.toml"
    path.write_text(text)
    with pytest.raises(drill_file.DrillError, match="drill.toml"):
        drill_file.load_drill(path)


def test_a_short_drill_on_real_processes(tmp_path: Path) -> None:
    result = runner.run_real(
        drill_file.load_drill(ROOT / "drills" / "short.toml"), 1, tmp_path / "drill", keep_folder=False
    )
    assert not result.failure_reason and not result.violations, "\n".join(result.lines)
    assert result.counts["effects refused"] + result.counts["leases lost"] + result.counts["messages cut"] > 0


def test_small_worlds_are_explored_and_a_planted_fault_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    whole = model_checker.explore_register(2)
    assert (
        not whole.violations and whole.terminal_states >= whole.completed_states >= 1 and whole.states > 300
    )
    small = lease_model_checker.ModelBounds(horizon=3, ttl=2, lost_replies=0, restarts=0, releases=0)
    leases = lease_model_checker.explore_leases(small)
    assert not leases.violations and leases.completed_states > 100
    monkeypatch.setattr(
        "rosepick.leases.lease_client.LeaseConfig.holder_timeout_ms",
        property(lambda config: 3 * config.ttl_ms),
    )
    larger = lease_model_checker.ModelBounds(horizon=5, ttl=2, lost_replies=0, restarts=0, releases=0)
    assert lease_model_checker.explore_leases(larger).violations

    def promises_nothing(witness: Acceptor, asked: m.PrepareRequest, changes: object) -> m.QuorumReply:
        slot = witness.state.register_states.get(asked.key, m.RegisterState())
        return m.PromiseReply(asked.request_id, witness.state.storage_id, slot.accepted_ballot, slot.register)

    monkeypatch.setattr(Acceptor, "_prepare", promises_nothing)
    assert model_checker.explore_register(3).violations

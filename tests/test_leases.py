"""Leases: the contender's machine, the record, the guard, the file; and three witnesses with commands, as a
user has them.
"""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from rosepick.consensus.messages import Register
from rosepick.consensus.proposer import ChangeRejectedError, OperationOutcome, OutcomeKind
from rosepick.coordination.acceptor_store import AcceptorStore, SqliteFencingTokenStore, StoreError
from rosepick.lab.drill.processes import unique_loopback_address
from rosepick.leases import lease_record
from rosepick.leases.fencing import FencingGuard
from rosepick.leases.lease_client import (
    SAFETY_MARGIN_SHARE,
    LeaseClient,
    LeaseConfig,
    LeaseOperation,
    LeaseState,
)
from rosepick.leases.lease_record import LeaseRecord
from rosepick.settings import fleet_file

TERMS = LeaseConfig(ttl_ms=10_000.0, max_clock_drift=0.025)


class Shelf:
    """One register, as a quorum would keep it."""

    def __init__(self) -> None:
        self.register = Register()

    def make(self, ask: LeaseOperation) -> OperationOutcome:
        """Read or change it."""
        if ask.change is not None:
            try:
                value = ask.change(self.register)
            except ChangeRejectedError:
                return OperationOutcome(OutcomeKind.UNCHANGED, self.register)
            self.register = Register(self.register.version + 1, "m", value)
            return OperationOutcome(OutcomeKind.COMMITTED, self.register)
        return OperationOutcome(OutcomeKind.UNCHANGED, self.register)

    @property
    def record(self) -> LeaseRecord:
        """What it says."""
        return lease_record.decode_record(self.register)


def contender(name: str, who: int, terms: LeaseConfig = TERMS) -> LeaseClient:
    """One that looks at middling times."""
    return LeaseClient("task", name, who, terms, lambda: 0.5)


def step(one: LeaseClient, shelf: Shelf, now: float, takes: float = 1.0, lost: bool = False) -> None:
    """One question, if there is one, and its answer after so many milliseconds."""
    ask = one.next_operation(now)
    if ask is not None:
        outcome = shelf.make(ask)
        one.handle_outcome(now + takes, OperationOutcome(OutcomeKind.UNKNOWN) if lost else outcome)


def until(one: LeaseClient, shelf: Shelf, now: float, where: LeaseState, end: float) -> float:
    """Go on in steps of 10 ms until it is there; when that was."""
    while one.state is not where and now < end:
        step(one, shelf, now)
        now += 10.0
    assert one.state is where
    return now


def test_a_holder_counts_from_before_it_asked_and_its_end_comes_before_anybody_elses_count() -> None:
    shelf, first, second = Shelf(), contender("a", 1), contender("b", 2)
    step(first, shelf, 0.0)
    step(first, shelf, 500.0, takes=400.0)  # asked at 500, granted somewhere on the way, told at 900
    assert first.state is LeaseState.HELD and first.token == 1
    end = 500.0 + TERMS.holder_timeout_ms - SAFETY_MARGIN_SHARE * TERMS.ttl_ms
    assert first.may_act(end - 1.0) and not first.may_act(end)
    step(second, shelf, 600.0)
    taken = until(second, shelf, 700.0, LeaseState.HELD, 30_000.0)
    assert taken >= 601.0 + TERMS.takeover_timeout_ms(TERMS.ttl_ms) and second.token == 2
    assert not first.may_act(taken) and first.state is LeaseState.HELD
    first.next_operation(taken)
    assert not first.is_in_doubt(taken)  # it is lost, not in doubt


def test_a_renewal_that_fails_is_tried_again_and_told_as_doubt() -> None:
    shelf, one = Shelf(), contender("a", 1)
    until(one, shelf, 0.0, LeaseState.HELD, 1_000.0)
    for now in range(1_000, 6_600, 100):
        ask = one.next_operation(float(now))
        if ask is not None:
            one.handle_outcome(now + 50.0, OperationOutcome(OutcomeKind.FAILED))
    assert one.is_in_doubt(6_600.0) and one.may_act(6_600.0)
    step(one, shelf, 8_000.0)
    assert not one.is_in_doubt(8_100.0) and one.renewal_count == 1 and one.may_act(17_000.0)


@pytest.mark.parametrize("lost_by", ["force", "another"])
def test_a_lease_that_is_gone_stays_gone(lost_by: str) -> None:
    shelf, one = Shelf(), contender("a", 1)
    until(one, shelf, 0.0, LeaseState.HELD, 1_000.0)
    if lost_by == "force":
        shelf.make(LeaseOperation("k", lease_record.force_release("me", "it hangs")))
    else:
        shelf.make(LeaseOperation("k", lease_record.acquire(shelf.record, 7, "b", 10_000.0)))
    until(one, shelf, 1_000.0, LeaseState.LOST, 9_000.0)
    assert (
        not one.may_act(5_000.0) and one.remaining_ms(4_000.0) > 3_000.0
    )  # what it has started still has that long
    assert shelf.record.token == 2 and shelf.record.held


def test_who_takes_after_force_still_waits_for_the_old_holder() -> None:
    shelf, one, other = Shelf(), contender("a", 1), contender("b", 2)
    until(one, shelf, 0.0, LeaseState.HELD, 1_000.0)
    shelf.make(LeaseOperation("k", lease_record.force_release("me", "it hangs")))
    assert until(other, shelf, 2_000.0, LeaseState.HELD, 30_000.0) >= 2_000.0 + TERMS.takeover_timeout_ms(
        TERMS.ttl_ms
    )
    assert other.token == 3


def test_an_answer_that_is_lost_does_not_make_a_holder_of_no_time() -> None:
    shelf, one = Shelf(), contender("a", 1)
    step(one, shelf, 0.0)
    step(one, shelf, 100.0, lost=True)  # granted, and nobody knows when
    step(one, shelf, 1_000.0)  # it is found ...
    for now in (1_001.0, 2_000.0, 3_000.0):  # ... and answers of renewals are late or lost, for long
        step(one, shelf, now, lost=True)
        assert one.state is LeaseState.WAITING and not one.may_act(now)
    assert shelf.record.beat == 3
    until(one, shelf, 4_000.0, LeaseState.HELD, 5_000.0)
    assert one.token == 1 and one.renewal_count == 1 and one.may_act(5_000.0)


def test_a_line_is_served_in_order_and_the_dead_in_it_are_passed_over() -> None:
    shelf, holder = Shelf(), contender("a", 1)
    until(holder, shelf, 0.0, LeaseState.HELD, 1_000.0)
    waiting = [contender(name, who) for name, who in (("b", 2), ("c", 3), ("d", 4))]
    for number, one in enumerate(waiting):
        for now in (1_000.0, 1_600.0):
            step(one, shelf, now + number)
    assert [waiter.name for waiter in shelf.record.line] == ["b", "c", "d"]
    holder.release(successor="d")
    step(holder, shelf, 2_000.0)
    assert holder.state is LeaseState.ENDED and not shelf.record.held
    assert [waiter.name for waiter in shelf.record.line] == ["d", "b", "c"]
    until(waiting[2], shelf, 2_100.0, LeaseState.HELD, 4_000.0)
    assert [waiter.name for waiter in shelf.record.line] == ["b", "c"]
    waiting[2].release()
    step(waiting[2], shelf, 4_000.0)
    began = 4_100.0  # b has died: c takes it, somewhat later
    assert until(waiting[1], shelf, began, LeaseState.HELD, 6_000.0) <= began + 1_000.0
    assert shelf.record.line == () and shelf.record.token == 3


def test_one_who_waits_no_more_leaves_the_line_and_a_restart_is_another_one() -> None:
    shelf, holder, one = Shelf(), contender("a", 1), contender("b", 2)
    until(holder, shelf, 0.0, LeaseState.HELD, 1_000.0)
    step(one, shelf, 1_000.0)
    step(one, shelf, 1_600.0)
    one.release()
    until(one, shelf, 2_000.0, LeaseState.ENDED, 4_000.0)
    assert shelf.record.line == ()
    again = contender("a", 9)  # the holder's name, started anew within its lease
    assert until(again, shelf, 2_000.0, LeaseState.HELD, 30_000.0) >= 2_000.0 + TERMS.takeover_timeout_ms(
        TERMS.ttl_ms
    )


def test_after_an_hours_sleep_a_holder_says_no_and_one_who_waited_finds_out_what_is() -> None:
    shelf, holder, other = Shelf(), contender("a", 1), contender("b", 2)
    until(holder, shelf, 0.0, LeaseState.HELD, 1_000.0)
    step(other, shelf, 1_000.0)
    shelf.make(LeaseOperation("k", lease_record.renew(1, 1, TERMS.ttl_ms)))  # renewed while the other slept
    hour = 3_600_000.0
    assert not holder.may_act(hour)
    step(other, shelf, hour)
    assert other.state is LeaseState.WAITING  # what it had seen was old: it takes nothing by it
    assert until(other, shelf, hour + 10.0, LeaseState.HELD, hour + 30_000.0) >= hour + TERMS.ttl_ms


class Kept:
    """Tokens in memory; or a disk that is full."""

    def __init__(self, full: bool = False) -> None:
        self.tokens: dict[str, int] = {}
        self.full = full

    def highest_token(self, task: str) -> int:
        return self.tokens.get(task, 0)

    def save_token(self, task: str, token: int) -> None:
        if self.full:
            raise OSError("full")
        self.tokens[task] = token


def test_a_guard_takes_no_lower_token_whatever_the_time() -> None:
    guard = FencingGuard(Kept())
    steps = [("a", 1), ("a", 1), ("a", 3), ("a", 2), ("b", 1), ("a", 0), ("a", 3)]
    assert [guard.accepts(*one) for one in steps] == [True, True, True, False, True, False, True]
    assert guard.rejected_count == 2
    with pytest.raises(OSError):
        FencingGuard(Kept(full=True)).accepts("a", 1)


def test_tokens_and_witnesses_outlive_their_process_and_a_folder_has_one(tmp_path: Path) -> None:
    tokens = SqliteFencingTokenStore(tmp_path / "guard")
    tokens.save_token("task", 7)
    with pytest.raises(StoreError, match="another process"):
        SqliteFencingTokenStore(tmp_path / "guard")
    tokens.close()
    assert SqliteFencingTokenStore(tmp_path / "guard").highest_token("task") == 7
    store = AcceptorStore(tmp_path / "w", "first")
    store.close()
    store = AcceptorStore(tmp_path / "w", "second")
    assert (store.state.storage_id, store.state.start_count, store.was_copied) == ("first", 2, False)
    store.close()
    file = tmp_path / "w" / "witness.sqlite3"
    data = file.read_bytes()
    file.unlink()
    file.write_bytes(data)
    store = AcceptorStore(tmp_path / "w", "third")
    assert (store.state.storage_id, store.state.start_count, store.was_copied) == ("third", 1, True)
    store.close()
    file.write_bytes(b"no database" * 100)
    with pytest.raises(StoreError, match="witness.sqlite3"):
        AcceptorStore(tmp_path / "w", "fourth")


@pytest.mark.parametrize(
    ("text", "fault"),
    [
        ("[witnesses]\n", "1 to 7 witnesses"),
        ('[witnesses]\nw1 = "nowhere"\n', "not host:port"),
        ('[witnesses]\nw1 = "h:1"\nw2 = "h:1"\n', "one address"),
        ('[witnesses]\nw1 = "h:1"\n[leases]\nttl = 0.1\n', "leases.ttl"),
        ('[witnesses]\nw1 = "h:1"\n[lease]\n', "lease: Extra"),
        ('key_file = "no"\n[witnesses]\nw1 = "h:1"\n', "key_file"),
        ("witnesses = [\n", "fleet.toml"),
    ],
)
def test_faults_of_the_fleets_file_are_named(tmp_path: Path, text: str, fault: str) -> None:
    path = tmp_path / "fleet.toml"
    path.write_text(text)
    with pytest.raises(fleet_file.FleetFileError, match=fault):
        fleet_file.load(path)


class Fleet:
    """Three witnesses as processes, and commands on them."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.environment = {
            **os.environ,
            "ROSEPICK_FLEET": "fleet.toml",
            "PYTHONPATH": str(Path(__file__).parents[1]),
        }
        lines = [f'w{n} = "{unique_loopback_address()}:{7900 + n}"' for n in (1, 2, 3)]
        (folder / "fleet.toml").write_text("\n".join(["[witnesses]", *lines, "[leases]", "ttl = 2.0"]))
        self.processes = {f"w{n}": self.start(f"w{n}") for n in (1, 2, 3)}

    def start(self, name: str) -> subprocess.Popen[bytes]:
        return self.begin("witness", "run", name, "--folder", name, log=name)

    def begin(self, *arguments: str, log: str = "log") -> subprocess.Popen[bytes]:
        with (self.folder / f"{log}.log").open("ab") as out:
            return subprocess.Popen(
                [sys.executable, "-m", "rosepick", *arguments],
                cwd=self.folder,
                env=self.environment,
                stdout=out,
                stderr=out,
            )

    def say(self, *arguments: str) -> tuple[int, str]:
        done = subprocess.run(
            [sys.executable, "-m", "rosepick", *arguments],
            cwd=self.folder,
            env=self.environment,
            capture_output=True,
            text=True,
            timeout=60,
        )
        return done.returncode, done.stdout + done.stderr

    def until(self, status: int, *arguments: str) -> str:
        """Say it until it ends with that status."""
        for _ in range(60):
            found, text = self.say(*arguments)
            if found == status:
                return text
            time.sleep(0.2)
        raise AssertionError(text)


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    fleet = Fleet(tmp_path_factory.mktemp("fleet"))
    yield fleet
    for process in fleet.processes.values():
        process.kill()
        process.wait()


def test_a_fleet_from_its_first_command_to_a_lost_folder(fleet: Fleet) -> None:
    assert "no quorum" in fleet.until(69, "witness", "status")
    fleet.until(0, "witness", "found")
    assert fleet.say("witness", "found")[0] == 77  # once only
    status, text = fleet.say("lease", "run", "job", "--", "sh", "-c", "echo token $ROSEPICK_TOKEN; exit 7")
    assert status == 7 and "token 1" in text
    holder = fleet.begin("lease", "run", "job", "--", "sleep", "60", log="holder")
    for _ in range(100):
        shown = json.loads(fleet.say("lease", "show", "job", "--json")[1])["job"]
        if shown["held"]:
            break
    assert shown["token"] == 2
    assert fleet.say("lease", "run", "job", "--wait", "0.3", "--", "true")[0] == 75
    assert fleet.say("lease", "release", "job")[0] == 2  # not without a reason
    assert fleet.say("lease", "release", "job", "--force", "--why", "a test")[0] == 0
    assert holder.wait(30) == 76  # its command was ended
    assert "job" in fleet.say("lease", "list")[1]
    # one folder is gone for good: its witness has a new storage, and comes in by a change of the quorum
    fleet.processes["w3"].send_signal(signal.SIGKILL)
    fleet.processes["w3"].wait()
    (fleet.folder / "w3").rename(fleet.folder / "gone")
    fleet.processes["w3"] = fleet.start("w3")
    assert "epoch 2" in fleet.until(0, "witness", "replace", "w3")
    fleet.processes["w1"].kill()
    fleet.processes["w1"].wait()
    assert "token 4" in fleet.until(0, "lease", "run", "job", "--", "sh", "-c", "echo token $ROSEPICK_TOKEN")
    fleet.processes["w2"].kill()
    fleet.processes["w2"].wait()
    assert fleet.say("lease", "run", "job", "--wait", "1", "--", "true")[0] == 69

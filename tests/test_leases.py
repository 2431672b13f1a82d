"""Tests leases: client, record, fencing guard, stores, the fleet file, and commands on real processes."""

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
from rosepick.consensus.proposer import ChangeRejectedError, OperationOutcome, OutcomeKind, RegisterChange
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

CONFIG = LeaseConfig(ttl_ms=10_000.0, max_clock_drift=0.025)


class InMemoryRegister:
    """Holds one register and applies operations to it like a quorum."""

    def __init__(self) -> None:
        self.register = Register()

    def run(self, operation: LeaseOperation) -> OperationOutcome:
        """Run a read or a change on the register."""
        if operation.change is not None:
            try:
                value = operation.change(self.register)
            except ChangeRejectedError:
                return OperationOutcome(OutcomeKind.UNCHANGED, self.register)
            self.register = Register(self.register.version + 1, "m", value)
            return OperationOutcome(OutcomeKind.COMMITTED, self.register)
        return OperationOutcome(OutcomeKind.UNCHANGED, self.register)

    def change(self, change: RegisterChange) -> None:
        """Apply a change by another client."""
        self.run(LeaseOperation("k", change))

    @property
    def record(self) -> LeaseRecord:
        """Return the lease record in the register."""
        return lease_record.decode_record(self.register)


def make_client(name: str, owner_id: int) -> LeaseClient:
    """Return a client whose random numbers are all 0.5."""
    return LeaseClient("task", name, owner_id, CONFIG, lambda: 0.5)


def step(
    client: LeaseClient,
    register: InMemoryRegister,
    now: float,
    duration_ms: float = 1.0,
    is_lost: bool = False,
) -> None:
    """Run the client's next operation, if one is due; the outcome arrives `duration_ms` later."""
    operation = client.next_operation(now)
    if operation is not None:
        outcome = register.run(operation)
        if is_lost:
            outcome = OperationOutcome(OutcomeKind.UNKNOWN)
        client.handle_outcome(now + duration_ms, outcome)


def run_until(
    client: LeaseClient, register: InMemoryRegister, now: float, state: LeaseState, end: float
) -> float:
    """Run the client in steps of 10 ms until it is in a state, and return the time after that."""
    while client.state is not state and now < end:
        step(client, register, now)
        now += 10.0
    assert client.state is state
    return now


def test_a_lease_counts_from_the_request_and_ends_before_another_client_may_acquire_it() -> None:
    register, first, second = InMemoryRegister(), make_client("a", 1), make_client("b", 2)
    step(first, register, 0.0)
    step(first, register, 500.0, duration_ms=400.0)  # requested at 500, granted in between, known at 900
    assert first.state is LeaseState.HELD and first.token == 1
    end = 500.0 + CONFIG.holder_timeout_ms - SAFETY_MARGIN_SHARE * CONFIG.ttl_ms
    assert first.may_act(end - 1.0) and not first.may_act(end)
    step(second, register, 600.0)
    acquired_at = run_until(second, register, 700.0, LeaseState.HELD, 30_000.0)
    assert acquired_at >= 601.0 + CONFIG.takeover_timeout_ms(CONFIG.ttl_ms) and second.token == 2
    assert not first.may_act(acquired_at) and first.state is LeaseState.HELD
    first.next_operation(acquired_at)
    assert not first.is_in_doubt(acquired_at)  # its time is over: it is lost, not in doubt


def test_a_failed_renewal_is_retried_and_puts_the_lease_in_doubt() -> None:
    register, client = InMemoryRegister(), make_client("a", 1)
    run_until(client, register, 0.0, LeaseState.HELD, 1_000.0)
    for now in range(1_000, 6_600, 100):
        operation = client.next_operation(float(now))
        if operation is not None:
            client.handle_outcome(now + 50.0, OperationOutcome(OutcomeKind.FAILED))
    assert client.is_in_doubt(6_600.0) and client.may_act(6_600.0)
    step(client, register, 8_000.0)
    assert not client.is_in_doubt(8_100.0) and client.renewal_count == 1 and client.may_act(17_000.0)


@pytest.mark.parametrize("lost_by", ["force", "another"])
def test_a_lost_lease_stays_lost(lost_by: str) -> None:
    register, client = InMemoryRegister(), make_client("a", 1)
    run_until(client, register, 0.0, LeaseState.HELD, 1_000.0)
    if lost_by == "force":
        register.change(lease_record.force_release("me", "it hangs"))
    else:
        register.change(lease_record.acquire(register.record, 7, "b", 10_000.0))
    run_until(client, register, 1_000.0, LeaseState.LOST, 9_000.0)
    # the next holder waits for the end of work that was started before
    assert not client.may_act(5_000.0) and client.remaining_ms(4_000.0) > 3_000.0
    assert register.record.token == 2 and register.record.is_held


def test_after_a_forced_release_the_next_client_still_waits_for_the_old_holder() -> None:
    register, holder, other = InMemoryRegister(), make_client("a", 1), make_client("b", 2)
    run_until(holder, register, 0.0, LeaseState.HELD, 1_000.0)
    register.change(lease_record.force_release("me", "it hangs"))
    acquired_at = run_until(other, register, 2_000.0, LeaseState.HELD, 30_000.0)
    assert acquired_at >= 2_000.0 + CONFIG.takeover_timeout_ms(CONFIG.ttl_ms)
    assert other.token == 3


def test_a_grant_whose_reply_was_lost_is_held_from_a_renewal_on() -> None:
    register, client = InMemoryRegister(), make_client("a", 1)
    step(client, register, 0.0)
    step(client, register, 100.0, is_lost=True)  # granted, but the reply with the outcome is lost
    step(client, register, 1_000.0)  # the client reads the record and finds the grant
    for now in (1_001.0, 2_000.0, 3_000.0):  # the replies to renewals are lost
        step(client, register, now, is_lost=True)
        assert client.state is LeaseState.WAITING and not client.may_act(now)
    assert register.record.renewal_count == 3
    run_until(client, register, 4_000.0, LeaseState.HELD, 5_000.0)
    assert client.token == 1 and client.renewal_count == 1 and client.may_act(5_000.0)


def test_the_queue_is_served_in_order_and_dead_clients_are_skipped() -> None:
    register, holder = InMemoryRegister(), make_client("a", 1)
    run_until(holder, register, 0.0, LeaseState.HELD, 1_000.0)
    waiting = [make_client(name, owner_id) for name, owner_id in (("b", 2), ("c", 3), ("d", 4))]
    for number, client in enumerate(waiting):
        for now in (1_000.0, 1_600.0):
            step(client, register, now + number)
    assert [waiter.name for waiter in register.record.queue] == ["b", "c", "d"]
    holder.release(successor="d")
    step(holder, register, 2_000.0)
    assert holder.state is LeaseState.ENDED and not register.record.is_held
    assert [waiter.name for waiter in register.record.queue] == ["d", "b", "c"]
    run_until(waiting[2], register, 2_100.0, LeaseState.HELD, 4_000.0)
    assert [waiter.name for waiter in register.record.queue] == ["b", "c"]
    waiting[2].release()
    step(waiting[2], register, 4_000.0)
    started_at = 4_100.0  # b has died: c acquires the lease after b's turn
    assert run_until(waiting[1], register, started_at, LeaseState.HELD, 6_000.0) <= started_at + 1_000.0
    assert register.record.queue == () and register.record.token == 3


def test_a_client_that_stops_waiting_leaves_the_queue_and_a_restarted_holder_is_another_client() -> None:
    register, holder, client = InMemoryRegister(), make_client("a", 1), make_client("b", 2)
    run_until(holder, register, 0.0, LeaseState.HELD, 1_000.0)
    step(client, register, 1_000.0)
    step(client, register, 1_600.0)
    client.release()
    run_until(client, register, 2_000.0, LeaseState.ENDED, 4_000.0)
    assert register.record.queue == ()
    restarted = make_client("a", 9)  # the holder, restarted within its lease
    acquired_at = run_until(restarted, register, 2_000.0, LeaseState.HELD, 30_000.0)
    assert acquired_at >= 2_000.0 + CONFIG.takeover_timeout_ms(CONFIG.ttl_ms)


def test_after_an_hour_of_sleep_a_holder_may_not_act_and_a_waiting_client_reads_the_record_again() -> None:
    register, holder, other = InMemoryRegister(), make_client("a", 1), make_client("b", 2)
    run_until(holder, register, 0.0, LeaseState.HELD, 1_000.0)
    step(other, register, 1_000.0)
    register.change(lease_record.renew(1, 1, CONFIG.ttl_ms))  # renewed while the other client was asleep
    hour = 3_600_000.0
    assert not holder.may_act(hour)
    step(other, register, hour)
    assert (
        other.state is LeaseState.WAITING
    )  # the record that it knew was outdated, so the acquisition was rejected
    acquired_at = run_until(other, register, hour + 10.0, LeaseState.HELD, hour + 30_000.0)
    assert acquired_at >= hour + CONFIG.ttl_ms


class InMemoryTokenStore:
    """Stores fencing tokens in memory; with `is_full`, each save fails like on a full disk."""

    def __init__(self, is_full: bool = False) -> None:
        self.tokens: dict[str, int] = {}
        self.is_full = is_full

    def highest_token(self, task: str) -> int:
        return self.tokens.get(task, 0)

    def save_token(self, task: str, token: int) -> None:
        if self.is_full:
            raise OSError("full")
        self.tokens[task] = token


def test_a_guard_accepts_no_lower_token() -> None:
    guard = FencingGuard(InMemoryTokenStore())
    steps = [("a", 1), ("a", 1), ("a", 3), ("a", 2), ("b", 1), ("a", 0), ("a", 3)]
    assert [guard.accepts(task, token) for task, token in steps] == [
        True,
        True,
        True,
        False,
        True,
        False,
        True,
    ]
    assert guard.rejected_count == 2
    with pytest.raises(OSError):
        FencingGuard(InMemoryTokenStore(is_full=True)).accepts("a", 1)


def test_stored_state_survives_a_restart_and_a_folder_is_locked_by_one_process(tmp_path: Path) -> None:
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
def test_an_error_in_the_fleet_file_is_reported_with_its_key(tmp_path: Path, text: str, fault: str) -> None:
    path = tmp_path / "fleet.toml"
    path.write_text(text)
    with pytest.raises(fleet_file.FleetFileError, match=fault):
        fleet_file.load(path)


class FleetProcesses:
    """Runs three replicas as processes, and commands that use them."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.environment = {
            **os.environ,
            "ROSEPICK_FLEET": "fleet.toml",
            "PYTHONPATH": str(Path(__file__).parents[1]),
        }
        lines = [f'w{n} = "{unique_loopback_address()}:{7900 + n}"' for n in (1, 2, 3)]
        (folder / "fleet.toml").write_text("\n".join(["[witnesses]", *lines, "[leases]", "ttl = 2.0"]))
        self.replicas = {f"w{n}": self.start_replica(f"w{n}") for n in (1, 2, 3)}

    def start_replica(self, name: str) -> subprocess.Popen[bytes]:
        return self.start("witness", "run", name, "--folder", name, log=name)

    def start(self, *arguments: str, log: str = "log") -> subprocess.Popen[bytes]:
        with (self.folder / f"{log}.log").open("ab") as out:
            return subprocess.Popen(
                [sys.executable, "-m", "rosepick", *arguments],
                cwd=self.folder,
                env=self.environment,
                stdout=out,
                stderr=out,
            )

    def run(self, *arguments: str) -> tuple[int, str]:
        process = subprocess.run(
            [sys.executable, "-m", "rosepick", *arguments],
            cwd=self.folder,
            env=self.environment,
            capture_output=True,
            text=True,
            timeout=60,
        )
        return process.returncode, process.stdout + process.stderr

    def run_until(self, status: int, *arguments: str) -> str:
        """Repeat a command until it exits with `status`, and return its output."""
        for _ in range(60):
            last_status, text = self.run(*arguments)
            if last_status == status:
                return text
            time.sleep(0.2)
        raise AssertionError(text)


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[FleetProcesses]:
    fleet = FleetProcesses(tmp_path_factory.mktemp("fleet"))
    yield fleet
    for process in fleet.replicas.values():
        process.kill()
        process.wait()


def test_leases_on_real_processes_from_the_founding_of_a_quorum_to_its_loss(fleet: FleetProcesses) -> None:
    assert "no quorum" in fleet.run_until(69, "witness", "status")
    fleet.run_until(0, "witness", "found")
    assert fleet.run("witness", "found")[0] == 77  # a quorum can be founded only once
    status, text = fleet.run("lease", "run", "job", "--", "sh", "-c", "echo token $ROSEPICK_TOKEN; exit 7")
    assert status == 7 and "token 1" in text
    holder = fleet.start("lease", "run", "job", "--", "sleep", "60", log="holder")
    for _ in range(100):
        record = json.loads(fleet.run("lease", "show", "job", "--json")[1])["job"]
        if record["held"]:
            break
    assert record["token"] == 2
    assert fleet.run("lease", "run", "job", "--wait", "0.3", "--", "true")[0] == 75
    assert fleet.run("lease", "release", "job")[0] == 2  # a forced release needs a reason
    assert fleet.run("lease", "release", "job", "--force", "--why", "a test")[0] == 0
    assert holder.wait(30) == 76  # its command was terminated because the lease was lost
    assert "job" in fleet.run("lease", "list")[1]
    # the folder of w3 is lost: a reconfiguration replaces its storage in the quorum
    fleet.replicas["w3"].send_signal(signal.SIGKILL)
    fleet.replicas["w3"].wait()
    (fleet.folder / "w3").rename(fleet.folder / "gone")
    fleet.replicas["w3"] = fleet.start_replica("w3")
    assert "epoch 2" in fleet.run_until(0, "witness", "replace", "w3")
    fleet.replicas["w1"].kill()
    fleet.replicas["w1"].wait()
    assert "token 4" in fleet.run_until(
        0, "lease", "run", "job", "--", "sh", "-c", "echo token $ROSEPICK_TOKEN"
    )
    fleet.replicas["w2"].kill()
    fleet.replicas["w2"].wait()
    assert fleet.run("lease", "run", "job", "--wait", "1", "--", "true")[0] == 69

"""What a lease costs: time to take and to renew, a witness under many holders, its storage after many
renewals.
"""

from __future__ import annotations

import fcntl
import os
import random
import tempfile
import time
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from pathlib import Path

from hdrh.histogram import HdrHistogram

from ...consensus import codec
from ...consensus import messages as m
from ...consensus.acceptor import Acceptor
from ...consensus.messages import Quorum, QuorumMember, Register
from ...consensus.proposer import OperationOutcome
from ...coordination.acceptor_store import AcceptorStore
from ...coordination.lease_holder import LeaseHolder
from ...coordination.quorum_client import (
    QuorumClient,
    QuorumReplyCallback,
    ReplicaConnection,
    tcp_connections,
)
from ...leases import lease_record
from ...leases.lease_client import LeaseConfig, LeaseState
from ...net.boot_clock import boottime_s
from ...net.event_loop import EventLoop
from ...net.resource_budget import ResourceBudget
from .forwarder import Forwarder, LinkEndpoints
from .processes import FIRST_PORT, ManagedProcess, unique_loopback_address

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, 60_000_000, 3)  # microseconds


def _format_percentiles(histogram: HdrHistogram) -> str:
    p50, p99 = (histogram.get_value_at_percentile(part) / 1000.0 for part in (50, 99))
    return f"p50 {p50:6.2f} ms  p99 {p99:6.2f} ms"


@contextmanager
def _running_quorum(count: int) -> Iterator[tuple[QuorumClient, EventLoop, dict[str, ManagedProcess]]]:
    """A founded quorum of real processes, and a client of it."""
    host = unique_loopback_address()
    endpoints = {f"w{n}": (host, FIRST_PORT + n) for n in range(count)}
    with tempfile.TemporaryDirectory(prefix="rosepick-leases-") as scratch:
        folder = Path(scratch)
        lines = ["[witnesses]", *(f'{name} = "{host}:{port}"' for name, (host, port) in endpoints.items())]
        (folder / "fleet.toml").write_text("\n".join(lines), "utf-8")
        given = ["--fleet", "fleet.toml", "--folder"]
        processes = {
            name: ManagedProcess(name, folder, 1.0, "rosepick", ["witness", "run", name, *given, name])
            for name in endpoints
        }
        loop = EventLoop(boottime_s)
        client = QuorumClient(loop, tcp_connections(loop, endpoints, b""), random.Random(1))
        try:
            for process in processes.values():
                process.start()
            _bootstrap_quorum(client, loop)
            yield client, loop, processes
        finally:
            client.close()
            for process in processes.values():
                process.kill()


def _run_until(loop: EventLoop, condition: Callable[[], bool], seconds: float = 30.0) -> None:
    end = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > end:
            raise TimeoutError("a quorum of the measurement does not answer")
        loop.step(0.01)


def _bootstrap_quorum(client: QuorumClient, loop: EventLoop) -> None:
    def all_told() -> bool:
        client.poll_status()
        return len(client.replica_statuses) == len(client.connections)

    _run_until(loop, all_told)
    members = tuple(
        QuorumMember(name, told.status.storage_id) for name, told in client.replica_statuses.items()
    )
    done: set[str] = set()
    quorum = Quorum("measured", 1, members)
    client.send_to_all(
        lambda number: m.InstallEpochRequest(number, quorum, {}), lambda name, answer: done.add(name)
    )
    _run_until(loop, lambda: len(done) == len(members))

    def known() -> bool:
        client.poll_status()
        return client.quorum is not None

    _run_until(loop, known)


def measure_lease_latency(witnesses: int, rounds: int) -> str:
    """Time to take a lease, and to renew it, one after the other."""
    take, renew = _histogram(), _histogram()
    with _running_quorum(witnesses) as (client, loop, _):
        for number in range(rounds):
            key = lease_record.register_key(f"task {number}")
            for change, histogram in (
                (lease_record.acquire(lease_record.LeaseRecord(), client.client_id, "a", 10_000.0), take),
                (lease_record.renew(client.client_id, 1, 10_000.0), renew),
            ):
                outcomes: list[OperationOutcome] = []
                began = time.perf_counter()
                client.execute(key, change, outcomes.append, 5_000.0)
                _run_until(loop, lambda outcomes=outcomes: bool(outcomes))  # type: ignore[misc]
                histogram.record_value(int(1e6 * (time.perf_counter() - began)))
    return f"{witnesses} witnesses: take {_format_percentiles(take)}   renew {_format_percentiles(renew)}"


def measure_lock_file(rounds: int) -> str:
    """The limit: a lock file of one machine, with a token in it that is on the disk."""
    take = _histogram()
    with tempfile.TemporaryDirectory(prefix="rosepick-lock-") as scratch:
        for number in range(rounds):
            began = time.perf_counter()
            file = os.open(Path(scratch) / "lock", os.O_RDWR | os.O_CREAT, 0o644)
            fcntl.flock(file, fcntl.LOCK_EX)
            os.pwrite(file, b"%d" % number, 0)
            os.fdatasync(file)
            os.close(file)
            take.record_value(int(1e6 * (time.perf_counter() - began)))
    return f"a lock file:  take {_format_percentiles(take)}"


def _cpu_seconds(process: ManagedProcess) -> float:
    """Seconds of processor time of a process."""
    fields = Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


class CountingConnection:
    """A way to a witness whose bytes are counted, both ways."""

    def __init__(self, connection: ReplicaConnection) -> None:
        self._connection, self.bytes_sent = connection, 0

    def send(self, request: m.QuorumRequest) -> None:
        """Send it."""
        self.bytes_sent += len(codec.encode_frame(request))
        self._connection.send(request)

    def close(self) -> None:
        """Let go of it."""
        self._connection.close()


class TrafficCounter:
    """Counts the bytes that a client and its witnesses say to each other."""

    def __init__(self) -> None:
        self.connections: dict[str, CountingConnection] = {}
        self.bytes_received = 0

    def counting(
        self, links: Callable[[QuorumReplyCallback], Mapping[str, ReplicaConnection]]
    ) -> Callable[[QuorumReplyCallback], Mapping[str, ReplicaConnection]]:
        """The same ways, counted."""

        def made(heard: QuorumReplyCallback) -> Mapping[str, ReplicaConnection]:
            def come(name: str, answer: m.QuorumReply) -> None:
                self.bytes_received += len(codec.encode_frame(answer))
                heard(name, answer)

            self.connections = {name: CountingConnection(asks) for name, asks in links(come).items()}
            return self.connections

        return made

    def bytes_per_replica(self) -> float:
        """Bytes so far of one witness, there and back."""
        return (sum(one.bytes_sent for one in self.connections.values()) + self.bytes_received) / max(
            1, len(self.connections)
        )


def measure_takeover(rounds: int, ttl: float = 2_000.0) -> str:
    """How long after its holder was cut off from all witnesses the next one may act, and until when the old
    one still could.
    """
    taken = _histogram()
    last = _histogram()
    with _running_quorum(3) as (client, loop, processes):
        host, budget, rng = unique_loopback_address(), ResourceBudget(4096), random.Random(2)
        ways = [
            Forwarder(loop, budget, LinkEndpoints(host, FIRST_PORT + 100 + n, FIRST_PORT + n), rng)
            for n in range(len(processes))
        ]
        ends = {f"w{n}": (host, way.endpoints.listen_port) for n, way in enumerate(ways)}
        for number in range(rounds):
            other = QuorumClient(loop, tcp_connections(loop, ends, b""), rng)
            first = LeaseHolder(other, f"cut {number}", "first", LeaseConfig(ttl))
            _run_until(loop, first.may_act)
            second = LeaseHolder(client, f"cut {number}", "second", LeaseConfig(ttl))
            _run_until(loop, lambda second=second: second.lease_client.known_record is not None)  # type: ignore[misc]
            until = loop.now() + rng.uniform(0.5, 1.2) * ttl
            _run_until(loop, lambda until=until: loop.now() >= until)  # type: ignore[misc]
            for way in ways:
                way.faults.drops_requests = way.faults.drops_replies = True
            began = loop.now()
            while not second.may_act():
                if first.may_act():
                    said = loop.now()
                loop.step(0.002)
            taken.record_value(int(1000.0 * (loop.now() - began)))
            last.record_value(max(1, int(1000.0 * (said - began))))
            for way in ways:
                way.faults.drops_requests = way.faults.drops_replies = False
            second.release()
            other.close()
        for way in ways:
            way.close()
    told = f"next one acts after {_format_percentiles(taken)}, old one until {_format_percentiles(last)}"
    return f"cut off, ttl {ttl / 1000:.0f} s: {told}"


def measure_holders(count: int, seconds: float, ttl: float = 10_000.0) -> str:
    """Processor time and messages of a witness while so many leases are held, each of its own task."""
    with _running_quorum(3) as (_, loop, processes):
        scale, host = TrafficCounter(), unique_loopback_address()
        ends = {name: (host, FIRST_PORT + n) for n, name in enumerate(processes)}
        client = QuorumClient(loop, scale.counting(tcp_connections(loop, ends, b"")), random.Random(3))
        keepers = [LeaseHolder(client, f"task {n}", f"holder {n}", LeaseConfig(ttl)) for n in range(count)]
        _run_until(
            loop, lambda: all(keeper.lease_client.state is LeaseState.HELD for keeper in keepers), 60.0
        )
        before, asked = (
            {name: _cpu_seconds(process) for name, process in processes.items()},
            client.counters.operations,
        )
        began, said = time.monotonic(), scale.bytes_per_replica()
        while time.monotonic() - began < seconds:
            loop.step(0.05)
        used = max(_cpu_seconds(process) - before[name] for name, process in processes.items()) / seconds
        rate = (client.counters.operations - asked) / seconds
        said = (scale.bytes_per_replica() - said) / seconds / 1024.0
        held = sum(keeper.lease_client.state is LeaseState.HELD for keeper in keepers)
    return (
        f"{count} holders, ttl {ttl / 1000:.0f} s: {rate:.0f} renewals/s, "
        f"{100 * used:.1f}% of a core and {said:.1f} KiB/s a witness, {held} held"
    )


def measure_storage(renewals: int) -> str:
    """Size of a witness's folder while one register is changed over and over."""
    with tempfile.TemporaryDirectory(prefix="rosepick-storage-") as scratch:
        store = AcceptorStore(Path(scratch), "disk")
        witness = Acceptor("w", store.state, "run")
        witness.handle(m.InstallEpochRequest(1, Quorum("f", 1, (QuorumMember("w", "disk"),)), {}))
        sizes = []
        for number in range(1, renewals + 1):
            value = Register(number, f"{number:016x}", bytes(80))
            _, changes = witness.handle(m.AcceptRequest(number, "f", 1, "k", m.Ballot(number, 1), value))
            store.save(changes)
            if number in (renewals // 10, renewals):
                sizes.append(sum(path.stat().st_size for path in Path(scratch).iterdir()))
        store.close()
    small, large = (size // 1024 for size in sizes)
    return f"storage after {renewals // 10} and {renewals} renewals: {small} and {large} KiB"


def run_benchmarks(
    renewals: int, rounds: int = 300, count: int = 200, seconds: float = 15.0
) -> Iterator[str]:
    """Each figure as it is there."""
    yield measure_lock_file(rounds)
    for witnesses in (1, 3, 5):
        yield measure_lease_latency(witnesses, rounds)
    yield measure_holders(count, seconds)
    yield measure_takeover(20)
    yield measure_storage(renewals)

"""Measures the cost of leases.

It measures the time to acquire, renew and take over a lease, the load of a replica under many holders and the
size of its storage after many renewals.
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
    tcp_connection_factory,
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
    return HdrHistogram(1, 60_000_000, 3)  # values are microseconds


def _format_percentiles(histogram: HdrHistogram) -> str:
    p50, p99 = (histogram.get_value_at_percentile(part) / 1000.0 for part in (50, 99))
    return f"p50 {p50:6.2f} ms  p99 {p99:6.2f} ms"


@contextmanager
def _running_quorum(count: int) -> Iterator[tuple[QuorumClient, EventLoop, dict[str, ManagedProcess]]]:
    """Run a quorum of `count` real processes, and yield a client, its event loop and the processes."""
    host = unique_loopback_address()
    endpoints = {f"w{n}": (host, FIRST_PORT + n) for n in range(count)}
    with tempfile.TemporaryDirectory(prefix="rosepick-leases-") as temporary_folder:
        folder = Path(temporary_folder)
        lines = ["[witnesses]", *(f'{name} = "{host}:{port}"' for name, (host, port) in endpoints.items())]
        (folder / "fleet.toml").write_text("\n".join(lines), "utf-8")
        options = ["--fleet", "fleet.toml", "--folder"]
        processes = {
            name: ManagedProcess(name, folder, 1.0, "rosepick", ["witness", "run", name, *options, name])
            for name in endpoints
        }
        loop = EventLoop(boottime_s)
        client = QuorumClient(loop, tcp_connection_factory(loop, endpoints, b""), random.Random(1))
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
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError("the measured quorum does not answer in time")
        loop.step(0.01)


def _bootstrap_quorum(client: QuorumClient, loop: EventLoop) -> None:
    def has_all_statuses() -> bool:
        client.poll_status()
        return len(client.replica_statuses) == len(client.connections)

    _run_until(loop, has_all_statuses)
    members = tuple(
        QuorumMember(name, replica.status.storage_id) for name, replica in client.replica_statuses.items()
    )
    installed: set[str] = set()
    quorum = Quorum("measured", 1, members)
    client.send_to_all(
        lambda number: m.InstallEpochRequest(number, quorum, {}), lambda name, reply: installed.add(name)
    )
    _run_until(loop, lambda: len(installed) == len(members))

    def knows_quorum() -> bool:
        client.poll_status()
        return client.quorum is not None

    _run_until(loop, knows_quorum)


def measure_lease_latency(witnesses: int, rounds: int) -> str:
    """Measure the times to acquire a lease and to renew it, in `rounds` sequential rounds."""
    acquire_times, renew_times = _histogram(), _histogram()
    with _running_quorum(witnesses) as (client, loop, _):
        for number in range(rounds):
            key = lease_record.register_key(f"task {number}")
            for change, histogram in (
                (
                    lease_record.acquire(lease_record.LeaseRecord(), client.client_id, "a", 10_000.0),
                    acquire_times,
                ),
                (lease_record.renew(client.client_id, 1, 10_000.0), renew_times),
            ):
                outcomes: list[OperationOutcome] = []
                started_at = time.perf_counter()
                client.execute(key, change, outcomes.append, 5_000.0)
                _run_until(loop, lambda outcomes=outcomes: bool(outcomes))  # type: ignore[misc]
                histogram.record_value(int(1e6 * (time.perf_counter() - started_at)))
    return (
        f"{witnesses} witnesses: acquire {_format_percentiles(acquire_times)}   "
        f"renew {_format_percentiles(renew_times)}"
    )


def measure_lock_file(rounds: int) -> str:
    """Measure the lower bound: a lock file on one machine, in which a token is synced to disk."""
    acquire_times = _histogram()
    with tempfile.TemporaryDirectory(prefix="rosepick-lock-") as temporary_folder:
        for number in range(rounds):
            started_at = time.perf_counter()
            file = os.open(Path(temporary_folder) / "lock", os.O_RDWR | os.O_CREAT, 0o644)
            fcntl.flock(file, fcntl.LOCK_EX)
            os.pwrite(file, b"%d" % number, 0)
            os.fdatasync(file)
            os.close(file)
            acquire_times.record_value(int(1e6 * (time.perf_counter() - started_at)))
    return f"a lock file:  acquire {_format_percentiles(acquire_times)}"


def _cpu_seconds(process: ManagedProcess) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


class CountingConnection:
    """Counts the bytes of requests that are sent on a connection to a replica."""

    def __init__(self, connection: ReplicaConnection) -> None:
        self._connection, self.bytes_sent = connection, 0

    def send(self, request: m.QuorumRequest) -> None:
        """Send a request, and count its bytes."""
        self.bytes_sent += len(codec.encode_frame(request))
        self._connection.send(request)

    def close(self) -> None:
        """Close the connection."""
        self._connection.close()


class TrafficCounter:
    """Counts the bytes that a client and its replicas send to each other."""

    def __init__(self) -> None:
        self.connections: dict[str, CountingConnection] = {}
        self.bytes_received = 0

    def wrap_connections(
        self, create_connections: Callable[[QuorumReplyCallback], Mapping[str, ReplicaConnection]]
    ) -> Callable[[QuorumReplyCallback], Mapping[str, ReplicaConnection]]:
        """Return a factory of the same connections that counts their bytes."""

        def create_counting_connections(on_reply: QuorumReplyCallback) -> Mapping[str, ReplicaConnection]:
            def count_reply(name: str, reply: m.QuorumReply) -> None:
                self.bytes_received += len(codec.encode_frame(reply))
                on_reply(name, reply)

            self.connections = {
                name: CountingConnection(connection)
                for name, connection in create_connections(count_reply).items()
            }
            return self.connections

        return create_counting_connections

    def bytes_per_replica(self) -> float:
        """Return the mean number of bytes sent and received for each replica so far."""
        return (
            sum(connection.bytes_sent for connection in self.connections.values()) + self.bytes_received
        ) / max(1, len(self.connections))


def measure_takeover(rounds: int, ttl: float = 2_000.0) -> str:
    """Measure a takeover after the holder is cut off from all replicas.

    The result has two times since the cut: when the next holder may act, and until when the old one may act.

    Args:
        rounds: the number of takeovers.
        ttl: the time to live of the lease in milliseconds.
    """
    next_holder_times = _histogram()
    old_holder_times = _histogram()
    with _running_quorum(3) as (client, loop, processes):
        host, budget, rng = unique_loopback_address(), ResourceBudget(4096), random.Random(2)
        forwarders = [
            Forwarder(loop, budget, LinkEndpoints(host, FIRST_PORT + 100 + n, FIRST_PORT + n), rng)
            for n in range(len(processes))
        ]
        endpoints = {
            f"w{n}": (host, forwarder.endpoints.listen_port) for n, forwarder in enumerate(forwarders)
        }
        for number in range(rounds):
            cut_off_client = QuorumClient(loop, tcp_connection_factory(loop, endpoints, b""), rng)
            first = LeaseHolder(cut_off_client, f"cut {number}", "first", LeaseConfig(ttl))
            _run_until(loop, first.may_act)
            second = LeaseHolder(client, f"cut {number}", "second", LeaseConfig(ttl))
            _run_until(loop, lambda second=second: second.lease_client.known_record is not None)  # type: ignore[misc]
            cut_at = loop.now() + rng.uniform(0.5, 1.2) * ttl
            _run_until(loop, lambda cut_at=cut_at: loop.now() >= cut_at)  # type: ignore[misc]
            for forwarder in forwarders:
                forwarder.faults.drops_requests = forwarder.faults.drops_replies = True
            started_at = loop.now()
            while not second.may_act():
                if first.may_act():
                    last_acted_at = loop.now()
                loop.step(0.002)
            next_holder_times.record_value(int(1000.0 * (loop.now() - started_at)))
            old_holder_times.record_value(max(1, int(1000.0 * (last_acted_at - started_at))))
            for forwarder in forwarders:
                forwarder.faults.drops_requests = forwarder.faults.drops_replies = False
            second.release()
            cut_off_client.close()
        for forwarder in forwarders:
            forwarder.close()
    result = (
        f"next holder acts after {_format_percentiles(next_holder_times)}, "
        f"old one until {_format_percentiles(old_holder_times)}"
    )
    return f"cut off, ttl {ttl / 1000:.0f} s: {result}"


def measure_holders(count: int, seconds: float, ttl: float = 10_000.0) -> str:
    """Measure the load of a replica while `count` leases of different tasks are held for `seconds`.

    The time to live `ttl` is in milliseconds.
    """
    with _running_quorum(3) as (_, loop, processes):
        traffic, host = TrafficCounter(), unique_loopback_address()
        endpoints = {name: (host, FIRST_PORT + n) for n, name in enumerate(processes)}
        client = QuorumClient(
            loop, traffic.wrap_connections(tcp_connection_factory(loop, endpoints, b"")), random.Random(3)
        )
        holders = [LeaseHolder(client, f"task {n}", f"holder {n}", LeaseConfig(ttl)) for n in range(count)]
        _run_until(
            loop, lambda: all(holder.lease_client.state is LeaseState.HELD for holder in holders), 60.0
        )
        cpu_before, operations_before = (
            {name: _cpu_seconds(process) for name, process in processes.items()},
            client.counters.operations,
        )
        started_at, bytes_before = time.monotonic(), traffic.bytes_per_replica()
        while time.monotonic() - started_at < seconds:
            loop.step(0.05)
        cpu_share = (
            max(_cpu_seconds(process) - cpu_before[name] for name, process in processes.items()) / seconds
        )
        renewals_per_s = (client.counters.operations - operations_before) / seconds
        kib_per_s = (traffic.bytes_per_replica() - bytes_before) / seconds / 1024.0
        held = sum(holder.lease_client.state is LeaseState.HELD for holder in holders)
    return (
        f"{count} holders, ttl {ttl / 1000:.0f} s: {renewals_per_s:.0f} renewals/s, "
        f"{100 * cpu_share:.1f}% of a core and {kib_per_s:.1f} KiB/s a witness, {held} held"
    )


def measure_storage(renewals: int) -> str:
    """Measure the size of a replica's folder after many changes of one register."""
    with tempfile.TemporaryDirectory(prefix="rosepick-storage-") as temporary_folder:
        store = AcceptorStore(Path(temporary_folder), "disk")
        acceptor = Acceptor("w", store.state, "run")
        acceptor.handle(m.InstallEpochRequest(1, Quorum("f", 1, (QuorumMember("w", "disk"),)), {}))
        sizes = []
        for number in range(1, renewals + 1):
            value = Register(number, f"{number:016x}", bytes(80))
            _, changes = acceptor.handle(m.AcceptRequest(number, "f", 1, "k", m.Ballot(number, 1), value))
            store.save(changes)
            if number in (renewals // 10, renewals):
                sizes.append(sum(path.stat().st_size for path in Path(temporary_folder).iterdir()))
        store.close()
    small, large = (size // 1024 for size in sizes)
    return f"storage after {renewals // 10} and {renewals} renewals: {small} and {large} KiB"


def run_benchmarks(
    renewals: int, rounds: int = 300, count: int = 200, seconds: float = 15.0
) -> Iterator[str]:
    """Run all benchmarks, and yield each result as a line once it is measured.

    Args:
        renewals: number of changes of a register before the size of the storage is measured.
        rounds: number of measured acquisitions and renewals, and of writes to a lock file.
        count: number of leases held at the same time.
        seconds: how long these leases are held.
    """
    yield measure_lock_file(rounds)
    for witnesses in (1, 3, 5):
        yield measure_lease_latency(witnesses, rounds)
    yield measure_holders(count, seconds)
    yield measure_takeover(20)
    yield measure_storage(renewals)

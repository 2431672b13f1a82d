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

from ...agreement import codec
from ...agreement import messages as m
from ...agreement.messages import Member, Quorum, Register
from ...agreement.operation import Outcome
from ...agreement.witness import Witness
from ...leases import record
from ...leases.contender import Terms, Where
from ...net.boottime import boottime
from ...net.budget import Budget
from ...net.leasing import Keeper
from ...net.loop import Loop
from ...net.quorum import Asks, Heard, QuorumClient, over
from ...net.store import WitnessStore
from .forwarder import Forwarder
from .processes import FIRST_PORT, Process, own_host

TICKS = os.sysconf("SC_CLK_TCK")


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, 60_000_000, 3)  # microseconds


def _figures(histogram: HdrHistogram) -> str:
    p50, p99 = (histogram.get_value_at_percentile(part) / 1000.0 for part in (50, 99))
    return f"p50 {p50:6.2f} ms  p99 {p99:6.2f} ms"


@contextmanager
def _quorum(count: int) -> Iterator[tuple[QuorumClient, Loop, dict[str, Process]]]:
    """A founded quorum of real processes, and a client of it."""
    host = own_host()
    endpoints = {f"w{n}": (host, FIRST_PORT + n) for n in range(count)}
    with tempfile.TemporaryDirectory(prefix="rosepick-leases-") as scratch:
        folder = Path(scratch)
        lines = ["[witnesses]", *(f'{name} = "{host}:{port}"' for name, (host, port) in endpoints.items())]
        (folder / "fleet.toml").write_text("\n".join(lines), "utf-8")
        given = ["--fleet", "fleet.toml", "--folder"]
        processes = {
            name: Process(name, folder, 1.0, "rosepick", ["witness", "run", name, *given, name])
            for name in endpoints
        }
        loop = Loop(boottime)
        client = QuorumClient(loop, over(loop, endpoints, b""), random.Random(1))
        try:
            for process in processes.values():
                process.start()
            _found(client, loop)
            yield client, loop, processes
        finally:
            client.close()
            for process in processes.values():
                process.kill()


def _until(loop: Loop, found: Callable[[], bool], seconds: float = 30.0) -> None:
    end = time.monotonic() + seconds
    while not found():
        if time.monotonic() > end:
            raise TimeoutError("a quorum of the measurement does not answer")
        loop.step(0.01)


def _found(client: QuorumClient, loop: Loop) -> None:
    def all_told() -> bool:
        client.learn()
        return len(client.told) == len(client.links)

    _until(loop, all_told)
    members = tuple(Member(name, told.state.storage) for name, told in client.told.items())
    done: set[str] = set()
    quorum = Quorum("measured", 1, members)
    client.ask_all(lambda number: m.Install(number, quorum, {}), lambda name, answer: done.add(name))
    _until(loop, lambda: len(done) == len(members))

    def known() -> bool:
        client.learn()
        return client.quorum is not None

    _until(loop, known)


def times(witnesses: int, rounds: int) -> str:
    """Time to take a lease, and to renew it, one after the other."""
    take, renew = _histogram(), _histogram()
    with _quorum(witnesses) as (client, loop, _):
        for number in range(rounds):
            key = record.key(f"task {number}")
            for change, histogram in (
                (record.take(record.Record(), client.who, "a", 10_000.0), take),
                (record.renew(client.who, 1, 10_000.0), renew),
            ):
                outcomes: list[Outcome] = []
                began = time.perf_counter()
                client.run(key, change, outcomes.append, 5_000.0)
                _until(loop, lambda outcomes=outcomes: bool(outcomes))  # type: ignore[misc]
                histogram.record_value(int(1e6 * (time.perf_counter() - began)))
    return f"{witnesses} witnesses: take {_figures(take)}   renew {_figures(renew)}"


def lock_file(rounds: int) -> str:
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
    return f"a lock file:  take {_figures(take)}"


def _used(process: Process) -> float:
    """Seconds of processor time of a process."""
    fields = Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


class Counted:
    """A way to a witness whose bytes are counted, both ways."""

    def __init__(self, asks: Asks) -> None:
        self._asks, self.there = asks, 0

    def ask(self, request: m.Request) -> None:
        """Send it."""
        self.there += len(codec.framed(request))
        self._asks.ask(request)

    def close(self) -> None:
        """Let go of it."""
        self._asks.close()


class Scale:
    """Counts the bytes that a client and its witnesses say to each other."""

    def __init__(self) -> None:
        self.links: dict[str, Counted] = {}
        self.back = 0

    def over(self, links: Callable[[Heard], Mapping[str, Asks]]) -> Callable[[Heard], Mapping[str, Asks]]:
        """The same ways, counted."""

        def made(heard: Heard) -> Mapping[str, Asks]:
            def come(name: str, answer: m.Answer) -> None:
                self.back += len(codec.framed(answer))
                heard(name, answer)

            self.links = {name: Counted(asks) for name, asks in links(come).items()}
            return self.links

        return made

    def both(self) -> float:
        """Bytes so far of one witness, there and back."""
        return (sum(one.there for one in self.links.values()) + self.back) / max(1, len(self.links))


def takeover(rounds: int, ttl: float = 2_000.0) -> str:
    """How long after its holder was cut off from all witnesses the next one may act, and until when the old
    one still could.
    """
    taken = _histogram()
    last = _histogram()
    with _quorum(3) as (client, loop, processes):
        host, budget, rng = own_host(), Budget(4096), random.Random(2)
        ways = [
            Forwarder(loop, budget, host, FIRST_PORT + 100 + n, FIRST_PORT + n, rng)
            for n in range(len(processes))
        ]
        ends = {f"w{n}": (host, way.port) for n, way in enumerate(ways)}
        for number in range(rounds):
            other = QuorumClient(loop, over(loop, ends, b""), rng)
            first = Keeper(other, f"cut {number}", "first", Terms(ttl))
            _until(loop, first.may_act)
            second = Keeper(client, f"cut {number}", "second", Terms(ttl))
            _until(loop, lambda second=second: second.contender.seen is not None)  # type: ignore[misc]
            until = loop.now() + rng.uniform(0.5, 1.2) * ttl
            _until(loop, lambda until=until: loop.now() >= until)  # type: ignore[misc]
            for way in ways:
                way.harm.there = way.harm.back = True
            began = loop.now()
            while not second.may_act():
                if first.may_act():
                    said = loop.now()
                loop.step(0.002)
            taken.record_value(int(1000.0 * (loop.now() - began)))
            last.record_value(max(1, int(1000.0 * (said - began))))
            for way in ways:
                way.harm.there = way.harm.back = False
            second.release()
            other.close()
        for way in ways:
            way.close()
    told = f"next one acts after {_figures(taken)}, old one until {_figures(last)}"
    return f"cut off, ttl {ttl / 1000:.0f} s: {told}"


def holders(count: int, seconds: float, ttl: float = 10_000.0) -> str:
    """Processor time and messages of a witness while so many leases are held, each of its own task."""
    with _quorum(3) as (_, loop, processes):
        scale, host = Scale(), own_host()
        ends = {name: (host, FIRST_PORT + n) for n, name in enumerate(processes)}
        client = QuorumClient(loop, scale.over(over(loop, ends, b"")), random.Random(3))
        keepers = [Keeper(client, f"task {n}", f"holder {n}", Terms(ttl)) for n in range(count)]
        _until(loop, lambda: all(keeper.contender.where is Where.HOLDS for keeper in keepers), 60.0)
        before, asked = (
            {name: _used(process) for name, process in processes.items()},
            client.counts.operations,
        )
        began, said = time.monotonic(), scale.both()
        while time.monotonic() - began < seconds:
            loop.step(0.05)
        used = max(_used(process) - before[name] for name, process in processes.items()) / seconds
        rate = (client.counts.operations - asked) / seconds
        said = (scale.both() - said) / seconds / 1024.0
        held = sum(keeper.contender.where is Where.HOLDS for keeper in keepers)
    return (
        f"{count} holders, ttl {ttl / 1000:.0f} s: {rate:.0f} renewals/s, "
        f"{100 * used:.1f}% of a core and {said:.1f} KiB/s a witness, {held} held"
    )


def storage(renewals: int) -> str:
    """Size of a witness's folder while one register is changed over and over."""
    with tempfile.TemporaryDirectory(prefix="rosepick-storage-") as scratch:
        store = WitnessStore(Path(scratch), "disk")
        witness = Witness("w", store.saved, "run")
        witness.handle(m.Install(1, Quorum("f", 1, (Member("w", "disk"),)), {}))
        sizes = []
        for number in range(1, renewals + 1):
            value = Register(number, f"{number:016x}", bytes(80))
            _, changes = witness.handle(m.Accept(number, "f", 1, "k", (number, 1), value))
            store.keep(changes)
            if number in (renewals // 10, renewals):
                sizes.append(sum(path.stat().st_size for path in Path(scratch).iterdir()))
        store.close()
    small, large = (size // 1024 for size in sizes)
    return f"storage after {renewals // 10} and {renewals} renewals: {small} and {large} KiB"


def all_of_it(renewals: int, rounds: int = 300, count: int = 200, seconds: float = 15.0) -> Iterator[str]:
    """Each figure as it is there."""
    yield lock_file(rounds)
    for witnesses in (1, 3, 5):
        yield times(witnesses, rounds)
    yield holders(count, seconds)
    yield takeover(20)
    yield storage(renewals)

"""A member as a process of this machine: started, asked over its operators' door, told to drain, stopped,
and found again by an agent that was started anew.

The process outlives its agent: a router serves on whatever becomes of who looks after it.
"""

from __future__ import annotations

import json
import logging
import os
import signal
import subprocess
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from ..fleet.agent import Do, Own
from ..fleet.ledger import Kind
from ..fleet.release import BUILD, SETTINGS
from ..fleet.warden import Report
from ..logs import say
from .budget import Budget
from .kept import Keep
from .links import Endpoint
from .loop import READ, WRITE, Loop
from .releasing import Versions, filled
from .stream import Stream, dial

log = logging.getLogger(__name__)
ASK_EVERY, ANSWER_IN = 150.0, 900.0  # milliseconds
AGAIN, LONGEST_PAUSE = 500.0, 30_000.0  # between two starts of a member that ends by itself, doubled up to
STAYS = 10_000.0  # one that ran for so long did not end at its start
KILL_AFTER = 15_000.0  # a member that was told to end and does not
LONGEST_ANSWER = 256 * 1024
FIGURES = ("served", "refused", "failed", "hits", "misses", "cpu", "memory", "door")
FEW = 30  # reads before their share says anything


class Call:
    """One question on one line to a member's door; `done` hears its answer, or None."""

    def __init__(
        self, loop: Loop, budget: Budget, door: Endpoint, line: str, done: Callable[[str | None], None]
    ) -> None:
        self._loop, self._line, self._done, self._got = loop, line, done, bytearray()
        self._dialing = True
        self._timer = loop.after(ANSWER_IN, lambda: self._end(None))
        self._stream: Stream | None = None
        try:
            self._stream = Stream(loop, budget, dial(door), self._ready, WRITE)
        except OSError:
            self._end(None)

    def _ready(self, mask: int) -> None:
        assert self._stream is not None
        try:
            if self._dialing:
                self._stream.connected()
                self._dialing = False
                self._stream.send(f"{self._line}\n".encode())
                self._stream.want(READ)
            elif mask & READ:
                data = self._stream.read()
                if data:
                    self._got += data
                if data == b"" or self._got.endswith(b"END\n") or len(self._got) > LONGEST_ANSWER:
                    self._end(self._got.decode("utf-8", "replace"))
        except OSError:
            self._end(None)

    def _end(self, text: str | None) -> None:
        self._timer.cancel()
        if self._stream is not None:
            self._stream.close()
        done, self._done = self._done, lambda text: None
        done(text or None)


def began_at(pid: int) -> str:
    """When a process began, as the kernel has it; tells it from a later one of the same number. Empty if it
    is gone.
    """
    try:
        fields = Path(f"/proc/{pid}/stat").read_text("ascii").rsplit(")", 1)[1].split()
    except (OSError, IndexError):
        return ""
    return "" if fields[0] in ("Z", "X") else fields[19]


def used_by(pid: int) -> tuple[float, float]:
    """Seconds of processor time and KiB of memory that a process has used; zeros if it is gone. By what the
    scheduler has counted in nanoseconds: its ticks of 10 ms are more than a second's requests may take.
    """
    folder = Path(f"/proc/{pid}")
    try:
        tasks = [one.joinpath("schedstat").read_text("ascii") for one in folder.joinpath("task").iterdir()]
        pages = int(folder.joinpath("statm").read_text("ascii").split()[1])
        spent = sum(int(text.split()[0]) for text in tasks)
    except (OSError, IndexError, ValueError):
        return 0.0, 0.0
    return spent / 1e9, pages * os.sysconf("SC_PAGE_SIZE") / 1024.0


class TendedProcess:
    """A router, or a cache node, that is a process of this machine with an operators' door."""

    def __init__(
        self,
        loop: Loop,
        kind: Kind,
        door: Endpoint,
        command: list[str],
        kept: Keep,
        log_to: Path,
        bad_above: float,
        versions: Versions | None = None,
    ) -> None:
        """`versions`: where a release's builds and settings are, if this member takes part in releases."""
        self._loop, self._kind, self._door, self._command, self._kept = loop, kind, door, command, kept
        self._log_to, self._bad_above = log_to, bad_above
        self._budget = Budget(64)
        self._popen: subprocess.Popen[bytes] | None = None
        self._pid, self._began = int(kept.get("pid") or 0), str(kept.get("began") or "")
        self._started = loop.now()
        self._pause, self._next_start = AGAIN, 0.0
        self._told_to_end: float | None = None
        self._asked = -ASK_EVERY
        self._open = False
        self._ready_said = False
        self._turns = 0
        self._said: dict[str, Any] = {}
        self._said_at = -1e9
        self._before: tuple[float, dict[str, float]] | None = None
        self._share: dict[str, float] = {}
        self._reads: dict[str, float] = {}
        self._versions = versions
        self._runs: Callable[[], dict[str, str]] = dict
        self._ends = 0
        self._doors: list[float] = []
        self._used = 0.0  # processor time, at the last report
        if self._alive():
            say(log, logging.INFO, "member_found", pid=self._pid)

    # -- the process

    def _alive(self) -> bool:
        if self._popen is not None and self._popen.poll() is not None:
            say(log, logging.WARNING, "member_ended", status=self._popen.returncode)
            if self._loop.now() - self._started > STAYS:
                self._pause = AGAIN
            self._next_start = self._loop.now() + (0.0 if self._told_to_end is not None else self._pause)
            self._ends += self._told_to_end is None
            self._popen, self._pid, self._told_to_end = None, 0, None
            self._ready_said = False
        return bool(self._pid) and began_at(self._pid) == self._began

    def goes_by(self, runs: Callable[[], dict[str, str]]) -> None:
        """What this member is to run, by kind: digests."""
        self._runs = runs
        if self._versions is not None:
            self._versions.runs = runs
            self._versions.reload = lambda: self._signal(signal.SIGHUP)

    def do(self, what: Do) -> None:
        """Start it, have it drain or not, stop it; again and again until it is so."""
        if what is Do.START:
            self._start()
        elif what is Do.STOP:
            self._stop()
        elif what in (Do.DRAIN, Do.KEEP):
            self._tell("drain" if what is Do.DRAIN else "undrain")

    def _start(self) -> None:
        now = self._loop.now()
        if self._alive() or now < self._next_start:
            return
        self._pause = min(LONGEST_PAUSE, 2.0 * self._pause)
        self._next_start, self._started, self._told_to_end = now + self._pause, now, None
        self._ready_said = False
        command, environment, build = self._command, dict(os.environ), self._runs().get(BUILD, "")
        if self._versions is not None:
            self._versions.compose()
            command = filled(command, self._versions.place(build))
            environment |= self._versions.environment()
        try:
            with self._log_to.open("ab") as out:
                self._popen = subprocess.Popen(
                    command,
                    stdin=subprocess.DEVNULL,
                    stdout=out,
                    stderr=out,
                    start_new_session=True,
                    env=environment,
                )
        except OSError as problem:
            self._ends += 1
            say(log, logging.ERROR, "member_not_started", command=command[0], text=problem)
            return
        self._pid, self._began, self._used = self._popen.pid, began_at(self._popen.pid), 0.0
        self._kept.put(pid=self._pid, began=self._began, ran=build)
        say(log, logging.INFO, "member_started", pid=self._pid)

    def _stop(self) -> None:
        now = self._loop.now()
        if not self._alive():
            return
        if self._told_to_end is None:
            self._told_to_end = now
            say(log, logging.INFO, "member_told_to_end", pid=self._pid)
            self._signal(signal.SIGTERM)
        elif now - self._told_to_end > KILL_AFTER:
            self._signal(signal.SIGKILL)

    def _signal(self, number: int) -> None:
        if self._alive():
            os.kill(self._pid, number)

    # -- what it says

    def _tell(self, line: str) -> None:
        if not self._open and self._alive():
            self._open = True
            Call(self._loop, self._budget, self._door, line, lambda text: self._heard("", text))

    def _ask(self) -> None:
        now = self._loop.now()
        if now - self._asked < ASK_EVERY or self._open or not self._alive():
            return
        self._asked, self._open = now, True
        self._turns += 1
        line = "telemetry" if self._turns % 2 else "readyz"

        def heard(text: str | None) -> None:
            if text is not None:
                self._doors.append(self._loop.now() - now)
            self._heard(line, text)

        Call(self._loop, self._budget, self._door, line, heard)

    def _heard(self, line: str, text: str | None) -> None:
        self._open = False
        if line == "readyz":
            self._ready_said = text is not None and text.startswith("OK")
        elif line == "telemetry":
            try:
                self._said = json.loads((text or "").split("\n", 1)[0])
                self._said_at = self._loop.now()
            except ValueError:
                self._said_at = -1e9

    def look(self) -> Own:
        """How it is."""
        running = self._alive()
        self._ask()
        fresh = running and self._loop.now() - self._said_at < 6.0 * ASK_EVERY + ANSWER_IN
        said = self._said if fresh and self._said_at > self._started else {}
        draining = bool(said.get("draining"))
        return Own(
            running,
            bool(said) and self._ready_said and not draining and self._told_to_end is None,
            draining,
            self._told_to_end is not None,
            bool(said) and bool(said.get("idle")),
            self._kind is Kind.ROUTER or bool(said.get("warm")),
            self._hit_share(),
            self._bad(),
            running and self._kept.get("ran") not in (None, self._runs().get(BUILD, "")),
            self._ends,
        )

    def _hit_share(self) -> float | None:
        """Of the reads since the last report; None if these were too few to say anything."""
        asked = self._reads.get("hits", 0.0) + self._reads.get("misses", 0.0)
        return self._reads["hits"] / asked if asked >= FEW else None

    def _bad(self) -> str:
        """A figure of the last report that breaks its line."""
        asked = sum(self._share.get(name, 0.0) for name in ("served", "refused", "failed"))
        lost = self._share.get("refused", 0.0) + self._share.get("failed", 0.0)
        if asked > 5.0 and lost > self._bad_above * asked:
            return f"{lost / asked:.0%} of its requests are refused or failed, {self._bad_above:.0%} may be"
        return ""

    def report(self, run: int, beat: int) -> Report:
        """What is told of it, figures since the last one."""
        own, now = self.look(), self._loop.now()
        counts = _counts(self._said)
        self._share = {}
        if self._before is not None and now > self._before[0]:
            seconds = (now - self._before[0]) / 1000.0
            since = self._before[1]
            news = {name: max(0.0, count - since.get(name, 0.0)) for name, count in counts.items()}
            self._share = {name: count / seconds for name, count in news.items()}
            self._reads = {name: news[name] for name in ("hits", "misses")}
            self._share |= self._costs(seconds)
        self._before = now, counts
        runs = self._runs()
        ran = self._kept.get("ran")
        figures = {name: self._share.get(name, 0.0) for name in FIGURES}
        told = Report(run, beat, own.serving, own.warm, ends=self._ends, settings=runs.get(SETTINGS, ""))
        build = runs.get(BUILD, "") if ran is None else str(ran)
        return msgspec.structs.replace(told, build=build, **figures)

    def _costs(self, seconds: float) -> dict[str, float]:
        """Processor time and memory of the process, as the kernel has them, and how long its door took."""
        doors, self._doors = sorted(self._doors), []
        used, memory = used_by(self._pid)
        since, self._used = max(0.0, used - self._used), used
        return {
            "cpu": since / seconds,
            "memory": memory,
            "door": doors[len(doors) // 2] if doors else 0.0,
        }


def _counts(said: dict[str, Any]) -> dict[str, float]:
    calls = [one for one in (said.get("calls") or {}).values() if isinstance(one, dict)]
    found = {
        "served": sum(float(one.get("success", 0)) for one in calls),
        "refused": sum(float(one.get("busy", 0)) for one in calls),
        "failed": sum(float(one.get("failure", 0)) for one in calls),
    }
    return found | {name: float(said.get(name, 0)) for name in ("hits", "misses")}

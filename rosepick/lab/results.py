"""Results as JSON lines: one line a run, then one of what the run cost.

The line of a run follows from the experiment, the seed and the revision alone: played again it has the same
bytes. What depends on the machine (CPU, memory) stands in the line after it.
"""

from __future__ import annotations

import subprocess
from collections.abc import Iterator
from importlib import metadata
from pathlib import Path
from typing import Any

import msgspec

LIBRARIES = ("numpy", "hdrhistogram", "msgspec", "pydantic")


class Window(msgspec.Struct, frozen=True):
    """One second of a run; requests count in the second in which they were due."""

    at: int  # seconds from the begin
    offered: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    left: int = 0  # their client gave up early
    worth_offered: float = 0.0
    worth_in_time: float = 0.0
    p50_ms: float = 0.0  # of all that were served
    p99_ms: float = 0.0
    attempts: int = 0
    hits: int = 0
    misses: int = 0
    origin_attempts: int = 0
    crossings: int = 0  # attempts to another zone
    origin_load: float = 0.0  # part of its cores in use
    node_load_mean: float = 0.0
    node_load_most: float = 0.0
    cold_used: float = 0.0  # the most that a cold node's budget was used, 0 to 1
    nodes_up: int = 0


class FaultSpan(msgspec.Struct, frozen=True):
    """A trouble as it was played."""

    kind: str
    at: float  # seconds
    until: float
    what: str  # whom it met


class RequirementResult(msgspec.Struct, frozen=True):
    """Whether something held that must."""

    what: str
    value: float
    least: float | None
    most: float | None
    since: float
    until: float
    held: bool


class RuleViolation(msgspec.Struct, frozen=True):
    """A broken rule, as it was seen from the nodes' and the clients' side."""

    rule: str  # answered, effect, drains or cold
    request: str
    node: str
    at: float  # seconds
    text: str


class GroupSummary(msgspec.Struct, frozen=True):
    """What a class or a tenant got."""

    offered: int
    served_share: float  # in time
    p50_ms: float
    p99_ms: float


class RunResult(msgspec.Struct, frozen=True, tag="run", tag_field="kind"):
    """One run."""

    experiment: str
    policy: str
    seed: int
    how: str  # sim or live
    changes: dict[str, Any]
    revision: str
    versions: dict[str, str]
    length: float  # seconds
    warm_up: float
    void: str  # why the run counts for nothing; mostly empty
    totals: dict[str, float]  # by figure, over what is measured
    classes: dict[str, GroupSummary]
    tenants: dict[str, GroupSummary]
    percentiles: list[tuple[float, float]]  # of served requests: per cent, milliseconds
    windows: list[Window]
    troubles: list[FaultSpan]
    must: list[RequirementResult]
    broken: list[RuleViolation]

    def good(self) -> bool:
        """Whether it counts, no rule was broken, and all held that must."""
        return not self.void and not self.broken and all(verdict.held for verdict in self.must)


class RunCost(msgspec.Struct, frozen=True, tag="cost", tag_field="kind"):
    """What a run cost."""

    requests: int
    cpu_s: float
    decide_us: float  # of the decisions, for each request
    events: int
    memory_mb: float


ResultLine = RunResult | RunCost


def encode_result(line: ResultLine) -> bytes:
    """A line with its end."""
    return msgspec.json.encode(line) + b"\n"


class ResultsError(ValueError):
    """A file holds what is no result; the message is one line with its place."""


def read_results(path: Path) -> Iterator[ResultLine]:
    """The lines of a file. BadResults if one cannot be read; a last one that is cut short is passed over, as
    a run that was interrupted leaves it.
    """
    try:
        data = path.read_bytes()
    except OSError as problem:
        raise ResultsError(f"{path}: {problem.strerror or problem}") from None
    lines = data.split(b"\n")
    for number, line in enumerate(lines[:-1], 1):
        try:
            yield msgspec.json.decode(line, type=RunResult | RunCost)
        except msgspec.MsgspecError as problem:
            raise ResultsError(f"{path.name} line {number}: {problem}") from None


def library_versions() -> dict[str, str]:
    """The libraries that a result depends on."""
    return {name: metadata.version(name) for name in LIBRARIES}


def source_revision() -> str:
    """The revision of this program's sources, with + if they were changed; empty where that is not known."""
    folder = Path(__file__).parent

    def git(*words: str) -> str:
        done = subprocess.run(["git", "-C", str(folder), *words], capture_output=True, text=True, check=True)
        return done.stdout.strip()

    try:
        changed = git("status", "--porcelain", "--", ".")
        return git("rev-parse", "--short=12", "HEAD") + ("+" if changed else "")
    except (OSError, subprocess.CalledProcessError):
        return ""

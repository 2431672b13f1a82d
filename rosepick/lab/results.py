"""Writes and reads results as JSON lines: for each run a line with its result and one with its cost.

The result line depends only on the experiment, the seed and the revision: a repeated run gives the same
bytes. The cost line has the values that depend on the machine (CPU, memory). Field names are the keys of the
file.
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
    """Counts of one second of a run; a request counts in the second in which it was due."""

    at: int  # seconds from the start of the run
    offered: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    left: int = 0  # abandoned early by their client
    worth_offered: float = 0.0
    worth_in_time: float = 0.0
    p50_ms: float = 0.0  # latency of served requests
    p99_ms: float = 0.0
    attempts: int = 0
    hits: int = 0
    misses: int = 0
    origin_attempts: int = 0
    crossings: int = 0  # attempts to another zone
    origin_load: float = 0.0  # share of the origin's cores in use
    node_load_mean: float = 0.0
    node_load_most: float = 0.0
    cold_used: float = 0.0  # highest used share of a cold node's budget, 0 to 1
    nodes_up: int = 0


class FaultSpan(msgspec.Struct, frozen=True):
    """A fault that was injected."""

    kind: str
    at: float  # seconds from the start of the run
    until: float
    what: str  # the affected nodes, routers or zones


class RequirementResult(msgspec.Struct, frozen=True):
    """The outcome of one requirement of the experiment."""

    what: str  # name of the figure
    value: float
    least: float | None
    most: float | None
    since: float  # seconds from the start of the run
    until: float
    held: bool


class RuleViolation(msgspec.Struct, frozen=True):
    """A violation of a rule, as observed by nodes and clients."""

    rule: str  # answered, effect, drains or cold
    request: str
    node: str
    at: float  # seconds from the start of the run
    text: str


class GroupSummary(msgspec.Struct, frozen=True):
    """The service that a request class or a tenant received."""

    offered: int
    served_share: float  # in time
    p50_ms: float
    p99_ms: float


class RunResult(msgspec.Struct, frozen=True, tag="run", tag_field="kind"):
    """The result of one run."""

    experiment: str
    policy: str
    seed: int
    how: str  # sim or live
    changes: dict[str, Any]
    revision: str
    versions: dict[str, str]
    length: float  # seconds
    warm_up: float
    void: str  # reason why the run is invalid; empty if it is valid
    totals: dict[str, float]  # by figure, without the requests of the warm-up
    classes: dict[str, GroupSummary]
    tenants: dict[str, GroupSummary]
    percentiles: list[tuple[float, float]]  # of served requests: per cent, milliseconds
    windows: list[Window]
    troubles: list[FaultSpan]
    must: list[RequirementResult]
    broken: list[RuleViolation]

    def has_passed(self) -> bool:
        """Return whether the run is valid, broke no rule and met all requirements."""
        return not self.void and not self.broken and all(requirement.held for requirement in self.must)


class RunCost(msgspec.Struct, frozen=True, tag="cost", tag_field="kind"):
    """The cost of a run on this machine."""

    requests: int
    cpu_s: float
    decide_us: float  # microseconds of decisions per request
    events: int
    memory_mb: float


ResultLine = RunResult | RunCost


def encode_result(line: ResultLine) -> bytes:
    """Return a line of a results file, with its newline."""
    return msgspec.json.encode(line) + b"\n"


class ResultsError(ValueError):
    """A results file cannot be read; the message is one line with the file and line number."""


def read_results(path: Path) -> Iterator[ResultLine]:
    """Yield the lines of a results file.

    A last line without a newline, which an interrupted run leaves, is skipped.

    Raises:
        ResultsError: the file or a line of it cannot be read.
    """
    try:
        data = path.read_bytes()
    except OSError as error:
        raise ResultsError(f"{path}: {error.strerror or error}") from None
    lines = data.split(b"\n")
    for number, line in enumerate(lines[:-1], 1):
        try:
            yield msgspec.json.decode(line, type=RunResult | RunCost)
        except msgspec.MsgspecError as error:
            raise ResultsError(f"{path.name} line {number}: {error}") from None


def library_versions() -> dict[str, str]:
    """Return the versions of the libraries that a result depends on."""
    return {name: metadata.version(name) for name in LIBRARIES}


def source_revision() -> str:
    """Return the Git revision of the sources, with + if they have changes; empty if unknown."""
    folder = Path(__file__).parent

    def git(*arguments: str) -> str:
        command = ["git", "-C", str(folder), *arguments]
        return subprocess.run(command, capture_output=True, text=True, check=True).stdout.strip()

    try:
        changed = git("status", "--porcelain", "--", ".")
        return git("rev-parse", "--short=12", "HEAD") + ("+" if changed else "")
    except (OSError, subprocess.CalledProcessError):
        return ""

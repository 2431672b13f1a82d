"""Many seeds of a drill, side by side, and what is said of them."""

from __future__ import annotations

import logging
import shutil
from collections import Counter
from collections.abc import Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from . import (
    drain_harness,
    harness,
    history,
    release_harness,
    simulated_drains,
    simulated_leases,
    simulated_releases,
)
from .drill_file import Drill
from .drill_run import DrillRunError, log_lines_around
from .invariants import InvariantReport
from .simulation import SimulationConfig

MAX_EVENTS_SHOWN = 12  # events of a cut
SIMULATED_DRILLS = {
    "leases": simulated_leases.run_drill,
    "drains": simulated_drains.run_drill,
    "releases": simulated_releases.run_drill,
}
REAL_DRILLS = {
    "leases": harness.run_drill,
    "drains": drain_harness.run_drill,
    "releases": release_harness.run_drill,
}


@dataclass(slots=True)
class SeedResult:
    """One seed: what was found, and lines that show it."""

    seed: int
    violations: list[str] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)
    lines: list[str] = field(default_factory=list)
    failure_reason: str = ""  # the drill itself could not be played


def _simulation_config(drill: Drill) -> SimulationConfig:
    many, faults, leases = drill.processes, drill.faults, drill.leases
    return SimulationConfig(
        many.witnesses,
        many.workers,
        many.tasks,
        faults.seconds,
        leases.ttl,
        leases.drift,
        many.rate,
        faults.each,
        fault_kinds=tuple(faults.kinds),
    )


def _to_seed_result(seed: int, verdict: InvariantReport) -> SeedResult:
    result = SeedResult(seed, counts=verdict.counts)
    for broken in verdict.violations:
        result.violations.append(f"{broken.invariant}: {broken.text}")
        result.lines += [f"claim broken: {broken.invariant}: {broken.text}"]
        result.lines += [f"    {history.format_event(event)}" for event in broken.events[:MAX_EVENTS_SHOWN]]
    return result


def run_simulated(drill: Drill, seed: int) -> SeedResult:
    """One seed on the simulated net."""
    before = logging.root.manager.disable
    logging.disable(logging.CRITICAL)  # thousands of processes would say what they do
    try:
        return _to_seed_result(seed, SIMULATED_DRILLS[drill.plays](_simulation_config(drill), seed))
    finally:
        logging.disable(before)  # for whatever else this process does


def run_real(drill: Drill, seed: int, folder: Path, keep_folder: bool) -> SeedResult:
    """One seed on real processes. Its folder stays if a claim is broken, or if it is to be kept."""
    try:
        played = REAL_DRILLS[drill.plays](drill, seed, folder)
    except DrillRunError as problem:
        return SeedResult(seed, failure_reason=str(problem))
    result = _to_seed_result(seed, played.verdict)
    moments = sorted(
        {event.at for broken in played.verdict.violations for event in broken.events[:MAX_EVENTS_SHOWN]}
    )
    if moments:
        result.lines += [f"    {line}" for line in log_lines_around(played, moments[:1] + moments[-1:])]
    (folder / "history.jsonl").write_bytes(b"".join(map(history.encode_line, played.events)))
    (folder / "verdict.txt").write_text("\n".join(format_result(result)) + "\n", "utf-8")
    if not keep_folder and not result.violations:
        shutil.rmtree(folder, ignore_errors=True)
    return result


def run_seeds(
    drill: Drill, seeds: Sequence[int], folder: Path | None, workers: int, keep_folder: bool
) -> Iterator[SeedResult]:
    """Seeds as they end; on the simulated net if there is no folder."""
    if workers == 1 or len(seeds) == 1:
        for seed in seeds:
            yield (
                run_simulated(drill, seed)
                if folder is None
                else run_real(drill, seed, folder / f"seed-{seed}", keep_folder)
            )
        return
    with ProcessPoolExecutor(workers) as pool:
        if folder is None:
            yield from pool.map(
                run_simulated, [drill] * len(seeds), seeds, chunksize=max(1, min(32, len(seeds) // workers))
            )
            return
        runs = [pool.submit(run_real, drill, seed, folder / f"seed-{seed}", keep_folder) for seed in seeds]
        for run in as_completed(runs):
            yield run.result()


def format_result(result: SeedResult) -> list[str]:
    """What is to be said of one seed."""
    if result.failure_reason:
        return [f"seed {result.seed}: not played: {result.failure_reason}"]
    verdict = f"{len(result.violations)} claims broken" if result.violations else "no claim broken"
    return [f"seed {result.seed}: {verdict}", *result.lines]


@dataclass(slots=True)
class DrillSummary:
    """All seeds together."""

    seeds: int = 0
    broken: list[int] = field(default_factory=list)
    failed: list[int] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)

    def add(self, result: SeedResult) -> None:
        """One more."""
        self.seeds += 1
        if result.violations:
            self.broken.append(result.seed)
        if result.failure_reason:
            self.failed.append(result.seed)
        self.counts.update(result.counts)

    def lines(self) -> list[str]:
        """The sum for people."""
        found = [f"{self.seeds} seeds, {len(self.broken)} with a broken claim, {len(self.failed)} not played"]
        return found + [f"  {name:28} {count}" for name, count in sorted(self.counts.items())]

    def json(self) -> bytes:
        """The sum as JSON."""
        return msgspec.json.format(
            msgspec.json.encode(
                {
                    "seeds": self.seeds,
                    "broken": self.broken,
                    "failed": self.failed,
                    "counts": dict(self.counts),
                }
            )
        )

"""Runs many seeds of a fault-injection test in parallel, and reports their results."""

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

MAX_EVENTS_SHOWN = 12  # events printed for each violation
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
    """Holds the result of one seed: its violations, its counts and the printed lines about each violation."""

    seed: int
    violations: list[str] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)
    lines: list[str] = field(default_factory=list)
    failure_reason: str = ""  # why the test could not be run; empty if it was run


def _simulation_config(drill: Drill) -> SimulationConfig:
    return SimulationConfig(
        replicas=drill.processes.witnesses,
        clients=drill.processes.workers,
        tasks=drill.processes.tasks,
        duration_s=drill.faults.seconds,
        lease_ttl_s=drill.leases.ttl,
        drift=drill.leases.drift,
        max_clock_skew=drill.processes.rate,
        fault_interval_s=drill.faults.each,
        fault_kinds=tuple(drill.faults.kinds),
    )


def _to_seed_result(seed: int, report: InvariantReport) -> SeedResult:
    result = SeedResult(seed, counts=report.counts)
    for violation in report.violations:
        text = f"{violation.invariant}: {violation.text}"
        result.violations.append(text)
        result.lines.append(f"claim broken: {text}")
        result.lines += [
            f"    {history.format_event(event)}" for event in violation.events[:MAX_EVENTS_SHOWN]
        ]
    return result


def run_simulated(drill: Drill, seed: int) -> SeedResult:
    """Run one seed on simulated processes, with logging disabled."""
    disabled_before = logging.root.manager.disable
    logging.disable(logging.CRITICAL)
    try:
        return _to_seed_result(seed, SIMULATED_DRILLS[drill.plays](_simulation_config(drill), seed))
    finally:
        logging.disable(disabled_before)


def run_real(drill: Drill, seed: int, folder: Path, keep_folder: bool) -> SeedResult:
    """Run one seed on real processes; keep its folder after a violation, or if `keep_folder` is set."""
    try:
        run = REAL_DRILLS[drill.plays](drill, seed, folder)
    except DrillRunError as error:
        return SeedResult(seed, failure_reason=str(error))
    result = _to_seed_result(seed, run.report)
    times = sorted(
        {event.at for violation in run.report.violations for event in violation.events[:MAX_EVENTS_SHOWN]}
    )
    if times:
        result.lines += [f"    {line}" for line in log_lines_around(run, times[:1] + times[-1:])]
    (folder / "history.jsonl").write_bytes(b"".join(map(history.encode_line, run.events)))
    (folder / "verdict.txt").write_text("\n".join(format_result(result)) + "\n", "utf-8")
    if not keep_folder and not result.violations:
        shutil.rmtree(folder, ignore_errors=True)
    return result


def run_seeds(
    drill: Drill, seeds: Sequence[int], folder: Path | None, workers: int, keep_folder: bool
) -> Iterator[SeedResult]:
    """Run seeds on `workers` processes and yield their results; the run is simulated if `folder` is None."""
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
        futures = [pool.submit(run_real, drill, seed, folder / f"seed-{seed}", keep_folder) for seed in seeds]
        for future in as_completed(futures):
            yield future.result()


def format_result(result: SeedResult) -> list[str]:
    """Format the result of one seed as lines of text."""
    if result.failure_reason:
        return [f"seed {result.seed}: not played: {result.failure_reason}"]
    outcome = f"{len(result.violations)} claims broken" if result.violations else "no claim broken"
    return [f"seed {result.seed}: {outcome}", *result.lines]


@dataclass(slots=True)
class DrillSummary:
    """Adds up the results of all seeds."""

    seeds: int = 0
    seeds_with_violations: list[int] = field(default_factory=list)
    seeds_not_run: list[int] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)

    def add(self, result: SeedResult) -> None:
        """Add the result of a seed."""
        self.seeds += 1
        if result.violations:
            self.seeds_with_violations.append(result.seed)
        if result.failure_reason:
            self.seeds_not_run.append(result.seed)
        self.counts.update(result.counts)

    def lines(self) -> list[str]:
        """Format the summary as lines of text."""
        lines = [
            f"{self.seeds} seeds, {len(self.seeds_with_violations)} with a broken claim, "
            f"{len(self.seeds_not_run)} not played"
        ]
        return lines + [f"  {name:28} {count}" for name, count in sorted(self.counts.items())]

    def json(self) -> bytes:
        """Encode the summary as JSON."""
        return msgspec.json.format(
            msgspec.json.encode(
                {
                    "seeds": self.seeds,
                    "broken": self.seeds_with_violations,
                    "failed": self.seeds_not_run,
                    "counts": dict(self.counts),
                }
            )
        )

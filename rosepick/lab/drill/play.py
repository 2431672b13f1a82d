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

from . import drain_rig, history, release_rig, rig, sim_drains, sim_releases, simulated
from .claims import Verdict
from .files import Drill

SHOWN = 12  # events of a cut
SIMULATED = {"leases": simulated.drill, "drains": sim_drains.drill, "releases": sim_releases.drill}
REAL = {"leases": rig.play, "drains": drain_rig.play, "releases": release_rig.play}


@dataclass(slots=True)
class Result:
    """One seed: what was found, and lines that show it."""

    seed: int
    broken: list[str] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)
    lines: list[str] = field(default_factory=list)
    failed: str = ""  # the drill itself could not be played


def _shape(drill: Drill) -> simulated.Shape:
    many, faults, leases = drill.processes, drill.faults, drill.leases
    return simulated.Shape(
        many.witnesses,
        many.workers,
        many.tasks,
        faults.seconds,
        leases.ttl,
        leases.drift,
        many.rate,
        faults.each,
        kinds=tuple(faults.kinds),
    )


def _result(seed: int, verdict: Verdict) -> Result:
    result = Result(seed, counts=verdict.counts)
    for broken in verdict.broken:
        result.broken.append(f"{broken.claim}: {broken.text}")
        result.lines += [f"claim broken: {broken.claim}: {broken.text}"]
        result.lines += [f"    {history.shown(event)}" for event in broken.events[:SHOWN]]
    return result


def simulate(drill: Drill, seed: int) -> Result:
    """One seed on the simulated net."""
    before = logging.root.manager.disable
    logging.disable(logging.CRITICAL)  # thousands of processes would say what they do
    try:
        return _result(seed, SIMULATED[drill.plays](_shape(drill), seed))
    finally:
        logging.disable(before)  # for whatever else this process does


def play(drill: Drill, seed: int, folder: Path, keep: bool) -> Result:
    """One seed on real processes. Its folder stays if a claim is broken, or if it is to be kept."""
    try:
        played = REAL[drill.plays](drill, seed, folder)
    except rig.DrillFailed as problem:
        return Result(seed, failed=str(problem))
    result = _result(seed, played.verdict)
    moments = sorted({event.at for broken in played.verdict.broken for event in broken.events[:SHOWN]})
    if moments:
        result.lines += [f"    {line}" for line in rig.lines_around(played, moments[:1] + moments[-1:])]
    (folder / "history.jsonl").write_bytes(b"".join(map(history.line, played.events)))
    (folder / "verdict.txt").write_text("\n".join(said(result)) + "\n", "utf-8")
    if not keep and not result.broken:
        shutil.rmtree(folder, ignore_errors=True)
    return result


def many(
    drill: Drill, seeds: Sequence[int], folder: Path | None, workers: int, keep: bool
) -> Iterator[Result]:
    """Seeds as they end; on the simulated net if there is no folder."""
    if workers == 1 or len(seeds) == 1:
        for seed in seeds:
            yield (
                simulate(drill, seed) if folder is None else play(drill, seed, folder / f"seed-{seed}", keep)
            )
        return
    with ProcessPoolExecutor(workers) as pool:
        if folder is None:
            yield from pool.map(
                simulate, [drill] * len(seeds), seeds, chunksize=max(1, min(32, len(seeds) // workers))
            )
            return
        runs = [pool.submit(play, drill, seed, folder / f"seed-{seed}", keep) for seed in seeds]
        for run in as_completed(runs):
            yield run.result()


def said(result: Result) -> list[str]:
    """What is to be said of one seed."""
    if result.failed:
        return [f"seed {result.seed}: not played: {result.failed}"]
    verdict = f"{len(result.broken)} claims broken" if result.broken else "no claim broken"
    return [f"seed {result.seed}: {verdict}", *result.lines]


@dataclass(slots=True)
class Sum:
    """All seeds together."""

    seeds: int = 0
    broken: list[int] = field(default_factory=list)
    failed: list[int] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)

    def add(self, result: Result) -> None:
        """One more."""
        self.seeds += 1
        if result.broken:
            self.broken.append(result.seed)
        if result.failed:
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

"""Planted faults: each is put into a copy of the program, and a drill has to find it.

A claim that is never broken says little by itself. Here its guard is taken out, and the same drill with the
same judge has to break it; so each claim is shown to rest on the lines that are said to keep it.
"""

from __future__ import annotations

import os
import re
import shutil
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from .processes import ROOT

IGNORED_PATHS = ("journal", ".git", ".venv", ".venv-dev", "__pycache__", "experiments", "tests")
SEEDS_PER_BATCH = 8  # seeds in one call of a drill
_VIOLATION_LINE = re.compile(r"^seed (\d+): \d+ claims broken$", re.M)
_SUMMARY_LINE = re.compile(r"^\d+ seeds, ", re.M)
_INVARIANT_LINE = re.compile(r"^claim broken: (.*)$", re.M)


class MutationsError(Exception):
    """The file cannot be used, or does not fit the program; the text says where."""


class _Table(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)


class SourceEdit(_Table):
    """One place: text that stands in a file exactly once, and what is to stand there."""

    file: str
    old: str
    new: str


class PlantedFault(_Table):
    """A fault, the claim that it breaks, and the drill that shows it within so many seeds."""

    name: str
    breaks: str
    drill: str = "drills/simulated.toml"
    real: bool = False
    seeds: Annotated[int, Field(ge=1, le=2000)] = 200
    edits: list[SourceEdit]


class _File(_Table):
    fault: list[PlantedFault]


@dataclass(frozen=True, slots=True)
class MutationResult:
    """What came of a planted fault: the seed that showed it, the claim, and the time it took."""

    planted: PlantedFault
    seeds: int  # that were played
    seed: int | None
    claim: str
    seconds: float


def load_mutations(path: Path) -> list[PlantedFault]:
    """The faults of a file, all of which fit the program as it is."""
    try:
        faults = _File.model_validate(tomllib.loads(path.read_text("utf-8"))).fault
    except (OSError, ValueError, ValidationError) as problem:
        raise MutationsError(f"{path}: {problem}") from None
    for planted in faults:
        for edit in planted.edits:
            count = (ROOT / edit.file).read_text("utf-8").count(edit.old)
            if count != 1:
                raise MutationsError(f"{planted.name}: the old text stands {count} times in {edit.file}")
    return faults


def _copy_program(planted: PlantedFault, folder: Path) -> None:
    shutil.copytree(ROOT, folder, ignore=shutil.ignore_patterns(*IGNORED_PATHS))
    for edit in planted.edits:
        path = folder / edit.file
        path.write_text(path.read_text("utf-8").replace(edit.old, edit.new), "utf-8")


def _run_drill(
    planted: PlantedFault, folder: Path, first: int, last: int
) -> subprocess.CompletedProcess[str]:
    kind = "--real" if planted.real else "--simulated"
    command = [
        sys.executable,
        "-m",
        "rosepick",
        "lab",
        "drill",
        planted.drill,
        kind,
        "--seed",
        f"{first}..{last}",
    ]
    environment = {**os.environ, "PYTHONPATH": str(folder), "PYTHONDONTWRITEBYTECODE": "1"}
    return subprocess.run(command, cwd=folder, capture_output=True, text=True, env=environment, check=False)


def find_fault(planted: PlantedFault) -> MutationResult:
    """Play seeds on a copy with the fault until one breaks a claim."""
    began = time.monotonic()
    batch = 1 if planted.real else SEEDS_PER_BATCH
    with tempfile.TemporaryDirectory(prefix="rosepick-planted-") as scratch:
        folder = Path(scratch) / "copy"
        _copy_program(planted, folder)
        for first in range(1, planted.seeds + 1, batch):
            done = _run_drill(planted, folder, first, min(planted.seeds, first + batch - 1))
            seed, claims = _VIOLATION_LINE.search(done.stdout), _INVARIANT_LINE.findall(done.stdout)
            if seed is not None and any(claim.startswith(planted.breaks) for claim in claims):
                claim = next(claim for claim in claims if claim.startswith(planted.breaks))
                return MutationResult(planted, int(seed[1]), int(seed[1]), claim, time.monotonic() - began)
            if not _SUMMARY_LINE.search(
                done.stdout
            ):  # guards against taking a drill that crashes for one that finds nothing
                raise MutationsError(
                    f"{planted.name}: the drill ended with {done.returncode}: {done.stderr[-400:]}"
                )
    return MutationResult(planted, planted.seeds, None, "", time.monotonic() - began)


def find_all_faults(faults: Sequence[PlantedFault], workers: int) -> Iterator[MutationResult]:
    """All of them, so many at a time."""
    with ThreadPoolExecutor(workers) as pool:
        yield from pool.map(find_fault, faults)

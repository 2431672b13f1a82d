"""Runs mutation tests: each planted fault is put into a copy of the program, and a drill has to find it.

An invariant that is never violated does not show that its check works. A planted fault removes lines that
uphold an invariant, and the same fault-injection test with the same checks has to report a violation then.
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

from pydantic import Field, ValidationError

from .processes import ROOT
from .strict_model import StrictModel

IGNORED_PATHS = ("journal", ".git", ".venv", ".venv-dev", "__pycache__", "experiments", "tests")
SEEDS_PER_BATCH = 8  # run by one process
MAX_ERROR_OUTPUT_CHARS = 400
_VIOLATION_LINE = re.compile(r"^seed (\d+): \d+ claims broken$", re.M)
_SUMMARY_LINE = re.compile(r"^\d+ seeds, ", re.M)
_INVARIANT_LINE = re.compile(r"^claim broken: (.*)$", re.M)


class MutationsError(Exception):
    """The file cannot be used or does not match the program, or a drill crashed; the text says where."""


class SourceEdit(StrictModel):
    """One edit: a text that `file` contains exactly once, and its replacement."""

    file: str
    old: str
    new: str


class PlantedFault(StrictModel):
    """A fault, the invariant that it `breaks`, and the test that has to find it within `seeds` seeds."""

    name: str
    breaks: str
    drill: str = "drills/simulated.toml"
    real: bool = False
    seeds: Annotated[int, Field(ge=1, le=2000)] = 200
    edits: list[SourceEdit]


class _MutationsFile(StrictModel):
    fault: list[PlantedFault]


@dataclass(frozen=True, slots=True)
class MutationResult:
    """The outcome for a planted fault: the seed that found it, if any, and the violation as printed."""

    planted: PlantedFault
    seeds: int  # number of seeds that were run
    seed: int | None
    violation: str
    seconds: float


def load_mutations(path: Path) -> list[PlantedFault]:
    """Read the planted faults of a file.

    Raises:
        MutationsError: the file cannot be read or is not valid, or an edit does not fit the program.
    """
    try:
        faults = _MutationsFile.model_validate(tomllib.loads(path.read_text("utf-8"))).fault
    except (OSError, ValueError, ValidationError) as error:
        raise MutationsError(f"{path}: {error}") from None
    for planted in faults:
        for edit in planted.edits:
            count = (ROOT / edit.file).read_text("utf-8").count(edit.old)
            if count != 1:
                raise MutationsError(
                    f"{planted.name}: {edit.file} contains the old text {count} times instead of once"
                )
    return faults


def _copy_program(planted: PlantedFault, folder: Path) -> None:
    shutil.copytree(ROOT, folder, ignore=shutil.ignore_patterns(*IGNORED_PATHS))
    for edit in planted.edits:
        path = folder / edit.file
        path.write_text(path.read_text("utf-8").replace(edit.old, edit.new), "utf-8")


def _run_drill(
    planted: PlantedFault, folder: Path, first_seed: int, last_seed: int
) -> subprocess.CompletedProcess[str]:
    mode = "--real" if planted.real else "--simulated"
    options = [planted.drill, mode, "--seed", f"{first_seed}..{last_seed}"]
    command = [sys.executable, "-m", "rosepick", "lab", "drill", *options]
    environment = {**os.environ, "PYTHONPATH": str(folder), "PYTHONDONTWRITEBYTECODE": "1"}
    return subprocess.run(command, cwd=folder, capture_output=True, text=True, env=environment, check=False)


def find_fault(planted: PlantedFault) -> MutationResult:
    """Run seeds on a copy of the program with the fault, until one violates the invariant.

    Raises:
        MutationsError: the test itself ended without a summary.
    """
    started_at = time.monotonic()
    batch = 1 if planted.real else SEEDS_PER_BATCH
    with tempfile.TemporaryDirectory(prefix="rosepick-planted-") as temporary_folder:
        folder = Path(temporary_folder) / "copy"
        _copy_program(planted, folder)
        for first in range(1, planted.seeds + 1, batch):
            completed = _run_drill(planted, folder, first, min(planted.seeds, first + batch - 1))
            match = _VIOLATION_LINE.search(completed.stdout)
            violations = _INVARIANT_LINE.findall(completed.stdout)
            expected = next((line for line in violations if line.startswith(planted.breaks)), None)
            if match is not None and expected is not None:
                seed = int(match[1])
                return MutationResult(planted, seed, seed, expected, time.monotonic() - started_at)
            if not _SUMMARY_LINE.search(completed.stdout):  # the drill crashed, which is no result
                output = completed.stderr[-MAX_ERROR_OUTPUT_CHARS:]
                raise MutationsError(f"{planted.name}: the drill ended with {completed.returncode}: {output}")
    return MutationResult(planted, planted.seeds, None, "", time.monotonic() - started_at)


def find_all_faults(faults: Sequence[PlantedFault], workers: int) -> Iterator[MutationResult]:
    """Find all faults, `workers` at a time; yield the results in the order of the faults."""
    with ThreadPoolExecutor(workers) as pool:
        yield from pool.map(find_fault, faults)

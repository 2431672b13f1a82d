"""Each guard of docs/endings.md is taken out of a copy of the program, and its test has to fail there."""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
DEFAULT_MODULE = "test_endings.py"  # of a fault that names no other
FAULTS = tomllib.loads((ROOT / "tests" / "guards.toml").read_text("utf-8"))["fault"]


@pytest.fixture(scope="module")
def copy(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """A copy of the program and its tests."""
    folder = tmp_path_factory.mktemp("planted")
    for name in ("rosepick", "tests"):
        shutil.copytree(ROOT / name, folder / name, ignore=shutil.ignore_patterns("__pycache__"))
    shutil.copy(ROOT / "pyproject.toml", folder)
    return folder


def outcome(folder: Path, module: str, test: str) -> tuple[int, str]:
    """Pytest's exit and its words over one test of the copy."""
    environment = {**os.environ, "PYTHONDONTWRITEBYTECODE": "1", "PYTHONPATH": str(folder)}
    command = [sys.executable, "-m", "pytest", "-q", f"tests/{module}::{test}"]
    done = subprocess.run(command, cwd=folder, capture_output=True, text=True, env=environment, check=False)
    return done.returncode, done.stdout


@pytest.mark.parametrize("fault", FAULTS, ids=[fault["name"] for fault in FAULTS])
def test_without_the_guard_its_test_fails(copy: Path, fault: dict[str, str]) -> None:
    path = copy / fault["file"]
    text = path.read_text("utf-8")
    assert text.count(fault["old"]) == 1
    path.write_text(text.replace(fault["old"], fault["new"]), "utf-8")
    try:
        code, said = outcome(copy, fault.get("module", DEFAULT_MODULE), fault["test"])
    finally:
        path.write_text(text, "utf-8")
    # 1 is a test that failed; guards against a fault that breaks the program's import, or a test that is none
    failed = f"FAILED tests/{fault.get('module', DEFAULT_MODULE)}::{fault['test']}"
    assert code == 1 and failed in said, said

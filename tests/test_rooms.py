"""Rooms import only from rooms below them: the contracts in pyproject.toml hold, and a breach is noticed."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent


def lint(folder: Path) -> subprocess.CompletedProcess[str]:
    """Run import-linter in a folder."""
    code = "from importlinter.cli import lint_imports_command as run; run()"
    return subprocess.run(
        [sys.executable, "-c", code, "--no-cache"], cwd=folder, capture_output=True, text=True, timeout=120
    )


def test_rooms_import_from_below_only() -> None:
    done = lint(ROOT)
    assert done.returncode == 0, done.stdout


def test_a_breach_is_noticed(tmp_path: Path) -> None:
    shutil.copytree(ROOT / "rosepick", tmp_path / "rosepick")
    shutil.copy(ROOT / "pyproject.toml", tmp_path)
    for room, line in (("decisions", "from ..core import engine"), ("connections", "import time")):
        (tmp_path / "rosepick" / room / "breach.py").write_text(f"{line}\n")
        assert lint(tmp_path).returncode == 1
        (tmp_path / "rosepick" / room / "breach.py").unlink()


def test_every_room_is_packed() -> None:
    rooms = {path.parent.relative_to(ROOT).as_posix() for path in (ROOT / "rosepick").rglob("__init__.py")}
    listed = (ROOT / "pyproject.toml").read_text().split("packages = [")[1].split("]")[0]
    assert {name.strip(' \n"').replace(".", "/") for name in listed.split(",") if name.strip()} == rooms

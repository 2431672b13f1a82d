"""Rooms import only from rooms below them: the contracts in pyproject.toml hold, and a breach is noticed."""

from __future__ import annotations

import ast
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


def import_graph(package: Path) -> dict[str, set[str]]:
    """Return which module imports which, within a package. Imports for types and in functions count too."""
    root = package.parent
    modules = {}
    for path in package.rglob("*.py"):
        parts = path.relative_to(root).with_suffix("").parts
        modules[".".join(parts[:-1] if parts[-1] == "__init__" else parts)] = path
    graph: dict[str, set[str]] = {name: set() for name in modules}
    for name, path in modules.items():
        parent = name if path.name == "__init__.py" else name.rpartition(".")[0]
        for node in ast.walk(ast.parse(path.read_text("utf-8"))):
            if not isinstance(node, ast.ImportFrom):
                continue
            above = parent.split(".")[: len(parent.split(".")) - node.level + 1] if node.level else []
            source = ".".join([*above, *([node.module] if node.module else [])])
            for alias in node.names:
                submodule = f"{source}.{alias.name}"
                target = submodule if submodule in modules else source
                if target in modules and target != name:
                    graph[name].add(target)
    return graph


def import_circle(graph: dict[str, set[str]]) -> list[str]:
    """Return the modules in circles, and between two circles.

    Modules that import none of those left, or that none of those left imports, are taken away step by step.
    """
    left = {name: set(imported) for name, imported in graph.items()}
    while True:
        imported = set().union(*left.values()) if left else set()
        free = [name for name in left if not left[name] & left.keys() or name not in imported]
        if not free:
            return sorted(left)
        for name in free:
            del left[name]


def test_no_modules_import_one_another_in_a_circle() -> None:
    assert import_circle(import_graph(ROOT / "rosepick")) == []


def test_a_circle_is_noticed(tmp_path: Path) -> None:
    package = tmp_path / "rosepick"
    (package / "part").mkdir(parents=True)
    (package / "__init__.py").write_text("")
    (package / "part" / "__init__.py").write_text("")
    (package / "first.py").write_text(
        "from typing import TYPE_CHECKING\nif TYPE_CHECKING:\n    from .part import second\n"
    )
    (package / "part" / "second.py").write_text("def later():\n    from ..first import something\n")
    assert import_circle(import_graph(package)) == ["rosepick.first", "rosepick.part.second"]
    (package / "first.py").write_text("")
    assert import_circle(import_graph(package)) == []

"""Packages import only from lower packages: the contracts in pyproject.toml hold, and breaches are found."""

from __future__ import annotations

import ast
import shutil
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent


def run_import_linter(folder: Path) -> subprocess.CompletedProcess[str]:
    """Run import-linter in a folder and return its finished process."""
    code = "from importlinter.cli import lint_imports_command as run; run()"
    return subprocess.run(
        [sys.executable, "-c", code, "--no-cache"], cwd=folder, capture_output=True, text=True, timeout=120
    )


def test_packages_import_only_from_lower_packages() -> None:
    done = run_import_linter(ROOT)
    assert done.returncode == 0, done.stdout


def test_a_breach_of_a_contract_is_found(tmp_path: Path) -> None:
    shutil.copytree(ROOT / "rosepick", tmp_path / "rosepick")
    shutil.copy(ROOT / "pyproject.toml", tmp_path)
    for package, line in (("decisions", "from ..core import engine"), ("connections", "import time")):
        (tmp_path / "rosepick" / package / "breach.py").write_text(f"{line}\n")
        assert run_import_linter(tmp_path).returncode == 1
        (tmp_path / "rosepick" / package / "breach.py").unlink()


def test_every_package_is_listed_in_pyproject() -> None:
    packages = {path.parent.relative_to(ROOT).as_posix() for path in (ROOT / "rosepick").rglob("__init__.py")}
    listed = (ROOT / "pyproject.toml").read_text().split("packages = [")[1].split("]")[0]
    assert {name.strip(' \n"').replace(".", "/") for name in listed.split(",") if name.strip()} == packages


def import_graph(package: Path) -> dict[str, set[str]]:
    """Return the modules that each module of a package imports, also for types and inside functions."""
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
            ancestors = parent.split(".")[: len(parent.split(".")) - node.level + 1] if node.level else []
            source = ".".join([*ancestors, *([node.module] if node.module else [])])
            for alias in node.names:
                submodule = f"{source}.{alias.name}"
                target = submodule if submodule in modules else source
                if target in modules and target != name:
                    graph[name].add(target)
    return graph


def modules_in_cycles(graph: dict[str, set[str]]) -> list[str]:
    """Return the modules in import cycles, and those between two cycles.

    Modules that import none of the remaining ones, or are imported by none of them, are removed step by step.
    """
    remaining = {name: set(imported) for name, imported in graph.items()}
    while True:
        imported = set().union(*remaining.values()) if remaining else set()
        removable = [
            name for name in remaining if not remaining[name] & remaining.keys() or name not in imported
        ]
        if not removable:
            return sorted(remaining)
        for name in removable:
            del remaining[name]


def test_no_modules_import_one_another_in_a_cycle() -> None:
    assert modules_in_cycles(import_graph(ROOT / "rosepick")) == []


def test_an_import_cycle_is_found(tmp_path: Path) -> None:
    package = tmp_path / "rosepick"
    (package / "part").mkdir(parents=True)
    (package / "__init__.py").write_text("")
    (package / "part" / "__init__.py").write_text("")
    (package / "first.py").write_text(
        "from typing import TYPE_CHECKING\nif TYPE_CHECKING:\n    from .part import second\n"
    )
    (package / "part" / "second.py").write_text("def later():\n    from ..first import something\n")
    assert modules_in_cycles(import_graph(package)) == ["rosepick.first", "rosepick.part.second"]
    (package / "first.py").write_text("")
    assert modules_in_cycles(import_graph(package)) == []

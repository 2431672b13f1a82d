"""The example of the README runs, and its commands are the ones that the Makefile has and CI runs."""

from __future__ import annotations

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent


def test_the_example_runs() -> None:
    blocks = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    assert blocks
    for block in blocks:
        exec(compile(block, "README.md", "exec"), {})


def test_the_makefile_has_the_commands_and_ci_runs_the_tests() -> None:
    commands = re.findall(r"```sh\n(.*?)\n```", (ROOT / "README.md").read_text(), re.S)[0].splitlines()
    assert commands == ["make demo", "make test"]
    makefile = (ROOT / "Makefile").read_text()
    assert all(f"\n{command.split()[1]}: env\n" in makefile for command in commands)
    assert "make test" in (ROOT / ".ci" / "run").read_text()
    assert "ruff check . && ruff format --check . && mypy && pytest" in makefile


def test_each_pinned_package_is_a_dependency_in_pyproject() -> None:
    pinned = {
        line.split("==")[0]
        for name in ("requirements.txt", "requirements-lab.txt")
        for line in (ROOT / name).read_text().splitlines()
        if "==" in line
    }
    pyproject = (ROOT / "pyproject.toml").read_text()
    assert pinned <= set(re.findall(r'"([a-z0-9]+)>=', pyproject))

"""The README's example runs, and its test command is what CI runs."""

from __future__ import annotations

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent


def test_example_runs() -> None:
    blocks = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    assert blocks
    for block in blocks:
        exec(compile(block, "README.md", "exec"), {})


def test_its_commands_are_what_the_makefile_has_and_ci_runs() -> None:
    commands = re.findall(r"```sh\n(.*?)\n```", (ROOT / "README.md").read_text(), re.S)[0].splitlines()
    assert commands == ["make demo", "make test"]
    made = (ROOT / "Makefile").read_text()
    assert all(f"\n{command.split()[1]}: env\n" in made for command in commands)
    assert "make test" in (ROOT / ".ci" / "run").read_text()
    assert "ruff check . && ruff format --check . && mypy && pytest" in made


def test_pins_are_what_the_extra_allows() -> None:
    pinned = {
        line.split("==")[0]
        for name in ("requirements.txt", "requirements-lab.txt")
        for line in (ROOT / name).read_text().splitlines()
        if "==" in line
    }
    stated = (ROOT / "pyproject.toml").read_text()
    assert pinned <= set(re.findall(r'"([a-z0-9]+)>=', stated))

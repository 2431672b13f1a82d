"""The size and the imports of the decision module."""

from __future__ import annotations

import ast
import re
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
SOURCE = (ROOT / "rosepick" / "decisions" / "decide.py").read_text()


def test_size() -> None:
    lines = SOURCE.splitlines()
    assert sum(bool(line.strip()) for line in lines) <= 1200
    assert max(map(len, lines)) <= 110


def test_names_the_interface_first() -> None:
    first = (ast.get_docstring(ast.parse(SOURCE)) or "").splitlines()[0]
    assert "rosepick/decisions/api.py" in first


POLICY_FILES = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text("utf-8"))["policy"]
SIBLINGS = {path.stem for path in (ROOT / "rosepick" / "decisions").glob("*.py")}


def test_policy_names_all_decision_files() -> None:
    written = {f"rosepick/decisions/{name}.py" for name in SIBLINGS - {"__init__", "api"}}
    assert set(POLICY_FILES) == written


@pytest.mark.parametrize("file", POLICY_FILES)
def test_no_clock_io_threads_or_salted_hash(file: str) -> None:
    nodes = list(ast.walk(ast.parse((ROOT / file).read_text("utf-8"))))
    imported = {name.name for node in nodes if isinstance(node, ast.Import) for name in node.names}
    imported |= {node.module for node in nodes if isinstance(node, ast.ImportFrom) and node.module}
    allowed = {"__future__", "bisect", "collections", "collections.abc", "dataclasses", "heapq", "itertools"}
    allowed |= {"array", "enum", "math", "random", "attempt_timeouts.adaptive_timeout"}
    allowed |= {"hashlib", "struct"}  # a hash without a salt, and its bytes as numbers
    assert imported <= allowed | SIBLINGS
    called = {node.func for node in nodes if isinstance(node, ast.Call)}
    names = {func.id for func in called if isinstance(func, ast.Name)}
    assert not names & {"hash", "print", "open", "id", "input"}


def test_interface_knows_nothing_of_the_wire() -> None:
    for name in ("api.py", "decide.py"):
        text = (ROOT / "rosepick" / "decisions" / name).read_text()
        assert not re.search(r"import (wire|struct|json)", text)

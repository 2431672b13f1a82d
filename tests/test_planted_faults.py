"""Each planted fault of guards.toml and mutations.toml applies to the sources as they are.

The slow tests plant each fault and check that it is detected. This test only checks that each fault still
matches the sources, so it can run after every change.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

import pytest

ROOT = Path(__file__).resolve().parent.parent


def load_faults(name: str) -> list[dict[str, Any]]:
    """Read the planted faults of a file."""
    faults: list[dict[str, Any]] = tomllib.loads((ROOT / "tests" / name).read_text("utf-8"))["fault"]
    return faults


def edits_of(fault: dict[str, Any]) -> list[dict[str, str]]:
    """Return the edits of a fault: the edits that it lists, or the fault itself if it is a single edit."""
    edits: list[dict[str, str]] = fault.get("edits", [fault])
    return edits


FAULTS = [
    pytest.param(fault, id=f"{name}: {fault['name']}")
    for name in ("guards.toml", "mutations.toml")
    for fault in load_faults(name)
]


@pytest.mark.parametrize("fault", FAULTS)
def test_planted_fault_applies(fault: dict[str, Any]) -> None:
    edited: dict[str, str] = {}
    assert edits_of(fault)
    for edit in edits_of(fault):
        path, old, new = edit["file"], edit["old"], edit["new"]
        source = (ROOT / path).read_text("utf-8")
        assert old != new, f"{path}: the fault changes nothing"
        assert source.count(old) == 1, f"{path}: the old text occurs {source.count(old)} times"
        text = edited.get(path, source)
        assert text.count(old) == 1, f"{path}: an earlier edit of the same fault changed the old text"
        edited[path] = text.replace(old, new)
    for path, text in edited.items():
        compile(text, path, "exec")


@pytest.mark.parametrize("name", ["guards.toml", "mutations.toml"])
def test_names_of_planted_faults_are_unique(name: str) -> None:
    names = [fault["name"] for fault in load_faults(name)]
    assert names and len(set(names)) == len(names)

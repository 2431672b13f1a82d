"""The two sites in deploy/sites differ in their settings, and the program names neither of them."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

SITES = sorted((Path(__file__).resolve().parent.parent / "deploy" / "sites").glob("*.toml"))


def read(path: Path) -> dict[str, Any]:
    return tomllib.loads(path.read_text("utf-8"))


def test_the_sites_differ_in_their_settings() -> None:
    first, second = map(read, SITES)
    assert not {c["name"] for c in first["class"]} & {c["name"] for c in second["class"]}
    assert not {t["name"] for t in first["tenant"]} & {t["name"] for t in second["tenant"]}
    assert not set(first["net"]["zones"]) & set(second["net"]["zones"])
    assert len(first["class"]) != len(second["class"]) and len(first["tenant"]) != len(second["tenant"])
    assert first["discovery"]["mode"] != second["discovery"]["mode"]
    assert first["allow"]["max_attempts"] != second["allow"]["max_attempts"]
    assert first["rules"] != second["rules"] and first["prices"] != second["prices"]


def test_the_sites_have_every_effect_and_a_window_shorter_than_an_objective() -> None:
    classes = [one for site in map(read, SITES) for one in site["class"]]
    assert {one["effect"] for one in classes} == {"safe", "keyed", "unsafe"}
    assert min(one["window_ms"] for one in classes if one["effect"] == "keyed") < min(
        one["aim_ms"] for one in classes
    )
    assert max(one["deadline_ms"] for one in classes) >= 6 * min(one["deadline_ms"] for one in classes)


def test_the_program_contains_no_name_of_a_site() -> None:
    """Guards against names of classes, tenants and zones in the source: they come from the settings only."""
    names = {
        one["name"] for site in map(read, SITES) for kind in ("class", "tenant") for one in site[kind]
    } | {"read-usage", "set-contract", "log-correction", "kita-denryoku", "sapporo-east", "chitose"}
    source = SITES[0].parent.parent.parent / "rosepick"
    paths = [path for path in source.rglob("*.py") if "lab" not in path.parts]
    texts = {path: path.read_text("utf-8") for path in paths}
    assert [(str(path), name) for path, text in texts.items() for name in names if f'"{name}"' in text] == []

"""The settings of the decisions, read out of JSON by name and type; standard library only.

The platform's configuration and the simulator's first message hold the same object, which is read here.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from math import isfinite
from typing import Any, TypeVar

from ..decisions import api

T = TypeVar("T")


class SettingsReader:
    """Reads typed values out of a JSON object and names what is wrong."""

    def __init__(self, data: Any, path: str) -> None:
        if not isinstance(data, dict):
            raise ValueError(f"setting {path or 'env'} is not an object")
        self.data: dict[str, Any] = data
        self.path = path

    def path_of(self, key: str) -> str:
        return f"{self.path}.{key}" if self.path else key

    def section(self, key: str) -> SettingsReader:
        return self.child(self.data.get(key) or {}, self.path_of(key))

    def child(self, data: Any, path: str) -> SettingsReader:
        """A reader of the same kind for a part."""
        return SettingsReader(data, path)

    def rows(self, key: str) -> list[SettingsReader]:
        rows = self.data.get(key) or []
        if not isinstance(rows, list):
            raise ValueError(f"setting {self.path_of(key)} is not a list")
        return [self.child(row, f"{self.path_of(key)}[{place}]") for place, row in enumerate(rows)]

    def number(self, key: str, default: float | None = None) -> float:
        value = self.data.get(key)
        if value is None:
            if default is None:
                raise ValueError(f"setting {self.path_of(key)} is missing")
            return float(default)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise ValueError(f"setting {self.path_of(key)} is {value!r}, not a number")
        if not isfinite(value):  # as 1e999 reads
            raise ValueError(f"setting {self.path_of(key)} is {value!r}, not a finite number")
        return float(value)

    def integer(self, key: str, default: int) -> int:
        value = self.number(key, default)
        if not value.is_integer():
            raise ValueError(f"setting {self.path_of(key)} is {value!r}, not a whole number")
        return int(value)

    def boolean(self, key: str) -> bool:
        value = self.data.get(key, False)
        if not isinstance(value, bool):
            raise ValueError(f"setting {self.path_of(key)} is {value!r}, not true or false")
        return value

    def text(self, key: str) -> str:
        value = self.data.get(key)
        if not isinstance(value, str) or not value:
            raise ValueError(f"setting {self.path_of(key)} is {value!r}, not a text")
        return value

    def parsed(self, key: str, parse: Callable[[str], T], expected: str, fallback: T) -> T:
        """A text that must be `expected`; a reader that goes on after a fault has the stand-in."""
        value = self.text(key)
        try:
            return parse(value)
        except ValueError:
            raise ValueError(f"setting {self.path_of(key)} is {value!r}, not {expected}") from None

    def names(self, key: str) -> tuple[str, ...]:
        """A list whose entries are names, or objects with a name."""
        rows = self.data.get(key) or []
        if not isinstance(rows, list):
            raise ValueError(f"setting {self.path_of(key)} is not a list")
        return tuple(str(row.get("name", "")) if isinstance(row, dict) else str(row) for row in rows)

    def choice(self, key: str, default: str, allowed: tuple[str, ...]) -> str:
        value = self.data.get(key, default)
        if value not in allowed:
            raise ValueError(
                f"setting {self.path_of(key)} is {value!r}; it must be one of {', '.join(allowed)}"
            )
        return str(value)


def parse_settings(env: bytes) -> api.RouterSettings:
    """Settings from the text of a PROVISION record; unknown keys are passed over."""
    try:
        top = SettingsReader(json.loads(env), "")
    except (json.JSONDecodeError, UnicodeDecodeError, RecursionError):
        raise ValueError("settings are not valid JSON") from None
    return read_settings(top)


def _read_class(row: SettingsReader) -> api.RequestClass:
    try:
        return api.RequestClass(
            objective_ms=row.number("objective", row.number("deadline")),
            deadline_ms=row.number("deadline"),
            worth=row.number("worth", 1.0),
            late_share=row.number("late_share", 0.0),
            effect=api.Effect(row.choice("effect", "fragile", ("retryable", "dedup", "fragile"))),
            group=api.Group(row.choice("group", "cell", ("all", "zone", "cell"))),
            repeat_window_ms=row.number("repeat_window", 0.0),
            streaming=row.boolean("streaming"),
        )
    except ValueError as problem:
        raise ValueError(str(problem).replace("request_classes[]", row.path)) from None


def read_settings(top: SettingsReader) -> api.RouterSettings:
    """Settings from JSON that was read already."""
    domain, limits, rules, costs = (top.section(k) for k in ("domain", "limits", "rules", "costs"))
    report = top.section("report")
    usual = api.RoutingRules()
    fields = report.data.get("fields") or []
    if not isinstance(fields, list):
        raise ValueError("setting report.fields is not a list")
    return api.RouterSettings(
        classes=tuple(map(_read_class, top.rows("request_classes"))),
        tenants=tuple(
            api.Tenant(t.number("share", 0.0), t.number("quota_per_s", 0.0)) for t in top.rows("tenants")
        ),
        rules=api.RoutingRules(
            **{
                name: rules.number(name, getattr(usual, name))
                for name in (
                    "stop_sending_within",
                    "grace_to_answer",
                    "ask_every",
                    "cold_from",
                    "warm_within",
                    "tip_multiple",
                    "fall",
                )
            }
        ),
        limits=api.RouterLimits(
            max_attempts=limits.integer("max_attempts", 3),
            allow_hedging=limits.boolean("second_copies"),
            allow_cancel=limits.boolean("cancelling"),
            allow_probes=limits.boolean("probes"),
            allow_peer_messages=limits.boolean("peers"),
            max_retry_after_ms=limits.number("max_retry_after", 0.0)
            if limits.boolean("retry_after")
            else 0.0,
        ),
        mode=api.Mode(domain.choice("mode", "through", ("aside", "through"))),
        origin_kind=domain.integer("origin_kind", -1),
        origin_fall_multiple=domain.number("origin_fall_multiple", 0.0),
        zone=top.integer("zone", 0),
        subscribe=top.choice("membership_mode", "automatic", ("automatic", "subscribe")) == "subscribe",
        sized_weights=top.data.get("weights") in ("nominal", "rough"),
        report_fields=tuple(str(name) for name in fields) if report.data.get("source") != "off" else (),
        routers=max(1, top.integer("balancers", 1)),
        position=top.integer("position", 0),
        over_share_worth=top.number("over_share_worth", 1.0),
        probe_cost=costs.number("probe", 0.0),
        cross_zone_cost=costs.number("cross_zone", 0.0),
    )

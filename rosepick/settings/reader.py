"""Reads typed values and the settings of the decision module from JSON; uses the standard library only.

The router's configuration and the PROVISION record of the simulator hold the settings in the same form.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from math import isfinite
from typing import Any, TypeVar

from ..decisions import api

ValueT = TypeVar("ValueT")

MAX_ATTEMPTS_DEFAULT = 3
RULE_NAMES = (
    "stop_sending_within",
    "grace_to_answer",
    "ask_every",
    "cold_from",
    "warm_within",
    "tip_multiple",
    "fall",
)


class InvalidSettingError(ValueError):
    """Signals a missing or invalid setting; the message names its path in the document."""


class SettingsReader:
    """Reads typed values from a JSON object.

    Each method raises InvalidSettingError, with the path of the value, if the value is invalid.
    """

    def __init__(self, data: Any, path: str) -> None:
        """Read from `data`, the object at `path`. Raises InvalidSettingError if `data` is not an object."""
        if not isinstance(data, dict):
            raise InvalidSettingError(f"setting {path or 'env'} is not an object")
        self.data: dict[str, Any] = data
        self.path = path

    def path_of(self, key: str) -> str:
        """Return the path of a key in the document."""
        return f"{self.path}.{key}" if self.path else key

    def section(self, key: str) -> SettingsReader:
        """Return a reader of the object at a key, or of an empty object if the key is missing."""
        return self.child(self.data.get(key) or {}, self.path_of(key))

    def child(self, data: Any, path: str) -> SettingsReader:
        """Return a reader of the same class for a part of the document."""
        return SettingsReader(data, path)

    def rows(self, key: str) -> list[SettingsReader]:
        """Return a reader for each object in the list at a key; the list is empty if the key is missing."""
        rows = self.data.get(key) or []
        if not isinstance(rows, list):
            raise InvalidSettingError(f"setting {self.path_of(key)} is not a list")
        return [self.child(row, f"{self.path_of(key)}[{index}]") for index, row in enumerate(rows)]

    def number(self, key: str, default: float | None = None) -> float:
        """Return a finite number. Without a default, the key is mandatory."""
        value = self.data.get(key)
        if value is None:
            if default is None:
                raise InvalidSettingError(f"setting {self.path_of(key)} is missing")
            return float(default)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise InvalidSettingError(f"setting {self.path_of(key)} is {value!r}, not a number")
        if not isfinite(value):  # 1e999, for example, is read as infinity
            raise InvalidSettingError(f"setting {self.path_of(key)} is {value!r}, not a finite number")
        return float(value)

    def integer(self, key: str, default: int) -> int:
        """Return an integer; the document may write it with a zero fraction, such as 3.0."""
        value = self.number(key, default)
        if not value.is_integer():
            raise InvalidSettingError(f"setting {self.path_of(key)} is {value!r}, not a whole number")
        return int(value)

    def boolean(self, key: str) -> bool:
        """Return a boolean, which is false if the key is missing."""
        value = self.data.get(key, False)
        if not isinstance(value, bool):
            raise InvalidSettingError(f"setting {self.path_of(key)} is {value!r}, not true or false")
        return value

    def text(self, key: str) -> str:
        """Return a non-empty string; the key is mandatory."""
        value = self.data.get(key)
        if not isinstance(value, str) or not value:
            raise InvalidSettingError(f"setting {self.path_of(key)} is {value!r}, not a text")
        return value

    def parsed(self, key: str, parse: Callable[[str], ValueT], expected: str, fallback: ValueT) -> ValueT:
        """Return the result of `parse` for a text; the error message names the form `expected`."""
        del fallback  # returned only by readers that continue after an error
        value = self.text(key)
        try:
            return parse(value)
        except ValueError:
            raise InvalidSettingError(f"setting {self.path_of(key)} is {value!r}, not {expected}") from None

    def names(self, key: str) -> tuple[str, ...]:
        """Return the names in a list; its entries are names, or objects with the key `name`."""
        rows = self.data.get(key) or []
        if not isinstance(rows, list):
            raise InvalidSettingError(f"setting {self.path_of(key)} is not a list")
        return tuple(str(row.get("name", "")) if isinstance(row, dict) else str(row) for row in rows)

    def choice(self, key: str, default: str, allowed: tuple[str, ...]) -> str:
        """Return one of the allowed texts."""
        value = self.data.get(key, default)
        if value not in allowed:
            raise InvalidSettingError(
                f"setting {self.path_of(key)} is {value!r}; it must be one of {', '.join(allowed)}"
            )
        return str(value)


def parse_settings(document: bytes) -> api.RouterSettings:
    """Return the settings in the JSON text of a PROVISION record; unknown keys are ignored.

    Raises:
        InvalidSettingError: The text is not JSON, or a setting is invalid.
    """
    try:
        reader = SettingsReader(json.loads(document), "")
    except (json.JSONDecodeError, UnicodeDecodeError, RecursionError):
        raise InvalidSettingError("settings are not valid JSON") from None
    return read_settings(reader)


def read_settings(reader: SettingsReader) -> api.RouterSettings:
    """Return the settings in a JSON object; unknown keys are ignored.

    Raises:
        InvalidSettingError: A setting is invalid.
    """
    domain, limits, rules, costs = (reader.section(key) for key in ("domain", "limits", "rules", "costs"))
    report = reader.section("report")
    report_fields = report.data.get("fields") or []
    if not isinstance(report_fields, list):
        raise InvalidSettingError("setting report.fields is not a list")
    return api.RouterSettings(
        classes=tuple(map(_read_class, reader.rows("request_classes"))),
        tenants=tuple(map(_read_tenant, reader.rows("tenants"))),
        rules=_read_rules(rules),
        limits=_read_limits(limits),
        mode=api.Mode(domain.choice("mode", "through", ("aside", "through"))),
        origin_kind=domain.integer("origin_kind", -1),
        origin_fall_multiple=domain.number("origin_fall_multiple", 0.0),
        zone=reader.integer("zone", 0),
        subscribe=reader.choice("membership_mode", "automatic", ("automatic", "subscribe")) == "subscribe",
        sized_weights=reader.data.get("weights") in ("nominal", "rough"),
        report_fields=tuple(map(str, report_fields)) if report.data.get("source") != "off" else (),
        routers=max(1, reader.integer("balancers", 1)),
        position=reader.integer("position", 0),
        over_share_worth=reader.number("over_share_worth", 1.0),
        probe_cost=costs.number("probe", 0.0),
        cross_zone_cost=costs.number("cross_zone", 0.0),
    )


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
    except ValueError as error:
        raise InvalidSettingError(str(error).replace("request_classes[]", row.path)) from None


def _read_tenant(row: SettingsReader) -> api.Tenant:
    return api.Tenant(row.number("share", 0.0), row.number("quota_per_s", 0.0))


def _read_rules(rules: SettingsReader) -> api.RoutingRules:
    defaults = api.RoutingRules()
    return api.RoutingRules(**{name: rules.number(name, getattr(defaults, name)) for name in RULE_NAMES})


def _read_limits(limits: SettingsReader) -> api.RouterLimits:
    return api.RouterLimits(
        max_attempts=limits.integer("max_attempts", MAX_ATTEMPTS_DEFAULT),
        allow_hedging=limits.boolean("second_copies"),
        allow_cancel=limits.boolean("cancelling"),
        allow_probes=limits.boolean("probes"),
        allow_peer_messages=limits.boolean("peers"),
        max_retry_after_ms=limits.number("max_retry_after", 0.0) if limits.boolean("retry_after") else 0.0,
    )

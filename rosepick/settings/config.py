"""The configuration: GW_CONFIG, read once into the values that the program uses."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any, TypeVar

from ..decisions import api
from . import reader as readers


class ConfigError(Exception):
    """The configuration cannot be used; the message is one plain line."""


@dataclass(frozen=True, slots=True)
class NameIndexes:
    """Positions of the settings' names, by which the wire tells them."""

    classes: Mapping[str, int]
    tenants: Mapping[str, int]
    zones: Mapping[str, int]
    kinds: Mapping[str, int]
    gone_classes: Mapping[str, int] = field(default_factory=dict)  # that vanished: their places stay theirs
    gone_tenants: Mapping[str, int] = field(default_factory=dict)

    def all_classes(self) -> dict[str, int]:
        """Classes that are or were."""
        return {**self.gone_classes, **self.classes}

    def all_tenants(self) -> dict[str, int]:
        """Tenants that are or were."""
        return {**self.gone_tenants, **self.tenants}


@dataclass(frozen=True, slots=True)
class Config:
    """All that one router is told at its start. Times are milliseconds."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    max_descriptors: int
    memory_mb: float
    settings: api.RouterSettings
    names: NameIndexes
    idle_timeout_ms: float
    connect_timeout_ms: float
    known: readers.SettingsReader
    ops: tuple[str, int] | None = None  # where operators ask
    listen_fd: int | None = None  # a listening socket that is inherited
    key_paths: frozenset[str] = (
        frozenset()
    )  # that the file holds, by their places; of classes those of every one


ADDRESS_FORMAT = "an address of the form host:port"


def parse_address(text: str) -> tuple[str, int]:
    """Host and port of `host:port`."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdigit() or not 0 <= int(port) <= 65535:
        raise ValueError(f"{text!r} is not {ADDRESS_FORMAT}")
    return host.strip("[]"), int(port)


def merge_reload(current: Config, new: Config) -> Config:
    """The configuration in force once a running router has taken a new file. A class or a tenant keeps its
    place, also one that has vanished: open requests go by places. What needs a restart stays as it was.
    """
    lacking = sorted(current.key_paths - new.key_paths)
    if lacking:  # guards against rules that fall back to defaults as a file was cut or a line of it lost
        raise ValueError(f"setting {lacking[0]} is missing; the file in force has it")
    classes, rows = _merge_indexes(
        current.names.all_classes(), current.settings.classes, new.names.classes, new.settings.classes
    )
    tenants, shares = _merge_indexes(
        current.names.all_tenants(), current.settings.tenants, new.names.tenants, new.settings.tenants
    )
    was = current.settings
    return replace(
        new,
        settings=replace(
            new.settings,
            classes=rows,
            tenants=shares,
            **{key: getattr(was, key) for key in _FIXED_SETTINGS},
        ),
        names=replace(
            current.names,
            classes=_present(classes, new.names.classes),
            tenants=_present(tenants, new.names.tenants),
            gone_classes=_removed(classes, new.names.classes),
            gone_tenants=_removed(tenants, new.names.tenants),
        ),
        **{key: getattr(current, key) for key in (*_START_ONLY_KEYS, "listen_fd", "known")},
    )


# What counts at the start only; of the settings and their names, with their places in the file.
_START_ONLY_KEYS = ("name", "listen", "seed", "ops")
_FIXED_SETTINGS = {
    "mode": "domain.mode",
    "origin_kind": "domain.origin_kind",
    "zone": "zone",
    "pushed": "membership_mode",
    "sized_weights": "weights",
    "report_fields": "report",
}
_FIXED_NAMES = {"zones": "failure_domains", "kinds": "machine_types"}


def settings_needing_restart(current: Config, new: Config) -> tuple[str, ...]:
    """What of a new configuration cannot be applied by a running router: it needs a restart."""
    parts = (
        (current, new, dict.fromkeys(_START_ONLY_KEYS, "")),
        (current.settings, new.settings, _FIXED_SETTINGS),
        (current.names, new.names, _FIXED_NAMES),
    )
    return tuple(
        place or key
        for was, now, keys in parts
        for key, place in keys.items()
        if getattr(was, key) != getattr(now, key)
    )


T = TypeVar("T")


def _merge_indexes(
    indexes: Mapping[str, int], rows: Sequence[T], now: Mapping[str, int], new_rows: Sequence[T]
) -> tuple[dict[str, int], tuple[T, ...]]:
    """Every name with its place, old places first, and the row at each place."""
    every = {**indexes}
    for name in now:
        every.setdefault(name, len(every))
    found = dict(enumerate(rows)) | {every[name]: new_rows[place] for name, place in now.items()}
    return every, tuple(found[place] for place in range(len(every)))


def _present(indexes: Mapping[str, int], present: Mapping[str, int]) -> dict[str, int]:
    return {name: place for name, place in indexes.items() if name in present}


def _removed(indexes: Mapping[str, int], present: Mapping[str, int]) -> dict[str, int]:
    return {name: place for name, place in indexes.items() if name not in present}


def load(environment: Mapping[str, str]) -> Config:
    """The configuration that GW_CONFIG names."""
    path = environment.get("GW_CONFIG")
    if not path:
        raise ConfigError("GW_CONFIG is not set; it must name the configuration file")
    try:
        return apply_environment(read(parse_json(Path(path).read_bytes())), environment)
    except OSError as problem:
        raise ConfigError(f"{path}: {problem.strerror or problem}") from None
    except ValueError as problem:
        raise ConfigError(f"{path}: {problem}") from None


def parse_json(data: bytes) -> object:
    """The JSON of a file; ValueError names the place where it ends being that."""
    try:
        return json.loads(data)
    except json.JSONDecodeError as problem:
        where = f"line {problem.lineno} column {problem.colno}"
        raise ValueError(f"not valid JSON: {problem.msg}: {where}") from None
    except UnicodeDecodeError as problem:
        raise ValueError(f"not valid JSON: byte {problem.start} is no UTF-8") from None
    except RecursionError:
        raise ValueError("not valid JSON: too deep") from None


def apply_environment(config: Config, environment: Mapping[str, str]) -> Config:
    """What the environment tells beside the file, which comes first."""
    ops, descriptor = environment.get("GW_OPS"), environment.get("GW_LISTEN_FD")
    if ops and config.ops is None:
        config = replace(config, ops=parse_address(ops))
    if not descriptor:
        return config
    if not descriptor.isdecimal():
        raise ValueError(f"GW_LISTEN_FD is {descriptor!r}, not the number of a descriptor")
    return replace(config, listen_fd=int(descriptor))


def read(
    document: object, reader: Callable[[Any, str], readers.SettingsReader] = readers.SettingsReader
) -> Config:
    """The configuration from JSON that was read; ValueError names what is wrong."""
    if not isinstance(document, dict):
        raise ValueError("the document is not an object")
    top = reader(document, "")
    told = reader(top.data.get("settings"), "settings")
    limits = told.section("limits")
    return Config(
        name=top.text("name"),
        listen=top.parsed("listen", parse_address, ADDRESS_FORMAT, ("", 0)),
        discovery=top.parsed("discovery", parse_address, ADDRESS_FORMAT, ("", 0)),
        seed=top.parsed("seed", lambda text: int(text, 16), "a hexadecimal number", 0),
        max_descriptors=top.section("limits").integer("sockets", 1024),
        memory_mb=top.section("limits").number("memory_mb", 192.0),
        settings=_with_polled_membership(readers.read_settings(told)),
        names=NameIndexes(*(_read_indexes(told, key) for key in _NAME_LISTS)),
        idle_timeout_ms=limits.number("conn_idle", 15_000.0),
        connect_timeout_ms=limits.number("dial_timeout", 250.0),
        known=top.section("known"),
        key_paths=frozenset(_key_paths(document, "")),
        ops=None
        if top.data.get("ops") is None
        else top.parsed("ops", parse_address, ADDRESS_FORMAT, ("", 0)),
    )


def _with_polled_membership(settings: api.RouterSettings) -> api.RouterSettings:
    """On sockets nothing comes by itself: guards against a router that waits for a list which is pushed to an
    agent, and that it has to ask that agent for.
    """
    return replace(settings, subscribe=True, pushed=not settings.subscribe)


_NAME_LISTS = ("request_classes", "tenants", "failure_domains", "machine_types")


def _read_indexes(reader: readers.SettingsReader, key: str) -> dict[str, int]:
    names = reader.names(key)
    twice = next((name for place, name in enumerate(names) if name in names[:place]), None)
    if twice is not None:
        raise ValueError(f"setting {reader.path_of(key)} names {twice!r} twice")
    return {name: place for place, name in enumerate(names)}


def _key_paths(node: object, path: str) -> Iterator[str]:
    """The places of all keys, but what only some classes have; not the list of next hops."""
    if not isinstance(node, dict):
        return
    for key, value in node.items():
        if value is None:
            continue  # as good as missing: it would read as the default
        place = f"{path}.{key}" if path else key
        yield place
        if place == _CLASSES_PATH and isinstance(value, list):
            rows = [row for row in value if isinstance(row, dict)]
            told = (name for name in _CLASS_KEYS if all(row.get(name) is not None for row in rows))
            yield from (f"{place}[].{name}" for name in told)
        elif place != "known":
            yield from _key_paths(value, place)


_CLASSES_PATH = "settings.request_classes"
_CLASS_KEYS = ("name", "deadline", "objective", "effect", "worth")

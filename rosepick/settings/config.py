"""Reads the configuration file that GW_CONFIG names, and merges a new version of it at a reload."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any, TypeVar

from ..decisions import api
from .reader import InvalidSettingError, SettingsReader, read_settings

ADDRESS_FORMAT = "an address of the form host:port"
MAX_PORT = 65_535

DEFAULT_MAX_DESCRIPTORS = 1024
DEFAULT_MEMORY_MB = 192.0
# A tracked key takes some 330 bytes, so that all of them take a twenty-fifth of the memory.
TRACKED_KEYS_PER_MB = 128
MIN_TRACKED_KEYS = 1024
DEFAULT_IDLE_TIMEOUT_MS = 15_000.0
DEFAULT_CONNECT_TIMEOUT_MS = 250.0

_INDEXED_LISTS = ("request_classes", "tenants", "failure_domains", "machine_types")
_CLASSES_PATH = "settings.request_classes"
_CLASS_KEYS = ("name", "deadline", "objective", "effect", "worth")

# Fields of `Config` that a reload does not change.
_START_ONLY_FIELDS = ("name", "listen", "seed", "ops")
# Fields of `RouterSettings` that a reload does not change, with their paths in the file.
_START_ONLY_SETTINGS = {
    "mode": "domain.mode",
    "origin_kind": "domain.origin_kind",
    "zone": "zone",
    "pushed": "membership_mode",
    "sized_weights": "weights",
    "report_fields": "report",
}
# Fields of `NameIndexes` that a reload does not change, with their paths in the file.
_START_ONLY_NAMES = {"zones": "failure_domains", "kinds": "machine_types"}

RowT = TypeVar("RowT")


class ConfigError(Exception):
    """Signals an invalid configuration; the message names the file, the setting and the error on one line."""


@dataclass(frozen=True, slots=True)
class NameIndexes:
    """Maps each name in the lists of the settings to its index, which events and the wire use instead."""

    classes: Mapping[str, int]
    tenants: Mapping[str, int]
    zones: Mapping[str, int]
    kinds: Mapping[str, int]
    # Names that a reload removed keep their indexes, as no index is reused.
    removed_classes: Mapping[str, int] = field(default_factory=dict)
    removed_tenants: Mapping[str, int] = field(default_factory=dict)

    def all_classes(self) -> dict[str, int]:
        """Return the index of each class, present or removed."""
        return {**self.removed_classes, **self.classes}

    def all_tenants(self) -> dict[str, int]:
        """Return the index of each tenant, present or removed."""
        return {**self.removed_tenants, **self.tenants}


@dataclass(frozen=True, slots=True)
class Config:
    """Holds the configuration of one router. Addresses are pairs of host and port."""

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
    known: SettingsReader  # the endpoint list at the start
    ops: tuple[str, int] | None = None  # address of the admin listener
    listen_fd: int | None = None  # descriptor of an inherited listening socket
    # Paths of the keys in the file; of request classes, only the keys that every class has.
    key_paths: frozenset[str] = frozenset()


def parse_address(text: str) -> tuple[str, int]:
    """Return the host and the port of `host:port`. Raises ValueError if the text has another form."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdigit() or not 0 <= int(port) <= MAX_PORT:
        raise ValueError(f"{text!r} is not {ADDRESS_FORMAT}")
    return host.strip("[]"), int(port)


def merge_reload(current: Config, new: Config) -> Config:
    """Return the configuration that a running router uses after it has read a new file.

    Classes and tenants keep their indexes, including removed ones, because pending requests refer to indexes.
    Settings that need a restart keep their current values.

    Raises:
        InvalidSettingError: A key of the current file is missing in the new one.
    """
    missing_keys = sorted(current.key_paths - new.key_paths)
    if missing_keys:  # guards against a truncated file or a lost line, which would reset rules to defaults
        raise InvalidSettingError(f"setting {missing_keys[0]} is missing; the file in force has it")
    class_indexes, classes = _merge_indexes(
        current.names.all_classes(), current.settings.classes, new.names.classes, new.settings.classes
    )
    tenant_indexes, tenants = _merge_indexes(
        current.names.all_tenants(), current.settings.tenants, new.names.tenants, new.settings.tenants
    )
    return replace(
        new,
        settings=replace(
            new.settings,
            classes=classes,
            tenants=tenants,
            **{name: getattr(current.settings, name) for name in _START_ONLY_SETTINGS},
        ),
        names=replace(
            current.names,
            classes=_present(class_indexes, new.names.classes),
            tenants=_present(tenant_indexes, new.names.tenants),
            removed_classes=_removed(class_indexes, new.names.classes),
            removed_tenants=_removed(tenant_indexes, new.names.tenants),
        ),
        **{name: getattr(current, name) for name in (*_START_ONLY_FIELDS, "listen_fd", "known")},
    )


def settings_needing_restart(current: Config, new: Config) -> tuple[str, ...]:
    """Return the paths of changed settings that take effect only after a restart."""
    parts = (
        (current, new, {name: name for name in _START_ONLY_FIELDS}),
        (current.settings, new.settings, _START_ONLY_SETTINGS),
        (current.names, new.names, _START_ONLY_NAMES),
    )
    return tuple(
        path
        for old_part, new_part, paths in parts
        for name, path in paths.items()
        if getattr(old_part, name) != getattr(new_part, name)
    )


def _merge_indexes(
    old_indexes: Mapping[str, int],
    old_rows: Sequence[RowT],
    new_indexes: Mapping[str, int],
    new_rows: Sequence[RowT],
) -> tuple[dict[str, int], tuple[RowT, ...]]:
    """Return an index for each old and new name, and the row at each index; old indexes do not change."""
    indexes = {**old_indexes}
    for name in new_indexes:
        indexes.setdefault(name, len(indexes))
    rows = dict(enumerate(old_rows))
    for name, index in new_indexes.items():
        rows[indexes[name]] = new_rows[index]
    return indexes, tuple(rows[index] for index in range(len(indexes)))


def _present(indexes: Mapping[str, int], present: Mapping[str, int]) -> dict[str, int]:
    return {name: index for name, index in indexes.items() if name in present}


def _removed(indexes: Mapping[str, int], present: Mapping[str, int]) -> dict[str, int]:
    return {name: index for name, index in indexes.items() if name not in present}


def load(environment: Mapping[str, str]) -> Config:
    """Return the configuration in the file that GW_CONFIG names.

    Raises:
        ConfigError: GW_CONFIG is not set, or the file cannot be read or used.
    """
    path = environment.get("GW_CONFIG")
    if not path:
        raise ConfigError("GW_CONFIG is not set; it must name the configuration file")
    try:
        return apply_environment(read(parse_json(Path(path).read_bytes())), environment)
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror or error}") from None
    except ValueError as error:
        raise ConfigError(f"{path}: {error}") from None


def parse_json(data: bytes) -> object:
    """Return the content of a JSON file.

    Raises:
        InvalidSettingError: It is not valid JSON; the message names the line and column, or the byte.
    """
    try:
        return json.loads(data)
    except json.JSONDecodeError as error:
        position = f"line {error.lineno} column {error.colno}"
        raise InvalidSettingError(f"not valid JSON: {error.msg}: {position}") from None
    except UnicodeDecodeError as error:
        raise InvalidSettingError(f"not valid JSON: byte {error.start} is not UTF-8") from None
    except RecursionError:
        raise InvalidSettingError("not valid JSON: nested too deeply") from None


def apply_environment(config: Config, environment: Mapping[str, str]) -> Config:
    """Return the configuration with the values of GW_OPS and GW_LISTEN_FD; the file overrides GW_OPS.

    Raises:
        ValueError: GW_OPS is not an address, or GW_LISTEN_FD not a descriptor.
    """
    admin_address = environment.get("GW_OPS")
    if admin_address and config.ops is None:
        config = replace(config, ops=parse_address(admin_address))
    descriptor = environment.get("GW_LISTEN_FD")
    if not descriptor:
        return config
    if not descriptor.isdecimal():
        raise InvalidSettingError(f"GW_LISTEN_FD is {descriptor!r}, not the number of a descriptor")
    return replace(config, listen_fd=int(descriptor))


def read(document: object, reader: Callable[[Any, str], SettingsReader] = SettingsReader) -> Config:
    """Return the configuration in a JSON document.

    Raises:
        ValueError: A setting is missing or cannot be used; the message names it.
    """
    if not isinstance(document, dict):
        raise InvalidSettingError("the document is not an object")
    top = reader(document, "")
    settings = reader(top.data.get("settings"), "settings")
    limits = settings.section("limits")
    config = Config(
        name=top.text("name"),
        listen=top.parsed("listen", parse_address, ADDRESS_FORMAT, ("", 0)),
        discovery=top.parsed("discovery", parse_address, ADDRESS_FORMAT, ("", 0)),
        seed=top.parsed("seed", lambda text: int(text, 16), "a hexadecimal number", 0),
        max_descriptors=top.section("limits").integer("sockets", DEFAULT_MAX_DESCRIPTORS),
        memory_mb=top.section("limits").number("memory_mb", DEFAULT_MEMORY_MB),
        settings=_with_polled_membership(read_settings(settings)),
        names=NameIndexes(*(_read_indexes(settings, key) for key in _INDEXED_LISTS)),
        idle_timeout_ms=limits.number("conn_idle", DEFAULT_IDLE_TIMEOUT_MS),
        connect_timeout_ms=limits.number("dial_timeout", DEFAULT_CONNECT_TIMEOUT_MS),
        known=top.section("known"),
        key_paths=frozenset(_key_paths(document, "")),
        ops=_read_admin_address(top),
    )
    return replace(config, settings=_with_tracked_keys(config.settings, config.memory_mb))


def _read_admin_address(top: SettingsReader) -> tuple[str, int] | None:
    if top.data.get("ops") is None:
        return None
    return top.parsed("ops", parse_address, ADDRESS_FORMAT, ("", 0))


def _with_polled_membership(settings: api.RouterSettings) -> api.RouterSettings:
    """Return settings with which the router polls for endpoint lists.

    The discovery service does not push lists to routers. It pushes them to an agent, which the router polls.
    """
    return replace(settings, subscribe=True, pushed=not settings.subscribe)


def _with_tracked_keys(settings: api.RouterSettings, memory_mb: float) -> api.RouterSettings:
    """Return settings with which the tracked keys take no more than their part of the memory."""
    fitting = max(MIN_TRACKED_KEYS, int(memory_mb * TRACKED_KEYS_PER_MB))
    return replace(settings, max_tracked_keys=min(settings.max_tracked_keys, fitting))


def _read_indexes(reader: SettingsReader, key: str) -> dict[str, int]:
    names = reader.names(key)
    duplicate = next((name for index, name in enumerate(names) if name in names[:index]), None)
    if duplicate is not None:
        raise InvalidSettingError(f"setting {reader.path_of(key)} names {duplicate!r} twice")
    return {name: index for index, name in enumerate(names)}


def _key_paths(node: object, path: str) -> Iterator[str]:
    """Yield the paths of all keys, except in the endpoint list and keys that only some classes have."""
    if not isinstance(node, dict):
        return
    for key, value in node.items():
        if value is None:
            continue  # null selects the default, like a missing key
        key_path = f"{path}.{key}" if path else key
        yield key_path
        if key_path == _CLASSES_PATH and isinstance(value, list):
            rows = [row for row in value if isinstance(row, dict)]
            for name in _CLASS_KEYS:
                if all(row.get(name) is not None for row in rows):
                    yield f"{key_path}[].{name}"
        elif key_path != "known":
            yield from _key_paths(value, key_path)

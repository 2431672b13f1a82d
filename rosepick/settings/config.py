"""The configuration: GW_CONFIG, read once into the values that the program uses."""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from ..decisions import api
from . import reader as readers


class ConfigError(Exception):
    """The configuration cannot be used; the message is one plain line."""


@dataclass(frozen=True, slots=True)
class Names:
    """Positions of the settings' names, by which the wire tells them."""

    classes: Mapping[str, int]
    tenants: Mapping[str, int]
    zones: Mapping[str, int]
    kinds: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class Config:
    """All that one router is told at its start. Times are milliseconds."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    sockets: int
    memory_mb: float
    settings: api.Settings
    names: Names
    conn_idle: float
    dial_timeout: float
    known: readers.Reader
    ops: tuple[str, int] | None = None  # where operators ask
    listen_fd: int | None = None  # a listening socket that is inherited


ADDRESS = "an address of the form host:port"


def address(text: str) -> tuple[str, int]:
    """Host and port of `host:port`."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdigit() or not 0 <= int(port) <= 65535:
        raise ValueError(f"{text!r} is not {ADDRESS}")
    return host.strip("[]"), int(port)


def changed(before: Config, after: Config) -> tuple[str, ...]:
    """What of a new configuration cannot be applied by a running router: it needs a restart."""
    kept = ("name", "listen", "seed", "memory_mb", "settings", "names", "conn_idle", "dial_timeout")
    return tuple(key for key in kept if getattr(before, key) != getattr(after, key))


def load(environment: Mapping[str, str]) -> Config:
    """The configuration that GW_CONFIG names."""
    path = environment.get("GW_CONFIG")
    if not path:
        raise ConfigError("GW_CONFIG is not set; it must name the configuration file")
    try:
        return around(read(json.loads(Path(path).read_bytes())), environment)
    except OSError as problem:
        raise ConfigError(f"{path}: {problem.strerror or problem}") from None
    except (UnicodeDecodeError, json.JSONDecodeError, RecursionError):
        raise ConfigError(f"{path}: not valid JSON") from None
    except ValueError as problem:
        raise ConfigError(f"{path}: {problem}") from None


def around(told: Config, environment: Mapping[str, str]) -> Config:
    """What the environment tells beside the file, which comes first."""
    ops, descriptor = environment.get("GW_OPS"), environment.get("GW_LISTEN_FD")
    if ops and told.ops is None:
        told = replace(told, ops=address(ops))
    if not descriptor:
        return told
    if not descriptor.isdecimal():
        raise ValueError(f"GW_LISTEN_FD is {descriptor!r}, not the number of a descriptor")
    return replace(told, listen_fd=int(descriptor))


def read(document: object, reader: Callable[[Any, str], readers.Reader] = readers.Reader) -> Config:
    """The configuration from JSON that was read; ValueError names what is wrong."""
    if not isinstance(document, dict):
        raise ValueError("the document is not an object")
    top = reader(document, "")
    told = reader(top.data.get("settings"), "settings")
    limits = told.part("limits")
    return Config(
        name=top.text("name"),
        listen=top.parsed("listen", address, ADDRESS, ("", 0)),
        discovery=top.parsed("discovery", address, ADDRESS, ("", 0)),
        seed=top.parsed("seed", lambda text: int(text, 16), "a hexadecimal number", 0),
        sockets=top.part("limits").whole("sockets", 1024),
        memory_mb=top.part("limits").number("memory_mb", 192.0),
        settings=readers.settings_of(told),
        names=Names(*(_places(told, key) for key in _LISTS)),
        conn_idle=limits.number("conn_idle", 15_000.0),
        dial_timeout=limits.number("dial_timeout", 250.0),
        known=top.part("known"),
        ops=None if top.data.get("ops") is None else top.parsed("ops", address, ADDRESS, ("", 0)),
    )


_LISTS = ("request_classes", "tenants", "failure_domains", "machine_types")


def _places(told: readers.Reader, key: str) -> dict[str, int]:
    return {name: place for place, name in enumerate(told.names(key))}

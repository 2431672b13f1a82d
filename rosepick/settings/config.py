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
class Names:
    """Positions of the settings' names, by which the wire tells them."""

    classes: Mapping[str, int]
    tenants: Mapping[str, int]
    zones: Mapping[str, int]
    kinds: Mapping[str, int]
    gone_classes: Mapping[str, int] = field(default_factory=dict)  # that vanished: their places stay theirs
    gone_tenants: Mapping[str, int] = field(default_factory=dict)

    def every_class(self) -> dict[str, int]:
        """Classes that are or were."""
        return {**self.gone_classes, **self.classes}

    def every_tenant(self) -> dict[str, int]:
        """Tenants that are or were."""
        return {**self.gone_tenants, **self.tenants}


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
    keys: frozenset[str] = frozenset()  # that the file holds, by their places; of classes those of every one


ADDRESS = "an address of the form host:port"


def address(text: str) -> tuple[str, int]:
    """Host and port of `host:port`."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdigit() or not 0 <= int(port) <= 65535:
        raise ValueError(f"{text!r} is not {ADDRESS}")
    return host.strip("[]"), int(port)


def renewed(before: Config, told: Config) -> Config:
    """The configuration in force once a running router has taken a new file. A class or a tenant keeps its
    place, also one that has vanished: open requests go by places. What needs a restart stays as it was.
    """
    lacking = sorted(before.keys - told.keys)
    if lacking:  # guards against rules that fall back to defaults as a file was cut or a line of it lost
        raise ValueError(f"setting {lacking[0]} is missing; the file in force has it")
    classes, rows = _placed(
        before.names.every_class(), before.settings.classes, told.names.classes, told.settings.classes
    )
    tenants, shares = _placed(
        before.names.every_tenant(), before.settings.tenants, told.names.tenants, told.settings.tenants
    )
    was = before.settings
    return replace(
        told,
        settings=replace(
            told.settings,
            classes=rows,
            tenants=shares,
            **{key: getattr(was, key) for key in _FIXED},
        ),
        names=replace(
            before.names,
            classes=_now(classes, told.names.classes),
            tenants=_now(tenants, told.names.tenants),
            gone_classes=_gone(classes, told.names.classes),
            gone_tenants=_gone(tenants, told.names.tenants),
        ),
        **{key: getattr(before, key) for key in (*_AT_START, "listen_fd", "known")},
    )


# What counts at the start only; of the settings and their names, with their places in the file.
_AT_START = ("name", "listen", "seed", "ops")
_FIXED = {
    "mode": "domain.mode",
    "origin_kind": "domain.origin_kind",
    "zone": "zone",
    "pushed": "membership_mode",
    "sized_weights": "weights",
    "report_fields": "report",
}
_FIXED_NAMES = {"zones": "failure_domains", "kinds": "machine_types"}


def changed(before: Config, told: Config) -> tuple[str, ...]:
    """What of a new configuration cannot be applied by a running router: it needs a restart."""
    parts = (
        (before, told, dict.fromkeys(_AT_START, "")),
        (before.settings, told.settings, _FIXED),
        (before.names, told.names, _FIXED_NAMES),
    )
    return tuple(
        place or key
        for was, now, keys in parts
        for key, place in keys.items()
        if getattr(was, key) != getattr(now, key)
    )


T = TypeVar("T")


def _placed(
    places: Mapping[str, int], rows: Sequence[T], now: Mapping[str, int], told: Sequence[T]
) -> tuple[dict[str, int], tuple[T, ...]]:
    """Every name with its place, old places first, and the row at each place."""
    every = {**places}
    for name in now:
        every.setdefault(name, len(every))
    found = dict(enumerate(rows)) | {every[name]: told[place] for name, place in now.items()}
    return every, tuple(found[place] for place in range(len(every)))


def _now(every: Mapping[str, int], told: Mapping[str, int]) -> dict[str, int]:
    return {name: place for name, place in every.items() if name in told}


def _gone(every: Mapping[str, int], told: Mapping[str, int]) -> dict[str, int]:
    return {name: place for name, place in every.items() if name not in told}


def load(environment: Mapping[str, str]) -> Config:
    """The configuration that GW_CONFIG names."""
    path = environment.get("GW_CONFIG")
    if not path:
        raise ConfigError("GW_CONFIG is not set; it must name the configuration file")
    try:
        return around(read(parse(Path(path).read_bytes())), environment)
    except OSError as problem:
        raise ConfigError(f"{path}: {problem.strerror or problem}") from None
    except ValueError as problem:
        raise ConfigError(f"{path}: {problem}") from None


def parse(data: bytes) -> object:
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
        settings=_heard(readers.settings_of(told)),
        names=Names(*(_places(told, key) for key in _LISTS)),
        conn_idle=limits.number("conn_idle", 15_000.0),
        dial_timeout=limits.number("dial_timeout", 250.0),
        known=top.part("known"),
        keys=frozenset(_keys(document, "")),
        ops=None if top.data.get("ops") is None else top.parsed("ops", address, ADDRESS, ("", 0)),
    )


def _heard(settings: api.Settings) -> api.Settings:
    """On sockets nothing comes by itself: guards against a router that waits for a list which is pushed to an
    agent, and that it has to ask that agent for.
    """
    return replace(settings, subscribe=True, pushed=not settings.subscribe)


_LISTS = ("request_classes", "tenants", "failure_domains", "machine_types")


def _places(told: readers.Reader, key: str) -> dict[str, int]:
    names = told.names(key)
    twice = next((name for place, name in enumerate(names) if name in names[:place]), None)
    if twice is not None:
        raise ValueError(f"setting {told.name(key)} names {twice!r} twice")
    return {name: place for place, name in enumerate(names)}


def _keys(found: object, where: str) -> Iterator[str]:
    """The places of all keys, but what only some classes have; not the list of next hops."""
    if not isinstance(found, dict):
        return
    for key, value in found.items():
        if value is None:
            continue  # as good as missing: it would read as the default
        place = f"{where}.{key}" if where else key
        yield place
        if place == _CLASSES and isinstance(value, list):
            rows = [row for row in value if isinstance(row, dict)]
            told = (name for name in _OF_CLASS if all(row.get(name) is not None for row in rows))
            yield from (f"{place}[].{name}" for name in told)
        elif place != "known":
            yield from _keys(value, place)


_CLASSES = "settings.request_classes"
_OF_CLASS = ("name", "deadline", "objective", "effect", "worth")

"""`rosepick check`: every fault of the operators' file and of GW_CONFIG at once, and the values in force.

Both files are read by the code that `serve` reads them by; what is wrong is noted and the reading goes on.
No socket is opened.
"""

from __future__ import annotations

import json
import os
import re
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TypeVar

from ..core.transport_map import TransportMap
from ..settings import config, operator_file
from ..settings.operator_file import OperatorFile
from ..settings.reader import Reader

PLACE = "GW_CONFIG"
ROUNDS = 100  # a range that is broken shows only once what came before it is put right
PORTS = ("tls_listen", "multiget_listen")
T = TypeVar("T")
_SETTING = re.compile(r"setting (\S+) is (.*)", re.S)
_INDEX = re.compile(r"\[\d+\]")


@dataclass(slots=True)
class Notes:
    """What a reading of GW_CONFIG has found."""

    faults: dict[str, str] = field(default_factory=dict)  # by the setting's name
    values: dict[str, tuple[object, str]] = field(default_factory=dict)  # and its source

    def fault(self, problem: ValueError) -> None:
        """Note what a reading raised, under the name that it states."""
        found = _SETTING.fullmatch(str(problem))
        name, text = (found[1], found[2]) if found else ("", str(problem))
        self.faults.setdefault(name, "missing" if text in ("missing", "None, not a text") else text)

    def broken(self, name: str) -> bool:
        """Whether a setting has a fault; ranges are told without the settings' own name and the entry's."""
        plain = _INDEX.sub("[]", name).removeprefix("settings.")
        return name in self.faults or plain in self.faults


class Lenient(Reader):
    """A reader that notes what is wrong and goes on with a value that will do."""

    def __init__(self, data: Any, where: str, notes: Notes) -> None:
        self.notes = notes
        try:
            super().__init__(data, where)
        except ValueError as problem:
            notes.fault(problem)
            super().__init__({}, where)

    def sub(self, data: Any, where: str) -> Reader:
        return Lenient(data, where, self.notes)

    def rows(self, key: str) -> list[Reader]:
        none: list[Reader] = []
        rows = self._read(key, lambda: Reader.rows(self, key), none, quiet=True)
        return [Lenient(row.data, f"{self.name(key)}[{n}]", self.notes) for n, row in enumerate(rows)]

    def number(self, key: str, default: float | None = None) -> float:
        stand_in = 1.0 if default is None else float(default)
        return self._read(key, lambda: Reader.number(self, key, default), stand_in)

    def whole(self, key: str, default: int) -> int:
        return self._read(key, lambda: Reader.whole(self, key, default), default)

    def flag(self, key: str) -> bool:
        return self._read(key, lambda: Reader.flag(self, key), False)

    def text(self, key: str) -> str:
        return self._read(key, lambda: Reader.text(self, key), "none")

    def names(self, key: str) -> tuple[str, ...]:
        return self._read(key, lambda: Reader.names(self, key), ())

    def choice(self, key: str, default: str, allowed: tuple[str, ...]) -> str:
        return self._read(key, lambda: Reader.choice(self, key, default, allowed), default)

    def parsed(self, key: str, parse: Callable[[str], T], what: str, stand_in: T) -> T:
        return self._read(key, lambda: Reader.parsed(self, key, parse, what, stand_in), stand_in)

    def _read(self, key: str, read: Callable[[], T], stand_in: T, quiet: bool = False) -> T:
        name = self.name(key)
        if self.notes.broken(name):
            return stand_in
        try:
            value = read()
        except ValueError as problem:
            self.notes.fault(problem)
            return stand_in
        if not quiet:
            stated = self.data.get(key) is not None
            self.notes.values[name] = (self.data[key] if stated else value, PLACE if stated else "default")
        return value


def check(path: Path | None, environment: Mapping[str, str]) -> tuple[list[str], list[str]]:
    """The faults, and the values in force with their sources."""
    operators = operator_file.defaults() if path is None else operator_file.look(path)
    notes = Notes()
    try:
        document = _document(environment)
    except ValueError as problem:
        unusable = [f"{PLACE}: {problem}"]
    else:
        unusable = []
        _read(document, notes)
    faults = [*map(str, operators.faults), *_around(operators, notes), *unusable]
    faults += [f"{f'{PLACE} {name}'.strip()}: {text}" for name, text in notes.faults.items()]
    return faults, [*operators.in_force(), *_in_force(notes)]


def _document(environment: Mapping[str, str]) -> Any:
    """The JSON that GW_CONFIG names; ValueError if there is none."""
    path = environment.get(PLACE)
    if not path:
        raise ValueError("not set")
    try:
        return config.parse(Path(path).read_bytes())
    except OSError as problem:
        raise ValueError(f"{path}: {problem.strerror or problem}") from None
    except ValueError as problem:
        raise ValueError(f"{path}: {problem}") from None


def _read(document: Any, notes: Notes) -> None:
    """Read as `serve` does, over and over, until nothing more is found wrong."""
    for _ in range(ROUNDS):
        before = len(notes.faults)
        notes.values.clear()
        try:
            told = config.read(document, lambda data, where: Lenient(data, where, notes))
        except ValueError as problem:
            notes.fault(problem)
            if len(notes.faults) == before:
                return
            continue
        if isinstance(document.get("limits"), dict) and document["limits"].get("memory_mb") is None:
            notes.faults.setdefault("limits.memory_mb", "missing")
        _known(told, notes)
        return


def _known(told: config.Config, notes: Notes) -> None:
    """The list of next hops, entry by entry."""
    for number, row in enumerate(told.known.rows("targets")):
        one = {**told.known.data, "targets": [row.data]}
        try:
            TransportMap(told.names, 0.0).take(Reader(one, "known"), cached=True)
        except ValueError as problem:
            notes.fault(ValueError(str(problem).replace("known.targets[0]", f"known.targets[{number}]")))


def _in_force(notes: Notes) -> Iterator[str]:
    for name, (value, source) in notes.values.items():
        if not notes.broken(name):
            yield f"{name} {_shown(value)} ({source})"


def _shown(value: object) -> str:
    if isinstance(value, list):
        names = [row.get("name", "") if isinstance(row, dict) else row for row in value]
        return ", ".join(map(str, names))
    return value if isinstance(value, str) else json.dumps(value)


# ---------------------------------------------------------- what a file by itself does not show to be wrong


def _around(operators: OperatorFile, notes: Notes) -> Iterator[str]:
    """Faults between the operators' file and what is around it."""
    yield from _folder(operators)
    yield from _certificate(operators)
    yield from _ports(operators, notes)


def _folder(operators: OperatorFile) -> Iterator[str]:
    folder = operators.text("capture_dir")
    if folder is not None and not (os.path.isdir(folder) and os.access(folder, os.W_OK | os.X_OK)):
        yield str(operators.fault("capture_dir", f'capture_dir "{folder}" is no folder that can be written'))


def _certificate(operators: OperatorFile) -> Iterator[str]:
    """Files of TLS that cannot be read, cannot be used, or do not go together."""
    if operators.text("tls_cert") is None or operators.text("tls_key") is None:
        return  # half a pair has been named already
    if operators.text("tls_client_cert") != "off" and operators.text("tls_client_ca") is None:
        return
    from ..net.tls import TlsError, context_of

    try:
        context_of(operators)
    except TlsError as problem:
        yield str(operators.fault(problem.name, str(problem)))


def _ports(operators: OperatorFile, notes: Notes) -> Iterator[str]:
    """Ports on the one host that collide."""
    listen, _ = notes.values.get("listen", ("", ""))
    taken = {} if notes.broken("listen") else {str(listen).rpartition(":")[2]: f"{PLACE} listen"}
    for name in PORTS:
        port = str(operators.number(name) or "")  # 0 is any that is free
        if port and port in taken:
            yield str(operators.fault(name, f"{name} {port} is the port of {taken[port]} already"))
        elif port:
            taken[port] = name

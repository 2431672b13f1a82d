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

from ..core.endpoint_directory import EndpointDirectory
from ..settings import config, operator_file
from ..settings.operator_file import OperatorFile
from ..settings.reader import SettingsReader

CONFIG_VARIABLE = "GW_CONFIG"
MAX_READS = 100  # a range that is broken shows only once what came before it is put right
PORTS = ("tls_listen", "multiget_listen")
T = TypeVar("T")
_SETTING = re.compile(r"setting (\S+) is (.*)", re.S)
_INDEX = re.compile(r"\[\d+\]")


@dataclass(slots=True)
class CheckNotes:
    """What a reading of GW_CONFIG has found."""

    faults: dict[str, str] = field(default_factory=dict)  # by the setting's name
    values: dict[str, tuple[object, str]] = field(default_factory=dict)  # and its source

    def add_fault(self, problem: ValueError) -> None:
        """Note what a reading raised, under the name that it states."""
        found = _SETTING.fullmatch(str(problem))
        name, text = (found[1], found[2]) if found else ("", str(problem))
        self.faults.setdefault(name, "missing" if text in ("missing", "None, not a text") else text)

    def has_fault(self, name: str) -> bool:
        """Whether a setting has a fault; ranges are told without the settings' own name and the entry's."""
        plain = _INDEX.sub("[]", name).removeprefix("settings.")
        return name in self.faults or plain in self.faults


class LenientReader(SettingsReader):
    """A reader that notes what is wrong and goes on with a value that will do."""

    def __init__(self, data: Any, path: str, notes: CheckNotes) -> None:
        self.notes = notes
        try:
            super().__init__(data, path)
        except ValueError as problem:
            notes.add_fault(problem)
            super().__init__({}, path)

    def child(self, data: Any, path: str) -> SettingsReader:
        return LenientReader(data, path, self.notes)

    def rows(self, key: str) -> list[SettingsReader]:
        none: list[SettingsReader] = []
        rows = self._read_or_fallback(key, lambda: SettingsReader.rows(self, key), none, quiet=True)
        return [
            LenientReader(row.data, f"{self.path_of(key)}[{n}]", self.notes) for n, row in enumerate(rows)
        ]

    def number(self, key: str, default: float | None = None) -> float:
        stand_in = 1.0 if default is None else float(default)
        return self._read_or_fallback(key, lambda: SettingsReader.number(self, key, default), stand_in)

    def integer(self, key: str, default: int) -> int:
        return self._read_or_fallback(key, lambda: SettingsReader.integer(self, key, default), default)

    def boolean(self, key: str) -> bool:
        return self._read_or_fallback(key, lambda: SettingsReader.boolean(self, key), False)

    def text(self, key: str) -> str:
        return self._read_or_fallback(key, lambda: SettingsReader.text(self, key), "none")

    def names(self, key: str) -> tuple[str, ...]:
        return self._read_or_fallback(key, lambda: SettingsReader.names(self, key), ())

    def choice(self, key: str, default: str, allowed: tuple[str, ...]) -> str:
        return self._read_or_fallback(
            key, lambda: SettingsReader.choice(self, key, default, allowed), default
        )

    def parsed(self, key: str, parse: Callable[[str], T], expected: str, fallback: T) -> T:
        return self._read_or_fallback(
            key, lambda: SettingsReader.parsed(self, key, parse, expected, fallback), fallback
        )

    def _read_or_fallback(self, key: str, read: Callable[[], T], fallback: T, quiet: bool = False) -> T:
        name = self.path_of(key)
        if self.notes.has_fault(name):
            return fallback
        try:
            value = read()
        except ValueError as problem:
            self.notes.add_fault(problem)
            return fallback
        if not quiet:
            stated = self.data.get(key) is not None
            self.notes.values[name] = (
                self.data[key] if stated else value,
                CONFIG_VARIABLE if stated else "default",
            )
        return value


def check_settings(path: Path | None, environment: Mapping[str, str]) -> tuple[list[str], list[str]]:
    """The faults, and the values in force with their sources."""
    operators = operator_file.defaults() if path is None else operator_file.read_file(path)
    notes = CheckNotes()
    try:
        document = _load_document(environment)
    except ValueError as problem:
        unusable = [f"{CONFIG_VARIABLE}: {problem}"]
    else:
        unusable = []
        _read_all(document, notes)
    faults = [*map(str, operators.faults), *_environment_faults(operators, notes), *unusable]
    faults += [f"{f'{CONFIG_VARIABLE} {name}'.strip()}: {text}" for name, text in notes.faults.items()]
    return faults, [*operators.effective_lines(), *_effective_lines(notes)]


def _load_document(environment: Mapping[str, str]) -> Any:
    """The JSON that GW_CONFIG names; ValueError if there is none."""
    path = environment.get(CONFIG_VARIABLE)
    if not path:
        raise ValueError("not set")
    try:
        return config.parse_json(Path(path).read_bytes())
    except OSError as problem:
        raise ValueError(f"{path}: {problem.strerror or problem}") from None
    except ValueError as problem:
        raise ValueError(f"{path}: {problem}") from None


def _read_all(document: Any, notes: CheckNotes) -> None:
    """Read as `serve` does, over and over, until nothing more is found wrong."""
    for _ in range(MAX_READS):
        before = len(notes.faults)
        notes.values.clear()
        try:
            told = config.read(document, lambda data, where: LenientReader(data, where, notes))
        except ValueError as problem:
            notes.add_fault(problem)
            if len(notes.faults) == before:
                return
            continue
        if isinstance(document.get("limits"), dict) and document["limits"].get("memory_mb") is None:
            notes.faults.setdefault("limits.memory_mb", "missing")
        _check_known_endpoints(told, notes)
        return


def _check_known_endpoints(loaded: config.Config, notes: CheckNotes) -> None:
    """The list of next hops, entry by entry."""
    for number, row in enumerate(loaded.known.rows("targets")):
        one = {**loaded.known.data, "targets": [row.data]}
        try:
            EndpointDirectory(loaded.names, 0.0).apply_update(SettingsReader(one, "known"), is_cached=True)
        except ValueError as problem:
            notes.add_fault(ValueError(str(problem).replace("known.targets[0]", f"known.targets[{number}]")))


def _effective_lines(notes: CheckNotes) -> Iterator[str]:
    for name, (value, source) in notes.values.items():
        if not notes.has_fault(name):
            yield f"{name} {_format_value(value)} ({source})"


def _format_value(value: object) -> str:
    if isinstance(value, list):
        names = [row.get("name", "") if isinstance(row, dict) else row for row in value]
        return ", ".join(map(str, names))
    return value if isinstance(value, str) else json.dumps(value)


# ---------------------------------------------------------- what a file by itself does not show to be wrong


def _environment_faults(operators: OperatorFile, notes: CheckNotes) -> Iterator[str]:
    """Faults between the operators' file and what is around it."""
    yield from _capture_dir_faults(operators)
    yield from _certificate_faults(operators)
    yield from _port_faults(operators, notes)


def _capture_dir_faults(operators: OperatorFile) -> Iterator[str]:
    folder = operators.text("capture_dir")
    if folder is not None and not (os.path.isdir(folder) and os.access(folder, os.W_OK | os.X_OK)):
        yield str(
            operators.make_fault("capture_dir", f'capture_dir "{folder}" is no folder that can be written')
        )


def _certificate_faults(operators: OperatorFile) -> Iterator[str]:
    """Files of TLS that cannot be read, cannot be used, or do not go together."""
    if operators.text("tls_cert") is None or operators.text("tls_key") is None:
        return  # half a pair has been named already
    if operators.text("tls_client_cert") != "off" and operators.text("tls_client_ca") is None:
        return
    from ..net.tls import TlsError, make_context

    try:
        make_context(operators)
    except TlsError as problem:
        yield str(operators.make_fault(problem.name, str(problem)))


def _port_faults(operators: OperatorFile, notes: CheckNotes) -> Iterator[str]:
    """Ports on the one host that collide."""
    listen, _ = notes.values.get("listen", ("", ""))
    taken = {} if notes.has_fault("listen") else {str(listen).rpartition(":")[2]: f"{CONFIG_VARIABLE} listen"}
    for name in PORTS:
        port = str(operators.optional_integer(name) or "")  # 0 is any that is free
        if port and port in taken:
            yield str(operators.make_fault(name, f"{name} {port} is the port of {taken[port]} already"))
        elif port:
            taken[port] = name

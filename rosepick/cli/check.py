"""`rosepick check`: all faults of the operators' file and of GW_CONFIG at once, and the values in force.

Both files are read by the code that `serve` reads them with; a fault is recorded, and reading goes on. No
socket is opened.
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
MAX_READS = 100  # of the document: some faults show only once earlier ones have a stand-in
PORT_OPTIONS = ("tls_listen", "multiget_listen")
T = TypeVar("T")
_SETTING_FAULT = re.compile(r"setting (\S+) is (.*)", re.S)
_LIST_INDEX = re.compile(r"\[\d+\]")


@dataclass(frozen=True, slots=True)
class EffectiveValue:
    """A value in force and where it comes from."""

    value: object
    source: str


@dataclass(slots=True)
class CheckNotes:
    """Faults and values that were found in GW_CONFIG, by the settings' names."""

    faults: dict[str, str] = field(default_factory=dict)
    values: dict[str, EffectiveValue] = field(default_factory=dict)

    def add_fault(self, error: ValueError) -> None:
        """Record an error under the setting that its message names; the first of a setting counts."""
        message = str(error)
        match = _SETTING_FAULT.fullmatch(message)
        name, text = (match[1], match[2]) if match else ("", message)
        self.faults.setdefault(name, "missing" if text in ("missing", "None, not a text") else text)

    def has_fault(self, name: str) -> bool:
        """Return whether a setting has a fault.

        Faults of ranges are recorded without the prefix `settings.` and without indices of lists.
        """
        plain = _LIST_INDEX.sub("[]", name).removeprefix("settings.")
        return name in self.faults or plain in self.faults


class LenientReader(SettingsReader):
    """A reader that records faults, and goes on with a valid value in place of an invalid one."""

    def __init__(self, data: Any, path: str, notes: CheckNotes) -> None:
        self.notes = notes
        try:
            super().__init__(data, path)
        except ValueError as error:
            notes.add_fault(error)
            super().__init__({}, path)

    def child(self, data: Any, path: str) -> SettingsReader:
        """Return a reader of a part of the document."""
        return LenientReader(data, path, self.notes)

    def rows(self, key: str) -> list[SettingsReader]:
        """Return a reader for each entry of a list; none if it is no list."""
        no_rows: list[SettingsReader] = []
        rows = self._read_or_fallback(key, lambda: SettingsReader.rows(self, key), no_rows, is_value=False)
        path = self.path_of(key)
        return [LenientReader(row.data, f"{path}[{index}]", self.notes) for index, row in enumerate(rows)]

    def number(self, key: str, default: float | None = None) -> float:
        """Return a number; its default, or 1, if it has a fault."""
        fallback = 1.0 if default is None else float(default)
        return self._read_or_fallback(key, lambda: SettingsReader.number(self, key, default), fallback)

    def integer(self, key: str, default: int) -> int:
        """Return an integer, or its default if it has a fault."""
        return self._read_or_fallback(key, lambda: SettingsReader.integer(self, key, default), default)

    def boolean(self, key: str) -> bool:
        """Return a truth value, or False if it has a fault."""
        return self._read_or_fallback(key, lambda: SettingsReader.boolean(self, key), False)

    def text(self, key: str) -> str:
        """Return a text, or a stand-in if it has a fault."""
        return self._read_or_fallback(key, lambda: SettingsReader.text(self, key), "none")

    def names(self, key: str) -> tuple[str, ...]:
        """Return a list of names, or an empty one if it has a fault."""
        return self._read_or_fallback(key, lambda: SettingsReader.names(self, key), ())

    def choice(self, key: str, default: str, allowed: tuple[str, ...]) -> str:
        """Return one of the allowed texts, or the default if it has a fault."""
        return self._read_or_fallback(
            key, lambda: SettingsReader.choice(self, key, default, allowed), default
        )

    def parsed(self, key: str, parse: Callable[[str], T], expected: str, fallback: T) -> T:
        """Return a parsed text, or the fallback if it has a fault."""
        return self._read_or_fallback(
            key, lambda: SettingsReader.parsed(self, key, parse, expected, fallback), fallback
        )

    def _read_or_fallback(self, key: str, read: Callable[[], T], fallback: T, is_value: bool = True) -> T:
        """Read a setting and record its fault or value; return the fallback if it has a fault."""
        name = self.path_of(key)
        if self.notes.has_fault(name):
            return fallback
        try:
            value = read()
        except ValueError as error:
            self.notes.add_fault(error)
            return fallback
        if is_value:
            is_stated = self.data.get(key) is not None
            self.notes.values[name] = EffectiveValue(
                self.data[key] if is_stated else value, CONFIG_VARIABLE if is_stated else "default"
            )
        return value


def check_settings(path: Path | None, environment: Mapping[str, str]) -> tuple[list[str], list[str]]:
    """Return the faults and the values in force with their sources, each as lines of text."""
    operators = operator_file.defaults() if path is None else operator_file.read_file(path)
    notes = CheckNotes()
    try:
        document = _load_document(environment)
    except ValueError as error:
        document_faults = [f"{CONFIG_VARIABLE}: {error}"]
    else:
        document_faults = []
        _read_all(document, notes)
    faults = [*map(str, operators.faults), *_environment_faults(operators, notes), *document_faults]
    faults += [f"{f'{CONFIG_VARIABLE} {name}'.strip()}: {text}" for name, text in notes.faults.items()]
    return faults, [*operators.effective_lines(), *_effective_lines(notes)]


def _load_document(environment: Mapping[str, str]) -> Any:
    """Return the document that GW_CONFIG names.

    Raises:
        ValueError: there is none, or it is no JSON.
    """
    path = environment.get(CONFIG_VARIABLE)
    if not path:
        raise ValueError("not set")
    try:
        return config.parse_json(Path(path).read_bytes())
    except OSError as error:
        raise ValueError(f"{path}: {error.strerror or error}") from None
    except ValueError as error:
        raise ValueError(f"{path}: {error}") from None


def _read_all(document: Any, notes: CheckNotes) -> None:
    """Read the document as `serve` does, again and again until no new fault is found."""
    for _ in range(MAX_READS):
        fault_count = len(notes.faults)
        notes.values.clear()
        try:
            loaded = config.read(document, lambda data, path: LenientReader(data, path, notes))
        except ValueError as error:
            notes.add_fault(error)
            if len(notes.faults) == fault_count:
                return
            continue
        if isinstance(document.get("limits"), dict) and document["limits"].get("memory_mb") is None:
            notes.faults.setdefault("limits.memory_mb", "missing")
        _check_known_endpoints(loaded, notes)
        return


def _check_known_endpoints(loaded: config.Config, notes: CheckNotes) -> None:
    """Check the list of known endpoints, entry by entry."""
    for number, row in enumerate(loaded.known.rows("targets")):
        document = {**loaded.known.data, "targets": [row.data]}
        directory = EndpointDirectory(loaded.names, 0.0)
        try:
            directory.apply_update(SettingsReader(document, "known"), is_cached=True)
        except ValueError as error:
            message = str(error).replace("known.targets[0]", f"known.targets[{number}]")
            notes.add_fault(ValueError(message))


def _effective_lines(notes: CheckNotes) -> Iterator[str]:
    for name, effective in notes.values.items():
        if not notes.has_fault(name):
            yield f"{name} {_format_value(effective.value)} ({effective.source})"


def _format_value(value: object) -> str:
    if isinstance(value, list):
        names = [row.get("name", "") if isinstance(row, dict) else row for row in value]
        return ", ".join(map(str, names))
    return value if isinstance(value, str) else json.dumps(value)


# ---------------------------------------------------------- faults that a file alone does not show


def _environment_faults(operators: OperatorFile, notes: CheckNotes) -> Iterator[str]:
    """Find conflicts of the operators' file with this host: folders, certificates and ports."""
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
    """Find TLS files that cannot be read or used, or do not belong together."""
    if operators.text("tls_cert") is None or operators.text("tls_key") is None:
        return  # half a pair has been reported already
    if operators.text("tls_client_cert") != "off" and operators.text("tls_client_ca") is None:
        return
    from ..net.tls import TlsError, make_context

    try:
        make_context(operators)
    except TlsError as error:
        yield str(operators.make_fault(error.name, str(error)))


def _port_faults(operators: OperatorFile, notes: CheckNotes) -> Iterator[str]:
    """Find listeners with the same port."""
    listen = notes.values.get("listen", EffectiveValue("", ""))
    taken: dict[str, str] = {}
    if not notes.has_fault("listen"):
        taken[str(listen.value).rpartition(":")[2]] = f"{CONFIG_VARIABLE} listen"
    for name in PORT_OPTIONS:
        port = str(operators.optional_integer(name) or "")  # 0 is any that is free
        if port and port in taken:
            yield str(operators.make_fault(name, f"{name} {port} is the port of {taken[port]} already"))
        elif port:
            taken[port] = name

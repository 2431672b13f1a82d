"""`rosepick check` reports all faults of the operators' file and of GW_CONFIG, and the effective values.

It reads both files with the same code as `serve`, but records each fault and continues. It opens no socket.
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
MAX_READS = 100  # passes over the document, as a fault may hide others until it has a fallback value
PORT_OPTIONS = ("tls_listen", "multiget_listen")
T = TypeVar("T")
_SETTING_FAULT = re.compile(r"setting (\S+) is (.*)", re.S)
_LIST_INDEX = re.compile(r"\[\d+\]")


@dataclass(frozen=True, slots=True)
class EffectiveValue:
    """An effective value and its source."""

    value: object
    source: str


@dataclass(slots=True)
class CheckFindings:
    """Faults and effective values of GW_CONFIG, by name of the setting."""

    faults: dict[str, str] = field(default_factory=dict)
    values: dict[str, EffectiveValue] = field(default_factory=dict)

    def add_fault(self, error: ValueError) -> None:
        """Record an error under the setting that its message names; only the first one of a setting."""
        message = str(error)
        match = _SETTING_FAULT.fullmatch(message)
        name, text = (match[1], match[2]) if match else ("", message)
        self.faults.setdefault(name, "missing" if text in ("missing", "None, not a text") else text)

    def has_fault(self, name: str) -> bool:
        """Return whether a setting has a fault.

        Range checks record faults without the prefix `settings.` and without list indices.
        """
        plain = _LIST_INDEX.sub("[]", name).removeprefix("settings.")
        return name in self.faults or plain in self.faults


class LenientReader(SettingsReader):
    """A reader that records faults and returns a fallback value in place of an invalid one."""

    def __init__(self, data: Any, path: str, findings: CheckFindings) -> None:
        self.findings = findings
        try:
            super().__init__(data, path)
        except ValueError as error:
            findings.add_fault(error)
            super().__init__({}, path)

    def child(self, data: Any, path: str) -> SettingsReader:
        """Return a reader for a part of the document."""
        return LenientReader(data, path, self.findings)

    def rows(self, key: str) -> list[SettingsReader]:
        """Return a reader for each entry of a list; an empty list if the value has a fault."""
        no_rows: list[SettingsReader] = []
        rows = self._read_or_fallback(key, lambda: SettingsReader.rows(self, key), no_rows, is_value=False)
        path = self.path_of(key)
        return [LenientReader(row.data, f"{path}[{index}]", self.findings) for index, row in enumerate(rows)]

    def number(self, key: str, default: float | None = None) -> float:
        """Return a number; if it has a fault, its default, or 1 without a default."""
        fallback = 1.0 if default is None else float(default)
        return self._read_or_fallback(key, lambda: SettingsReader.number(self, key, default), fallback)

    def integer(self, key: str, default: int) -> int:
        """Return an integer, or its default if it has a fault."""
        return self._read_or_fallback(key, lambda: SettingsReader.integer(self, key, default), default)

    def boolean(self, key: str) -> bool:
        """Return a boolean, or False if it has a fault."""
        return self._read_or_fallback(key, lambda: SettingsReader.boolean(self, key), False)

    def text(self, key: str) -> str:
        """Return a text, or "none" if it has a fault."""
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
        if self.findings.has_fault(name):
            return fallback
        try:
            value = read()
        except ValueError as error:
            self.findings.add_fault(error)
            return fallback
        if is_value:
            is_stated = self.data.get(key) is not None
            self.findings.values[name] = EffectiveValue(
                self.data[key] if is_stated else value, CONFIG_VARIABLE if is_stated else "default"
            )
        return value


def check_settings(path: Path | None, environment: Mapping[str, str]) -> tuple[list[str], list[str]]:
    """Return the faults and the effective values with their sources, both as lines of text."""
    operators = operator_file.defaults() if path is None else operator_file.read_file(path)
    findings = CheckFindings()
    try:
        document = _load_document(environment)
    except ValueError as error:
        document_faults = [f"{CONFIG_VARIABLE}: {error}"]
    else:
        document_faults = []
        _read_all(document, findings)
    faults = [*map(str, operators.faults), *_environment_faults(operators, findings), *document_faults]
    faults += [f"{f'{CONFIG_VARIABLE} {name}'.strip()}: {text}" for name, text in findings.faults.items()]
    return faults, [*operators.effective_lines(), *_effective_lines(findings)]


def _load_document(environment: Mapping[str, str]) -> Any:
    """Return the document that GW_CONFIG names.

    Raises:
        ValueError: GW_CONFIG is not set, or its file cannot be read or is not JSON.
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


def _read_all(document: Any, findings: CheckFindings) -> None:
    """Read the document as `serve` does, repeatedly until a pass finds no new fault."""
    for _ in range(MAX_READS):
        fault_count = len(findings.faults)
        findings.values.clear()
        try:
            loaded = config.read(document, lambda data, path: LenientReader(data, path, findings))
        except ValueError as error:
            findings.add_fault(error)
            if len(findings.faults) == fault_count:
                return
            continue
        if isinstance(document.get("limits"), dict) and document["limits"].get("memory_mb") is None:
            findings.faults.setdefault("limits.memory_mb", "missing")
        _check_known_endpoints(loaded, findings)
        return


def _check_known_endpoints(loaded: config.Config, findings: CheckFindings) -> None:
    """Check each entry of the list of known endpoints."""
    for number, row in enumerate(loaded.known.rows("targets")):
        document = {**loaded.known.data, "targets": [row.data]}
        directory = EndpointDirectory(loaded.names, 0.0)
        try:
            directory.apply_update(SettingsReader(document, "known"), is_cached=True)
        except ValueError as error:
            message = str(error).replace("known.targets[0]", f"known.targets[{number}]")
            findings.add_fault(ValueError(message))


def _effective_lines(findings: CheckFindings) -> Iterator[str]:
    for name, effective in findings.values.items():
        if not findings.has_fault(name):
            yield f"{name} {_format_value(effective.value)} ({effective.source})"


def _format_value(value: object) -> str:
    if isinstance(value, list):
        names = [row.get("name", "") if isinstance(row, dict) else row for row in value]
        return ", ".join(map(str, names))
    return value if isinstance(value, str) else json.dumps(value)


# ---------------------------------------------------------- faults that depend on the host or on both files


def _environment_faults(operators: OperatorFile, findings: CheckFindings) -> Iterator[str]:
    """Yield faults of the operators' file that depend on the host: folders, certificates, ports."""
    yield from _capture_dir_faults(operators)
    yield from _certificate_faults(operators)
    yield from _port_faults(operators, findings)


def _capture_dir_faults(operators: OperatorFile) -> Iterator[str]:
    folder = operators.text("capture_dir")
    if folder is not None and not (os.path.isdir(folder) and os.access(folder, os.W_OK | os.X_OK)):
        yield str(
            operators.make_fault("capture_dir", f'capture_dir "{folder}" is no folder that can be written')
        )


def _certificate_faults(operators: OperatorFile) -> Iterator[str]:
    """Yield a fault if TLS files cannot be read or used, or do not match each other."""
    if operators.text("tls_cert") is None or operators.text("tls_key") is None:
        return  # an incomplete pair is already reported
    if operators.text("tls_client_cert") != "off" and operators.text("tls_client_ca") is None:
        return
    from ..net.tls import TlsError, make_context

    try:
        make_context(operators)
    except TlsError as error:
        yield str(operators.make_fault(error.name, str(error)))


def _port_faults(operators: OperatorFile, findings: CheckFindings) -> Iterator[str]:
    """Yield a fault for each listener with the port of another one."""
    listen = findings.values.get("listen", EffectiveValue("", ""))
    taken: dict[str, str] = {}
    if not findings.has_fault("listen"):
        taken[str(listen.value).rpartition(":")[2]] = f"{CONFIG_VARIABLE} listen"
    for name in PORT_OPTIONS:
        port = str(operators.optional_integer(name) or "")  # 0 means any free port
        if port and port in taken:
            yield str(operators.make_fault(name, f"{name} {port} is the port of {taken[port]} already"))
        elif port:
            taken[port] = name

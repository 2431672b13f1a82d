"""Reads the operators' file, which holds one `name value` per line and comments after `#`.

A table declares the settings. The whole file is checked, and all its errors are reported at once.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path

SettingValue = int | float | str | None
MAX_CAPTURE_KIB = 768  # limits the size of all segments of the capture together

_COMMENT = re.compile(r"(?:^|(?<=\s))#.*")
_DURATION = re.compile(r"([0-9]{1,9}(?:\.[0-9]{1,6})?) ?s?")
_UTF8_BYTE_ORDER_MARK = b"\xef\xbb\xbf"
_MAX_INTEGER_DIGITS = 12  # longer numbers are outside the range of every setting
_MIN_SUGGESTION_SIMILARITY = 0.5  # from 0 to 1, between an unknown name and the suggested one


@dataclass(frozen=True, slots=True)
class Setting:
    """Declares a text setting by its name and its default."""

    name: str
    default: SettingValue = None
    is_reloadable: bool = False  # a running router applies a new value after SIGHUP

    def parse(self, text: str) -> SettingValue:
        """Return the value that a text stands for. Raises ValueError, whose message describes the text."""
        return text

    def format_value(self, value: SettingValue) -> str:
        """Return the form that a value has in the file."""
        return "not set" if value is None else str(value)


@dataclass(frozen=True, slots=True)
class IntegerSetting(Setting):
    """Declares a setting that is an integer from `minimum` to `maximum`."""

    minimum: int = 0
    maximum: int = 2**31

    def parse(self, text: str) -> SettingValue:
        """Return the number."""
        is_number = text.isascii() and text.isdigit()
        if not is_number or not self.minimum <= int(text[:_MAX_INTEGER_DIGITS]) <= self.maximum:
            raise ValueError(f"is not a whole number from {self.minimum} to {self.maximum}")
        return int(text)


@dataclass(frozen=True, slots=True)
class DurationSetting(Setting):
    """Declares a setting that is a time in seconds, from `minimum` to `maximum`; the unit `s` is optional."""

    minimum: float = 0.0
    maximum: float = 86_400.0

    def parse(self, text: str) -> SettingValue:
        """Return the seconds."""
        match = _DURATION.fullmatch(text)
        if match is None or not self.minimum <= float(match[1]) <= self.maximum:
            raise ValueError(f"is not a time from {self.minimum:g} to {self.maximum:g} s")
        return float(match[1])

    def format_value(self, value: SettingValue) -> str:
        """Return the seconds with their unit."""
        return f"{value:g} s"


@dataclass(frozen=True, slots=True)
class ChoiceSetting(Setting):
    """Declares a setting that is one of `choices`."""

    choices: tuple[str, ...] = ()

    def parse(self, text: str) -> SettingValue:
        """Return the text."""
        if text not in self.choices:
            raise ValueError(f"is not one of {', '.join(self.choices)}")
        return text


SETTINGS: tuple[Setting, ...] = (
    IntegerSetting("capture_segments", 4, minimum=1, maximum=192),
    IntegerSetting("capture_segment_kb", 192, minimum=4, maximum=768),
    Setting("capture_dir"),
    IntegerSetting("tls_listen", minimum=0, maximum=65_535),
    Setting("tls_cert", is_reloadable=True),
    Setting("tls_key", is_reloadable=True),
    ChoiceSetting("tls_min_version", "1.2", is_reloadable=True, choices=("1.2", "1.3")),
    ChoiceSetting("tls_client_cert", "off", is_reloadable=True, choices=("off", "optional", "required")),
    Setting("tls_client_ca", is_reloadable=True),
    DurationSetting("tls_reload_interval", 30.0, is_reloadable=True, minimum=1.0),
    IntegerSetting("multiget_listen", minimum=0, maximum=65_535),
    IntegerSetting("multiget_max_keys", 64, is_reloadable=True, minimum=1, maximum=1024),
    IntegerSetting("clients_hold", is_reloadable=True, minimum=2, maximum=1_000_000),
    IntegerSetting("doors_part", 50, is_reloadable=True, minimum=10, maximum=90),
    ChoiceSetting("address_shares", "on", is_reloadable=True, choices=("on", "off")),
    DurationSetting("silent_timeout", 2.2, is_reloadable=True, minimum=0.2, maximum=3600.0),
    DurationSetting("idle_timeout", 8.0, is_reloadable=True, minimum=0.5, maximum=3600.0),
    DurationSetting("request_timeout", 2.5, is_reloadable=True, minimum=0.1, maximum=60.0),
    IntegerSetting("accept_queue", 1024, is_reloadable=True, minimum=1, maximum=65_535),
    IntegerSetting("tls_handshake_part", 25, is_reloadable=True, minimum=1, maximum=100),
)
"""All settings of a router, grouped by feature."""


@dataclass(frozen=True, slots=True)
class SettingFault:
    """Describes an error in the file; `line` is None if the error concerns the whole file."""

    source: str
    line: int | None
    text: str

    def __str__(self) -> str:
        position = f" line {self.line}:" if self.line is not None else ":"
        return f"{self.source}{position} {self.text}"


class OperatorFileError(Exception):
    """Signals an invalid operators' file; `faults` has all its errors."""

    def __init__(self, faults: tuple[SettingFault, ...]) -> None:
        super().__init__("; ".join(map(str, faults)))
        self.faults = faults


@dataclass(frozen=True, slots=True)
class OperatorFile:
    """Holds the current values, the numbers of the lines that set them, and the errors of the file."""

    settings: tuple[Setting, ...]
    values: Mapping[str, SettingValue]
    lines: Mapping[str, int]
    faults: tuple[SettingFault, ...] = ()
    source: str = ""

    def integer(self, name: str) -> int:
        """Return the value of an integer setting."""
        value = self.values[name]
        assert isinstance(value, int)
        return value

    def seconds(self, name: str) -> float:
        """Return the value of a time setting, in seconds."""
        value = self.values[name]
        assert isinstance(value, float)
        return value

    def text(self, name: str) -> str | None:
        """Return the value of a text setting, or None if it is not set."""
        value = self.values[name]
        assert value is None or isinstance(value, str)
        return value

    def optional_integer(self, name: str) -> int | None:
        """Return the value of an integer setting, or None if it is not set."""
        value = self.values[name]
        assert value is None or isinstance(value, int)
        return value

    def make_fault(self, name: str, text: str) -> SettingFault:
        """Return an error that names the line of a setting."""
        return SettingFault(self.source, self.lines.get(name), text)

    def changed_settings(self, other: OperatorFile) -> list[Setting]:
        """Return the settings whose values differ between this file and another one."""
        return [
            setting
            for setting in self.settings
            if self.values[setting.name] != other.values.get(setting.name)
        ]

    def effective_lines(self) -> Iterator[str]:
        """Yield a line for each current value, with the place in the file that sets it."""
        for setting in self.settings:
            line = self.lines.get(setting.name)
            source = "default" if line is None else f"{self.source} line {line}"
            yield f"{setting.name} {setting.format_value(self.values[setting.name])} ({source})"


def read(data: bytes, source: str, table: tuple[Setting, ...] = SETTINGS) -> OperatorFile:
    """Return the settings and errors in the content of a file; the errors name the file as `source`."""
    values = {setting.name: setting.default for setting in table}
    lines: dict[str, int] = {}
    faults: list[SettingFault] = []
    settings = {setting.name: setting for setting in table}
    for number, raw_line in enumerate(data.removeprefix(_UTF8_BYTE_ORDER_MARK).split(b"\n"), 1):
        try:
            assignment = _parse_line(raw_line, settings, lines)
            if assignment is not None:
                values[assignment.name] = assignment.value
                lines[assignment.name] = number
        except UnicodeDecodeError:
            faults.append(SettingFault(source, number, "not UTF-8"))
        except ValueError as error:
            faults.append(SettingFault(source, number, str(error)))
    file = OperatorFile(table, values, lines, tuple(faults), source)
    faults += _check_combinations(file)
    return replace(file, faults=tuple(sorted(faults, key=lambda fault: fault.line or 0)))


def _check_combinations(file: OperatorFile) -> Iterator[SettingFault]:
    """Yield the errors of settings that are valid alone but not in combination."""
    if file.settings is SETTINGS:
        yield from _check_capture_size(file)
        yield from _check_tls(file)


def _check_capture_size(file: OperatorFile) -> Iterator[SettingFault]:
    segment_count = file.integer("capture_segments")
    segment_kib = file.integer("capture_segment_kb")
    total_kib = segment_count * segment_kib
    if total_kib <= MAX_CAPTURE_KIB:
        return
    last_set = max(("capture_segments", "capture_segment_kb"), key=lambda name: file.lines.get(name, 0))
    yield file.make_fault(
        last_set,
        f"capture_segments {segment_count} of capture_segment_kb {segment_kib} "
        f"make a ring of {total_kib} KiB, more than {MAX_CAPTURE_KIB}",
    )


def _check_tls(file: OperatorFile) -> Iterator[SettingFault]:
    missing = [name for name in ("tls_cert", "tls_key") if file.text(name) is None]
    if len(missing) == 1:
        present = "tls_key" if missing == ["tls_cert"] else "tls_cert"
        yield file.make_fault(present, f"{present} is set without {missing[0]}")
    elif missing and file.optional_integer("tls_listen") is not None:
        yield file.make_fault("tls_listen", "tls_listen needs tls_cert and tls_key")
    client_cert_mode = file.text("tls_client_cert")
    if client_cert_mode != "off" and file.text("tls_client_ca") is None:
        yield file.make_fault("tls_client_cert", f"tls_client_cert {client_cert_mode} needs tls_client_ca")


@dataclass(frozen=True, slots=True)
class _Assignment:
    """Holds the name and the value that a line of the file sets."""

    name: str
    value: SettingValue


def _parse_line(
    raw_line: bytes, settings: Mapping[str, Setting], lines: Mapping[str, int]
) -> _Assignment | None:
    """Return the assignment in a line, or None for a blank line or a comment.

    Raises:
        ValueError: The line is invalid. Its subclass UnicodeDecodeError: the line is not UTF-8.
    """
    text = _COMMENT.sub("", raw_line.decode()).strip()
    if not text:
        return None
    name = text.replace("\t", " ").partition(" ")[0]
    value = text[len(name) :].strip()
    setting = settings.get(name)
    if setting is None:
        import difflib  # here, as a router without a fault in its file has no use for its memory

        suggestions = difflib.get_close_matches(name, settings, 1, _MIN_SUGGESTION_SIMILARITY)
        hint = f"; did you mean {suggestions[0]}?" if suggestions else ""
        raise ValueError(f"{name} is no setting{hint}")
    if name in lines:
        raise ValueError(f"{name} is set already on line {lines[name]}")
    if not value:
        raise ValueError(f"{name} has no value")
    try:
        return _Assignment(name, setting.parse(value))
    except ValueError as error:
        raise ValueError(f'{name} "{value}" {error}') from None


def defaults(table: tuple[Setting, ...] = SETTINGS) -> OperatorFile:
    """Return the default settings, which apply without a file."""
    return read(b"", "", table)


def read_file(path: str | Path, table: tuple[Setting, ...] = SETTINGS) -> OperatorFile:
    """Return the settings and errors of a file; an unreadable file counts as an error, too."""
    source = Path(path).name
    try:
        return read(Path(path).read_bytes(), source, table)
    except OSError as error:
        fault = SettingFault(source, None, error.strerror or str(error))
        return OperatorFile(table, defaults(table).values, {}, (fault,), source)


def load(path: str | Path | None, table: tuple[Setting, ...] = SETTINGS) -> OperatorFile:
    """Return the settings in a file, or the defaults without one.

    Raises:
        OperatorFileError: The file is invalid or cannot be read.
    """
    return require_valid(defaults(table) if path is None else read_file(path, table))


def require_valid(file: OperatorFile) -> OperatorFile:
    """Return `file`, or raise OperatorFileError if it has errors."""
    if file.faults:
        raise OperatorFileError(file.faults)
    return file


@dataclass(slots=True)
class OperatorOptions:
    """Holds the operators' file of a router, the function that reads it again, and command line switches."""

    file: OperatorFile = field(default_factory=defaults)
    reload: Callable[[], OperatorFile] | None = None
    capture_enabled: bool = False

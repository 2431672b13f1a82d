"""The operators' file: `name value` a line, `#` for comments, in the style of the classic daemons.

One table of settings says what there is; whoever reads a file reads it by that, and all faults are found at
once.
"""

from __future__ import annotations

import difflib
import re
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path

SettingValue = int | float | str | None
_COMMENT = re.compile(r"(?:^|(?<=\s))#.*")


@dataclass(frozen=True, slots=True)
class Setting:
    """One setting: its name, what its values are, and the one in force where the file says nothing."""

    name: str
    default: SettingValue = None
    is_reloadable: bool = False  # whether a running router applies a new value after SIGHUP

    def parse(self, text: str) -> SettingValue:
        """The value that a text states; ValueError says what is wrong with it."""
        return text

    def format_value(self, value: SettingValue) -> str:
        """A value as the file would state it."""
        return "not set" if value is None else str(value)


@dataclass(frozen=True, slots=True)
class IntegerSetting(Setting):
    """A whole number of a range."""

    minimum: int = 0
    maximum: int = 2**31

    def parse(self, text: str) -> SettingValue:
        if not (text.isascii() and text.isdigit()) or not self.minimum <= int(text[:12]) <= self.maximum:
            raise ValueError(f"is not a whole number from {self.minimum} to {self.maximum}")
        return int(text)


@dataclass(frozen=True, slots=True)
class DurationSetting(Setting):
    """A span of time in seconds; the unit may be written."""

    minimum: float = 0.0
    maximum: float = 86_400.0

    def parse(self, text: str) -> SettingValue:
        found = re.fullmatch(r"([0-9]{1,9}(?:\.[0-9]{1,6})?) ?s?", text)
        if found is None or not self.minimum <= float(found[1]) <= self.maximum:
            raise ValueError(f"is not a time from {self.minimum:g} to {self.maximum:g} s")
        return float(found[1])

    def format_value(self, value: SettingValue) -> str:
        return f"{value:g} s"


@dataclass(frozen=True, slots=True)
class ChoiceSetting(Setting):
    """One of a few words."""

    choices: tuple[str, ...] = ()

    def parse(self, text: str) -> SettingValue:
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
"""Every setting there is, by feature."""

MAX_CAPTURE_KIB = 768  # the most that all segments of the capture may hold


@dataclass(frozen=True, slots=True)
class SettingFault:
    """Something wrong, and where: a line of the file, or the file as a whole."""

    source: str
    line: int | None
    text: str

    def __str__(self) -> str:
        where = f" line {self.line}:" if self.line is not None else ":"
        return f"{self.source}{where} {self.text}"


class OperatorFileError(Exception):
    """The operators' file cannot be used; one line a fault."""

    def __init__(self, faults: tuple[SettingFault, ...]) -> None:
        super().__init__("; ".join(map(str, faults)))
        self.faults = faults


@dataclass(frozen=True, slots=True)
class OperatorFile:
    """The values in force, the lines that state them, and what is wrong."""

    settings: tuple[Setting, ...]
    values: Mapping[str, SettingValue]
    lines: Mapping[str, int]
    faults: tuple[SettingFault, ...] = ()
    source: str = ""

    def integer(self, name: str) -> int:
        """The value of a setting that is a whole number."""
        value = self.values[name]
        assert isinstance(value, int)
        return value

    def seconds(self, name: str) -> float:
        """The value of a setting that is a time."""
        value = self.values[name]
        assert isinstance(value, float)
        return value

    def text(self, name: str) -> str | None:
        """The value of a setting that is a text, if it is set."""
        value = self.values[name]
        assert value is None or isinstance(value, str)
        return value

    def optional_integer(self, name: str) -> int | None:
        """The value of a setting that is a whole number, if it is set."""
        value = self.values[name]
        assert value is None or isinstance(value, int)
        return value

    def make_fault(self, name: str, text: str) -> SettingFault:
        """A fault with the place of a setting."""
        return SettingFault(self.source, self.lines.get(name), text)

    def changed_settings(self, other: OperatorFile) -> list[Setting]:
        """The settings that have other values there."""
        return [s for s in self.settings if self.values[s.name] != other.values.get(s.name)]

    def effective_lines(self) -> Iterator[str]:
        """Each value in force with its source."""
        for setting in self.settings:
            line = self.lines.get(setting.name)
            source = "default" if line is None else f"{self.source} line {line}"
            yield f"{setting.name} {setting.format_value(self.values[setting.name])} ({source})"


def read(data: bytes, source: str, table: tuple[Setting, ...] = SETTINGS) -> OperatorFile:
    """A file's content, with all that is wrong with it by itself."""
    values = {setting.name: setting.default for setting in table}
    lines: dict[str, int] = {}
    faults: list[SettingFault] = []
    known = {setting.name: setting for setting in table}
    for number, raw in enumerate(data.removeprefix(b"\xef\xbb\xbf").split(b"\n"), 1):
        try:
            stated = _parse_line(raw, known, lines)
            if stated is not None:
                name, value = stated
                values[name], lines[name] = value, number
        except UnicodeDecodeError:
            faults.append(SettingFault(source, number, "not UTF-8"))
        except ValueError as problem:
            faults.append(SettingFault(source, number, str(problem)))
    found = OperatorFile(table, values, lines, tuple(faults), source)
    faults += _cross_check(found)
    return replace(found, faults=tuple(sorted(faults, key=lambda fault: fault.line or 0)))


def _cross_check(found: OperatorFile) -> Iterator[SettingFault]:
    """What is wrong between settings that are right by themselves."""
    if found.settings is SETTINGS:
        yield from _check_capture_size(found)
        yield from _check_tls(found)


def _check_capture_size(found: OperatorFile) -> Iterator[SettingFault]:
    count, size = found.integer("capture_segments"), found.integer("capture_segment_kb")
    if count * size > MAX_CAPTURE_KIB:
        later = max(("capture_segments", "capture_segment_kb"), key=lambda name: found.lines.get(name, 0))
        yield found.make_fault(
            later,
            (
                f"capture_segments {count} of capture_segment_kb {size} make a ring of {count * size} KiB, "
                f"more than {MAX_CAPTURE_KIB}"
            ),
        )


def _check_tls(found: OperatorFile) -> Iterator[SettingFault]:
    missing = [name for name in ("tls_cert", "tls_key") if found.text(name) is None]
    if len(missing) == 1:
        stated = "tls_key" if missing == ["tls_cert"] else "tls_cert"
        yield found.make_fault(stated, f"{stated} is set without {missing[0]}")
    elif missing and found.optional_integer("tls_listen") is not None:
        yield found.make_fault("tls_listen", "tls_listen needs tls_cert and tls_key")
    mode = found.text("tls_client_cert")
    if mode != "off" and found.text("tls_client_ca") is None:
        yield found.make_fault("tls_client_cert", f"tls_client_cert {mode} needs tls_client_ca")


def _parse_line(
    raw: bytes, known: Mapping[str, Setting], lines: Mapping[str, int]
) -> tuple[str, SettingValue] | None:
    """What one line states, if anything; ValueError if it cannot be used."""
    text = _COMMENT.sub("", raw.decode()).strip()
    if not text:
        return None
    name, _, value = text.replace("\t", " ").partition(" ")
    value = text[len(name) :].strip()
    setting = known.get(name)
    if setting is None:
        close = difflib.get_close_matches(name, known, 1, 0.5)
        hint = f"; did you mean {close[0]}?" if close else ""
        raise ValueError(f"{name} is no setting{hint}")
    if name in lines:
        raise ValueError(f"{name} is set already on line {lines[name]}")
    if not value:
        raise ValueError(f"{name} has no value")
    try:
        return name, setting.parse(value)
    except ValueError as problem:
        raise ValueError(f'{name} "{value}" {problem}') from None


def defaults(table: tuple[Setting, ...] = SETTINGS) -> OperatorFile:
    """What is in force without a file."""
    return read(b"", "", table)


def read_file(path: str | Path, table: tuple[Setting, ...] = SETTINGS) -> OperatorFile:
    """A file with its faults; one that cannot be read is a fault."""
    place = Path(path).name
    try:
        return read(Path(path).read_bytes(), place, table)
    except OSError as problem:
        fault = SettingFault(place, None, problem.strerror or str(problem))
        nothing = defaults(table)
        return OperatorFile(table, nothing.values, {}, (fault,), place)


def load(path: str | Path | None, table: tuple[Setting, ...] = SETTINGS) -> OperatorFile:
    """A file that can be used, or what is in force without one. OperatorFileError if it has a fault."""
    return require_valid(defaults(table) if path is None else read_file(path, table))


def require_valid(found: OperatorFile) -> OperatorFile:
    """The same, if it has no fault; else OperatorFileError."""
    if found.faults:
        raise OperatorFileError(found.faults)
    return found


@dataclass(slots=True)
class OperatorOptions:
    """What the operators tell a router: their file, how to read it again, and the command line's switches."""

    file: OperatorFile = field(default_factory=defaults)
    reload: Callable[[], OperatorFile] | None = None
    capture_enabled: bool = False

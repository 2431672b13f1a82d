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

Value = int | float | str | None
_COMMENT = re.compile(r"(?:^|(?<=\s))#.*")


@dataclass(frozen=True, slots=True)
class Setting:
    """One setting: its name, what its values are, and the one in force where the file says nothing."""

    name: str
    default: Value = None
    live: bool = False  # whether a running router applies a new value after SIGHUP

    def read(self, text: str) -> Value:
        """The value that a text states; ValueError says what is wrong with it."""
        return text

    def show(self, value: Value) -> str:
        """A value as the file would state it."""
        return "not set" if value is None else str(value)


@dataclass(frozen=True, slots=True)
class Whole(Setting):
    """A whole number of a range."""

    low: int = 0
    high: int = 2**31

    def read(self, text: str) -> Value:
        if not (text.isascii() and text.isdigit()) or not self.low <= int(text[:12]) <= self.high:
            raise ValueError(f"is not a whole number from {self.low} to {self.high}")
        return int(text)


@dataclass(frozen=True, slots=True)
class Seconds(Setting):
    """A span of time in seconds; the unit may be written."""

    low: float = 0.0
    high: float = 86_400.0

    def read(self, text: str) -> Value:
        found = re.fullmatch(r"([0-9]{1,9}(?:\.[0-9]{1,6})?) ?s?", text)
        if found is None or not self.low <= float(found[1]) <= self.high:
            raise ValueError(f"is not a time from {self.low:g} to {self.high:g} s")
        return float(found[1])

    def show(self, value: Value) -> str:
        return f"{value:g} s"


@dataclass(frozen=True, slots=True)
class Choice(Setting):
    """One of a few words."""

    words: tuple[str, ...] = ()

    def read(self, text: str) -> Value:
        if text not in self.words:
            raise ValueError(f"is not one of {', '.join(self.words)}")
        return text


TABLE: tuple[Setting, ...] = (
    Whole("capture_segments", 4, low=1, high=192),
    Whole("capture_segment_kb", 192, low=4, high=768),
    Setting("capture_dir"),
    Whole("tls_listen", low=0, high=65_535),
    Setting("tls_cert", live=True),
    Setting("tls_key", live=True),
    Choice("tls_min_version", "1.2", live=True, words=("1.2", "1.3")),
    Choice("tls_client_cert", "off", live=True, words=("off", "optional", "required")),
    Setting("tls_client_ca", live=True),
    Seconds("tls_reload_interval", 30.0, live=True, low=1.0),
    Whole("multiget_listen", low=0, high=65_535),
    Whole("multiget_max_keys", 64, live=True, low=1, high=1024),
    Whole("clients_hold", live=True, low=2, high=1_000_000),
    Whole("doors_part", 50, live=True, low=10, high=90),
    Choice("address_shares", "on", live=True, words=("on", "off")),
    Seconds("silent_timeout", 2.2, live=True, low=0.2, high=3600.0),
    Seconds("idle_timeout", 8.0, live=True, low=0.5, high=3600.0),
    Seconds("request_timeout", 2.5, live=True, low=0.1, high=60.0),
    Whole("accept_queue", 1024, live=True, low=1, high=65_535),
    Whole("tls_handshake_part", 25, live=True, low=1, high=100),
)
"""Every setting there is, by feature."""

RING_KB = 768  # the most that all segments of the capture may hold


@dataclass(frozen=True, slots=True)
class Fault:
    """Something wrong, and where: a line of the file, or the file as a whole."""

    place: str
    line: int | None
    text: str

    def __str__(self) -> str:
        where = f" line {self.line}:" if self.line is not None else ":"
        return f"{self.place}{where} {self.text}"


class OperatorFileError(Exception):
    """The operators' file cannot be used; one line a fault."""

    def __init__(self, faults: tuple[Fault, ...]) -> None:
        super().__init__("; ".join(map(str, faults)))
        self.faults = faults


@dataclass(frozen=True, slots=True)
class OperatorFile:
    """The values in force, the lines that state them, and what is wrong."""

    table: tuple[Setting, ...]
    values: Mapping[str, Value]
    lines: Mapping[str, int]
    faults: tuple[Fault, ...] = ()
    place: str = ""

    def whole(self, name: str) -> int:
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

    def number(self, name: str) -> int | None:
        """The value of a setting that is a whole number, if it is set."""
        value = self.values[name]
        assert value is None or isinstance(value, int)
        return value

    def fault(self, name: str, text: str) -> Fault:
        """A fault with the place of a setting."""
        return Fault(self.place, self.lines.get(name), text)

    def differing(self, other: OperatorFile) -> list[Setting]:
        """The settings that have other values there."""
        return [s for s in self.table if self.values[s.name] != other.values.get(s.name)]

    def in_force(self) -> Iterator[str]:
        """Each value in force with its source."""
        for setting in self.table:
            line = self.lines.get(setting.name)
            source = "default" if line is None else f"{self.place} line {line}"
            yield f"{setting.name} {setting.show(self.values[setting.name])} ({source})"


def read(data: bytes, place: str, table: tuple[Setting, ...] = TABLE) -> OperatorFile:
    """A file's content, with all that is wrong with it by itself."""
    values = {setting.name: setting.default for setting in table}
    lines: dict[str, int] = {}
    faults: list[Fault] = []
    known = {setting.name: setting for setting in table}
    for number, raw in enumerate(data.removeprefix(b"\xef\xbb\xbf").split(b"\n"), 1):
        try:
            stated = _line(raw, known, lines)
            if stated is not None:
                name, value = stated
                values[name], lines[name] = value, number
        except UnicodeDecodeError:
            faults.append(Fault(place, number, "not UTF-8"))
        except ValueError as problem:
            faults.append(Fault(place, number, str(problem)))
    found = OperatorFile(table, values, lines, tuple(faults), place)
    faults += _between(found)
    return replace(found, faults=tuple(sorted(faults, key=lambda fault: fault.line or 0)))


def _between(found: OperatorFile) -> Iterator[Fault]:
    """What is wrong between settings that are right by themselves."""
    if found.table is TABLE:
        yield from _ring(found)
        yield from _tls(found)


def _ring(found: OperatorFile) -> Iterator[Fault]:
    count, size = found.whole("capture_segments"), found.whole("capture_segment_kb")
    if count * size > RING_KB:
        later = max(("capture_segments", "capture_segment_kb"), key=lambda name: found.lines.get(name, 0))
        yield found.fault(
            later,
            (
                f"capture_segments {count} of capture_segment_kb {size} make a ring of {count * size} KiB, "
                f"more than {RING_KB}"
            ),
        )


def _tls(found: OperatorFile) -> Iterator[Fault]:
    missing = [name for name in ("tls_cert", "tls_key") if found.text(name) is None]
    if len(missing) == 1:
        stated = "tls_key" if missing == ["tls_cert"] else "tls_cert"
        yield found.fault(stated, f"{stated} is set without {missing[0]}")
    elif missing and found.number("tls_listen") is not None:
        yield found.fault("tls_listen", "tls_listen needs tls_cert and tls_key")
    mode = found.text("tls_client_cert")
    if mode != "off" and found.text("tls_client_ca") is None:
        yield found.fault("tls_client_cert", f"tls_client_cert {mode} needs tls_client_ca")


def _line(raw: bytes, known: Mapping[str, Setting], lines: Mapping[str, int]) -> tuple[str, Value] | None:
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
        return name, setting.read(value)
    except ValueError as problem:
        raise ValueError(f'{name} "{value}" {problem}') from None


def defaults(table: tuple[Setting, ...] = TABLE) -> OperatorFile:
    """What is in force without a file."""
    return read(b"", "", table)


def look(path: str | Path, table: tuple[Setting, ...] = TABLE) -> OperatorFile:
    """A file with its faults; one that cannot be read is a fault."""
    place = Path(path).name
    try:
        return read(Path(path).read_bytes(), place, table)
    except OSError as problem:
        fault = Fault(place, None, problem.strerror or str(problem))
        nothing = defaults(table)
        return OperatorFile(table, nothing.values, {}, (fault,), place)


def load(path: str | Path | None, table: tuple[Setting, ...] = TABLE) -> OperatorFile:
    """A file that can be used, or what is in force without one. OperatorFileError if it has a fault."""
    return usable(defaults(table) if path is None else look(path, table))


def usable(found: OperatorFile) -> OperatorFile:
    """The same, if it has no fault; else OperatorFileError."""
    if found.faults:
        raise OperatorFileError(found.faults)
    return found


@dataclass(slots=True)
class Operators:
    """What the operators tell a router: their file, how to read it again, and the command line's switches."""

    file: OperatorFile = field(default_factory=defaults)
    reread: Callable[[], OperatorFile] | None = None
    capture: bool = False

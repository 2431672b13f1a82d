"""The fleet's file (`deploy/fleet.toml`): its witnesses, the key between processes, how leases are held.

Not read by `serve`. All faults are named at once, each with its place.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError, field_validator, model_validator

NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$"
WAVE_PATTERN = r"^(zone|rest|(100|[1-9][0-9]?)%)$"
MIN_KEY_BYTES = 16  # bytes


class FleetFileError(Exception):
    """The file cannot be used; `faults` has a line for each."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("\n".join(faults))
        self.faults = faults


class _Section(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)


class LeaseSettings(_Section):
    """How leases are held, where a command does not say otherwise. `ttl` in seconds."""

    ttl: Annotated[float, Field(ge=0.5, le=3600)] = 10.0
    # by which part a clock's rate may be off, of all clocks
    drift: Annotated[float, Field(ge=0.001, le=0.2)] = 0.025


Fraction = Annotated[float, Field(gt=0.0, le=1.0)]
MemberCount = Annotated[int, Field(ge=0, le=1_000)]


class OutLimits(_Section):
    """How many members of a kind may be out, by count, share and weight (parts of 1), in all and in a zone;
    how many must stay in a zone; what the store's room makes no limit smaller than.
    """

    most: Annotated[int, Field(ge=1, le=1_000)] = 1_000
    share: Fraction = 0.1
    weight: Fraction = 1.0
    zone_most: Annotated[int, Field(ge=1, le=1_000)] = 1_000
    zone_share: Fraction = 0.2
    zone_weight: Fraction = 1.0
    stay: MemberCount = 1
    least: MemberCount = 1


class DrainSettings(_Section):
    """Who may be out of a fleet. `closed`: hours of the day (UTC) in which nothing goes, as "07:00-09:30";
    `apart`: members that are not out together, by the name of what they share; `unasked`: so many more than
    a limit may be out by themselves before there is a halt. Times are seconds: `beat` between reports,
    `silent` without one, `lonely` without a quorum, `steady` until a member counts as back.
    """

    group: Annotated[str, Field(pattern=NAME_PATTERN)] = "main"
    routers: OutLimits = OutLimits()
    caches: OutLimits = OutLimits()
    back: OutLimits | None = None  # for routers on the way back from a release; none: as always
    closed: list[Annotated[str, Field(pattern=r"^([01]\d|2[0-3]):[0-5]\d-([01]\d|2[0-3]):[0-5]\d$")]] = []
    apart: dict[str, list[str]] = {}
    unasked: MemberCount = 0
    halt_above: Fraction = 0.3  # of a router's requests refused or failed, amid a drain
    beat: Annotated[float, Field(ge=0.2, le=60.0)] = 1.5
    silent: Annotated[float, Field(ge=1.0, le=600.0)] = 6.0
    lonely: Annotated[float, Field(ge=1.0, le=600.0)] = 6.0
    steady: Annotated[float, Field(ge=0.1, le=600.0)] = 2.0

    @model_validator(mode="after")
    def _check_silence(self) -> DrainSettings:
        if self.silent < 3.0 * self.beat:
            raise ValueError("silent is less than three beats: a report that is late would count as a loss")
        return self

    def closed_minutes(self) -> tuple[tuple[int, int], ...]:
        """The closed hours as minutes of the day."""

        def minute(text: str) -> int:
            return 60 * int(text[:2]) + int(text[3:])

        return tuple(
            (minute(begin), minute(end)) for begin, _, end in (one.partition("-") for one in self.closed)
        )


class ReleaseSettings(_Section):
    """How a release goes about it. `waves`: a number of routers, a part of all ("2%"), "zone" (the rest of
    the zone that was begun), "rest" (each other zone in turn). Seconds: `watch` of a wave at least, until
    its figures say enough, `patience` at most, then an operator is asked (or it goes on: `unsure`); `after`
    the last wave; `settle`: a new version serves for so long before it counts as back, within `probation`;
    `lost_for`: who is lost for so long is left behind; `pool`: figures are taken together over so long.
    `alarm`: the chance that a version which is no worse is taken for worse.
    """

    waves: list[Annotated[int, Field(ge=1, le=1_000)] | Annotated[str, Field(pattern=WAVE_PATTERN)]] = [
        1,
        "2%",
        "10%",
        "zone",
        "rest",
    ]
    watch: Annotated[float, Field(ge=1.0, le=86_400.0)] = 60.0
    patience: Annotated[float, Field(ge=1.0, le=86_400.0)] = 600.0
    after: Annotated[float, Field(ge=0.0, le=864_000.0)] = 600.0
    settle: Annotated[float, Field(ge=0.1, le=3600.0)] = 10.0
    probation: Annotated[float, Field(ge=0.5, le=3600.0)] = 30.0
    lost_for: Annotated[float, Field(ge=1.0, le=3600.0)] = 20.0
    pool: Annotated[float, Field(ge=0.5, le=600.0)] = 5.0
    alarm: Annotated[float, Field(gt=0.0, le=0.2)] = 0.01
    line: Fraction = 0.1  # so much of all requests lost, by new and old alike, is no time to judge
    failing: Annotated[float, Field(ge=0.0, le=1.0)] = 0.05  # part of a wave that may fail to come up
    unsure: Literal["ask", "go"] = "ask"
    auto_back: bool = True

    @model_validator(mode="after")
    def _check_times(self) -> ReleaseSettings:
        if self.probation < 2.0 * self.settle:
            raise ValueError("probation is less than two times settle: a start that is late would fail it")
        if self.patience < self.watch:
            raise ValueError("patience is less than watch")
        return self


class FleetFile(_Section):
    """The whole file. `witnesses`: name to host:port. `key_file`: its bytes sign what the processes say."""

    witnesses: dict[Annotated[str, Field(pattern=NAME_PATTERN)], str]
    key_file: str | None = None
    leases: LeaseSettings = LeaseSettings()
    drains: DrainSettings = DrainSettings()
    releases: ReleaseSettings = ReleaseSettings()

    @field_validator("witnesses")
    @classmethod
    def _check_addresses(cls, value: dict[str, str]) -> dict[str, str]:
        if not 1 <= len(value) <= 8:
            raise ValueError("1 to 7 witnesses, and one more while one is replaced")
        for name, text in value.items():
            host, _, port = text.rpartition(":")
            if not host or not port.isdecimal() or not 0 < int(port) < 65536:
                raise ValueError(f'{name} = "{text}" is not host:port')
        if len(set(value.values())) < len(value):
            raise ValueError("two witnesses have one address")
        return value

    def endpoints(self) -> dict[str, tuple[str, int]]:
        """Name to host and port."""
        parts = {name: text.rpartition(":") for name, text in self.witnesses.items()}
        return {name: (host.strip("[]"), int(port)) for name, (host, _, port) in parts.items()}


def load(path: Path) -> tuple[FleetFile, bytes]:
    """The file and its key (empty: none). FleetFileError names every fault."""
    try:
        document = tomllib.loads(path.read_text("utf-8"))
    except OSError as problem:
        raise FleetFileError([f"{path}: {problem.strerror}"]) from None
    except ValueError as problem:
        raise FleetFileError([f"{path}: {problem}"]) from None
    try:
        fleet = FleetFile.model_validate(document)
    except ValidationError as problem:
        faults = [f"{'.'.join(map(str, one['loc'])) or 'file'}: {one['msg']}" for one in problem.errors()]
        raise FleetFileError([f"{path}: {fault}" for fault in faults]) from None
    return fleet, _read_key(path, fleet)


def _read_key(path: Path, fleet: FleetFile) -> bytes:
    if fleet.key_file is None:
        return b""
    place = path.parent / fleet.key_file
    try:
        key = place.read_bytes().strip()
    except OSError as problem:
        raise FleetFileError([f"{path}: key_file {place}: {problem.strerror}"]) from None
    if len(key) < MIN_KEY_BYTES:
        raise FleetFileError([f"{path}: key_file {place} holds {len(key)} bytes; at least {MIN_KEY_BYTES}"])
    return key

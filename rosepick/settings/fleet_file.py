"""The fleet's file (`deploy/fleet.toml`): replicas and key of the quorum, leases, drains and rollouts.

`serve` does not read it. All faults are reported at once, each with its place.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError, field_validator, model_validator

NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$"
WAVE_PATTERN = r"^(zone|rest|(100|[1-9][0-9]?)%)$"
MIN_KEY_BYTES = 16
MAX_REPLICAS = 8  # a quorum has 7 at most, and one more while one is replaced
MINUTES_PER_HOUR = 60
MIN_BEATS_OF_SILENCE = 3.0
MIN_PROBATION_OF_SETTLE = 2.0
MAX_PORT = 65_535


class FleetFileError(Exception):
    """The file cannot be used; `faults` has one line for each fault, with its place."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("\n".join(faults))
        self.faults = faults


class _Section(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)


class LeaseSettings(_Section):
    """How leases are held, unless a command says otherwise.

    `ttl` is the time to live in seconds; `drift` is the largest share by which the rate of any clock is off.
    """

    ttl: Annotated[float, Field(ge=0.5, le=3600)] = 10.0
    drift: Annotated[float, Field(ge=0.001, le=0.2)] = 0.025


Fraction = Annotated[float, Field(gt=0.0, le=1.0)]
MemberCount = Annotated[int, Field(ge=0, le=1_000)]


class OutLimits(_Section):
    """How many members of a kind may be out at one time, in all and in one zone.

    `most` limits their count, `share` and `weight` their part of all members and of all weight (0 to 1); the
    fields with `zone_` do so within a zone. `stay` members of each zone stay in. `least` may be out however
    little capacity the store has.
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
    """The disruption budget of a fleet, and the timeouts of its agents (seconds).

    `group` names the members that are counted together. `closed` has hours of the day (UTC) in which no drain
    begins, as "07:00-09:30"; `apart` has members that may not be out together, by what they share; `unasked`
    is how many more than the limit may be lost before drains are halted. `back` limits routers that return
    from a rollout (None: as `routers`). `halt_above` is the share of a router's requests refused or failed,
    during a drain, that halts all drains.

    `beat` is the interval of health reports, and `silent` the time without one until a member counts as lost;
    `lonely` is the time without a quorum until a member that is out returns; `steady` is how long a member
    has to serve until it counts as back.
    """

    group: Annotated[str, Field(pattern=NAME_PATTERN)] = "main"
    routers: OutLimits = OutLimits()
    caches: OutLimits = OutLimits()
    back: OutLimits | None = None
    closed: list[Annotated[str, Field(pattern=r"^([01]\d|2[0-3]):[0-5]\d-([01]\d|2[0-3]):[0-5]\d$")]] = []
    apart: dict[str, list[str]] = {}
    unasked: MemberCount = 0
    halt_above: Fraction = 0.3
    beat: Annotated[float, Field(ge=0.2, le=60.0)] = 1.5
    silent: Annotated[float, Field(ge=1.0, le=600.0)] = 6.0
    lonely: Annotated[float, Field(ge=1.0, le=600.0)] = 6.0
    steady: Annotated[float, Field(ge=0.1, le=600.0)] = 2.0

    @model_validator(mode="after")
    def _check_silence(self) -> DrainSettings:
        if self.silent < MIN_BEATS_OF_SILENCE * self.beat:
            raise ValueError("silent is less than three beats: a report that is late would count as a loss")
        return self

    def closed_minutes(self) -> tuple[tuple[int, int], ...]:
        """Return the closed hours as minutes of the day: begin and end of each."""
        return tuple(
            (_minute_of_day(begin), _minute_of_day(end))
            for begin, _, end in (hours.partition("-") for hours in self.closed)
        )


def _minute_of_day(text: str) -> int:
    """Return the minute of the day of a time as "07:30"."""
    return MINUTES_PER_HOUR * int(text[:2]) + int(text[3:])


class ReleaseSettings(_Section):
    """How rollouts are led (times in seconds).

    `waves` has the steps of a rollout: a number of routers, a share of all ("2%"), "zone" (the rest of the
    zone that was begun), or "rest" (each other zone in turn). `watch` is the shortest observation of a wave,
    and `patience` the longest; if its figures are still undecided then, `unsure` says whether an operator is
    asked or the rollout goes on. `after` is the observation after the last wave.

    A new version counts as back once it has served for `settle`, within `probation`. A member that is lost
    for `lost_for` is left behind, and `failing` is the share of a wave that may fail to start. Figures are
    pooled over intervals of `pool`. `alarm` is the probability that a version which is no worse is taken for
    worse. While more than `line` of all requests is lost, by the old version as well, nothing is concluded.
    `auto_back` rolls a worse version back without being asked.
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
    line: Fraction = 0.1
    failing: Annotated[float, Field(ge=0.0, le=1.0)] = 0.05
    unsure: Literal["ask", "go"] = "ask"
    auto_back: bool = True

    @model_validator(mode="after")
    def _check_times(self) -> ReleaseSettings:
        if self.probation < MIN_PROBATION_OF_SETTLE * self.settle:
            raise ValueError("probation is less than two times settle: a start that is late would fail it")
        if self.patience < self.watch:
            raise ValueError("patience is less than watch")
        return self


class FleetFile(_Section):
    """The whole file.

    `witnesses` has the replicas of the quorum, as name and host:port. The bytes of `key_file` (a path beside
    this file) authenticate the messages between processes.
    """

    witnesses: dict[Annotated[str, Field(pattern=NAME_PATTERN)], str]
    key_file: str | None = None
    leases: LeaseSettings = LeaseSettings()
    drains: DrainSettings = DrainSettings()
    releases: ReleaseSettings = ReleaseSettings()

    @field_validator("witnesses")
    @classmethod
    def _check_addresses(cls, value: dict[str, str]) -> dict[str, str]:
        if not 1 <= len(value) <= MAX_REPLICAS:
            raise ValueError("1 to 7 witnesses, and one more while one is replaced")
        for name, text in value.items():
            host, _, port = text.rpartition(":")
            if not host or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
                raise ValueError(f'{name} = "{text}" is not host:port')
        if len(set(value.values())) < len(value):
            raise ValueError("two witnesses have one address")
        return value

    def endpoints(self) -> dict[str, tuple[str, int]]:
        """Return the host and port of each replica, by its name."""
        parts = {name: text.rpartition(":") for name, text in self.witnesses.items()}
        return {name: (host.strip("[]"), int(port)) for name, (host, _, port) in parts.items()}


def load(path: Path) -> tuple[FleetFile, bytes]:
    """Read the fleet's file and its key (empty: none).

    Raises:
        FleetFileError: the file or its key cannot be read, or a value is invalid; it has all faults.
    """
    try:
        document = tomllib.loads(path.read_text("utf-8"))
    except OSError as error:
        raise FleetFileError([f"{path}: {error.strerror}"]) from None
    except ValueError as error:
        raise FleetFileError([f"{path}: {error}"]) from None
    try:
        fleet = FleetFile.model_validate(document)
    except ValidationError as error:
        faults = [
            f"{'.'.join(map(str, detail['loc'])) or 'file'}: {detail['msg']}" for detail in error.errors()
        ]
        raise FleetFileError([f"{path}: {fault}" for fault in faults]) from None
    return fleet, _read_key(path, fleet)


def _read_key(path: Path, fleet: FleetFile) -> bytes:
    if fleet.key_file is None:
        return b""
    key_path = path.parent / fleet.key_file
    try:
        key = key_path.read_bytes().strip()
    except OSError as error:
        raise FleetFileError([f"{path}: key_file {key_path}: {error.strerror}"]) from None
    if len(key) < MIN_KEY_BYTES:
        fault = f"key_file {key_path} holds {len(key)} bytes; at least {MIN_KEY_BYTES}"
        raise FleetFileError([f"{path}: {fault}"])
    return key

"""Reads the fleet file (`deploy/fleet.toml`): replicas and key of the quorum, leases, drains and rollouts.

`serve` does not read this file. All errors are reported at once, each with its path in the file.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError, field_validator, model_validator

NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$"
WAVE_PATTERN = r"^(zone|rest|(100|[1-9][0-9]?)%)$"
MIN_KEY_BYTES = 16
MAX_REPLICAS = 8  # a quorum of 7, and one more while a replica is replaced
MINUTES_PER_HOUR = 60
MIN_SILENT_TO_BEAT_RATIO = 3.0
MIN_PROBATION_TO_SETTLE_RATIO = 2.0
MAX_PORT = 65_535


class FleetFileError(Exception):
    """Signals an invalid file; `faults` has one line for each error, with its path in the file."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("\n".join(faults))
        self.faults = faults


class _Section(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)


class LeaseSettings(_Section):
    """Holds the defaults of leases, which options of a command override.

    `ttl` is the time to live in seconds. `drift` is the largest relative error of the rate of any clock.
    """

    ttl: Annotated[float, Field(ge=0.5, le=3600)] = 10.0
    drift: Annotated[float, Field(ge=0.001, le=0.2)] = 0.025


Fraction = Annotated[float, Field(gt=0.0, le=1.0)]
MemberCount = Annotated[int, Field(ge=0, le=1_000)]


class OutageLimits(_Section):
    """Limits how many members of a kind may be out at the same time, in the fleet and in one zone.

    `most` limits the number of members that are out. `share` and `weight` limit their fraction of all members
    and of all weight (0 to 1). The fields with the prefix `zone_` set the same limits for each zone. At least
    `stay` members of each zone stay in. Reduced capacity of the origin lowers the limits of number and share
    in proportion, but not below `least` members. A limit that is lower than `least` stays as it is.
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
    """Holds the disruption budget of a fleet and the timeouts of its agents, in seconds.

    `group` names the group whose members are counted together. `closed` lists hours of the day (UTC) in which
    no drain begins, such as "07:00-09:30". `apart` lists members that may not be out together, by the
    resource that they share. `unasked` is the number of members that may be lost beyond the limit before
    drains are halted. `back` replaces `routers` when a router leaves to return to the old version in a
    rollback; None applies `routers`. Its `stay` also applies to immediate drains of routers, to which no
    other limit applies. All drains are halted if a router refuses or fails more than the fraction
    `halt_above` of its requests during a drain.

    `beat` is the interval between health reports. A member without reports for `silent` counts as lost. A
    member that is out returns after `lonely` without a quorum. A member counts as back after it has served
    for `steady`.
    """

    group: Annotated[str, Field(pattern=NAME_PATTERN)] = "main"
    routers: OutageLimits = OutageLimits()
    caches: OutageLimits = OutageLimits()
    back: OutageLimits | None = None
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
        if self.silent < MIN_SILENT_TO_BEAT_RATIO * self.beat:
            raise ValueError("silent is less than three beats: a report that is late would count as a loss")
        return self

    def closed_minutes(self) -> tuple[tuple[int, int], ...]:
        """Return the closed hours as pairs of minutes of the day, from begin to end."""
        return tuple(
            (_minute_of_day(begin), _minute_of_day(end))
            for begin, _, end in (hours.partition("-") for hours in self.closed)
        )


def _minute_of_day(text: str) -> int:
    """Return the minute of the day of a time such as "07:30"."""
    return MINUTES_PER_HOUR * int(text[:2]) + int(text[3:])


class ReleaseSettings(_Section):
    """Configures rollouts; times are in seconds.

    `waves` lists the waves of a rollout: a number of routers, a percentage of all routers ("2%"), "zone" (the
    remaining routers of the zone in which the rollout began), or "rest" (the other zones, one after the
    other). `watch` is the shortest and `patience` the longest observation of a wave. If the canary analysis
    has no result after `patience`, `unsure` selects whether the rollout asks an operator or continues.
    `after` is the time of observation after the last wave.

    A router with a new version counts as back after it has served for `settle`, which it has to reach within
    `probation`. The rollout skips a member that is lost for `lost_for`. `failing` is the fraction of a wave
    that may fail to start. The canary analysis pools measurements over intervals of `pool`. `alarm` is its
    false-positive rate: the probability that it takes a version for worse that is not. Time does not count as
    observation while routers of the old and the new version together lose more than the fraction `line` of
    their requests; the analysis continues and can still reject the version. With `auto_back`, a worse version
    is rolled back without a command of an operator.
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
        if self.probation < MIN_PROBATION_TO_SETTLE_RATIO * self.settle:
            raise ValueError("probation is less than two times settle: a start that is late would fail it")
        if self.patience < self.watch:
            raise ValueError("patience is less than watch")
        return self


class FleetFile(_Section):
    """Holds the content of the fleet file.

    `witnesses` maps the names of the quorum's replicas to `host:port`. The content of `key_file`, a path
    relative to this file, authenticates the messages between processes.
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
    """Read the fleet file and its key; the key is empty if the file names none.

    Raises:
        FleetFileError: the file or its key cannot be read, or values are invalid; it lists all errors.
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

"""Reads drill files (`drills/*.toml`), which define fault-injection tests: processes, leases and faults."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Literal

from pydantic import Field, ValidationError, model_validator

from .fault_plan import FaultName
from .strict_model import StrictModel


class DrillError(Exception):
    """A drill file cannot be used; `errors` has a line for each error, with the file and the key."""

    def __init__(self, errors: list[str]) -> None:
        super().__init__("\n".join(errors))
        self.errors = errors


class ProcessSettings(StrictModel):
    """The number of processes of each kind, and their clock skew.

    `runners` are processes of `rosepick lease run` with a command. Clocks run faster or slower by up to
    `rate`, a fraction.
    """

    witnesses: Annotated[int, Field(ge=1, le=7)] = 5
    workers: Annotated[int, Field(ge=0, le=64)] = 6
    runners: Annotated[int, Field(ge=0, le=16)] = 2
    tasks: Annotated[int, Field(ge=1, le=50)] = 2
    rate: Annotated[float, Field(ge=0.0, le=0.2)] = 0.02


class DrillLeaseSettings(StrictModel):
    """The time to live of leases in seconds, and the clock drift that they allow for, a fraction."""

    ttl: Annotated[float, Field(ge=0.5, le=60.0)] = 2.0
    drift: Annotated[float, Field(ge=0.001, le=0.2)] = 0.025


class FaultSettings(StrictModel):
    """When faults are injected, and of which kinds.

    Faults occur for `seconds`, one per `each` seconds on average. The test continues for `quiet` seconds
    after the last one. If `kinds` is empty, all kinds occur but those that must be named.
    """

    seconds: Annotated[float, Field(ge=0.0, le=3600.0)] = 20.0
    each: Annotated[float, Field(gt=0.0)] = 0.8
    kinds: list[str] = Field(default_factory=list)
    quiet: Annotated[float, Field(ge=0.0, le=120.0)] = 4.0

    @model_validator(mode="after")
    def _check_kinds(self) -> FaultSettings:
        unknown = sorted(set(self.kinds) - set(FaultName))
        if unknown:
            raise ValueError(f"unknown fault kinds: {', '.join(unknown)}")
        return self


class Drill(StrictModel):
    """A fault-injection test; `least` has the minimum counts that make its result meaningful."""

    title: str = "drill"
    plays: Literal["leases", "drains", "releases"] = "leases"
    processes: ProcessSettings = ProcessSettings()
    leases: DrillLeaseSettings = DrillLeaseSettings()
    faults: FaultSettings = FaultSettings()
    least: dict[str, int] = Field(default_factory=dict)


def load_drill(path: Path) -> Drill:
    """Read a drill file.

    Raises:
        DrillError: the file cannot be read or is not valid; it lists every error.
    """
    try:
        return Drill.model_validate(tomllib.loads(path.read_text("utf-8")))
    except OSError as error:
        raise DrillError([f"{path}: {error.strerror}"]) from None
    except ValidationError as error:
        lines = [
            f"{path}: {'.'.join(map(str, detail['loc'])) or 'file'}: {detail['msg']}"
            for detail in error.errors()
        ]
        raise DrillError(lines) from None
    except ValueError as error:
        raise DrillError([f"{path}: {error}"]) from None

"""Drill files (`drills/*.toml`): which processes, how leases are held, which faults."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from .fault_plan import FAULT_KINDS


class DrillError(Exception):
    """The file cannot be used; `errors` has a line for each."""

    def __init__(self, errors: list[str]) -> None:
        super().__init__("\n".join(errors))
        self.errors = errors


class _Table(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)


class ProcessSettings(_Table):
    """How many of each kind. `runners`: `rosepick lease run` with a command; `rate`: clocks are off by up to
    it.
    """

    witnesses: Annotated[int, Field(ge=1, le=7)] = 5
    workers: Annotated[int, Field(ge=0, le=64)] = 6
    runners: Annotated[int, Field(ge=0, le=16)] = 2
    tasks: Annotated[int, Field(ge=1, le=50)] = 2
    rate: Annotated[float, Field(ge=0.0, le=0.2)] = 0.02


class DrillLeaseSettings(_Table):
    """How leases are held; seconds."""

    ttl: Annotated[float, Field(ge=0.5, le=60.0)] = 2.0
    drift: Annotated[float, Field(ge=0.001, le=0.2)] = 0.025


class FaultSettings(_Table):
    """For how long there are faults, how often, and which kinds: all, if none is named. Seconds."""

    seconds: Annotated[float, Field(ge=0.0, le=3600.0)] = 20.0
    each: Annotated[float, Field(gt=0.0)] = 0.8
    kinds: list[str] = []
    quiet: Annotated[float, Field(ge=0.0, le=120.0)] = 4.0  # after them

    @model_validator(mode="after")
    def _known(self) -> FaultSettings:
        unknown = sorted(set(self.kinds) - {kind.name for kind in FAULT_KINDS})
        if unknown:
            raise ValueError(f"no such faults: {', '.join(unknown)}")
        return self


class Drill(_Table):
    """A drill. `least` names counts that must be reached, else the drill shows nothing."""

    title: str = "drill"
    plays: Literal["leases", "drains", "releases"] = "leases"
    processes: ProcessSettings = ProcessSettings()
    leases: DrillLeaseSettings = DrillLeaseSettings()
    faults: FaultSettings = FaultSettings()
    least: dict[str, int] = {}


def load_drill(path: Path) -> Drill:
    """The file. DrillError names every fault."""
    try:
        return Drill.model_validate(tomllib.loads(path.read_text("utf-8")))
    except OSError as problem:
        raise DrillError([f"{path}: {problem.strerror}"]) from None
    except ValidationError as problem:
        faults = [f"{'.'.join(map(str, one['loc'])) or 'file'}: {one['msg']}" for one in problem.errors()]
        raise DrillError([f"{path}: {fault}" for fault in faults]) from None
    except ValueError as problem:
        raise DrillError([f"{path}: {problem}"]) from None

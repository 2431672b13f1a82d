"""The base of what is read from TOML files of fault-injection tests."""

from __future__ import annotations

from pydantic import BaseModel, ConfigDict


class StrictModel(BaseModel):
    """A frozen table of a file: unknown keys and values of another type are errors."""

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)

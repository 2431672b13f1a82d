"""The base class of models that are read from TOML files of fault-injection tests."""

from __future__ import annotations

from pydantic import BaseModel, ConfigDict


class StrictModel(BaseModel):
    """An immutable table of a file; unknown keys and values of the wrong type are errors."""

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)

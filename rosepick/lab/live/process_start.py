"""Defines the options with which a router process is started."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class ProcessStart:
    """The module to run in place of the program, additional environment variables and arguments."""

    module: str = "rosepick"
    environment: Mapping[str, str] = field(default_factory=dict)
    arguments: tuple[str, ...] = ()  # of the command `serve`

"""How a router process is started: by which module, and with what beside the usual environment."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class ProcessStart:
    """The module that is run in place of the program, additional environment variables and arguments."""

    module: str = "rosepick"
    environment: Mapping[str, str] = field(default_factory=dict)
    arguments: tuple[str, ...] = ()  # of `serve`

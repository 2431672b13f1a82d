"""What an agent is doing, on its disk."""

from __future__ import annotations

import json
import os
from pathlib import Path
from typing import Any

from .acceptor_store import SqliteFencingTokenStore, StoreError


class AgentStateFile:
    """What an agent is doing, on its disk: where its member stands, its permit, its process."""

    def __init__(self, folder: Path) -> None:
        self.tokens = SqliteFencingTokenStore(folder)  # the folder is this agent's alone
        self._path = folder / "agent.json"
        try:
            text = self._path.read_text("utf-8") if self._path.exists() else "{}"
            self._values: dict[str, Any] = json.loads(text)
        except (OSError, ValueError) as problem:
            self.tokens.close()
            raise StoreError(f"{self._path}: {problem}") from None

    def load(self) -> tuple[int, int]:
        """Where the member stands, and the permit."""
        return int(self._values.get("at", 0)), int(self._values.get("permit", 0))

    def save(self, phase: int, permit: int) -> None:
        """It is on the disk when this returns."""
        self.put(at=phase, permit=permit)

    def put(self, **more: Any) -> None:
        """Keep something: written beside, synchronised, and put in the place of the old."""
        self._values |= more
        beside = self._path.with_suffix(".new")
        with beside.open("w", encoding="utf-8") as file:
            json.dump(self._values, file)
            file.flush()
            os.fsync(file.fileno())
        beside.replace(self._path)
        folder = os.open(self._path.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def get(self, name: str) -> Any:
        """What was kept under a name."""
        return self._values.get(name)

    def close(self) -> None:
        """Let go of the folder."""
        self.tokens.close()

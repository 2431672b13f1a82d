"""Stores the durable state of an agent in a JSON file in its folder."""

from __future__ import annotations

import json
import os
from pathlib import Path
from typing import Any

from .acceptor_store import SqliteFencingTokenStore, StoreError


class AgentStateFile:
    """Stores the durable state of an agent: its member's phase, permit, process and versions, by name.

    `tokens` stores the fencing tokens in the same folder, and locks the folder for this agent.

    Raises:
        StoreError: The folder or the file cannot be used.
    """

    def __init__(self, folder: Path) -> None:
        self.tokens = SqliteFencingTokenStore(folder)
        self._path = folder / "agent.json"
        try:
            text = self._path.read_text("utf-8") if self._path.exists() else "{}"
            self._values: dict[str, Any] = json.loads(text)
        except (OSError, ValueError) as error:
            self.tokens.close()
            raise StoreError(f"{self._path}: {error}") from None

    def load(self) -> tuple[int, int]:
        """Return the stored phase and permit of the member; zeros if none are stored."""
        return int(self._values.get("at", 0)), int(self._values.get("permit", 0))

    def save(self, phase: int, permit: int) -> None:
        """Store phase and permit; they are on disk when this returns."""
        self.put(at=phase, permit=permit)

    def put(self, **values: Any) -> None:
        """Store values by name: replace the whole file and synchronise it to the disk.

        Raises:
            OSError: The file cannot be written.
        """
        stored = {**self._values, **values}
        try:
            self._replace_file(stored)
        except OSError:
            # Reload the values from the file, which is the old one or the new one: values whose write failed
            # must not reach the disk with the next write of other values.
            self._values = self._read_file(self._values)
            raise
        self._values = stored

    def _replace_file(self, values: dict[str, Any]) -> None:
        new_file = self._path.with_suffix(".new")
        with new_file.open("w", encoding="utf-8") as file:
            json.dump(values, file)
            file.flush()
            os.fsync(file.fileno())
        new_file.replace(self._path)
        folder_descriptor = os.open(self._path.parent, os.O_RDONLY)
        try:
            os.fsync(folder_descriptor)
        finally:
            os.close(folder_descriptor)

    def _read_file(self, default: dict[str, Any]) -> dict[str, Any]:
        """Return the values in the file, or `default` if it cannot be read."""
        try:
            values: dict[str, Any] = json.loads(self._path.read_text("utf-8"))
        except (OSError, ValueError):
            return default
        return values

    def get(self, name: str) -> Any:
        """Return the value stored under `name`; None if there is none."""
        return self._values.get(name)

    def close(self) -> None:
        """Unlock the folder."""
        self.tokens.close()

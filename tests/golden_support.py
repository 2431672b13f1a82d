"""Helpers of the golden tests: the folder of the golden files, and the class of a form.

This module imports no names of the program.
"""

from __future__ import annotations

import json
import tempfile
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

GOLDEN = Path(__file__).resolve().parent / "golden"
SAME: Callable[[bytes], bytes] = bytes


@dataclass(frozen=True)
class Form:
    """Holds a representative value and the functions by which the program encodes and decodes it.

    `comparable` returns the part of the bytes that has to be equal, for encodings that are not deterministic.
    `grows` marks a JSON document to which new names may be added; recorded names and values must not change.
    """

    value: Callable[[], Any]
    write: Callable[[Any], bytes]
    read: Callable[[bytes], Any] | None = None
    comparable: Callable[[bytes], bytes] = SAME
    grows: bool = False

    def holds(self, written: bytes, recorded: bytes) -> bool:
        """Return whether the written bytes match the recorded ones."""
        if self.grows:
            return _includes(json.loads(written), json.loads(recorded))
        return self.comparable(written) == self.comparable(recorded)


def _includes(value: object, recorded: object) -> bool:
    """Return whether a JSON value equals the recorded one, apart from additional names in its objects."""
    if isinstance(value, dict) and isinstance(recorded, dict):
        return all(name in value and _includes(value[name], part) for name, part in recorded.items())
    if isinstance(value, list) and isinstance(recorded, list):
        return len(value) == len(recorded) and all(map(_includes, value, recorded))
    return value == recorded


def constant(value: object) -> Callable[[], object]:
    """Return a function that returns `value`."""
    return lambda: value


def as_json(value: object) -> bytes:
    """Encode a value as indented JSON with sorted keys, for comparison line by line."""
    return (json.dumps(value, indent=1, sort_keys=True) + "\n").encode()


def as_given(value: bytes) -> bytes:
    """Return bytes unchanged, for forms whose value is already encoded."""
    return value


def write_file(folder: Path, name: str, data: bytes) -> Path:
    """Write a file and return its path."""
    path = folder / name
    path.write_bytes(data)
    return path


@contextmanager
def temporary_folder() -> Iterator[Path]:
    """Give a folder that is removed at the end."""
    with tempfile.TemporaryDirectory() as name:
        yield Path(name)

"""What the golden forms have in common: where the files are, and what a form is.

Nothing of the program is used here.
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
    """One form: a representative value, and how the program writes and reads it.

    `comparable` turns the bytes into those that have to be equal, where the form itself is not exact.
    `grows`: it is a JSON document of names that others may be added to; what is recorded stays as it is.
    """

    value: Callable[[], Any]
    write: Callable[[Any], bytes]
    read: Callable[[bytes], Any] | None = None
    comparable: Callable[[bytes], bytes] = SAME
    grows: bool = False

    def holds(self, written: bytes, recorded: bytes) -> bool:
        """Whether what the program writes now is what was recorded."""
        if self.grows:
            return _includes(json.loads(written), json.loads(recorded))
        return self.comparable(written) == self.comparable(recorded)


def _includes(value: object, recorded: object) -> bool:
    """Whether a JSON value is the recorded one, with more names in its objects at most."""
    if isinstance(value, dict) and isinstance(recorded, dict):
        return all(name in value and _includes(value[name], part) for name, part in recorded.items())
    if isinstance(value, list) and isinstance(recorded, list):
        return len(value) == len(recorded) and all(map(_includes, value, recorded))
    return value == recorded


def constant(value: object) -> Callable[[], object]:
    """Return a function that gives a value."""
    return lambda: value


def as_json(value: object) -> bytes:
    """Encode a value as JSON that is pleasant to compare line by line."""
    return (json.dumps(value, indent=1, sort_keys=True) + "\n").encode()


def as_given(value: bytes) -> bytes:
    """Write bytes as they are."""
    return value


def text_of(folder: Path, name: str, data: bytes) -> Path:
    """Write a file and return its path."""
    path = folder / name
    path.write_bytes(data)
    return path


@contextmanager
def temporary_folder() -> Iterator[Path]:
    """Give a folder that is removed at the end."""
    with tempfile.TemporaryDirectory() as name:
        yield Path(name)

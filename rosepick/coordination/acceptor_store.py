"""Files of the agreement: what a witness keeps, and the highest tokens of a guard. sqlite3, each change
synchronised.

A folder belongs to one process at a time, and its file is known by its inode: a copy that was put in its
place is another file, and does not vote as what it was.
"""

from __future__ import annotations

import fcntl
import os
import sqlite3
from pathlib import Path
from typing import TypeVar

import msgspec

from ..consensus.acceptor import AcceptorState, StateChanges, StorageStart
from ..consensus.messages import Quorum, RegisterState

T = TypeVar("T")
SCHEMA_VERSION = 1  # of the tables
DATABASE_NAME = "witness.sqlite3"
HARD_LINK_NAME = DATABASE_NAME + ".same"
_SCHEMA = """
create table if not exists meta (name text primary key, value blob) without rowid;
create table if not exists slots (name text primary key, slot blob) without rowid;
create table if not exists met (storage text primary key, starts integer, run text) without rowid;
create table if not exists tokens (task text primary key, token integer) without rowid;
"""


class StoreError(Exception):
    """The folder cannot be used; the text says why."""


def _open_database(path: Path) -> sqlite3.Connection:
    db = sqlite3.connect(path, isolation_level=None, timeout=0.0)
    db.execute("pragma journal_mode=wal")
    db.execute("pragma synchronous=full")  # each commit is on the disk when it returns
    db.execute("pragma wal_autocheckpoint=400")
    db.executescript(_SCHEMA)
    return db


class LockedFolder:
    """A folder of one process."""

    def __init__(self, folder: Path) -> None:
        self.path = folder
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self._lock_descriptor = os.open(folder / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
        except OSError as problem:
            raise StoreError(f"{folder}: {problem.strerror}") from None
        try:
            fcntl.flock(self._lock_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self._lock_descriptor)
            raise StoreError(f"{folder}: another process uses it") from None

    def close(self) -> None:
        """Another process may use it from now on."""
        os.close(self._lock_descriptor)


class AcceptorStore:
    """What a witness keeps. `new`: an identity for a folder that has none; drawn by the caller."""

    def __init__(self, folder: Path, new_storage_id: str) -> None:
        self.folder = LockedFolder(folder)
        self.path = folder / DATABASE_NAME
        self.was_copied = False  # the file is a copy: it was set aside, and the storage is a new one
        try:
            self._open_storage(new_storage_id)
        except (sqlite3.Error, msgspec.MsgspecError) as problem:
            self.folder.close()
            raise StoreError(f"{self.path}: {problem}") from None

    def _open_storage(self, new_storage_id: str) -> None:
        self._db = _open_database(self.path)
        if self._read_meta("inode", str) not in (None, self._inode()) or not self._hard_link_matches():
            self.set_aside(new_storage_id)
            self.was_copied = True
            return
        self._load_state(new_storage_id)

    def _load_state(self, new_storage_id: str) -> None:
        form = self._read_meta("form", int)
        if form is not None and form > SCHEMA_VERSION:
            raise sqlite3.DatabaseError(f"its form {form} is newer than this program's {SCHEMA_VERSION}")
        storage = self._read_meta("storage", str) or new_storage_id
        starts = (self._read_meta("starts", int) or 0) + 1
        self._db.execute("begin immediate")
        for name, value in (
            ("form", SCHEMA_VERSION),
            ("storage", storage),
            ("starts", starts),
            ("inode", self._inode()),
        ):
            self._write_meta(name, value)
        self._db.execute("commit")
        slots: dict[str, RegisterState] = {
            name: msgspec.msgpack.decode(blob, type=RegisterState)
            for name, blob in self._db.execute("select name, slot from slots")
        }
        met = {
            storage: StorageStart(starts, run)
            for storage, starts, run in self._db.execute("select * from met")
        }
        self.state = AcceptorState(
            storage,
            starts,
            self._read_meta("quorum", Quorum),
            bool(self._read_meta("sealed", bool)),
            slots,
            met,
        )

    def set_aside(self, new_storage_id: str) -> None:
        """Begin as a new storage; the old file stays beside for whoever wants to look."""
        self._db.close()
        for number in range(1000):
            aside = self.folder.path / f"aside-{number}"
            if not aside.exists():
                break
        aside.mkdir()
        for path in self.folder.path.glob(DATABASE_NAME + "*"):
            path.rename(aside / path.name)
        self._db = _open_database(self.path)
        self._hard_link_matches()
        self._load_state(new_storage_id)

    def _hard_link_matches(self) -> bool:
        """Whether the second name is of the same file; it is given one where it has none and never had."""
        second = self.path.with_name(HARD_LINK_NAME)
        if second.exists():
            return second.samefile(self.path)
        if self._read_meta("inode", str) is not None and self._read_meta("second", bool):
            return False
        try:
            second.hardlink_to(self.path)
        except OSError:
            return True  # a file system without them: the inode's number alone has to tell
        self._write_meta("second", True)
        return True

    def _inode(self) -> str:
        return str(self.path.stat().st_ino)

    def _read_meta(self, name: str, kind: type[T]) -> T | None:
        row = self._db.execute("select value from meta where name = ?", (name,)).fetchone()
        return None if row is None else msgspec.msgpack.decode(row[0], type=kind)

    def _write_meta(self, name: str, value: object) -> None:
        self._db.execute("insert or replace into meta values (?, ?)", (name, msgspec.msgpack.encode(value)))

    def save(self, changes: StateChanges) -> None:
        """Have the changes on the disk. sqlite3.Error or OSError if that cannot be: then nothing may be
        said.
        """
        self._db.execute("begin immediate")
        if changes.epoch_installed:
            self._db.execute("delete from slots")
            self._write_meta("quorum", self.state.quorum)
        if changes.epoch_installed or changes.epoch_sealed:
            self._write_meta("sealed", self.state.is_sealed)
        slots = self.state.register_states if changes.epoch_installed else changes.register_states
        self._db.executemany(
            "insert or replace into slots values (?, ?)",
            [(name, msgspec.msgpack.encode(slot)) for name, slot in slots.items()],
        )
        self._db.executemany(
            "insert or replace into met values (?, ?, ?)",
            [(one, *met) for one, met in changes.known_starts.items()],
        )
        self._db.execute("commit")

    def close(self) -> None:
        """Let go of the folder."""
        self._db.close()
        self.folder.close()


class SqliteFencingTokenStore:
    """The highest tokens of a guard, on the disk before a step is taken."""

    def __init__(self, folder: Path) -> None:
        self._folder = LockedFolder(folder)
        try:
            self._db = _open_database(folder / "guard.sqlite3")
            self._highest_tokens: dict[str, int] = dict(self._db.execute("select task, token from tokens"))
        except sqlite3.Error as problem:
            self._folder.close()
            raise StoreError(f"{folder}: {problem}") from None

    def highest_token(self, task: str) -> int:
        """The highest token taken for a task, 0 if none was."""
        return self._highest_tokens.get(task, 0)

    def save_token(self, task: str, token: int) -> None:
        """Keep a higher one."""
        try:
            self._db.execute("insert or replace into tokens values (?, ?)", (task, token))
        except sqlite3.Error as problem:
            raise OSError(f"{self._folder.path}: {problem}") from None
        self._highest_tokens[task] = token

    def close(self) -> None:
        """Let go of the folder."""
        self._db.close()
        self._folder.close()

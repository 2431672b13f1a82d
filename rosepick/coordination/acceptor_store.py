"""Durable state in SQLite: the state of an acceptor, and the highest fencing tokens of a guard.

Each commit is synchronised to the disk. A folder is locked by one process at a time. The store recognises its
database by the inode and by a hard link. A copy that replaced the database is another file, so it becomes a
new storage.
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
SCHEMA_VERSION = 1  # stored in the database; a newer version is refused
DATABASE_NAME = "witness.sqlite3"
MAX_ARCHIVE_FOLDERS = 1_000
HARD_LINK_NAME = DATABASE_NAME + ".same"
_SCHEMA = """
create table if not exists meta (name text primary key, value blob) without rowid;
create table if not exists slots (name text primary key, slot blob) without rowid;
create table if not exists met (storage text primary key, starts integer, run text) without rowid;
create table if not exists tokens (task text primary key, token integer) without rowid;
"""


class StoreError(Exception):
    """Raised if a folder cannot be used: it is locked, cannot be read, or has a newer schema."""


def _open_database(path: Path) -> sqlite3.Connection:
    db = sqlite3.connect(path, isolation_level=None, timeout=0.0)
    db.execute("pragma journal_mode=wal")
    db.execute("pragma synchronous=full")  # a commit is on disk when it returns
    db.execute("pragma wal_autocheckpoint=400")
    db.executescript(_SCHEMA)
    return db


class LockedFolder:
    """Is a folder that this process has locked.

    Raises:
        StoreError: The folder cannot be created or is locked by another process.
    """

    def __init__(self, folder: Path) -> None:
        self.path = folder
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self._lock_descriptor = os.open(folder / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
        except OSError as error:
            raise StoreError(f"{folder}: {error.strerror}") from None
        try:
            fcntl.flock(self._lock_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self._lock_descriptor)
            raise StoreError(f"{folder}: another process has locked it") from None

    def close(self) -> None:
        """Unlock the folder."""
        os.close(self._lock_descriptor)


class AcceptorStore:
    """Stores the durable state of an acceptor.

    `new_storage_id` is a random id from the caller; it becomes the identity of a folder that has none.

    Raises:
        StoreError: The folder cannot be used.
    """

    def __init__(self, folder: Path, new_storage_id: str) -> None:
        self.folder = LockedFolder(folder)
        self.path = folder / DATABASE_NAME
        self.was_copied = False  # the database was a copy: it was archived, and a new storage was started
        try:
            self._open_storage(new_storage_id)
        except (sqlite3.Error, msgspec.MsgspecError) as error:
            self.folder.close()
            raise StoreError(f"{self.path}: {error}") from None

    def _open_storage(self, new_storage_id: str) -> None:
        self._db = _open_database(self.path)
        if self._read_meta("inode", str) not in (None, self._inode()) or not self._hard_link_matches():
            self.replace_storage(new_storage_id)
            self.was_copied = True
            return
        self._load_state(new_storage_id)

    def _load_state(self, new_storage_id: str) -> None:
        version = self._read_meta("form", int)
        if version is not None and version > SCHEMA_VERSION:
            raise sqlite3.DatabaseError(
                f"schema version {version} is newer than the supported {SCHEMA_VERSION}"
            )
        storage_id = self._read_meta("storage", str) or new_storage_id
        start_count = (self._read_meta("starts", int) or 0) + 1
        self._db.execute("begin immediate")
        for name, value in (
            ("form", SCHEMA_VERSION),
            ("storage", storage_id),
            ("starts", start_count),
            ("inode", self._inode()),
        ):
            self._write_meta(name, value)
        self._db.execute("commit")
        register_states: dict[str, RegisterState] = {
            name: msgspec.msgpack.decode(blob, type=RegisterState)
            for name, blob in self._db.execute("select name, slot from slots")
        }
        known_starts = {
            storage: StorageStart(starts, run)
            for storage, starts, run in self._db.execute("select * from met")
        }
        self.state = AcceptorState(
            storage_id,
            start_count,
            self._read_meta("quorum", Quorum),
            bool(self._read_meta("sealed", bool)),
            register_states,
            known_starts,
        )

    def replace_storage(self, new_storage_id: str) -> None:
        """Start a new storage; the old files are moved to a subfolder `aside-N`."""
        self._db.close()
        for number in range(MAX_ARCHIVE_FOLDERS):
            archive = self.folder.path / f"aside-{number}"
            if not archive.exists():
                break
        archive.mkdir()
        for path in self.folder.path.glob(DATABASE_NAME + "*"):
            path.rename(archive / path.name)
        self._db = _open_database(self.path)
        self._hard_link_matches()
        self._load_state(new_storage_id)

    def _hard_link_matches(self) -> bool:
        """Return whether the hard link points to the database; create the link if there never was one."""
        link = self.path.with_name(HARD_LINK_NAME)
        if link.exists():
            return link.samefile(self.path)
        if self._read_meta("inode", str) is not None and self._read_meta("second", bool):
            return False
        try:
            link.hardlink_to(self.path)
        except OSError:
            return True  # the file system has no hard links: only the inode number is compared
        self._write_meta("second", True)
        return True

    def _inode(self) -> str:
        return str(self.path.stat().st_ino)

    def _read_meta(self, name: str, value_type: type[T]) -> T | None:
        row = self._db.execute("select value from meta where name = ?", (name,)).fetchone()
        return None if row is None else msgspec.msgpack.decode(row[0], type=value_type)

    def _write_meta(self, name: str, value: object) -> None:
        self._db.execute("insert or replace into meta values (?, ?)", (name, msgspec.msgpack.encode(value)))

    def save(self, changes: StateChanges) -> None:
        """Commit changes to the disk.

        Raises:
            sqlite3.Error, OSError: The changes may not be on disk, so no reply may be sent.
        """
        self._db.execute("begin immediate")
        if changes.epoch_installed:
            self._db.execute("delete from slots")
            self._write_meta("quorum", self.state.quorum)
        if changes.epoch_installed or changes.epoch_sealed:
            self._write_meta("sealed", self.state.is_sealed)
        register_states = self.state.register_states if changes.epoch_installed else changes.register_states
        self._db.executemany(
            "insert or replace into slots values (?, ?)",
            [(name, msgspec.msgpack.encode(state)) for name, state in register_states.items()],
        )
        self._db.executemany(
            "insert or replace into met values (?, ?, ?)",
            [(storage_id, *start) for storage_id, start in changes.known_starts.items()],
        )
        self._db.execute("commit")

    def close(self) -> None:
        """Close the database and unlock the folder."""
        self._db.close()
        self.folder.close()


class SqliteFencingTokenStore:
    """Stores the highest fencing token of each task; a token is on disk when `save_token` returns.

    Raises:
        StoreError: The folder cannot be used.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = LockedFolder(folder)
        try:
            self._db = _open_database(folder / "guard.sqlite3")
            self._highest_tokens: dict[str, int] = dict(self._db.execute("select task, token from tokens"))
        except sqlite3.Error as error:
            self._folder.close()
            raise StoreError(f"{folder}: {error}") from None

    def highest_token(self, task: str) -> int:
        """Return the highest token accepted for a task; 0 if there is none."""
        return self._highest_tokens.get(task, 0)

    def save_token(self, task: str, token: int) -> None:
        """Store a higher token durably.

        Raises:
            OSError: The token cannot be stored.
        """
        try:
            self._db.execute("insert or replace into tokens values (?, ?)", (task, token))
        except sqlite3.Error as error:
            raise OSError(f"{self._folder.path}: {error}") from None
        self._highest_tokens[task] = token

    def close(self) -> None:
        """Close the database and unlock the folder."""
        self._db.close()
        self._folder.close()

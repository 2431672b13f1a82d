"""The endpoint directory converts discovery's list to the decision module's endpoints and their addresses.

Endpoint ids are a stable hash, so that all routers rank the same endpoints alike.
"""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

from ..decisions import api
from ..settings.config import ADDRESS_FORMAT, NameIndexes, parse_address
from ..settings.reader import SettingsReader

_STATUS_BY_NAME = {"active": api.Status.READY, "leaving": api.Status.DRAINING, "left": api.Status.REMOVED}

# `started_at` of an endpoint that started when the loop's clock was 0, because 0 stands for "long ago".
_ZERO_START_MS = 1e-3


def hash_key(key: bytes) -> int:
    """Return the hash of a path's key: a non-zero u64, or 0 for an empty key."""
    return _nonzero_digest(blake2b(key, digest_size=8)) if key else 0


def hash_uid(uid: str, salt: int = 0) -> int:
    """Return the hash of an endpoint's uid: a non-zero u32, as 0 means no endpoint."""
    return _nonzero_digest(blake2b(uid.encode(), digest_size=4, key=salt.to_bytes(4, "big")))


def _nonzero_digest(digest: blake2b) -> int:
    return int.from_bytes(digest.digest(), "big") or 1


def _content_hash(row: dict[str, Any]) -> int:
    """Return a hash of a row as received; a row with values that are not scalars gets an arbitrary one."""
    try:
        return hash(tuple(row.items()))
    except TypeError:  # the row contains a list or an object
        return id(row)


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """An endpoint as last notified by discovery."""

    endpoint_id: int
    uid: str
    address: tuple[str, int]
    status: api.Status
    started_at: float  # milliseconds of the event loop's clock; 0 if long ago
    zone: int = 0
    kind: int = 0


@dataclass(frozen=True, slots=True)
class ParsedRow:
    """A row of discovery's list."""

    entry: EndpointEntry
    endpoint: api.Endpoint
    content: int  # the hash of the row as it was received


@dataclass(frozen=True, slots=True)
class DirectoryUpdate:
    """An applied update: the event, and the endpoints whose idle connections are to be closed."""

    event: api.EndpointUpdate
    retired_endpoint_ids: tuple[int, ...]
    retired_uids: tuple[str, ...]  # uids of retired endpoints that were ready before, for the log


class EndpointDirectory:
    """The endpoints as last notified by discovery.

    Args:
        names: the indexes of zones and endpoint kinds by name.
        unix_offset_ms: Unix time minus the event loop's clock, in milliseconds.
    """

    def __init__(self, names: NameIndexes, unix_offset_ms: float) -> None:
        self.names = names
        self.unix_offset_ms = unix_offset_ms
        self.endpoints: dict[int, EndpointEntry] = {}
        self.ids_by_uid: dict[str, int] = {}
        self._uids_by_id: dict[int, str] = {}
        self._rows_by_uid: dict[str, ParsedRow] = {}  # rows of the listed endpoints
        self._new_uids: list[str] = []  # uids to which the present update has assigned ids
        self.revision = 0

    def uid_of(self, endpoint_id: int) -> str | None:
        """Return the uid of an endpoint, or None if the id is not known."""
        entry = self.endpoints.get(endpoint_id)
        return None if entry is None else entry.uid

    def apply_update(
        self, update: SettingsReader, is_cached: bool = False, is_late: bool = False
    ) -> DirectoryUpdate:
        """Apply a full list or a change of it.

        Args:
            update: the document from discovery.
            is_cached: whether it comes from the settings file, not from discovery.
            is_late: whether it answers a call that had counted as failed.

        Raises:
            ValueError: the document is malformed; nothing was applied.
        """
        revision = update.integer("rev", 0)
        is_full = update.boolean("all")
        self._new_uids = []
        try:
            rows = [self._read_row(row) for row in update.rows("targets")]
        except ValueError:
            self._release_new_ids()
            raise
        entries = {row.entry.endpoint_id: row.entry for row in rows}
        gone = [each for each in self.endpoints if each not in entries] if is_full else []
        retired = self._find_retired(entries, gone)
        self._apply_entries(entries, gone)
        self._rows_by_uid.update((row.entry.uid, row) for row in rows if row.entry.uid in self.ids_by_uid)
        self.revision = revision
        if is_cached:
            scope = api.UpdateScope.CACHED
        else:
            scope = api.UpdateScope.FULL if is_full else api.UpdateScope.DELTA
        event = api.EndpointUpdate(scope, tuple(row.endpoint for row in rows), revision, is_late=is_late)
        newly_retired = [entry.uid for entry in retired if entry.status is api.Status.READY]
        retired_ids = tuple(entry.endpoint_id for entry in retired)
        return DirectoryUpdate(event, retired_ids, tuple(newly_retired))

    def _find_retired(self, entries: dict[int, EndpointEntry], gone: list[int]) -> list[EndpointEntry]:
        """Return the previous entries of endpoints that are gone, not ready, restarted or moved."""
        retired = [self.endpoints[endpoint_id] for endpoint_id in gone]
        for endpoint_id, entry in entries.items():
            previous = self.endpoints.get(endpoint_id)
            if previous is not None and (
                entry.status is not api.Status.READY
                or entry.started_at != previous.started_at
                or entry.address != previous.address
            ):
                retired.append(previous)
        return retired

    def _apply_entries(self, entries: dict[int, EndpointEntry], gone: list[int]) -> None:
        for endpoint_id in gone:
            self._forget(endpoint_id)
        for entry in entries.values():
            self.endpoints[entry.endpoint_id] = entry
            if entry.status is api.Status.REMOVED:
                self._forget(entry.endpoint_id)

    def _release_new_ids(self) -> None:
        """Release the ids that were assigned by a malformed update."""
        for uid in self._new_uids:
            del self._uids_by_id[self.ids_by_uid.pop(uid)]

    def _forget(self, endpoint_id: int) -> None:
        entry = self.endpoints.pop(endpoint_id)
        del self.ids_by_uid[entry.uid]
        del self._uids_by_id[endpoint_id]
        self._rows_by_uid.pop(entry.uid, None)

    def _read_row(self, row: SettingsReader) -> ParsedRow:
        """Return a parsed row; a row that has not changed is not parsed again."""
        content = _content_hash(row.data)
        known = self._rows_by_uid.get(row.data.get("uid", ""))
        if known is not None and known.content == content:
            return known
        entry = self._parse_endpoint(row)
        return ParsedRow(entry, self._to_api_endpoint(entry, row), content)

    def _parse_endpoint(self, row: SettingsReader) -> EndpointEntry:
        state = row.text("state")
        if state not in _STATUS_BY_NAME:
            raise ValueError(
                f"setting {row.path_of('state')} is {state!r}, not one of {', '.join(_STATUS_BY_NAME)}"
            )
        boot_unix_ms = row.number("boot_ms", 0.0)
        started_at = 0.0
        if boot_unix_ms > 0:  # `started_at` is negative if the endpoint started before the clock's zero
            started_at = boot_unix_ms - self.unix_offset_ms or _ZERO_START_MS
        uid = row.text("uid")
        address = row.parsed("endpoint", parse_address, ADDRESS_FORMAT, ("", 0))
        zone = self.names.zones.get(row.text("az"), len(self.names.zones))
        kind = self.names.kinds.get(row.text("model"), len(self.names.kinds))
        # the id is assigned last, so that a malformed row gets none
        return EndpointEntry(
            self._assign_id(uid), uid, address, _STATUS_BY_NAME[state], started_at, zone, kind
        )

    def _assign_id(self, uid: str) -> int:
        """Return the endpoint's id: the hash of its uid, with the next salt while another uid has that id."""
        salt = 0
        while (assigned := self.ids_by_uid.get(uid)) is None:
            endpoint_id = hash_uid(uid, salt)
            if endpoint_id not in self._uids_by_id:
                self.ids_by_uid[uid] = endpoint_id
                self._uids_by_id[endpoint_id] = uid
                self._new_uids.append(uid)
            salt += 1
        return assigned

    def _to_api_endpoint(self, entry: EndpointEntry, row: SettingsReader) -> api.Endpoint:
        return api.Endpoint(
            entry.endpoint_id,
            entry.status,
            entry.started_at,
            entry.zone,
            row.integer("pod_group", 0),
            entry.kind,
            row.number("capacity_hint", 1.0),
        )

"""The endpoint directory: discovery's list, turned into the module's endpoints and their addresses.

Endpoint ids come from a stable hash, so that all routers rank the same endpoints alike.
"""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b

from ..decisions import api
from ..settings.config import ADDRESS_FORMAT, NameIndexes, parse_address
from ..settings.reader import SettingsReader

_STATUS_BY_NAME = {"active": api.Status.READY, "leaving": api.Status.DRAINING, "left": api.Status.REMOVED}

# The start of an endpoint that started just when the loop's clock was 0, which would read as "long ago".
_ZERO_START_MS = 1e-3


def hash_key(key: bytes) -> int:
    """Return the hash of a path's key: a non-zero u64, or 0 for an empty key."""
    return _nonzero_digest(blake2b(key, digest_size=8)) if key else 0


def hash_uid(uid: str, salt: int = 0) -> int:
    """Return the hash of an endpoint's uid: a non-zero u32, as the module takes 0 for none."""
    return _nonzero_digest(blake2b(uid.encode(), digest_size=4, key=salt.to_bytes(4, "big")))


def _nonzero_digest(digest: blake2b) -> int:
    return int.from_bytes(digest.digest(), "big") or 1


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
class DirectoryUpdate:
    """An applied update: the module's event, and the endpoints whose idle connections are to be closed."""

    event: api.EndpointUpdate
    retired_endpoint_ids: tuple[int, ...]
    retired_uids: tuple[str, ...]  # of those that were ready before, for the log


class EndpointDirectory:
    """The endpoints as notified by discovery so far.

    Args:
        names: the indexes of zones and endpoint kinds by name.
        unix_offset_ms: Unix time less the event loop's clock, milliseconds.
    """

    def __init__(self, names: NameIndexes, unix_offset_ms: float) -> None:
        self.names = names
        self.unix_offset_ms = unix_offset_ms
        self.endpoints: dict[int, EndpointEntry] = {}
        self.ids_by_uid: dict[str, int] = {}
        self.revision = 0

    def uid_of(self, endpoint_id: int) -> str | None:
        """Return the uid of an endpoint, or None if the id is not known."""
        entry = self.endpoints.get(endpoint_id)
        return None if entry is None else entry.uid

    def apply_update(self, update: SettingsReader, is_cached: bool = False) -> DirectoryUpdate:
        """Apply a full list or a change of it.

        Args:
            update: the document of discovery.
            is_cached: whether it comes from the settings file rather than from discovery.

        Raises:
            ValueError: the document is malformed; nothing was applied.
        """
        revision = update.integer("rev", 0)
        is_full = update.boolean("all")
        rows = [(self._parse_endpoint(row), row) for row in update.rows("targets")]
        api_endpoints = tuple(self._to_api_endpoint(entry, row) for entry, row in rows)
        previous = dict(self.endpoints)
        if is_full:
            self.endpoints = {}
        for entry, _ in rows:
            self.endpoints[entry.endpoint_id] = entry
            if entry.status is api.Status.REMOVED:
                del self.endpoints[entry.endpoint_id]
        self.ids_by_uid = {entry.uid: entry.endpoint_id for entry in self.endpoints.values()}
        self.revision = revision
        if is_cached:
            scope = api.UpdateScope.CACHED
        else:
            scope = api.UpdateScope.FULL if is_full else api.UpdateScope.DELTA
        event = api.EndpointUpdate(scope, api_endpoints, revision)
        retired_ids = tuple(self._find_retired(previous))
        newly_retired = [each for each in retired_ids if previous[each].status is api.Status.READY]
        return DirectoryUpdate(event, retired_ids, tuple(previous[each].uid for each in newly_retired))

    def _find_retired(self, previous: dict[int, EndpointEntry]) -> list[int]:
        """Return the ids of endpoints that are gone, not ready, restarted or at another address."""
        return [
            endpoint_id
            for endpoint_id, entry in previous.items()
            if (current := self.endpoints.get(endpoint_id)) is None
            or current.status is not api.Status.READY
            or current.started_at != entry.started_at
            or current.address != entry.address
        ]

    def _parse_endpoint(self, row: SettingsReader) -> EndpointEntry:
        state = row.text("state")
        if state not in _STATUS_BY_NAME:
            raise ValueError(
                f"setting {row.path_of('state')} is {state!r}, not one of {', '.join(_STATUS_BY_NAME)}"
            )
        boot_unix_ms = row.number("boot_ms", 0.0)
        started_at = 0.0
        if boot_unix_ms > 0:  # before the clock's zero, the start is negative
            started_at = boot_unix_ms - self.unix_offset_ms or _ZERO_START_MS
        uid = row.text("uid")
        address = row.parsed("endpoint", parse_address, ADDRESS_FORMAT, ("", 0))
        zone = self.names.zones.get(row.text("az"), len(self.names.zones))
        kind = self.names.kinds.get(row.text("model"), len(self.names.kinds))
        # assigned last: a malformed row must not take an id
        return EndpointEntry(
            self._assign_id(uid), uid, address, _STATUS_BY_NAME[state], started_at, zone, kind
        )

    def _assign_id(self, uid: str) -> int:
        """Return the endpoint's id: its hash, with the next salt while another uid has that id."""
        salt = 0
        while (assigned := self.ids_by_uid.get(uid)) is None:
            endpoint_id = hash_uid(uid, salt)
            if endpoint_id not in self.ids_by_uid.values():
                self.ids_by_uid[uid] = endpoint_id
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

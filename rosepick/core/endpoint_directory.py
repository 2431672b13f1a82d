"""The transport map: discovery's list, turned into the module's members and the next hops' addresses.

Numbers come from a stable hash, so that all routers rank the same next hops alike.
"""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b

from ..decisions import api
from ..settings.config import ADDRESS_FORMAT, NameIndexes, parse_address
from ..settings.reader import SettingsReader

_STATUS_BY_NAME = {"active": api.Status.READY, "leaving": api.Status.DRAINING, "left": api.Status.REMOVED}


def hash_key(key: bytes) -> int:
    """A path's key as a non-zero u64; 0 stands for no key."""
    return _nonzero_digest(blake2b(key, digest_size=8)) if key else 0


def hash_uid(uid: str, salt: int = 0) -> int:
    """A next hop's uid as a non-zero u32: the module takes 0 for none."""
    return _nonzero_digest(blake2b(uid.encode(), digest_size=4, key=salt.to_bytes(4, "big")))


def _nonzero_digest(digest: blake2b) -> int:
    return int.from_bytes(digest.digest(), "big") or 1


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """Where a next hop is, as last told."""

    endpoint_id: int
    uid: str
    address: tuple[str, int]
    status: api.Status
    started_at: float
    zone: int = 0
    kind: int = 0


@dataclass(frozen=True, slots=True)
class DirectoryUpdate:
    """What a list told: the module's event, and the next hops whose idle connections are of no more use."""

    event: api.EndpointUpdate
    retired_endpoint_ids: tuple[int, ...]


class EndpointDirectory:
    """The next hops as told so far."""

    def __init__(self, names: NameIndexes, unix_offset_ms: float) -> None:
        self.names = names
        self.unix_offset_ms = unix_offset_ms  # Unix time less the loop's clock, milliseconds
        self.endpoints: dict[int, EndpointEntry] = {}
        self.numbers_by_uid: dict[str, int] = {}
        self.revision = 0

    def uid_of(self, endpoint_id: int) -> str | None:
        """The uid of a next hop that is known now."""
        hop = self.endpoints.get(endpoint_id)
        return None if hop is None else hop.uid

    def apply_update(self, update: SettingsReader, is_cached: bool = False) -> DirectoryUpdate:
        """Apply a list or its changes. ValueError, and nothing applied, if it is malformed."""
        revision, whole = update.integer("rev", 0), update.boolean("all")
        rows = [(self._parse_endpoint(row), row) for row in update.rows("targets")]
        members = tuple(self._to_api_endpoint(hop, row) for hop, row in rows)
        before = dict(self.endpoints)
        if whole:
            self.endpoints = {}
        for hop, _ in rows:
            self.endpoints[hop.endpoint_id] = hop
            if hop.status is api.Status.REMOVED:
                del self.endpoints[hop.endpoint_id]
        self.numbers_by_uid = {hop.uid: hop.endpoint_id for hop in self.endpoints.values()}
        self.revision = revision
        scope = (
            api.UpdateScope.CACHED if is_cached else api.UpdateScope.FULL if whole else api.UpdateScope.DELTA
        )
        return DirectoryUpdate(
            api.EndpointUpdate(scope, members, revision), tuple(self._find_retired(before))
        )

    def _find_retired(self, previous: dict[int, EndpointEntry]) -> list[int]:
        return [
            server
            for server, hop in previous.items()
            if (now := self.endpoints.get(server)) is None
            or now.status is not api.Status.READY
            or now.started_at != hop.started_at
            or now.address != hop.address
        ]

    def _parse_endpoint(self, row: SettingsReader) -> EndpointEntry:
        state = row.text("state")
        if state not in _STATUS_BY_NAME:
            raise ValueError(
                f"setting {row.path_of('state')} is {state!r}, not one of {', '.join(_STATUS_BY_NAME)}"
            )
        boot = row.number("boot_ms", 0.0)
        # never 0 for a start that was told, which would read as 'long ago', nor less
        born = max(1e-3, boot - self.unix_offset_ms) if boot > 0 else 0.0
        uid = row.text("uid")
        endpoint = row.parsed("endpoint", parse_address, ADDRESS_FORMAT, ("", 0))
        zone = self.names.zones.get(row.text("az"), len(self.names.zones))
        kind = self.names.kinds.get(row.text("model"), len(self.names.kinds))
        return EndpointEntry(
            self._assign_number(uid), uid, endpoint, _STATUS_BY_NAME[state], born, zone, kind
        )

    def _assign_number(self, uid: str) -> int:
        """Its number; the next salt's where another uid has that one already."""
        salt = 0
        while (found := self.numbers_by_uid.get(uid)) is None:
            number = hash_uid(uid, salt)
            if number not in self.numbers_by_uid.values():
                self.numbers_by_uid[uid] = number
            salt += 1
        return found

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

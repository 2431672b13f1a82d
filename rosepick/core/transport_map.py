"""The transport map: discovery's list, turned into the module's members and the next hops' addresses.

Numbers come from a stable hash, so that all routers rank the same next hops alike.
"""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b

from ..decisions import api
from ..settings.config import ADDRESS, Names, address
from ..settings.reader import Reader

_STATES = {"active": api.State.READY, "leaving": api.State.DRAINING, "left": api.State.GONE}


def key_number(key: bytes) -> int:
    """A path's key as a non-zero u64; 0 stands for no key."""
    return _from_hash(blake2b(key, digest_size=8)) if key else 0


def uid_number(uid: str, salt: int = 0) -> int:
    """A next hop's uid as a non-zero u32: the module takes 0 for none."""
    return _from_hash(blake2b(uid.encode(), digest_size=4, key=salt.to_bytes(4, "big")))


def _from_hash(hashed: blake2b) -> int:
    return int.from_bytes(hashed.digest(), "big") or 1


@dataclass(frozen=True, slots=True)
class NextHop:
    """Where a next hop is, as last told."""

    server: int
    uid: str
    endpoint: tuple[str, int]
    state: api.State
    born: float
    zone: int = 0
    kind: int = 0


@dataclass(frozen=True, slots=True)
class Change:
    """What a list told: the module's event, and the next hops whose idle connections are of no more use."""

    event: api.Members
    retired: tuple[int, ...]


class TransportMap:
    """The next hops as told so far."""

    def __init__(self, names: Names, unix_offset: float) -> None:
        self.names = names
        self.unix_offset = unix_offset  # Unix time less the loop's clock, milliseconds
        self.hops: dict[int, NextHop] = {}
        self.numbers: dict[str, int] = {}
        self.revision = 0

    def uid_of(self, server: int) -> str | None:
        """The uid of a next hop that is known now."""
        hop = self.hops.get(server)
        return None if hop is None else hop.uid

    def take(self, told: Reader, cached: bool = False) -> Change:
        """Apply a list or its changes. ValueError, and nothing applied, if it is malformed."""
        revision, whole = told.whole("rev", 0), told.flag("all")
        rows = [(self._hop(row), row) for row in told.rows("targets")]
        members = tuple(self._member(hop, row) for hop, row in rows)
        before = dict(self.hops)
        if whole:
            self.hops = {}
        for hop, _ in rows:
            self.hops[hop.server] = hop
            if hop.state is api.State.GONE:
                del self.hops[hop.server]
        self.numbers = {hop.uid: hop.server for hop in self.hops.values()}
        self.revision = revision
        scope = api.Scope.CACHED if cached else api.Scope.FULL if whole else api.Scope.DELTA
        return Change(api.Members(scope, members, revision), tuple(self._retired(before)))

    def _retired(self, before: dict[int, NextHop]) -> list[int]:
        return [
            server
            for server, hop in before.items()
            if (now := self.hops.get(server)) is None
            or now.state is not api.State.READY
            or now.born != hop.born
            or now.endpoint != hop.endpoint
        ]

    def _hop(self, row: Reader) -> NextHop:
        state = row.text("state")
        if state not in _STATES:
            raise ValueError(f"setting {row.name('state')} is {state!r}, not one of {', '.join(_STATES)}")
        boot = row.number("boot_ms", 0.0)
        # never 0 for a start that was told, which would read as 'long ago', nor less
        born = max(1e-3, boot - self.unix_offset) if boot > 0 else 0.0
        uid = row.text("uid")
        endpoint = row.parsed("endpoint", address, ADDRESS, ("", 0))
        zone = self.names.zones.get(row.text("az"), len(self.names.zones))
        kind = self.names.kinds.get(row.text("model"), len(self.names.kinds))
        return NextHop(self._number(uid), uid, endpoint, _STATES[state], born, zone, kind)

    def _number(self, uid: str) -> int:
        """Its number; the next salt's where another uid has that one already."""
        salt = 0
        while (found := self.numbers.get(uid)) is None:
            number = uid_number(uid, salt)
            if number not in self.numbers.values():
                self.numbers[uid] = number
            salt += 1
        return found

    def _member(self, hop: NextHop, row: Reader) -> api.Member:
        return api.Member(
            hop.server,
            hop.state,
            hop.born,
            hop.zone,
            row.whole("pod_group", 0),
            hop.kind,
            row.number("capacity_hint", 1.0),
        )

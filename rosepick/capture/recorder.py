"""The engine's observer that writes the capture."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Mapping
from typing import Any

from ..core.account import End
from ..core.engine import Envelope
from ..decisions import api
from ..decisions.api import Member, Scope, State
from ..settings.config import Names
from . import lines
from .ring import Ring

TOGETHER = 64  # records that are written at once
WORD = lines.WORD_LIMIT + 1  # bytes of a word that are kept until then: enough to show that it was longer
PIECE = 4096  # bytes that go into the ring at once, unless one line is longer, or a quarter of a segment
LEFT_MOST = 256  # next hops that have left, whose uids are kept for the answers still to come
_STATUS = {End.SERVED: 200, End.REFUSED: 503, End.FAILED: 502, End.LATE: 504, End.GONE: 499, End.BROKE: 500}


class Recorder:
    """Turns what the engine shows into lines, in order."""

    def __init__(
        self,
        segments: int,
        size: int,
        seed: int,
        offset: float,
        names: Names,
        words: Callable[[object], tuple[bytes, bytes, bytes]],
        uid_of: Callable[[int], str | None],
    ) -> None:
        """`offset` is Unix time less the loop's clock; `words` gives the id, key and deadline that a payload
        states; `uid_of` knows the next hops of the list just told.
        """
        self.seed, self.offset, self.words, self.uid_of = seed, offset, words, uid_of
        self.name(names)
        self.version = 0
        self.members: dict[int, tuple[Member, str]] = {}
        self.left: OrderedDict[int, str] = OrderedDict()
        self.ring = Ring(segments, size, self._header)
        self._piece = min(PIECE, size // 4)
        self.since = 0.0  # when the oldest record was fed that is not in the ring
        # Records wait for others: written one by one, each would find the processor's caches cold.
        self._waiting: list[tuple[Callable[..., str], tuple[object, ...]]] = []

    def name(self, names: Names) -> None:
        """Classes and tenants have these names from now on; places mean what they meant before."""
        self.kinds, self.owners = _written(names.every_class()), _written(names.every_tenant())

    # ---------------------------------------------------------------------------- the engine's observer

    def fed(self, now: float, event: api.Event, actions: list[api.Action]) -> None:
        match event:
            case api.Timer(token):
                self._add(now, lines.due, (now, token))
            case api.Outcome():
                self._add(now, _ended, (now, event))
            case api.Members():
                self.flush()
                self._listed(now, event)
            case api.ClientGone(ref):
                self._add(now, lines.gone, (now, ref))
        self._sends(now, actions)

    def taken(self, now: float, envelope: Envelope, actions: list[api.Action]) -> None:
        req_id, key, wait = self.words(envelope.payload)
        self._add(
            now,
            self._arrival,
            (
                now,
                envelope.ref,
                req_id,
                envelope.klass,
                envelope.tenant,
                key[:WORD],
                wait[:WORD],
                envelope.deadline,
                envelope.key,
                envelope.write,
                envelope.retry,
                envelope.cost_hint,
            ),
        )
        self._sends(now, actions)

    def answered(self, now: float, envelope: Envelope, end: End) -> None:
        req_id, key, _ = self.words(envelope.payload)
        server = envelope.attempts[-1].server if envelope.attempts else None
        self._add(now, self._final, (now, req_id, envelope.klass, envelope.tenant, key[:WORD], server, end))

    def _sends(self, now: float, actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.Send):
                self._add(now, self._sent, (action.ref, action.server))

    def _add(self, now: float, write: Callable[..., str], given: tuple[object, ...]) -> None:
        if len(self._waiting) >= TOGETHER:
            self.flush()
        if not self._waiting:
            self.since = now
        self._waiting.append((write, given))

    # ------------------------------------------------------------------------------------------ writing

    def flush(self) -> None:
        """Put what waits into the ring."""
        waiting, self._waiting = self._waiting, []
        part: list[str] = []
        size = 0
        for write, given in waiting:
            text = write(*given)
            if size + len(text) > self._piece:
                self._put(part)
                part, size = [], 0
            part.append(text)
            size += len(text)
        self._put(part)

    def _put(self, part: list[str]) -> None:
        if part and not self.ring.append("".join(part).encode("ascii"), len(part)):
            self._lost(self.since)

    def _lost(self, now: float) -> None:
        """No segment can hold what came."""
        self.ring.append(lines.Lost(now).text().encode("ascii"))

    def _arrival(
        self,
        now: float,
        ref: int,
        req_id: bytes,
        klass: int,
        tenant: int,
        key: bytes,
        wait: bytes,
        *rest: Any,
    ) -> str:
        word = lines.word
        return lines.arrival(
            now, ref, word(req_id), self.kinds[klass], self._owner(tenant), word(key), word(wait), *rest
        )

    def _sent(self, ref: int, server: int) -> str:
        return lines.sent(ref, self._uid(server))

    def _final(
        self, now: float, req_id: bytes, klass: int, tenant: int, key: bytes, server: int | None, end: End
    ) -> str:
        uid = lines.NONE if server is None else self._uid(server)
        return lines.final(
            int(now + self.offset),
            lines.word(req_id),
            self.kinds[klass],
            self._owner(tenant),
            lines.word(key),
            uid,
            _STATUS[end],
        )

    def _listed(self, now: float, event: api.Members) -> None:
        """A list, with the uids; then it is what the next segment's header holds."""
        told = tuple((member, self._uid_told(member.server)) for member in event.members)
        self.since = now
        text = lines.Listed(now, event.scope, event.version, told).text()
        if not self.ring.append(text.encode("ascii"), 1 + len(told)):
            self._lost(now)
        if event.scope is Scope.FAILED:
            return
        self.version = event.version
        if event.scope is not Scope.DELTA:
            self._forget([server for server in self.members if server not in {m.server for m, _ in told}])
        for member, uid in told:
            self.members[member.server] = member, uid
        self._forget([member.server for member, _ in told if member.state is State.GONE])

    def _forget(self, servers: list[int]) -> None:
        for server in servers:
            _, uid = self.members.pop(server)
            self.left[server] = uid
        while len(self.left) > LEFT_MOST:
            self.left.popitem(last=False)

    def _header(self, ring: Ring, most: int) -> bytes:
        """What a segment begins with. A transport map that does not fit is cut."""
        members = tuple(self.members.values())
        while True:
            head = lines.Header(
                ring.number, ring.lines, self.seed, self.offset, self.since, self.version, members
            )
            text = head.text().encode("ascii")
            if len(text) <= most:
                return text
            members = members[: len(members) * most // len(text)]

    # -------------------------------------------------------------------------------------------- words

    def _uid(self, server: int) -> str:
        known = self.members.get(server)
        return known[1] if known is not None else self.left.get(server, f"#{server}")

    def _uid_told(self, server: int) -> str:
        """The uid of a member just told; one that has left is known from before."""
        uid = self.uid_of(server)
        return self._uid(server) if uid is None else lines.word(uid.encode())

    def _owner(self, tenant: int) -> str:
        return self.owners[tenant] if self.owners else lines.NONE


def _ended(now: float, event: api.Outcome) -> str:
    return lines.ended(
        now, event.ref, event.attempt, event.result, event.note, event.closed, event.spoilt, event.lag
    )


def _written(places: Mapping[str, int]) -> list[str]:
    """Names in the order of their places, as a line holds them."""
    return [lines.word(name.encode()) for name in sorted(places, key=lambda name: places[name])]

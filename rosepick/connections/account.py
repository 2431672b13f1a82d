"""The account of all connections of the sender side: what each is doing, since when, and how it ended.

Whoever drives it reports each change at its time (milliseconds on any clock that only goes forward). Each
report costs the same however many connections there are, and what is held grows with the open ones only.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Iterator
from enum import Enum
from math import inf

from .holders import Holders
from .standing import Standing


class State(Enum):
    """What a connection is doing."""

    FRESH = "fresh"  # open, nothing asked yet
    ASKING = "asking"  # a request of it is in hand, or its answer is being written
    KEPT = "kept"  # answered, and may ask again
    LINGERING = "lingering"  # its last answer is written; the other side's close is awaited
    CLOSED = "closed"


MOVES: dict[State, frozenset[State]] = {
    State.FRESH: frozenset({State.ASKING, State.LINGERING, State.CLOSED}),
    State.ASKING: frozenset({State.KEPT, State.LINGERING, State.CLOSED}),
    State.KEPT: frozenset({State.ASKING, State.LINGERING, State.CLOSED}),
    State.LINGERING: frozenset({State.CLOSED}),
    State.CLOSED: frozenset(),
}
"""Where a connection may go from each state. `Account` raises ValueError on any other move."""


class Why(Enum):
    """Who ended a connection, and why."""

    CLIENT = "client"  # it ended its sending, or asked for the end of the connection
    BROKE = "broke"  # reset, or the machine of the other side went
    ANSWERED = "answered"  # with an answer: it was not worth its place
    ROOM = "room"  # between requests: the sender side's room was short
    NEED = "need"  # between requests: descriptors were needed elsewhere
    ADDRESS = "address"  # its address holds more than its share while room is short
    SILENT = "silent"  # asked nothing for `silent_timeout`
    IDLE = "idle"  # asked nothing more for `idle_timeout`
    HALF = "half"  # amid a request that did not go on: its place was needed
    SLOW = "slow"  # a request that did not come whole, or an answer that was not read
    CUT = "cut"  # amid an answer that its next hop did not give whole
    REJECTED = "rejected"  # after a request that cannot be taken
    FAULT = "fault"  # an exception of this program
    ENDING = "ending"  # the router ends


class Conn:
    """One connection in the account. `owner` is the driver's; the account never looks at it."""

    __slots__ = (
        "asked",
        "begun",
        "door",
        "opened",
        "owner",
        "peer",
        "ready",
        "sample",
        "since",
        "state",
        "statuses",
        "why",
    )

    def __init__(self, owner: object, door: str, peer: str, opened: float) -> None:
        self.owner, self.door, self.peer, self.opened = owner, door, peer, opened
        self.ready = opened  # when it could be asked on: after the handshake, if there is one
        self.begun = inf  # when the first bytes of a request came
        self.state, self.since = State.FRESH, opened
        self.asked = 0  # requests that were taken up
        self.statuses = ""  # the first digits of the last answers, the newest last
        self.why: Why | None = None  # the reason for its end, once that has been decided
        self.sample = False  # kept to see whether it asks again, although it is not expected to

    def begin(self, now: float) -> None:
        """Bytes have come on it."""
        if self.begun == inf:
            self.begun = now

    def line(self) -> str | None:
        """The kind of standing connection that it is, if it stands: `fresh`, `once` or `often`."""
        if self.state is State.FRESH:
            return "fresh"
        if self.state is State.KEPT:
            return "once" if self.asked == 1 else "often"
        return None


STATUSES = 4  # how many of the last answers are remembered


class Account:
    """All connections that are open, by what they are doing."""

    def __init__(self, now: float) -> None:
        self.standing: dict[str, Standing[Conn]] = {
            name: Standing(now) for name in ("fresh", "once", "often")
        }
        self.lingering: OrderedDict[Conn, None] = OrderedDict()  # the longest lingering first
        self.half: OrderedDict[Conn, float] = OrderedDict()  # half a request came; the longest unheard first
        self.asking = 0
        self.opened = 0  # since the start
        self.asks = 0
        self.doors: Counter[str] = Counter()
        self.holders = Holders()
        self.closed: Counter[Why] = Counter()  # since the start

    def __len__(self) -> int:
        """How many are open."""
        return self.asking + len(self.lingering) + sum(map(len, self.standing.values()))

    def held(self) -> int:
        """How many clients hold for requests: those that ask, and those that have been answered and are
        kept.
        """
        return self.asking + len(self.standing["once"]) + len(self.standing["often"])

    # -------------------------------------------------------------------------------------- what happens

    def open(self, owner: object, door: str, peer: str, now: float) -> Conn:
        """A connection was accepted. One of our own has no peer ("") and no part in the shares."""
        conn = Conn(owner, door, peer, now)
        self.opened += 1
        self.doors[door] += 1
        if peer:
            self.holders.add(peer)
        self.standing["fresh"].enter(conn, now)
        return conn

    def half_came(self, conn: Conn, now: float) -> None:
        """More of a request came on it, and it is not whole."""
        if conn.line() is not None:
            self.half[conn] = now
            self.half.move_to_end(conn)

    def ask(self, conn: Conn, now: float) -> None:
        """A request of it is taken up. One that was sent ahead follows an answer at once, and counts as
        well.
        """
        if conn.state is not State.ASKING:
            self._move(conn, State.ASKING, now, asks=True)
        conn.asked += 1
        self.asks += 1

    def answer(self, conn: Conn, status: int) -> None:
        """A request of it has its final answer."""
        conn.statuses = (conn.statuses + str(status // 100))[-STATUSES:]

    def keep(self, conn: Conn, now: float) -> None:
        """All is answered and written; it may ask again."""
        self._move(conn, State.KEPT, now)

    def linger(self, conn: Conn, now: float) -> None:
        """Its last answer is written; the other side has yet to close."""
        self._move(conn, State.LINGERING, now)

    def close(self, conn: Conn, why: Why, now: float) -> None:
        """It is closed. A reason that was decided before counts more than the way it came about."""
        self._move(conn, State.CLOSED, now)
        self.doors[conn.door] -= 1
        if not self.doors[conn.door]:
            del self.doors[conn.door]
        if conn.peer:
            self.holders.drop(conn.peer)
        conn.owner = None  # it refers back: leave no cycle to collect
        conn.why = conn.why or why
        self.closed[conn.why] += 1

    def _move(self, conn: Conn, state: State, now: float, asks: bool = False) -> None:
        if state not in MOVES[conn.state]:
            raise ValueError(f"a connection that is {conn.state.value} cannot become {state.value}")
        line = conn.line()
        self.half.pop(conn, None)
        if line is not None:
            self.standing[line].leave(conn, now, asks)
        elif conn.state is State.LINGERING:
            del self.lingering[conn]
        else:
            self.asking -= 1
        conn.state, conn.since = state, now
        if state is State.ASKING:
            self.asking += 1
        elif state is State.LINGERING:
            self.lingering[conn] = None
        elif (line := conn.line()) is not None:
            self.standing[line].enter(conn, now)

    # ----------------------------------------------------------------------------------------- what is

    def __iter__(self) -> Iterator[Conn]:
        """All that stand or linger; not those that ask."""
        for standing in self.standing.values():
            yield from standing
        yield from self.lingering

    def kinds(self) -> dict[str, int]:
        """How many there are of each kind."""
        stand = {name: len(standing) for name, standing in self.standing.items()}
        return {"asking": self.asking, **stand, "half": len(self.half), "lingering": len(self.lingering)}

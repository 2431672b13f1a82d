"""Which connections are worth their place, and which make room: the decisions over the account.

The question is always the same: will this connection ask again before the place that it takes is needed? When
it will be needed follows from the room that is left and from how fast clients open connections with a request
(the fill time); when it asks, from how long its kind stands until it asks (`Standing.wait`).

Times are milliseconds. `look` is to be called every `LOOK_EVERY`, whatever happens: when all that clients may
hold stands idle, nothing else happens any more.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import islice
from math import exp

from .account import Account, Conn, Why
from .ceiling import LEAST, Ceiling, Seen
from .descriptors import Descriptors
from .habits import Habits
from .standing import Standing

LOOK_EVERY = 100.0
NEEDY = 100.0  # a client that opens a connection and asks within so long opened it for that request
QUICK = 50.0  # a connection that asks again so soon is kept, however little room there is
AHEAD = 250.0  # the room that is kept is what is opened within so long ...
SPARE = 2  # ... and so many more
SPARE_PART = 0.25  # of the room, at most
STILL = 1_000.0  # connections that asked once and are not expected to ask for so long stand still
YOUNG = 100.0  # nothing that stands a shorter time is closed between requests
SLOW_START = 200.0  # sooner than this after connecting nobody counts as silent
LINGERED = 50.0  # a connection that waits for the other side's close so long may go at need
UNHEARD = 600.0  # half a request that did not go on for so long may go at need, the longest unheard first
LOOKED_AT = 64  # connections of a kind, for one of an address that is over its share
SAMPLE = 8  # one in so many is kept although it is not expected to ask again, to see whether that is so ...
SAMPLED_PART = 1 / 8  # ... and no more of the room than this
PORTION = 32  # closed between requests at one look, at most
EXCESS_LEAST, EXCESS_PART = 4, 1 / 8  # of the descriptors over a lowered limit, freed at one look
VAIN_WITHIN = 300.0  # after closing between requests: whether anybody needed the room
VAIN_LONGEST = 8_000.0
VAIN_FIRST = 1_000.0
ADDRESSES_FOR = 10_000.0  # addresses that came count for once to twice as long, also if they hold none
CALM_AFTER = 5_000.0  # without a close for room a crowd is over
ROOM_WITHIN = YOUNG + VAIN_WITHIN + 2 * LOOK_EVERY  # see Policy
OURS = (Why.ROOM, Why.ANSWERED, Why.ADDRESS, Why.NEED)  # closed by us, though it might have been used again
CHANCE = 4  # so many openings between two looks are no rate yet
RATE_KEPT = 0.8  # of the rate of openings, from look to look


@dataclass(slots=True)
class Limits:
    """What the operators set. Times are milliseconds."""

    clients_hold: int | None = None
    silent_for: float = 2_200.0
    idle_for: float = 8_000.0
    fair: bool = True  # whether an address may be kept to its share while room is short


@dataclass(frozen=True, slots=True)
class Figures:
    """Why a crowd is on, as it is logged."""

    may_hold: int
    learned: int  # 1 if where clients stop has shown it
    opening_per_s: float
    fill_ms: float
    wait_once_ms: float
    wait_often_ms: float


class Policy:
    """The decisions of one router on its sender side's connections.

    The bound: while a kept connection stands, clients are without room for at most ROOM_WITHIN; by
    VAIN_LONGEST more where room that was made before was taken by nobody, as with a front that keeps a fixed
    pool.
    """

    def __init__(
        self, account: Account, descriptors: Descriptors, limits: Limits, sockets: int, now: float
    ) -> None:
        self.account, self.descriptors, self.limits = account, descriptors, limits
        self.sockets = sockets
        self.ceiling = Ceiling(sockets, limits.clients_hold)
        self.habits = Habits()
        self.crowded_since: float | None = None
        self.crowded_by = Why.ROOM  # for what room was made first
        self._pressed = now - CALM_AFTER  # when room was last made
        self._opening = 0.0  # openings a second with a request, smoothed
        self._rate = 0.0  # the same, less those in place of connections that we closed
        self._needy = 0  # openings with a request since the last look
        self._replaced = 0.0  # connections that we closed since then, and that will be opened again for that
        self._again = 0.0  # of those that asked once: so large a part of them
        self._rate_before = 0.0  # at the last such opening
        self._last_needy = now
        self._looked = self._turned = now
        self._sampled = 0
        self._turn = 0
        self._made: float | None = None  # when room was made between requests that nobody took so far
        self._pause = 0.0
        self._not_before = now
        self.in_vain = 0  # how often room was made that nobody took

    def resize(self, limits: Limits, sockets: int) -> None:
        """Other settings, or another limit of descriptors."""
        if (limits.clients_hold, sockets) != (self.limits.clients_hold, self.sockets):
            self.ceiling.resize(sockets, limits.clients_hold)
        self.limits, self.sockets = limits, sockets

    # -------------------------------------------------------------------------------------- what happens

    def asked(self, conn: Conn, now: float) -> None:
        """A request of a connection was taken up; the account knows already."""
        if conn.asked == 1:
            if conn.begun - conn.ready <= NEEDY and conn.peer:
                self._opened_in_need(now)
            self.ceiling.held(self.account.held())
        elif conn.asked == 2:
            self.habits.seen(conn.peer, True)
        if conn.sample:
            conn.sample = False
            self._sampled -= 1

    def _opened_in_need(self, now: float) -> None:
        """A client opened a connection as it had a request. If room was made for it, that was not in vain."""
        self._needy += 1
        # one alone is no rate, however short the time since the last look
        lately = 1000.0 * self._needy / max(LOOK_EVERY, now - self._looked) if self._needy >= LEAST else 0.0
        self._rate_before = max(lately, self._opening)
        self._last_needy = now
        self.ceiling.opened(now, self.account.held())
        self._made = None
        self._pause, self._not_before = 0.0, now

    def closed(self, conn: Conn) -> None:
        """A connection was closed; the account knows already."""
        if conn.sample:
            conn.sample = False
            self._sampled -= 1
        if conn.asked == 1 and conn.why is Why.CLIENT:
            self.habits.seen(conn.peer, False)
        # Only what counts as an opening can come again as one: guards against a flood that is turned away
        # unheard, which would make it seem that nobody else needs room.
        if conn.why in OURS and conn.asked and conn.peer:
            self._replaced += 1.0 if conn.asked > 1 else self._again

    # -------------------------------------------------------------------------------------- the figures

    def rate(self, now: float) -> float:
        """Connections that clients open for a request, in a second; not counting those that they open only as
        we closed one. Guards against closes that bring openings, which would bring closes.
        """
        lately = self._needy - self._replaced - CHANCE
        return max(0.0, self._rate, 1000.0 * lately / max(LOOK_EVERY, now - self._looked))

    def may_hold(self) -> int:
        """What clients can hold for requests at one time, by their own limit and by ours."""
        return min(self.ceiling.value, self.descriptors.doors())

    def free(self) -> int:
        """How many more connections clients can open for requests. Silent ones and those that linger do not
        count: they give way at once when a place is needed.
        """
        return self.may_hold() - self.account.held()

    def fill_time(self, now: float) -> float:
        """How long until the room is used up at the present rate of openings, nothing being closed."""
        rate = self.rate(now)
        return 1000.0 * max(0, self.free()) / rate if rate > 0 else float("inf")

    def figures(self, now: float) -> Figures:
        """What the decisions go by at present."""
        standing = self.account.standing
        return Figures(
            self.may_hold(),
            int(self.ceiling.learned),
            self.rate(now),
            min(self.fill_time(now), 1e9),
            standing["once"].wait(now),
            standing["often"].wait(now),
        )

    # ------------------------------------------------------------------------------------- the decisions

    def last(self, conn: Conn, now: float) -> bool:
        """Whether the answer that is due on a connection is to end it."""
        if self.descriptors.over() or len(self.account) > self.descriptors.doors():
            return self._ends(conn, Why.NEED, now)
        if self.short(now) and self.unfair():
            # the others do not pay for who holds too much
            return self._over_share(conn.peer) and self._ends(conn, Why.ADDRESS, now)
        if not self._wanted_before_it_asks(conn, now):
            return False
        return not self._sample(conn) and self._ends(conn, Why.ANSWERED, now)

    def short(self, now: float) -> bool:
        """Whether the room is short."""
        return self.free() < self._target(now)

    def _wanted_before_it_asks(self, conn: Conn, now: float) -> bool:
        """Whether the place of a connection is needed before it is expected to ask again."""
        fill = self.fill_time(now)
        if fill == float("inf"):
            return False
        if conn.asked < 2 and len(self.account.holders) > 1 and self.habits.reuses(conn.peer):
            return False
        wait = self.account.standing["once" if conn.asked < 2 else "often"].wait(now)
        return wait > max(QUICK, fill)

    def _sample(self, conn: Conn) -> bool:
        """Whether a connection is kept all the same. Guards against a belief that proves itself: what is
        always closed never asks again.
        """
        self._turn += 1
        if self._turn % SAMPLE or self._sampled >= SAMPLED_PART * self.may_hold() or conn.sample:
            return False
        conn.sample = True
        self._sampled += 1
        return True

    def _over_share(self, peer: str) -> bool:
        holders = self.account.holders
        # of those that are over the others' part only who holds most, or nearly, is to give way
        return holders.of(peer) > max(holders.share(peer, self.may_hold()), holders.most() // 2)

    def _ends(self, conn: Conn, why: Why, now: float) -> bool:
        """Note why a connection ends with its answer."""
        conn.why = why
        self._press(why, now)
        return True

    def _press(self, why: Why, now: float) -> None:
        """Room is made."""
        self._pressed = now
        if self.crowded_since is None:
            self.crowded_since, self.crowded_by = now, why

    def _target(self, now: float) -> int:
        """The room that is kept."""
        wanted = SPARE + int(self.rate(now) * AHEAD / 1000.0)
        return min(wanted, max(1, int(SPARE_PART * self.may_hold())))

    def excess(self) -> int:
        """How many descriptors are to be freed at this moment as more are open than may be."""
        return _portion(self.descriptors.over())

    def excess_at_doors(self) -> int:
        """How many connections of the doors are to be closed at this moment as more are open than their
        part.
        """
        return _portion(len(self.account) - self.descriptors.doors())

    # -------------------------------------------------------------------------- closing between requests

    def look(self, now: float) -> list[tuple[Conn, Why]]:
        """What is to be closed at this moment: past its time, or for room. The driver closes those of them on
        which nothing has come that is unread.
        """
        self._step(now)
        found = dict(self._past(now))
        if self._made is None and now >= self._not_before:
            chosen = self._for_room(now)
            if chosen:
                self._press(Why.ROOM, now)
                self._made = now
            found |= {conn: Why.ROOM for conn in chosen if conn not in found}
        if self.crowded_since is not None and now - self._pressed >= CALM_AFTER:
            self.crowded_since = None
        return list(found.items())

    def _step(self, now: float) -> None:
        span = now - self._looked
        if span <= 0:
            return
        self._rate = RATE_KEPT * self._rate + (1 - RATE_KEPT) * 1000.0 * (self._needy - self._replaced) / span
        self._opening = RATE_KEPT * self._opening + (1 - RATE_KEPT) * 1000.0 * self._needy / span
        self._needy, self._replaced = 0, 0.0
        self._again = 1.0 - exp(-self.limits.idle_for / self.account.standing["once"].wait(now))
        self._looked = now
        self.ceiling.passed(now)
        for standing in self.account.standing.values():
            standing.wait(now)  # up to here
            standing.forget(span)
        if now - self._turned >= ADDRESSES_FOR:
            self._turned = now
            self.account.holders.turn()
        if self._made is not None and now - self._made >= VAIN_WITHIN:
            # Guards against a front that keeps a fixed pool and opens at once what is closed, with no request
            # for it: closing would become the storm.
            self.in_vain += 1
            self._pause = min(VAIN_LONGEST, max(VAIN_FIRST, 2 * self._pause))
            self._not_before, self._made = now + self._pause, None

    def _past(self, now: float) -> Iterator[tuple[Conn, Why]]:
        """Those that stand longer than they may."""
        for name, longest, why in (
            ("fresh", self.limits.silent_for, Why.SILENT),
            ("once", self.limits.idle_for, Why.IDLE),
            ("often", self.limits.idle_for, Why.IDLE),
        ):
            standing = self.account.standing[name]
            yield from ((conn, why) for conn in _older(standing, now - longest))

    def _for_room(self, now: float) -> list[Conn]:
        """Connections that are to be closed between requests, so that clients can open others."""
        lacking = self._target(now) - self.free()
        if lacking > 0:
            return self._least_worth(now, min(PORTION, lacking))
        once = self.account.standing["once"]
        stood = list(_older(once, now - YOUNG)) if once.wait(now) > STILL else []
        seen = Seen(self.account.held(), len(stood), self._rate_before, self._last_needy)
        count = self.ceiling.suspects(now, seen)
        # the youngest ones: those that ask from time to time, the oldest next, are left out as far as can be
        return stood[len(stood) - count :]

    def _kept_lines(self) -> tuple[Standing[Conn], Standing[Conn]]:
        return self.account.standing["once"], self.account.standing["often"]

    def _least_worth(self, now: float, count: int) -> list[Conn]:
        """The kept connections that are least likely to ask again, the longest standing first; those of an
        address over its share before all others.
        """
        lines = sorted(self._kept_lines(), key=lambda line: -line.wait(now))
        stood = [conn for line in lines for conn in _older(line, now - YOUNG)]
        if self.unfair():
            stood.sort(key=lambda conn: not self._over_share(conn.peer))
        return stood[:count]

    def give_way(self, now: float, at_need: bool = True) -> Iterator[tuple[Conn, Why]]:
        """Connections that may be closed for one that is needed more, the least useful first. With `at_need`
        unset only those that would hardly be missed.
        """
        standing = self.account.standing
        for conn in self.account.lingering:
            if now - conn.since < LINGERED:
                break
            yield conn, Why.NEED
        if self.unfair():
            for name in ("fresh", "once", "often"):
                for conn in islice(standing[name], LOOKED_AT):
                    if self._over_share(conn.peer):
                        yield conn, Why.ADDRESS
        idle = [("fresh", SLOW_START), ("once", YOUNG), ("often", 2_000.0)]
        idle.sort(key=lambda kind: -standing[kind[0]].wait(now))
        for name, age in idle:
            for conn in _older(standing[name], now - age):
                if conn not in self.account.half:
                    yield conn, Why.NEED
            if name == "fresh":
                yield from self._half(now)
        if at_need:
            for name in ("once", "often"):
                for conn in standing[name]:
                    yield conn, Why.NEED
            for conn in self.account.lingering:
                yield conn, Why.NEED

    def _half(self, now: float) -> Iterator[tuple[Conn, Why]]:
        """Half requests that do not go on. Guards against a crowd that never finishes and keeps its places
        for all the time that a request has; who writes slowly, but goes on, is heard again before.
        """
        for conn, heard in self.account.half.items():
            if now - heard < UNHEARD:
                return
            yield conn, Why.HALF

    def turned_away(self, peer: str) -> bool:
        """Whether a connection that comes while every place is taken is closed unheard: its address holds its
        share. Guards against a crowd from one address behind which all others wait.
        """
        return self.unfair() and self._over_share(peer)

    def unfair(self) -> bool:
        """Whether any address holds more than its share."""
        return self.limits.fair and self.account.holders.greedy(self.may_hold())


def _portion(over: int) -> int:
    """How many of those that are too many go at one look, so that a lower limit is no storm of closes."""
    return min(max(0, over), max(EXCESS_LEAST, int(over * EXCESS_PART)))


def _older(standing: Standing[Conn], before: float) -> Iterator[Conn]:
    """Those that stand since then or longer, the longest first."""
    for conn, since in standing.items():
        if since > before:
            return
        yield conn

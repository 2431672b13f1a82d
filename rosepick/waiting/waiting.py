"""Whether to go on waiting for an attempt: the chance that it is answered in time, against that of another
one.

A request's attempt is given up for another where that has the better chance in the time that is left, by more
than its price. Two things must come together. By the times that answers take, which hold what never ends as
well, the chance of this one has sunk below that of a fresh one. And others that were sent later have been
answered: that shows this one to be hung or crawling, and not all of them slow, whatever times were met
before.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from .account import Account
from .times import Times

PASSED = 5  # later ones that were answered first
PRICE = 0.3  # by so much more the other one's chance must be: work is wasted, and it may miss
LEAST = 50.0  # milliseconds that every attempt is given, and ...
LEAST_PART = 1.5  # ... so many times what is expected
AGAIN = 0.5  # of what is expected, between two looks
COST = 0.5  # of what is expected: work that is done twice
FETCH_MOST = 1_000.0  # milliseconds
MOVED_HITS = 0.3  # of reads that move to another cache node hit there
HINTS = 0.02  # weight of a new hint in the mean
DEAREST = 4.0
EXPECTED_LEAST = 1.0  # milliseconds


@dataclass(slots=True, eq=False)
class Wait:
    """One attempt as it is waited for."""

    fetch: bool  # at the origin
    sent: float
    expected: float
    answers: int  # of its kind, when it was sent ...
    out: int  # ... and those that were out then, itself not counted
    stopped: bool = False


class Kind:
    """Attempts at cache nodes, or fetches."""

    def __init__(self) -> None:
        self.times = Times()
        self.answers = self.out = 0


class Waiting:
    """What one router knows of waiting. Times are milliseconds."""

    def __init__(self) -> None:
        self.caches, self.fetches = Kind(), Kind()
        self.account = Account()
        self.moved_hits = MOVED_HITS
        self._hints = 0.0  # their mean

    def _kind(self, fetch: bool) -> Kind:
        return self.fetches if fetch else self.caches

    def begin(self, now: float, fetch: bool, expected: float, hint: float | None = None) -> Wait:
        """An attempt is sent; an ordinary one would have its answer after `expected`. `hint` is of its
        work, in any unit."""
        kind = self._kind(fetch)
        wait = Wait(fetch, now, max(EXPECTED_LEAST, expected * self._dearness(hint)), kind.answers, kind.out)
        kind.out += 1
        return wait

    def _dearness(self, hint: float | None) -> float:
        """Its work by the hint, as a multiple of the usual. Half of it counts: hints are rough, and an
        answer's time is not work alone. Guards against heavy requests taken for hung ones."""
        if not hint or hint <= 0:
            return 1.0
        self._hints += (hint - self._hints) * (HINTS if self._hints else 1.0)
        return max(0.5, min(DEAREST, 0.5 + 0.5 * hint / self._hints))

    def end(self, wait: Wait, now: float, answered: bool) -> None:
        """It was answered, or is waited for no more."""
        kind = self._kind(wait.fetch)
        kind.out -= 1
        ratio = max(0.0, now - wait.sent) / wait.expected
        if answered:
            kind.answers += 1
            kind.times.answered(ratio, now)
        else:
            kind.times.given_up(ratio, now)

    def passed(self, wait: Wait) -> int:
        """At least so many of its kind that were sent later have been answered: all answers since it was
        sent, less those that were out before it."""
        kind = self._kind(wait.fetch)
        return kind.answers - wait.answers - wait.out

    def stay(self, wait: Wait, now: float, left: float) -> float:
        """The chance that it is answered within `left` from now."""
        waited = now - wait.sent
        times = self._kind(wait.fetch).times
        return times.chance(waited / wait.expected, (waited + left) / wait.expected, now)

    def fresh(self, fetch: bool, expected: float, now: float, left: float) -> float:
        """The chance that one which is sent now is answered within `left`."""
        return self._kind(fetch).times.chance(0.0, left / max(EXPECTED_LEAST, expected), now)

    def elsewhere(self, now: float, left: float, cache: float | None, fetch: float) -> float:
        """The chance of another attempt within `left`: at the origin, where a fetch is expected to take
        `fetch`, or else at another cache node, where a hit would take `cache`. Most reads that move miss
        there and go on."""
        fetched = self.fresh(True, fetch, now, left)
        if cache is None:
            return fetched
        return self.moved_hits * self.fresh(False, cache, now, left) + (1.0 - self.moved_hits) * fetched

    def stop(self, wait: Wait, now: float, left: float, cache: float | None, fetch: float) -> bool:
        """Whether to give an attempt up for another one; counts it. See `elsewhere`."""
        waited = now - wait.sent
        if waited < self._least(wait) or self.passed(wait) < PASSED or not self.account.may():
            return False
        if self.elsewhere(now, left, cache, fetch) - PRICE <= self.stay(wait, now, left):
            return False
        times = self._kind(wait.fetch).times
        if waited < wait.expected * times.best_stop(self._cost(wait, cache, fetch), now):
            return False
        self.account.took()
        wait.stopped = True
        return True

    @staticmethod
    def _least(wait: Wait) -> float:
        """What an attempt is given in any case."""
        return max(LEAST, LEAST_PART * wait.expected)

    def _cost(self, wait: Wait, cache: float | None, fetch: float) -> float:
        """What a new begin costs beside the time that it takes, as a multiple of what this one was expected
        to take: work that is done twice, and a fetch where the read misses."""
        missed = 0.0 if cache is None else (1.0 - self.moved_hits) * min(fetch, FETCH_MOST)
        return COST + missed / wait.expected

    def won(self, waits: Iterable[Wait]) -> None:
        """A request was answered in time, by the last of these attempts: a restart among them pays for
        itself."""
        if any(wait.stopped for wait in waits):
            self.account.won()

    def next_look(self, wait: Wait, now: float) -> float:
        """When to look at it for the next time."""
        return max(wait.sent + self._least(wait), now + max(10.0, AGAIN * wait.expected))

"""Whether to go on waiting for an attempt: the chance that it is answered in time, against that of another
one.

A request's attempt is given up for another where that has the better chance in the time that is left, by more
than its price. Two things must come together. By the times that answers take, which hold what never ends as
well, the chance of this one has sunk below that of a fresh one. And others that were sent later have been
answered: that shows this one to be hung or crawling, and not all of them slow, whatever times were met
before.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from .account import Account
from .times import Times

LATEST = 32  # answers that are remembered
HUNG = 6.0  # times what is expected, and
HARDLY = 0.05  # the chance that is left, of an attempt that is given up also while the origin is short
PASSED = 5  # later ones that were answered first
PRICE = 0.3  # by so much more the other one's chance must be: work is wasted, and it may miss
LEAST = 50.0  # milliseconds that every attempt is given, and ...
LEAST_PART = 1.5  # ... so many times what is expected
AGAIN = 0.5  # of what is expected, and of the wait so far, between two looks ...
LOOK_EACH = 20.0  # ... and so many milliseconds
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
    place: int  # in the order in which those of its kind were sent
    dear: float = 1.0  # its work by the hint, as a multiple of the usual: also of another attempt for it
    stopped: bool = False


class Kind:
    """Attempts at cache nodes, or fetches."""

    def __init__(self) -> None:
        self.times = Times()
        self.sent = 0
        self.answered: deque[int] = deque(maxlen=LATEST)  # places of the answered ones, the newest last


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
        work, in any unit.
        """
        kind = self._kind(fetch)
        dear = self._dearness(hint)
        wait = Wait(fetch, now, max(EXPECTED_LEAST, expected * dear), kind.sent, dear)
        kind.sent += 1
        return wait

    def _dearness(self, hint: float | None) -> float:
        """Its work by the hint, as a multiple of the usual. Half of it counts: hints are rough, and an
        answer's time is not work alone. Guards against heavy requests taken for hung ones.
        """
        if not hint or hint <= 0:
            return 1.0
        self._hints += (hint - self._hints) * (HINTS if self._hints else 1.0)
        return max(0.5, min(DEAREST, 0.5 + 0.5 * hint / self._hints))

    def end(self, wait: Wait, now: float, answered: bool) -> None:
        """It was answered, or is waited for no more."""
        kind = self._kind(wait.fetch)
        ratio = max(0.0, now - wait.sent) / wait.expected
        if answered:
            kind.answered.append(wait.place)
            kind.times.answered(ratio, now)
        else:
            kind.times.given_up(ratio, now)

    def passed(self, wait: Wait) -> int:
        """How many of its kind that were sent later have been answered, as far as that is remembered."""
        return sum(place > wait.place for place in self._kind(wait.fetch).answered)

    def _hung(self, wait: Wait, now: float, left: float) -> bool:
        """It takes many times what is expected, everything that was answered of late was sent after it, and
        there is hardly a chance left.
        """
        late = now - wait.sent >= HUNG * wait.expected and self.passed(wait) == LATEST
        return late and self.stay(wait, now, left) <= HARDLY

    def hangs(self, wait: Wait, slow: bool) -> bool:
        """Whether it says nothing of load: enough that were sent later were answered before it, and those of
        its kind that are answered are not `slow`. Guards the origin's gate against closing for answers that
        never come.
        """
        return not slow and self.passed(wait) >= PASSED

    def stay(self, wait: Wait, now: float, left: float) -> float:
        """The chance that it is answered within `left` from now."""
        waited = now - wait.sent
        times = self._kind(wait.fetch).times
        return times.chance(waited / wait.expected, (waited + left) / wait.expected, now)

    def fresh(self, fetch: bool, expected: float, now: float, left: float) -> float:
        """The chance that one which is sent now is answered within `left`."""
        return self._kind(fetch).times.chance(0.0, left / max(EXPECTED_LEAST, expected), now)

    def elsewhere(self, now: float, left: float, cache: float | None, fetch: float | None) -> float:
        """The chance of another attempt within `left`: at the origin, where a fetch is expected to take
        `fetch`, or else at another cache node, where a hit would take `cache`. Most reads that move miss
        there and go on; no `fetch` where nodes fetch for themselves, so that their answers tell of it.
        """
        if fetch is None:
            return 0.0 if cache is None else self.fresh(False, cache, now, left)
        fetched = self.fresh(True, fetch, now, left)
        if cache is None:
            return fetched
        return self.moved_hits * self.fresh(False, cache, now, left) + (1.0 - self.moved_hits) * fetched

    def ripe(self, wait: Wait, now: float, left: float, short: bool = False) -> bool:
        """Whether it may be given up at all, by what is quick to tell. While the origin is `short` a fetch
        more is what it lacks, and a read that moves mostly needs one: then only what looks hung by all signs
        is given up.
        """
        if now - wait.sent < self._least(wait) or not self.account.may() or self.passed(wait) < PASSED:
            return False
        return not short or self._hung(wait, now, left)

    def stop(self, wait: Wait, now: float, left: float, cache: float | None, fetch: float | None) -> bool:
        """Whether to give one that is ripe up for another one; counts it. `cache` and `fetch` are of an
        ordinary request, see `elsewhere`.
        """
        cache = None if cache is None else cache * wait.dear
        fetch = None if fetch is None else fetch * wait.dear
        if self.elsewhere(now, left, cache, fetch) - PRICE <= self.stay(wait, now, left):
            return False
        times = self._kind(wait.fetch).times
        if now - wait.sent < wait.expected * times.best_stop(self._cost(wait, cache, fetch), now):
            return False
        self.account.took()
        wait.stopped = True
        return True

    @staticmethod
    def _least(wait: Wait) -> float:
        """What an attempt is given in any case."""
        return max(LEAST, LEAST_PART * wait.expected)

    def _cost(self, wait: Wait, cache: float | None, fetch: float | None) -> float:
        """What a new begin costs beside the time that it takes, as a multiple of what this one was expected
        to take: work that is done twice, and a fetch where the read misses.
        """
        if cache is None or fetch is None:
            return COST
        missed = (1.0 - self.moved_hits) * min(fetch, FETCH_MOST)
        return COST + missed / wait.expected

    def won(self, waits: Iterable[Wait]) -> None:
        """A request was answered in time, by the last of these attempts: a restart among them pays for
        itself.
        """
        if any(wait.stopped for wait in waits):
            self.account.won()

    def next_look(self, wait: Wait, now: float) -> float:
        """When to look at it for the next time; never, while no restart is left. Ever less often: guards
        a router that is short of CPU, where many wait, against spending it on looks.
        """
        if not self.account.may():
            return float("inf")
        pause = max(LOOK_EACH, AGAIN * wait.expected, AGAIN * (now - wait.sent))
        return max(wait.sent + self._least(wait), now + pause)

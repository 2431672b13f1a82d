"""Clients on sockets: each asks when its request is due, whatever else goes on, and comes back in its own
manner, as those of the model do.
"""

from __future__ import annotations

import math
import re
from collections.abc import Callable

from ...http.response import Answer
from ...net.budget import Budget
from ...net.loop import Loop, Timer
from ..experiment import Experiment
from ..world.clients import RECONNECT
from ..world.draws import Uniform
from ..world.manners import end_of, pause
from ..world.requests import Request
from .client_links import ClientLink, Pool
from .plan import name_of
from .records import Asked, Ended, Tried

WAITS_ON = 1_000.0  # milliseconds after its deadline: to tell a late answer from none
BODY_LIMIT = 64 * 1024  # of what routers take
HOW = {200: "served", 429: "refused", 503: "refused"}
_SECONDS = re.compile(rb"[0-9]{1,9}(\.[0-9]{0,9})?")


class Wish:
    """A client's request with all its tries."""

    __slots__ = (
        "_crossed",
        "_last",
        "_link",
        "_timer",
        "_tried",
        "clients",
        "klass",
        "one_shot",
        "over",
        "request",
        "sendings",
        "tries",
    )

    def __init__(self, clients: Clients, request: Request, one_shot: bool) -> None:
        self.clients, self.request, self.one_shot = clients, request, one_shot
        self.klass = clients.experiment.classes[request.klass]
        self.tries = 0
        self.sendings = 0  # tries, and those that were sent once more
        self.over = False
        self._last = "failed"
        self._crossed = False  # a try was sent once more, as a close had crossed it
        self._link: ClientLink | None = None
        self._tried: Tried | None = None  # the try that is out
        self._timer: Timer | None = None

    def begin(self) -> None:
        """It is due."""
        request = self.request
        self._timer = self.clients.at(self.deadline(), self._time_over)
        if request.leaves < math.inf:
            self.clients.at(request.due + request.leaves, self._leave)
        self.ask()

    def deadline(self) -> float:
        """Of each of its tries, from the run's begin."""
        return self.request.due + 1000.0 * self.klass.deadline

    def ask(self) -> None:
        """Have a connection for the next try."""
        if self.over:
            return
        if self.clients.now() >= self.deadline():
            self._end(self._last)
        else:
            self.clients.pools[self.request.router].ask(self)

    def wanted(self) -> bool:
        """Whether it still wants a connection."""
        return not self.over and self._tried is None

    # --------------------------------------------------------------------------------------- the link's calls

    def go(self, link: ClientLink) -> None:
        """Send the next try."""
        left = self.deadline() - self.clients.now()
        if left <= 0.0:
            link.asking = None
            link.pool.free(link)
            self._end(self._last)
            return
        self.tries += 1
        self.sendings += 1
        name = name_of(self.request, self.sendings)
        self._tried = Tried(name, self.request.router, self.request.klass, self.deadline(), kept=link.used)
        self.clients.found.tries.append(self._tried)
        self._link = link
        link.send(self._bytes(name, left))

    def refused(self) -> None:
        """Nobody listens: the client comes back soon, which is no try."""
        self.clients.at(self.clients.now() + RECONNECT, self.ask)

    def written(self) -> None:
        if self._tried is not None:
            self._tried.sent = self.clients.now()

    def answered(self, answer: Answer, surplus: bool) -> None:
        how = HOW.get(answer.status, "failed")
        if self._tried is not None:
            self._tried.again = surplus
        self._try_over(how)
        wait = answer.headers.get(b"retry-after", b"")
        self._ended(how, 1000.0 * float(wait) if _SECONDS.fullmatch(wait) else 0.0)

    def crossed(self) -> bool:
        """A kept connection ended with nothing of an answer: its end may have crossed the request, which the
        protocol lets a client send once more. Whether that is so; then it is the same try.
        """
        if self._crossed or self._tried is None:
            return False
        self._crossed = True
        self._try_over("crossed")  # by a name of its own: what its router did with it is judged by itself
        self.tries -= 1
        return True

    def broke(self) -> None:
        self._try_over("broke")
        self._ended("failed", 0.0)

    # ------------------------------------------------------------------------------------------- its course

    def _try_over(self, how: str) -> None:
        tried, self._tried, self._link = self._tried, None, None
        if tried is not None:
            tried.how, tried.ended = how, self.clients.now()

    def _ended(self, how: str, wait: float) -> None:
        """A try has its end."""
        if self.over:
            return
        self._last = how
        took = self.clients.now() - self.request.due
        end = end_of(self.clients.experiment.clients, self.klass, self.tries, how, took)
        if end is not None:
            self._end(end)
        else:
            self.clients.at(self.clients.now() + self.clients.pause(wait), self.ask)

    def _time_over(self) -> None:
        """The deadline has passed. A try that is out is waited for a little longer."""
        if self.over:
            return
        if self._tried is not None and self.clients.now() < self.deadline() + WAITS_ON:
            self._timer = self.clients.at(self.deadline() + WAITS_ON, self._time_over)
            return
        self._drop("none")
        self._end(self._last)

    def _leave(self) -> None:
        """The client leaves before its time is up."""
        if not self.over:
            self._drop("left")
            self._end("left")

    def _drop(self, how: str) -> None:
        link = self._link
        self._try_over(how)
        if link is not None:
            link.close()

    def _end(self, how: str) -> None:
        if self.over:
            return
        self.over = True
        if self._timer is not None:
            self._timer.cancel()
        self.clients.end(Ended(self.request.number, how, self.clients.now() - self.request.due))

    def _bytes(self, name: str, left: float) -> bytes:
        request, klass = self.request, self.klass
        lines = [
            f"{'PUT' if klass.write else 'GET'} /api/{request.key:016x} HTTP/1.1",
            "Host: router",
            f"Req-Id: {name}",
            f"Req-Kind: {klass.name}",
            f"Req-Deadline: {left / 1000.0:.4f}",
        ]
        if self.clients.tenants:
            lines.append(f"Req-Owner: {self.clients.tenants[request.tenant]}")
        if self.tries > 1 and self.clients.experiment.clients.marked:
            lines.append("Req-Retry: 1")
        body = b""
        if klass.write:
            body = b"w" * min(request.size, BODY_LIMIT)
            lines.append(f"Content-Length: {len(body)}")
            if klass.effect == "dedup":
                lines.append(f"Idempotency-Key: write-{request.number}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Clients:
    """All clients of a run. Each has a router of its own and asks no other."""

    def __init__(
        self, loop: Loop, experiment: Experiment, seed: int, ports: list[int], done: Callable[[], None]
    ) -> None:
        self.loop, self.experiment = loop, experiment
        self.begin_at = math.inf  # on the loop's clock
        self.found = Asked()
        self.tenants = [one.name for one in experiment.tenants]
        budget = Budget(1_000_000)
        self.pools = [Pool(loop, budget, port, self._unasked(place)) for place, port in enumerate(ports)]
        self._pauses, self._one_shots = Uniform(seed, "pauses"), Uniform(seed, "one shot")
        self._open = 0
        self._more = True
        self._done = done

    def now(self) -> float:
        """Milliseconds from the run's begin."""
        return self.loop.now() - self.begin_at

    def at(self, when: float, call: Callable[[], None]) -> Timer:
        """Call at a time from the run's begin."""
        return self.loop.at(self.begin_at + when, call)

    def come(self, request: Request) -> None:
        """A request is due."""
        self._open += 1
        share = self.experiment.clients.one_shot
        Wish(self, request, share > 0 and self._one_shots() < share).begin()

    def no_more(self) -> None:
        """No further request comes."""
        self._more = False
        if not self._open:
            self._done()

    def end(self, ended: Ended) -> None:
        """A request has its end."""
        self.found.ends.append(ended)
        self._open -= 1
        if not self._open and not self._more:
            self._done()

    def pause(self, told: float) -> float:
        """How long a client waits before it comes back, in milliseconds."""
        return pause(self.experiment.clients, told, self.now(), self._pauses())

    def _unasked(self, router: int) -> Callable[[], None]:
        def note() -> None:
            now = self.now()
            self.found.tries.append(Tried("", router, 0, now, now, now, "failed", True))

        return note

    def close(self) -> None:
        """Close all connections."""
        for pool in self.pools:
            pool.close()

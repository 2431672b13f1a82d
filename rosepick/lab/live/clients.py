"""Clients on sockets: each asks when its request is due, whatever else goes on, and comes back in its own
manner, as those of the model do.
"""

from __future__ import annotations

import math
import re
from collections.abc import Callable

from ...http.response import Response
from ...net.event_loop import EventLoop, ScheduledCall
from ...net.resource_budget import ResourceBudget
from ..experiment import Experiment
from ..model.client_behaviour import (
    CLIENT_OUTCOME_BY_TRY,
    ClientOutcome,
    TryOutcome,
    final_outcome,
    retry_pause_ms,
)
from ..model.clients import RECONNECT_DELAY_MS
from ..model.random_streams import UniformStream
from ..model.workload import ScheduledRequest
from .client_connections import ClientConnection, ClientConnectionPool
from .request_schedule import request_id_of
from .run_records import LoadResults, RequestEndRecord, TryRecord

LATE_ANSWER_WAIT_MS = 1_000.0  # milliseconds after its deadline: to tell a late answer from none
MAX_BODY_BYTES = 64 * 1024  # of what routers take
OUTCOME_BY_STATUS = {200: TryOutcome.SERVED, 429: TryOutcome.REFUSED, 503: TryOutcome.REFUSED}
_SECONDS = re.compile(rb"[0-9]{1,9}(\.[0-9]{0,9})?")


class LiveClientRequest:
    """A client's request with all its tries."""

    __slots__ = (
        "_connection",
        "_current_try",
        "_last_outcome",
        "_timer",
        "_was_resent",
        "attempts_made",
        "clients",
        "finished",
        "klass",
        "one_shot",
        "request",
        "send_count",
    )

    def __init__(self, clients: LiveClients, request: ScheduledRequest, one_shot: bool) -> None:
        self.clients, self.request, self.one_shot = clients, request, one_shot
        self.klass = clients.experiment.classes[request.klass]
        self.attempts_made = 0
        self.send_count = 0  # tries, and those that were sent once more
        self.finished = False
        self._last_outcome = TryOutcome.FAILED
        self._was_resent = False  # a try was sent once more, as a close had crossed it
        self._connection: ClientConnection | None = None
        self._current_try: TryRecord | None = None  # the try that is out
        self._timer: ScheduledCall | None = None

    def start(self) -> None:
        """It is due."""
        request = self.request
        self._timer = self.clients.call_at(self.deadline_ms(), self._on_deadline)
        if request.abandon_after_ms < math.inf:
            self.clients.call_at(request.due_ms + request.abandon_after_ms, self._abandon)
        self.request_connection()

    def deadline_ms(self) -> float:
        """Of each of its tries, from the run's begin."""
        return self.request.due_ms + 1000.0 * self.klass.deadline

    def request_connection(self) -> None:
        """Have a connection for the next try."""
        if self.finished:
            return
        if self.clients.now() >= self.deadline_ms():
            self._finish(CLIENT_OUTCOME_BY_TRY[self._last_outcome])
        else:
            self.clients.pools[self.request.router].acquire(self)

    def needs_connection(self) -> bool:
        """Whether it still wants a connection."""
        return not self.finished and self._current_try is None

    # --------------------------------------------------------------------------------------- the link's calls

    def on_connected(self, link: ClientConnection) -> None:
        """Send the next try."""
        left = self.deadline_ms() - self.clients.now()
        if left <= 0.0:
            link.waiter = None
            link.pool.release(link)
            self._finish(CLIENT_OUTCOME_BY_TRY[self._last_outcome])
            return
        self.attempts_made += 1
        self.send_count += 1
        name = request_id_of(self.request, self.send_count)
        self._current_try = TryRecord(
            name, self.request.router, self.request.klass, self.deadline_ms(), reused_connection=link.reused
        )
        self.clients.records.tries.append(self._current_try)
        self._connection = link
        link.send(self._encode_request(name, left))

    def on_refused(self) -> None:
        """Nobody listens: the client comes back soon, which is no try."""
        self.clients.call_at(self.clients.now() + RECONNECT_DELAY_MS, self.request_connection)

    def on_written(self) -> None:
        if self._current_try is not None:
            self._current_try.sent_at = self.clients.now()

    def on_answer(self, answer: Response, surplus: bool) -> None:
        how = OUTCOME_BY_STATUS.get(answer.status, TryOutcome.FAILED)
        if self._current_try is not None:
            self._current_try.surplus = surplus
        self._finish_try(how.value)
        wait = answer.headers.get(b"retry-after", b"")
        self._on_try_ended(how, 1000.0 * float(wait) if _SECONDS.fullmatch(wait) else 0.0)

    def may_resend(self) -> bool:
        """A kept connection ended with nothing of an answer: its end may have crossed the request, which the
        protocol lets a client send once more. Whether that is so; then it is the same try.
        """
        if self._was_resent or self._current_try is None:
            return False
        self._was_resent = True
        self._finish_try("crossed")  # by a name of its own: what its router did with it is judged by itself
        self.attempts_made -= 1
        return True

    def on_broken(self) -> None:
        self._finish_try("broke")
        self._on_try_ended(TryOutcome.FAILED, 0.0)

    # ------------------------------------------------------------------------------------------- its course

    def _finish_try(self, outcome: str) -> None:
        tried, self._current_try, self._connection = self._current_try, None, None
        if tried is not None:
            tried.outcome, tried.ended_at = outcome, self.clients.now()

    def _on_try_ended(self, outcome: TryOutcome, retry_after_ms: float) -> None:
        """A try has its end."""
        if self.finished:
            return
        self._last_outcome = outcome
        took = self.clients.now() - self.request.due_ms
        end = final_outcome(self.clients.experiment.clients, self.klass, self.attempts_made, outcome, took)
        if end is not None:
            self._finish(end)
        else:
            self.clients.call_at(
                self.clients.now() + self.clients.retry_pause_ms(retry_after_ms), self.request_connection
            )

    def _on_deadline(self) -> None:
        """The deadline has passed. A try that is out is waited for a little longer."""
        if self.finished:
            return
        if self._current_try is not None and self.clients.now() < self.deadline_ms() + LATE_ANSWER_WAIT_MS:
            self._timer = self.clients.call_at(self.deadline_ms() + LATE_ANSWER_WAIT_MS, self._on_deadline)
            return
        self._drop_connection("none")
        self._finish(CLIENT_OUTCOME_BY_TRY[self._last_outcome])

    def _abandon(self) -> None:
        """The client leaves before its time is up."""
        if not self.finished:
            self._drop_connection("left")
            self._finish(ClientOutcome.LEFT)

    def _drop_connection(self, outcome: str) -> None:
        link = self._connection
        self._finish_try(outcome)
        if link is not None:
            link.close()

    def _finish(self, outcome: ClientOutcome) -> None:
        if self.finished:
            return
        self.finished = True
        if self._timer is not None:
            self._timer.cancel()
        self.clients.on_request_ended(
            RequestEndRecord(self.request.number, outcome.value, self.clients.now() - self.request.due_ms)
        )

    def _encode_request(self, name: str, left: float) -> bytes:
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
        if self.attempts_made > 1 and self.clients.experiment.clients.marked:
            lines.append("Req-Retry: 1")
        body = b""
        if klass.write:
            body = b"w" * min(request.size, MAX_BODY_BYTES)
            lines.append(f"Content-Length: {len(body)}")
            if klass.effect == "dedup":
                lines.append(f"Idempotency-Key: write-{request.number}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class LiveClients:
    """All clients of a run. Each has a router of its own and asks no other."""

    def __init__(
        self,
        loop: EventLoop,
        experiment: Experiment,
        seed: int,
        ports: list[int],
        on_done: Callable[[], None],
    ) -> None:
        self.loop, self.experiment = loop, experiment
        self.started_at_ms = math.inf  # on the loop's clock
        self.records = LoadResults()
        self.tenants = [one.name for one in experiment.tenants]
        budget = ResourceBudget(1_000_000)
        self.pools = [
            ClientConnectionPool(loop, budget, port, self._unsolicited_recorder(place))
            for place, port in enumerate(ports)
        ]
        self._pauses, self._one_shots = UniformStream(seed, "pauses"), UniformStream(seed, "one shot")
        self._open_count = 0
        self._expects_more = True
        self._on_done = on_done

    def now(self) -> float:
        """Milliseconds from the run's begin."""
        return self.loop.now() - self.started_at_ms

    def call_at(self, at_ms: float, callback: Callable[[], None]) -> ScheduledCall:
        """Call at a time from the run's begin."""
        return self.loop.call_at(self.started_at_ms + at_ms, callback)

    def on_request_due(self, request: ScheduledRequest) -> None:
        """A request is due."""
        self._open_count += 1
        share = self.experiment.clients.one_shot
        LiveClientRequest(self, request, share > 0 and self._one_shots() < share).start()

    def finish_arrivals(self) -> None:
        """No further request comes."""
        self._expects_more = False
        if not self._open_count:
            self._on_done()

    def on_request_ended(self, ended: RequestEndRecord) -> None:
        """A request has its end."""
        self.records.request_ends.append(ended)
        self._open_count -= 1
        if not self._open_count and not self._expects_more:
            self._on_done()

    def retry_pause_ms(self, retry_after_ms: float) -> float:
        """How long a client waits before it comes back, in milliseconds."""
        return retry_pause_ms(self.experiment.clients, retry_after_ms, self.now(), self._pauses())

    def _unsolicited_recorder(self, router: int) -> Callable[[], None]:
        def note() -> None:
            now = self.now()
            self.records.tries.append(TryRecord("", router, 0, now, now, now, "failed", True))

        return note

    def close(self) -> None:
        """Close all connections."""
        for pool in self.pools:
            pool.close()

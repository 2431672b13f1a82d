"""Implements clients on sockets: each sends its request when due and may retry, like the model's clients."""

from __future__ import annotations

import math
import re
from collections.abc import Callable

from ...http.response import Response
from ...net.event_loop import EventLoop, ScheduledCall
from ...net.resource_budget import ResourceBudget
from ..experiment import Experiment
from ..model.client_behaviour import (
    CLIENT_OUTCOME_BY_TRY_OUTCOME,
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

LATE_ANSWER_WAIT_MS = 1_000.0  # wait after the deadline that distinguishes a late answer from none
MAX_BODY_BYTES = 64 * 1024  # the largest request body that routers accept
OUTCOME_BY_STATUS = {200: TryOutcome.SERVED, 429: TryOutcome.REFUSED, 503: TryOutcome.REFUSED}
_SECONDS = re.compile(rb"[0-9]{1,9}(\.[0-9]{0,9})?")


class LiveClientRequest:
    """A client's request and its tries."""

    __slots__ = (
        "_connection",
        "_current_try",
        "_last_outcome",
        "_timer",
        "_was_resent",
        "clients",
        "finished",
        "one_shot",
        "request",
        "request_class",
        "send_count",
        "tries",
    )

    def __init__(self, clients: LiveClients, request: ScheduledRequest, one_shot: bool) -> None:
        self.clients = clients
        self.request = request
        self.one_shot = one_shot
        self.request_class = clients.experiment.classes[request.klass]
        self.tries = 0
        self.send_count = 0  # number of sendings, including repeats of the same try
        self.finished = False
        self._last_outcome = TryOutcome.FAILED
        self._was_resent = False  # whether the current try was sent again
        self._connection: ClientConnection | None = None
        self._current_try: TryRecord | None = None
        self._timer: ScheduledCall | None = None

    def start(self) -> None:
        """Set the timers of the request and send its first try."""
        request = self.request
        self._timer = self.clients.call_at(self.deadline_ms(), self._on_deadline)
        if request.abandon_after_ms < math.inf:
            self.clients.call_at(request.due_ms + request.abandon_after_ms, self._abandon)
        self.request_connection()

    def deadline_ms(self) -> float:
        """Return the deadline of all tries, in milliseconds since the start of the run."""
        return self.request.due_ms + 1000.0 * self.request_class.deadline

    def request_connection(self) -> None:
        """Request a connection for the next try, or finish the request if its deadline has passed."""
        if self.finished:
            return
        if self.clients.now() >= self.deadline_ms():
            self._finish(CLIENT_OUTCOME_BY_TRY_OUTCOME[self._last_outcome])
        else:
            self.clients.pools[self.request.router].acquire(self)

    def needs_connection(self) -> bool:
        """Return whether the request still waits for a connection."""
        return not self.finished and self._current_try is None

    # ---------------------------------------------------------------------- callbacks of connections

    def on_connected(self, connection: ClientConnection) -> None:
        """Send the next try."""
        remaining_ms = self.deadline_ms() - self.clients.now()
        if remaining_ms <= 0.0:
            connection.waiter = None
            connection.pool.release(connection)
            self._finish(CLIENT_OUTCOME_BY_TRY_OUTCOME[self._last_outcome])
            return
        self.tries += 1
        self.send_count += 1
        name = request_id_of(self.request, self.send_count)
        self._current_try = TryRecord(
            name,
            self.request.router,
            self.request.klass,
            self.deadline_ms(),
            reused_connection=connection.reused,
        )
        self.clients.records.tries.append(self._current_try)
        self._connection = connection
        connection.send(self._encode_request(name, remaining_ms))

    def on_refused(self) -> None:
        """Connect again after `RECONNECT_DELAY_MS`; a refused connection does not count as a try."""
        self.clients.call_at(self.clients.now() + RECONNECT_DELAY_MS, self.request_connection)

    def on_written(self) -> None:
        """Record when the try was completely sent."""
        if self._current_try is not None:
            self._current_try.sent_at = self.clients.now()

    def on_answer(self, answer: Response, surplus: bool) -> None:
        """End the try with an answer."""
        outcome = OUTCOME_BY_STATUS.get(answer.status, TryOutcome.FAILED)
        if self._current_try is not None:
            self._current_try.surplus = surplus
        self._finish_try(outcome.value)
        retry_after = answer.headers.get(b"retry-after", b"")
        retry_after_ms = 1000.0 * float(retry_after) if _SECONDS.fullmatch(retry_after) else 0.0
        self._on_try_ended(outcome, retry_after_ms)

    def may_resend(self) -> bool:
        """Return whether to send the try again after a reused connection ended without a byte of an answer.

        The router may have closed the connection before it received the request. HTTP allows the client to
        send the request again; it does so once, as the same try.
        """
        if self._was_resent or self._current_try is None:
            return False
        self._was_resent = True
        self._finish_try("crossed")  # the repeat has its own Req-Id and is checked separately
        self.tries -= 1
        return True

    def on_broken(self) -> None:
        """End the try as failed."""
        self._finish_try("broke")
        self._on_try_ended(TryOutcome.FAILED, 0.0)

    # ------------------------------------------------------------------------------------------- tries

    def _finish_try(self, outcome: str) -> None:
        record = self._current_try
        self._current_try = None
        self._connection = None
        if record is not None:
            record.outcome = outcome
            record.ended_at = self.clients.now()

    def _on_try_ended(self, outcome: TryOutcome, retry_after_ms: float) -> None:
        """Finish the request after a try, or schedule the next try."""
        if self.finished:
            return
        self._last_outcome = outcome
        elapsed_ms = self.clients.now() - self.request.due_ms
        final = final_outcome(
            self.clients.experiment.clients, self.request_class, self.tries, outcome, elapsed_ms
        )
        if final is not None:
            self._finish(final)
        else:
            self.clients.call_at(
                self.clients.now() + self.clients.retry_pause_ms(retry_after_ms), self.request_connection
            )

    def _on_deadline(self) -> None:
        """Finish the request at its deadline, or `LATE_ANSWER_WAIT_MS` later if a try has no answer yet."""
        if self.finished:
            return
        if self._current_try is not None and self.clients.now() < self.deadline_ms() + LATE_ANSWER_WAIT_MS:
            self._timer = self.clients.call_at(self.deadline_ms() + LATE_ANSWER_WAIT_MS, self._on_deadline)
            return
        self._drop_connection("none")
        self._finish(CLIENT_OUTCOME_BY_TRY_OUTCOME[self._last_outcome])

    def _abandon(self) -> None:
        """Disconnect the client before the deadline."""
        if not self.finished:
            self._drop_connection("left")
            self._finish(ClientOutcome.LEFT)

    def _drop_connection(self, outcome: str) -> None:
        connection = self._connection
        self._finish_try(outcome)
        if connection is not None:
            connection.close()

    def _finish(self, outcome: ClientOutcome) -> None:
        if self.finished:
            return
        self.finished = True
        if self._timer is not None:
            self._timer.cancel()
        self.clients.on_request_ended(
            RequestEndRecord(self.request.number, outcome.value, self.clients.now() - self.request.due_ms)
        )

    def _encode_request(self, name: str, remaining_ms: float) -> bytes:
        request = self.request
        request_class = self.request_class
        lines = [
            f"{'PUT' if request_class.write else 'GET'} /api/{request.key:016x} HTTP/1.1",
            "Host: router",
            f"Req-Id: {name}",
            f"Req-Kind: {request_class.name}",
            f"Req-Deadline: {remaining_ms / 1000.0:.4f}",
        ]
        if self.clients.tenants:
            lines.append(f"Req-Owner: {self.clients.tenants[request.tenant]}")
        if self.tries > 1 and self.clients.experiment.clients.marked:
            lines.append("Req-Retry: 1")
        body = b""
        if request_class.write:
            body = b"w" * min(request.size, MAX_BODY_BYTES)
            lines.append(f"Content-Length: {len(body)}")
            if request_class.effect == "dedup":
                lines.append(f"Idempotency-Key: write-{request.number}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class LiveClients:
    """Holds all clients of a run. Each client uses a single router."""

    def __init__(
        self,
        loop: EventLoop,
        experiment: Experiment,
        seed: int,
        ports: list[int],
        on_done: Callable[[], None],
    ) -> None:
        self.loop = loop
        self.experiment = experiment
        self.started_at_ms = math.inf  # start of the run on the clock of the event loop
        self.records = LoadResults()
        self.tenants = [tenant.name for tenant in experiment.tenants]
        budget = ResourceBudget(1_000_000)
        self.pools = [
            ClientConnectionPool(loop, budget, port, self._unsolicited_recorder(index))
            for index, port in enumerate(ports)
        ]
        self._pause_stream = UniformStream(seed, "pauses")
        self._one_shot_stream = UniformStream(seed, "one shot")
        self._open_count = 0
        self._expects_more = True
        self._on_done = on_done

    def now(self) -> float:
        """Return the time since the start of the run, in milliseconds."""
        return self.loop.now() - self.started_at_ms

    def call_at(self, at_ms: float, callback: Callable[[], None]) -> ScheduledCall:
        """Schedule a callback `at_ms` milliseconds after the start of the run."""
        return self.loop.call_at(self.started_at_ms + at_ms, callback)

    def on_request_due(self, request: ScheduledRequest) -> None:
        """Start a request at its due time."""
        self._open_count += 1
        share = self.experiment.clients.one_shot
        LiveClientRequest(self, request, share > 0 and self._one_shot_stream() < share).start()

    def finish_arrivals(self) -> None:
        """Expect no more requests, and report the end once all open requests have ended."""
        self._expects_more = False
        if not self._open_count:
            self._on_done()

    def on_request_ended(self, ended: RequestEndRecord) -> None:
        """Record the end of a request."""
        self.records.request_ends.append(ended)
        self._open_count -= 1
        if not self._open_count and not self._expects_more:
            self._on_done()

    def retry_pause_ms(self, retry_after_ms: float) -> float:
        """Return how long a client waits before its next try, in milliseconds."""
        return retry_pause_ms(self.experiment.clients, retry_after_ms, self.now(), self._pause_stream())

    def _unsolicited_recorder(self, router: int) -> Callable[[], None]:
        def record() -> None:
            now = self.now()
            self.records.tries.append(TryRecord("", router, 0, now, now, now, "failed", True))

        return record

    def close(self) -> None:
        """Close all connections."""
        for pool in self.pools:
            pool.close()

"""Batches of reads: a door where they come in, and a client of our own listener that asks for their parts.

Nothing here knows the engine or the pool: each part is an ordinary request over a connection to GW_LISTEN,
and is taken, decided on and counted as any other client's.
"""

from __future__ import annotations

import logging
import secrets
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from ..connections.descriptors import Use
from ..http import multiget
from ..http.multiget import Batch, BatchConnection
from ..http.response import Answer, AnswerReader, BadAnswer
from ..http.sender_side import Received
from ..logs import fault, say
from .budget import Budget
from .listener import Listener
from .loop import READ, WRITE, Loop, Timer
from .sender_link import SenderLink
from .stream import Dialed, Stream, StreamMaker, dial

log = logging.getLogger(__name__)
MOST_OUT = 8  # parts that are out at one time, of all batches: what the next hops have room for is for all
DESCRIPTORS = 16  # in so many one may be a batch's, and one (with its other end) a part's
ALONE = 0.75  # of them are for a batch that is alone: the next one finds a place at once
HELD_PART = 0.5  # of the bytes that answers may hold: for answers of parts
COPIES = 4  # of an answer at one moment: read and joined, by the router and by its client here
FORGET = 0.5  # how much of the largest answer met stays expected after a smaller one
AFTER = 50.0  # milliseconds for the router's own 504 before a part is marked here
UNREAD = 2_000.0  # for a client to read the part that was written to it ...
LONGEST = 10_000.0  # ... and to read it all, after the deadline
RETRY_AFTER = 1.0  # seconds, for a batch for which there is no room


@dataclass(slots=True, eq=False)
class Part:
    """One key of a batch: what is asked for it, and what came of it."""

    batch: BatchLink
    key: bytes
    req_id: bytes
    link: PartLink | None = None
    out: bool = False  # it takes one of the places for parts
    again: bool = False  # it was sent once more, on a new connection
    status: int = 0  # none yet
    body: bytes = b""


class PartLink(Dialed):
    """One connection to our own listener; it carries one part at a time."""

    def __init__(self, parts: Parts, sock: socket.socket) -> None:
        super().__init__()
        self.parts = parts
        self.used = False
        self.part: Part | None = None
        self.held = 0
        self._reader = AnswerReader(multiget.ANSWER_LIMIT)
        self._unsent = memoryview(b"")
        self._came = False  # something of the present answer
        self.stream = Stream(parts.loop, parts.budget, sock, self.ready, WRITE, Use.BATCHES)
        self.own = sock.getsockname()[:2]
        parts.ours.add(self.own)  # the listener is not to take them for clients of its own

    def start(self, part: Part, request: bytes) -> None:
        """Ask for a part, as soon as the connection is up."""
        self.part, part.link = part, self
        self._reader, self._came = AnswerReader(multiget.ANSWER_LIMIT), False
        self._unsent = memoryview(request)
        if not self.dialing:
            self._guarded(self._write)

    def _guarded(self, step: Callable[[], None]) -> None:
        try:
            step()
        except (OSError, BadAnswer):
            self._broke()
        except Exception as problem:
            self.parts.loop.faults += 1
            fault(log, "part_fault", problem, count=self.parts.loop.faults)
            self._broke()

    def _write(self) -> None:
        if self._unsent:
            self._unsent = self._unsent[self.stream.write(self._unsent) :]
        self.stream.want(READ | WRITE if self._unsent else READ)

    def _read(self) -> None:
        data = self.stream.read()
        if data is None:
            return
        if self.part is None or (not data and not self._came):
            self._broke()
            return
        self._came = True
        answer = self._reader.feed(data) if data else self._reader.ended()
        if answer is not None:
            self._over(self.part, answer)
        elif data:
            self._hold(self._reader.held())
        else:
            self._broke()

    def _hold(self, count: int) -> None:
        self.parts.budget.held += count - self.held
        self.held = count

    def _over(self, part: Part, answer: Answer) -> None:
        self.part = part.link = None
        self.used = True
        self._hold(0)
        if answer.reusable:
            self.parts.keep(self)
        else:
            self.close()
        self.parts.ended(part, answer.status, answer.body)

    def _broke(self) -> None:
        """The connection is of no more use. A part that the router cannot have read is asked for once more,
        as the protocol wants it: the router may close a connection between requests.
        """
        part, self.part = self.part, None
        unread = self.used and not self._came
        self.close()
        if part is None:
            return
        part.link = None
        if unread and not part.again:
            part.again = True
            self.parts.send(part, fresh=True)
        else:
            self.parts.ended(part, 502)

    def close(self) -> None:
        """Close it; the router takes that for a client that has left."""
        self.part = None
        self._hold(0)
        self.parts.forget(self)
        self.parts.ours.discard(self.own)
        self.stream.close()


class Parts:
    """All parts that are out: so few that the usual clients keep their places, and that answers fit."""

    def __init__(
        self, loop: Loop, budget: Budget, endpoint: tuple[str, int], ours: set[tuple[str, int]]
    ) -> None:
        self.loop, self.budget, self.endpoint, self.ours = loop, budget, endpoint, ours
        self.batches: dict[BatchLink, None] = {}
        self.idle: list[PartLink] = []
        self.expected = float(multiget.ANSWER_LIMIT)  # bytes of an answer: the worst, until some have come
        self._going_on = False

    def room(self) -> bool:
        """Whether one more batch may be in hand."""
        return len(self.batches) < self._by_descriptors()

    def _by_descriptors(self) -> int:
        return max(1, self.budget.limit // DESCRIPTORS)

    def allowed(self) -> int:
        """How many parts may be out, or answered and not yet written."""
        by_bytes = int(HELD_PART * self.budget.most_held / max(1.0, COPIES * self.expected))
        return max(1, min(MOST_OUT, self._by_descriptors(), by_bytes))

    def begin(self, batch: BatchLink) -> None:
        """A batch is in hand."""
        self.batches[batch] = None
        self.go_on()

    def end(self, batch: BatchLink) -> None:
        """It is not any more."""
        if batch in self.batches:
            del self.batches[batch]
            if not self.batches:
                for link in list(self.idle):
                    link.close()
            self.go_on()

    def go_on(self) -> None:
        """Send parts while there is room for them, those of the batch first that has the fewest out. With
        others in hand no batch takes more than half: guards against one whose client does not read.
        """
        if self._going_on:  # guards against a stack as deep as a batch is long, when parts end at once
            return
        self._going_on = True
        try:
            while (part := self._next()) is not None:
                part.out = True
                part.batch.out += 1
                self.send(part)
        finally:
            self._going_on = False

    def _next(self) -> Part | None:
        allowed = self.allowed()
        each = max(1, int(allowed * (ALONE if len(self.batches) < 2 else 0.5)))
        able = [batch for batch in self.batches if batch.waiting and batch.out < each]
        if not able or sum(batch.out for batch in self.batches) >= allowed:
            return None
        return min(able, key=lambda batch: batch.out).waiting.popleft()

    def send(self, part: Part, fresh: bool = False) -> None:
        """Ask for a part: on a connection that is kept, unless it must be a new one."""
        left = part.batch.deadline - self.loop.now()
        if left < 1.0:
            self.ended(part, 504)
            return
        link = None if fresh else self._kept()
        try:
            if link is None:
                link = self._dial()
        except OSError as problem:
            say(log, logging.WARNING, "part_not_sent", text=problem)
            self.ended(part, 502)
            return
        host, port = self.endpoint
        link.start(part, multiget.request(part.batch.told, part.key, part.req_id, f"{host}:{port}", left))

    def _kept(self) -> PartLink | None:
        while self.idle:
            link = self.idle.pop()
            if link.stream.quiet():
                return link
            link.close()
        return None

    def _dial(self) -> PartLink:
        if not self.budget.room(Use.BATCHES):
            raise OSError("every descriptor of the budget is in use")
        return PartLink(self, dial(self.endpoint))

    def keep(self, link: PartLink) -> None:
        """A connection is free for the next part."""
        if self.batches:
            self.idle.append(link)
        else:
            link.close()

    def forget(self, link: PartLink) -> None:
        """A connection is kept no more."""
        if link in self.idle:
            self.idle.remove(link)

    def ended(self, part: Part, status: int, body: bytes = b"") -> None:
        """A part has its answer, or never will."""
        if not part.batch.in_hand():
            return
        if status == 200:
            self.expected = max(float(len(body)), FORGET * self.expected)
        part.status, part.body = status, body
        self.budget.held += len(body)
        part.batch.part_ended()


class BatchLink(SenderLink):
    """One connection that batches come on."""

    def __init__(
        self,
        parts: Parts,
        max_keys: Callable[[], int],
        listener: Listener,
        sock: socket.socket,
        make: StreamMaker,
    ) -> None:
        self.parts, self.max_keys = parts, max_keys
        self.told: Batch
        self.deadline = 0.0
        self.all: deque[Part] = deque()  # not yet written, in the order of the batch
        self.waiting: deque[Part] = deque()  # not yet sent
        self.out = 0  # sent, and not yet written to the client
        self.count = self.not_served = 0
        self._in_hand = self._closes = False
        self._writing = 0  # places that are free once what is being written is
        self._timer: Timer | None = None
        super().__init__(listener, sock, make)

    def make_machine(self) -> BatchConnection:
        listener = self.listener
        self.batches = BatchConnection(lambda: listener.names, self.max_keys)
        return self.batches

    def _handle(self, received: Received) -> None:
        if isinstance(received, Batch):
            self._begin(received)
        else:
            super()._handle(received)

    def _begin(self, batch: Batch) -> None:
        if not self.parts.room():
            self.listener.rejected += 1
            say(log, logging.WARNING, "batch_refused", in_hand=len(self.parts.batches))
            self._answer(503, b"refused\n", ((b"Retry-After", b"%.3f" % RETRY_AFTER),))
            return
        self.told, self.deadline = batch, batch.deadline
        self.all = deque(Part(self, key, secrets.token_hex(8).encode()) for key in batch.keys)
        self.waiting = self.all.copy()
        self.count, self.not_served, self.out, self._writing = len(self.all), 0, 0, 0
        self._in_hand = True
        # one that was sent ahead will be answered: then this answer is not the last
        self._closes = not (self.batches.sent_ahead() or self.batches.partial) and self.ends()
        self.stream.send(self.batches.start(self._closes))
        self._set_timer()
        self.parts.begin(self)

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self.listener.loop.at(self.deadline + AFTER, self._late)

    def hurry(self, deadline: float) -> None:
        """The router ends: all must be answered by then."""
        if self._in_hand and deadline < self.deadline:
            self.deadline = deadline
            self._set_timer()

    def _late(self) -> None:
        """The deadline has passed: what has no answer yet gets none."""
        self.waiting.clear()
        for part in list(self.all):
            if not part.status:
                if part.link is not None:
                    part.link.close()
                    part.link = None
                part.status = 504
        self.part_ended()

    def part_ended(self) -> None:
        """A part of this batch has come to its end."""
        if self._in_hand:
            try:
                self._settle()
            except OSError:
                self.gone()
            except Exception as problem:
                self._fault(problem)
            self.parts.go_on()

    # -------------------------------------------------------------------------------- the batch's answer

    def _settle(self) -> None:
        before = self.out
        self._write_on()
        super()._settle()
        if self.out < before:
            self.parts.go_on()

    def _write_on(self) -> None:
        """Write what comes next in order, one part at a time: what waits is held once."""
        while self._in_hand and self.stream.open and not self.stream.unwritten():
            self.out -= self._writing
            self._writing = 0
            if not self.all:
                self._finish()
            elif self.all[0].status:
                self._write_part(self.all[0])
                self.all.popleft()
            else:
                break

    def _write_part(self, part: Part) -> None:
        self.not_served += part.status != 200
        self._writing = int(part.out)
        self.waited_for = min(self.listener.loop.now() + UNREAD, self.deadline + LONGEST)
        body, part.body = part.body, b""
        self.parts.budget.held -= len(body)
        self.stream.send(*self.batches.chunk(*multiget.entry(part.key, part.req_id, part.status, body)))

    def _finish(self) -> None:
        last = multiget.ending(self.not_served, self.count)
        closing = self._closes or self.listener.ending
        self._end()
        self.stream.send(*self.batches.chunk(last), self.batches.finish(closing))
        self.answered(200)
        self._take()

    def _ended(self) -> None:
        """The client has ended its sending: it has gone."""
        if self._in_hand:
            self.close()
        else:
            super()._ended()

    def _fault(self, problem: Exception) -> None:
        """An exception over a batch whose answer has begun: the client can tell that it is not whole."""
        if not self._in_hand:
            super()._fault(problem)
            return
        self.listener.loop.faults += 1
        fault(log, "batch_fault", problem, count=self.listener.loop.faults)
        self.gone()

    def sender_left(self) -> None:
        """What is left of the batch is of no more use."""
        if self._in_hand:
            self._end()

    def _end(self) -> None:
        self._in_hand = False
        if self._timer is not None:
            self._timer.cancel()
        self.waiting.clear()
        for part in self.all:
            if part.link is not None:
                part.link.close()
            self.parts.budget.held -= len(part.body)
        self.all.clear()
        self.out = 0
        self.parts.end(self)

    def in_hand(self) -> bool:
        """Whether a batch is being answered."""
        return self._in_hand

    def _stopped_reading(self, now: float) -> bool:
        """A batch has a time of its own: while a part of it is read, others wait."""
        return now >= self.waited_for


class MultiGet:
    """The door for batches of one router."""

    def __init__(
        self, loop: Loop, budget: Budget, listener: Listener, port: int, max_keys: Callable[[], int]
    ) -> None:
        host, own = listener.sock.getsockname()[:2]
        self.parts = Parts(loop, budget, (host, own), listener.ours)

        def link(listener: Listener, sock: socket.socket, make: StreamMaker) -> BatchLink:
            return BatchLink(self.parts, max_keys, listener, sock, make)

        self.door = listener.add_door("multiget", (host, port), link=link)

    def in_hand(self) -> bool:
        """Whether a batch is being answered."""
        return bool(self.parts.batches)

    def hurry(self, deadline: float) -> None:
        """The router ends: all batches must be answered by then."""
        for batch in list(self.parts.batches):
            batch.hurry(deadline)

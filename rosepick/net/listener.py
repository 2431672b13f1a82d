"""The listener, and the driver of one connection of the sender side."""

from __future__ import annotations

import errno
import logging
import socket
import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from ..config import Names
from ..engine import Engine, Envelope
from ..http.response import Answer
from ..http.sender_side import (
    Delivered,
    Extra,
    Letter,
    Ready,
    Received,
    Rejected,
    SenderConnection,
)
from ..logs import fault, say
from .budget import Budget
from .loop import READ, WRITE, Loop
from .stream import Stream, StreamMaker, family

log = logging.getLogger(__name__)
BACKLOG = 1024
HELD_FOR = 5.0  # seconds
ACCEPTS = 32  # in one go, so that timers and answers get their turn
RETRY = 50.0  # after an accept for which there was no descriptor
LINGER = 500.0  # to read on after an answer that came before the request's end, lest a reset overtakes it
PATIENCE = 2_000.0  # for the rest of a request, from its begin or that of the connection
UNREAD = 500.0  # after its deadline nobody waits for an answer any more
SWEEP_EVERY = 250.0
SILENT_FOR = 2_200.0  # with nothing asked yet ...
IDLE_FOR = 8_000.0  # ... or nothing more: then a connection closes
SPARE_AFTER = 2_000.0  # without an open request it may close at need
SLOW_START = 200.0  # sooner than this after connecting nobody counts as silent
HELD_PART = 0.5  # of the descriptors: the most that the sender side holds, so that next hops keep theirs


class SenderLink:
    """One connection of the sender side; the port through which its envelopes are answered."""

    def __init__(self, listener: Listener, sock: socket.socket, make: StreamMaker) -> None:
        self.listener = listener
        self.machine = self.make_machine()
        self.envelope: Envelope | None = None
        self.stuck_since: float | None = None
        self.waited_for = listener.loop.now() + PATIENCE  # until when the answer in hand is
        self.lingering = False
        self.stream = make(listener.loop, listener.budget, sock, self.ready)

    def make_machine(self) -> SenderConnection:
        """What reads its requests."""
        return SenderConnection(self.listener.names)

    def ready(self, mask: int) -> None:
        """The socket is ready."""
        try:
            if mask & WRITE:
                self.stream.flush()
            if mask & READ:
                self._read()
            self._settle()
        except OSError:
            self.gone()
        except Exception as problem:
            self._fault(problem)

    def _read(self) -> None:
        data = self.stream.read()
        if data is None or self.lingering:
            if data == b"":
                self.close()
            return
        if not data:
            self._ended()
            return
        self.machine.feed(data, self.listener.loop.now())
        self._take()
        if self.machine.wants_continue:
            self.machine.wants_continue = False
            self.stream.send(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _take(self) -> None:
        """Take up the next request, if none is being answered."""
        while (received := self.machine.next()) is not None:
            self.listener.engaged(self)
            self.waited_for = self.listener.loop.now() + PATIENCE
            self._handle(received)

    def _handle(self, received: Received) -> None:
        match received:
            case Delivered(envelope):
                self._accept(envelope)
            case Ready():
                up = not self.listener.ending
                self._answer(200 if up else 503, b"ready\n" if up else b"ending\n")
            case Rejected(status, reason):
                self._reject(status, reason)

    def _accept(self, envelope: Envelope) -> None:
        """Hand an envelope over. Guards against an id that another client's open request has: next hops would
        take the two for one."""
        open_ids, req_id = self.listener.open_ids, _id_of(envelope)
        if req_id in open_ids:
            self._reject(409, "req-id is open already")
            return
        open_ids.add(req_id)
        self.envelope = envelope
        self.waited_for = envelope.deadline + UNREAD
        self.listener.engine.accept(envelope, self)

    def _reject(self, status: int, reason: str) -> None:
        """A request that cannot be taken. One that came with others close behind ends the connection: guards
        against hundreds of them sent ahead, each of which would cost an answer."""
        self.listener.rejected += 1
        say(log, logging.WARNING, "rejected", status=status, reason=reason)
        self._answer(status, reason.encode() + b"\n", last=self.machine.sent_ahead())

    def _ended(self) -> None:
        """The sender side has ended its sending: it has gone. Should it have closed only that half, it still
        gets a whole answer."""
        self.sender_left()
        if self.machine.owing:
            self._answer(499, b"")
        if not self.stream.unwritten():
            self.close()

    def sender_left(self) -> None:
        """Nothing more is owed here."""
        envelope = self._let_go()
        if envelope is not None:
            self.listener.engine.sender_gone(envelope)

    def _let_go(self) -> Envelope | None:
        """The envelope in hand, which is in hand no more."""
        envelope, self.envelope = self.envelope, None
        if envelope is not None:
            self.listener.open_ids.discard(_id_of(envelope))
        return envelope

    def gone(self) -> None:
        """The connection broke."""
        self.sender_left()
        self.close()

    # ------------------------------------------------------------------------------ the final answers

    def served(self, envelope: Envelope, answer: object) -> None:
        assert isinstance(answer, Answer)
        kind = answer.headers.get(b"content-type")
        self._final(200, answer.body, () if kind is None else ((b"Content-Type", kind),))

    def refused(self, envelope: Envelope, retry_after: float) -> None:
        wait = ((b"Retry-After", b"%.3f" % (retry_after / 1000.0)),) if retry_after > 0 else ()
        self._final(503, b"refused\n", wait)

    def failed(self, envelope: Envelope, late: bool) -> None:
        self._final(504 if late else 502, b"failed\n")

    def broke(self, envelope: Envelope) -> None:
        self._final(500, b"fault\n")

    def _final(self, status: int, body: bytes, extra: Extra = ()) -> None:
        self._let_go()
        try:
            self._answer(status, body, extra)
            self._take()
            self._settle()
        except OSError:
            self.gone()

    def _answer(self, status: int, body: bytes, extra: Extra = (), last: bool = False) -> None:
        if self.stream.open:
            self.stream.send(self.machine.answer(status, body, extra, self.listener.ending, last), body)

    # -------------------------------------------------------------------------------------- its state

    def _settle(self) -> None:
        """What to wait for next; the end, once all is answered and written."""
        if not self.stream.open:
            return
        unwritten = self.stream.unwritten()
        waiting = unwritten or self.machine.partial or self.stream.partial()
        # The first request counts from the connection's begin; bytes that trickle in never set it back.
        begun = self.listener.fresh.get(self) or self.listener.loop.now()
        self.stuck_since = (self.stuck_since or begun) if waiting else None
        if not unwritten and self.machine.idle():
            self.listener.free(self)
        if self.machine.done and not unwritten and not self.lingering:
            self.lingering = True
            self.stream.end_sending()
            self.listener.loop.after(LINGER, self.close)
        # Guards against a sender that fills the memory with requests sent ahead: they stay in its socket.
        reading = READ if self.lingering or not self.machine.crowded() else 0
        self.stream.want(reading | (WRITE if unwritten else 0))

    def _fault(self, problem: Exception) -> None:
        """An exception over one request: it is answered 500, the process goes on."""
        self.listener.loop.faults += 1
        fault(log, "sender_fault", problem, count=self.listener.loop.faults)
        try:
            owing, self.machine.owing = self.machine.owing, False
            self.sender_left()
            if owing:
                self._answer(500, b"fault\n")
        except Exception:  # it could not even be told
            pass
        self.close()

    def check(self, now: float) -> None:
        """Guards against connections held for ever by half a request or an answer that is not read."""
        if self.stuck_since is None:
            return
        if self.stream.unwritten():
            if now >= self.waited_for:  # guards against memory held by answers that nobody reads
                self.gone()
        elif now - self.stuck_since >= PATIENCE and not self.machine.owing:
            if not self.stream.established():
                self.gone()
                return
            self.machine.too_slow()
            self._take()
            self._settle()

    def idle(self) -> bool:
        """Between requests, with nothing to write and nothing that came unread."""
        stream = self.stream
        return self.machine.idle() and not (stream.unwritten() or stream.partial()) and stream.quiet()

    def close(self) -> None:
        """Close it; the sender side can tell an answer that is not whole."""
        self.sender_left()
        self.stream.close()
        self.listener.forget(self)


def _id_of(envelope: Envelope) -> bytes:
    assert isinstance(envelope.payload, Letter)
    return envelope.payload.req_id


LinkMaker = Callable[["Listener", socket.socket, StreamMaker], SenderLink]


@dataclass(slots=True, eq=False)
class Door:
    """A listening socket, and what makes the streams of its connections, and the links that answer there."""

    sock: socket.socket
    make: StreamMaker
    link: LinkMaker


class Listener:
    """Accepts the sender side's connections, at one door or more."""

    def __init__(
        self, loop: Loop, budget: Budget, engine: Engine, names: Names, endpoint: tuple[str, int]
    ) -> None:
        self.loop, self.budget, self.engine, self.names = loop, budget, engine, names
        self.links: dict[SenderLink, None] = {}
        # Since when a connection has had no open request, the longest first: those that asked nothing yet,
        # and those between requests.
        self.fresh: OrderedDict[SenderLink, float] = OrderedDict()
        self.between: OrderedDict[SenderLink, float] = OrderedDict()
        self.open_ids: set[bytes] = set()
        self.ending = False
        self.rejected = 0
        self.last_came = loop.now()
        self.doors = [Door(_listen(endpoint), Stream, SenderLink)]
        self.watching = False
        self.open = True
        loop.after(SWEEP_EVERY, self._sweep)

    @property
    def sock(self) -> socket.socket:
        """The first door's."""
        return self.doors[0].sock

    def add_door(
        self, endpoint: tuple[str, int], make: StreamMaker = Stream, link: LinkMaker = SenderLink
    ) -> Door:
        """Another address. What comes in there counts, waits and ends as all the others."""
        door = Door(_listen(endpoint), make, link)
        self.doors.append(door)
        return door

    def start(self) -> None:
        """Accept from now on."""
        if self.open and not self.watching:
            self.watching = True
            for door in self.doors:
                self.loop.watch(door.sock, READ, partial(self._accept, door))

    def pause(self) -> None:
        """Leave new connections in the queue."""
        if self.watching:
            self.watching = False
            for door in self.doors:
                self.loop.unwatch(door.sock)

    def freed(self) -> None:
        """A descriptor was freed."""
        if not self.watching and self.budget.used < self.budget.limit and not self._crowded():
            self.start()

    def _crowded(self) -> bool:
        """Whether the sender side holds its part of the descriptors."""
        return len(self.links) >= HELD_PART * self.budget.limit

    def _room(self) -> bool:
        """Whether one more may be accepted. Guards against crowds that take the next hops' descriptors, so
        that each attempt needs a new connection."""
        while self._crowded():
            if not (self.shed(SPARE_AFTER) or self.shed()):
                return False
        return self.budget.room()

    def _accept(self, door: Door, mask: int) -> None:
        for _ in range(ACCEPTS):
            if not self._accept_one(door):
                return

    def _accept_one(self, door: Door) -> bool:
        """Whether one was accepted, so that there may be more."""
        if not self._room():
            say(log, logging.WARNING, "accept_paused", used=self.budget.used)
            self.pause()
            # guards against a crowd that fills all places at once: those give way only once they have waited
            self.loop.after(RETRY, self.start)
            return False
        try:
            sock, _ = door.sock.accept()
        except (BlockingIOError, InterruptedError, ConnectionError):
            return False
        except OSError as problem:
            # out of descriptors or memory: the same connection would wake the loop again at once
            say(log, logging.WARNING, "accept_failed", text=problem, used=self.budget.used)
            self.budget.shed()
            self.pause()
            self.loop.after(RETRY, self.start)
            return False
        self.last_came = self.loop.now()
        link = door.link(self, sock, door.make)
        self.links[link] = None
        self.fresh[link] = self.last_came
        return True

    # ------------------------------------------------------------------- connections without a request

    def engaged(self, link: SenderLink) -> None:
        """A request of a connection is taken up."""
        self.fresh.pop(link, None)
        self.between.pop(link, None)

    def free(self, link: SenderLink) -> None:
        """A connection has no open request."""
        if link not in self.fresh:
            self.between.setdefault(link, self.loop.now())

    def forget(self, link: SenderLink) -> None:
        """A connection closes."""
        self.engaged(link)
        self.links.pop(link, None)

    def _sweep(self) -> None:
        self.loop.after(SWEEP_EVERY, self._sweep)
        now = self.loop.now()
        for link in list(self.links):
            link.check(now)
        # guards against connections that are held for ever, by the hundred, and say nothing
        while self._shed_from(self.fresh, SILENT_FOR) or self._shed_from(self.between, IDLE_FOR):
            pass

    def shed(self, spare_after: float = 0.0) -> bool:
        """Close a connection that has had no open request for so long; False if there is none. Silent ones go
        before those that asked already, which are more likely to be used again."""
        return (
            self._shed_from(self.between, max(spare_after, SPARE_AFTER))
            or self._shed_from(self.fresh, max(spare_after, SLOW_START))
            or self._shed_from(self.between, spare_after)
        )

    def _shed_from(self, table: OrderedDict[SenderLink, float], age: float) -> bool:
        before = self.loop.now() - age
        for link, since in table.items():
            if since > before:
                break
            if link.idle():
                link.close()
                return True
        return False

    def close(self) -> None:
        """Accept no more. What the machine has accepted already is taken: guards against its reset."""
        for door in self.doors:
            while self.open and self._accept_one(door):
                pass
        self.pause()
        if self.open:
            self.open = False
            for door in self.doors:
                door.sock.close()


def _listen(endpoint: tuple[str, int]) -> socket.socket:
    """A listening socket. The address may still be held by a predecessor that answers what it owes: guards
    against a restart that fails for that."""
    until = time.monotonic() + HELD_FOR
    while True:
        try:
            sock = socket.create_server(endpoint, family=family(endpoint), backlog=BACKLOG)
            sock.setblocking(False)
            return sock
        except OSError as problem:
            if problem.errno != errno.EADDRINUSE or time.monotonic() >= until:
                raise
            time.sleep(0.05)

"""The driver of one connection of the sender side."""

from __future__ import annotations

import logging
import socket
from typing import TYPE_CHECKING

from ..connections.account import Conn, State, Why
from ..core.engine import Envelope
from ..core.flow import Flow
from ..http.next_hop import Begun
from ..http.response import Answer
from ..http.sender_side import (
    Delivered,
    Extra,
    Letter,
    Ready,
    Received,
    Rejected,
    SenderConnection,
    drop_body,
)
from ..logs import fault, say
from .loop import READ, WRITE, Timer
from .stream import CHUNK, LONG, NO_PROGRESS, StreamMaker

if TYPE_CHECKING:
    from .listener import Listener

log = logging.getLogger(__name__)
LINGER = 500.0  # to read on after an answer that came before the request's end, lest a reset overtakes it
WHYS = {408: Why.SLOW, 499: Why.CLIENT}  # how a connection ends with such an answer
FIRST_HAS = 500.0  # for the rest of a first request that began late
STILL = 1_000.0  # milliseconds without a byte of a body, once its head's time is over
SLOWEST = 32.0  # bytes a millisecond of a body, on the average from there: half of what a slow client sends
PIECE = 256 * 1024  # of a body in parts that is written at once
UNREAD_FOR = 3_000.0  # the same for a short answer, once nobody waits for it
UNREAD = 500.0  # after its deadline nobody waits for an answer any more


class SenderLink:
    """One connection of the sender side; the port through which its envelopes are answered."""

    conn: Conn  # its entry in the account

    def __init__(self, listener: Listener, sock: socket.socket, make: StreamMaker) -> None:
        self.listener = listener
        self.machine = self.make_machine()
        self.envelope: Envelope | None = None
        self.stuck_since: float | None = None
        self.waited_for = listener.loop.now() + listener.patience  # until when the answer in hand is
        self._linger: Timer | None = None
        self.flow: Flow | None = None  # of the answer that is passed on
        self.upload: Flow | None = None  # of the body of the request in hand
        self.came = 0.0  # when something last came
        self._left = False  # the other side has ended its sending
        self.stream = make(listener.loop, listener.budget, sock, self.ready)

    def make_machine(self) -> SenderConnection:
        """What reads its requests."""
        listener = self.listener
        return SenderConnection(lambda: listener.names, listener.budget.flows)

    def ready(self, mask: int) -> None:
        """The socket is ready."""
        try:
            if mask & WRITE:
                self.stream.flush()
                self._pump()
            if mask & READ:
                self._read()
            self._settle()
        except OSError:
            self.gone()
        except Exception as problem:
            self._fault(problem)

    def _read(self) -> None:
        was_up = self.stream.established()
        body = self.machine.flow
        data = self.stream.read() if body is None else self.stream.read(max(1, min(CHUNK, body.space())))
        now = self.listener.loop.now()
        if not was_up and self.stream.established():
            self.conn.ready = now
        if data is None or self._linger is not None:
            if data == b"":
                self.close()
            return
        if not data:
            self._ended()
            return
        self.conn.begin(now)
        self.came = now
        self.machine.feed(data, now)
        if self.machine.flow is not None:
            self.machine.flow.freed = self._settle
        if self.stream.ended():
            self._ended()  # first: guards against a request that is sent on for a client that has left
        self._take()
        if self.machine.partial and not self.machine.owing:
            self.listener.account.half_came(self.conn, now)
        for envelope, deadline in self.machine.whole():
            self._whole(envelope, deadline)
        if self.upload is not None:
            self.upload.tell()
        self._came_wrong()

    def _whole(self, envelope: Envelope, deadline: float) -> None:
        """The last byte of an envelope that was coming is there."""
        if envelope is self.envelope:
            self.waited_for = deadline + UNREAD
            self.listener.engine.whole(envelope, deadline)
        elif not envelope.ref:  # it waits for the answer to an earlier one
            envelope.coming, envelope.deadline = False, deadline

    def _came_wrong(self) -> None:
        """A body that was passed on as it came cannot go on: its request ends."""
        broken, self.machine.broken = self.machine.broken, None
        if broken is not None and self.machine.owing:
            self.sender_left()
            self._reject(broken.status, broken.reason, broken.klass, last=True)

    def _invite(self) -> None:
        """Say that a body may come, unless an earlier request is to be answered first."""
        if self.machine.wants_continue and not self.machine.owing and self.stream.open:
            self.machine.wants_continue = False
            self.stream.send(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _take(self) -> None:
        """Take up the next request, if none is being answered."""
        while (received := self.machine.next()) is not None:
            self.listener.asked(self)
            self.waited_for = self.listener.loop.now() + self.listener.patience
            self._handle(received)
        self._invite()

    def _handle(self, received: Received) -> None:
        match received:
            case Delivered(envelope):
                self._accept(envelope)
            case Ready():
                up = self.listener.up()
                self._answer(200 if up else 503, b"ready\n" if up else b"ending\n")
            case Rejected(status, reason, klass):
                self._reject(status, reason, klass)

    def _accept(self, envelope: Envelope) -> None:
        """Hand an envelope over. Guards against an id that another client's open request has: next hops would
        take the two for one.
        """
        open_ids, req_id = self.listener.open_ids, _id_of(envelope)
        if self._left:
            drop_body(envelope)
            self._answer(499, b"", last=True)
            return
        if req_id in open_ids:
            drop_body(envelope)
            self._reject(409, "req-id is open already", envelope.klass)
            return
        open_ids.add(req_id)
        self.envelope = envelope
        assert isinstance(envelope.payload, Letter)
        self.upload = envelope.payload.flow
        self.waited_for = envelope.deadline + UNREAD
        self.listener.engine.accept(envelope, self)

    def _reject(self, status: int, reason: str, klass: int | None = None, last: bool = False) -> None:
        """A request that cannot be taken. One that came with others close behind ends the connection: guards
        against hundreds of them sent ahead, each of which would cost an answer.
        """
        self.listener.rejected += 1
        if klass is not None:
            self.listener.engine.turned_away(klass)
        say(log, logging.WARNING, "rejected", status=status, reason=reason)
        self._answer(status, reason.encode() + b"\n", last=last or self.machine.sent_ahead())

    def _ended(self) -> None:
        """The sender side has ended its sending: it has gone. Should it have closed only that half, it still
        gets a whole answer.
        """
        self._left = True
        if self.flow is not None:
            return  # if it has gone altogether, what is written next breaks
        self.sender_left()
        if self.machine.owing:
            self._answer(499, b"", last=True)
        if not (self.stream.unwritten() or self.machine.sent_ahead()):
            self.close()

    def sender_left(self) -> None:
        """Nothing more is owed here."""
        envelope = self._let_go()
        if envelope is not None:
            self.listener.engine.sender_gone(envelope)
        if self.flow is not None:
            self.flow.close()
            self.flow = None

    def _let_go(self) -> Envelope | None:
        """The envelope in hand, which is in hand no more."""
        envelope, self.envelope = self.envelope, None
        if envelope is not None:
            self.listener.open_ids.discard(_id_of(envelope))
        if self.upload is not None:
            self.upload.close()
            self.upload = None
        return envelope

    def gone(self) -> None:
        """The connection broke."""
        self.sender_left()
        self.close(Why.BROKE)

    # ------------------------------------------------------------------------------ the final answers

    def served(self, envelope: Envelope, answer: object) -> None:
        assert isinstance(answer, Answer)
        self._final(200, answer.body, _kind(answer.headers))

    def begins(self, envelope: Envelope, answer: object) -> None:
        assert isinstance(answer, Begun)
        self.flow = answer.flow
        if answer.flow.length is None or answer.flow.length > LONG:
            self.stream.keep_small(socket.SO_SNDBUF)
        try:
            self.stream.send(self.machine.begin(answer.flow.length, _kind(answer.headers), self.ends()))
            self.flow.more = self._more
        except OSError:
            self.gone()

    def _more(self) -> None:
        """More of the answer that is passed on has come, its end, or its break."""
        try:
            self._pump()
            self._settle()
        except OSError:
            self.gone()

    def _pump(self) -> None:
        """Write what has come as far as the socket takes it: no more of it is held here than one piece."""
        while self.flow is not None and self.stream.open and not self.stream.unwritten():
            parts = self.flow.take(PIECE)
            if parts:
                self.stream.send(*self.machine.chunk(*parts))
            elif self.flow.over():
                self._passed_on()
            elif self.flow.cut():
                self._cut()
            else:
                break

    def _passed_on(self) -> None:
        """The answer is whole."""
        flow, envelope = self.flow, self._let_go()
        assert flow is not None and envelope is not None
        self.flow = None
        flow.close()
        self.stream.send(self.machine.finish())
        self.listener.engine.passed_on(envelope, True)
        self.answered(200)
        self._take()

    def _cut(self) -> None:
        """The answer will not be whole, and the sender side must see that."""
        envelope = self._let_go()
        assert envelope is not None
        self.listener.engine.passed_on(envelope, False)
        if self.machine.unframed():
            self.stream.abort()
        self.close(Why.CUT)

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
            ends = last or self.ends()
            self.stream.send(self.machine.answer(status, body, extra, ends, last), body)
            self.answered(status)

    def ends(self) -> bool:
        """Whether the connection is to end with the answer that is due: the router ends, or its place is
        needed before it is expected to ask again.
        """
        return self.listener.ending or self.listener.policy.last(self.conn, self.listener.loop.now())

    def answered(self, status: int) -> None:
        """The request in hand has its answer, with that status."""
        self.listener.account.answer(self.conn, status)
        if not self.machine.done:
            self.conn.why = None  # a request that was sent ahead is answered first
        elif self.listener.ending:
            self.conn.why = Why.ENDING
        elif self.conn.why is None:
            self.conn.why = WHYS.get(status, Why.REJECTED if 400 <= status < 500 else Why.CLIENT)

    # -------------------------------------------------------------------------------------- its state

    def _settle(self) -> None:
        """What to wait for next; the end, once all is answered and written."""
        if not self.stream.open:
            return
        unwritten = self.stream.unwritten()
        waiting = unwritten or self.machine.partial or self.stream.partial()
        conn, now = self.conn, self.listener.loop.now()
        begun = self._begun(now)
        self.stuck_since = (self.stuck_since or begun) if waiting else None
        if not unwritten and self._linger is None:
            if self.machine.done:
                self.listener.account.linger(conn, now)
                self.stream.end_sending()
                self._linger = self.listener.loop.after(LINGER, self.close)
            elif conn.state is State.ASKING and self.machine.idle():
                self.listener.account.keep(conn, now)
        if self._left and not unwritten and self._linger is None and self.flow is None:
            self.close()  # all that it was owed is on its way
            return
        # Guards against a sender that fills the memory with requests sent ahead: they stay in its socket. One
        # that has ended its sending stays readable for ever, and says no more.
        body = self.machine.flow
        full = self.machine.crowded() or self._left or (body is not None and body.pause())
        reads = self._linger is not None or not full
        self.listener.reads(self, reads or self._left)
        self.stream.want((READ if reads else 0) | (WRITE if unwritten else 0))

    def _begun(self, now: float) -> float:
        """Since when the request counts that has begun; bytes that trickle in never set it back. The first
        one counts from the connection's begin, as who says nothing may not stay much longer either, but it
        has half a second in any case.
        """
        settings = self.listener.settings
        if self.conn.state is not State.FRESH or settings.limits.silent_for > 2 * settings.patience:
            return now
        return max(self.conn.opened, now - settings.patience + FIRST_HAS)

    def _fault(self, problem: Exception) -> None:
        """An exception over one request: it is answered 500, the process goes on."""
        self.listener.loop.faults += 1
        fault(log, "sender_fault", problem, count=self.listener.loop.faults)
        try:
            # amid an answer that is passed on the sender side can only be shown that it is not whole
            owing, self.machine.owing = self.machine.owing and self.flow is None, False
            self.sender_left()
            if owing:
                self._answer(500, b"fault\n")
        except Exception:  # it could not even be told
            pass
        self.close(Why.FAULT)

    def _stopped_reading(self, now: float) -> bool:
        """Whether an answer is not read: guards against memory held for nobody. A slow reader is none."""
        still = now - self.stream.moved
        return still >= NO_PROGRESS or (self.flow is None and now >= self.waited_for and still >= UNREAD_FOR)

    def _stopped_sending(self, now: float, since: float) -> bool:
        """Whether what has begun to come does not go on: a head has its time, a body has to make progress."""
        machine, over = self.machine, now - since - self.listener.patience
        if over < 0 or (machine.owing and machine.flow is None):
            return False
        if machine.flow is not None and machine.flow.paused:
            self.stuck_since = now - self.listener.patience  # it is us who do not read
            return False
        return machine.in_head() or now - self.came >= STILL or machine.came < SLOWEST * over

    def check(self, now: float) -> None:
        """Guards against connections held for ever by half a request or an answer that is not read."""
        if self.stuck_since is None:
            return
        if self.stream.unwritten():
            if self._stopped_reading(now):
                self._too_slow()
        elif self._stopped_sending(now, self.stuck_since):
            if not self.stream.established():
                self._too_slow()
                return
            self.machine.too_slow()
            self._take()
            self._came_wrong()
            self._settle()

    def _too_slow(self) -> None:
        self.sender_left()
        self.close(Why.SLOW)

    def quiet(self) -> bool:
        """Nothing is in hand or to be written, and nothing came unread: at most half a request is here."""
        return not (self.machine.owing or self.stream.unwritten()) and self.stream.quiet()

    def idle(self) -> bool:
        """Between requests, with nothing to write and nothing that came unread."""
        stream = self.stream
        return self.machine.idle() and not (stream.unwritten() or stream.partial()) and stream.quiet()

    def rest(self, why: Why) -> None:
        """Between requests: nothing more is answered here. What crosses this is read and dropped, and its
        client asks once more elsewhere. Guards against a close over unread bytes: that is a reset, which can
        take the last answer with it.
        """
        self.conn.why = why
        self.machine.end()
        self._settle()

    def close(self, why: Why = Why.CLIENT) -> None:
        """Close it; the sender side can tell an answer that is not whole."""
        self.sender_left()
        if self._linger is not None:
            self._linger.cancel()  # guards against closed connections that a timer holds in memory
        self.machine.end()
        self.listener.forget(self, why)  # first: what is freed then may be taken at once
        self.stream.close()


def _kind(headers: dict[bytes, bytes]) -> Extra:
    """What of a next hop's headers is passed on."""
    kind = headers.get(b"content-type")
    return () if kind is None else ((b"Content-Type", kind),)


def _id_of(envelope: Envelope) -> bytes:
    assert isinstance(envelope.payload, Letter)
    return envelope.payload.req_id

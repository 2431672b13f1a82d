"""The next-hop pool: connections to next hops, one delivery attempt at a time on each."""

from __future__ import annotations

import logging
import socket
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import replace

from ..connections.descriptors import Use
from ..connections.keeping import Keeping
from ..core.engine import DeliveryAttempt, Engine
from ..core.flow import Flow
from ..core.transport_map import NextHop, TransportMap
from ..decisions.api import Result, State
from ..http.next_hop import Begun, Exchange, Verdict
from ..http.sender_side import Letter
from ..logs import fault, say
from ..settings.config import Config
from ..waiting.dials import Dials
from .budget import Budget
from .loop import READ, WRITE, Loop
from .stream import CHUNK, LONG, NO_PROGRESS, OUT_OF_DESCRIPTORS, Dialed, Stream, dial

log = logging.getLogger(__name__)
IDLE_PART = 0.7  # of the time after which a next hop may close an idle connection: then ours goes
SWEEP_EVERY = 500.0  # milliseconds between looks at idle connections; more often where they are kept shortly,
SWEEP_LEAST = 50.0  # but no more often than this
STALL = 0.2  # of the shortest aim: an answer that has begun and then stops for so long is spoilt
EARLY = 100.0  # an idle connection that its next hop closes sooner than this was never meant to be kept
WARY_FOR = 60_000.0  # after such a close
MORE = 3  # reads in one go, beside the first, of an answer that is passed on
DIALED = 4_096  # endpoints of whose dials something is kept


def _spent(payload: object) -> bool:
    """Whether a body that came in parts has been begun to be sent: it cannot be sent again."""
    assert isinstance(payload, Letter)
    return payload.flow is not None and payload.flow.touched


class Link(Dialed):
    """One connection to a next hop."""

    def __init__(self, pool: NextHopPool, hop: NextHop, sock: socket.socket) -> None:
        super().__init__()
        self.pool = pool
        self.dialed_at = pool.loop.now()
        self.server = hop.server
        self.host = f"{hop.endpoint[0]}:{hop.endpoint[1]}"
        self.endpoint = hop.endpoint
        self.keeping = pool.keeping[hop.kind == pool.origin_kind]
        self.used = False  # it has had an answer
        self.exchange: Exchange | None = None
        self.attempt: DeliveryAttempt | None = None
        self.idle_since = 0.0
        self.held = 0
        self.stalls_at: float | None = None
        self.retired = False
        self.flow: Flow | None = None  # an answer is being passed on
        self.moved = 0.0  # when something of it last came
        self.stream = Stream(pool.loop, pool.budget, sock, self.ready, WRITE, Use.NEXT_HOPS)

    def start(self, attempt: DeliveryAttempt, letter: Letter) -> None:
        """Carry an attempt; its bytes go out as soon as the connection is up."""
        self.attempt = attempt
        self._state(attempt, letter)
        if letter.flow is not None:
            letter.flow.more = self._body_came
        if not self.dialing:
            self._guarded(self._write)

    def withdraw(self, result: Result) -> None:
        """End an attempt of which nothing is written yet."""
        attempt = self.attempt
        self.close()
        if attempt is not None:
            self.pool.ended(attempt, Verdict(result))

    def _body_came(self) -> None:
        """More of the request's body is there."""
        if self.exchange is not None and not self.dialing:
            self._guarded(self._write)

    def _state(self, attempt: DeliveryAttempt, letter: Letter) -> None:
        """Put the request in words; it tells the time that is left."""
        self.exchange = Exchange(letter, self.host, attempt.stop_at - self.pool.loop.now())

    def _connected(self) -> None:
        now, attempt = self.pool.loop.now(), self.attempt
        self.stream.connected()
        self.pool.dials_to(self.endpoint).up(now - self.dialed_at)
        if attempt is not None and now > attempt.begin_by:
            self.withdraw(Result.MOOT)  # a repeat whose window ended meanwhile
            return
        if attempt is not None and isinstance(attempt.envelope.payload, Letter):
            self._state(attempt, attempt.envelope.payload)  # less time is left than when the dial began
        super()._connected()

    def _guarded(self, step: Callable[[], None]) -> None:
        try:
            step()
        except OSError as problem:
            say(log, logging.DEBUG, "next_hop_broke", server=self.server, text=problem)
            self._over(self.exchange.broke() if self.exchange is not None else None)
        except Exception as problem:
            # Guards against a socket that stays ready and raises the same again at once, without end.
            self.pool.loop.faults += 1
            fault(log, "next_hop_fault", problem, server=self.server, count=self.pool.loop.faults)
            self._over(self.exchange.broke() if self.exchange is not None else None)

    def _write(self) -> None:
        exchange = self.exchange
        if exchange is None:
            return
        if exchange.unsent():
            try:
                exchange.written(self.stream.write(exchange.unsent()))
                if exchange.sent() and self.attempt is not None:
                    self.pool.engine.attempt_written(self.attempt)
            except OSError:
                self._read()  # an early answer may have come before the connection broke
                if self.exchange is exchange:
                    raise
                return
        self.stream.want(READ | WRITE if exchange.unsent() else READ)

    def _read(self, more: int = MORE) -> None:
        flow = self.flow
        data = self.stream.read() if flow is None else self.stream.read(max(1, min(CHUNK, flow.space())))
        if data is None:
            return
        if self.exchange is None:
            self.pool.closed_early(self)
            self._over(None)  # an idle one was closed, or says what nobody asked
            return
        exchange = self.exchange
        verdict = exchange.feed(data) if data else exchange.ended()
        if exchange.begun():
            self._pass_on(exchange, verdict, more)
            return
        if verdict is None:
            verdict = self._part_came(exchange)
        if verdict is not None:
            self._over(verdict)

    def _pass_on(self, exchange: Exchange, verdict: Verdict | None, more: int) -> None:
        """More has come of an answer that is passed on as it comes."""
        self.moved = self.pool.loop.now()
        if self.flow is None and not self._begin(exchange):
            return
        flow = self.flow
        assert flow is not None
        for part in exchange.take():
            flow.put(part)
        if self.flow is not flow:
            return  # the sender side left as it was written to
        if verdict is not None:
            self._passed(verdict)
        elif flow.pause():
            self.stream.want(0)  # its sender side has to read first
        elif more:
            self._read(more - 1)  # what has come already: a wait for each part would cost as much as the part

    def _begin(self, exchange: Exchange) -> bool:
        """Whether the answer that has begun is wanted."""
        attempt = self.attempt
        assert attempt is not None
        self._hold(0)
        self.stalls_at, self.used = None, True
        headers, length = exchange.head()
        self.flow = flow = Flow(self.pool.budget.flows, length)
        flow.freed = self._go_on
        if length is None or length > LONG:
            self.stream.keep_small(socket.SO_RCVBUF)
        self.pool.passing[self] = None
        if not self.pool.engine.attempt_begins(attempt, exchange.note(), Begun(headers, flow)):
            self.close()
            return False
        return self.flow is flow

    def _go_on(self) -> None:
        """The sender side has read."""
        if self.flow is not None:
            self.moved = self.pool.loop.now()
            self.stream.want(READ)

    def _passed(self, verdict: Verdict) -> None:
        """An answer that was passed on is at its end, whole or not."""
        flow, attempt, self.flow = self.flow, self.attempt, None
        assert flow is not None and attempt is not None
        self.attempt = self.exchange = None
        self.pool.passing.pop(self, None)
        self.pool.busy.pop(attempt, None)
        if verdict.reusable and not self.retired:
            self.stream.want(READ)
            self.pool.rest(self)
        else:
            self.close()
        if verdict.result is Result.OK:
            flow.end()
        else:
            say(log, logging.WARNING, "answer_cut", server=self.server, came=flow.came, length=flow.length)
            flow.fail()

    def check(self, now: float) -> None:
        """Guards against a next hop that stops amid an answer which is being passed on."""
        if self.flow is not None and self.flow.space() and now - self.moved >= NO_PROGRESS:
            self._passed(Verdict(Result.RESET))

    def _part_came(self, exchange: Exchange) -> Verdict | None:
        """More is to come of an answer, if there is memory for it: guards against many large ones at once."""
        self._hold(exchange.held())
        if self.pool.budget.held > self.pool.budget.most_held:
            return exchange.spoilt()
        if self.stalls_at is None:
            self.pool.loop.after(self.pool.stall, lambda: self._look(exchange))
        self.stalls_at = self.pool.loop.now() + self.pool.stall
        return None

    def _look(self, exchange: Exchange) -> None:
        """Guards against answers that stop short on a connection that stays open: the attempt would last to
        its deadline, while another might still be in time.
        """
        if self.exchange is not exchange or self.stalls_at is None:
            return
        now = self.pool.loop.now()
        if now < self.stalls_at:
            self.pool.loop.at(self.stalls_at, lambda: self._look(exchange))
        else:
            self._over(exchange.spoilt())

    def _hold(self, count: int) -> None:
        """So many bytes of an answer are held now."""
        self.pool.budget.held += count - self.held
        self.held = count

    def _over(self, verdict: Verdict | None) -> None:
        """The attempt has ended, or an idle connection has."""
        if self.flow is not None:
            self._passed(verdict or Verdict(Result.RESET))
            return
        attempt, self.attempt, self.exchange = self.attempt, None, None
        if verdict is not None and verdict.answer is not None:
            verdict = self._judged(verdict)
        self._hold(0)
        self.stalls_at = None
        if verdict is not None and verdict.reusable and not self.retired:
            self.stream.want(READ)
            self.pool.rest(self)
        else:
            self.close()
        if attempt is not None and verdict is not None:
            self.pool.ended(attempt, verdict)

    def _judged(self, verdict: Verdict) -> Verdict:
        """An answer has come. Guards against a next hop that has no place for another connection and is taken
        for one whose queue is full: its keys would move away, and retries be spent on it.
        """
        first, self.used = not self.used, True
        if first and verdict.result is Result.FULL and not verdict.reusable:
            self.keeping.turned_away()
            return replace(verdict, result=Result.NO_PLACE)
        if first:
            self.keeping.let_in()
        return verdict

    def close(self) -> None:
        """Close it; an attempt on it is given up."""
        self.attempt = self.exchange = self.flow = None
        self._hold(0)
        self.pool.passing.pop(self, None)
        self.pool.forget(self)
        self.stream.close()


class NextHopPool:
    """All connections to next hops."""

    def __init__(self, loop: Loop, budget: Budget, hops: TransportMap, config: Config) -> None:
        self.loop, self.budget, self.map = loop, budget, hops
        self.origin_kind = config.settings.origin_kind
        # the origin is another kind of machine, with limits of its own
        self.keeping = {
            of_origin: Keeping(config.conn_idle * IDLE_PART, config.settings.routers)
            for of_origin in (False, True)
        }
        self.apply(config)
        self.dials: OrderedDict[tuple[str, int], Dials] = OrderedDict()  # the most recently dialed last
        self.engine: Engine
        self.busy: dict[DeliveryAttempt, Link] = {}
        self.passing: dict[Link, None] = {}  # of the busy ones: an answer is passed on as it comes
        self.idle: dict[int, list[Link]] = {}  # the most recently used last
        self.by_age: OrderedDict[Link, None] = OrderedDict()  # the longest idle first
        self.rest_for = 0.0  # milliseconds that a connection rests before it is used again ...
        self.wary_until = 0.0  # ... up to this time
        self.zone = config.settings.zone
        loop.after(SWEEP_EVERY, self._sweep)

    def apply(self, config: Config) -> None:
        """Other settings from now on."""
        self.dial_timeout = config.dial_timeout
        for keeping in self.keeping.values():
            keeping.limit(config.conn_idle * IDLE_PART)
        self.stall = STALL * min(klass.aim for klass in config.settings.classes)

    # ---------------------------------------------------------------------------- the engine's calls

    def deliver(self, attempt: DeliveryAttempt) -> None:
        """Start a delivery attempt on the most recently used idle connection, or on a new one."""
        letter = attempt.envelope.payload
        assert isinstance(letter, Letter)
        if _spent(letter):
            self.ended(attempt, Verdict(Result.MOOT))
            return
        hop = self.map.hops.get(attempt.server)
        if hop is not None and hop.zone != self.zone:
            self.engine.counts["crossings"] += 1
        if hop is not None and hop.state is not State.READY:
            self.ended(attempt, Verdict(Result.MOOT))  # chosen before the drain was told
            return
        link = self._idle_link(attempt.server)
        if link is None and hop is not None:
            self.engine.counts["dials"] += 1
            link = self._dial(hop)
        if link is None:
            self.ended(attempt, Verdict(Result.CONNECT_FAILED))
            return
        self.busy[attempt] = link
        link.start(attempt, letter)

    def give_up(self, attempt: DeliveryAttempt) -> None:
        """Close the attempt's connection: an answer still to come would be taken for the next request's."""
        link = self.busy.pop(attempt, None)
        if link is not None:
            link.close()

    def retire(self, servers: tuple[int, ...]) -> None:
        """Close what is idle to next hops that drain, left or restarted; what is busy closes after its
        attempt. One of which nothing is written yet does not begin any more, and its request goes elsewhere:
        guards against dials that come up after the drain was told. The module has to know of it already.
        """
        for server in servers:
            for link in list(self.idle.get(server, ())):
                link.close()
        gone = set(servers)
        for link in list(self.busy.values()):
            link.retired = link.retired or link.server in gone
            if link.retired and link.dialing and link.attempt is not None:
                link.withdraw(Result.MOOT)

    def close(self) -> None:
        """Close all connections."""
        for link in [*self.busy.values(), *self.by_age]:
            link.close()
        self.busy.clear()

    # ------------------------------------------------------------------------------ the links' calls

    def ended(self, attempt: DeliveryAttempt, verdict: Verdict) -> None:
        """An attempt has its outcome."""
        self.busy.pop(attempt, None)
        self.engine.attempt_ended(
            attempt,
            verdict.result,
            verdict.note,
            verdict.answer,
            verdict.spoilt,
            _spent(attempt.envelope.payload),
        )

    def rest(self, link: Link) -> None:
        """A connection is free for the next attempt."""
        link.idle_since = self.loop.now()
        self.idle.setdefault(link.server, []).append(link)
        self.by_age[link] = None

    def closed_early(self, link: Link) -> None:
        """A next hop ended an idle connection. Guards against requests written to connections that close
        right after an answer, which end as resets: while that happens, connections rest before use.
        """
        rested = self.loop.now() - link.idle_since
        if rested < EARLY:
            self.rest_for = max(self.rest_for, 1.2 * rested)
            self.wary_until = self.loop.now() + WARY_FOR

    def forget(self, link: Link) -> None:
        """A connection is idle no more."""
        if link in self.by_age:
            del self.by_age[link]
            links = self.idle[link.server]
            links.remove(link)
            if not links:  # guards against an entry for each next hop that ever was
                del self.idle[link.server]

    # ---------------------------------------------------------------------------------- connections

    def _idle_link(self, server: int) -> Link | None:
        now = self.loop.now()
        if now > self.wary_until:
            self.rest_for = 0.0
        for link in self.idle.get(server, [])[::-1]:
            if now - link.idle_since < self.rest_for:
                continue
            if link.stream.quiet():  # as far as this side can know it is still good
                self.forget(link)
                return link
            self.closed_early(link)
            link.close()
        return None

    def _dial(self, hop: NextHop) -> Link | None:
        if not self.budget.room(Use.NEXT_HOPS):
            say(log, logging.WARNING, "no_socket_for_dial", server=hop.server, used=self.budget.used)
            return None
        try:
            sock = dial(hop.endpoint, self.shed)
        except OSError as problem:
            if problem.errno in OUT_OF_DESCRIPTORS:
                say(log, logging.WARNING, "no_socket_for_dial", server=hop.server, used=self.budget.used)
            return None
        link = Link(self, hop, sock)
        self.loop.after(self.dials_to(hop.endpoint).patience(), lambda: self._dial_over(link))
        return link

    def dials_to(self, endpoint: tuple[str, int]) -> Dials:
        """What is known of dials there; of those dialed longest ago nothing is kept."""
        found = self.dials.get(endpoint)
        if found is None:
            found = self.dials[endpoint] = Dials(self.dial_timeout)
            if len(self.dials) > DIALED:
                self.dials.popitem(last=False)
        self.dials.move_to_end(endpoint)
        return found

    def _dial_over(self, link: Link) -> None:
        attempt = link.attempt
        if not link.dialing or not link.stream.open or attempt is None:
            return
        if link.stream.up():  # guards against a loop that was busy: timers run before sockets are looked at
            link.ready(WRITE)
        else:
            self.dials_to(link.endpoint).cut()
            link.withdraw(Result.CONNECT_FAILED)

    def shed(self) -> bool:
        """Close the connection that was idle the longest; False if there is none."""
        for link in self.by_age:
            link.close()
            return True
        return False

    def _sweep(self) -> None:
        """Close what was idle for long, well before the next hop does: a request written to a connection that
        the other side has closed is a reset.
        """
        shortest = min(keeping.time for keeping in self.keeping.values())
        self.loop.after(max(SWEEP_LEAST, min(SWEEP_EVERY, 0.25 * shortest)), self._sweep)
        for passing in list(self.passing):
            passing.check(self.loop.now())
        now = self.loop.now()
        for link in list(self.by_age):
            if now - link.idle_since < shortest:
                break
            if now - link.idle_since >= link.keeping.time:
                link.close()

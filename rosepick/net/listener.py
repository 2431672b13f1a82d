"""The doors of the sender side: accepting, and what is closed there to make room."""

from __future__ import annotations

import errno
import logging
import socket
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass
from functools import partial

from ..connections.account import Account, Conn, State, Why
from ..connections.descriptors import Use
from ..connections.intake import Portion
from ..connections.policy import LOOK_EVERY, Limits, Policy
from ..core.engine import Engine
from ..logs import say
from ..settings.config import Names
from . import accept_queue
from .budget import Budget
from .loop import READ, Loop
from .sender_link import SenderLink
from .stream import Stream, StreamMaker, family

log = logging.getLogger(__name__)
HELD_FOR = 5.0  # seconds
RETRY = 50.0  # after an accept for which there was no descriptor
SWEEP_EVERY = 250.0
UNREAD_LOOK = 40.0  # between looks for clients that left where nothing is read: a break counts from 100
UNHEARD = 8  # accepted beyond the doors' part, only to see from where they come

LinkMaker = Callable[["Listener", socket.socket, StreamMaker], SenderLink]


@dataclass(slots=True, eq=False)
class Door:
    """A listening socket, and what makes the streams of its connections, and the links that answer there."""

    name: str
    sock: socket.socket
    make: StreamMaker
    link: LinkMaker


@dataclass(frozen=True, slots=True)
class DoorSettings:
    """What the operators set for all doors; the listener's part of it. Times are milliseconds."""

    limits: Limits
    patience: float = 2_500.0  # for the head of a request, from its begin or that of the connection
    queue: int = 1024  # connections that may wait in the kernel, at each door


class Listener:
    """Accepts the sender side's connections, at one door or more."""

    def __init__(
        self,
        loop: Loop,
        budget: Budget,
        engine: Engine,
        names: Names,
        endpoint: tuple[str, int],
        settings: DoorSettings,
        sockets: int,
        inherited: int | None = None,
    ) -> None:
        self.loop, self.budget, self.engine, self.names = loop, budget, engine, names
        self.settings = settings
        self.account = Account(loop.now())
        self.policy = Policy(self.account, budget, settings.limits, sockets, loop.now())
        self.links: dict[SenderLink, None] = {}
        self._unread: dict[SenderLink, None] = {}  # of them: nothing is read there for the time being
        self.ours: set[tuple[str, int]] = set()  # addresses from which this router itself asks here
        self.open_ids: set[bytes] = set()
        self.ending = False
        self.rejected = 0
        self.last_came = loop.now()
        self.doors: list[Door] = []
        self.shared = inherited is not None
        if inherited is None:
            self.add_door("http", endpoint)
        else:
            self._door(Door("http", _inherited(inherited, settings.queue), Stream, SenderLink))
        self.watching = self.begun = False
        self.open = True
        self._crowd_since: float | None = None
        self._closed_before: dict[Why, int] = {}
        self._in_vain = 0
        self._overflows = accept_queue.overflows()
        loop.after(SWEEP_EVERY, self._sweep)
        loop.after(LOOK_EVERY, self._look)

    @property
    def sock(self) -> socket.socket:
        """The first door's."""
        return self.doors[0].sock

    @property
    def patience(self) -> float:
        """How long a request may take to come, in milliseconds."""
        return self.settings.patience

    def add_door(
        self, name: str, endpoint: tuple[str, int], make: StreamMaker = Stream, link: LinkMaker = SenderLink
    ) -> Door:
        """Another address. What comes in there counts, waits and ends as all the others."""
        return self._door(Door(name, listen(endpoint, self.settings.queue), make, link))

    def _door(self, door: Door) -> Door:
        self.doors.append(door)
        return door

    def apply(self, settings: DoorSettings, sockets: int) -> None:
        """Other settings, or another limit of descriptors, from now on."""
        if settings.queue != self.settings.queue and self.open:
            for door in self.doors:
                door.sock.listen(settings.queue)
        self.settings = settings
        self.policy.resize(settings.limits, sockets)
        self.freed()

    def start(self) -> None:
        """Accept from now on."""
        if self.open and not self.watching:
            self.watching = self.begun = True
            for door in self.doors:
                self.loop.watch(door.sock, READ, partial(self._accept, door))

    def up(self) -> bool:
        """Whether clients are taken."""
        return self.begun and not self.ending

    def pause(self) -> None:
        """Leave new connections in the queue."""
        if self.watching:
            self.watching = False
            for door in self.doors:
                self.loop.unwatch(door.sock)

    def freed(self) -> None:
        """A descriptor was freed."""
        if self.begun and not self.watching and self.budget.used < self.budget.limit and not self._full():
            self.start()

    # ---------------------------------------------------------------------------------------- accepting

    def _full(self) -> bool:
        """Whether the doors hold their part of the descriptors."""
        return len(self.links) >= self.budget.doors()

    def _room(self) -> bool:
        """Whether one more may be accepted. Guards against crowds that take the next hops' descriptors, so
        that each attempt needs a new connection.
        """
        if self._full() and (self.policy.unfair() or not self.shed()):
            return False  # where an address holds too much it must first be seen who comes
        return self.budget.room(Use.DOORS)

    def _unheard(self) -> bool:
        """Whether one more may be accepted all the same: only then it shows from which address it comes."""
        beyond = len(self.links) - self.budget.doors()
        return 0 <= beyond < UNHEARD and self.budget.used < self.budget.limit

    def _accept(self, door: Door, mask: int) -> None:
        portion = Portion(self.loop.now())
        while portion.more(self.loop.now()) and self._accept_one(door):
            pass

    def _accept_one(self, door: Door) -> bool:
        """Whether one was accepted, so that there may be more."""
        if self._full() and (accept_queue.waiting(door.sock) or (1, 0))[0] == 0:
            return False  # guards against making room for nobody
        if not (self._room() or self._unheard()):
            say(log, logging.WARNING, "accept_paused", used=self.budget.used)
            self._pause_a_while()
            return False
        try:
            sock, address = door.sock.accept()
        except (BlockingIOError, InterruptedError, ConnectionError):
            return False
        except OSError as problem:
            # out of descriptors or memory: the same connection would wake the loop again at once
            say(log, logging.WARNING, "accept_failed", text=problem, used=self.budget.used)
            self.budget.free_one()
            self._pause_a_while()
            return False
        self._take_in(door, sock, "" if address[:2] in self.ours else str(address[0]))
        return True

    def _pause_a_while(self) -> None:
        self.pause()
        # guards against a crowd that fills all places at once: those give way only once they have waited
        self.loop.after(RETRY, self.start)

    def _take_in(self, door: Door, sock: socket.socket, peer: str) -> None:
        self.last_came = self.loop.now()
        link = door.link(self, sock, door.make)
        link.conn = self.account.open(link, door.name, peer, self.last_came)
        self.links[link] = None
        if len(self.links) <= self.budget.doors():
            return
        if self.policy.turned_away(peer):
            link.close(Why.ADDRESS)
        elif self.policy.unfair():
            self.shed()

    # ------------------------------------------------------------------- connections without a request

    def asked(self, link: SenderLink) -> None:
        """A request of a connection is taken up."""
        now = self.loop.now()
        self.account.ask(link.conn, now)
        self.policy.asked(link.conn, now)

    def forget(self, link: SenderLink, why: Why) -> None:
        """A connection closes."""
        self._unread.pop(link, None)
        if link in self.links:
            del self.links[link]
            self.account.close(link.conn, why, self.loop.now())
            self.policy.closed(link.conn)

    def reads(self, link: SenderLink, on: bool) -> None:
        """Whether anything is read from a connection. While it is not, no selector tells that the client has
        left, and its request would be sent on for nobody.
        """
        if on:
            self._unread.pop(link, None)
        elif link not in self._unread:
            if not self._unread:
                self.loop.after(UNREAD_LOOK, self._look_for_left)
            self._unread[link] = None

    def _look_for_left(self) -> None:
        for link in list(self._unread):
            if link.stream.left():
                link.gone()
        if self._unread:
            self.loop.after(UNREAD_LOOK, self._look_for_left)

    def _sweep(self) -> None:
        self.loop.after(SWEEP_EVERY, self._sweep)
        now = self.loop.now()
        for link in list(self.links):
            link.check(now)

    def _look(self) -> None:
        """Close what has stood too long, or whose place is needed. By a timer: when all that clients may hold
        stands idle, nothing comes any more that could set it off.
        """
        self.loop.after(LOOK_EVERY, self._look)
        for conn, why in self.policy.look(self.loop.now()):
            self._close_idle(conn, why)
        for count, free in (
            (self.policy.excess_at_doors(), self.shed),
            (self.policy.excess(), self.budget.free_one),
        ):
            for _ in range(count):
                if not free():
                    break
        self._report()

    def shed(self, at_need: bool = True) -> bool:
        """Close a connection without an open request, the least useful one; False if there is none."""
        ways = self.policy.give_way(self.loop.now(), at_need)
        return any(self._close_idle(conn, why) for conn, why in ways)

    @staticmethod
    def _close_idle(conn: Conn, why: Why) -> bool:
        """Close a connection, unless something came on it that is unread: it is about to ask."""
        if conn.state is State.CLOSED:
            return False
        link = conn.owner
        assert isinstance(link, SenderLink)
        if conn.state is not State.LINGERING and not (link.quiet() if why is Why.HALF else link.idle()):
            return False
        link.close(why)
        return True

    def close(self) -> None:
        """Accept no more. What the machine has accepted already is taken: guards against its reset. But what
        waits at a socket that another process holds too is that one's; only our copy is closed.
        """
        for door in self.doors[int(self.shared) :]:
            while self.open and self._accept_one(door):
                pass
        self.pause()
        if self.open:
            self.open = False
            for door in self.doors:
                door.sock.close()

    # --------------------------------------------------------------------------------- what is reported

    def _report(self) -> None:
        """A line when a crowd begins, and one when it is over."""
        since = self.policy.crowded_since
        if since is not None and self._crowd_since is None:
            self._closed_before = dict(self.account.closed)
            say(
                log,
                logging.INFO,
                "crowd_began",
                by=self.policy.crowded_by.value,
                **self.account.kinds(),
                **asdict(self.policy.figures(self.loop.now())),
            )
        elif since is None and self._crowd_since is not None:
            closed = {why: n - self._closed_before.get(why, 0) for why, n in self.account.closed.items()}
            say(
                log,
                logging.INFO,
                "crowd_ended",
                lasted_ms=self.loop.now() - self._crowd_since,
                **{f"closed_{why.value}": closed[why] for why in Why if closed.get(why)},
            )
        self._crowd_since = since
        if self.policy.in_vain > self._in_vain:
            self._in_vain = self.policy.in_vain
            say(log, logging.INFO, "room_made_in_vain", times=self._in_vain, **self.account.kinds())

    def sum_up(self) -> None:
        """A line of counts by kind, and by who closed what and why."""
        closed = {f"closed_{why.value}": n for why, n in self.account.closed.items()}
        doors = {f"door_{name}": n for name, n in self.account.doors.items()}
        uses = {f"sockets_{use.value}": n for use, n in self.budget.uses.items()}
        say(
            log,
            logging.INFO,
            "connections",
            **self.account.kinds(),
            may_hold=self.policy.may_hold(),
            opened=self.account.opened,
            asks=self.account.asks,
            addresses=len(self.account.holders),
            **dict(sorted(closed.items())),
            **dict(sorted(doors.items())),
            **uses,
        )
        self._look_at_queues()

    def _look_at_queues(self) -> None:
        """Say it if connections found the kernel's queue full: their clients wait a second or more."""
        overflows = accept_queue.overflows()
        before, self._overflows = self._overflows, overflows
        if not self.open or overflows is None or before is None or overflows <= before:
            return
        for door in self.doors:
            queued, most = accept_queue.waiting(door.sock) or (0, 0)
            say(
                log,
                logging.WARNING,
                "accept_queue_overflowed",
                door=door.name,
                machine=overflows - before,
                waiting=queued,
                most=most,
            )


def listen(endpoint: tuple[str, int], queue: int) -> socket.socket:
    """A listening socket. The address may still be held by a predecessor that answers what it owes: guards
    against a restart that fails for that.
    """
    until = time.monotonic() + HELD_FOR
    while True:
        try:
            sock = socket.create_server(endpoint, family=family(endpoint), backlog=queue)
            sock.setblocking(False)
            return sock
        except OSError as problem:
            if problem.errno != errno.EADDRINUSE or time.monotonic() >= until:
                raise
            time.sleep(0.05)


def _inherited(descriptor: int, queue: int) -> socket.socket:
    """A listening socket that the platform holds, and other processes too: nothing of it is changed but what
    they all want alike.
    """
    sock = socket.socket(fileno=descriptor)
    if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        raise OSError(f"descriptor {descriptor} is no listening socket")
    sock.setblocking(False)
    sock.listen(queue)
    return sock

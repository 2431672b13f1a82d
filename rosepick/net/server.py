"""One router process: all parts put together, and its end."""

from __future__ import annotations

import gc
import logging
import resource
import signal
import time
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from ..connections.account import State, Why
from ..connections.policy import SLOW_START
from ..core.engine import Engine, ObservedEngine
from ..core.transport_map import TransportMap
from ..decisions import api
from ..decisions.decide import Router
from ..logs import say
from ..ops.lines import Said
from ..ops.telemetry import Figures
from ..settings import config
from ..settings.config import Config, ConfigError
from ..settings.operator_file import OperatorFile, OperatorFileError, Operators
from ..settings.reader import Reader
from .budget import Budget
from .doors import door_settings
from .listener import Listener
from .loop import Loop
from .pool import NextHopPool
from .sender_link import SenderLink
from .watch import DiscoveryWatch

if TYPE_CHECKING:
    from .beside import Beside  # each is loaded only where it is on
    from .capture import Capture
    from .multiget import MultiGet
    from .ops import OpsDoor
    from .tls import Tls

log = logging.getLogger(__name__)
STILL_ARRIVING = 600.0  # after SIGTERM new connections are taken for at least so long ...
QUIET = 150.0  # ... and until none came for so long
LAST_CALL = 1_000.0  # ... but for no longer than this
LAST_ANSWER = 100.0  # after the longest deadline from there the process ends, whoever still lingers
END_STEP = 20.0
SUM_UP_EVERY = 5_000.0


class Server:
    """The parts of one router."""

    def __init__(
        self,
        config: Config,
        loop: Loop | None = None,
        reread: Callable[[], Config] | None = None,
        operators: Operators | None = None,
    ) -> None:
        self.config = config
        self._reread = reread or (lambda: config)
        self.operators = operators or Operators()
        self.started_with = self.operators.file
        self.loop = loop = loop or Loop()
        self.reconfig_ok = self.reconfig_failed = 0
        self.beside = self._beside() if config.listen_fd is not None else None
        self.map = TransportMap(config.names, time.time() * 1000.0 - loop.now())
        known = self.map.take(config.known, cached=True)
        self.budget = Budget(
            self._may_open(),
            self._memory(),
            0.01 * self.operators.file.whole("doors_part"),
        )
        self.capture = self._capture() if self.operators.capture else None
        self.engine = self._engine()
        self.pool = NextHopPool(loop, self.budget, self.map, config)
        self.watch = DiscoveryWatch(
            loop, self.budget, config.discovery, lambda: self.map.revision, self._told, self._silent
        )
        self.pool.engine = self.engine
        self.engine.next_hops, self.engine.map_source = self.pool, self.watch
        self.listener = Listener(
            loop,
            self.budget,
            self.engine,
            config.names,
            config.listen,
            door_settings(self.operators.file),
            self._may_open(),
            config.listen_fd,
        )
        file = self.operators.file
        self.tls = self._tls() if file.number("tls_listen") is not None else None
        self.multiget = self._multiget() if file.number("multiget_listen") is not None else None
        # Connections to next hops cost work to open again, so the sender side's go first that are hardly
        # missed.
        self.budget.givers = [partial(self.listener.shed, False), self.pool.shed, self.listener.shed]
        self.budget.freed = self.listener.freed
        self.engine.map_told(known.event)
        self.ops = self._ops(config.ops) if config.ops is not None else None
        self._ending_since = 0.0

    def _beside(self) -> Beside:
        """What goes on beside this process, where the platform holds the clients' socket."""
        from .beside import Beside

        return Beside(self.loop, self.config.listen)

    def _ops(self, endpoint: tuple[str, int]) -> OpsDoor:
        """The operators' door."""
        from .ops import OpsDoor

        return OpsDoor(self.loop, endpoint, {"readyz": self._readyz, "telemetry": self._telemetry})

    def _readyz(self) -> Said:
        if self.listener.up():
            return Said(True, "ready")
        return Said(False, "ending" if self.listener.ending else "no list from discovery yet")

    def _telemetry(self) -> Said:
        return Said(True, self.figures().line(), ("END",), plain=True)

    def figures(self) -> Figures:
        """What the router reports of itself."""
        engine, module = self.engine, self.engine.router
        down = module.avoided() if isinstance(module, Router) else 0
        return Figures(
            self._class_names(),
            engine.account.by_end(),
            engine.unfit,
            engine.written_of,
            engine.owed,
            len(self.map.hops),
            down,
            self.reconfig_ok,
            self.reconfig_failed,
        )

    def _class_names(self) -> dict[int, str]:
        """Of every class that there is or was, by place."""
        return {place: name for name, place in self.config.names.every_class().items()}

    def _may_open(self) -> int:
        """How many descriptors this process may hold: what the operators' door needs is set aside, and what
        other processes of this router hold is theirs.
        """
        limit = _descriptors(self.config)
        if self.config.ops is not None:
            from .ops import DESCRIPTORS

            limit -= DESCRIPTORS
        return limit if self.beside is None else self.beside.standing.descriptors(limit)

    def _memory(self) -> float:
        """How many MB are this process's."""
        amount = self.config.memory_mb
        return amount if self.beside is None else self.beside.standing.memory(amount)

    def _others_changed(self) -> None:
        """Another process of this router came, went, or holds something else."""
        self._resize()
        self._begin()

    def _begin(self) -> None:
        """Take clients, once that is right."""
        waits = self.beside is not None and not self.beside.standing.takes_clients()
        if not (self.listener.begun or self.listener.ending or waits):
            self.listener.start()
            host, port = self.listener.sock.getsockname()[:2]
            say(log, logging.INFO, "serving", name=self.config.name, listen=f"{host}:{port}")

    def _capture(self) -> Capture:
        from .capture import Capture

        return Capture(
            self.loop,
            self.operators.file,
            self.config.names,
            self.config.seed,
            self.map.unix_offset,
            self.map.uid_of,
        )

    def _tls(self) -> Tls:
        """The second door, for those who come by TLS."""
        from .tls import Tls

        port = self.operators.file.number("tls_listen")
        assert port is not None
        tls = Tls(self.loop, self.operators.file)
        door = self.listener.add_door("tls", (self.config.listen[0], port), tls.stream)
        host, port = door.sock.getsockname()[:2]
        say(log, logging.INFO, "tls_serving", listen=f"{host}:{port}", certificate=tls.certificate())
        return tls

    def _multiget(self) -> MultiGet:
        """The door for batches."""
        from .multiget import MultiGet

        port = self.operators.file.number("multiget_listen")
        assert port is not None
        made = MultiGet(
            self.loop,
            self.budget,
            self.listener,
            port,
            lambda: self.operators.file.whole("multiget_max_keys"),
        )
        host, port = made.door.sock.getsockname()[:2]
        say(log, logging.INFO, "multiget_serving", listen=f"{host}:{port}")
        return made

    def _engine(self) -> Engine:
        settings, seed = self.config.settings, self.config.seed
        if self.capture is None:
            return Engine(settings, seed, self.loop)
        return ObservedEngine(settings, seed, self.loop, self.capture.recorder)

    def run(self) -> None:
        """Serve until told to end and nothing is owed."""
        calls: dict[int, Callable[[], None]] = {
            signal.SIGTERM: self.end,
            signal.SIGINT: self.end,
            signal.SIGHUP: self.reload,
        }
        if self.capture is not None:
            calls[signal.SIGUSR2] = self.capture.dump
        self.loop.on_signals(calls)
        self.loop.after(SUM_UP_EVERY, self._sum_up)
        # what was made up to here stays: collections look at what is new only, and seldom
        gc.collect()
        gc.freeze()
        gc.set_threshold(20_000, 20, 50)
        self.take_clients()
        self.loop.run()
        self._sum_up()
        self.close()
        say(log, logging.INFO, "ended", name=self.config.name)

    def take_clients(self) -> None:
        """Serve from now on, or once it is this process's turn."""
        if self.beside is not None:
            self.beside.follow(
                self.engine.router, lambda: self.budget.used, self.listener.up, self._others_changed
            )
        self._begin()

    def close(self) -> None:
        """Let go of every socket."""
        self.listener.close()
        for link in list(self.listener.links):
            link.close(Why.ENDING)
        self.pool.close()
        self.watch.watch(False)
        if self.ops is not None:
            self.ops.close()
        if self.beside is not None:
            self.beside.close()
        if self.capture is not None:
            self.capture.close()
        self.loop.close()

    # ------------------------------------------------------------------------------------- discovery

    def _told(self, told: Reader) -> None:
        change = self.map.take(told)
        say(
            log,
            logging.INFO,
            "map_told",
            rev=change.event.version,
            scope=change.event.scope.value,
            entries=len(change.event.members),
            hops=len(self.map.hops),
        )
        self.engine.map_told(change.event)
        self.pool.retire(change.retired)
        if self.beside is not None:
            self.beside.standing.listed = True
        self._begin()

    def _silent(self) -> None:
        self.engine.map_told(api.Members(api.Scope.FAILED))

    # ------------------------------------------------------------------------------ a new configuration

    def reload(self) -> None:
        """SIGHUP: read both files again; a fault in one does not hold up the other."""
        self._reload_config()
        if self.operators.reread is not None:
            self._reload_operators(self.operators.reread)
        self._resize()

    def _reload_operators(self, reread: Callable[[], OperatorFile]) -> None:
        """Apply what a running router can of the operators' file."""
        try:
            found = reread()
        except OperatorFileError as problem:
            for fault in problem.faults:
                say(log, logging.ERROR, "operator_file_failed", text=fault)
            return
        before, self.operators.file = self.operators.file, found
        waiting = [s.name for s in self.started_with.differing(found) if not s.live]
        say(
            log,
            logging.INFO,
            "operator_file_reloaded",
            changed=",".join(s.name for s in before.differing(found)) or "nothing",
            needs_restart=",".join(waiting) or "nothing",
        )
        if self.tls is not None and found.text("tls_cert") is not None:
            self.tls.reload(found)

    def _reload_config(self) -> None:
        """Read the configuration again and apply what a running router can. All of it is checked first;
        guards against a half-written file that takes a serving router down.
        """
        try:
            told = self._reread()
            TransportMap(told.names, 0.0).take(told.known, cached=True)
            renewed = config.renewed(self.config, told)
        except (ConfigError, ValueError) as problem:
            self.reconfig_failed += 1
            say(log, logging.ERROR, "reload_failed", text=problem)
            return
        self.reconfig_ok += 1
        before, self.config = self.config, renewed
        host, port = told.discovery
        say(
            log,
            logging.INFO,
            "reloaded",
            discovery=f"{host}:{port}",
            sockets=told.sockets,
            classes=",".join(renewed.names.classes),
            max_attempts=renewed.settings.limits.max_attempts,
            needs_restart=",".join(config.changed(before, told)) or "nothing",
        )
        self.listener.names = renewed.names
        self.pool.apply(renewed)
        if self.capture is not None:
            self.capture.recorder.name(renewed.names)
        if renewed.settings != before.settings:
            self.engine.reconfigure(renewed.settings)
        if told.discovery != before.discovery:
            self.watch.move(told.discovery)

    def _resize(self) -> None:
        """Apply the limit of descriptors, and what the operators set for connections."""
        self.budget.doors_part = 0.01 * self.operators.file.whole("doors_part")
        self.budget.resize(self._may_open())
        self.budget.remember(self._memory())
        self.listener.apply(door_settings(self.operators.file), self._may_open())

    # --------------------------------------------------------------------------------------- its end

    def end(self) -> None:
        """SIGTERM: go on accepting and answering while connections still arrive, end when nothing is owed."""
        if self.listener.ending:
            return
        say(log, logging.INFO, "ending", owed=self.engine.owed, connections=len(self.listener.links))
        self.listener.ending = True
        if self.listener.shared:
            self.listener.close()  # what waits there is the new process's
        self._ending_since = self.loop.now()
        self.loop.after(STILL_ARRIVING, self._end_if_quiet)

    def _end_if_quiet(self) -> None:
        now = self.loop.now()
        for link in [link for link in self.listener.links if link.idle() and not self._unheard(link, now)]:
            link.rest(Why.ENDING)
        longest = max(klass.deadline for klass in self.config.settings.classes)
        if self.listener.open and self._no_more_come(now, longest):
            self.listener.close()
        over = now - self._ending_since >= LAST_CALL + longest + LAST_ANSWER
        if over or not (self.listener.open or self.engine.owed or self.listener.links):
            self.listener.close()
            self.loop.stop()
        else:
            self.loop.after(END_STEP, self._end_if_quiet)

    @staticmethod
    def _unheard(link: SenderLink, now: float) -> bool:
        """Whether a connection has come just now and its request may be on the way. Guards against a request
        that is lost as it was written while its connection was closed.
        """
        return link.conn.state is State.FRESH and now - link.conn.ready < SLOW_START

    def _no_more_come(self, now: float, longest: float) -> bool:
        """Whether to stop accepting. Not before batches have their parts, which come over this door too; they
        must be through when any request must.
        """
        spent = now - self._ending_since
        if self.multiget is not None and self.multiget.in_hand() and spent < longest:
            self.multiget.hurry(self._ending_since + longest)
            return False
        return now - self.listener.last_came >= QUIET or spent >= LAST_CALL

    def _sum_up(self) -> None:
        """A line of counts, and one a class of how its envelopes ended and why."""
        self.loop.after(SUM_UP_EVERY, self._sum_up)
        counts = dict(sorted(self.engine.totals().items()))
        say(
            log,
            logging.INFO,
            "counts",
            owed=self.engine.owed,
            sockets=self.budget.used,
            rejected=self.listener.rejected,
            loop_faults=self.loop.faults,
            callers=self.ops.came if self.ops is not None else 0,
            **counts,
        )
        worths = {place: one.worth for place, one in enumerate(self.config.settings.classes)}
        for line in self.engine.account.lines(self._class_names(), worths):
            say(log, logging.INFO, "ends", **line)
        self.listener.sum_up()


def _descriptors(config: Config) -> int:
    """How many descriptors there are: by the configuration, and by the process's own limit."""
    return min(config.sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0])

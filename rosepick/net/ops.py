"""The operators' door: a listener of its own, with descriptors and loop time that no crowd can take."""

from __future__ import annotations

import logging
import socket
from collections import OrderedDict

from ..logs import say
from ..ops.lines import Calls, OpsConnection
from .budget import Budget
from .listener import listen
from .loop import READ, WRITE, Loop, Timer
from .stream import Stream

log = logging.getLogger(__name__)
CALLERS = 12  # at one time; the one that came first gives way to another
DESCRIPTORS = CALLERS + 4  # set aside for the door: its callers, the listener, its selector
QUIET_FOR = 5_000.0  # milliseconds that a caller may take, for its call and for reading the answer
QUEUE = 64


class Caller:
    """One connection of the operators' door."""

    def __init__(self, door: OpsDoor, sock: socket.socket) -> None:
        self.door = door
        self.machine = OpsConnection(door.calls)
        self.over: Timer = door.loop.after(QUIET_FOR, self.close)
        self.stream = Stream(door.loop, door.budget, sock, self._ready, urgent=True)

    def _ready(self, mask: int) -> None:
        try:
            if mask & WRITE:
                self.stream.flush()
            if mask & READ:
                self._read()
            self._settle()
        except OSError:
            self.close()

    def _read(self) -> None:
        data = self.stream.read()
        if data is None:
            return
        if self.machine.done:
            if not data:
                self.close()
            return
        self.stream.send(self.machine.feed(data) if data else self.machine.ended())

    def _settle(self) -> None:
        if not self.stream.open:
            return
        if self.stream.unwritten():
            self.stream.want(WRITE)
        elif self.machine.done:
            # read on up to the caller's own close: guards against a reset that overtakes the answer
            self.stream.end_sending()
            self.stream.want(READ)

    def close(self) -> None:
        """Close it, answered or not."""
        self.over.cancel()
        self.door.callers.pop(self, None)
        self.stream.close()


class OpsDoor:
    """Answers operators' calls."""

    def __init__(self, loop: Loop, endpoint: tuple[str, int], calls: Calls) -> None:
        self.loop, self.calls = loop, calls
        self.budget = Budget(1024)  # apart from the one for clients: guards the door against their crowd
        self.callers: OrderedDict[Caller, None] = OrderedDict()
        self.came = 0  # callers since the start
        self.sock = listen(endpoint, QUEUE)
        loop.watch(self.sock, READ, self._accept, urgent=True)
        host, port = self.sock.getsockname()[:2]
        say(log, logging.INFO, "ops_serving", listen=f"{host}:{port}")

    def _accept(self, mask: int) -> None:
        for _ in range(CALLERS):
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            if len(self.callers) >= CALLERS:
                next(iter(self.callers)).close()
            self.came += 1
            self.callers[Caller(self, sock)] = None

    def close(self) -> None:
        """Let go of every socket."""
        for caller in list(self.callers):
            caller.close()
        self.loop.unwatch(self.sock, urgent=True)
        self.sock.close()

"""Driver of a witness: a listener, its folder, and the links to the others.

An answer is said only after what it rests on is on the disk. A disk that fails ends the process, without a
reply.
"""

from __future__ import annotations

import logging
import secrets
import signal
import socket
import sqlite3
from collections.abc import Mapping
from pathlib import Path

from ..agreement import codec
from ..agreement import messages as m
from ..agreement.codec import Frames, Unreadable
from ..agreement.witness import Changes, Witness
from ..connections.descriptors import Use
from ..logs import say
from .boottime import boottime
from .budget import Budget
from .links import Endpoint, Link
from .listener import listen
from .loop import READ, WRITE, Loop
from .store import WitnessStore
from .stream import Stream

log = logging.getLogger(__name__)
CALLERS = 2_000  # at one time; the one that was silent longest gives way
MEET_EVERY = 1_000.0
MEET_SOON = 100.0  # until the witness votes
PATIENCE = 2_000.0  # at a start: wait for all others so long, then for enough of them
SUM_UP_EVERY = 60_000.0
UNREAD = 32 * 1024 * 1024  # bytes of answers that a caller leaves unread
DISK_FAILED = 3  # exit status


class Caller:
    """One connection to the witness."""

    def __init__(self, server: WitnessServer, sock: socket.socket) -> None:
        self.server = server
        self.frames = Frames()
        self.stream = Stream(server.loop, server.budget, sock, self._ready, READ, Use.DOORS)

    def _ready(self, mask: int) -> None:
        try:
            if mask & WRITE:
                self.stream.flush()
            if mask & READ:
                self._read()
            self.settle()
        except OSError:
            self.close()
        except Unreadable as problem:
            self.server.unreadable(problem.why)
            self.close()

    def _read(self) -> None:
        data = self.stream.read()
        if data is None:
            return
        if not data:
            raise OSError("closed")
        self.server.callers[self] = self.server.callers.pop(self)  # the last that was heard
        for frame in self.frames.feed(data):
            self.server.asked(self, codec.request(frame, self.server.key))

    def say(self, frame: bytes) -> None:
        """Send an answer; a caller that is gone or reads nothing does not get it."""
        if not self.stream.open:
            return
        try:
            self.stream.send(frame)
            self.settle()
        except OSError:
            self.close()

    def settle(self) -> None:
        """Wait for what is next."""
        if self.stream.open:
            self.stream.want(READ | (WRITE if self.stream.unwritten() else 0))

    def close(self) -> None:
        """Let go of it."""
        self.server.callers.pop(self, None)
        self.stream.close()


class WitnessServer:
    """One witness process."""

    def __init__(
        self, name: str, witnesses: Mapping[str, Endpoint], key: bytes, folder: Path, loop: Loop | None = None
    ) -> None:
        self.loop = loop = loop or Loop(boottime)
        self.name, self.key = name, key
        self.store = WitnessStore(folder, secrets.token_hex(8))
        self.machine = Witness(name, self.store.saved, secrets.token_hex(8))
        self.budget = Budget(CALLERS + 64)
        self.callers: dict[Caller, None] = {}
        self.status = 0
        self.counts = dict.fromkeys(("requests", "commits", "unreadable", "beaten"), 0)
        self._began = loop.now()
        self._numbers = 0
        self._changes, self._answers = Changes(), list[tuple[Caller, m.Answer]]()
        self._voted = False
        self.links = {
            other: Link(loop, self.budget, other, endpoint, key, self._met)
            for other, endpoint in witnesses.items()
            if other != name
        }
        self.sock = listen(witnesses[name], 512)
        loop.watch(self.sock, READ, self._accept)
        self._tell_start()
        self._meet()
        loop.after(PATIENCE, lambda: self._settle(patient=False))
        loop.after(SUM_UP_EVERY, self._sum_up)

    def _tell_start(self) -> None:
        saved = self.store.saved
        if self.store.copied:
            say(log, logging.ERROR, "witness_copied", folder=self.store.folder.path, now=saved.storage)
        say(
            log,
            logging.INFO,
            "witness_started",
            name=self.name,
            storage=saved.storage,
            starts=saved.starts,
            epoch=saved.quorum.epoch if saved.quorum else 0,
            registers=len(saved.slots),
            votes=self.machine.votes,
        )

    # -- callers

    def _accept(self, mask: int) -> None:
        for _ in range(64):
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            if len(self.callers) >= CALLERS:
                next(iter(self.callers)).close()
            self.callers[Caller(self, sock)] = None

    def unreadable(self, why: str) -> None:
        """A caller sent what is no message of ours; nothing has changed by it."""
        self.counts["unreadable"] += 1
        say(log, logging.WARNING, "witness_unreadable", why=why, count=self.counts["unreadable"])

    def asked(self, caller: Caller, request: m.Request) -> None:
        """A request has come."""
        if self.status:
            return
        answer, changes = self.machine.handle(request, (self.loop.now() - self._began) / 1000.0)
        self.counts["requests"] += 1
        self.counts["beaten"] += isinstance(answer, m.Beaten)
        self._gather(changes)
        if not self._answers:
            self.loop.at(self.loop.now(), self._commit)
        # also one that changes nothing waits: it may rest on what is not on the disk yet
        self._answers.append((caller, answer))

    def _gather(self, changes: Changes) -> None:
        kept = self._changes
        if changes.epoch:
            kept.slots.clear()
        kept.slots |= changes.slots
        kept.met |= changes.met
        kept.epoch, kept.seal = kept.epoch or changes.epoch, kept.seal or changes.seal

    def _commit(self) -> None:
        if self.status:
            return
        changes, answers = self._changes, self._answers
        self._changes, self._answers = Changes(), []
        if changes and not self._keep(changes):
            return
        for caller, answer in answers:
            caller.say(codec.framed(answer, self.key))
        self._noted()

    def _keep(self, changes: Changes) -> bool:
        try:
            self.store.keep(changes)
        except (sqlite3.Error, OSError) as problem:
            say(log, logging.CRITICAL, "witness_disk_failed", folder=self.store.folder.path, text=problem)
            self.status = DISK_FAILED
            self.loop.stop()
            return False
        self.counts["commits"] += 1
        if changes.epoch and self.store.saved.quorum is not None:
            quorum = self.store.saved.quorum
            members = ",".join(one.name for one in quorum.members)
            say(log, logging.INFO, "witness_epoch", epoch=quorum.epoch, members=members)
        return True

    def _noted(self) -> None:
        if self.machine.votes and not self._voted:
            self._voted = True
            say(log, logging.INFO, "witness_votes", name=self.name, starts=self.store.saved.starts)

    # -- the others

    def _meet(self) -> None:
        self._numbers += 1
        greeting = self.machine.greeting(self._numbers)
        if greeting is not None:
            for link in self.links.values():
                link.ask(greeting)
        self.loop.after(MEET_EVERY if self.machine.votes else MEET_SOON, self._meet)

    def _patient(self) -> bool:
        return self.loop.now() - self._began < PATIENCE

    def _settle(self, patient: bool) -> None:
        self.machine.settle(patient)
        self._noted()

    def _met(self, name: str, answer: m.Answer) -> None:
        if not isinstance(answer, m.Remembered) or self.status:
            return
        changes = self.machine.remembered(answer, self._patient())
        if changes:
            self._gather(changes)
            self._commit()
        if self.machine.stranger:
            self._begin_anew()
        self._noted()

    def _begin_anew(self) -> None:
        """The folder is older than what the others remember: it may not vote as what it was."""
        old = self.store.saved
        self.store.set_aside(secrets.token_hex(8))
        self.machine = Witness(self.name, self.store.saved, secrets.token_hex(8))
        self._voted = False
        self._changes, self._answers = Changes(), []
        say(
            log,
            logging.ERROR,
            "witness_older",
            name=self.name,
            was=old.storage,
            starts=old.starts,
            now=self.store.saved.storage,
        )

    def _sum_up(self) -> None:
        say(log, logging.INFO, "witness_counts", callers=len(self.callers), **self.counts)
        self.loop.after(SUM_UP_EVERY, self._sum_up)

    def end(self) -> None:
        """End at the next moment; nothing is owed, as callers ask again elsewhere."""
        self.loop.stop()

    def run(self) -> int:
        """Serve until told to end; the exit status."""
        self.loop.on_signals({signal.SIGTERM: self.end, signal.SIGINT: self.end})
        self.loop.run()
        self._sum_up()
        return self.status

    def close(self) -> None:
        """Let go of sockets and folder."""
        for caller in list(self.callers):
            caller.close()
        for link in self.links.values():
            link.close()
        self.loop.unwatch(self.sock)
        self.sock.close()
        self.store.close()

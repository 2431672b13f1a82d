"""A command that runs while a lease is held: started when it is taken, ended when it is in doubt."""

from __future__ import annotations

import ctypes
import logging
import os
import signal
import subprocess
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from ..leases.contender import Terms, Where
from ..logs import say
from .leasing import Keeper
from .quorum import QuorumClient

if TYPE_CHECKING:
    from .loop import Loop

log = logging.getLogger(__name__)
NO_QUORUM, TAKEN, IN_DOUBT, CANNOT_RUN = 69, 75, 76, 127
LOOK = 20.0  # milliseconds between two looks at the command
KILL_SHARE = 0.5  # of what the lease still has when it is in doubt: for the command to end by itself
GIVE_BACK = 2_000.0
PR_SET_PDEATHSIG = 1


def _end_with(parent: int) -> None:
    """In the new process, before the command: have the kernel kill it when this program dies, however it does
    (prctl, PR_SET_PDEATHSIG). What the command itself has started is not reached by it.
    """
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, int(signal.SIGKILL), 0, 0, 0)
    if os.getppid() != parent:
        os._exit(CANNOT_RUN)


class Errand:
    """Takes a lease, runs a command, gives the lease back."""

    def __init__(
        self,
        client: QuorumClient,
        task: str,
        name: str,
        terms: Terms,
        command: list[str],
        successor: str = "",
    ) -> None:
        self.client, self.command, self.successor = client, command, successor
        self.loop: Loop = client.loop  # type: ignore[assignment]
        self.keeper = Keeper(client, task, name, terms)
        self.process: subprocess.Popen[bytes] | None = None
        self._ended_by: int | None = None  # a signal to this process

    def run(self, patience: float | None) -> int:
        """The exit status: the command's own, or why there is none."""
        told: dict[int, Callable[[], None]] = {
            number: partial(self._told, number) for number in (signal.SIGTERM, signal.SIGINT)
        }
        self.loop.on_signals(told)
        status = self._wait(patience)
        if status is None:
            status = self._work()
        self._give_back()
        return status

    def _told(self, number: int) -> None:
        self._ended_by = number

    def _wait(self, patience: float | None) -> int | None:
        """Until the lease is held; a status if it does not come to that."""
        contender, began = self.keeper.contender, self.loop.now()
        while contender.where is Where.WAITS or not self.keeper.may_act():
            self.loop.step(LOOK / 1000.0)
            if self._ended_by is not None:
                return 128 + self._ended_by
            if contender.where in (Where.LOST, Where.ENDED):
                return IN_DOUBT
            if patience is not None and self.loop.now() - began >= patience:
                say(
                    log,
                    logging.WARNING,
                    "lease_not_had",
                    task=contender.task,
                    known=contender.seen is not None,
                )
                return NO_QUORUM if contender.seen is None else TAKEN
        return None

    def _work(self) -> int:
        contender = self.keeper.contender
        environment = {**os.environ, "ROSEPICK_TOKEN": str(contender.token), "ROSEPICK_TASK": contender.task}
        try:
            self.process = subprocess.Popen(
                self.command,
                env=environment,
                start_new_session=True,
                preexec_fn=partial(_end_with, os.getpid()),
            )
        except OSError as problem:
            say(log, logging.ERROR, "command_not_started", command=self.command[0], text=problem)
            return CANNOT_RUN
        say(
            log,
            logging.INFO,
            "command_started",
            task=contender.task,
            token=contender.token,
            pid=self.process.pid,
        )
        while self.process.poll() is None:
            self.loop.step(LOOK / 1000.0)
            if contender.in_doubt(self.loop.now()) or contender.where is Where.LOST:
                return self._end()
            if self._ended_by is not None:
                self._signal(self._ended_by)
                self._ended_by = None
        status = self.process.returncode
        self._signal(signal.SIGKILL)  # what it has left behind does not outlive the lease
        return status if status >= 0 else 128 - status

    def _end(self) -> int:
        """TERM at once, KILL while the lease still has time."""
        assert self.process is not None
        contender, now = self.keeper.contender, self.loop.now()
        left = contender.left(now)
        say(log, logging.WARNING, "command_ended", task=contender.task, token=contender.token, left_ms=left)
        self._signal(signal.SIGTERM)
        until = now + KILL_SHARE * left
        while self.process.poll() is None and self.loop.now() < until:
            self.loop.step(min(LOOK, max(1.0, until - self.loop.now())) / 1000.0)
        self._signal(signal.SIGKILL)
        self.process.wait()
        return IN_DOUBT

    def _signal(self, number: int) -> None:
        """To the command and all that it has started and that is still of its session."""
        assert self.process is not None
        try:
            os.killpg(self.process.pid, number)
        except ProcessLookupError:
            return

    def _give_back(self) -> None:
        self.keeper.release(self.successor)
        until = self.loop.now() + GIVE_BACK
        while self.loop.now() < until and self.keeper.contender.where in (Where.WAITS, Where.HOLDS):
            self.loop.step(LOOK / 1000.0)
        self.client.close()

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

from ..leases.lease_client import LeaseConfig, LeaseState
from ..logs import log_event
from .lease_holder import LeaseHolder
from .quorum_client import QuorumClient

if TYPE_CHECKING:
    from ..net.event_loop import EventLoop

logger = logging.getLogger(__name__)
EXIT_NO_QUORUM, EXIT_LEASE_HELD, EXIT_LEASE_IN_DOUBT, EXIT_COMMAND_NOT_STARTED = 69, 75, 76, 127
POLL_INTERVAL_MS = 20.0  # milliseconds between two looks at the command
# of what the lease still has when it is in doubt: for the command to end by itself
TERMINATION_GRACE_SHARE = 0.5
RELEASE_TIMEOUT_MS = 2_000.0
PR_SET_PDEATHSIG = 1


def _die_with_parent(parent_pid: int) -> None:
    """In the new process, before the command: have the kernel kill it when this program dies, however it does
    (prctl, PR_SET_PDEATHSIG). What the command itself has started is not reached by it.
    """
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, int(signal.SIGKILL), 0, 0, 0)
    if os.getppid() != parent_pid:
        os._exit(EXIT_COMMAND_NOT_STARTED)


class LeasedCommand:
    """Takes a lease, runs a command, gives the lease back."""

    def __init__(
        self,
        quorum_client: QuorumClient,
        task: str,
        name: str,
        config: LeaseConfig,
        command: list[str],
        successor: str = "",
    ) -> None:
        self.quorum_client, self.command, self.successor = quorum_client, command, successor
        self.loop: EventLoop = quorum_client.loop  # type: ignore[assignment]
        self.holder = LeaseHolder(quorum_client, task, name, config)
        self.process: subprocess.Popen[bytes] | None = None
        self._received_signal: int | None = None  # a signal to this process

    def run(self, wait_timeout_ms: float | None) -> int:
        """The exit status: the command's own, or why there is none."""
        told: dict[int, Callable[[], None]] = {
            number: partial(self._on_signal, number) for number in (signal.SIGTERM, signal.SIGINT)
        }
        self.loop.add_signal_handlers(told)
        status = self._wait_for_lease(wait_timeout_ms)
        if status is None:
            status = self._run_command()
        self._release_lease()
        return status

    def _on_signal(self, signal_number: int) -> None:
        self._received_signal = signal_number

    def _wait_for_lease(self, wait_timeout_ms: float | None) -> int | None:
        """Until the lease is held; a status if it does not come to that."""
        contender, began = self.holder.lease_client, self.loop.now()
        while contender.state is LeaseState.WAITING or not self.holder.may_act():
            self.loop.step(POLL_INTERVAL_MS / 1000.0)
            if self._received_signal is not None:
                return 128 + self._received_signal
            if contender.state in (LeaseState.LOST, LeaseState.ENDED):
                return EXIT_LEASE_IN_DOUBT
            if wait_timeout_ms is not None and self.loop.now() - began >= wait_timeout_ms:
                log_event(
                    logger,
                    logging.WARNING,
                    "lease_wait_timed_out",
                    task=contender.task,
                    quorum_responded=contender.known_record is not None,
                )
                return EXIT_NO_QUORUM if contender.known_record is None else EXIT_LEASE_HELD
        return None

    def _run_command(self) -> int:
        contender = self.holder.lease_client
        environment = {**os.environ, "ROSEPICK_TOKEN": str(contender.token), "ROSEPICK_TASK": contender.task}
        try:
            self.process = subprocess.Popen(
                self.command,
                env=environment,
                start_new_session=True,
                preexec_fn=partial(_die_with_parent, os.getpid()),
            )
        except OSError as problem:
            log_event(logger, logging.ERROR, "command_start_failed", command=self.command[0], text=problem)
            return EXIT_COMMAND_NOT_STARTED
        log_event(
            logger,
            logging.INFO,
            "command_started",
            task=contender.task,
            token=contender.token,
            pid=self.process.pid,
        )
        while self.process.poll() is None:
            self.loop.step(POLL_INTERVAL_MS / 1000.0)
            if contender.is_in_doubt(self.loop.now()) or contender.state is LeaseState.LOST:
                return self._terminate_command()
            if self._received_signal is not None:
                self._signal_command(self._received_signal)
                self._received_signal = None
        status = self.process.returncode
        self._signal_command(signal.SIGKILL)  # what it has left behind does not outlive the lease
        return status if status >= 0 else 128 - status

    def _terminate_command(self) -> int:
        """TERM at once, KILL while the lease still has time."""
        assert self.process is not None
        contender, now = self.holder.lease_client, self.loop.now()
        left = contender.remaining_ms(now)
        log_event(
            logger,
            logging.WARNING,
            "command_terminated",
            task=contender.task,
            token=contender.token,
            remaining_ms=left,
        )
        self._signal_command(signal.SIGTERM)
        until = now + TERMINATION_GRACE_SHARE * left
        while self.process.poll() is None and self.loop.now() < until:
            self.loop.step(min(POLL_INTERVAL_MS, max(1.0, until - self.loop.now())) / 1000.0)
        self._signal_command(signal.SIGKILL)
        self.process.wait()
        return EXIT_LEASE_IN_DOUBT

    def _signal_command(self, signal_number: int) -> None:
        """To the command and all that it has started and that is still of its session."""
        assert self.process is not None
        try:
            os.killpg(self.process.pid, signal_number)
        except ProcessLookupError:
            return

    def _release_lease(self) -> None:
        self.holder.release(self.successor)
        until = self.loop.now() + RELEASE_TIMEOUT_MS
        while self.loop.now() < until and self.holder.lease_client.state in (
            LeaseState.WAITING,
            LeaseState.HELD,
        ):
            self.loop.step(POLL_INTERVAL_MS / 1000.0)
        self.quorum_client.close()

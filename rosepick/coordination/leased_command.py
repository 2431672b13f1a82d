"""Runs a command while a lease is held: starts it on acquisition, terminates it if the lease is in doubt."""

from __future__ import annotations

import ctypes
import logging
import os
import signal
import subprocess
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from ..leases.lease_client import LeaseState
from ..logs import log_event
from .command_session import CommandSession
from .lease_holder import LeaseHolder
from .session_guard import SessionGuard

if TYPE_CHECKING:
    from ..net.event_loop import EventLoop

logger = logging.getLogger(__name__)
EXIT_NO_QUORUM = 69  # the wait timed out, and no quorum responded
EXIT_LEASE_HELD = 75  # the wait timed out while another client held the lease
EXIT_LEASE_IN_DOUBT = 76  # the lease was lost or ended, or may have expired
EXIT_COMMAND_NOT_STARTED = 127  # the command could not be executed
EXIT_SIGNAL_BASE = 128  # plus the signal's number, as in a shell
POLL_INTERVAL_MS = 20.0  # interval between two checks of the command
TERMINATION_GRACE_SHARE = 0.5  # share of the lease's remaining time between SIGTERM and SIGKILL
RELEASE_TIMEOUT_MS = 2_000.0
PR_SET_PDEATHSIG = 1  # constant of Linux, see prctl(2)


def _set_parent_death_signal(parent_pid: int) -> None:
    """Make the kernel kill this process when its parent dies, whatever the cause of death.

    This runs between fork and exec. It covers the time until the guard of the session watches; that covers
    the processes that the command starts, too.
    """
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, int(signal.SIGKILL), 0, 0, 0)
    if os.getppid() != parent_pid:
        os._exit(EXIT_COMMAND_NOT_STARTED)


class LeasedCommand:
    """Acquires a lease, runs a command and releases the lease, to the client `successor` if it is waiting."""

    def __init__(self, holder: LeaseHolder, command: list[str], successor: str = "") -> None:
        self.quorum_client = holder.quorum_client
        self.command = command
        self.successor = successor
        self.loop: EventLoop = holder.loop  # type: ignore[assignment]
        self.holder = holder
        self.process: subprocess.Popen[bytes] | None = None
        self._session: CommandSession | None = None  # of the running command
        self._received_signal: int | None = None  # latest signal to this process that is not handled yet

    def run(self, wait_timeout_ms: float | None) -> int:
        """Run the command; return its exit status, or an `EXIT_...` constant if it did not run to its end.

        `wait_timeout_ms` limits the wait for the lease in milliseconds; None waits without a limit.
        """
        handlers: dict[int, Callable[[], None]] = {
            number: partial(self._on_signal, number) for number in (signal.SIGTERM, signal.SIGINT)
        }
        self.loop.add_signal_handlers(handlers)
        status = self._wait_for_lease(wait_timeout_ms)
        if status is None:
            status = self._run_command()
        self._release_lease()
        return status

    def _on_signal(self, signal_number: int) -> None:
        self._received_signal = signal_number

    def _wait_for_lease(self, wait_timeout_ms: float | None) -> int | None:
        """Wait until the lease is held and return None, or return the exit status if it is not acquired.

        `wait_timeout_ms` limits the wait in milliseconds; None waits without a limit.
        """
        lease_client = self.holder.lease_client
        started_at = self.loop.now()
        while lease_client.state is LeaseState.WAITING or not self.holder.may_act():
            self.loop.step(POLL_INTERVAL_MS / 1000.0)
            if self._received_signal is not None:
                return EXIT_SIGNAL_BASE + self._received_signal
            if lease_client.state in (LeaseState.LOST, LeaseState.ENDED):
                return EXIT_LEASE_IN_DOUBT
            if wait_timeout_ms is not None and self.loop.now() - started_at >= wait_timeout_ms:
                log_event(
                    logger,
                    logging.WARNING,
                    "lease_wait_timed_out",
                    task=lease_client.task,
                    quorum_responded=lease_client.known_record is not None,
                )
                return EXIT_NO_QUORUM if lease_client.known_record is None else EXIT_LEASE_HELD
        return None

    def _run_command(self) -> int:
        lease_client = self.holder.lease_client
        environment = {
            **os.environ,
            "ROSEPICK_TOKEN": str(lease_client.token),
            "ROSEPICK_TASK": lease_client.task,
        }
        guard = SessionGuard()
        try:
            return self._run_guarded(guard, environment)
        finally:
            guard.dismiss()

    def _run_guarded(self, guard: SessionGuard, environment: dict[str, str]) -> int:
        lease_client = self.holder.lease_client
        try:
            self.process = subprocess.Popen(
                self.command,
                env=environment,
                start_new_session=True,
                preexec_fn=partial(_set_parent_death_signal, os.getpid()),
            )
        except OSError as error:
            log_event(logger, logging.ERROR, "command_start_failed", command=self.command[0], text=error)
            return EXIT_COMMAND_NOT_STARTED
        self._session = CommandSession(self.process.pid)
        guard.watch(self.process.pid)
        log_event(
            logger,
            logging.INFO,
            "command_started",
            task=lease_client.task,
            token=lease_client.token,
            pid=self.process.pid,
        )
        while self.process.poll() is None:
            self.loop.step(POLL_INTERVAL_MS / 1000.0)
            if lease_client.is_in_doubt(self.loop.now()) or lease_client.state is LeaseState.LOST:
                return self._terminate_command()
            if self._received_signal is not None:
                self._signal_command(self._received_signal)
                self._received_signal = None
        status = self.process.returncode
        self._kill_remaining()
        return status if status >= 0 else EXIT_SIGNAL_BASE - status

    def _terminate_command(self) -> int:
        """Send SIGTERM now, and SIGKILL before the lease ends."""
        assert self.process is not None
        lease_client = self.holder.lease_client
        now = self.loop.now()
        remaining_ms = lease_client.remaining_ms(now)
        log_event(
            logger,
            logging.WARNING,
            "command_terminated",
            task=lease_client.task,
            token=lease_client.token,
            remaining_ms=remaining_ms,
        )
        self._signal_command(signal.SIGTERM)
        deadline = now + TERMINATION_GRACE_SHARE * remaining_ms
        while self.process.poll() is None and self.loop.now() < deadline:
            self.loop.step(min(POLL_INTERVAL_MS, max(1.0, deadline - self.loop.now())) / 1000.0)
        self._signal_command(signal.SIGKILL)
        self.process.wait()
        self._kill_remaining()
        return EXIT_LEASE_IN_DOUBT

    def _signal_command(self, signal_number: int) -> bool:
        """Send a signal to all processes of the command's session; return False if there are none."""
        assert self._session is not None
        return self._session.signal(signal_number)

    def _kill_remaining(self) -> None:
        """Kill what the command has left in its session; the lease is kept until all of it has ended."""
        while self._signal_command(signal.SIGKILL):
            self.loop.step(POLL_INTERVAL_MS / 1000.0)

    def _release_lease(self) -> None:
        self.holder.release(self.successor)
        deadline = self.loop.now() + RELEASE_TIMEOUT_MS
        while self.loop.now() < deadline and self.holder.lease_client.state in (
            LeaseState.WAITING,
            LeaseState.HELD,
        ):
            self.loop.step(POLL_INTERVAL_MS / 1000.0)
        self.quorum_client.close()

"""Starts the helper processes of a run and exchanges JSON lines with them over a socket pair.

A helper ends when its parent ends.
"""

from __future__ import annotations

import gc
import json
import logging
import os
import pickle
import resource
import select
import socket
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

from ...net.event_loop import READ, EventLoop

logger = logging.getLogger(__name__)
ROOT = Path(__file__).parents[3]  # the parent directory of the package
RECEIVE_BYTES = 65536
ControlMessage = dict[str, Any]


class HelperProcessError(RuntimeError):
    """A helper ended, does not answer or wrote no result; the message ends with the last lines of its log."""


def child_environment() -> dict[str, str]:
    """Return the environment for a child process, with this package on the module search path."""
    paths = (str(ROOT), os.environ.get("PYTHONPATH", ""))
    return {**os.environ, "PYTHONPATH": os.pathsep.join(filter(None, paths))}


def last_log_lines(path: Path, count: int = 12) -> str:
    """Return the last `count` lines of a log file; empty if the file cannot be read."""
    try:
        return "\n".join(path.read_text("utf-8", "replace").splitlines()[-count:])
    except OSError:
        return ""


class HelperProcess:
    """A helper process as seen by the process that started it."""

    def __init__(self, module: str, log_file: Path, initial_message: ControlMessage) -> None:
        self.name = module
        self.log_file = log_file
        parent_socket, child_socket = socket.socketpair()
        with child_socket, log_file.open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", f"{__package__}.{module}", str(child_socket.fileno())],
                pass_fds=(child_socket.fileno(),),
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=child_environment(),
                start_new_session=True,
            )
        self._sock = parent_socket
        self._unread = b""
        self.send(initial_message)

    def send(self, message: ControlMessage) -> None:
        """Send a message.

        Raises:
            HelperProcessError: the helper has ended.
        """
        try:
            self._sock.sendall(json.dumps(message).encode() + b"\n")
        except OSError as error:
            raise self._to_error(str(error)) from None

    def has_message(self) -> bool:
        """Return whether `receive` finds a message or the end of the helper without waiting."""
        return bool(select.select([self._sock], [], [], 0.0)[0])

    def receive(self, timeout_s: float) -> ControlMessage:
        """Return the next message.

        Raises:
            HelperProcessError: the helper has ended, or sends no message within `timeout_s` seconds.
        """
        self._sock.settimeout(timeout_s)
        try:
            while b"\n" not in self._unread:
                data = self._sock.recv(RECEIVE_BYTES)
                if not data:
                    raise self._to_error("it ended")
                self._unread += data
        except OSError as error:
            raise self._to_error(str(error)) from None
        line, _, self._unread = self._unread.partition(b"\n")
        message: ControlMessage = json.loads(line)
        return message

    def _to_error(self, reason: str) -> HelperProcessError:
        return HelperProcessError(f"{self.name}: {reason}\n{last_log_lines(self.log_file)}")

    def stop(self, timeout_s: float = 2.0) -> None:
        """Close the connection, which ends the helper; kill the helper if it still runs after `timeout_s`."""
        self._sock.close()
        try:
            self.process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()


class ParentChannel:
    """The connection of a helper to its parent."""

    def __init__(self, loop: EventLoop, on_message: Callable[[ControlMessage], None]) -> None:
        self._sock = socket.socket(fileno=int(sys.argv[1]))
        self._loop = loop
        self._on_message = on_message
        self._unread = b""
        loop.register(self._sock, READ, self._on_ready)

    def send(self, message: ControlMessage) -> None:
        """Send a message, which must fit into the socket buffer."""
        self._sock.sendall(json.dumps(message).encode() + b"\n")

    def _on_ready(self, _mask: int) -> None:
        data = self._sock.recv(RECEIVE_BYTES)
        if not data:
            self._loop.stop()
            return
        self._unread += data
        *lines, self._unread = self._unread.split(b"\n")
        for line in lines:
            self._on_message(json.loads(line))


def raise_descriptor_limit() -> None:
    """Raise the soft limit of file descriptors to the hard limit."""
    hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard_limit, hard_limit))


def freeze_garbage_collector() -> None:
    """Exclude all existing objects from garbage collection, and collect rarely."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(50_000, 20, 50)


def write_result(path: str, result: object) -> None:
    """Write a result file for the parent."""
    Path(path).write_bytes(pickle.dumps(result))


def read_result(path: Path, kind: type[Any]) -> Any:
    """Read the result file of a helper.

    Raises:
        HelperProcessError: the file holds no instance of `kind`.
    """
    result = pickle.loads(path.read_bytes())
    if not isinstance(result, kind):
        raise HelperProcessError(f"{path.name} holds no {kind.__name__}")
    return result

"""How who plays a run speaks with the processes that it started: JSON lines on a pair of sockets. A process
whose peer has gone ends.
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
ROOT = Path(__file__).parents[3]  # where the package is found
ControlMessage = dict[str, Any]


class HelperProcessError(RuntimeError):
    """A process of the run itself ended or does not answer; the message holds the last lines of its log."""


def child_environment() -> dict[str, str]:
    """That of a process that we start: it must find this very package."""
    paths = (str(ROOT), os.environ.get("PYTHONPATH", ""))
    return {**os.environ, "PYTHONPATH": os.pathsep.join(filter(None, paths))}


def last_log_lines(path: Path, count: int = 12) -> str:
    """The last lines of a log."""
    try:
        return "\n".join(path.read_text("utf-8", "replace").splitlines()[-count:])
    except OSError:
        return ""


class HelperProcess:
    """A process of the run, as who plays it sees it."""

    def __init__(self, module: str, log_file: Path, initial_message: ControlMessage) -> None:
        self.name, self.log_file = module, log_file
        ours, theirs = socket.socketpair()
        with theirs, log_file.open("wb") as log_to:
            self.process = subprocess.Popen(
                [sys.executable, "-m", f"{__package__}.{module}", str(theirs.fileno())],
                pass_fds=(theirs.fileno(),),
                stdin=subprocess.DEVNULL,
                stdout=log_to,
                stderr=log_to,
                env=child_environment(),
                start_new_session=True,
            )
        self._sock, self._unread = ours, b""
        self.send(initial_message)

    def send(self, message: ControlMessage) -> None:
        """Say something. HelperFailed if it has gone."""
        try:
            self._sock.sendall(json.dumps(message).encode() + b"\n")
        except OSError as problem:
            raise self._to_error(str(problem)) from None

    def has_message(self) -> bool:
        """Whether it has said something."""
        return bool(select.select([self._sock], [], [], 0.0)[0])

    def receive(self, timeout_s: float) -> ControlMessage:
        """The next that it says, within so many seconds. HelperFailed if it says nothing."""
        self._sock.settimeout(timeout_s)
        try:
            while b"\n" not in self._unread:
                data = self._sock.recv(65536)
                if not data:
                    raise self._to_error("it ended")
                self._unread += data
        except OSError as problem:
            raise self._to_error(str(problem)) from None
        line, _, self._unread = self._unread.partition(b"\n")
        found: ControlMessage = json.loads(line)
        return found

    def _to_error(self, reason: str) -> HelperProcessError:
        return HelperProcessError(f"{self.name}: {reason}\n{last_log_lines(self.log_file)}")

    def stop(self, timeout_s: float = 2.0) -> None:
        """Let it end, or end it."""
        self._sock.close()
        try:
            self.process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()


class ParentChannel:
    """The other side: a process of the run, as it sees itself."""

    def __init__(self, loop: EventLoop, on_message: Callable[[ControlMessage], None]) -> None:
        self._sock = socket.socket(fileno=int(sys.argv[1]))
        self._loop, self._on_message = loop, on_message
        self._unread = b""
        loop.register(self._sock, READ, self._ready)

    def send(self, message: ControlMessage) -> None:
        """Say something; the line is short enough to be taken at once."""
        self._sock.sendall(json.dumps(message).encode() + b"\n")

    def _ready(self, mask: int) -> None:
        data = self._sock.recv(65536)
        if not data:
            self._loop.stop()
            return
        self._unread += data
        *lines, self._unread = self._unread.split(b"\n")
        for line in lines:
            self._on_message(json.loads(line))


def raise_descriptor_limit() -> None:
    """As many descriptors as the system lets us have."""
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


def freeze_garbage_collector() -> None:
    """What was made up to here stays: collections look at what is new only, and seldom."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(50_000, 20, 50)


def write_result(path: str, result: object) -> None:
    """Leave a result for who started us."""
    Path(path).write_bytes(pickle.dumps(result))


def read_result(path: Path, kind: type[Any]) -> Any:
    """A result that a process of ours left."""
    found = pickle.loads(path.read_bytes())
    if not isinstance(found, kind):
        raise HelperProcessError(f"{path.name} holds no {kind.__name__}")
    return found

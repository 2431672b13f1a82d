"""Stand-ins for clients, cache nodes, discovery and the platform, and the start of the router.

They follow the pages of the operators: discovery answers `GET /v1/endpoints` with the whole list or with
changes, cache nodes and the origin answer `GET` and `PUT`. Standard library only; loopback addresses only.
"""

from __future__ import annotations

import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


def free_ports(count: int) -> list[int]:
    """Return ports that are free now."""
    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind((HOST, 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


class Record:
    """Writes what was sent, answered and run, one line each, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._began = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began

    def write(self, text: str) -> None:
        """Write one line."""
        with self._lock:
            self._file.write(f"{self.now():9.3f} {text}\n")
            self._file.flush()

    def close(self) -> None:
        """Close the file."""
        with self._lock:
            self._file.close()


@dataclass
class Message:
    """A parsed HTTP message: its first line, headers by names in lower case, and body."""

    first_line: str
    headers: dict[str, str]
    body: bytes


class HttpReader:
    """Reads HTTP/1.1 messages from a socket."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.buffer = b""

    def _fill(self) -> bool:
        data = self.sock.recv(65536)
        self.buffer += data
        return bool(data)

    def read_message(self) -> Message | None:
        """Return the next message, or None at the end of input."""
        while b"\r\n\r\n" not in self.buffer:
            if not self._fill():
                return None
        head, _, self.buffer = self.buffer.partition(b"\r\n\r\n")
        first_line, *lines = head.decode("latin-1").split("\r\n")
        headers = {
            name.strip().lower(): value.strip() for name, _, value in (x.partition(":") for x in lines)
        }
        length = int(headers.get("content-length", "0"))
        while len(self.buffer) < length:
            if not self._fill():
                return None
        body, self.buffer = self.buffer[:length], self.buffer[length:]
        return Message(first_line, headers, body)


def serve(handle: Callable[[socket.socket], None], port: int = 0) -> tuple[socket.socket, int]:
    """Accept connections on a loopback port, each handled by a thread; return the listener and its port."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((HOST, port))
    listener.listen(128)

    def accept() -> None:
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=guarded, args=(sock,), daemon=True).start()

    def guarded(sock: socket.socket) -> None:
        with contextlib.suppress(OSError):
            handle(sock)
        with contextlib.suppress(OSError):
            sock.close()

    threading.Thread(target=accept, daemon=True).start()
    return listener, listener.getsockname()[1]


def encode_response(status: int, body: bytes, **headers: str) -> bytes:
    """Return an HTTP/1.1 response; underscores in names of headers stand for hyphens."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Node:
    """A cache node, or the origin: answers each request by `respond(message)`, which returns the bytes."""

    def __init__(self, name: str, record: Record, respond: Callable[[Message], bytes]) -> None:
        self.name = name
        self._record = record
        self._respond = respond
        self.listener, self.port = serve(self._handle)

    def _handle(self, sock: socket.socket) -> None:
        reader = HttpReader(sock)
        while (message := reader.read_message()) is not None:
            req_id = message.headers.get("req-id", "-")
            self._record.write(f"node={self.name} got {message.first_line} req_id={req_id}")
            sock.sendall(self._respond(message))


@dataclass
class Discovery:
    """The endpoint list with its revision; answers with the whole list, as the protocol page allows."""

    record: Record
    rows: list[dict[str, Any]] = field(default_factory=list)
    revision: int = 41

    def __post_init__(self) -> None:
        self._changed = threading.Condition()
        self.listener, self.port = serve(self._handle)

    def add(self, uid: str, port: int, model: str, state: str = "active") -> None:
        """Add a row before the router starts."""
        self.rows.append(
            {
                "uid": uid,
                "endpoint": f"{HOST}:{port}",
                "az": "a",
                "model": model,
                "pod_group": 1,
                "state": state,
                "capacity_hint": 1.0,
                "boot_ms": 0,
            }
        )

    def document(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"rev": self.revision, "all": True, "targets": [dict(row) for row in self.rows]}

    def set_state(self, uid: str, state: str) -> int:
        """Change the state of a node; return the new revision."""
        with self._changed:
            for row in self.rows:
                if row["uid"] == uid:
                    row["state"] = state
            self.revision += 1
            self._changed.notify_all()
            self.record.write(f"discovery has rev={self.revision}: {uid} is {state}")
            return self.revision

    def _handle(self, sock: socket.socket) -> None:
        reader = HttpReader(sock)
        while (message := reader.read_message()) is not None:
            query = message.first_line.split(" ")[1].partition("?")[2]
            values = dict(part.split("=") for part in query.split("&") if "=" in part)
            with self._changed:
                if "after" in values:
                    after = int(values["after"])
                    self._changed.wait_for(
                        lambda after=after: self.revision > after, float(values["wait_ms"]) / 1000.0
                    )
                    document = self.document()
                    if self.revision <= after:
                        document = {"rev": self.revision, "all": False, "targets": []}
                else:
                    document = self.document()
            self.record.write(
                f"discovery port={sock.getpeername()[1]} answers {message.first_line.split(' ')[1]}"
                f" rev={document['rev']} all={document['all']} rows={len(document['targets'])}"
            )
            sock.sendall(encode_response(200, json.dumps(document).encode()))


def _exit_on_signal(_number: int, _frame: object) -> None:
    """End the script by an exception, so that its clean-up runs; a second signal must not end that."""
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    raise SystemExit(COULD_NOT_RUN)


class Processes:
    """Starts processes of the project in sessions of their own, and ends them."""

    def __init__(self) -> None:
        signal.signal(signal.SIGTERM, _exit_on_signal)  # so that a script that is ended ends what it started
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._started: list[subprocess.Popen[bytes]] = []

    def start(self, command: str, name: str, **environment: str) -> subprocess.Popen[bytes]:
        """Start a shell command from the root of the repository; its output goes to a log."""
        log = (self.folder / f"{name}.log").open("ab")
        process = subprocess.Popen(
            ["/bin/sh", "-c", command],
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            env={**os.environ, **environment},
            start_new_session=True,
        )
        log.close()
        self._started.append(process)
        return process

    def log_of(self, name: str) -> str:
        """Return the output of a process."""
        return (self.folder / f"{name}.log").read_text("utf-8", "replace")

    def end(self) -> None:
        """Kill all processes that were started, with their groups, and remove the folder."""
        for process in self._started:
            with contextlib.suppress(ProcessLookupError):
                os.killpg(process.pid, signal.SIGKILL)
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def router_config(listen: int, discovery: Discovery, **changes: Any) -> dict[str, Any]:
    """Return a configuration like that of a small deployment; its classes are those of the site."""
    names = ("read-usage", "set-contract", "log-correction")
    figures = (
        (1200.0, 600.0, "retryable", 5000.0),
        (2500.0, 750.0, "dedup", 1500.0),
        (2000.0, 800.0, "dedup", 1200.0),
    )
    return {
        "name": "n1",
        "listen": f"{HOST}:{listen}",
        "discovery": f"{HOST}:{discovery.port}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": discovery.document(),
        "settings": {
            "balancers": 3,
            "position": 0,
            "zone": 0,
            "domain": {"mode": "aside", "origin_kind": 1},
            "failure_domains": ["a"],
            "machine_types": ["std", "origin"],
            "membership_mode": "subscribe",
            "limits": {
                "cancelling": True,
                "conn_idle": 15000.0,
                "dial_timeout": 250.0,
                "max_attempts": 5,
                "max_retry_after": 2000.0,
                "retry_after": True,
                "second_copies": False,
            },
            "request_classes": [
                {
                    "name": name,
                    "deadline": deadline,
                    "objective": objective,
                    "effect": effect,
                    "group": "all",
                    "repeat_window": window,
                    "worth": 3.0,
                }
                for name, (deadline, objective, effect, window) in zip(names, figures, strict=True)
            ],
            "rules": {
                "ask_every": 10000.0,
                "cold_from": 0.12,
                "fall": 3000.0,
                "grace_to_answer": 20.0,
                "stop_sending_within": 750.0,
                "tip_multiple": 3.0,
                "warm_within": 24000.0,
            },
            "tenants": [{"name": "kita-denryoku", "share": 1.0}],
            **changes,
        },
    }


def wait_until_ready(port: int, timeout_s: float = 20.0) -> bool:
    """Return whether `GET /ready` has answered 200 in time."""
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        with contextlib.suppress(OSError), socket.create_connection((HOST, port), 1.0) as sock:
            sock.sendall(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
            if sock.recv(4096).startswith(b"HTTP/1.1 200"):
                return True
        time.sleep(0.05)
    return False


_ids = iter(range(1, 1_000_000))


def encode_request(
    key: str, kind: str = "read-usage", deadline_s: float = 1.2, body: bytes | None = None
) -> bytes:
    """Return a request as a client sends it: a GET, or with a body a PUT with an idempotency key."""
    number = next(_ids)
    lines = [
        f"{'GET' if body is None else 'PUT'} /api/{key} HTTP/1.1",
        "Host: app.svc",
        f"Req-Id: {os.getpid():08x}{number:08x}",
        f"Req-Kind: {kind}",
        "Req-Owner: kita-denryoku",
        f"Req-Deadline: {deadline_s:.3f}",
    ]
    if body is not None:
        lines += [f"Idempotency-Key: k{number}", f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + (body or b"")

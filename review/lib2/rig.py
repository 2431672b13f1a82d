"""Stand-ins of a review case: cache nodes, an origin, discovery, clients, and a router as its own process.

Standard library only. All addresses are loopback addresses with free ports, and all times are seconds of the
monotonic clock since the start of the case.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
MAX_CASE_S = 105.0
CLOSE_TIMEOUT_S = 2.0  # for tasks and killed processes to end


class CannotRunError(Exception):
    """Raised if a case cannot be carried out on this machine."""


class Case:
    """The record of one run, the processes that it started, and its clock."""

    def __init__(self, record: Path) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.started_at = time.monotonic()
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self.temporary.name)
        self._file = record.open("w", encoding="utf-8")
        self.processes: list[asyncio.subprocess.Process] = []
        self.tasks: list[asyncio.Task[Any]] = []

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.started_at

    def log(self, text: str) -> None:
        """Write a line to the record, without the paths of this machine."""
        text = text.replace(str(self.folder), "TEMPORARY").replace(str(ROOT), "ROOT")
        self._file.write(f"{self.now():9.4f} {text}\n")
        self._file.flush()

    def start(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run a coroutine until the end of the case."""
        task = asyncio.create_task(work)
        self.tasks.append(task)
        return task

    def kill_processes(self) -> None:
        """Kill all processes that the case has started and that have not ended."""
        for process in self.processes:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    os.kill(process.pid, signal.SIGKILL)

    async def close(self) -> None:
        """End all tasks and all processes that the case has started."""
        self.kill_processes()
        for task in self.tasks:
            task.cancel()
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=CLOSE_TIMEOUT_S)
        for process in self.processes:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(process.wait(), CLOSE_TIMEOUT_S)
        self._file.close()
        self.temporary.cleanup()


def free_port() -> int:
    """Return a port that no process listens at now."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


# ------------------------------------------------------------------------------------------ HTTP


@dataclass(slots=True)
class Message:
    """A request or response: its first line, headers (lower case) and body."""

    first: str
    headers: dict[str, str]
    body: bytes


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a message with a Content-Length, or without a body; None at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, OSError):
        return None
    first, *lines = head[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, OSError):
        return None
    return Message(first, headers, body)


def response(status: int, body: bytes = b"", *headers: str) -> bytes:
    """Encode a response."""
    reasons = {200: "OK", 404: "Not Found", 503: "Service Unavailable"}
    lines = [f"HTTP/1.1 {status} {reasons[status]}", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def set_no_delay(writer: asyncio.StreamWriter) -> None:
    """Send small writes at once."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


# ------------------------------------------------------------------------------------- cache nodes

Answer = Callable[["Node", Message, asyncio.StreamWriter], Awaitable[None]]


@dataclass(slots=True)
class Node:
    """A cache node or the origin. It holds each key, and answers with the key and the request's id."""

    case: Case
    name: str
    model: str = "std"
    service_s: float = 0.01
    answer: Answer | None = None
    port: int = 0
    server: asyncio.Server | None = None
    received: list[tuple[float, str]] = field(default_factory=list)  # when, and the request's id

    async def open(self) -> None:
        """Listen at a free port."""
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def row(self, state: str = "active") -> dict[str, Any]:
        """Return the node's entry in discovery's list."""
        return {
            "uid": f"s-{self.name}",
            "endpoint": f"{HOST}:{self.port}",
            "az": "z1",
            "model": self.model,
            "pod_group": 0,
            "state": state,
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        set_no_delay(writer)
        try:
            while (request := await read_message(reader)) is not None:
                req_id = request.headers.get("req-id", "")
                self.received.append((self.case.now(), req_id))
                self.case.log(f"node {self.name} gets {request.first} id={req_id}")
                if self.answer is not None:
                    await self.answer(self, request, writer)
                else:
                    await asyncio.sleep(self.service_s)
                    writer.write(self.encode(request))
                    await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    def value(self, request: Message) -> bytes:
        """Return the body for a request; it names the key and the request that it was made for."""
        key = request.first.split(" ")[1].rpartition("/")[2]
        return f"meter {key}, read for {request.headers.get('req-id', '')}".encode()

    def encode(self, request: Message) -> bytes:
        """Return the whole response to a request."""
        return response(200, self.value(request), "Srv-Cache: hit")


# --------------------------------------------------------------------------------------- discovery


class Discovery:
    """Discovery: the whole list, and a watch that ends with a change or after its wait.

    `before_call` may return False to turn a call away with a 503; `before_answer` may delay an answer.
    """

    def __init__(self, case: Case, rows: list[dict[str, Any]], revision: int = 10) -> None:
        self.case = case
        self.rows = {row["uid"]: row for row in rows}
        self.changes: list[tuple[int, str]] = [(revision, uid) for uid in self.rows]
        self.revision = revision
        self.changed = asyncio.Event()
        self.whole_lists = False  # whether a change is told by the whole list
        self.calls: list[float] = []
        self.before_call: Callable[[int], Awaitable[bool]] | None = None
        self.before_answer: Callable[[int, dict[str, Any]], Awaitable[None]] | None = None
        self.port = 0
        self.server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listen at a free port."""
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def change(self, row: dict[str, Any]) -> None:
        """Change an entry, which makes a new revision."""
        self.revision += 1
        self.rows[row["uid"]] = row
        self.changes.append((self.revision, row["uid"]))
        self.case.log(f"discovery has revision {self.revision}: {row['uid']} is {row['state']}")
        self.changed.set()
        self.changed = asyncio.Event()

    def document(self, after: int | None) -> dict[str, Any]:
        """Return the answer to a call: what has changed since a revision, or the whole list."""
        uids = [uid for revision, uid in self.changes if after is None or revision > after]
        is_whole = after is None or (bool(uids) and self.whole_lists)
        rows = self.rows.values() if is_whole else [self.rows[uid] for uid in dict.fromkeys(uids)]
        if is_whole:
            rows = [row for row in rows if row["state"] != "left"]
        return {"rev": self.revision, "all": is_whole, "targets": list(rows)}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        set_no_delay(writer)
        try:
            while (request := await read_message(reader)) is not None:
                await self._answer(request, writer)
        except OSError:
            pass
        finally:
            writer.close()

    async def _answer(self, request: Message, writer: asyncio.StreamWriter) -> None:
        query = request.first.split(" ")[1].partition("?")[2]
        values = dict(part.split("=") for part in query.split("&") if part)
        after = int(values["after"]) if "after" in values else None
        wait_s = min(60.0, float(values.get("wait_ms", "0")) / 1000.0)
        self.calls.append(self.case.now())
        number = len(self.calls)
        self.case.log(f"discovery gets call {number} after={after} wait={wait_s:.1f}")
        if self.before_call is not None and not await self.before_call(number):
            self.case.log(f"discovery turns call {number} away")
            writer.write(response(503))
            await writer.drain()
            return
        if after is not None and after >= self.revision and wait_s:
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.changed.wait(), wait_s)
        document = self.document(after)
        if self.before_answer is not None:
            await self.before_answer(number, document)
        writer.write(response(200, json.dumps(document).encode(), "Content-Type: application/json"))
        await writer.drain()
        states = {row["uid"]: row["state"] for row in document["targets"]}
        self.case.log(f"discovery answers call {number}: {document['rev']} all={document['all']} {states}")


class SlowPath:
    """A proxy in front of discovery: what comes on some connections can be made late."""

    def __init__(self, case: Case, target_port: int) -> None:
        self.case = case
        self.target_port = target_port
        self.port = 0
        self.server: asyncio.Server | None = None
        self._delays: dict[int, float] = {}  # by connection, for bytes to the router
        self._count = 0

    async def open(self) -> None:
        """Listen at a free port."""
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def slow_down(self, delay_s: float) -> None:
        """Make all that is sent to the router on the connections that are open now late by this much."""
        for number in self._delays:
            self._delays[number] = delay_s
            self.case.log(f"path: connection {number} is late by {delay_s:.1f} s from now on")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._count += 1
        number = self._count
        self._delays[number] = 0.0
        self.case.log(f"path: connection {number} comes up")
        set_no_delay(writer)
        far_reader, far_writer = await asyncio.open_connection(HOST, self.target_port)
        set_no_delay(far_writer)
        to_router = self.case.start(self._pump(far_reader, writer, number))
        await self._pump(reader, far_writer, None)
        await to_router

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int | None
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                delay_s = 0.0 if number is None else self._delays[number]
                if delay_s:
                    await asyncio.sleep(delay_s)
                    self.case.log(f"path: {len(data)} bytes of connection {number} reach the router late")
                writer.write(data)
                await writer.drain()
        if number is not None:
            self._delays.pop(number, None)
        writer.close()


# ------------------------------------------------------------------------------------------ router


def settings() -> dict[str, Any]:
    """Return the settings of a small deployment of a cache in front of an origin."""
    return {
        "balancers": 3,
        "position": 0,
        "zone": 0,
        "failure_domains": ["z1"],
        "machine_types": ["std", "origin"],
        "domain": {"mode": "aside", "origin_kind": 1},
        "membership_mode": "subscribe",
        "tenants": [],
        "limits": {
            "cancelling": True,
            "conn_idle": 15000.0,
            "dial_timeout": 250.0,
            "max_attempts": 5,
            "max_retry_after": 2000.0,
            "retry_after": True,
            "second_copies": False,
        },
        "rules": {
            "ask_every": 10000.0,
            "cold_from": 0.12,
            "fall": 3000.0,
            "grace_to_answer": 20.0,
            "stop_sending_within": 750.0,
            "tip_multiple": 3.0,
            "warm_within": 24000.0,
        },
        "request_classes": [
            {
                "name": "read",
                "objective": 600.0,
                "deadline": 1200.0,
                "effect": "retryable",
                "group": "all",
                "repeat_window": 5000.0,
                "worth": 3.0,
            },
            {
                "name": "write",
                "objective": 750.0,
                "deadline": 2500.0,
                "effect": "dedup",
                "group": "all",
                "repeat_window": 1500.0,
                "worth": 5.0,
            },
        ],
    }


class Router:
    """One router, started with the command `run` of the deploy file."""

    def __init__(
        self,
        case: Case,
        discovery: Discovery | SlowPath,
        known: dict[str, Any],
        name: str = "n1",
        output: int | None = None,
    ) -> None:
        """Prepare a router; its output goes to a descriptor, or to a file that `copy_log` reads."""
        self.case = case
        self._output = output
        self.name = name
        self.port = free_port()
        self.log_path = case.folder / f"{name}.log"
        self.config = {
            "name": name,
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{discovery.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": known,
            "settings": settings(),
        }
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the router and wait until `GET /ready` answers 200."""
        path = self.case.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.config), "utf-8")
        scratch = self.case.folder / f"{self.name}.tmp"
        scratch.mkdir(exist_ok=True)
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text("utf-8"))["run"]
        environment = {
            **os.environ,
            "GW_NAME": self.name,
            "GW_LISTEN": self.config["listen"],
            "GW_DISCOVERY": self.config["discovery"],
            "GW_CONFIG": str(path),
            "TMPDIR": str(scratch),
        }
        with self.log_path.open("ab") as log:
            output = log if self._output is None else self._output
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=environment, stdout=output, stderr=output
            )
        self.case.processes.append(self.process)
        self.case.log(f"router started: {command}")
        for _ in range(200):
            if self.process.returncode is not None:
                break
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n")
                reply = await read_message(reader)
                writer.close()
                if reply is not None and " 200 " in reply.first:
                    self.case.log("router is ready")
                    return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"the router is not ready: {self.log_path.read_text('utf-8')[-2000:]}")

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the router."""
        assert self.process is not None
        self.case.log(f"router gets {number.name}")
        self.process.send_signal(number)

    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self.process is not None and self.process.returncode is None

    def copy_log(self, *words: str) -> None:
        """Copy the lines of the router's log that contain one of the words to the record."""
        for line in self.log_path.read_text("utf-8", "replace").splitlines():
            if any(word in line for word in words):
                self.case.log(f"router's log: {line}")


# ----------------------------------------------------------------------------------------- clients


async def read_keys(case: Case, port: int, rng: random.Random) -> None:
    """Read keys one after another, some thirty a second, until the end of the case."""
    client = Client(case, port, rng)
    while True:
        await client.get(f"m-{rng.randrange(400):04}")
        await asyncio.sleep(0.03 * rng.random())


class Client:
    """A client with one kept connection, which sends one request at a time."""

    def __init__(self, case: Case, port: int, rng: random.Random) -> None:
        self.case = case
        self.port = port
        self.rng = rng
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def get(self, key: str, deadline_s: float = 1.2) -> tuple[str, Message | None]:
        """Send a read; return its id and the answer, or None if the connection ended without one."""
        req_id = f"{self.rng.getrandbits(64):016x}"
        is_new = self._writer is None
        answer = await self._send(key, req_id, deadline_s)
        if answer is None and not is_new:  # the router may close a connection between requests
            answer = await self._send(key, req_id, deadline_s)
        status = "none" if answer is None else answer.first.split(" ")[1]
        self.case.log(f"client {req_id} asked for {key}: {status}")
        return req_id, answer

    async def _send(self, key: str, req_id: str, deadline_s: float) -> Message | None:
        try:
            if self._writer is None:
                self._reader, self._writer = await asyncio.open_connection(HOST, self.port)
                set_no_delay(self._writer)
            assert self._reader is not None
            self._writer.write(
                f"GET /api/{key} HTTP/1.1\r\nHost: app.svc\r\nReq-Id: {req_id}\r\nReq-Kind: read\r\n"
                f"Req-Owner: t1\r\nReq-Deadline: {deadline_s:.3f}\r\n\r\n".encode()
            )
            await self._writer.drain()
            answer = await asyncio.wait_for(read_message(self._reader), deadline_s + 1.0)
        except (OSError, TimeoutError):
            answer = None
        if answer is None or answer.headers.get("connection", "").lower() == "close":
            self.close()
        return answer

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


def run_case(record: Path, play: Callable[[Case], Awaitable[str]]) -> None:
    """Run a case and exit: `play` returns how the rule was broken, or an empty text if it held."""

    async def run() -> None:
        case = Case(record)
        work = asyncio.ensure_future(play(case))
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, work.cancel)
        try:
            broken = await asyncio.wait_for(work, MAX_CASE_S)
            verdict = f"BROKEN: {broken}" if broken else "held"
            status = BROKEN if broken else HELD
        except (Exception, asyncio.CancelledError) as error:  # it says nothing about the rule
            verdict, status = f"could not run: {error!r}", COULD_NOT_RUN
        case.log(verdict)
        print(f"trouble={int(case.trouble)} {verdict}", flush=True)
        await case.close()
        os._exit(status)  # without waiting for streams that are still open

    asyncio.run(run())

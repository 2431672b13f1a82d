"""Some clients send hundreds of writes at once: the router must stay within its memory, or it is killed."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path[:0] = [str(HERE.parent / "lib")]

from harness import (  # noqa: E402
    BROKEN,
    COULD_NOT_RUN,
    HELD,
    HOST,
    TROUBLE,
    Discovery,
    HttpReader,
    Message,
    Node,
    Processes,
    Record,
    encode_request,
    encode_response,
    free_ports,
    router_config,
    wait_until_ready,
)

MEMORY_MB = 192  # the pages: 32 to 192 MB; the most that they allow
SOCKETS = 1024  # the pages: 256 to 1,024 descriptors
RUN_S = 25.0
USUAL_CLIENTS = 20
USUAL_REQUESTS_PER_S = 250.0  # the pages: 200 to 320 a router
WRITE_SHARE = 0.03
BAD_CLIENTS = 60
REQUESTS_AT_ONCE = 200  # the pages: hundreds of requests at once
BODY_BYTES = 60_000  # the pages: no body exceeds 64 KiB; longer ones occur, too
ORIGIN_MS = 10.0
CACHE_NODE_MS = 2.0
BYTES_PER_MB = 1024 * 1024


class Platform(threading.Thread):
    """Watches the memory of the router, and kills it when it is over the limit, as the pages say."""

    def __init__(self, router: subprocess.Popen[bytes], record: Record) -> None:
        super().__init__(daemon=True)
        self._router = router
        self._record = record
        self.peak_mb = 0.0
        self.has_killed = False
        self.has_ended = threading.Event()

    def _memory_mb(self) -> float:
        """Return the resident memory of the process that is its own; pages of files do not count."""
        try:
            text = Path(f"/proc/{self._router.pid}/status").read_text("ascii")
        except OSError:
            return 0.0
        lines = [line.split() for line in text.splitlines() if line.startswith("RssAnon:")]
        return int(lines[0][1]) * 1024 / BYTES_PER_MB if lines else 0.0

    def run(self) -> None:
        """Look every 50 ms until the end, and write a line each second."""
        written_at = 0.0
        while not self.has_ended.wait(0.05):
            memory_mb = self._memory_mb()
            self.peak_mb = max(self.peak_mb, memory_mb)
            if self._record.now() - written_at >= 1.0:
                written_at = self._record.now()
                self._record.write(f"platform: the router has {memory_mb:.0f} MB, limit {MEMORY_MB}")
            if memory_mb > MEMORY_MB and not self.has_killed:
                self.has_killed = True
                self._record.write(f"platform: {memory_mb:.0f} MB is over {MEMORY_MB}: the router is killed")
                os.kill(self._router.pid, signal.SIGKILL)


class UsualClients:
    """Clients that send one request at a time, on connections that they keep."""

    def __init__(self, port: int, end: float) -> None:
        self._port = port
        self._end = end
        self.answers: dict[str, int] = {}
        self._lock = threading.Lock()

    def run(self, number: int) -> None:
        """Send requests at an even rate until the end."""
        sock, sent = None, 0
        at = time.monotonic()
        while at < self._end:
            sent += 1
            is_write = sent % round(1.0 / WRITE_SHARE) == 0
            key, body = f"m-{number}-{sent % 50}", b"v" * 300 if is_write else None
            kind, deadline_s = ("set-contract", 2.5) if is_write else ("read-usage", 1.2)
            try:
                if sock is None:
                    sock = socket.create_connection((HOST, self._port), 3.0)
                sock.sendall(encode_request(key, kind, deadline_s, body))
                message = HttpReader(sock).read_message()
                answer = "closed" if message is None else message.first_line.split()[1]
            except OSError as error:
                message, answer = None, type(error).__name__
            if message is None or message.headers.get("connection") == "close":
                sock = None
            with self._lock:
                self.answers[answer] = self.answers.get(answer, 0) + 1
            at += USUAL_CLIENTS / USUAL_REQUESTS_PER_S
            time.sleep(max(0.0, at - time.monotonic()))


def send_at_once(port: int, number: int, record: Record, answers: list[int]) -> None:
    """Send hundreds of valid writes on one connection without waiting, and read whatever comes."""
    try:
        with socket.create_connection((HOST, port), 5.0) as sock:
            sock.settimeout(10.0)
            writes = [
                encode_request(f"w-{number}-{index}", "set-contract", 2.5, b"x" * BODY_BYTES)
                for index in range(REQUESTS_AT_ONCE)
            ]
            reader = threading.Thread(target=read_all, args=(sock, answers), daemon=True)
            reader.start()
            for write in writes:
                sock.sendall(write)
            reader.join(10.0)
    except OSError as error:
        record.write(f"bad client {number}: {error!r}")


def read_all(sock: socket.socket, answers: list[int]) -> None:
    """Count the answers on a connection until it ends."""
    reader = HttpReader(sock)
    try:
        while reader.read_message() is not None:
            answers.append(1)
    except OSError:
        return


def run(record: Record, processes: Processes) -> int:
    """Play the case; return its exit status."""

    def store(message: Message) -> bytes:
        time.sleep(ORIGIN_MS / 1000.0)
        return encode_response(200, b"stored" if message.first_line.startswith("PUT") else b"v" * 300)

    def hit(_message: Message) -> bytes:
        time.sleep(CACHE_NODE_MS / 1000.0)
        return encode_response(200, b"v" * 300, Srv_Cache="hit")

    origin = Node("origin", record, store)
    nodes = [Node(f"s-{number}", record, hit) for number in range(1, 4)]
    discovery = Discovery(record)
    for node in nodes:
        discovery.add(node.name, node.port, "std")
    discovery.add("o-1", origin.port, "origin")
    (listen,) = free_ports(1)
    config = router_config(listen, discovery)
    config["limits"].update(memory_mb=MEMORY_MB, sockets=SOCKETS)
    path = processes.folder / "config.json"
    path.write_text(json.dumps(config))
    router = processes.start(
        "exec .venv/bin/python -O -m rosepick serve --capture -f deploy/rosepick.conf",
        "router",
        GW_CONFIG=str(path),
    )
    if not wait_until_ready(listen):
        record.write("the router did not become ready\n" + processes.log_of("router"))
        return COULD_NOT_RUN
    platform = Platform(router, record)
    platform.start()
    usual = UsualClients(listen, time.monotonic() + RUN_S)
    threads = [threading.Thread(target=usual.run, args=(n,), daemon=True) for n in range(USUAL_CLIENTS)]
    for thread in threads:
        thread.start()
    answers: list[int] = []
    if TROUBLE:
        time.sleep(5.0)
        record.write(f"{BAD_CLIENTS} clients send {REQUESTS_AT_ONCE} writes of {BODY_BYTES} bytes at once")
        for number in range(BAD_CLIENTS):
            threading.Thread(target=send_at_once, args=(listen, number, record, answers), daemon=True).start()
    for thread in threads:
        thread.join(RUN_S + 10.0)
    platform.has_ended.set()
    platform.join()
    record.write(f"usual clients: {usual.answers}; bad clients got {len(answers)} answers")
    record.write(f"peak {platform.peak_mb:.0f} MB of {MEMORY_MB}; killed: {platform.has_killed}")
    if router.poll() is not None and not platform.has_killed:
        record.write(
            f"the router ended by itself: {router.returncode}\n" + processes.log_of("router")[-2000:]
        )
        return BROKEN
    return BROKEN if platform.has_killed else HELD


def main() -> int:
    """Run the case and end all processes."""
    record, processes = Record(HERE / "record.txt"), Processes()
    status = COULD_NOT_RUN
    try:
        status = run(record, processes)
    finally:
        processes.end()
        record.write(f"exit status {status}")
        record.close()
    return status


if __name__ == "__main__":
    sys.exit(main())

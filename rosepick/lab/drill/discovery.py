"""Discovery in a drill, on the rig's own loop: nodes tell it by datagrams what they are, routers watch its
list. It knows which router it has told what, and when.
"""

from __future__ import annotations

import json
import socket
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec

from ...net.budget import Budget
from ...net.loop import READ, Loop, Timer
from ..live.reader import Message, answer
from .door import Guest
from .stand_ins import moment

SILENT = 1.5  # seconds without a word of a node after which it is listed as gone
_word: msgspec.json.Decoder[tuple[str, str, int]] = msgspec.json.Decoder(tuple[str, str, int])


class Discovery:
    """The list of cache nodes. `nodes`: name to endpoint and zone; `doors`: a port for each router."""

    def __init__(
        self, loop: Loop, host: str, port: int, nodes: dict[str, tuple[str, str]], doors: dict[str, int]
    ) -> None:
        self.loop, self._nodes, self.budget = loop, nodes, Budget(4096)
        self.revision = 1
        self.rows: dict[str, tuple[int, str, int]] = {}  # revision, state, when it started
        self._heard: dict[str, float] = {}
        self.told: dict[
            tuple[str, str], tuple[float, str]
        ] = {}  # router and node: when it was told which state first
        self.watchers: set[Watcher] = set()
        self.port = port
        self._udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._udp.bind((host, port))
        self._udp.setblocking(False)
        loop.watch(self._udp, READ, self._word)
        self._socks = [self._open(host, at, router) for router, at in doors.items()]
        self._sweep()

    def _open(self, host: str, port: int, router: str) -> socket.socket:
        sock = socket.create_server((host, port), backlog=64)
        sock.setblocking(False)
        self.loop.watch(sock, READ, self._welcome(sock, router))
        return sock

    def _welcome(self, sock: socket.socket, router: str) -> Callable[[int], None]:
        def accept(mask: int) -> None:
            try:
                self.watchers.add(Watcher(self, router, sock.accept()[0]))
            except OSError:
                return

        return accept

    def _word(self, mask: int) -> None:
        name, state, boot = _word.decode(self._udp.recv(4096))
        self._heard[name] = moment()
        self._set(name, state, boot)

    def _set(self, name: str, state: str, boot: int) -> None:
        before = self.rows.get(name)
        if before is not None and before[1:] == (state, boot):
            return
        self.revision += 1
        self.rows[name] = self.revision, state, boot
        for watcher in list(self.watchers):
            watcher.news()

    def _sweep(self) -> None:
        for name, (_, state, boot) in list(self.rows.items()):
            if state != "left" and moment() - self._heard[name] > SILENT:
                self._set(name, "left", boot)
        self.loop.after(200.0, self._sweep)

    def document(self, router: str, after: int | None) -> dict[str, Any]:
        """What a router is told: what is newer than a revision, or all."""
        rows = []
        for name, (revision, state, boot) in self.rows.items():
            if after is not None and revision <= after:
                continue
            endpoint, zone = self._nodes[name]
            rows.append({
                "uid": name, "endpoint": endpoint, "az": zone, "model": "std", "pod_group": 0, "state": state,
                "capacity_hint": 1.0, "boot_ms": boot,
            })  # fmt: skip
            known = self.told.get((router, name))
            if known is None or known[1] != state:
                self.told[router, name] = moment(), state
        return {"rev": self.revision, "all": after is None, "targets": rows}

    def newer(self, after: int) -> bool:
        """Whether anything is newer."""
        return any(revision > after for revision, _, _ in self.rows.values())

    def forget(self, router: str) -> None:
        """A new start of it knows nothing."""
        for pair in [pair for pair in self.told if pair[0] == router]:
            del self.told[pair]

    def close(self) -> None:
        """Let go of every socket."""
        for sock in (*self._socks, self._udp):
            self.loop.unwatch(sock)
            sock.close()


class Watcher(Guest):
    """One connection of a router."""

    def __init__(self, discovery: Discovery, router: str, sock: socket.socket) -> None:
        self.discovery, self.router = discovery, router
        self._after: int | None = None
        self._over: Timer | None = None
        super().__init__(discovery.loop, discovery.budget, sock)

    def came(self, message: Message) -> None:
        asked = {
            name: values[0]
            for name, values in parse_qs(urlsplit(message.target.decode("latin-1")).query).items()
        }
        self._after = int(asked["after"]) if "after" in asked else None
        wait = float(asked.get("wait_ms", "0"))
        if self._after is None or wait <= 0 or self.discovery.newer(self._after):
            self._tell()
        else:
            self._over = self.discovery.loop.after(wait, self._tell)

    def news(self) -> None:
        """Something is newer than what this router holds."""
        if self._over is not None:
            self._tell()

    def _tell(self) -> None:
        if self._over is not None:
            self._over.cancel()
            self._over = None
        body = json.dumps(self.discovery.document(self.router, self._after)).encode()
        self.say(answer(200, body, ((b"Content-Type", b"application/json"),)))

    def close(self) -> None:
        """Close it."""
        if self._over is not None:
            self._over.cancel()
            self._over = None
        super().close()
        self.discovery.watchers.discard(self)

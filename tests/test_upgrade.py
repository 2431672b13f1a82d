"""A new process beside the running one: one listening socket, shares of the limits, seats, the list first."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
from pathlib import Path
from typing import Any
from unittest import TestCase, mock

from rosepick.decisions import api
from rosepick.decisions.decide import Router
from rosepick.net.seats import Seats, seats_in
from rosepick.settings import config
from rosepick.upgrade.knowledge import gather, teach
from rosepick.upgrade.standing import Standing

from .scenario import SETTINGS, Scenario

LISTEN = ("127.0.0.1", 5000)


class Shares(TestCase):
    def test_of_descriptors_and_memory(self) -> None:
        for others, descriptors, memory in (((), 384, 80.0), ((10,), 350, 40.0), ((300,), 192, 40.0)):
            standing = Standing(others)
            self.assertEqual((standing.descriptors(384), standing.memory(80.0)), (descriptors, memory))
        for limit in (64, 256, 1024):
            for held in range(0, limit, 7):  # both hold to the limit, whatever each holds
                other = Standing((held,)).descriptors(limit)
                self.assertLessEqual(min(other, limit) + min(held, limit // 2), limit)

    def test_clients_are_taken_with_all_that_is_needed_or_when_nobody_else_is_there(self) -> None:
        for others, listed, heard, takes in (
            ((), False, False, True), ((9,), False, False, False), ((9,), True, False, False),
            ((9,), False, True, False), ((9,), True, True, True),
        ):
            standing = Standing(others)
            standing.listed, standing.heard = listed, heard
            self.assertIs(standing.takes_clients(), takes)
            self.assertEqual(standing.look(()), bool(others))
            self.assertTrue(standing.takes_clients())


class Folder(TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def seats(self) -> Seats:
        made = Seats(self.folder, LISTEN)
        self.addCleanup(made.close)
        return made

    def test_two_see_each_other_until_one_ends_or_is_killed(self) -> None:
        one, two = self.seats(), self.seats()
        two.tell(70)
        self.assertEqual((one.others(), two.others()), ((70,), (0,)))
        two.close()
        self.assertEqual(one.others(), ())
        code = (
            "import sys; from pathlib import Path; from rosepick.net.seats import Seats; "
            f"Seats(Path({str(self.folder)!r}), {LISTEN!r}).tell(9); print('x', flush=True); sys.stdin.read()"
        )
        pipes = {"stdin": subprocess.PIPE, "stdout": subprocess.PIPE}
        with subprocess.Popen([sys.executable, "-c", code], **pipes) as other:  # type: ignore[call-overload]
            other.stdout.read(1)
            self.assertEqual(one.others(), (9,))
            other.send_signal(signal.SIGKILL)
            other.wait()
        self.assertEqual(one.others(), ())

    def test_what_is_left_in_the_folder_does_not_stop_a_start(self) -> None:
        for number, content in enumerate((b"", b"\xff", b"junk" * 1000)):
            (self.folder / f"rosepick-127-0-0-1-5000-{number}.seat").write_bytes(content)
        (self.folder / "rosepick-127-0-0-1-5000-3.seat").mkdir()
        self.assertEqual(self.seats().others(), ())
        for environment in ({"TMPDIR": str(self.folder / "none")}, {}):
            self.assertIsNone(seats_in(environment, LISTEN))


def module() -> Router:
    """A module that knows three nodes."""
    router = Router(api.Settings(classes=(api.RequestClass(aim=600, deadline=1200),)), seed=1)
    router.handle(0.0, api.Members(api.Scope.CACHED, tuple(api.Member(server=n) for n in (7, 8, 9))))
    return router


def learned() -> Router:
    """One that has served some requests."""
    router = module()
    for ref in range(1, 200):
        request = api.Request(ref=ref, klass=0, time_left=1200, key=1 + ref % 50)
        for action in router.handle(10.0 * ref, request):
            if isinstance(action, api.Send):
                ok = api.Outcome(ref, 0, action.server, api.Result.OK, closed=True, lag=20.0)
                router.handle(10.0 * ref + 5.0, ok)
    return router


class Knowledge(TestCase):
    def test_a_router_that_was_taught_decides_as_its_teacher(self) -> None:
        teacher, pupil = learned(), module()
        self.assertEqual(teach(pupil, gather(teacher, 5.0), 9.0), 50)
        for key in range(1, 60):
            (one, _, heat), (two, _, other) = teacher.filter.touch(key), pupil.filter.touch(key)
            self.assertEqual((one, round(heat, 4)), (two, round(other, 4)), key)
        lags = [[server.lag for server in one.membership.servers.values()] for one in (teacher, pupil)]
        self.assertEqual(*lags)

    def test_what_is_cut_or_changed_is_turned_down_whole(self) -> None:
        whole = gather(learned(), 5.0)
        changes = (
            (b'"version": 1', b'"version": 2'), (b'"limit": ', b'"limit": -'), (b'"pools"', b'"pool"'),
            (b'"reads": 1', b'"reads": NaN, "x": 1'), (b'"servers": [[', b'"servers": [["a", '),
            (b'"paces": [', b'"paces": [1e999, '),
        )
        cut = [whole[:size] for size in range(0, len(whole), 7)]
        for document in (*cut, whole + b"x", *(whole.replace(old, new, 1) for old, new in changes)):
            pupil = module()
            with self.assertRaises(ValueError):
                teach(pupil, document, 9.0)
            self.assertEqual((len(pupil.filter.top), pupil.filter.reads, pupil.usual), (0, 0, 40.0))


class Shared(Scenario):
    """A process whose clients' socket another one holds too."""

    alone = False

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.held = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.held.close)
        self.other = Seats(Path(folder.name), LISTEN)
        self.addCleanup(self.other.close)
        if self.alone:
            self.other.close()
        with mock.patch.dict(os.environ, {"TMPDIR": folder.name}):
            super().setUp()

    def document(self) -> dict[str, Any]:
        return {**super().document(), "listen": "127.0.0.1:5000"}

    def read(self) -> config.Config:
        return config.around(super().read(), {"GW_LISTEN_FD": str(os.dup(self.held.fileno()))})


class Starting(Shared):
    """The new process: another one lives."""

    TOLD = "wait 800\nd expect GET /v1/endpoints?after=41&wait_ms=0\nc1 send GET /ready\nd tell 41\n"

    def test_it_takes_clients_with_a_list_and_with_what_the_other_one_knows(self) -> None:
        self.assertTrue(self.server._readyz().encode().startswith(b"ERR"))
        for document in (gather(learned(), self.now * 1000.0 - 1.0), b"", b"junk\n" * 9):
            self.other.leave(document)  # old, or none: it counts as nothing
            self.play("wait 60")
            self.assertFalse(self.module().filter.top)
        self.play(self.TOLD + "wait 300\nc1 expect 200 ready")
        self.assertTrue(self.server._readyz().encode().startswith(b"OK"))

    def test_one_that_leaves_nothing_is_not_waited_for_long(self) -> None:
        self.play(self.TOLD + "wait 100\nc1 expect nothing\nwait 200\nc1 expect 200 ready")

    def test_it_knows_what_the_other_one_has_left_for_it(self) -> None:
        self.other.leave(gather(learned(), self.now * 1000.0 + 1.0))
        self.play(self.TOLD + "c1 expect 200 ready")
        self.assertEqual(list(self.module().filter.top), list(learned().filter.top))
        self.assertIsNone(self.other.found())

    def test_it_takes_over_when_the_other_one_has_died(self) -> None:
        before = self.server.budget.limit
        self.other.close()
        self.play("wait 60\nc1 send GET /ready\nc1 expect 200 ready")
        self.assertGreater(self.server.budget.limit, before)


class Leaving(Shared):
    """The old process: what waits in the shared socket is left there."""

    alone = True

    def test_what_is_in_hand_is_answered_and_what_waits_is_the_new_ones(self) -> None:
        self.play("""
            c1 send GET /api/k1
            s1 expect GET /api/k1
            c3 raw GET /api/k2 HTTP/1.1\\r\\nReq-
            router end
        """)
        with socket.create_connection(self.held.getsockname()) as waiting:
            waiting.sendall(b"GET /ready HTTP/1.1\r\n\r\n")
            self.play("""
                wait 300
                s1 send 200 value
                c1 expect 200 Connection=close
                c3 raw Id: x9\\r\\nReq-Kind: read\\r\\nReq-Owner: acme\\r\\nReq-Deadline: 1\\r\\n\\r\\n
                s1 expect GET /api/k2
                s1 send 200 other
                c3 expect 200 Connection=close
                c1 close
                c3 close
                wait 600
                router ended
            """)
            # the socket was not shut down: the other holder accepts what waits
            self.held.setblocking(False)
            with self.held.accept()[0] as taken:
                self.assertEqual(taken.recv(100), b"GET /ready HTTP/1.1\r\n\r\n")

    def test_a_long_answer_on_its_way_comes_whole(self) -> None:
        self.play("c1 send GET /api/k1\ns1 expect GET /api/k1")
        self.play(r"s1 raw HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + "x" * 100_000)
        self.play("router end\nwait 700\nrouter going")
        self.play("s1 raw " + "x" * 100_000 + "\nc1 expect 200\nc1 close\nwait 600\nrouter ended")


class Processes(Folder):
    """Two real processes on one socket, under a client that never stops asking."""

    def setUp(self) -> None:
        super().setUp()
        self.clients, self.discovery = (socket.create_server(("127.0.0.1", 0), backlog=64) for _ in range(2))
        self.addCleanup(self.clients.close)
        self.addCleanup(self.discovery.close)
        threading.Thread(target=self.tell, daemon=True).start()

    def tell(self) -> None:
        """Each process is told a list once; what it asks next is never answered."""
        kept, body = [], b'{"rev":1,"all":true,"targets":[]}'
        with contextlib.suppress(OSError):
            while True:
                kept.append(self.discovery.accept()[0])
                kept[-1].recv(4096)
                kept[-1].sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))

    def start(self, name: str, **changes: object) -> subprocess.Popen[str]:
        """A router process."""
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps({
            "name": name, "listen": f"127.0.0.1:{self.clients.getsockname()[1]}", "seed": "1f",
            "discovery": f"127.0.0.1:{self.discovery.getsockname()[1]}", "ops": "127.0.0.1:0",
            "limits": {"memory_mb": 64, "sockets": 256}, "known": {}, "settings": SETTINGS, **changes,
        }))
        descriptor = str(self.clients.fileno())
        told = {"GW_CONFIG": str(path), "TMPDIR": str(self.folder), "GW_LISTEN_FD": descriptor}
        made = subprocess.Popen(
            [sys.executable, "-m", "rosepick", "serve"], env={**os.environ, **told}, text=True,
            pass_fds=[self.clients.fileno()], stderr=subprocess.PIPE,
        )
        for cleanup in (made.communicate, made.kill):
            self.addCleanup(cleanup)
        return made

    def says(self, process: subprocess.Popen[str], event: str) -> str:
        """Its log, up to that event."""
        assert process.stderr is not None
        lines: list[str] = []
        while not lines or f"event={event}" not in lines[-1]:
            lines.append(process.stderr.readline())
            self.assertTrue(lines[-1], lines)
        return "".join(lines)

    def ask(self, port: int, what: bytes) -> bytes:
        with socket.create_connection(("127.0.0.1", port), 10.0) as client:
            client.sendall(what)
            return client.recv(100)[:12]

    def test_one_replaces_the_other_with_no_request_left_at_the_door(self) -> None:
        port, ready = self.clients.getsockname()[1], b"GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n"
        old = self.start("old")
        self.says(old, "serving")
        self.assertNotEqual(self.start("broken", discovery="nowhere").wait(20), 0)  # the old one goes on
        new = self.start("new")
        log = self.says(new, "serving")
        door = int(log.partition("event=ops_serving listen=127.0.0.1:")[2].split()[0])
        self.assertEqual(self.ask(door, b"readyz\n"), b"OK ready\n")
        answers = {self.ask(port, ready)}
        old.terminate()
        answers |= {self.ask(port, ready) for _ in range(40)}
        self.assertEqual(old.wait(10), 0)
        # what the old one had accepted it answers as one that ends; nothing is left without an answer
        self.assertLessEqual(answers, {b"HTTP/1.1 200", b"HTTP/1.1 503"})
        self.assertEqual({self.ask(port, ready) for _ in range(5)}, {b"HTTP/1.1 200"})
        new.terminate()
        self.assertEqual(new.wait(10), 0)

"""A new process beside the running one: one listening socket, shares of the limits, seats, the list first."""

from __future__ import annotations

import contextlib
import json
import os
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
from rosepick.net.process_registry import ProcessRegistry, open_registry
from rosepick.settings import config
from rosepick.upgrade.process_share import ProcessShare
from rosepick.upgrade.state_transfer import export_state, import_state

from .scenario import SETTINGS, Scenario

LISTEN = ("127.0.0.1", 5000)
READY = b"GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n"


def router(served: int = 0) -> Router:
    """A module that knows three nodes and has served so many requests."""
    made = Router(api.RouterSettings(classes=(api.RequestClass(objective_ms=600, deadline_ms=1200),)), seed=1)
    made.handle(
        0.0, api.EndpointUpdate(api.UpdateScope.CACHED, tuple(api.Endpoint(endpoint_id=n) for n in (7, 8, 9)))
    )
    for ref in range(1, served + 1):
        request = api.RequestArrived(ref=ref, class_index=0, time_left_ms=1200, key=1 + ref % 50)
        for action in made.handle(10.0 * ref, request):
            if isinstance(action, api.Send):
                ok = api.AttemptEnded(
                    ref, 0, action.endpoint_id, api.Result.OK, closes_request=True, latency_ms=20.0
                )
                made.handle(10.0 * ref + 5.0, ok)
    return made


class Parts(TestCase):
    def test_shares_of_descriptors_and_memory(self) -> None:
        for others, descriptors, memory in (((), 384, 80.0), ((10,), 350, 40.0), ((300,), 192, 40.0)):
            standing = ProcessShare(others)
            self.assertEqual(
                (standing.descriptor_share(384), standing.memory_share(80.0)), (descriptors, memory)
            )
        for limit in (64, 256, 1024):
            for held in range(0, limit, 7):  # both hold to the limit, whatever each holds
                other = ProcessShare((held,)).descriptor_share(limit)
                self.assertLessEqual(min(other, limit) + min(held, limit // 2), limit)

    def test_clients_are_taken_with_all_that_is_needed_or_when_nobody_else_is_there(self) -> None:
        for others, listed, heard, takes in (
            ((), False, False, True),
            ((9,), False, False, False),
            ((9,), True, False, False),
            ((9,), False, True, False),
            ((9,), True, True, True),
        ):
            standing = ProcessShare(others)
            standing.endpoint_list_received, standing.state_transfer_settled = listed, heard
            self.assertIs(standing.may_accept_clients(), takes)
            self.assertEqual(standing.update_others(()), bool(others))
            self.assertTrue(standing.may_accept_clients())

    def test_seats_of_those_that_live_whatever_is_left_in_the_folder(self) -> None:
        code = (
            "import sys; from pathlib import Path; "
            "from rosepick.net.process_registry import ProcessRegistry; "
            f"ProcessRegistry(Path(sys.argv[1]), {LISTEN}).publish_descriptor_count(9); "
            "print('x', flush=True); sys.stdin.read()"
        )
        with tempfile.TemporaryDirectory() as name:
            for number, content in enumerate((b"", b"\xff", b"junk" * 1000)):
                (Path(name) / f"rosepick-127-0-0-1-5000-{number}.seat").write_bytes(content)
            (Path(name) / "rosepick-127-0-0-1-5000-3.seat").mkdir()
            one, two = ProcessRegistry(Path(name), LISTEN), ProcessRegistry(Path(name), LISTEN)
            two.publish_descriptor_count(70)
            self.assertEqual((one.other_descriptor_counts(), two.other_descriptor_counts()), ((70,), (0,)))
            two.close()
            self.assertEqual(one.other_descriptor_counts(), ())
            with subprocess.Popen([sys.executable, "-c", code, name], stdin=-1, stdout=-1) as other:
                assert other.stdout is not None
                other.stdout.read(1)
                self.assertEqual(one.other_descriptor_counts(), (9,))
                other.kill()
            self.assertEqual(one.other_descriptor_counts(), ())
            one.close()
        self.assertEqual((open_registry({"TMPDIR": name}, LISTEN), open_registry({}, LISTEN)), (None, None))

    def test_a_router_that_was_taught_decides_as_its_teacher(self) -> None:
        teacher, pupil = router(199), router()
        self.assertEqual(import_state(pupil, export_state(teacher, 5.0), 9.0), 50)
        for key in range(1, 60):
            (one, _, heat), (two, _, other) = teacher.popularity.touch(key), pupil.popularity.touch(key)
            self.assertEqual((one, round(heat, 4)), (two, round(other, 4)), key)
        lags = [[server.latency_ewma for server in one.endpoints.states.values()] for one in (teacher, pupil)]
        self.assertEqual(*lags)

    def test_a_document_that_is_cut_or_changed_is_turned_down_whole(self) -> None:
        whole = export_state(router(199), 5.0)
        changes = (
            (b'"version": 1', b'"version": 2'),
            (b'"limit": ', b'"limit": -'),
            (b'"pools"', b'"pool"'),
            (b'"reads": 1', b'"reads": NaN, "x": 1'),
            (b'"servers": [[', b'"servers": [["a", '),
            (b'"paces": [', b'"paces": [1e999, '),
        )
        cut = [whole[:size] for size in range(0, len(whole), 7)]
        for document in (*cut, whole + b"x", *(whole.replace(old, new, 1) for old, new in changes)):
            pupil = router()
            with self.assertRaises(ValueError):
                import_state(pupil, document, 9.0)
            self.assertEqual(
                (len(pupil.popularity.top), pupil.popularity.reads, pupil.service_time), (0, 0, 40.0)
            )


class Shared(Scenario):
    """A process whose clients' socket another one holds too; that one `leaves` something, or `dies`."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.held = socket.create_server(("127.0.0.1", 0))
        self.other = ProcessRegistry(Path(folder.name), LISTEN)
        for cleanup in (folder.cleanup, self.held.close, self.other.close):
            self.addCleanup(cleanup)
        with mock.patch.dict(os.environ, {"TMPDIR": folder.name}):
            super().setUp()

    def document(self) -> dict[str, Any]:
        return {**super().document(), "listen": "127.0.0.1:5000"}

    def read(self) -> config.Config:
        return config.apply_environment(super().read(), {"GW_LISTEN_FD": str(os.dup(self.held.fileno()))})

    def leaves(self, who: str, what: str) -> None:
        """A document of some age in milliseconds, or bytes that are none."""
        good = what != "junk"
        self.other.write_state(
            export_state(router(199), 1000.0 * self.now - int(what)) if good else b"junk\n" * 9
        )
        self.wait(60)

    def dies(self, who: str) -> None:
        self.other.close()
        self.wait(60)

    def says(self, who: str, word: str) -> None:
        self.assertTrue(self.server._answer_readyz().encode().startswith(word.encode()))

    def knows(self, who: str, count: str) -> None:
        self.assertEqual(list(self.module().popularity.top), list(router(199).popularity.top)[: int(count)])

    def queues(self, who: str) -> None:
        """A client connects and asks, and nobody accepts it."""
        waiting = socket.create_connection(self.held.getsockname())
        self.addCleanup(waiting.close)
        waiting.sendall(READY)

    def accepts(self, who: str) -> None:
        """What waits is there for the other holder: the socket was not shut down."""
        self.held.setblocking(False)
        with self.held.accept()[0] as taken:
            self.assertEqual(taken.recv(100), READY)

    def test_the_new_process(self) -> None:
        told = "wait 800; d expect GET /v1/endpoints?after=41&wait_ms=0; c1 send GET /ready; d tell 41; "
        ready = "c1 expect 200 ready; door says OK"
        self.each(
            {
                "with a list and what the other one knows": f"door says ERR; other leaves -1; "
                f"{told}{ready}; it knows 50",
                "soon after one that leaves nothing": f"{told}wait 100; c1 expect nothing; wait 200; {ready}",
                "with nothing in place of what is old": f"other leaves 1; {told}wait 300; {ready}; "
                "it knows 0",
                "or of what is no document": f"other leaves junk; {told}{ready}; it knows 0",
                "at once when the other one has died": f"other dies; c1 send GET /ready; {ready}",
            }
        )
        self.assertEqual(self.server.budget.limit, self.sockets - 48)  # all of it is its own then

    def test_the_old_process(self) -> None:
        ask, half = "c1 send GET /api/k1; s1 expect GET /api/k1; ", "x" * 100_000
        begun = r"c3 raw GET /api/k2 HTTP/1.1\r\nReq-"
        rest = r"c3 raw Id: x9\r\nReq-Kind: read\r\nReq-Owner: acme\r\nReq-Deadline: 1\r\n\r\n"
        head = r"s1 raw HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n"
        self.each(
            {
                "what is in hand is answered, what waits is the new one's": f"other dies; {ask}{begun}; "
                "c9 queues; router end; wait 300; s1 send 200 value; "
                f"c1 expect 200 Connection=close; {rest}; s1 expect GET /api/k2; s1 send 200 other; "
                "c3 expect 200 Connection=close; c1 close; c3 close; wait 600; router ended; other accepts",
                "a long answer comes whole": f"other dies; {ask}{head}{half}; router end; wait 700; "
                f"router going; s1 raw {half}; "
                "c1 expect 200; c1 close; wait 600; router ended",
            }
        )


class Processes(TestCase):
    """Two real processes on one socket, under a client that never stops asking."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.folder = Path(folder.name)
        self.clients, self.discovery = (socket.create_server(("127.0.0.1", 0), backlog=64) for _ in range(2))
        for cleanup in (folder.cleanup, self.clients.close, self.discovery.close):
            self.addCleanup(cleanup)
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
        clients, discovery = (f"127.0.0.1:{s.getsockname()[1]}" for s in (self.clients, self.discovery))
        (self.folder / name).write_text(
            json.dumps(
                {
                    "name": name,
                    "listen": clients,
                    "discovery": discovery,
                    "ops": "127.0.0.1:0",
                    "seed": "1f",
                    "limits": {"memory_mb": 64, "sockets": 256},
                    "known": {},
                    "settings": SETTINGS,
                    **changes,
                }
            )
        )
        told = {"TMPDIR": str(self.folder), "GW_LISTEN_FD": str(self.clients.fileno())}
        made = subprocess.Popen(
            [sys.executable, "-m", "rosepick", "serve"],
            pass_fds=[self.clients.fileno()],
            text=True,
            env={**os.environ, **told, "GW_CONFIG": str(self.folder / name)},
            stderr=subprocess.PIPE,
        )
        for cleanup in (made.communicate, made.kill):
            self.addCleanup(cleanup)
        return made

    def serving(self, process: subprocess.Popen[str]) -> str:
        """Its log, up to where it serves."""
        log = ""
        for line in process.stderr or ():
            log += line
            if "event=serving" in line:
                return log
        raise AssertionError(log)

    def ask(self, port: int, what: bytes = READY) -> bytes:
        with socket.create_connection(("127.0.0.1", port), 10.0) as client:
            client.sendall(what)
            return client.recv(100)[:12]

    def test_one_replaces_the_other_with_no_request_left_at_the_door(self) -> None:
        port, old = self.clients.getsockname()[1], self.start("old")
        self.serving(old)
        self.assertNotEqual(self.start("broken", discovery="nowhere").wait(20), 0)  # the old one goes on
        new = self.start("new")
        door = int(self.serving(new).partition("event=admin_serving listen=127.0.0.1:")[2].split()[0])
        self.assertEqual(self.ask(door, b"readyz\n"), b"OK ready\n")
        answers = {self.ask(port)}
        old.terminate()
        answers |= {self.ask(port) for _ in range(40)}
        self.assertEqual(old.wait(10), 0)
        # what the old one had accepted it answers as one that ends; nothing is left without an answer
        self.assertLessEqual(answers, {b"HTTP/1.1 200", b"HTTP/1.1 503"})
        self.assertEqual({self.ask(port) for _ in range(5)}, {b"HTTP/1.1 200"})
        new.terminate()
        self.assertEqual(new.wait(10), 0)

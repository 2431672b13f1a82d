"""Upgrade of a router: shared listening socket, shares of limits, and transfer of learned state."""

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
from rosepick.decisions.permissions import StartFacts, check_start
from rosepick.net.process_registry import ProcessRegistry, open_registry
from rosepick.settings import config
from rosepick.upgrade.process_share import ProcessShare
from rosepick.upgrade.state_document import StateDocumentError
from rosepick.upgrade.state_transfer import export_state, import_state

from .scenario import SETTINGS, Scenario

LISTEN = ("127.0.0.1", 5000)
READY = b"GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n"


def make_router(request_count: int = 0) -> Router:
    """Return a decision module with three endpoints that has served `request_count` requests."""
    classes = (api.RequestClass(objective_ms=600, deadline_ms=1200),)
    router = Router(api.RouterSettings(classes=classes), seed=1)
    endpoints = tuple(api.Endpoint(endpoint_id=n) for n in (7, 8, 9))
    router.handle(0.0, api.EndpointUpdate(api.UpdateScope.CACHED, endpoints))
    for ref in range(1, request_count + 1):
        request = api.RequestArrived(ref=ref, class_index=0, time_left_ms=1200, key=1 + ref % 50)
        for action in router.handle(10.0 * ref, request):
            if isinstance(action, api.Send):
                ended = api.AttemptEnded(
                    ref, 0, action.endpoint_id, api.Result.OK, closes_request=True, latency_ms=20.0
                )
                router.handle(10.0 * ref + 5.0, ended)
    return router


class ProcessShareTest(TestCase):
    def test_shares_of_descriptors_and_memory(self) -> None:
        for others, descriptors, memory in (((), 384, 80.0), ((10,), 350, 40.0), ((300,), 192, 40.0)):
            process_share = ProcessShare(others)
            self.assertEqual(
                (process_share.descriptor_share(384), process_share.memory_share(80.0)),
                (descriptors, memory),
            )
        for limit in (64, 256, 1024):
            for held in range(0, limit, 7):  # the shares of both processes together stay within the limit
                share = ProcessShare((held,)).descriptor_share(limit)
                self.assertLessEqual(min(share, limit) + min(held, limit // 2), limit)

    def test_clients_are_accepted_with_list_and_state_or_without_another_process(self) -> None:
        def may_accept(share: ProcessShare, list_received: bool) -> bool:
            facts = StartFacts(
                waited_ms=0.0,
                list_received=list_received,
                discovery_reachable=True,
                predecessor_serves=share.has_predecessor(),
                state_settled=share.state_transfer_settled,
                shares_socket=True,
            )
            return check_start(facts) is None

        for others, list_received, state_settled, expected in (
            ((), False, False, True),
            ((9,), False, False, False),
            ((9,), True, False, False),
            ((9,), False, True, False),
            ((9,), True, True, True),
        ):
            process_share = ProcessShare(others)
            process_share.state_transfer_settled = state_settled
            self.assertIs(may_accept(process_share, list_received), expected)
            self.assertEqual(process_share.update_others(()), bool(others))
            self.assertTrue(may_accept(process_share, list_received))


class ProcessRegistryTest(TestCase):
    def test_only_descriptor_counts_of_live_processes_are_read(self) -> None:
        code = (
            "import sys; from pathlib import Path; "
            "from rosepick.net.process_registry import ProcessRegistry; "
            f"ProcessRegistry(Path(sys.argv[1]), {LISTEN}).publish_descriptor_count(9); "
            "print('x', flush=True); sys.stdin.read()"
        )
        with tempfile.TemporaryDirectory() as directory:
            for number, content in enumerate((b"", b"\xff", b"junk" * 1000)):
                (Path(directory) / f"rosepick-127-0-0-1-5000-{number}.seat").write_bytes(content)
            (Path(directory) / "rosepick-127-0-0-1-5000-3.seat").mkdir()
            first = ProcessRegistry(Path(directory), LISTEN)
            second = ProcessRegistry(Path(directory), LISTEN)
            second.publish_descriptor_count(70)
            self.assertEqual(
                (first.other_descriptor_counts(), second.other_descriptor_counts()), ((70,), (0,))
            )
            second.close()
            self.assertEqual(first.other_descriptor_counts(), ())
            with subprocess.Popen([sys.executable, "-c", code, directory], stdin=-1, stdout=-1) as other:
                assert other.stdout is not None
                other.stdout.read(1)
                self.assertEqual(first.other_descriptor_counts(), (9,))
                other.kill()
            self.assertEqual(first.other_descriptor_counts(), ())
            first.close()
        self.assertEqual(
            (open_registry({"TMPDIR": directory}, LISTEN), open_registry({}, LISTEN)), (None, None)
        )


class StateTransferTest(TestCase):
    def test_a_router_with_imported_state_has_the_popularity_and_latencies_of_the_exporter(self) -> None:
        exporter = make_router(199)
        importer = make_router()
        self.assertEqual(import_state(importer, export_state(exporter, 5.0), 9.0), 50)
        for key in range(1, 60):
            exported_keep, _, exported_heat = exporter.popularity.touch(key)
            imported_keep, _, imported_heat = importer.popularity.touch(key)
            self.assertEqual(
                (exported_keep, round(exported_heat, 4)), (imported_keep, round(imported_heat, 4)), key
            )
        latencies = [
            [state.latency_ewma for state in router.endpoints.states.values()]
            for router in (exporter, importer)
        ]
        self.assertEqual(*latencies)

    def test_a_truncated_or_changed_document_is_rejected_as_a_whole(self) -> None:
        document = export_state(make_router(199), 5.0)
        changes = (
            (b'"version": 1', b'"version": 2'),
            (b'"limit": ', b'"limit": -'),
            (b'"pools"', b'"pool"'),
            (b'"reads": 1', b'"reads": NaN, "x": 1'),
            (b'"servers": [[', b'"servers": [["a", '),
            (b'"paces": [', b'"paces": [1e999, '),
        )
        truncated = [document[:size] for size in range(0, len(document), 7)]
        changed = [document.replace(old, new, 1) for old, new in changes]
        for malformed in (*truncated, document + b"x", *changed):
            importer = make_router()
            with self.assertRaises(StateDocumentError):
                import_state(importer, malformed, 9.0)
            self.assertEqual(
                (len(importer.popularity.top), importer.popularity.reads, importer.latency_per_request),
                (0, 0, 40.0),
            )


class HandoverScenario(Scenario):
    """Runs a process that shares its listening socket with another one, which `leaves` a state or `dies`."""

    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.shared_listener = socket.create_server(("127.0.0.1", 0))
        self.other_process = ProcessRegistry(Path(directory.name), LISTEN)
        for cleanup in (directory.cleanup, self.shared_listener.close, self.other_process.close):
            self.addCleanup(cleanup)
        with mock.patch.dict(os.environ, {"TMPDIR": directory.name}):
            super().setUp()

    def document(self) -> dict[str, Any]:
        return {**super().document(), "listen": "127.0.0.1:5000"}

    def read(self) -> config.Config:
        return config.apply_environment(
            super().read(), {"GW_LISTEN_FD": str(os.dup(self.shared_listener.fileno()))}
        )

    def leaves(self, actor: str, age: str) -> None:
        """Write a state document with an age in milliseconds, or a malformed one for "junk"."""
        if age == "junk":
            document = b"junk\n" * 9
        else:
            document = export_state(make_router(199), 1000.0 * self.now - int(age))
        self.other_process.write_state(document)
        self.wait(60)

    def dies(self, actor: str) -> None:
        self.other_process.close()
        self.wait(60)

    def says(self, actor: str, word: str) -> None:
        self.assertTrue(self.server._answer_readyz().encode().startswith(word.encode()))

    def knows(self, actor: str, count: str) -> None:
        self.assertEqual(
            list(self.module().popularity.top), list(make_router(199).popularity.top)[: int(count)]
        )

    def queues(self, actor: str) -> None:
        """Connect a client and send a request that no process accepts."""
        client = socket.create_connection(self.shared_listener.getsockname())
        self.addCleanup(client.close)
        client.sendall(READY)

    def accepts(self, actor: str) -> None:
        """Accept the queued connection in the other process; this fails if the socket was shut down."""
        self.shared_listener.setblocking(False)
        with self.shared_listener.accept()[0] as accepted:
            self.assertEqual(accepted.recv(100), READY)

    def test_the_new_process_serves_after_it_has_a_list_and_a_state(self) -> None:
        list_received = (
            "wait 800; d expect GET /v1/endpoints?after=41&wait_ms=0; c1 send GET /ready; d tell 41; "
        )
        ready = "c1 expect 200 ready; door says OK"
        self.each(
            {
                "with a list and the other process's state": "door says ERR; other leaves -1; "
                f"{list_received}{ready}; it knows 50",
                "after a wait if the other process writes no state": f"{list_received}wait 100; "
                f"c1 expect nothing; wait 200; {ready}",
                "without the state if it is too old": "other leaves 1; "
                f"{list_received}wait 300; {ready}; it knows 0",
                "without the state if it is malformed": "other leaves junk; "
                f"{list_received}{ready}; it knows 0",
                "at once when the other process has ended": f"other dies; c1 send GET /ready; {ready}",
            }
        )
        # Without another process, the share is the whole limit.
        self.assertEqual(self.server.budget.limit, self.sockets - 48)

    def test_the_old_process_answers_what_it_accepted(self) -> None:
        request = "c1 send GET /api/k1; s1 expect GET /api/k1; "
        half_body = "x" * 100_000
        partial_request = r"c3 raw GET /api/k2 HTTP/1.1\r\nReq-"
        rest_of_request = r"c3 raw Id: x9\r\nReq-Kind: read\r\nReq-Owner: acme\r\nReq-Deadline: 1\r\n\r\n"
        response_head = r"s1 raw HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n"
        self.each(
            {
                "requests are answered and queued connections are not accepted": "other dies; "
                f"{request}{partial_request}; "
                "c9 queues; router end; wait 300; s1 send 200 value; "
                f"c1 expect 200 Connection=close; {rest_of_request}; "
                "s1 expect GET /api/k2; s1 send 200 other; "
                "c3 expect 200 Connection=close; c1 close; c3 close; wait 600; router ended; other accepts",
                "a long response is completed": "other dies; "
                f"{request}{response_head}{half_body}; router end; wait 700; "
                f"router going; s1 raw {half_body}; "
                "c1 expect 200; c1 close; wait 600; router ended",
            }
        )


class TwoProcessesTest(TestCase):
    """Runs two processes on one socket while a client sends requests."""

    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.directory = Path(directory.name)
        self.listener, self.discovery = (socket.create_server(("127.0.0.1", 0), backlog=64) for _ in range(2))
        for cleanup in (directory.cleanup, self.listener.close, self.discovery.close):
            self.addCleanup(cleanup)
        threading.Thread(target=self.serve_discovery, daemon=True).start()

    def serve_discovery(self) -> None:
        """Answer the first poll of each process with a list, and leave further polls unanswered."""
        connections: list[socket.socket] = []
        body = b'{"rev":1,"all":true,"targets":[]}'
        with contextlib.suppress(OSError):
            while True:
                connections.append(self.discovery.accept()[0])
                connections[-1].recv(4096)
                connections[-1].sendall(
                    b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
                )

    def start(self, name: str, **changes: object) -> subprocess.Popen[str]:
        """Start a router process."""
        listen, discovery = (f"127.0.0.1:{sock.getsockname()[1]}" for sock in (self.listener, self.discovery))
        (self.directory / name).write_text(
            json.dumps(
                {
                    "name": name,
                    "listen": listen,
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
        environment = {"TMPDIR": str(self.directory), "GW_LISTEN_FD": str(self.listener.fileno())}
        process = subprocess.Popen(
            [sys.executable, "-m", "rosepick", "serve"],
            pass_fds=[self.listener.fileno()],
            text=True,
            env={**os.environ, **environment, "GW_CONFIG": str(self.directory / name)},
            stderr=subprocess.PIPE,
        )
        for cleanup in (process.communicate, process.kill):
            self.addCleanup(cleanup)
        return process

    def read_log_until_serving(self, process: subprocess.Popen[str]) -> str:
        """Return the log of a process up to its event `serving`."""
        log = ""
        for line in process.stderr or ():
            log += line
            if "event=serving" in line:
                return log
        raise AssertionError(log)

    def send(self, port: int, request: bytes = READY) -> bytes:
        with socket.create_connection(("127.0.0.1", port), 10.0) as client:
            client.sendall(request)
            return client.recv(100)[:12]

    def test_one_process_replaces_the_other_without_a_lost_request(self) -> None:
        port = self.listener.getsockname()[1]
        old = self.start("old")
        self.read_log_until_serving(old)
        # A process that cannot start does not affect the old one.
        self.assertNotEqual(self.start("broken", discovery="nowhere").wait(20), 0)
        new = self.start("new")
        admin_port = int(
            self.read_log_until_serving(new).partition("event=admin_serving listen=127.0.0.1:")[2].split()[0]
        )
        self.assertEqual(self.send(admin_port, b"readyz\n"), b"OK ready\n")
        statuses = {self.send(port)}
        old.terminate()
        statuses |= {self.send(port) for _ in range(40)}
        self.assertEqual(old.wait(10), 0)
        # The old process answers the requests that it accepted, with 503 during its shutdown. None is lost.
        self.assertLessEqual(statuses, {b"HTTP/1.1 200", b"HTTP/1.1 503"})
        self.assertEqual({self.send(port) for _ in range(5)}, {b"HTTP/1.1 200"})
        new.terminate()
        self.assertEqual(new.wait(10), 0)

"""The operators' door: its lines, its figures, and that no crowd keeps it from answering."""

from __future__ import annotations

import json
import socket
import unittest
from typing import Any

from rosepick.ops.line_protocol import MAX_LINE_BYTES, AdminProtocol, AdminReply

from .scenario import Scenario


class Lines(unittest.TestCase):
    def test_a_call_cut_anywhere_has_one_answer_and_what_is_none_an_error(self) -> None:
        junk = (b"\n", b"nonsense\n", b"\xff\xfe\n", b"readyz", b"", b"READYZ\n", b"\x00readyz\n")
        whole = b"readyz\r\nreadyz\n"
        calls = [(whole[:cut], whole[cut:]) for cut in range(len(whole))]
        for parts in (*calls, *((one,) for one in junk), (b"x" * MAX_LINE_BYTES, b"x" * 100_000, b"x\n")):
            machine = AdminProtocol({"readyz": lambda: AdminReply(True, "ready", ("x", "END"))})
            said = b"".join(map(machine.feed, parts)) or machine.feed_eof()
            with self.subTest(parts):
                self.assertEqual(said == b"OK ready\nx\nEND\n", parts in calls)
                self.assertTrue(parts in calls or (said.startswith(b"ERR ") and said.count(b"\n") == 1), said)
        self.assertEqual(AdminProtocol({}).feed(b"x" * MAX_LINE_BYTES), b"")


class Door(Scenario):
    nodes = ("s1", "origin")

    def document(self) -> dict[str, Any]:
        return {**super().document(), "ops": "127.0.0.1:0"}

    def dial(self, call: bytes = b"") -> socket.socket:
        assert self.server.admin_listener is not None
        sock = socket.create_connection(self.server.admin_listener.sock.getsockname(), 5.0)
        self.addCleanup(sock.close)
        sock.sendall(call)
        return sock

    def says(self, call: str) -> str:
        with self.dial(call.encode() + b"\n").makefile() as answer:
            for _ in range(20):
                self.step()
            return answer.read()

    def figures(self, **wanted: object) -> None:
        document, *rest = self.says("telemetry").splitlines()
        self.assertEqual(rest, ["END"])
        told = json.loads(document)
        self.assertEqual({name: told[name] for name in wanted}, wanted)

    def test_figures_agree_with_what_clients_and_nodes_saw(self) -> None:
        self.play("c1 send GET /api/k1\ns1 expect GET /api/k1")
        self.figures(inflight=1)
        self.steps(
            "s1 send 404 ''; origin expect GET /api/k1; origin send 200 value; c1 expect 200 value; "
            "c1 send PUT /api/k1 v; origin expect PUT; c1 close; c2 send PUT /api/k1 v Req-Deadline=0.1; "
            "origin expect PUT /api/k1; wait 130; c2 expect 504; c3 send GET /api/k1 Req-Kind=nonsense; "
            "c3 expect 400; c3 send GET /api/k1 Req-Deadline=nan; c3 expect 400"
        )
        calls = {
            "read": {"success": 1, "busy": 0, "failure": 1, "backend_calls": 2},
            "set": {"success": 0, "busy": 0, "failure": 1, "backend_calls": 2},
        }
        self.figures(calls=calls, backend_calls=4, inflight=0, hosts_listed=2, hosts_down=0)
        self.play("wait 800\nd expect GET /v1/endpoints\nd tell 42 s1=leaving\nd expect GET /v1/endpoints")
        self.figures(hosts_listed=2, hosts_down=1)
        self.play("router reload")
        self.file["discovery"] = 7
        with self.assertLogs("rosepick", "ERROR"):
            self.play("router reload")
        self.figures(reconfig_ok=1, reconfig_failed=1)

    def test_silent_callers_give_way_and_a_crowd_of_clients_takes_none_of_its_room(self) -> None:
        for number in range(40):
            self.dial(b"tele" if number % 2 else b"")
        for _ in range(200):
            sock = socket.create_connection(self.server.listener.sock.getsockname())
            self.addCleanup(sock.close)
            sock.send(b"GET /api/k1 HTTP/1.1\r\n")
        self.assertEqual(self.says("readyz"), "OK ready\n")
        assert self.server.admin_listener is not None
        self.assertLessEqual(len(self.server.admin_listener.connections), 12)
        self.wait(5_100)
        self.assertEqual(len(self.server.admin_listener.connections), 0)
        self.play("router end")
        self.assertTrue(self.says("readyz").startswith("ERR ending"))

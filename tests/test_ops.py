"""The admin listener: its commands, the telemetry counters, and replies while client connections are full."""

from __future__ import annotations

import json
import socket
import unittest
from typing import Any

from rosepick.ops.line_protocol import MAX_LINE_BYTES, AdminProtocol, AdminReply

from .scenario import Scenario


class LineProtocolTest(unittest.TestCase):
    def test_a_command_split_anywhere_gets_one_reply_and_invalid_lines_get_an_error(self) -> None:
        junk = (b"\n", b"nonsense\n", b"\xff\xfe\n", b"readyz", b"", b"READYZ\n", b"\x00readyz\n")
        whole = b"readyz\r\nreadyz\n"
        split_commands = [(whole[:cut], whole[cut:]) for cut in range(len(whole))]
        for parts in (
            *split_commands,
            *((line,) for line in junk),
            (b"x" * MAX_LINE_BYTES, b"x" * 100_000, b"x\n"),
        ):
            protocol = AdminProtocol({"readyz": lambda: AdminReply(True, "ready", ("x", "END"))})
            reply = b"".join(map(protocol.feed, parts)) or protocol.feed_eof()
            with self.subTest(parts):
                self.assertEqual(reply == b"OK ready\nx\nEND\n", parts in split_commands)
                is_error = reply.startswith(b"ERR ") and reply.count(b"\n") == 1
                self.assertTrue(parts in split_commands or is_error, reply)
        self.assertEqual(AdminProtocol({}).feed(b"x" * MAX_LINE_BYTES), b"")


class AdminListenerTest(Scenario):
    nodes = ("s1", "origin")

    def document(self) -> dict[str, Any]:
        return {**super().document(), "ops": "127.0.0.1:0"}

    def connect(self, command: bytes = b"") -> socket.socket:
        assert self.server.admin_listener is not None
        sock = socket.create_connection(self.server.admin_listener.sock.getsockname(), 5.0)
        self.addCleanup(sock.close)
        sock.sendall(command)
        return sock

    def run_command(self, command: str) -> str:
        with self.connect(command.encode() + b"\n").makefile() as reply:
            for _ in range(20):
                self.step()
            return reply.read()

    def check_counters(self, **expected: object) -> None:
        line, *rest = self.run_command("telemetry").splitlines()
        self.assertEqual(rest, ["END"])
        document = json.loads(line)
        self.assertEqual({name: document[name] for name in expected}, expected)

    def test_counters_match_the_responses_and_attempts(self) -> None:
        self.play("c1 send GET /api/k1\ns1 expect GET /api/k1")
        self.check_counters(inflight=1)
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
        self.check_counters(calls=calls, backend_calls=4, inflight=0, hosts_listed=2, hosts_down=0)
        self.play("wait 800\nd expect GET /v1/endpoints\nd tell 42 s1=leaving\nd expect GET /v1/endpoints")
        self.check_counters(hosts_listed=2, hosts_down=1)
        self.play("router reload")
        self.file["discovery"] = 7
        with self.assertLogs("rosepick", "ERROR"):
            self.play("router reload")
        self.check_counters(reconfig_ok=1, reconfig_failed=1)

    def test_silent_admin_clients_are_closed_and_other_clients_cannot_use_its_descriptors(self) -> None:
        for number in range(40):
            self.connect(b"tele" if number % 2 else b"")
        for _ in range(200):
            sock = socket.create_connection(self.server.listener.sock.getsockname())
            self.addCleanup(sock.close)
            sock.send(b"GET /api/k1 HTTP/1.1\r\n")
        self.assertEqual(self.run_command("readyz"), "OK ready\n")
        assert self.server.admin_listener is not None
        self.assertLessEqual(len(self.server.admin_listener.connections), 12)
        self.wait(5_100)
        self.assertEqual(len(self.server.admin_listener.connections), 0)
        self.play("router end")
        self.assertTrue(self.run_command("readyz").startswith("ERR ending"))

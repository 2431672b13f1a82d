"""Bodies over 64 KiB, both ways: passed on as they come, in bounded memory, and never spliced."""

from __future__ import annotations

import contextlib
import socket
import unittest

from rosepick.core.flow import LEAST, MOST, Flow, Room
from rosepick.http.response import AnswerReader, BadAnswer

from .scenario import Scenario, Wire

OK = b"HTTP/1.1 200 OK\r\n"
MIB = 1 << 20


class Flows(unittest.TestCase):
    def test_all_of_them_hold_what_they_may_together_and_none_is_without_a_portion(self) -> None:
        room = Room(4 * MOST)
        flows = [Flow(room, None) for _ in range(64)]
        for flow in flows:
            while flow.space():
                flow.put(b"x" * min(1000, flow.space()))
        self.assertEqual(room.held, 64 * LEAST)
        for flow in flows[1:]:
            flow.close()
        self.assertEqual((room.held, flows[0].space()), (LEAST, MOST - LEAST))

    def test_a_giver_that_waits_is_told_although_portions_grew_meanwhile(self) -> None:
        room, told = Room(2 * LEAST), []
        one, two = Flow(room, None), Flow(room, None)
        one.freed = lambda: told.append(1)
        one.put(b"x" * LEAST)
        self.assertTrue(one.pause())
        two.close()
        one.take(1)
        self.assertEqual(told, [1])

    def test_what_was_put_is_taken_in_order(self) -> None:
        flow = Flow(Room(MOST), None)
        whole = bytes(range(256)) * 10
        for at in range(0, len(whole), 100):
            flow.put(whole[at : at + 100])
        flow.end()
        found = b""
        while not flow.over():
            found += b"".join(flow.take(77))
        self.assertEqual(found, whole)


class Forms(unittest.TestCase):
    """Every form of a long answer, cut anywhere, is the same body."""

    BODY = bytes(range(256)) * 2

    def forms(self) -> dict[str, bytes]:
        body, chunked = self.BODY, OK + b"Transfer-Encoding: chunked\r\n\r\n"
        halves = b"100;a=b;c=\"d\"\r\n" + body[:256] + b"\r\n0100\r\n" + body[256:] + b"\r\n"
        single = b"".join(b"1\r\n" + body[n : n + 1] + b"\r\n" for n in range(len(body)))
        return {
            "length": OK + b"Content-Length: 512 \t\r\n\r\n" + body,
            "interim": b"HTTP/1.1 103 Early\r\nA: b\r\n\r\n" + OK + b"Content-Length: 512\r\n\r\n" + body,
            "chunked": chunked + halves + b"0\r\n\r\n",
            "trailers": chunked + halves + b"0;x\r\nSrv-Cache: hit\r\nB: c\r\n\r\n",
            "single bytes": chunked + single + b"0\r\n\r\n",
            "to the end": OK + b"\r\n" + body,
        }

    def read(self, *parts: bytes) -> bytes:
        reader, found = AnswerReader(1000, 100), b""
        for part in parts:
            answer = reader.feed(part) if part else None
            found += b"".join(reader.take())
        answer = answer or reader.ended()
        assert answer is not None and reader.begun and answer.body == b""
        return found

    def test_cut_anywhere(self) -> None:
        for name, form in self.forms().items():
            for cut in range(len(form)):
                with self.subTest(name, cut=cut):
                    self.assertEqual(self.read(form[:cut], form[cut:]), self.BODY)

    def test_byte_by_byte(self) -> None:
        for name, form in self.forms().items():
            with self.subTest(name):
                self.assertEqual(self.read(*(form[n : n + 1] for n in range(len(form)))), self.BODY)

    def test_what_is_ambiguous_or_too_long_is_none(self) -> None:
        for head in (
            b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
            b"Content-Length: 5\r\nContent-Length: 6\r\n",
            b"Transfer-Encoding: gzip, chunked\r\n", b"Transfer-Encoding: identity\r\n",
            b"Content-Length: -5\r\n", b"Content-Length: 5000\r\n",
        ):
            with self.subTest(head), self.assertRaises(BadAnswer):
                AnswerReader(1000, 100).feed(OK + head + b"\r\n")
        endless = AnswerReader(1000, 100)
        endless.feed(OK + b"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n")
        with self.assertRaises(BadAnswer):
            for _ in range(100):
                endless.feed(b"trailer: " + b"x" * 1000 + b"\r\n")


class Passing(Scenario):
    """Long answers through a whole router."""

    nodes = ("s1", "origin")

    def ask(self) -> Wire:
        """A request whose next hop has it, and whose answer the client does not read by itself."""
        self.play("c1 send GET /api/k1\ns1 expect GET /api/k1")
        client = self.wire("c1")
        self.wires["reader"] = []
        self.reader = client.sock
        self.wires["c1"] = []
        return client

    def pump(self, total: bytes, chunk: int = 1 << 18) -> bytes:
        """The next hop writes, the client reads, as far as each can."""
        node, got, at = self.wires["s1"][-1].sock, b"", 0
        for _ in range(2_000):
            with contextlib.suppress(BlockingIOError):
                at += node.send(total[at : at + chunk]) if at < len(total) else 0
            self.loop.step(0)
            self.loop.step(0)
            try:
                got += self.reader.recv(chunk)
            except BlockingIOError:
                if at >= len(total) and not self.server.budget.flows.held:
                    break
        return got

    def test_32_mib_go_through_a_little_memory_and_arrive_as_they_are(self) -> None:
        self.ask()
        body = bytes(range(256)) * (32 * MIB // 256)
        got = self.pump(OK + b"Content-Length: %d\r\n\r\n" % len(body) + body)
        self.assertEqual(got.partition(b"\r\n\r\n")[2], body)
        self.assertEqual(self.server.engine.counts["served"], 1)
        self.assertEqual((self.server.budget.flows.flows, self.server.budget.held), (0, 0))

    def test_a_client_that_does_not_read_holds_its_next_hop_back(self) -> None:
        self.ask()
        node = self.wires["s1"][-1].sock
        node.sendall(OK + b"Content-Length: %d\r\n\r\n" % (30 * MIB))
        written = 0
        for _ in range(200):
            with contextlib.suppress(BlockingIOError):
                written += node.send(b"x" * MIB)
            self.loop.step(0)
        self.assertLess(written, 16 * MIB)
        budget = self.server.budget
        self.assertLessEqual(budget.flows.held, MOST)
        self.assertLessEqual(budget.held, 200_000)
        self.play("wait 9000")
        self.assertEqual(self.server.engine.owed, 1)  # a deadline long past: the answer has begun
        self.play("wait 2000\ns1 expect closed")
        self.assertEqual((self.server.engine.owed, budget.flows.held, budget.held), (0, 0, 0))

    def test_a_client_that_leaves_midway_frees_both_sides_at_once(self) -> None:
        self.ask()
        self.wires["s1"][-1].sock.sendall(OK + b"Content-Length: 500000\r\n\r\n" + b"x" * 100_000)
        self.step()
        self.reader.close()
        self.play("s1 expect closed")
        self.assertEqual((self.server.engine.owed, self.server.budget.flows.flows), (0, 0))

    def cut(self, head: bytes) -> bytes:
        self.ask()
        node = self.wires["s1"][-1]
        size = b"186a0\r\n" if b"chunked" in head else b""
        node.sock.sendall(OK + head + b"\r\n" + size + b"x" * 100_000)
        self.step()
        self.wires["s1"].remove(node)
        node.sock.close()
        got = b""
        for _ in range(50):
            self.step()
            try:
                data = self.reader.recv(1 << 16)
            except BlockingIOError:
                continue
            if not data:
                break
            got += data
        else:
            self.fail("the client's connection stays open")
        self.assertEqual(self.server.engine.counts["failed"], 1)
        others = (*self.wires["s1"], *self.wires["origin"])
        self.assertFalse(any(wire.seen for wire in others))  # it is asked for nowhere else
        return got

    def test_an_answer_that_breaks_off_is_seen_as_not_whole_and_never_spliced(self) -> None:
        got = self.cut(b"Content-Length: 500000\r\n")
        self.assertIn(b"Content-Length: 500000", got)
        self.assertLess(len(got), 200_000)

    def test_a_chunked_one_as_well(self) -> None:
        got = self.cut(b"Transfer-Encoding: chunked\r\n")
        self.assertIn(b"Transfer-Encoding: chunked", got)
        self.assertFalse(got.endswith(b"0\r\n\r\n"))

    def test_a_next_hop_that_stops_midway_is_given_up_after_a_while(self) -> None:
        self.ask()
        self.wires["s1"][-1].sock.sendall(OK + b"Content-Length: 500000\r\n\r\n" + b"x" * 100_000)
        self.play("wait 9000")
        self.assertEqual(self.server.engine.owed, 1)
        self.play("wait 2000\ns1 expect closed")
        self.assertEqual((self.server.engine.owed, self.server.budget.flows.flows), (0, 0))

    def test_the_connection_goes_on_after_a_long_answer(self) -> None:
        self.ask()
        self.pump(OK + b"Content-Length: 100000\r\n\r\n" + b"x" * 100_000)
        self.wires["c1"] = [Wire(self.reader)]
        self.play("c1 send GET /api/k1\ns1 expect GET /api/k1\ns1 send 200 next\nc1 expect 200 next")
        self.assertEqual(len(self.wires["s1"]), 1)

    def tearDown(self) -> None:
        reader = getattr(self, "reader", None)
        if isinstance(reader, socket.socket):
            reader.close()
        super().tearDown()

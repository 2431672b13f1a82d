"""Bodies over 64 KiB, both ways: passed on as they come, in bounded memory, and never spliced."""

from __future__ import annotations

import contextlib
import socket
import unittest
from unittest import mock

from rosepick.core.flow import LEAST, MOST, Flow, Room
from rosepick.http.response import AnswerReader, BadAnswer
from rosepick.http.sender_side import Delivered, Letter, Rejected, SenderConnection, origin_form
from rosepick.settings.config import Names

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


class Requests(unittest.TestCase):
    """Every form of a request with a long body, cut anywhere, is the same body; what is ambiguous is none."""

    HEAD = b"PUT /api/k1 HTTP/1.1\r\nReq-Id: 7 \t\r\nReq-Kind: set\r\nReq-Owner: acme\r\nReq-Deadline: 1\r\n"
    BODY = bytes(range(256)) * 300
    NAMES = Names({"set": 0}, {"acme": 0}, {}, {})

    def read(self, *parts: bytes) -> tuple[object, bytes]:
        machine, found = SenderConnection(lambda: self.NAMES, Room(MOST)), b""
        received: object = None
        for part in parts:
            machine.feed(part, 0.0)
            received = received or machine.next()
            if isinstance(received, Delivered):
                assert isinstance(received.envelope.payload, Letter)
                flow = received.envelope.payload.flow
                found += received.envelope.payload.body if flow is None else b"".join(flow.take(1 << 20))
        return machine.broken or received, found

    def forms(self) -> dict[str, bytes]:
        chunk = b"12C00;x=\"y\"\r\n" + self.BODY + b"\r\n"
        return {
            "length": self.HEAD + b"Content-Length: 76800\r\n\r\n" + self.BODY,
            "chunked": self.HEAD + b"Transfer-Encoding: Chunked\r\n\r\n" + chunk + b"0\r\n\r\n",
            "trailers": self.HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunk
            + b"0\r\nReq-Cost: x\r\n\r\n",
        }

    def test_cut_at_many_places(self) -> None:
        for name, form in self.forms().items():
            head = form.index(b"\r\n\r\n") + 4
            cuts = {
                *range(0, head + 40), *range(head + 65_500, head + 65_560), *range(len(form) - 40, len(form)),
            }
            for cut in sorted(cuts):
                with self.subTest(name, cut=cut):
                    received, found = self.read(form[:cut], form[cut:])
                    self.assertIsInstance(received, Delivered)
                    self.assertEqual(found, self.BODY)

    def test_what_is_wrong_has_an_error_before_and_after_it_was_handed_over(self) -> None:
        for head, body, status in (
            (b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", b"", 400),
            (b"Content-Length: 5\r\nContent-Length: 5\r\n", b"", 400),
            (b"Transfer-Encoding: gzip, chunked\r\n", b"", 400), (b"Host: a\r\nHost: b\r\n", b"", 400),
            (b"Expect: a-miracle\r\nContent-Length: 3\r\n", b"", 417),
            (b"Content-Length: 60000000\r\n", b"", 413), (b"Content-Length: -1\r\n", b"", 400),
            (b"Transfer-Encoding: chunked\r\n", b"12C00\r\n" + self.BODY + b"\r\nnonsense", 400),
            (b"Transfer-Encoding: chunked\r\n", b"12C00\r\n" + self.BODY + b"\r\n0\r\n" + b"a: b\r\n" * 9999,
             431),
        ):
            with self.subTest(head, status=status):
                received, _ = self.read(self.HEAD + head + b"\r\n" + body[:70_000], body[70_000:])
                assert isinstance(received, Rejected), received
                self.assertEqual(received.status, status)

    def test_a_target_with_an_authority_is_taken_as_its_path(self) -> None:
        for target, path in (
            (b"/a/b?c", b"/a/b?c"), (b"http://app.svc/a/b", b"/a/b"), (b"HTTP://x", b"/"),
            (b"http://x?q", b"/?q"),
        ):
            self.assertEqual(origin_form(target), path)


class Coming(Scenario):
    """Long bodies through a whole router; writes go to the origin."""

    nodes = ("s1", "origin")
    SIZE = 200_000

    def begin(self, size: int, length: str = "Content-Length: 200000") -> None:
        """A write whose body has come so far."""
        self.client = self.wire("c1")
        self.client.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # the clock is not its own
        head = "PUT /api/k1 HTTP/1.1\r\nReq-Id: 7\r\nReq-Kind: set\r\nReq-Owner: acme\r\nReq-Deadline: 1\r\n"
        self.put("c1", f"{head}{length}\r\n\r\n".encode() + b"x" * size)
        for _ in range(5):
            self.step()

    def free(self) -> None:
        """Nothing is left of it."""
        budget = self.server.budget
        self.assertEqual((self.server.engine.owed, budget.flows.flows, budget.flows.held), (0, 0, 0))
        self.assertFalse(self.server.pool.busy)

    def test_it_goes_on_as_it_comes_and_its_time_counts_from_its_last_byte(self) -> None:
        self.begin(80_000)
        (node,) = self.wires["origin"]
        self.assertGreater(len(node.seen), 60_000)
        for _ in range(12):
            self.put("c1", b"x" * 10_000)
            self.wait(200)
        self.play("c1 expect nothing")
        self.wait(700)
        self.play("origin expect PUT /api/k1\norigin send 200 stored\nc1 expect 200 stored")
        told = self.server.figures().line()
        self.assertIn('"set":{"success":1,"busy":0,"failure":0,"backend_calls":1}', told)
        self.play("c1 send GET /api/k2\ns1 expect GET /api/k2\ns1 send 200 v\nc1 expect 200 v")
        self.free()

    def test_it_ends_at_its_deadline_once_it_is_whole(self) -> None:
        self.begin(self.SIZE)
        self.wait(900)
        self.play("c1 expect nothing\nwait 200\nc1 expect 504")
        self.wait(100)
        self.free()

    def test_an_origin_that_breaks_midway_is_not_sent_another_one(self) -> None:
        self.begin(80_000)
        (node,) = self.wires["origin"]
        node.sock.close()
        self.wires["origin"].remove(node)
        self.put("c1", b"x" * 20_000)
        self.play("c1 expect 503 Connection=close\norigin expect nothing\ns1 expect nothing")
        self.free()

    def test_an_origin_that_cannot_be_reached_refuses_it_at_once(self) -> None:
        self.play("origin refuse")
        self.begin(80_000)
        self.play("c1 expect 503 Connection=close")
        self.free()

    def test_a_client_that_leaves_or_stops_midway_frees_both_sides(self) -> None:
        self.begin(80_000)
        self.play("c1 close\norigin expect closed")
        self.free()
        self.begin(80_000)
        self.wait(3_400)
        self.play("c1 expect 408 Connection=close\norigin expect closed")
        self.free()

    def test_slow_is_not_stopped_but_too_slow_is(self) -> None:
        self.begin(0)
        for _ in range(12):
            self.put("c1", b"x" * 16_000)
            self.wait(250)
        self.put("c1", b"x" * 8_000)
        self.play("origin expect PUT\norigin send 200 stored\nc1 expect 200")
        self.begin(0)
        for _ in range(15):
            self.put("c1", b"x" * 2_000)
            self.wait(250)
        self.play("c1 expect 408")
        self.free()

    def test_an_origin_that_does_not_read_holds_its_client_back(self) -> None:
        self.begin(80_000, "Transfer-Encoding: chunked\r\n\r\n1f00000")
        with mock.patch.object(self.wires["origin"][-1], "pull"):
            written = 0
            for _ in range(300):
                with contextlib.suppress(BlockingIOError):
                    written += self.client.sock.send(b"x" * MIB)
                self.step()
            self.assertLess(written, 20 * MIB)
            self.assertLessEqual(self.server.budget.flows.held, 2 * MOST)
            self.wait(8_000)
            self.assertEqual(self.server.engine.owed, 1)  # it is not the client that is slow
            self.wires["origin"].pop().sock.close()
            self.play("c1 expect 503 Connection=close")
        self.free()

    def test_wrong_chunks_after_it_was_handed_over_end_it(self) -> None:
        self.begin(0, "Transfer-Encoding: chunked")
        self.put("c1", b"186a0\r\n" + b"x" * 80_000)
        self.step()
        self.put("c1", b"x" * 20_000 + b"\r\nnonsense\r\n")
        self.play("c1 expect 400 Connection=close\norigin expect closed")
        self.free()

    def test_one_behind_an_unanswered_request_waits_for_its_turn(self) -> None:
        self.play("c1 send GET /api/k1\ns1 expect GET /api/k1")
        self.begin(100_000, "Expect: 100-continue\r\nContent-Length: 100000")
        self.play("c1 expect nothing\norigin expect nothing\ns1 send 200 v\nc1 expect 200 v")
        self.play("origin expect PUT /api/k1\norigin send 200 stored\nc1 expect 200 stored")
        self.free()

    def test_a_body_is_asked_for_where_its_client_waits_for_that(self) -> None:
        self.begin(0, "Expect: 100-continue\r\nContent-Length: 3")
        self.play("c1 expect 100")
        self.put("c1", b"abc")
        self.play("origin expect PUT /api/k1\norigin send 200 stored\nc1 expect 200 stored")

    def test_one_with_an_open_id_is_turned_away_and_let_go(self) -> None:
        self.play("c2 send GET /api/k1 Req-Id=7\ns1 expect GET")
        self.begin(100_000)
        self.play("c1 expect 409\ns1 send 200 v\nc2 expect 200")
        self.free()

"""Streaming of request and response bodies over 64 KiB.

Guards against bodies that fill the memory, that lose or reorder data, or that mix the data of two attempts.
"""

from __future__ import annotations

import contextlib
import socket
import unittest
from unittest import mock

from rosepick.core.body_stream import (
    MAX_STREAM_BUFFER_BYTES,
    MIN_STREAM_BUFFER_BYTES,
    BodyStream,
    BufferBudget,
)
from rosepick.http.request_headers import to_origin_form
from rosepick.http.request_messages import ForwardedRequest, RequestReceived, RequestRejected
from rosepick.http.response import MalformedResponseError, ResponseReader
from rosepick.http.server_protocol import ServerProtocol
from rosepick.settings.config import NameIndexes

from .scenario import Scenario

OK = b"HTTP/1.1 200 OK\r\n"
PUT = b"PUT /api/k1 HTTP/1.1\r\nReq-Id: 7 \t\r\nReq-Kind: set\r\nReq-Owner: acme\r\nReq-Deadline: 1\r\n"
SHORT, BODY = bytes(range(256)) * 2, bytes(range(256)) * 300
CHUNKED = b"Transfer-Encoding: Chunked\r\n\r\n"
NAMES = NameIndexes({"set": 0}, {"acme": 0}, {}, {})
MIB = 1 << 20
COUNTED = b"".join(b"%07d\n" % n for n in range(4 * MIB))  # the content shows the position of each part


class BodyStreamTest(unittest.TestCase):
    def test_shares_are_even_and_data_is_read_in_order(self) -> None:
        budget, notified, received = BufferBudget(4 * MAX_STREAM_BUFFER_BYTES), [], b""
        streams = [BodyStream(budget, None) for _ in range(64)]
        for stream in streams:
            while stream.writable_bytes():
                stream.write(
                    BODY[stream.received_bytes : stream.received_bytes + min(1000, stream.writable_bytes())]
                )
        self.assertEqual(budget.buffered_bytes, 64 * MIN_STREAM_BUFFER_BYTES)
        streams[0].on_writable = lambda: notified.append(1)
        self.assertTrue(streams[0].pause_if_full())
        for stream in streams[1:]:
            stream.close()
        self.assertEqual(
            (budget.buffered_bytes, streams[0].writable_bytes()),
            (MIN_STREAM_BUFFER_BYTES, MAX_STREAM_BUFFER_BYTES - MIN_STREAM_BUFFER_BYTES),
        )
        # A paused writer is notified even if its share of the buffer grew after the pause.
        received += b"".join(streams[0].read(1))
        self.assertEqual(notified, [1])
        streams[0].finish()
        while not streams[0].is_drained():
            received += b"".join(streams[0].read(777))
        self.assertEqual(received, BODY[:MIN_STREAM_BUFFER_BYTES])


def parse_response(*parts: bytes) -> bytes | None:
    """Return the body of a response that is received in `parts`; None if it is malformed or not streamed."""
    reader, received, response = ResponseReader(1000, 100), b"", None
    try:
        for part in parts:
            response = reader.feed(part) if part else None
            received += b"".join(reader.take_body())
    except MalformedResponseError:
        return None
    response = response or reader.feed_eof()
    return received if response is not None and reader.is_streaming and not response.body else None


def request(*parts: bytes) -> bytes | int:
    """Return the body of a request that is received in `parts`, or the status of its rejection."""
    protocol = ServerProtocol(lambda: NAMES, BufferBudget(MAX_STREAM_BUFFER_BYTES))
    body = b""
    message: object = None
    for part in parts:
        protocol.feed(part, 0.0)
        message = message or protocol.next_message()
        if isinstance(message, RequestReceived):
            assert isinstance(message.request.payload, ForwardedRequest)
            stream = message.request.payload.body_stream
            body += message.request.payload.body if stream is None else b"".join(stream.read(MIB))
    message = protocol.body_rejection or message
    return message.status if isinstance(message, RequestRejected) else body


def framed_bodies(body: bytes) -> list[bytes]:
    """Return the body in each framing that marks its end, with the last lines of the head."""
    half = len(body) // 2
    halves = b'%x;a="b"\r\n%b\r\n0%x\r\n%b\r\n' % (half, body[:half], half, body[half:])
    single = b"".join(b"1\r\n%c\r\n" % byte for byte in body)
    return [
        b"Content-Length: %d \t\r\n\r\n%b" % (len(body), body),
        CHUNKED + halves + b"0\r\n\r\n",
        CHUNKED + halves + b"0;x\r\nSrv-Cache: hit\r\nReq-Cost: x\r\n\r\n",
        CHUNKED + single + b"0\r\n\r\n",
    ]


class BodyFramingTest(unittest.TestCase):
    def test_every_framing_split_anywhere_gives_the_same_body(self) -> None:
        interim = b"HTTP/1.1 103 Early\r\nA: b\r\n\r\n" + OK
        answers = [
            *(OK + form for form in framed_bodies(SHORT)),
            interim + framed_bodies(SHORT)[0],
            OK + b"\r\n" + SHORT,
        ]
        for form in answers:
            self.assertEqual(parse_response(*(form[n : n + 1] for n in range(len(form)))), SHORT, form[:60])
            for cut in range(len(form)):
                self.assertEqual(parse_response(form[:cut], form[cut:]), SHORT, (form[:60], cut))
        for form in (PUT + form for form in framed_bodies(BODY)):
            head, size = form.index(b"\r\n\r\n") + 4, len(form)
            for cut in (*range(head + 40), *range(head + 65_500, head + 65_560), *range(size - 40, size)):
                self.assertEqual(request(form[:cut], form[cut:]), BODY, (form[100:160], cut))

    def test_malformed_and_ambiguous_framings_are_rejected(self) -> None:
        begun, trailers = CHUNKED + b"12C00\r\n" + BODY + b"\r\n", [b"a: " + b"x" * 1000 + b"\r\n"] * 100
        self.assertIsNone(parse_response(OK + CHUNKED + b"1\r\nx\r\n0\r\n", *trailers))
        for line, status in (
            (b"Content-Length: 5\r\n" + CHUNKED, 400),
            (b"Content-Length: 5\r\n" * 2 + b"\r\n", 400),
            (b"Content-Length: 5\r\nContent-Length: 6\r\n\r\n", 400),
            (b"Transfer-Encoding: gzip, chunked\r\n\r\n", 400),
            (b"Content-Length: -5\r\n\r\n", 400),
            (b"Transfer-Encoding: identity\r\n\r\n", 400),
            (b"Content-Length: 60000000\r\n\r\n", 413),
        ):
            self.assertEqual((parse_response(OK + line), request(PUT + line)), (None, status), line)
        for text, status in (
            (b"Expect: a-miracle\r\nContent-Length: 3\r\n\r\n", 417),
            (begun + b"nonsense", 400),
            (b"Host: a\r\nHost: b\r\n\r\n", 400),
            (begun + b"0\r\n" + b"a: b\r\n" * 9999, 431),
        ):
            self.assertEqual(request(PUT + text[:70_000], text[70_000:]), status, text[:60])
        for target, path in (
            (b"/a?c", b"/a?c"),
            (b"http://app/a/b", b"/a/b"),
            (b"HTTP://x", b"/"),
            (b"http://x?q", b"/?q"),
        ):
            self.assertEqual(to_origin_form(target), path)


class StreamedBodyTest(Scenario):
    """Adds verbs for bodies that are sent in parts.

    `begin N HEADERS` sends the head and N body bytes of a PUT, and `more N` sends N more bytes. `stops` stops
    reading, `flood` writes as much as the socket accepts, and `breaks` closes the connection.
    """

    nodes = ("s1", "origin")
    ASK = "c1 send GET /api/k1; s1 expect GET /api/k1; "
    LONG = ASK + "c1 stops; s1 raw HTTP/1.1 200 OK\\r\\nContent-Length: 500000\\r\\n\\r\\n; s1 more 100000; "
    WRITE = "c1 begin 80000 Content-Length: 200000; "

    def tearDown(self) -> None:
        mock.patch.stopall()
        super().tearDown()

    def begin(self, actor: str, text: str) -> None:
        size, _, headers = text.partition(" ")
        # The scenario has a clock of its own, so TCP must not delay data until an acknowledgement.
        self.wire(actor).sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.raw(actor, PUT.decode() + headers + r"\r\n\r\n")
        self.more(actor, size)

    def more(self, actor: str, size: str) -> None:
        with contextlib.suppress(ConnectionError):
            self.put(actor, COUNTED[: int(size)])
        self.wait(5)

    def stops(self, actor: str) -> None:
        mock.patch.object(self.wire(actor), "pull").start()

    def faults(self, actor: str) -> None:
        """Let the decision module raise an exception for each further outcome of an attempt."""
        mock.patch.object(self.module(), "_handle_outcome", side_effect=KeyError).start()

    def step(self) -> None:
        super().step()
        self.assertLessEqual(self.server.budget.body_buffers.buffered_bytes, 2 * MAX_STREAM_BUFFER_BYTES)

    def whole(self, actor: str, size: str) -> None:
        """Expect a response with the first `size` bytes of `COUNTED` as its body."""
        for _ in range(2_000):
            self.step()
            if len(self.wire(actor).seen) > int(size):
                break
        body = self.wire(actor).seen.partition(b"\r\n\r\n")[2]
        self.assertTrue(body == COUNTED[: int(size)])

    def full(self, actor: str) -> None:
        """Let no body stream accept further data."""
        mock.patch.object(BodyStream, "writable_bytes", return_value=0).start()

    def flood(self, actor: str) -> None:
        sock, self.written = self.wire(actor).sock, 0
        for _ in range(300):
            with contextlib.suppress(BlockingIOError):
                self.written += sock.send(COUNTED[:MIB])
            self.step()

    def breaks(self, actor: str) -> None:
        self.wires[actor].pop().sock.close()

    def free(self, actor: str) -> None:
        budget, engine = self.server.budget, self.server.engine
        buffered = (
            engine.pending_count,
            budget.body_buffers.stream_count,
            budget.body_buffers.buffered_bytes,
            budget.buffered_bytes,
            len(self.server.pool.busy),
        )
        self.assertEqual(buffered, (0, 0, 0, 0, 0))

    def bounded(self, actor: str, limit_mb: str) -> None:
        """Check that the router accepted less than `limit_mb` of the flood, and buffers little of it."""
        self.assertLess(self.written, int(limit_mb) * MIB)
        self.assertLessEqual(self.server.budget.buffered_bytes, 300_000)

    def broken(self, actor: str, text: str) -> None:
        """Expect a truncated response that contains `text`, and no other attempt."""
        mock.patch.stopall()
        wire = self.wire(actor)
        self.expect(actor, "closed")
        self.assertIn(text.encode(), wire.seen)
        self.assertLess(len(wire.seen), 200_000)
        self.assertFalse(wire.seen.endswith(b"0\r\n\r\n"))
        self.assertEqual(self.server.engine.totals()["failed"], 1)
        self.assertFalse(any(other.seen for name in self.nodes for other in self.wires[name]))

    def test_long_responses_are_streamed_without_a_second_attempt(self) -> None:
        chunked = self.LONG.replace("Content-Length: 500000", "Transfer-Encoding: chunked")
        stopped = "wait 9000; all holds engine.pending_count 1; wait 2000; s1 expect closed; all free"
        head = r"s1 raw HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n; "
        size, response = "33554432", f"{self.ASK}{head}s1 more 100000; c1 expect 200; "
        self.each(
            {
                "32 MiB": f"{self.ASK}{head.replace('100000', size)}s1 more {size}; c1 whole {size}; "
                "all free",
                "the client disconnects": self.LONG + "c1 close; s1 expect closed; all free",
                "the upstream closes within a response": self.LONG
                + "s1 breaks; c1 broken Content-Length: 500000; all free",
                "the upstream closes within a chunked response": chunked.replace(
                    "more 100000", r"raw 30d40\r\n; s1 more 100000"
                )
                + "s1 breaks; c1 broken Transfer-Encoding: chunked; all free",
                "the upstream stops sending": self.LONG + stopped,
                "the connections are reused": f"{response}wait 10; {self.ASK}s1 send 200 v; c1 expect 200; "
                "all holds budget.used 3; "
                "all free",
                "the decision module raises during a response": f"{self.ASK}module faults; "
                f"{head}s1 more 100000; "
                "c1 expect 200; c1 expect nothing; all free",
                "the client does not read": self.LONG.replace("500000", "31457280")
                + f"s1 flood; all bounded 16; {stopped}",
            }
        )

    def test_long_requests_are_streamed_to_one_upstream(self) -> None:
        stored = "origin expect PUT /api/k1; origin send 200 stored; c1 expect 200 stored; all free"
        more, rejected = "c1 more 10000; wait 200; " * 12, "c1 expect 503 Connection=close"
        fresh = "c1 begin 0 Content-Length: 200000; "
        large = "c1 begin 80000 Transfer-Encoding: chunked\\r\\n\\r\\n"
        expects = "Expect: 100-continue\\r\\nContent-Length: "
        self.each(
            {
                "the deadline counts from the last byte": f"{self.WRITE}{more}c1 expect nothing; wait 700; "
                f"{stored}",
                "the request ends at its deadline": f"{fresh}c1 more 200000; wait 900; c1 expect nothing; "
                "wait 200; "
                "c1 expect 504; all free",
                "the request is not sent to another upstream": f"{self.WRITE}origin breaks; "
                f"c1 more 20000; {rejected}; "
                "origin expect nothing; s1 expect nothing; all free",
                "no upstream can be reached": f"origin refuse; {self.WRITE}{rejected}; all free",
                "the client disconnects": f"{self.WRITE}c1 close; origin expect closed; all free",
                "the client disconnects while bytes are buffered": f"{self.WRITE}all full; c1 more 1000; "
                "c1 close; "
                "wait 2900; "
                "origin expect closed; all free",
                "the client stops sending": f"{self.WRITE}wait 3400; c1 expect 408 Connection=close; "
                "origin expect closed; all free",
                "a slow client is served": f"{fresh}{'c1 more 16000; wait 250; ' * 12}c1 more 8000; {stored}",
                "a client that is too slow is rejected": f"{fresh}{'c1 more 2000; wait 250; ' * 15}"
                "c1 expect 408; all free",
                "an origin that does not read": f"{large}1f00000; origin stops; c1 flood; all bounded 20; "
                f"wait 900; all holds engine.pending_count 1; origin breaks; {rejected}; all free",
                "an origin that does not read in time": f"{large}1f00000; origin stops; c1 flood; "
                "all bounded 20; wait 900; all holds engine.pending_count 1; wait 200; "
                "c1 expect 504 Connection=close; all free",
                "a long response before the end of the request": self.WRITE
                + r"origin raw HTTP/1.1 200 OK\r\nContent-Length: 5000"
                rf"00\r\n\r\n; origin more 100000; {rejected}; origin expect closed; all free",
                "malformed chunks within a body": f"{large.replace('80000', '0')}186a0; c1 more 80000; "
                "c1 more 20000; "
                r"c1 raw nonsense\r\n; c1 expect 400 Connection=close; origin expect closed; all free",
                "the body waits behind the current request": f"{self.ASK}c1 begin 100000 {expects}100000; "
                "c1 expect nothing; "
                f"origin expect nothing; s1 send 200 v; c1 expect 200 v; {stored}",
                "the client expects 100 Continue": f"c1 begin 0 {expects}3; c1 expect 100; c1 more 3; "
                f"{stored}",
                "the request id is in use": "c2 send GET /api/k1 Req-Id=7; s1 expect GET; "
                "c1 begin 99000 Content-Length: 99000; c1 expect 409; s1 send 200 v; c2 expect 200; all free",
                "a streamed request counts once": f"{self.WRITE}{more}{stored}",
            }
        )
        notified = '"set":{"success":1,"busy":0,"failure":0,"backend_calls":1}'
        self.assertIn(notified, self.server.telemetry().line())

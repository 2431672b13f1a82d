"""Requests that are read late: their time counts from when they can have come; too late ones are refused."""

from __future__ import annotations

import socket
import time

import pytest

from rosepick.decisions.permissions import AcceptFacts, Denial, check_accept
from rosepick.net.late_refusal import Lateness, PlainRequest, parse_plain_request, refuse_if_late

from .scenario import Scenario

CLASSES = {"read": 0, "write": 1}
REQUEST = b"GET /api/k1 HTTP/1.1\r\nHost: r\r\nReq-Id: 01\r\nreq-kind: write\r\nReq-Deadline: 0.480\r\n\r\n"


@pytest.mark.parametrize(
    ("read_late_ms", "time_left_ms", "busy_ms", "denial"),
    [
        (0.0, 400.0, 0.0, None),
        (0.0, 50.0, 9_000.0, None),
        (310.0, 90.0, 50.0, None),  # it waited for a descriptor, not for the loop
        (24.0, 376.0, 300.0, None),
        (30.0, 370.0, 300.0, Denial.READ_LATE),
        (500.0, -100.0, 0.0, Denial.DEADLINE_PASSED),
        (0.0, 0.0, 0.0, Denial.DEADLINE_PASSED),
    ],
)
def test_a_request_is_refused_when_too_little_of_its_time_is_left(
    read_late_ms: float, time_left_ms: float, busy_ms: float, denial: Denial | None
) -> None:
    assert check_accept(AcceptFacts(read_late_ms, time_left_ms, busy_ms)) is denial


def test_a_plain_request_is_known_by_its_head() -> None:
    assert parse_plain_request(REQUEST, CLASSES) == PlainRequest(1, 480.0)


@pytest.mark.parametrize(
    "data",
    [
        REQUEST[:-1],
        REQUEST + REQUEST,
        REQUEST + b"x",
        REQUEST.replace(b"GET", b"PUT"),
        REQUEST.replace(b"0.480", b"soon"),
        REQUEST.replace(b"req-kind: write", b"req-kind: unknown"),
        REQUEST.replace(b"Host: r", b"Content-Length: 3"),
        REQUEST.replace(b"Host: r", b"Transfer-Encoding: chunked"),
        REQUEST.replace(b"Req-Deadline", b"Req-Other"),
        b"",
    ],
)
def test_anything_else_takes_the_usual_way(data: bytes) -> None:
    assert parse_plain_request(data, CLASSES) is None


def connected_pair(data: bytes) -> tuple[socket.socket, socket.socket]:
    """Return a client's socket that has sent data, and the accepted one."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        client = socket.create_connection(server.getsockname())
        client.sendall(data)
        accepted, _ = server.accept()
    deadline = time.monotonic() + 5.0
    while data and time.monotonic() < deadline and len(accepted.recv(9_999, socket.MSG_PEEK)) < len(data):
        time.sleep(0.001)
    return client, accepted


@pytest.mark.parametrize(("late_ms", "status"), [(200.0, b"503"), (700.0, b"504")])
def test_a_late_request_gets_its_answer_whole_and_then_the_end(late_ms: float, status: bytes) -> None:
    client, accepted = connected_pair(REQUEST)
    with client, accepted:
        assert refuse_if_late(
            accepted, Lateness(late_ms, 300.0), CLASSES, lambda _class_index: 250.0
        ) == PlainRequest(1, 480.0)
        received = b""
        while part := client.recv(999):
            received += part
    head, _, body = received.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 " + status)
    assert b"Content-Length: 0" in head
    assert b"Connection: close" in head
    assert (b"Retry-After: 0.250" in head) == (status == b"503")
    assert body == b""


@pytest.mark.parametrize(("data", "late_ms"), [(REQUEST, 20.0), (REQUEST[:20], 900.0), (b"", 900.0)])
def test_what_is_not_refused_is_left_unread(data: bytes, late_ms: float) -> None:
    client, accepted = connected_pair(data)
    with client, accepted:
        assert refuse_if_late(accepted, Lateness(late_ms, 300.0), CLASSES, lambda _class_index: 250.0) is None
        if data:
            assert accepted.recv(9_999) == data


class ReadLate(Scenario):
    """A router whose loop stood still while a request waited, in the accept queue or on its connection."""

    def send_without_a_step(self, headers: str = "") -> None:
        """Let a client send a request that the router does not read yet."""
        data = (
            f"GET /api/k1 HTTP/1.1\r\nReq-Id: 01\r\nReq-Kind: read\r\nReq-Owner: acme\r\n"
            f"Req-Deadline: 1.000\r\n{headers}\r\n"
        )
        self.wire("c1").sock.sendall(data.encode())

    def connect(self, where: str) -> None:
        """Begin with a connection that waits in the accept queue, or one that is established."""
        self.tearDown()
        self.setUp()
        self.wire("c1")
        if where == "established":
            self.step()

    def test_a_request_whose_time_is_over_when_it_is_read_is_failed_and_sent_to_nobody(self) -> None:
        for where in ("queue", "established"):
            for headers in ("", "Content-Length: 0\r\n"):
                self.connect(where)
                self.send_without_a_step(headers)
                self.now += 1.3
                self.play("c1 expect 504\ns1 expect nothing")

    def test_a_router_that_is_behind_refuses_what_it_reads_late(self) -> None:
        for where in ("queue", "established"):
            for headers in ("", "Content-Length: 0\r\n"):
                self.connect(where)
                self.send_without_a_step(headers)
                self.now += 0.5
                self.play("c1 expect 503 Retry-After\ns1 expect nothing")

    def test_what_has_waited_for_a_moment_is_served(self) -> None:
        for where in ("queue", "established"):
            self.connect(where)
            self.send_without_a_step()
            self.now += 0.05
            self.play("s1 expect GET /api/k1\ns1 send 200 value\nc1 expect 200")

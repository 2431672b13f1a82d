"""Requests that are read late: deadlines count from the earliest arrival, and late requests are refused."""

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
        (310.0, 90.0, 50.0, None),  # the request waited for a descriptor and not for the loop
        (24.0, 376.0, 300.0, None),
        (30.0, 370.0, 300.0, Denial.READ_LATE),
        (500.0, -100.0, 0.0, Denial.DEADLINE_PASSED),
        (0.0, 0.0, 0.0, Denial.DEADLINE_PASSED),
    ],
)
def test_late_request_is_refused_by_an_overloaded_router_or_after_its_deadline(
    read_late_ms: float, time_left_ms: float, busy_ms: float, denial: Denial | None
) -> None:
    assert check_accept(AcceptFacts(read_late_ms, time_left_ms, busy_ms)) is denial


def test_plain_request_is_parsed() -> None:
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
def test_other_data_is_not_parsed_as_a_plain_request(data: bytes) -> None:
    assert parse_plain_request(data, CLASSES) is None


def connected_pair(data: bytes) -> tuple[socket.socket, socket.socket]:
    """Return the socket of a client that has sent data, and the accepted socket."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        client = socket.create_connection(server.getsockname())
        client.sendall(data)
        accepted, _ = server.accept()
    deadline = time.monotonic() + 5.0
    while data and time.monotonic() < deadline and len(accepted.recv(9_999, socket.MSG_PEEK)) < len(data):
        time.sleep(0.001)
    return client, accepted


@pytest.mark.parametrize(("late_ms", "status"), [(200.0, b"503"), (700.0, b"504")])
def test_late_request_gets_a_complete_response_and_the_end_of_input(late_ms: float, status: bytes) -> None:
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
def test_request_that_is_not_refused_stays_unread(data: bytes, late_ms: float) -> None:
    client, accepted = connected_pair(data)
    with client, accepted:
        assert refuse_if_late(accepted, Lateness(late_ms, 300.0), CLASSES, lambda _class_index: 250.0) is None
        if data:
            assert accepted.recv(9_999) == data


class LateReadScenario(Scenario):
    """The loop does not run while a request waits in the accept queue or on its connection."""

    def send_without_step(self, headers: str = "") -> None:
        """Send a request of a client, without a step of the router."""
        data = (
            f"GET /api/k1 HTTP/1.1\r\nReq-Id: 01\r\nReq-Kind: read\r\nReq-Owner: acme\r\n"
            f"Req-Deadline: 1.000\r\n{headers}\r\n"
        )
        self.wire("c1").sock.sendall(data.encode())

    def connect(self, where: str) -> None:
        """Restart with a client connection in the accept queue or an accepted one."""
        self.tearDown()
        self.setUp()
        self.wire("c1")
        if where == "established":
            self.step()

    def test_request_read_after_its_deadline_fails_without_an_attempt(self) -> None:
        for where in ("queue", "established"):
            for headers in ("", "Content-Length: 0\r\n"):
                self.connect(where)
                self.send_without_step(headers)
                self.now += 1.3
                self.play("c1 expect 504\ns1 expect nothing")

    def test_overloaded_router_refuses_late_requests(self) -> None:
        for where in ("queue", "established"):
            for headers in ("", "Content-Length: 0\r\n"):
                self.connect(where)
                self.send_without_step(headers)
                self.now += 0.5
                self.play("c1 expect 503 Retry-After\ns1 expect nothing")

    def test_request_that_waited_briefly_is_served(self) -> None:
        for where in ("queue", "established"):
            self.connect(where)
            self.send_without_step()
            self.now += 0.05
            self.play("s1 expect GET /api/k1\ns1 send 200 value\nc1 expect 200")

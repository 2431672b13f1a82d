"""Generates load in fault-injection tests: reads to routers, each on a connection of its own."""

from __future__ import annotations

import random
import socket
import threading
import time
from typing import NamedTuple

from .event_log import EventLog, drill_clock
from .history import ClientRequestCompleted

THREAD_COUNT = 6
KEY_COUNT = 200
MAX_REQUESTS_PER_THREAD = 1_000_000
CONNECT_TIMEOUT_S = 1.0
RESPONSE_TIMEOUT_S = 1.7  # half a second more than the deadline in the request
MAX_RESPONSE_BYTES = 65536

Address = tuple[str, int]  # host and port, the form of the socket module


class RequestResult(NamedTuple):
    """The result of a request that was sent to a router."""

    status: int  # of the response; 0 if there is none or it cannot be read
    sent_at: float


class RequestClient:
    """Sends each request to the first router, in random order, that accepts the connection; records results.

    Args:
        event_log: the log to which results are appended.
        routers: the addresses of all routers.
        requests_per_second: the mean rate of all threads together.
        seed: the seed of the random numbers, and the first part of the requests' ids.
    """

    def __init__(
        self, event_log: EventLog, routers: list[Address], requests_per_second: float, seed: str
    ) -> None:
        self._event_log = event_log
        self._routers = routers
        self._requests_per_thread_second = requests_per_second / THREAD_COUNT
        self._seed = seed

    def run(self) -> None:
        """Send requests until the process is killed."""
        for number in range(THREAD_COUNT):
            threading.Thread(target=self._run_thread, args=(number,), daemon=True).start()
        while True:
            time.sleep(1.0)

    def _run_thread(self, thread_number: int) -> None:
        rng = random.Random(f"{self._seed} {thread_number}")
        for count in range(MAX_REQUESTS_PER_THREAD):
            time.sleep(rng.expovariate(self._requests_per_thread_second))
            self._send_to_any_router(rng, f"{self._seed}-{thread_number}-{count}")

    def _send_to_any_router(self, rng: random.Random, request_id: str) -> None:
        for router in rng.sample(self._routers, len(self._routers)):
            key = int(KEY_COUNT * rng.random() ** 2)
            result = send_request(router, request_id, key)
            if result is None:
                continue
            process = f"{router[0]}:{router[1]}"
            self._event_log.append(
                ClientRequestCompleted("client", drill_clock(), result.sent_at, process, result.status)
            )
            return


def send_request(router: Address, request_id: str, key: int) -> RequestResult | None:
    """Send a read to a router; return None if it does not accept the connection."""
    text = (
        f"GET /k/{key} HTTP/1.1\r\nHost: r\r\nReq-Id: {request_id}\r\nReq-Kind: read\r\nReq-Deadline: 1.2\r\n"
        "Req-Owner: drill\r\nConnection: close\r\n\r\n"
    )
    try:
        sock = socket.create_connection(router, CONNECT_TIMEOUT_S)
    except OSError:
        return None
    sent_at = drill_clock()
    try:
        sock.sendall(text.encode())
        sock.settimeout(RESPONSE_TIMEOUT_S)
        response = sock.recv(MAX_RESPONSE_BYTES)
        status = int(response[9:12]) if response.startswith(b"HTTP/1.1 ") else 0
        return RequestResult(status, sent_at)
    except OSError:
        return RequestResult(0, sent_at)
    finally:
        sock.close()

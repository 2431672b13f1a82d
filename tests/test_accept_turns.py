"""New connections are served beside connections that clients keep open, while the router is behind."""

from __future__ import annotations

import socket

from tests.scenario import Scenario, ScenarioConnection

KEPT_CLIENTS = 100
NEW_CLIENTS = 100
CLOCK_STEP_S = 0.0001  # time that passes with each reading of the clock, in place of the router's CPU time
MAX_REQUESTS_PER_KEPT_CLIENT = 5  # until the last of the new clients has its answer
STEPS = 100
REQUEST = (
    b"GET /api/k1 HTTP/1.1\r\nHost: router\r\nReq-Id: %016x\r\nReq-Kind: read\r\nReq-Owner: acme\r\n"
    b"Req-Deadline: 0.001\r\n\r\n"
)


class AcceptTurns(Scenario):
    """A router whose turns are long, as many clients send their next request as soon as they are answered."""

    def setUp(self) -> None:
        super().setUp()
        self.request_count = 0
        self.loop._clock = self.read_clock  # from here on, as the start of a router is no part of the test

    def read_clock(self) -> float:
        """Return the time of the scenario; each reading takes `CLOCK_STEP_S`."""
        self.now += CLOCK_STEP_S
        return self.now

    def connect(self) -> ScenarioConnection:
        """Open a connection to the router's listener."""
        connection = ScenarioConnection(socket.create_connection(self.server.listener.sock.getsockname()))
        self.wires.setdefault("clients", []).append(connection)
        return connection

    def request(self, connection: ScenarioConnection) -> None:
        """Send a request that the router can only answer late."""
        self.request_count += 1
        connection.sock.send(REQUEST % self.request_count)

    def test_new_connections_are_lost_while_kept_ones_take_all_turns(self) -> None:
        kept = dict.fromkeys((self.connect() for _ in range(KEPT_CLIENTS)), 0)
        for client in kept:
            self.request(client)
        for _ in range(STEPS):
            self.loop.step(0.0)
        for client in kept:
            client.pull()
            self.assertTrue(client.message(), "a kept connection was not answered")
            self.request(client)
        waiting = [self.connect() for _ in range(NEW_CLIENTS)]
        for client in waiting:
            self.request(client)
        for _ in range(STEPS):
            self.loop.step(0.0)
            for client in kept:
                client.pull()
                if client.message() is not None:
                    kept[client] += 1
                    self.request(client)
            for client in waiting:
                client.pull()
            waiting = [client for client in waiting if client.message() is None]
            if not waiting:
                break
        self.assertEqual(waiting, [])
        self.assertLessEqual(max(kept.values()), MAX_REQUESTS_PER_KEPT_CLIENT)

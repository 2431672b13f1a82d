"""Unit tests of the configuration, the endpoint directory, the log, the event loop and the process."""

from __future__ import annotations

import io
import json
import logging
import os
import signal
import socket
import subprocess
import sys
import tempfile
import unittest
from typing import IO, Any
from unittest import mock

from rosepick import logs
from rosepick.core import endpoint_directory
from rosepick.decisions import api
from rosepick.net.event_loop import READ, EventLoop
from rosepick.settings import config
from rosepick.settings.reader import SettingsReader

from .scenario import SETTINGS, target

DOCUMENT: dict[str, Any] = {
    "name": "n0",
    "listen": "127.0.0.1:0",
    "discovery": "127.0.0.1:1",
    "seed": "1f",
    "limits": {"sockets": 256},
    "known": {"rev": 1, "all": True, "targets": []},
    "settings": SETTINGS,
}


class ConfigurationTest(unittest.TestCase):
    def test_values_are_read(self) -> None:
        loaded = config.read(DOCUMENT)
        self.assertEqual((loaded.seed, loaded.max_descriptors, loaded.connect_timeout_ms), (31, 256, 250.0))
        self.assertEqual(loaded.names.classes, {"read": 0, "set": 1})

    def test_an_error_is_reported_on_one_line(self) -> None:
        broken: tuple[tuple[str, object, str], ...] = (
            ("listen", "nowhere", "host:port"),
            ("seed", "xyz", "hexadecimal"),
            ("name", None, "name"),
            ("settings", [], "settings"),
            ("known", 3, "known"),
            ("known", {"targets": [{}]}, "state"),
        )
        for key, value, word in broken:
            status, output = self.check(json.dumps({**DOCUMENT, key: value}))
            self.assertEqual((status, output.count("\n")), (1, 1), output)
            self.assertIn(word, output)
        for text in ("{", "[]"):
            status, output = self.check(text)
            self.assertEqual((status, output.count("\n")), (1, 1), output)

    def check(self, text: str) -> tuple[int, str]:
        with tempfile.NamedTemporaryFile("w") as file:
            file.write(text)
            file.flush()
            done = subprocess.run(
                [sys.executable, "-m", "rosepick", "check-config"],
                env={**os.environ, "GW_CONFIG": file.name},
                capture_output=True,
                text=True,
                check=False,
            )
        return done.returncode, done.stderr


class EndpointListTest(unittest.TestCase):
    def apply(
        self, directory: endpoint_directory.EndpointDirectory, is_full: bool, *rows: object
    ) -> endpoint_directory.DirectoryUpdate:
        return directory.apply_update(SettingsReader({"rev": 2, "all": is_full, "targets": list(rows)}, ""))

    def test_endpoints_get_address_kind_and_start_time(self) -> None:
        directory = endpoint_directory.EndpointDirectory(config.read(DOCUMENT).names, unix_offset_ms=5000.0)
        change = self.apply(directory, True, target("s1", 1), {**target("origin", 2), "boot_ms": 7000})
        first, second = change.event.endpoints
        self.assertEqual((first.started_at, first.kind, second.started_at, second.kind), (0.0, 0, 2000.0, 1))
        self.assertEqual(directory.endpoints[second.endpoint_id].address, ("127.0.0.1", 2))

    def test_an_endpoint_is_retired_when_it_drains_leaves_restarts_or_moves(self) -> None:
        for row in (
            target("s1", 1, "leaving"),
            target("s1", 1, "left"),
            target("s1", 9),
            {**target("s1", 1), "boot_ms": 9},
        ):
            directory = endpoint_directory.EndpointDirectory(config.read(DOCUMENT).names, 0.0)
            (member,) = self.apply(directory, True, target("s1", 1)).event.endpoints
            self.assertEqual(self.apply(directory, False, target("s1", 1)).retired_endpoint_ids, ())
            self.assertEqual(self.apply(directory, False, row).retired_endpoint_ids, (member.endpoint_id,))

    def test_a_malformed_update_adds_no_endpoint(self) -> None:
        directory = endpoint_directory.EndpointDirectory(config.read(DOCUMENT).names, 0.0)
        self.apply(directory, True, target("s1", 1))
        with self.assertRaises(ValueError):
            self.apply(directory, False, target("s2", 1), target("s3", 1, "unheard of"))
        self.assertEqual(list(directory.ids_by_uid), ["s1"])

    def test_a_colliding_hash_gets_another_id(self) -> None:
        directory = endpoint_directory.EndpointDirectory(config.read(DOCUMENT).names, 0.0)
        taken_id = endpoint_directory.hash_uid("s2")
        with mock.patch.object(endpoint_directory, "hash_uid", return_value=taken_id):
            self.apply(directory, False, target("another", 9))
        (member,) = self.apply(directory, False, target("s2", 1)).event.endpoints
        self.assertNotIn(member.endpoint_id, (0, taken_id))

    def test_an_id_is_never_0(self) -> None:
        """The decision module uses 0 for 'no endpoint', so a hash of 0 is replaced by 1."""
        with mock.patch.object(endpoint_directory, "blake2b") as hashed:
            hashed.return_value.digest.return_value = bytes(4)
            self.assertEqual((endpoint_directory.hash_uid("a"), endpoint_directory.hash_key(b"a")), (1, 1))

    def test_a_malformed_list_does_not_change_the_directory(self) -> None:
        directory = endpoint_directory.EndpointDirectory(config.read(DOCUMENT).names, 0.0)
        self.apply(directory, True, target("s1", 1))
        for row in ({}, target("s1", 1, "odd"), {**target("s2", 1), "endpoint": "x"}):
            with self.assertRaises(ValueError):
                self.apply(directory, True, row)
        self.assertEqual([endpoint.uid for endpoint in directory.endpoints.values()], ["s1"])
        self.assertIs(self.apply(directory, False, target("s1", 1)).event.scope, api.UpdateScope.DELTA)


class LogTest(unittest.TestCase):
    def test_a_log_line_round_trips(self) -> None:
        record = logging.LogRecord("rosepick.net.upstream_pool", logging.INFO, "", 1, "closed", None, None)
        record.fields = {"ms": 1.25, "text": 'a "b"\n'}
        line = logs.KeyValueFormatter().format(record)
        self.assertRegex(
            line,
            r"^time=\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z level=info "
            rf"pid={os.getpid()} monotonic_ms=\d+\.\d part=net\.upstream_pool event=closed ms=1\.2 "
            r'text="a \\"b\\"\\n"$',
        )
        read = logs.parse_log_fields(line)
        self.assertEqual((read["part"], read["ms"], read["text"]), ("net.upstream_pool", "1.2", 'a "b"\n'))

    def test_frequent_events_are_suppressed_and_counted(self) -> None:
        now = [0.0]
        stream = io.StringIO()
        handler = logging.StreamHandler(stream)
        handler.setFormatter(logs.KeyValueFormatter())
        handler.addFilter(logs.LogRateLimiter(lambda: now[0]))
        log = logging.Logger("rosepick.storm")
        log.addHandler(handler)
        for _ in range(50):
            logs.log_event(log, logging.INFO, "same")
        now[0] = 11.0
        logs.log_event(log, logging.INFO, "same")
        lines = stream.getvalue().splitlines()
        self.assertEqual(len(lines), logs.MAX_LINES_PER_EVENT + 1)
        self.assertIn("suppressed=30", lines[-1])


class EventLoopTest(unittest.TestCase):
    def test_timer_does_not_wait_behind_a_batch_of_reads(self) -> None:
        now, output = [1.0], list[str]()
        loop = EventLoop(lambda: now[0])
        pairs = [socket.socketpair() for _ in range(3)]

        def ready(mask: int) -> None:
            now[0] += 0.010
            output.append("read")

        for near, far in pairs:
            far.send(b"x")
            loop.register(near, READ, ready)
        loop.call_at(1015.0, lambda: output.append("timer"))
        loop.step(0)
        self.assertEqual(output, ["read", "read", "timer", "read"])
        for pair in pairs:
            for sock in pair:
                sock.close()

    def test_timers_due_together_run_in_order_without_cancelled_ones(self) -> None:
        now, output = [1.0], list[str]()
        loop = EventLoop(lambda: now[0])
        loop.call_at(900.0, lambda: output.append("later"))
        loop.call_at(900.0, lambda: output.append("first"), run_first=True)
        loop.call_at(900.0, lambda: output.append("never")).cancel()
        loop.step(0)
        self.assertEqual(output, ["first", "later"])


class ProcessTest(unittest.TestCase):
    """Runs the program as a process."""

    def test_release_build_runs_the_scenarios(self) -> None:
        done = self.python("-O", "-m", "unittest", "tests.test_scenarios")
        self.assertEqual(done.returncode, 0, done.stderr)

    def test_invariants_are_counted_in_release_and_asserted_in_debug_builds(self) -> None:
        code = (
            "from rosepick.core.invariants import *; "
            "check_invariant(False, 'x'); print(violation_counts['x'])"
        )
        self.assertEqual(self.python("-O", "-c", code).stdout, "1\n")
        self.assertIn("AssertionError: x", self.python("-c", code).stderr)

    def test_the_simulator_host_needs_only_the_standard_library(self) -> None:
        self.assertEqual(self.python("-S", "-m", "rosepick.simulator").returncode, 0)

    def test_serve_answers_reloads_and_shuts_down(self) -> None:
        with tempfile.NamedTemporaryFile("w") as file, socket.create_server(("127.0.0.1", 0)):
            json.dump(DOCUMENT, file)
            file.flush()
            with subprocess.Popen(
                [sys.executable, "-O", "-m", "rosepick", "serve"],
                stderr=subprocess.PIPE,
                text=True,
                env={**os.environ, "GW_CONFIG": file.name},
            ) as process:
                assert process.stderr is not None
                try:
                    line = self.line_with("event=serving", process.stderr)
                    host, port = config.parse_address(line.split("listen=")[1].split()[0])
                    with socket.create_connection((host, port)) as sock:
                        sock.sendall(b"GET /ready HTTP/1.1\r\n\r\n")
                        self.assertTrue(sock.recv(100).startswith(b"HTTP/1.1 200 "))
                    # Guards against a SIGHUP without a handler, which would end the process.
                    process.send_signal(signal.SIGHUP)
                    self.line_with("event=config_reloaded", process.stderr)
                finally:  # otherwise a failed test would wait for the process forever
                    process.terminate()
                self.assertIn("event=shutdown_completed", process.stderr.read())
            self.assertEqual(process.returncode, 0)

    def line_with(self, event: str, log: IO[str]) -> str:
        """Return the next line with an event; lines about polls of discovery may precede it."""
        for line in log:
            if event in line:
                return line
            self.assertRegex(line, "event=(discovery_|rules_in_force)")
        raise AssertionError(f"the log ends without {event}")

    def python(self, *words: str) -> subprocess.CompletedProcess[str]:
        return subprocess.run(
            [sys.executable, *words], stdin=subprocess.DEVNULL, capture_output=True, text=True, check=False
        )

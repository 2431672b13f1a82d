"""New settings at SIGHUP: taken whole or turned down whole, while requests under way keep what they had."""

from __future__ import annotations

import copy
import json
import math
from collections.abc import Callable
from typing import Any

from rosepick.decisions.api import Effect
from rosepick.settings import config

from .scenario import Scenario

Bad = Callable[[dict[str, Any]], object]
CLASSES = "request_classes"


def put(*path: str | int) -> Callable[[object], Bad]:
    """A fault: that place holds something else."""
    def of(value: object) -> Bad:
        def break_it(document: dict[str, Any]) -> None:
            found: Any = document
            for step in path[:-1]:
                found = found[step]
            found[path[-1]] = value
        return break_it
    return of


def without(*path: str | int) -> Bad:
    """A fault: that place is not there."""
    def break_it(document: dict[str, Any]) -> None:
        found: Any = document
        for step in path[:-1]:
            found = found[step]
        del found[path[-1]]
    return break_it


NUMBERS: list[object] = [math.nan, math.inf, -math.inf, True, False, "5", [], {}]
DEADLINE, ATTEMPTS = put("settings", CLASSES, 1, "deadline"), put("settings", "limits", "max_attempts")
BAD: list[tuple[str, Bad]] = [
    *(("request_classes[1].deadline", DEADLINE(value)) for value in (0, -5.0, None, *NUMBERS)),
    *(("limits.max_attempts", ATTEMPTS(value)) for value in (0, -1, 2.5, None, *NUMBERS)),
    *((path[-1], without(*path)) for path in (
        ("settings",), ("discovery",), ("name",), ("listen",), ("seed",), ("limits",), ("limits", "sockets"),
        ("known",), ("settings", CLASSES), ("settings", "limits"), ("settings", "limits", "max_attempts"),
        ("settings", "rules"), ("settings", "rules", "stop_sending_within"), ("settings", "tenants"),
    )),
    *((key, without("settings", CLASSES, 0, key)) for key in ("name", "deadline", "objective", "effect")),
    ("request_classes", put("settings", CLASSES)([])),
    ("request_classes", put("settings", CLASSES)({"read": 1})),
    ("names 'read' twice", put("settings", CLASSES, 1, "name")("read")),
    ("effect", put("settings", CLASSES, 0, "effect")("odd")),
]


class NewSettings(Scenario):
    nodes = ("s1", "origin")

    def setUp(self) -> None:
        super().setUp()
        self.file = copy.deepcopy(self.file)

    def classes(self) -> list[dict[str, Any]]:
        found: list[dict[str, Any]] = self.file["settings"][CLASSES]
        return found

    def test_classes_appear_and_vanish_and_those_in_hand_stay_what_they_were(self) -> None:
        self.play("c1 send GET /api/k1\ns1 expect GET /api/k1")
        self.file["settings"][CLASSES] = [
            {**self.classes()[1], "name": "log", "effect": "fragile"}, self.classes()[1]
        ]
        self.play("""
            router reload
            c2 send GET /api/k2 Req-Kind=log
            s1 expect GET /api/k2
            s1 send 200 new
            c2 expect 200 new
            c3 send GET /api/k3 Req-Kind=read
            c3 expect 400
        """)
        (open_one,) = self.module().jobs.values()
        self.assertEqual(open_one.klass.aim, 600.0)
        wire = self.wires["s1"][0]
        wire.sock.sendall(b"HTTP/1.1 200 X\r\nContent-Length: 1\r\n\r\nv")
        self.play("c1 expect 200 v")
        calls = self.server.figures().document()["calls"]
        assert isinstance(calls, dict)
        served = {name: row["success"] for name, row in calls.items()}
        self.assertEqual(served, {"read": 1, "set": 0, "log": 1})

    def test_a_class_that_comes_back_has_its_place_again(self) -> None:
        before, usual = self.server.config.names.classes, self.file["settings"][CLASSES]
        self.file["settings"][CLASSES] = usual[1:]
        self.play("router reload")
        self.assertEqual(self.server.config.names.classes, {"set": 1})
        self.file["settings"][CLASSES] = usual[::-1]
        self.play("router reload")
        self.assertEqual(self.server.config.names.classes, before)

    def test_a_stricter_effect_and_fewer_attempts_count_for_new_requests_only(self) -> None:
        self.play("c1 send GET /api/k1\ns1 expect GET /api/k1")
        self.file["settings"]["limits"]["max_attempts"] = 1
        for row in self.classes():
            row["effect"] = "fragile"
        self.play("""
            router reload
            s1 send 404 ''
            origin expect GET /api/k1
        """)
        (open_one,) = self.module().jobs.values()
        self.assertIs(open_one.klass.effect, Effect.RETRYABLE)
        self.play("""
            origin send 200 value
            c1 expect 200 value
            c2 send GET /api/k9
            s1 expect GET /api/k9
            s1 send 404 ''
            c2 expect 503
            c2 send GET /api/k9
            s1 expect GET /api/k9
            s1 send 500 ''
            c2 expect 502
        """)

    def test_each_bad_file_is_turned_down_whole_counted_and_named(self) -> None:
        usual, before = self.file, self.server.config
        for number, (place, break_it) in enumerate(BAD, 1):
            self.file = copy.deepcopy({**usual, "discovery": "127.0.0.1:1"})
            break_it(self.file)
            with self.subTest(place, number=number), self.assertLogs("rosepick", "ERROR") as said:
                self.play("router reload")
            (line,) = said.records
            self.assertEqual(line.getMessage(), "reload_failed")
            self.assertIn(place, str(vars(line)["fields"]["text"]))
            self.assertIs(self.server.config, before)
            self.assertEqual((self.server.reconfig_ok, self.server.reconfig_failed), (0, number))
        self.file = usual
        self.play("router reload\nrouter reload")
        self.assertEqual(self.server.reconfig_ok, 2)

    def test_a_file_that_is_cut_anywhere_is_none(self) -> None:
        whole = json.dumps(self.file).encode()
        for cut in range(len(whole)):
            with self.assertRaises(ValueError):
                config.read(config.parse(whole[:cut]))
        config.read(config.parse(whole))

    def read(self) -> config.Config:
        return config.read(config.parse(json.dumps(self.file).encode()))

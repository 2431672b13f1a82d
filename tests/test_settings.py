"""New settings at SIGHUP: taken whole or turned down whole, while requests under way keep what they had."""

from __future__ import annotations

import copy
import json
import math
import re
from typing import Any

from rosepick.decisions.api import Effect
from rosepick.settings import config

from .scenario import SETTINGS, Scenario

CLASSES = "settings.request_classes"
GONE = object()
NONE: tuple[object, ...] = (None, GONE, 0, -5.0, math.nan, math.inf, -math.inf, True, False, "5", [], {})
NEEDED = (
    "settings",
    "discovery",
    "name",
    "listen",
    "seed",
    "limits",
    "limits.sockets",
    "known",
    "settings.limits",
    "settings.rules",
    "settings.rules.stop_sending_within",
    "settings.tenants",
    f"{CLASSES}.0.name",
    f"{CLASSES}.0.objective",
    CLASSES,
    f"{CLASSES}.0.effect",
)
BAD = [
    *((f"{CLASSES}.1.deadline", value) for value in NONE),
    *(("settings.limits.max_attempts", value) for value in (*NONE, 2.5)),
    *((path, GONE) for path in NEEDED),
    (CLASSES, []),
    (CLASSES, {"read": 1}),
    (f"{CLASSES}.0.effect", "odd"),
    (CLASSES, SETTINGS["request_classes"] * 2),
]


def put(document: Any, path: str, value: object) -> Any:
    """The document with something else, or nothing, at that place."""
    made = found = copy.deepcopy(document)
    *steps, last = (int(step) if step.isdigit() else step for step in path.split("."))
    for step in steps:
        found = found[step]
    if value is GONE:
        del found[last]
    else:
        found[last] = value
    return made


class NewSettings(Scenario):
    nodes = ("s1", "origin")

    def read(self) -> config.Config:
        return config.read(config.parse_json(json.dumps(self.file).encode()))

    def told(self, *rows: dict[str, Any]) -> None:
        """A file with these classes comes."""
        self.file = put(self.file, CLASSES, list(rows))
        self.play("router reload")

    def test_classes_appear_vanish_and_come_back_and_those_in_hand_stay_what_they_were(self) -> None:
        read, write = SETTINGS["request_classes"]
        before = self.server.config.names.classes
        self.play("c1 send GET /api/k1\ns1 expect GET /api/k1")
        self.told({**write, "name": "log", "effect": "fragile"}, write)
        self.steps(
            "c2 send GET /api/k2 Req-Kind=log; s1 expect GET /api/k2; s1 send 200 new; c2 expect 200 new; "
            "c3 send GET /api/k3 Req-Kind=read; c3 expect 400"
        )
        (open_one,) = self.module().pending.values()
        self.assertEqual(open_one.klass.objective_ms, 600.0)
        self.wires["s1"][0].sock.sendall(b"HTTP/1.1 200 X\r\nContent-Length: 1\r\n\r\nv")
        self.play("c1 expect 200 v")
        calls: Any = self.server.telemetry().document()["calls"]
        served = {name: row["success"] for name, row in calls.items()}
        self.assertEqual(served, {"read": 1, "set": 0, "log": 1})
        self.assertEqual(self.server.config.names.classes, {"set": 1, "log": 2})
        self.told(write, read)  # in another order
        self.assertEqual(self.server.config.names.classes, before)

    def test_a_stricter_effect_and_fewer_attempts_count_for_new_requests_only(self) -> None:
        self.play("c1 send GET /api/k1\ns1 expect GET /api/k1")
        self.file = put(self.file, "settings.limits.max_attempts", 1)
        self.told(*({**row, "effect": "fragile"} for row in SETTINGS["request_classes"]))
        (open_one,) = self.module().pending.values()
        self.assertIs(open_one.klass.effect, Effect.RETRYABLE)
        ask = "c2 send GET /api/k9\ns1 expect GET /api/k9\ns1 send "
        self.play("s1 send 404 ''\norigin expect GET /api/k1\norigin send 200 value\nc1 expect 200 value")
        self.play(f"{ask}404 ''\nc2 expect 503\n{ask}500 ''\nc2 expect 502")

    def test_each_bad_file_is_turned_down_whole_counted_and_named(self) -> None:
        usual, before = self.file, self.server.config
        self.assertIsNone(self.server.admin_listener)  # neither the file nor the environment names a door
        for number, (path, value) in enumerate(BAD, 1):
            self.file = put({**usual, "discovery": "127.0.0.1:1"}, path, value)
            with self.subTest(path, value=value), self.assertLogs("rosepick", "ERROR") as said:
                self.play("router reload")
            (line,) = said.records
            self.assertEqual(line.getMessage(), "config_reload_failed")
            place = re.sub(r"\.\d", "", path.removeprefix("settings."))
            self.assertIn(place, re.sub(r"\[\d?\]", "", str(vars(line)["fields"]["text"])))
            self.assertIs(self.server.config, before)
            self.assertEqual((self.server.reloads_succeeded, self.server.reloads_failed), (0, number))
        self.file = usual
        self.play("router reload\nrouter reload")
        self.assertEqual(self.server.reloads_succeeded, 2)

    def test_a_file_that_is_cut_anywhere_is_none(self) -> None:
        whole = json.dumps(self.file).encode()
        for cut in range(len(whole)):
            with self.assertRaises(ValueError):
                config.read(config.parse_json(whole[:cut]))

"""Reload of the configuration: a file is applied or rejected as a whole; pending requests keep settings."""

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
REMOVED = object()
INVALID_NUMBERS: tuple[object, ...] = (
    None,
    REMOVED,
    0,
    -5.0,
    math.nan,
    math.inf,
    -math.inf,
    True,
    False,
    "5",
    [],
    {},
)
REQUIRED_PATHS = (
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
INVALID_VALUES = [
    *((f"{CLASSES}.1.deadline", value) for value in INVALID_NUMBERS),
    *(("settings.limits.max_attempts", value) for value in (*INVALID_NUMBERS, 2.5)),
    *((path, REMOVED) for path in REQUIRED_PATHS),
    (CLASSES, []),
    (CLASSES, {"read": 1}),
    (f"{CLASSES}.0.effect", "odd"),
    (CLASSES, SETTINGS["request_classes"] * 2),
]


def replace_value(document: Any, path: str, value: object) -> Any:
    """Return the document with the value at a path replaced or removed."""
    changed = copy.deepcopy(document)
    parent = changed
    *parent_keys, last_key = (int(key) if key.isdigit() else key for key in path.split("."))
    for key in parent_keys:
        parent = parent[key]
    if value is REMOVED:
        del parent[last_key]
    else:
        parent[last_key] = value
    return changed


class ReloadedSettingsTest(Scenario):
    nodes = ("s1", "origin")

    def read(self) -> config.Config:
        return config.read(config.parse_json(json.dumps(self.file).encode()))

    def reload_classes(self, *rows: dict[str, Any]) -> None:
        """Reload the configuration with these request classes."""
        self.file = replace_value(self.file, CLASSES, list(rows))
        self.play("router reload")

    def test_classes_are_added_removed_and_restored_and_pending_requests_keep_their_class(self) -> None:
        read, write = SETTINGS["request_classes"]
        before = self.server.config.names.classes
        self.play("c1 send GET /api/k1\ns1 expect GET /api/k1")
        self.reload_classes({**write, "name": "log", "effect": "fragile"}, write)
        self.steps(
            "c2 send GET /api/k2 Req-Kind=log; s1 expect GET /api/k2; s1 send 200 new; c2 expect 200 new; "
            "c3 send GET /api/k3 Req-Kind=read; c3 expect 400"
        )
        (pending,) = self.module().pending.values()
        self.assertEqual(pending.request_class.objective_ms, 600.0)
        self.wires["s1"][0].sock.sendall(b"HTTP/1.1 200 X\r\nContent-Length: 1\r\n\r\nv")
        self.play("c1 expect 200 v")
        calls: Any = self.server.telemetry().document()["calls"]
        served = {name: row["success"] for name, row in calls.items()}
        self.assertEqual(served, {"read": 1, "set": 0, "log": 1})
        self.assertEqual(self.server.config.names.classes, {"set": 1, "log": 2})
        self.reload_classes(write, read)  # in another order
        self.assertEqual(self.server.config.names.classes, before)

    def test_a_stricter_effect_and_fewer_attempts_apply_to_new_requests_only(self) -> None:
        self.play("c1 send GET /api/k1\ns1 expect GET /api/k1")
        self.file = replace_value(self.file, "settings.limits.max_attempts", 1)
        self.reload_classes(*({**row, "effect": "fragile"} for row in SETTINGS["request_classes"]))
        (pending,) = self.module().pending.values()
        self.assertIs(pending.request_class.effect, Effect.RETRYABLE)
        request = "c2 send GET /api/k9\ns1 expect GET /api/k9\ns1 send "
        self.play("s1 send 404 ''\norigin expect GET /api/k1\norigin send 200 value\nc1 expect 200 value")
        self.play(f"{request}404 ''\nc2 expect 503\n{request}500 ''\nc2 expect 502")

    def test_an_invalid_file_is_rejected_and_counted_and_the_log_names_the_setting(self) -> None:
        valid_file = self.file
        config_before = self.server.config
        # Neither the file nor the environment has an address for the admin listener.
        self.assertIsNone(self.server.admin_listener)
        for number, (path, value) in enumerate(INVALID_VALUES, 1):
            self.file = replace_value({**valid_file, "discovery": "127.0.0.1:1"}, path, value)
            with self.subTest(path, value=value), self.assertLogs("rosepick", "ERROR") as logs:
                self.play("router reload")
            (record,) = logs.records
            self.assertEqual(record.getMessage(), "config_reload_failed")
            location = re.sub(r"\.\d", "", path.removeprefix("settings."))
            message = str(vars(record)["fields"]["text"])
            self.assertIn(location, re.sub(r"\[\d?\]", "", message))
            self.assertIs(self.server.config, config_before)
            self.assertEqual((self.server.reloads_succeeded, self.server.reloads_failed), (0, number))
        self.file = valid_file
        self.play("router reload\nrouter reload")
        self.assertEqual(self.server.reloads_succeeded, 2)

    def test_a_file_truncated_anywhere_is_rejected(self) -> None:
        whole = json.dumps(self.file).encode()
        for cut in range(len(whole)):
            with self.assertRaises(ValueError):
                config.read(config.parse_json(whole[:cut]))

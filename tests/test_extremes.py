"""Extreme settings: absent, zero, very short, very large.

A router serves with them, or rejects them at the start with a message that names the setting.
"""

from __future__ import annotations

import copy
from typing import Any

import pytest

from rosepick.settings import config

from .scenario import SETTINGS, Scenario

HUGE = 1e12
CASES: dict[str, tuple[str, Any]] = {
    "no limits but attempts": ("limits", {"max_attempts": 1}),
    "idle connections are not kept": ("limits.conn_idle", 0.0),
    "idle connections are kept for ever": ("limits.conn_idle", HUGE),
    "connects get no time": ("limits.dial_timeout", 0.0),
    "connects may take for ever": ("limits.dial_timeout", HUGE),
    "many attempts": ("limits.max_attempts", 1_000_000),
    "no retry-after is sent": ("limits.retry_after", False),
    "no rules": ("rules", {}),
    "a drain counts at once": ("rules.stop_sending_within", 0.0),
    "no window for the sends to a cold node": ("rules.fall", 0.0),
    "nothing warms up": ("rules.warm_within", 0.0),
    "all warm up for ever": ("rules.warm_within", HUGE),
    "cold nodes have no capacity": ("rules.cold_from", 0.0),
    "no multiple": ("rules.tip_multiple", 0.0),
    "no grace": ("rules.grace_to_answer", 0.0),
    "no tenants' shares": ("tenants", [{"name": "acme"}]),
    "a share of 1": ("tenants", [{"name": "acme", "share": 1.0}]),
    "no zones": ("failure_domains", []),
    "no router, which reads as one": ("balancers", 0),
    "thousands of routers": ("balancers", 100_000),
    "no value": ("request_classes.worth", 0.0),
    "an objective beyond the deadline": ("request_classes.objective", HUGE),
    "a deadline of a year": ("request_classes.deadline", 3.2e10),
    "no window for repeats": ("request_classes.repeat_window", 0.0),
    "a window of a year": ("request_classes.repeat_window", 3.2e10),
    "nothing may be repeated": ("request_classes.effect", "fragile"),
}
REJECTED: dict[str, tuple[str, Any]] = {
    "no class": ("request_classes", []),
    "no attempt": ("limits.max_attempts", 0),
    "half an attempt": ("limits.max_attempts", 1.5),
    "a deadline of zero": ("request_classes.deadline", 0.0),
    "a negative deadline": ("request_classes.deadline", -5.0),
    "a share above 1": ("tenants", [{"name": "acme", "share": 1.5}]),
    "an unknown effect": ("request_classes.effect", "sometimes"),
    "a negative window": ("request_classes.repeat_window", -1.0),
    "a rule that is not a number": ("rules.fall", "soon"),
}


def changed(path: str, value: Any) -> dict[str, Any]:
    """Return the settings with another value at a path; of all request classes where it names them."""
    settings = copy.deepcopy(SETTINGS)
    part, _, key = path.partition(".")
    if not key:
        settings[part] = value
    elif part == "request_classes":
        for row in settings[part]:
            row[key] = value
    else:
        settings[part][key] = value
    return settings


class Extremes(Scenario):
    case = ""

    def document(self) -> dict[str, Any]:
        document = super().document()
        return {**document, "settings": changed(*CASES[self.case])} if self.case else document

    def test_a_router_serves(self) -> None:
        for self.case in CASES:
            with self.subTest(self.case):
                self.tearDown()
                self.setUp()
                self.play("""
                    c1 send GET /api/k1
                    s1 expect GET /api/k1
                    s1 send 200 value
                    c1 expect 200 value
                    c1 send PUT /api/k1 value
                    origin expect PUT /api/k1
                    origin send 200 stored
                    c1 expect 200 stored
                """)
                self.assertEqual((self.server.engine.pending_count, self.loop.fault_count), (0, 0))
                self.assertEqual(self.server.engine.counts["faults"], 0)


class ShortObjective(Scenario):
    def document(self) -> dict[str, Any]:
        return {**super().document(), "settings": changed("request_classes.objective", 0.001)}

    def test_what_cannot_be_in_time_is_refused_at_once(self) -> None:
        self.play("c1 send GET /api/k1\nc1 expect 503\ns1 expect nothing\nall holds engine.pending_count 0")


@pytest.mark.parametrize("name", REJECTED)
def test_invalid_settings_are_rejected(name: str) -> None:
    document = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": "1f",
        "settings": changed(*REJECTED[name]),
    }
    with pytest.raises(ValueError, match="setting "):
        config.read(document)

"""Wall clocks that step: a new endpoint is cold until its warm-up ends, whatever the clocks show."""

from __future__ import annotations

import ast
from dataclasses import replace
from pathlib import Path

import pytest

from rosepick.core.endpoint_directory import EndpointDirectory
from rosepick.decisions import api
from rosepick.decisions.api import Status, UpdateScope
from rosepick.decisions.decide import Router
from rosepick.settings.config import NameIndexes
from rosepick.settings.reader import SettingsReader

from .driver import READ, settings

ROOT = Path(__file__).parent.parent
HOUR_MS = 3_600_000.0
UNIX_MS = 1_780_000_000_000.0
SECOND_LIST_AT = 10_000.0  # on the router's clock

# Each reads the wall clock for the purpose named; spans are taken from the monotonic clock.
WALL_CLOCK_READERS = {
    "rosepick/net/server.py": "the starts of endpoints, which discovery gives as Unix time",
    "rosepick/net/optional_parts.py": "the times in a capture",
    "rosepick/capture/recorder.py": "the times in a capture",
    "rosepick/cli": "what commands show and record",
    "rosepick/coordination": "what agents and commands record, hours of the day",
    "rosepick/fleet": "what agents and commands record, hours of the day",
    "rosepick/lab": "times in results; the starts of nodes, as discovery gives them",
    "rosepick/logs.py": "the times of log lines",
    "rosepick/net/peer_certificate.py": "the validity of certificates",
    "rosepick/net/tls.py": "the validity of certificates",
}


class SteppedRouter:
    """A router whose wall clock is ahead by `offset_ms`, while discovery's lists have true times."""

    def __init__(self, offset_ms: float) -> None:
        names = NameIndexes({}, {}, {"east": 0}, {"std": 0})
        self.directory = EndpointDirectory(names, UNIX_MS + offset_ms)
        self.router = Router(replace(settings(), classes=(READ,)), 1)
        self.warm_within = self.router.settings.rules.warm_within

    def apply_list(self, now: float, rows: dict[str, float], is_full: bool = False) -> None:
        """Give the router a list of endpoints with their starts on its monotonic clock; 0 is long ago."""
        targets = [
            {
                "uid": uid,
                "endpoint": "127.0.0.1:1",
                "az": "east",
                "model": "std",
                "state": "active",
                "boot_ms": started_at and UNIX_MS + started_at,
            }
            for uid, started_at in rows.items()
        ]
        document = SettingsReader({"rev": 1, "all": is_full, "targets": targets}, "")
        self.router.handle(now, self.directory.apply_update(document).event)

    def warmup_end(self, uid: str) -> float:
        """Return when an endpoint's warm-up ends; minus infinity if it has none."""
        return self.router.endpoints.states[self.directory.ids_by_uid[uid]].warmup_end


@pytest.mark.parametrize("offset_ms", [0.0, 30_000.0, -30_000.0, HOUR_MS, -HOUR_MS])
def test_an_endpoint_that_appears_is_cold(offset_ms: float) -> None:
    stepped = SteppedRouter(offset_ms)
    stepped.apply_list(0.0, {"old": 0.0}, is_full=True)
    stepped.apply_list(SECOND_LIST_AT - 2_500.0, {})
    stepped.apply_list(SECOND_LIST_AT, {"new": SECOND_LIST_AT - 1_000.0})
    cold_until = stepped.warmup_end("new")
    # its true warm-up starts at 9,000; the assumed one starts between the list before and now
    assert (
        SECOND_LIST_AT - 2_500.0 + stepped.warm_within <= cold_until <= SECOND_LIST_AT + stepped.warm_within
    )
    assert stepped.warmup_end("old") == float("-inf")


@pytest.mark.parametrize("offset_ms", [0.0, HOUR_MS, -HOUR_MS])
@pytest.mark.parametrize("machine_step_ms", [0.0, -30_000.0, -HOUR_MS, HOUR_MS])
def test_a_restart_is_noticed_whichever_way_its_machine_was_stepped(
    offset_ms: float, machine_step_ms: float
) -> None:
    stepped = SteppedRouter(offset_ms)
    stepped.apply_list(
        0.0, {"one": -HOUR_MS / 6.0}, is_full=True
    )  # a step back of an hour gives an earlier start
    stepped.apply_list(SECOND_LIST_AT - 2_500.0, {})
    stepped.apply_list(SECOND_LIST_AT, {"one": SECOND_LIST_AT - 1_000.0 + machine_step_ms})
    cold_until = stepped.warmup_end("one")
    assert (
        SECOND_LIST_AT - 2_500.0 + stepped.warm_within <= cold_until <= SECOND_LIST_AT + stepped.warm_within
    )


def test_an_endpoint_that_returns_with_the_start_it_had_is_not_cold_again() -> None:
    stepped = SteppedRouter(0.0)
    stepped.apply_list(0.0, {"one": -HOUR_MS, "two": -HOUR_MS}, is_full=True)
    stepped.apply_list(1_000.0, {"two": -HOUR_MS}, is_full=True)  # a part of the fleet was lost to discovery
    stepped.apply_list(SECOND_LIST_AT, {"one": -HOUR_MS, "two": -HOUR_MS}, is_full=True)
    assert stepped.warmup_end("one") < SECOND_LIST_AT


def test_a_start_in_the_future_counts_as_now() -> None:
    """Guards against a warm-up that is too long after the first list, for which only the clocks are known."""
    stepped = SteppedRouter(-HOUR_MS)
    stepped.apply_list(0.0, {"one": -1_000.0}, is_full=True)
    assert stepped.warmup_end("one") == stepped.warm_within


def test_warm_up_is_as_the_clocks_say_in_the_first_list() -> None:
    stepped = SteppedRouter(0.0)
    stepped.apply_list(0.0, {"one": -1_000.0, "two": -HOUR_MS}, is_full=True)
    assert stepped.warmup_end("one") == pytest.approx(stepped.warm_within - 1_000.0)
    assert stepped.warmup_end("two") == float("-inf")


def test_a_repeated_row_does_not_begin_a_warm_up_anew() -> None:
    router = Router(replace(settings(), classes=(READ,)), 1)
    row = api.Endpoint(7, Status.READY, 9_000.0)
    router.handle(0.0, api.EndpointUpdate(UpdateScope.FULL, ()))
    router.handle(10_000.0, api.EndpointUpdate(UpdateScope.DELTA, (row,)))
    cold_until = router.endpoints.states[7].warmup_end
    router.handle(20_000.0, api.EndpointUpdate(UpdateScope.DELTA, (row,)))
    assert router.endpoints.states[7].warmup_end == cold_until


WALL_CLOCK_CALLS = {("time", "time"), ("time", "time_ns"), ("datetime", "now")}


def _reads_wall_clock(path: Path) -> bool:
    """Return whether a module calls time.time or datetime.now, or imports them by name."""
    nodes = list(ast.walk(ast.parse(path.read_text("utf-8"))))
    imports = [node for node in nodes if isinstance(node, ast.ImportFrom) and node.module == "time"]
    called = {
        (node.value.id, node.attr)
        for node in nodes
        if isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name)
    }
    named = {("time", name.name) for node in imports for name in node.names}
    return bool(WALL_CLOCK_CALLS & (called | named))


def test_only_named_modules_read_the_wall_clock() -> None:
    for path in (ROOT / "rosepick").rglob("*.py"):
        name = path.relative_to(ROOT).as_posix()
        if _reads_wall_clock(path):
            assert any(
                name == allowed or name.startswith(f"{allowed}/") for allowed in WALL_CLOCK_READERS
            ), name

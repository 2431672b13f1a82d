"""Builds representative results of experiments and histories of drills.

This is a part of golden_forms and follows the same rules: only these modules import program names, values are
built by position, and enum members by value.
"""

from __future__ import annotations

from pathlib import Path

from rosepick.lab import results
from rosepick.lab.account import log_reader
from rosepick.lab.account.loss_account import build_account
from rosepick.lab.drill import drill_file, history, invariants
from rosepick.logs import parse_log_fields

from .golden_support import GOLDEN, Form, as_given, as_json, temporary_folder

ROOT = Path(__file__).resolve().parent.parent

WINDOW = results.Window(
    1, 10, 8, 1, 1, 0, 0, 30.0, 24.0, 12.5, 99.5, 11, 6, 2, 3, 4, 0.5, 0.25, 0.75, 0.125, 12
)
RUN = results.RunResult(
    "calm",
    "rosepick",
    3,
    "sim",
    {"routers.count": 2},
    "a8254ac",
    {"numpy": "2.0"},
    60.0,
    5.0,
    "",
    {"served_share": 0.99},
    {"read": results.GroupSummary(10, 0.9, 12.5, 99.5)},
    {"acme": results.GroupSummary(10, 0.9, 12.5, 99.5)},
    [(50.0, 12.5), (99.0, 99.5)],
    [results.Window(0), WINDOW],
    [results.FaultSpan("slow", 1.0, 2.0, "n1")],
    [results.RequirementResult("served_share", 0.99, 0.95, None, 0.0, 60.0, True)],
    [results.RuleViolation("answered", "1.1", "n1", 2.5, "two answers")],
)
COST = results.RunCost(1000, 1.25, 42.5, 5000, 64.5)


def write_results(found: list[results.ResultLine]) -> bytes:
    """Return encoded lines of results."""
    return b"".join(map(results.encode_result, found))


def read_results(data: bytes) -> list[results.ResultLine]:
    """Return the decoded lines of results."""
    with temporary_folder() as folder:
        path = folder / "results.jsonl"
        path.write_bytes(data)
        return list(results.read_results(path))


def drill_events() -> list[history.AnyEvent]:
    """Return a list with one event of every kind."""
    return [
        history.RegisterOperation("w1", 1.0, 0.5, "lease/job", "a1", "done", 3, "a1", "a0"),
        history.LeaseCheckPassed("w1", 2.0, 1.5, "job", 3, 7),
        history.GuardedEffect("w1", 3.0, "job", 3, 7, True),
        history.LeaseStateChanged("w1", 4.0, "job", 3, 7, "holds"),
        history.AvailabilityChanged("r1", 5.0, "routers", "e", True, "program", False),
        history.OperatorOrderAccepted("me", 6.0, "out", ("r1", "r2")),
        history.NodeRequestReceived("c1", 7.0, "x1", True),
        history.ClientRequestCompleted("x1", 8.0, 7.5, "r1", 200),
        history.DrainAnnounced("c1", 9.0),
        history.VersionStarted("r1", 10.0, "new"),
        history.ReleaseDecided("record", 11.0, 10.5, 1, "new", ("r1",), False, False),
        history.FaultInjected("net", 12.0, "cut", "w1 w2"),
    ]


def write_history(events: list[history.AnyEvent]) -> bytes:
    """Return the encoded events of a drill."""
    return b"".join(map(history.encode_line, events))


def read_history(data: bytes) -> list[history.AnyEvent]:
    """Return the decoded events of a drill."""
    with temporary_folder() as folder:
        path = folder / "history.jsonl"
        path.write_bytes(data)
        return history.read_events([path])


def account_of_log(data: bytes) -> object:
    """Return the figures of the account of a router's log.

    Causes and prices are listed without their names, which are names of log fields. These may change as long
    as the old names are read too.
    """
    with temporary_folder() as folder:
        (folder / "router.log").write_bytes(data)
        account = build_account(log_reader.read_logs([folder]))
    rows = [
        [
            [
                row.name,
                row.request_count,
                row.in_time_share,
                row.value_share,
                [share for _, share in row.causes],
            ]
            for row in part
        ]
        for part in (account.classes, account.slices, account.groups)
    ]
    causes = [[one.count, one.lost_value, one.mean_wait_ms, one.classes] for one in account.causes]
    prices = sorted(account.prices.values())
    return [
        account.routers,
        account.starts,
        account.request_count,
        account.in_time_share,
        account.value_share,
        causes,
        rows,
        prices,
    ]


def fields_of_log(data: bytes) -> object:
    """Return the fields of each line of a log."""
    return [parse_log_fields(line) for line in data.decode().splitlines()]


def drill_counts() -> object:
    """Return the counts of a drill's events in its summary."""
    return dict(invariants.check_invariants(drill_events()).counts)


def drill_settings() -> object:
    """Return the settings of two drill files: an empty one, and one of the repository."""
    with temporary_folder() as folder:
        (folder / "least.toml").write_text("", "utf-8")
        paths = (folder / "least.toml", ROOT / "drills" / "releases-short.toml")
        return [drill_file.load_drill(path).model_dump(mode="json") for path in paths]


def recorded_log() -> bytes:
    """Return the log that a router of a8254ac wrote with hits, misses, a reset and a late answer."""
    return (GOLDEN / "router.log").read_bytes()


LAB_FORMS: dict[str, Form] = {
    "lab-results.jsonl": Form(lambda: [RUN, COST], write_results, read_results),
    "router.log": Form(recorded_log, as_given),
    "router-log-fields.json": Form(lambda: fields_of_log(recorded_log()), as_json),
    "router-log-account.json": Form(lambda: account_of_log(recorded_log()), as_json),
    "drill-counts.json": Form(drill_counts, as_json),
    "drill-settings.json": Form(drill_settings, as_json, grows=True),
    "drill-history.jsonl": Form(drill_events, write_history, read_history),
}

"""Tests of the account of a day: the engine's counters, the log reader, the account and its tables."""

from __future__ import annotations

import ast
import unittest
from io import StringIO
from pathlib import Path
from tempfile import TemporaryDirectory

from rich.console import Console

from rosepick.connections.connection_table import CloseReason
from rosepick.connections.descriptor_budget import DescriptorUse
from rosepick.core.request_counters import RequestOutcome
from rosepick.decisions.api import EndReason, Result
from rosepick.lab.account.day_report import parse_day_report
from rosepick.lab.account.log_reader import NoLogsError, read_logs
from rosepick.lab.account.loss_account import LossAccount, build_account
from rosepick.lab.account.tables import format_tables
from rosepick.lab.log_terms import EVENTS, FIELDS, line_has_event, parse_record
from rosepick.leases.lease_client import LeaseState
from tests.scenario import Scenario

ROOT = Path(__file__).parent.parent
RECORDED_LOG = ROOT / "tests" / "golden" / "router.log"
BEGIN = "time=2026-01-02T03:04:{:06.3f}Z level=info part=net.server event="
BENCH_REPORT = """site a  family cache  requests 30
G 0.6703   whole day 0.7924   worst 10 s 0.7373 (from 9 s)
prices: cross_zone 0.0478, handshake 0.0150
class read             served 0.8004
calm+mass                  G 0.670  floor 0.479  top 0.779  served 0.792
"""


def line(at: float, event: str, stamp: bool = True, **figures: object) -> str:
    """Return a line of a router's log, with or without the prefix of the test bench."""
    fields = " ".join(f"{name}={value}" for name, value in figures.items())
    return (f"{at:.3f} " if stamp else "") + BEGIN.format(at) + event + (f" {fields}" if fields else "")


def outcomes(at: float, klass: str, stamp: bool = True, **figures: object) -> str:
    return line(at, "request_outcomes", stamp, **{"class": klass}, **figures)


class ReadLogsTest(unittest.TestCase):
    """Reads logs of several routers, with truncated and foreign lines."""

    def setUp(self) -> None:
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def write(self, name: str, *lines: str) -> None:
        (self.folder / f"{name}.log").write_text("\n".join(lines), "utf-8")

    def test_counts_are_increases_within_each_process(self) -> None:
        for stamp in (True, False):
            self.write(
                "n0",
                line(0, "serving", stamp),
                "Traceback (most recent call last):",
                outcomes(5, "read", stamp, worth=3.0, served=8, refused_too_slow=2, refused_too_slow_ms=20),
                outcomes(10, "read", stamp, worth=3.0, served=9, refused_too_slow=7, refused_too_slow_ms=120),
                line(10, "counters", stamp, attempts=20, cross_zone_attempts=4),
                line(11, "serving", stamp),  # another process, which counts from zero
                outcomes(15, "read", stamp, worth=3.0, served=1),
                line(15, "counters", stamp, attempts=2, cross_zone_attempts=1),
                "15.001 time=2026 event=request_outcomes class",
            )
            self.write(
                "n1", line(0.5, "serving", stamp), outcomes(5.5, "write", stamp, worth=6.0, client_gone=1)
            )
            account = build_account(read_logs([self.folder]), parse_day_report(BENCH_REPORT))
            with self.subTest(stamp=stamp):
                self.assertEqual((account.routers, account.starts, account.request_count), (2, 3, 18))
                self.assertAlmostEqual(account.in_time_share, 10 / 18)
                self.assertAlmostEqual(account.value_share, 30 / 57)
                self.assertEqual(
                    [(c.name, c.count, c.lost_value) for c in account.causes],
                    [
                        ("refused_too_slow", 7, 21.0),
                        ("client_gone", 1, 6.0),
                    ],
                )
                self.assertAlmostEqual(account.causes[0].mean_wait_ms, 120 / 7)
                self.assertEqual(
                    [(row.name, row.request_count) for row in account.slices],
                    [
                        ("0 s", 11),
                        ("5 s", 6),
                        ("10 s", 1),
                    ],
                )
                self.assertEqual([row.request_count for row in account.groups], [18])
                self.assertAlmostEqual(account.prices["cross_zone_attempts"], 5 / 18)
                self.assertEqual(account.day_report.prices, {"cross_zone": 0.0478, "handshake": 0.015})  # type: ignore[union-attr]
        console = Console(width=200, file=StringIO())
        for table in format_tables(account):
            console.print(table)
        for text in ("expected to be too late (read 7)", "55.6% in time", "price: handshake", "0.4790"):
            self.assertIn(text, console.file.getvalue())  # type: ignore[attr-defined]

    def test_busy_routers_form_a_group_and_missing_logs_are_an_error(self) -> None:
        for index in range(10):
            self.write(
                f"n{index}", outcomes(5, "read", served=90 if index == 3 else 1, refused_queue_timeout=1)
            )
        rows = [(row.name, row.request_count) for row in build_account(read_logs([self.folder])).groups]
        self.assertEqual(rows, [("1 with 3 times the mean or more", 91), ("9 others", 18)])
        for index in range(10):
            self.write(f"n{index}")
        self.write("n0", "a line without an event")
        for paths in ([self.folder], [self.folder / "none.log"], []):
            with self.subTest(paths=paths), self.assertRaises(NoLogsError):
                read_logs(paths)
        self.assertEqual(parse_day_report("nothing of a day"), parse_day_report(""))


class OldLogsTest(unittest.TestCase):
    """Reads logs with the event and field names of versions before 0.3.0."""

    def account(self, text: str) -> LossAccount:
        with TemporaryDirectory() as folder:
            (Path(folder) / "n0.log").write_text(text, "utf-8")
            return build_account(read_logs([Path(folder)]))

    def test_an_old_log_and_a_new_one_give_the_same_account(self) -> None:
        old = RECORDED_LOG.read_text("utf-8")
        lines = [parse_record(line) for line in old.splitlines()]
        new = "".join(" ".join(f"{key}={value}" for key, value in one.items()) + "\n" for one in lines)
        self.assertNotIn("event=ends", new)
        self.assertEqual(new.count("event=request_outcomes"), 6)
        account = self.account(old)
        self.assertEqual(self.account(new), account)
        self.assertEqual(account.request_count, 13)
        self.assertEqual(
            sorted(cause.name for cause in account.causes),
            ["client_gone", "deadline_exceeded_no_time", "refused_no_endpoint"],
        )
        self.assertEqual(account.prices["upstream_connects"], 5 / 13)

    def test_no_parsed_line_of_the_recorded_log_has_an_old_name(self) -> None:
        old_words = {"envelopes", "owed", "sockets", "dials", "gone", "hops", "asks", "door_http", "half"}
        for line in RECORDED_LOG.read_text("utf-8").splitlines():
            with self.subTest(line=line):
                record = parse_record(line)
                self.assertNotIn(record["event"], EVENTS)
                self.assertFalse(old_words & set(record))
                self.assertEqual(len(record), line.count("="))
                self.assertEqual(parse_record(" ".join(f"{k}={v}" for k, v in record.items())), record)

    def test_each_old_field_name_is_translated_to_the_current_one(self) -> None:
        """Guards against renaming an enum member, which would silently rename a log field."""
        cases = [("counts", f"attempt_{one.value}", f"attempt_{one.name.lower()}") for one in Result]
        cases += [("ends", one.value, one.name.lower()) for one in RequestOutcome]
        cases += [
            ("ends", f"late_{one.value}_ms", f"deadline_exceeded_{one.name.lower()}_ms")
            for one in EndReason
            if one is not EndReason.UNSPECIFIED
        ]
        cases += [("connections", f"closed_{one.value}", f"closed_{one.name.lower()}") for one in CloseReason]
        cases += [
            ("connections", f"sockets_{one.value}", f"descriptors_{one.name.lower()}")
            for one in DescriptorUse
        ]
        for event, old, new in cases:
            with self.subTest(old=old):
                self.assertEqual(parse_record(f"event={event} {old}=3").get(new), "3")

    def test_the_translation_covers_only_logged_names_and_no_old_event_is_logged(self) -> None:
        logged = {
            node.value
            for path in (ROOT / "rosepick").rglob("*.py")
            for call in ast.walk(ast.parse(path.read_text("utf-8")))
            if isinstance(call, ast.Call) and ast.unparse(call.func) in ("log_event", "log_exception")
            for argument in call.args
            for node in ast.walk(argument)
            if isinstance(node, ast.Constant)
        }
        composed_names = {f"lease_{state.name.lower()}" for state in LeaseState}
        self.assertEqual({*EVENTS.values(), *FIELDS} - logged - composed_names, set())
        self.assertEqual(logged & set(EVENTS), set())

    def test_lines_are_found_by_old_and_current_event_names(self) -> None:
        for text in ("event=witness_votes name=w1", "event=replica_voting name=w1"):
            self.assertTrue(line_has_event(f"time=x {text}", "replica_voting"))
            self.assertFalse(line_has_event(f"time=x {text}", "replica_started"))
        self.assertFalse(line_has_event("replica_voting", "replica_voting"))


class RequestCountersTest(Scenario):
    """Checks the request counters of a serving engine."""

    def test_outcomes_are_counted_with_cause_and_duration(self) -> None:
        self.play("""
            c1 send GET /api/a Req-Deadline=1.000
            s1 expect GET /api/a
            wait 700
            s1 send 200 x
            c1 expect 200
            c1 send GET /api/b Req-Deadline=1.000
            s1 expect GET /api/b
            wait 1001
            c1 expect 504
        """)
        fields = next(self.server.engine.request_counters.iter_log_fields({0: "read"}, {0: 3.0}))
        self.assertEqual((fields["class"], fields["worth"], fields["served_late"]), ("read", 3.0, 1))
        self.assertTrue(700 <= int(str(fields["served_late_ms"])) < 750)
        self.assertEqual(
            [fields[name] for name in fields if name[:18] == "deadline_exceeded_" and name[-3:] != "_ms"], [1]
        )
        self.assertEqual(next(self.server.engine.request_counters.iter_log_fields({}, {}))["class"], "0")

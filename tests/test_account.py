"""The account of a day: what the engine enters, what is read out of logs, what is shown."""

from __future__ import annotations

import unittest
from io import StringIO
from pathlib import Path
from tempfile import TemporaryDirectory

from rich.console import Console

from rosepick.lab.account.day_report import parse_day_report
from rosepick.lab.account.log_reader import NoLogsError, read_logs
from rosepick.lab.account.loss_account import build_account
from rosepick.lab.account.tables import format_tables
from tests.scenario import Scenario

BEGIN = "time=2026-01-02T03:04:{:06.3f}Z level=info part=net.server event="
PRINTED = """site a  family cache  requests 30
G 0.6703   whole day 0.7924   worst 10 s 0.7373 (from 9 s)
prices: cross_zone 0.0478, handshake 0.0150
class read             served 0.8004
calm+mass                  G 0.670  floor 0.479  top 0.779  served 0.792
"""


def line(at: float, event: str, stamp: bool = True, **figures: object) -> str:
    """A router's line, with the bench's stamp in front or without."""
    told = " ".join(f"{name}={value}" for name, value in figures.items())
    return (f"{at:.3f} " if stamp else "") + BEGIN.format(at) + event + (f" {told}" if told else "")


def ends(at: float, klass: str, stamp: bool = True, **figures: object) -> str:
    return line(at, "ends", stamp, **{"class": klass}, **figures)


class Reads(unittest.TestCase):
    """Logs of several routers, in part damaged."""

    def setUp(self) -> None:
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def write(self, name: str, *lines: str) -> None:
        (self.folder / f"{name}.log").write_text("\n".join(lines), "utf-8")

    def test_differences_within_each_process_by_cause_slice_and_router(self) -> None:
        for stamp in (True, False):
            self.write(
                "n0",
                line(0, "serving", stamp),
                "Traceback (most recent call last):",
                ends(5, "read", stamp, worth=3.0, served=8, refused_slow=2, refused_slow_ms=20),
                ends(10, "read", stamp, worth=3.0, served=9, refused_slow=7, refused_slow_ms=120),
                line(10, "counts", stamp, attempts=20, crossings=4),
                line(11, "serving", stamp),  # another process: counts begin anew
                ends(15, "read", stamp, worth=3.0, served=1),
                line(15, "counts", stamp, attempts=2, crossings=1),
                "15.001 time=2026 event=ends class",
            )
            self.write("n1", line(0.5, "serving", stamp), ends(5.5, "write", stamp, worth=6.0, gone=1))
            found = build_account(read_logs([self.folder]), parse_day_report(PRINTED))
            with self.subTest(stamp=stamp):
                self.assertEqual((found.routers, found.starts, found.asked), (2, 3, 18))
                self.assertAlmostEqual(found.in_time, 10 / 18)
                self.assertAlmostEqual(found.worth, 30 / 57)
                self.assertEqual(
                    [(c.name, c.count, c.worth) for c in found.causes],
                    [
                        ("refused_slow", 7, 21.0),
                        ("gone", 1, 6.0),
                    ],
                )
                self.assertAlmostEqual(found.causes[0].waited, 120 / 7)
                self.assertEqual(
                    [(row.name, row.asked) for row in found.slices],
                    [
                        ("0 s", 11),
                        ("5 s", 6),
                        ("10 s", 1),
                    ],
                )
                self.assertEqual([row.asked for row in found.groups], [18])
                self.assertAlmostEqual(found.prices["crossings"], 5 / 18)
                self.assertEqual(found.printed.prices, {"cross_zone": 0.0478, "handshake": 0.015})  # type: ignore[union-attr]
        console = Console(width=200, file=StringIO())
        for made in format_tables(found):
            console.print(made)
        for text in ("expected to be too late (read 7)", "55.6% in time", "price: handshake", "0.4790"):
            self.assertIn(text, console.file.getvalue())  # type: ignore[attr-defined]

    def test_busy_routers_stand_apart_and_nothing_to_read_is_one_plain_line(self) -> None:
        for place in range(10):
            self.write(f"n{place}", ends(5, "read", served=90 if place == 3 else 1, refused_queue=1))
        rows = [(row.name, row.asked) for row in build_account(read_logs([self.folder])).groups]
        self.assertEqual(rows, [("1 with 3 times the mean or more", 91), ("9 others", 18)])
        for place in range(10):
            self.write(f"n{place}")
        self.write("n0", "no line of ours")
        for paths in ([self.folder], [self.folder / "none.log"], []):
            with self.subTest(paths=paths), self.assertRaises(NoLogsError):
                read_logs(paths)
        self.assertEqual(parse_day_report("nothing of a day"), parse_day_report(""))


class Enters(Scenario):
    """What the engine enters while it serves."""

    def test_ends_have_their_cause_and_the_time_until_then(self) -> None:
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
        told = next(self.server.engine.request_counters.iter_log_fields({0: "read"}, {0: 3.0}))
        self.assertEqual((told["class"], told["worth"], told["served_late"]), ("read", 3.0, 1))
        self.assertTrue(700 <= int(str(told["served_late_ms"])) < 750)
        self.assertEqual([told[name] for name in told if name[:5] == "late_" and name[-3:] != "_ms"], [1])
        self.assertEqual(next(self.server.engine.request_counters.iter_log_fields({}, {}))["class"], "0")

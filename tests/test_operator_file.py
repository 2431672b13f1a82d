"""The operators' file: its form, its faults, and how `serve` and SIGHUP take it."""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from rosepick.settings import operator_file
from rosepick.settings.operator_file import (
    ChoiceSetting,
    DurationSetting,
    IntegerSetting,
    OperatorFile,
    Setting,
)

from .scenario import Scenario

ROOT = Path(__file__).parent.parent
TABLE: tuple[Setting, ...] = (
    IntegerSetting("pigs", 4, minimum=2, maximum=64),
    DurationSetting("rest", 30.0, is_reloadable=True, minimum=1.0, maximum=60.0),
    ChoiceSetting("mood", "calm", choices=("calm", "wild")),
    Setting("sty"),
)


def read(text: str, table: tuple[Setting, ...] = TABLE) -> OperatorFile:
    return operator_file.read(text.encode(), "farm.conf", table)


class Form(unittest.TestCase):
    def test_values_comments_and_blanks(self) -> None:
        found = read("# a farm\n\n  pigs\t 7   # seven\nsty /srv/a b#c\r\nrest 2.5 s\n")
        self.assertEqual(found.faults, ())
        self.assertEqual(dict(found.values), {"pigs": 7, "rest": 2.5, "mood": "calm", "sty": "/srv/a b#c"})

    def test_nothing_stated_is_all_defaults(self) -> None:
        for text in ("", "\n", "# only words", "\ufeff"):
            self.assertEqual(
                list(read(text).effective_lines()),
                [
                    "pigs 4 (default)",
                    "rest 30 s (default)",
                    "mood calm (default)",
                    "sty not set (default)",
                ],
            )

    def test_values_in_force_name_their_lines(self) -> None:
        self.assertIn("rest 5 s (farm.conf line 2)", list(read("\nrest 5s").effective_lines()))

    def faults(self, text: str) -> list[str]:
        return [str(fault) for fault in read(text).faults]

    def test_each_fault_names_its_place(self) -> None:
        self.assertEqual(
            self.faults("pigs 1\npigs 3\npigs 4\nrest soon\nmood grim\npigz 3\nsty\nqqq 1"),
            [
                'farm.conf line 1: pigs "1" is not a whole number from 2 to 64',
                "farm.conf line 3: pigs is set already on line 2",
                'farm.conf line 4: rest "soon" is not a time from 1 to 60 s',
                'farm.conf line 5: mood "grim" is not one of calm, wild',
                "farm.conf line 6: pigz is no setting; did you mean pigs?",
                "farm.conf line 7: sty has no value",
                "farm.conf line 8: qqq is no setting",
            ],
        )

    def test_odd_numbers_are_none(self) -> None:
        for value in ("-3", "+3", "3.0", "1_0", "٣", "9" * 400, "0x10", "3 4"):
            self.assertEqual(len(self.faults(f"pigs {value}")), 1, value)

    def test_a_line_that_is_not_utf_8_leaves_the_others(self) -> None:
        found = operator_file.read(b"sty \xff\xfe\npigs 5\n", "farm.conf", TABLE)
        self.assertEqual([str(fault) for fault in found.faults], ["farm.conf line 1: not UTF-8"])
        self.assertEqual(found.values["pigs"], 5)

    def test_a_file_that_cannot_be_read_is_one_fault(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            for path in (Path(folder) / "none.conf", Path(folder)):
                found = operator_file.read_file(path, TABLE)
                self.assertEqual(len(found.faults), 1)
                self.assertTrue(str(found.faults[0]).startswith(f"{path.name}: "))

    def test_the_projects_own_file_has_no_fault(self) -> None:
        self.assertEqual(operator_file.read_file(ROOT / "deploy" / "rosepick.conf").faults, ())


class CommandLine(unittest.TestCase):
    def test_serve_does_not_start_on_a_fault(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "rosepick.conf"
            path.write_text("colour red\nshape\n")
            ended = subprocess.run(
                [sys.executable, "-m", "rosepick", "serve", "-f", str(path)],
                cwd=ROOT,
                text=True,
                env={**os.environ, "GW_CONFIG": "/nowhere"},
                capture_output=True,
                timeout=60,
            )
        self.assertEqual(ended.returncode, 1)
        self.assertIn("rosepick: rosepick.conf line 1: colour is no setting\n", ended.stderr)
        self.assertIn("rosepick: rosepick.conf line 2: shape is no setting\n", ended.stderr)


class Reload(Scenario):
    discoveries = ("d", "e")

    def test_a_fault_in_one_file_does_not_hold_up_the_other(self) -> None:
        table = (*operator_file.SETTINGS, *TABLE)
        good, bad = read("pigs 7\nrest 5", table), read("pigs 7\npigs 9", table)
        self.server.operator_settings.file = self.server.initial_operator_file = read("", table)
        self.says(bad)
        self.file["discovery"] = f"127.0.0.1:{self.port('e')}"
        with self.assertLogs("rosepick", "INFO") as said:
            self.play("router reload\ne expect GET /v1/endpoints HTTP/1.1")
        events = {line.getMessage(): vars(line)["fields"] for line in said.records}
        self.assertEqual(
            str(events["operator_file_failed"]["text"]), "farm.conf line 2: pigs is set already on line 1"
        )
        self.assertEqual(self.server.operator_settings.file.values["pigs"], 4)
        self.says(good)
        self.file["listen"] = "here"
        with self.assertLogs("rosepick", "INFO") as said:
            self.play("router reload")
        events = {line.getMessage(): vars(line)["fields"] for line in said.records}
        self.assertEqual(set(events), {"config_reload_failed", "operator_file_reloaded"})
        told = events["operator_file_reloaded"]
        self.assertEqual((told["changed"], told["needs_restart"]), ("pigs,rest", "pigs"))
        self.assertEqual(self.server.operator_settings.file.values["pigs"], 7)

    def says(self, found: OperatorFile) -> None:
        """What the operators' file says from here on."""
        self.server.operator_settings.reload = lambda: operator_file.require_valid(found)

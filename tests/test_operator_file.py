"""The operators' file: its syntax, its errors, and its use by `serve` and at a reload."""

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


class SyntaxTest(unittest.TestCase):
    def test_comments_and_spaces_do_not_change_values(self) -> None:
        found = read("# a farm\n\n  pigs\t 7   # seven\nsty /srv/a b#c\r\nrest 2.5 s\n")
        self.assertEqual(found.faults, ())
        self.assertEqual(dict(found.values), {"pigs": 7, "rest": 2.5, "mood": "calm", "sty": "/srv/a b#c"})

    def test_an_empty_file_has_all_defaults(self) -> None:
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

    def test_effective_values_name_their_lines(self) -> None:
        self.assertIn("rest 5 s (farm.conf line 2)", list(read("\nrest 5s").effective_lines()))

    def read_errors(self, text: str) -> list[str]:
        return [str(fault) for fault in read(text).faults]

    def test_all_errors_are_reported_with_their_lines(self) -> None:
        self.assertEqual(
            self.read_errors("pigs 1\npigs 3\npigs 4\nrest soon\nmood grim\npigz 3\nsty\nqqq 1"),
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

    def test_numbers_in_other_notations_are_errors(self) -> None:
        for value in ("-3", "+3", "3.0", "1_0", "٣", "9" * 400, "0x10", "3 4"):
            self.assertEqual(len(self.read_errors(f"pigs {value}")), 1, value)

    def test_a_line_that_is_not_utf_8_does_not_affect_other_lines(self) -> None:
        found = operator_file.read(b"sty \xff\xfe\npigs 5\n", "farm.conf", TABLE)
        self.assertEqual([str(fault) for fault in found.faults], ["farm.conf line 1: not UTF-8"])
        self.assertEqual(found.values["pigs"], 5)

    def test_an_unreadable_file_is_one_error(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            for path in (Path(folder) / "none.conf", Path(folder)):
                found = operator_file.read_file(path, TABLE)
                self.assertEqual(len(found.faults), 1)
                self.assertTrue(str(found.faults[0]).startswith(f"{path.name}: "))

    def test_the_deployed_file_has_no_error(self) -> None:
        self.assertEqual(operator_file.read_file(ROOT / "deploy" / "rosepick.conf").faults, ())


class CommandLineTest(unittest.TestCase):
    def test_serve_does_not_start_with_an_invalid_file(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "rosepick.conf"
            path.write_text("colour red\nshape\n")
            process = subprocess.run(
                [sys.executable, "-m", "rosepick", "serve", "-f", str(path)],
                cwd=ROOT,
                text=True,
                env={**os.environ, "GW_CONFIG": "/nowhere"},
                capture_output=True,
                timeout=60,
            )
        self.assertEqual(process.returncode, 1)
        self.assertIn("rosepick: rosepick.conf line 1: colour is no setting\n", process.stderr)
        self.assertIn("rosepick: rosepick.conf line 2: shape is no setting\n", process.stderr)


class ReloadTest(Scenario):
    discoveries = ("d", "e")

    def test_an_error_in_one_file_does_not_prevent_the_reload_of_the_other(self) -> None:
        table = (*operator_file.SETTINGS, *TABLE)
        valid = read("pigs 7\nrest 5", table)
        invalid = read("pigs 7\npigs 9", table)
        self.server.operator_settings.file = self.server.initial_operator_file = read("", table)
        self.set_file(invalid)
        self.file["discovery"] = f"127.0.0.1:{self.port('e')}"
        with self.assertLogs("rosepick", "INFO") as logs:
            self.play("router reload\ne expect GET /v1/endpoints HTTP/1.1")
        events = {line.getMessage(): vars(line)["fields"] for line in logs.records}
        self.assertEqual(
            str(events["operator_file_failed"]["text"]), "farm.conf line 2: pigs is set already on line 1"
        )
        self.assertEqual(self.server.operator_settings.file.values["pigs"], 4)
        self.set_file(valid)
        self.file["listen"] = "here"
        with self.assertLogs("rosepick", "INFO") as logs:
            self.play("router reload")
        events = {line.getMessage(): vars(line)["fields"] for line in logs.records}
        self.assertEqual(set(events), {"config_reload_failed", "operator_file_reloaded"})
        reloaded = events["operator_file_reloaded"]
        self.assertEqual((reloaded["changed"], reloaded["needs_restart"]), ("pigs,rest", "pigs"))
        self.assertEqual(self.server.operator_settings.file.values["pigs"], 7)

    def set_file(self, file: OperatorFile) -> None:
        """Let the next reload return this file, or raise its errors."""
        self.server.operator_settings.reload = lambda: operator_file.require_valid(file)

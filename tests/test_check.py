"""The command `rosepick check`: faults that it has to report, unusual files, and the effective values."""

from __future__ import annotations

import copy
import json
import os
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from typing import Any

from .scenario import SETTINGS, target

ROOT = Path(__file__).parent.parent
GOOD: dict[str, Any] = {
    "name": "n3",
    "listen": "127.0.0.1:5000",
    "discovery": "127.0.0.1:8500",
    "seed": "1f",
    "limits": {"memory_mb": 192, "sockets": 1024},
    "settings": SETTINGS,
    "known": {"rev": 41, "all": True, "targets": [target("s1", 5001), target("origin", 5002)]},
}
# runs the program and exits immediately with status 9 if anything opens a socket
NO_SOCKETS = """
import os, runpy, sys
sys.addaudithook(lambda event, given: os._exit(9) if event == "socket.__new__" else None)
runpy.run_module("rosepick", run_name="__main__")
"""


class CheckCommandTests(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.document = copy.deepcopy(GOOD)

    def check(
        self, conf: str | bytes | None = "", config: str | None = None
    ) -> tuple[int, list[str], list[str]]:
        """Return the exit status, the faults and the effective values."""
        path = self.folder / "rosepick.conf"
        if conf is not None:
            path.write_bytes(conf if isinstance(conf, bytes) else conf.encode())
        config_path = self.folder / "config.json"
        config_path.write_text(json.dumps(self.document) if config is None else config)
        completed = subprocess.run(
            [sys.executable, "-c", NO_SOCKETS, "check", "-f", str(path)],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=60,
            env={**os.environ, "GW_CONFIG": str(config_path)},
        )
        self.assertEqual(completed.stderr, "")
        faults, blank, values = completed.stdout.rpartition("\n\n")
        return completed.returncode, faults.splitlines(), values.splitlines()

    def test_faults_of_both_files_are_reported_at_once(self) -> None:
        """A misspelled name, a value out of range, and a setting that GW_CONFIG lacks are all reported."""
        del self.document["limits"]["memory_mb"]
        status, faults, values = self.check("# ours\ncapture_segmets 4\n\ncapture_segment_kb 9000 # big\n")
        self.assertEqual(
            (status, faults),
            (
                1,
                [
                    "rosepick.conf line 2: capture_segmets is no setting; did you mean capture_segments?",
                    'rosepick.conf line 4: capture_segment_kb "9000" is not a whole number from 4 to 768',
                    "GW_CONFIG limits.memory_mb: missing",
                ],
            ),
        )
        self.assertIn("capture_segments 4 (default)", values)

    def test_valid_files_show_each_effective_value_with_its_source(self) -> None:
        status, faults, values = self.check("capture_segments 3")
        self.assertEqual((status, faults), (0, []))
        for value in (
            "capture_segments 3 (rosepick.conf line 1)",
            "capture_segment_kb 192 (default)",
            "capture_dir not set (default)",
            "listen 127.0.0.1:5000 (GW_CONFIG)",
            "limits.memory_mb 192 (GW_CONFIG)",
            "settings.rules.ask_every 10000.0 (GW_CONFIG)",
            "settings.rules.fall 3000.0 (default)",
            "settings.tenants acme, beta (GW_CONFIG)",
        ):
            self.assertIn(value, values)

    def test_capture_ring_over_768_kib_is_a_fault(self) -> None:
        status, faults, _ = self.check("capture_segment_kb 256\ncapture_segments 4\n")
        self.assertEqual(
            (status, faults),
            (
                1,
                [
                    "rosepick.conf line 2: capture_segments 4 of capture_segment_kb 256 make a ring of "
                    "1024 KiB, "
                    "more than 768",
                ],
            ),
        )

    def test_repeated_name_cites_both_lines(self) -> None:
        _, faults, values = self.check("capture_segments 3\ncapture_segments 2")
        self.assertEqual(faults, ["rosepick.conf line 2: capture_segments is set already on line 1"])
        self.assertIn("capture_segments 3 (rosepick.conf line 1)", values)

    def test_missing_capture_folder_is_a_fault(self) -> None:
        _, faults, _ = self.check("capture_dir /nowhere/at all")
        self.assertEqual(
            faults, ['rosepick.conf line 1: capture_dir "/nowhere/at all" is no folder that can be written']
        )

    def test_empty_crlf_bom_and_non_utf8_files(self) -> None:
        for conf, expected in (
            (b"", []),
            (b"capture_segments 3\r\n", []),
            (b"\xef\xbb\xbfcapture_segments 3", []),
            (b"capture_segments \xff\n", ["rosepick.conf line 1: not UTF-8"]),
        ):
            status, faults, _ = self.check(conf)
            self.assertEqual((status, faults), (len(expected), expected), conf)

    def test_missing_file_is_a_fault(self) -> None:
        status, faults, _ = self.check(None)
        self.assertEqual((status, faults), (1, ["rosepick.conf: No such file or directory"]))

    def test_operators_file_is_checked_although_config_is_unreadable(self) -> None:
        for text in ("{", "[]", '"x"', "{}" * 2):
            status, faults, values = self.check("capture_segments 0", text)
            self.assertEqual(status, 1)
            self.assertIn('rosepick.conf line 1: capture_segments "0" is not', faults[0])
            self.assertTrue(faults[1].startswith("GW_CONFIG"), faults)
            self.assertIn("capture_segment_kb 192 (default)", values)

    def test_missing_config_is_a_fault(self) -> None:
        for path in ("", "/nowhere/config.json"):
            completed = subprocess.run(
                [sys.executable, "-m", "rosepick", "check"],
                cwd=ROOT,
                capture_output=True,
                text=True,
                timeout=60,
                env={**os.environ, "GW_CONFIG": path},
            )
            self.assertEqual(completed.returncode, 1)
            self.assertRegex(
                completed.stdout, r"\AGW_CONFIG: (not set|/nowhere/config.json: No such file.*)\n\n"
            )

    def test_all_faults_of_the_config_are_reported_at_once(self) -> None:
        self.document.update(listen="here", seed="xyz", name=7)
        self.document["settings"] = copy.deepcopy(SETTINGS)
        self.document["settings"]["rules"] = {"fall": -1, "warm_within": -2, "ask_every": "often"}
        self.document["settings"]["request_classes"][1]["effect"] = "odd"
        self.document["settings"]["limits"]["max_attempts"] = "soon"
        del self.document["settings"]["request_classes"][0]["deadline"]
        self.document["known"]["targets"][1]["state"] = "asleep"
        self.document["known"]["targets"][0]["endpoint"] = "x"
        status, faults, _ = self.check()
        self.assertEqual(status, 1)
        for start in (
            "name: 7, not a text",
            "listen: 'here', not an address",
            "seed: 'xyz', not a hexadecimal number",
            "settings.limits.max_attempts: 'soon', not a number",
            "settings.rules.ask_every: 'often', not a number",
            "rules.fall: -1.0; it must be",
            "rules.warm_within: -2.0; it must be",
            "settings.request_classes[0].deadline: missing",
            "settings.request_classes[1].effect: 'odd'; it must be one of",
            "known.targets[1].state: 'asleep', not one of active, leaving, left",
            "known.targets[0].endpoint: 'x', not an address",
        ):
            self.assertTrue(any(fault.startswith(f"GW_CONFIG {start}") for fault in faults), (start, faults))
        self.assertEqual(len(faults), 11, faults)

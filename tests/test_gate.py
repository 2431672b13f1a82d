"""The limit on fetches at the origin regrows from wherever a cut has left it."""

from __future__ import annotations

import unittest

from rosepick.decisions import api
from rosepick.decisions.decide import OriginAdmission

from .driver import settings


class Gate(unittest.TestCase):
    def test_regrows_from_every_limit(self) -> None:
        for tenths in range(10, 60):
            origin = OriginAdmission(settings(mode=api.Mode.ASIDE))
            origin.limit = start = tenths / 10
            now = 0.0
            for _ in range(4):  # good fetches, as many at once as the limit lets out
                now += 100.0
                out = 0
                while origin.admits(now):
                    origin.add_in_flight(now, 1)
                    out += 1
                for _ in range(out):
                    origin.add_in_flight(now, -1)
                    origin.record_fetch(now, 20.0, True)
            self.assertGreater(origin.limit, start)

"""The telemetry document: what the router reports of itself, as JSON on one line."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass

from ..core.account import End

OUTCOMES = {
    End.SERVED: "success",
    End.REFUSED: "busy",
    End.FAILED: "failure",
    End.LATE: "failure",
    End.BROKE: "failure",
}
"""The figure that each end counts to. A client that has gone was told nothing."""


@dataclass(frozen=True, slots=True)
class Figures:
    """The figures at one moment. Classes are named by place; ones that vanished keep theirs."""

    classes: Mapping[int, str]
    ended: Mapping[tuple[int, End], int]
    unfit: Mapping[int, int]  # requests that could not be taken, by class
    written: Mapping[int, int]  # attempts written whole, by class
    inflight: int
    hosts_listed: int
    hosts_down: int
    reconfig_ok: int
    reconfig_failed: int

    def document(self) -> dict[str, object]:
        """As a JSON object."""
        return {
            "calls": {name: self._calls(place) for place, name in self.classes.items()},
            "backend_calls": sum(self.written.values()),
            "inflight": self.inflight,
            "hosts_listed": self.hosts_listed,
            "hosts_down": self.hosts_down,
            "reconfig_ok": self.reconfig_ok,
            "reconfig_failed": self.reconfig_failed,
        }

    def line(self) -> str:
        """As one line of text."""
        return json.dumps(self.document(), separators=(",", ":"))

    def _calls(self, place: int) -> dict[str, int]:
        failed, written = self.unfit.get(place, 0), self.written.get(place, 0)
        found = {"success": 0, "busy": 0, "failure": failed, "backend_calls": written}
        for end, figure in OUTCOMES.items():
            found[figure] += self.ended.get((place, end), 0)
        return found

"""The telemetry document: what the router reports of itself, as JSON on one line."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass

from ..core.request_counters import RequestOutcome

COUNTER_BY_END = {
    RequestOutcome.SERVED: "success",
    RequestOutcome.REFUSED: "busy",
    RequestOutcome.FAILED: "failure",
    RequestOutcome.DEADLINE_EXCEEDED: "failure",
    RequestOutcome.INTERNAL_ERROR: "failure",
}
"""The figure that each end counts to. A client that has gone was told nothing."""


@dataclass(frozen=True, slots=True)
class TelemetrySnapshot:
    """The figures at one moment. Classes are named by place; ones that vanished keep theirs."""

    class_names: Mapping[int, str]
    ended_counts: Mapping[tuple[int, RequestOutcome], int]
    rejected_counts: Mapping[int, int]  # requests that could not be taken, by class
    written_counts: Mapping[int, int]  # attempts written whole, by class
    inflight: int
    hosts_listed: int
    hosts_down: int
    reconfig_ok: int
    reconfig_failed: int

    def document(self) -> dict[str, object]:
        """As a JSON object."""
        return {
            "calls": {name: self._class_counters(place) for place, name in self.class_names.items()},
            "backend_calls": sum(self.written_counts.values()),
            "inflight": self.inflight,
            "hosts_listed": self.hosts_listed,
            "hosts_down": self.hosts_down,
            "reconfig_ok": self.reconfig_ok,
            "reconfig_failed": self.reconfig_failed,
        }

    def line(self) -> str:
        """As one line of text."""
        return json.dumps(self.document(), separators=(",", ":"))

    def _class_counters(self, class_index: int) -> dict[str, int]:
        failed, written = self.rejected_counts.get(class_index, 0), self.written_counts.get(class_index, 0)
        found = {"success": 0, "busy": 0, "failure": failed, "backend_calls": written}
        for end, figure in COUNTER_BY_END.items():
            found[figure] += self.ended_counts.get((class_index, end), 0)
        return found

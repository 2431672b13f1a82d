"""Encodes the telemetry document: the counters of the router as JSON on one line."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass

from ..core.request_counters import RequestOutcome

COUNTER_BY_OUTCOME = {
    RequestOutcome.SERVED: "success",
    RequestOutcome.REFUSED: "busy",
    RequestOutcome.FAILED: "failure",
    RequestOutcome.DEADLINE_EXCEEDED: "failure",
    RequestOutcome.INTERNAL_ERROR: "failure",
}
"""Counter of the request class by outcome. No counter includes requests whose client disconnected."""


@dataclass(frozen=True, slots=True)
class TelemetrySnapshot:
    """Holds the counters at one time. Classes are identified by index, including removed classes.

    Fields have the names of the keys in the document.
    """

    class_names: Mapping[int, str]
    ended_counts: Mapping[tuple[int, RequestOutcome], int]  # requests that ended, by class and outcome
    rejected_counts: Mapping[int, int]  # requests that were not accepted, by class
    written_counts: Mapping[int, int]  # attempts that were written completely, by class
    inflight: int
    hosts_listed: int
    hosts_down: int
    reconfig_ok: int
    reconfig_failed: int
    violations: int = 0  # violations of invariants since the start

    def document(self) -> dict[str, object]:
        """Return the document as a JSON object."""
        return {
            "calls": {name: self._class_counters(index) for index, name in self.class_names.items()},
            "backend_calls": sum(self.written_counts.values()),
            "inflight": self.inflight,
            "hosts_listed": self.hosts_listed,
            "hosts_down": self.hosts_down,
            "reconfig_ok": self.reconfig_ok,
            "reconfig_failed": self.reconfig_failed,
            "violations": self.violations,
        }

    def line(self) -> str:
        """Return the document as one line of text."""
        return json.dumps(self.document(), separators=(",", ":"))

    def _class_counters(self, class_index: int) -> dict[str, int]:
        counters = {
            "success": 0,
            "busy": 0,
            "failure": self.rejected_counts.get(class_index, 0),
            "backend_calls": self.written_counts.get(class_index, 0),
        }
        for outcome, counter in COUNTER_BY_OUTCOME.items():
            counters[counter] += self.ended_counts.get((class_index, outcome), 0)
        return counters

"""Counters of finished requests by class, outcome and cause, with the time that they took.

There are two numbers for each combination, whatever the traffic. They are logged as totals since the start,
so that the difference of two log lines is what happened between them.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Mapping
from enum import Enum


class RequestOutcome(Enum):
    """How a request ended."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    TIMED_OUT = "late"  # failed at its deadline
    CLIENT_GONE = "gone"  # the client disconnected first
    INTERNAL_ERROR = "broke"  # failed by a fault of this program


class RequestCounters:
    """Totals by class index and label: the outcome's value, followed by `_` and the cause if there is one."""

    def __init__(self) -> None:
        self.counts: Counter[tuple[int, str]] = Counter()
        self.total_ms: Counter[tuple[int, str]] = Counter()  # sum of the requests' durations, milliseconds

    def record(self, class_index: int, outcome: RequestOutcome, cause: str, elapsed_ms: float) -> None:
        """Count a finished request.

        Args:
            class_index: the index of its request class.
            outcome: how it ended.
            cause: why it ended so, or "".
            elapsed_ms: milliseconds from its arrival to its end.
        """
        key = class_index, f"{outcome.value}_{cause}" if cause else outcome.value
        self.counts[key] += 1
        self.total_ms[key] += elapsed_ms  # type: ignore[assignment]

    def counts_by_outcome(self) -> Counter[tuple[int, RequestOutcome]]:
        """Return the counts by class index and outcome, whatever the causes."""
        totals: Counter[tuple[int, RequestOutcome]] = Counter()
        for (class_index, label), count in self.counts.items():
            totals[class_index, RequestOutcome(label.partition("_")[0])] += count
        return totals

    def iter_log_fields(
        self, names: Mapping[int, str], worths: Mapping[int, float]
    ) -> Iterator[dict[str, object]]:
        """Yield the log fields of each class that has finished requests.

        These are its name, the worth of a request, the count of each label and, under the label with `_ms`
        appended, the milliseconds in all.

        Args:
            names: the names of classes by index.
            worths: the worth of a request by class index.
        """
        for class_index in sorted({index for index, _ in self.counts}):
            fields: dict[str, object] = {
                "class": names.get(class_index, str(class_index)),
                "worth": float(worths.get(class_index, 0.0)),
            }
            for label in sorted(label for index, label in self.counts if index == class_index):
                fields[label] = self.counts[class_index, label]
                fields[f"{label}_ms"] = int(self.total_ms[class_index, label])
            yield fields

"""Counters of finished requests by class, outcome and cause, with their total duration.

There are two numbers for each combination, whatever the traffic. They are logged as totals since the start,
so that the difference of two log lines is the traffic between them.
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
    DEADLINE_EXCEEDED = "late"  # failed at its deadline
    CLIENT_GONE = "gone"  # the client disconnected first
    INTERNAL_ERROR = "broke"  # failed because of a fault of this program


class RequestCounters:
    """Totals of finished requests by class index, outcome and cause; the cause is "" if there is none."""

    def __init__(self) -> None:
        self.counts: Counter[tuple[int, RequestOutcome, str]] = Counter()
        self.total_ms: Counter[tuple[int, RequestOutcome, str]] = Counter()  # sum of durations

    def record(self, class_index: int, outcome: RequestOutcome, cause: str, elapsed_ms: float) -> None:
        """Count a finished request.

        Args:
            class_index: the index of its request class.
            outcome: how it ended.
            cause: the reason for the outcome, or "".
            elapsed_ms: milliseconds from its arrival to its end.
        """
        key = class_index, outcome, cause
        self.counts[key] += 1
        self.total_ms[key] += elapsed_ms  # type: ignore[assignment]

    def counts_by_outcome(self) -> Counter[tuple[int, RequestOutcome]]:
        """Return the counts by class index and outcome, whatever their causes."""
        totals: Counter[tuple[int, RequestOutcome]] = Counter()
        for (class_index, outcome, _), count in self.counts.items():
            totals[class_index, outcome] += count
        return totals

    def iter_log_fields(
        self, names: Mapping[int, str], worths: Mapping[int, float]
    ) -> Iterator[dict[str, object]]:
        """Yield the log fields of each class that has finished requests.

        The fields are the name of the class, the value of a request (`worth`), the counts by outcome and
        cause, and for each count the total milliseconds, under the same name with `_ms`.

        Args:
            names: the names of classes by index.
            worths: the value of a request by class index.
        """
        for class_index in sorted({index for index, _, _ in self.counts}):
            fields: dict[str, object] = {
                "class": names.get(class_index, str(class_index)),
                "worth": float(worths.get(class_index, 0.0)),
            }
            keys = [key for key in self.counts if key[0] == class_index]
            for key in sorted(keys, key=_field_name):
                fields[_field_name(key)] = self.counts[key]
                fields[f"{_field_name(key)}_ms"] = int(self.total_ms[key])
            yield fields


def _field_name(key: tuple[int, RequestOutcome, str]) -> str:
    _, outcome, cause = key
    name = outcome.name.lower()
    return f"{name}_{cause}" if cause else name

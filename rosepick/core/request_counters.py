"""Counters of request outcomes by class, outcome and cause, with the time until then.

There are two numbers for each of them, whatever the traffic. The log has them as totals since the start, so
that the difference of two lines is what happened between them.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Mapping
from enum import Enum


class RequestOutcome(Enum):
    """How an envelope ended."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    DEADLINE_EXCEEDED = "late"  # failed, as its time was over
    CLIENT_GONE = "gone"  # its sender side has left
    INTERNAL_ERROR = "broke"  # by a fault of this program


class RequestCounters:
    """Requests that have ended, by class, outcome and cause; the cause is empty where there is none."""

    def __init__(self) -> None:
        self.counts: Counter[tuple[int, RequestOutcome, str]] = Counter()
        self.total_ms: Counter[tuple[int, RequestOutcome, str]] = Counter()  # time until the outcome, summed

    def record(self, class_index: int, outcome: RequestOutcome, cause: str, elapsed_ms: float) -> None:
        """Count a request that ended so many milliseconds after it arrived."""
        key = class_index, outcome, cause
        self.counts[key] += 1
        self.total_ms[key] += elapsed_ms  # type: ignore[assignment]

    def counts_by_outcome(self) -> Counter[tuple[int, RequestOutcome]]:
        """Return the counts by class and outcome, whatever their causes."""
        found: Counter[tuple[int, RequestOutcome]] = Counter()
        for (class_index, outcome, _), count in self.counts.items():
            found[class_index, outcome] += count
        return found

    def iter_log_fields(
        self, names: Mapping[int, str], worths: Mapping[int, float]
    ) -> Iterator[dict[str, object]]:
        """Yield the log fields of each class that has outcomes.

        They are the name of the class, the worth of a request, the counts by outcome and cause, and beside
        each count the summed milliseconds, under the same name with `_ms`.
        """
        for place in sorted({class_index for class_index, _, _ in self.counts}):
            fields: dict[str, object] = {
                "class": names.get(place, str(place)),
                "worth": float(worths.get(place, 0.0)),
            }
            keys = [key for key in self.counts if key[0] == place]
            for key in sorted(keys, key=_field_name):
                fields[_field_name(key)] = self.counts[key]
                fields[f"{_field_name(key)}_ms"] = int(self.total_ms[key])
            yield fields


def _field_name(key: tuple[int, RequestOutcome, str]) -> str:
    _, outcome, cause = key
    name = outcome.name.lower()
    return f"{name}_{cause}" if cause else name

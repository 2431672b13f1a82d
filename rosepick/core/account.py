"""How envelopes ended and to what they were lost: an account by class, end and cause, in counts and in time.

It holds two numbers for each of them, whatever the traffic, and goes into the log as figures since the start,
so that whoever reads two lines has what lay between them.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Mapping
from enum import Enum


class End(Enum):
    """How an envelope ended."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    LATE = "late"  # failed, as its time was over
    GONE = "gone"  # its sender side has left
    BROKE = "broke"  # by a fault of this program


class Account:
    """Ends by class and name; a name is the end's, and the cause's behind a `_` where there is one."""

    def __init__(self) -> None:
        self.ends: Counter[tuple[int, str]] = Counter()
        self.waited: Counter[tuple[int, str]] = Counter()  # milliseconds until then, in all

    def add(self, klass: int, end: End, cause: str, took: float) -> None:
        """An envelope has its end, so many milliseconds after it came."""
        key = klass, f"{end.value}_{cause}" if cause else end.value
        self.ends[key] += 1
        self.waited[key] += took  # type: ignore[assignment]

    def by_end(self) -> Counter[tuple[int, End]]:
        """Ends by class, whatever their causes."""
        found: Counter[tuple[int, End]] = Counter()
        for (klass, name), count in self.ends.items():
            found[klass, End(name.partition("_")[0])] += count
        return found

    def lines(self, names: Mapping[int, str], worths: Mapping[int, float]) -> Iterator[dict[str, object]]:
        """For each class that has ends: its name, the worth of a request, counts by name, and beside each the
        milliseconds in all, under the name with `_ms`.
        """
        for place in sorted({klass for klass, _ in self.ends}):
            found: dict[str, object] = {
                "class": names.get(place, str(place)),
                "worth": float(worths.get(place, 0.0)),
            }
            for name in sorted(name for klass, name in self.ends if klass == place):
                found[name] = self.ends[place, name]
                found[f"{name}_ms"] = int(self.waited[place, name])
            yield found

"""Compares the requests of a capture with their replay, and reports the differences."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from . import record_format
from .record_format import ArrivalRecord, FinalAnswerRecord

STATUS_SERVED = 200
_DECISION_BY_STATUS = {200: "served", 503: "refused", 502: "failed", 504: "failed", 499: "gone", 500: "broke"}
"""Decisions by HTTP status. 502 and 504 are one decision: timing alone determines which one a client gets."""


@dataclass(slots=True, eq=False)
class ReplayedAttempt:
    """Holds an attempt of the replay; times are in milliseconds of the capture's clock."""

    endpoint_id: int
    uid: str
    sent_at: float
    stop_at: float
    in_flight: bool = True
    is_cancelled: bool = False


@dataclass(slots=True)
class ReplayedRequest:
    """Holds the recorded and the replayed decisions about a request."""

    arrival: ArrivalRecord
    recorded_uids: list[str] = field(default_factory=list)  # endpoints of the recorded attempts
    final_record: FinalAnswerRecord | None = None
    attempts: list[ReplayedAttempt] = field(default_factory=list)
    status: int | None = None  # status of the final answer in the replay
    answered_at: float = 0.0

    def attempt_in_flight(self, number: int) -> ReplayedAttempt | None:
        """Return the attempt with this number, or None if it was not sent or has ended."""
        if number >= len(self.attempts) or not self.attempts[number].in_flight:
            return None
        return self.attempts[number]

    def is_different(self, capture_end: float) -> bool:
        """Return whether the decisions differ, in a capture that ends at `capture_end` (ms, capture's clock).

        A capture may end between an event and the records of the resulting decisions. Decisions whose records
        are missing for this reason do not count as differences.
        """
        recorded_decision = self._recorded_decision()
        replayed_decision = None if self.status is None else _DECISION_BY_STATUS.get(self.status)
        if self.final_record is None and self.answered_at >= capture_end:
            replayed_decision = None
        if self._lacks_serving_outcome():
            recorded_decision = replayed_decision
        return (
            self.recorded_uids != self._comparable_uids(capture_end) or recorded_decision != replayed_decision
        )

    def _recorded_decision(self) -> str | None:
        return None if self.final_record is None else _DECISION_BY_STATUS.get(self.final_record.status)

    def _lacks_serving_outcome(self) -> bool:
        """Return whether the final answer was recorded, but the capture ends before the outcome behind it."""
        return (
            self.final_record is not None
            and self.final_record.status == STATUS_SERVED
            and bool(self.attempts)
            and self.attempts[-1].in_flight
        )

    def _comparable_uids(self, capture_end: float) -> list[str]:
        """Return the uids of the endpoints to which the replay sent attempts, in order.

        The last one is omitted if it was sent at or after `capture_end` (milliseconds on the capture's clock)
        and the capture lacks it, because its record may be missing for this reason only.
        """
        uids = [attempt.uid for attempt in self.attempts]
        if (
            self.final_record is None
            and self.attempts
            and self.attempts[-1].sent_at >= capture_end
            and len(self.recorded_uids) < len(uids)
        ):
            uids.pop()
        return uids

    def recorded_line(self) -> str:
        """Return the recorded final answer or arrival, with all endpoints that were tried."""
        record = self.arrival if self.final_record is None else self.final_record
        return record.text().rstrip("\n") + _format_tried(self.recorded_uids)

    def replayed_line(self) -> str:
        """Return the final answer of the replay, with all endpoints that were tried."""
        uids = [attempt.uid for attempt in self.attempts]
        last_uid = uids[-1] if uids else record_format.NONE
        if self.final_record is None or self.status is None:
            status = "open" if self.status is None else str(self.status)
            return f"-> {last_uid} {status}" + _format_tried(uids)
        final_record = self.final_record._replace(uid=last_uid, status=self.status)
        return final_record.text().rstrip("\n") + _format_tried(uids)


def _format_tried(uids: list[str]) -> str:
    return f" (tried {', '.join(uids)})" if len(uids) > 1 else ""


@dataclass(slots=True)
class ReplayReport:
    """Holds the results of a replay."""

    compared_count: int = 0
    differing: list[ReplayedRequest] = field(default_factory=list)
    started_before_count: int = 0  # requests that arrived before the capture began
    open_count: int = 0  # requests without a final answer at the capture's end
    truncated_count: int = 0
    lost_count: int = 0
    section_count: int = 0
    missing_start_count: int = 0  # sections without their start, so that the learned state is unknown

    def lines(self) -> Iterator[str]:
        """Yield the recorded and the replayed line of each request that differs, and then the counts."""
        for request in self.differing:
            yield f"< {request.recorded_line()}"
            yield f"> {request.replayed_line()}"
        yield (
            f"compared {self.compared_count}, differing {len(self.differing)}, "
            f"begun before the capture {self.started_before_count}, still open at its end {self.open_count}, "
            f"truncated last lines {self.truncated_count}, records lost {self.lost_count}, "
            f"pieces {self.section_count}, of them without their begin {self.missing_start_count}"
        )

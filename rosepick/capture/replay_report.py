"""What a replay finds: each request as it was recorded and as it is decided now."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from . import record_format
from .record_format import ArrivalRecord, FinalAnswerRecord

STATUS_SERVED = 200
_DECISION_BY_STATUS = {200: "served", 503: "refused", 502: "failed", 504: "failed", 499: "gone", 500: "broke"}
"""Statuses that are the same decision: which failure a client gets depends on the clock."""


@dataclass(slots=True, eq=False)
class ReplayedAttempt:
    """An attempt of the replay. Times are milliseconds of the capture's clock."""

    endpoint_id: int
    uid: str
    sent_at: float
    stop_at: float
    in_flight: bool = True
    is_cancelled: bool = False


@dataclass(slots=True)
class ReplayedRequest:
    """A request as it was recorded and as it is decided now."""

    arrival: ArrivalRecord
    recorded_uids: list[str] = field(default_factory=list)  # of the endpoints that were tried
    final_record: FinalAnswerRecord | None = None
    attempts: list[ReplayedAttempt] = field(default_factory=list)
    status: int | None = None  # of the answer in the replay
    answered_at: float = 0.0

    def attempt_in_flight(self, number: int) -> ReplayedAttempt | None:
        """Return the attempt of that number, if it has been sent and has not ended."""
        if number >= len(self.attempts) or not self.attempts[number].in_flight:
            return None
        return self.attempts[number]

    def is_different(self, capture_end: float) -> bool:
        """Whether the decisions differ, in a capture that ends at that time.

        Guards against a capture that is cut between an event and what was decided on it: there, a decision
        that the record lacks is no difference.
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
        """Whether the answer was recorded, but the outcome that brought it is behind the capture's end."""
        return (
            self.final_record is not None
            and self.final_record.status == STATUS_SERVED
            and bool(self.attempts)
            and self.attempts[-1].in_flight
        )

    def _comparable_uids(self, capture_end: float) -> list[str]:
        """Return the endpoints that are tried now, but for one whose record is behind the capture's end."""
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
        """Return the record as the capture has it, with all endpoints that were tried."""
        record = self.arrival if self.final_record is None else self.final_record
        return record.text().rstrip("\n") + _format_tried(self.recorded_uids)

    def replayed_line(self) -> str:
        """Return the record as it is decided now."""
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
    """What a replay found."""

    compared_count: int = 0
    differing: list[ReplayedRequest] = field(default_factory=list)
    begun_before_count: int = 0  # requests that arrived before the capture
    open_count: int = 0  # requests without an answer at its end
    truncated_count: int = 0
    lost_count: int = 0
    section_count: int = 0
    headless_count: int = 0  # sections without their beginning: what the module had learned is not known

    def lines(self) -> Iterator[str]:
        """Yield each record that is decided otherwise, as it was and as it is now; then the counts."""
        for request in self.differing:
            yield f"< {request.recorded_line()}"
            yield f"> {request.replayed_line()}"
        yield (
            f"compared {self.compared_count}, differing {len(self.differing)}, "
            f"begun before the capture {self.begun_before_count}, still open at its end {self.open_count}, "
            f"truncated last lines {self.truncated_count}, records lost {self.lost_count}, "
            f"pieces {self.section_count}, of them without their begin {self.headless_count}"
        )

"""Replays a capture: passes the recorded events to the decision module, and compares its decisions.

While the module decides as recorded, it receives exactly the recorded events. After a different decision, no
recorded outcome belongs to its choice; docs/capture.md describes the events that it receives instead.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, replace
from itertools import chain

from ..decisions import api
from ..decisions.api import Result, UpdateScope
from ..decisions.decide import Router
from ..settings.config import NameIndexes
from . import record_format
from .record_format import (
    ArrivalRecord,
    AttemptOutcomeRecord,
    AttemptSentRecord,
    ClientGoneRecord,
    EndpointListRecord,
    FinalAnswerRecord,
    LostRecord,
    Record,
    TimerRecord,
)
from .record_reader import RecordReader
from .replay_report import STATUS_SERVED, ReplayedAttempt, ReplayedRequest, ReplayReport
from .sections import CaptureSection, split_sections

# If the recorded cancellation follows the replayed one within this time, the recorded time is used.
CANCEL_TOLERANCE_MS = 5.0
# Timers fire up to this time after they are due, so their records may be missing at the end of the capture.
TIMER_TOLERANCE_MS = 250.0
STATUS_CLIENT_GONE = 499
STATUS_FAILED = 502
STATUS_REFUSED = 503
STATUS_DEADLINE_EXCEEDED = 504
_ROUTER_RESULTS = (Result.CANCELLED, Result.NEVER_SENT)  # results that the router itself causes


class ReplayError(Exception):
    """Signals a name in the capture that is missing in the settings; the message has its line."""


def replay(sources: Sequence[RecordReader], settings: api.RouterSettings, names: NameIndexes) -> ReplayReport:
    """Replay the capture in `sources`, in their order, under these settings; return the differences.

    Raises:
        MalformedLineError: A line of the capture is not a record.
        ReplayError: The settings lack a name of the capture.
    """
    report = ReplayReport()
    for section in split_sections(chain.from_iterable(sources)):
        report.section_count += 1
        report.missing_start_count += section.header.preceding_lines > 0
        _SectionReplay(section, settings, names, report).run()
    report.truncated_count = sum(source.truncated_count for source in sources)
    return report


@dataclass(frozen=True, slots=True, order=True)
class _ScheduledCall:
    """Holds a call that was not recorded and is due at a time; ends of attempts precede timers."""

    due_at: float
    priority: int
    number: int  # counts scheduled calls, for their order
    call: Callable[[], None]


class _RecordedEvents:
    """Holds the recorded attempts and timers of a section."""

    def __init__(self, section: CaptureSection) -> None:
        self.outcomes: dict[tuple[int, int], AttemptOutcomeRecord] = {}  # by request and attempt number
        self.pending_timers: Counter[int] = Counter()  # recorded firings that are not replayed yet, by token
        self.sent_counts: Counter[int] = Counter()  # by request
        for _, record in section.records:
            match record:
                case AttemptOutcomeRecord():
                    self.outcomes[record.ref, record.attempt] = record
                case TimerRecord():
                    self.pending_timers[record.token] += 1
                case AttemptSentRecord():
                    self.sent_counts[record.ref] += 1


class _SectionReplay:
    """Replays one section with a separate instance of the decision module."""

    def __init__(
        self, section: CaptureSection, settings: api.RouterSettings, names: NameIndexes, report: ReplayReport
    ) -> None:
        self._section = section
        self._names = names
        self._report = report
        self._router = Router(settings, section.header.seed)
        self._requests: dict[int, ReplayedRequest] = {}
        self._requests_by_id: dict[str, ReplayedRequest] = {}
        self._uids: dict[int, str] = {}
        self._now = section.header.now
        self._capture_end = max((_record_time(record) for _, record in section.records), default=self._now)
        self._recorded = _RecordedEvents(section)
        self._ended_attempts: set[tuple[int, int]] = set()  # attempts whose recorded outcomes have passed
        self._timers: dict[int, list[float]] = {}  # heaps of due times, by token
        self._scheduled: list[_ScheduledCall] = []
        self._scheduled_count = 0

    def run(self) -> None:
        """Replay all records, and add the results to the report."""
        header = self._section.header
        if header.preceding_lines:  # the start is missing: begins with the endpoint list of the header
            self._apply_endpoint_list(
                EndpointListRecord(header.now, UpdateScope.FULL, header.version, header.members)
            )
        for line_number, record in self._section.records:
            self._run_scheduled(_record_time(record))
            self._apply_record(line_number, record)
        for request in self._requests.values():
            self._report.compared_count += 1
            self._report.open_count += request.final_record is None
            if request.is_different(self._capture_end):
                self._report.differing.append(request)

    def _apply_record(self, line_number: int, record: Record) -> None:
        match record:
            case ArrivalRecord():
                self._apply_arrival(line_number, record)
            case AttemptSentRecord() if record.ref in self._requests:
                self._requests[record.ref].recorded_uids.append(record.uid)
            case AttemptOutcomeRecord():
                self._apply_outcome(record)
            case ClientGoneRecord():
                self._apply_client_gone(record)
            case TimerRecord():
                self._apply_timer(record)
            case EndpointListRecord():
                self._apply_endpoint_list(record)
            case FinalAnswerRecord():
                self._apply_final_answer(record)
            case LostRecord():
                self._report.lost_count += 1

    # ------------------------------------------------------------------------------------ recorded events

    def _apply_arrival(self, line_number: int, record: ArrivalRecord) -> None:
        request = ReplayedRequest(record)
        self._requests[record.ref] = request
        self._requests_by_id[record.req_id] = request
        class_index = _index_of(self._names.classes, record.kind, line_number)
        tenant_index = _index_of(self._names.tenants, record.owner, line_number) if self._names.tenants else 0
        self._feed(record.now, record_format.to_request_event(record, class_index, tenant_index))

    def _apply_final_answer(self, record: FinalAnswerRecord) -> None:
        request = self._requests_by_id.pop(record.req_id, None)
        if request is None:
            self._report.started_before_count += 1
        else:
            request.final_record = record

    def _apply_client_gone(self, record: ClientGoneRecord) -> None:
        """End a request that its client or the engine ended, independently of the module's decisions."""
        request = self._requests.get(record.ref)
        if request is None:
            return
        if request.status is None:
            final_record = request.final_record
            request.status = STATUS_CLIENT_GONE if final_record is None else final_record.status
            request.answered_at = self._now
        self._feed(record.now, api.ClientDisconnected(record.ref))

    def _apply_endpoint_list(self, record: EndpointListRecord) -> None:
        self._uids.update((endpoint.endpoint_id, uid) for endpoint, uid in record.members)
        endpoints = tuple(endpoint for endpoint, _ in record.members)
        self._feed(record.now, api.EndpointUpdate(record.scope, endpoints, record.version))

    def _apply_outcome(self, record: AttemptOutcomeRecord) -> None:
        """End the attempt with the recorded outcome, if the replay has it in flight."""
        self._ended_attempts.add((record.ref, record.attempt))
        request = self._requests.get(record.ref)
        attempt = None if request is None else request.attempt_in_flight(record.attempt)
        if request is None or attempt is None:
            return
        if record.result in _ROUTER_RESULTS and not attempt.is_cancelled:
            self._schedule_timeout(request, attempt)
            return
        self._end_attempt(request, attempt, record.result, record, record.now)

    def _apply_timer(self, record: TimerRecord) -> None:
        """Fire a timer at its recorded time, if the module has set it in the replay."""
        token = record.token
        self._recorded.pending_timers[token] -= 1
        due_times = self._timers.get(token, [])
        if due_times and due_times[0] <= record.now:
            heapq.heappop(due_times)
            self._feed(record.now, api.TimerFired(token))
        if not self._recorded.pending_timers[token]:
            for due_at in self._timers.pop(token, []):
                self._schedule(due_at, lambda: self._feed(self._now, api.TimerFired(token)))

    # ---------------------------------------------------------------------- events that were not recorded

    def _schedule(self, due_at: float, call: Callable[[], None], ends_attempt: bool = False) -> None:
        self._scheduled_count += 1
        priority = 0 if ends_attempt else 1
        heapq.heappush(self._scheduled, _ScheduledCall(due_at, priority, self._scheduled_count, call))

    def _schedule_timeout(self, request: ReplayedRequest, attempt: ReplayedAttempt) -> None:
        self._schedule(
            attempt.stop_at,
            lambda: self._end_attempt(request, attempt, Result.TIMEOUT),
            ends_attempt=True,
        )

    def _run_scheduled(self, until: float) -> None:
        """Run the calls that are due before the next record.

        Calls near the end of the capture are not run, as the capture may lack their records.
        """
        limit = min(until, self._capture_end - TIMER_TOLERANCE_MS)
        while self._scheduled and self._scheduled[0].due_at < limit:
            due = heapq.heappop(self._scheduled)
            self._now = max(self._now, due.due_at)
            due.call()

    # ------------------------------------------------------------------------------------ decision module

    def _feed(self, now: float, event: api.Event) -> None:
        self._now = max(self._now, now)
        try:
            actions = self._router.handle(now, event)
        except Exception:  # the engine handles exceptions in the same way
            actions = self._router.actions
        for action in actions:
            match action:
                case api.Send():
                    self._send(action)
                case api.SetTimer():
                    self._set_timer(action)
                case api.Cancel():
                    self._cancel(action)
                case api.Refuse():
                    self._record_answer(action.ref, STATUS_REFUSED)
                case api.Fail():
                    self._record_answer(action.ref, None)

    def _set_timer(self, action: api.SetTimer) -> None:
        token = action.token
        if self._recorded.pending_timers[token]:
            heapq.heappush(self._timers.setdefault(token, []), action.due_at)
        else:
            self._schedule(action.due_at, lambda: self._feed(self._now, api.TimerFired(token)))

    def _record_answer(self, ref: int, status: int | None) -> None:
        """Record the final answer to a request; None stands for a failure."""
        request = self._requests.get(ref)
        if request is None or request.status is not None:
            return
        is_late = self._now >= request.arrival.deadline
        request.status = status or (STATUS_DEADLINE_EXCEEDED if is_late else STATUS_FAILED)
        request.answered_at = self._now

    def _send(self, action: api.Send) -> None:
        request = self._requests.get(action.ref)
        if request is None:
            return
        deadline = request.arrival.deadline
        stop_at = min(deadline, action.stop_at or deadline)
        uid = self._uids.get(action.endpoint_id, f"#{action.endpoint_id}")
        number = len(request.attempts)
        attempt = ReplayedAttempt(action.endpoint_id, uid, self._now, stop_at)
        request.attempts.append(attempt)
        recorded = self._recorded.outcomes.get((action.ref, number))
        if recorded is None:
            if number >= self._recorded.sent_counts[action.ref]:  # else the capture ends before the outcome
                self._schedule_timeout(request, attempt)
        elif (action.ref, number) in self._ended_attempts:
            self._schedule_recorded_outcome(request, attempt, recorded)
        elif recorded.result is Result.NEVER_SENT:
            attempt.is_cancelled = True

    def _schedule_recorded_outcome(
        self, request: ReplayedRequest, attempt: ReplayedAttempt, recorded: AttemptOutcomeRecord
    ) -> None:
        """Schedule the recorded outcome of an attempt that the replay sends after the outcome's record.

        The outcome follows the send after the recorded latency. The attempt times out instead if the router
        caused the recorded result, or if the outcome would come after the timeout.
        """
        ends_at = attempt.sent_at + recorded.latency_ms
        if recorded.result in _ROUTER_RESULTS or ends_at >= attempt.stop_at:
            self._schedule_timeout(request, attempt)
        else:
            self._schedule(
                ends_at,
                lambda: self._end_attempt(request, attempt, recorded.result, recorded),
                ends_attempt=True,
            )

    def _cancel(self, action: api.Cancel) -> None:
        request = self._requests.get(action.ref)
        attempt = None if request is None else request.attempt_in_flight(action.attempt)
        if request is None or attempt is None:
            return
        attempt.is_cancelled = True
        if not self._is_cancel_recorded(action):
            self._schedule(
                self._now,
                lambda: self._end_attempt(request, attempt, Result.CANCELLED),
                ends_attempt=True,
            )

    def _is_cancel_recorded(self, action: api.Cancel) -> bool:
        """Return whether a later record cancels the attempt, or may be missing at the capture's end."""
        key = action.ref, action.attempt
        recorded = self._recorded.outcomes.get(key)
        if recorded is None:
            was_sent = action.attempt < self._recorded.sent_counts[action.ref]
            return was_sent and self._now > self._capture_end - TIMER_TOLERANCE_MS
        return (
            recorded.result is Result.CANCELLED
            and key not in self._ended_attempts
            and recorded.now <= self._now + CANCEL_TOLERANCE_MS
        )

    def _end_attempt(
        self,
        request: ReplayedRequest,
        attempt: ReplayedAttempt,
        result: Result,
        recorded: AttemptOutcomeRecord | None = None,
        recorded_at: float | None = None,
    ) -> None:
        """End an attempt at the recorded time, or now if there is none; a result of OK ends its request."""
        if not attempt.in_flight:
            return
        attempt.in_flight = False
        was_answered = request.status is not None
        serves = result is Result.OK and not was_answered
        if serves:
            request.status = STATUS_SERVED
            request.answered_at = self._now
        number = request.attempts.index(attempt)
        is_recorded_attempt = recorded_at is not None and request.recorded_uids[number : number + 1] == [
            attempt.uid
        ]
        ended_at = self._now if recorded_at is None else recorded_at
        event = api.AttemptEnded(
            request.arrival.ref,
            number,
            attempt.endpoint_id,
            result,
            closes_request=serves or was_answered,
            latency_ms=max(0.0, ended_at - attempt.sent_at),
        )
        if recorded is not None:
            event = replace(event, cache_status=recorded.cache_status, malformed=recorded.malformed)
        if recorded is not None and is_recorded_attempt:  # the replay decided as recorded
            closes_request = serves or (was_answered and recorded.closed)
            event = replace(event, closes_request=closes_request, latency_ms=recorded.latency_ms)
        self._feed(ended_at, event)


def _record_time(record: Record) -> float:
    """Return the time of a record, or minus infinity for records that result from other records."""
    if isinstance(record, AttemptSentRecord | FinalAnswerRecord):
        return float("-inf")
    return record.now


def _index_of(indexes: Mapping[str, int], word: str, line_number: int) -> int:
    """Return the index of the name that is encoded as `word`."""
    for name, index in indexes.items():
        if record_format.encode_word(name.encode()) == word:
            return index
    raise ReplayError(f"line {line_number}: {word} is not named in GW_CONFIG")

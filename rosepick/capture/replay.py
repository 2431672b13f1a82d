"""The replay of a capture: the module is fed again what it was fed, and its decisions are compared.

Where it decides as it did, it is fed what was recorded, to the letter. Where it decides otherwise, there is
no recorded answer to its choice; docs/capture.md says what it is fed instead.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
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
    SegmentHeader,
    TimerRecord,
)

# milliseconds: an attempt called off so shortly before it was then is called off at that time
CANCEL_TOLERANCE_MS = 5.0
TIMER_TOLERANCE_MS = 250.0  # a timer may have been so late, at the end of the capture later than that
_OUTCOME_BY_STATUS = {200: "served", 503: "refused", 502: "failed", 504: "failed", 499: "gone", 500: "broke"}
_ROUTER_RESULTS = (Result.CANCELLED, Result.NEVER_SENT)  # outcomes that the router itself brought about


class ReplayError(Exception):
    """The capture and the settings do not go together."""


@dataclass(slots=True)
class ReplayedRequest:
    """A request as it was recorded and as it goes now."""

    arrival: ArrivalRecord
    recorded_uids: list[str] = field(default_factory=list)
    final_record: FinalAnswerRecord | None = None
    attempts: list[ReplayedAttempt] = field(default_factory=list)
    status: int | None = None
    answered_at: float = 0.0

    def is_different(self, capture_end: float) -> bool:
        """Whether the decisions are not the same, in a capture that ends at that time. Which failure is told
        is the clock's choice. Guards against a capture that is cut between an event and what came of it.
        """
        recorded = None if self.final_record is None else _OUTCOME_BY_STATUS.get(self.final_record.status)
        now = None if self.status is None else _OUTCOME_BY_STATUS.get(self.status)
        if self.final_record is None and self.answered_at >= capture_end:
            now = None
        last = self.attempts[-1] if self.attempts else None
        if (
            self.final_record is not None
            and self.final_record.status == 200
            and last is not None
            and last.in_flight
        ):
            recorded = now  # the answer is there, and the outcome that brought it is cut off
        sent = [one.uid for one in self.attempts]
        if (
            self.final_record is None
            and self.attempts
            and self.attempts[-1].sent_at >= capture_end
            and len(self.recorded_uids) < len(sent)
        ):
            sent.pop()
        return self.recorded_uids != sent or recorded != now

    def recorded_line(self) -> str:
        """The record as it stands in the capture, and whom it tried if that were several."""
        record = self.arrival if self.final_record is None else self.final_record
        return record.text().rstrip("\n") + _format_tried(self.recorded_uids)

    def replayed_line(self) -> str:
        """The same as it goes now."""
        uids = [one.uid for one in self.attempts]
        if self.final_record is None or self.status is None:
            end = "open" if self.status is None else str(self.status)
            return f"-> {uids[-1] if uids else record_format.NONE} {end}" + _format_tried(uids)
        final = self.final_record._replace(uid=uids[-1] if uids else record_format.NONE, status=self.status)
        return final.text().rstrip("\n") + _format_tried(uids)


def _format_tried(uids: list[str]) -> str:
    return f" (tried {', '.join(uids)})" if len(uids) > 1 else ""


@dataclass(slots=True, eq=False)
class ReplayedAttempt:
    """A delivery attempt of the replay."""

    endpoint_id: int
    uid: str
    sent_at: float
    stop_at: float
    in_flight: bool = True
    is_cancelled: bool = False


@dataclass(slots=True)
class ReplayReport:
    """What a replay found."""

    compared_count: int = 0
    differing: list[ReplayedRequest] = field(default_factory=list)
    begun_before_count: int = 0
    open_count: int = 0
    truncated_count: int = 0
    lost_count: int = 0
    section_count: int = 0
    headless_count: int = 0  # pieces without their begin: the module had learned what is not known here

    def lines(self) -> Iterator[str]:
        """Each record whose decision differs, as it was and as it is now; then the counts."""
        for request in self.differing:
            yield f"< {request.recorded_line()}"
            yield f"> {request.replayed_line()}"
        yield (
            f"compared {self.compared_count}, differing {len(self.differing)}, "
            f"begun before the capture {self.begun_before_count}, still open at its end {self.open_count}, "
            f"truncated last lines {self.truncated_count}, records lost {self.lost_count}, "
            f"pieces {self.section_count}, of them without their begin {self.headless_count}"
        )


@dataclass(slots=True)
class CaptureSection:
    """Records that follow on one another without a gap."""

    header: SegmentHeader
    records: list[tuple[int, Record]] = field(default_factory=list)
    line_count: int = 0

    def is_continued_by(self, header: SegmentHeader) -> bool:
        """Whether a segment that begins so continues this."""
        mine = self.header
        return (mine.seed, mine.unix_offset_ms, mine.preceding_lines + self.line_count) == (
            header.seed,
            header.unix_offset_ms,
            header.preceding_lines,
        )

    def append(self, line_number: int, record: Record) -> None:
        self.records.append((line_number, record))
        self.line_count += 1 + len(record.members) if isinstance(record, EndpointListRecord) else 1


def split_sections(records: Iterable[tuple[int, Record]]) -> list[CaptureSection]:
    """The pieces of a capture: a new one begins where records are missing, as after a restart."""
    found: list[CaptureSection] = []
    for number, record in records:
        if isinstance(record, SegmentHeader):
            if not found or not found[-1].is_continued_by(record):
                found.append(CaptureSection(record))
        elif not found:
            raise record_format.MalformedLineError(number)
        else:
            found[-1].append(number, record)
    return found


def replay(
    sources: Sequence[record_format.RecordReader], settings: api.RouterSettings, names: NameIndexes
) -> ReplayReport:
    """Feed a capture, of one file or several that follow on one another, to the decisions under these
    settings. BadLine or CannotReplay if it cannot be.
    """
    report = ReplayReport()
    for piece in split_sections(chain.from_iterable(sources)):
        report.section_count += 1
        report.headless_count += piece.header.preceding_lines > 0
        _Replay(piece, settings, names, report).run()
    report.truncated_count = sum(source.truncated_count for source in sources)
    return report


class _Replay:
    """One piece, fed to a module of its own."""

    def __init__(
        self, section: CaptureSection, settings: api.RouterSettings, names: NameIndexes, report: ReplayReport
    ) -> None:
        self.section, self.settings, self.names, self.report = section, settings, names, report
        self.router = Router(settings, section.header.seed)
        self.requests: dict[int, ReplayedRequest] = {}
        self.by_id: dict[str, ReplayedRequest] = {}
        self.uids: dict[int, str] = {}
        self.now = section.header.now
        self.capture_end = max((_record_time(record) for _, record in section.records), default=self.now)
        # what is recorded and still to come: outcomes of attempts, and how often a timer falls due
        self.outcomes: dict[tuple[int, int], AttemptOutcomeRecord] = {}
        self.pending_timers: Counter[int] = Counter()
        self.sent_counts: Counter[int] = Counter()
        for _, record in section.records:
            match record:
                case AttemptOutcomeRecord():
                    self.outcomes[record.ref, record.attempt] = record
                case TimerRecord():
                    self.pending_timers[record.token] += 1
                case AttemptSentRecord():
                    self.sent_counts[record.ref] += 1
        self.ended_attempts: set[tuple[int, int]] = set()
        self.timers: dict[int, list[float]] = {}
        # what was not recorded: when, ends of attempts before timers, a number, what to do
        self.unrecorded: list[tuple[float, int, int, Callable[[], None]]] = []
        self.event_count = 0

    def run(self) -> None:
        header = self.section.header
        if header.preceding_lines:  # its begin has given way: the module starts from the list as it was then
            self._apply_endpoint_list(
                EndpointListRecord(header.now, UpdateScope.FULL, header.version, header.members)
            )
        for number, record in self.section.records:
            self._run_scheduled(_record_time(record))
            self._apply_record(number, record)
        for request in self.requests.values():
            self.report.compared_count += 1
            self.report.open_count += request.final_record is None
            if request.is_different(self.capture_end):
                self.report.differing.append(request)

    def _apply_record(self, line_number: int, record: Record) -> None:
        match record:
            case ArrivalRecord():
                self._apply_arrival(line_number, record)
            case AttemptSentRecord() if record.ref in self.requests:
                self.requests[record.ref].recorded_uids.append(record.uid)
            case AttemptOutcomeRecord():
                self._apply_outcome(record)
            case ClientGoneRecord():
                self._apply_client_gone(record)
            case TimerRecord():
                self._apply_timer(record)
            case EndpointListRecord():
                self._apply_endpoint_list(record)
            case FinalAnswerRecord():
                self._apply_final(record)
            case LostRecord():
                self.report.lost_count += 1

    # --------------------------------------------------------------------------------- what was recorded

    def _apply_arrival(self, line_number: int, record: ArrivalRecord) -> None:
        self.requests[record.ref] = self.by_id[record.req_id] = ReplayedRequest(record)
        klass = _index_of(self.names.classes, record.kind, line_number)
        tenant = _index_of(self.names.tenants, record.owner, line_number) if self.names.tenants else 0
        self._feed(record.now, record_format.to_request_event(record, klass, tenant))

    def _apply_final(self, record: FinalAnswerRecord) -> None:
        request = self.by_id.pop(record.req_id, None)
        if request is None:
            self.report.begun_before_count += 1
        else:
            request.final_record = record

    def _apply_client_gone(self, record: ClientGoneRecord) -> None:
        """What ended the request was not the module, and would have ended it now as well."""
        request = self.requests.get(record.ref)
        if request is not None:
            if request.status is None:
                request.status = request.final_record.status if request.final_record is not None else 499
                request.answered_at = self.now
            self._feed(record.now, api.ClientDisconnected(record.ref))

    def _apply_endpoint_list(self, record: EndpointListRecord) -> None:
        self.uids.update((member.endpoint_id, uid) for member, uid in record.members)
        members = tuple(member for member, _ in record.members)
        self._feed(record.now, api.EndpointUpdate(record.scope, members, record.version))

    def _apply_outcome(self, record: AttemptOutcomeRecord) -> None:
        """The recorded outcome of the attempt of that number, if that is out now."""
        self.ended_attempts.add((record.ref, record.attempt))
        request = self.requests.get(record.ref)
        if request is None or record.attempt >= len(request.attempts):
            return
        one = request.attempts[record.attempt]
        if not one.in_flight:
            return
        if record.result in _ROUTER_RESULTS and not one.is_cancelled:
            self._schedule(one.stop_at, lambda: self._end_attempt(request, one, Result.TIMEOUT), first=True)
            return
        self._end_attempt(request, one, record.result, record, record.now)

    def _apply_timer(self, record: TimerRecord) -> None:
        """A timer that falls due, if the module has set it now."""
        token = record.token
        self.pending_timers[token] -= 1
        waiting = self.timers.get(token, [])
        if waiting and waiting[0] <= record.now:
            heapq.heappop(waiting)
            self._feed(record.now, api.TimerFired(token))
        if not self.pending_timers[token]:
            for at in self.timers.pop(token, []):
                self._schedule(at, lambda: self._feed(self.now, api.TimerFired(token)))

    # ----------------------------------------------------------------------------- what was not recorded

    def _schedule(self, when: float, callback: Callable[[], None], first: bool = False) -> None:
        self.event_count += 1
        heapq.heappush(self.unrecorded, (when, 0 if first else 1, self.event_count, callback))

    def _run_scheduled(self, until: float) -> None:
        """What falls due before the next record. Not near the end: the capture may lack its record."""
        while self.unrecorded and self.unrecorded[0][0] < min(until, self.capture_end - TIMER_TOLERANCE_MS):
            when, _, _, call = heapq.heappop(self.unrecorded)
            self.now = max(self.now, when)
            call()

    # ----------------------------------------------------------------------------------------- the module

    def _feed(self, now: float, event: api.Event) -> None:
        self.now = max(self.now, now)
        try:
            actions = self.router.handle(now, event)
        except Exception:  # as the engine does
            actions = self.router.actions
        for action in actions:
            match action:
                case api.Send():
                    self._send(action)
                case api.SetTimer():
                    self._set_timer(action)
                case api.Cancel():
                    self._cancel(action)
                case api.Refuse():
                    self._record_answer(action.ref, 503)
                case api.Fail():
                    self._record_answer(action.ref, None)

    def _set_timer(self, action: api.SetTimer) -> None:
        token = action.token
        if self.pending_timers[token]:
            heapq.heappush(self.timers.setdefault(token, []), action.due_at)
        else:
            self._schedule(action.due_at, lambda: self._feed(self.now, api.TimerFired(token)))

    def _record_answer(self, ref: int, status: int | None) -> None:
        request = self.requests.get(ref)
        if request is not None and request.status is None:
            late = self.now >= request.arrival.deadline
            request.status = status or (504 if late else 502)
            request.answered_at = self.now

    def _send(self, action: api.Send) -> None:
        request = self.requests.get(action.ref)
        if request is None:
            return
        deadline = request.arrival.deadline
        stop_at = min(deadline, action.stop_at or deadline)
        uid = self.uids.get(action.endpoint_id, f"#{action.endpoint_id}")
        number = len(request.attempts)
        one = ReplayedAttempt(action.endpoint_id, uid, self.now, stop_at)
        request.attempts.append(one)
        recorded = self.outcomes.get((action.ref, number))
        if recorded is None:
            if number >= self.sent_counts[action.ref]:  # else the capture ends before its outcome
                self._schedule(stop_at, lambda: self._end_attempt(request, one, Result.TIMEOUT), first=True)
        elif (action.ref, number) in self.ended_attempts:
            self._schedule_recorded_outcome(request, one, recorded)
        elif recorded.result is Result.NEVER_SENT:
            one.is_cancelled = True

    def _schedule_recorded_outcome(
        self, request: ReplayedRequest, attempt: ReplayedAttempt, recorded: AttemptOutcomeRecord
    ) -> None:
        """The attempt of that number had its outcome before this one went out: the same, after as long."""
        ends = attempt.sent_at + recorded.latency_ms
        if recorded.result in _ROUTER_RESULTS or ends >= attempt.stop_at:
            self._schedule(
                attempt.stop_at, lambda: self._end_attempt(request, attempt, Result.TIMEOUT), first=True
            )
        else:
            self._schedule(
                ends, lambda: self._end_attempt(request, attempt, recorded.result, recorded), first=True
            )

    def _cancel(self, action: api.Cancel) -> None:
        request = self.requests.get(action.ref)
        if (
            request is None
            or action.attempt >= len(request.attempts)
            or not request.attempts[action.attempt].in_flight
        ):
            return
        one = request.attempts[action.attempt]
        one.is_cancelled = True
        place = action.ref, action.attempt
        recorded = self.outcomes.get(place)
        if (
            recorded is None
            and action.attempt < self.sent_counts[action.ref]
            and self.now > self.capture_end - TIMER_TOLERANCE_MS
        ):
            return  # the capture ends before it
        together = recorded is not None and recorded.now <= self.now + CANCEL_TOLERANCE_MS
        if (
            recorded is None
            or recorded.result is not Result.CANCELLED
            or place in self.ended_attempts
            or not together
        ):
            self._schedule(self.now, lambda: self._end_attempt(request, one, Result.CANCELLED), first=True)

    def _end_attempt(
        self,
        request: ReplayedRequest,
        attempt: ReplayedAttempt,
        result: Result,
        recorded: AttemptOutcomeRecord | None = None,
        now: float | None = None,
    ) -> None:
        """An attempt ends: at `now` as recorded, else as it has to be. One that serves ends its request."""
        if not attempt.in_flight:
            return
        attempt.in_flight = False
        number, over = request.attempts.index(attempt), request.status is not None
        serves = result is Result.OK and not over
        if serves:
            request.status = 200
            request.answered_at = self.now
        # to the letter for the attempt that was recorded, else as things are now
        same = (
            recorded is not None
            and now is not None
            and request.recorded_uids[number : number + 1] == [attempt.uid]
        )
        when = self.now if now is None else now
        self._feed(
            when,
            api.AttemptEnded(
                request.arrival.ref,
                number,
                attempt.endpoint_id,
                result,
                serves or (over and (recorded is None or not same or recorded.closed)),
                0 if recorded is None else recorded.cache_status,
                recorded.latency_ms if recorded is not None and same else max(0.0, when - attempt.sent_at),
                malformed=recorded is not None and recorded.malformed,
            ),
        )


def _record_time(record: Record) -> float:
    """When; those that follow from another record have no time of their own."""
    return float("-inf") if isinstance(record, AttemptSentRecord | FinalAnswerRecord) else record.now


def _index_of(indexes: Mapping[str, int], name: str, line_number: int) -> int:
    """The place of a name as a line holds it."""
    for known, place in indexes.items():
        if record_format.encode_word(known.encode()) == name:
            return place
    raise ReplayError(f"line {line_number}: {name} is not named in GW_CONFIG")

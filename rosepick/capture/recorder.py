"""Observer of the engine that writes the capture."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

from ..core.request_context import RequestContext
from ..core.request_counters import RequestOutcome
from ..decisions import api
from ..decisions.api import Endpoint, Status, UpdateScope
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
    SegmentHeader,
    TimerRecord,
    encode_word,
)
from .ring_buffer import LineRing

MAX_PENDING_RECORDS = 64  # number of pending records that are formatted together
# Pending keys and headers of clients are cut to one byte more than an encoded word may have, so that the
# encoder still detects which of them are too long.
MAX_PENDING_WORD_BYTES = record_format.MAX_WORD_CHARS + 1
# Largest chunk of lines that is appended at once, unless one line is longer; at most a quarter of a segment.
MAX_CHUNK_BYTES = 4096
MAX_REMOVED_UIDS = 256  # uids of removed endpoints that are kept for later final answers
_STATUS_BY_OUTCOME = {
    RequestOutcome.SERVED: 200,
    RequestOutcome.REFUSED: 503,
    RequestOutcome.FAILED: 502,
    RequestOutcome.DEADLINE_EXCEEDED: 504,
    RequestOutcome.CLIENT_GONE: 499,
    RequestOutcome.INTERNAL_ERROR: 500,
}


@dataclass(frozen=True, slots=True)
class CaptureConfig:
    """Configures the ring buffer of a capture, and identifies its router."""

    max_segments: int
    segment_bytes: int
    seed: int  # seed of the decision module
    unix_offset_ms: float  # Unix time minus the time of the loop's clock


class _PendingArrival(NamedTuple):
    """Holds an `A` record whose words are not encoded yet."""

    now: float
    ref: int
    req_id: bytes
    class_index: int
    tenant_index: int
    key: bytes
    deadline_header: bytes
    deadline: float
    key_number: int
    is_write: bool
    is_retry: bool
    cost_hint: float | None


class _PendingFinalAnswer(NamedTuple):
    """Holds a `C` record whose words are not encoded yet."""

    now: float
    req_id: bytes
    class_index: int
    tenant_index: int
    key: bytes
    endpoint_id: int | None
    outcome: RequestOutcome


class _Member(NamedTuple):
    """Holds a listed endpoint, its uid as a word, and its formatted line."""

    endpoint: Endpoint
    uid: str
    line: str


class CaptureRecorder:
    """Writes the events and actions that the engine reports to a ring of lines, in order.

    Records are pending at first, and many of them are formatted together. If each were formatted at once, its
    code and data would not be in the processor's caches.
    """

    def __init__(
        self,
        capture_config: CaptureConfig,
        names: NameIndexes,
        client_fields: Callable[[object], tuple[bytes, bytes, bytes]],
        uid_of: Callable[[int], str | None],
    ) -> None:
        """Create a recorder with an empty ring.

        Args:
            capture_config: size of the ring, and identity of the router.
            names: names of classes and tenants.
            client_fields: returns the request id, key and deadline header of a request's payload.
            uid_of: returns the uid of an endpoint of the latest list by its id, or None.
        """
        self._config = capture_config
        self._client_fields = client_fields
        self._uid_of = uid_of
        self.set_names(names)
        self._list_version = 0
        self.members: dict[int, _Member] = {}  # by endpoint id
        self.removed_uids: OrderedDict[int, str] = OrderedDict()  # uids of removed endpoints, by id
        self.ring = LineRing(capture_config.max_segments, capture_config.segment_bytes, self._make_header)
        self._chunk_bytes = min(MAX_CHUNK_BYTES, capture_config.segment_bytes // 4)
        self.pending_since = 0.0  # time of the oldest record that is not in the ring
        self._pending: list[tuple[Callable[[Any], str], Any]] = []  # each with the function that formats it

    def set_names(self, names: NameIndexes) -> None:
        """Set the names of classes and tenants; an index always refers to the same class or tenant."""
        self._class_names = _encode_names(names.all_classes())
        self._tenant_names = _encode_names(names.all_tenants())

    # ---------------------------------------------------------------------------- callbacks of the engine

    def on_event(self, now: float, event: api.Event, actions: list[api.Action]) -> None:
        """Record an event that the decision module received, and the attempts that it sends."""
        match event:
            case api.TimerFired(token):
                self._add_record(now, TimerRecord.text, TimerRecord(now, token))
            case api.AttemptEnded():
                self._add_record(now, _format_outcome, (now, event))
            case api.EndpointUpdate():
                self.flush()
                self._append_endpoint_list(now, event)
            case api.ClientDisconnected(ref):
                self._add_record(now, ClientGoneRecord.text, ClientGoneRecord(now, ref))
        self._record_sends(now, actions)

    def on_request(self, now: float, request: RequestContext, actions: list[api.Action]) -> None:
        """Record a request that the decision module received, and the attempts that it sends."""
        req_id, key, deadline_header = self._client_fields(request.payload)
        arrival = _PendingArrival(
            now,
            request.ref,
            req_id,
            request.class_index,
            request.tenant_index,
            key[:MAX_PENDING_WORD_BYTES],
            deadline_header[:MAX_PENDING_WORD_BYTES],
            request.deadline,
            request.key,
            request.is_write,
            request.is_retry,
            request.cost_hint,
        )
        self._add_record(now, self._format_arrival, arrival)
        self._record_sends(now, actions)

    def on_outcome(self, now: float, request: RequestContext, outcome: RequestOutcome) -> None:
        """Record the final answer to a request."""
        req_id, key, _ = self._client_fields(request.payload)
        answer = _PendingFinalAnswer(
            now,
            req_id,
            request.class_index,
            request.tenant_index,
            key[:MAX_PENDING_WORD_BYTES],
            request.attempts[-1].endpoint_id if request.attempts else None,
            outcome,
        )
        self._add_record(now, self._format_final_answer, answer)

    def _record_sends(self, now: float, actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.Send):
                self._add_record(now, self._format_attempt_sent, action)

    def _add_record(self, now: float, format_record: Callable[[Any], str], record: object) -> None:
        if len(self._pending) >= MAX_PENDING_RECORDS:
            self.flush()
        if not self._pending:
            self.pending_since = now
        self._pending.append((format_record, record))

    # -------------------------------------------------------------------------------------------- writing

    def flush(self) -> None:
        """Format the pending records and append them to the ring."""
        pending, self._pending = self._pending, []
        chunk: list[str] = []
        chunk_bytes = 0
        for format_record, record in pending:
            text = format_record(record)
            if chunk_bytes + len(text) > self._chunk_bytes:
                self._append_chunk(chunk)
                chunk = []
                chunk_bytes = 0
            chunk.append(text)
            chunk_bytes += len(text)
        self._append_chunk(chunk)

    def _append_chunk(self, chunk: list[str]) -> None:
        if chunk and not self.ring.append("".join(chunk).encode("ascii"), len(chunk)):
            self._append_lost(self.pending_since)

    def _append_lost(self, now: float) -> None:
        """Append an `X` record for lines that were too long for a segment."""
        self.ring.append(LostRecord(now).text().encode("ascii"))

    def _format_arrival(self, arrival: _PendingArrival) -> str:
        return ArrivalRecord(
            arrival.now,
            arrival.ref,
            encode_word(arrival.req_id),
            self._class_names[arrival.class_index],
            self._tenant_name(arrival.tenant_index),
            encode_word(arrival.key),
            encode_word(arrival.deadline_header),
            arrival.deadline,
            arrival.key_number,
            arrival.is_write,
            arrival.is_retry,
            arrival.cost_hint,
        ).text()

    def _format_attempt_sent(self, action: api.Send) -> str:
        return AttemptSentRecord(action.ref, self._uid(action.endpoint_id)).text()

    def _format_final_answer(self, answer: _PendingFinalAnswer) -> str:
        return FinalAnswerRecord(
            int(answer.now + self._config.unix_offset_ms),
            encode_word(answer.req_id),
            self._class_names[answer.class_index],
            self._tenant_name(answer.tenant_index),
            encode_word(answer.key),
            record_format.NONE if answer.endpoint_id is None else self._uid(answer.endpoint_id),
            _STATUS_BY_OUTCOME[answer.outcome],
        ).text()

    def _append_endpoint_list(self, now: float, event: api.EndpointUpdate) -> None:
        """Append an update of the endpoint list, and apply it to the list for the next segment's header."""
        members = [self._make_member(endpoint) for endpoint in event.endpoints]
        self.pending_since = now
        record = EndpointListRecord(now, event.scope, event.version)
        text = record.first_line(len(members)) + "".join(member.line for member in members)
        if not self.ring.append(text.encode("ascii"), 1 + len(members)):
            self._append_lost(now)
        if event.scope is UpdateScope.FAILED:
            return
        self._list_version = event.version
        if event.scope is not UpdateScope.DELTA:
            listed_ids = {endpoint.endpoint_id for endpoint in event.endpoints}
            self._move_to_removed([member_id for member_id in self.members if member_id not in listed_ids])
        for member in members:
            self.members[member.endpoint.endpoint_id] = member
        self._move_to_removed(
            [endpoint.endpoint_id for endpoint in event.endpoints if endpoint.status is Status.REMOVED]
        )

    def _make_member(self, endpoint: Endpoint) -> _Member:
        """Return an endpoint with its line; the line of an unchanged endpoint is not formatted again."""
        known = self.members.get(endpoint.endpoint_id)
        if known is not None and known.endpoint is endpoint:
            return known
        uid = self._uid_of_listed(endpoint.endpoint_id)
        return _Member(endpoint, uid, record_format.format_entry(endpoint, uid))

    def _move_to_removed(self, endpoint_ids: list[int]) -> None:
        for endpoint_id in endpoint_ids:
            self.removed_uids[endpoint_id] = self.members.pop(endpoint_id).uid
        while len(self.removed_uids) > MAX_REMOVED_UIDS:
            self.removed_uids.popitem(last=False)

    def _make_header(self, ring: LineRing, max_bytes: int) -> bytes:
        """Return the header of a new segment; its endpoint list is truncated to fit into `max_bytes`."""
        lines = [member.line for member in self.members.values()]
        header = SegmentHeader(
            ring.next_segment,
            ring.line_count,
            self._config.seed,
            self._config.unix_offset_ms,
            self.pending_since,
            self._list_version,
        )
        while True:
            text = (header.first_line(len(lines)) + "".join(lines)).encode("ascii")
            if len(text) <= max_bytes:
                return text
            lines = lines[: len(lines) * max_bytes // len(text)]

    # ---------------------------------------------------------------------------------------------- words

    def _uid(self, endpoint_id: int) -> str:
        member = self.members.get(endpoint_id)
        return member.uid if member is not None else self.removed_uids.get(endpoint_id, f"#{endpoint_id}")

    def _uid_of_listed(self, endpoint_id: int) -> str:
        """Return the uid of an endpoint of the latest list; a removed endpoint has its recorded uid."""
        uid = self._uid_of(endpoint_id)
        return self._uid(endpoint_id) if uid is None else encode_word(uid.encode())

    def _tenant_name(self, tenant_index: int) -> str:
        return self._tenant_names[tenant_index] if self._tenant_names else record_format.NONE


def _format_outcome(outcome: tuple[float, api.AttemptEnded]) -> str:
    now, event = outcome
    return AttemptOutcomeRecord(
        now,
        event.ref,
        event.attempt,
        event.result,
        event.cache_status,
        event.closes_request,
        event.malformed,
        event.latency_ms,
    ).text()


def _encode_names(indexes: Mapping[str, int]) -> list[str]:
    """Return names as words, in the order of their indexes."""
    return [encode_word(name.encode()) for name in sorted(indexes, key=lambda name: indexes[name])]

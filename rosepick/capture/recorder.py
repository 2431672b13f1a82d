"""The engine's observer that writes the capture."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Mapping
from typing import Any

from ..core.engine import RequestContext
from ..core.request_counters import RequestOutcome
from ..decisions import api
from ..decisions.api import Endpoint, Status, UpdateScope
from ..settings.config import NameIndexes
from . import record_format
from .ring_buffer import LineRing

MAX_PENDING_RECORDS = 64  # records that are written at once
MAX_KEPT_WORD_BYTES = (
    record_format.MAX_WORD_CHARS + 1
)  # bytes of a word that are kept until then: enough to show that it was longer
# bytes that go into the ring at once, unless one line is longer, or a quarter of a segment
CHUNK_BYTES = 4096
MAX_DEPARTED = 256  # next hops that have left, whose uids are kept for the answers still to come
_STATUS_BY_END = {
    RequestOutcome.SERVED: 200,
    RequestOutcome.REFUSED: 503,
    RequestOutcome.FAILED: 502,
    RequestOutcome.DEADLINE_EXCEEDED: 504,
    RequestOutcome.CLIENT_GONE: 499,
    RequestOutcome.INTERNAL_ERROR: 500,
}


class CaptureRecorder:
    """Turns what the engine shows into lines, in order."""

    def __init__(
        self,
        segments: int,
        segment_bytes: int,
        seed: int,
        unix_offset_ms: float,
        names: NameIndexes,
        client_fields: Callable[[object], tuple[bytes, bytes, bytes]],
        uid_of: Callable[[int], str | None],
    ) -> None:
        """`unix_offset_ms` is Unix time less the loop's clock; `client_fields` gives the id, key and deadline
        that a payload states; `uid_of` knows the next hops of the list just told.
        """
        self.seed, self.unix_offset_ms, self.client_fields, self.uid_of = (
            seed,
            unix_offset_ms,
            client_fields,
            uid_of,
        )
        self.set_names(names)
        self.version = 0
        self.members: dict[int, tuple[Endpoint, str]] = {}
        self.departed: OrderedDict[int, str] = OrderedDict()
        self.ring = LineRing(segments, segment_bytes, self._make_header)
        self._chunk_bytes = min(CHUNK_BYTES, segment_bytes // 4)
        self.pending_since = 0.0  # when the oldest record was fed that is not in the ring
        # Records wait for others: written one by one, each would find the processor's caches cold.
        self._pending: list[tuple[Callable[..., str], tuple[object, ...]]] = []

    def set_names(self, names: NameIndexes) -> None:
        """Classes and tenants have these names from now on; places mean what they meant before."""
        self.class_names, self.tenant_names = (
            _encoded_names(names.all_classes()),
            _encoded_names(names.all_tenants()),
        )

    # ---------------------------------------------------------------------------- the engine's observer

    def on_event(self, now: float, event: api.Event, actions: list[api.Action]) -> None:
        match event:
            case api.TimerFired(token):
                self._add_record(now, record_format.format_timer, (now, token))
            case api.AttemptEnded():
                self._add_record(now, _format_outcome, (now, event))
            case api.EndpointUpdate():
                self.flush()
                self._append_endpoint_list(now, event)
            case api.ClientDisconnected(ref):
                self._add_record(now, record_format.format_client_gone, (now, ref))
        self._record_sends(now, actions)

    def on_request(self, now: float, request: RequestContext, actions: list[api.Action]) -> None:
        req_id, key, wait = self.client_fields(request.payload)
        self._add_record(
            now,
            self._format_arrival,
            (
                now,
                request.ref,
                req_id,
                request.class_index,
                request.tenant_index,
                key[:MAX_KEPT_WORD_BYTES],
                wait[:MAX_KEPT_WORD_BYTES],
                request.deadline,
                request.key,
                request.is_write,
                request.is_retry,
                request.cost_hint,
            ),
        )
        self._record_sends(now, actions)

    def on_outcome(self, now: float, request: RequestContext, outcome: RequestOutcome) -> None:
        req_id, key, _ = self.client_fields(request.payload)
        server = request.attempts[-1].endpoint_id if request.attempts else None
        self._add_record(
            now,
            self._format_final_answer,
            (
                now,
                req_id,
                request.class_index,
                request.tenant_index,
                key[:MAX_KEPT_WORD_BYTES],
                server,
                outcome,
            ),
        )

    def _record_sends(self, now: float, actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.Send):
                self._add_record(now, self._format_attempt_sent, (action.ref, action.endpoint_id))

    def _add_record(self, now: float, format_record: Callable[..., str], args: tuple[object, ...]) -> None:
        if len(self._pending) >= MAX_PENDING_RECORDS:
            self.flush()
        if not self._pending:
            self.pending_since = now
        self._pending.append((format_record, args))

    # ------------------------------------------------------------------------------------------ writing

    def flush(self) -> None:
        """Put what waits into the ring."""
        waiting, self._pending = self._pending, []
        part: list[str] = []
        size = 0
        for write, given in waiting:
            text = write(*given)
            if size + len(text) > self._chunk_bytes:
                self._append_chunk(part)
                part, size = [], 0
            part.append(text)
            size += len(text)
        self._append_chunk(part)

    def _append_chunk(self, part: list[str]) -> None:
        if part and not self.ring.append("".join(part).encode("ascii"), len(part)):
            self._append_lost(self.pending_since)

    def _append_lost(self, now: float) -> None:
        """No segment can hold what came."""
        self.ring.append(record_format.LostRecord(now).text().encode("ascii"))

    def _format_arrival(
        self,
        now: float,
        ref: int,
        req_id: bytes,
        class_index: int,
        tenant_index: int,
        key: bytes,
        deadline_header: bytes,
        *rest: Any,
    ) -> str:
        word = record_format.encode_word
        return record_format.format_arrival(
            now,
            ref,
            word(req_id),
            self.class_names[class_index],
            self._tenant_name(tenant_index),
            word(key),
            word(deadline_header),
            *rest,
        )

    def _format_attempt_sent(self, ref: int, endpoint_id: int) -> str:
        return record_format.format_attempt_sent(ref, self._uid(endpoint_id))

    def _format_final_answer(
        self,
        now: float,
        req_id: bytes,
        class_index: int,
        tenant_index: int,
        key: bytes,
        endpoint_id: int | None,
        outcome: RequestOutcome,
    ) -> str:
        uid = record_format.NONE if endpoint_id is None else self._uid(endpoint_id)
        return record_format.format_final_answer(
            int(now + self.unix_offset_ms),
            record_format.encode_word(req_id),
            self.class_names[class_index],
            self._tenant_name(tenant_index),
            record_format.encode_word(key),
            uid,
            _STATUS_BY_END[outcome],
        )

    def _append_endpoint_list(self, now: float, event: api.EndpointUpdate) -> None:
        """A list, with the uids; then it is what the next segment's header holds."""
        told = tuple((member, self._uid_of_listed(member.endpoint_id)) for member in event.endpoints)
        self.pending_since = now
        text = record_format.EndpointListRecord(now, event.scope, event.version, told).text()
        if not self.ring.append(text.encode("ascii"), 1 + len(told)):
            self._append_lost(now)
        if event.scope is UpdateScope.FAILED:
            return
        self.version = event.version
        if event.scope is not UpdateScope.DELTA:
            self._mark_departed(
                [server for server in self.members if server not in {m.endpoint_id for m, _ in told}]
            )
        for member, uid in told:
            self.members[member.endpoint_id] = member, uid
        self._mark_departed([member.endpoint_id for member, _ in told if member.status is Status.REMOVED])

    def _mark_departed(self, endpoint_ids: list[int]) -> None:
        for server in endpoint_ids:
            _, uid = self.members.pop(server)
            self.departed[server] = uid
        while len(self.departed) > MAX_DEPARTED:
            self.departed.popitem(last=False)

    def _make_header(self, ring: LineRing, max_bytes: int) -> bytes:
        """What a segment begins with. A transport map that does not fit is cut."""
        members = tuple(self.members.values())
        while True:
            head = record_format.SegmentHeader(
                ring.next_segment,
                ring.line_count,
                self.seed,
                self.unix_offset_ms,
                self.pending_since,
                self.version,
                members,
            )
            text = head.text().encode("ascii")
            if len(text) <= max_bytes:
                return text
            members = members[: len(members) * max_bytes // len(text)]

    # -------------------------------------------------------------------------------------------- words

    def _uid(self, endpoint_id: int) -> str:
        known = self.members.get(endpoint_id)
        return known[1] if known is not None else self.departed.get(endpoint_id, f"#{endpoint_id}")

    def _uid_of_listed(self, endpoint_id: int) -> str:
        """The uid of a member just told; one that has left is known from before."""
        uid = self.uid_of(endpoint_id)
        return self._uid(endpoint_id) if uid is None else record_format.encode_word(uid.encode())

    def _tenant_name(self, tenant_index: int) -> str:
        return self.tenant_names[tenant_index] if self.tenant_names else record_format.NONE


def _format_outcome(now: float, event: api.AttemptEnded) -> str:
    return record_format.format_attempt_outcome(
        now,
        event.ref,
        event.attempt,
        event.result,
        event.cache_status,
        event.closes_request,
        event.malformed,
        event.latency_ms,
    )


def _encoded_names(indexes: Mapping[str, int]) -> list[str]:
    """Names in the order of their places, as a line holds them."""
    return [
        record_format.encode_word(name.encode()) for name in sorted(indexes, key=lambda name: indexes[name])
    ]

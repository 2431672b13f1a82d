"""The request that a server protocol is receiving: target, headers, buffered body, and their memory."""

from __future__ import annotations

from ..core.body_stream import BodyStream
from ..core.endpoint_directory import hash_key
from ..core.request_budget import RequestBudget, RequestReservation
from ..core.request_context import RequestContext
from ..settings.config import NameIndexes
from .request_headers import index_header, number_header, request_id_header, time_to_deadline_ms
from .request_messages import BadRequestError, ForwardedRequest, key_of_target

BODY_TIMEOUT_MS = 600_000.0  # limits the time in which a streamed body is received
MAX_HEAD_BYTES = 16 * 1024  # maximum length of the request target and headers together
REQUEST_BYTES = 1024  # memory of a request whose body is empty and whose head is short
LONG_HEAD_BYTES = 1024  # a longer head counts in addition to `REQUEST_BYTES`

# If one of these headers were repeated, the router and an upstream or a proxy might use different values.
_SINGLE_VALUE_HEADERS = frozenset(
    {
        b"req-id",
        b"req-kind",
        b"req-owner",
        b"req-deadline",
        b"req-cost",
        b"req-retry",
        b"idempotency-key",
        b"content-length",
        b"transfer-encoding",
        b"host",
        b"expect",
    }
)
# All other headers are dropped at once: each field that is kept costs far more memory than its bytes.
_KEPT_HEADERS = _SINGLE_VALUE_HEADERS | {b"content-type"}


class ReceivedRequest:
    """Collects the parts of one request as they arrive; nothing is reserved before `begin`.

    Args:
        budget: the memory of requests.
    """

    __slots__ = ("_has_long_head", "_head_bytes", "body", "headers", "is_shed", "reservation", "target")

    def __init__(self, budget: RequestBudget) -> None:
        self.target = b""
        self.headers: dict[bytes, bytes] = {}
        self.body = bytearray()  # received bytes that are not streamed
        self.reservation = RequestReservation(budget)
        self.is_shed = False  # no memory is left for it, so its body is dropped
        self._head_bytes = 0  # parsed bytes of the head
        self._has_long_head = False  # memory for a long head is reserved

    def begin(self, is_pipelined: bool) -> None:
        """Reserve memory for a short head; `is_pipelined`: whether the request waits behind another one."""
        self.reservation.is_pipelined = is_pipelined
        self.is_shed = not self.reservation.try_grow(REQUEST_BYTES)

    def add_target(self, part: bytes) -> None:
        """Add a part of the target."""
        self.target += part
        self.count_head_bytes(len(part))

    def add_header(self, name: bytes, value: bytes) -> None:
        """Add a header of the head; one that the router does not use is dropped.

        Raises:
            BadRequestError: the header may occur only once.
        """
        name = name.lower()
        if name not in _KEPT_HEADERS:
            return
        value = value.strip(b" \t")  # the parser keeps trailing blanks
        # Guards against request smuggling: an upstream or a proxy might use the other value.
        if self.headers.setdefault(name, value) is not value and name in _SINGLE_VALUE_HEADERS:
            raise BadRequestError(400, "a header that may come once came again")

    def count_head_bytes(self, size: int) -> None:
        """Count bytes of the head.

        Raises:
            BadRequestError: the head is too long.
        """
        self._head_bytes += size
        if self._head_bytes > MAX_HEAD_BYTES:
            raise BadRequestError(431, "headers too long")

    def end_head(self) -> None:
        """Reserve memory for the head if it is long.

        Raises:
            BadRequestError: none is left.
        """
        if self._head_bytes > LONG_HEAD_BYTES:
            self.reserve_long_head()

    def reserve_long_head(self) -> None:
        """Reserve memory for a long head, of which no part can be dropped.

        Raises:
            BadRequestError: none is left.
        """
        if not self._has_long_head and not self.reservation.try_grow(MAX_HEAD_BYTES):
            raise BadRequestError(503, "no memory for so long a head")
        self._has_long_head = True

    def add_body(self, part: bytes) -> None:
        """Add a part of the body, or drop the body if no memory is left for it."""
        if self.is_shed or not self.reservation.try_grow(len(part)):
            self.shed()
        else:
            self.body += part

    def shed(self) -> None:
        """Drop the body; its rest is dropped as it arrives."""
        self.is_shed = True
        self.body = bytearray()
        self.reservation.release()

    def take_body(self) -> bytes:
        """Remove and return the received part of the body."""
        body, self.body = bytes(self.body), bytearray()
        return body

    def body_length(self) -> int | None:
        """Return the length of the body in bytes, or None if the head does not state it."""
        length = self.headers.get(b"content-length", b"").strip()
        return int(length) if length.isdigit() else None

    def to_context(
        self, method: bytes, path: bytes, now: float, names: NameIndexes, body_stream: BodyStream | None
    ) -> RequestContext:
        """Return the request for the engine; its deadline counts from `now`, in milliseconds.

        Raises:
            BadRequestError: a header is missing or malformed.
        """
        headers = self.headers
        cost = headers.get(b"req-cost")
        is_partial = body_stream is not None
        return RequestContext(
            class_index=index_header(headers, b"req-kind", names.classes),
            tenant_index=index_header(headers, b"req-owner", names.tenants) if names.tenants else 0,
            deadline=now + (BODY_TIMEOUT_MS if is_partial else time_to_deadline_ms(headers)),
            is_partial=is_partial,
            key=hash_key(key_of_target(path)),
            is_write=method == b"PUT",
            is_retry=headers.get(b"req-retry") == b"1",
            cost_hint=None if cost is None else 0.001 * number_header(headers, b"req-cost"),
            client_id=headers.get(b"req-id", b"").decode("latin-1"),
            payload=ForwardedRequest(
                method,
                self.target,
                bytes(self.body),
                request_id_header(headers),
                headers.get(b"idempotency-key"),
                headers.get(b"content-type"),
                headers[b"req-deadline"],
                body_stream,
            ),
        )

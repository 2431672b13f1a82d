"""Messages that the server protocol parses from the bytes of a client connection."""

from __future__ import annotations

from dataclasses import dataclass, replace

from ..core.body_stream import BodyStream
from ..core.request_context import RequestContext


@dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """Holds the parts of a request that are forwarded to an upstream unchanged."""

    method: bytes
    target: bytes
    body: bytes
    req_id: bytes
    idempotency_key: bytes | None
    content_type: bytes | None
    deadline_header: bytes = b""  # Req-Deadline as received, for captures and streamed bodies
    body_stream: BodyStream | None = None  # replaces `body` while the body is being received

    def without_body(self) -> ForwardedRequest:
        """Return the request without its buffered body, which no further attempt needs."""
        return replace(self, body=b"") if self.body else self


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """Reports a request that has been received completely, or up to the streamed part of its body."""

    request: RequestContext


@dataclass(frozen=True, slots=True)
class ReadinessProbe:
    """Reports a health check, which asks whether the router is ready to serve."""


@dataclass(frozen=True, slots=True)
class RequestRejected:
    """Reports a request that cannot be accepted; `status` is the HTTP status of its response."""

    status: int
    reason: str
    class_index: int | None = None  # None if the request names no known request class


@dataclass(frozen=True, slots=True)
class RequestShed:
    """Reports a request that is refused because the memory for requests is used up; its body was dropped."""

    class_index: int | None  # None for a request of no class, for example a batch
    deadline: float  # milliseconds, on the clock of `ServerProtocol.feed`


class ProtocolMessage:
    """Base class of the messages that subclasses of `ServerProtocol` parse."""


ParsedMessage = RequestReceived | ReadinessProbe | RequestRejected | RequestShed | ProtocolMessage


class BadRequestError(Exception):
    """Signals a request that cannot be accepted; `status` is the HTTP status, the message its reason."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


def discard_body(request: RequestContext) -> None:
    """Close the body stream of a request that will not be forwarded, if it has one."""
    assert isinstance(request.payload, ForwardedRequest)
    if request.payload.body_stream is not None:
        request.payload.body_stream.close()


def client_fields(payload: object) -> tuple[bytes, bytes, bytes]:
    """Return the request id, the key and the Req-Deadline header of the payload of a `RequestContext`."""
    assert isinstance(payload, ForwardedRequest)
    return payload.req_id, key_of_target(payload.target), payload.deadline_header


def key_of_target(target: bytes) -> bytes:
    """Return the key that a request target names: the last segment of its path."""
    return target.partition(b"?")[0].rpartition(b"/")[2]

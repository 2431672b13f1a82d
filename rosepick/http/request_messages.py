"""Messages of a server connection: what a client sent, as the protocol adapter hands it over."""

from __future__ import annotations

from dataclasses import dataclass

from ..core.body_stream import BodyStream
from ..core.request_context import RequestContext


@dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """The parts of a request that are forwarded to an upstream unchanged."""

    method: bytes
    target: bytes
    body: bytes
    req_id: bytes
    idempotency_key: bytes | None
    content_type: bytes | None
    deadline_header: bytes = b""  # Req-Deadline as received; captures record it
    body_stream: BodyStream | None = None  # in place of `body` while the body is still being received


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """A request has been received: completely, or up to a streamed body."""

    request: RequestContext


@dataclass(frozen=True, slots=True)
class ReadinessProbe:
    """A health check: does the router serve?"""


@dataclass(frozen=True, slots=True)
class RequestRejected:
    """A request that cannot be accepted, with the status of its response."""

    status: int
    reason: str
    class_index: int | None = None  # the request class, if the request named a known one


class ProtocolMessage:
    """Base class of messages that other protocol adapters parse."""


ParsedMessage = RequestReceived | ReadinessProbe | RequestRejected | ProtocolMessage


class BadRequestError(Exception):
    """A request cannot be accepted; `status` is the HTTP status of the response, the text its reason."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


def discard_body(request: RequestContext) -> None:
    """Close the body stream of a request that will not be forwarded, if it has one."""
    assert isinstance(request.payload, ForwardedRequest)
    if request.payload.body_stream is not None:
        request.payload.body_stream.close()


def client_fields(payload: object) -> tuple[bytes, bytes, bytes]:
    """Return request id, key and Req-Deadline header, which a `RequestContext` does not hold."""
    assert isinstance(payload, ForwardedRequest)
    return payload.req_id, key_of_target(payload.target), payload.deadline_header


def key_of_target(target: bytes) -> bytes:
    """Return the key that a request target names: the last segment of its path."""
    return target.partition(b"?")[0].rpartition(b"/")[2]

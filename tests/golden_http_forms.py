"""Representative exchanges of a router with operators, discovery, clients, upstreams and batch clients.

The rules of golden_forms apply: only the golden_*_forms modules import names of the program, values are
built by position, and enumerations by value.
"""

from __future__ import annotations

from rosepick.core.endpoint_directory import EndpointDirectory, hash_key, hash_uid
from rosepick.core.request_counters import RequestOutcome
from rosepick.http import batch_protocol, discovery
from rosepick.http.client_protocol import HttpExchange
from rosepick.http.request_messages import ForwardedRequest, RequestReceived, RequestRejected
from rosepick.http.server_protocol import ServerProtocol
from rosepick.ops.line_protocol import AdminProtocol, AdminReply
from rosepick.ops.telemetry import TelemetrySnapshot
from rosepick.settings.config import NameIndexes

from .golden_support import Form, as_given, as_json

NAMES = NameIndexes(
    {"read": 0, "set": 1}, {"acme": 0, "beta": 1}, {"east": 0, "west": 1}, {"std": 0, "origin": 1}
)


# ------------------------------------------------------------------------------------ admin listener


def admin_dialogue() -> object:
    """Return the replies of the admin listener to valid and invalid commands."""
    calls = {
        "readyz": lambda: AdminReply(True, "ready"),
        "plain": lambda: AdminReply(True, "{}", ("END",), True),
        "no": lambda: AdminReply(False, "ending"),
    }
    asked = (b"readyz\n", b"readyz\r\nmore", b"plain\n", b"no\n", b"nonsense\n", b"\n", b"\xff\n", b"x" * 300)
    return [[call.hex(), AdminProtocol(calls).feed(call).decode()] for call in asked] + [
        ["", AdminProtocol(calls).feed_eof().decode()]
    ]


def telemetry() -> bytes:
    """Return the telemetry document."""
    ends = ("served", "refused", "failed", "late", "gone", "broke")
    ended = {(place, RequestOutcome(end)): 10 * place + n for place in (0, 1) for n, end in enumerate(ends)}
    figures = TelemetrySnapshot({0: "read", 1: "set", 2: "new"}, ended, {0: 3}, {0: 40, 1: 2}, 5, 12, 1, 2, 3)
    return figures.line().encode() + b"\n"


# ------------------------------------------------------------------------------------ HTTP

LIST = (
    b'{"rev": 42, "all": true, "targets": ['
    b'{"uid": "s-1", "endpoint": "10.0.0.1:5001", "az": "east", "model": "std", "pod_group": 2, '
    b'"state": "active", "capacity_hint": 1.5, "boot_ms": 5000},'
    b'{"uid": "s-2", "endpoint": "[::1]:5002", "az": "west", "model": "origin", "state": "leaving"},'
    b'{"uid": "s-3", "endpoint": "10.0.0.3:5003", "az": "other", "model": "other", "state": "left"}]}'
)


def discovery_dialogue() -> object:
    """Return the encoded polls, and the endpoints that are parsed from a recorded list."""
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LIST) + LIST
    found = discovery.EndpointListReader().feed(answer)
    assert found is not None
    document, reusable = found
    known = EndpointDirectory(NAMES, 1000.0)
    change = known.apply_update(document)
    members = [
        [m.endpoint_id, int(m.status), m.started_at, m.zone, m.cell, m.kind, m.weight]
        for m in change.event.endpoints
    ]
    endpoint_rows = [
        [listed.endpoint_id, listed.uid, list(listed.address), int(listed.status)]
        for listed in known.endpoints.values()
    ]
    calls = [
        discovery.encode_list_request("d:80", None, 0.0).decode(),
        discovery.encode_list_request("d:80", 41, 2500.0).decode(),
    ]
    return [calls, reusable, change.event.scope.value, change.event.version, members, endpoint_rows]


def hashes_of_names() -> object:
    """Return the hashes of keys and of endpoint uids, which are the same in all routers."""
    return [[hash_key(key) for key in (b"", b"k1", b"m-004211")], [hash_uid("s-1"), hash_uid("s-1", 2)]]


def client_dialogue() -> object:
    """Return requests as they are parsed, as they are forwarded to an upstream, and with response heads."""
    head = "Req-Id: x9\r\nReq-Kind: %s\r\nReq-Owner: acme\r\nReq-Deadline: 0.480\r\n"
    requests = [
        f"GET /api/m-1?x=1 HTTP/1.1\r\n{head % 'read'}Req-Cost: 12.5\r\nReq-Retry: 1\r\n\r\n",
        f"PUT /api/m-1 HTTP/1.1\r\n{head % 'set'}Idempotency-Key: 7\r\nContent-Type: text/plain\r\n"
        "Content-Length: 5\r\n\r\nvalue",
        f"PUT http://n3/api/m-1 HTTP/1.1\r\n{head % 'set'}Connection: close\r\nContent-Length: 0\r\n\r\n",
    ]
    found: list[object] = []
    for text in requests:
        connection = ServerProtocol(lambda: NAMES)
        connection.feed(text.encode(), 1000.0)
        received = connection.next_message()
        assert isinstance(received, RequestReceived)
        context = received.request
        payload_parts = context.payload
        assert isinstance(payload_parts, ForwardedRequest)
        forwarded_bytes = bytes(HttpExchange(payload_parts, "s-1:5001", 240.0).next_unsent()).decode()
        read: list[object] = [
            context.class_index,
            context.deadline,
            context.key,
            context.tenant_index,
            context.is_write,
        ]
        read += [context.is_retry, context.cost_hint, payload_parts.deadline_header.decode()]
        answer = connection.encode_response_head(503, b"busy", ((b"Retry-After", b"1"),), False).decode()
        found.append([text, read, forwarded_bytes, answer])
    return found


def rejected_requests() -> object:
    """Return the statuses of rejected requests."""
    head = "Req-Id: x9\r\nReq-Kind: read\r\nReq-Owner: acme\r\nReq-Deadline: 0.480\r\n"
    requests = (
        f"POST /api/m-1 HTTP/1.1\r\n{head}\r\n",
        f"GET /api/m-1 HTTP/1.1\r\n{head.replace('read', 'other')}\r\n",
        f"GET /api/m-1 HTTP/1.1\r\n{head.replace('0.480', 'nan')}\r\n",
        f"GET /api/m-1 HTTP/1.1\r\n{head}Req-Id: twice\r\n\r\n",
        f"GET /api/m-1 HTTP/1.1\r\n{head}X: {'x' * 20_000}\r\n\r\n",
        "nonsense\r\n\r\n",
    )
    found = []
    for text in requests:
        connection = ServerProtocol(lambda: NAMES)
        connection.feed(text.encode(), 1000.0)
        received = connection.next_message()
        assert isinstance(received, RequestRejected)
        found.append([text[:60], received.status])
    return found


def batch_dialogue() -> object:
    """Return a batch, the requests of its items, and the response with its parsed entries."""
    body = b"m-1\r\na%20b\n\nc\n"
    head = b"Req-Kind: read\r\nReq-Owner: acme\r\nReq-Deadline: 1.0\r\n"
    text = b"POST /mget HTTP/1.1\r\n%bContent-Length: %d\r\n\r\n%b" % (head, len(body), body)
    connection = batch_protocol.BatchServerProtocol(lambda: NAMES, lambda: 3)
    connection.feed(text, 500.0)
    batch = connection.next_message()
    assert isinstance(batch, batch_protocol.BatchRequest)
    parts = [
        batch_protocol.encode_item_request(batch, key, b"id.%d" % place, "n3:5000", 250.5).decode()
        for place, key in enumerate(batch.keys)
    ]
    answer = b"".join(
        b"".join(batch_protocol.encode_entry(key, b"id", 200, b"value\n")) for key in batch.keys[:2]
    )
    answer += b"".join(
        batch_protocol.encode_entry(batch.keys[2], b"id", 503, b"")
    ) + batch_protocol.encode_trailer(1, 3)
    read = [
        [key.decode(), uid.decode(), status, data.decode()]
        for key, uid, status, data in batch_protocol.parse_entries(answer)
    ]
    begun = connection.encode_batch_head(False).decode()
    return [
        text.decode(),
        [k.decode() for k in batch.keys],
        batch.deadline,
        parts,
        begun,
        answer.decode(),
        read,
    ]


HTTP_FORMS: dict[str, Form] = {
    "ops-door.json": Form(admin_dialogue, as_json),
    "ops-telemetry.json": Form(telemetry, as_given),
    "discovery.json": Form(discovery_dialogue, as_json),
    "numbers-of-names.json": Form(hashes_of_names, as_json),
    "http-requests.json": Form(client_dialogue, as_json),
    "http-rejected.json": Form(rejected_requests, as_json),
    "http-batch.json": Form(batch_dialogue, as_json),
}

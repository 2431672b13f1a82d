"""Codec of the simulator's wire: frames of binary records to `api` events, and actions to records.

Nothing is decided here. Everything malformed raises `WireError` with a message of one line.
"""

from __future__ import annotations

import math
import struct
from collections.abc import Iterator
from typing import Any

from ..decisions import api


class WireError(Exception):
    """The input is not what the wire allows."""


_RESULTS = {
    200: api.Result.OK,
    500: api.Result.ERROR,
    503: api.Result.BUSY,
    504: api.Result.TIMEOUT,
    502: api.Result.CONNECT_FAILED,
    598: api.Result.RESET,
    499: api.Result.CANCELLED,
    410: api.Result.NEVER_SENT,
    404: api.Result.MISS,
}
_SCOPES = {
    0: api.UpdateScope.CACHED,
    1: api.UpdateScope.FAILED,
    2: api.UpdateScope.DELTA,
    4: api.UpdateScope.FULL,
}
_MEMBER_ROW = struct.Struct(">IfdBHHB")
_BATCH_HEADER = struct.Struct(">IdI")
_RECORD_HEADER = struct.Struct(">BI")

PROVISION, MEMBERS, WORK_ITEM, FIRST_BYTE, ATTEMPT_ENDED, CLIENT_GONE = 16, 17, 18, 19, 20, 21
TIMER_DUE, PROBE_RESULT, PEER_MESSAGE, SHUTDOWN, ENDPOINT_LIST = 22, 23, 24, 25, 26


def _unpack(fmt: str, body: bytes, at: int = 0) -> tuple[Any, ...]:
    try:
        return struct.unpack_from(fmt, body, at)
    except struct.error:
        raise WireError("record is shorter than its fields") from None


def decode_batch_header(body: bytes) -> tuple[int, float, int]:
    """Record count, clock and number of a batch."""
    count, clock, number = _BATCH_HEADER.unpack_from(body)
    if not math.isfinite(clock):
        raise WireError("clock of a batch is not a number")
    return count, clock, number


def split_records(body: bytes, count: int) -> Iterator[tuple[int, bytes]]:
    """Split a batch into (code, fields)."""
    at = _BATCH_HEADER.size
    for _ in range(count):
        if at + _RECORD_HEADER.size > len(body):
            raise WireError("batch ends within a record")
        code, size = _RECORD_HEADER.unpack_from(body, at)
        at += _RECORD_HEADER.size
        if at + size > len(body):
            raise WireError("batch ends within a record")
        yield code, body[at : at + size]
        at += size
    if at != len(body):
        raise WireError("batch holds more bytes than its records")


def decode_endpoint_list(fields: bytes) -> tuple[int, tuple[api.Endpoint, ...]]:
    """Number and entries of a POOL record."""
    number, size = _unpack(">HI", fields)
    if len(fields) != 6 + size * _MEMBER_ROW.size:
        raise WireError("list record and its number of entries disagree")
    out = []
    for at in range(6, len(fields), _MEMBER_ROW.size):
        server, weight, born, state, zone, cell, kind = _MEMBER_ROW.unpack_from(fields, at)
        if state not in (0, 1, 2):
            raise WireError(f"list entry has unknown state {state}")
        out.append(api.Endpoint(server, api.Status(state), born, zone, cell, kind, weight))
    return number, tuple(out)


def decode_instance_id(fields: bytes) -> int:
    """The instance that a record concerns."""
    return int(_unpack(">I", fields)[0])


def decode_provision(fields: bytes) -> tuple[int, bytes]:
    """Seed and settings text of a PROVISION record."""
    _, seed, size = _unpack(">IQI", fields)
    if len(fields) != 16 + size:
        raise WireError("PROVISION record and the length of its settings disagree")
    return seed, fields[16:]


def _decode_report(fields: bytes, at: int) -> tuple[float, ...]:
    (n,) = _unpack(">B", fields, at)
    return _unpack(f">{n}f", fields, at + 1)


def _decode_result(code: int) -> api.Result:
    try:
        return _RESULTS[code]
    except KeyError:
        raise WireError(f"unknown outcome {code}") from None


def decode_event(code: int, fields: bytes, endpoint_lists: dict[int, tuple[api.Endpoint, ...]]) -> api.Event:
    """Decode the event of one instance."""
    if code == WORK_ITEM:
        _, ref, tenant, hint, key, bits, klass, _size, left = _unpack(">IQIdQBHfd", fields)
        return api.RequestArrived(
            ref, klass, left, key, tenant, bool(bits & 4), bool(bits & 2), hint if bits & 1 else None
        )
    if code == ATTEMPT_ENDED:
        _, ref, server, note, closed, shot, ending, lag = _unpack(">IQIBBBHd", fields)
        return api.AttemptEnded(
            ref, shot, server, _decode_result(ending), bool(closed), note, lag, _decode_report(fields, 29)
        )
    if code == TIMER_DUE:
        return api.TimerFired(_unpack(">IQ", fields)[1])
    if code == PROBE_RESULT:
        _, lag, ending, server = _unpack(">IdHI", fields)
        return api.ProbeResult(server, _decode_result(ending), lag, _decode_report(fields, 18))
    if code == MEMBERS:
        _, number, version, scope = _unpack(">IHQB", fields)
        if scope not in _SCOPES:
            raise WireError(f"MEMBERS record has unknown scope {scope}")
        if _SCOPES[scope] is api.UpdateScope.FAILED:
            return api.EndpointUpdate(api.UpdateScope.FAILED, (), version)
        if number not in endpoint_lists:
            raise WireError(f"MEMBERS record points at list {number}, which was never defined")
        return api.EndpointUpdate(_SCOPES[scope], endpoint_lists[number], version)
    if code == CLIENT_GONE:
        return api.ClientDisconnected(_unpack(">IQ", fields)[1])
    if code == FIRST_BYTE:
        _, ref, shot, server, lag = _unpack(">IQBId", fields)
        return api.FirstByte(ref, shot, server, lag)
    if code == PEER_MESSAGE:
        _, peer, size = _unpack(">IIH", fields)
        if len(fields) != 10 + size:
            raise WireError("NOTE_FROM record and the length of its payload disagree")
        return api.PeerMessage(peer, fields[10:])
    raise WireError(f"unknown record code {code}")


def encode_action(instance_id: int, action_event: api.Action) -> bytes:
    """Encode one action of an instance."""
    if isinstance(action_event, api.Send):
        return struct.pack(
            ">BIIQId", 16, 24, instance_id, action_event.ref, action_event.endpoint_id, action_event.stop_at
        )
    if isinstance(action_event, api.SetTimer):
        return struct.pack(">BIIQd", 20, 20, instance_id, action_event.token, action_event.due_at)
    if isinstance(action_event, api.Refuse):
        return struct.pack(">BIIQd", 17, 20, instance_id, action_event.ref, action_event.retry_after_ms)
    if isinstance(action_event, api.Fail):
        return struct.pack(">BIIQ", 18, 12, instance_id, action_event.ref)
    if isinstance(action_event, api.Cancel):
        return struct.pack(">BIIQB", 19, 13, instance_id, action_event.ref, action_event.attempt)
    if isinstance(action_event, api.Probe):
        return struct.pack(">BIII", 21, 8, instance_id, action_event.endpoint_id)
    if isinstance(action_event, api.Watch):
        return struct.pack(">BIIB", 26, 5, instance_id, action_event.enabled)
    return encode_text(24, instance_id, action_event.text)


def encode_text(code: int, instance_id: int, line: str) -> bytes:
    """A LOG (24) or BROKEN (25) record."""
    body = line.encode("utf-8", "replace")[:2000]
    return struct.pack(">BIIH", code, 6 + len(body), instance_id, len(body)) + body


def encode_reply(batch_number: int, records: list[bytes]) -> bytes:
    """The frame that answers a batch."""
    body = b"".join(records)
    return struct.pack(">III", 8 + len(body), len(records), batch_number) + body

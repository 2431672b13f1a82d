"""Codec of the simulator's protocol: decodes records to `api` events, and encodes `api` actions as records.

A frame consists of its length (4 bytes) and a batch. A batch consists of a header (number of records, clock
in milliseconds, number of the batch) and its records. A record consists of a code (1 byte), the length of
its fields (4 bytes) and the fields. All numbers are big-endian. The codec makes no decisions.
"""

from __future__ import annotations

import math
import struct
from collections.abc import Callable, Iterator, Mapping
from enum import IntEnum
from typing import Any, NamedTuple, TypeAlias

from ..decisions import api


class WireError(Exception):
    """Signals input that violates the protocol; the message describes the violation in one line."""


class InputCode(IntEnum):
    """Codes of the records that the simulator sends."""

    PROVISION = 16
    MEMBERS = 17
    WORK_ITEM = 18
    FIRST_BYTE = 19
    ATTEMPT_ENDED = 20
    CLIENT_GONE = 21
    TIMER_DUE = 22
    PROBE_RESULT = 23
    PEER_MESSAGE = 24
    SHUTDOWN = 25
    ENDPOINT_LIST = 26


class OutputCode(IntEnum):
    """Codes of the records that the host sends."""

    SEND = 16
    REFUSE = 17
    FAIL = 18
    CANCEL = 19
    SET_TIMER = 20
    PROBE = 21
    LOG = 24
    BROKEN = 25
    WATCH = 26


class BatchHeader(NamedTuple):
    """Holds the header of a batch; `clock` is in milliseconds."""

    record_count: int
    clock: float
    batch_number: int


Endpoints: TypeAlias = tuple[api.Endpoint, ...]
EndpointLists: TypeAlias = Mapping[int, Endpoints]

MAX_TEXT_BYTES = 2_000

# Flags of a work item. They are integers because operations on `IntFlag` are slow.
_HAS_COST_HINT = 1
_IS_RETRY = 2
_IS_WRITE = 4

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
_STATUS_VALUES = frozenset(api.Status)
_BATCH_HEADER = struct.Struct(">IdI")
_RECORD_HEADER = struct.Struct(">BI")
_REPLY_HEADER = struct.Struct(">III")
_INSTANCE_ID = struct.Struct(">I")
_ENDPOINT_LIST_HEADER = struct.Struct(">HI")
_ENDPOINT_ROW = struct.Struct(">IfdBHHB")
_PROVISION_HEADER = struct.Struct(">IQI")
_WORK_ITEM = struct.Struct(">IQIdQBHfd")
_ATTEMPT_ENDED = struct.Struct(">IQIBBBHd")
_TIMER_DUE = struct.Struct(">IQ")
_PROBE_RESULT = struct.Struct(">IdHI")
_MEMBERS = struct.Struct(">IHQB")
_CLIENT_GONE = struct.Struct(">IQ")
_FIRST_BYTE = struct.Struct(">IQBId")
_LOAD_REPORT_HEADER = struct.Struct(">B")
_PEER_MESSAGE_HEADER = struct.Struct(">IIH")


def _unpack(form: struct.Struct, fields: bytes, offset: int = 0) -> tuple[Any, ...]:
    try:
        return form.unpack_from(fields, offset)
    except struct.error:
        raise WireError("record is shorter than its fields") from None


# -------------------------------------------------------------------------------------------------- input


def decode_batch_header(body: bytes) -> BatchHeader:
    """Decode the header of a batch; `body` has at least 16 bytes.

    Raises:
        WireError: the clock is not a finite number.
    """
    header = BatchHeader(*_BATCH_HEADER.unpack_from(body))
    if not math.isfinite(header.clock):
        raise WireError("clock of a batch is not a number")
    return header


def split_records(body: bytes, count: int) -> Iterator[tuple[int, bytes]]:
    """Yield the code and fields of each record of a batch.

    Raises:
        WireError: the batch holds more or fewer bytes than its records.
    """
    offset = _BATCH_HEADER.size
    for _ in range(count):
        if offset + _RECORD_HEADER.size > len(body):
            raise WireError("batch ends within a record")
        code, size = _RECORD_HEADER.unpack_from(body, offset)
        offset += _RECORD_HEADER.size
        if offset + size > len(body):
            raise WireError("batch ends within a record")
        yield code, body[offset : offset + size]
        offset += size
    if offset != len(body):
        raise WireError("batch holds more bytes than its records")


def decode_endpoint_list(fields: bytes) -> tuple[int, Endpoints]:
    """Decode an ENDPOINT_LIST record; return the number of the endpoint list and its entries.

    Raises:
        WireError: the record is malformed or holds an unknown status.
    """
    list_number, count = _unpack(_ENDPOINT_LIST_HEADER, fields)
    if len(fields) != _ENDPOINT_LIST_HEADER.size + count * _ENDPOINT_ROW.size:
        raise WireError("list record and its number of entries disagree")
    endpoints = []
    for row in _ENDPOINT_ROW.iter_unpack(fields[_ENDPOINT_LIST_HEADER.size :]):
        endpoint_id, weight, started_at, status, zone, cell, kind = row
        if status not in _STATUS_VALUES:
            raise WireError(f"list entry has unknown state {status}")
        endpoints.append(api.Endpoint(endpoint_id, api.Status(status), started_at, zone, cell, kind, weight))
    return list_number, tuple(endpoints)


def decode_instance_id(fields: bytes) -> int:
    """Decode the id of the instance that a record addresses.

    Raises:
        WireError: the record is too short.
    """
    return int(_unpack(_INSTANCE_ID, fields)[0])


def decode_provision(fields: bytes) -> tuple[int, bytes]:
    """Decode a PROVISION record; return the random seed and the settings in JSON.

    Raises:
        WireError: the record and the length of its settings disagree.
    """
    _, seed, size = _unpack(_PROVISION_HEADER, fields)
    if len(fields) != _PROVISION_HEADER.size + size:
        raise WireError("PROVISION record and the length of its settings disagree")
    return seed, fields[_PROVISION_HEADER.size :]


def decode_event(code: int, fields: bytes, endpoint_lists: EndpointLists) -> api.Event:
    """Decode the event of one instance; `endpoint_lists` has the lists that were defined, by number.

    Raises:
        WireError: the code is unknown, the record malformed, or it names an undefined list.
    """
    if code == InputCode.MEMBERS:
        return _decode_members(fields, endpoint_lists)
    decode = _EVENT_DECODERS.get(code)
    if decode is None:
        raise WireError(f"unknown record code {code}")
    return decode(fields)


def _decode_members(fields: bytes, endpoint_lists: EndpointLists) -> api.EndpointUpdate:
    _, list_number, version, scope_code = _unpack(_MEMBERS, fields)
    scope = _SCOPES.get(scope_code)
    if scope is None:
        raise WireError(f"MEMBERS record has unknown scope {scope_code}")
    if scope is api.UpdateScope.FAILED:
        return api.EndpointUpdate(scope, (), version)
    if list_number not in endpoint_lists:
        raise WireError(f"MEMBERS record points at list {list_number}, which was never defined")
    return api.EndpointUpdate(scope, endpoint_lists[list_number], version)


def _decode_work_item(fields: bytes) -> api.RequestArrived:
    _, ref, tenant, hint, key, flags, klass, _size, time_left_ms = _unpack(_WORK_ITEM, fields)
    return api.RequestArrived(
        ref,
        klass,
        time_left_ms,
        key,
        tenant,
        is_write=bool(flags & _IS_WRITE),
        is_retry=bool(flags & _IS_RETRY),
        cost_hint=hint if flags & _HAS_COST_HINT else None,
    )


def _decode_first_byte(fields: bytes) -> api.FirstByte:
    _, ref, attempt, endpoint_id, latency_ms = _unpack(_FIRST_BYTE, fields)
    return api.FirstByte(ref, attempt, endpoint_id, latency_ms)


def _decode_attempt_ended(fields: bytes) -> api.AttemptEnded:
    row = _unpack(_ATTEMPT_ENDED, fields)
    _, ref, endpoint_id, cache_status, closes_request, attempt, result_code, latency_ms = row
    return api.AttemptEnded(
        ref,
        attempt,
        endpoint_id,
        _decode_result(result_code),
        bool(closes_request),
        cache_status,
        latency_ms,
        _decode_load_report(fields, _ATTEMPT_ENDED.size),
    )


def _decode_client_gone(fields: bytes) -> api.ClientDisconnected:
    _, ref = _unpack(_CLIENT_GONE, fields)
    return api.ClientDisconnected(ref)


def _decode_timer_due(fields: bytes) -> api.TimerFired:
    _, token = _unpack(_TIMER_DUE, fields)
    return api.TimerFired(token)


def _decode_probe_result(fields: bytes) -> api.ProbeResult:
    _, latency_ms, result_code, endpoint_id = _unpack(_PROBE_RESULT, fields)
    result = _decode_result(result_code)
    return api.ProbeResult(endpoint_id, result, latency_ms, _decode_load_report(fields, _PROBE_RESULT.size))


def _decode_peer_message(fields: bytes) -> api.PeerMessage:
    _, peer_id, size = _unpack(_PEER_MESSAGE_HEADER, fields)
    if len(fields) != _PEER_MESSAGE_HEADER.size + size:
        raise WireError("PEER_MESSAGE record and the length of its payload disagree")
    return api.PeerMessage(peer_id, fields[_PEER_MESSAGE_HEADER.size :])


def _decode_load_report(fields: bytes, offset: int) -> tuple[float, ...]:
    (count,) = _unpack(_LOAD_REPORT_HEADER, fields, offset)
    try:
        return struct.unpack_from(f">{count}f", fields, offset + _LOAD_REPORT_HEADER.size)
    except struct.error:
        raise WireError("record is shorter than its fields") from None


def _decode_result(code: int) -> api.Result:
    try:
        return _RESULTS[code]
    except KeyError:
        raise WireError(f"unknown outcome {code}") from None


_EVENT_DECODERS: dict[int, Callable[[bytes], api.Event]] = {
    InputCode.WORK_ITEM: _decode_work_item,
    InputCode.FIRST_BYTE: _decode_first_byte,
    InputCode.ATTEMPT_ENDED: _decode_attempt_ended,
    InputCode.CLIENT_GONE: _decode_client_gone,
    InputCode.TIMER_DUE: _decode_timer_due,
    InputCode.PROBE_RESULT: _decode_probe_result,
    InputCode.PEER_MESSAGE: _decode_peer_message,
}

# ------------------------------------------------------------------------------------------------- output


def encode_action(instance_id: int, action: api.Action) -> bytes:
    """Encode one action of an instance as a record."""
    match action:
        case api.Send(ref, endpoint_id, stop_at):
            return _encode_record(OutputCode.SEND, ">IQId", instance_id, ref, endpoint_id, stop_at)
        case api.SetTimer(token, due_at):
            return _encode_record(OutputCode.SET_TIMER, ">IQd", instance_id, token, due_at)
        case api.Refuse(ref, retry_after_ms):
            return _encode_record(OutputCode.REFUSE, ">IQd", instance_id, ref, retry_after_ms)
        case api.Fail(ref):
            return _encode_record(OutputCode.FAIL, ">IQ", instance_id, ref)
        case api.Cancel(ref, attempt):
            return _encode_record(OutputCode.CANCEL, ">IQB", instance_id, ref, attempt)
        case api.Probe(endpoint_id):
            return _encode_record(OutputCode.PROBE, ">II", instance_id, endpoint_id)
        case api.Watch(enabled):
            return _encode_record(OutputCode.WATCH, ">IB", instance_id, enabled)
        case api.Log(text):
            return encode_text(OutputCode.LOG, instance_id, text)


def encode_text(code: int, instance_id: int, text: str) -> bytes:
    """Encode a LOG or BROKEN record; its text is truncated to `MAX_TEXT_BYTES`."""
    body = text.encode("utf-8", "replace")[:MAX_TEXT_BYTES]
    return _encode_record(code, f">IH{len(body)}s", instance_id, len(body), body)


def encode_reply(batch_number: int, records: list[bytes]) -> bytes:
    """Encode the frame of the reply to a batch."""
    body = b"".join(records)
    # The length of a frame excludes its own four bytes.
    return _REPLY_HEADER.pack(_REPLY_HEADER.size - 4 + len(body), len(records), batch_number) + body


def _encode_record(code: int, form: str, *values: float | bytes) -> bytes:
    fields = struct.pack(form, *values)
    return _RECORD_HEADER.pack(code, len(fields)) + fields

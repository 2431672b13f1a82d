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
    503: api.Result.FULL,
    504: api.Result.TIMEOUT,
    502: api.Result.CONNECT_FAILED,
    598: api.Result.RESET,
    499: api.Result.CANCELLED,
    410: api.Result.MOOT,
    404: api.Result.MISS,
}
_SCOPES = {0: api.Scope.CACHED, 1: api.Scope.FAILED, 2: api.Scope.DELTA, 4: api.Scope.FULL}
_ROW = struct.Struct(">IfdBHHB")
_BATCH = struct.Struct(">IdI")
_RECORD = struct.Struct(">BI")

PROVISION, MEMBERS, WORK_ITEM, FIRST_BYTE, ENDED, CLIENT_GONE = 16, 17, 18, 19, 20, 21
DUE, PING_RESULT, NOTE_FROM, SHUTDOWN, POOL = 22, 23, 24, 25, 26


def _unpack(fmt: str, body: bytes, at: int = 0) -> tuple[Any, ...]:
    try:
        return struct.unpack_from(fmt, body, at)
    except struct.error:
        raise WireError("record is shorter than its fields") from None


def batches_header(body: bytes) -> tuple[int, float, int]:
    """Record count, clock and number of a batch."""
    count, clock, number = _BATCH.unpack_from(body)
    if not math.isfinite(clock):
        raise WireError("clock of a batch is not a number")
    return count, clock, number


def records(body: bytes, count: int) -> Iterator[tuple[int, bytes]]:
    """Split a batch into (code, fields)."""
    at = _BATCH.size
    for _ in range(count):
        if at + _RECORD.size > len(body):
            raise WireError("batch ends within a record")
        code, size = _RECORD.unpack_from(body, at)
        at += _RECORD.size
        if at + size > len(body):
            raise WireError("batch ends within a record")
        yield code, body[at : at + size]
        at += size
    if at != len(body):
        raise WireError("batch holds more bytes than its records")


def pool(fields: bytes) -> tuple[int, tuple[api.Member, ...]]:
    """Number and entries of a POOL record."""
    number, size = _unpack(">HI", fields)
    if len(fields) != 6 + size * _ROW.size:
        raise WireError("list record and its number of entries disagree")
    out = []
    for at in range(6, len(fields), _ROW.size):
        server, weight, born, state, zone, cell, kind = _ROW.unpack_from(fields, at)
        if state not in (0, 1, 2):
            raise WireError(f"list entry has unknown state {state}")
        out.append(api.Member(server, api.State(state), born, zone, cell, kind, weight))
    return number, tuple(out)


def instance(fields: bytes) -> int:
    """The instance that a record concerns."""
    return int(_unpack(">I", fields)[0])


def provision(fields: bytes) -> tuple[int, bytes]:
    """Seed and settings text of a PROVISION record."""
    _, seed, size = _unpack(">IQI", fields)
    if len(fields) != 16 + size:
        raise WireError("PROVISION record and the length of its settings disagree")
    return seed, fields[16:]


def _report(fields: bytes, at: int) -> tuple[float, ...]:
    (n,) = _unpack(">B", fields, at)
    return _unpack(f">{n}f", fields, at + 1)


def _result(code: int) -> api.Result:
    try:
        return _RESULTS[code]
    except KeyError:
        raise WireError(f"unknown outcome {code}") from None


def event(code: int, fields: bytes, pools: dict[int, tuple[api.Member, ...]]) -> api.Event:
    """Decode the event of one instance."""
    if code == WORK_ITEM:
        _, ref, tenant, hint, key, bits, klass, _size, left = _unpack(">IQIdQBHfd", fields)
        return api.Request(
            ref, klass, left, key, tenant, bool(bits & 4), bool(bits & 2), hint if bits & 1 else None
        )
    if code == ENDED:
        _, ref, server, note, closed, shot, ending, lag = _unpack(">IQIBBBHd", fields)
        return api.Outcome(ref, shot, server, _result(ending), bool(closed), note, lag, _report(fields, 29))
    if code == DUE:
        return api.Timer(_unpack(">IQ", fields)[1])
    if code == PING_RESULT:
        _, lag, ending, server = _unpack(">IdHI", fields)
        return api.ProbeResult(server, _result(ending), lag, _report(fields, 18))
    if code == MEMBERS:
        _, number, version, scope = _unpack(">IHQB", fields)
        if scope not in _SCOPES:
            raise WireError(f"MEMBERS record has unknown scope {scope}")
        if _SCOPES[scope] is api.Scope.FAILED:
            return api.Members(api.Scope.FAILED, (), version)
        if number not in pools:
            raise WireError(f"MEMBERS record points at list {number}, which was never defined")
        return api.Members(_SCOPES[scope], pools[number], version)
    if code == CLIENT_GONE:
        return api.ClientGone(_unpack(">IQ", fields)[1])
    if code == FIRST_BYTE:
        _, ref, shot, server, lag = _unpack(">IQBId", fields)
        return api.FirstByte(ref, shot, server, lag)
    if code == NOTE_FROM:
        _, peer, size = _unpack(">IIH", fields)
        if len(fields) != 10 + size:
            raise WireError("NOTE_FROM record and the length of its payload disagree")
        return api.PeerMessage(peer, fields[10:])
    raise WireError(f"unknown record code {code}")


def action(who: int, act: api.Action) -> bytes:
    """Encode one action of an instance."""
    if isinstance(act, api.Send):
        return struct.pack(">BIIQId", 16, 24, who, act.ref, act.server, act.stop_at)
    if isinstance(act, api.SetTimer):
        return struct.pack(">BIIQd", 20, 20, who, act.token, act.at)
    if isinstance(act, api.Refuse):
        return struct.pack(">BIIQd", 17, 20, who, act.ref, act.retry_after)
    if isinstance(act, api.Fail):
        return struct.pack(">BIIQ", 18, 12, who, act.ref)
    if isinstance(act, api.Cancel):
        return struct.pack(">BIIQB", 19, 13, who, act.ref, act.attempt)
    if isinstance(act, api.Probe):
        return struct.pack(">BIII", 21, 8, who, act.server)
    if isinstance(act, api.Watch):
        return struct.pack(">BIIB", 26, 5, who, act.on)
    return text(24, who, act.text)


def text(code: int, who: int, line: str) -> bytes:
    """A LOG (24) or BROKEN (25) record."""
    body = line.encode("utf-8", "replace")[:2000]
    return struct.pack(">BIIH", code, 6 + len(body), who, len(body)) + body


def reply(number: int, out: list[bytes]) -> bytes:
    """The frame that answers a batch."""
    body = b"".join(out)
    return struct.pack(">III", 8 + len(body), len(out), number) + body

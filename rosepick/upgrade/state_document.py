"""Parses the document that transfers a router's learned state to the process that replaces it.

The document is a line of JSON (the header), followed by three binary columns in the machine's byte order.
Each column has one entry per key: its hash (u64), the endpoint of its last request (u32), and its decayed
number of reads (f32).
"""

from __future__ import annotations

import json
from array import array
from collections.abc import Sequence
from dataclasses import dataclass
from math import isfinite
from typing import Any, TypeGuard

from ..decisions.decide import FILTER_CAPACITY

STATE_FORMAT_VERSION = 1
ENDPOINT_ROW_LENGTH = 4


class StateDocumentError(ValueError):
    """Signals an invalid document; the message names the invalid part."""


@dataclass(frozen=True, slots=True)
class KeyColumns:
    """Holds the keys of the popularity filter in columns."""

    keys: Sequence[int]
    endpoint_ids: Sequence[int]
    decayed_reads: Sequence[float]


@dataclass(frozen=True, slots=True)
class PoolState:
    """Holds the learned state of the keep pool and of fleet-wide placement."""

    keep_share: float
    keep_reads: float
    wide_share: float


@dataclass(frozen=True, slots=True)
class LatencyState:
    """Holds latencies of responses, in milliseconds."""

    latency_per_request: float
    mean_latency: float
    deviation: float


@dataclass(frozen=True, slots=True)
class OriginState:
    """Holds the learned state of the origin."""

    latency_ewma: float
    best: float
    limit: float
    total: int


@dataclass(frozen=True, slots=True)
class ShedderState:
    """Holds the learned state of the load shedder."""

    limit: float
    wait_share: float


@dataclass(frozen=True, slots=True)
class EndpointLearnedState:
    """Holds the learned state of one endpoint."""

    endpoint_id: int
    latency_ewma: float
    load_ewma: float
    concurrency_limit: float


@dataclass(frozen=True, slots=True)
class StateDocument:
    """Holds a parsed document. All numbers are finite and not negative; the importer checks their ranges."""

    top_limit: int
    reads: int
    top_count: int  # this many keys, the first ones, belong to the top of the filter
    columns: KeyColumns
    pools: PoolState
    latencies: LatencyState
    origin: OriginState
    shedder: ShedderState
    endpoints: tuple[EndpointLearnedState, ...]


def exported_at(document: bytes) -> float:
    """Return the time of a document's export, in milliseconds of the system's monotonic clock.

    Raises:
        StateDocumentError: the header is malformed or has another version.
    """
    header, _ = _parse_header(document)
    return _checked_number("at", header.get("at"))


def parse_state_document(document: bytes) -> StateDocument:
    """Parse and validate a whole document.

    Raises:
        StateDocumentError: a part of the document is missing or malformed.
    """
    header, column_bytes = _parse_header(document)
    top_count = int(_number_field(header, "top", FILTER_CAPACITY))
    tail_count = int(_number_field(header, "tail", FILTER_CAPACITY))
    columns = _parse_columns(column_bytes, top_count + tail_count)
    top_limit = int(_number_field(header, "limit"))
    reads = int(_number_field(header, "reads"))
    pools = PoolState(*_number_list_field(header, "pools", 3))
    latencies = LatencyState(*_number_list_field(header, "paces", 3))
    latency_ewma, best, limit, total = _number_list_field(header, "origin", 4)
    origin = OriginState(latency_ewma, best, limit, int(total))
    shedder = ShedderState(*_number_list_field(header, "pressure", 2))
    endpoints = tuple(_parse_endpoint_row(row) for row in _list_field(header, "servers"))
    return StateDocument(top_limit, reads, top_count, columns, pools, latencies, origin, shedder, endpoints)


def _parse_header(document: bytes) -> tuple[dict[str, Any], bytes]:
    """Return the header and the bytes after it."""
    line, newline, column_bytes = document.partition(b"\n")
    try:
        header = json.loads(line)
    except (ValueError, RecursionError):
        raise StateDocumentError("the state document's first line is not valid JSON") from None
    if not newline or not isinstance(header, dict) or header.get("version") != STATE_FORMAT_VERSION:
        raise StateDocumentError(f"the state document is not of version {STATE_FORMAT_VERSION}")
    return header, column_bytes


def _parse_columns(data: bytes, key_count: int) -> KeyColumns:
    keys = array("Q")
    endpoint_ids = array("I")
    decayed_reads = array("f")
    keys_end = key_count * keys.itemsize
    endpoint_ids_end = key_count * (keys.itemsize + endpoint_ids.itemsize)
    expected_length = endpoint_ids_end + key_count * decayed_reads.itemsize
    if len(data) != expected_length:
        raise StateDocumentError(f"the state document has {len(data)} bytes of keys, not {expected_length}")
    keys.frombytes(data[:keys_end])
    endpoint_ids.frombytes(data[keys_end:endpoint_ids_end])
    decayed_reads.frombytes(data[endpoint_ids_end:])
    if not all(isfinite(reads) and reads >= 0 for reads in decayed_reads):
        raise StateDocumentError(
            "the state document has a key whose number of reads is negative or not finite"
        )
    return KeyColumns(keys, endpoint_ids, decayed_reads)


def _is_number(value: object) -> TypeGuard[float]:
    return isinstance(value, int | float) and not isinstance(value, bool)


def _checked_number(name: str, value: object, maximum: float = float("inf")) -> float:
    if not _is_number(value) or not 0.0 <= value <= maximum or not isfinite(value):
        raise StateDocumentError(
            f"the state document's {name} has {value!r}, not a number from 0 to {maximum}"
        )
    return float(value)


def _number_field(header: dict[str, Any], name: str, maximum: float = float("inf")) -> float:
    return _checked_number(name, header.get(name), maximum)


def _list_field(header: dict[str, Any], name: str) -> list[Any]:
    values = header.get(name)
    if not isinstance(values, list):
        raise StateDocumentError(f"the state document has no list {name}")
    return values


def _number_list_field(header: dict[str, Any], name: str, count: int) -> list[float]:
    numbers = [_checked_number(name, value) for value in _list_field(header, name)]
    if len(numbers) != count:
        raise StateDocumentError(f"the state document's {name} has {len(numbers)} numbers, not {count}")
    return numbers


def _parse_endpoint_row(row: object) -> EndpointLearnedState:
    if not isinstance(row, list) or len(row) != ENDPOINT_ROW_LENGTH:
        raise StateDocumentError(
            f"the state document's servers has a row without {ENDPOINT_ROW_LENGTH} numbers"
        )
    endpoint_id, latency_ewma, load_ewma, limit = (_checked_number("servers", value) for value in row)
    return EndpointLearnedState(int(endpoint_id), latency_ewma, load_ewma, limit)

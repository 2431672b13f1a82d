"""What a running router has learned, as a document for the process that takes its place.

Without it the new process takes every key for one that it never met: hot keys go to other cache nodes, miss
there, and crowd the origin. The document is read whole and checked before any of it counts.
"""

from __future__ import annotations

import json
from array import array
from collections.abc import Sequence
from math import exp, isfinite
from typing import Any

from ..decisions.decide import FILTER_CAPACITY, HEAT_MEMORY_READS, KEEP_MEMORY_READS, MIN_TOP_SIZE, Router

STATE_FORMAT_VERSION = 1


def export_state(router: Router, now: float) -> bytes:
    """The document. Times are of the system's own clock, which both processes read."""
    known, origin, pressure = router.popularity, router.origin, router.shedder
    head = {
        "version": STATE_FORMAT_VERSION,
        "at": now,
        "limit": known.top_limit,
        "reads": known.reads,
        "top": len(known.top),
        "tail": len(known.tail),
        "pools": [router.pools.keep_share, router.pools.keep_reads, router.pools.wide_share],
        "paces": [router.service_time, router.mean_latency, router.deviation],
        "origin": [origin.latency_ewma, origin.best, origin.limit, origin.total],
        "pressure": [pressure.limit, pressure.wait_share],
        "servers": [
            [s.id, s.latency_ewma, s.load_ewma, s.concurrency_limit]
            for s in router.endpoints.states.values()
            if s.latency_ewma
        ],
    }
    entries = [*known.top.items(), *known.tail.items()]
    keys, servers = array("Q", [key for key, _ in entries]), array("I", [entry[0] for _, entry in entries])
    heats = array("f", [heat * exp((at - known.reads) / HEAT_MEMORY_READS) for _, (_, heat, at) in entries])
    return json.dumps(head).encode() + b"\n" + keys.tobytes() + servers.tobytes() + heats.tobytes()


def exported_at(document: bytes) -> float:
    """When a document was written. ValueError if it is none."""
    return _checked_number(_parse_header(document)[0].get("at"), 0.0)


def import_state(router: Router, document: bytes, now: float) -> int:
    """Have a router that has served nobody know what the document holds; how many keys. ValueError, and
    nothing learned, if any of it is not as it should be.
    """
    head, rest = _parse_header(document)
    top, tail = (int(_checked_number(head.get(name), 0.0, FILTER_CAPACITY)) for name in ("top", "tail"))
    keys, servers, heats = _parse_columns(rest, top + tail)
    limit, reads = (int(_checked_number(head.get(name), 0.0)) for name in ("limit", "reads"))
    share, seen, wide = _number_list_field(head, "pools", 3)
    paces = _number_list_field(head, "paces", 3)
    lag, best, most, count = _number_list_field(head, "origin", 4)
    held, part = _number_list_field(head, "pressure", 2)
    rows = [_parse_server_row(row) for row in _list_field(head, "servers")]
    entries = [(key, (server, heat, reads)) for key, server, heat in zip(keys, servers, heats, strict=True)]
    known = router.popularity
    known.top_limit, known.reads = min(FILTER_CAPACITY, max(MIN_TOP_SIZE, limit)), reads
    known.top.update(entries[:top])
    known.tail.update(entries[top:])
    router.pools.keep_share, router.pools.keep_reads = min(1.0, share), min(KEEP_MEMORY_READS, seen)
    router.pools.wide_share = min(1.0, wide)
    router.service_time, router.mean_latency, router.deviation = paces
    router.origin.latency_ewma, router.origin.best, router.origin.limit = (
        lag,
        best,
        max(router.origin.min_limit, most),
    )
    router.origin.total = int(count)
    router.shedder.limit, router.shedder.wait_share = max(1.0, held), min(1.0, max(0.1, part))
    for number, pace, load, room in rows:
        server = router.endpoints.states.get(int(number))
        if server is not None:
            server.latency_ewma, server.load_ewma, server.concurrency_limit, server.latency_at = (
                pace,
                load,
                max(1.0, room),
                now,
            )
    return len(entries)


def _parse_header(document: bytes) -> tuple[dict[str, Any], bytes]:
    line, end, rest = document.partition(b"\n")
    try:
        head = json.loads(line)
    except (ValueError, RecursionError):
        raise ValueError("its first line is not valid JSON") from None
    if not end or not isinstance(head, dict) or head.get("version") != STATE_FORMAT_VERSION:
        raise ValueError("it is of another version")
    return head, rest


def _parse_columns(data: bytes, key_count: int) -> tuple[Sequence[int], Sequence[int], Sequence[float]]:
    """Of each key: its number, the server that it last went to, its reads."""
    keys, servers, heats = array("Q"), array("I"), array("f")
    one, two = key_count * keys.itemsize, key_count * (keys.itemsize + servers.itemsize)
    if len(data) != two + key_count * heats.itemsize:
        raise ValueError("it is not whole")
    keys.frombytes(data[:one])
    servers.frombytes(data[one:two])
    heats.frombytes(data[two:])
    if not all(isfinite(heat) and heat >= 0 for heat in heats):
        raise ValueError("it holds a number that is none")
    return keys, servers, heats


def _checked_number(value: object, minimum: float, maximum: float = float("inf")) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not minimum <= value <= maximum:
        raise ValueError("it holds a number that is none")
    if not isfinite(value):
        raise ValueError("it holds a number that is none")
    return float(value)


def _list_field(header: dict[str, Any], name: str) -> list[Any]:
    found = header.get(name)
    if not isinstance(found, list):
        raise ValueError(f"it lacks {name}")
    return found


def _number_list_field(header: dict[str, Any], name: str, count: int) -> list[float]:
    found = [_checked_number(value, 0.0) for value in _list_field(header, name)]
    if len(found) != count:
        raise ValueError(f"it lacks a part of {name}")
    return found


def _parse_server_row(row: object) -> list[float]:
    if not isinstance(row, list) or len(row) != 4:
        raise ValueError("it holds a server that is none")
    return [_checked_number(value, 0.0) for value in row]

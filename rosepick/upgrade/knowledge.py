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

from ..decisions.decide import HEAT_MEMORY, KEEP_MEMORY, LIST_SIZE, TOP_FLOOR, Router

VERSION = 1


def gather(router: Router, now: float) -> bytes:
    """The document. Times are of the system's own clock, which both processes read."""
    known, origin, pressure = router.filter, router.origin, router.pressure
    head = {
        "version": VERSION,
        "at": now,
        "limit": known.limit,
        "reads": known.reads,
        "top": len(known.top),
        "tail": len(known.tail),
        "pools": [router.pools.share, router.pools.seen, router.pools.wide_share],
        "paces": [router.usual, router.mean, router.spread],
        "origin": [origin.lag, origin.best, origin.limit, origin.seen],
        "pressure": [pressure.limit, pressure.part],
        "servers": [[s.id, s.lag, s.lag_load, s.room] for s in router.membership.servers.values() if s.lag],
    }
    entries = [*known.top.items(), *known.tail.items()]
    keys, servers = array("Q", [key for key, _ in entries]), array("I", [entry[0] for _, entry in entries])
    heats = array("f", [heat * exp((at - known.reads) / HEAT_MEMORY) for _, (_, heat, at) in entries])
    return json.dumps(head).encode() + b"\n" + keys.tobytes() + servers.tobytes() + heats.tobytes()


def told_at(document: bytes) -> float:
    """When a document was written. ValueError if it is none."""
    return _number(_head(document)[0].get("at"), 0.0)


def teach(router: Router, document: bytes, now: float) -> int:
    """Have a router that has served nobody know what the document holds; how many keys. ValueError, and
    nothing learned, if any of it is not as it should be.
    """
    head, rest = _head(document)
    top, tail = (int(_number(head.get(name), 0.0, LIST_SIZE)) for name in ("top", "tail"))
    keys, servers, heats = _columns(rest, top + tail)
    limit, reads = (int(_number(head.get(name), 0.0)) for name in ("limit", "reads"))
    share, seen, wide = _numbers(head, "pools", 3)
    paces = _numbers(head, "paces", 3)
    lag, best, most, count = _numbers(head, "origin", 4)
    held, part = _numbers(head, "pressure", 2)
    rows = [_row(row) for row in _list(head, "servers")]
    entries = [(key, (server, heat, reads)) for key, server, heat in zip(keys, servers, heats, strict=True)]
    known = router.filter
    known.limit, known.reads = min(LIST_SIZE, max(TOP_FLOOR, limit)), reads
    known.top.update(entries[:top])
    known.tail.update(entries[top:])
    router.pools.share, router.pools.seen = min(1.0, share), min(KEEP_MEMORY, seen)
    router.pools.wide_share = min(1.0, wide)
    router.usual, router.mean, router.spread = paces
    router.origin.lag, router.origin.best, router.origin.limit = lag, best, max(router.origin.floor, most)
    router.origin.seen = int(count)
    router.pressure.limit, router.pressure.part = max(1.0, held), min(1.0, max(0.1, part))
    for number, pace, load, room in rows:
        server = router.membership.servers.get(int(number))
        if server is not None:
            server.lag, server.lag_load, server.room, server.lag_at = pace, load, max(1.0, room), now
    return len(entries)


def _head(document: bytes) -> tuple[dict[str, Any], bytes]:
    line, end, rest = document.partition(b"\n")
    try:
        head = json.loads(line)
    except (ValueError, RecursionError):
        raise ValueError("its first line is not valid JSON") from None
    if not end or not isinstance(head, dict) or head.get("version") != VERSION:
        raise ValueError("it is of another version")
    return head, rest


def _columns(rest: bytes, count: int) -> tuple[Sequence[int], Sequence[int], Sequence[float]]:
    """Of each key: its number, the server that it last went to, its reads."""
    keys, servers, heats = array("Q"), array("I"), array("f")
    one, two = count * keys.itemsize, count * (keys.itemsize + servers.itemsize)
    if len(rest) != two + count * heats.itemsize:
        raise ValueError("it is not whole")
    keys.frombytes(rest[:one])
    servers.frombytes(rest[one:two])
    heats.frombytes(rest[two:])
    if not all(isfinite(heat) and heat >= 0 for heat in heats):
        raise ValueError("it holds a number that is none")
    return keys, servers, heats


def _number(value: object, low: float, high: float = float("inf")) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not low <= value <= high:
        raise ValueError("it holds a number that is none")
    if not isfinite(value):
        raise ValueError("it holds a number that is none")
    return float(value)


def _list(head: dict[str, Any], name: str) -> list[Any]:
    found = head.get(name)
    if not isinstance(found, list):
        raise ValueError(f"it lacks {name}")
    return found


def _numbers(head: dict[str, Any], name: str, count: int) -> list[float]:
    found = [_number(value, 0.0) for value in _list(head, name)]
    if len(found) != count:
        raise ValueError(f"it lacks a part of {name}")
    return found


def _row(row: object) -> list[float]:
    if not isinstance(row, list) or len(row) != 4:
        raise ValueError("it holds a server that is none")
    return [_number(value, 0.0) for value in row]

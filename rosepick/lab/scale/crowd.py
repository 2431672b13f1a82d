"""Clients of a scale run that send slowly, stop half way or send at full speed, beside the usual ones."""

from __future__ import annotations

import asyncio
import contextlib
import itertools

FULL_SPEED_CLIENTS = 2  # connections of a crowd at full speed; more would keep the rig itself busy
PROBES_PER_WRITE = 100
STAY_S = 2.0  # how long a client that has stopped half way waits for the router
FIELD_PAUSE_S = 0.02
RECONNECT_PAUSE_S = 0.1
PROBE_PAUSE_S = 0.01
PROBE = b"GET /ready HTTP/1.1\r\nHost: router\r\n\r\n"
SHORT_FIELDS = [b"".join(b"%x:1\r\n" % (16 * step + number) for number in range(16)) for step in range(100)]


_numbers = itertools.count()


def _begin_request() -> bytes:
    """Return the first lines of a write with an id of its own."""
    return (
        b"PUT /api/k1 HTTP/1.1\r\nHost: router\r\nReq-Id: crowd%d\r\nReq-Kind: read\r\nReq-Owner: all\r\n"
        b"Req-Deadline: 1.0\r\n"
    ) % next(_numbers)


async def hold_crowd_connection(kind: str, port: int) -> None:
    """Play one client of a crowd until it is cancelled; `kind` is one of `CROWD_KINDS`."""
    while True:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                await _PLAYS[kind](reader, writer)
            finally:
                writer.transport.abort()
        await asyncio.sleep(RECONNECT_PAUSE_S)


async def _write_many_fields(_reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.write(_begin_request())
    for fields in SHORT_FIELDS:
        writer.write(fields)
        await writer.drain()
        await asyncio.sleep(FIELD_PAUSE_S)


async def _write_half_a_body(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.write(_begin_request() + b"Content-Length: 200000\r\n\r\n" + 100_000 * b"x")
    await writer.drain()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(STAY_S):
            await reader.read()


async def _write_probes(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Write readiness probes without waiting for their answers."""

    async def drop_answers() -> None:
        while await reader.read(65_536):
            pass

    dropping = asyncio.get_running_loop().create_task(drop_answers())
    try:
        while not dropping.done():
            writer.write(PROBES_PER_WRITE * PROBE)
            await writer.drain()
            await asyncio.sleep(PROBE_PAUSE_S)
    finally:
        dropping.cancel()


_PLAYS = {"fields": _write_many_fields, "bodies": _write_half_a_body, "probes": _write_probes}
CROWD_KINDS = tuple(_PLAYS)


def crowd_size(kind: str, clients: int) -> int:
    """Return how many connections a crowd of `clients` clients has at each router."""
    return min(clients, FULL_SPEED_CLIENTS) if kind == "probes" else clients

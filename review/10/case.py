"""A restart by SIGTERM while clients read long answers slowly."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))
from rig import HOST, Case, Discovery, Message, Node, Router, response, run_case

SEED = 10
BODY_BYTES = 4 * 1024 * 1024
CLIENTS = 3
BYTES_PER_S = 512 * 1024  # how fast a client reads: eight times the slowest rate that the pages name
TERM_AFTER_S = 1.0
KILL_AFTER_S = 20.0  # from SIGTERM to SIGKILL


async def read_slowly(case: Case, port: int, req_id: str) -> int:
    """Read a long answer at a steady rate; return how many bytes of the body came."""
    reader, writer = await asyncio.open_connection(HOST, port, limit=64 * 1024)
    writer.write(
        f"GET /api/long-{req_id} HTTP/1.1\r\nHost: app.svc\r\nReq-Id: {req_id}\r\nReq-Kind: read\r\n"
        f"Req-Owner: t1\r\nReq-Deadline: 1.200\r\n\r\n".encode()
    )
    received = 0
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        case.log(f"client {req_id} has the head: {head.splitlines()}")
        began_at = case.now()
        while received < BODY_BYTES:
            data = await reader.read(32 * 1024)
            if not data:
                break
            received += len(data)
            await asyncio.sleep(max(0.0, began_at + received / BYTES_PER_S - case.now()))
    except (asyncio.IncompleteReadError, OSError) as error:
        case.log(f"client {req_id}: {error!r}")
    case.log(f"client {req_id} has {received} of {BODY_BYTES} bytes, then the end")
    writer.close()
    return received


async def play(case: Case) -> str:
    """Return which answers the router cut off although their cache node went on giving."""
    rng = random.Random(SEED)
    broken_off: list[str] = []

    async def answer(node: Node, request: Message, writer: asyncio.StreamWriter) -> None:
        req_id = request.headers.get("req-id", "")
        try:
            writer.write(response(200, b"x" * BODY_BYTES, "Srv-Cache: hit"))
            await writer.drain()
        except OSError:
            broken_off.append(req_id)
            case.log(f"node {node.name} could not give the rest for {req_id}: the router closed")
            raise

    nodes = [Node(case, f"c{number}", answer=answer) for number in range(3)]
    origin = Node(case, "origin", model="origin")
    for node in (*nodes, origin):
        await node.open()
    discovery = Discovery(case, [node.row() for node in (*nodes, origin)])
    await discovery.open()
    router = Router(case, discovery, discovery.document(None))
    await router.start()
    ids = [f"{rng.getrandbits(64):016x}" for _ in range(CLIENTS)]
    reads = [case.start(read_slowly(case, router.port, req_id)) for req_id in ids]
    await asyncio.sleep(TERM_AFTER_S)
    if case.trouble:
        router.send_signal(signal.SIGTERM)
        sent_at = case.now()
        while router.is_running() and case.now() - sent_at < KILL_AFTER_S:
            await asyncio.sleep(0.02)
        if router.is_running():
            router.send_signal(signal.SIGKILL)
        else:
            case.log(f"the router ended by itself {case.now() - sent_at:.2f} s after SIGTERM")
    counts = await asyncio.gather(*reads)
    router.copy_log("shutdown", "truncated")
    lost = [
        f"{req_id} ({count} bytes)" for req_id, count in zip(ids, counts, strict=True) if count < BODY_BYTES
    ]
    return (
        f"{len(lost)} of {CLIENTS} answers of {BODY_BYTES} bytes were cut off: {', '.join(lost)}"
        if lost
        else ""
    )


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent / "record.txt", play)

"""An answer of discovery that comes late, while it turns new calls away; later a cache node drains."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))
from rig import Case, Discovery, Node, Router, read_keys, run_case

SEED = 9
CLIENTS = 3
CROWDED_S = 7.0  # new calls get 503 for so long
LATE_S = 5.0  # the answer to the watch that was open is so late
DRAIN_AFTER_S = 4.0  # from the end of the crowd to the drain
TOLD_S = 6.0  # a change counts as told so long after discovery has it, at the latest
GRACE_S = 0.75 + 0.05  # `stop_sending_within`, and the slack on sockets
END_S = 12.0  # from the drain to the end


async def play(case: Case) -> str:
    """Return the sends to the cache node that drains, after all grace."""
    rng = random.Random(SEED)
    nodes = [Node(case, f"c{number}") for number in range(4)]
    origin = Node(case, "origin", model="origin")
    for node in (*nodes, origin):
        await node.open()
    discovery = Discovery(case, [node.row() for node in (*nodes, origin)])
    await discovery.open()
    crowded = False
    late_call = 0

    async def before_call(number: int) -> bool:
        return not crowded or number == late_call

    async def before_answer(number: int, _document: object) -> None:
        if number == late_call:
            await asyncio.sleep(LATE_S)

    discovery.before_call, discovery.before_answer = before_call, before_answer
    router = Router(case, discovery, discovery.document(None))
    await router.start()

    for _ in range(CLIENTS):
        case.start(read_keys(case, router.port, rng))
    await asyncio.sleep(2.0)
    if case.trouble:
        late_call, crowded = len(discovery.calls), True  # the watch that is open now
        case.log(f"discovery is crowded; its answer to call {late_call} will be late")
    await asyncio.sleep(CROWDED_S)
    crowded = False
    case.log("discovery is no longer crowded")
    await asyncio.sleep(DRAIN_AFTER_S)
    discovery.change(nodes[0].row("leaving"))
    drained_at = case.now()
    calls_before = len(discovery.calls)
    await asyncio.sleep(END_S)
    case.log(f"calls to discovery after the drain: {len(discovery.calls) - calls_before}")
    late = [at for at, _ in nodes[0].received if at > drained_at + TOLD_S + GRACE_S]
    router.copy_log("discovery_", "endpoints_updated")
    if not late:
        return ""
    return (
        f"{len(late)} requests sent to a draining cache node later than {TOLD_S + GRACE_S:.2f} s after "
        f"discovery had the drain and could be reached, the last one {late[-1] - drained_at:.1f} s after it"
    )


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent / "record.txt", play)

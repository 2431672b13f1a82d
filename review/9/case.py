"""A whole list of discovery that comes late, after a newer list was received; a cache node drains between."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))
from rig import Case, Discovery, Node, Router, SlowPath, read_keys, run_case

SEED = 9
CLIENTS = 3
LATE_S = 6.0  # lists on the connection that is open then are so late
DRAIN_REVISION = 12
GRACE_S = 0.75 + 0.05  # `stop_sending_within`, and the slack on sockets
END_S = 14.0  # from the drain to the end


async def play(case: Case) -> str:
    """Return the sends to the cache node that drains, after the router was told and all grace."""
    rng = random.Random(SEED)
    nodes = [Node(case, f"c{number}") for number in range(4)]
    origin = Node(case, "origin", model="origin")
    joining = Node(case, "c9")
    for node in (*nodes, origin, joining):
        await node.open()
    discovery = Discovery(case, [node.row() for node in (*nodes, origin)])
    discovery.whole_lists = True
    await discovery.open()
    told_at: list[float] = []

    async def before_answer(_number: int, document: dict[str, object]) -> None:
        if document["rev"] == DRAIN_REVISION and document["all"] and not told_at:
            told_at.append(case.now())

    discovery.before_answer = before_answer
    path = SlowPath(case, discovery.port)
    await path.open()
    router = Router(case, path, discovery.document(None))
    await router.start()

    for _ in range(CLIENTS):
        case.start(read_keys(case, router.port, rng))
    calls = len(discovery.calls)
    while len(discovery.calls) == calls:  # the begin of a watch
        await asyncio.sleep(0.01)
    await asyncio.sleep(1.5)
    if case.trouble:
        path.slow_down(LATE_S)
    discovery.change(joining.row())  # a further cache node: its list will be late
    await asyncio.sleep(0.5)
    discovery.change(nodes[0].row("leaving"))
    await asyncio.sleep(END_S)
    router.copy_log("discovery_", "endpoints_updated")
    if not told_at:
        return ""
    case.log(f"discovery wrote revision {DRAIN_REVISION} at {told_at[0]:.4f}")
    late = [at for at, _ in nodes[0].received if at > told_at[0] + GRACE_S]
    if not late:
        return ""
    return (
        f"{len(late)} requests sent to a draining cache node later than {GRACE_S:.2f} s after discovery had "
        f"written the drain to the router, the last one {late[-1] - told_at[0]:.1f} s after it"
    )


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
